"""Server and client over loopback: order, limits, hang-ups, and how surely nothing ran."""

import asyncio
import socket

import pytest
from loopback import RawClient, looped, raw_server

from curlewhall.wire import http, server
from curlewhall.wire.client import Pool
from curlewhall.wire.server import Server, listen
from curlewhall.wire.timers import Timers

GET = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"


class Rig:
    """A server whose exchanges wait in `asked` until a test answers them."""

    def __init__(self, **limits):
        self.loop = asyncio.get_running_loop()
        self.timers = Timers(self.loop)
        self.asked, self.gone = asyncio.Queue(), asyncio.Queue()
        sock = listen("127.0.0.1", 0)
        self.port = sock.getsockname()[1]
        self.server = Server(self.loop, self.timers, sock, self.handle, http.Limits()._replace(**limits))

    def handle(self, exchange):
        exchange.on_disconnect = lambda: self.gone.put_nowait(exchange)
        self.asked.put_nowait(exchange)

    def pool(self, port=None, **more):
        return Pool(self.loop, self.timers, "127.0.0.1", port or self.port, **more)


@looped
async def test_pipelined_requests_are_answered_in_order_whatever_is_ready_first():
    rig = Rig()
    peer = await RawClient.open(rig.port)
    await peer.send(b"".join(GET % i for i in range(3)))
    first, second, third = [await rig.asked.get() for _ in range(3)]
    third.reply(200, {}, b"C")
    second.start(200, {})
    second.write(b"B")
    second.finish()
    first.reply(200, {}, b"A")
    bodies = [(await peer.message()).body for _ in range(3)]
    assert bodies == [b"A", b"B", b"C"]


@looped
async def test_no_more_requests_are_taken_than_the_pipeline_holds():
    rig = Rig(pipeline=2)
    peer = await RawClient.open(rig.port)
    await peer.send(b"".join(GET % i for i in range(2)))
    taken = [await rig.asked.get() for _ in range(2)]
    await peer.send(b"".join(GET % i for i in range(2, 4)))
    for exchange in taken:
        exchange.reply(200)
    assert [(await rig.asked.get()).request.target for _ in range(2)] == ["/2", "/3"]


@looped
async def test_a_reader_that_never_reads_loses_its_connection_not_our_memory():
    rig = Rig(queued=200_000)
    peer = await RawClient.open(rig.port)
    await peer.send(GET % 1)
    exchange = await rig.asked.get()
    exchange.start(200, {})
    while exchange.open:
        exchange.write(b"x" * 10_000)
        await asyncio.sleep(0)
    assert (
        rig.server.slow_client_count == 1 and not exchange.pieces or sum(map(len, exchange.pieces)) < 300_000
    )
    assert await rig.gone.get() is exchange


@looped
async def test_who_hangs_up_with_an_answer_owed_is_told_of_once():
    rig = Rig()
    peer = await RawClient.open(rig.port)
    await peer.send(GET % 1 + GET % 2)
    exchanges = [await rig.asked.get() for _ in range(2)]
    exchanges[0].reply(200)
    await peer.message()
    peer.close()
    assert await rig.gone.get() is exchanges[1]
    exchanges[1].reply(200)  # too late, and harmless
    assert rig.gone.empty() and not rig.server.connections


@looped
async def test_a_refused_message_is_answered_after_what_is_owed_and_ends_the_connection():
    rig = Rig()
    peer = await RawClient.open(rig.port)
    await peer.send(GET % 1 + b"GET / HTTP/1.1\r\n\r\n" + GET % 2)
    (await rig.asked.get()).reply(200)
    assert [(await peer.message()).status for _ in range(2)] == [200, 400]
    assert await peer.closed() and rig.asked.empty()


@looped
@pytest.mark.parametrize(("raw", "status"), [(b"GET / HTTP/1.1\r\nHos", 408), (b"", None)])
async def test_half_a_request_and_none_at_all_run_out_of_time(raw, status):
    rig = Rig(read=0.05, idle=0.05)
    peer = await RawClient.open(rig.port)
    await peer.send(raw)
    if status:
        assert (await peer.message()).status == status
    assert await peer.closed()


@looped
async def test_a_held_answer_outlasts_the_idle_limit():
    rig = Rig(idle=0.03)
    reply = asyncio.ensure_future(rig.pool().fetch(GET % 1, 5))
    exchange = await rig.asked.get()
    for _ in range(3):  # three limits pass; each is seen to pass, none is guessed
        passed = asyncio.Event()
        rig.timers.after(0.04, passed.set)
        await passed.wait()
    exchange.reply(200)
    assert (await reply).outcome == "ok"


@looped
async def test_connections_beyond_the_limit_are_turned_away():
    rig = Rig(connections=1)
    one = await RawClient.open(rig.port)
    await one.send(GET % 1)
    await rig.asked.get()
    other = await RawClient.open(rig.port)
    assert await other.closed() and rig.server.rejected_count == 1


HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n"


@looped
@pytest.mark.parametrize(
    ("said", "ending"),
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
async def test_what_came_after_the_first_byte_is_never_taken_for_proof(said, ending):
    rig = Rig()
    async with raw_server(said) as port:
        assert (await rig.pool(port).fetch(GET % 1, 5)).outcome == ending


@looped
async def test_a_refused_connection_is_unreached():
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))  # bound and not listening: refused, and nobody else gets the port
    reply = await Rig().pool(sock.getsockname()[1]).fetch(GET % 1, 5)
    sock.close()
    assert reply.outcome == "unreached"


@looped
@pytest.mark.parametrize(("address", "port"), [("127.0.0.1", 99_999), ("127.0.0.1", -1), ("no address", 1)])
async def test_an_address_that_is_none_is_unreached_at_once(address, port):
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(5):
        reply = await Pool(loop, Timers(loop), address, port).fetch(b"x", 20)
    assert reply.outcome == "unreached"


@pytest.mark.parametrize("turns", [-1, 1])
@looped
async def test_a_number_that_is_no_port_reaches_nobody(turns):
    """Taken modulo 65536 it would be the port of somebody who listens."""
    rig = Rig()
    reply = await rig.pool(rig.port + turns * 65536).fetch(GET % 1, 5)
    assert reply.outcome == "unreached" and rig.asked.empty() and not rig.server.connections


@looped
async def test_late_withdrawn_and_never_sent():
    rig = Rig()
    pool, done = rig.pool(), []
    reply = await pool.fetch(GET % 1, 0.05)
    assert reply.outcome == "late" and (await rig.gone.get()).request.target == "/1"
    pool.request(GET % 2, 5, done.append).withdraw()
    assert done[0].outcome == "not_sent"
    ask = pool.request(GET % 3, 5, done.append)
    while (await rig.asked.get()).request.target != "/3":
        pass
    ask.withdraw()
    ask.withdraw()
    assert [reply.outcome for reply in done] == ["not_sent", "withdrawn"]
    assert (await rig.gone.get()).request.target == "/3"


@looped
async def test_a_no_in_the_last_moment_sends_nothing():
    rig = Rig()
    reply = asyncio.get_running_loop().create_future()
    rig.pool().request(GET % 1, 5, reply.set_result, still_wanted=lambda: False)
    assert (await reply).outcome == "not_sent" and rig.asked.empty()


@looped
async def test_a_pooled_connection_found_closed_is_replaced_before_the_first_byte():
    rig = Rig()
    pool = rig.pool()
    for expected in (1, 1):  # the second is served over the first one's connection
        reply = asyncio.ensure_future(pool.fetch(GET % 1, 5))
        (await rig.asked.get()).reply(200)
        assert (await reply).outcome == "ok" and pool.opened == expected
    for line in list(rig.server.connections):
        line.close()
    await asyncio.sleep(0)
    while not pool.idle[0][1].stale():
        await asyncio.sleep(0)
    reply = asyncio.ensure_future(pool.fetch(GET % 2, 5))
    (await rig.asked.get()).reply(200)
    assert (await reply).outcome == "ok" and pool.opened == 2


@looped
async def test_a_pooled_connection_that_dies_after_the_first_byte_is_broken_never_unreached():
    rig = Rig()
    pool = rig.pool()
    reply = asyncio.ensure_future(pool.fetch(GET % 1, 5))
    (await rig.asked.get()).reply(200)
    await reply
    reply = asyncio.ensure_future(pool.fetch(GET % 2, 5))
    exchange = await rig.asked.get()
    assert pool.opened == 1
    exchange.connection.abort()
    assert (await reply).outcome == "broken"


@looped
async def test_an_answer_too_many_is_not_taken_for_that_of_the_next_request():
    rig = Rig()
    async with raw_server(HEAD + b"ok" + HEAD + b"no", hold=True) as port:
        pool = rig.pool(port)
        assert (await pool.fetch(GET % 1, 5)).message.body == b"ok"
        assert not pool.idle


@looped
async def test_timers_ring_in_order_and_forget_what_was_cancelled():
    timers, rung, last = Timers(asyncio.get_running_loop()), [], asyncio.Event()
    timers.after(0.03, last.set)
    for span in (0.02, 0.01, 0.02):
        timers.after(span, rung.append, (span, len(timers)))
    dead = [timers.after(0.01, rung.append, "dead") for _ in range(500)]
    for timer in dead:
        timer.cancel()
        timer.cancel()
    assert len(timers) == 4 and len(timers.heap) < 100
    await last.wait()
    assert rung == [(0.01, 2), (0.02, 1), (0.02, 3)] and len(timers) == 0


@looped
async def test_without_a_descriptor_nothing_was_sent(monkeypatch):
    """The proof that nothing ran is not lost: a paid play may go to another node."""
    rig = Rig()

    def none(*facts):
        raise OSError(24, "Too many open files")

    with monkeypatch.context() as short:
        short.setattr(socket, "socket", none)
        reply = await rig.pool().fetch(GET % 1, 5)
    assert reply.outcome == "unreached" and "Too many" in reply.why


@pytest.mark.parametrize("how", ["close", "half-close", "reset"])
@looped
async def test_who_hangs_up_with_the_pipeline_full_is_missed_at_once(how):
    """No more is read from it, and bytes lie before its end: each that is owed an answer is told."""
    rig = Rig(pipeline=2)
    peer = await RawClient.open(rig.port)
    await peer.send(b"".join(GET % i for i in range(2)))
    taken = [await rig.asked.get() for _ in range(2)]
    await peer.send(GET % 2)
    assert not any(exchange.client_disconnected() for exchange in taken)
    if how == "half-close":
        peer.sock.shutdown(socket.SHUT_WR)
    else:
        if how == "reset":
            peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        peer.close()
    # the kernel is asked, before anything is read
    assert all(exchange.client_disconnected() for exchange in taken)
    assert [await rig.gone.get() for _ in range(2)] == taken and rig.asked.empty()


@pytest.mark.parametrize("busy", ["nothing", "a request under way", "half a request"])
@looped
async def test_whoever_has_been_idle_longest_makes_room(busy):
    """A crowd that says nothing takes no room from who asks; who is owed an answer, or is asking, stays."""
    rig = Rig(connections=4)
    first = await RawClient.open(rig.port)
    while not rig.server.connections:
        await asyncio.sleep(0)
    (line,) = rig.server.connections
    if busy == "a request under way":
        await first.send(GET % 0)
        await rig.asked.get()
    elif busy == "half a request":
        await first.send((GET % 0)[:20])
        while not line.has_partial_request:
            await asyncio.sleep(0)
    crowd = [await RawClient.open(rig.port) for _ in range(30)]
    later = await RawClient.open(rig.port)
    await later.send(GET % 1)
    exchange = await rig.asked.get()
    assert exchange.request.target == "/1" and len(rig.server.connections) <= 4
    exchange.reply(200)
    assert (await later.message()).status == 200
    assert line.closed == (busy == "nothing")
    assert not rig.server.rejected_count
    for peer in crowd:
        peer.close()


def test_viewers_leave_descriptors_for_the_list_and_the_nodes(monkeypatch):
    endless = server.resource.RLIM_INFINITY
    for soft, most in ((1024, 600), (64, 24), (10, 1), (endless, 10_000), (1 << 20, 10_000)):
        monkeypatch.setattr(server.resource, "getrlimit", lambda what, soft=soft: (soft, soft))
        assert server.viewer_connection_limit(10_000) == most


@looped
async def test_who_has_just_asked_does_not_make_room():
    """The request lies in the socket, unread, as room is made."""
    rig = Rig(connections=2)
    peers = [await RawClient.open(rig.port) for _ in range(2)]
    while len(rig.server.connections) < 2:
        await asyncio.sleep(0)
    peers[0].sock.send(GET % 0)
    assert rig.server.close_longest_idle() and not rig.server.close_longest_idle()
    assert (await rig.asked.get()).request.target == "/0" and await peers[1].closed()


@looped
async def test_a_crowd_that_takes_each_others_room_holds_few_descriptors_more():
    """All wait at the door in one turn; what is closed for them gives its descriptor back in the next."""
    rig = Rig(connections=4)
    rig.server.pause_accepting()
    peers = [await RawClient.open(rig.port) for _ in range(40)]
    while rig.server.accept_waiting():
        assert len(rig.server.connections) + rig.server.closing_count <= 4 + server.MAX_CLOSING_DESCRIPTORS
        await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert len(rig.server.connections) == 4 and not rig.server.closing_count and not rig.server.rejected_count
    assert all([await peer.closed() for peer in peers[:36]])
    for peer in peers:
        peer.close()


@looped
async def test_a_crowd_of_half_requests_keeps_nobody_out():
    rig = Rig(connections=4)
    crowd = [await RawClient.open(rig.port) for _ in range(4)]
    for peer in crowd:
        await peer.send((GET % 0)[:20])
        while len(rig.server.partial) <= crowd.index(peer):
            await asyncio.sleep(0)
    await crowd[0].send((GET % 0)[20:25])  # no younger for it
    first = next(iter(rig.server.partial))
    while first.has_unread_data():
        await asyncio.sleep(0)
    later = await RawClient.open(rig.port)
    await later.send(GET % 1)
    exchange = await rig.asked.get()
    exchange.reply(200)
    assert (await later.message()).status == 200 and first.closed and await crowd[0].closed()
    assert len(rig.server.partial) == 3
    for peer in crowd:
        peer.close()
