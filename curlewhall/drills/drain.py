"""Drains under load: plays leave the node and their viewers do not see it.

- `drain`: nodes drain one after another, stop when their time is over, start anew.
- `drain-frozen-target`: meanwhile other nodes take set-ups and answer none.
- `drain-cold`: nodes that hold the same titles have started a moment before.
- `drain-rack`: a whole rack at once. `drain-crowd`: during a crowd for everything and for one title.
"""

import random
from collections import defaultdict

from curlewhall.records import Record

from .play import Day, Script
from .troubles import TROUBLES, Step, some

WITHIN = 7.0  # seconds that a drain may take; the node stops half a second later


def figures(rows: list[Record]) -> dict[str, float]:
    """What the drains cost, from the sockets: seams, losses, cuts, times until nodes were empty, peaks."""
    seams = [row for row in rows if row["what"] == "seam"]
    watched = [row for row in rows if row["what"] == "watched"]
    held: dict[str, set] = defaultdict(set)
    drains: dict[str, int] = {}
    empty, cut, windows, peak = [], 0, defaultdict(list), 0
    for row in rows:
        at, what = row["at"], row["what"]
        if what == "first":
            held[at].add(row["play"])
        elif what == "end":
            held[at].discard(row["play"])
            if at in drains and not held[at] and row["why"] != "died":
                empty.append((row["t"] - drains.pop(at)) / 10_000)
        elif what == "fault" and row["kind"] == "drain" and row["value"]:
            if held[at]:
                drains[at] = row["t"]
            else:
                empty.append(0.0)
        elif what == "fault" and row["kind"] == "die":
            cut += len(held[at]) if drains.pop(at, None) is not None else 0
        elif what == "setup":
            times = windows[at]
            times.append(row["t"])
            while times[0] <= row["t"] - 10_000:
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
        "emptied": len(empty),
        "empty_after": round(sum(empty) / max(1, len(empty)), 2),
        "peak": peak,
    }


def claims() -> dict:
    """No stall beyond one segment at any seam; nobody lost by the move itself."""
    return {
        "seam_longest": (1.0, lambda counts, rows: figures(rows)["seam_longest"]),
        "lost_by_move": (0, lambda counts, rows: figures(rows)["lost_by_move"]),
        "unanswered": (0, lambda counts, rows: counts["unanswered"]),
        "wrong_segments": (0, lambda counts, rows: counts["wrong_segments"]),
    }


def prepare(rng: random.Random, plan: dict, day: Day) -> None:
    """Longer plays, so that there is something to move; the load is drawn where the day is."""
    for product in plan["products"]:
        product["life"] = [2 * seconds for seconds in product["life"]]
    plan["drain_within"] = WITHIN
    # at a third to two thirds of what the links bear there is room for what is moved
    plan["crowd"]["rate"] *= 0.8 * (rng.uniform(0.7, 1.4) if day.drawn else 1.0)
    plan["crowd"]["zipf"] = 0.5


def stop(at: float, node: str) -> list[Step]:
    """A drain with its end: the node stops when the time is over, and starts anew."""
    return [
        (at, "fault", node, "drain", 1),
        (at + WITHIN + 0.5, "fault", node, "die", 1),
        (at + WITHIN + 2, "fault", node, "start", 1),
    ]


def spread(rng: random.Random, plan: dict, day: Day, part: float = 0.3) -> list[Step]:
    """Drains all over the day but for its end, each of another node."""
    count = max(2, round(part * len(plan["nodes"])))
    nodes = rng.sample([spec["node"] for spec in plan["nodes"]], count)
    last = max(2.5, day.seconds - WITHIN - 1)
    return [
        step
        for i, node in enumerate(nodes)
        for step in stop(2 + (last - 2) * i / count + rng.uniform(0, 0.5), node)
    ]


def drain(rng: random.Random, plan: dict, day: Day) -> Script:
    prepare(rng, plan, day)
    return Script(spread(rng, plan, day), claims(), ["drain"], figures)


def drain_frozen_target(rng: random.Random, plan: dict, day: Day) -> Script:
    prepare(rng, plan, day)
    steps = spread(rng, plan, day)
    drained = {node for _, _, node, *_ in steps}
    frozen = [node for node in some(rng, plan, 0.1, 0.2) if node not in drained]
    for node in frozen:
        at = rng.uniform(2, day.seconds / 2)
        steps += [(at, "fault", node, "freeze_setups", 1), (at + 5, "fault", node, "freeze_setups", 0)]
    rest = claims()
    del rest["lost_by_move"]  # a paid play whose set-up's end is unknown can't be asked for again
    return Script(steps, rest, ["drain", "freeze_setups"], figures)


def drain_cold(rng: random.Random, plan: dict, day: Day) -> Script:
    prepare(rng, plan, day)
    nodes = [spec["node"] for spec in plan["nodes"]]
    drained, *fresh = rng.sample(nodes, max(3, len(nodes) // 3))
    steps = [(1.0, "fault", node, "die", 1) for node in fresh]
    steps += [(2.5, "fault", node, "start", 1) for node in fresh]
    return Script(steps + stop(4.0, drained), claims(), ["crash", "drain"], figures)


def drain_rack(rng: random.Random, plan: dict, day: Day) -> Script:
    prepare(rng, plan, day)
    rack = rng.randrange(plan["racks"])
    nodes = [spec["node"] for spec in plan["nodes"] if spec["place"] % plan["racks"] == rack]
    return Script([step for node in nodes for step in stop(3.0, node)], claims(), ["drain-rack"], figures)


def drain_crowd(rng: random.Random, plan: dict, day: Day) -> Script:
    prepare(rng, plan, day)
    steps = spread(rng, plan, day)
    for name in ("burst", "hot_key"):
        steps += TROUBLES[name](rng, plan, day.seconds)
    return Script(steps, claims(), ["drain", "burst", "hot_key"], figures)
