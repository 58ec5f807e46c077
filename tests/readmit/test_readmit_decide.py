"""Turns: tables of who comes when, then any order."""

import pytest

from curlewhall.readmit.decide import EARLY, GONE, LEAST, LONGEST, NEWCOMERS, OVER, START, Readmit

S = 10_000
WEIGHTS = {"cheap": 1.0, "dear": 2.0, "paid": 3.0}


class Rig:
    def __init__(self, usual=10, seed=3, most=60 * S):
        self.now, self.count = 100 * S, 0
        self.readmit = Readmit(self.now, seed, WEIGHTS, frozenset(["paid"]), most)
        for _ in range(40 * usual):
            self.now += S // usual
            self.ask()
            self.readmit.placed(self.now, f"v{self.count}")

    def ask(self, viewer=None, product="cheap", again=False, **more):
        if viewer is None:
            self.count += 1
            viewer = f"v{self.count}"
        return self.readmit.asked(self.now, viewer, product, again, **more)

    def break_off(self, plays=20):
        for _ in range(plays):
            self.readmit.lost(self.now)

    @property
    def storm(self):
        return self.readmit.crowd is not None


@pytest.fixture
def rig():
    return Rig()


def test_in_the_calm_and_in_a_surge_of_newcomers_all_go_to_the_module(rig):
    assert not rig.storm and abs(rig.readmit.calm.placed - 10) < 2
    assert all(rig.ask() is None for _ in range(500)) and not rig.storm
    assert rig.readmit.turned(rig.now, "v1", "cheap", 777) == 777  # and is told what the module says


@pytest.mark.parametrize(("plays", "storm"), [(1, False), (4, False), (5, True), (100, True)])
def test_plays_that_break_off_together_begin_a_storm(rig, plays, storm):
    rig.break_off(plays)
    assert rig.storm == storm


def test_another_fronts_crowd_is_seen_by_its_returning_viewers(rig):
    for _ in range(60):
        rig.ask(again=True)
    assert rig.storm


@pytest.mark.parametrize("viewers", [0, 4, 5, 2000])
def test_plays_held_by_a_former_process_are_expected(rig, viewers):
    rig.readmit.expect(rig.now, viewers)
    assert rig.storm == (viewers >= 5)


def test_a_crowd_gets_turns_one_after_the_other_at_the_rate(rig):
    rig.break_off()
    spans = [rig.ask(again=True) for _ in range(300)]
    later = [span for span in spans if span is not None]
    rate = START * rig.readmit.calm.placed * (1 - NEWCOMERS)
    assert min(later) >= LEAST and all(span <= LONGEST for span in later)
    for second in range(1, 15):
        inside = sum(second * S <= span < (second + 1) * S for span in later)
        assert inside <= 1.3 * rate + 2
    assert len(set(later)) > 0.9 * len([s for s in later if s < LONGEST])  # each its own moment


def test_paid_plays_and_those_whose_turn_is_due_go_in(rig):
    rig.break_off()
    assert all(rig.ask(product="paid", again=True) is None for _ in range(50))
    span = next(span for i in range(50) if (span := rig.ask(f"w{i}", again=True)) is not None)
    viewer = next(iter(rig.readmit.turns))
    assert rig.ask(viewer, again=True) > 0  # at once again: too early
    rig.now += span + EARLY
    assert rig.ask(viewer, again=True) is None


def test_who_asks_again_and_again_keeps_its_turn_and_no_more(rig):
    rig.break_off()
    for i in range(100):
        rig.ask(f"w{i}", again=True)
    due = rig.readmit.turns["w50"].due
    for _ in range(50):
        rig.now += S // 100
        assert rig.ask("w50", again=True) == due - rig.now
    assert rig.readmit.turns["w50"].due == due


def test_dearer_ones_wait_less(rig):
    rig.break_off()
    waits = {"cheap": [], "dear": []}
    for _ in range(60):
        for product, spans in waits.items():
            spans.append(rig.ask(product=product, again=True))
    mean = {p: sum(s or 0 for s in spans) / len(spans) for p, spans in waits.items()}
    assert mean["dear"] < 0.8 * mean["cheap"]


def test_newcomers_are_not_starved_and_do_not_go_before(rig):
    rig.break_off()
    for i in range(300):
        rig.ask(f"w{i}", again=True)
    let = 0
    for _ in range(200):  # 20 newcomers a second for ten seconds
        rig.now += S // 20
        let += rig.ask() is None
    rate = rig.readmit.crowd.rate
    assert 0.5 * 10 * NEWCOMERS * START * 10 < let < 1.5 * 10 * NEWCOMERS * rate


def test_nobody_waits_longer_than_stated(rig):
    rig.break_off()
    for i in range(5000):
        rig.ask(f"w{i}", again=True)
    waiting, came = {"w4999"}, 0
    since = rig.now
    while waiting:
        span = rig.ask("w4999", again=True)
        if span is None:
            waiting.clear()
        else:
            rig.now += span
            came += 1
        assert rig.now - since <= LONGEST + LEAST and came < 50


def test_turned_away_by_the_module_it_waits_on_from_where_it_was(rig):
    rig.break_off()
    for i in range(50):
        rig.ask(f"w{i}", again=True)
    viewer, mine = next(iter(rig.readmit.turns.items()))
    since = mine.since
    rig.now = mine.due
    assert rig.ask(viewer, again=True) is None
    assert rig.readmit.turned(rig.now, viewer, "cheap", 777) >= LEAST
    assert rig.readmit.turns[viewer].since == since


def test_the_rate_falls_when_too_many_are_turned_away_and_grows_slowly(rig):
    rig.break_off()
    begin = rig.readmit.crowd.rate
    for i in range(40):
        rig.now += S // 20
        rig.ask(f"w{i}", again=True)
        rig.readmit.turned(rig.now, f"w{i}", "cheap", 777)
    assert rig.readmit.crowd.rate < begin
    low = rig.readmit.crowd.rate
    for i in range(100):
        rig.now += S // 20
        rig.ask(f"x{i}", again=True)
    assert low < rig.readmit.crowd.rate < low + 10 * begin


def test_a_storm_ends_when_nobody_is_expected_any_more(rig):
    rig.break_off()
    for i in range(10):
        rig.ask(f"w{i}", again=True)
    rig.now += GONE + LONGEST + OVER + S
    for _ in range(8):
        rig.now += S
        rig.ask()
    assert not rig.storm


def test_fronts_draw_apart():
    firsts = set()
    for seed in range(10):
        rig = Rig(seed=seed)
        rig.break_off()
        for i in range(40):
            rig.ask(f"w{i}", again=True)
        firsts.add(rig.readmit.turns["w39"].due)
    assert len(firsts) == 10


def test_a_turn_of_another_front_is_good_once(rig):
    rig.break_off()
    assert rig.readmit.use(rig.now, "abc", rig.now + S) and not rig.readmit.use(rig.now, "abc", rig.now + S)
    assert rig.ask("w", again=True, waited=5 * S) is None  # due as it comes, and goes before who has none
    assert rig.readmit.turned(rig.now, "w", "cheap", 1) and rig.readmit.turns["w"].since == rig.now - 5 * S
