"""Start settings and a harness for tests of the decision module."""

import time

import pytest

from curlewhall.interface import NodeRow
from curlewhall.policy import TICKS_PER_SECOND, Front

pytest_plugins = ["known_red", "pytester"]


def start_settings(**changes):
    """Start settings of a small platform, by default with two fronts; `changes` by full name."""
    product = {"time_limit": 3 * TICKS_PER_SECOND, "first_frame_target": TICKS_PER_SECOND}
    settings = {
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
        "specifics.told_late": TICKS_PER_SECOND,
        "specifics.told_every": 3 * TICKS_PER_SECOND,
        "specifics.switch_cost_s": 0.5,
        "specifics.stall": 8.0,
        "permissions.probes": True,
        "permissions.retry_after": True,
        "permissions.max_retry_after": TICKS_PER_SECOND,
        "permissions.max_allocations": 3,
        "permissions.peer_messages": False,
        "rules.drain_grace": 5000,
        "rules.fall": TICKS_PER_SECOND,
        "rules.overload_factor": 4.0,
        "rules.start_capacity": 0.4,
        "rules.warm_within": 12 * TICKS_PER_SECOND,
    }
    return settings | changes


class Harness:
    """A `Front` with warm nodes n0 to n3 at places 0 to 3, and a clock.

    Requests by default ask for a title that all four nodes hold. Times are ticks unless named seconds.
    """

    def __init__(self, **changes):
        self.now, self.count = 100 * TICKS_PER_SECOND, 0
        self.front = Front(self.now, changes.pop("seed", 7), start_settings(**changes))
        self.list_nodes("old_copy", *[(f"n{i}", {}) for i in range(4)])
        self.now += 20 * TICKS_PER_SECOND  # past the warm-up

    def list_nodes(self, how, *rows):
        """Pass rows to `Front.listed`, each a node name and the fields that differ from the defaults."""
        default = {"zone": "z", "kind": "box", "state": "serving", "weight": 1, "started": 0}
        rows = [NodeRow(n, int(n[1:]) % 4, **(default | more)) for n, more in rows]
        return list(self.front.listed(self.now, how, rows))

    def request(self, product="cheap", limit=3 * TICKS_PER_SECOND, first=0, places=4, top=3, **more):
        """Request a play; returns its id and the answers."""
        self.count += 1
        play = f"p{self.count}"
        fields = {
            "customer": "",
            "viewer": play,
            "title": "t",
            "length": None,
            "moved": False,
            "again": False,
        }
        return play, list(
            self.front.asked(
                self.now,
                play=play,
                product=product,
                limit=self.now + limit,
                first_place=first,
                places=places,
                top_rung=top,
                **(fields | more),
            )
        )

    def start_play(self, *args, **more):
        """Request a play and let its first allocation play; returns its id and node."""
        play, answers = self.request(*args, **more)
        node = allocations(answers)[0][2]
        self.front.first_frame(self.now, play, 0, node, 500)
        return play, node

    def end_allocation(self, play, how, node, number=0, final=False, **report):
        return list(self.front.ended(self.now, play, number, node, how, final, 100, report))

    def advance(self, seconds):
        self.now += int(seconds * TICKS_PER_SECOND)


def allocations(answers):
    """The answers that allocate, as (verb, play, node, time-out)."""
    return [a for a in answers if a[0] == "allocate"]


def verbs(answers):
    """The verb of each answer."""
    return [a[0] for a in answers]


@pytest.fixture
def harness():
    return Harness()


@pytest.fixture
def make_harness():
    """The class, for tests that change start settings."""
    return Harness


@pytest.fixture
def clock(monkeypatch):
    """A clock in place of `time.monotonic` that stands until it is advanced."""
    from relay.deployment import Clock  # which imports this module

    stands = Clock()
    monkeypatch.setattr(time, "monotonic", stands)
    return stands
