"""Fleets of instances at one cold node, in simulated time: what all of them send it, not what one does."""

import heapq
import math
import random
from itertools import count

import pytest
from conftest import SECOND, start_settings

from curlewhall.interface import NodeRow
from curlewhall.policy import Front

START = 1000 * SECOND  # the moment at which the cold node has started
LIVED = 8 * SECOND  # of the days below, from then on; less than any warm-up here
FEW = {}  # N of the plain start settings: 1.07, under the number of fronts
SOME = {
    "streams": 20,
    "rules.overload_factor": 2.5,
    "rules.start_capacity": 0.5,
    "rules.fall": 3 * SECOND,
    "rules.warm_within": 15 * SECOND,
}  # N = 5
MANY = SOME | {"streams": 30, "rules.warm_within": 8 * SECOND}  # N = 14


class Fleet:
    """`fronts` instances, `nodes` nodes of which n0 has just started.

    Plays come at random, `crowd` times N in a window over the whole fleet; `lean` spreads them unevenly over
    the fronts. `titles`: how many there are, 0 for one that all ask for. `full`: the other nodes refuse.
    `heard`: seconds within which fronts hear of the start. `born`: seconds, counted from the start, between
    which the fronts start. `surge`: so many times more come from the start on. `warm`: n0 is old, too.
    """

    def __init__(
        self,
        seed,
        fronts,
        nodes,
        crowd,
        streams=8,
        lean=0.0,
        titles=40,
        full=False,
        heard=0.0,
        born=(-12.0, -12.0),
        surge=1.0,
        holders=0,
        warm=False,
        **terms,
    ):
        self.draw, self.started, self.sent = random.Random(seed), 0 if warm else START, 0
        self.queue, self.order, self.names = [], count(), count()
        terms |= {"fronts": fronts, "specifics.kind_streams": [streams], "specifics.places": nodes}
        self.start_settings = rules = start_settings(**terms)
        self.nodes, self.full, self.titles, self.holders = nodes, full, titles, holders or min(3, nodes)
        self.window = rules["rules.fall"]
        self.bears = (
            rules["rules.overload_factor"]
            * rules["rules.start_capacity"]
            * streams
            * self.window
            / rules["rules.warm_within"]
        )
        self.fronts, self.tries, self.times = [None] * fronts, {}, []
        begin = START + int(born[0] * SECOND)
        for i in range(fronts):
            at = START + int(self.draw.uniform(*born) * SECOND)
            self.at(at, self.bear, i, seed)
            self.at(max(at, START + int(self.draw.uniform(0, heard) * SECOND)), self.hear, i)
        part = [math.exp(self.draw.gauss(0, lean)) for _ in range(fronts)]
        now, pace = begin, crowd * self.bears / self.window
        while now < START + LIVED:
            now += self.draw.expovariate(pace if now >= START else pace / surge)
            self.at(int(now), self.ask, self.draw.choices(range(fronts), part)[0])

    def at(self, now, call, *facts):
        heapq.heappush(self.queue, (now, next(self.order), call, facts))

    def most(self):
        """The most set-ups that the cold node got within a window."""
        while self.queue and self.queue[0][0] < START + LIVED:
            now, _, call, facts = heapq.heappop(self.queue)
            call(now, *facts)
        return max((sum(t <= other < t + self.window for other in self.times) for t in self.times), default=0)

    def rows(self, cold):
        return [
            NodeRow(f"n{i}", i, "z", "box", "serving", 3, self.started if i == 0 else 0)
            for i in range(0 if cold else 1, self.nodes)
        ]

    def bear(self, now, i, seed):
        self.fronts[i] = front = Front(now, 1000 * seed + i, self.start_settings)
        front.listed(now, "old_copy", self.rows(now >= START))

    def hear(self, now, i):
        self.carry(now, i, self.fronts[i].listed(now, "whole", self.rows(True)))

    def ask(self, now, i):
        if self.fronts[i] is None:
            return
        play, title = f"p{next(self.names)}", self.draw.randrange(self.titles) if self.titles else 0
        self.tries[play] = 0
        facts = {
            "product": "cheap",
            "customer": "",
            "viewer": play,
            "title": f"t{title}",
            "top_rung": 1,
            "limit": now + 3 * SECOND,
            "first_place": title % self.nodes,
            "places": self.holders,
            "length": None,
            "moved": False,
            "again": False,
        }
        self.carry(now, i, self.fronts[i].asked(now, play, **facts))

    def carry(self, now, i, said):
        for verb, play, *rest in said:
            if verb == "allocate" and rest[0] == "n0":
                self.times.append(now)
            if verb == "allocate":
                self.sent += 1
                refused = self.full and rest[0] != "n0"
                then, took = (self.refuse, 20) if refused else (self.play, 500)
                self.at(now + took, then, i, play, rest[0])

    def refuse(self, now, i, play, node):
        number, self.tries[play] = self.tries[play], self.tries[play] + 1
        self.carry(now, i, self.fronts[i].ended(now, play, number, node, "full", False, 20, {}))

    def play(self, now, i, play, node):
        self.carry(now, i, self.fronts[i].first_frame(now, play, self.tries[play], node, 500))
        self.at(now + int(self.draw.expovariate(1 / 20) * SECOND), self.end, i, play, node)

    def end(self, now, i, play, node):
        self.carry(now, i, self.fronts[i].ended(now, play, self.tries[play], node, "ok", True, 100, {}))


DAYS = {
    "one node": {"nodes": 1, "crowd": 10},
    "one node, a great crowd": {"nodes": 1, "crowd": 20},
    "unequal traffic": {"nodes": 1, "crowd": 10, "lean": 1.2},
    "all started at once": {"nodes": 1, "crowd": 10, "born": (0.0, 0.0)},
    "started one by one": {"nodes": 1, "crowd": 10, "born": (0.0, 3.0)},
    "the start heard at different times": {"nodes": 1, "crowd": 10, "heard": 2.0},
    "a crowd from one moment on": {"nodes": 1, "crowd": 20, "surge": 20.0},
    "the others full": {"nodes": 4, "crowd": 10, "full": True, "holders": 4},
    "a title that all ask for, its other holders full": {"nodes": 12, "crowd": 10, "titles": 0, "full": True},
    "the same, fewer ask": {"nodes": 12, "crowd": 3, "titles": 0, "full": True},
    "many titles, unequal traffic": {"nodes": 12, "crowd": 40, "lean": 1.0},
}


@pytest.mark.parametrize("terms", [FEW, SOME, MANY], ids=["N 1", "N 5", "N 14"])
@pytest.mark.parametrize("fronts", [3, 20, 30])
@pytest.mark.parametrize("day", DAYS)
def test_a_cold_node_bears_the_sum_of_all_fronts(day, fronts, terms):
    """N in a window, and 2 root N + 2 beyond it for chance: the users' term, for any number of fronts."""
    for seed in range(3):
        fleet = Fleet(seed, fronts, **(terms | DAYS[day]))
        most = fleet.most()
        assert fleet.tries and most <= fleet.bears + 2 * math.sqrt(fleet.bears) + 2, (seed, most)


@pytest.mark.parametrize("fronts", [3, 20, 30])
def test_what_a_cold_node_bears_is_used(fronts):
    """The other side of it: half of N is asked for, three in ten of that at least are let through."""
    fleets = [Fleet(seed, fronts, **(MANY | {"nodes": 12, "crowd": 6})) for seed in range(4)]
    asked = sum(fleet.bears / 2 * LIVED / fleet.window for fleet in fleets)
    for fleet in fleets:
        fleet.most()
    assert sum(len(fleet.times) for fleet in fleets) >= 0.3 * asked


@pytest.mark.parametrize(
    "fronts, terms",
    [(30, SOME | {"crowd": 6, "holders": 4}), (200, MANY | {"crowd": 4, "holders": 6})],
    ids=["30", "200"],
)
def test_fronts_that_are_new_to_a_warm_fleet_place_a_release(fronts, terms):
    """All fronts restart into a release: each is new to every node, no node is cold, one title is asked for.

    The crowd counted by cell, as at a node that has started, let 0.63 and 0.89 through; evenly 0.95 and 0.99.
    """
    days = terms | {"nodes": 40, "titles": 1, "born": (0.0, 0.0), "warm": True}
    fleets = [Fleet(seed, fronts, **days) for seed in range(3)]
    for fleet in fleets:
        fleet.most()
    assert sum(fleet.sent for fleet in fleets) >= 0.93 * sum(len(fleet.tries) for fleet in fleets)
