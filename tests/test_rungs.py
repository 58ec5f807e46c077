"""Tests of rung choice, rung changes, load limits and probes."""

import pytest
from conftest import allocations, verbs


def rung(answers):
    """The last rung answered."""
    return [a[2] for a in answers if a[0] == "rung"][-1]


def report(harness, link, uplink, node="n0"):
    """Give the front a node's load report; returns the answers."""
    return list(
        harness.front.probed(harness.now, node, "ok", 10, {"link_asked": link, "uplink_asked": uplink})
    )


@pytest.mark.parametrize(
    ("link", "uplink", "expected"), [(0.1, 0.1, 3), (0.7, 0.1, 2), (0.1, 0.75, 1), (0.8, 0.1, 1)]
)
def test_new_play_gets_highest_rung_that_fits(harness, link, uplink, expected):
    report(harness, link, uplink)
    assert rung(harness.request(places=1)[1]) == expected


@pytest.mark.parametrize("load_report", [{}, {"link_asked": 0.1}])
def test_new_play_gets_middle_rung_where_report_is_missing(harness, load_report):
    harness.front.probed(harness.now, "n0", "ok", 10, load_report)
    assert rung(harness.request(places=1)[1]) == 1


def test_new_play_gets_no_rung_above_viewers_highest(harness):
    report(harness, 0.1, 0.1)
    assert rung(harness.request(places=1, top=1)[1]) == 1


def test_node_without_room_for_floor_rung_gets_no_play(harness):
    report(harness, 0.99, 0.5)
    assert verbs(harness.request("dear", places=1)[1]) == ["decline"]
    assert allocations(harness.request("dear", places=2)[1])[0][2] == "n1"


@pytest.mark.parametrize(("link", "uplink", "steps"), [(1.3, 0.5, 3), (0.5, 1.3, 1)])
def test_short_link_steps_all_plays_down_and_short_uplink_only_enough(harness, link, uplink, steps):
    plays = []
    for _ in range(3):
        report(harness, 0.1, 0.1)
        plays.append(harness.start_play(places=1)[0])
        harness.advance(2)
    report(harness, link, uplink)
    answers = harness.front.note(harness.now, plays[0], 0, "n0", "delivered", 0.9)
    assert len([a for a in answers if a[0] == "rung"]) == steps
    assert harness.front.note(harness.now + 1000, plays[0], 0, "n0", "delivered", 0.85) == []


@pytest.mark.parametrize(("after", "uplink", "expected"), [(11, 0.2, 1), (11, 0.88, 0), (5, 0.2, 0)])
def test_play_steps_up_when_there_is_room_and_pause_is_over(harness, after, uplink, expected):
    harness.start_play(places=1)
    assert len(report(harness, 0.1, 0.2)) == 1  # the first report after set-up may step it up at once
    harness.advance(after)
    assert len(report(harness, 0.1, uplink)) == expected


@pytest.mark.parametrize(("uplink", "least", "most"), [(0.2, 8, 8), (0.6, 1, 7), (0.89, 0, 1)])
def test_steps_up_of_all_fronts_fill_room_on_average(harness, uplink, least, most):
    for _ in range(8):
        harness.start_play("dear", places=1, top=1)
    for play in harness.front.plays.values():
        play.top_rung = 3
    harness.advance(1)
    assert least <= len(report(harness, 0.4, uplink)) <= most


@pytest.mark.parametrize(("delivered", "least", "most"), [(0.95, 4, 28), (0.6, 40, 40)])
def test_last_step_down_is_random(harness, delivered, least, most):
    steps = 0
    for i in range(40):
        node = f"n{i % 4}"
        harness.front.resumed(
            harness.now,
            play=f"r{i}",
            product="cheap",
            customer="",
            viewer="",
            title="t",
            first_place=i % 4,
            places=1,
            top_rung=3,
            length=None,
            node=node,
        )
        harness.front.note(harness.now, f"r{i}", 0, node, "rung", 2)
        steps += len(harness.front.note(harness.now, f"r{i}", 0, node, "delivered", delivered))
        harness.end_allocation(f"r{i}", "ok", node, final=True)
        harness.advance(4)
    assert least <= steps <= most


@pytest.mark.parametrize(("top", "expected"), [(3, "decline"), (0, "allocate")])
def test_node_without_room_for_best_value_rung_gets_no_play(harness, top, expected):
    report(harness, 0.1, 0.83)
    assert verbs(harness.request(places=1, top=top)[1])[-1] == expected


@pytest.mark.parametrize(("after", "expected"), [(1, {"n1"}), (4, {"n0", "n1"})])
def test_shortage_expires_without_further_notes(harness, after, expected):
    for node in ("n0", "n1"):
        report(harness, 0.1, 0.1, node)
    play, _ = harness.start_play(places=1, top=0)
    harness.front.note(harness.now, play, 0, "n0", "delivered", 0.5)
    harness.end_allocation(play, "ok", "n0", final=True)
    harness.advance(after)
    assert {harness.start_play(places=2, top=0)[1] for _ in range(8)} == expected


@pytest.mark.parametrize(("link", "news", "expected"), [(0.6, 90, 60), (0.2, 90, 90), (0.6, 8, 8)])
def test_customer_beyond_its_share_gets_no_loaded_node(make_harness, link, news, expected):
    harness = make_harness(customers=[{"name": "c", "allowance_per_s": 2.0}], fronts=1)
    taken = set()
    for returning in (False, True):  # declined viewers return and are declined again
        for i in range(news):
            for n in range(4):
                report(harness, link, 0.1, f"n{n}")
            play, answers = harness.request(top=0, customer="c", viewer=f"v{i}", again=returning)
            taken |= {i for a in allocations(answers)}
            for a in allocations(answers):
                harness.end_allocation(play, "ok", a[2], final=True)
    assert len(taken) == news if expected == news else 5 < len(taken) <= expected


@pytest.mark.parametrize(("full", "expected"), [(0.69, [10, 30, 70]), (0.8, [])])
def test_plays_probe_for_room_at_doubling_intervals_where_reports_need_probes(make_harness, full, expected):
    harness = make_harness(**{"report.how": "on_probe", "specifics.rung_kb": [100.0, 200.0, 400.0, 900.0]})
    probe_seconds, load = [], {"link_asked": full, "uplink_asked": full}
    play, answers = harness.request(places=1)
    answers = harness.front.probed(harness.now, "n0", "ok", 10, load)
    harness.front.first_frame(harness.now, play, 0, "n0", 500)
    for second in range(0, 80, 2):
        harness.advance(2)
        answers = harness.front.wake(harness.now, 0)
        probe_seconds += [second + 2 for a in answers if a[0] == "probe"]
        for node in ("n0", "n1", "n2", "n3"):
            harness.front.probed(harness.now, node, "ok", 10, load)
    assert probe_seconds == expected


def test_slice_limits_only_lowest_importance_product_on_loaded_nodes(harness):
    for load, product, expected in [(0.2, "cheap", 4), (0.6, "cheap", 2), (0.6, "dear", 4)]:
        fresh = type(harness)()
        taken = 0
        for _ in range(4):
            report(fresh, load, 0.1)
            taken += len(allocations(fresh.request(product, places=1, top=0)[1]))
            fresh.advance(2)
        assert taken == expected, (load, product)


def test_last_tenth_of_link_is_kept_for_more_important_products(harness):
    report(harness, 0.92, 0.1)
    assert verbs(harness.request("cheap", places=1)[1])[-1] == "decline"
    assert verbs(harness.request("dear", places=1)[1])[-1] == "allocate"


def test_other_play_of_this_front_steps_down_for_new_play(harness):
    report(harness, 0.1, 0.1)
    high, _ = harness.start_play(places=1)
    harness.advance(6)
    report(harness, 0.86, 0.1)
    play, answers = harness.request("dear", places=1)
    assert ("rung", high, 2) in answers and ("rung", play, 1) in answers


def test_surge_of_all_fronts_is_estimated_before_reports_show_it(harness):
    for node in ("n0", "n1"):
        report(harness, 0.55, 0.1, node)
    assert [rung(harness.request("dear", first=i, places=1)[1]) for i in range(2)] == [3, 2]


@pytest.mark.parametrize(("after", "expected"), [(0, 1), (1, 0)])
def test_resumed_play_steps_up_one_rung_at_first_report(harness, after, expected):
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
        node="n0",
    )
    answers = report(harness, 0.1, 0.1)
    if after:
        harness.advance(after)
        answers = report(harness, 0.1, 0.1)
    assert len(answers) == expected


def test_unreported_uplink_does_not_limit_new_play_but_limits_steps_up(harness):
    harness.front.probed(harness.now, "n0", "ok", 10, {"link_asked": 0.6})
    assert rung(harness.request(places=1)[1]) == 1
    play, _ = harness.start_play("dear", places=1, top=0)
    harness.advance(11)
    assert harness.front.probed(harness.now, "n0", "ok", 10, {"link_asked": 0.6}) == []


@pytest.mark.parametrize(
    ("signs", "expected"),
    [("out", {"n1", "n2", "n3"}), ("late", {"n1", "n2", "n3"}), ("recovered", {"n0", "n1", "n2", "n3"})],
)
def test_silent_node_gets_no_play_until_it_answers(harness, signs, expected):
    play, answers = harness.request(places=1)
    harness.advance(0.3)
    if signs != "out":
        harness.end_allocation(play, "late", "n0")
        harness.end_allocation(play, "withdrawn", "n0", 1, True)
    if signs == "recovered":
        harness.advance(3)
        other, _ = harness.start_play(places=1)
        harness.end_allocation(other, "ok", "n0", final=True)
    taken = set()
    for _ in range(12):
        play, answers = harness.request(top=0)
        taken.add(allocations(answers)[0][2])
        harness.end_allocation(play, "ok", allocations(answers)[0][2], final=True)
    assert taken == expected


def test_less_loaded_of_two_sampled_nodes_is_chosen(harness):
    taken = set()
    for _ in range(40):
        for i in range(4):
            report(harness, 0.2 + 0.1 * i, 0.1, f"n{i}")
        play, answers = harness.request(top=0)
        taken.add(allocations(answers)[0][2])
        harness.end_allocation(play, "ok", allocations(answers)[0][2], final=True)
        harness.advance(1)
    assert taken == {"n0", "n1", "n2"}  # never the fullest, and not always the emptiest


@pytest.mark.parametrize(("after", "steps"), [(2.5, 0), (3.1, 1)])
def test_notes_within_pause_after_step_down_are_ignored(harness, after, steps):
    report(harness, 0.1, 0.1)
    play, _ = harness.start_play(places=1)
    report(harness, 1.3, 0.5)
    assert len(harness.front.note(harness.now, play, 0, "n0", "delivered", 0.9)) == 1
    harness.advance(after)  # by the start settings notes are 1 s late
    assert len(harness.front.note(harness.now, play, 0, "n0", "delivered", 0.9)) == steps


def test_resumed_plays_do_not_all_probe_for_room_at_once(make_harness):
    harness = make_harness(**{"report.how": "on_probe"})
    for i in range(4):
        harness.front.resumed(
            harness.now,
            play=f"r{i}",
            product="cheap",
            customer="",
            viewer="",
            title="t",
            first_place=i,
            places=1,
            top_rung=3,
            length=None,
            node=f"n{i}",
        )
    probes = []
    for _ in range(6):
        answers = harness.front.wake(harness.now, 0)
        probes.append(verbs(answers).count("probe"))
        harness.advance(2)
    assert sum(probes) == 4 and max(probes) < 4


@pytest.mark.parametrize(("after", "expected"), [(0.9, "decline"), (1.1, "allocate")])
def test_node_that_refused_as_full_gets_plays_again_after_one_second(harness, after, expected):
    harness.end_allocation(harness.request("dear", places=1)[0], "full", "n0")
    harness.advance(after)
    assert verbs(harness.request("dear", places=1)[1])[-1] == expected


def test_node_of_own_zone_is_preferred(harness):
    harness.list_nodes("changes", ("n0", {"zone": "far"}), ("n1", {"zone": "far"}), ("n2", {"zone": "far"}))
    assert {allocations(harness.request(top=0)[1])[0][2] for _ in range(6)} == {"n3"}


@pytest.mark.parametrize(("link", "expected"), [(0.3, "allocate"), (1.4, "decline")])
def test_node_without_report_counts_as_average_load(harness, link, expected):
    for node in ("n0", "n1", "n2"):
        report(harness, link, 0.1, node)
    assert verbs(harness.request("dear", first=3, places=1)[1])[-1] == expected


@pytest.mark.parametrize(("after", "expected"), [(4, 1), (11, 2)])
def test_best_value_rung_is_highest_on_rack_with_shortage(make_harness, after, expected):
    harness = make_harness(
        **{
            "specifics.rung_kb": [50.0, 100.0, 200.0, 400.0, 800.0],
            "specifics.highest_rung": [4, 4, 4],
            "specifics.level_worth": [0.1, 0.4, 0.6, 0.8, 1.0],
        }
    )
    play, _ = harness.start_play(places=1)
    harness.front.note(harness.now, play, 0, "n0", "delivered", 0.9)
    harness.advance(after)
    assert rung(harness.request(first=2, places=1, top=4)[1]) == expected


@pytest.mark.parametrize(
    ("product", "after", "node", "expected"),
    [
        ("cheap", 1, 2, "decline"),
        ("dear", 1, 2, "allocate"),
        ("cheap", 1, 1, "allocate"),
        ("cheap", 4, 2, "allocate"),
    ],
)
def test_shortage_note_counts_for_unreported_nodes_of_unreported_rack(
    harness, product, after, node, expected
):
    play, _ = harness.start_play(places=1)
    harness.front.note(harness.now, play, 0, "n0", "delivered", 0.9)
    harness.advance(after)
    assert verbs(harness.request(product, first=node, places=1)[1])[-1] == expected


@pytest.mark.parametrize(
    ("price", "earlier", "probes"),
    [
        (0.01, 0, True),  # cheap: pays for a single play
        (0.08, 0, False),  # costly: more than a report is worth to one play
        (0.08, 4, False),  # four plays on four nodes: one for each node
        (0.08, 5, True),  # more plays than nodes within 3 s share a report
        (0.50, 12, False),
    ],
)
def test_costly_probe_is_sent_only_where_enough_plays_share_its_report(make_harness, price, earlier, probes):
    harness = make_harness(**{"report.how": "on_probe", "costs.probe": price})
    for _ in range(earlier):
        harness.front.requests.add(harness.now, 1)
    _, answers = harness.request()
    assert ("probe" in verbs(answers)) is probes
    assert ("allocate" in verbs(answers)) is not probes
