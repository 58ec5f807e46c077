"""Kinds of trouble by name: each draws its targets, times and sizes, and returns the steps of a drill.

The names are those that the users' operators give to failures in service; the ranges are this project's.
A step is (second, action, ...): ("fault", target, kind, value), ("kill", front), or ("front", front) to start
one. Surges of viewers are added to the plan, since arrivals are drawn before the drill starts.
"""

import random
from collections.abc import Callable

Step = tuple
Trouble = Callable[[random.Random, dict, float], list[Step]]
TROUBLES: dict[str, Trouble] = {}


def trouble(draw: Trouble) -> Trouble:
    """Registers a kind of trouble under the name of its function."""
    TROUBLES[draw.__name__] = draw
    return draw


def random_span(rng: random.Random, seconds: float, low: float, high: float) -> tuple[float, float]:
    """Returns the begin and end, in seconds, of a span that takes a share from `low` to `high` of the drill.
    It begins after the drill's first tenth and, unless it is longer than that allows, ends before the last.
    """
    length = seconds * rng.uniform(low, high)
    begin = rng.uniform(0.1 * seconds, max(0.1 * seconds, 0.9 * seconds - length))
    return begin, begin + length


def random_nodes(rng: random.Random, plan: dict, low: float, high: float) -> list[str]:
    """Returns a random share of the nodes, from `low` to `high`; at least one."""
    nodes = [spec["node"] for spec in plan["nodes"]]
    return rng.sample(nodes, max(1, round(len(nodes) * rng.uniform(low, high))))


def lasting_fault(
    rng: random.Random,
    seconds: float,
    targets: list[str],
    kind: str,
    value: float,
    low: float = 0.2,
    high: float = 0.5,
) -> list[Step]:
    """Returns the steps of a fault that holds at all targets for one random span."""
    begin, end = random_span(rng, seconds, low, high)
    return [
        step
        for target in targets
        for step in ((begin, "fault", target, kind, value), (end, "fault", target, kind, 0))
    ]


@trouble
def crash(rng: random.Random, plan: dict, seconds: float) -> list[Step]:
    """Node processes are killed and start again, cold."""
    begin, end = random_span(rng, seconds, 0.15, 0.4)
    return [
        step
        for node in random_nodes(rng, plan, 0.07, 0.25)
        for step in ((begin, "fault", node, "die", 1), (end + rng.uniform(0, 0.5), "fault", node, "start", 1))
    ]


@trouble
def hang(rng: random.Random, plan: dict, seconds: float) -> list[Step]:
    """Nodes accept all connections and requests and answer none."""
    return lasting_fault(rng, seconds, random_nodes(rng, plan, 0.05, 0.2), "freeze", 1)


@trouble
def freeze_setups(rng: random.Random, plan: dict, seconds: float) -> list[Step]:
    """Nodes accept set-ups and never answer them, while their plays go on."""
    return lasting_fault(rng, seconds, random_nodes(rng, plan, 0.05, 0.25), "freeze_setups", 1)


@trouble
def slow(rng: random.Random, plan: dict, seconds: float) -> list[Step]:
    """Links of nodes are slower by a factor."""
    return lasting_fault(rng, seconds, random_nodes(rng, plan, 0.07, 0.25), "slow", rng.uniform(1.8, 4))


@trouble
def neighbour(rng: random.Random, plan: dict, seconds: float) -> list[Step]:
    """Another program uses a share of the nodes' links, on and off."""
    begin, end = random_span(rng, seconds, 0.3, 0.6)
    nodes = random_nodes(rng, plan, 0.1, 0.5)
    share = rng.uniform(0.3, 0.6)
    steps = []
    at = begin
    while at < end:
        pause = at + rng.uniform(1, 3)
        steps += [
            step
            for node in nodes
            for step in (
                (at, "fault", node, "neighbour", share),
                (min(pause, end), "fault", node, "neighbour", 0),
            )
        ]
        at = pause + rng.uniform(1, 3)
    return steps


@trouble
def origin_slow(rng: random.Random, plan: dict, seconds: float) -> list[Step]:
    """The uplinks of three racks in ten are slower by a factor."""
    racks = rng.sample(range(plan["racks"]), max(1, round(0.3 * plan["racks"])))
    return lasting_fault(rng, seconds, [f"rack:{rack}" for rack in racks], "sag", rng.uniform(1.3, 2.5))


@trouble
def ageing(rng: random.Random, plan: dict, seconds: float) -> list[Step]:
    """Nodes become slower step by step, then crash and start again."""
    begin, end = random_span(rng, seconds, 0.3, 0.5)
    steps = []
    for node in random_nodes(rng, plan, 0.05, 0.15):
        steps += [(begin + (end - begin) * i / 5, "fault", node, "ageing", i / 5) for i in range(1, 5)]
        steps += [(end, "fault", node, "die", 1), (end + rng.uniform(1, 3), "fault", node, "start", 1)]
    return steps


@trouble
def reset(rng: random.Random, plan: dict, seconds: float) -> list[Step]:
    """Connections are reset in the middle of answers to set-ups."""
    return lasting_fault(rng, seconds, random_nodes(rng, plan, 0.05, 0.15), "reset", 1, 0.1, 0.3)


@trouble
def garbage(rng: random.Random, plan: dict, seconds: float) -> list[Step]:
    """Nodes answer with something that is not HTTP, or with an endless response head."""
    return lasting_fault(
        rng, seconds, random_nodes(rng, plan, 0.05, 0.15), rng.choice(["garbage", "endless"]), 1, 0.1, 0.3
    )


@trouble
def stranger(rng: random.Random, plan: dict, seconds: float) -> list[Step]:
    """Another server answers at a node's address."""
    return lasting_fault(rng, seconds, random_nodes(rng, plan, 0.05, 0.1), "stranger", 1, 0.1, 0.3)


@trouble
def release(rng: random.Random, plan: dict, seconds: float) -> list[Step]:
    """Nodes drain one after another, stop, and start again, cold."""
    nodes = random_nodes(rng, plan, 0.1, 0.3)
    steps = []
    at = rng.uniform(0.1, 0.2) * seconds
    for node in nodes:
        steps += [
            (at, "fault", node, "drain", 1),
            (at + 4, "fault", node, "die", 1),
            (at + 5, "fault", node, "start", 1),
        ]
        at += max(1.5, 0.6 * seconds / len(nodes))
    return [step for step in steps if step[0] < seconds]


@trouble
def discovery_down(rng: random.Random, plan: dict, seconds: float) -> list[Step]:
    """The list service is down."""
    return lasting_fault(rng, seconds, ["list"], "down", 1)


@trouble
def discovery_stale(rng: random.Random, plan: dict, seconds: float) -> list[Step]:
    """The list service reports changes later than usual."""
    return lasting_fault(rng, seconds, ["list"], "stale", rng.uniform(1, 4))


@trouble
def peer_down(rng: random.Random, plan: dict, seconds: float) -> list[Step]:
    """Messages between fronts are lost."""
    return lasting_fault(rng, seconds, ["peers"], "loss", 1.0)


@trouble
def report_gap(rng: random.Random, plan: dict, seconds: float) -> list[Step]:
    """Nodes send no reports of load and of short delivery."""
    return lasting_fault(rng, seconds, random_nodes(rng, plan, 0.2, 0.5), "gap", 1)


@trouble
def balancer_crash(rng: random.Random, plan: dict, seconds: float) -> list[Step]:
    """Fronts are killed and start again on the same port."""
    begin, end = random_span(rng, seconds, 0.05, 0.2)
    count = max(1, round(len(plan["fronts"]) * rng.uniform(0.1, 0.45)))
    return [
        step
        for front in rng.sample([f["name"] for f in plan["fronts"]], count)
        for step in ((begin, "kill", front), (end, "front", front))
    ]


def add_surge(rng: random.Random, plan: dict, seconds: float, factor: float, **filters: str) -> None:
    """Adds a surge of viewers to the plan: `factor` times the usual rate; `filters` may set `title` or
    `customer`.
    """
    begin, end = random_span(rng, seconds, 0.2, 0.5)
    rate = plan["crowd"]["rate"]
    # The surge rises and falls: half of its rate holds for the whole span, half for the middle of the span.
    for at, length in ((begin, end - begin), (begin + (end - begin) / 4, (end - begin) / 2)):
        plan["crowd"]["surges"].append({"at": at, "len": length, "rate": rate * (factor - 1) / 2, **filters})


@trouble
def burst(rng: random.Random, plan: dict, seconds: float) -> list[Step]:
    """A surge of viewers for all titles."""
    add_surge(rng, plan, seconds, rng.uniform(1.4, 2.2))
    return []


@trouble
def hot_key(rng: random.Random, plan: dict, seconds: float) -> list[Step]:
    """A surge of viewers for one title."""
    add_surge(rng, plan, seconds, rng.uniform(1.1, 1.4), title=rng.choice(plan["titles"])["title"])
    return []


@trouble
def tenant_burst(rng: random.Random, plan: dict, seconds: float) -> list[Step]:
    """A surge of viewers of one customer."""
    add_surge(rng, plan, seconds, rng.uniform(1.5, 2.2), customer=rng.choice(plan["customers"])["name"])
    return []
