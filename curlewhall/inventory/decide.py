"""Compares two inventories, judges whether a change is plausible, and drains removed nodes. No I/O."""

from typing import NamedTuple

from curlewhall.wire.forms import Row, Title

from .form import Inventory

# A change to more than this share of the serving nodes or titles at once is more often a truncated or wrong
# file than intended.
MAX_CHANGED_SHARE = 0.5
MIN_SERVING_NODES = 4  # with fewer, a share says nothing about intent: every change is accepted


class Difference(NamedTuple):
    """The changes from one inventory to the next."""

    added: list[str]
    removed: list[str]
    drained: list[str]
    restored: list[str]  # draining before, serving now
    changed: dict[str, list[str]]  # node -> names of the changed fields
    titles_added: list[str]
    titles_removed: list[str]
    titles_changed: list[str]

    def __bool__(self) -> bool:
        return any(self)

    def lines(self) -> list[str]:
        """A readable form with one change per line."""
        lines = [f"+ {node}" for node in self.added] + [f"- {node}" for node in self.removed]
        lines += [f"> {node} drains" for node in self.drained]
        lines += [f"< {node} serves again" for node in self.restored]
        lines += [f"~ {node}: {', '.join(fields)}" for node, fields in self.changed.items()]
        lines += [f"+ title {title}" for title in self.titles_added]
        lines += [f"- title {title}" for title in self.titles_removed]
        return lines + [f"~ title {title}" for title in self.titles_changed]


def compare(old: Inventory, new: Inventory) -> Difference:
    """The difference from `old` to `new`."""
    common_nodes = [node for node in new.rows if node in old.rows]
    states = {node: (old.rows[node].state, new.rows[node].state) for node in common_nodes}
    changed = {
        node: fields for node in common_nodes if (fields := changed_fields(old.rows[node], new.rows[node]))
    }
    common_titles = [title for title in new.titles if title in old.titles]
    return Difference(
        [node for node in new.rows if node not in old.rows],
        [node for node in old.rows if node not in new.rows],
        [node for node, (was, now) in states.items() if was != now and now == "draining"],
        [node for node, (was, now) in states.items() if was != now and now == "serving"],
        changed,
        [title for title in new.titles if title not in old.titles],
        [title for title in old.titles if title not in new.titles],
        [title for title in common_titles if old.titles[title] != new.titles[title]],
    )


def changed_fields(old: Row | Title, new: Row | Title) -> list[str]:
    """The names of the fields that differ, except `state` and `started_ms`."""
    return [
        name
        for name in old.__struct_fields__
        if name not in ("state", "started_ms") and getattr(old, name) != getattr(new, name)
    ]


def implausible(old: Inventory, difference: Difference) -> str:
    """Why a change needs an operator's confirmation; "" if it doesn't.

    Without this check, a mistake that removes half of the fleet would send all viewers to the other half.
    """
    serving = [node for node, row in old.rows.items() if row.state == "serving"]
    if len(serving) < MIN_SERVING_NODES:
        return ""
    lost = [node for node in [*difference.removed, *difference.drained] if node in set(serving)]
    relocated = [
        node for node, fields in difference.changed.items() if "address" in fields or "place" in fields
    ]
    for what, nodes in (("would be removed or drained", lost), ("would change address or place", relocated)):
        if len(nodes) > MAX_CHANGED_SHARE * len(serving):
            return f"{len(nodes)} of {len(serving)} serving nodes {what} at once"
    if old.titles and len(difference.titles_removed) > MAX_CHANGED_SHARE * len(old.titles):
        return f"{len(difference.titles_removed)} of {len(old.titles)} titles would be removed at once"
    return ""


def rows_in_effect(
    now: int, new: Inventory, removed: dict[str, tuple[Row, int]], plays_by_node: dict[str, int]
) -> tuple[list[Row], dict[str, tuple[Row, int]]]:
    """The rows to use, and those of the removed nodes that are still draining.

    `removed` maps each node that is no longer in the file to its row and the end of its drain, in ticks.
    A removed node that holds plays drains first, so that the plays are moved; it is dropped once it is empty
    or its drain has ended.
    """
    draining = {
        node: (row, deadline)
        for node, (row, deadline) in removed.items()
        if node not in new.rows and now < deadline and plays_by_node.get(node)
    }
    return [*new.rows.values(), *(row for row, _ in draining.values())], draining
