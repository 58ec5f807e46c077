"""Drills of drains under load: plays move to other nodes without an interruption that viewers notice.

- `drain`: nodes drain one after another, stop when the drain's time is over, and start again.
- `drain-frozen-target`: meanwhile other nodes accept set-ups and never answer them.
- `drain-cold`: nodes that hold the same titles started shortly before.
- `drain-rack`: a whole rack drains at once.
- `drain-crowd`: the drains take place during a surge for all titles and one for a single title.
"""

import random
from collections import defaultdict

from curlewhall.records import Record

from .play import DrillOptions, DrillScript
from .troubles import TROUBLES, Step, random_nodes

TICKS_PER_SECOND = 10_000  # of the records
DRAIN_WITHIN_S = 7.0  # the node stops half a second later


def figures(rows: list[Record]) -> dict[str, float]:
    """Returns the cost of the drains, from the records: seams (interruptions by a move), lost plays, plays
    cut when their node stopped, seconds until nodes were empty, and the peak of set-ups at a node in a
    second.
    """
    seams = [row for row in rows if row["what"] == "seam"]
    watched = [row for row in rows if row["what"] == "watched"]
    node_plays: dict[str, set] = defaultdict(set)
    drain_starts: dict[str, int] = {}
    empty_after_s = []
    cut = 0
    setup_times = defaultdict(list)
    peak = 0
    for row in rows:
        at, what = row["at"], row["what"]
        if what == "first":
            node_plays[at].add(row["play"])
        elif what == "end":
            node_plays[at].discard(row["play"])
            if at in drain_starts and not node_plays[at] and row["why"] != "died":
                empty_after_s.append((row["t"] - drain_starts.pop(at)) / TICKS_PER_SECOND)
        elif what == "fault" and row["kind"] == "drain" and row["value"]:
            if node_plays[at]:
                drain_starts[at] = row["t"]
            else:
                empty_after_s.append(0.0)
        elif what == "fault" and row["kind"] == "die":
            cut += len(node_plays[at]) if drain_starts.pop(at, None) is not None else 0
        elif what == "setup":
            times = setup_times[at]
            times.append(row["t"])
            while times[0] <= row["t"] - TICKS_PER_SECOND:
                times.pop(0)
            peak = max(peak, len(times))
    stalled = sum(row["stalled"] for row in watched)
    return {
        "moves": len(seams),
        "lost_by_move": sum(row["why"] == "lost by a move" for row in watched),
        "cut": cut,
        "seam_longest": max((row["stalled"] for row in seams), default=0.0),
        "seam_mean": round(sum(row["stalled"] for row in seams) / max(1, len(seams)), 4),
        "stall_a_play": round(stalled / max(1, len(watched)), 4),
        "emptied": len(empty_after_s),
        "empty_after": round(sum(empty_after_s) / max(1, len(empty_after_s)), 2),
        "peak": peak,
    }


def claims() -> dict:
    """Returns the claims: no seam stalls for longer than a segment, and no play is lost by a move."""
    return {
        "seam_longest": (1.0, lambda counts, rows: figures(rows)["seam_longest"]),
        "lost_by_move": (0, lambda counts, rows: figures(rows)["lost_by_move"]),
        "unanswered": (0, lambda counts, rows: counts["unanswered"]),
        "wrong_segments": (0, lambda counts, rows: counts["wrong_segments"]),
    }


def prepare(rng: random.Random, plan: dict, options: DrillOptions) -> None:
    """Makes plays longer, so that there are plays to move, and sets the load."""
    for product in plan["products"]:
        product["life"] = [2 * seconds for seconds in product["life"]]
    plan["drain_within"] = DRAIN_WITHIN_S
    # At a third to two thirds of the links' capacity there is room for the plays that are moved.
    plan["crowd"]["rate"] *= 0.8 * (rng.uniform(0.7, 1.4) if options.drawn else 1.0)
    plan["crowd"]["zipf"] = 0.5


def drain_and_restart(at: float, node: str) -> list[Step]:
    """Returns the steps of a drain: the node stops when the drain's time is over, and starts again."""
    return [
        (at, "fault", node, "drain", 1),
        (at + DRAIN_WITHIN_S + 0.5, "fault", node, "die", 1),
        (at + DRAIN_WITHIN_S + 2, "fault", node, "start", 1),
    ]


def spread_drains(rng: random.Random, plan: dict, options: DrillOptions, share: float = 0.3) -> list[Step]:
    """Returns drains of different nodes, spread over the drill except for its end."""
    count = max(2, round(share * len(plan["nodes"])))
    nodes = rng.sample([spec["node"] for spec in plan["nodes"]], count)
    last = max(2.5, options.seconds - DRAIN_WITHIN_S - 1)
    return [
        step
        for i, node in enumerate(nodes)
        for step in drain_and_restart(2 + (last - 2) * i / count + rng.uniform(0, 0.5), node)
    ]


def drain(rng: random.Random, plan: dict, options: DrillOptions) -> DrillScript:
    """Nodes drain one after another."""
    prepare(rng, plan, options)
    return DrillScript(spread_drains(rng, plan, options), claims(), ["drain"], figures)


def drain_frozen_target(rng: random.Random, plan: dict, options: DrillOptions) -> DrillScript:
    """Nodes drain while other nodes accept set-ups and never answer them."""
    prepare(rng, plan, options)
    steps = spread_drains(rng, plan, options)
    drained = {node for _, _, node, *_ in steps}
    frozen = [node for node in random_nodes(rng, plan, 0.1, 0.2) if node not in drained]
    for node in frozen:
        at = rng.uniform(2, options.seconds / 2)
        steps += [(at, "fault", node, "freeze_setups", 1), (at + 5, "fault", node, "freeze_setups", 0)]
    bounds = claims()
    # A paid play whose set-up ended without a known result can't be requested again, so a move may lose it.
    del bounds["lost_by_move"]
    return DrillScript(steps, bounds, ["drain", "freeze_setups"], figures)


def drain_cold(rng: random.Random, plan: dict, options: DrillOptions) -> DrillScript:
    """A node drains shortly after a third of the others were restarted."""
    prepare(rng, plan, options)
    nodes = [spec["node"] for spec in plan["nodes"]]
    drained, *cold = rng.sample(nodes, max(3, len(nodes) // 3))
    steps = [(1.0, "fault", node, "die", 1) for node in cold]
    steps += [(2.5, "fault", node, "start", 1) for node in cold]
    return DrillScript(steps + drain_and_restart(4.0, drained), claims(), ["crash", "drain"], figures)


def drain_rack(rng: random.Random, plan: dict, options: DrillOptions) -> DrillScript:
    """All nodes of a rack drain at once."""
    prepare(rng, plan, options)
    rack = rng.randrange(plan["racks"])
    nodes = [spec["node"] for spec in plan["nodes"] if spec["place"] % plan["racks"] == rack]
    return DrillScript(
        [step for node in nodes for step in drain_and_restart(3.0, node)], claims(), ["drain-rack"], figures
    )


def drain_crowd(rng: random.Random, plan: dict, options: DrillOptions) -> DrillScript:
    """Nodes drain during a surge for all titles and one for a single title."""
    prepare(rng, plan, options)
    steps = spread_drains(rng, plan, options)
    for name in ("burst", "hot_key"):
        steps += TROUBLES[name](rng, plan, options.seconds)
    return DrillScript(steps, claims(), ["drain", "burst", "hot_key"], figures)
