"""The module at the edges of its arithmetic: nothing there, one of each, clocks, silence, growth."""

import pickle

import pytest
from conftest import SECOND, Bench, sent, start_settings, verbs

from curlewhall.interface import NodeRow
from curlewhall.policy import Front

DAY = 86_400 * SECOND


def day(bench, rounds):
    """Plays of all ends, further allocations, customers' crowds that are declined early, passing nodes."""
    front = bench.front
    for i in range(rounds):
        for how in ("late", "full", "not_sent"):
            play, said = bench.ask(customer="c")
            number = 0
            while found := sent(said):
                said = bench.end(play, how, found[0][2], number)
                number += 1
        bench.ask(places=0, customer="d")  # no holder: declined before any stage counts customers
        front.asked(
            bench.now, f"q{i}", "cheap", "", f"v{i}", "t", bench.now + SECOND, 0, 4, 3, None, False, False
        )
        front.left(bench.now, f"q{i}")
        for node in [n for n, told in front.nodes.items() if f"q{i}" in told.plays]:
            bench.end(f"q{i}", "withdrawn", node, 0, True)
        bench.list("changes", (f"n{bench.count}", {}))  # a new machine each time, gone at once
        bench.list("changes", (f"n{bench.count}", {"state": "gone"}))
        front.probed(bench.now, "n0", "ok", 10, {"link_asked": 0.1, "uplink_asked": 0.1})
        bench.wait(40)


@pytest.mark.parametrize(
    "budget",
    [{}, {"rules.extra_per_request": 0.9, "rules.spare_allocations": 9, "rules.look_back": 5 * SECOND}],
)
def test_nothing_grows_without_end(make, budget):
    bench = make(customers=[{"name": name, "allowance_per_s": 2.0} for name in "cd"], **budget)
    sizes = []
    for _ in range(8):
        day(bench, 75)
        sizes.append(len(pickle.dumps(bench.front)))
    # running totals grow to some hundred changes and are then dropped by halves
    assert max(sizes[4:]) < 1.3 * max(sizes[:4]), sizes


@pytest.mark.parametrize(
    "changes", [{"weight": 0}, {"weight": -1}, {"kind": "unheard of"}, {"place": -3}, {"started": 1 << 40}]
)
def test_odd_rows_cost_no_play_of_the_others(make, changes):
    bench = make()
    front = bench.front
    front.listed(bench.now, "changes", [NodeRow("n9", 0, "z", "box", "serving", 1, 0)._replace(**changes)])
    for _ in range(12):
        bench.wait(1)
        for node in ("n0", "n9"):
            front.probed(bench.now, node, "ok", 10, {"link_asked": 0.2, "uplink_asked": 0.2})
        assert verbs(bench.ask("dear", first=1, places=2, top=0)[1])[-1] == "allocate"
        play, said = bench.ask("dear", top=0)
        assert verbs(said)[-1] == "allocate"
        front.first_frame(bench.now, play, 0, sent(said)[0][2], 10)
        front.note(bench.now, play, 0, "n9", "delivered", 0.9)


@pytest.mark.parametrize("value", [-1.0, -1e300, float("inf"), float("nan"), 1e300])
def test_odd_reports_of_one_node_cost_no_play_of_the_others(make, value):
    bench = make()
    for _ in range(8):
        bench.wait(1)
        for node in ("n1", "n2", "n3"):
            bench.front.probed(bench.now, node, "ok", 10, {"link_asked": 0.2, "uplink_asked": 0.2})
        bench.front.probed(bench.now, "n0", "ok", 10, {"link_asked": value, "uplink_asked": 0.2})
        assert verbs(bench.ask("dear", first=1, places=1, top=0)[1])[-1] == "allocate"
        assert 0 < bench.front.own_share(bench.now) <= 1


@pytest.mark.parametrize(
    "changes",
    [
        {"kinds": [], "specifics.kind_streams": []},
        {"specifics.uplink_kb": 0.0},
        {"specifics.link_unit_kb": 0.0},
    ],
)
def test_a_fleet_without_kinds_or_rate_declines_and_never_fails(make, changes):
    bench = make(**changes)
    bench.front.probed(bench.now, "n0", "ok", 10, {"link_asked": 0.2, "uplink_asked": 0.2})
    assert verbs(bench.ask("dear")[1])[-1] in ("allocate", "decline")


def test_without_nodes_and_after_all_are_gone_each_play_is_declined_once(bench):
    front = Front(0, 1, start_settings())
    said = front.asked(0, "p", "cheap", "", "v", "t", SECOND, 0, 4, 3, None, False, False)
    assert said == [("decline", "p", SECOND)] and not front.plays
    bench.list("whole")
    assert verbs(bench.ask()[1]) == ["decline"]
    assert not bench.front.has_room(bench.now, "x", "cheap", "", "v", "t", 0, 4, 3)


@pytest.mark.parametrize("fronts", [1, 3, 60])
@pytest.mark.parametrize("product", ["dear", "cheap"])
@pytest.mark.parametrize("sign", ["warm", "loaded", "restart", "broken"])
def test_a_node_with_one_stream_is_never_shut_for_good(make, fronts, product, sign):
    bench = make(fronts=fronts, **{"specifics.kind_streams": [1]})
    if sign == "restart":
        bench.list("changes", ("n0", {"started": bench.now}))
    if sign == "broken":
        bench.end(bench.ask("dear", places=1)[0], "broken", "n0", 0, True)
    taken = 0
    for _ in range(900 if sign == "broken" else 60):
        bench.wait(3)
        if sign == "loaded":  # above the fraction: the slice binds
            bench.front.probed(bench.now, "n0", "ok", 10, {"link_asked": 0.6, "uplink_asked": 0.1})
        play, said = bench.ask(product, places=1, top=0)
        if sent(said):
            taken += 1
            assert verbs(bench.ask(product, places=1, top=0)[1])[-1] == "decline"  # its stream is taken
            bench.front.first_frame(bench.now, play, 0, "n0", 10)
            bench.end(play, "ok", "n0", final=True)
    assert taken


@pytest.mark.parametrize("born", [0, 1, 7 * SECOND, 400 * DAY, 1 << 53])
@pytest.mark.parametrize("how", ["inline", "on_probe"])
def test_the_same_is_answered_whenever_a_front_is_born(born, how):
    """Danger: a moment of 0 taken for "not given"; windows that reach back before the clock began."""

    def story(at):
        bench = Bench.__new__(Bench)
        bench.now, bench.count = at, 0
        bench.front = Front(
            at, 7, start_settings(**{"report.how": how}, customers=[{"name": "c", "allowance_per_s": 1.0}])
        )
        said = [bench.list("whole", *[(f"n{i}", {}) for i in range(4)])]
        for step in (0, 0.3, 0.7, 4.2, 2, 9, 12, 86_400 * 9, 0, 1):
            bench.wait(step)
            play, answers = bench.ask("dear", customer="c", first=1, places=1)
            said.append(answers)
            said.append(bench.front.note(bench.now, play, 0, "n1", "link_asked", 0.7))
            said.append(bench.front.note(bench.now, play, 0, "n1", "uplink_asked", 0.3))
            if sent(answers):
                said.append(bench.front.first_frame(bench.now, play, 0, sent(answers)[0][2], 10))
                said.append(bench.front.note(bench.now, play, 0, sent(answers)[0][2], "delivered", 0.9))
            said.append(bench.front.wake(bench.now, 0))
        return said

    assert story(born) == story(100 * SECOND)


def test_after_days_of_silence_the_first_play_is_placed(bench):
    bench.play("dear")
    for days in (1, 400):
        bench.wait(days * 86_400)
        assert verbs(bench.ask("dear")[1])[-1] == "allocate"


def test_a_look_for_room_that_fails_half_way_leaves_nothing_behind(make, monkeypatch):
    bench = make(**{"specifics.seats": [1, 0, 0]})
    play, _ = bench.play("dear")
    draws = bench.front.draws
    with monkeypatch.context() as patched:
        patched.setattr(bench.front, "warming", lambda now, ply: 1 // 0)
        with pytest.raises(ZeroDivisionError):
            bench.front.has_room(bench.now, play, "dear", "", "v", "t", 0, 4, 3)
    assert set(bench.front.plays) == {play} and bench.front.draws == draws
    assert verbs(bench.ask("dear")[1]) == ["decline"]  # its seat still counts
