"""Moves of plays from drained nodes over loopback, with and without faults on the way."""

import asyncio
import subprocess
import sys

import pytest
from front.deployment import deployment, until
from loopback import looped

from curlewhall.dash import manifest
from curlewhall.drills.baselines import TwoDrawn
from curlewhall.wire.http import request_bytes


async def follow(env, plan):
    """Fetch the manifest again from its Location, as a player does when its node no longer has the play."""
    path = "/" + plan.location.split("/", 3)[3]
    reply = await env.pool.fetch(request_bytes("GET", path, env.pool.host), 20)
    return reply.message


def setup_nodes(env):
    return [row["at"][5:] for row in env.rows("setup")]


@looped
@pytest.mark.parametrize("product", ["plain", "paid"])
async def test_viewer_of_a_drained_node_gets_the_next_segment_from_another_node(tmp_path, product):
    async with deployment(tmp_path, TwoDrawn, nodes=4) as env:
        _, plan = await env.ask(product=product)
        assert (await env.segment(plan, 1)).status == 200
        (first,) = setup_nodes(env)
        env.fault("drain", nodes=[first])
        await until(lambda: env.fronts[0].driver.counts["moved"] == 1)
        assert (await env.segment(plan, 2)).status == 410
        message = await follow(env, plan)
        moved = manifest.read(message.body)
        assert message.status == 200 and (moved.rungs, moved.first) == (plan.rungs, plan.first)
        segment = await env.segment(moved, 2)
        assert segment.status == 200 and segment.body.startswith(b"00000002")
        assert (await env.segment(moved, 2, token=plan.token)).status == 403  # each node has its own token
        assert len(setup_nodes(env)) == 2 and len(set(setup_nodes(env))) == 2
        (ended,) = [row for row in env.rows("end") if row["why"] == "moved"]
        assert ended["t"] <= env.rows("setup")[1]["t"]  # ended at the old node before the new set-up
        assert not env.fronts[0].driver.moves.progress()[first]["held"]


class DecliningPolicy(TwoDrawn):
    """Reports room and then declines a moved play, `refusals` times."""

    refusals = 0

    def has_room(self, *args):
        return True

    def asked(self, now, play, *args):
        if args[-2] and DecliningPolicy.refusals:
            DecliningPolicy.refusals -= 1
            return [("decline", play, 0)]
        return super().asked(now, play, *args)


@looped
@pytest.mark.parametrize(("refusals", "early", "status"), [(2, False, 200), (2, True, 200), (99, True, 503)])
async def test_move_declined_by_the_module_is_retried_until_the_buffer_runs_out(
    tmp_path, refusals, early, status
):
    async with deployment(tmp_path, DecliningPolicy, nodes=4) as env:
        DecliningPolicy.refusals = refusals
        front = env.fronts[0]
        _, plan = await env.ask()
        (active_play,) = front.driver.plays.values()
        front.driver.moves.buffer_reported(active_play.info.play, 3.0)
        env.fault("drain", nodes=[active_play.node])
        await until(lambda: front.driver.moves.retrying)
        if not early:
            await until(lambda: front.driver.counts["moved"])
        message = await follow(env, plan)  # early: one request waits over all attempts
        assert message.status == status
        if status == 200:
            assert front.driver.counts["moved"] == 1 and front.driver.counts["declined"] == 0
            assert (await env.segment(manifest.read(message.body), 2)).status == 200
        else:
            assert front.driver.counts["declined"] == 1 and len(setup_nodes(env)) == 1
        assert not front.driver.moves.retrying


@looped
async def test_viewer_that_leaves_between_two_attempts_ends_the_move(tmp_path):
    async with deployment(tmp_path, DecliningPolicy, nodes=4) as env:
        DecliningPolicy.refusals = 99
        front = env.fronts[0]
        _, plan = await env.ask()
        (active_play,) = front.driver.plays.values()
        front.driver.moves.buffer_reported(active_play.info.play, 30.0)
        env.fault("drain", nodes=[active_play.node])
        await until(lambda: front.driver.moves.retrying)
        ask = env.pool.request(
            request_bytes("GET", "/" + plan.location.split("/", 3)[3], env.pool.host),
            20,
            lambda reply: None,
        )
        await until(
            lambda: front.server.connections and any(line.exchanges for line in front.server.connections)
        )
        ask.withdraw()
        await until(lambda: not front.driver.moves.mover.plays and not front.driver.plays)
        assert len(setup_nodes(env)) == 1 and not front.driver.moves.retrying


@looped
async def test_has_room_does_not_change_the_module(tmp_path):
    async with deployment(tmp_path, nodes=4) as env:
        _, plan = await env.ask(product="paid")
        module = env.fronts[0].driver.module
        (active_play,) = env.fronts[0].driver.plays.values()
        now = env.fronts[0].driver.clock.now()
        before = (
            module.draws,
            list(module.answers),
            sorted(module.plays),
            [len(n.plays) for n in module.nodes.values()],
        )
        for count in (7, 0):  # every env, or none
            found = module.has_room(now, active_play.info.play, "paid", "", "v", "clip-00", 0, count, 3)
            assert found == bool(count)
        assert before == (
            module.draws,
            list(module.answers),
            sorted(module.plays),
            [len(n.plays) for n in module.nodes.values()],
        )
        assert module.plays[active_play.info.play].title == "clip-00"


@looped
async def test_drained_node_that_is_the_only_holder_keeps_its_plays(tmp_path):
    async with deployment(tmp_path, TwoDrawn, nodes=1) as env:
        _, plan = await env.ask()
        env.fault("drain")
        await until(
            lambda: env.fronts[0].driver.moves.mover.plays
            and next(iter(env.fronts[0].driver.moves.mover.plays.values())).attempts
        )
        assert (await env.segment(plan)).status == 200 and not env.fronts[0].driver.counts["moved"]


@looped
async def test_paid_move_to_a_frozen_node_fails_after_one_set_up_and_the_viewer_can_ask_again(tmp_path):
    async with deployment(tmp_path, TwoDrawn, nodes=2) as env:
        env.plan["products"][2] |= {"limit_ms": 800, "target_ms": 800}
        await env.kill(env.fronts[0])
        front = await env.front(TwoDrawn)
        _, plan = await env.ask(product="paid", limit_ms=800)
        (first,) = setup_nodes(env)
        other = ({"n000", "n001"} - {first}).pop()
        env.fault("freeze_setups", nodes=[other])
        env.fault("drain", nodes=[first])
        await until(lambda: front.driver.counts["failed"] == 1)
        assert setup_nodes(env) == [first, other]
        assert front.driver.moves.progress()[first]["lost"] == 1
        env.fault("freeze_setups", 0, nodes=[other])
        assert (await follow(env, plan)).status == 200  # a new play, as for any repeated request
        plays = [row["play"] for row in env.rows("setup")]
        assert len(plays) == len(set(plays)) == 3


@looped
async def test_play_stays_if_its_node_does_not_confirm_the_end(tmp_path):
    async with deployment(tmp_path, TwoDrawn, nodes=3) as env:
        await env.ask()
        (first,) = setup_nodes(env)
        env.fault("freeze", nodes=[first])
        mover = env.fronts[0].driver.moves.mover
        env.fault("drain", nodes=[first])
        # The end was requested and the request has timed out.
        await until(
            lambda: '"move started"' in (tmp_path / "front.log").read_text()
            and not any(tracked.phase for tracked in mover.plays.values())
        )
        assert setup_nodes(env) == [first] and mover.progress()[first]["held"] == 1
        assert env.fronts[0].driver.counts["ended"] == 0


@looped
async def test_cancelled_drain_stops_and_a_drain_continues_after_a_front_restart(tmp_path):
    async with deployment(tmp_path, TwoDrawn, nodes=6) as env:
        for i in range(30):
            await env.ask(viewer=f"v{i}")
        first = max(set(setup_nodes(env)), key=setup_nodes(env).count)
        front = env.fronts[0]
        here = sum(active_play.node == first for active_play in front.driver.plays.values())
        env.fault("drain", nodes=[first])
        await until(lambda: front.driver.counts["moved"] >= 1)
        env.fault("drain", 0, nodes=[first])
        await until(lambda: not front.driver.moves.progress() and not front.driver.moves.mover.moving)
        there = front.driver.counts["moved"]
        assert 1 <= there < here
        env.fault("drain", nodes=[first])
        await until(lambda: front.driver.counts["moved"] > there)
        await env.kill(front)
        front = await env.front(TwoDrawn)
        await until(lambda: not any(active_play.node == first for active_play in front.driver.plays.values()))
        assert front.driver.counts["resumed"] and not front.driver.counts["failed"]


@looped
async def test_operator_drains_a_node_at_a_front_and_cancels_the_drain(tmp_path):
    async with deployment(tmp_path, TwoDrawn, nodes=3) as env:
        await env.ask()
        (first,) = setup_nodes(env)

        async def command(*words):
            call = [
                sys.executable,
                "-m",
                "curlewhall",
                "drain",
                *words,
                "--front",
                f"http://{env.pool.host}",
            ]
            done = await asyncio.to_thread(subprocess.run, call, capture_output=True, text=True, timeout=25)
            return done.returncode, " ".join((done.stdout + done.stderr).split())

        code, output = await command(first, "--wait", "20")
        assert code == 0 and f"{first}: empty, 0 lost by moves" in output
        assert setup_nodes(env)[1] != first
        code, output = await command(first, "--back")
        assert code == 0 and "called back at 1 of 1" in output
        assert env.fronts[0].nodes.nodes[first].row.state == "serving"
        code, output = await command("nothing")
        assert code == 1 and "node 'nothing' is not in the list" in output


@looped
async def test_target_that_dies_during_the_first_segment_ends_the_play_and_the_viewer_can_ask_again(tmp_path):
    async with deployment(tmp_path, TwoDrawn, nodes=3) as env:
        _, plan = await env.ask()
        (first,) = setup_nodes(env)
        env.fault("drain", nodes=[first])
        driver = env.fronts[0].driver
        await until(lambda: driver.counts["moved"] == 1)
        moved = manifest.read((await follow(env, plan)).body)
        target = setup_nodes(env)[1]
        segment = asyncio.ensure_future(env.segment(moved, 2))
        await until(lambda: any(play.segments for play in env.fleet.nodes[target].plays.values()))
        env.fault("die", nodes=[target])
        assert await segment is None
        await until(lambda: not driver.plays)
        message = await follow(env, moved)  # the viewer asks again and gets the third node
        assert message.status == 200 and setup_nodes(env)[2] not in (first, target)
