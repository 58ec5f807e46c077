"""The driver alone, between a scripted module and scripted viewers' and nodes' sides."""

import asyncio

import pytest
from loopback import looped

from curlewhall import logs
from curlewhall.front.driver import ActivePlay, Driver
from curlewhall.wire.forms import PlayInfo, Title
from curlewhall.wire.timers import Timers


class Script:
    """Test double for the module and for each side: records its calls and returns prepared results."""

    def __init__(self, *_):
        self.calls, self.results = [], {}

    def __getattr__(self, name):
        def called(*args, **kwargs):
            self.calls.append((name, *args))
            result = self.results.get(name, ())
            return result(*args) if callable(result) else result

        return called

    def names(self):
        return [call[0] for call in self.calls]


class SentAllocation:
    """An allocation whose set-up was sent."""

    def __init__(self, done):
        self.done, self.withdraw = done, lambda: done("withdrawn")


class Rig:
    def __init__(self, limit=300):
        self.module, self.nodes, self.viewers = Script(), Script(), Script()
        log = logs.make_logger("json", "error")
        self.driver = Driver(lambda *_: self.module, 1, {}, Timers(asyncio.get_running_loop()), log)
        self.driver.nodes, self.driver.viewers, self.driver.moves = self.nodes, self.viewers, Script()
        self.nodes.results["set_up"] = lambda active_play, number, node, span: SentAllocation(
            lambda how: self.driver.allocation_ended(active_play, number, node, how, 0.01, {})
        )
        self.active_play = ActivePlay(
            PlayInfo("p", 0, "plain", "", "v", "t", 2, 0),
            Title("t", 0, 3, 60),
            None,
            self.driver.clock.now() + limit * 10,
            self.driver.clock.now(),
        )

    def ask(self, *answers):
        self.module.results["asked"] = answers
        self.driver.accept_request(self.active_play, again=False, moved=False)


ALLOCATE = ("allocate", "p", "n", 1000)


@looped
async def test_call_caused_by_an_action_waits_until_the_remaining_actions_are_executed():
    rig = Rig()
    rig.ask(("rung", "p", 2), ALLOCATE, ("withdraw", "p", 0), ("log", "a"), ("probe", "n"))
    assert rig.nodes.names() == ["set_up", "end", "probe"]
    assert rig.module.names() == ["asked", "ended"]
    assert rig.module.calls[1][2:6] == ("p", 0, "n", "withdrawn")


@looped
@pytest.mark.parametrize(
    ("how", "ends"),
    [("late", 1), ("broken", 1), ("error", 1), ("full", 0), ("unreached", 0), ("not_sent", 0)],
)
async def test_allocation_that_may_have_run_is_ended_at_its_node_and_reported_to_the_module(how, ends):
    rig = Rig()
    rig.module.results["ended"] = [("decline", "p", 0)]
    rig.ask(ALLOCATE)
    rig.driver.allocation_ended(rig.active_play, 0, "n", how, 0.1, {})
    assert rig.nodes.names().count("end") == ends and rig.viewers.names() == ["decline"]
    assert rig.module.calls[-1][2:7] == ("p", 0, "n", how, False) and not rig.driver.plays


@looped
async def test_first_frame_gives_one_answer_and_its_report_becomes_notes():
    rig = Rig()
    rig.ask(ALLOCATE, ("rung", "p", 1))
    rig.driver.allocation_ended(rig.active_play, 0, "n", "ok", 0.1, {"link_asked": 0.5, "uplink_asked": 0.2})
    assert rig.module.names() == ["asked", "first_frame", "note", "note"] and rig.viewers.names() == ["play"]
    rig.module.results["note"] = [("rung", "p", 0), ("fail", "p"), ("decline", "p", 9)]
    rig.driver.play_noted("p", "n", "delivered", 0.5)
    assert rig.nodes.calls[-1] == ("set_rung", "n", "p", 0, 0) and rig.viewers.names() == ["play"]
    rig.driver.play_ended("p", "ok")
    rig.driver.play_ended("p", "ok")
    assert rig.module.names().count("ended") == 1 and not rig.driver.plays


@looped
async def test_viewer_is_answered_before_the_module_is_told_of_the_first_frame():
    rig, module_calls = Rig(), []
    rig.viewers.results["play"] = lambda *_: module_calls.append(list(rig.module.names()))
    rig.ask(ALLOCATE)
    rig.driver.allocation_ended(rig.active_play, 0, "n", "ok", 0.1, {})
    assert module_calls == [["asked"]] and rig.module.names() == ["asked", "first_frame"]


@looped
async def test_play_without_a_module_action_is_failed_at_its_deadline():
    rig = Rig(limit=20)
    rig.ask()
    while not rig.viewers.names():
        await asyncio.sleep(0.001)
    assert rig.viewers.names() == ["fail"] and rig.module.names() == ["asked", "left"]
    assert rig.driver.clock.now() >= rig.active_play.deadline and not rig.driver.plays


@looped
async def test_exception_of_the_module_is_counted_and_the_play_is_still_answered():
    rig = Rig(limit=20)
    rig.module.results["asked"] = lambda *_: 1 / 0
    rig.driver.accept_request(rig.active_play, again=False, moved=False)
    assert rig.driver.counts["faults"] == 1
    while not rig.viewers.names():
        await asyncio.sleep(0.001)
    assert rig.viewers.names() == ["fail"]


@looped
async def test_exception_in_an_action_drops_no_other_action_and_no_queued_call():
    rig = Rig()
    rig.peers = rig.driver.peers = Script()
    rig.peers.results["send"] = lambda *_: 1 / 0
    rig.nodes.results["probe"] = lambda node: rig.driver.dispatch("probed", node, "ok", 0, {})
    rig.ask(("probe", "n"), ("tell", None, b""), ALLOCATE)
    assert rig.nodes.names() == ["probe", "set_up"] and rig.driver.counts["faults"] == 1
    assert rig.module.names() == ["asked", "probed"] and not rig.driver.queued_calls


@looped
async def test_viewer_that_hung_up_gets_no_answer_and_its_allocation_is_withdrawn():
    rig = Rig()
    rig.ask(ALLOCATE)
    rig.driver.viewer_left(rig.active_play)
    rig.driver.viewer_left(rig.active_play)
    assert rig.module.names() == ["asked", "left", "ended"] and rig.viewers.names() == []
    assert rig.module.calls[-1][5:7] == ("withdrawn", True) and not rig.driver.plays


@looped
async def test_first_frame_after_the_viewer_left_is_ended_at_the_node():
    rig = Rig()
    # A withdrawal has no effect on this allocation: the response is already on its way.
    rig.nodes.results["set_up"] = lambda *_: Script()
    rig.ask(ALLOCATE)
    rig.driver.viewer_left(rig.active_play)
    rig.driver.allocation_ended(rig.active_play, 0, "n", "ok", 0.1, {})
    assert rig.nodes.calls[-1] == ("end", "n", "p", 0, "withdrawn") and not rig.driver.plays


@looped
async def test_moved_play_is_ended_at_its_node_and_reported_to_the_viewers_side():
    rig = Rig()
    rig.ask(ALLOCATE)
    rig.driver.allocation_ended(rig.active_play, 0, "n", "ok", 0.1, {})
    rig.module.results["note"] = [("move", "p")]
    rig.driver.play_noted("p", "n", "delivered", 0.5)
    assert rig.nodes.calls[-1] == ("end", "n", "p", 0, "moved") and rig.viewers.names() == ["play", "moved"]
    assert rig.module.calls[-1][5] == "withdrawn" and not rig.driver.plays
