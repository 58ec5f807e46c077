"""Links between processes: what passes, what waits, and what both sides see of each fault."""

import asyncio
import time

import pytest
from loopback import looped

from curlewhall.drills.fleet import PORT, subnet
from curlewhall.records import Writer, read
from curlewhall.standins.links import Links
from curlewhall.standins.relay import Relay
from curlewhall.wire import forms
from curlewhall.wire.client import Pool
from curlewhall.wire.http import request_bytes
from curlewhall.wire.server import Server, listen
from curlewhall.wire.timers import Timers

BODY = b"x" * 4000
FACTS = forms.PlayInfo("p1", 0, "plain", "west", "v1", "clip", 3, 0)


class Rig:
    """A node behind a link: what reached it, and a client on the front's side."""

    def __init__(self, tmp_path):
        self.loop, net, link = asyncio.get_running_loop(), subnet(), PORT + 100
        self.timers, self.came, self.gone = Timers(self.loop), [], []
        self.path = tmp_path / "links.jsonl"
        self.records = Writer(self.path)
        plan = {
            "links": {"port": link},
            "fronts": [{"name": "front-0", "address": f"{net}.3", "port": PORT}],
            "list_service": {"address": f"{net}.1", "port": PORT},
            "nodes": [{"node": "n0", "address": f"{net}.2", "port": PORT}],
        }
        self.links, self.answers = Links(self.loop, plan, self.records), True
        self.server = Server(self.loop, self.timers, listen(f"{net}.2", PORT), self.handle)
        self.links.up("n0", True)
        self.pool = Pool(self.loop, self.timers, f"{net}.2", link, connect=0.3)

    def handle(self, exchange):
        self.came.append(exchange)
        exchange.on_disconnect = lambda: self.gone.append(exchange)
        if self.answers:
            exchange.reply(200, {}, BODY)

    def ask(self, span=5.0, body=b"", target="/"):
        return self.pool.fetch(request_bytes("POST", target, "x", body, content_type="a/b"), span)

    def rows(self, what):
        self.records.flush()
        return [row for row in read(self.path) if row["what"] == what]

    def close(self):
        self.pool.close()
        self.server.close()
        self.links.up("n0", False)
        self.records.close()


async def until(true):
    while not true():
        await asyncio.sleep(0.005)


TO, BACK = ("front-0", "n0"), ("n0", "front-0")


@looped
async def test_a_link_without_fault_passes_all(tmp_path):
    rig = Rig(tmp_path)
    for _ in range(3):
        assert (await rig.ask()).message.body == BODY
    assert len(rig.rows("handshake")) == 1 and rig.pool.opened == 1
    rig.close()


@pytest.mark.parametrize(
    ("way", "kind", "came"), [(TO, "stall", 0), (BACK, "stall", 1), (TO, "cut", 0), (BACK, "cut", 1)]
)
def test_what_is_held_waits_and_passes_once_it_ends(tmp_path, way, kind, came):
    @looped
    async def run():
        rig = Rig(tmp_path)
        await rig.ask()
        rig.links.fault(*way, kind, 1)
        asked = asyncio.ensure_future(rig.ask())
        if came:
            await until(lambda: len(rig.came) == 2)  # it runs, and nobody on this side can know
        done, _ = await asyncio.wait([asked], timeout=0.1)
        assert not done and len(rig.came) == 1 + came
        rig.links.fault(*way, kind, 0)
        assert (await asked).message.body == BODY and len(rig.came) == 2
        rig.close()

    run()


@pytest.mark.parametrize("way", [TO, BACK])
def test_a_cut_link_swallows_new_connections_and_a_stalled_one_takes_them(tmp_path, way):
    @looped
    async def run():
        rig = Rig(tmp_path)
        rig.links.fault(*way, "cut", 1)
        reply = await rig.ask()
        assert reply.outcome == "unreached" and reply.elapsed_s >= 0.29  # dropped, not refused
        rig.links.fault(*way, "cut", 0)
        assert (await rig.ask()).outcome == "ok"
        rig.pool.close_idle()
        rig.links.fault(*way, "stall", 1)
        assert (await rig.ask(0.3)).outcome == "late"
        rig.close()

    run()


@looped
async def test_a_link_refuses_while_what_is_behind_it_is_down(tmp_path):
    rig = Rig(tmp_path)
    rig.links.up("n0", False)
    reply = await rig.ask()
    assert reply.outcome == "unreached" and reply.elapsed_s < 0.25
    rig.links.fault(*TO, "cut", 1)  # of a cut link nobody can tell
    assert (await rig.ask()).elapsed_s >= 0.29
    rig.links.up("n0", True)
    rig.links.fault(*TO, "cut", 0)
    assert (await rig.ask()).outcome == "ok"
    rig.close()


@pytest.mark.parametrize(("way", "after", "came"), [(BACK, 0, 0), (BACK, 2000, 1), (TO, 10, 0)])
def test_a_reset_breaks_an_open_connection_within_a_message(tmp_path, way, after, came):
    @looped
    async def run():
        rig = Rig(tmp_path)
        await rig.ask()
        rig.links.fault(*way, "reset", after)
        reply = await rig.ask()
        if after:
            assert reply.outcome == "broken" and len(rig.came) == 1 + came
        else:  # it was idle: the pool sees that it is dead, and opens another
            assert reply.outcome == "ok" and rig.pool.opened == 2
        assert (await rig.ask()).outcome == "ok"
        rig.close()

    run()


@pytest.mark.parametrize(("kind", "value", "least"), [("slow", 10.0, 0.38), ("delay", 0.3, 0.3)])
def test_what_takes_time(tmp_path, kind, value, least):
    @looped
    async def run():
        rig = Rig(tmp_path)
        await rig.ask()
        rig.links.fault(*BACK, kind, value)
        began = time.monotonic()
        assert (await rig.ask()).message.body == BODY
        assert time.monotonic() - began >= least
        rig.close()

    run()


@looped
async def test_letting_go_is_seen_at_the_fronts_side_of_a_cut(tmp_path):
    rig = Rig(tmp_path)
    await rig.ask()
    rig.answers = False
    rig.links.fault(*TO, "cut", 0)
    body = forms.encode(forms.SetUp("front-0", FACTS, 1000.0))
    asked = asyncio.ensure_future(rig.ask(0.2, body, "/v1/plays"))
    await until(lambda: len(rig.came) == 2)
    rig.links.fault(*TO, "cut", 1)
    assert (await asked).outcome == "late"
    await until(lambda: rig.rows("let_go"))
    assert not rig.gone  # the node has not heard of it
    assert [(row["at"], row["play"], row["number"]) for row in rig.rows("let_go")] == [("node:n0", "p1", 0)]
    rig.links.fault(*TO, "cut", 0)
    await until(lambda: rig.gone)
    rig.close()


@looped
async def test_faults_between_fronts_hold_for_one_direction(tmp_path):
    loop, got = asyncio.get_running_loop(), {0: [], 1: []}

    class Front(asyncio.DatagramProtocol):
        def __init__(self, index):
            self.index = index

        def connection_made(self, transport):
            self.transport = transport

        def datagram_received(self, data, source):
            got[self.index].append(data)

    fronts = [
        (await loop.create_datagram_endpoint(lambda i=i: Front(i), ("127.0.0.1", 0)))[0] for i in (0, 1)
    ]
    homes = [transport.get_extra_info("sockname") for transport in fronts]
    legs = {pair: [f"{subnet()}.1", PORT] for pair in ("0:1", "1:0")}
    records = Writer(tmp_path / "peers.jsonl")
    relay = Relay(
        loop,
        Timers(loop),
        {"late": [0.0, 0.001], "legs": legs, "fronts": {str(i): list(homes[i]) for i in (0, 1)}},
        records,
        ["front-0", "front-1"],
    )
    await relay.start()

    def say(one, count):
        for number in range(count):
            fronts[one].sendto(b"%d" % number, tuple(legs[f"{one}:{1 - one}"]))

    assert relay.fault_between("front-0", "front-1", "cut", 1)
    assert not relay.fault_between("front-0", "nobody", "cut", 1)
    say(0, 5)
    say(1, 5)
    await until(lambda: len(got[0]) == 5)
    assert not got[1]
    relay.fault_between("front-0", "*", "cut", 0)
    relay.fault_between("*", "front-1", "repeat", 1.0)
    say(0, 5)
    await until(lambda: len(got[1]) == 10)
    relay.fault_between("*", "front-1", "repeat", 0)
    relay.fault_between("*", "front-1", "reorder", 0.5)
    got[1].clear()
    say(0, 40)
    await until(lambda: len(got[1]) == 40)
    assert [int(data) for data in got[1]] != sorted(int(data) for data in got[1])
    relay.fault_between("*", "front-1", "reorder", 0)
    relay.fault_between("front-0", "front-1", "loss", 0.5)
    got[1].clear()
    say(0, 40)
    say(1, 40)
    await until(lambda: len(got[0]) == 45)
    assert 5 <= len(got[1]) <= 35
    for transport in fronts:
        transport.close()
    records.close()
