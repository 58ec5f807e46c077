"""Stream schedules, ages of kept lists, lists from peers, and which nodes get plays at the start."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from curlewhall.start import (
    ListChangeRate,
    ListSubscription,
    ListVersion,
    NodeTrust,
    PeerListLimiter,
    PeerListRequests,
    StreamSchedule,
    Timestamp,
    is_ready,
    peer_list_is_better,
    seconds_between,
)
from curlewhall.start.decide import (
    DAY_S,
    MAX_FIRST_RETRY_DELAY_S,
    MAX_RECONNECT_DELAY_S,
    MAX_RETRY_AFTER_S,
    MAX_RETRY_SPAN_S,
    MAX_STREAM_SPAN_S,
    MIN_RETRY_DELAY_S,
    MIN_RETRY_SPAN_S,
    MIN_TRUST,
    NODE_STREAM_RATE,
    OBSERVATION_LIMIT_S,
    PEER_LIST_INTERVAL_S,
    PEER_LISTS_PER_SECOND,
)

NODES = [f"n{i:03}" for i in range(40)]


@pytest.mark.parametrize("fronts", [1, 3, 24, 200, 400, 1000])
def test_node_gets_the_streams_of_a_starting_fleet_one_after_the_other(fronts):
    most = max(NODE_STREAM_RATE, fronts / MAX_STREAM_SPAN_S)
    for node in NODES:
        waits = sorted(StreamSchedule(7 * i, i, fronts).start_delay(node) for i in range(fronts))
        assert waits[0] >= 0 and waits[-1] <= min(MAX_STREAM_SPAN_S, fronts / NODE_STREAM_RATE)
        assert max(Counter(int(wait) for wait in waits).values()) <= most + 1
        gaps = [b - a for a, b in zip(waits, waits[1:], strict=False)]
        assert not gaps or min(gaps) >= 0.99 / most  # no two fronts at one moment


def test_front_opens_its_streams_spread_over_the_span():
    waits = sorted(StreamSchedule(1, 17, 200).start_delay(node) for node in NODES)
    assert waits[0] < 1 and waits[-1] > 3 and max(Counter(int(2 * wait) for wait in waits).values()) < 15


def test_fronts_reconnect_to_a_dead_node_out_of_step():
    backoffs = [StreamSchedule(i, i, 200).reconnect_backoff() for i in range(200)]
    waits = [backoff.next_delay() for backoff in backoffs]
    assert max(Counter(int(10 * wait) for wait in waits).values()) < 20 and max(waits) <= 5
    assert max(Counter(int(wait) for wait in waits).values()) < 1.4 * NODE_STREAM_RATE
    assert max(backoff.next_delay() for backoff in backoffs for _ in range(20)) <= 8


@pytest.mark.parametrize("fronts", [1, 3, 200, 1000])
def test_broken_stream_is_reopened_before_its_node_drops_the_plays(fronts):
    backoff = StreamSchedule(3, 0, fronts).reconnect_backoff()
    assert max(backoff.next_delay() for _ in range(300)) <= max(MIN_RETRY_SPAN_S, MAX_RECONNECT_DELAY_S)


CONFIRMED = Timestamp(1_000_000_000_000, "b1", 500.0)


@pytest.mark.parametrize(
    ("now", "seconds"),
    [
        (Timestamp(1_000_000_060_000, "b1", 560.0), 60),
        (Timestamp(1_000_900_000_000, "b1", 560.0), 60),  # wall clock stepped: not used within one boot
        (Timestamp(999_000_000_000, "b1", 560.0), 60),
        (Timestamp(1_000_000_060_000, "b2", 3.0), 60),
        (Timestamp(999_999_999_000, "b2", 3.0), None),  # wall clock set back across the restart
        (Timestamp(1_000_000_060_000, "", 0.0), 60),
        (Timestamp(1_000_000_060_000, "b1", 400.0), None),
    ],
)
def test_age_of_a_kept_list(now, seconds):
    assert seconds_between(CONFIRMED, now) == (seconds if seconds is None else pytest.approx(seconds))


@pytest.mark.parametrize(
    ("stamp", "now"), [(Timestamp(0, "", 0.0), CONFIRMED), (Timestamp(0, "b0", 9.0), CONFIRMED)]
)
def test_list_with_an_unknown_confirmation_time_has_no_age_and_no_trust(stamp, now):
    assert seconds_between(stamp, now) is None and ListChangeRate().trust(None) == 0


@pytest.mark.parametrize(
    ("changes", "node_seconds", "age_s", "low", "high"),
    [
        (0, 0, 5, 0.999, 1),
        (0, 0, DAY_S, 0.36, 0.38),
        (0, 30 * DAY_S, DAY_S, 0.96, 0.97),
        (3000, 30 * DAY_S, 600, 0.5, 0.6),  # 100 changes per node and day
        (-1, 5, DAY_S, 0.36, 0.38),
        (float("nan"), float("inf"), DAY_S, 0.36, 0.38),
    ],
)
def test_trust_follows_the_observed_change_rate(changes, node_seconds, age_s, low, high):
    assert low <= ListChangeRate(changes, node_seconds).trust(age_s) <= high


@given(st.floats(0, 1e6), st.floats(0, 1e9), st.lists(st.floats(0, 1e7), min_size=2, max_size=20))
def test_trust_never_grows_with_age(changes, node_seconds, ages):
    change_rate = ListChangeRate(changes, node_seconds)
    trusts = [change_rate.trust(age_s) for age_s in sorted(ages)]
    assert trusts == sorted(trusts, reverse=True) and all(0 <= trust <= 1 for trust in trusts)


@given(st.lists(st.tuples(st.integers(0, 50), st.floats(0, OBSERVATION_LIMIT_S)), max_size=50))
def test_recorded_observations_stay_bounded(observations):
    change_rate = ListChangeRate()
    for changes, node_seconds in observations:
        change_rate.record(changes, node_seconds)
        assert 0 <= change_rate.node_seconds <= 2 * OBSERVATION_LIMIT_S and change_rate.per_node_second() > 0


@pytest.mark.parametrize(
    ("trust", "reported_name", "first", "again"),
    [
        (1.0, "n1", None, None),
        (MIN_TRUST, "n1", None, None),  # trusted, and right
        (1.0, "stranger", False, None),  # trusted, and refuted
        (0.5, "n1", True, None),
        (0.0, "n1", True, None),
        (0.5, "stranger", None, None),
    ],
)
def test_answer_of_a_node_changes_its_trust(trust, reported_name, first, again):
    nodes = NodeTrust()
    nodes.use_unconfirmed_list({"n1", "n2"}, trust)
    assert (
        nodes.node_answered("n1", reported_name) is first
        and nodes.node_answered("n1", reported_name) is again
    )
    assert ("n1" in nodes.untrusted) == (reported_name != "n1")
    assert nodes.list_confirmed() == {
        n for n in ("n1", "n2") if (n == "n1" and reported_name != "n1") or (n == "n2" and trust < MIN_TRUST)
    }
    # Once the service has confirmed the address, another node answering there does not count.
    assert nodes.node_answered("n1", "stranger") is None and not nodes.untrusted


def test_trusted_peer_list_frees_nodes_but_not_those_where_another_answered():
    nodes = NodeTrust()
    nodes.use_unconfirmed_list({"n1", "n2", "n3"}, 0.5)
    assert nodes.node_answered("n1", "other") is None and nodes.node_answered("n2", "n2") is True
    nodes.use_unconfirmed_list({"n1", "n2", "n3"}, 0.9)  # a peer's list, confirmed lately
    assert nodes.untrusted == {"n1"} and nodes.node_answered("n1", "n1") is True
    nodes.node_answered("n3", "other")
    nodes.use_unconfirmed_list({"n1"}, 0.9)  # a list without n3
    assert nodes.untrusted == set()


@pytest.mark.parametrize(
    ("own", "peer", "expected"),
    [
        (("", 0, None), ("a", 3, 9.0), True),
        (("", 0, None), ("a", 3, None), False),
        (("", 0, None), ("", 0, 1.0), False),
        (("a", 3, 9.0), ("a", 4, 99.0), True),
        (("a", 3, 9.0), ("a", 3, 8.5), False),
        (("a", 3, 9.0), ("a", 3, 7.0), True),
        (("a", 3, None), ("a", 3, 7.0), True),
        (("a", 3, 900.0), ("a", 2, 0.0), False),
        (("a", 30, 9.0), ("b", 2, 7.0), True),
        (("a", 30, 9.0), ("b", 2, 10.0), False),
        (("", 30, 9.0), ("", 31, 20.0), False),
        (("", 30, 9.0), ("", 31, 2.0), True),
    ],
)  # an empty epoch: only the age counts
def test_better_of_two_lists(own, peer, expected):
    assert peer_list_is_better(ListVersion(*own), ListVersion(*peer)) is expected
    assert not (expected and peer_list_is_better(ListVersion(*peer), ListVersion(*own)))


def test_peers_are_asked_in_random_order_and_retry_after_is_respected():
    firsts = [PeerListRequests(seed, list(range(9)), 10).next_peer(0.0) for seed in range(300)]
    assert max(Counter(firsts).values()) < 60
    requests = PeerListRequests(1, [3, 4, 5], 4)
    assert {requests.next_peer(0.0) for _ in range(3)} == {3, 4, 5}
    assert requests.next_delay(0.0, 4, False, 5.0) <= MAX_FIRST_RETRY_DELAY_S
    assert sorted(requests.next_peer(1.0) for _ in range(4)) == [3, 3, 5, 5]
    assert requests.next_peer(5.0) == 4
    for peer in (3, 4, 5):
        requests.next_delay(6.0, peer, False, 1e9)
    assert requests.next_peer(7.0) is None and requests.next_peer(6.0 + MAX_RETRY_AFTER_S) in (3, 4, 5)


def test_delays_between_peer_requests_grow_while_no_peer_has_a_list_and_are_long_afterwards():
    requests = PeerListRequests(1, [3], 200)
    assert PeerListRequests(1, [], 200).first_delay(True) is None and requests.first_delay(False) is None
    assert 0 <= requests.first_delay(True) <= 1
    waits = [requests.next_delay(0.0, 3, False) for _ in range(100)]
    assert min(waits) >= MIN_RETRY_DELAY_S and MAX_FIRST_RETRY_DELAY_S < max(waits) <= MIN_RETRY_SPAN_S
    assert 0.5 * PEER_LIST_INTERVAL_S <= requests.next_delay(0.0, 3, True) <= 1.5 * PEER_LIST_INTERVAL_S
    assert requests.next_delay(0.0, 3, False) <= MAX_FIRST_RETRY_DELAY_S


def test_front_hands_out_a_limited_number_of_trusted_lists_a_second():
    limiter = PeerListLimiter()
    assert [limiter.allow(1.0 + i / 10) for i in range(5)] == [True] * PEER_LISTS_PER_SECOND + [False] * (
        5 - PEER_LISTS_PER_SECOND
    )
    assert limiter.allow(2.0)
    assert [
        PeerListLimiter.is_trusted(ListVersion("a", version, seconds), trust)
        for version, seconds, trust in (
            (3, 5.0, 1.0),
            (0, 5.0, 1.0),
            (3, None, 0.0),
            (3, 1e6, 0.5),
            (3, 5.0, MIN_TRUST),
        )
    ] == [True, False, False, False, True]


@pytest.mark.parametrize(
    ("trusted_nodes", "outcome_known", "waited_s", "expected"),
    [
        (0, False, 0.0, False),
        (0, False, 4.9, False),
        (1, False, 0.0, True),
        (0, True, 0.0, True),
        (0, False, 5.0, True),
    ],
)
def test_front_is_ready_with_a_node_an_outcome_or_after_the_timeout(
    trusted_nodes, outcome_known, waited_s, expected
):
    assert is_ready(trusted_nodes, outcome_known, waited_s) is expected


@given(
    st.integers(0, 1000),
    st.lists(
        st.tuples(st.floats(0, 5), st.booleans(), st.one_of(st.none(), st.floats(allow_nan=True))),
        max_size=60,
    ),
)
def test_front_without_a_list_keeps_asking_whatever_its_peers_answer(seed, answers):
    requests, now = PeerListRequests(seed, [0, 1, 2], 4), 0.0
    for pause, answered, retry_after in answers:
        now += pause
        wait = requests.next_delay(now, requests.next_peer(now), answered, retry_after)
        assert 0 < wait <= max(MIN_RETRY_SPAN_S, 1.5 * PEER_LIST_INTERVAL_S)
    assert requests.next_peer(now + MAX_RETRY_AFTER_S) is not None


class AnyListService(RuleBasedStateMachine):
    """A front and any list service: delays are bounded, and no older list is accepted."""

    def __init__(self):
        super().__init__()
        self.subscription, self.taken, self.waits = ListSubscription(5, 200), {}, []
        self.subscription.first_delay("", 0)

    @rule(epoch=st.sampled_from("ab"), version=st.integers(1, 20))
    def full_list(self, epoch, version):
        before = self.subscription.epoch, self.subscription.latest_version
        if self.subscription.accept_full_list(epoch, version):
            assert epoch != before[0] or version >= before[1]
        else:
            assert (
                epoch == before[0] and version < before[1] and self.subscription.latest_version == before[1]
            )

    @rule(epoch=st.sampled_from(["", "a", "b"]), base_version=st.integers(0, 20))
    def change(self, epoch, base_version):
        version, latest_version = self.subscription.version, self.subscription.latest_version
        if self.subscription.accept_change(epoch, base_version, base_version + 1):
            assert (
                base_version == version
                and self.subscription.latest_version == base_version + 1
                and not self.subscription.service_is_behind
            )
        elif self.subscription.reveals_newer(epoch, base_version + 1):
            self.subscription.discard_version()
        assert self.subscription.latest_version >= latest_version

    @rule(retry_after=st.one_of(st.none(), st.floats(allow_nan=True)))
    def rejected(self, retry_after):
        self.waits.append(self.subscription.retry_delay(retry_after))

    @rule(count=st.integers(1, 30))
    def failed(self, count):
        self.waits += [self.subscription.retry_delay() for _ in range(count)]

    @invariant()
    def delays_are_bounded(self):
        assert all(0 <= wait <= max(MAX_RETRY_SPAN_S, 2 * MAX_RETRY_AFTER_S) for wait in self.waits)


AnyListService.TestCase.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)
TestAnyListService = AnyListService.TestCase
