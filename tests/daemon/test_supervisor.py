"""The supervisor alone: tables of cases, then any order of events."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from curlewhall.daemon.decide import (
    FIRST_PAUSE,
    HAND_WITHIN,
    LONGEST_PAUSE,
    LOOP,
    LOOP_WITHIN,
    READY_WITHIN,
    SECOND,
    STOP_WITHIN,
    Supervisor,
)


class Rig:
    """A supervisor with its processes played: everything asked for is remembered."""

    def __init__(self, slots=1, serve=True):
        self.now, self.sup, self.said = 100 * SECOND, Supervisor(slots), []
        self.hear("begin")
        if serve:
            for number in range(1, slots + 1):
                self.hear("ready", number)

    def hear(self, name, *facts):
        said = list(getattr(self.sup, name)(self.now, *facts))
        self.said += said
        return said

    def wait(self, span):
        self.now += span
        return self.hear("wake")

    def verbs(self, said, *wanted):
        return [answer for answer in said if answer[0] in wanted]


def test_a_restart_hands_over_one_slot_after_the_other():
    rig = Rig(2)
    assert rig.verbs(rig.hear("asked", "restart"), "start", "done") == [("start", 0, 3, True)]
    assert rig.verbs(rig.hear("prepared", 3), "hand") == [("hand", 0, 1, 3)]
    assert rig.verbs(rig.hear("ready", 3), "start") == [("start", 1, 4, True)]
    rig.hear("prepared", 4)
    assert ("done", "restart", True, "every worker was replaced") in rig.hear("ready", 4)
    assert [w.state for w in rig.sup.workers.values()] == ["leaving", "leaving", "serving", "serving"]
    assert rig.verbs(rig.hear("exited", 1, "code 0"), "start", "say") == []


@pytest.mark.parametrize(
    ("until", "how"), [("starting", "exit"), ("starting", "late"), ("taking", "exit"), ("taking", "late")]
)
def test_a_successor_that_does_not_get_ready_is_given_up_and_the_old_one_goes_on(until, how):
    rig = Rig()
    rig.hear("asked", "reload")
    if until == "taking":
        rig.hear("prepared", 2)
    if how == "late":
        span = READY_WITHIN if until == "starting" else HAND_WITHIN
        assert rig.verbs(rig.wait(span - 1), "kill") == []
        assert rig.verbs(rig.wait(1), "kill") == [("kill", 2)]
    said = rig.hear("exited", 2, "code 2")
    assert rig.verbs(said, "done", "start") == [
        ("done", "reload", False, "worker 0: the successor did not get ready: code 2")
    ]
    assert rig.sup.slots[0].serving.number == 1 and rig.sup.slots[0].serving.state == "serving"
    assert rig.verbs(rig.hear("asked", "restart"), "start") == [("start", 0, 3, True)]


def test_pauses_grow_and_a_crash_loop_stops_and_is_said():
    rig, pauses, number = Rig(), [], 1
    for crash in range(LOOP):
        said = rig.hear("exited", number, "signal 9")
        begun = rig.now
        if crash < LOOP - 1:
            while not (started := rig.verbs(rig.wait(SECOND // 10), "start")):
                pass
            pauses.append(rig.now - begun)
            number = started[0][2]
    assert pauses == sorted(pauses) and pauses[0] == FIRST_PAUSE and pauses[-1] <= LONGEST_PAUSE
    assert "stays down" in rig.verbs(said, "say")[0][1] and rig.sup.state()[0]["state"] == "down"
    assert rig.verbs(rig.wait(10 * LONGEST_PAUSE), "start") == []
    said = rig.hear("asked", "restart")
    assert len(rig.verbs(said, "start")) == 1
    assert rig.verbs(rig.hear("ready", number + 1), "done") == [
        ("done", "restart", True, "every worker was replaced")
    ]


def test_crashes_far_apart_are_no_loop():
    rig, number = Rig(), 1
    for _ in range(3 * LOOP):
        rig.hear("exited", number, "code 1")
        number = rig.verbs(rig.wait(FIRST_PAUSE), "start")[0][2]
        rig.hear("ready", number)
        rig.now += LOOP_WITHIN + 1
    assert rig.sup.state()[0]["state"] == "serving"


def test_a_predecessor_that_dies_before_it_hands_over_leaves_its_successor_to_the_disk():
    rig = Rig()
    rig.hear("asked", "restart")
    rig.hear("exited", 1, "signal 9")
    assert rig.verbs(rig.hear("prepared", 2), "hand") == [("hand", 0, 0, 2)]
    assert rig.verbs(rig.hear("ready", 2), "done") == [("done", "restart", True, "every worker was replaced")]
    assert rig.sup.state()[0]["worker"] == 2


@pytest.mark.parametrize("leave", ["exit", "late"])
def test_a_stop_lets_those_that_took_something_answer_and_ends_the_rest(leave):
    rig = Rig(2)
    rig.hear("asked", "restart")
    said = rig.hear("asked", "stop")
    assert rig.verbs(said, "stop", "kill") == [("stop", 1), ("stop", 2), ("kill", 3)]
    assert rig.verbs(said, "done") == [("done", "restart", False, "the daemon is stopping")]
    rig.hear("exited", 3, "signal 9")
    if leave == "late":
        assert rig.verbs(rig.wait(STOP_WITHIN), "kill") == [("kill", 1), ("kill", 2)]
    rig.hear("exited", 1, "code 0")
    assert rig.verbs(rig.hear("exited", 2, "code 0"), "done", "end") == [
        ("done", "stop", True, "stopped"),
        ("end",),
    ]


def test_a_second_stop_hurries_and_a_third_changes_nothing():
    rig = Rig()
    rig.hear("asked", "stop")
    assert rig.hear("asked", "stop") == [("hurry", 1)] and rig.hear("asked", "stop") == []
    assert rig.hear("asked", "restart") == [("refused", "restart", "the daemon is stopping")]


def test_one_wish_at_a_time():
    rig = Rig()
    rig.hear("asked", "restart")
    assert rig.hear("asked", "reload") == [("refused", "reload", "a restart is under way")]


class AnyOrder(RuleBasedStateMachine):
    """Any order of words, deaths and pauses."""

    def __init__(self):
        super().__init__()
        self.rig, self.alive, self.dying, self.ended = Rig(2, serve=False), {}, set(), False
        self.told(self.rig.said)

    def told(self, said):
        for verb, *rest in said:
            if verb == "start":
                assert not self.rig.sup.stopping, "started while stopping"
                self.alive[rest[1]] = "started"
            elif verb == "hand":
                assert rest[1] in (0, *self.alive) and rest[2] in self.alive
            elif verb in ("stop", "kill", "hurry"):
                assert rest[0] in self.alive, "said to the dead"
                self.dying |= {rest[0]} if verb != "hurry" else set()
            elif verb == "end":
                assert not self.alive
                self.ended = True

    @rule(pick=st.integers(0, 9), word=st.sampled_from(["prepared", "ready"]))
    def says(self, pick, word):
        if self.alive:
            self.told(self.rig.hear(word, sorted(self.alive)[pick % len(self.alive)]))

    @rule(pick=st.integers(0, 9))
    def dies(self, pick):
        if self.alive:
            number = sorted(self.alive)[pick % len(self.alive)]
            del self.alive[number]
            self.dying.discard(number)
            self.told(self.rig.hear("exited", number, "code 1"))

    @rule(what=st.sampled_from(["restart", "reload", "restart", "reload", "stop"]))
    def wishes(self, what):
        self.told(self.rig.hear("asked", what))

    @rule(span=st.integers(1, 40 * SECOND))
    def passes(self, span):
        self.told(self.rig.wait(span))

    @invariant()
    def books_agree(self):
        sup = self.rig.sup
        assert set(sup.workers) == set(self.alive)
        for number, slot in enumerate(sup.slots):
            serving = [w for w in sup.workers.values() if w.slot == number and w.state == "serving"]
            assert serving in ([], [slot.serving])
            fresh = [
                w for w in sup.workers.values() if w.slot == number and w.state in ("starting", "taking")
            ]
            assert len(fresh) <= 1, "two processes started for one slot"
            if (
                not serving
                and not fresh
                and not sup.stopping
                and not any(w.slot == number for w in sup.workers.values())
            ):
                assert slot.down or slot.again is not None, "a slot that nobody looks after"


AnyOrder.TestCase.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True, database=None
)
TestAnyOrder = AnyOrder.TestCase
