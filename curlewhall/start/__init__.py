"""How fronts behave when many of them start, or lose the list service or a node, at the same moment.

Covers when a front requests the node list and opens streams to nodes, and which nodes it uses until the list
service has answered. `decide` holds the decisions, without I/O; the front's list follower and node
connections use them. The relay, which has a platform channel in place of the list service, uses the random
numbers and the backoff.
"""

from .decide import (
    Backoff,
    ListChangeRate,
    ListSubscription,
    ListVersion,
    NodeTrust,
    PeerListLimiter,
    PeerListRequests,
    SeededRandom,
    StreamSchedule,
    Timestamp,
    is_ready,
    peer_list_is_better,
    seconds_between,
)

__all__ = [
    "Backoff",
    "ListChangeRate",
    "ListSubscription",
    "ListVersion",
    "NodeTrust",
    "PeerListLimiter",
    "PeerListRequests",
    "SeededRandom",
    "StreamSchedule",
    "Timestamp",
    "is_ready",
    "peer_list_is_better",
    "seconds_between",
]
