"""Releases of nodes that are lost with their connection: the node repeats them on the next one that opens."""

import pytest
from loopback import looped
from relay.deployment import Client, UnreachableNodes, deployment, set_up

from curlewhall.codecs.messages import RELEASE
from curlewhall.relay import nodes
from curlewhall.standins.platform import abort

RELEASE_LIMIT_S = 8.0  # by the platform's rules, from the end of a session to its viewer's release
NORMAL_CLEARING = 16


async def two_connections(env, client):
    """Two established sessions of one node, each on a connection of its own."""
    node = env.platform.nodes["n0"]
    node.behaviour = ["silent", "serve"]
    first = client.request_play()
    await env.advance(0.01)
    second = client.request_play()
    await env.advance(0.01)
    node.answer_late(first)
    node.pending.pop(first)
    await env.advance(0.01)
    assert node.sessions[first] is not node.sessions[second]
    assert env.relay.viewers.sessions.keys() == {first, second}
    return first, second


def lose_release(node, session):
    """The session ends at its node; what the node writes of it reaches nobody, until it repeats it."""
    del node.sessions[session]
    node.unacknowledged_ends[session] = NORMAL_CLEARING
    node.record("ended", session, NORMAL_CLEARING)


async def release_delay(env, client, session, busy, limit_s=RELEASE_LIMIT_S):
    """After how long a session's release reaches its viewer, while `busy` has notes on its own connection."""
    node, waited = env.platform.nodes["n0"], 0.0
    while not any(m.kind == RELEASE for m in client.answers(session)):
        assert waited <= limit_s, "the viewer is left standing"
        node.send_note(busy, "level", 1)
        await env.advance(0.25)
        waited += 0.25
    return waited


def stop_short(env, node, writer, session):
    writer.write(node.answer(200, session, b"v=0\r\n")[:-3])


def send_noise(env, node, writer, session):
    writer.write(b"\x00\xff\x13\x07")


def reset(env, node, writer, session):
    abort(writer)


def never_answer(env, node, writer, session):
    """The connection stays open, and nothing passes on it any more."""
    node.acknowledges = False
    writer.transport.pause_reading()


@pytest.mark.parametrize("trouble", [stop_short, send_noise, reset, never_answer])
@pytest.mark.parametrize("patience", ["3000", "9000", "25000"])
@looped
async def test_release_lost_with_a_set_up_on_its_connection_reaches_its_viewer(
    tmp_path, clock, trouble, patience
):
    """review/3: light traffic on another connection kept the front from opening a new one."""
    async with deployment(tmp_path, nodes=("n0",), clock=clock) as env:
        client, node = Client(env), env.platform.nodes["n0"]
        first, second = await two_connections(env, client)
        node.send_note(first, "level", 1)  # so that the next set-up goes by its connection
        await env.advance(0.01)
        node.behaviour = "silent"
        third = "c" * 16
        client.send(set_up(third, "paid", patience))
        await env.advance(0.1)
        writer = node.setup_connections[third]
        assert writer is node.sessions[first]
        trouble(env, node, writer, third)
        lose_release(node, first)
        assert await release_delay(env, client, first, second) <= RELEASE_LIMIT_S
        assert len(client.answers(first)) == 2  # its answer and one release
        assert not env.platform.violations()


@looped
async def test_release_lost_on_a_connection_that_a_late_set_up_left_in_doubt(tmp_path, clock):
    """The set-up is given up, and nothing shows that its connection lives; another one is in use."""
    async with deployment(tmp_path, nodes=("n0",), clock=clock) as env:
        client, node = Client(env), env.platform.nodes["n0"]
        first, second = await two_connections(env, client)
        node.send_note(first, "level", 1)
        await env.advance(0.01)
        node.behaviour, node.acknowledges = "silent", False
        third = client.request_play(product="paid", patience="1000")
        await env.advance(0.1)
        writer = node.setup_connections[third]
        assert writer is node.sessions[first]
        node.send_note(first, "level", 2)  # the connection is alive after the set-up was sent
        await env.advance(0.1)
        writer.transport.pause_reading()  # from here on nothing passes on it
        lose_release(node, first)
        assert await release_delay(env, client, first, second) <= RELEASE_LIMIT_S


@pytest.mark.parametrize("asked_after_s", [0.5, 2.9, 4.7, 5.7])
@pytest.mark.parametrize("patience", ["1000", "4000", "25000"])
@looped
async def test_set_up_on_the_connection_of_a_vanished_machine_does_not_delay_releases(
    tmp_path, clock, monkeypatch, asked_after_s, patience
):
    """review/7: silence was counted from the set-up, though the node had been silent for long before it."""
    async with deployment(tmp_path, nodes=("n0",), clock=clock) as env:
        client = Client(env)
        standing = client.request_play()
        await env.advance(0.1)
        assert standing in env.relay.viewers.sessions
        UnreachableNodes(env, monkeypatch, ("n0",), silent=True)
        await env.advance(asked_after_s)
        client.send(set_up("c" * 16, "paid", patience))
        await env.advance(RELEASE_LIMIT_S - asked_after_s)
        assert [m.kind for m in client.answers(standing)][1:] == [RELEASE]


@looped
async def test_set_up_that_is_given_up_does_not_delay_releases_of_its_connection(tmp_path, clock):
    """Silence was counted anew from the end of a set-up, while a later one kept its connection in use."""
    async with deployment(tmp_path, nodes=("n0",), clock=clock) as env:
        client, node = Client(env), env.platform.nodes["n0"]
        first, second = await two_connections(env, client)
        usual, env.relay.nodes.max_connections = env.relay.nodes.max_connections, 2  # set-ups share them
        node.send_note(first, "level", 1)
        await env.advance(0.01)
        node.behaviour, node.acknowledges = "silent", False
        given_up = client.request_play(product="paid", patience="25000")
        await env.advance(0.1)
        writer = node.setup_connections[given_up]
        assert writer is node.sessions[first]
        on_other = client.request_play(product="paid", patience="25000")
        await env.advance(0.1)
        assert node.setup_connections[on_other] is node.sessions[second]
        writer.transport.pause_reading()  # from here on nothing passes on it
        lose_release(node, first)
        relay_connection = env.relay.viewers.sessions[given_up].active_play.pending[0].connection
        await env.advance(2.5)
        client.send(set_up("c" * 16, "paid", "25000"))
        await env.settle()
        assert "c" * 16 in relay_connection.set_ups
        env.relay.nodes.max_connections = usual
        client.release(given_up)
        await env.settle()
        left_s = RELEASE_LIMIT_S - 2.5
        assert await release_delay(env, client, first, second, left_s) <= left_s


async def until_close_begins(env, busy):
    """Advance until the relay closes one of its two connections to its node; other traffic goes on."""
    (node,) = env.relay.nodes.nodes.values()
    for _ in range(200):
        env.platform.nodes["n0"].send_note(busy, "level", 1)
        await env.settle()
        env.clock.now += 0.1
        env.relay.timers.run_due()
        if len(node.connections) < 2:
            return
        await env.settle()
    raise AssertionError("no connection was closed")


@looped
async def test_release_that_crosses_the_close_of_an_idle_connection_reaches_its_viewer(tmp_path, clock):
    """review/3, closes of the front itself: a release on its way met a closed socket."""
    async with deployment(tmp_path, nodes=("n0",), clock=clock) as env:
        client, node = Client(env), env.platform.nodes["n0"]
        first, second = await two_connections(env, client)
        await until_close_begins(env, second)
        node.end(first, NORMAL_CLEARING)  # the node has not read the close yet
        await env.settle()
        assert [m.kind for m in client.answers(first)][1:] == [RELEASE]
        await env.advance(nodes.CLOSE_TIMEOUT_S + 0.1)
        assert len(env.platform.records_of("connected")) == 2  # the node has closed, too: no other is needed
        assert len(env.relay.nodes.connections) == 1


@looped
async def test_connection_that_its_node_does_not_close_is_replaced(tmp_path, clock, monkeypatch):
    """A close that the node doesn't confirm proves nothing: what it has written may be lost."""
    async with deployment(tmp_path, nodes=("n0",), clock=clock) as env:
        client, node = Client(env), env.platform.nodes["n0"]
        first, second = await two_connections(env, client)
        held = node.sessions[first]
        held.transport.pause_reading()  # it never learns of the close
        await until_close_begins(env, second)
        lose_release(node, first)
        assert await release_delay(env, client, first, second) <= 2 * nodes.CLOSE_TIMEOUT_S
        assert len(env.platform.records_of("connected")) == 3


@looped
async def test_close_by_its_node_costs_no_further_connection(tmp_path, clock):
    """What the node wrote was read to its end; each connection has its price for the whole fleet."""
    async with deployment(tmp_path, nodes=("n0",), clock=clock) as env:
        client, node = Client(env), env.platform.nodes["n0"]
        first, second = await two_connections(env, client)
        node.sessions[first].close()
        await env.advance(3.0)
        assert len(env.platform.records_of("connected")) == 2
        node.end(first, NORMAL_CLEARING)
        await env.advance(0.1)
        assert [m.kind for m in client.answers(first)][1:] == [RELEASE]
        assert second in env.relay.viewers.sessions


@looped
async def test_release_lost_with_a_connection_closed_for_lack_of_room_reaches_its_viewer(tmp_path, clock):
    """A connection that makes room is closed at once; its node gets a new one when there is room."""
    async with deployment(tmp_path, nodes=("n0",), clock=clock) as env:
        client, node = Client(env), env.platform.nodes["n0"]
        first, second = await two_connections(env, client)
        relay_node = env.relay.nodes.nodes["n0"]
        lost = next(
            c
            for c in relay_node.connections
            if c.last_received == min(other.last_received for other in relay_node.connections)
        )
        sockets = {writer.get_extra_info("peername"): writer for writer in node.connections}
        session = next(
            s for s in (first, second) if node.sessions[s] is sockets[lost.transport.sock.getsockname()]
        )
        lose_release(node, session)
        env.relay.nodes.max_connections = 2
        assert env.relay.nodes.free_connection() and len(relay_node.connections) == 1
        busy = second if session == first else first
        assert await release_delay(env, client, session, busy) <= RELEASE_LIMIT_S


@pytest.mark.parametrize("lost_for_s", [5.0, 60.0])
@looped
async def test_zone_that_is_lost_for_five_seconds_has_its_viewers_released_in_time(
    tmp_path, clock, monkeypatch, lost_for_s
):
    """review/10: each node was looked at after 6 s, and the new process taken for the old one."""
    async with deployment(tmp_path, nodes=("n0", "n1"), clock=clock) as env:
        client = Client(env)
        standing = []
        for number in (0, 1):
            env.relay.driver.module.random_below = lambda bound, number=number: number % bound
            standing.append(client.request_play())
            await env.advance(0.1)
        assert {node for node, _ in env.sent()} == {"n0", "n1"}
        zone = UnreachableNodes(env, monkeypatch, ("n0", "n1"), silent=True)
        await env.advance(min(lost_for_s, RELEASE_LIMIT_S))
        if lost_for_s < RELEASE_LIMIT_S:
            zone.end()
            for node in env.platform.nodes.values():
                node.sessions.clear()  # new processes, which know nothing of before
            await env.advance(RELEASE_LIMIT_S - lost_for_s)
        assert [[m.kind for m in client.answers(s)][1:] for s in standing] == [[RELEASE]] * 2


@looped
async def test_quiet_zone_that_is_well_costs_no_more_connections_than_its_nodes_alone(tmp_path, clock):
    """Two silent nodes share their tests: one in 3 s for both, as one in 6 s for each."""
    async with deployment(tmp_path, nodes=("n0", "n1"), clock=clock) as env:
        client = Client(env)
        for number in (0, 1):
            env.relay.driver.module.random_below = lambda bound, number=number: number % bound
            client.request_play()
            await env.advance(0.1)
        assert {node for node, _ in env.sent()} == {"n0", "n1"}
        before = len(env.platform.records_of("connected"))
        await env.advance(60.0)
        usual_s = env.relay.nodes.silence_timeouts.usual
        assert len(env.platform.records_of("connected")) - before <= 2 * 60.0 / usual_s
        assert len(env.relay.viewers.sessions) == 2
