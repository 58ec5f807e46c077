"""Membership among fronts over lossy datagrams of at most 256 bytes: which fronts share the fleet.

`decide` is the gossip and failure-detection protocol (no I/O, no clock), `datagram` the binary encoding and
its keyed hash, and `run` connects both to the front's UDP socket, clock and timers.
"""

from .decide import MembershipProtocol

__all__ = ["MembershipProtocol"]
