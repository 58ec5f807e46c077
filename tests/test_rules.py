"""The six rules, a table each."""

import pytest
from conftest import SECOND, sent, verbs


@pytest.mark.parametrize(
    ("product", "how", "after", "expected"),
    [
        ("cheap", "late", 0.4, "allocate"),
        ("cheap", "error", 0.1, "allocate"),
        ("cheap", "late", 3, "decline"),
        ("paid", "full", 0.1, "allocate"),
        ("paid", "unreached", 0.1, "allocate"),
        ("paid", "not_sent", 0.1, "allocate"),
        ("paid", "late", 3, "fail"),
        ("paid", "error", 0.1, "fail"),
        ("paid", "broken", 0.1, "fail"),
        ("paid", "withdrawn", 0.1, "fail"),
    ],
)
def test_an_end_without_a_final_answer_is_followed_by_one(bench, product, how, after, expected):
    play, said = bench.ask(product)
    bench.wait(after)
    answers = [a for a in bench.end(play, how, sent(said)[0][2]) if a[0] != "rung"]
    assert [a[:2] for a in answers] == [(expected, play)]


@pytest.mark.parametrize("how", ["ok", "late", "broken"])
def test_nothing_follows_a_final_end_or_a_viewer_who_left(bench, how):
    play, said = bench.ask()
    node = sent(said)[0][2]
    assert bench.end(play, how, node, final=True) == []
    play, said = bench.ask()
    bench.front.left(bench.now, play)
    assert bench.end(play, how, sent(said)[0][2]) == []


def test_the_requests_own_time_limit_counts(bench):
    said = bench.ask("paid", limit=4321)[1]
    assert sent(said)[0][3] == 4321


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_nothing_goes_to_a_node_told_draining_or_gone(bench, state):
    bench.list("changes", ("n0", {"state": state}), ("n1", {"state": state}))
    assert {sent(bench.ask()[1])[0][2] for _ in range(8)} <= {"n2", "n3"}


def test_a_node_missing_from_a_whole_list_is_gone_and_a_failed_one_changes_nothing(bench):
    bench.list("whole", ("n3", {}))
    bench.list("failed")
    assert sent(bench.ask()[1])[0][2] == "n3"


@pytest.mark.parametrize("sign", ["restart", "broken", "unreached", "new", "broken for long"])
def test_a_node_that_may_be_cold_is_paced(bench, sign):
    play, said = bench.ask(first=0, places=1)
    if sign == "restart":
        bench.list("changes", ("n0", {"started": bench.now}))
    elif sign == "new":
        bench.list("changes", ("n4", {}), ("n0", {"state": "gone"}))
    else:
        bench.end(play, sign.split()[0], "n0", final=True)
        # past the warm-up: its process may have been down all the time, and the list is late
        bench.wait(13 if sign == "broken for long" else 3)
    asked = [verbs(bench.ask(first=0, places=1)[1])[-1] for _ in range(6)]
    assert asked.count("allocate") <= 2 and "decline" in asked


@pytest.mark.parametrize(("fronts", "least", "most"), [(60, 0, 8), (1, 1, 1)])
def test_a_crowd_over_many_fronts_spares_a_young_node(make, fronts, least, most):
    taken = 0
    for seed in range(fronts):
        bench = make(fronts=fronts, seed=seed)
        bench.list("changes", ("n0", {"started": bench.now}))
        taken += len(sent(bench.ask(places=1, top=0)[1]))
    assert least <= taken <= most


@pytest.mark.parametrize(("ago", "started", "expected"), [(12, 0, 6), (1, 0, 1), (12, -1, 1)])
def test_a_young_front_believes_a_node_to_have_run_while_a_play_was_there(make, ago, started, expected):
    bench = make()
    bench.list(
        "changes", ("n4", {"started": started and bench.now + started * SECOND}), ("n0", {"state": "gone"})
    )  # new to this front; the list may know of its start
    bench.front.resumed(
        bench.now - ago * SECOND,
        play="r",
        product="dear",
        customer="",
        viewer="r",
        title="t",
        first_place=0,
        places=1,
        top_rung=0,
        length=None,
        node="n4",
    )
    said = [verbs(bench.ask("dear", first=0, places=1, top=0)[1])[-1] for _ in range(6)]
    assert said.count("allocate") == expected


def test_a_fronts_part_of_a_young_nodes_pace_goes_by_the_number_of_fronts(make):
    # 0.75 x 4 x 0.4 of 80 streams over 12 s: 8 set-ups a second, for four fronts
    taken = {}
    for fronts in (1, 4):
        bench = make(fronts=fronts, **{"specifics.kind_streams": [80]})
        bench.list("changes", ("n0", {"started": bench.now}))
        taken[fronts] = sum(len(sent(bench.ask("dear", places=1, top=0)[1])) for _ in range(12))
    assert taken[4] == 2 < taken[1] <= 8


def test_a_play_resumed_on_an_unknown_node_is_let_be(bench):
    bench.front.resumed(
        bench.now,
        play="r",
        product="cheap",
        customer="",
        viewer="r",
        title="t",
        first_place=0,
        places=4,
        top_rung=3,
        length=None,
        node="n9",
    )
    assert bench.end("r", "ok", "n9", final=True) == []


def test_floor_and_seats(make):
    bench = make(**{"specifics.seats": [2, 0, 0]})
    rungs = [a[2] for _ in range(12) for a in bench.ask("paid")[1] if a[0] == "rung"]
    assert rungs and min(rungs) >= 1
    assert [verbs(bench.ask("dear")[1])[-1] for _ in range(3)] == ["allocate", "allocate", "decline"]


def test_a_paid_play_that_gets_the_last_tenth_enters_at_its_floor(bench):
    bench.front.probed(bench.now, "n0", "ok", 10, {"link_asked": 0.92, "uplink_asked": 0.1})
    assert [a[2] for a in bench.ask("paid", places=1)[1] if a[0] == "rung"] == [1]


@pytest.mark.parametrize(("product", "steps"), [("paid", 0), ("dear", 1)])
@pytest.mark.parametrize("link", [1.3, 0.5])  # the link is short, or the uplink that nobody reports
def test_a_note_of_short_delivery_steps_no_play_under_its_floor(bench, product, link, steps):
    bench.front.probed(bench.now, "n0", "ok", 10, {"link_asked": 0.1})
    play, _ = bench.play(product, places=1, top=1)
    bench.wait(1)
    bench.front.probed(bench.now, "n0", "ok", 10, {"link_asked": link})
    said = bench.front.note(bench.now, play, 0, "n0", "delivered", 0.2)
    assert said == [("rung", play, 0)] * steps


def test_plays_of_the_windows_oldest_second_pay_for_no_further_allocation(make):
    bench = make(
        **{"rules.extra_per_request": 1.0, "rules.spare_allocations": 0, "rules.look_back": 5 * SECOND}
    )
    for _ in range(3):
        bench.ask()
    bench.wait(4.5)
    play, said = bench.ask()
    further = 0
    while found := sent(said):
        said = bench.end(play, "full", found[0][2], further)
        further += len(sent(said))
    assert further == 1 and verbs(said) == ["decline"]


def test_further_allocations_keep_to_the_budget(make):
    bench = make(
        **{"rules.extra_per_request": 0.1, "rules.spare_allocations": 2, "rules.look_back": 5 * SECOND}
    )
    further = 0
    for _ in range(10):
        play, said = bench.ask()
        further += len(sent(bench.end(play, "not_sent", sent(said)[0][2])))
        bench.wait(0.1)
    assert 1 <= further <= 3


def test_never_two_allocations_out(make):
    bench = make(**{"report.how": "on_probe"})
    play, said = bench.ask()
    probes, label = [a[1] for a in said if a[0] == "probe"], said[-1][2]
    said = [a for n in probes for a in bench.front.probed(bench.now, n, "ok", 10, {"link_share": 0.1})]
    said += bench.front.wake(bench.now, label)
    said += [a for n in probes for a in bench.front.probed(bench.now, n, "ok", 10, {"link_share": 0.1})]
    assert len(probes) == 1 and len(sent(said)) == 1
    # nor when other nodes, asked for another play meanwhile, answer while it is out
    for step in range(6):
        for answer in list(said):
            if answer[0] == "probe":
                said += bench.front.probed(bench.now, answer[1], "ok", 10, {"link_share": 0.1})
        said += bench.front.wake(bench.now, step)
    assert len(sent(said)) == 1
