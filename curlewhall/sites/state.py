"""What a front holds of sites, by lifetime: of a node while it is listed or missed, of a site for good, of
another front's word until it is too old to count."""

from dataclasses import dataclass, field

NEVER = -(1 << 62)  # a time before all others
WHOLE, DOUBTED, LOST, RETURNING = "whole", "doubted", "lost", "returning"


@dataclass(slots=True)
class Node:
    """A node as its site's evidence. Times are tenths of a millisecond on the front's own clock."""

    name: str
    site: str
    started: int  # as the list last told, on the list's own count
    failed_at: int = NEVER  # the latest failure, and how it showed
    how: str = ""
    fails: int = 0  # failures since the last answer that lie apart
    refused: bool = False  # one of those was a refusal: whoever had the address is gone
    late_at: int = NEVER  # when a set-up there last took longer than it may
    answered_at: int = NEVER  # the latest answer to something that was asked
    spoke_at: int = NEVER  # the latest word of any kind
    asked_at: int = NEVER  # when it was last asked for this front's own sake
    gone_at: int = NEVER  # when the list took it away while it was wanted; NEVER: it is listed
    leaving: bool = False  # the list had said that it drains: its end is no loss
    hidden: bool = False  # the module is told that it is gone
    shown_at: int = NEVER  # when it was let in again
    lived: bool = False  # it shows plays from before: the same process, warm

    @property
    def failing(self) -> bool:
        """Whether the latest thing that was asked of it came to nothing."""
        return self.failed_at > self.answered_at

    @property
    def doubtful(self) -> bool:
        """Failing, or slow; Danger: a slow node answers in the end, and is not lost."""
        return self.failing or self.late_at > self.answered_at

    @property
    def sure(self) -> bool:
        """Whether it failed more than once, or its own machine said that nobody is there."""
        return self.failing and (self.refused or self.fails >= 2)


@dataclass(slots=True)
class Word:
    """What another front says of a site, of its own evidence alone."""

    dead: bool
    at: int  # when the evidence was had: its arrival less the age that it tells


@dataclass(slots=True)
class Site:
    """One site, and what is held of it."""

    name: str
    state: str = WHOLE
    since: int = NEVER
    hold: int = 0  # for how long after a loss nothing of it is taken back
    lost_at: int = NEVER
    let_in: int = 0  # how many of its nodes may have plays while it returns
    step_at: int = NEVER  # when that may grow next
    fleet: bool = False  # whether the loss is the fleet's, not this front's alone
    words: dict[int, Word] = field(default_factory=dict)  # by front
    nodes: dict[str, Node] = field(default_factory=dict)
    disputed_at: int = NEVER  # when a word came that this front's own evidence speaks against
