"""`kill`: fronts are killed outright at drawn moments and started anew at once, on their state folders.

Half of them die at a drawn point within a write of their state, see `faulty`.
"""

import random

from curlewhall.records import Record

from .faulty import POINTS
from .play import Day, Script


def figures(rows: list[Record]) -> dict[str, float]:
    """What became of plays whose front was killed, and of paid viewers who came again to it."""
    ends = [row for row in rows if row["what"] == "end" and row["playing"]]
    playing: dict[tuple, Record] = {}
    orphans = sum(row["why"] in ("orphan", "unknown") for row in ends)
    twice, held_at_kill, holders = 0, 0, {}
    for row in rows:
        if row["what"] == "setup":
            viewer = row["front"], row["viewer"], row["title"]
            twice += row["product"] == "paid" and viewer in playing.values()
            holders[row["play"]] = viewer
        elif row["what"] == "first":
            playing[row["play"]] = holders.get(row["play"])
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
        "paid_twice": twice,
        "resumed_share": round(1 - orphans / max(1, held_at_kill), 4),
    }


def prepare(plan: dict) -> None:
    """Strict durability, longer plays, so that there is something to resume."""
    plan["durability"] = "strict"
    for product in plan["products"]:
        product["life"] = [2 * seconds for seconds in product["life"]]
    plan["crowd"]["rate"] *= 0.6


def claims() -> dict:
    return {
        "paid_twice": (0, lambda counts, rows: figures(rows)["paid_twice"]),
        "not_resumed": (0, lambda counts, rows: figures(rows)["not_resumed"]),
        "unanswered": (0, lambda counts, rows: counts["unanswered"]),
    }


def kill(rng: random.Random, plan: dict, day: Day) -> Script:
    """Every second or so another front; half of them die by themselves at a point within a write."""
    prepare(plan)
    plan["faulty"] = True
    steps, at = [], rng.uniform(1.5, 2.5)
    while at < day.seconds - 2:
        front = rng.choice(plan["fronts"])["name"]
        if rng.random() < 0.5:
            steps += [(at, "kill", front), (at + 0.05, "front", front)]
        else:
            steps += [(at, "die", front, rng.choice(POINTS), rng.randint(1, 4))]
        at += rng.uniform(0.8, 2.2)
    return Script(steps, claims(), ["kill"], figures)
