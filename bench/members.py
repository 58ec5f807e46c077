"""Simulation of the membership protocol with many fronts: no sockets, a virtual clock, lossy links.

    python bench/members.py [--fronts 210] [--minutes 10] [--out bench/results/members]

Measures the time until all live fronts know of a failure and of a start, false failures and suspicions per
hour, and bytes per second and front; for comparison, plain heartbeats from each front to all.
"""

import argparse
import heapq
import random
from concurrent.futures import ProcessPoolExecutor
from itertools import count
from pathlib import Path

from curlewhall.members.datagram import ALIVE, DEAD, HASH_BYTES, HEADER, ROW, SUSPECT
from curlewhall.members.decide import MembershipProtocol

SECOND = 10_000


class World:
    """Fronts, links with loss and delay, and the virtual clock, in ticks."""

    def __init__(self, fronts: int, loss: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 0
        self.heap = []
        self.order = count()
        self.fronts = {
            i: MembershipProtocol(0, i, [j for j in range(fronts) if j != i], seed) for i in range(fronts)
        }
        self.dead: set[int] = set()
        self.bytes = self.false_dead = self.false_suspects = 0
        self.cut: set[int] = set()  # the fronts on one side of a partition
        for i, front in self.fronts.items():
            self.execute(i, front.start(0))

    def schedule(self, delay: int, call, *arguments) -> None:
        """Call `call` after `delay` ticks."""
        heapq.heappush(self.heap, (self.now + delay, next(self.order), call, arguments))

    def execute(self, i: int, actions) -> None:
        """Execute a front's actions: its timer, its messages, its changes of state."""
        front = self.fronts[i]
        for verb, *facts in actions:
            if verb == "wake":
                self.schedule(facts[0], self.wake, i, front)
            elif verb == "send":
                to, kind, nonce, target, rows = facts
                self.bytes += HEADER.size + HASH_BYTES + len(rows) * ROW.size
                if self.rng.random() >= self.loss and (i in self.cut) == (to in self.cut):
                    self.schedule(
                        self.rng.randint(2, 200),
                        self.deliver,
                        to,
                        i,
                        kind,
                        nonce,
                        front.incarnation,
                        target,
                        rows,
                    )
            elif verb == "changed" and facts[0] not in self.dead and i not in self.dead:
                self.false_dead += facts[1] == DEAD
                self.false_suspects += facts[1] == SUSPECT

    def wake(self, i: int, front) -> None:
        """A front's timer has expired; timers of a front that has failed or restarted are ignored."""
        if i not in self.dead and self.fronts[i] is front:
            self.execute(i, front.wake(self.now))

    def deliver(self, to: int, *facts) -> None:
        """Deliver a message to a live front."""
        sender, kind, nonce, incarnation, target, rows = facts
        if to not in self.dead:
            self.execute(
                to,
                self.fronts[to].handle_datagram(self.now, sender, kind, nonce, incarnation, 10, target, rows),
            )

    def run(self, until: int, condition=None) -> int | None:
        """Run until the time `until`, or until `condition()` holds, which is checked every tenth of a second.

        Returns the time at which the condition held, or None.
        """
        next_check = self.now
        while self.heap and self.heap[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self.heap)
            call(*arguments)
            if condition is not None and self.now >= next_check:
                next_check = self.now + SECOND // 10
                if condition():
                    return self.now
        self.now = until
        return None

    def living(self):
        """The fronts that have not failed."""
        return [front for i, front in self.fronts.items() if i not in self.dead]

    def all_hold(self, index: int, states: tuple[int, ...]) -> bool:
        """Whether every other live front has front `index` in one of these states."""
        return all(
            front.members[index].state in states for front in self.living() if front.own_index != index
        )


class Heartbeats(World):
    """For comparison: each front sends a heartbeat to all once a second; five lost in a row are a failure."""

    SIZE = HEADER.size + HASH_BYTES

    def __init__(self, fronts: int, loss: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 0
        self.front_count = fronts
        self.missed: dict[tuple[int, int], int] = {}

    def hour(self, minutes: float) -> tuple[float, float, float]:
        """Bytes per second and front, false failures per hour, seconds until all know of a failure."""
        false_deaths = 0
        seconds = int(60 * minutes)
        # Each pair of fronts is independent; a heartbeat that arrives resets the count of lost ones.
        for _ in range(seconds):
            for pair in range(
                self.front_count * (self.front_count - 1) // 100
            ):  # a hundredth of the pairs; the result is scaled
                if self.rng.random() < self.loss:
                    self.missed[pair] = self.missed.get(pair, 0) + 1
                    false_deaths += self.missed[pair] == 5
                else:
                    self.missed.pop(pair, None)
        return (self.front_count - 1) * self.SIZE, false_deaths * 100 * 60 / minutes, 6.0


def measure(job: tuple[int, float, float, int]) -> list[str]:
    """The cells of a row, for (fronts, loss, minutes, seed)."""
    fronts, loss, minutes, seed = job
    world = World(fronts, loss, seed)
    met = world.run(600 * SECOND, lambda: all(f.member_count() == fronts for f in world.living()))
    world.run(world.now + 30 * SECOND)
    world.bytes = world.false_dead = world.false_suspects = 0
    began = world.now
    world.run(began + int(60 * minutes) * SECOND)
    spent = (world.now - began) / SECOND
    hours = spent / 3600
    rate, false = world.bytes / spent / fronts, world.false_dead / hours
    suspects = world.false_suspects / hours
    deaths = []
    for victim in (3, 17, fronts // 2):
        world.dead.add(victim)
        died = world.now
        known = world.run(died + 600 * SECOND, lambda v=victim: world.all_hold(v, (DEAD,)))
        deaths.append((known - died) / SECOND if known else float("inf"))
    victim = 3
    world.dead.discard(victim)
    world.fronts[victim] = MembershipProtocol(
        world.now, victim, [j for j in range(fronts) if j != victim], seed + 1
    )
    born = world.now
    world.execute(victim, world.fronts[victim].start(world.now))
    joined = world.run(born + 600 * SECOND, lambda: world.all_hold(victim, (ALIVE, SUSPECT)))
    world.cut = set(range(fronts // 2))
    world.run(world.now + 60 * SECOND)
    world.cut, healed = set(), world.now
    alive = world.living()
    whole = world.run(healed + 600 * SECOND, lambda: all(f.member_count() == len(alive) for f in alive))
    heartbeats = Heartbeats(fronts, loss, seed).hour(minutes)
    return [
        f"{loss:.0%}",
        f"{met / SECOND:.1f}" if met else "not in 600",
        f"{max(deaths):.1f}",
        f"{(joined - born) / SECOND:.1f}" if joined else "not in 600",
        f"{(whole - healed) / SECOND:.1f}" if whole else "not in 600",
        f"{false:.1f}",
        f"{suspects / fronts:.0f}",
        f"{rate:.0f}",
        f"{heartbeats[0]:.0f}",
        f"{heartbeats[1]:.0f}",
    ]


def main() -> None:
    """Run a simulation for each loss and write the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--fronts", type=int, default=210)
    parser.add_argument("--minutes", type=float, default=10)
    parser.add_argument("--loss", type=float, nargs="+", default=[0.0, 0.1, 0.3])
    parser.add_argument("--out", default="bench/results/members")
    args = parser.parse_args()
    head = [
        "loss",
        "s until all know all",
        "s until a death is known (worst of 3)",
        "s until a start is known",
        "s until a partition is healed",
        "false deaths/h",
        "false suspicions/h/front",
        "bytes/s/front",
        "heartbeats: bytes/s/front",
        "heartbeats: false deaths/h",
    ]
    with ProcessPoolExecutor(len(args.loss)) as pool:
        rows = list(pool.map(measure, [(args.fronts, loss, args.minutes, 1) for loss in args.loss]))
    text = "\n".join(f"| {' | '.join(cells)} |" for cells in [head, ["---"] * len(head), *rows])
    text += f"\n\n{args.fronts} fronts, {args.minutes:g} minutes of simulated time a loss, one seed; false "
    text += "deaths and suspicions are counted at each front that holds one.\n"
    Path(args.out + ".md").write_text(text)
    print(text)


if __name__ == "__main__":
    main()
