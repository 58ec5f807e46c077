"""A front as a daemon: supervised, restarted after crashes, and replaced by a successor unnoticed by viewers.

`decide` is the supervisor's logic (no I/O), `run` the daemon's process, `worker` the process of a front under
it, `handover` the transfer of a front's state to its successor, `channel` the messages between processes,
`control` the client of the daemon's control socket, `notify` the notifications to a service manager. See
`docs/daemon/design.md` and `guide.md`.
"""
