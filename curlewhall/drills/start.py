"""`start-...`: all fronts end at one moment and begin again at one, under load, with the list service well,
away, slow, or cut off from some; with kept lists that are fresh, old, wrong or missing.

What the service and the nodes bore is counted from the records of their own sockets and of the links.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Callable
from functools import partial

from curlewhall.records import Record

from .fleet import add_links
from .play import Day, Script

END = 0.25  # when the fronts end, as a part of the day
CURRENT = 10.0  # seconds until all go by a current list where all is well
LATE = 4.0  # seconds that a busy machine takes until two dozen processes that begin at once are up


def again(rows: list[Record]) -> int:
    """When the last of the fronts was started anew."""
    return max((row["t"] for row in rows if row["what"] == "started"), default=0)


def peak(times: list[int]) -> int:
    """Most events in any second."""
    times, first, most = sorted(times), 0, 0
    for last, t in enumerate(times):
        while times[first] <= t - 10_000:
            first += 1
        most = max(most, last - first + 1)
    return most


def figures(rows: list[Record]) -> dict[str, float]:
    """What list service and nodes bore from the first front's death on, and when the fronts were current."""
    begin = min((row["t"] for row in rows if row["what"] == "killed"), default=0)
    last, fronts = again(rows), {row["front"] for row in rows if row["what"] == "started"}
    late = [row for row in rows if row["t"] >= begin]
    asked = [row["t"] for row in late if row["what"] == "asked"]
    said = [row for row in late if row["what"] == "said"]
    told: dict[str, int] = {}
    starts = {row["front"]: row["t"] for row in rows if row["what"] == "started"}
    for row in late:
        if row["what"] == "told" and row["t"] >= starts.get(row["front"], 0):
            told.setdefault(row["front"], row["t"])
    by_node: dict[str, dict[str, list[int]]] = defaultdict(lambda: defaultdict(list))
    for row in late:
        if row["what"] in ("handshake", "stream", "probe") and row["at"].startswith("node:"):
            by_node[row["what"]][row["at"]].append(row["t"])
    seconds: Counter = Counter()
    for row in said:
        seconds[row["t"] // 10_000] += row["size"]
    busiest = {
        f"{what}s_in_a_second": max((peak(times) for times in nodes.values()), default=0)
        for what, nodes in by_node.items()
    }
    current = [(t - last) / 10_000 for t in told.values()]
    return {
        "asks": len(asked),
        "asks_in_a_second": peak(asked),
        "shed": sum(row["what"] == "shed" for row in late),
        "wholes": sum(row["how"] == "whole" for row in said),
        "wholes_in_a_second": peak([row["t"] for row in said if row["how"] == "whole"]),
        "list_bytes_in_a_second": max(seconds.values(), default=0),
        "told": len(told),
        "never_told": len(fronts) - len(told),
        "current_s": round(max(current, default=0.0), 2),
        "handshakes_in_a_second": 0,
        "streams_in_a_second": 0,
        "probes_in_a_second": 0,
        **busiest,
        "strays": sum(row["what"] == "stray" and row["path"] == "/v1/plays" for row in late),
    }


def together(plan: dict, at: float, before: list[tuple]) -> list[tuple]:
    """All fronts are killed, something is done to what they kept, and all begin again."""
    names = [front["name"] for front in plan["fronts"]]
    return [
        *((at, "kill", name) for name in names),
        *((at + 0.001, *step) for step in before),
        *((at + 0.002, "front", name) for name in names),
    ]


def kept(plan: dict, days: float, wrong: float) -> list[tuple]:
    return [("kept", front["name"], days, wrong) for front in plan["fronts"]]


def well(rng: random.Random, plan: dict, day: Day) -> tuple[list[tuple], dict]:
    """Everything is well, lists are kept."""
    return together(plan, END * day.seconds, []), {
        "wholes": max(0, day.fronts // 10),
        "never_told": 0,
        "current_s": CURRENT,
    }


def blind(rng: random.Random, plan: dict, day: Day, wrong: float | None = None, days: float | None = None):
    """The service is away; of the kept list a part lies where another machine answers."""
    wrong = rng.choice([0.0, 0.2, 0.6]) if wrong is None else wrong
    days = rng.choice([0.0, 1.0, 3.0]) if days is None else days
    at = END * day.seconds
    steps = [
        (at - 0.2, "fault", "list", "down", 1),
        *together(plan, at, kept(plan, days, wrong)),
        (0.8 * day.seconds, "fault", "list", "down", 0),
    ]
    strays = 2 * day.fronts * round(wrong * day.nodes)
    return steps, {"never_told": 0, "strays": 0 if days >= 1 else strays}


def old(rng: random.Random, plan: dict, day: Day):
    """The service is away, and the list is so old that nothing of it is believed unseen."""
    return blind(rng, plan, day, rng.choice([0.2, 0.6]), 400.0)


def slow(rng: random.Random, plan: dict, day: Day):
    """No lists are kept, and the service gives a tenth of what is asked of it in a second."""
    rate, at = max(1, day.fronts // 10), END * day.seconds
    silent = rng.random() < 0.3
    steps = [
        (at - 0.2, "fault", "list", "capacity", float(rate)),
        *([(at - 0.2, "fault", "list", "silent", 1)] if silent else []),
        *together(plan, at, kept(plan, -1, 0)),
    ]
    if silent:  # who is not answered comes again after the front's own patience
        return steps, {"wholes_in_a_second": 2 * rate}
    return steps, {
        "never_told": 0,
        "wholes_in_a_second": 2 * rate,
        "current_s": LATE + 1.5 * (day.fronts / rate),
    }


def split(rng: random.Random, plan: dict, day: Day):
    """A third of the fronts is cut off from the service, then joined; one direction or both."""
    at, names = END * day.seconds, [front["name"] for front in plan["fronts"]]
    apart = rng.sample(names, max(1, len(names) // 3))
    ways = rng.choice([["link:{}>list"], ["link:list>{}"], ["link:{}>list", "link:list>{}"]])
    faults = [way.format(name) for name in apart for way in ways]
    return [
        *((at - 0.2, "fault", way, "cut", 1) for way in faults),
        *together(plan, at, []),
        *((0.7 * day.seconds, "fault", way, "cut", 0) for way in faults),
    ], {"never_told": 0}


def roll(rng: random.Random, plan: dict, day: Day):
    """A tenth of the fronts at a time, as a release does it."""
    names, steps = [front["name"] for front in plan["fronts"]], []
    few = max(1, len(names) // 10)
    rounds = [names[i : i + few] for i in range(0, len(names), few)]
    for i, some in enumerate(rounds):
        at = (0.15 + 0.65 * i / len(rounds)) * day.seconds
        steps += [(at, "kill", name) for name in some] + [(at + 0.002, "front", name) for name in some]
    return steps, {"wholes": max(0, day.fronts // 10), "never_told": 0}


def restless(rng: random.Random, plan: dict, day: Day):
    """The service dies again while the herd is half through, stalls, comes back older or in a new life, and a
    front stands still in the middle of its start.
    """
    at, names = END * day.seconds, [front["name"] for front in plan["fronts"]]
    stops, still = at + rng.uniform(0.8, 2.5), rng.choice(names)
    back = stops + rng.uniform(0.5, 3.0)
    kind = rng.choice(["older", "life", "stall", "older"])
    node = rng.choice(plan["nodes"])["node"]
    steps = [
        (0.1 * day.seconds, "fault", node, "drain", 1),
        *together(plan, at, kept(plan, rng.choice([-1, 0, 0]), 0)),
        (stops, "fault", "list", "down", 1)
        if kind != "stall"
        else (stops, "fault", "link:list>*", "stall", 1),
        (at + rng.uniform(0.2, 2.0), "pause", still),
        (back + 1.0, "wake", still),
    ]
    if kind == "stall":
        steps += [(back, "fault", "link:list>*", "stall", 0)]
    else:
        steps += [(back - 0.01, "fault", "list", kind, 1.0), (back, "fault", "list", "down", 0)]
    return steps, {"never_told": 0}


def drill(make: Callable, rng: random.Random, plan: dict, day: Day) -> Script:
    add_links(plan)
    steps, bounds = make(rng, plan, day)
    claims = {
        "unanswered": (0, lambda counts, rows: counts["unanswered"]),
        **{name: (bound, partial(figure, name)) for name, bound in bounds.items()},
    }
    return Script(steps, claims, [f"start-{make.__name__}"], figures)


def figure(name: str, counts: dict, rows: list[Record]) -> float:
    """The value of a claim on one of the figures."""
    return counts[name]


STARTS = {
    f"start-{name}": partial(drill, make)
    for name, make in (
        ("herd", well),
        ("blind", blind),
        ("old", old),
        ("slow", slow),
        ("split", split),
        ("roll", roll),
        ("restless", restless),
    )
}
