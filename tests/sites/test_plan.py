"""What a loss would cost, and what is refused while it lasts."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from curlewhall.sites.plan import LOWEST, NEXT, TICK, TRIM, Place, Plan, Shedding, parts

TERMS = {"cheap": (1.0, False), "dear": (2.0, False), "paid": (3.0, True)}
WORTH = {name: importance for name, (importance, _) in TERMS.items()}


def fleet(used=500.0, sites="ab", each=4, link=1000.0):
    return [
        Place(site, i % 2 if site == "a" else 2 + i % 2, i, link, used) for site in sites for i in range(each)
    ]


def plan(uplink=0.0, places=3):
    made = Plan(TERMS, uplink, places)
    made.held({"cheap": 50.0, "dear": 30.0, "paid": 20.0}, 100.0)
    return made


@pytest.mark.parametrize(
    ("refused", "left"),
    [
        (0, {"cheap": 1, "dear": 1, "paid": 1}),
        (25, {"cheap": 0.5, "dear": 1, "paid": 1}),
        (50, {"cheap": 0, "dear": 1, "paid": 1}),
        (65, {"cheap": 0, "dear": 0.5, "paid": 1}),
        (500, {"cheap": 0, "dear": 0, "paid": 1}),  # what was paid for is never refused for this
    ],
)
def test_the_least_important_goes_first(refused, left):
    asked = {"cheap": 50.0, "dear": 30.0, "paid": 20.0}
    assert parts(asked, WORTH, ["paid"], refused) == pytest.approx(left)


ROWS = st.dictionaries(st.sampled_from("abcdef"), st.tuples(st.floats(0, 100), st.floats(0.1, 5)), min_size=1)


@given(ROWS, st.floats(-10, 1000), st.sets(st.sampled_from("abcdef")))
def test_refusals_are_in_order_and_never_more_than_is_asked(rows, refused, kept):
    asked, worth = ({name: row[i] for name, row in rows.items()} for i in (0, 1))
    found = parts(asked, worth, kept, refused)
    assert all(0 <= part <= 1 for part in found.values())
    away = sum(asked[name] * (1 - part) for name, part in found.items())
    assert away <= max(0.0, refused) + 1e-6
    for name in found:
        if found[name] < 1:
            assert name not in kept
            assert all(
                found[other] <= 1e-9 or asked[other] == 0 or other in kept
                for other in found
                if (worth[other], other) < (worth[name], name)
            )


@pytest.mark.parametrize(("used", "bearable"), [(100, True), (440, True), (500, False), (900, False)])
def test_a_loss_is_reckoned_from_list_and_load(used, bearable):
    cost = plan().reckon(fleet(used))["a"]
    assert cost.bearable == bearable and cost.asked == pytest.approx(8 * used)
    assert cost.room == pytest.approx(0.9 * 4000)
    assert (cost.parts["cheap"] < 1) == (not bearable) and cost.parts["paid"] == 1


def test_a_rack_bears_no_more_than_its_uplink():
    assert plan(uplink=500.0).reckon(fleet())["a"].room == pytest.approx(0.9 * 2 * 500)


def test_unheard_nodes_count_as_the_others_do():
    places = fleet(400.0)
    places[0] = places[0]._replace(used=None)
    assert plan().reckon(places)["b"].asked == pytest.approx(3200)


def test_titles_that_a_loss_would_leave_with_one_holder_or_none():
    places = [Place(site, 0, i, 1.0, 0.0) for site, i in (("a", 0), ("b", 1), ("b", 2))]
    made = plan()
    made.titles([(0, 1)] * 5 + [(0, 2)] * 3 + [(1, 2)] * 2)
    costs = made.reckon(places)
    assert (costs["a"].none, costs["a"].single) == (5, 3)
    assert (costs["b"].none, costs["b"].single) == (2, 8)


def test_a_row_of_places_goes_round_by_their_number_not_by_the_nodes_there_are():
    """No node lies on the last two of five places: a title on the last and the first has its one holder
    there.
    """
    made = plan(places=5)
    made.titles([(4, 2)] * 7)
    costs = made.reckon([Place("a", 0, 1, 1.0, 0.0), Place("b", 1, 0, 1.0, 0.0)])
    assert (costs["a"].none, costs["a"].single) == (0, 7)
    assert (costs["b"].none, costs["b"].single) == (7, 0)


def test_a_hundred_thousand_titles_are_few_classes():
    made = plan()
    made.titles((i % 97, 3) for i in range(100_000))
    assert len(made.cells) == 97


def lost(used=700.0):
    made = plan()
    shedding = Shedding(made)
    shedding.begin(0, made.reckon(fleet(used))["a"].asked)
    shedding.room(made.room(p for p in fleet(used) if p.site == "b"), 1.0)
    return shedding


def test_what_is_refused_begins_with_the_plan():
    shedding = lost()
    assert shedding.refused == pytest.approx(1 - 3600 / 5600)
    found = shedding.parts()
    assert LOWEST <= found["cheap"] < 0.9 and found["dear"] == NEXT and "paid" not in found


@pytest.mark.parametrize(
    ("full", "turned", "grows"),
    [(0.99, True, 1), (0.99, False, 0), (0.9, True, 0), (0.5, False, -1), (None, True, 0)],
)
def test_it_is_trimmed_by_what_is_seen(full, turned, grows):
    shedding, now = lost(), 0
    was = shedding.refused
    for _ in range(3):
        if turned:
            shedding.declined("dear")
        now += TICK
        shedding.tick(now, full)
    assert (shedding.refused > was) - (shedding.refused < was) == grows
    assert shedding.trim <= TRIM


def test_the_trim_has_bounds_and_nothing_is_refused_with_the_room_back():
    shedding, now = lost(), 0
    for _ in range(100):
        shedding.declined("paid")
        now += TICK
        shedding.tick(now, 1.5)
    assert shedding.trim <= TRIM + 1e-9
    shedding.room(1e9, 0.0)
    assert shedding.parts() == {}
    shedding.end()
    assert shedding.refused == 0


def test_a_dear_play_turned_away_counts_only_while_a_cheaper_one_is_taken():
    shedding = lost()
    shedding.declined("cheap")
    assert shedding.turned == 0
    shedding.declined("paid")
    assert shedding.turned == 1


def test_a_second_loss_goes_on_from_the_first():
    shedding = lost()
    asked = shedding.asked
    shedding.begin(5, 1.0)  # what was asked before the first loss still counts
    assert shedding.asked == asked
