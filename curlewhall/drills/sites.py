"""The `site-...` drills: a whole site (a zone of the plan) is lost, cut off, lost again and again, or
returns.

The figures come from the records of nodes, links and viewers, not from what fronts say that they consider
lost.
"""

import random
from collections import Counter
from collections.abc import Callable
from functools import partial

from curlewhall.records import Record
from curlewhall.rules.judge import group_by_kind, request_outcomes

from .fleet import add_links
from .play import DrillOptions, DrillScript
from .start import figure, peak

LOSS_TIME = 0.3  # as a share of the drill
TICKS_PER_SECOND = 10_000  # of the records
SERVICE_SPAN_TICKS = 10 * TICKS_PER_SECOND  # after the loss, in which service is counted
HEALTHY_SPAN_TICKS = 3 * TICKS_PER_SECOND  # before the loss
# By then the fronts must have noticed any loss; nodes that accept connections but answer nothing come last.
DETECTION_TICKS = 6 * TICKS_PER_SECOND
STATUS_NAMES = {200: "served", 503: "declined", 502: "failed"}
LOAD_FACTOR = 1.8  # of the plan's load: too much for half of the nodes


def loss_and_return(rows: list[Record]) -> tuple[int, int]:
    """Returns the times of the first loss and of the last return of the site; the end of the records where
    there is none.
    """
    faults = [row for row in rows if row["what"] == "fault" and "site:" in row["at"]]
    begins = [row["t"] for row in faults if row["kind"] != "start" and row["value"]]
    ends = [row["t"] for row in faults if row["kind"] == "start" or not row["value"]]
    last = rows[-1]["t"] if rows else 0
    lost = min(begins, default=last)
    return lost, max((t for t in ends if t > lost), default=last)


def count_outcomes(rows: list[Record], begin: int, end: int) -> dict[str, Counter]:
    """Returns the outcomes of the requests of a span, by product."""
    found: dict[str, Counter] = {}
    for ask, answers, outcome, _ in request_outcomes(group_by_kind(rows)):
        if begin <= ask["t"] < end:
            count = found.setdefault(ask["product"], Counter())
            count["asked"] += 1
            count[STATUS_NAMES.get(answers[0]["status"], "other") if answers else outcome] += 1
    return found


def count_inversions(rows: list[Record], begin: int, end: int) -> tuple[int, int]:
    """Returns the number of declined plays, and of those for which a less important play of the same title
    (and so of the same nodes) was served within the next half second.
    """
    answers = {row["ask"]: row for row in rows if row["what"] == "answer"}
    asks = [row for row in rows if row["what"] == "ask" and begin <= row["t"] < end and row["ask"] in answers]
    served = [
        (answers[ask["ask"]]["t"], ask["title"], ask["importance"])
        for ask in asks
        if answers[ask["ask"]]["status"] == 200
    ]
    declined = [
        (answers[ask["ask"]]["t"], ask["title"], ask["importance"])
        for ask in asks
        if answers[ask["ask"]]["status"] == 503
    ]
    inversions = sum(
        any(
            title == served_title
            and 0 <= served_at - t <= TICKS_PER_SECOND // 2
            and served_importance < importance
            for served_at, served_title, served_importance in served
        )
        for t, title, importance in declined
    )
    return len(declined), inversions


def figures(plan: dict, zone: str, rows: list[Record]) -> dict:
    """Returns service and declines after the loss by product, the peak of requests, and the set-ups that were
    still sent to the lost site.
    """
    lost, back = loss_and_return(rows)
    end = min(lost + SERVICE_SPAN_TICKS, rows[-1]["t"])
    found: dict = {}
    for product, count in sorted(count_outcomes(rows, lost, end).items()):
        found[f"after_{product}"] = dict(count)
        found[f"service_{product}"] = round(count["served"] / max(1, count["asked"]), 3)
    declined, inversions = count_inversions(rows, lost, end)
    asked = [row["t"] for row in rows if row["what"] == "ask"]
    before = [t for t in asked if t < lost]
    span = max(1, lost - min(before, default=lost)) / TICKS_PER_SECOND
    peak_over_mean = peak([t for t in asked if lost <= t < end]) / max(1.0, len(before) / span)
    site_nodes = {spec["node"] for spec in plan["nodes"] if spec["zone"] == zone}
    sent = [
        row["t"]
        for row in rows
        if row["what"] in ("setup", "refused") and row["at"].removeprefix("node:") in site_nodes
    ]
    after_return = [t for t in sent if t > back]
    return found | {
        "lost_at_s": round((lost - min(asked, default=lost)) / TICKS_PER_SECOND, 2),
        "zone": zone,
        "declined_after": declined,
        "inverted": inversions,
        "asks_peak_over_mean": round(peak_over_mean, 2),
        "sent_while_lost": sum(lost + DETECTION_TICKS < t < back for t in sent),
        "falls": sum(row["what"] == "fall" for row in rows),
        "first_after_return_s": round((min(after_return) - back) / TICKS_PER_SECOND, 2)
        if after_return and back < rows[-1]["t"]
        else None,
    }


def count_unused_zones(plan: dict, counts: dict, rows: list[Record]) -> int:
    """Returns the number of zones that got no set-up in the last seconds before the loss, while all were
    healthy.
    """
    lost, _ = loss_and_return(rows)
    zones = {f"node:{spec['node']}": spec["zone"] for spec in plan["nodes"]}
    used = {
        zones[row["at"]]
        for row in rows
        if row["what"] == "setup" and lost - HEALTHY_SPAN_TICKS < row["t"] < lost
    }
    return len(plan["zones"]) - len(used)


def site_loss(rng: random.Random, plan: dict, options: DrillOptions, zone: str):
    """The site's nodes are killed at once and stay down. Drawn: the list service fails with them or reports
    the loss late, or the fronts of that zone are killed too.
    """
    at, kind = (
        LOSS_TIME * options.seconds,
        rng.choice(["plain", "list", "late", "fronts"]) if options.drawn else "plain",
    )
    steps = [(at, "fault", f"site:{zone}", "die", 1)]
    if kind == "list":
        steps = [(at - 0.001, "fault", "list", "down", 1), *steps, (at + 8, "fault", "list", "down", 0)]
    elif kind == "late":
        steps = [(at - 0.5, "fault", "list", "stale", 6.0), *steps]
    elif kind == "fronts":
        lost_fronts = [
            f["name"] for i, f in enumerate(plan["fronts"]) if plan["zones"][i % len(plan["zones"])] == zone
        ]
        steps += [(at, "kill", name) for name in lost_fronts]
    return steps, [kind], {"falls": 0}


def site_cut(rng: random.Random, plan: dict, options: DrillOptions, zone: str):
    """The site is unreachable. Drawn: links cut in both directions or in one, from all fronts or from one;
    nodes that accept connections and answer nothing; or slow nodes, which are no loss.
    """
    add_links(plan)
    at, end = LOSS_TIME * options.seconds, 0.7 * options.seconds
    kind = rng.choice(["both", "to", "from", "freeze", "one", "slow"]) if options.drawn else "both"
    if kind in ("freeze", "slow"):
        value = 3.0 if kind == "slow" else 1
        steps = [(at, "fault", f"site:{zone}", kind, value), (end, "fault", f"site:{zone}", kind, 0)]
    else:
        front = rng.choice(plan["fronts"])["name"] if kind == "one" else "*"
        targets = [f"link:{front}>site:{zone}", f"link:site:{zone}>{front}"]
        targets = targets[:1] if kind == "to" else targets[1:] if kind == "from" else targets
        steps = [(t, "fault", target, "cut", value) for target in targets for t, value in ((at, 1), (end, 0))]
    # The set-ups that nodes of a silent site may still read after the fronts had time to notice the silence.
    bounds = {"sent_while_lost": max(3, options.fronts)} if kind == "freeze" else {}
    return steps, [kind], {"falls": 0, **bounds}


def site_flap(rng: random.Random, plan: dict, options: DrillOptions, zone: str):
    """The site is lost and returns again and again: its nodes are killed and restarted, or its links are
    cut.
    """
    kind, span = rng.choice(["die", "cut"]) if options.drawn else "die", options.seconds
    steps, at = [], 0.2 * span
    if kind == "cut":
        add_links(plan)
    while at < 0.75 * span:
        back = at + (rng.uniform(0.5, 4.0) if options.drawn else 2.0)
        if kind == "die":
            steps += [(at, "fault", f"site:{zone}", "die", 1), (back, "fault", f"site:{zone}", "start", 1)]
        else:
            for target in (f"link:*>site:{zone}", f"link:site:{zone}>*"):
                steps += [(at, "fault", target, "cut", 1), (back, "fault", target, "cut", 0)]
        at = back + (rng.uniform(0.5, 4.0) if options.drawn else 2.0)
    return steps, [kind], {"falls": 0}


def site_return(rng: random.Random, plan: dict, options: DrillOptions, zone: str):
    """The site's nodes are killed and start again, cold, after some seconds. Drawn: only half of them return;
    they are lost again soon after their return; or the list service reports late.
    """
    at = LOSS_TIME * options.seconds
    kind = rng.choice(["whole", "half", "again", "late list"]) if options.drawn else "whole"
    returns = at + (rng.uniform(4.0, 8.0) if options.drawn else 5.0)
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


def site_drill(make_steps: Callable, rng: random.Random, plan: dict, options: DrillOptions) -> DrillScript:
    """Returns the script of the drill whose steps `make_steps` returns, for a random zone."""
    plan["members"] = True
    plan["crowd"]["rate"] *= rng.uniform(0.8, 1.2) * LOAD_FACTOR if options.drawn else LOAD_FACTOR
    plan["crowd"]["obey"] = rng.choice([0.0, 0.8, 1.0]) if options.drawn else 0.8
    zone = rng.choice(plan["zones"])
    steps, kinds, bounds = make_steps(rng, plan, options, zone)
    claims = {
        "unanswered": (0, lambda counts, rows: counts["unanswered"]),
        "shunned": (0, partial(count_unused_zones, plan)),
        **{name: (bound, partial(figure, name)) for name, bound in bounds.items()},
    }
    name = next(name for name, drill in SITES.items() if drill.args[0] is make_steps)
    return DrillScript(steps, claims, [name, zone, *kinds], partial(figures, plan, zone))


SITES = {
    f"site-{name}": partial(site_drill, make_steps)
    for name, make_steps in (
        ("loss", site_loss),
        ("cut", site_cut),
        ("flap", site_flap),
        ("return", site_return),
    )
}
