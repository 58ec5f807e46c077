"""The mover alone: tables of cases, then any order of events."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, initialize, invariant, rule

from curlewhall.moves import Mover
from curlewhall.moves.decide import BRIDGE, FRESH, MOST_OUT, SHORTEST, TRIES, Room

S = 10_000
START_SETTINGS = {
    "specifics.places": 2,
    "specifics.uplink_kb": 20_000.0,
    "specifics.kind_streams": [40],
    "fronts": 1,
    "rules.warm_within": 5 * S,
    "rules.fall": S,
    "rules.overload_factor": 4.0,
    "rules.start_capacity": 0.4,
    "specifics.told_late": 7000,
    "products": [{"importance": 1.0}, {"importance": 2.0}],
}
NODES = 4


class Rig:
    """A mover with four nodes of two racks; every title lies on both places."""

    def __init__(self, now=100 * S, within=20 * S, **start_settings):
        self.now, self.mover = now, Mover(now, START_SETTINGS | start_settings, within)
        self.states, self.started, self.said = ["serving"] * NODES, [0] * NODES, []
        self.room = True  # whether the module would place any play
        self.list()
        self.report(0.2)

    def list(self, gone=()):
        rows = {
            f"n{i}": Room(i, i % 2, self.states[i], 10_000.0, self.started[i])
            for i in range(NODES)
            if i not in gone
        }
        return self.hear("listed", rows)

    def report(self, full, nodes=None):
        for i in range(NODES) if nodes is None else nodes:
            self.hear("report", f"n{i}", "link_asked", full)
            self.hear("report", f"n{i}", "uplink_asked", full)

    def hear(self, name, *facts):
        """What is said, the module's room looked for at once."""
        said = []
        for answer in getattr(self.mover, name)(self.now, *facts):
            found = [answer] if answer[0] != "look" else self.mover.looked(self.now, answer[1], self.room)
            said += found
        self.said += said
        return said

    def play(
        self, play, node="n0", importance=1.0, paid=False, rate=100.0, cells=(0, 1), ends=None, buffer=4.0
    ):
        self.hear("playing", play, node, importance, paid, rate, cells, ends)
        return self.hear("buffer", play, buffer) if buffer is not None else []

    def drain(self, *nodes, state="draining"):
        for i in nodes:
            self.states[i] = state
        return self.list()

    def wait(self, span):
        self.now += span
        return self.hear("wake")

    def run(self, span, fresh=True, step=S // 10):
        """Let time pass; whatever is asked is done at once."""
        for _ in range(span // step):
            said = self.wait(step)
            if fresh:
                self.report(0.2)
            self.settle(said)

    def settle(self, said):
        for verb, play, *_ in said:
            if verb == "end":
                self.hear("ended_there", play)
                self.hear("ended", play)
                self.settle(self.hear("arrived", play))


def ends(said):
    return [answer[1] for answer in said if answer[0] == "end"]


def test_a_drained_node_is_emptied_in_the_order_of_rank_at_a_pace():
    rig = Rig(within=60 * S)
    rig.play("cheap")
    rig.play("paid", paid=True, importance=9.0)
    rig.play("dear", importance=2.0, buffer=3.0)
    rig.play("dear and full", importance=2.0, buffer=6.0)
    said = rig.drain(0)
    rig.settle(said)
    rig.run(10 * S)
    assert ends(rig.said) == ["dear and full", "dear", "cheap", "paid"]
    progress = rig.mover.progress()["n0"]
    assert (progress["moved"], progress["held"], progress["waiting"], progress["lost"]) == (4, 0, 0, 0)


@pytest.mark.parametrize(
    ("why", "make"),
    [
        ("no room", lambda rig: rig.report(0.86)),
        ("a full uplink", lambda rig: [rig.hear("report", f"n{i}", "uplink_asked", 0.86) for i in (0, 1)]),
        ("all drain", lambda rig: rig.drain(1, 2, 3)),
        ("all young", lambda rig: setattr(rig, "started", [rig.now] * NODES)),
        ("only holder", lambda rig: None),
    ],
)
def test_nothing_is_ended_while_no_holder_shows_room(why, make):
    rig = Rig(fronts=200 if why == "all young" else 1)
    rig.play("p", cells=(0,) if why == "only holder" else (0, 1))
    make(rig)
    said = rig.drain(0) if why != "only holder" else rig.drain(0, 2)
    assert ends(said) == []
    for _ in range(300):
        rig.wait(S // 10)
        make(rig)
        rig.list()
    assert ends(rig.said) == [] and any(answer[:2] == ("leave", "p") for answer in rig.said)


@pytest.mark.parametrize(
    ("importance", "held", "full", "moves"),
    [
        (1.0, 0, 0.7, True),
        (1.0, 6, 0.7, False),
        (2.0, 6, 0.7, True),
        (1.0, 6, 0.4, True),
        (2.0, 0, 0.9, False),
    ],
)
def test_the_least_product_is_moved_only_where_the_cap_lets_it_in(importance, held, full, moves):
    rig = Rig(fronts=3)
    for node in range(1, NODES):
        for i in range(held):
            rig.play(f"h{node}{i}", f"n{node}")
    rig.play("p", importance=importance)
    rig.now += S  # notes come late: what was placed within their lateness is added to them
    rig.report(full)
    assert ends(rig.drain(0)) == (["p"] if moves else [])


def test_pauses_grow_and_tries_end():
    rig = Rig(within=600 * S)
    rig.play("p", rate=99_999.0)
    rig.drain(0)
    for _ in range(4000):
        rig.wait(S // 10)
    assert rig.said.count(("leave", "p", "no room")) == 1
    assert rig.mover.seats["p"].tries == TRIES and not rig.mover.plans["n0"].later


def test_what_ends_by_itself_is_left_where_it_is():
    rig = Rig(within=10 * S)
    rig.play("short", ends=rig.now + 5 * S)
    rig.play("long", ends=rig.now + 50 * S)
    rig.settle(rig.drain(0))
    assert ends(rig.said) == ["long"] and ("leave", "short", "ends by itself") in rig.said


@pytest.mark.parametrize("buffer", [0.0, 0.5])
def test_a_viewer_with_an_empty_buffer_goes_when_it_has_some_or_when_time_runs_out(buffer):
    rig = Rig(within=20 * S)
    rig.play("p", buffer=buffer)
    assert ends(rig.drain(0)) == []
    assert ends(rig.hear("buffer", "p", (BRIDGE + 1) / S)) == ["p"]
    rig = Rig(within=20 * S)
    rig.play("p", buffer=buffer)
    rig.drain(0)
    rig.run(14 * S)
    assert ends(rig.said) == []
    rig.run(2 * S)
    assert ends(rig.said) == ["p"]


def test_called_back_after_half_stops_at_once():
    rig = Rig(within=60 * S)
    for i in range(20):
        rig.play(f"p{i:02}")
    rig.settle(rig.drain(0))
    rig.run(3 * S)
    begun = len(ends(rig.said))
    assert 0 < begun < 20
    rig.drain(0, state="serving")
    rig.run(10 * S)
    assert len(ends(rig.said)) == begun and rig.mover.progress() == {}


def test_two_nodes_draining_into_each_other_move_to_neither():
    rig = Rig()
    rig.play("a", "n0", cells=(0,))
    rig.play("b", "n2", cells=(0,))
    rig.settle(rig.drain(0, 2))
    rig.run(10 * S)
    assert ends(rig.said) == []


def test_a_node_gone_before_the_moves_are_done_ends_its_plan():
    rig = Rig()
    for i in range(5):
        rig.play(f"p{i}")
    rig.drain(0)
    rig.list(gone=[0])
    rig.run(5 * S)
    assert "n0" not in rig.mover.plans and len(ends(rig.said)) <= MOST_OUT


def test_an_end_that_nobody_confirmed_asks_for_nothing():
    rig = Rig()
    rig.play("p")
    assert ends(rig.drain(0)) == ["p"]
    assert [answer for answer in rig.hear("kept", "p") if answer[0] == "ask"] == []
    rig.run(2 * S)
    assert ends(rig.said) == ["p", "p"] and rig.hear("ended_there", "p") == []


def test_nothing_is_ended_that_the_module_would_not_place():
    rig = Rig(within=60 * S)
    rig.room = False
    rig.play("p")
    rig.drain(0)
    rig.run(5 * S)
    assert ends(rig.said) == [] and rig.mover.seats["p"].tries > 2
    rig.room = True
    rig.run(5 * S)
    assert ends(rig.said) == ["p"]


@pytest.mark.parametrize(
    ("buffer", "limit", "tries"),
    [(4.0, 99 * S, 5), (2.0, 99 * S, 3), (4.0, S // 2, 2), (None, 99 * S, 0), (1.0, 99 * S, 0)],
)
def test_a_declined_move_is_asked_again_while_the_buffer_and_the_limit_last(buffer, limit, tries):
    rig = Rig()
    rig.play("p", buffer=buffer)
    rig.drain(0)
    rig.now = rig.mover.plans["n0"].deadline - S  # with little in hand it goes at the end only
    rig.wait(1)
    rig.hear("ended_there", "p")
    limit, pauses = rig.now + limit, []
    while again := rig.hear("declined", "p", limit):
        pauses += [span for _, _, span in again]
        rig.now += pauses[-1]
    assert len(pauses) == tries and pauses == sorted(pauses)
    rig.hear("lost", "p")
    assert "p" not in rig.mover.seats and not rig.mover.out


def test_a_lost_move_is_counted_and_not_tried_again():
    rig = Rig()
    rig.play("p")
    rig.drain(0)
    assert rig.hear("ended_there", "p") == [("ask", "p")]
    rig.hear("ended", "p")
    rig.hear("lost", "p")
    rig.run(5 * S)
    assert ends(rig.said) == ["p"] and rig.mover.progress()["n0"]["lost"] == 1


@pytest.mark.parametrize(("fronts", "most"), [(1, 3), (3, 1), (200, 1)])
def test_all_fronts_together_have_no_more_out_than_there_are_nodes(fronts, most):
    rig = Rig(fronts=fronts, within=2 * S)
    for i in range(20):
        rig.play(f"p{i:02}", rate=1.0)
    rig.drain(0)
    for _ in range(50):
        rig.wait(SHORTEST)
    assert len(rig.mover.out) == most


class AnyOrder(RuleBasedStateMachine):
    """Any order of lists, plays, reports, buffers, ends and their outcomes, over any pauses."""

    names = Bundle("names")

    @initialize(fronts=st.sampled_from([1, 3, 50]))
    def begin(self, fronts):
        self.rig, self.count = Rig(fronts=fronts), 0
        self.ended, self.asked, self.over, self.begun = set(), set(), set(), []
        self.live = {}

    def told(self, said):
        for verb, *rest in said:
            if verb == "end":
                play = rest[0]
                assert play in self.live and play not in self.ended | self.asked, "two out"
                node = self.live[play]
                assert self.rig.states[int(node[1])] == "draining", "moved without a drain"
                assert self.rig.now < self.rig.mover.plans[node].deadline, "moved past the deadline"
                self.ended.add(play)
                self.begun.append(self.rig.now)
            elif verb == "ask":
                assert rest[0] in self.ended
                self.ended.discard(rest[0])
                self.asked.add(rest[0])
            elif verb == "wake":
                assert rest[0] >= 1

    @rule(
        target=names,
        node=st.integers(0, NODES - 1),
        rate=st.floats(1, 3000),
        paid=st.booleans(),
        importance=st.sampled_from([1.0, 2.0]),
        ends=st.one_of(st.none(), st.integers(0, 60 * S)),
    )
    def play(self, node, rate, paid, importance, ends):
        self.count += 1
        name = f"p{self.count}"
        self.live[name] = f"n{node}"
        until = None if ends is None else self.rig.now + ends
        self.told(self.rig.hear("playing", name, f"n{node}", importance, paid, rate, (0, 1), until))
        return name

    @rule(name=names, seconds=st.floats(0, 8))
    def buffer(self, name, seconds):
        self.told(self.rig.hear("buffer", name, seconds))

    @rule(node=st.integers(0, NODES - 1), full=st.floats(0, 1.5))
    def report(self, node, full):
        self.rig.report(full, [node])

    @rule(node=st.integers(0, NODES - 1), state=st.sampled_from(["serving", "draining"]))
    def state(self, node, state):
        self.rig.states[node] = state
        self.told(self.rig.list())

    @rule(node=st.integers(0, NODES - 1))
    def started(self, node):
        self.rig.started[node] = self.rig.now
        self.told(self.rig.list())

    @rule(span=st.integers(1, 3 * S))
    def passes(self, span):
        self.told(self.rig.wait(span))

    @rule(name=names, sure=st.booleans())
    def node_answers(self, name, sure):
        if name in self.ended:
            if not sure:
                self.ended.discard(name)
            self.told(self.rig.hear("ended_there" if sure else "kept", name))

    @rule(room=st.booleans())
    def module_finds(self, room):
        self.rig.room = room

    @rule(name=names, limit=st.integers(0, 5 * S))
    def module_declines(self, name, limit):
        if name in self.asked:
            for _, play, pause in self.rig.hear("declined", name, self.rig.now + limit):
                assert play == name and 0 < pause < limit

    @rule(name=names, how=st.sampled_from(["arrived", "lost"]))
    def module_answers(self, name, how):
        if name in self.asked:
            self.asked.discard(name)
            self.live.pop(name)
            self.told(self.rig.hear(how, name))

    @rule(name=consumes(names))
    def viewer_ends(self, name):
        if name in self.live and name not in self.ended | self.asked:
            del self.live[name]
            self.told(self.rig.hear("ended", name))

    @invariant()
    def never_more_out_than_the_pace(self):
        mover = self.rig.mover
        assert len(self.ended | self.asked) <= max(1, MOST_OUT)
        assert mover.out == self.ended | self.asked
        assert all(b - a >= SHORTEST for a, b in zip(self.begun, self.begun[1:], strict=False))

    @invariant()
    def books_agree(self):
        mover = self.rig.mover
        assert set(mover.seats) == set(self.live)
        for node, plan in mover.plans.items():
            waiting = set(plan.ready) | set(plan.later)
            assert waiting <= mover.at.get(node, set()) and not waiting & mover.out
            assert not set(plan.ready) & set(plan.later)


AnyOrder.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True, database=None
)
TestAnyOrder = AnyOrder.TestCase


def test_old_reports_are_not_believed():
    rig = Rig()
    rig.play("p")
    rig.report(0.95)
    rig.now += FRESH + 1
    # nobody heard: an average of one half, and room for a small play
    assert ends(rig.drain(0)) == ["p"]
