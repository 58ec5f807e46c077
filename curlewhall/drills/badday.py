"""The bad day: several kinds of trouble over each other, by script or drawn."""

import random

from .play import Day, Script
from .troubles import TROUBLES

SCRIPTED = ("freeze_setups", "crash", "origin_slow", "balancer_crash", "release", "discovery_stale")


def badday(rng: random.Random, plan: dict, day: Day) -> Script:
    """Drawn: two to four kinds of trouble and the load; else named ones, or a script of six at a set load."""
    if day.drawn:
        names = rng.sample(sorted(TROUBLES), rng.randint(2, 4))
        plan["crowd"]["rate"] *= rng.uniform(0.6, 2.2)
        plan["reports"]["how"] = rng.choice(["inline", "inline", "on_probe"])
        plan["grace"] = rng.choice([0.25, 0.5, 2.0])
        plan["setup_ms"] = [20, rng.uniform(60, 160)]
    else:
        names = list(day.troubles or SCRIPTED)
    steps = [step for name in names for step in TROUBLES[name](rng, plan, day.seconds)]
    claims = {
        "unanswered": (0, lambda counts, rows: counts["unanswered"]),
        "wrong_segments": (0, lambda counts, rows: counts["wrong_segments"]),
    }
    return Script(steps, claims, names)
