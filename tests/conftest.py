"""The one helper file: small start settings, a front with four nodes, and short forms of the calls."""

import pytest

from curlewhall.interface import NodeRow
from curlewhall.policy import Front

pytest_plugins = ["known_red", "pytester"]
SECOND = 10_000


def start_settings(**changes):
    product = {"time_limit": 3 * SECOND, "first_frame_target": SECOND}
    plain = {
        "products": [
            dict(product, name="dear", importance=2.0, idempotency="pure"),
            dict(product, name="cheap", importance=1.0, idempotency="pure"),
            dict(product, name="paid", importance=3.0, idempotency="side_effect"),
        ],
        "fronts": 2,
        "own_index": 0,
        "zone": "z",
        "kinds": ["box"],
        "customers": [],
        "report.how": "inline",
        "specifics.rung_kb": [100.0, 200.0, 400.0, 800.0],
        "specifics.level_worth": [0.2, 0.5, 0.8, 1.0],
        "specifics.class_scale": [1.0, 1.0, 1.0],
        "specifics.floor_by_class": [0, 0, 1],
        "specifics.highest_rung": [3, 3, 3],
        "specifics.seats": [0, 0, 0],
        "specifics.kind_streams": [8],
        "specifics.places": 4,
        "specifics.shelves": 2,
        "specifics.uplink_kb": 4000.0,
        "specifics.link_unit_kb": 3000.0,
        "specifics.told_late": SECOND,
        "specifics.told_every": 3 * SECOND,
        "specifics.switch_cost_s": 0.5,
        "specifics.stall": 8.0,
        "permissions.probes": True,
        "permissions.retry_after": True,
        "permissions.max_retry_after": SECOND,
        "permissions.max_allocations": 3,
        "permissions.peer_messages": False,
        "rules.drain_grace": 5000,
        "rules.fall": SECOND,
        "rules.overload_factor": 4.0,
        "rules.start_capacity": 0.4,
        "rules.warm_within": 12 * SECOND,
    }
    return plain | changes


class Bench:
    """A front with the nodes n0 to n3, one a place, all holding every title unless told otherwise."""

    def __init__(self, **changes):
        self.now, self.count = 100 * SECOND, 0
        self.front = Front(self.now, changes.pop("seed", 7), start_settings(**changes))
        self.list("old_copy", *[(f"n{i}", {}) for i in range(4)])
        self.now += 20 * SECOND  # all warm

    def list(self, how, *rows):
        plain = {"zone": "z", "kind": "box", "state": "serving", "weight": 1, "started": 0}
        rows = [NodeRow(n, int(n[1:]) % 4, **(plain | more)) for n, more in rows]
        return list(self.front.listed(self.now, how, rows))

    def ask(self, product="cheap", limit=3 * SECOND, first=0, places=4, top=3, **more):
        self.count += 1
        play = f"p{self.count}"
        facts = {"customer": "", "viewer": play, "title": "t", "length": None, "moved": False, "again": False}
        return play, list(
            self.front.asked(
                self.now,
                play=play,
                product=product,
                limit=self.now + limit,
                first_place=first,
                places=places,
                top_rung=top,
                **(facts | more),
            )
        )

    def play(self, *args, **more):
        """A play that plays: its id and node."""
        play, said = self.ask(*args, **more)
        node = sent(said)[0][2]
        self.front.first_frame(self.now, play, 0, node, 500)
        return play, node

    def end(self, play, how, node, number=0, final=False, **report):
        return list(self.front.ended(self.now, play, number, node, how, final, 100, report))

    def wait(self, seconds):
        self.now += int(seconds * SECOND)


def sent(said):
    return [a for a in said if a[0] == "allocate"]


def verbs(said):
    return [a[0] for a in said]


@pytest.fixture
def bench():
    return Bench()


@pytest.fixture
def make():
    return Bench
