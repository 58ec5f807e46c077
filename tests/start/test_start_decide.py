"""Requests to the list service: bounds and growth of the delays, and fleets that stay out of step."""

from collections import Counter

import pytest

from bench.start import drawn, fixed, herd
from curlewhall.start import Backoff, ListSubscription, SeededRandom
from curlewhall.start.decide import (
    MAX_FIRST_RETRY_DELAY_S,
    MAX_KEPT_LIST_SPAN_S,
    MAX_NO_LIST_SPAN_S,
    MAX_PEER_ASSISTED_SPAN_S,
    MAX_RETRY_AFTER_S,
    MAX_RETRY_SPAN_S,
    MIN_RETRY_DELAY_S,
    MIN_RETRY_SPAN_S,
)


def test_fleet_without_lists_but_with_peers_spreads_its_requests_over_a_longer_span():
    waits = [ListSubscription(seed, 1000, has_peers=True).first_delay("", 0) for seed in range(1000)]
    assert 19 < max(waits) <= MAX_PEER_ASSISTED_SPAN_S and max(Counter(map(int, waits)).values()) < 90
    assert max(ListSubscription(seed, 3, has_peers=True).first_delay("", 0) for seed in range(200)) <= 0.06


@pytest.mark.parametrize(
    ("epoch", "version", "fronts", "max_delay", "expected"),
    [
        ("", 0, 3, 0.015, ("", 0)),
        ("", 9, 3, 0.015, ("", 0)),  # no epoch: the full list is requested
        ("a", 9, 3, 0.06, ("a", 9)),
        ("a", 0, 3, 0.015, ("a", 0)),
        ("", 0, 200, 1.0, ("", 0)),
        ("a", 9, 200, MAX_KEPT_LIST_SPAN_S, ("a", 9)),
        ("", 0, 5000, MAX_NO_LIST_SPAN_S, ("", 0)),
        ("a", 9, 5000, MAX_KEPT_LIST_SPAN_S, ("a", 9)),
        ("", 0, 0, 0.005, ("", 0)),
    ],
)
def test_first_request(epoch, version, fronts, max_delay, expected):
    waits = []
    for seed in range(200):
        front = ListSubscription(seed, fronts)
        waits.append(front.first_delay(epoch, version))
        assert (front.epoch, front.version) == expected
    assert min(waits) >= 0 and max_delay / 2 < max(waits) <= max_delay


@pytest.mark.parametrize(
    ("epoch", "base_version", "version", "accepted"),
    [
        ("a", 5, 6, True),
        ("", 5, 6, True),
        ("a", 5, 5, True),
        ("b", 5, 6, False),
        ("a", 4, 6, False),
        ("a", 6, 7, False),
        ("a", 0, 1, False),
    ],
)
def test_change_is_accepted_only_on_the_current_version_of_the_same_epoch(
    epoch, base_version, version, accepted
):
    front = ListSubscription(1, 3)
    front.accept_full_list("a", 5)
    assert front.accept_change(epoch, base_version, version) is accepted
    assert (front.epoch, front.version) == ("a", version if accepted else 5)
    front.discard_version()
    assert front.version == 0 and not front.accept_change("a", 0, 1)


@pytest.mark.parametrize("fronts", [1, 200, 1000, 5000])
def test_retry_delays_grow_to_a_bound_and_reset(fronts):
    front, max_delay = (
        ListSubscription(3, fronts),
        min(MAX_RETRY_SPAN_S, max(MIN_RETRY_SPAN_S, 0.02 * fronts)),
    )
    assert MIN_RETRY_DELAY_S <= front.retry_delay() <= MAX_FIRST_RETRY_DELAY_S
    waits = [front.retry_delay() for _ in range(300)]
    assert min(waits) >= MIN_RETRY_DELAY_S and MAX_FIRST_RETRY_DELAY_S < max(waits) <= max_delay
    front.keepalive_received()
    assert MIN_RETRY_DELAY_S <= front.retry_delay() <= MAX_FIRST_RETRY_DELAY_S


@pytest.mark.parametrize(
    ("retry_after", "low", "high"),
    [
        (0.0, 0.0, MAX_FIRST_RETRY_DELAY_S),
        (0.2, 0.2, 0.2 + MAX_FIRST_RETRY_DELAY_S),
        (1.0, 1.0, 2.0),
        (30.0, 30.0, 60.0),
        (1e9, MAX_RETRY_AFTER_S, 2 * MAX_RETRY_AFTER_S),
        (-1.0, MIN_RETRY_DELAY_S, MAX_FIRST_RETRY_DELAY_S),
        (float("nan"), MIN_RETRY_DELAY_S, MAX_FIRST_RETRY_DELAY_S),
        (None, MIN_RETRY_DELAY_S, MAX_FIRST_RETRY_DELAY_S),
    ],
)
def test_retry_after_is_respected_and_spread(retry_after, low, high):
    waits = [ListSubscription(seed, 200).retry_delay(retry_after) for seed in range(200)]
    assert low <= min(waits) and max(waits) <= high and max(waits) - min(waits) > (high - low) / 2


def test_two_fronts_do_not_fall_into_step():
    one, other = (Backoff(SeededRandom(seed, "x"), 0.1, 0.5, 2.0) for seed in (1, 2))
    gaps = [abs(one.next_delay() - other.next_delay()) for _ in range(200)]
    assert sum(gap < 0.01 for gap in gaps) < 20


def test_successive_random_numbers_of_fronts_are_independent():
    """With a checksum as the generator, the second numbers of 200 fronts were the first plus few offsets."""
    pairs = [
        (random.uniform(0, 1), random.uniform(0, 1))
        for random in (SeededRandom(seed, "x") for seed in range(200))
    ]
    offsets = Counter(round(second - first, 2) for first, second in pairs)
    assert max(offsets.values()) < 10


@pytest.mark.parametrize(("fronts", "capacity"), [(10, 20), (200, 40), (1000, 100)])
def test_fleet_without_lists_gets_them_as_fast_as_the_service_allows(fronts, capacity):
    now, before = herd(fronts, capacity, drawn), herd(fronts, capacity, fixed)
    tenth, until = now["asks_in_a_tenth"], now["current_99"]
    # Without jitter all fronts ask within the first tenth of a second.
    assert before["asks_in_a_tenth"] == fronts and tenth <= max(10, 0.3 * fronts)
    assert until <= 2.5 + 1.5 * fronts / capacity
    assert until <= before["current_99"] + 2
