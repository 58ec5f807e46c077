"""Injected network faults: which data passes, which waits, and what both sides see of each fault."""

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
INFO = forms.PlayInfo("p1", 0, "plain", "west", "v1", "clip", 3, 0)


class LinkedNode:
    """A node behind a link, the requests that reached it, and a client on the front's side."""

    def __init__(self, tmp_path):
        self.loop, net, link = asyncio.get_running_loop(), subnet(), PORT + 100
        self.timers = Timers(self.loop)
        self.received = []  # requests that reached the node
        self.closed = []  # of them, those whose connection the node saw closed
        self.path = tmp_path / "links.jsonl"
        self.records = Writer(self.path)
        plan = {
            "links": {"port": link},
            "fronts": [{"name": "front-0", "address": f"{net}.3", "port": PORT}],
            "list_service": {"address": f"{net}.1", "port": PORT},
            "nodes": [{"node": "n0", "address": f"{net}.2", "port": PORT}],
        }
        self.links = Links(self.loop, plan, self.records)
        self.answers = True  # whether the node answers
        self.server = Server(self.loop, self.timers, listen(f"{net}.2", PORT), self.handle)
        self.links.destination_changed("n0", True)
        self.pool = Pool(self.loop, self.timers, f"{net}.2", link, connect=0.3)

    def handle(self, exchange):
        self.received.append(exchange)
        exchange.on_disconnect = lambda: self.closed.append(exchange)
        if self.answers:
            exchange.reply(200, {}, BODY)

    def request(self, timeout=5.0, body=b"", target="/"):
        return self.pool.fetch(request_bytes("POST", target, "x", body, content_type="a/b"), timeout)

    def records_of(self, what):
        self.records.flush()
        return [row for row in read(self.path) if row["what"] == what]

    def close(self):
        self.pool.close()
        self.server.close()
        self.links.destination_changed("n0", False)
        self.records.close()


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.005)


REQUEST, RESPONSE = ("front-0", "n0"), ("n0", "front-0")


@looped
async def test_link_without_fault_passes_all_requests(tmp_path):
    node = LinkedNode(tmp_path)
    for _ in range(3):
        assert (await node.request()).message.body == BODY
    assert len(node.records_of("handshake")) == 1 and node.pool.opened == 1
    node.close()


@pytest.mark.parametrize(
    ("direction", "kind", "received"),
    [(REQUEST, "stall", 0), (RESPONSE, "stall", 1), (REQUEST, "cut", 0), (RESPONSE, "cut", 1)],
)
def test_data_on_blocked_link_is_delivered_once_fault_ends(tmp_path, direction, kind, received):
    @looped
    async def run():
        node = LinkedNode(tmp_path)
        await node.request()
        node.links.fault(*direction, kind, 1)
        reply = asyncio.ensure_future(node.request())
        if received:
            await wait_until(
                lambda: len(node.received) == 2
            )  # the node works on it, which the client can't know
        done, _ = await asyncio.wait([reply], timeout=0.1)
        assert not done and len(node.received) == 1 + received
        node.links.fault(*direction, kind, 0)
        assert (await reply).message.body == BODY and len(node.received) == 2
        node.close()

    run()


@pytest.mark.parametrize("direction", [REQUEST, RESPONSE])
def test_cut_link_drops_new_connections_and_stalled_link_accepts_them(tmp_path, direction):
    @looped
    async def run():
        node = LinkedNode(tmp_path)
        node.links.fault(*direction, "cut", 1)
        reply = await node.request()
        assert reply.outcome == "unreached" and reply.elapsed_s >= 0.29  # dropped, not refused
        node.links.fault(*direction, "cut", 0)
        assert (await node.request()).outcome == "ok"
        node.pool.close_idle()
        node.links.fault(*direction, "stall", 1)
        assert (await node.request(0.3)).outcome == "late"
        node.close()

    run()


@looped
async def test_link_refuses_connections_while_its_destination_is_down(tmp_path):
    node = LinkedNode(tmp_path)
    node.links.destination_changed("n0", False)
    reply = await node.request()
    assert reply.outcome == "unreached" and reply.elapsed_s < 0.25
    node.links.fault(*REQUEST, "cut", 1)  # a cut link hides that its destination is down
    assert (await node.request()).elapsed_s >= 0.29
    node.links.destination_changed("n0", True)
    node.links.fault(*REQUEST, "cut", 0)
    assert (await node.request()).outcome == "ok"
    node.close()


@pytest.mark.parametrize(
    ("direction", "after_bytes", "received"), [(RESPONSE, 0, 0), (RESPONSE, 2000, 1), (REQUEST, 10, 0)]
)
def test_reset_breaks_open_connection_within_a_message(tmp_path, direction, after_bytes, received):
    @looped
    async def run():
        node = LinkedNode(tmp_path)
        await node.request()
        node.links.fault(*direction, "reset", after_bytes)
        reply = await node.request()
        if after_bytes:
            assert reply.outcome == "broken" and len(node.received) == 1 + received
        else:  # the connection was idle: the pool sees that it is closed, and opens another
            assert reply.outcome == "ok" and node.pool.opened == 2
        assert (await node.request()).outcome == "ok"
        node.close()

    run()


@pytest.mark.parametrize(("kind", "value", "min_s"), [("slow", 10.0, 0.38), ("delay", 0.3, 0.3)])
def test_slow_or_delayed_link_adds_latency(tmp_path, kind, value, min_s):
    @looped
    async def run():
        node = LinkedNode(tmp_path)
        await node.request()
        node.links.fault(*RESPONSE, kind, value)
        began = time.monotonic()
        assert (await node.request()).message.body == BODY
        assert time.monotonic() - began >= min_s
        node.close()

    run()


@looped
async def test_given_up_set_up_is_recorded_at_front_side_of_cut(tmp_path):
    node = LinkedNode(tmp_path)
    await node.request()
    node.answers = False
    node.links.fault(*REQUEST, "cut", 0)
    body = forms.encode(forms.SetUp("front-0", INFO, 1000.0))
    reply = asyncio.ensure_future(node.request(0.2, body, "/v1/plays"))
    await wait_until(lambda: len(node.received) == 2)
    node.links.fault(*REQUEST, "cut", 1)
    assert (await reply).outcome == "late"
    await wait_until(lambda: node.records_of("let_go"))
    assert not node.closed  # the node has not seen the connection close
    assert [(row["at"], row["play"], row["number"]) for row in node.records_of("let_go")] == [
        ("node:n0", "p1", 0)
    ]
    node.links.fault(*REQUEST, "cut", 0)
    await wait_until(lambda: node.closed)
    node.close()


@looped
async def test_fault_between_fronts_applies_to_one_direction(tmp_path):
    loop, received = asyncio.get_running_loop(), {0: [], 1: []}

    class Front(asyncio.DatagramProtocol):
        def __init__(self, index):
            self.index = index

        def connection_made(self, transport):
            self.transport = transport

        def datagram_received(self, data, address):
            received[self.index].append(data)

    fronts = [
        (await loop.create_datagram_endpoint(lambda i=i: Front(i), ("127.0.0.1", 0)))[0] for i in (0, 1)
    ]
    addresses = [transport.get_extra_info("sockname") for transport in fronts]
    legs = {pair: [f"{subnet()}.1", PORT] for pair in ("0:1", "1:0")}
    records = Writer(tmp_path / "peers.jsonl")
    relay = Relay(
        loop,
        Timers(loop),
        {"late": [0.0, 0.001], "legs": legs, "fronts": {str(i): list(addresses[i]) for i in (0, 1)}},
        records,
        ["front-0", "front-1"],
    )
    await relay.start()

    def send(source, count):
        for number in range(count):
            fronts[source].sendto(b"%d" % number, tuple(legs[f"{source}:{1 - source}"]))

    assert relay.fault_between("front-0", "front-1", "cut", 1)
    assert not relay.fault_between("front-0", "nobody", "cut", 1)
    send(0, 5)
    send(1, 5)
    await wait_until(lambda: len(received[0]) == 5)
    assert not received[1]
    relay.fault_between("front-0", "*", "cut", 0)
    relay.fault_between("*", "front-1", "repeat", 1.0)
    send(0, 5)
    await wait_until(lambda: len(received[1]) == 10)
    relay.fault_between("*", "front-1", "repeat", 0)
    relay.fault_between("*", "front-1", "reorder", 0.5)
    received[1].clear()
    send(0, 40)
    await wait_until(lambda: len(received[1]) == 40)
    assert [int(data) for data in received[1]] != sorted(int(data) for data in received[1])
    relay.fault_between("*", "front-1", "reorder", 0)
    relay.fault_between("front-0", "front-1", "loss", 0.5)
    received[1].clear()
    send(0, 40)
    send(1, 40)
    await wait_until(lambda: len(received[0]) == 45)
    assert 5 <= len(received[1]) <= 35
    for transport in fronts:
        transport.close()
    records.close()
