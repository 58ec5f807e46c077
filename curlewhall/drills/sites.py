"""`site-...`: a whole site (a zone of the plan) is lost, cut off, comes and goes, comes back.

What happened is read from the records of nodes, links and viewers; a front's own word of what it holds lost
is not asked for.
"""

import random
from collections import Counter
from collections.abc import Callable
from functools import partial

from curlewhall.records import Record
from curlewhall.rules.judge import fates, grouped

from .fleet import add_links
from .play import Day, Script
from .start import figure, peak

LOSS = 0.3  # when the site is lost, as a part of the day
SECOND = 10_000
AFTER = 10 * SECOND  # how long after the loss service is counted
WELL = 3 * SECOND  # before the loss
KNOWN = 6 * SECOND  # after which nothing is sent to a site that answers nothing: silence is seen last
HOW = {200: "served", 503: "declined", 502: "failed"}
LOAD = 1.8  # times the plan's load: half of the nodes can't bear it


def moments(rows: list[Record]) -> tuple[int, int]:
    """When the site was lost first, and when it began to come back for good; the day's end where it did
    not.
    """
    told = [row for row in rows if row["what"] == "fault" and "site:" in row["at"]]
    begins = [row["t"] for row in told if row["kind"] != "start" and row["value"]]
    ends = [row["t"] for row in told if row["kind"] == "start" or not row["value"]]
    last = rows[-1]["t"] if rows else 0
    lost = min(begins, default=last)
    return lost, max((t for t in ends if t > lost), default=last)


def tally(rows: list[Record], begin: int, end: int) -> dict[str, Counter]:
    """By product, what became of what was asked in a span."""
    found: dict[str, Counter] = {}
    for ask, got, fate, _ in fates(grouped(rows)):
        if begin <= ask["t"] < end:
            count = found.setdefault(ask["product"], Counter())
            count["asked"] += 1
            count[HOW.get(got[0]["status"], "other") if got else fate] += 1
    return found


def inverted(rows: list[Record], begin: int, end: int) -> tuple[int, int]:
    """Plays declined, and those of them of which a less important one of the same title, so of the same
    holders, was taken within half a second after.
    """
    answers = {row["ask"]: row for row in rows if row["what"] == "answer"}
    asks = [row for row in rows if row["what"] == "ask" and begin <= row["t"] < end and row["ask"] in answers]
    taken = [
        (answers[ask["ask"]]["t"], ask["title"], ask["importance"])
        for ask in asks
        if answers[ask["ask"]]["status"] == 200
    ]
    declined = [
        (answers[ask["ask"]]["t"], ask["title"], ask["importance"])
        for ask in asks
        if answers[ask["ask"]]["status"] == 503
    ]
    bad = sum(
        any(
            title == other and 0 <= at - t <= SECOND // 2 and worth < importance for at, other, worth in taken
        )
        for t, title, importance in declined
    )
    return len(declined), bad


def figures(plan: dict, zone: str, rows: list[Record]) -> dict:
    """Service and refusals after the loss by product, the storm, what still went to the lost site."""
    lost, back = moments(rows)
    end = min(lost + AFTER, rows[-1]["t"])
    found: dict = {}
    for product, count in sorted(tally(rows, lost, end).items()):
        found[f"after_{product}"] = dict(count)
        found[f"service_{product}"] = round(count["served"] / max(1, count["asked"]), 3)
    declined, bad = inverted(rows, lost, end)
    asked = [row["t"] for row in rows if row["what"] == "ask"]
    before = [t for t in asked if t < lost]
    span = max(1, lost - min(before, default=lost)) / SECOND
    storm = peak([t for t in asked if lost <= t < end]) / max(1.0, len(before) / span)
    there = {spec["node"] for spec in plan["nodes"] if spec["zone"] == zone}
    sent = [
        row["t"]
        for row in rows
        if row["what"] in ("setup", "refused") and row["at"].removeprefix("node:") in there
    ]
    firsts = [t for t in sent if t > back]
    return found | {
        "lost_at_s": round((lost - min(asked, default=lost)) / SECOND, 2),
        "zone": zone,
        "declined_after": declined,
        "inverted": bad,
        "asks_peak_over_mean": round(storm, 2),
        "sent_while_lost": sum(lost + KNOWN < t < back for t in sent),
        "falls": sum(row["what"] == "fall" for row in rows),
        "first_after_return_s": round((min(firsts) - back) / SECOND, 2)
        if firsts and back < rows[-1]["t"]
        else None,
    }


def shunned(plan: dict, counts: dict, rows: list[Record]) -> int:
    """Zones that got no set-up in the last seconds before the loss, while all was well."""
    lost, _ = moments(rows)
    zones = {f"node:{spec['node']}": spec["zone"] for spec in plan["nodes"]}
    met = {zones[row["at"]] for row in rows if row["what"] == "setup" and lost - WELL < row["t"] < lost}
    return len(plan["zones"]) - len(met)


def loss(rng: random.Random, plan: dict, day: Day, zone: str):
    """Its nodes are killed at once and stay away. Drawn: the list service goes with it, or tells of it late;
    the fronts of that zone go with it.
    """
    at, kind = LOSS * day.seconds, rng.choice(["plain", "list", "late", "fronts"]) if day.drawn else "plain"
    steps = [(at, "fault", f"site:{zone}", "die", 1)]
    if kind == "list":
        steps = [(at - 0.001, "fault", "list", "down", 1), *steps, (at + 8, "fault", "list", "down", 0)]
    elif kind == "late":
        steps = [(at - 0.5, "fault", "list", "stale", 6.0), *steps]
    elif kind == "fronts":
        gone = [
            f["name"] for i, f in enumerate(plan["fronts"]) if plan["zones"][i % len(plan["zones"])] == zone
        ]
        steps += [(at, "kill", name) for name in gone]
    return steps, [kind], {"falls": 0}


def cut(rng: random.Random, plan: dict, day: Day, zone: str):
    """It can't be had: both ways cut, or one alone; silent but open; from one front alone; slow, which is no
    loss.
    """
    add_links(plan)
    at, end = LOSS * day.seconds, 0.7 * day.seconds
    kind = rng.choice(["both", "to", "from", "freeze", "one", "slow"]) if day.drawn else "both"
    if kind in ("freeze", "slow"):
        value = 3.0 if kind == "slow" else 1
        steps = [(at, "fault", f"site:{zone}", kind, value), (end, "fault", f"site:{zone}", kind, 0)]
    else:
        front = rng.choice(plan["fronts"])["name"] if kind == "one" else "*"
        ways = [f"link:{front}>site:{zone}", f"link:site:{zone}>{front}"]
        ways = ways[:1] if kind == "to" else ways[1:] if kind == "from" else ways
        steps = [(t, "fault", way, "cut", value) for way in ways for t, value in ((at, 1), (end, 0))]
    # what a node of a silent site still reads after everybody had the time to see it
    bounds = {"sent_while_lost": max(3, day.fronts)} if kind == "freeze" else {}
    return steps, [kind], {"falls": 0, **bounds}


def flap(rng: random.Random, plan: dict, day: Day, zone: str):
    """It comes and goes: killed and back again and again, or cut and joined."""
    kind, span = rng.choice(["die", "cut"]) if day.drawn else "die", day.seconds
    steps, at = [], 0.2 * span
    if kind == "cut":
        add_links(plan)
    while at < 0.75 * span:
        back = at + (rng.uniform(0.5, 4.0) if day.drawn else 2.0)
        if kind == "die":
            steps += [(at, "fault", f"site:{zone}", "die", 1), (back, "fault", f"site:{zone}", "start", 1)]
        else:
            for way in (f"link:*>site:{zone}", f"link:site:{zone}>*"):
                steps += [(at, "fault", way, "cut", 1), (back, "fault", way, "cut", 0)]
        at = back + (rng.uniform(0.5, 4.0) if day.drawn else 2.0)
    return steps, [kind], {"falls": 0}


def back(rng: random.Random, plan: dict, day: Day, zone: str):
    """Killed, and back cold after some seconds; drawn: half of it; lost again within its return; the list
    late.
    """
    at = LOSS * day.seconds
    kind = rng.choice(["whole", "half", "again", "late list"]) if day.drawn else "whole"
    returns = at + (rng.uniform(4.0, 8.0) if day.drawn else 5.0)
    steps = [
        (at, "fault", f"site:{zone}", "die", 1),
        (returns, "fault", f"site:{zone}", "half-start" if kind == "half" else "start", 1),
    ]
    if kind == "again":
        again = returns + rng.uniform(0.5, 3.0)
        steps += [
            (again, "fault", f"site:{zone}", "die", 1),
            (again + 3.0, "fault", f"site:{zone}", "start", 1),
        ]
    elif kind == "late list":
        steps.append((at - 0.5, "fault", "list", "stale", 3.0))
    return steps, [kind], {"falls": 0}


def drill(make: Callable, rng: random.Random, plan: dict, day: Day) -> Script:
    plan["members"] = True
    plan["crowd"]["rate"] *= rng.uniform(0.8, 1.2) * LOAD if day.drawn else LOAD
    plan["crowd"]["obey"] = rng.choice([0.0, 0.8, 1.0]) if day.drawn else 0.8
    zone = rng.choice(plan["zones"])
    steps, told, bounds = make(rng, plan, day, zone)
    claims = {
        "unanswered": (0, lambda counts, rows: counts["unanswered"]),
        "shunned": (0, partial(shunned, plan)),
        **{name: (bound, partial(figure, name)) for name, bound in bounds.items()},
    }
    name = next(name for name, made in SITES.items() if made.args[0] is make)
    return Script(steps, claims, [name, zone, *told], partial(figures, plan, zone))


SITES = {
    f"site-{name}": partial(drill, make)
    for name, make in (("loss", loss), ("cut", cut), ("flap", flap), ("return", back))
}
