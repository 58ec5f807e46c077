"""`Mover` without I/O: single cases, then a state machine that sends it events in any order."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, initialize, invariant, rule

from curlewhall.moves import Mover
from curlewhall.moves.decide import (
    MAX_ATTEMPTS,
    MAX_CONCURRENT_MOVES,
    MIN_BUFFER_TICKS,
    MIN_MOVE_INTERVAL_TICKS,
    REPORT_MAX_AGE_TICKS,
    NodeInfo,
)

TICKS_PER_SECOND = 10_000
START_SETTINGS = {
    "specifics.places": 2,
    "specifics.uplink_kb": 20_000.0,
    "specifics.kind_streams": [40],
    "fronts": 1,
    "rules.warm_within": 5 * TICKS_PER_SECOND,
    "rules.fall": TICKS_PER_SECOND,
    "rules.overload_factor": 4.0,
    "rules.start_capacity": 0.4,
    "specifics.told_late": 7000,
    "products": [{"importance": 1.0}, {"importance": 2.0}],
}
NODES = 4


class MoverHarness:
    """A mover with four nodes in two racks; by default, every title is on both places.

    `check_room` actions are answered at once; all other actions are collected in `actions`.
    """

    def __init__(self, now=100 * TICKS_PER_SECOND, drain_within=20 * TICKS_PER_SECOND, **start_settings):
        self.now = now
        self.mover = Mover(now, START_SETTINGS | start_settings, drain_within)
        self.states = ["serving"] * NODES
        self.started = [0] * NODES
        self.actions = []
        self.module_has_room = True
        self.list_nodes()
        self.report_loads(0.2)

    def list_nodes(self, gone=()):
        nodes = {
            f"n{i}": NodeInfo(i, i % 2, self.states[i], 10_000.0, self.started[i])
            for i in range(NODES)
            if i not in gone
        }
        return self.send("nodes_listed", nodes)

    def report_loads(self, load, nodes=None):
        for i in range(NODES) if nodes is None else nodes:
            self.send("node_reported", f"n{i}", "link_asked", load)
            self.send("node_reported", f"n{i}", "uplink_asked", load)

    def send(self, event, *arguments):
        """Call an event method of the mover; return its actions, with `check_room` already answered."""
        actions = []
        for action in getattr(self.mover, event)(self.now, *arguments):
            following = (
                [action]
                if action[0] != "check_room"
                else self.mover.room_checked(self.now, action[1], self.module_has_room)
            )
            actions += following
        self.actions += actions
        return actions

    def play(
        self,
        play,
        node="n0",
        importance=1.0,
        has_side_effect=False,
        rate=100.0,
        places=(0, 1),
        ends_at=None,
        buffer=4.0,
    ):
        self.send("play_started", play, node, importance, has_side_effect, rate, places, ends_at)
        return self.send("buffer_reported", play, buffer) if buffer is not None else []

    def drain(self, *nodes, state="draining"):
        for i in nodes:
            self.states[i] = state
        return self.list_nodes()

    def wait(self, span):
        self.now += span
        return self.send("wake")

    def run(self, span, fresh=True, step=TICKS_PER_SECOND // 10):
        """Advance the clock; each move that starts succeeds at once."""
        for _ in range(span // step):
            actions = self.wait(step)
            if fresh:
                self.report_loads(0.2)
            self.complete_moves(actions)

    def complete_moves(self, actions):
        for name, play, *_ in actions:
            if name == "end":
                self.send("end_confirmed", play)
                self.send("play_ended", play)
                self.complete_moves(self.send("move_succeeded", play))


def ended_plays(actions):
    return [action[1] for action in actions if action[0] == "end"]


def test_plays_leave_a_draining_node_in_order_of_priority():
    harness = MoverHarness(drain_within=60 * TICKS_PER_SECOND)
    harness.play("cheap")
    harness.play("paid", has_side_effect=True, importance=9.0)
    harness.play("important", importance=2.0, buffer=3.0)
    harness.play("important, large buffer", importance=2.0, buffer=6.0)
    actions = harness.drain(0)
    harness.complete_moves(actions)
    harness.run(10 * TICKS_PER_SECOND)
    assert ended_plays(harness.actions) == ["important, large buffer", "important", "cheap", "paid"]
    progress = harness.mover.progress()["n0"]
    assert (progress["moved"], progress["held"], progress["waiting"], progress["lost"]) == (4, 0, 0, 0)


@pytest.mark.parametrize(
    ("reason", "set_up"),
    [
        ("links full", lambda harness: harness.report_loads(0.86)),
        (
            "uplinks full",
            lambda harness: [harness.send("node_reported", f"n{i}", "uplink_asked", 0.86) for i in (0, 1)],
        ),
        ("all nodes drain", lambda harness: harness.drain(1, 2, 3)),
        ("all nodes cold", lambda harness: setattr(harness, "started", [harness.now] * NODES)),
        ("no other node has the title", lambda harness: None),
    ],
)
def test_no_play_is_ended_while_no_target_has_room(reason, set_up):
    harness = MoverHarness(fronts=200 if reason == "all nodes cold" else 1)
    harness.play("p", places=(0,) if reason == "no other node has the title" else (0, 1))
    set_up(harness)
    actions = harness.drain(0) if reason != "no other node has the title" else harness.drain(0, 2)
    assert ended_plays(actions) == []
    for _ in range(300):
        harness.wait(TICKS_PER_SECOND // 10)
        set_up(harness)
        harness.list_nodes()
    assert ended_plays(harness.actions) == [] and any(
        action[:2] == ("leave", "p") for action in harness.actions
    )


@pytest.mark.parametrize(
    ("importance", "held", "load", "moves"),
    [
        (1.0, 0, 0.7, True),
        (1.0, 6, 0.7, False),
        (2.0, 6, 0.7, True),
        (1.0, 6, 0.4, True),
        (2.0, 0, 0.9, False),
    ],
)
def test_least_important_product_moves_only_below_its_cap(importance, held, load, moves):
    harness = MoverHarness(fronts=3)
    for node in range(1, NODES):
        for i in range(held):
            harness.play(f"h{node}{i}", f"n{node}")
    harness.play("p", importance=importance)
    harness.now += TICKS_PER_SECOND  # longer than the reporting lag: the placed plays are in the next report
    harness.report_loads(load)
    assert ended_plays(harness.drain(0)) == (["p"] if moves else [])


def test_play_without_a_target_is_left_after_the_last_attempt():
    harness = MoverHarness(drain_within=600 * TICKS_PER_SECOND)
    harness.play("p", rate=99_999.0)
    harness.drain(0)
    for _ in range(4000):
        harness.wait(TICKS_PER_SECOND // 10)
    assert harness.actions.count(("leave", "p", "no node has room")) == 1
    assert harness.mover.plays["p"].attempts == MAX_ATTEMPTS and not harness.mover.drains["n0"].deferred


def test_play_that_ends_before_the_deadline_is_not_moved():
    harness = MoverHarness(drain_within=10 * TICKS_PER_SECOND)
    harness.play("short", ends_at=harness.now + 5 * TICKS_PER_SECOND)
    harness.play("long", ends_at=harness.now + 50 * TICKS_PER_SECOND)
    harness.complete_moves(harness.drain(0))
    assert (
        ended_plays(harness.actions) == ["long"]
        and ("leave", "short", "play ends before the drain deadline") in harness.actions
    )


@pytest.mark.parametrize("buffer", [0.0, 0.5])
def test_play_with_a_low_buffer_moves_once_it_is_filled_or_the_deadline_is_near(buffer):
    harness = MoverHarness(drain_within=20 * TICKS_PER_SECOND)
    harness.play("p", buffer=buffer)
    assert ended_plays(harness.drain(0)) == []
    assert ended_plays(harness.send("buffer_reported", "p", (MIN_BUFFER_TICKS + 1) / TICKS_PER_SECOND)) == [
        "p"
    ]
    harness = MoverHarness(drain_within=20 * TICKS_PER_SECOND)
    harness.play("p", buffer=buffer)
    harness.drain(0)
    harness.run(14 * TICKS_PER_SECOND)
    assert ended_plays(harness.actions) == []
    harness.run(2 * TICKS_PER_SECOND)
    assert ended_plays(harness.actions) == ["p"]


def test_cancelled_drain_starts_no_further_move():
    harness = MoverHarness(drain_within=60 * TICKS_PER_SECOND)
    for i in range(20):
        harness.play(f"p{i:02}")
    harness.complete_moves(harness.drain(0))
    harness.run(3 * TICKS_PER_SECOND)
    started = len(ended_plays(harness.actions))
    assert 0 < started < 20
    harness.drain(0, state="serving")
    harness.run(10 * TICKS_PER_SECOND)
    assert len(ended_plays(harness.actions)) == started and harness.mover.progress() == {}


def test_no_play_moves_between_two_draining_nodes():
    harness = MoverHarness()
    harness.play("a", "n0", places=(0,))
    harness.play("b", "n2", places=(0,))
    harness.complete_moves(harness.drain(0, 2))
    harness.run(10 * TICKS_PER_SECOND)
    assert ended_plays(harness.actions) == []


def test_drain_ends_when_its_node_leaves_the_list():
    harness = MoverHarness()
    for i in range(5):
        harness.play(f"p{i}")
    harness.drain(0)
    harness.list_nodes(gone=[0])
    harness.run(5 * TICKS_PER_SECOND)
    assert "n0" not in harness.mover.drains and len(ended_plays(harness.actions)) <= MAX_CONCURRENT_MOVES


def test_unconfirmed_end_requests_no_place():
    harness = MoverHarness()
    harness.play("p")
    assert ended_plays(harness.drain(0)) == ["p"]
    assert [action for action in harness.send("end_unconfirmed", "p") if action[0] == "request_place"] == []
    harness.run(2 * TICKS_PER_SECOND)
    assert ended_plays(harness.actions) == ["p", "p"] and harness.send("end_confirmed", "p") == []


def test_no_play_is_ended_that_the_module_would_not_place():
    harness = MoverHarness(drain_within=60 * TICKS_PER_SECOND)
    harness.module_has_room = False
    harness.play("p")
    harness.drain(0)
    harness.run(5 * TICKS_PER_SECOND)
    assert ended_plays(harness.actions) == [] and harness.mover.plays["p"].attempts > 2
    harness.module_has_room = True
    harness.run(5 * TICKS_PER_SECOND)
    assert ended_plays(harness.actions) == ["p"]


@pytest.mark.parametrize(
    ("buffer", "limit", "retries"),
    [
        (4.0, 99 * TICKS_PER_SECOND, 5),
        (2.0, 99 * TICKS_PER_SECOND, 3),
        (4.0, TICKS_PER_SECOND // 2, 2),
        (None, 99 * TICKS_PER_SECOND, 0),
        (1.0, 99 * TICKS_PER_SECOND, 0),
    ],
)
def test_declined_move_is_retried_while_the_buffer_and_the_time_limit_last(buffer, limit, retries):
    harness = MoverHarness()
    harness.play("p", buffer=buffer)
    harness.drain(0)
    # A play with a low buffer moves only near the deadline.
    harness.now = harness.mover.drains["n0"].deadline - TICKS_PER_SECOND
    harness.wait(1)
    harness.send("end_confirmed", "p")
    limit, delays = harness.now + limit, []
    while actions := harness.send("move_declined", "p", limit):
        delays += [delay for _, _, delay in actions]
        harness.now += delays[-1]
    assert len(delays) == retries and delays == sorted(delays)
    harness.send("move_failed", "p")
    assert "p" not in harness.mover.plays and not harness.mover.moving


def test_failed_move_is_counted_as_lost_and_not_repeated():
    harness = MoverHarness()
    harness.play("p")
    harness.drain(0)
    assert harness.send("end_confirmed", "p") == [("request_place", "p")]
    harness.send("play_ended", "p")
    harness.send("move_failed", "p")
    harness.run(5 * TICKS_PER_SECOND)
    assert ended_plays(harness.actions) == ["p"] and harness.mover.progress()["n0"]["lost"] == 1


@pytest.mark.parametrize(("fronts", "expected"), [(1, 3), (3, 1), (200, 1)])
def test_concurrent_moves_are_limited_to_this_fronts_share_of_the_nodes(fronts, expected):
    harness = MoverHarness(fronts=fronts, drain_within=2 * TICKS_PER_SECOND)
    for i in range(20):
        harness.play(f"p{i:02}", rate=1.0)
    harness.drain(0)
    for _ in range(50):
        harness.wait(MIN_MOVE_INTERVAL_TICKS)
    assert len(harness.mover.moving) == expected


class AnyEventOrder(RuleBasedStateMachine):
    """Node lists, plays, reports, buffer levels, ends and their results in any order, at any interval."""

    names = Bundle("names")

    @initialize(fronts=st.sampled_from([1, 3, 50]))
    def create_mover(self, fronts):
        self.harness, self.count = MoverHarness(fronts=fronts), 0
        self.ended, self.requested, self.over, self.start_times = set(), set(), set(), []
        self.live = {}

    def check_actions(self, actions):
        for name, *arguments in actions:
            if name == "end":
                play = arguments[0]
                assert play in self.live and play not in self.ended | self.requested, "already moving"
                node = self.live[play]
                assert self.harness.states[int(node[1])] == "draining", "moved without a drain"
                assert self.harness.now < self.harness.mover.drains[node].deadline, "moved past the deadline"
                self.ended.add(play)
                self.start_times.append(self.harness.now)
            elif name == "request_place":
                assert arguments[0] in self.ended
                self.ended.discard(arguments[0])
                self.requested.add(arguments[0])
            elif name == "wake":
                assert arguments[0] >= 1

    @rule(
        target=names,
        node=st.integers(0, NODES - 1),
        rate=st.floats(1, 3000),
        has_side_effect=st.booleans(),
        importance=st.sampled_from([1.0, 2.0]),
        ends_in=st.one_of(st.none(), st.integers(0, 60 * TICKS_PER_SECOND)),
    )
    def play_starts(self, node, rate, has_side_effect, importance, ends_in):
        self.count += 1
        name = f"p{self.count}"
        self.live[name] = f"n{node}"
        ends_at = None if ends_in is None else self.harness.now + ends_in
        self.check_actions(
            self.harness.send(
                "play_started", name, f"n{node}", importance, has_side_effect, rate, (0, 1), ends_at
            )
        )
        return name

    @rule(name=names, seconds=st.floats(0, 8))
    def viewer_reports_buffer(self, name, seconds):
        self.check_actions(self.harness.send("buffer_reported", name, seconds))

    @rule(node=st.integers(0, NODES - 1), load=st.floats(0, 1.5))
    def node_reports_load(self, node, load):
        self.harness.report_loads(load, [node])

    @rule(node=st.integers(0, NODES - 1), state=st.sampled_from(["serving", "draining"]))
    def node_changes_state(self, node, state):
        self.harness.states[node] = state
        self.check_actions(self.harness.list_nodes())

    @rule(node=st.integers(0, NODES - 1))
    def node_restarts(self, node):
        self.harness.started[node] = self.harness.now
        self.check_actions(self.harness.list_nodes())

    @rule(span=st.integers(1, 3 * TICKS_PER_SECOND))
    def time_passes(self, span):
        self.check_actions(self.harness.wait(span))

    @rule(name=names, confirmed=st.booleans())
    def node_answers_end(self, name, confirmed):
        if name in self.ended:
            if not confirmed:
                self.ended.discard(name)
            self.check_actions(self.harness.send("end_confirmed" if confirmed else "end_unconfirmed", name))

    @rule(has_room=st.booleans())
    def module_room_changes(self, has_room):
        self.harness.module_has_room = has_room

    @rule(name=names, limit=st.integers(0, 5 * TICKS_PER_SECOND))
    def module_declines(self, name, limit):
        if name in self.requested:
            for _, play, delay in self.harness.send("move_declined", name, self.harness.now + limit):
                assert play == name and 0 < delay < limit

    @rule(name=names, result=st.sampled_from(["move_succeeded", "move_failed"]))
    def move_finishes(self, name, result):
        if name in self.requested:
            self.requested.discard(name)
            self.live.pop(name)
            self.check_actions(self.harness.send(result, name))

    @rule(name=consumes(names))
    def viewer_leaves(self, name):
        if name in self.live and name not in self.ended | self.requested:
            del self.live[name]
            self.check_actions(self.harness.send("play_ended", name))

    @invariant()
    def moves_stay_within_limit_and_pace(self):
        mover = self.harness.mover
        assert len(self.ended | self.requested) <= max(1, MAX_CONCURRENT_MOVES)
        assert mover.moving == self.ended | self.requested
        assert all(
            b - a >= MIN_MOVE_INTERVAL_TICKS
            for a, b in zip(self.start_times, self.start_times[1:], strict=False)
        )

    @invariant()
    def queues_hold_only_plays_of_their_node(self):
        mover = self.harness.mover
        assert set(mover.plays) == set(self.live)
        for node, plan in mover.drains.items():
            waiting = set(plan.ready) | set(plan.deferred)
            assert waiting <= mover.plays_by_node.get(node, set()) and not waiting & mover.moving
            assert not set(plan.ready) & set(plan.deferred)


AnyEventOrder.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True, database=None
)
TestAnyEventOrder = AnyEventOrder.TestCase


def test_expired_reports_are_ignored():
    harness = MoverHarness()
    harness.play("p")
    harness.report_loads(0.95)
    harness.now += REPORT_MAX_AGE_TICKS + 1
    # Without a recent report, nodes count as half full, so a small play fits.
    assert ended_plays(harness.drain(0)) == ["p"]
