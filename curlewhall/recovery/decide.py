"""What a front concludes from its recovered state after a crash. Does no I/O; times are Unix time in ms.

The recovered state proves no play: the nodes report which plays they hold. It is used for two things: to find
paid set-ups that may have run on a node that hasn't reported yet, and to carry the reallocation budget over.
"""

from .state import State

# A node drops the plays of a front that stays away. This is more than the time until then plus the time limit
# of a set-up, so no allocation is uncertain for longer.
MAX_UNCERTAINTY_MS = 30_000
MAX_ENTRY_AGE_MS = MAX_UNCERTAINTY_MS * 20  # older allocations are ignored at the start


class UncertainAllocations:
    """Paid allocations of the previous process whose nodes have not yet reported which plays they hold."""

    def __init__(self, state: State, now: int) -> None:
        self.expires_at = now + MAX_UNCERTAINTY_MS
        self.by_node: dict[str, set[tuple[str, str, str]]] = {}
        for allocation in state.allocations.values():
            # An entry from the future, written before the clock was set back, counts as new.
            if allocation.paid and now - allocation.at < MAX_ENTRY_AGE_MS:
                self.by_node.setdefault(allocation.node, set()).add(
                    (allocation.viewer, allocation.title, allocation.product)
                )

    def clear_node(self, node: str) -> None:
        """The node has reported its plays, or its process is known to have ended."""
        self.by_node.pop(node, None)

    def is_uncertain(self, now: int, viewer: str, title: str, product: str) -> bool:
        """Whether a new set-up for this viewer might be the second one for a single payment."""
        if now >= self.expires_at:
            self.by_node.clear()
        return any((viewer, title, product) in requests for requests in self.by_node.values())


def min_uptime_ms(state: State, now: int, play: str, number: int, max_ms: int) -> int:
    """Return for how long a node that holds the play has run at least, up to `max_ms`; 0 if unknown.

    A node loses its plays when it restarts, so one that still holds an allocation has run since it was sent.
    """
    allocation = state.allocations.get(play)
    if allocation is None or allocation.number != number or play not in state.playing:
        return 0
    return max(0, min(max_ms, now - allocation.at))


class ReallocationBudget:
    """Applies the budget of reallocations across a restart, as the module counts only from its own start.

    `look_back_ms`: the budget's window, or None if there is no budget; `spare_allocations` and
    `extra_per_request` as in the operator's settings.
    """

    def __init__(
        self,
        state: State,
        now: int,
        look_back_ms: int | None,
        spare_allocations: int,
        extra_per_request: float,
    ) -> None:
        self.state = state
        self.started_at = now
        self.look_back_ms = look_back_ms
        self.spare_allocations = spare_allocations
        self.extra_per_request = extra_per_request

    def allows_reallocation(self, now: int, unrecorded: int) -> bool:
        """Whether one more reallocation may be sent. `unrecorded`: plays accepted since the last
        `RequestsAccepted` entry.

        Entries that were not flushed may be missing after a crash. Missing `RequestsAccepted` entries only
        make the budget smaller, and with strict durability reallocations are on disk before they are sent.
        """
        if self.look_back_ms is None or now - self.started_at >= self.look_back_ms:
            return True
        since = now - self.look_back_ms
        accepted = unrecorded + sum(row.count for row in self.state.accepted if since < row.at <= now)
        reallocations = sum(since < at for at in self.state.reallocations)  # includes times in the future
        return reallocations + 1 <= self.spare_allocations + self.extra_per_request * accepted
