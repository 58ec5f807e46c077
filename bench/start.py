"""A fleet that starts at one moment, in simulated time: what the list service is asked, when all have lists.

    python bench/start.py            writes bench/results/start.md and start.json

The decisions are `curlewhall.start.decide`; the service is a model that gives so many whole lists a second
and turns the rest away with Retry-After 1. Beside it the front's earlier rule: ask at once for all, come
back after fixed pauses; and each part taken out alone. Deterministic: seeds are the fronts' numbers.
"""

import heapq
import json
from collections import Counter
from itertools import chain, count, repeat
from pathlib import Path

from curlewhall.start import ListSubscription, PeerListLimiter, PeerListRequests, StreamSchedule

SIZES = (10, 40, 200, 1000)
WHOLE, SHORT = 24_000, 60  # bytes


def fixed(seed, fronts):
    pauses = iter((0.2, 0.5, 1.0))
    return 0.0, lambda: next(pauses, 2.0)


def drawn(seed, fronts):
    front = ListSubscription(seed, fronts)
    return front.first_delay("", 0), lambda: front.retry_delay(1.0)


def at_99(times, fronts):
    """When 99 in 100 of the fronts had come so far."""
    return sorted(times)[max(0, int(0.99 * fronts) - 1)]


def herd(fronts, capacity, make):
    """Most asks in a second and in a tenth, whole lists in all, and when 99 in 100 are current."""
    due = [(wait, seed, again) for seed in range(fronts) for wait, again in [make(seed, fronts)]]
    heapq.heapify(due)
    seconds, tenths, given, current = Counter(), Counter(), Counter(), []
    while due:
        at, seed, again = heapq.heappop(due)
        seconds[int(at)] += 1
        tenths[int(at * 10)] += 1
        if given[int(at)] < capacity:
            given[int(at)] += 1
            current.append(at)
        else:
            heapq.heappush(due, (at + again(), seed, again))
    return {
        "asks_in_a_second": max(seconds.values()),
        "asks_in_a_tenth": max(tenths.values()),
        "asks": sum(seconds.values()),
        "wholes": sum(given.values()),
        "current_99": at_99(current, fronts),
    }


def fleet(fronts, capacity, kept=False, peers=True, confirm=True, jitter=True, retry=1.0):
    """A fleet that starts at one moment: what service and peers are asked for and give; when 99 in 100 have a
    list, and when the service has confirmed it.
    """
    asks = [ListSubscription(seed, fronts, peers) for seed in range(fronts)]
    borrows = [
        PeerListRequests(seed, [p for p in range(fronts) if p != seed], fronts) for seed in range(fronts)
    ]
    lends = [PeerListLimiter() for _ in range(fronts)]
    had, confirmed, due, order = dict.fromkeys(range(fronts), 0.0) if kept else {}, {}, [], count()
    seconds, wholes, size, lent = Counter(), Counter(), Counter(), Counter()

    def at(when, what, front):
        heapq.heappush(due, (when, next(order), what, front))

    for front in range(fronts):
        first = asks[front].first_delay("a" if kept and confirm else "", 7 if kept else 0)
        at(first if jitter else 0.0, "service", front)
        if peers and not kept:
            at(borrows[front].first_delay(True), "peer", front)
    while due and len(confirmed) < fronts:
        now, _, what, front = heapq.heappop(due)
        if what == "service":
            seconds[int(now)] += 1
            short = asks[front].version and confirm
            if short or wholes[int(now)] < capacity:
                wholes[int(now)] += not short
                size[int(now)] += SHORT if short else WHOLE
                asks[front].accept_full_list("a", 7)
                had.setdefault(front, now)
                confirmed[front] = now
            else:
                at(now + (asks[front].retry_delay(retry) if jitter else 1.0), "service", front)
        elif front not in confirmed:
            peer = borrows[front].next_peer(now)
            if peer is None or peer not in had:
                at(now + borrows[front].next_delay(now, peer, False), "peer", front)
            elif front in had:  # whether its list still stands: a short answer
                at(now + borrows[front].next_delay(now, peer, True), "peer", front)
            elif lends[peer].allow(now):
                lent[peer, int(now)] += 1
                had[front] = now
                asks[front].adopt_peer_list("a", 7)
                at(now + borrows[front].next_delay(now, peer, True), "peer", front)
            else:
                at(now + borrows[front].next_delay(now, peer, False, 1.0), "peer", front)
    return {
        "asks_in_a_second": max(seconds.values()),
        "wholes": sum(wholes.values()),
        "wholes_in_a_second": max(wholes.values(), default=0),
        "kb_in_a_second": max(size.values()) // 1000,
        "lent_in_a_second_by_one": max(lent.values(), default=0),
        "had_99": round(at_99(had.values(), fronts), 2),
        "confirmed_99": round(at_99(confirmed.values(), fronts), 2),
    }


def streams(fronts, nodes, drawn):
    """Streams that the busiest node is asked for in any second when a fleet starts at one moment."""
    most = 0
    for node in range(nodes):
        seconds = Counter(
            int(StreamSchedule(i, i, fronts).start_delay(f"n{node:03}") if drawn else 0.0)
            for i in range(fronts)
        )
        most = max(most, *seconds.values())
    return most


def back(fronts, down, drawn):
    """A node that dies under all fronts and is back after `down` seconds: most connections that it or its
    address is asked for in a second, and when 99 in 100 are back. Nobody tells the fronts of its start.
    """
    seconds, there = Counter(), []
    for i in range(fronts):
        waits, fixed = StreamSchedule(i, i, fronts).reconnect_backoff(), chain((0.1, 0.3, 1.0), repeat(2.0))
        now = 0.0
        while True:
            now += waits.next_delay() if drawn else next(fixed)
            seconds[int(now)] += 1
            if now >= down:
                there.append(now)
                break
    return max(seconds.values()), round(at_99(there, fronts) - down, 2)


def table(rows):
    heads = list(rows[0])
    return [
        "| " + " | ".join(head.replace("_", " ") for head in heads) + " |",
        "|" + " --- |" * len(heads),
        *("| " + " | ".join(str(row[head]) for head in heads) + " |" for row in rows),
        "",
    ]


RULES = {
    "all": {},
    "no peers' lists": {"peers": False},
    "no confirmation": {"confirm": False},
    "no jitter": {"jitter": False},
    "none": {"peers": False, "confirm": False, "jitter": False},
}


def chart(path, starts, nodes):
    """How the peaks grow with the number of fronts."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    for rule, mark in (("all", "o-"), ("no peers' lists", "s--"), ("none", "x:")):
        rows = [row for row in starts if row["rule"] == rule and row["lists"] == "none kept"]
        sizes = [row["fronts"] for row in rows]
        left.plot(sizes, [row["asks_in_a_second"] for row in rows], mark, label=rule)
    left.plot(sizes, [row["capacity"] for row in rows], "k-", lw=0.7, label="whole lists it gives")
    for name, mark in (("earlier", "x:"), ("turns", "o-")):
        rows = [row for row in nodes if row["rule"] == name]
        right.plot(sizes, [row["streams_at_start"] for row in rows], mark, label=name)
    for axis, title in (
        (left, "asks of the list service in a second, no lists kept"),
        (right, "streams that the busiest of 170 nodes opens in a second"),
    ):
        axis.set(xscale="log", yscale="log", xlabel="fronts that start at one moment", title=title)
        axis.title.set_fontsize(9)
        axis.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=80, metadata={"Software": None})


def main():
    starts, nodes = [], []
    for fronts in SIZES:
        capacity = max(2, fronts // 5)
        for lists, kept in (("none kept", False), ("kept", True)):
            for rule, given in RULES.items():
                starts.append(
                    {
                        "fronts": fronts,
                        "capacity": capacity,
                        "lists": lists,
                        "rule": rule,
                        **fleet(fronts, capacity, kept, **given),
                    }
                )
        tenth = max(1, fronts // 50)
        for rule in ("all", "no peers' lists"):
            starts.append(
                {
                    "fronts": fronts,
                    "capacity": tenth,
                    "lists": "none kept, a tenth",
                    "rule": rule,
                    **fleet(fronts, tenth, **RULES[rule]),
                }
            )
        for rule, drawn in (("earlier", False), ("turns", True)):
            most, until = back(fronts, 5.0, drawn)
            nodes.append(
                {
                    "fronts": fronts,
                    "rule": rule,
                    "streams_at_start": streams(fronts, 170, drawn),
                    "asked_in_a_second_of_a_dead_node": most,
                    "back_99": until,
                }
            )
    folder = Path(__file__).parent / "results"
    (folder / "start.json").write_text(json.dumps({"service": starts, "nodes": nodes}, indent=1) + "\n")
    lines = [
        "# A fleet that starts at one moment (simulated time, modelled service and nodes)",
        "",
        "Whole lists have 24 kB (170 nodes), short answers 60 bytes. Seeds are the fronts' numbers.",
        "",
        *table(starts),
        "## Towards nodes",
        "",
        "Streams of the busiest of 170 nodes in any second; a node that dies under all fronts and is "
        "back after 5 s, of which nobody tells them.",
        "",
        *table(nodes),
    ]
    (folder / "start.md").write_text("\n".join(lines))
    print("\n".join(lines))
    chart(folder / "start.png", starts, nodes)


if __name__ == "__main__":
    main()
