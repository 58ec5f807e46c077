"""What has changed between two inventories, and whether to believe it. No I/O."""

from typing import NamedTuple

from curlewhall.wire.forms import Row, Title

from .form import Inventory

HALF = 0.5  # of what served; more than that at once is a file cut short or the wrong one, rarely a wish
FEW = 4  # nodes under which no share is told from chance: such a change is always believed


class Difference(NamedTuple):
    """From one inventory to the next. `changed`: node -> fields."""

    added: list[str]
    gone: list[str]
    drained: list[str]
    back: list[str]
    changed: dict[str, list[str]]
    titles_added: list[str]
    titles_gone: list[str]
    titles_changed: list[str]

    def __bool__(self) -> bool:
        return any(self)

    def lines(self) -> list[str]:
        """For people, one change a line."""
        found = [f"+ {node}" for node in self.added] + [f"- {node}" for node in self.gone]
        found += [f"> {node} drains" for node in self.drained]
        found += [f"< {node} serves again" for node in self.back]
        found += [f"~ {node}: {', '.join(fields)}" for node, fields in self.changed.items()]
        found += [f"+ title {title}" for title in self.titles_added]
        found += [f"- title {title}" for title in self.titles_gone]
        return found + [f"~ title {title}" for title in self.titles_changed]


def compare(old: Inventory, new: Inventory) -> Difference:
    both = [node for node in new.rows if node in old.rows]
    states = {node: (old.rows[node].state, new.rows[node].state) for node in both}
    changed = {node: fields for node in both if (fields := differing(old.rows[node], new.rows[node]))}
    kept = [title for title in new.titles if title in old.titles]
    return Difference(
        [node for node in new.rows if node not in old.rows],
        [node for node in old.rows if node not in new.rows],
        [node for node, (was, now) in states.items() if was != now and now == "draining"],
        [node for node, (was, now) in states.items() if was != now and now == "serving"],
        changed,
        [title for title in new.titles if title not in old.titles],
        [title for title in old.titles if title not in new.titles],
        [title for title in kept if old.titles[title] != new.titles[title]],
    )


def differing(old: Row | Title, new: Row | Title) -> list[str]:
    return [
        name
        for name in old.__struct_fields__
        if name not in ("state", "started_ms") and getattr(old, name) != getattr(new, name)
    ]


def implausible(old: Inventory, found: Difference) -> str:
    """Why a change waits for a person's word; "" where it does not.

    Danger: half of the fleet taken out by a slip of the hand sends everybody's viewers to the other half.
    """
    served = [node for node, row in old.rows.items() if row.state == "serving"]
    if len(served) < FEW:
        return ""
    out = [node for node in [*found.gone, *found.drained] if node in set(served)]
    moved = [node for node, fields in found.changed.items() if "address" in fields or "place" in fields]
    for what, nodes in (("would be gone or drain", out), ("would be elsewhere", moved)):
        if len(nodes) > HALF * len(served):
            return f"{len(nodes)} of {len(served)} serving nodes {what} at once"
    if old.titles and len(found.titles_gone) > HALF * len(old.titles):
        return f"{len(found.titles_gone)} of {len(old.titles)} titles would be gone at once"
    return ""


def applied(
    now: int, new: Inventory, leaving: dict[str, tuple[Row, int]], held: dict[str, int]
) -> tuple[list[Row], dict[str, tuple[Row, int]]]:
    """The rows to act on, and the nodes still on their way out.

    `leaving`: nodes taken out of the file, with when their time is over; `held`: plays by node. A node that
    holds plays drains first, so that they move; it is gone once it is empty or its time is over.
    """
    still = {
        node: (row, until)
        for node, (row, until) in leaving.items()
        if node not in new.rows and now < until and held.get(node)
    }
    return [*new.rows.values(), *(row for row, _ in still.values())], still
