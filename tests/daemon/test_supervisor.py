"""The supervisor without processes: single cases, then random sequences of events."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from curlewhall.daemon.decide import (
    CRASH_LOOP_COUNT,
    CRASH_LOOP_WINDOW,
    FIRST_RESTART_PAUSE,
    LONGEST_RESTART_PAUSE,
    START_TIMEOUT,
    STOP_TIMEOUT,
    TAKEOVER_TIMEOUT,
    TICKS_PER_SECOND,
    Supervisor,
)


class SimulatedDaemon:
    """A supervisor whose processes are simulated; `actions` holds everything it returned."""

    def __init__(self, slots=1, serve=True):
        self.now, self.supervisor, self.actions = 100 * TICKS_PER_SECOND, Supervisor(slots), []
        self.event("start_all")
        if serve:
            for number in range(1, slots + 1):
                self.event("worker_ready", number)

    def event(self, name, *values):
        """Call a method of the supervisor; the actions it returns."""
        actions = list(getattr(self.supervisor, name)(self.now, *values))
        self.actions += actions
        return actions

    def wait(self, span):
        self.now += span
        return self.event("deadline_reached")

    def select(self, actions, *verbs):
        return [action for action in actions if action[0] in verbs]


def test_restart_hands_over_one_slot_after_the_other():
    daemon = SimulatedDaemon(2)
    assert daemon.select(daemon.event("command_requested", "restart"), "start", "done") == [
        ("start", 0, 3, True)
    ]
    assert daemon.select(daemon.event("worker_prepared", 3), "hand") == [("hand", 0, 1, 3)]
    assert daemon.select(daemon.event("worker_ready", 3), "start") == [("start", 1, 4, True)]
    daemon.event("worker_prepared", 4)
    assert ("done", "restart", True, "every worker was replaced") in daemon.event("worker_ready", 4)
    assert [w.state for w in daemon.supervisor.workers.values()] == [
        "leaving",
        "leaving",
        "serving",
        "serving",
    ]
    assert daemon.select(daemon.event("worker_exited", 1, "code 0"), "start", "say") == []


@pytest.mark.parametrize(
    ("state", "failure"), [("starting", "exit"), ("starting", "late"), ("taking", "exit"), ("taking", "late")]
)
def test_successor_that_fails_or_times_out_is_dropped_and_predecessor_keeps_serving(state, failure):
    daemon = SimulatedDaemon()
    daemon.event("command_requested", "reload")
    if state == "taking":
        daemon.event("worker_prepared", 2)
    if failure == "late":
        span = START_TIMEOUT if state == "starting" else TAKEOVER_TIMEOUT
        assert daemon.select(daemon.wait(span - 1), "kill") == []
        assert daemon.select(daemon.wait(1), "kill") == [("kill", 2)]
    actions = daemon.event("worker_exited", 2, "code 2")
    assert daemon.select(actions, "done", "start") == [
        ("done", "reload", False, "worker 0: the successor did not get ready: code 2")
    ]
    assert (
        daemon.supervisor.slots[0].serving.number == 1
        and daemon.supervisor.slots[0].serving.state == "serving"
    )
    assert daemon.select(daemon.event("command_requested", "restart"), "start") == [("start", 0, 3, True)]


def test_restart_pauses_grow_and_crash_loop_leaves_slot_down_until_restart():
    daemon, pauses, number = SimulatedDaemon(), [], 1
    for crash in range(CRASH_LOOP_COUNT):
        actions = daemon.event("worker_exited", number, "signal 9")
        crashed_at = daemon.now
        if crash < CRASH_LOOP_COUNT - 1:
            while not (started := daemon.select(daemon.wait(TICKS_PER_SECOND // 10), "start")):
                pass
            pauses.append(daemon.now - crashed_at)
            number = started[0][2]
    assert (
        pauses == sorted(pauses) and pauses[0] == FIRST_RESTART_PAUSE and pauses[-1] <= LONGEST_RESTART_PAUSE
    )
    assert (
        "stays down" in daemon.select(actions, "say")[0][1]
        and daemon.supervisor.status()[0]["state"] == "down"
    )
    assert daemon.select(daemon.wait(10 * LONGEST_RESTART_PAUSE), "start") == []
    actions = daemon.event("command_requested", "restart")
    assert len(daemon.select(actions, "start")) == 1
    assert daemon.select(daemon.event("worker_ready", number + 1), "done") == [
        ("done", "restart", True, "every worker was replaced")
    ]


def test_crashes_far_apart_do_not_count_as_crash_loop():
    daemon, number = SimulatedDaemon(), 1
    for _ in range(3 * CRASH_LOOP_COUNT):
        daemon.event("worker_exited", number, "code 1")
        number = daemon.select(daemon.wait(FIRST_RESTART_PAUSE), "start")[0][2]
        daemon.event("worker_ready", number)
        daemon.now += CRASH_LOOP_WINDOW + 1
    assert daemon.supervisor.status()[0]["state"] == "serving"


def test_successor_starts_alone_when_predecessor_exits_before_hand_over():
    daemon = SimulatedDaemon()
    daemon.event("command_requested", "restart")
    daemon.event("worker_exited", 1, "signal 9")
    assert daemon.select(daemon.event("worker_prepared", 2), "hand") == [("hand", 0, 0, 2)]
    assert daemon.select(daemon.event("worker_ready", 2), "done") == [
        ("done", "restart", True, "every worker was replaced")
    ]
    assert daemon.supervisor.status()[0]["worker"] == 2


@pytest.mark.parametrize("ending", ["exit", "late"])
def test_stop_lets_serving_workers_finish_and_kills_starting_ones(ending):
    daemon = SimulatedDaemon(2)
    daemon.event("command_requested", "restart")
    actions = daemon.event("command_requested", "stop")
    assert daemon.select(actions, "stop", "kill") == [("stop", 1), ("stop", 2), ("kill", 3)]
    assert daemon.select(actions, "done") == [("done", "restart", False, "the daemon is stopping")]
    daemon.event("worker_exited", 3, "signal 9")
    if ending == "late":
        assert daemon.select(daemon.wait(STOP_TIMEOUT), "kill") == [("kill", 1), ("kill", 2)]
    daemon.event("worker_exited", 1, "code 0")
    assert daemon.select(daemon.event("worker_exited", 2, "code 0"), "done", "end") == [
        ("done", "stop", True, "stopped"),
        ("end",),
    ]


def test_second_stop_hurries_and_third_does_nothing():
    daemon = SimulatedDaemon()
    daemon.event("command_requested", "stop")
    assert (
        daemon.event("command_requested", "stop") == [("hurry", 1)]
        and daemon.event("command_requested", "stop") == []
    )
    assert daemon.event("command_requested", "restart") == [("refused", "restart", "the daemon is stopping")]


def test_command_is_refused_while_another_is_in_progress():
    daemon = SimulatedDaemon()
    daemon.event("command_requested", "restart")
    assert daemon.event("command_requested", "reload") == [("refused", "reload", "a restart is under way")]


class SupervisorMachine(RuleBasedStateMachine):
    """Random sequences of worker messages, exits, commands and time."""

    def __init__(self):
        super().__init__()
        self.daemon, self.alive, self.dying, self.ended = SimulatedDaemon(2, serve=False), {}, set(), False
        self.check(self.daemon.actions)

    def check(self, actions):
        """Check that each action refers to a live process, and track the processes."""
        for verb, *rest in actions:
            if verb == "start":
                assert not self.daemon.supervisor.stopping, "started while stopping"
                self.alive[rest[1]] = "started"
            elif verb == "hand":
                assert rest[1] in (0, *self.alive) and rest[2] in self.alive
            elif verb in ("stop", "kill", "hurry"):
                assert rest[0] in self.alive, "action for a process that has exited"
                self.dying |= {rest[0]} if verb != "hurry" else set()
            elif verb == "end":
                assert not self.alive
                self.ended = True

    @rule(pick=st.integers(0, 9), name=st.sampled_from(["worker_prepared", "worker_ready"]))
    def worker_message(self, pick, name):
        if self.alive:
            self.check(self.daemon.event(name, sorted(self.alive)[pick % len(self.alive)]))

    @rule(pick=st.integers(0, 9))
    def worker_exits(self, pick):
        if self.alive:
            number = sorted(self.alive)[pick % len(self.alive)]
            del self.alive[number]
            self.dying.discard(number)
            self.check(self.daemon.event("worker_exited", number, "code 1"))

    @rule(what=st.sampled_from(["restart", "reload", "restart", "reload", "stop"]))
    def command(self, what):
        self.check(self.daemon.event("command_requested", what))

    @rule(span=st.integers(1, 40 * TICKS_PER_SECOND))
    def time_passes(self, span):
        self.check(self.daemon.wait(span))

    @invariant()
    def workers_match_processes(self):
        supervisor = self.daemon.supervisor
        assert set(supervisor.workers) == set(self.alive)
        for number, slot in enumerate(supervisor.slots):
            serving = [w for w in supervisor.workers.values() if w.slot == number and w.state == "serving"]
            assert serving in ([], [slot.serving])
            fresh = [
                w
                for w in supervisor.workers.values()
                if w.slot == number and w.state in ("starting", "taking")
            ]
            assert len(fresh) <= 1, "two processes started for one slot"
            if (
                not serving
                and not fresh
                and not supervisor.stopping
                and not any(w.slot == number for w in supervisor.workers.values())
            ):
                assert (
                    slot.down or slot.restart_at is not None
                ), "a slot without worker that is neither down nor restarted"


SupervisorMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True, database=None
)
TestSupervisorMachine = SupervisorMachine.TestCase
