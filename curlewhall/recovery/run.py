"""What the front's driver calls to record its plays, and to ask about the state recovered after a crash."""

import time
from collections.abc import Callable

from .decide import ReallocationBudget, UncertainAllocations, min_uptime_ms
from .null_objects import NoPlayStore
from .state import AllocationSent, PlayEnded, PlayStarted, Reallocated, RequestsAccepted, State
from .store import MemoryStore, Store


def unix_ms() -> int:
    return time.time_ns() // 1_000_000


def monotonic_ms() -> int:
    return time.monotonic_ns() // 1_000_000


class PlayStore(NoPlayStore):
    """Records a front's plays in a store.

    `strict`: paid allocations and reallocations are sent only after they are on disk. `first_process`: this
    front has had no earlier process, so the module's own count of the reallocation budget is complete.
    """

    def __init__(
        self,
        store: Store | MemoryStore,
        strict: bool,
        start_settings: dict,
        state: State,
        first_process: bool = False,
    ) -> None:
        self.store = store
        self.strict = strict
        self.state = state
        self.first_process = first_process
        # A wall clock set back while the front runs would extend every uncertainty by as much, so only the
        # start time is taken from it.
        self.clock_offset_ms = unix_ms() - monotonic_ms()
        now = self.now()
        look_back = start_settings.get("rules.look_back")
        self.reallocation_budget = ReallocationBudget(
            self.state,
            now,
            None if look_back is None else look_back // 10,
            start_settings.get("rules.spare_allocations", 0),
            start_settings.get("rules.extra_per_request", 0.0),
        )
        self.uncertain_allocations = UncertainAllocations(self.state, now)
        self.warm_within_ms = start_settings.get("rules.warm_within", 0) // 10
        self.accepted_second = 0  # Unix time in seconds
        self.accepted_count = 0  # plays accepted in that second

    def now(self) -> int:
        """Return the Unix time in ms, as the wall clock at the start plus the monotonic time since then."""
        return self.clock_offset_ms + monotonic_ms()

    def may_reallocate(self) -> bool:
        """Whether the budget, counted across the restart, allows one more reallocation."""
        return self.first_process or self.reallocation_budget.allows_reallocation(
            self.now(), self.accepted_count
        )

    def record_allocation(
        self, active_play, number: int, node: str, paid: bool, on_durable: Callable[[bool], None]
    ) -> bool:
        """Record an allocation that is about to be sent. Return True if it may be sent now.

        Otherwise, `on_durable(durable)` is called later with whether the record is on disk.
        """
        info, now = active_play.info, self.now()
        if number:
            self.store.add(Reallocated(now))
        waits = self.strict and (paid or number > 0)
        self.store.add(
            AllocationSent(
                info.play,
                number + active_play.number_offset,
                node,
                info.viewer,
                info.title,
                info.product,
                paid,
                now,
            ),
            on_durable if waits else None,
        )
        return not waits

    def allocation_playing(self, play: str, number: int) -> None:
        """Record the first frame of an allocation."""
        self.store.add(PlayStarted(play, number))

    def play_ended(self, play: str) -> None:
        """Record the end of a play, if it has a recorded allocation."""
        if play in self.state.allocations:
            self.store.add(PlayEnded(play))

    def request_accepted(self) -> None:
        """Count an accepted play; the count of each second is recorded when the next one begins."""
        now = self.now()
        if now // 1000 != self.accepted_second:
            if self.accepted_count:
                self.store.add(RequestsAccepted(now, self.accepted_count))
            self.accepted_second, self.accepted_count = now // 1000, 0
        self.accepted_count += 1

    def node_connected(self, node: str, plays) -> None:
        """A node has reported the plays it holds for this front: record the end of its other plays."""
        self.uncertain_allocations.clear_node(node)
        for play in [
            allocation.play
            for allocation in self.state.allocations.values()
            if allocation.node == node and allocation.play not in plays
        ]:
            self.store.add(PlayEnded(play))

    def min_uptime_ms(self, play: str, number: int) -> int:
        """Return for how long the node that holds the play has run at least, up to the warm-up time."""
        return min_uptime_ms(self.state, self.now(), play, number, self.warm_within_ms)

    def is_uncertain(self, viewer: str, title: str, product: str) -> bool:
        """Whether an earlier paid set-up for this viewer may have run on a node that has not reported yet."""
        return self.uncertain_allocations.is_uncertain(self.now(), viewer, title, product)

    def awaits_node(self, node: str) -> bool:
        """Whether a paid allocation stays uncertain until this node reports its plays."""
        return node in self.uncertain_allocations.by_node

    def close(self) -> None:
        self.store.close()
