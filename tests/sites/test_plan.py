"""The computed cost of losing a site, and load shedding while a site is lost."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from curlewhall.sites.plan import (
    ADJUST_INTERVAL,
    MAX_CORRECTION,
    MIN_NODE_LIMIT,
    UNREFUSED_NODE_LIMIT,
    LoadShedder,
    LossPlan,
    NodeCapacity,
    placeable_fractions,
)

TERMS = {"cheap": (1.0, False), "dear": (2.0, False), "paid": (3.0, True)}
IMPORTANCE = {name: importance for name, (importance, _) in TERMS.items()}


def fleet(used=500.0, sites="ab", each=4, link=1000.0):
    return [
        NodeCapacity(site, i % 2 if site == "a" else 2 + i % 2, i, link, used)
        for site in sites
        for i in range(each)
    ]


def make_plan(uplink=0.0, place_count=3):
    plan = LossPlan(TERMS, uplink, place_count)
    plan.record_plays({"cheap": 50.0, "dear": 30.0, "paid": 20.0}, 100.0)
    return plan


@pytest.mark.parametrize(
    ("refused", "expected"),
    [
        (0, {"cheap": 1, "dear": 1, "paid": 1}),
        (25, {"cheap": 0.5, "dear": 1, "paid": 1}),
        (50, {"cheap": 0, "dear": 1, "paid": 1}),
        (65, {"cheap": 0, "dear": 0.5, "paid": 1}),
        (500, {"cheap": 0, "dear": 0, "paid": 1}),  # the paid product is never refused
    ],
)
def test_least_important_product_is_refused_first(refused, expected):
    demand = {"cheap": 50.0, "dear": 30.0, "paid": 20.0}
    assert placeable_fractions(demand, IMPORTANCE, ["paid"], refused) == pytest.approx(expected)


PRODUCTS = st.dictionaries(
    st.sampled_from("abcdef"), st.tuples(st.floats(0, 100), st.floats(0.1, 5)), min_size=1
)


@given(PRODUCTS, st.floats(-10, 1000), st.sets(st.sampled_from("abcdef")))
def test_refusals_follow_importance_and_never_exceed_the_request(products, refused, protected):
    demand, importance = ({name: row[i] for name, row in products.items()} for i in (0, 1))
    fractions = placeable_fractions(demand, importance, protected, refused)
    assert all(0 <= fraction <= 1 for fraction in fractions.values())
    cut = sum(demand[name] * (1 - fraction) for name, fraction in fractions.items())
    assert cut <= max(0.0, refused) + 1e-6
    for name in fractions:
        if fractions[name] < 1:
            assert name not in protected
            assert all(
                fractions[other] <= 1e-9 or demand[other] == 0 or other in protected
                for other in fractions
                if (importance[other], other) < (importance[name], name)
            )


@pytest.mark.parametrize(("used", "bearable"), [(100, True), (440, True), (500, False), (900, False)])
def test_loss_cost_follows_the_list_and_the_load(used, bearable):
    cost = make_plan().compute_costs(fleet(used))["a"]
    assert cost.bearable == bearable and cost.demand == pytest.approx(8 * used)
    assert cost.capacity == pytest.approx(0.9 * 4000)
    assert (cost.placeable["cheap"] < 1) == (not bearable) and cost.placeable["paid"] == 1


def test_capacity_of_a_rack_is_limited_by_its_uplink():
    assert make_plan(uplink=500.0).compute_costs(fleet())["a"].capacity == pytest.approx(0.9 * 2 * 500)


def test_node_without_a_report_counts_as_the_average_of_the_others():
    nodes = fleet(400.0)
    nodes[0] = nodes[0]._replace(used=None)
    assert make_plan().compute_costs(nodes)["b"].demand == pytest.approx(3200)


def test_titles_left_with_one_holder_or_none_are_counted():
    nodes = [NodeCapacity(site, 0, i, 1.0, 0.0) for site, i in (("a", 0), ("b", 1), ("b", 2))]
    plan = make_plan()
    plan.set_titles([(0, 1)] * 5 + [(0, 2)] * 3 + [(1, 2)] * 2)
    costs = plan.compute_costs(nodes)
    assert (costs["a"].unheld_titles, costs["a"].single_holder_titles) == (5, 3)
    assert (costs["b"].unheld_titles, costs["b"].single_holder_titles) == (2, 8)


def test_consecutive_places_wrap_at_their_number_and_not_at_the_highest_used_place():
    """No node is on the last places, so a title on the last and first place has one holder, on the first."""
    plan = make_plan(place_count=5)
    plan.set_titles([(4, 2)] * 7)
    costs = plan.compute_costs([NodeCapacity("a", 0, 1, 1.0, 0.0), NodeCapacity("b", 1, 0, 1.0, 0.0)])
    assert (costs["a"].unheld_titles, costs["a"].single_holder_titles) == (0, 7)
    assert (costs["b"].unheld_titles, costs["b"].single_holder_titles) == (7, 0)


def test_titles_are_stored_as_classes():
    plan = make_plan()
    plan.set_titles((i % 97, 3) for i in range(100_000))
    assert len(plan.title_classes) == 97


def shedder_after_loss(used=700.0):
    plan = make_plan()
    shedder = LoadShedder(plan)
    shedder.start(0, plan.compute_costs(fleet(used))["a"].demand)
    shedder.set_capacity(plan.capacity(node for node in fleet(used) if node.site == "b"), 1.0)
    return shedder


def test_refused_fraction_starts_from_demand_and_capacity():
    shedder = shedder_after_loss()
    assert shedder.refused == pytest.approx(1 - 3600 / 5600)
    limits = shedder.node_limits()
    assert MIN_NODE_LIMIT <= limits["cheap"] < 0.9
    assert limits["dear"] == UNREFUSED_NODE_LIMIT and "paid" not in limits


@pytest.mark.parametrize(
    ("use", "dear_declined", "direction"),
    [(0.99, True, 1), (0.99, False, 0), (0.9, True, 0), (0.5, False, -1), (None, True, 0)],
)
def test_refused_fraction_is_corrected_by_use_and_declines(use, dear_declined, direction):
    shedder, now = shedder_after_loss(), 0
    before = shedder.refused
    for _ in range(3):
        if dear_declined:
            shedder.play_declined("dear")
        now += ADJUST_INTERVAL
        shedder.adjust(now, use)
    assert (shedder.refused > before) - (shedder.refused < before) == direction
    assert shedder.correction <= MAX_CORRECTION


def test_correction_is_bounded_and_nothing_is_refused_once_capacity_is_back():
    shedder, now = shedder_after_loss(), 0
    for _ in range(100):
        shedder.play_declined("paid")
        now += ADJUST_INTERVAL
        shedder.adjust(now, 1.5)
    assert shedder.correction <= MAX_CORRECTION + 1e-9
    shedder.set_capacity(1e9, 0.0)
    assert shedder.node_limits() == {}
    shedder.stop()
    assert shedder.refused == 0


def test_declined_play_counts_only_while_a_less_important_one_is_accepted():
    shedder = shedder_after_loss()
    shedder.play_declined("cheap")
    assert shedder.inversions == 0
    shedder.play_declined("paid")
    assert shedder.inversions == 1


def test_second_loss_keeps_the_demand_from_before_the_first():
    shedder = shedder_after_loss()
    demand_before = shedder.demand_before
    shedder.start(5, 1.0)
    assert shedder.demand_before == demand_before
