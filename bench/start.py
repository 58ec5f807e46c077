"""Simulation of fronts that all start at once: load on the list service, and the time until all have lists.

    python bench/start.py            writes bench/results/start.md and start.json

The decisions are those of `curlewhall.start.decide`. The service is modelled: it sends so many whole lists
per second and refuses further requests with Retry-After 1. For comparison: the earlier rule, by which a front
requests a whole list at once and retries after fixed pauses, and the current rules with one part left out.
Deterministic: the fronts' numbers are the seeds.
"""

import heapq
import json
from collections import Counter
from itertools import chain, count, repeat
from pathlib import Path

from curlewhall.start import ListSubscription, PeerListLimiter, PeerListRequests, StreamSchedule

SIZES = (10, 40, 200, 1000)
FULL_LIST_BYTES, CONFIRMATION_BYTES = 24_000, 60


def fixed(seed, fronts):
    """First delay and function of the further delays (seconds) by the earlier rule."""
    pauses = iter((0.2, 0.5, 1.0))
    return 0.0, lambda: next(pauses, 2.0)


def drawn(seed, fronts):
    """First delay and function of the further delays (seconds) by the current rule, with jitter."""
    subscription = ListSubscription(seed, fronts)
    return subscription.first_delay("", 0), lambda: subscription.retry_delay(1.0)


def at_99(times, fronts):
    """The time by which 99 in 100 of the fronts are done, of the times of those that are."""
    return sorted(times)[max(0, int(0.99 * fronts) - 1)]


def herd(fronts, capacity, make):
    """Simulate fronts that request lists from the service alone, by the rule `make`.

    Returns the most requests in a second and in a tenth of a second, the number of requests and of whole
    lists, and the time by which 99 in 100 fronts have a list.
    """
    due = [
        (first_delay, seed, next_delay)
        for seed in range(fronts)
        for first_delay, next_delay in [make(seed, fronts)]
    ]
    heapq.heapify(due)
    requests_by_second, requests_by_tenth, lists_by_second, list_times = Counter(), Counter(), Counter(), []
    while due:
        now, seed, next_delay = heapq.heappop(due)
        requests_by_second[int(now)] += 1
        requests_by_tenth[int(now * 10)] += 1
        if lists_by_second[int(now)] < capacity:
            lists_by_second[int(now)] += 1
            list_times.append(now)
        else:
            heapq.heappush(due, (now + next_delay(), seed, next_delay))
    return {
        "asks_in_a_second": max(requests_by_second.values()),
        "asks_in_a_tenth": max(requests_by_tenth.values()),
        "asks": sum(requests_by_second.values()),
        "wholes": sum(lists_by_second.values()),
        "current_99": at_99(list_times, fronts),
    }


def fleet(fronts, capacity, kept=False, peers=True, confirm=True, jitter=True, retry=1.0):
    """Simulate fronts that all start at once and request lists from the service and from peers.

    `kept`: the fronts have stored lists. `peers`, `confirm` and `jitter` switch parts of the rules off.
    Returns the load on the service and on peers, and the times by which 99 in 100 fronts have a list, and
    have it confirmed by the service.
    """
    subscriptions = [ListSubscription(seed, fronts, peers) for seed in range(fronts)]
    peer_requests = [
        PeerListRequests(seed, [p for p in range(fronts) if p != seed], fronts) for seed in range(fronts)
    ]
    limiters = [PeerListLimiter() for _ in range(fronts)]
    list_times, confirmed, due, order = dict.fromkeys(range(fronts), 0.0) if kept else {}, {}, [], count()
    requests, full_lists, sent_bytes, peer_lists = Counter(), Counter(), Counter(), Counter()  # by second

    def schedule(when, source, front):
        heapq.heappush(due, (when, next(order), source, front))

    for front in range(fronts):
        first = subscriptions[front].first_delay("a" if kept and confirm else "", 7 if kept else 0)
        schedule(first if jitter else 0.0, "service", front)
        if peers and not kept:
            schedule(peer_requests[front].first_delay(True), "peer", front)
    while due and len(confirmed) < fronts:
        now, _, source, front = heapq.heappop(due)
        if source == "service":
            requests[int(now)] += 1
            confirmation = subscriptions[front].version and confirm
            if confirmation or full_lists[int(now)] < capacity:
                full_lists[int(now)] += not confirmation
                sent_bytes[int(now)] += CONFIRMATION_BYTES if confirmation else FULL_LIST_BYTES
                subscriptions[front].accept_full_list("a", 7)
                list_times.setdefault(front, now)
                confirmed[front] = now
            else:
                schedule(now + (subscriptions[front].retry_delay(retry) if jitter else 1.0), "service", front)
        elif front not in confirmed:
            peer = peer_requests[front].next_peer(now)
            if peer is None or peer not in list_times:
                schedule(now + peer_requests[front].next_delay(now, peer, False), "peer", front)
            elif front in list_times:  # it only asks whether its list is current: a short answer
                schedule(now + peer_requests[front].next_delay(now, peer, True), "peer", front)
            elif limiters[peer].allow(now):
                peer_lists[peer, int(now)] += 1
                list_times[front] = now
                subscriptions[front].adopt_peer_list("a", 7)
                schedule(now + peer_requests[front].next_delay(now, peer, True), "peer", front)
            else:
                schedule(now + peer_requests[front].next_delay(now, peer, False, 1.0), "peer", front)
    return {
        "asks_in_a_second": max(requests.values()),
        "wholes": sum(full_lists.values()),
        "wholes_in_a_second": max(full_lists.values(), default=0),
        "kb_in_a_second": max(sent_bytes.values()) // 1000,
        "lent_in_a_second_by_one": max(peer_lists.values(), default=0),
        "had_99": round(at_99(list_times.values(), fronts), 2),
        "confirmed_99": round(at_99(confirmed.values(), fronts), 2),
    }


def streams(fronts, nodes, drawn):
    """The most event streams requested from any node in a second when all fronts start at once."""
    most = 0
    for node in range(nodes):
        seconds = Counter(
            int(StreamSchedule(i, i, fronts).start_delay(f"n{node:03}") if drawn else 0.0)
            for i in range(fronts)
        )
        most = max(most, *seconds.values())
    return most


def reconnects(fronts, down, drawn):
    """Simulate a node that fails and is back after `down` seconds, without the fronts being notified.

    Returns the most connection attempts in a second, and the seconds from its return until 99 in 100 fronts
    have reconnected.
    """
    attempts, reconnected_at = Counter(), []
    for i in range(fronts):
        waits, fixed = StreamSchedule(i, i, fronts).reconnect_backoff(), chain((0.1, 0.3, 1.0), repeat(2.0))
        now = 0.0
        while True:
            now += waits.next_delay() if drawn else next(fixed)
            attempts[int(now)] += 1
            if now >= down:
                reconnected_at.append(now)
                break
    return max(attempts.values()), round(at_99(reconnected_at, fronts) - down, 2)


def table(rows):
    """Lines of a Markdown table of the rows, which are dictionaries with the same keys."""
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
    """Draw the peak load by the number of fronts."""
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
    """Run all simulations and write the tables, the raw figures and the chart."""
    starts, nodes = [], []
    for fronts in SIZES:
        capacity = max(2, fronts // 5)
        for lists, kept in (("none kept", False), ("kept", True)):
            for rule, options in RULES.items():
                starts.append(
                    {
                        "fronts": fronts,
                        "capacity": capacity,
                        "lists": lists,
                        "rule": rule,
                        **fleet(fronts, capacity, kept, **options),
                    }
                )
        low_capacity = max(1, fronts // 50)
        for rule in ("all", "no peers' lists"):
            starts.append(
                {
                    "fronts": fronts,
                    "capacity": low_capacity,
                    "lists": "none kept, a tenth",
                    "rule": rule,
                    **fleet(fronts, low_capacity, **RULES[rule]),
                }
            )
        for rule, drawn in (("earlier", False), ("turns", True)):
            max_attempts, reconnect_s = reconnects(fronts, 5.0, drawn)
            nodes.append(
                {
                    "fronts": fronts,
                    "rule": rule,
                    "streams_at_start": streams(fronts, 170, drawn),
                    "asked_in_a_second_of_a_dead_node": max_attempts,
                    "back_99": reconnect_s,
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
