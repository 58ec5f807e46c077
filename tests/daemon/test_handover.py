"""Hand-over between two fronts in one loop: sockets, connections, plays, set-ups in progress, moves."""

import asyncio
import contextlib
import os
import socket

import pytest
from front.deployment import deployment, until
from front.test_moves import follow
from loopback import RawClient, looped

from curlewhall import logs
from curlewhall.daemon.channel import MAX_MESSAGE_BYTES, Channel, pair
from curlewhall.daemon.handover import IncomingHandover, OutgoingHandover
from curlewhall.dash import manifest
from curlewhall.drills.baselines import TwoDrawn
from curlewhall.drills.fleet import settings
from curlewhall.front.serve import FrontProcess
from curlewhall.settings import parse


class HandoverRun:
    """A hand-over from a deployment's front to a successor in the same loop."""

    def __init__(self, place, policy=None):
        self.place, self.policy, self.old = place, policy, place.fronts[0]
        self.new = self.incoming_failed = self.outgoing_failed = self.finished = None

    def begin(self):
        old_end, new_end = pair()
        listening = socket.socket(fileno=os.dup(self.old.server.sock.fileno()))
        listening.setblocking(False)
        self.listening = listening
        self.incoming = IncomingHandover(
            self.old.loop, new_end, self.complete, lambda why: setattr(self, "incoming_failed", why)
        )
        self.outgoing = OutgoingHandover(
            self.old,
            old_end,
            lambda: setattr(self, "outgoing_failed", True),
            lambda: setattr(self, "finished", True),
        )
        return self

    def complete(self, incoming):
        log = logs.make_logger("json", "info", open(self.place.folder / "new.log", "a"))  # noqa: SIM115
        self.new = FrontProcess(parse(settings(self.place.plan, 0)), log, self.policy, None, incoming)
        self.place.fronts.append(self.new)
        self.task = self.old.loop.create_task(self.serve())

    async def serve(self):
        await self.new.start(self.listening)
        self.incoming.announce_serving()

    async def served(self):
        await until(
            lambda: self.outgoing.served and all(n.hello_received for n in self.new.nodes.nodes.values())
        )
        return self

    async def end(self):
        """Wait until the old front has finished, then close it."""
        self.place.pool.close_idle()
        await until(lambda: self.finished)
        self.old.close()
        self.outgoing.channel.close()
        self.place.fronts.remove(self.old)


@looped
@pytest.mark.parametrize("durability", ["", "strict"])
async def test_successor_holds_plays_seats_and_stored_state(tmp_path, durability):
    async with deployment(tmp_path, nodes=4, durability=durability) as place:
        plans = [
            await place.ask(viewer=f"v{i}", product="paid" if i % 2 else "plain", title=f"clip-{i:02}")
            for i in range(6)
        ]
        run = await HandoverRun(place).begin().served()
        await run.end()
        front = run.new
        assert len(front.driver.plays) == 6 and front.driver.counts["played"] == 6
        assert len(front.driver.module.plays) == 6
        known = [node.cold_since for node in front.driver.module.nodes.values()]
        old = [node.cold_since for node in run.old.driver.module.nodes.values()]
        assert all(new <= before for new, before in zip(known, old, strict=True))  # no node counts as cold
        assert len(front.driver.play_store.state.playing) == 6
        assert (await place.segment(plans[0][1], 2)).status == 200
        message, _ = await place.ask(viewer="later")
        assert message.status == 200
        # a viewer of an answered paid play who asks again gets a new play
        message, _ = await place.ask(viewer="v1", product="paid", title="clip-01")
        assert message.headers["curlewhall-play"] != plans[1][0].headers["curlewhall-play"]


@looped
async def test_set_ups_in_progress_are_answered_by_old_front_and_held_by_successor(tmp_path):
    async with deployment(tmp_path, nodes=4) as place:
        place.fault("slow", 0.3)
        asks = [
            asyncio.ensure_future(place.ask(viewer=f"v{i}", product="paid", title=f"clip-{i:02}"))
            for i in range(8)
        ]
        await until(lambda: sum(bool(h.pending) for h in place.fronts[0].driver.plays.values()) == 8)
        run = await HandoverRun(place).begin().served()
        assert len(run.new.driver.plays_at_predecessor) + len(run.new.driver.plays) == 8
        assert len(run.new.driver.module.plays) == 8  # each occupies a seat already
        answers = await asyncio.gather(*asks)
        assert [message.status for message, _ in answers] == [200] * 8
        await run.end()
        assert len(run.new.driver.plays) == 8 and not run.new.driver.plays_at_predecessor
        assert len(place.rows("setup")) == 8


@looped
async def test_failed_set_ups_release_their_seats_at_successor(tmp_path):
    async with deployment(tmp_path, nodes=3) as place:
        place.fault("freeze_setups")
        asks = [
            asyncio.ensure_future(place.ask(viewer=f"v{i}", product="paid", limit_ms=600)) for i in range(3)
        ]
        await until(lambda: len(place.fronts[0].driver.plays) == 3)
        run = await HandoverRun(place).begin().served()
        assert {message.status for message, _ in await asyncio.gather(*asks)} == {502}
        await until(lambda: not run.new.driver.module.plays and not run.new.driver.plays_at_predecessor)
        await run.end()


@looped
@pytest.mark.parametrize("count", [300])
async def test_open_connections_move_to_successor_with_bytes_of_next_request(tmp_path, count):
    async with deployment(tmp_path, nodes=4) as place:
        where = place.plan["fronts"][0]
        state = f"GET /v1/state HTTP/1.1\r\nhost: {where['address']}\r\n\r\n".encode()
        clients = [await RawClient.open(where["port"], where["address"]) for _ in range(count)]
        for client in clients:
            await client.send(state)
            await client.message()
        split = clients[0]
        await split.send(state[:20])  # a request split by the hand-over is answered by the old front
        await until(
            lambda: any(
                line.timeout and line.timeout.args[0] == "read" for line in place.fronts[0].server.connections
            )
        )
        run = await HandoverRun(place).begin().served()
        assert len(run.old.server.connections) == count
        await split.send(state[20:])
        assert (await split.message()).status == 200
        for client in clients[1:]:
            await client.send(state + state)  # two pipelined requests: the successor answers both
        for client in clients[1:]:
            assert [(await client.message()).status for _ in range(2)] == [200, 200]
        assert len(run.old.server.connections) == 1
        assert len(run.new.server.connections) == count - 1
        split.close()
        await run.end()
        for client in clients[1:]:
            client.close()


@looped
@pytest.mark.parametrize("early", [True, False])
async def test_old_front_continues_when_successor_fails_before_serving(tmp_path, early):
    async with deployment(tmp_path, nodes=4, durability="strict") as place:
        _, plan = await place.ask(product="paid")
        run = HandoverRun(place)
        if early:
            old_end, new_end = pair()
            run.outgoing = OutgoingHandover(
                run.old, old_end, lambda: setattr(run, "outgoing_failed", True), None
            )
            new_end.close()
        else:
            run.serve = lambda: asyncio.sleep(0)
            run.begin()
            await until(lambda: run.new)
            place.fronts.remove(run.new)
            run.new.close()
            run.incoming.channel.close()
        await until(lambda: run.outgoing_failed)
        if not early:
            run.listening.close()
        front = place.fronts[0]
        await until(
            lambda: all(
                node.stream is not None and node.hello_received for node in front.nodes.nodes.values()
            )
        )
        message, _ = await place.ask(viewer="w", product="paid", title="clip-01")
        assert message.status == 200 and len(front.driver.plays) == 2
        assert len(front.driver.play_store.state.allocations) == 2
        assert (await place.segment(plan, 2)).status == 200
        again = await HandoverRun(place).begin().served()  # a later successor can take over
        await again.end()
        assert len(again.new.driver.plays) == 2


@looped
@pytest.mark.parametrize("come", ["before", "after"])
async def test_viewer_of_move_in_progress_gets_answer_at_successor(tmp_path, come):
    async with deployment(tmp_path, TwoDrawn, nodes=4) as place:
        old = place.fronts[0]
        _, plan = await place.ask(product="paid")
        (active_play,) = old.driver.plays.values()
        place.fault("slow", 0.3)
        place.fault("drain", nodes=[active_play.node])
        await until(lambda: any(h.moved_from and h.pending for h in old.driver.plays.values()))
        run = await HandoverRun(place, TwoDrawn).begin().served()
        if come == "after":
            await until(lambda: run.new.driver.plays)
        message = await follow(place, plan)
        assert message.status == 200
        assert (await place.segment(manifest.read(message.body), 2)).status == 200
        assert len(place.rows("setup")) == 2  # the first one and the one of the move
        await run.end()


@looped
async def test_set_up_survives_two_hand_overs_in_a_row(tmp_path):
    async with deployment(tmp_path, nodes=4) as place:
        place.fault("slow", 0.5)
        first = place.fronts[0]
        ask = asyncio.ensure_future(place.ask(product="paid"))
        await until(lambda: first.driver.plays)
        one = await HandoverRun(place).begin().served()
        two = HandoverRun(place)
        two.old = one.new
        await two.begin().served()
        message, plan = await ask
        assert message.status == 200 and (await place.segment(plan)).status == 200
        await until(lambda: len(two.new.driver.plays) == 1 and not two.new.driver.plays_at_predecessor)
        await one.end()
        await two.end()
        assert (await place.ask(viewer="w"))[0].status == 200


@looped
async def test_spent_reallocation_budget_stays_spent_after_hand_over(tmp_path):
    async with deployment(tmp_path, nodes=3) as place:
        old = place.fronts[0]
        old.driver.play_store.state.reallocations.extend([old.driver.play_store.state.latest or 1] * 3)
        from curlewhall.recovery.run import unix_ms
        from curlewhall.recovery.state import Reallocated

        for _ in range(3):
            old.driver.play_store.store.add(Reallocated(unix_ms()))
        run = await HandoverRun(place).begin().served()
        assert not run.new.driver.play_store.may_reallocate()
        await run.end()


@looped
async def test_stop_refuses_new_plays_and_answers_accepted_ones_and_hurry_fails_them(tmp_path):
    for hurried in (False, True):
        folder = tmp_path / str(hurried)
        folder.mkdir()
        async with deployment(folder, nodes=3) as place:
            front = place.fronts[0]
            await place.ask(viewer="open")
            place.fault(*(("freeze_setups",) if hurried else ("slow", 0.3)))
            ask = asyncio.ensure_future(place.ask(viewer="w", product="paid"))
            await until(lambda: any(h.pending for h in front.driver.plays.values()))  # noqa: B023
            stop = asyncio.ensure_future(front.stop())
            await until(lambda: not front.viewers.accepting)  # noqa: B023
            message, problem = await place.ask(viewer="new")
            assert message.status == 503 and message.headers["retry-after"]
            if hurried:
                front.hurry_stop()
            assert (await ask)[0].status == (502 if hurried else 200)
            await stop
            place.fronts.clear()


@looped
async def test_channel_delivers_messages_and_descriptors_and_reports_close():
    loop, messages, closed = asyncio.get_running_loop(), [], []
    one, other = pair()
    a = Channel(loop, one, lambda *values: None, lambda: closed.append("a"))
    b = Channel(
        loop,
        other,
        lambda kind, values, fds: messages.append((kind, values, fds)),
        lambda: closed.append("b"),
    )
    for i in range(2000):  # far more than the socket buffer holds: the rest is queued
        a.send("fact", i, b"x" * 1000)
    left, right = socket.socketpair()
    a.send("socket", fds=(left.detach(),))
    await until(lambda: len(messages) == 2001)
    assert [values[0] for _, values, _ in messages[:-1]] == list(range(2000))
    with socket.socket(fileno=messages[-1][2][0]) as received:
        received.sendall(b"hi")
        assert right.recv(2) == b"hi"
    right.close()
    with pytest.raises(ValueError):
        a.send("much", b"x" * MAX_MESSAGE_BYTES)
    a.close()
    await until(lambda: sorted(closed) == ["a", "b"])
    with contextlib.suppress(OSError):
        b.send("unread")  # the other end is closed: no error


@looped
async def test_invalid_message_closes_channel():
    loop, closed = asyncio.get_running_loop(), []
    one, other = pair()
    Channel(loop, one, lambda *values: None, lambda: closed.append("a"))
    other.send(b"\xc1 nonsense")
    await until(lambda: closed == ["a"])
    other.close()
