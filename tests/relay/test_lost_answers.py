"""Set-ups whose answer is lost with its connection: the session may stand, and has to be ended first."""

import pytest
from loopback import looped
from relay.deployment import Client, UnreachableNodes, cause, deployment

from curlewhall.codecs.messages import ANSWER
from curlewhall.standins.platform import abort

TEMPORARY_FAILURE = 41


def rows_of(env, session):
    """What nodes got and did for a session, in order."""
    kinds = "set-up", "answered", "cut", "given up"
    return [(row[0], row[1]) for row in env.platform.traffic if row[2] == session and row[1] in kinds]


@looped
async def test_play_is_not_set_up_again_while_its_lost_answer_stands_at_a_node(tmp_path):
    """review/8: a reset lost the answer; the play went to a second node and the first was never told."""
    async with deployment(tmp_path) as env:
        env.platform.nodes["n0"].behaviour = ["lost", "serve"]
        client = Client(env)
        session = client.request_play()
        await env.wait_until(lambda: client.answers(session))
        assert [m.kind for m in client.answers(session)] == [ANSWER]
        assert rows_of(env, session)[:3] == [("n0", "set-up"), ("n0", "answered"), ("n0", "cut")]
        assert len(env.platform.running_sessions()) == 1 and not env.platform.violations()


@looped
async def test_paid_play_whose_answer_is_lost_is_failed_and_ended_at_its_node(tmp_path):
    """It was failed and left at its node."""
    async with deployment(tmp_path, nodes=("n0",), behaviour=["lost", "serve"]) as env:
        client = Client(env)
        session = client.request_play(product="paid")
        await env.wait_until(lambda: client.answers(session))
        assert cause(client.answers(session)[0]) == TEMPORARY_FAILURE
        await env.wait_until(lambda: env.platform.records_of("cut", session))
        assert not env.platform.running_sessions() and len(env.sent(session)) == 1


@looped
async def test_play_at_a_dead_process_is_set_up_elsewhere_at_once(tmp_path, clock):
    """Its node refuses the connection on which the end would be told: nothing stands there."""
    async with deployment(tmp_path, nodes=("n0", "n1"), behaviour="silent", clock=clock) as env:
        client = Client(env)
        session = client.request_play()
        await env.settle()
        (first,) = {node for node, _ in env.sent(session)}
        for node in env.platform.nodes.values():
            node.behaviour = "serve"
        await env.platform.nodes[first].die()
        await env.settle()
        await env.advance(0.05)
        assert [m.kind for m in client.answers(session)] == [ANSWER]


@looped
async def test_play_at_a_node_that_is_not_reached_any_more_goes_elsewhere_in_time(
    tmp_path, clock, monkeypatch
):
    """The end can't be told; it is waited for no longer than a connection may take to come up."""
    async with deployment(tmp_path, nodes=("n0", "n1"), behaviour="silent", clock=clock) as env:
        client = Client(env)
        session = client.request_play()
        await env.settle()
        (first,) = {node for node, _ in env.sent(session)}
        UnreachableNodes(env, monkeypatch, (first,))
        for node in env.platform.nodes.values():
            node.behaviour = "serve"
        env.platform.nodes[first].reset()
        await env.settle()
        assert not client.answers(session)
        await env.advance(env.relay.nodes.connect_timeout_s + 0.05)
        assert [m.kind for m in client.answers(session)] == [ANSWER]


@pytest.mark.parametrize("how", ["release", "close"])
@looped
async def test_viewer_that_leaves_while_a_lost_answer_is_being_ended_gets_nothing_more(tmp_path, how):
    async with deployment(tmp_path, nodes=("n0", "n1"), behaviour="lost") as env:
        client = Client(env)
        session = client.request_play()
        await env.wait_until(lambda: env.sent(session))
        client.release(session) if how == "release" else client.close()
        await env.wait_until(lambda: not env.relay.driver.plays)
        await env.wait_until(lambda: not env.platform.running_sessions())


@looped
async def test_end_of_a_set_up_on_a_silent_connection_is_told_on_another(tmp_path, clock):
    """review/8, by hand: the TEARDOWN went out on the dead connection alone."""
    async with deployment(tmp_path, nodes=("n0",), clock=clock) as env:
        client, node = Client(env), env.platform.nodes["n0"]
        node.behaviour = ["silent", "serve"]
        first = client.request_play(product="paid", patience="1000")
        await env.advance(0.01)
        client.request_play()
        await env.advance(0.01)
        node.setup_connections[first].transport.pause_reading()  # from here on nothing passes on it
        await env.advance(1.1)
        assert [row for row in env.platform.traffic if row[2] == first and row[1] in ("cut", "given up")]


@looped
async def test_end_of_a_set_up_that_is_lost_with_its_connection_is_told_again(tmp_path):
    """Its viewer left while the answer was lost: the TEARDOWN went out on a connection that was reset."""
    async with deployment(tmp_path, nodes=("n0",), behaviour="silent") as env:
        client, node = Client(env), env.platform.nodes["n0"]
        session = client.request_play()
        await env.wait_until(lambda: env.sent(session))
        node.sessions[session] = node.setup_connections[session]
        node.record("answered", session)
        abort(node.setup_connections[session])  # not read by the relay yet
        env.relay.driver.viewer_left(env.relay.driver.plays[session])
        await env.wait_until(lambda: env.platform.records_of("cut", session))
        assert not env.platform.running_sessions()
