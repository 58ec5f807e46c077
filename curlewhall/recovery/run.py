"""Between the front's driver and its store: what is written when, and what may wait for it."""

import time
from collections.abc import Callable

from .decide import Doubts, Window, ran_for
from .null_objects import NoPlayStore
from .state import Further, Out, Over, Playing, State, Took
from .store import Memory, Store


def unix_ms() -> int:
    return time.time_ns() // 1_000_000


def steady_ms() -> int:
    return time.monotonic_ns() // 1_000_000


class PlayStore(NoPlayStore):
    """Writes entries to a store. `strict`: a paid or further allocation goes out only once it is on disk.

    `alone`: no process of this front was there before, so that the module's own count of the budget is whole.
    """

    def __init__(
        self, store: Store | Memory, strict: bool, start_settings: dict, state: State, alone: bool = False
    ) -> None:
        self.store, self.strict, self.state, self.alone = store, strict, state, alone
        # Danger: a wall clock set back under a running front would prolong every doubt by as much.
        self.offset = unix_ms() - steady_ms()
        now = self.now()
        look_back = start_settings.get("rules.look_back")
        self.window = Window(
            self.state,
            now,
            None if look_back is None else look_back // 10,
            start_settings.get("rules.spare_allocations", 0),
            start_settings.get("rules.extra_per_request", 0.0),
        )
        self.doubts = Doubts(self.state, now)
        self.warm = start_settings.get("rules.warm_within", 0) // 10
        self.second, self.count = 0, 0

    def now(self) -> int:
        """The wall clock of this process's start, gone on steadily."""
        return self.offset + steady_ms()

    def may_reallocate(self) -> bool:
        return self.alone or self.window.may(self.now(), self.count)

    def record_allocation(
        self, active_play, number: int, node: str, paid: bool, go: Callable[[bool], None]
    ) -> bool:
        """Whether the allocation may go out now; if not, `go` is called once it may, or may not."""
        facts, now = active_play.info, self.now()
        if number:
            self.store.add(Further(now))
        waits = self.strict and (paid or number > 0)
        self.store.add(
            Out(
                facts.play,
                number + active_play.number_offset,
                node,
                facts.viewer,
                facts.title,
                facts.product,
                paid,
                now,
            ),
            go if waits else None,
        )
        return not waits

    def allocation_playing(self, play: str, number: int) -> None:
        self.store.add(Playing(play, number))

    def play_over(self, play: str) -> None:
        if play in self.state.out:
            self.store.add(Over(play))

    def request_accepted(self) -> None:
        now = self.now()
        if now // 1000 != self.second:
            if self.count:
                self.store.add(Took(now, self.count))
            self.second, self.count = now // 1000, 0
        self.count += 1

    def node_connected(self, node: str, plays) -> None:
        """A node has said which plays it holds for this front; what else the disk has of it is over."""
        self.doubts.cleared(node)
        for play in [
            out.play for out in self.state.out.values() if out.node == node and out.play not in plays
        ]:
            self.store.add(Over(play))

    def played_ms(self, play: str, number: int) -> int:
        """For how long the node that shows the play has run at least, as far as it matters: milliseconds."""
        return ran_for(self.state, self.now(), play, number, self.warm)

    def is_uncertain(self, viewer: str, title: str, product: str) -> bool:
        return self.doubts.doubtful(self.now(), viewer, title, product)

    def awaits_node(self, node: str) -> bool:
        """Whether a paid play's fate hangs on what this node says."""
        return node in self.doubts.by_node

    def close(self) -> None:
        self.store.close()
