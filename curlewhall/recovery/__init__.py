"""What a front keeps on disk: allocations that are out, plays, the budget's window; and what it believes
after a
crash. `form` is the bytes, `state` what they say, `decide` what is believed (both without I/O), `store` the
files.

See `docs/recovery/design.md` and `format.md`.
"""
