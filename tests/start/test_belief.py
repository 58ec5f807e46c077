"""Turns of streams, the age of a kept list, and which of its nodes get plays before the service speaks."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from curlewhall.start import Asks, Belief, Borrows, Churn, Had, Lends, Stamp, Turns, age, better, ready
from curlewhall.start.decide import (
    ASKED,
    AWAY,
    BELIEVED,
    DAY,
    FIRST,
    FRESH,
    LEAST,
    LENT,
    LONGEST,
    MOST,
    NODE_RATE,
    STREAMS_IN_ALL,
    WATCHED,
)

NODES = [f"n{i:03}" for i in range(40)]


@pytest.mark.parametrize("fronts", [1, 3, 24, 200, 400, 1000])
def test_a_node_meets_a_fleet_that_starts_at_one_moment_front_by_front(fronts):
    most = max(NODE_RATE, fronts / STREAMS_IN_ALL)
    for node in NODES:
        waits = sorted(Turns(7 * i, i, fronts).wait(node) for i in range(fronts))
        assert waits[0] >= 0 and waits[-1] <= min(STREAMS_IN_ALL, fronts / NODE_RATE)
        assert max(Counter(int(wait) for wait in waits).values()) <= most + 1
        gaps = [b - a for a, b in zip(waits, waits[1:], strict=False)]
        assert not gaps or min(gaps) >= 0.99 / most  # nobody in one moment with another


def test_a_front_meets_its_nodes_one_after_the_other():
    waits = sorted(Turns(1, 17, 200).wait(node) for node in NODES)
    assert waits[0] < 1 and waits[-1] > 3 and max(Counter(int(2 * wait) for wait in waits).values()) < 15


def test_a_node_that_dies_under_all_fronts_is_asked_again_in_no_step():
    backs = [Turns(i, i, 200).back() for i in range(200)]
    waits = [back.next() for back in backs]
    assert max(Counter(int(10 * wait) for wait in waits).values()) < 20 and max(waits) <= 5
    assert max(Counter(int(wait) for wait in waits).values()) < 1.4 * NODE_RATE
    assert max(back.next() for back in backs for _ in range(20)) <= 8


@pytest.mark.parametrize("fronts", [1, 3, 200, 1000])
def test_a_stream_that_broke_is_asked_for_before_its_node_drops_the_plays(fronts):
    back = Turns(3, 0, fronts).back()
    assert max(back.next() for _ in range(300)) <= max(MOST, AWAY)


BOOTED = Stamp(1_000_000_000_000, "b1", 500.0)


@pytest.mark.parametrize(
    ("now", "seconds"),
    [
        (Stamp(1_000_000_060_000, "b1", 560.0), 60),
        (Stamp(1_000_900_000_000, "b1", 560.0), 60),  # stepped: within one boot it is not asked
        (Stamp(999_000_000_000, "b1", 560.0), 60),
        (Stamp(1_000_000_060_000, "b2", 3.0), 60),
        (Stamp(999_999_999_000, "b2", 3.0), None),  # set back across the restart
        (Stamp(1_000_000_060_000, "", 0.0), 60),
        (Stamp(1_000_000_060_000, "b1", 400.0), None),
    ],
)
def test_the_age_of_a_kept_list(now, seconds):
    assert age(BOOTED, now) == (seconds if seconds is None else pytest.approx(seconds))


@pytest.mark.parametrize(("stamp", "now"), [(Stamp(0, "", 0.0), BOOTED), (Stamp(0, "b0", 9.0), BOOTED)])
def test_a_list_that_nothing_is_known_of_has_no_age(stamp, now):
    assert age(stamp, now) is None and Churn().trust(None) == 0


@pytest.mark.parametrize(
    ("changes", "watched", "seconds", "low", "high"),
    [
        (0, 0, 5, 0.999, 1),
        (0, 0, DAY, 0.36, 0.38),
        (0, 30 * DAY, DAY, 0.96, 0.97),
        (3000, 30 * DAY, 600, 0.5, 0.6),  # 100 changes a node and day
        (-1, 5, DAY, 0.36, 0.38),
        (float("nan"), float("inf"), DAY, 0.36, 0.38),
    ],
)
def test_trust_follows_what_was_seen_of_the_fleet(changes, watched, seconds, low, high):
    assert low <= Churn(changes, watched).trust(seconds) <= high


@given(st.floats(0, 1e6), st.floats(0, 1e9), st.lists(st.floats(0, 1e7), min_size=2, max_size=20))
def test_trust_never_grows_with_age(changes, watched, ages):
    churn = Churn(changes, watched)
    trusts = [churn.trust(span) for span in sorted(ages)]
    assert trusts == sorted(trusts, reverse=True) and all(0 <= trust <= 1 for trust in trusts)


@given(st.lists(st.tuples(st.integers(0, 50), st.floats(0, WATCHED)), max_size=50))
def test_what_was_seen_stays_in_bounds(seen):
    churn = Churn()
    for changes, watched in seen:
        churn.saw(changes, watched)
        assert 0 <= churn.watched <= 2 * WATCHED and churn.rate() > 0


@pytest.mark.parametrize(
    ("trust", "named", "first", "again"),
    [
        (1.0, "n1", None, None),
        (BELIEVED, "n1", None, None),  # believed, and right
        (1.0, "stranger", False, None),  # believed, and refuted
        (0.5, "n1", True, None),
        (0.0, "n1", True, None),
        (0.5, "stranger", None, None),
    ],
)
def test_what_an_answer_changes(trust, named, first, again):
    belief = Belief()
    belief.kept({"n1", "n2"}, trust)
    assert belief.answered("n1", named) is first and belief.answered("n1", named) is again
    assert ("n1" in belief.unsure) == (named != "n1")
    assert belief.spoken() == {
        n for n in ("n1", "n2") if (n == "n1" and named != "n1") or (n == "n2" and trust < BELIEVED)
    }
    # a stranger at an address that the service stands by is the node's own trouble
    assert belief.answered("n1", "stranger") is None and not belief.unsure


def test_a_peers_list_is_taken_once_believed_and_a_stranger_stays_one():
    belief = Belief()
    belief.kept({"n1", "n2", "n3"}, 0.5)
    assert belief.answered("n1", "other") is None and belief.answered("n2", "n2") is True
    belief.kept({"n1", "n2", "n3"}, 0.9)  # a peer had it confirmed lately
    assert belief.unsure == {"n1"} and belief.answered("n1", "n1") is True
    belief.answered("n3", "other")
    belief.kept({"n1"}, 0.9)  # a list that does not name it any more
    assert belief.unsure == set()


@pytest.mark.parametrize(
    ("mine", "theirs", "takes"),
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
)  # no life: by age alone
def test_which_of_two_lists_is_gone_by(mine, theirs, takes):
    assert better(Had(*mine), Had(*theirs)) is takes
    assert not (takes and better(Had(*theirs), Had(*mine)))


def test_peers_are_asked_in_an_order_of_ones_own_and_one_that_asks_for_time_gets_it():
    firsts = [Borrows(seed, list(range(9)), 10).next(0.0) for seed in range(300)]
    assert max(Counter(firsts).values()) < 60
    borrows = Borrows(1, [3, 4, 5], 4)
    assert {borrows.next(0.0) for _ in range(3)} == {3, 4, 5}
    assert borrows.ended(0.0, 4, False, 5.0) <= FIRST
    assert sorted(borrows.next(1.0) for _ in range(4)) == [3, 3, 5, 5]
    assert borrows.next(5.0) == 4
    for peer in (3, 4, 5):
        borrows.ended(6.0, peer, False, 1e9)
    assert borrows.next(7.0) is None and borrows.next(6.0 + ASKED) in (3, 4, 5)


def test_waits_for_peers_grow_while_nobody_has_a_list_and_are_long_once_it_is_had():
    borrows = Borrows(1, [3], 200)
    assert Borrows(1, [], 200).begin(True) is None and borrows.begin(False) is None
    assert 0 <= borrows.begin(True) <= 1
    waits = [borrows.ended(0.0, 3, False) for _ in range(100)]
    assert min(waits) >= LEAST and FIRST < max(waits) <= MOST
    assert 0.5 * FRESH <= borrows.ended(0.0, 3, True) <= 1.5 * FRESH
    assert borrows.ended(0.0, 3, False) <= FIRST


def test_a_front_hands_out_so_many_lists_a_second_and_only_what_is_believed():
    lends = Lends()
    assert [lends.may(1.0 + i / 10) for i in range(5)] == [True] * LENT + [False] * (5 - LENT)
    assert lends.may(2.0)
    assert [
        Lends.sound(Had("a", version, seconds), trust)
        for version, seconds, trust in (
            (3, 5.0, 1.0),
            (0, 5.0, 1.0),
            (3, None, 0.0),
            (3, 1e6, 0.5),
            (3, 5.0, BELIEVED),
        )
    ] == [True, False, False, False, True]


@pytest.mark.parametrize(
    ("sure", "outcome", "waited", "told"),
    [
        (0, False, 0.0, False),
        (0, False, 4.9, False),
        (1, False, 0.0, True),
        (0, True, 0.0, True),
        (0, False, 5.0, True),
    ],
)
def test_when_a_front_says_that_it_is_ready(sure, outcome, waited, told):
    assert ready(sure, outcome, waited) is told


@given(
    st.integers(0, 1000),
    st.lists(
        st.tuples(st.floats(0, 5), st.booleans(), st.one_of(st.none(), st.floats(allow_nan=True))),
        max_size=60,
    ),
)
def test_a_front_without_a_list_asks_on_whatever_its_peers_answer(seed, answers):
    borrows, now = Borrows(seed, [0, 1, 2], 4), 0.0
    for pause, took, retry_after in answers:
        now += pause
        wait = borrows.ended(now, borrows.next(now), took, retry_after)
        assert 0 < wait <= max(MOST, 1.5 * FRESH)
    assert borrows.next(now + ASKED) is not None


class Following(RuleBasedStateMachine):
    """A front and any service: waits have an end, and nothing older than what is had is taken."""

    def __init__(self):
        super().__init__()
        self.asks, self.taken, self.waits = Asks(5, 200), {}, []
        self.asks.begin("", 0)

    @rule(life=st.sampled_from("ab"), version=st.integers(1, 20))
    def whole(self, life, version):
        had = self.asks.life, self.asks.latest
        if self.asks.whole(life, version):
            assert life != had[0] or version >= had[1]
        else:
            assert life == had[0] and version < had[1] and self.asks.latest == had[1]

    @rule(life=st.sampled_from(["", "a", "b"]), since=st.integers(0, 20))
    def change(self, life, since):
        had, latest = self.asks.version, self.asks.latest
        if self.asks.follows(life, since, since + 1):
            assert since == had and self.asks.latest == since + 1 and not self.asks.behind
        elif self.asks.missed(life, since + 1):
            self.asks.gap()
        assert self.asks.latest >= latest

    @rule(retry_after=st.one_of(st.none(), st.floats(allow_nan=True)))
    def refused(self, retry_after):
        self.waits.append(self.asks.ended(retry_after))

    @rule(count=st.integers(1, 30))
    def lost(self, count):
        self.waits += [self.asks.ended() for _ in range(count)]

    @invariant()
    def asked_again_in_time(self):
        assert all(0 <= wait <= max(LONGEST, 2 * ASKED) for wait in self.waits)


Following.TestCase.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)
TestFollowing = Following.TestCase
