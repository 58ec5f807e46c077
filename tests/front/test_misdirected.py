"""Another process at the address of a node that has gone: nothing meant for the one runs at the other."""

import asyncio

import pytest
from front.deployment import deployment, until
from loopback import looped

from curlewhall.drills.baselines import TwoDrawn
from curlewhall.standins.node import Node


def start_successor(env, gone, name="successor"):
    """A node with a name of its own at the address of node `gone`, whose process has died."""
    fleet, old = env.fleet, env.fleet.nodes[gone]
    old.die()
    spec = dict(old.spec, node=name, draining=False)
    node = Node(fleet.loop, fleet.timers, fleet.plan, spec, old.rack, old.key, fleet.records)
    node.start(warm=True)
    return node


def setups_at(env, node):
    return [row for row in env.rows("setup") if row["at"] == node.at]


@pytest.mark.parametrize("product", ["plain", "paid"])
@looped
async def test_set_up_for_a_node_that_has_gone_does_not_run_at_its_successor(tmp_path, product):
    """Picture (d): the list had not told yet. It ran under the other's name, and a paid play was failed."""
    async with deployment(tmp_path, TwoDrawn, nodes=2) as env:
        gone = sorted(env.fleet.nodes)[0]
        node = start_successor(env, gone)
        try:
            found = [(await env.ask(product=product, viewer=f"v{i}"))[0].status for i in range(8)]
            # declined where both draws of the baseline fell on the node that has gone: nothing ran there
            assert 200 in found and set(found) <= {200, 503}
            assert not setups_at(env, node)
            detector = env.fronts[0].driver.sites.detector
            assert detector.nodes[gone].failing  # what answers there proves nothing of the node
        finally:
            node.die()


@looped
async def test_plays_of_a_node_end_when_another_answers_at_its_address(tmp_path):
    """They stood for as long as the successor kept the address."""
    async with deployment(tmp_path, TwoDrawn, nodes=1) as env:
        (front,), gone = env.fronts, next(iter(env.fleet.nodes))
        assert (await env.ask())[0].status == 200
        assert [play.node for play in front.driver.plays.values()] == [gone]
        node = start_successor(env, gone)
        try:
            async with asyncio.timeout(15):
                await until(lambda: not front.driver.plays)
        finally:
            node.die()


@looped
async def test_node_whose_address_the_list_gives_to_another_is_gone(tmp_path):
    """The list told of the successor before it told that the old node was gone."""
    async with deployment(tmp_path, TwoDrawn, nodes=2) as env:
        (front,), gone = env.fronts, sorted(env.fleet.nodes)[0]
        node = start_successor(env, gone)
        try:
            env.fleet.list.change(env.fleet.row(node))
            await until(lambda: "successor" in front.follower.rows)
            assert gone not in front.follower.rows and gone not in front.driver.known_nodes
            assert front.nodes.nodes[gone].row.state == "gone"
            for i in range(6):
                assert (await env.ask(viewer=f"v{i}"))[0].status == 200
            assert {row["at"] for row in env.rows("setup")} >= {node.at}
        finally:
            node.die()


@looped
async def test_answer_of_another_process_is_no_sign_of_life_of_the_node(tmp_path):
    """`sites/` took an answer under another name for the node's own."""
    async with deployment(tmp_path, TwoDrawn, nodes=1) as env:
        (front,), name = env.fronts, next(iter(env.fleet.nodes))
        env.fault("stranger")  # it runs what it gets, and answers under another name
        assert (await env.ask())[0].status in (502, 503)
        assert front.driver.sites.detector.nodes[name].failing
