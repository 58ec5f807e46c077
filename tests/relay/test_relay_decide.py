"""Delays and timeouts of the relay: bounds by the rules, and that fronts of a fleet don't act in step."""

from collections import Counter

import pytest

from curlewhall.relay.decide import (
    DELIVERY_MARGIN_S,
    MAX_CHANNEL_DELAY_S,
    MAX_NODE_CONNECT_S,
    MAX_SWITCH_S,
    SESSION_END_DEADLINE_S,
    AdoptionLimits,
    ChannelBackoff,
    NodeConnectDelays,
    SilenceTimeouts,
    Unreported,
)


@pytest.mark.parametrize("grace", [0.0, 0.01, 0.25, 0.5, 1.0, 60.0])
@pytest.mark.parametrize("seed", [0, 7, 0x8C1F30D27A5BE964])
def test_first_delay_takes_at_most_half_of_the_drain_grace(seed, grace):
    backoff = ChannelBackoff(seed, grace, 200)
    for _ in range(50):
        assert 0 < backoff.stream_ended(60.0) <= max(0.001, min(MAX_CHANNEL_DELAY_S, 0.5 * grace))


@pytest.mark.parametrize(
    ("streamed_s", "event", "restarted"),
    [(0.0, False, False), (0.9, False, False), (1.0, False, True), (0.0, True, True)],
)
def test_backoff_restarts_only_after_a_stable_stream_or_an_event(streamed_s, event, restarted):
    """A channel that drops each connection at once must not be asked after the first delay each time."""
    delays = []
    for seed in range(200):
        backoff = ChannelBackoff(seed, 0.25, 200)
        for _ in range(6):
            backoff.stream_ended(0.0)
        if event:
            backoff.event_received()
        delays.append(backoff.stream_ended(streamed_s))
    assert max(delays) <= MAX_CHANNEL_DELAY_S
    assert (max(delays) <= 0.125) is restarted


def attempts_per_10_ms(delays_of, fronts, until):
    """How many fronts reconnect in each 10 ms after a fleet has lost its channel at one moment."""
    count = Counter()
    for seed in range(fronts):
        at = 0.0
        for delay in delays_of(seed):
            at += delay
            if at >= until:
                break
            count[int(at * 100)] += 1
    return count


def failed_attempts(backoff):
    while True:
        yield backoff.stream_ended(0.0)


def test_fronts_that_lose_the_channel_at_once_do_not_reconnect_in_step():
    drawn = attempts_per_10_ms(lambda seed: failed_attempts(ChannelBackoff(seed, 0.25, 200)), 200, 2.0)
    fixed = attempts_per_10_ms(lambda seed: (0.05, 0.1, 0.2, 0.4, 0.4, 0.4, 0.4), 200, 2.0)
    assert max(fixed.values()) == 200 and max(drawn.values()) <= 50
    later = [n for at, n in drawn.items() if at >= 50]  # after the first delays
    assert max(later) <= 30


@pytest.mark.parametrize(
    ("fronts", "most"), [(0, 0.005), (1, 0.005), (3, 0.015), (200, MAX_SWITCH_S), (5000, MAX_SWITCH_S)]
)
def test_switch_delays_spread_over_a_span_that_grows_with_the_fleet(fronts, most):
    delays = [ChannelBackoff(seed, 0.25, fronts).switch_delay() for seed in range(300)]
    assert min(delays) >= 0 and most / 2 < max(delays) <= most


@pytest.mark.parametrize(
    ("look", "sure", "connect"),
    [(0.5, 2, 0.25), (0.5, 2, 1.0), (0.05, 2, 0.25), (0.5, 1, 2.0), (0.5, 2, 9.0)],
)
def test_silence_timeout_leaves_time_for_all_connects_within_the_deadline(look, sure, connect):
    timeouts = SilenceTimeouts(look, sure, connect)
    for doubted in (False, True):
        if doubted:
            timeouts.suspect_zone("a", 100.0)
        found = timeouts.allowed("a", 100.1) + sure * (look + connect)
        assert (
            found <= SESSION_END_DEADLINE_S - DELIVERY_MARGIN_S or connect > 3
        )  # otherwise not even the first connect ends in time


def test_suspect_zone_has_a_shorter_timeout_until_the_suspicion_expires():
    timeouts = SilenceTimeouts(0.5, 2, 0.25)
    timeouts.suspect_zone("a", 100.0)
    assert [
        timeouts.allowed(zone, at) for zone, at in (("a", 100.0), ("a", 107.9), ("a", 108.0), ("b", 100.0))
    ] == [3.0, 3.0, 6.0, 6.0]
    assert timeouts.allowed("c", 0.0) == 6.0  # a clock that has just started


def test_fleet_that_starts_at_once_spreads_its_connects_to_nodes():
    """200 fronts, 16 nodes with sessions each of 135."""
    count = Counter()
    for front in range(200):
        delays = NodeConnectDelays(front, 200)
        for i in range(16):
            delay = delays.next()
            assert 0 <= delay <= MAX_NODE_CONNECT_S
            count[(front * 7 + i * 11) % 135, int(delay * 10)] += 1
    assert max(count.values()) <= 8  # in 100 ms at one node; without delays it would be 24
    assert max(NodeConnectDelays(front, 2).next() for front in range(100)) <= 0.02


@pytest.mark.parametrize(
    ("silences", "due"),
    [([], False), ([9.0], False), ([3.1, 3.1], True), ([3.1, 2.9], False), ([3.1, 9.0, 4.0], True)],
)
def test_zone_is_tested_only_if_several_nodes_with_sessions_are_all_silent(silences, due):
    """review/10. One silent node is looked at by itself; one that has spoken shows that its zone is there."""
    assert SilenceTimeouts(0.5, 2, 0.25).zone_test_due(silences) is due


@pytest.mark.parametrize(
    ("awaited_since", "report_lost", "last_bytes_at", "wanted"),
    [
        (None, False, 0.0, "WAIT"),  # no connection has come up yet
        (95.0, True, 99.0, "WAIT"),  # there is time left
        (90.0, False, 95.0, "DROP"),  # the node has said other things
        (90.0, False, 89.0, "ASK"),  # it has said nothing since: it may stand still
        (90.0, True, 95.0, "PRESUME"),  # review/9: the report may be lost
        (90.0, True, 89.0, "PRESUME"),
    ],
)
def test_unreported_session_is_dropped_only_if_its_node_could_report_it(
    awaited_since, report_lost, last_bytes_at, wanted
):
    settings = {"kinds": ["box"], "specifics.kind_streams": [8]}
    limits = AdoptionLimits(settings, SilenceTimeouts(0.5, 2, 0.25))
    found = limits.decide_unreported(awaited_since, report_lost, last_bytes_at, 100.0)
    assert found is Unreported[wanted]
