"""When fronts ask the list service: bounds, growth, and a fleet that does not fall into step."""

from collections import Counter

import pytest

from bench.start import drawn, fixed, herd
from curlewhall.start import Asks, Draw, Waits
from curlewhall.start.decide import (
    ASKED,
    BARE_IN_ALL,
    FIRST,
    HELPED_IN_ALL,
    KEPT_IN_ALL,
    LEAST,
    LONGEST,
    MOST,
)


def test_a_fleet_without_lists_that_has_peers_takes_its_time_with_the_service():
    waits = [Asks(seed, 1000, helped=True).begin("", 0) for seed in range(1000)]
    assert 19 < max(waits) <= HELPED_IN_ALL and max(Counter(map(int, waits)).values()) < 90
    assert max(Asks(seed, 3, helped=True).begin("", 0) for seed in range(200)) <= 0.06


@pytest.mark.parametrize(
    ("life", "version", "fronts", "most", "asks"),
    [
        ("", 0, 3, 0.015, ("", 0)),
        ("", 9, 3, 0.015, ("", 0)),  # of no life that is named: all is asked for
        ("a", 9, 3, 0.06, ("a", 9)),
        ("a", 0, 3, 0.015, ("a", 0)),
        ("", 0, 200, 1.0, ("", 0)),
        ("a", 9, 200, KEPT_IN_ALL, ("a", 9)),
        ("", 0, 5000, BARE_IN_ALL, ("", 0)),
        ("a", 9, 5000, KEPT_IN_ALL, ("a", 9)),
        ("", 0, 0, 0.005, ("", 0)),
    ],
)
def test_the_first_ask(life, version, fronts, most, asks):
    waits = []
    for seed in range(200):
        front = Asks(seed, fronts)
        waits.append(front.begin(life, version))
        assert (front.life, front.version) == asks
    assert min(waits) >= 0 and most / 2 < max(waits) <= most


@pytest.mark.parametrize(
    ("life", "since", "version", "follows"),
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
def test_a_change_follows_only_on_what_is_had_in_the_same_life(life, since, version, follows):
    front = Asks(1, 3)
    front.whole("a", 5)
    assert front.follows(life, since, version) is follows
    assert (front.life, front.version) == ("a", version if follows else 5)
    front.gap()
    assert front.version == 0 and not front.follows("a", 0, 1)


@pytest.mark.parametrize("fronts", [1, 200, 1000, 5000])
def test_waits_grow_to_a_bound_and_start_anew(fronts):
    front, most = Asks(3, fronts), min(LONGEST, max(MOST, 0.02 * fronts))
    assert LEAST <= front.ended() <= FIRST
    waits = [front.ended() for _ in range(300)]
    assert min(waits) >= LEAST and FIRST < max(waits) <= most
    front.tick()
    assert LEAST <= front.ended() <= FIRST


@pytest.mark.parametrize(
    ("retry_after", "low", "high"),
    [
        (0.0, 0.0, FIRST),
        (0.2, 0.2, 0.2 + FIRST),
        (1.0, 1.0, 2.0),
        (30.0, 30.0, 60.0),
        (1e9, ASKED, 2 * ASKED),
        (-1.0, LEAST, FIRST),
        (float("nan"), LEAST, FIRST),
        (None, LEAST, FIRST),
    ],
)
def test_what_the_service_asks_for_is_kept_and_spread(retry_after, low, high):
    waits = [Asks(seed, 200).ended(retry_after) for seed in range(200)]
    assert low <= min(waits) and max(waits) <= high and max(waits) - min(waits) > (high - low) / 2


def test_two_fronts_do_not_fall_into_step():
    one, other = (Waits(Draw(seed, "x"), 0.1, 0.5, 2.0) for seed in (1, 2))
    gaps = [abs(one.next() - other.next()) for _ in range(200)]
    assert sum(gap < 0.01 for gap in gaps) < 20


def test_fronts_drawn_apart_once_stay_apart():
    """With a checksum for chance the second draws of 200 fronts were the first, moved by a few amounts."""
    pairs = [(draw.between(0, 1), draw.between(0, 1)) for draw in (Draw(seed, "x") for seed in range(200))]
    moved = Counter(round(second - first, 2) for first, second in pairs)
    assert max(moved.values()) < 10


@pytest.mark.parametrize(("fronts", "capacity"), [(10, 20), (200, 40), (1000, 100)])
def test_a_herd_without_lists_gets_them_as_fast_as_the_service_gives(fronts, capacity):
    now, before = herd(fronts, capacity, drawn), herd(fronts, capacity, fixed)
    tenth, until = now["asks_in_a_tenth"], now["current_99"]
    # before: all in one tenth of a second
    assert before["asks_in_a_tenth"] == fronts and tenth <= max(10, 0.3 * fronts)
    assert until <= 2.5 + 1.5 * fronts / capacity
    assert until <= before["current_99"] + 2
