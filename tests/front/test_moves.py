"""Moves over loopback: drained nodes, viewers who follow, and what goes wrong on the way."""

import asyncio
import subprocess
import sys

import pytest
from front.deployment import deployment, until
from loopback import looped

from curlewhall.dash import manifest
from curlewhall.drills.baselines import TwoDrawn
from curlewhall.wire.http import request_bytes


async def follow(place, plan):
    """What a player does when its node says that the play has gone: the manifest, anew, from its Location."""
    path = "/" + plan.location.split("/", 3)[3]
    reply = await place.pool.fetch(request_bytes("GET", path, place.pool.host), 20)
    return reply.message


def at(place):
    return [row["at"][5:] for row in place.rows("setup")]


@looped
@pytest.mark.parametrize("product", ["plain", "paid"])
async def test_a_drained_nodes_viewer_goes_on_with_the_next_segment_elsewhere(tmp_path, product):
    async with deployment(tmp_path, TwoDrawn, nodes=4) as place:
        _, plan = await place.ask(product=product)
        assert (await place.segment(plan, 1)).status == 200
        (first,) = at(place)
        place.fault("drain", nodes=[first])
        await until(lambda: place.fronts[0].driver.counts["moved"] == 1)
        assert (await place.segment(plan, 2)).status == 410
        message = await follow(place, plan)
        moved = manifest.read(message.body)
        assert message.status == 200 and (moved.rungs, moved.first) == (plan.rungs, plan.first)
        segment = await place.segment(moved, 2)
        assert segment.status == 200 and segment.body.startswith(b"00000002")
        assert (await place.segment(moved, 2, token=plan.token)).status == 403  # each node has its own token
        assert len(at(place)) == 2 and len(set(at(place))) == 2
        (ended,) = [row for row in place.rows("end") if row["why"] == "moved"]
        assert ended["t"] <= place.rows("setup")[1]["t"]  # never two out
        assert not place.fronts[0].driver.moves.progress()[first]["held"]


class Shy(TwoDrawn):
    """Says that there is room and then declines a moved play, `refusals` times over."""

    refusals = 0

    def has_room(self, *facts):
        return True

    def asked(self, now, play, *facts):
        if facts[-2] and Shy.refusals:
            Shy.refusals -= 1
            return [("decline", play, 0)]
        return super().asked(now, play, *facts)


@looped
@pytest.mark.parametrize(("refusals", "early", "status"), [(2, False, 200), (2, True, 200), (99, True, 503)])
async def test_a_move_that_the_module_declines_is_asked_for_again_while_the_buffer_lasts(
    tmp_path, refusals, early, status
):
    async with deployment(tmp_path, Shy, nodes=4) as place:
        Shy.refusals = refusals
        front = place.fronts[0]
        _, plan = await place.ask()
        (active_play,) = front.driver.plays.values()
        front.driver.moves.buffer_reported(active_play.info.play, 3.0)
        place.fault("drain", nodes=[active_play.node])
        await until(lambda: front.driver.moves.retrying)
        if not early:
            await until(lambda: front.driver.counts["moved"])
        message = await follow(place, plan)  # early: the answer is waited for over all tries
        assert message.status == status
        if status == 200:
            assert front.driver.counts["moved"] == 1 and front.driver.counts["declined"] == 0
            assert (await place.segment(manifest.read(message.body), 2)).status == 200
        else:
            assert front.driver.counts["declined"] == 1 and len(at(place)) == 1
        assert not front.driver.moves.retrying


@looped
async def test_a_viewer_who_leaves_between_two_tries_ends_the_move(tmp_path):
    async with deployment(tmp_path, Shy, nodes=4) as place:
        Shy.refusals = 99
        front = place.fronts[0]
        _, plan = await place.ask()
        (active_play,) = front.driver.plays.values()
        front.driver.moves.buffer_reported(active_play.info.play, 30.0)
        place.fault("drain", nodes=[active_play.node])
        await until(lambda: front.driver.moves.retrying)
        ask = place.pool.ask(
            request_bytes("GET", "/" + plan.location.split("/", 3)[3], place.pool.host),
            20,
            lambda reply: None,
        )
        await until(
            lambda: front.server.connections and any(line.exchanges for line in front.server.connections)
        )
        ask.withdraw()
        await until(lambda: not front.driver.moves.mover.plays and not front.driver.plays)
        assert len(at(place)) == 1 and not front.driver.moves.retrying


@looped
async def test_the_modules_look_for_room_changes_nothing(tmp_path):
    async with deployment(tmp_path, nodes=4) as place:
        _, plan = await place.ask(product="paid")
        module = place.fronts[0].driver.module
        (active_play,) = place.fronts[0].driver.plays.values()
        now = place.fronts[0].driver.clock.now()
        before = (
            module.draws,
            list(module.answers),
            sorted(module.plays),
            [len(n.plays) for n in module.nodes.values()],
        )
        for count in (7, 0):  # every place, or none
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
async def test_the_only_holder_keeps_its_plays(tmp_path):
    async with deployment(tmp_path, TwoDrawn, nodes=1) as place:
        _, plan = await place.ask()
        place.fault("drain")
        await until(
            lambda: place.fronts[0].driver.moves.mover.plays
            and next(iter(place.fronts[0].driver.moves.mover.plays.values())).attempts
        )
        assert (await place.segment(plan)).status == 200 and not place.fronts[0].driver.counts["moved"]


@looped
async def test_a_paid_move_whose_target_freezes_is_set_up_once_and_its_viewer_asks_anew(tmp_path):
    async with deployment(tmp_path, TwoDrawn, nodes=2) as place:
        place.plan["products"][2] |= {"limit_ms": 800, "target_ms": 800}
        await place.kill(place.fronts[0])
        front = await place.front(TwoDrawn)
        _, plan = await place.ask(product="paid", limit_ms=800)
        (first,) = at(place)
        other = ({"n000", "n001"} - {first}).pop()
        place.fault("freeze_setups", nodes=[other])
        place.fault("drain", nodes=[first])
        await until(lambda: front.driver.counts["failed"] == 1)
        assert at(place) == [first, other]
        assert front.driver.moves.progress()[first]["lost"] == 1
        place.fault("freeze_setups", 0, nodes=[other])
        assert (await follow(place, plan)).status == 200  # as any viewer that comes again
        plays = [row["play"] for row in place.rows("setup")]
        assert len(plays) == len(set(plays)) == 3


@looped
async def test_a_node_that_does_not_confirm_the_end_keeps_the_play_and_nothing_is_set_up(tmp_path):
    async with deployment(tmp_path, TwoDrawn, nodes=3) as place:
        await place.ask()
        (first,) = at(place)
        place.fault("freeze", nodes=[first])
        mover = place.fronts[0].driver.moves.mover
        place.fault("drain", nodes=[first])
        # its end was asked for, and the answer was waited for in vain
        await until(
            lambda: '"move started"' in (tmp_path / "front.log").read_text()
            and not any(tracked.phase for tracked in mover.plays.values())
        )
        assert at(place) == [first] and mover.progress()[first]["held"] == 1
        assert place.fronts[0].driver.counts["ended"] == 0


@looped
async def test_a_drain_called_back_stops_and_after_a_kill_half_way_the_next_front_goes_on(tmp_path):
    async with deployment(tmp_path, TwoDrawn, nodes=6) as place:
        for i in range(30):
            await place.ask(viewer=f"v{i}")
        first = max(set(at(place)), key=at(place).count)
        front = place.fronts[0]
        here = sum(active_play.node == first for active_play in front.driver.plays.values())
        place.fault("drain", nodes=[first])
        await until(lambda: front.driver.counts["moved"] >= 1)
        place.fault("drain", 0, nodes=[first])
        await until(lambda: not front.driver.moves.progress() and not front.driver.moves.mover.moving)
        there = front.driver.counts["moved"]
        assert 1 <= there < here
        place.fault("drain", nodes=[first])
        await until(lambda: front.driver.counts["moved"] > there)
        await place.kill(front)
        front = await place.front(TwoDrawn)
        await until(lambda: not any(active_play.node == first for active_play in front.driver.plays.values()))
        assert front.driver.counts["resumed"] and not front.driver.counts["failed"]


@looped
async def test_an_operators_drain_at_a_front_and_its_calling_back(tmp_path):
    async with deployment(tmp_path, TwoDrawn, nodes=3) as place:
        await place.ask()
        (first,) = at(place)

        async def command(*words):
            call = [
                sys.executable,
                "-m",
                "curlewhall",
                "drain",
                *words,
                "--front",
                f"http://{place.pool.host}",
            ]
            done = await asyncio.to_thread(subprocess.run, call, capture_output=True, text=True, timeout=25)
            return done.returncode, " ".join((done.stdout + done.stderr).split())

        code, said = await command(first, "--wait", "20")
        assert code == 0 and f"{first}: empty, 0 lost by moves" in said
        assert at(place)[1] != first
        code, said = await command(first, "--back")
        assert code == 0 and "called back at 1 of 1" in said
        assert place.fronts[0].nodes.nodes[first].row.state == "serving"
        code, said = await command("nothing")
        assert code == 1 and "node 'nothing' is not in the list" in said


@looped
async def test_a_target_that_dies_with_the_first_segment_out_is_a_break_like_any_other(tmp_path):
    async with deployment(tmp_path, TwoDrawn, nodes=3) as place:
        _, plan = await place.ask()
        (first,) = at(place)
        place.fault("drain", nodes=[first])
        driver = place.fronts[0].driver
        await until(lambda: driver.counts["moved"] == 1)
        moved = manifest.read((await follow(place, plan)).body)
        target = at(place)[1]
        segment = asyncio.ensure_future(place.segment(moved, 2))
        await until(lambda: any(play.segments for play in place.fleet.nodes[target].plays.values()))
        place.fault("die", nodes=[target])
        assert await segment is None
        await until(lambda: not driver.plays)
        message = await follow(place, moved)  # its viewer comes again, to the third node
        assert message.status == 200 and at(place)[2] not in (first, target)
