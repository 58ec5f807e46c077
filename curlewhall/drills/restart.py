"""`restart`: fronts are replaced by successors under steady load, again and again. `steady`: the same load
without, for comparison.
"""

import random

from curlewhall.records import Record

from .play import Day, Script

EVERY = (1.2, 2.2)  # seconds from one hand-over to the next; a worker takes about one


def figures(rows: list[Record]) -> dict[str, float]:
    """What became of the hand-overs, and how long answers took about them."""
    told = [row for row in rows if row["what"] == "daemon"]
    asks = {row["ask"]: row for row in rows if row["what"] == "ask"}
    took = sorted(row["took"] for row in rows if row["what"] == "answer" and row["ask"] in asks)
    ends = [row for row in rows if row["what"] == "end" and row["playing"]]
    spans = sorted(row["span"] for row in told)
    return {
        "restarts": len(told),
        "restarts_failed": sum(not row["ok"] for row in told),
        "restart_longest": spans[-1] if spans else 0.0,
        "console_longest": max((row["console"] for row in told), default=0.0),
        "restart_mean": round(sum(spans) / max(1, len(spans)), 3),
        "not_resumed": sum(row["why"] in ("orphan", "unknown") for row in ends),
        "answer_p50_ms": took[len(took) // 2] / 10 if took else 0.0,
        "answer_p99_ms": took[int(0.99 * len(took))] / 10 if took else 0.0,
        "answer_longest_ms": took[-1] / 10 if took else 0.0,
    }


def prepare(plan: dict, day: Day) -> None:
    plan["daemon"] = day.workers
    plan["durability"] = "strict"
    for product in plan["products"]:
        product["life"] = [2 * seconds for seconds in product["life"]]
    plan["crowd"]["rate"] *= 0.5


def claims() -> dict:
    found = {
        name: (0, lambda counts, rows, name=name: figures(rows)[name])
        for name in ("restarts_failed", "not_resumed")
    }
    return found | {"unanswered": (0, lambda counts, rows: counts["unanswered"])}


def restart(rng: random.Random, plan: dict, day: Day) -> Script:
    prepare(plan, day)
    plan["console"] = 8600
    steps, at = [], rng.uniform(2, 3)
    while at < day.seconds - 2:
        steps.append((at, "daemon", rng.choice(plan["fronts"])["name"], "restart"))
        at += rng.uniform(*EVERY) * day.workers
    back = {"console_longest": (2.0, lambda counts, rows: figures(rows)["console_longest"])}
    return Script(steps, claims() | back, ["restart"], figures)


def steady(rng: random.Random, plan: dict, day: Day) -> Script:
    prepare(plan, day)
    return Script([], claims(), [], figures)


def leave(rng: random.Random, plan: dict, day: Day) -> Script:
    """Fronts are stopped for good, one after the other, and come back later: peers take their plays."""
    prepare(plan, day)
    steps, at = [], rng.uniform(3, 4)
    while at < day.seconds - 5:
        front = rng.choice(plan["fronts"])["name"]
        steps += [(at, "daemon", front, "stop"), (at + 3.0, "front", front)]
        at += rng.uniform(4.0, 5.0)
    found = claims()
    found["lost_in_seams"] = (
        0,
        lambda counts, rows: sum(row["why"] == "lost by a move" for row in rows if row["what"] == "watched"),
    )
    return Script(
        steps,
        found,
        ["leave"],
        lambda rows: figures(rows) | {"given": sum(row["what"] == "given" for row in rows)},
    )
