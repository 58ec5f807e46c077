"""Records of site monitoring: evidence on nodes, the state of sites, and reports of other fronts.

All times are ticks (tenths of a millisecond) on the front's own clock.
"""

from dataclasses import dataclass, field

NEVER = -(1 << 62)  # earlier than every time
WHOLE, DOUBTED, LOST, RETURNING = "whole", "doubted", "lost", "returning"


@dataclass(slots=True)
class Node:
    """What this front has observed of one node."""

    name: str
    site: str
    started: int  # start time as the list last gave it, in the list's own unit
    failed_at: int = NEVER  # the latest failure
    failure_kind: str = ""  # of the latest failure: "refused", "reset", "silent", ...
    failure_count: int = 0  # separate failures since the last answer
    refused: bool = False  # one of those was a refusal: the process at that address is gone
    late_at: int = NEVER  # when a set-up there last exceeded its time limit
    answered_at: int = NEVER  # the latest answer to a request
    heard_at: int = NEVER  # the latest message of any kind
    probed_at: int = NEVER  # when site monitoring last probed it
    removed_at: int = NEVER  # when the list removed it without a drain; NEVER: it is listed
    draining: bool = False  # the list announced its drain: its end is no loss
    hidden: bool = False  # the module was told that it is gone
    readmitted_at: int = NEVER  # when the module was told that it is back
    survived: bool = False  # it still has plays from before the loss: the same process, with warm caches

    @property
    def failing(self) -> bool:
        """Whether the latest request to it failed."""
        return self.failed_at > self.answered_at

    @property
    def degraded(self) -> bool:
        """Whether it is failing or slow. A slow node answers in the end, so this alone is no loss."""
        return self.failing or self.late_at > self.answered_at

    @property
    def confirmed_down(self) -> bool:
        """Whether it failed more than once, or its machine refused the connection."""
        return self.failing and (self.refused or self.failure_count >= 2)


@dataclass(slots=True)
class PeerReport:
    """What another front reports of a site, from its own evidence alone."""

    dead: bool
    observed_at: int  # arrival of the report minus the age that it states


@dataclass(slots=True)
class Site:
    """One site, its state and its nodes."""

    name: str
    state: str = WHOLE
    since: int = NEVER  # of the state
    hold_ticks: int = 0  # how long after a loss none of its nodes is readmitted
    lost_at: int = NEVER
    admission_limit: int = 0  # how many of its nodes may have plays while it returns
    next_step_at: int = NEVER  # when `admission_limit` may grow next
    fleet_wide: bool = False  # whether the whole fleet has lost it, not only this front
    peer_reports: dict[int, PeerReport] = field(default_factory=dict)  # by index of the front
    nodes: dict[str, Node] = field(default_factory=dict)
    disputed_at: int = NEVER  # when a report came that contradicts this front's own evidence
