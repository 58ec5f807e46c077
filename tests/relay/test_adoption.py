"""Sessions of before a front's start, which viewers name (`at`) and nodes report."""

import asyncio
import time

import pytest
from loopback import looped
from relay.deployment import Client, deployment

from curlewhall.codecs.messages import ANSWER, RELEASE
from curlewhall.relay.decide import AdoptionLimits, SilenceTimeouts
from curlewhall.standins.platform import abort

STREAMS = 8  # of a node, by the settings of these tests
UNKNOWN_SESSIONS = 3000  # far more than all nodes have streams


def sizes(relay):
    """The lengths of all tables that a session of before the start may be in."""
    nodes = relay.nodes.nodes.values()
    return {
        "sessions": len(relay.viewers.sessions),
        "connections": sum(len(c.sessions) for c in relay.viewers.connections.values()),
        "nodes": sum(len(n.sessions) + len(n.unconfirmed) for n in nodes),
        "plays": len(relay.driver.plays),
        "module": len(relay.driver.module.plays),
        "undelivered": len(relay.viewers.undelivered),
    }


@looped
async def test_sessions_that_no_node_knows_are_bounded_and_keep_no_viewer_out(tmp_path):
    """review/1: each was kept for good and took a stream at its node in the module; memory grew."""
    async with deployment(tmp_path) as env:
        for _ in range(5):
            client = Client(env)
            for i in range(UNKNOWN_SESSIONS // 5):
                client.request_play(at=f"n{i % 4}", patience="0")
                if i % 100 == 0:
                    await env.settle()
            client.close()
            await env.settle()
        await env.wait_until(lambda: not env.relay.viewers.connections)
        held = sizes(env.relay)
        assert held["sessions"] == held["nodes"] == 4 * STREAMS
        assert held["plays"] == held["module"] == held["undelivered"] == 0
        viewer = await env.platform.viewer(env.port)
        for _ in range(6):
            assert (await viewer.wait_for_message(viewer.request_play())).kind == ANSWER


@looped
async def test_session_beyond_the_streams_of_its_node_is_refused_and_the_others_stay(tmp_path):
    """A client that names too many is told so, as any client is whose set-up can't be used."""
    async with deployment(tmp_path) as env:
        viewer = await env.platform.viewer(env.port)
        asked = [viewer.request_play(at="n1", patience="0") for _ in range(STREAMS)]
        one_more, nowhere = (viewer.request_play(at=node, patience="0") for node in ("n1", "n9"))
        for refused in (one_more, nowhere):
            assert (await viewer.wait_for_message(refused)).kind == RELEASE
        assert env.relay.viewers.sessions.keys() == set(asked)


@looped
async def test_session_counts_as_a_play_once_its_node_has_reported_it(tmp_path):
    """review/1, the other side: what nodes do hold is counted as before, and its end is told."""
    async with deployment(tmp_path) as env:
        viewer, node = await env.platform.viewer(env.port), env.platform.nodes["n2"]
        held, ended = (viewer.request_play(at="n2", patience="0") for _ in range(2))
        node.hold(held, rung=1)
        node.hold(ended)
        await env.wait_until(lambda: env.relay.driver.plays.keys() == {held, ended})
        assert env.relay.driver.module.nodes["n2"].plays.keys() == {held, ended}
        node.end(ended, 16)
        assert (await viewer.wait_for_message(ended)).kind == RELEASE
        assert env.relay.driver.plays.keys() == {held} == env.relay.viewers.sessions.keys()


@looped
async def test_end_of_a_session_that_was_never_reported_releases_its_viewer(tmp_path):
    async with deployment(tmp_path) as env:
        viewer, node = await env.platform.viewer(env.port), env.platform.nodes["n2"]
        session = viewer.request_play(at="n2", patience="0")
        await env.wait_until(lambda: node.connections)
        node.sessions[session] = None
        node.end(session, 41)
        assert (await viewer.wait_for_message(session)).kind == RELEASE
        assert not any(sizes(env.relay).values())


@pytest.mark.parametrize("stays", [True, False])
@looped
async def test_session_that_a_connected_node_does_not_report_is_ended_in_time(tmp_path, clock, stays):
    """Its viewer is told within 8 s; if the client has gone, no other viewer gets the release."""
    async with deployment(tmp_path, nodes=("n0",), clock=clock) as env:
        usual, client = Client(env), Client(env)
        served = usual.request_play()
        session = client.request_play(at="n0", patience="0")
        await env.advance(2.5)
        assert session in env.relay.nodes.nodes["n0"].unconfirmed
        if not stays:
            client.close()
        await env.advance(5.0)
        assert env.relay.viewers.sessions.keys() == {served}
        assert env.platform.records_of("cut", session)  # in case that it does run there
        assert len(client.answers(session)) == 1 if stays else not usual.answers(session)
        assert not env.relay.viewers.undelivered
        usual.close()


@pytest.mark.parametrize("reported", [True, False])
@looped
async def test_viewer_that_releases_its_session_of_before_ends_it_at_its_node(tmp_path, reported):
    async with deployment(tmp_path) as env:
        viewer, node = await env.platform.viewer(env.port), env.platform.nodes["n2"]
        session = viewer.request_play(at="n2", patience="0")
        await env.wait_until(lambda: node.connections)
        if reported:
            node.hold(session)
            await env.wait_until(lambda: session in env.relay.driver.plays)
        viewer.release(session)
        await env.wait_until(lambda: env.platform.records_of("cut", session))
        assert not any(sizes(env.relay).values())


@looped
async def test_session_of_a_node_that_has_started_anew_is_over_though_it_was_not_reported(tmp_path):
    async with deployment(tmp_path, nodes=("n0", "n1")) as env:
        viewer = await env.platform.viewer(env.port)
        session = viewer.request_play(at="n0", patience="0")
        await env.wait_until(lambda: env.relay.viewers.sessions)
        await asyncio.sleep(0.01)
        started = time.time_ns() // 1_000_000
        env.platform.channel.send_event(2, [env.platform.member("n0", since=started)])
        assert (await viewer.wait_for_message(session)).kind == RELEASE
        assert not any(sizes(env.relay).values())


@pytest.mark.parametrize(
    ("kind", "held", "accepted"),
    [("small", 1, True), ("small", 2, False), ("large", 2, True), ("large", 5, False), ("new", 2, False)],
)
def test_node_holds_as_many_sessions_as_it_has_streams(kind, held, accepted):
    settings = {"kinds": ["small", "large"], "specifics.kind_streams": [2, 5]}
    timeouts = SilenceTimeouts(0.5, 2, 0.25)
    limits = AdoptionLimits(settings, timeouts)
    assert limits.accepts(kind, held) is accepted
    assert limits.confirmation_timeout_s == timeouts.usual


@looped
async def test_session_whose_report_was_lost_with_its_connection_is_not_cut(tmp_path, clock):
    """review/9: a new connection was reset; three paid plays of before were cut 6.5 s later."""
    async with deployment(tmp_path, nodes=("n0",), clock=clock) as env:
        node, client = env.platform.nodes["n0"], Client(env)
        asked = [client.request_play(product="paid", at="n0", patience="0") for _ in range(3)]
        await env.settle()
        await env.advance(0.3)  # the way in of a young front
        (connection,) = node.connections
        abort(connection)
        node.sessions |= dict.fromkeys(asked)
        await env.advance(20.0)
        assert not env.platform.records_of("cut") and not client.answers(asked[0])
        assert env.relay.driver.plays.keys() == set(asked)  # they take their seats
        node.sessions |= dict.fromkeys(asked, next(iter(node.connections)))
        for session in asked:
            node.end(session, 16)
        await env.settle()
        assert [[m.kind for m in client.answers(session)] for session in asked] == [[RELEASE]] * 3
        assert not any(sizes(env.relay).values())


@looped
async def test_session_that_counts_on_its_viewer_alone_ends_with_the_connection(tmp_path, clock):
    """What a client has invented takes no stream of the node for longer than the client stays."""
    async with deployment(tmp_path, nodes=("n0",), clock=clock) as env:
        node, client, usual = env.platform.nodes["n0"], Client(env), Client(env)
        invented, real = (c.request_play(at="n0", patience="0") for c in (client, usual))
        await env.settle()
        await env.advance(0.3)
        abort(next(iter(node.connections)))
        await env.advance(8.0)
        assert env.relay.driver.plays.keys() == {invented, real}
        node.hold(real)
        await env.settle()
        client.close()
        usual.close()
        await env.settle()
        assert env.relay.driver.plays.keys() == {real} and env.platform.records_of("cut", invented)


@looped
async def test_session_at_a_node_that_stands_still_is_not_cut(tmp_path, clock):
    """review/9, by hand: reports that came after 6.9 s found their sessions cut."""
    async with deployment(tmp_path, nodes=("n0",), clock=clock) as env:
        node, client = env.platform.nodes["n0"], Client(env)
        real, node.handle = node.handle, lambda writer, message: None  # it takes all and answers nothing
        session = client.request_play(at="n0", patience="0")
        await env.settle()
        await env.advance(15.0)
        assert not client.answers(session) and session in env.relay.viewers.sessions
        node.handle = real
        node.hold(session)
        await env.settle()
        assert env.relay.driver.plays.keys() == {session}


@looped
async def test_invented_sessions_at_a_quiet_node_are_no_plays(tmp_path, clock):
    """A silent connection that the front itself replaces loses no report: the node says nothing at all."""
    async with deployment(tmp_path, nodes=("n0", "n1"), clock=clock) as env:
        client = Client(env)
        for i in range(6):
            client.request_play(at=f"n{i % 2}", patience="0")
        await env.settle()
        for _ in range(12):
            await env.advance(1.0)
            assert not env.relay.driver.plays
        assert not any(sizes(env.relay).values())
