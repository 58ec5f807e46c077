"""Server and client over loopback: order, limits, disconnects, and the outcomes of requests."""

import asyncio
import socket

import pytest
from loopback import RawClient, looped, raw_server

from curlewhall.wire import http, server
from curlewhall.wire.client import Pool
from curlewhall.wire.server import Server, listen
from curlewhall.wire.timers import Timers

GET = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"


class Env:
    """A server whose exchanges wait in `received` until a test answers them."""

    def __init__(self, **limits):
        self.loop = asyncio.get_running_loop()
        self.timers = Timers(self.loop)
        self.received, self.disconnected = asyncio.Queue(), asyncio.Queue()
        sock = listen("127.0.0.1", 0)
        self.port = sock.getsockname()[1]
        self.server = Server(self.loop, self.timers, sock, self.handle, http.Limits()._replace(**limits))

    def handle(self, exchange):
        exchange.on_disconnect = lambda: self.disconnected.put_nowait(exchange)
        self.received.put_nowait(exchange)

    def pool(self, port=None, **more):
        return Pool(self.loop, self.timers, "127.0.0.1", port or self.port, **more)


@looped
async def test_pipelined_requests_are_answered_in_order_of_arrival():
    env = Env()
    client = await RawClient.open(env.port)
    await client.send(b"".join(GET % i for i in range(3)))
    first, second, third = [await env.received.get() for _ in range(3)]
    third.reply(200, {}, b"C")
    second.start(200, {})
    second.write(b"B")
    second.finish()
    first.reply(200, {}, b"A")
    bodies = [(await client.message()).body for _ in range(3)]
    assert bodies == [b"A", b"B", b"C"]


@looped
async def test_requests_beyond_the_pipeline_limit_wait_for_responses():
    env = Env(pipeline=2)
    client = await RawClient.open(env.port)
    await client.send(b"".join(GET % i for i in range(2)))
    exchanges = [await env.received.get() for _ in range(2)]
    await client.send(b"".join(GET % i for i in range(2, 4)))
    for exchange in exchanges:
        exchange.reply(200)
    assert [(await env.received.get()).request.target for _ in range(2)] == ["/2", "/3"]


@looped
async def test_client_that_never_reads_is_disconnected_at_the_queue_limit():
    env = Env(queued=200_000)
    client = await RawClient.open(env.port)
    await client.send(GET % 1)
    exchange = await env.received.get()
    exchange.start(200, {})
    while exchange.open:
        exchange.write(b"x" * 10_000)
        await asyncio.sleep(0)
    assert (
        env.server.slow_client_count == 1 and not exchange.pieces or sum(map(len, exchange.pieces)) < 300_000
    )
    assert await env.disconnected.get() is exchange


@looped
async def test_disconnect_with_a_response_owed_is_reported_once():
    env = Env()
    client = await RawClient.open(env.port)
    await client.send(GET % 1 + GET % 2)
    exchanges = [await env.received.get() for _ in range(2)]
    exchanges[0].reply(200)
    await client.message()
    client.close()
    assert await env.disconnected.get() is exchanges[1]
    exchanges[1].reply(200)  # too late; has no effect
    assert env.disconnected.empty() and not env.server.connections


@looped
async def test_invalid_message_is_answered_after_owed_responses_and_ends_the_connection():
    env = Env()
    client = await RawClient.open(env.port)
    await client.send(GET % 1 + b"GET / HTTP/1.1\r\n\r\n" + GET % 2)
    (await env.received.get()).reply(200)
    assert [(await client.message()).status for _ in range(2)] == [200, 400]
    assert await client.closed() and env.received.empty()


@looped
@pytest.mark.parametrize(("raw", "status"), [(b"GET / HTTP/1.1\r\nHos", 408), (b"", None)])
async def test_connection_with_a_partial_request_or_none_times_out(raw, status):
    env = Env(read=0.05, idle=0.05)
    client = await RawClient.open(env.port)
    await client.send(raw)
    if status:
        assert (await client.message()).status == status
    assert await client.closed()


@looped
async def test_pending_response_is_not_ended_by_the_idle_timeout():
    env = Env(idle=0.03)
    reply = asyncio.ensure_future(env.pool().fetch(GET % 1, 5))
    exchange = await env.received.get()
    for _ in range(3):  # three timeouts pass
        passed = asyncio.Event()
        env.timers.after(0.04, passed.set)
        await passed.wait()
    exchange.reply(200)
    assert (await reply).outcome == "ok"


@looped
async def test_connections_beyond_the_limit_are_closed():
    env = Env(connections=1)
    first = await RawClient.open(env.port)
    await first.send(GET % 1)
    await env.received.get()
    other = await RawClient.open(env.port)
    assert await other.closed() and env.server.rejected_count == 1


HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n"


@looped
@pytest.mark.parametrize(
    ("response", "outcome"),
    [
        (HEAD + b"ok", "ok"),
        (b"HTTP/1.1 103 Early Hints\r\n\r\n" + HEAD + b"ok", "ok"),
        (HEAD + b"o", "broken"),
        (b"", "broken"),
        (b"HTTP/1.1 200 OK\r\ncontent-le", "broken"),
        (b"certainly not HTTP\r\n\r\n", "error"),
        (b"HTTP/1.1 200 OK\r\n" + b"x: y\r\n" * 9000, "error"),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nx", "error"),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 99999999\r\n\r\n", "error"),
    ],
)
async def test_failure_after_the_first_byte_is_never_unreached_or_not_sent(response, outcome):
    env = Env()
    async with raw_server(response) as port:
        assert (await env.pool(port).fetch(GET % 1, 5)).outcome == outcome


@looped
async def test_a_refused_connection_is_unreached():
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))  # bound and not listening: refused, and nobody else gets the port
    reply = await Env().pool(sock.getsockname()[1]).fetch(GET % 1, 5)
    sock.close()
    assert reply.outcome == "unreached"


@looped
@pytest.mark.parametrize(("address", "port"), [("127.0.0.1", 99_999), ("127.0.0.1", -1), ("no address", 1)])
async def test_invalid_address_is_unreached_at_once(address, port):
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(5):
        reply = await Pool(loop, Timers(loop), address, port).fetch(b"x", 20)
    assert reply.outcome == "unreached"


@pytest.mark.parametrize("factor", [-1, 1])
@looped
async def test_port_out_of_range_is_unreached(factor):
    """Modulo 65536 it is the port of a server that listens."""
    env = Env()
    reply = await env.pool(env.port + factor * 65536).fetch(GET % 1, 5)
    assert reply.outcome == "unreached" and env.received.empty() and not env.server.connections


@looped
async def test_outcomes_late_withdrawn_and_not_sent():
    env = Env()
    pool, done = env.pool(), []
    reply = await pool.fetch(GET % 1, 0.05)
    assert reply.outcome == "late" and (await env.disconnected.get()).request.target == "/1"
    pool.request(GET % 2, 5, done.append).withdraw()
    assert done[0].outcome == "not_sent"
    request = pool.request(GET % 3, 5, done.append)
    while (await env.received.get()).request.target != "/3":
        pass
    request.withdraw()
    request.withdraw()
    assert [reply.outcome for reply in done] == ["not_sent", "withdrawn"]
    assert (await env.disconnected.get()).request.target == "/3"


@looped
async def test_request_that_is_no_longer_wanted_is_not_sent():
    env = Env()
    reply = asyncio.get_running_loop().create_future()
    env.pool().request(GET % 1, 5, reply.set_result, still_wanted=lambda: False)
    assert (await reply).outcome == "not_sent" and env.received.empty()


@looped
async def test_closed_pooled_connection_is_replaced_before_the_first_byte():
    env = Env()
    pool = env.pool()
    for expected in (1, 1):  # the second request uses the connection of the first
        reply = asyncio.ensure_future(pool.fetch(GET % 1, 5))
        (await env.received.get()).reply(200)
        assert (await reply).outcome == "ok" and pool.opened == expected
    for connection in list(env.server.connections):
        connection.close()
    await asyncio.sleep(0)
    while not pool.idle[0][1].stale():
        await asyncio.sleep(0)
    reply = asyncio.ensure_future(pool.fetch(GET % 2, 5))
    (await env.received.get()).reply(200)
    assert (await reply).outcome == "ok" and pool.opened == 2


@looped
async def test_pooled_connection_that_fails_after_the_first_byte_is_broken():
    env = Env()
    pool = env.pool()
    reply = asyncio.ensure_future(pool.fetch(GET % 1, 5))
    (await env.received.get()).reply(200)
    await reply
    reply = asyncio.ensure_future(pool.fetch(GET % 2, 5))
    exchange = await env.received.get()
    assert pool.opened == 1
    exchange.connection.abort()
    assert (await reply).outcome == "broken"


@looped
async def test_surplus_response_is_not_taken_for_that_of_the_next_request():
    env = Env()
    async with raw_server(HEAD + b"ok" + HEAD + b"no", hold=True) as port:
        pool = env.pool(port)
        assert (await pool.fetch(GET % 1, 5)).message.body == b"ok"
        assert not pool.idle


@looped
async def test_timers_run_in_order_and_cancelled_ones_do_not_run():
    timers, calls, last = Timers(asyncio.get_running_loop()), [], asyncio.Event()
    timers.after(0.03, last.set)
    for span in (0.02, 0.01, 0.02):
        timers.after(span, calls.append, (span, len(timers)))
    cancelled = [timers.after(0.01, calls.append, "cancelled") for _ in range(500)]
    for timer in cancelled:
        timer.cancel()
        timer.cancel()
    assert len(timers) == 4 and len(timers.heap) < 100
    await last.wait()
    assert calls == [(0.01, 2), (0.02, 1), (0.02, 3)] and len(timers) == 0


@looped
async def test_request_without_a_free_descriptor_is_unreached(monkeypatch):
    """Nothing can have run, so a paid play may go to another node."""
    env = Env()

    def fail(*args):
        raise OSError(24, "Too many open files")

    with monkeypatch.context() as patched:
        patched.setattr(socket, "socket", fail)
        reply = await env.pool().fetch(GET % 1, 5)
    assert reply.outcome == "unreached" and "Too many" in reply.why


@pytest.mark.parametrize("how", ["close", "half-close", "reset"])
@looped
async def test_disconnect_with_a_full_pipeline_is_reported_for_each_owed_response(how):
    """Nothing more is read from the client, and unread bytes precede the end of the connection."""
    env = Env(pipeline=2)
    client = await RawClient.open(env.port)
    await client.send(b"".join(GET % i for i in range(2)))
    exchanges = [await env.received.get() for _ in range(2)]
    await client.send(GET % 2)
    assert not any(exchange.client_disconnected() for exchange in exchanges)
    if how == "half-close":
        client.sock.shutdown(socket.SHUT_WR)
    else:
        if how == "reset":
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        client.close()
    # the kernel is asked, before anything is read
    assert all(exchange.client_disconnected() for exchange in exchanges)
    assert [await env.disconnected.get() for _ in range(2)] == exchanges and env.received.empty()


@pytest.mark.parametrize("busy", ["nothing", "a request under way", "half a request"])
@looped
async def test_idle_connection_is_closed_for_a_new_one_and_a_busy_one_is_not(busy):
    """Silent clients must not keep out one that sends a request. A connection on which a response is owed, or
    a request is being sent, stays open.
    """
    env = Env(connections=4)
    first = await RawClient.open(env.port)
    while not env.server.connections:
        await asyncio.sleep(0)
    (connection,) = env.server.connections
    if busy == "a request under way":
        await first.send(GET % 0)
        await env.received.get()
    elif busy == "half a request":
        await first.send((GET % 0)[:20])
        while not connection.has_partial_request:
            await asyncio.sleep(0)
    others = [await RawClient.open(env.port) for _ in range(30)]
    later = await RawClient.open(env.port)
    await later.send(GET % 1)
    exchange = await env.received.get()
    assert exchange.request.target == "/1" and len(env.server.connections) <= 4
    exchange.reply(200)
    assert (await later.message()).status == 200
    assert connection.closed == (busy == "nothing")
    assert not env.server.rejected_count
    for client in others:
        client.close()


def test_viewer_connection_limit_leaves_descriptors_for_the_list_service_and_nodes(monkeypatch):
    infinite = server.resource.RLIM_INFINITY
    for soft, most in ((1024, 600), (64, 24), (10, 1), (infinite, 10_000), (1 << 20, 10_000)):
        monkeypatch.setattr(server.resource, "getrlimit", lambda what, soft=soft: (soft, soft))
        assert server.viewer_connection_limit(10_000) == most


@looped
async def test_connection_with_an_unread_request_is_not_closed_as_idle():
    """The request is in the socket, unread, while an idle connection is looked for."""
    env = Env(connections=2)
    clients = [await RawClient.open(env.port) for _ in range(2)]
    while len(env.server.connections) < 2:
        await asyncio.sleep(0)
    clients[0].sock.send(GET % 0)
    assert env.server.close_longest_idle() and not env.server.close_longest_idle()
    assert (await env.received.get()).request.target == "/0" and await clients[1].closed()


@looped
async def test_connections_that_replace_each_other_hold_few_extra_descriptors():
    """All of them wait in the backlog at once; replaced connections free their descriptors in the next
    iteration of the event loop.
    """
    env = Env(connections=4)
    env.server.pause_accepting()
    clients = [await RawClient.open(env.port) for _ in range(40)]
    while env.server.accept_waiting():
        assert len(env.server.connections) + env.server.closing_count <= 4 + server.MAX_CLOSING_DESCRIPTORS
        await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert len(env.server.connections) == 4 and not env.server.closing_count and not env.server.rejected_count
    assert all([await client.closed() for client in clients[:36]])
    for client in clients:
        client.close()


@looped
async def test_partial_requests_do_not_keep_out_a_new_connection():
    env = Env(connections=4)
    crowd = [await RawClient.open(env.port) for _ in range(4)]
    for client in crowd:
        await client.send((GET % 0)[:20])
        while len(env.server.partial) <= crowd.index(client):
            await asyncio.sleep(0)
    await crowd[0].send((GET % 0)[20:25])  # doesn't renew its place
    first = next(iter(env.server.partial))
    while first.has_unread_data():
        await asyncio.sleep(0)
    later = await RawClient.open(env.port)
    await later.send(GET % 1)
    exchange = await env.received.get()
    exchange.reply(200)
    assert (await later.message()).status == 200 and first.closed and await crowd[0].closed()
    assert len(env.server.partial) == 3
    for client in crowd:
        client.close()
