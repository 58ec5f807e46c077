"""A fleet that starts at one moment, in simulated time: what the list service is asked, when all have lists.

    python bench/start.py            writes bench/results/start.md and start.json

The decisions are `curlewhall.start.decide`; the service is a model that gives so many whole lists a second
and turns the rest away with Retry-After 1. Beside it the front's earlier rule: ask at once for all, come
back after 0.2, 0.5, 1 and 2 s. Deterministic: seeds are the fronts' numbers.
"""

import heapq
import json
from collections import Counter
from pathlib import Path

from curlewhall.start import Asks

SIZES = (10, 40, 200, 1000)


def fixed(seed, fronts):
    pauses = iter((0.2, 0.5, 1.0))
    return 0.0, lambda: next(pauses, 2.0)


def drawn(seed, fronts, retry_after=1.0):
    front = Asks(seed, fronts)
    return front.begin("", 0), lambda: front.ended(retry_after)


def deaf(seed, fronts):
    """Drawn, but Retry-After is not kept: jitter alone."""
    return drawn(seed, fronts, None)


def confirmed(seed, fronts):
    front = Asks(seed, fronts)
    return front.begin("a", 7), lambda: front.ended(1.0)


def herd(fronts, capacity, make, whole=True):
    """Most asks in a second and in a tenth, whole lists in all, and when 99 in 100 are current."""
    due = [(wait, seed, again) for seed in range(fronts) for wait, again in [make(seed, fronts)]]
    heapq.heapify(due)
    seconds, tenths, given, current = Counter(), Counter(), Counter(), []
    while due:
        at, seed, again = heapq.heappop(due)
        seconds[int(at)] += 1
        tenths[int(at * 10)] += 1
        if not whole or given[int(at)] < capacity:
            given[int(at)] += whole
            current.append(at)
        else:
            heapq.heappush(due, (at + again(), seed, again))
    return {"asks_in_a_second": max(seconds.values()), "asks_in_a_tenth": max(tenths.values()),
            "asks": sum(seconds.values()), "wholes": sum(given.values()),
            "current_99": sorted(current)[max(0, int(0.99 * fronts) - 1)]}


def main():
    rows = []
    for fronts in SIZES:
        for capacity in (max(2, fronts // 5), max(1, fronts // 50)):
            for name, make, whole in (("earlier rule", fixed, True), ("drawn", drawn, True),
                                      ("drawn, deaf to Retry-After", deaf, True),
                                      ("drawn, lists kept", confirmed, False)):
                found = herd(fronts, capacity, make, whole)
                found["current_99"] = round(found["current_99"], 2)
                rows.append({"fronts": fronts, "capacity": capacity, "rule": name, **found})
    folder = Path(__file__).parent / "results"
    (folder / "start.json").write_text(json.dumps(rows, indent=1) + "\n")
    heads = list(rows[0])
    lines = ["# A fleet that starts at one moment (simulated time, modelled service)", "",
             "| " + " | ".join(head.replace("_", " ") for head in heads) + " |",
             "| " + " | ".join("---" for _ in heads) + " |",
             *("| " + " | ".join(str(row[head]) for head in heads) + " |" for row in rows), ""]
    (folder / "start.md").write_text("\n".join(lines))
    print("\n".join(lines))


if __name__ == "__main__":
    main()
