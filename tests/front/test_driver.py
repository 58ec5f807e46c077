"""The driver alone: a scripted module above, a scripted nodes' side below."""

import asyncio

import pytest
from loopback import looped

from curlewhall import logs
from curlewhall.front.driver import ActivePlay, Driver
from curlewhall.wire.forms import PlayInfo, Title
from curlewhall.wire.timers import Timers


class Script:
    """Stands for module, nodes' side and viewers' side: writes down what it is told, says what it is bid."""

    def __init__(self, *_):
        self.calls, self.says = [], {}

    def __getattr__(self, name):
        def called(*facts, **named):
            self.calls.append((name, *facts))
            said = self.says.get(name, ())
            return said(*facts) if callable(said) else said

        return called

    def names(self):
        return [call[0] for call in self.calls]


class Out:
    """An allocation that is out."""

    def __init__(self, done):
        self.done, self.withdraw = done, lambda: done("withdrawn")


class Rig:
    def __init__(self, limit=300):
        self.module, self.nodes, self.viewers = Script(), Script(), Script()
        log = logs.make("json", "error")
        self.driver = Driver(lambda *_: self.module, 1, {}, Timers(asyncio.get_running_loop()), log)
        self.driver.nodes, self.driver.viewers, self.driver.moves = self.nodes, self.viewers, Script()
        self.nodes.says["set_up"] = lambda active_play, number, node, span: Out(
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
        self.module.says["asked"] = answers
        self.driver.accept_request(self.active_play, again=False, moved=False)


ALLOCATE = ("allocate", "p", "n", 1000)


@looped
async def test_what_follows_from_an_answer_waits_until_the_list_of_answers_is_done():
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
async def test_what_may_have_run_is_ended_at_its_node_and_told_to_the_module(how, ends):
    rig = Rig()
    rig.module.says["ended"] = [("decline", "p", 0)]
    rig.ask(ALLOCATE)
    rig.driver.allocation_ended(rig.active_play, 0, "n", how, 0.1, {})
    assert rig.nodes.names().count("end") == ends and rig.viewers.names() == ["decline"]
    assert rig.module.calls[-1][2:7] == ("p", 0, "n", how, False) and not rig.driver.plays


@looped
async def test_a_first_frame_is_one_answer_and_notes_follow_it():
    rig = Rig()
    rig.ask(ALLOCATE, ("rung", "p", 1))
    rig.driver.allocation_ended(rig.active_play, 0, "n", "ok", 0.1, {"link_asked": 0.5, "uplink_asked": 0.2})
    assert rig.module.names() == ["asked", "first_frame", "note", "note"] and rig.viewers.names() == ["play"]
    rig.module.says["note"] = [("rung", "p", 0), ("fail", "p"), ("decline", "p", 9)]
    rig.driver.play_noted("p", "n", "delivered", 0.5)
    assert rig.nodes.calls[-1] == ("set_rung", "n", "p", 0, 0) and rig.viewers.names() == ["play"]
    rig.driver.play_ended("p", "ok")
    rig.driver.play_ended("p", "ok")
    assert rig.module.names().count("ended") == 1 and not rig.driver.plays


@looped
async def test_the_answer_leaves_before_the_module_reckons_with_the_first_frame():
    rig, heard = Rig(), []
    rig.viewers.says["play"] = lambda *_: heard.append(list(rig.module.names()))
    rig.ask(ALLOCATE)
    rig.driver.allocation_ended(rig.active_play, 0, "n", "ok", 0.1, {})
    assert heard == [["asked"]] and rig.module.names() == ["asked", "first_frame"]


@looped
async def test_a_module_that_says_nothing_is_answered_for_at_the_limit():
    rig = Rig(limit=20)
    rig.ask()
    while not rig.viewers.names():
        await asyncio.sleep(0.001)
    assert rig.viewers.names() == ["fail"] and rig.module.names() == ["asked", "left"]
    assert rig.driver.clock.now() >= rig.active_play.deadline and not rig.driver.plays


@looped
async def test_a_module_that_fails_costs_no_other_play():
    rig = Rig(limit=20)
    rig.module.says["asked"] = lambda *_: 1 / 0
    rig.driver.accept_request(rig.active_play, again=False, moved=False)
    assert rig.driver.counts["faults"] == 1
    while not rig.viewers.names():
        await asyncio.sleep(0.001)
    assert rig.viewers.names() == ["fail"]


@looped
async def test_an_answer_that_can_not_be_carried_out_costs_no_other_answer_and_no_other_call():
    rig = Rig()
    rig.peers = rig.driver.peers = Script()
    rig.peers.says["send"] = lambda *_: 1 / 0
    rig.nodes.says["probe"] = lambda node: rig.driver.dispatch("probed", node, "ok", 0, {})
    rig.ask(("probe", "n"), ("tell", None, b""), ALLOCATE)
    assert rig.nodes.names() == ["probe", "set_up"] and rig.driver.counts["faults"] == 1
    assert rig.module.names() == ["asked", "probed"] and not rig.driver.queued_calls


@looped
async def test_a_viewer_who_left_gets_no_answer_and_its_allocation_ends():
    rig = Rig()
    rig.ask(ALLOCATE)
    rig.driver.viewer_left(rig.active_play)
    rig.driver.viewer_left(rig.active_play)
    assert rig.module.names() == ["asked", "left", "ended"] and rig.viewers.names() == []
    assert rig.module.calls[-1][5:7] == ("withdrawn", True) and not rig.driver.plays


@looped
async def test_a_first_frame_that_crosses_a_viewers_leaving_is_ended_at_the_node():
    rig = Rig()
    rig.nodes.says["set_up"] = lambda *_: Script()  # its answer is already on its way
    rig.ask(ALLOCATE)
    rig.driver.viewer_left(rig.active_play)
    rig.driver.allocation_ended(rig.active_play, 0, "n", "ok", 0.1, {})
    assert rig.nodes.calls[-1] == ("end", "n", "p", 0, "withdrawn") and not rig.driver.plays


@looped
async def test_a_moved_play_ends_at_its_node_and_may_come_again():
    rig = Rig()
    rig.ask(ALLOCATE)
    rig.driver.allocation_ended(rig.active_play, 0, "n", "ok", 0.1, {})
    rig.module.says["note"] = [("move", "p")]
    rig.driver.play_noted("p", "n", "delivered", 0.5)
    assert rig.nodes.calls[-1] == ("end", "n", "p", 0, "moved") and rig.viewers.names() == ["play", "moved"]
    assert rig.module.calls[-1][5] == "withdrawn" and not rig.driver.plays
