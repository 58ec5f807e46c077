"""Kinds of trouble by name: each draws who, when, how long and how much, and says what is to be done.

The names are those that the users' operators give to what has gone wrong in service; ranges are this
project's.
A step is (second, what, ...): ("fault", target, kind, value), ("kill", front), ("front", front) to start one.
Crowds are laid into the plan, since arrivals are drawn before the day begins.
"""

import random
from collections.abc import Callable

Step = tuple
Trouble = Callable[[random.Random, dict, float], list[Step]]
TROUBLES: dict[str, Trouble] = {}


def trouble(draw: Trouble) -> Trouble:
    TROUBLES[draw.__name__] = draw
    return draw


def span(rng: random.Random, seconds: float, low: float, high: float) -> tuple[float, float]:
    """When something begins and ends, as parts of the day: it ends before the day's last tenth."""
    length = seconds * rng.uniform(low, high)
    begin = rng.uniform(0.1 * seconds, max(0.1 * seconds, 0.9 * seconds - length))
    return begin, begin + length


def some(rng: random.Random, plan: dict, low: float, high: float) -> list[str]:
    """A part of the nodes, one at least."""
    nodes = [spec["node"] for spec in plan["nodes"]]
    return rng.sample(nodes, max(1, round(len(nodes) * rng.uniform(low, high))))


def lasting(rng, seconds, targets, kind, value, low=0.2, high=0.5) -> list[Step]:
    """A fault at each target for one stretch of the day."""
    begin, end = span(rng, seconds, low, high)
    return [
        step
        for target in targets
        for step in ((begin, "fault", target, kind, value), (end, "fault", target, kind, 0))
    ]


@trouble
def crash(rng, plan, seconds):
    """Processes die and come back cold."""
    begin, end = span(rng, seconds, 0.15, 0.4)
    return [
        step
        for node in some(rng, plan, 0.07, 0.25)
        for step in ((begin, "fault", node, "die", 1), (end + rng.uniform(0, 0.5), "fault", node, "start", 1))
    ]


@trouble
def hang(rng, plan, seconds):
    """Nodes take everything and answer nothing."""
    return lasting(rng, seconds, some(rng, plan, 0.05, 0.2), "freeze", 1)


@trouble
def freeze_setups(rng, plan, seconds):
    """Nodes take set-ups and never answer them, while their plays go on."""
    return lasting(rng, seconds, some(rng, plan, 0.05, 0.25), "freeze_setups", 1)


@trouble
def slow(rng, plan, seconds):
    """Links give a part of what they did."""
    return lasting(rng, seconds, some(rng, plan, 0.07, 0.25), "slow", rng.uniform(1.8, 4))


@trouble
def neighbour(rng, plan, seconds):
    """Another program takes a part of the link, on and off."""
    begin, end = span(rng, seconds, 0.3, 0.6)
    nodes, part, steps, at = some(rng, plan, 0.1, 0.5), rng.uniform(0.3, 0.6), [], begin
    while at < end:
        rest = at + rng.uniform(1, 3)
        steps += [
            step
            for node in nodes
            for step in (
                (at, "fault", node, "neighbour", part),
                (min(rest, end), "fault", node, "neighbour", 0),
            )
        ]
        at = rest + rng.uniform(1, 3)
    return steps


@trouble
def origin_slow(rng, plan, seconds):
    """Uplinks of three racks in ten sag."""
    racks = rng.sample(range(plan["racks"]), max(1, round(0.3 * plan["racks"])))
    return lasting(rng, seconds, [f"rack:{rack}" for rack in racks], "sag", rng.uniform(1.3, 2.5))


@trouble
def ageing(rng, plan, seconds):
    """Nodes grow slower from second to second, then break and start anew."""
    begin, end = span(rng, seconds, 0.3, 0.5)
    steps = []
    for node in some(rng, plan, 0.05, 0.15):
        steps += [(begin + (end - begin) * i / 5, "fault", node, "ageing", i / 5) for i in range(1, 5)]
        steps += [(end, "fault", node, "die", 1), (end + rng.uniform(1, 3), "fault", node, "start", 1)]
    return steps


@trouble
def reset(rng, plan, seconds):
    """Answers of set-ups break in their middle."""
    return lasting(rng, seconds, some(rng, plan, 0.05, 0.15), "reset", 1, 0.1, 0.3)


@trouble
def garbage(rng, plan, seconds):
    """Something that is no HTTP answers, or a head without end."""
    return lasting(rng, seconds, some(rng, plan, 0.05, 0.15), rng.choice(["garbage", "endless"]), 1, 0.1, 0.3)


@trouble
def stranger(rng, plan, seconds):
    """Another machine answers at a node's address."""
    return lasting(rng, seconds, some(rng, plan, 0.05, 0.1), "stranger", 1, 0.1, 0.3)


@trouble
def release(rng, plan, seconds):
    """Nodes drain one after another, die, and start anew, cold."""
    nodes, steps, at = some(rng, plan, 0.1, 0.3), [], rng.uniform(0.1, 0.2) * seconds
    for node in nodes:
        steps += [
            (at, "fault", node, "drain", 1),
            (at + 4, "fault", node, "die", 1),
            (at + 5, "fault", node, "start", 1),
        ]
        at += max(1.5, 0.6 * seconds / len(nodes))
    return [step for step in steps if step[0] < seconds]


@trouble
def discovery_down(rng, plan, seconds):
    """The list service is out of reach."""
    return lasting(rng, seconds, ["list"], "down", 1)


@trouble
def discovery_stale(rng, plan, seconds):
    """The list service lags further."""
    return lasting(rng, seconds, ["list"], "stale", rng.uniform(1, 4))


@trouble
def peer_down(rng, plan, seconds):
    """Messages between fronts are lost."""
    return lasting(rng, seconds, ["peers"], "loss", 1.0)


@trouble
def report_gap(rng, plan, seconds):
    """Notes of load and of short delivery stay out."""
    return lasting(rng, seconds, some(rng, plan, 0.2, 0.5), "gap", 1)


@trouble
def balancer_crash(rng, plan, seconds):
    """Fronts are killed outright and started anew on the same port."""
    begin, end = span(rng, seconds, 0.05, 0.2)
    count = max(1, round(len(plan["fronts"]) * rng.uniform(0.1, 0.45)))
    return [
        step
        for front in rng.sample([f["name"] for f in plan["fronts"]], count)
        for step in ((begin, "kill", front), (end, "front", front))
    ]


def surge(rng, plan, seconds, factor, **who) -> None:
    begin, end = span(rng, seconds, 0.2, 0.5)
    rate = plan["crowd"]["rate"]
    # rise and fall: half of the crowd comes over the whole stretch, half in its middle
    for at, length in ((begin, end - begin), (begin + (end - begin) / 4, (end - begin) / 2)):
        plan["crowd"]["surges"].append({"at": at, "len": length, "rate": rate * (factor - 1) / 2, **who})


@trouble
def burst(rng, plan, seconds):
    """More viewers come, and leave again."""
    surge(rng, plan, seconds, rng.uniform(1.4, 2.2))
    return []


@trouble
def hot_key(rng, plan, seconds):
    """A crowd for one title."""
    surge(rng, plan, seconds, rng.uniform(1.1, 1.4), title=rng.choice(plan["titles"])["title"])
    return []


@trouble
def tenant_burst(rng, plan, seconds):
    """One customer's crowd."""
    surge(rng, plan, seconds, rng.uniform(1.5, 2.2), customer=rng.choice(plan["customers"])["name"])
    return []
