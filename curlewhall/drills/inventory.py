"""`inventory`: fronts that know their nodes from a file alone, which is swapped under load, good and broken.

Good: nodes drained, called back, taken out, put in again; by rename, in place, in pieces. Broken: a wrong
figure, cut short, most of the fleet missing. What is broken changes nothing at any front.
"""

import random

from curlewhall.records import Record

from .play import Day, Script

GOOD = ("drain", "back", "out", "in", "pieces")
BROKEN = ("figure", "cut", "most")
READ = 1.6  # seconds until every front has read a file: two looks of half a second, and a busy machine


def figures(rows: list[Record]) -> dict[str, float]:
    swaps = [row for row in rows if row["what"] == "swapped"]
    last = [row for row in rows if row["what"] == "inventory"]
    watched = [row for row in rows if row["what"] == "watched"]
    return {
        "swaps": len(swaps),
        "broken_files": sum(row["kind"] in BROKEN for row in swaps),
        "fronts_behind": sum(row["digest"] != row["expected"] for row in last),
        "fronts_asked": len(last),
        "moves": sum(row["what"] == "seam" for row in rows),
        "lost_by_move": sum(row["why"] == "lost by a move" for row in watched),
    }


def inventory(rng: random.Random, plan: dict, day: Day) -> Script:
    plan["inventory"], plan["drain_within"] = True, 6.0
    for product in plan["products"]:
        product["life"] = [2 * seconds for seconds in product["life"]]
    plan["crowd"]["rate"] *= 0.5
    names = [spec["node"] for spec in plan["nodes"]]
    # no title may lose its last holder by the drill's own hand
    free = rng.sample(names, max(1, len(names) // 4))
    steps, at, out = [], 2.5, set()
    while at < day.seconds - 5:
        kind = rng.choice(GOOD + BROKEN)
        if kind in ("drain", "out"):
            left = [node for node in free if node not in out]
            if not left:
                kind = "back"
            else:
                node = rng.choice(left)
                out.add(node)
                steps.append((at, "inventory", kind, node))
        if kind in ("back", "in"):
            node = rng.choice(free)
            out.discard(node)
            steps.append((at, "inventory", kind, node))
        elif kind not in ("drain", "out"):
            steps.append((at, "inventory", kind, ""))
        steps.append((at + READ, "inventory", "told", ""))
        at += READ + rng.uniform(0.2, 1.0)
    steps.append((max(at, day.seconds - 2), "inventory", "state", ""))
    claims = {
        "fronts_behind": (0, lambda counts, rows: figures(rows)["fronts_behind"]),
        "fronts_silent": (0, lambda counts, rows: day.fronts - figures(rows)["fronts_asked"]),
        "lost_by_move": (0, lambda counts, rows: figures(rows)["lost_by_move"]),
        "unanswered": (0, lambda counts, rows: counts["unanswered"]),
    }
    return Script(steps, claims, ["inventory"], figures)
