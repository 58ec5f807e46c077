"""Bounds what many connections keep in memory together. No I/O, no clock."""

from collections.abc import Hashable

FREED_FRACTION = (
    0.125  # of the limit, at each time that it is exceeded, so that few owners are looked at often
)


class MemoryBudget:
    """Bytes that the owners keep, about `limit` in all at most.

    Each connection's own limits are far above what its usual client needs, and a server has no room for
    hundreds of connections at their limits. So the owner says after each change what it keeps, and once all
    keep too much, those that keep most have to give it up: usual clients keep little.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.total = 0
        self.bytes_by_owner: dict[Hashable, int] = {}

    def update(self, owner: Hashable, size: int) -> None:
        """`owner` keeps `size` bytes now."""
        self.total += size - self.bytes_by_owner.pop(owner, 0)
        if size:
            self.bytes_by_owner[owner] = size

    @property
    def exceeded(self) -> bool:
        """Whether the owners keep more than the limit."""
        return self.total > self.limit

    def largest_owners(self) -> list[Hashable]:
        """The owners that have to give up what they keep, those that keep most first."""
        excess, chosen = self.total - self.limit * (1 - FREED_FRACTION), []
        for owner in sorted(self.bytes_by_owner, key=self.bytes_by_owner.get, reverse=True):
            if excess <= 0:
                break
            chosen.append(owner)
            excess -= self.bytes_by_owner[owner]
        return chosen
