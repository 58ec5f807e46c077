"""The `badday` drill: several kinds of trouble at the same time, by script or at random."""

import random

from .play import DrillOptions, DrillScript
from .troubles import TROUBLES

SCRIPTED = ("freeze_setups", "crash", "origin_slow", "balancer_crash", "release", "discovery_stale")


def badday(rng: random.Random, plan: dict, options: DrillOptions) -> DrillScript:
    """A random drill draws two to four kinds of trouble and the load. Others run the named troubles, or else
    `SCRIPTED`, at a fixed load.
    """
    if options.drawn:
        names = rng.sample(sorted(TROUBLES), rng.randint(2, 4))
        plan["crowd"]["rate"] *= rng.uniform(0.6, 2.2)
        plan["reports"]["how"] = rng.choice(["inline", "inline", "on_probe"])
        plan["grace"] = rng.choice([0.25, 0.5, 2.0])
        plan["setup_ms"] = [20, rng.uniform(60, 160)]
    else:
        names = list(options.troubles or SCRIPTED)
    steps = [step for name in names for step in TROUBLES[name](rng, plan, options.seconds)]
    claims = {
        "unanswered": (0, lambda counts, rows: counts["unanswered"]),
        "wrong_segments": (0, lambda counts, rows: counts["wrong_segments"]),
    }
    return DrillScript(steps, claims, names)
