"""A front that lives long: started, watched, replaced by a successor without a viewer noticing.

`decide` is what the daemon does about its workers (no I/O), `run` the daemon's process, `worker` a front
under it, `handover` what a front gives to its successor and takes from its predecessor, `channel` the
connection on which it goes. See `docs/daemon/design.md` and `guide.md`.
"""
