"""Durable state of a front: a write-ahead log and snapshots of its plays, and crash recovery from them.

It holds the allocations in progress, the plays, and the time window of the reallocation budget. `state`
defines the log entries and the state, `form` their encoding, `decide` what follows from the state after a
crash (all without I/O), `store` the files, and `run` what the driver calls.

See `docs/recovery/design.md` and `format.md`.
"""
