"""The cost of the mover when a node with 10,000 plays drains, and of its heap beside simpler structures.

    python bench/moves.py [--plays N] [--out bench/results/moves]

The mover alone on a simulated clock, without sockets or the decision module. Only ratios within one run are
meaningful.
"""

import argparse
import bisect
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from curlewhall.moves import IndexedHeap, Mover  # noqa: E402
from curlewhall.moves.decide import NodeInfo  # noqa: E402

TICKS_PER_SECOND = 10_000
START_SETTINGS = {
    "specifics.places": 40,
    "specifics.uplink_kb": 1e9,
    "specifics.kind_streams": [99_999],
    "fronts": 1,
    "rules.warm_within": 5 * TICKS_PER_SECOND,
    "rules.fall": TICKS_PER_SECOND,
    "rules.overload_factor": 4.0,
    "rules.start_capacity": 0.4,
    "specifics.told_late": 7000,
    "products": [{"importance": 1.0}],
}


class Sorted:
    """A sorted list; an entry is found by its old priority."""

    def __init__(self):
        self.rows = []
        self.priorities = {}

    def put(self, name, priority):
        self.remove(name)
        self.priorities[name] = priority
        bisect.insort(self.rows, (priority, name))

    def remove(self, name):
        if name in self.priorities:
            del self.rows[bisect.bisect_left(self.rows, (self.priorities.pop(name), name))]

    def pop(self):
        priority, name = self.rows.pop(0)
        del self.priorities[name]
        return priority, name


class Scan:
    """A dictionary that is searched for the least entry on each `pop`."""

    def __init__(self):
        self.priorities = {}

    def put(self, name, priority):
        self.priorities[name] = priority

    def remove(self, name):
        self.priorities.pop(name, None)

    def pop(self):
        name = min(self.priorities, key=lambda n: (self.priorities[n], n))
        return self.priorities.pop(name), name


def structure(make, count: int) -> float:
    """Microseconds per operation: add all entries, change as many as a buffer report does, take all out."""
    rng, rows = random.Random(1), make()
    began = time.perf_counter()
    for i in range(count):
        rows.put(i, (False, -1.0, rng.random()))
    for _ in range(count):
        rows.put(rng.randrange(count), (False, -1.0, rng.random()))
    for i in range(0, count, 10):
        rows.remove(i)
    for _ in range(count - len(range(0, count, 10))):
        rows.pop()
    return (time.perf_counter() - began) / (3 * count) * 1e6


def drain(count: int, nodes: int) -> tuple[float, int, int]:
    """Simulate a whole drain; returns (microseconds per event, events, plays moved)."""
    rng, now, events = random.Random(2), 100 * TICKS_PER_SECOND, 0
    mover = Mover(now, START_SETTINGS, 600 * TICKS_PER_SECOND)
    rows = {f"n{i}": NodeInfo(i, i % 34, "serving", 1e8, 0) for i in range(nodes)}
    mover.nodes_listed(now, dict(rows))
    began = time.perf_counter()
    for i in range(count):
        mover.play_started(now, f"p{i}", "n0", rng.choice([1.0, 2.0]), i % 5 == 0, 100.0, (0, 1, 2), None)
        mover.buffer_reported(now, f"p{i}", rng.uniform(0, 6))
        events += 2
    rows["n0"] = rows["n0"]._replace(state="draining")
    pending, moved = list(mover.nodes_listed(now, dict(rows))), 0
    while mover.plays_by_node["n0"] and now < 700 * TICKS_PER_SECOND:
        now += 200
        for i in range(1, nodes, 10):  # load reports arrive all the time
            mover.node_reported(now, f"n{i}", "link_asked", 0.3)
            mover.node_reported(now, f"n{i}", "uplink_asked", 0.3)
            events += 2
        play = f"p{rng.randrange(count)}"
        pending += mover.buffer_reported(now, play, rng.uniform(0, 6))
        pending += mover.wake(now)
        events += 2
        for verb, name, *_ in pending:
            if verb == "check_room":
                mover.room_checked(now, name, True)
                mover.end_confirmed(now, name)
                mover.play_ended(now, name)
                mover.move_succeeded(now, name)
                events, moved = events + 3, moved + 1
        pending = []
    return (time.perf_counter() - began) / events * 1e6, events, moved


def main() -> None:
    """Run all measurements and write the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--plays", type=int, default=10_000)
    parser.add_argument("--out", default="bench/results/moves")
    args = parser.parse_args()
    rows = ["| structure | plays | us an operation | over the heap |", "| --- | --- | --- | --- |"]
    for count in (100, 1000, args.plays):
        heap = structure(IndexedHeap, count)
        for make in (IndexedHeap, Sorted, Scan):
            cost = structure(make, count)
            rows.append(f"| {make.__name__} | {count} | {cost:.2f} | {cost / heap:.2f} |")
    cost, events, moved = drain(args.plays, 170)
    rows += [
        "",
        f"One drain of {args.plays} plays at 170 nodes: {moved} moved, {events} events, "
        f"{cost:.1f} us an event on average (aim: under 50).",
        "",
        "The mover alone on a simulated clock, one run on a shared machine.",
    ]
    text = "\n".join(rows) + "\n"
    Path(args.out + ".md").write_text(text)
    print(text)


if __name__ == "__main__":
    main()
