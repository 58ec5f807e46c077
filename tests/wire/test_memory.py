"""What all connections of a server keep together, and what one of them gets of a turn of the loop."""

import asyncio

import pytest
from loopback import RawClient, looped
from wire.test_wire import GET, Env

from curlewhall.wire import http
from curlewhall.wire.memory import MemoryBudget

HALF_BODY = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + b"x" * 50_000


def test_those_that_keep_most_give_it_up_until_an_eighth_is_free():
    budget = MemoryBudget(800)
    for owner, size in (("a", 300), ("b", 200), ("c", 250), ("d", 1)):
        budget.update(owner, size)
    assert not budget.exceeded
    budget.update("b", 350)
    assert budget.exceeded and budget.largest_owners() == ["b"]
    budget.update("b", 0)
    assert budget.total == 551 and "b" not in budget.bytes_by_owner


@pytest.mark.parametrize("name", ["x", "x%d"])
def test_head_of_very_many_fields_is_rejected(name):
    parser = http.RequestParser(http.Limits())
    head = "GET / HTTP/1.1\r\n" + "".join((name % i if "%" in name else name) + ":\r\n" for i in range(102))
    with pytest.raises(http.HttpMessageError) as caught:
        parser.feed(head.encode())
    assert caught.value.status == 431


@looped
async def test_requests_being_read_are_bounded_together_and_a_usual_one_is_answered():
    """The fifth half body is one too many: the largest is rejected, the others go on."""
    env = Env(memory=220_000)
    clients = [await RawClient.open(env.port) for _ in range(5)]
    usual = await RawClient.open(env.port)
    await usual.send((GET % 1)[:10])
    for client in clients:
        await client.send(HALF_BODY)
    while not env.server.shed_count:
        await asyncio.sleep(0)
    assert env.server.memory.total <= 220_000
    await usual.send((GET % 1)[10:])
    (await env.received.get()).reply(200)
    assert (await usual.message()).status == 200
    for client in (usual, *clients):
        client.close()
    while env.server.connections:
        await asyncio.sleep(0)
    assert env.server.memory.total == 0 and not env.server.memory.bytes_by_owner


@looped
async def test_a_whole_body_is_not_kept_until_the_response():
    env = Env()
    client = await RawClient.open(env.port)
    await client.send(HALF_BODY + b"x" * 50_000)
    exchange = await env.received.get()
    await asyncio.sleep(0)
    assert exchange.request.body == b"" and env.server.memory.total < 1000
    exchange.reply(200)
    assert (await client.message()).status == 200


@looped
async def test_one_request_of_a_connection_is_handled_in_each_turn_of_the_loop():
    """All requests of one read were handled before the next client had its turn."""
    env = Env(pipeline=1000)
    bad, usual = await RawClient.open(env.port), await RawClient.open(env.port)
    while len(env.server.connections) < 2:
        await asyncio.sleep(0)
    bad.sock.send(GET % 1 * 50)
    usual.sock.send(GET % 2)
    targets = []
    while "/2" not in targets:
        targets.append((await env.received.get()).request.target)
    assert len(targets) <= 4


@looped
async def test_each_request_has_its_own_read_timeout():
    """One that began in the bytes that completed another had the rest of the other's time."""
    env = Env(read=0.4)
    client = await RawClient.open(env.port)
    await client.send((GET % 0)[:10])
    for i in range(3):
        await asyncio.sleep(0.25)
        await client.send((GET % i)[10:] + (GET % (i + 1))[:10])
        (await env.received.get()).reply(200)
        assert (await client.message()).status == 200
