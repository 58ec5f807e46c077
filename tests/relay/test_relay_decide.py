"""When a front asks again: the bounds that the rules set, and that hundreds don't ask in step."""

from collections import Counter

import pytest

from curlewhall.relay.decide import IN_ALL, KNOWN, LONGEST, MOST, SPARE, Returns, Silences, WaysIn


@pytest.mark.parametrize("grace", [0.0, 0.01, 0.25, 0.5, 1.0, 60.0])
@pytest.mark.parametrize("seed", [0, 7, 0x8C1F30D27A5BE964])
def test_the_first_ask_leaves_half_of_a_drains_grace(seed, grace):
    returns = Returns(seed, grace, 200)
    for _ in range(50):
        assert 0 < returns.broken(60.0) <= max(0.001, min(MOST, 0.5 * grace))


@pytest.mark.parametrize(
    ("told_for", "event", "small"),
    [(0.0, False, False), (0.9, False, False), (1.0, False, True), (0.0, True, True)],
)
def test_only_what_was_sound_starts_anew(told_for, event, small):
    """A channel that takes calls and breaks off at once is not asked ever again after the first wait."""
    waits = []
    for seed in range(200):
        returns = Returns(seed, 0.25, 200)
        for _ in range(6):
            returns.broken(0.0)
        if event:
            returns.heard()
        waits.append(returns.broken(told_for))
    assert max(waits) <= MOST
    assert (max(waits) <= 0.125) is small


def asks(waits_of, fronts, until):
    """How many of a fleet that lost its channel at one moment ask in each hundredth of a second."""
    count = Counter()
    for seed in range(fronts):
        at = 0.0
        for wait in waits_of(seed):
            at += wait
            if at >= until:
                break
            count[int(at * 100)] += 1
    return count


def endless(returns):
    while True:
        yield returns.broken(0.0)


def test_a_fleet_does_not_come_back_in_step():
    drawn = asks(lambda seed: endless(Returns(seed, 0.25, 200)), 200, 2.0)
    fixed = asks(lambda seed: (0.05, 0.1, 0.2, 0.4, 0.4, 0.4, 0.4), 200, 2.0)
    assert max(fixed.values()) == 200 and max(drawn.values()) <= 50
    later = [n for at, n in drawn.items() if at >= 50]  # once the first waits are over
    assert max(later) <= 30


@pytest.mark.parametrize(
    ("fronts", "most"), [(0, 0.005), (1, 0.005), (3, 0.015), (200, LONGEST), (5000, LONGEST)]
)
def test_a_new_channel_is_met_over_a_span_that_grows_with_the_fleet(fronts, most):
    waits = [Returns(seed, 0.25, fronts).moved() for seed in range(300)]
    assert min(waits) >= 0 and most / 2 < max(waits) <= most


@pytest.mark.parametrize(
    ("look", "sure", "connect"),
    [(0.5, 2, 0.25), (0.5, 2, 1.0), (0.05, 2, 0.25), (0.5, 1, 2.0), (0.5, 2, 9.0)],
)
def test_a_vanished_machine_is_found_in_time(look, sure, connect):
    silences = Silences(look, sure, connect)
    for doubted in (False, True):
        if doubted:
            silences.doubt("a", 100.0)
        found = silences.allowed("a", 100.1) + sure * (look + connect)
        assert found <= KNOWN - SPARE or connect > 3  # else not even the first attempt ends by then


def test_a_zone_is_doubted_as_a_whole_and_for_a_while():
    silences = Silences(0.5, 2, 0.25)
    silences.doubt("a", 100.0)
    assert [
        silences.allowed(zone, at) for zone, at in (("a", 100.0), ("a", 107.9), ("a", 108.0), ("b", 100.0))
    ] == [3.0, 3.0, 6.0, 6.0]
    assert silences.allowed("c", 0.0) == 6.0  # a clock that has just begun


def test_a_fleet_that_starts_at_once_opens_its_ways_in_over_a_span():
    """200 fronts, 16 nodes with sessions each of 135."""
    count = Counter()
    for front in range(200):
        ways = WaysIn(front, 200)
        for i in range(16):
            wait = ways.wait()
            assert 0 <= wait <= IN_ALL
            count[(front * 7 + i * 11) % 135, int(wait * 10)] += 1
    assert max(count.values()) <= 8  # a tenth of a second at one node; in one moment it would be 24
    assert max(WaysIn(front, 2).wait() for front in range(100)) <= 0.02
