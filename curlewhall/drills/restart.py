"""Drills of fronts under a daemon, at a steady load.

- `restart`: fronts are replaced by successors, again and again.
- `steady`: the same load without restarts, for comparison.
- `leave`: fronts are stopped and started again later.
"""

import random

from curlewhall.records import Record

from .play import DrillOptions, DrillScript

RESTART_INTERVAL_S = (1.2, 2.2)  # per worker; the hand-over of a worker takes about a second


def figures(rows: list[Record]) -> dict[str, float]:
    """Returns the results of the hand-overs, and the times of answers in ms."""
    replies = [row for row in rows if row["what"] == "daemon"]
    asks = {row["ask"]: row for row in rows if row["what"] == "ask"}
    answer_times = sorted(row["took"] for row in rows if row["what"] == "answer" and row["ask"] in asks)
    ends = [row for row in rows if row["what"] == "end" and row["playing"]]
    spans = sorted(row["span"] for row in replies)
    return {
        "restarts": len(replies),
        "restarts_failed": sum(not row["ok"] for row in replies),
        "restart_longest": spans[-1] if spans else 0.0,
        "console_longest": max((row["console"] for row in replies), default=0.0),
        "restart_mean": round(sum(spans) / max(1, len(spans)), 3),
        "not_resumed": sum(row["why"] in ("orphan", "unknown") for row in ends),
        "answer_p50_ms": answer_times[len(answer_times) // 2] / 10 if answer_times else 0.0,
        "answer_p99_ms": answer_times[int(0.99 * len(answer_times))] / 10 if answer_times else 0.0,
        "answer_longest_ms": answer_times[-1] / 10 if answer_times else 0.0,
    }


def prepare(plan: dict, options: DrillOptions) -> None:
    """Starts fronts under a daemon, with strict durability, longer plays and half the load."""
    plan["daemon"] = options.workers
    plan["durability"] = "strict"
    for product in plan["products"]:
        product["life"] = [2 * seconds for seconds in product["life"]]
    plan["crowd"]["rate"] *= 0.5


def claims() -> dict:
    """Returns the claims: no restart fails, all plays are resumed, all requests are answered."""
    bounds = {
        name: (0, lambda counts, rows, name=name: figures(rows)[name])
        for name in ("restarts_failed", "not_resumed")
    }
    return bounds | {"unanswered": (0, lambda counts, rows: counts["unanswered"])}


def restart(rng: random.Random, plan: dict, options: DrillOptions) -> DrillScript:
    """A random front is replaced by a successor again and again; its console must answer within 2 s."""
    prepare(plan, options)
    plan["console"] = 8600
    steps, at = [], rng.uniform(2, 3)
    while at < options.seconds - 2:
        steps.append((at, "daemon", rng.choice(plan["fronts"])["name"], "restart"))
        at += rng.uniform(*RESTART_INTERVAL_S) * options.workers
    console_claim = {"console_longest": (2.0, lambda counts, rows: figures(rows)["console_longest"])}
    return DrillScript(steps, claims() | console_claim, ["restart"], figures)


def steady(rng: random.Random, plan: dict, options: DrillOptions) -> DrillScript:
    """The load of `restart` without restarts."""
    prepare(plan, options)
    return DrillScript([], claims(), [], figures)


def leave(rng: random.Random, plan: dict, options: DrillOptions) -> DrillScript:
    """Fronts are stopped one after the other and started again 3 s later; their peers take over their
    plays.
    """
    prepare(plan, options)
    steps, at = [], rng.uniform(3, 4)
    while at < options.seconds - 5:
        front = rng.choice(plan["fronts"])["name"]
        steps += [(at, "daemon", front, "stop"), (at + 3.0, "front", front)]
        at += rng.uniform(4.0, 5.0)
    bounds = claims()
    bounds["lost_in_seams"] = (
        0,
        lambda counts, rows: sum(row["why"] == "lost by a move" for row in rows if row["what"] == "watched"),
    )
    return DrillScript(
        steps,
        bounds,
        ["leave"],
        lambda rows: figures(rows) | {"given": sum(row["what"] == "given" for row in rows)},
    )
