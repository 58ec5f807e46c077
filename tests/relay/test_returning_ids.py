"""Clients that leave and come again under the same id, and what they left unread."""

import pytest
from loopback import looped
from overload.rig import RelayRig, beside, late_setups, running
from relay.deployment import Client, cause, deployment

from curlewhall.codecs.messages import ANSWER
from curlewhall.relay.recent_sessions import RecentSessions

TEMPORARY_FAILURE = 41
X = "e" * 16


def leave(client, how):
    if how == "release":
        client.release(X)
    else:
        client.close(how)


@pytest.mark.parametrize("product", ["cheap", "paid"])
@pytest.mark.parametrize("how", ["close", "half-close", "reset", "release"])
@looped
async def test_id_that_may_have_run_does_not_run_again_when_it_comes_back(tmp_path, how, product):
    """Picture (c): its client had left, the id came again and ran at a second node."""
    async with deployment(tmp_path, behaviour="silent") as env:
        first, second = Client(env), Client(env)
        first.request_play(X, product)
        await env.wait_until(lambda: env.sent(X))
        leave(first, how)
        await env.wait_until(lambda: not env.relay.driver.plays)
        second.request_play(X, product)
        await env.wait_until(lambda: second.answers(X))
        assert cause(second.answers(X)[0]) == TEMPORARY_FAILURE
        assert len(env.sent(X)) == 1 and not env.platform.violations()


@looped
async def test_id_of_a_session_that_is_over_does_not_run_again(tmp_path):
    async with deployment(tmp_path) as env:
        first, second = Client(env), Client(env)
        first.request_play(X)
        await env.wait_until(lambda: first.answers(X))
        first.release(X)
        await env.wait_until(lambda: not env.relay.driver.plays)
        second.request_play(X)
        await env.wait_until(lambda: second.answers(X))
        assert cause(second.answers(X)[0]) == TEMPORARY_FAILURE and len(env.sent(X)) == 1


@pytest.mark.parametrize("how", ["close", "half-close", "reset"])
@looped
async def test_id_that_was_not_read_or_not_sent_is_served_when_it_comes_back(tmp_path, how):
    """A set-up that crosses the close of its connection goes out again on a new one, once."""
    async with deployment(tmp_path) as env:
        first, second = Client(env), Client(env)
        await env.settle()
        first.request_play(X)
        leave(first, how)  # nothing of it is read yet
        second.request_play(X)
        await env.wait_until(lambda: second.answers(X) or second.closed())
        sent = env.sent(X)
        assert len(sent) <= 1 and not env.platform.violations()
        assert [m.kind for m in second.answers(X)] == [ANSWER] * len(sent)


@looped
async def test_id_that_a_node_has_refused_as_full_may_come_again(tmp_path):
    """It never ran."""
    async with deployment(tmp_path, nodes=("n0",), behaviour=["full", "serve"]) as env:
        client = Client(env)
        client.request_play(X)
        await env.wait_until(lambda: client.answers(X))
        assert cause(client.answers(X)[0]) != TEMPORARY_FAILURE
        client.request_play(X)
        await env.wait_until(lambda: len(client.answers(X)) == 2)
        assert cause(client.answers(X)[1]) != TEMPORARY_FAILURE or len(env.sent(X)) == 2


def test_recent_sessions_are_bounded_and_the_latest_are_kept():
    recent = RecentSessions(3)
    for name in ("a", "b", "c", "a", "d"):
        recent.add(name)
    assert [name in recent for name in "abcd"] == [True, False, True, True]


@looped
async def test_set_ups_left_unread_at_a_close_reach_no_node(tmp_path):
    """Picture (c): clients close their connections with much still unread."""
    async with running(RelayRig(tmp_path)) as rig:
        closed_at = (await beside(rig, "relay_close_unread", 3.0, 20)).clients["closed_at"]
        assert len(closed_at) == 10_000 and not late_setups(rig, closed_at)
