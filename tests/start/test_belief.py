"""Turns of streams, the age of a kept list, and which of its nodes get plays before the service speaks."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from curlewhall.start import Asks, Belief, Churn, Stamp, Turns, age
from curlewhall.start.decide import ASKED, BELIEVED, DAY, LONGEST, NODE_RATE, STREAMS_IN_ALL, WATCHED

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
    waits = [Turns(i, i, 200).back().next() for i in range(200)]
    assert max(Counter(int(10 * wait) for wait in waits).values()) < 20 and max(waits) <= 4


BOOTED = Stamp(1_000_000_000_000, "b1", 500.0)


@pytest.mark.parametrize(("now", "seconds"), [
    (Stamp(1_000_000_060_000, "b1", 560.0), 60),
    (Stamp(1_000_900_000_000, "b1", 560.0), 60),  # stepped: within one boot it is not asked
    (Stamp(999_000_000_000, "b1", 560.0), 60),
    (Stamp(1_000_000_060_000, "b2", 3.0), 60),
    (Stamp(999_999_999_000, "b2", 3.0), None),  # set back across the restart
    (Stamp(1_000_000_060_000, "", 0.0), 60),
    (Stamp(1_000_000_060_000, "b1", 400.0), None)])
def test_the_age_of_a_kept_list(now, seconds):
    assert age(BOOTED, now) == (seconds if seconds is None else pytest.approx(seconds))


@pytest.mark.parametrize(("stamp", "now"), [(Stamp(0, "", 0.0), BOOTED), (Stamp(0, "b0", 9.0), BOOTED)])
def test_a_list_that_nothing_is_known_of_has_no_age(stamp, now):
    assert age(stamp, now) is None and Churn().trust(None) == 0


@pytest.mark.parametrize(("changes", "watched", "seconds", "low", "high"), [
    (0, 0, 5, 0.999, 1), (0, 0, DAY, 0.36, 0.38), (0, 30 * DAY, DAY, 0.96, 0.97),
    (3000, 30 * DAY, 600, 0.5, 0.6),  # 100 changes a node and day
    (-1, 5, DAY, 0.36, 0.38), (float("nan"), float("inf"), DAY, 0.36, 0.38)])
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


@pytest.mark.parametrize(("trust", "named", "first", "again"), [
    (1.0, "n1", None, None), (BELIEVED, "n1", None, None),  # believed, and right
    (1.0, "stranger", False, None),  # believed, and refuted
    (0.5, "n1", True, None), (0.0, "n1", True, None), (0.5, "stranger", None, None)])
def test_what_an_answer_changes(trust, named, first, again):
    belief = Belief()
    belief.kept({"n1", "n2"}, trust)
    assert belief.answered("n1", named) is first and belief.answered("n1", named) is again
    assert ("n1" in belief.unsure) == (named != "n1")
    assert belief.spoken() == {n for n in ("n1", "n2") if (n == "n1" and named != "n1")
                               or (n == "n2" and trust < BELIEVED)}
    # a stranger at an address that the service stands by is the node's own trouble
    assert belief.answered("n1", "stranger") is None and not belief.unsure


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
