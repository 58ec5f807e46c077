"""Edge cases of the decision module: empty fleets, odd inputs, extreme clocks, silence, memory growth."""

import pickle

import pytest
from conftest import TICKS_PER_SECOND, Harness, allocations, start_settings, verbs

from curlewhall.interface import NodeRow
from curlewhall.policy import Front

DAY_TICKS = 86_400 * TICKS_PER_SECOND


def run_traffic(harness, rounds):
    """Plays with all kinds of ends, further allocations, early declines, and nodes that come and go."""
    front = harness.front
    for i in range(rounds):
        for how in ("late", "full", "not_sent"):
            play, answers = harness.request(customer="c")
            number = 0
            while found := allocations(answers):
                answers = harness.end_allocation(play, how, found[0][2], number)
                number += 1
        harness.request(places=0, customer="d")  # no holder: declined before any stage counts customers
        front.asked(
            harness.now,
            f"q{i}",
            "cheap",
            "",
            f"v{i}",
            "t",
            harness.now + TICKS_PER_SECOND,
            0,
            4,
            3,
            None,
            False,
            False,
        )
        front.left(harness.now, f"q{i}")
        for node in [n for n, state in front.nodes.items() if f"q{i}" in state.plays]:
            harness.end_allocation(f"q{i}", "withdrawn", node, 0, True)
        harness.list_nodes("changes", (f"n{harness.count}", {}))  # a new node each time, gone at once
        harness.list_nodes("changes", (f"n{harness.count}", {"state": "gone"}))
        front.probed(harness.now, "n0", "ok", 10, {"link_asked": 0.1, "uplink_asked": 0.1})
        harness.advance(40)


@pytest.mark.parametrize(
    "budget",
    [
        {},
        {
            "rules.extra_per_request": 0.9,
            "rules.spare_allocations": 9,
            "rules.look_back": 5 * TICKS_PER_SECOND,
        },
    ],
)
def test_memory_stays_bounded_under_long_traffic(make_harness, budget):
    harness = make_harness(customers=[{"name": name, "allowance_per_s": 2.0} for name in "cd"], **budget)
    sizes = []
    for _ in range(8):
        run_traffic(harness, 75)
        sizes.append(len(pickle.dumps(harness.front)))
    # Running totals grow to some hundred entries before half of them is dropped.
    assert max(sizes[4:]) < 1.3 * max(sizes[:4]), sizes


@pytest.mark.parametrize(
    "changes", [{"weight": 0}, {"weight": -1}, {"kind": "unheard of"}, {"place": -3}, {"started": 1 << 40}]
)
def test_odd_node_row_leaves_plays_on_other_nodes_alone(make_harness, changes):
    harness = make_harness()
    front = harness.front
    front.listed(harness.now, "changes", [NodeRow("n9", 0, "z", "box", "serving", 1, 0)._replace(**changes)])
    for _ in range(12):
        harness.advance(1)
        for node in ("n0", "n9"):
            front.probed(harness.now, node, "ok", 10, {"link_asked": 0.2, "uplink_asked": 0.2})
        assert verbs(harness.request("dear", first=1, places=2, top=0)[1])[-1] == "allocate"
        play, answers = harness.request("dear", top=0)
        assert verbs(answers)[-1] == "allocate"
        front.first_frame(harness.now, play, 0, allocations(answers)[0][2], 10)
        front.note(harness.now, play, 0, "n9", "delivered", 0.9)


@pytest.mark.parametrize("value", [-1.0, -1e300, float("inf"), float("nan"), 1e300])
def test_odd_report_of_one_node_leaves_plays_on_other_nodes_alone(make_harness, value):
    harness = make_harness()
    for _ in range(8):
        harness.advance(1)
        for node in ("n1", "n2", "n3"):
            harness.front.probed(harness.now, node, "ok", 10, {"link_asked": 0.2, "uplink_asked": 0.2})
        harness.front.probed(harness.now, "n0", "ok", 10, {"link_asked": value, "uplink_asked": 0.2})
        assert verbs(harness.request("dear", first=1, places=1, top=0)[1])[-1] == "allocate"
        assert 0 < harness.front.own_share(harness.now) <= 1


@pytest.mark.parametrize(
    "changes",
    [
        {"kinds": [], "specifics.kind_streams": []},
        {"specifics.uplink_kb": 0.0},
        {"specifics.link_unit_kb": 0.0},
    ],
)
def test_fleet_without_kinds_or_rates_is_answered_without_exception(make_harness, changes):
    harness = make_harness(**changes)
    harness.front.probed(harness.now, "n0", "ok", 10, {"link_asked": 0.2, "uplink_asked": 0.2})
    assert verbs(harness.request("dear")[1])[-1] in ("allocate", "decline")


def test_play_without_nodes_or_after_all_are_gone_is_declined_once(harness):
    front = Front(0, 1, start_settings())
    answers = front.asked(0, "p", "cheap", "", "v", "t", TICKS_PER_SECOND, 0, 4, 3, None, False, False)
    assert answers == [("decline", "p", TICKS_PER_SECOND)] and not front.plays
    harness.list_nodes("whole")
    assert verbs(harness.request()[1]) == ["decline"]
    assert not harness.front.has_room(harness.now, "x", "cheap", "", "v", "t", 0, 4, 3)


@pytest.mark.parametrize("fronts", [1, 3, 60])
@pytest.mark.parametrize("product", ["dear", "cheap"])
@pytest.mark.parametrize("sign", ["warm", "loaded", "restart", "broken"])
def test_node_with_one_stream_gets_plays_again_after_each_sign_of_trouble(
    make_harness, fronts, product, sign
):
    harness = make_harness(fronts=fronts, **{"specifics.kind_streams": [1]})
    if sign == "restart":
        harness.list_nodes("changes", ("n0", {"started": harness.now}))
    if sign == "broken":
        harness.end_allocation(harness.request("dear", places=1)[0], "broken", "n0", 0, True)
    allocated = 0
    for _ in range(900 if sign == "broken" else 60):
        harness.advance(3)
        if sign == "loaded":  # above the slice threshold
            harness.front.probed(harness.now, "n0", "ok", 10, {"link_asked": 0.6, "uplink_asked": 0.1})
        play, answers = harness.request(product, places=1, top=0)
        if allocations(answers):
            allocated += 1
            assert verbs(harness.request(product, places=1, top=0)[1])[-1] == "decline"  # its stream is taken
            harness.front.first_frame(harness.now, play, 0, "n0", 10)
            harness.end_allocation(play, "ok", "n0", final=True)
    assert allocated


@pytest.mark.parametrize("start", [0, 1, 7 * TICKS_PER_SECOND, 400 * DAY_TICKS, 1 << 53])
@pytest.mark.parametrize("how", ["inline", "on_probe"])
def test_answers_do_not_depend_on_when_front_starts(start, how):
    """Guards against a time of 0 taken for "none", and windows that reach back before the clock's start."""

    def run_sequence(start):
        harness = Harness.__new__(Harness)
        harness.now, harness.count = start, 0
        harness.front = Front(
            start, 7, start_settings(**{"report.how": how}, customers=[{"name": "c", "allowance_per_s": 1.0}])
        )
        all_answers = [harness.list_nodes("whole", *[(f"n{i}", {}) for i in range(4)])]
        for step in (0, 0.3, 0.7, 4.2, 2, 9, 12, 86_400 * 9, 0, 1):
            harness.advance(step)
            play, answers = harness.request("dear", customer="c", first=1, places=1)
            all_answers.append(answers)
            all_answers.append(harness.front.note(harness.now, play, 0, "n1", "link_asked", 0.7))
            all_answers.append(harness.front.note(harness.now, play, 0, "n1", "uplink_asked", 0.3))
            if allocations(answers):
                all_answers.append(
                    harness.front.first_frame(harness.now, play, 0, allocations(answers)[0][2], 10)
                )
                all_answers.append(
                    harness.front.note(harness.now, play, 0, allocations(answers)[0][2], "delivered", 0.9)
                )
            all_answers.append(harness.front.wake(harness.now, 0))
        return all_answers

    assert run_sequence(start) == run_sequence(100 * TICKS_PER_SECOND)


def test_first_play_after_days_of_silence_is_placed(harness):
    harness.start_play("dear")
    for days in (1, 400):
        harness.advance(days * 86_400)
        assert verbs(harness.request("dear")[1])[-1] == "allocate"


def test_has_room_that_raises_leaves_no_state_behind(make_harness, monkeypatch):
    harness = make_harness(**{"specifics.seats": [1, 0, 0]})
    play, _ = harness.start_play("dear")
    draws = harness.front.draws
    with monkeypatch.context() as patched:
        patched.setattr(harness.front, "warming", lambda now, play: 1 // 0)
        with pytest.raises(ZeroDivisionError):
            harness.front.has_room(harness.now, play, "dear", "", "v", "t", 0, 4, 3)
    assert set(harness.front.plays) == {play} and harness.front.draws == draws
    assert verbs(harness.request("dear")[1]) == ["decline"]  # its seat still counts
