"""Tests of the six rules that a front must keep."""

import pytest
from conftest import TICKS_PER_SECOND, allocations, verbs


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
def test_allocation_end_without_final_answer_is_followed_by_one(harness, product, how, after, expected):
    play, answers = harness.request(product)
    harness.advance(after)
    final = [a for a in harness.end_allocation(play, how, allocations(answers)[0][2]) if a[0] != "rung"]
    assert [a[:2] for a in final] == [(expected, play)]


@pytest.mark.parametrize("how", ["ok", "late", "broken"])
def test_final_end_or_left_viewer_gets_no_further_answer(harness, how):
    play, answers = harness.request()
    node = allocations(answers)[0][2]
    assert harness.end_allocation(play, how, node, final=True) == []
    play, answers = harness.request()
    harness.front.left(harness.now, play)
    assert harness.end_allocation(play, how, allocations(answers)[0][2]) == []


def test_time_limit_of_request_bounds_allocation(harness):
    answers = harness.request("paid", limit=4321)[1]
    assert allocations(answers)[0][3] == 4321


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_draining_or_gone_node_gets_no_allocation(harness, state):
    harness.list_nodes("changes", ("n0", {"state": state}), ("n1", {"state": state}))
    assert {allocations(harness.request()[1])[0][2] for _ in range(8)} <= {"n2", "n3"}


def test_node_missing_from_whole_list_is_gone_and_failed_list_changes_nothing(harness):
    harness.list_nodes("whole", ("n3", {}))
    harness.list_nodes("failed")
    assert allocations(harness.request()[1])[0][2] == "n3"


@pytest.mark.parametrize("sign", ["restart", "broken", "unreached", "new", "broken for long"])
def test_possibly_cold_node_gets_paced_set_ups(harness, sign):
    play, answers = harness.request(first=0, places=1)
    if sign == "restart":
        harness.list_nodes("changes", ("n0", {"started": harness.now}))
    elif sign == "new":
        harness.list_nodes("changes", ("n4", {}), ("n0", {"state": "gone"}))
    else:
        harness.end_allocation(play, sign.split()[0], "n0", final=True)
        # 13 s is past the warm-up: the process may have been down all the time while the list is late
        harness.advance(13 if sign == "broken for long" else 3)
    asked = [verbs(harness.request(first=0, places=1)[1])[-1] for _ in range(6)]
    assert asked.count("allocate") <= 2 and "decline" in asked


@pytest.mark.parametrize(("fronts", "least", "most"), [(60, 0, 8), (1, 1, 1)])
def test_crowd_over_many_fronts_stays_within_pace_of_cold_node(make_harness, fronts, least, most):
    allocated = 0
    for seed in range(fronts):
        harness = make_harness(fronts=fronts, seed=seed)
        harness.list_nodes("changes", ("n0", {"started": harness.now}))
        allocated += len(allocations(harness.request(places=1, top=0)[1]))
    assert least <= allocated <= most


@pytest.mark.parametrize(("ago", "started", "expected"), [(12, 0, 6), (1, 0, 1), (12, -1, 1)])
def test_new_front_takes_node_with_resumed_play_for_started_by_then(make_harness, ago, started, expected):
    harness = make_harness()
    harness.list_nodes(
        "changes",
        ("n4", {"started": started and harness.now + started * TICKS_PER_SECOND}),
        ("n0", {"state": "gone"}),
    )  # new to this front; the list may give its start
    harness.front.resumed(
        harness.now - ago * TICKS_PER_SECOND,
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
    answers = [verbs(harness.request("dear", first=0, places=1, top=0)[1])[-1] for _ in range(6)]
    assert answers.count("allocate") == expected


def test_pace_of_cold_node_is_divided_by_number_of_fronts(make_harness):
    # 0.75 x 4 x 0.4 of 80 streams over 12 s are 8 set-ups a second for all fronts.
    allocated = {}
    for fronts in (1, 4):
        harness = make_harness(fronts=fronts, **{"specifics.kind_streams": [80]})
        harness.list_nodes("changes", ("n0", {"started": harness.now}))
        allocated[fronts] = sum(
            len(allocations(harness.request("dear", places=1, top=0)[1])) for _ in range(12)
        )
    assert allocated[4] == 2 < allocated[1] <= 8


def test_play_resumed_on_unknown_node_is_ignored(harness):
    harness.front.resumed(
        harness.now,
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
    assert harness.end_allocation("r", "ok", "n9", final=True) == []


def test_paid_play_gets_its_floor_rung_and_play_beyond_seats_is_declined(make_harness):
    harness = make_harness(**{"specifics.seats": [2, 0, 0]})
    rungs = [a[2] for _ in range(12) for a in harness.request("paid")[1] if a[0] == "rung"]
    assert rungs and min(rungs) >= 1
    assert [verbs(harness.request("dear")[1])[-1] for _ in range(3)] == ["allocate", "allocate", "decline"]


def test_paid_play_in_last_tenth_of_link_enters_at_floor_rung(harness):
    harness.front.probed(harness.now, "n0", "ok", 10, {"link_asked": 0.92, "uplink_asked": 0.1})
    assert [a[2] for a in harness.request("paid", places=1)[1] if a[0] == "rung"] == [1]


@pytest.mark.parametrize(("product", "steps"), [("paid", 0), ("dear", 1)])
@pytest.mark.parametrize("link", [1.3, 0.5])  # a short link, or a short uplink without reports
def test_short_delivery_steps_no_play_below_its_floor_rung(harness, product, link, steps):
    harness.front.probed(harness.now, "n0", "ok", 10, {"link_asked": 0.1})
    play, _ = harness.start_play(product, places=1, top=1)
    harness.advance(1)
    harness.front.probed(harness.now, "n0", "ok", 10, {"link_asked": link})
    answers = harness.front.note(harness.now, play, 0, "n0", "delivered", 0.2)
    assert answers == [("rung", play, 0)] * steps


def test_requests_of_oldest_second_add_nothing_to_budget(make_harness):
    harness = make_harness(
        **{
            "rules.extra_per_request": 1.0,
            "rules.spare_allocations": 0,
            "rules.look_back": 5 * TICKS_PER_SECOND,
        }
    )
    for _ in range(3):
        harness.request()
    harness.advance(4.5)
    play, answers = harness.request()
    further = 0
    while found := allocations(answers):
        answers = harness.end_allocation(play, "full", found[0][2], further)
        further += len(allocations(answers))
    assert further == 1 and verbs(answers) == ["decline"]


def test_further_allocations_stay_within_budget(make_harness):
    harness = make_harness(
        **{
            "rules.extra_per_request": 0.1,
            "rules.spare_allocations": 2,
            "rules.look_back": 5 * TICKS_PER_SECOND,
        }
    )
    further = 0
    for _ in range(10):
        play, answers = harness.request()
        further += len(allocations(harness.end_allocation(play, "not_sent", allocations(answers)[0][2])))
        harness.advance(0.1)
    assert 1 <= further <= 3


def test_play_never_has_two_pending_allocations(make_harness):
    harness = make_harness(**{"report.how": "on_probe"})
    play, answers = harness.request()
    probes, label = [a[1] for a in answers if a[0] == "probe"], answers[-1][2]
    answers = [a for n in probes for a in harness.front.probed(harness.now, n, "ok", 10, {"link_share": 0.1})]
    answers += harness.front.wake(harness.now, label)
    answers += [
        a for n in probes for a in harness.front.probed(harness.now, n, "ok", 10, {"link_share": 0.1})
    ]
    assert len(probes) == 1 and len(allocations(answers)) == 1
    # Nor when other nodes, probed for another play meanwhile, answer while it is pending.
    for step in range(6):
        for answer in list(answers):
            if answer[0] == "probe":
                answers += harness.front.probed(harness.now, answer[1], "ok", 10, {"link_share": 0.1})
        answers += harness.front.wake(harness.now, step)
    assert len(allocations(answers)) == 1
