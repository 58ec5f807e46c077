"""`disk`: the disk of a front's state is full, slow, read-only; files are damaged while the front is down.

A full or read-only disk stops only what must be kept before it goes out: with strict durability that is paid
plays and further allocations. Everything else is served, and what is kept is whole again afterwards.
"""

import random

from .kill import claims, figures, prepare
from .play import Day, Script

KINDS = ("full", "slow", "readonly")


def disk(rng: random.Random, plan: dict, day: Day) -> Script:
    prepare(plan)
    plan["faulty"] = True
    names = [front["name"] for front in plan["fronts"]]
    steps, at = [], 1.5
    while at < day.seconds - 4:
        front, kind = rng.choice(names), rng.choice([*KINDS, "corrupt"])
        if kind == "corrupt":
            steps += [
                (at, "kill", front),
                (at + 0.05, "damage", front, rng.random()),
                (at + 0.1, "front", front),
            ]
        else:
            steps += [(at, "disk", front, kind), (at + rng.uniform(0.8, 2.5), "disk", front, "")]
        at += rng.uniform(1.5, 3.0)
    return Script(steps, claims(), ["disk"], figures)
