"""The `inventory` drill: fronts know their nodes only from a file, which is replaced under load by valid and
by broken ones.

Valid: nodes are drained, called back, removed and added again; the file is renamed into place, or overwritten
in pieces. Broken: a wrong figure, a truncated file, most of the fleet missing. A broken file changes nothing
at any front.
"""

import random

from curlewhall.records import Record

from .play import DrillOptions, DrillScript

VALID = ("drain", "back", "out", "in", "pieces")
BROKEN = ("figure", "cut", "most")
READ_WITHIN_S = 1.6  # until every front has read a file: two polls of half a second, on a busy machine


def figures(rows: list[Record]) -> dict[str, float]:
    """Returns how many files were written, how many fronts use another than the last, and what moves cost."""
    swaps = [row for row in rows if row["what"] == "swapped"]
    digests = [row for row in rows if row["what"] == "inventory"]
    watched = [row for row in rows if row["what"] == "watched"]
    return {
        "swaps": len(swaps),
        "broken_files": sum(row["kind"] in BROKEN for row in swaps),
        "fronts_behind": sum(row["digest"] != row["expected"] for row in digests),
        "fronts_asked": len(digests),
        "moves": sum(row["what"] == "seam" for row in rows),
        "lost_by_move": sum(row["why"] == "lost by a move" for row in watched),
    }


def inventory(rng: random.Random, plan: dict, options: DrillOptions) -> DrillScript:
    """Draws a change of the file every few seconds, and compares all fronts with the last file at the end."""
    plan["inventory"] = True
    plan["drain_within"] = 6.0
    for product in plan["products"]:
        product["life"] = [2 * seconds for seconds in product["life"]]
    plan["crowd"]["rate"] *= 0.5
    names = [spec["node"] for spec in plan["nodes"]]
    # Only a quarter of the nodes changes, so that no title loses its last holder by the drill itself.
    changeable = rng.sample(names, max(1, len(names) // 4))
    steps, at, out = [], 2.5, set()
    while at < options.seconds - 5:
        kind = rng.choice(VALID + BROKEN)
        if kind in ("drain", "out"):
            remaining = [node for node in changeable if node not in out]
            if not remaining:
                kind = "back"
            else:
                node = rng.choice(remaining)
                out.add(node)
                steps.append((at, "inventory", kind, node))
        if kind in ("back", "in"):
            node = rng.choice(changeable)
            out.discard(node)
            steps.append((at, "inventory", kind, node))
        elif kind not in ("drain", "out"):
            steps.append((at, "inventory", kind, ""))
        steps.append((at + READ_WITHIN_S, "inventory", "told", ""))
        at += READ_WITHIN_S + rng.uniform(0.2, 1.0)
    steps.append((max(at, options.seconds - 2), "inventory", "state", ""))
    claims = {
        "fronts_behind": (0, lambda counts, rows: figures(rows)["fronts_behind"]),
        "fronts_silent": (0, lambda counts, rows: options.fronts - figures(rows)["fronts_asked"]),
        "lost_by_move": (0, lambda counts, rows: figures(rows)["lost_by_move"]),
        "unanswered": (0, lambda counts, rows: counts["unanswered"]),
    }
    return DrillScript(steps, claims, ["inventory"], figures)
