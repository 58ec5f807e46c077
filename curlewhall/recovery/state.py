"""The log entries, and the state that results from applying them. Does no I/O.

Times are Unix time in milliseconds, so that the next process can interpret them.
"""

from collections import deque

import msgspec


class AllocationSent(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """An allocation is about to be sent to its node."""

    play: str
    number: int
    node: str
    viewer: str
    title: str
    product: str
    paid: bool
    at: int


class PlayStarted(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The first frame of an allocation has arrived."""

    play: str
    number: int


class PlayEnded(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A play has ended, or the last of its allocations has."""

    play: str


class RequestsAccepted(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """`count` plays were accepted in the second before `at`."""

    at: int
    count: int


class Reallocated(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A play got an allocation after its first one."""

    at: int


Entry = AllocationSent | PlayStarted | PlayEnded | RequestsAccepted | Reallocated


class State:
    """Plays by id, and the entries within the budget's window. `window_ms`: the length of that window."""

    def __init__(self, window_ms: int = 0) -> None:
        self.window_ms = window_ms
        self.allocations: dict[str, AllocationSent] = {}  # the latest of each play
        self.playing: set[str] = set()
        self.accepted: deque[RequestsAccepted] = deque()
        self.reallocations: deque[int] = deque()
        self.latest = 0  # time of the newest entry

    def apply(self, entry: Entry) -> None:
        """Update the state with an entry.

        A `PlayStarted` or `PlayEnded` of an unknown play has no effect: its `AllocationSent` was lost.
        """
        if isinstance(entry, AllocationSent):
            self.allocations[entry.play] = entry
            self.playing.discard(entry.play)
            self.latest = max(self.latest, entry.at)
        elif isinstance(entry, PlayStarted):
            if entry.play in self.allocations and self.allocations[entry.play].number == entry.number:
                self.playing.add(entry.play)
        elif isinstance(entry, PlayEnded):
            self.allocations.pop(entry.play, None)
            self.playing.discard(entry.play)
        elif isinstance(entry, RequestsAccepted):
            self.accepted.append(entry)
            self.latest = max(self.latest, entry.at)
        else:
            self.reallocations.append(entry.at)
            self.latest = max(self.latest, entry.at)
        self.expire(self.latest)

    def expire(self, now: int) -> None:
        """Remove what is older than the budget's window."""
        while self.accepted and self.accepted[0].at <= now - self.window_ms:
            self.accepted.popleft()
        while self.reallocations and self.reallocations[0] <= now - self.window_ms:
            self.reallocations.popleft()

    def clamp_future_times(self, now: int) -> None:
        """Set times after `now` to `now`.

        They exist if the clock was set back before this start. Left as they are, `latest` would expire each
        new entry at once.
        """
        if self.latest > now:
            self.latest = now
            self.allocations = {
                play: msgspec.structs.replace(allocation, at=min(allocation.at, now))
                for play, allocation in self.allocations.items()
            }
            self.accepted = deque(RequestsAccepted(min(row.at, now), row.count) for row in self.accepted)
            self.reallocations = deque(min(at, now) for at in self.reallocations)

    def entries(self) -> list[Entry]:
        """Return entries that rebuild this state when applied to an empty one."""
        found: list[Entry] = list(self.allocations.values())
        found += [PlayStarted(play, self.allocations[play].number) for play in sorted(self.playing)]
        return [*found, *self.accepted, *(Reallocated(at) for at in self.reallocations)]
