"""One front hands over to another in one loop: sockets, connections, plays, set-ups in flight, moves."""

import asyncio
import contextlib
import os
import socket

import pytest
from front.deployment import deployment, until
from front.test_moves import follow
from loopback import RawClient, looped

from curlewhall import logs
from curlewhall.daemon.channel import LARGEST, Channel, pair
from curlewhall.daemon.handover import Coming, Leaving
from curlewhall.dash import manifest
from curlewhall.drills.baselines import TwoDrawn
from curlewhall.drills.fleet import settings
from curlewhall.front.serve import FrontProcess
from curlewhall.settings import parse


class Exchange:
    """A hand-over between a deployment's front and a successor in the same loop."""

    def __init__(self, place, policy=None):
        self.place, self.policy, self.old = place, policy, place.fronts[0]
        self.new = self.failed = self.back = self.gone = None

    def begin(self):
        gives, takes = pair()
        listening = socket.socket(fileno=os.dup(self.old.server.sock.fileno()))
        listening.setblocking(False)
        self.listening = listening
        self.coming = Coming(self.old.loop, takes, self.ready, lambda why: setattr(self, "failed", why))
        self.leaving = Leaving(
            self.old, gives, lambda: setattr(self, "back", True), lambda: setattr(self, "gone", True)
        )
        return self

    def ready(self, coming):
        log = logs.make_logger("json", "info", open(self.place.folder / "new.log", "a"))  # noqa: SIM115
        self.new = FrontProcess(parse(settings(self.place.plan, 0)), log, self.policy, None, coming)
        self.place.fronts.append(self.new)
        self.task = self.old.loop.create_task(self.serve())

    async def serve(self):
        await self.new.start(self.listening)
        self.coming.serving()

    async def served(self):
        await until(
            lambda: self.leaving.served and all(n.hello_received for n in self.new.nodes.nodes.values())
        )
        return self

    async def end(self):
        """The old one leaves once its last connection has; its sockets are closed."""
        self.place.pool.close_idle()
        await until(lambda: self.gone)
        self.old.close()
        self.leaving.channel.close()
        self.place.fronts.remove(self.old)


@looped
@pytest.mark.parametrize("durability", ["", "strict"])
async def test_plays_go_on_with_the_successor_and_their_seats_and_state_too(tmp_path, durability):
    async with deployment(tmp_path, nodes=4, durability=durability) as place:
        plans = [
            await place.ask(viewer=f"v{i}", product="paid" if i % 2 else "plain", title=f"clip-{i:02}")
            for i in range(6)
        ]
        exchange = await Exchange(place).begin().served()
        await exchange.end()
        front = exchange.new
        assert len(front.driver.plays) == 6 and front.driver.counts["played"] == 6
        assert len(front.driver.module.plays) == 6
        known = [node.cold_since for node in front.driver.module.nodes.values()]
        old = [node.cold_since for node in exchange.old.driver.module.nodes.values()]
        assert all(new <= before for new, before in zip(known, old, strict=True))  # none is taken for cold
        assert len(front.driver.play_store.state.playing) == 6
        assert (await place.segment(plans[0][1], 2)).status == 200
        message, _ = await place.ask(viewer="later")
        assert message.status == 200
        # a paid viewer whose play was answered for is not taken for one who comes for it
        message, _ = await place.ask(viewer="v1", product="paid", title="clip-01")
        assert message.headers["curlewhall-play"] != plans[1][0].headers["curlewhall-play"]


@looped
async def test_set_ups_in_flight_are_answered_by_the_old_front_and_held_by_the_new_one(tmp_path):
    async with deployment(tmp_path, nodes=4) as place:
        place.fault("slow", 0.3)
        asks = [
            asyncio.ensure_future(place.ask(viewer=f"v{i}", product="paid", title=f"clip-{i:02}"))
            for i in range(8)
        ]
        await until(lambda: sum(bool(h.pending) for h in place.fronts[0].driver.plays.values()) == 8)
        exchange = await Exchange(place).begin().served()
        assert len(exchange.new.driver.plays_at_predecessor) + len(exchange.new.driver.plays) == 8
        assert len(exchange.new.driver.module.plays) == 8  # each takes a seat already
        answers = await asyncio.gather(*asks)
        assert [message.status for message, _ in answers] == [200] * 8
        await exchange.end()
        assert len(exchange.new.driver.plays) == 8 and not exchange.new.driver.plays_at_predecessor
        assert len(place.rows("setup")) == 8


@looped
async def test_set_ups_that_come_to_nothing_give_their_seats_back(tmp_path):
    async with deployment(tmp_path, nodes=3) as place:
        place.fault("freeze_setups")
        asks = [
            asyncio.ensure_future(place.ask(viewer=f"v{i}", product="paid", limit_ms=600)) for i in range(3)
        ]
        await until(lambda: len(place.fronts[0].driver.plays) == 3)
        exchange = await Exchange(place).begin().served()
        assert {message.status for message, _ in await asyncio.gather(*asks)} == {502}
        await until(
            lambda: not exchange.new.driver.module.plays and not exchange.new.driver.plays_at_predecessor
        )
        await exchange.end()


@looped
@pytest.mark.parametrize("count", [300])
async def test_open_connections_go_over_with_the_bytes_of_their_next_request(tmp_path, count):
    async with deployment(tmp_path, nodes=4) as place:
        where = place.plan["fronts"][0]
        state = f"GET /v1/state HTTP/1.1\r\nhost: {where['address']}\r\n\r\n".encode()
        peers = [await RawClient.open(where["port"], where["address"]) for _ in range(count)]
        for peer in peers:
            await peer.send(state)
            await peer.message()
        begun = peers[0]
        await begun.send(state[:20])  # a request cut in two by the hand-over belongs to the old front
        await until(
            lambda: any(
                line.timeout and line.timeout.args[0] == "read" for line in place.fronts[0].server.connections
            )
        )
        exchange = await Exchange(place).begin().served()
        assert len(exchange.old.server.connections) == count
        await begun.send(state[20:])
        assert (await begun.message()).status == 200
        for peer in peers[1:]:
            await peer.send(state + state)  # two at once: both go over
        for peer in peers[1:]:
            assert [(await peer.message()).status for _ in range(2)] == [200, 200]
        assert len(exchange.old.server.connections) == 1
        assert len(exchange.new.server.connections) == count - 1
        begun.close()
        await exchange.end()
        for peer in peers[1:]:
            peer.close()


@looped
@pytest.mark.parametrize("early", [True, False])
async def test_a_successor_that_dies_before_it_serves_leaves_all_to_the_old_front(tmp_path, early):
    async with deployment(tmp_path, nodes=4, durability="strict") as place:
        _, plan = await place.ask(product="paid")
        exchange = Exchange(place)
        if early:
            gives, takes = pair()
            exchange.leaving = Leaving(exchange.old, gives, lambda: setattr(exchange, "back", True), None)
            takes.close()
        else:
            exchange.serve = lambda: asyncio.sleep(0)
            exchange.begin()
            await until(lambda: exchange.new)
            place.fronts.remove(exchange.new)
            exchange.new.close()
            exchange.coming.channel.close()
        await until(lambda: exchange.back)
        if not early:
            exchange.listening.close()
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
        again = await Exchange(place).begin().served()  # and a better successor takes over
        await again.end()
        assert len(again.new.driver.plays) == 2


@looped
@pytest.mark.parametrize("come", ["before", "after"])
async def test_a_viewer_of_a_move_under_way_finds_its_answer_at_the_successor(tmp_path, come):
    async with deployment(tmp_path, TwoDrawn, nodes=4) as place:
        old = place.fronts[0]
        _, plan = await place.ask(product="paid")
        (active_play,) = old.driver.plays.values()
        place.fault("slow", 0.3)
        place.fault("drain", nodes=[active_play.node])
        await until(lambda: any(h.moved_from and h.pending for h in old.driver.plays.values()))
        exchange = await Exchange(place, TwoDrawn).begin().served()
        if come == "after":
            await until(lambda: exchange.new.driver.plays)
        message = await follow(place, plan)
        assert message.status == 200
        assert (await place.segment(manifest.read(message.body), 2)).status == 200
        assert len(place.rows("setup")) == 2  # the first one and the move's
        await exchange.end()


@looped
async def test_hand_overs_in_a_chain_lose_nothing(tmp_path):
    async with deployment(tmp_path, nodes=4) as place:
        place.fault("slow", 0.5)
        first = place.fronts[0]
        ask = asyncio.ensure_future(place.ask(product="paid"))
        await until(lambda: first.driver.plays)
        one = await Exchange(place).begin().served()
        two = Exchange(place)
        two.old = one.new
        await two.begin().served()
        message, plan = await ask
        assert message.status == 200 and (await place.segment(plan)).status == 200
        await until(lambda: len(two.new.driver.plays) == 1 and not two.new.driver.plays_at_predecessor)
        await one.end()
        await two.end()
        assert (await place.ask(viewer="w"))[0].status == 200


@looped
async def test_a_restart_with_the_budget_spent_brings_no_new_budget(tmp_path):
    async with deployment(tmp_path, nodes=3) as place:
        old = place.fronts[0]
        old.driver.play_store.state.reallocations.extend([old.driver.play_store.state.latest or 1] * 3)
        from curlewhall.recovery.run import unix_ms
        from curlewhall.recovery.state import Reallocated

        for _ in range(3):
            old.driver.play_store.store.add(Reallocated(unix_ms()))
        exchange = await Exchange(place).begin().served()
        assert not exchange.new.driver.play_store.may_reallocate()
        await exchange.end()


@looped
async def test_a_stop_refuses_new_plays_and_answers_those_it_took_and_a_hurry_shortens_it(tmp_path):
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
async def test_a_channel_carries_messages_and_descriptors_whole_and_tells_the_end():
    loop, heard, ends = asyncio.get_running_loop(), [], []
    one, other = pair()
    a = Channel(loop, one, lambda *told: None, lambda: ends.append("a"))
    b = Channel(
        loop, other, lambda kind, facts, fds: heard.append((kind, facts, fds)), lambda: ends.append("b")
    )
    for i in range(2000):  # far more than the kernel keeps: what does not fit waits
        a.send("fact", i, b"x" * 1000)
    left, right = socket.socketpair()
    a.send("socket", fds=(left.detach(),))
    await until(lambda: len(heard) == 2001)
    assert [facts[0] for _, facts, _ in heard[:-1]] == list(range(2000))
    with socket.socket(fileno=heard[-1][2][0]) as got:
        got.sendall(b"hi")
        assert right.recv(2) == b"hi"
    right.close()
    with pytest.raises(ValueError):
        a.send("much", b"x" * LARGEST)
    a.close()
    await until(lambda: sorted(ends) == ["a", "b"])
    with contextlib.suppress(OSError):
        b.send("nobody")  # said to nobody, and no error


@looped
async def test_what_is_no_message_ends_the_channel():
    loop, ends = asyncio.get_running_loop(), []
    one, other = pair()
    Channel(loop, one, lambda *told: None, lambda: ends.append("a"))
    other.send(b"\xc1 nonsense")
    await until(lambda: ends == ["a"])
    other.close()
