"""The `start-...` drills: all fronts are killed at once and started again at once, under load, with a list
service that is healthy, down, slow, or cut off from some fronts, and with kept lists that are fresh, old,
wrong or missing.

The load on the list service and on the nodes is counted from the records of their own sockets and of the
links.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Callable
from functools import partial

from curlewhall.records import Record

from .fleet import add_links
from .play import DrillOptions, DrillScript

TICKS_PER_SECOND = 10_000  # of the records
KILL_TIME = 0.25  # as a share of the drill
CURRENT_WITHIN_S = 10.0  # until all fronts use a current list, with a healthy list service
STARTUP_S = 4.0  # until two dozen processes that start at once are up on a busy machine


def last_start(rows: list[Record]) -> int:
    """Returns the time at which the last front was started."""
    return max((row["t"] for row in rows if row["what"] == "started"), default=0)


def peak(times: list[int]) -> int:
    """Returns the largest number of events in any second."""
    times = sorted(times)
    first = 0
    most = 0
    for last, t in enumerate(times):
        while times[first] <= t - TICKS_PER_SECOND:
            first += 1
        most = max(most, last - first + 1)
    return most


def figures(rows: list[Record]) -> dict[str, float]:
    """Returns the load on list service and nodes since the first front was killed, and the seconds until the
    last front had a current list.
    """
    begin = min((row["t"] for row in rows if row["what"] == "killed"), default=0)
    last, fronts = last_start(rows), {row["front"] for row in rows if row["what"] == "started"}
    later = [row for row in rows if row["t"] >= begin]
    request_times = [row["t"] for row in later if row["what"] == "asked"]
    list_answers = [row for row in later if row["what"] == "said"]
    first_lists: dict[str, int] = {}  # the time of the first list, by front
    starts = {row["front"]: row["t"] for row in rows if row["what"] == "started"}
    for row in later:
        if row["what"] == "told" and row["t"] >= starts.get(row["front"], 0):
            first_lists.setdefault(row["front"], row["t"])
    by_node: dict[str, dict[str, list[int]]] = defaultdict(lambda: defaultdict(list))
    for row in later:
        if row["what"] in ("handshake", "stream", "probe") and row["at"].startswith("node:"):
            by_node[row["what"]][row["at"]].append(row["t"])
    bytes_by_second: Counter = Counter()
    for row in list_answers:
        bytes_by_second[row["t"] // TICKS_PER_SECOND] += row["size"]
    busiest = {
        f"{what}s_in_a_second": max((peak(times) for times in nodes.values()), default=0)
        for what, nodes in by_node.items()
    }
    current_after = [(t - last) / TICKS_PER_SECOND for t in first_lists.values()]
    return {
        "asks": len(request_times),
        "asks_in_a_second": peak(request_times),
        "shed": sum(row["what"] == "shed" for row in later),
        "wholes": sum(row["how"] == "whole" for row in list_answers),
        "wholes_in_a_second": peak([row["t"] for row in list_answers if row["how"] == "whole"]),
        "list_bytes_in_a_second": max(bytes_by_second.values(), default=0),
        "told": len(first_lists),
        "never_told": len(fronts) - len(first_lists),
        "current_s": round(max(current_after, default=0.0), 2),
        "handshakes_in_a_second": 0,
        "streams_in_a_second": 0,
        "probes_in_a_second": 0,
        **busiest,
        "strays": sum(row["what"] == "stray" and row["path"] == "/v1/plays" for row in later),
    }


def restart_all(plan: dict, at: float, before: list[tuple]) -> list[tuple]:
    """Returns the steps that kill all fronts, run the actions `before`, and start all fronts again."""
    names = [front["name"] for front in plan["fronts"]]
    return [
        *((at, "kill", name) for name in names),
        *((at + 0.001, *step) for step in before),
        *((at + 0.002, "front", name) for name in names),
    ]


def edit_kept_lists(plan: dict, days: float, wrong: float) -> list[tuple]:
    """Returns the actions that change the kept lists of all fronts, see `Processes.edit_kept_list`."""
    return [("kept", front["name"], days, wrong) for front in plan["fronts"]]


def well(rng: random.Random, plan: dict, options: DrillOptions) -> tuple[list[tuple], dict]:
    """The list service is healthy, and the fronts have kept lists."""
    return restart_all(plan, KILL_TIME * options.seconds, []), {
        "wholes": max(0, options.fronts // 10),
        "never_told": 0,
        "current_s": CURRENT_WITHIN_S,
    }


def blind(
    rng: random.Random,
    plan: dict,
    options: DrillOptions,
    wrong: float | None = None,
    days: float | None = None,
):
    """The list service is down, and a share of the kept list has the address of another server."""
    wrong = rng.choice([0.0, 0.2, 0.6]) if wrong is None else wrong
    days = rng.choice([0.0, 1.0, 3.0]) if days is None else days
    at = KILL_TIME * options.seconds
    steps = [
        (at - 0.2, "fault", "list", "down", 1),
        *restart_all(plan, at, edit_kept_lists(plan, days, wrong)),
        (0.8 * options.seconds, "fault", "list", "down", 0),
    ]
    strays = 2 * options.fronts * round(wrong * options.nodes)
    return steps, {"never_told": 0, "strays": 0 if days >= 1 else strays}


def old(rng: random.Random, plan: dict, options: DrillOptions):
    """The list service is down, and the kept list is too old to be used without a check of each node."""
    return blind(rng, plan, options, rng.choice([0.2, 0.6]), 400.0)


def slow(rng: random.Random, plan: dict, options: DrillOptions):
    """There are no kept lists, and the service answers a tenth of the fronts each second."""
    rate, at = max(1, options.fronts // 10), KILL_TIME * options.seconds
    silent = rng.random() < 0.3
    steps = [
        (at - 0.2, "fault", "list", "capacity", float(rate)),
        *([(at - 0.2, "fault", "list", "silent", 1)] if silent else []),
        *restart_all(plan, at, edit_kept_lists(plan, -1, 0)),
    ]
    if silent:
        # A front without an answer asks again only after its own time limit, so the other bounds don't hold.
        return steps, {"wholes_in_a_second": 2 * rate}
    return steps, {
        "never_told": 0,
        "wholes_in_a_second": 2 * rate,
        "current_s": STARTUP_S + 1.5 * (options.fronts / rate),
    }


def split(rng: random.Random, plan: dict, options: DrillOptions):
    """A third of the fronts is cut off from the service, in one direction or both, and connected again
    later.
    """
    at, names = KILL_TIME * options.seconds, [front["name"] for front in plan["fronts"]]
    cut_off = rng.sample(names, max(1, len(names) // 3))
    directions = rng.choice([["link:{}>list"], ["link:list>{}"], ["link:{}>list", "link:list>{}"]])
    targets = [direction.format(name) for name in cut_off for direction in directions]
    return [
        *((at - 0.2, "fault", target, "cut", 1) for target in targets),
        *restart_all(plan, at, []),
        *((0.7 * options.seconds, "fault", target, "cut", 0) for target in targets),
    ], {"never_told": 0}


def roll(rng: random.Random, plan: dict, options: DrillOptions):
    """A tenth of the fronts is restarted at a time, as in a rolling release."""
    names, steps = [front["name"] for front in plan["fronts"]], []
    batch_size = max(1, len(names) // 10)
    batches = [names[i : i + batch_size] for i in range(0, len(names), batch_size)]
    for i, batch in enumerate(batches):
        at = (0.15 + 0.65 * i / len(batches)) * options.seconds
        steps += [(at, "kill", name) for name in batch] + [(at + 0.002, "front", name) for name in batch]
    return steps, {"wholes": max(0, options.fronts // 10), "never_told": 0}


def restless(rng: random.Random, plan: dict, options: DrillOptions):
    """The service stops or stalls while the fronts are starting, and may return with an older list or after a
    restart; a front is paused during its start.
    """
    at, names = KILL_TIME * options.seconds, [front["name"] for front in plan["fronts"]]
    outage_begin = at + rng.uniform(0.8, 2.5)
    paused = rng.choice(names)
    outage_end = outage_begin + rng.uniform(0.5, 3.0)
    kind = rng.choice(["older", "life", "stall", "older"])
    node = rng.choice(plan["nodes"])["node"]
    steps = [
        (0.1 * options.seconds, "fault", node, "drain", 1),
        *restart_all(plan, at, edit_kept_lists(plan, rng.choice([-1, 0, 0]), 0)),
        (outage_begin, "fault", "list", "down", 1)
        if kind != "stall"
        else (outage_begin, "fault", "link:list>*", "stall", 1),
        (at + rng.uniform(0.2, 2.0), "pause", paused),
        (outage_end + 1.0, "wake", paused),
    ]
    if kind == "stall":
        steps += [(outage_end, "fault", "link:list>*", "stall", 0)]
    else:
        steps += [(outage_end - 0.01, "fault", "list", kind, 1.0), (outage_end, "fault", "list", "down", 0)]
    return steps, {"never_told": 0}


def start_drill(make_steps: Callable, rng: random.Random, plan: dict, options: DrillOptions) -> DrillScript:
    """Returns the script of the drill whose steps `make_steps` returns, with links that record the load."""
    add_links(plan)
    steps, bounds = make_steps(rng, plan, options)
    claims = {
        "unanswered": (0, lambda counts, rows: counts["unanswered"]),
        **{name: (bound, partial(figure, name)) for name, bound in bounds.items()},
    }
    return DrillScript(steps, claims, [f"start-{make_steps.__name__}"], figures)


def figure(name: str, counts: dict, rows: list[Record]) -> float:
    """Returns the value of a claim on one of the figures."""
    return counts[name]


STARTS = {
    f"start-{name}": partial(start_drill, make_steps)
    for name, make_steps in (
        ("herd", well),
        ("blind", blind),
        ("old", old),
        ("slow", slow),
        ("split", split),
        ("roll", roll),
        ("restless", restless),
    )
}
