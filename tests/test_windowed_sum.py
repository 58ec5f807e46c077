"""The module's sums over time: exact at usual rates, and bounded whatever clients send."""

import random

import pytest

from curlewhall.policy import MAX_WINDOW_ENTRIES, WindowedSum

KEPT_TICKS = 100_000  # 10 s


def added_since(amounts, when):
    return sum(amount for at, amount in amounts if at > when)


@pytest.mark.parametrize("seed", range(5))
def test_sums_are_exact_at_usual_rates(seed):
    """90 requests a second, as on the busiest front; times may repeat."""
    draw, window, amounts, now = random.Random(seed), WindowedSum(KEPT_TICKS), [], 0
    for _ in range(5000):
        now += draw.randrange(220)
        amount = draw.choice((1, -3, 240.5))
        window.add(now, amount)
        amounts.append((now, amount))
        if draw.random() < 0.05:
            when = now - draw.randrange(KEPT_TICKS)
            assert window.sum_since(when) == pytest.approx(added_since(amounts, when))


@pytest.mark.parametrize("spacing", [1, 2, 7])
def test_flood_of_requests_needs_bounded_memory(spacing):
    """Bad clients lengthened these tables by an entry a request. What a sum lacks is what came within its
    granularity: it never counts too much, so that the budget of further allocations is kept.
    """
    window, count = WindowedSum(KEPT_TICKS), 400_000
    for i in range(count):
        window.add(i * spacing, 1)
        if i % 1000 == 0:
            assert len(window.times) == len(window.totals) <= MAX_WINDOW_ENTRIES
    now, most_lacking = (count - 1) * spacing, 4 * KEPT_TICKS / MAX_WINDOW_ENTRIES / spacing + 1
    for window_ticks in (1000, 30_000, 90_000):
        added = len(range(now, now - window_ticks, -spacing))
        assert added - most_lacking <= window.sum_since(now - window_ticks) <= added


def test_total_survives_the_merging_of_entries_and_usual_rates_are_exact_again():
    window = WindowedSum(KEPT_TICKS)
    for i in range(2 * MAX_WINDOW_ENTRIES):
        window.add(i, 2)
    assert window.granularity > 1 and window.sum_since(-1) == 4 * MAX_WINDOW_ENTRIES
    later = 10 * KEPT_TICKS
    for i in range(MAX_WINDOW_ENTRIES):
        window.add(later + 100 * i, 1)
    assert window.granularity == 1
    assert window.sum_since(later + 100 * (MAX_WINDOW_ENTRIES - 50)) == 49
