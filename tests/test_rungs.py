"""The rung rule, the slice and what guards them."""

import pytest
from conftest import sent, verbs


def rung(said):
    return [a[2] for a in said if a[0] == "rung"][-1]


def report(bench, link, uplink, node="n0"):
    return list(bench.front.probed(bench.now, node, "ok", 10, {"link_asked": link, "uplink_asked": uplink}))


@pytest.mark.parametrize(
    ("link", "uplink", "expected"), [(0.1, 0.1, 3), (0.7, 0.1, 2), (0.1, 0.75, 1), (0.8, 0.1, 1)]
)
def test_a_new_play_gets_the_highest_rung_that_fits(bench, link, uplink, expected):
    report(bench, link, uplink)
    assert rung(bench.ask(places=1)[1]) == expected


@pytest.mark.parametrize("told", [{}, {"link_asked": 0.1}])
def test_the_middle_rung_at_most_where_a_report_is_missing(bench, told):
    bench.front.probed(bench.now, "n0", "ok", 10, told)
    assert rung(bench.ask(places=1)[1]) == 1


def test_never_above_the_viewers_highest(bench):
    report(bench, 0.1, 0.1)
    assert rung(bench.ask(places=1, top=1)[1]) == 1


def test_no_room_for_the_floor_rung_is_no_room(bench):
    report(bench, 0.99, 0.5)
    assert verbs(bench.ask("dear", places=1)[1]) == ["decline"]
    assert sent(bench.ask("dear", places=2)[1])[0][2] == "n1"


@pytest.mark.parametrize(("link", "uplink", "steps"), [(1.3, 0.5, 3), (0.5, 1.3, 1)])
def test_a_short_link_steps_all_plays_down_a_short_uplink_as_many_as_cover_it(bench, link, uplink, steps):
    plays = []
    for _ in range(3):
        report(bench, 0.1, 0.1)
        plays.append(bench.play(places=1)[0])
        bench.wait(2)
    report(bench, link, uplink)
    said = bench.front.note(bench.now, plays[0], 0, "n0", "delivered", 0.9)
    assert len([a for a in said if a[0] == "rung"]) == steps
    assert bench.front.note(bench.now + 1000, plays[0], 0, "n0", "delivered", 0.85) == []


@pytest.mark.parametrize(("after", "uplink", "expected"), [(11, 0.2, 1), (11, 0.88, 0), (5, 0.2, 0)])
def test_steps_up_when_there_is_room_and_calm(bench, after, uplink, expected):
    bench.play(places=1)
    assert len(report(bench, 0.1, 0.2)) == 1  # the first report after set-up may lift it at once
    bench.wait(after)
    assert len(report(bench, 0.1, uplink)) == expected


@pytest.mark.parametrize(("uplink", "least", "most"), [(0.2, 8, 8), (0.6, 1, 7), (0.89, 0, 1)])
def test_steps_up_take_the_room_in_the_mean_over_all_fronts(bench, uplink, least, most):
    for _ in range(8):
        bench.play("dear", places=1, top=1)
    for ply in bench.front.plays.values():
        ply.top_rung = 3
    bench.wait(1)
    assert least <= len(report(bench, 0.4, uplink)) <= most


@pytest.mark.parametrize(("delivered", "least", "most"), [(0.95, 4, 28), (0.6, 40, 40)])
def test_the_last_step_down_is_left_to_chance(bench, delivered, least, most):
    steps = 0
    for i in range(40):
        node = f"n{i % 4}"
        bench.front.resumed(
            bench.now,
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
        bench.front.note(bench.now, f"r{i}", 0, node, "rung", 2)
        steps += len(bench.front.note(bench.now, f"r{i}", 0, node, "delivered", delivered))
        bench.end(f"r{i}", "ok", node, final=True)
        bench.wait(4)
    assert least <= steps <= most


@pytest.mark.parametrize(("top", "expected"), [(3, "decline"), (0, "allocate")])
def test_room_must_hold_the_rung_worth_most_for_its_rate(bench, top, expected):
    report(bench, 0.1, 0.83)
    assert verbs(bench.ask(places=1, top=top)[1])[-1] == expected


@pytest.mark.parametrize(("after", "expected"), [(1, {"n1"}), (4, {"n0", "n1"})])
def test_a_shortage_is_forgotten_when_no_note_tells_of_it_any_more(bench, after, expected):
    for node in ("n0", "n1"):
        report(bench, 0.1, 0.1, node)
    play, _ = bench.play(places=1, top=0)
    bench.front.note(bench.now, play, 0, "n0", "delivered", 0.5)
    bench.end(play, "ok", "n0", final=True)
    bench.wait(after)
    assert {bench.play(places=2, top=0)[1] for _ in range(8)} == expected


@pytest.mark.parametrize(("link", "news", "expected"), [(0.6, 90, 60), (0.2, 90, 90), (0.6, 8, 8)])
def test_a_customers_crowd_beyond_its_share_keeps_off_loaded_nodes(make, link, news, expected):
    bench = make(customers=[{"name": "c", "allowance_per_s": 2.0}], fronts=1)
    taken = set()
    for back in (False, True):  # those turned away come again, and are turned away again
        for i in range(news):
            for n in range(4):
                report(bench, link, 0.1, f"n{n}")
            play, said = bench.ask(top=0, customer="c", viewer=f"v{i}", again=back)
            taken |= {i for a in sent(said)}
            for a in sent(said):
                bench.end(play, "ok", a[2], final=True)
    assert len(taken) == news if expected == news else 5 < len(taken) <= expected


@pytest.mark.parametrize(("full", "expected"), [(0.69, [10, 30, 70]), (0.8, [])])
def test_plays_look_for_room_ever_more_seldom_where_nodes_report_when_probed_only(make, full, expected):
    bench = make(**{"report.how": "on_probe", "specifics.rung_kb": [100.0, 200.0, 400.0, 900.0]})
    looks, told = [], {"link_asked": full, "uplink_asked": full}
    play, said = bench.ask(places=1)
    said = bench.front.probed(bench.now, "n0", "ok", 10, told)
    bench.front.first_frame(bench.now, play, 0, "n0", 500)
    for second in range(0, 80, 2):
        bench.wait(2)
        said = bench.front.wake(bench.now, 0)
        looks += [second + 2 for a in said if a[0] == "probe"]
        for node in ("n0", "n1", "n2", "n3"):
            bench.front.probed(bench.now, node, "ok", 10, told)
    assert looks == expected


def test_the_slice_caps_the_cheapest_product_alone_and_only_above_the_fraction(bench):
    for load, product, expected in [(0.2, "cheap", 4), (0.6, "cheap", 2), (0.6, "dear", 4)]:
        fresh = type(bench)()
        taken = 0
        for _ in range(4):
            report(fresh, load, 0.1)
            taken += len(sent(fresh.ask(product, places=1, top=0)[1]))
            fresh.wait(2)
        assert taken == expected, (load, product)


def test_the_last_tenth_is_kept_for_dearer_products(bench):
    report(bench, 0.92, 0.1)
    assert verbs(bench.ask("cheap", places=1)[1])[-1] == "decline"
    assert verbs(bench.ask("dear", places=1)[1])[-1] == "allocate"


def test_a_new_play_takes_room_from_an_own_dearer_one(bench):
    report(bench, 0.1, 0.1)
    high, _ = bench.play(places=1)
    bench.wait(6)
    report(bench, 0.86, 0.1)
    play, said = bench.ask("dear", places=1)
    assert ("rung", high, 2) in said and ("rung", play, 1) in said


def test_a_surge_of_all_fronts_is_reckoned_before_reports_tell(bench):
    for node in ("n0", "n1"):
        report(bench, 0.55, 0.1, node)
    assert [rung(bench.ask("dear", first=i, places=1)[1]) for i in range(2)] == [3, 2]


@pytest.mark.parametrize(("after", "expected"), [(0, 1), (1, 0)])
def test_a_resumed_play_may_step_up_at_the_first_report_one_rung(bench, after, expected):
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
        node="n0",
    )
    said = report(bench, 0.1, 0.1)
    if after:
        bench.wait(after)
        said = report(bench, 0.1, 0.1)
    assert len(said) == expected


def test_an_unreported_uplink_limits_no_entry_but_holds_steps_to_its_share(bench):
    bench.front.probed(bench.now, "n0", "ok", 10, {"link_asked": 0.6})
    assert rung(bench.ask(places=1)[1]) == 1
    play, _ = bench.play("dear", places=1, top=0)
    bench.wait(11)
    assert bench.front.probed(bench.now, "n0", "ok", 10, {"link_asked": 0.6}) == []


@pytest.mark.parametrize(
    ("signs", "expected"),
    [("out", {"n1", "n2", "n3"}), ("late", {"n1", "n2", "n3"}), ("recovered", {"n0", "n1", "n2", "n3"})],
)
def test_a_silent_node_is_passed_over_until_it_answers(bench, signs, expected):
    play, said = bench.ask(places=1)
    bench.wait(0.3)
    if signs != "out":
        bench.end(play, "late", "n0")
        bench.end(play, "withdrawn", "n0", 1, True)
    if signs == "recovered":
        bench.wait(3)
        other, _ = bench.play(places=1)
        bench.end(other, "ok", "n0", final=True)
    taken = set()
    for _ in range(12):
        play, said = bench.ask(top=0)
        taken.add(sent(said)[0][2])
        bench.end(play, "ok", sent(said)[0][2], final=True)
    assert taken == expected


def test_two_are_drawn_and_the_one_that_the_books_favour_is_taken(bench):
    taken = set()
    for _ in range(40):
        for i in range(4):
            report(bench, 0.2 + 0.1 * i, 0.1, f"n{i}")
        play, said = bench.ask(top=0)
        taken.add(sent(said)[0][2])
        bench.end(play, "ok", sent(said)[0][2], final=True)
        bench.wait(1)
    assert taken == {"n0", "n1", "n2"}  # never the fullest, and not always the emptiest


@pytest.mark.parametrize(("after", "steps"), [(2.5, 0), (3.1, 1)])
def test_notes_are_deaf_for_2_s_from_when_one_could_first_tell_of_the_steps(bench, after, steps):
    report(bench, 0.1, 0.1)
    play, _ = bench.play(places=1)
    report(bench, 1.3, 0.5)
    assert len(bench.front.note(bench.now, play, 0, "n0", "delivered", 0.9)) == 1
    bench.wait(after)  # the start settings' notes tell of a time 1 s gone by
    assert len(bench.front.note(bench.now, play, 0, "n0", "delivered", 0.9)) == steps


def test_resumed_plays_do_not_all_look_for_room_at_once(make):
    bench = make(**{"report.how": "on_probe"})
    for i in range(4):
        bench.front.resumed(
            bench.now,
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
        said = bench.front.wake(bench.now, 0)
        probes.append(verbs(said).count("probe"))
        bench.wait(2)
    assert sum(probes) == 4 and max(probes) < 4


@pytest.mark.parametrize(("after", "expected"), [(0.9, "decline"), (1.1, "allocate")])
def test_a_node_that_said_full_is_asked_again_after_a_second(bench, after, expected):
    bench.end(bench.ask("dear", places=1)[0], "full", "n0")
    bench.wait(after)
    assert verbs(bench.ask("dear", places=1)[1])[-1] == expected


def test_own_zone_first(bench):
    bench.list("changes", ("n0", {"zone": "far"}), ("n1", {"zone": "far"}), ("n2", {"zone": "far"}))
    assert {sent(bench.ask(top=0)[1])[0][2] for _ in range(6)} == {"n3"}


@pytest.mark.parametrize(("link", "expected"), [(0.3, "allocate"), (1.4, "decline")])
def test_an_unheard_node_is_taken_for_as_full_as_the_average(bench, link, expected):
    for node in ("n0", "n1", "n2"):
        report(bench, link, 0.1, node)
    assert verbs(bench.ask("dear", first=3, places=1)[1])[-1] == expected


@pytest.mark.parametrize(("after", "expected"), [(4, 1), (11, 2)])
def test_on_a_rack_told_short_the_rung_worth_most_for_its_rate_is_the_highest(make, after, expected):
    bench = make(
        **{
            "specifics.rung_kb": [50.0, 100.0, 200.0, 400.0, 800.0],
            "specifics.highest_rung": [4, 4, 4],
            "specifics.level_worth": [0.1, 0.4, 0.6, 0.8, 1.0],
        }
    )
    play, _ = bench.play(places=1)
    bench.front.note(bench.now, play, 0, "n0", "delivered", 0.9)
    bench.wait(after)
    assert rung(bench.ask(first=2, places=1, top=4)[1]) == expected


@pytest.mark.parametrize(
    ("product", "after", "node", "expected"),
    [
        ("cheap", 1, 2, "decline"),
        ("dear", 1, 2, "allocate"),
        ("cheap", 1, 1, "allocate"),
        ("cheap", 4, 2, "allocate"),
    ],
)
def test_a_note_counts_for_the_unheard_of_a_rack_that_nobody_reports(bench, product, after, node, expected):
    play, _ = bench.play(places=1)
    bench.front.note(bench.now, play, 0, "n0", "delivered", 0.9)
    bench.wait(after)
    assert verbs(bench.ask(product, first=node, places=1)[1])[-1] == expected


@pytest.mark.parametrize(
    ("price", "before", "asks"),
    [
        (0.01, 0, True),  # cheap: also for a single play
        (0.08, 0, False),  # dear: one play alone never learns as much as its probe costs
        (0.08, 4, False),  # four plays on four nodes: still one for each
        (0.08, 5, True),  # more plays than nodes within 3 s share what is learnt
        (0.50, 12, False),
    ],
)
def test_a_dear_probe_is_asked_only_where_enough_plays_share_its_report(make, price, before, asks):
    bench = make(**{"report.how": "on_probe", "costs.probe": price})
    for _ in range(before):
        bench.front.requests.add(bench.now, 1)
    _, said = bench.ask()
    assert ("probe" in verbs(said)) is asks
    assert ("allocate" in verbs(said)) is not asks
