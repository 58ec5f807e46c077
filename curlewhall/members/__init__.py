"""Who shares the fleet: membership among fronts over lossy datagrams of at most 256 bytes.

`decide` is the protocol (no I/O, no clock), `form` the bytes with their keyed hash, `run` joins it to the
front's UDP socket. See `docs/members/design.md`.
"""

from .decide import Members

__all__ = ["Members"]
