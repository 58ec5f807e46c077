"""Another process at the address of a node that has gone: nothing meant for the one reaches the other."""

import contextlib

import pytest
from loopback import looped
from relay.deployment import Client, cause, deployment

from curlewhall.codecs.messages import ANSWER
from curlewhall.relay import nodes
from curlewhall.standins.platform import Node

TEMPORARY_FAILURE = 41


@contextlib.asynccontextmanager
async def successor(env, name="m7"):
    """A node with a name of its own at the address of node n0, whose process has died."""
    await env.platform.nodes["n0"].die()
    node = Node(env.platform, name)
    await node.start(env.platform.nodes["n0"].port)
    try:
        yield node
    finally:
        node.close()


def take_address(env, number, *events):
    """The channel tells of node m7 at the address of n0, and of what else `events` name."""
    rows = [env.platform.member("n0", id="m7")]
    rows += [env.platform.member("n0", state) for state in events]
    env.platform.channel.send_event(number, rows)


@looped
async def test_node_whose_address_another_takes_gets_no_set_ups(tmp_path):
    """Picture (d): the list told of the new node before it told that the old one was gone."""
    async with deployment(tmp_path, nodes=("n0",)) as env:
        client = Client(env)
        async with successor(env):
            take_address(env, 2)
            await env.wait_until(lambda: "m7" in env.relay.nodes.nodes)
            for node in env.relay.driver.module.nodes.values():
                node.cold_since = float("-inf")
            session = client.request_play()
            await env.wait_until(lambda: client.answers(session))
            assert [m.kind for m in client.answers(session)] == [ANSWER]
            assert env.relay.driver.plays[session].node == "m7"


@looped
async def test_sessions_of_a_node_whose_address_another_takes_are_released(tmp_path, monkeypatch):
    """They were kept for as long as the new process answered at the address."""
    monkeypatch.setattr(nodes, "REMOVAL_DELAY_S", 0.01)
    async with deployment(tmp_path, nodes=("n0",)) as env:
        client = Client(env)
        session = client.request_play()
        await env.wait_until(lambda: client.answers(session))
        async with successor(env):
            take_address(env, 2)
            await env.wait_until(lambda: len(client.answers(session)) == 2)
            assert cause(client.answers(session)[1]) == TEMPORARY_FAILURE
            assert env.relay.nodes.nodes.keys() == {"m7"}


@pytest.mark.parametrize("events", [(), ("gone",)])
@looped
async def test_no_connection_is_opened_for_a_node_whose_address_another_has(tmp_path, events):
    """The new process tells of its own sessions on any open connection; as the old one's they were lost."""
    async with deployment(tmp_path, nodes=("n0",)) as env:
        client = Client(env)
        session = client.request_play()
        await env.wait_until(lambda: client.answers(session))
        gone = env.relay.nodes.nodes["n0"]
        take_address(env, 2, *events)
        await env.wait_until(lambda: "m7" in env.relay.nodes.nodes)
        opened = []
        async with successor(env):
            real = nodes.Nodes.open
            env.relay.nodes.open = lambda node, *rest, **named: (
                opened.append((node.id, found := real(env.relay.nodes, node, *rest, **named))),
                found,
            )[1]
            await env.wait_until(lambda: len(client.answers(session)) == 2)
            assert not gone.connections and not [row for row in opened if row[0] == "n0" and row[1]]


@looped
async def test_node_listed_again_at_its_address_displaces_none(tmp_path):
    """A drain of the old one, told late, does not take the address back."""
    async with deployment(tmp_path, nodes=("n0",)) as env:
        take_address(env, 2)
        await env.wait_until(lambda: "m7" in env.relay.nodes.nodes)
        env.platform.channel.send_event(3, [env.platform.member("n0", "draining")])
        await env.wait_until(lambda: env.relay.channel.cursor == 3)
        assert env.relay.nodes.nodes["m7"].row.state == "serving"
