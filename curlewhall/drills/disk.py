"""The `disk` drill: the disk of a front's state is full, slow or read-only, and state files are damaged while
the front is down.

A full or read-only disk stops only what must be stored before it is sent: with strict durability these are
paid plays and further allocations. Everything else is served, and the stored state is complete again
afterwards.
"""

import random

from .kill import claims, figures, prepare
from .play import DrillOptions, DrillScript

KINDS = ("full", "slow", "readonly")


def disk(rng: random.Random, plan: dict, options: DrillOptions) -> DrillScript:
    """Draws a fault of one front's disk, or damage of its files, every few seconds."""
    prepare(plan)
    plan["faulty"] = True
    names = [front["name"] for front in plan["fronts"]]
    steps, at = [], 1.5
    while at < options.seconds - 4:
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
    return DrillScript(steps, claims(), ["disk"], figures)
