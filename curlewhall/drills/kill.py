"""The `kill` drill: fronts are killed at random moments and restarted at once, on their state folders.

Half of them crash at a random point within a write of their state, see `faulty`.
"""

import random

from curlewhall.records import Record

from .faulty import POINTS
from .play import DrillOptions, DrillScript


def figures(rows: list[Record]) -> dict[str, float]:
    """Returns what happened to plays whose front was killed, and how many paid plays ran twice at a front."""
    ends = [row for row in rows if row["what"] == "end" and row["playing"]]
    playing: dict[tuple, Record] = {}
    orphans = sum(row["why"] in ("orphan", "unknown") for row in ends)
    paid_twice = 0
    held_at_kill = 0
    viewers = {}  # (front, viewer, title) by play
    for row in rows:
        if row["what"] == "setup":
            viewer = row["front"], row["viewer"], row["title"]
            paid_twice += row["product"] == "paid" and viewer in playing.values()
            viewers[row["play"]] = viewer
        elif row["what"] == "first":
            playing[row["play"]] = viewers.get(row["play"])
        elif row["what"] == "end":
            playing.pop(row["play"], None)
        elif row["what"] == "killed":
            held_at_kill += sum(
                viewer is not None and viewer[0] == row["front"] for viewer in playing.values()
            )
    return {
        "kills": sum(row["what"] == "killed" for row in rows),
        "held_at_kill": held_at_kill,
        "not_resumed": orphans,
        "paid_twice": paid_twice,
        "resumed_share": round(1 - orphans / max(1, held_at_kill), 4),
    }


def prepare(plan: dict) -> None:
    """Sets strict durability, and longer plays, so that there are plays to resume."""
    plan["durability"] = "strict"
    for product in plan["products"]:
        product["life"] = [2 * seconds for seconds in product["life"]]
    plan["crowd"]["rate"] *= 0.6


def claims() -> dict:
    """Returns the claims: no paid play runs twice, all plays are resumed, all requests are answered."""
    return {
        "paid_twice": (0, lambda counts, rows: figures(rows)["paid_twice"]),
        "not_resumed": (0, lambda counts, rows: figures(rows)["not_resumed"]),
        "unanswered": (0, lambda counts, rows: counts["unanswered"]),
    }


def kill(rng: random.Random, plan: dict, options: DrillOptions) -> DrillScript:
    """Kills a front about every 1.5 seconds; half of them crash at a point within a write."""
    prepare(plan)
    plan["faulty"] = True
    steps, at = [], rng.uniform(1.5, 2.5)
    while at < options.seconds - 2:
        front = rng.choice(plan["fronts"])["name"]
        if rng.random() < 0.5:
            steps += [(at, "kill", front), (at + 0.05, "front", front)]
        else:
            steps += [(at, "die", front, rng.choice(POINTS), rng.randint(1, 4))]
        at += rng.uniform(0.8, 2.2)
    return DrillScript(steps, claims(), ["kill"], figures)
