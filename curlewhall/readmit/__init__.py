"""A crowd that comes back is let in by turns: who is let to the module now, and when the others come again.

`decide` is free of I/O, `state` what is held, `run` joins it to the front and signs turns, `absent` stands in
where there is none. See `docs/readmit/design.md`. Nothing is imported here: the relay needs `absent` alone.
"""
