"""What is kept, as entries of the log and as the state that they add up to. No I/O.

Times are milliseconds since 1970: they have to mean something to the next process.
"""

from collections import deque

import msgspec


class Out(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """An allocation is about to go out."""

    play: str
    number: int
    node: str
    viewer: str
    title: str
    product: str
    paid: bool
    at: int


class Playing(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Its first frame has come."""

    play: str
    number: int


class Over(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The play, or the last of its allocations, is over."""

    play: str


class Took(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """So many plays were taken in the second that ended at `at`."""

    at: int
    count: int


class Further(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """An allocation after its play's first."""

    at: int


Entry = Out | Playing | Over | Took | Further


class State:
    """Plays by id, and the budget's window. `window` is the length of the latter in milliseconds."""

    def __init__(self, window: int = 0) -> None:
        self.window = window
        self.out: dict[str, Out] = {}
        self.playing: set[str] = set()
        self.took: deque[Took] = deque()
        self.further: deque[int] = deque()
        self.latest = 0

    def apply(self, entry: Entry) -> None:
        """Take one entry. Entries of plays that are not known are passed over: their beginning was lost."""
        if isinstance(entry, Out):
            self.out[entry.play] = entry
            self.playing.discard(entry.play)
            self.latest = max(self.latest, entry.at)
        elif isinstance(entry, Playing):
            if entry.play in self.out and self.out[entry.play].number == entry.number:
                self.playing.add(entry.play)
        elif isinstance(entry, Over):
            self.out.pop(entry.play, None)
            self.playing.discard(entry.play)
        elif isinstance(entry, Took):
            self.took.append(entry)
            self.latest = max(self.latest, entry.at)
        else:
            self.further.append(entry.at)
            self.latest = max(self.latest, entry.at)
        self.forget(self.latest)

    def forget(self, now: int) -> None:
        """Drop what has left the window."""
        while self.took and self.took[0].at <= now - self.window:
            self.took.popleft()
        while self.further and self.further[0] <= now - self.window:
            self.further.popleft()

    def set_back(self, now: int) -> None:
        """Take what comes from the future for new. Danger: a clock set back before this start; a window that
        goes by the future's times forgets each new entry at once.
        """
        if self.latest > now:
            self.latest = now
            self.out = {
                play: msgspec.structs.replace(out, at=min(out.at, now)) for play, out in self.out.items()
            }
            self.took = deque(Took(min(row.at, now), row.count) for row in self.took)
            self.further = deque(min(at, now) for at in self.further)

    def rows(self) -> list[Entry]:
        """The state as entries that add up to it again."""
        found: list[Entry] = list(self.out.values())
        found += [Playing(play, self.out[play].number) for play in sorted(self.playing)]
        return [*found, *self.took, *(Further(at) for at in self.further)]
