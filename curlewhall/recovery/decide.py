"""What a front believes after a crash. No I/O, no clock: `now` is milliseconds since 1970.

It believes no play on its disk: nodes say what they hold. What the disk adds is doubt, where a paid set-up
may have run and its node has not spoken yet, and the budget that was spent before the crash.
"""

from .state import State

# A node keeps plays of a front that is away for a while, and then drops them; longer than that and the time
# limit of a set-up together, no doubt can last.
LONGEST_DOUBT = 30_000


class Doubts:
    """Paid plays of the process before whose nodes have not said yet what became of them."""

    def __init__(self, state: State, now: int) -> None:
        self.until = now + LONGEST_DOUBT
        self.by_node: dict[str, set[tuple[str, str, str]]] = {}
        for out in state.out.values():
            # Danger: a clock set back makes an entry look as if it came from the future: it counts as new.
            if out.paid and now - out.at < LONGEST_DOUBT * 20:
                self.by_node.setdefault(out.node, set()).add((out.viewer, out.title, out.product))

    def cleared(self, node: str) -> None:
        """The node has said what it holds; or it is known that its process has ended."""
        self.by_node.pop(node, None)

    def doubtful(self, now: int, viewer: str, title: str, product: str) -> bool:
        """Whether a new set-up for this viewer might be its second for one payment."""
        if now >= self.until:
            self.by_node.clear()
        return any((viewer, title, product) in asks for asks in self.by_node.values())


def ran_for(state: State, now: int, play: str, number: int, longest: int) -> int:
    """For how long, `longest` at most, a node that shows the play has surely run: milliseconds; 0: not known.

    A node that starts anew has lost its plays. So one that still shows an allocation ran when that went out.
    """
    out = state.out.get(play)
    if out is None or out.number != number or play not in state.playing:
        return 0
    return max(0, min(longest, now - out.at))


class Window:
    """The budget of further allocations over the crash: the module counts from its start, the rule does not.

    `look_back` in milliseconds, `spare` and `share` as in the operator's file; None: no budget.
    """

    def __init__(self, state: State, now: int, look_back: int | None, spare: int, share: float) -> None:
        self.state, self.born = state, now
        self.look_back, self.spare, self.share = look_back, spare, share

    def may(self, now: int, uncounted: int) -> bool:
        """Whether one more may go out; `uncounted` plays were taken since the last entry of that kind.

        Danger: entries written lazily may be missing at the end. Of the takes that only gives less; further
        allocations go to disk before they go out where durability is strict.
        """
        if self.look_back is None or now - self.born >= self.look_back:
            return True
        since = now - self.look_back
        takes = uncounted + sum(row.count for row in self.state.took if since < row.at <= now)
        further = sum(since < at for at in self.state.further)  # one from the future counts
        return further + 1 <= self.spare + self.share * takes
