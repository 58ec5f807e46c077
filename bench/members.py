"""Simulation of the membership protocol with many fronts: no sockets, a virtual clock, lossy links.

    python bench/members.py [--fronts 210] [--minutes 10] [--out bench/results/members]

Time until all living fronts know of a death, and of a start; living fronts held dead, or suspected, by
somebody, an hour; bytes a second a front; beside it heartbeats of each to all.
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
    """Fronts, links that lose and delay, one virtual clock."""

    def __init__(self, fronts: int, loss: float, seed: int) -> None:
        self.rng, self.loss, self.now = random.Random(seed), loss, 0
        self.heap, self.order = [], count()
        self.fronts = {
            i: MembershipProtocol(0, i, [j for j in range(fronts) if j != i], seed) for i in range(fronts)
        }
        self.dead: set[int] = set()
        self.bytes = self.false_dead = self.false_suspects = 0
        self.cut: set[int] = set()  # one side of a partition
        for i, front in self.fronts.items():
            self.carry(i, front.start(0))

    def at(self, span: int, call, *facts) -> None:
        heapq.heappush(self.heap, (self.now + span, next(self.order), call, facts))

    def carry(self, i: int, answers) -> None:
        front = self.fronts[i]
        for verb, *facts in answers:
            if verb == "wake":
                self.at(facts[0], self.wake, i, front)
            elif verb == "send":
                to, kind, nonce, target, rows = facts
                self.bytes += HEADER.size + HASH_BYTES + len(rows) * ROW.size
                if self.rng.random() >= self.loss and (i in self.cut) == (to in self.cut):
                    self.at(
                        self.rng.randint(2, 200),
                        self.hear,
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
        if i not in self.dead and self.fronts[i] is front:
            self.carry(i, front.wake(self.now))

    def hear(self, to: int, *facts) -> None:
        sender, kind, nonce, incarnation, target, rows = facts
        if to not in self.dead:
            self.carry(
                to,
                self.fronts[to].handle_datagram(self.now, sender, kind, nonce, incarnation, 10, target, rows),
            )

    def run(self, until: int, true=None) -> int | None:
        """Until then, or until `true()`, looked at each tenth of a second; answers when."""
        look = self.now
        while self.heap and self.heap[0][0] <= until:
            self.now, _, call, facts = heapq.heappop(self.heap)
            call(*facts)
            if true is not None and self.now >= look:
                look = self.now + SECOND // 10
                if true():
                    return self.now
        self.now = until
        return None

    def living(self):
        return [front for i, front in self.fronts.items() if i not in self.dead]

    def all_hold(self, index: int, states: tuple[int, ...]) -> bool:
        return all(
            front.members[index].state in states for front in self.living() if front.own_index != index
        )


class Beats(World):
    """The plain way: each tells all once a second that it lives; five missed in a row are a death."""

    SIZE = HEADER.size + HASH_BYTES

    def __init__(self, fronts: int, loss: float, seed: int) -> None:
        self.rng, self.loss, self.now, self.n = random.Random(seed), loss, 0, fronts
        self.missed: dict[tuple[int, int], int] = {}

    def hour(self, minutes: float) -> tuple[float, float, float]:
        """Bytes a second a front; false deaths an hour; seconds until a death is known to all."""
        false = 0
        seconds = int(60 * minutes)
        # each pair and second on its own: five losses in a row after one that came
        for _ in range(seconds):
            for pair in range(self.n * (self.n - 1) // 100):  # a hundredth of the pairs, scaled
                if self.rng.random() < self.loss:
                    self.missed[pair] = self.missed.get(pair, 0) + 1
                    false += self.missed[pair] == 5
                else:
                    self.missed.pop(pair, None)
        return (self.n - 1) * self.SIZE, false * 100 * 60 / minutes, 6.0


def measure(asked: tuple[int, float, float, int]) -> list[str]:
    fronts, loss, minutes, seed = asked
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
    world.carry(victim, world.fronts[victim].start(world.now))
    joined = world.run(born + 600 * SECOND, lambda: world.all_hold(victim, (ALIVE, SUSPECT)))
    world.cut = set(range(fronts // 2))
    world.run(world.now + 60 * SECOND)
    world.cut, healed = set(), world.now
    alive = world.living()
    whole = world.run(healed + 600 * SECOND, lambda: all(f.member_count() == len(alive) for f in alive))
    beats = Beats(fronts, loss, seed).hour(minutes)
    return [
        f"{loss:.0%}",
        f"{met / SECOND:.1f}" if met else "not in 600",
        f"{max(deaths):.1f}",
        f"{(joined - born) / SECOND:.1f}" if joined else "not in 600",
        f"{(whole - healed) / SECOND:.1f}" if whole else "not in 600",
        f"{false:.1f}",
        f"{suspects / fronts:.0f}",
        f"{rate:.0f}",
        f"{beats[0]:.0f}",
        f"{beats[1]:.0f}",
    ]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--fronts", type=int, default=210)
    parser.add_argument("--minutes", type=float, default=10)
    parser.add_argument("--loss", type=float, nargs="+", default=[0.0, 0.1, 0.3])
    parser.add_argument("--out", default="bench/results/members")
    asked = parser.parse_args()
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
    with ProcessPoolExecutor(len(asked.loss)) as pool:
        rows = list(pool.map(measure, [(asked.fronts, loss, asked.minutes, 1) for loss in asked.loss]))
    text = "\n".join(f"| {' | '.join(cells)} |" for cells in [head, ["---"] * len(head), *rows])
    text += f"\n\n{asked.fronts} fronts, {asked.minutes:g} minutes of simulated time a loss, one seed; false "
    text += "deaths and suspicions are counted at each front that holds one.\n"
    Path(asked.out + ".md").write_text(text)
    print(text)


if __name__ == "__main__":
    main()
