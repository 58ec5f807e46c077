"""Floods of set-ups: what a front keeps for them is bounded, and other clients keep their share."""

import pytest
from loopback import looped
from relay.deployment import Client, cause, deployment

from curlewhall.relay import decide

CONGESTION = 42  # release cause: refused, another front may be asked


@pytest.mark.parametrize(("connections", "share"), [(0, 10), (1, 10), (2, 5), (4, 2), (40, 0)])
def test_at_the_limit_each_connection_keeps_its_fair_share(monkeypatch, connections, share):
    monkeypatch.setattr(decide, "MAX_OPEN_SET_UPS", 10)
    assert decide.fair_share(connections) == share


@looped
async def test_unanswered_set_ups_of_a_client_are_bounded_and_others_keep_their_share(tmp_path, monkeypatch):
    """Hundreds of set-ups at once were all taken on: some kB each, without bound."""
    monkeypatch.setattr(decide, "MAX_OPEN_SET_UPS", 10)
    async with deployment(tmp_path, behaviour="silent") as env:
        bad, usual = Client(env), Client(env)
        asked = [bad.request_play() for _ in range(30)]
        await env.wait_until(lambda: len([s for s in asked if bad.answers(s)]) >= 20)
        assert env.relay.viewers.open_set_ups == len(env.relay.driver.plays) == 10
        assert {cause(bad.answers(s)[0]) for s in asked if bad.answers(s)} == {CONGESTION}
        session = usual.request_play()
        await env.wait_until(lambda: session in env.relay.driver.plays)
        bad.close()
        await env.wait_until(lambda: env.relay.driver.plays.keys() == {session})
        assert env.relay.viewers.open_set_ups == 1
        usual.release(session)
        await env.wait_until(lambda: not env.relay.driver.plays)
        assert env.relay.viewers.open_set_ups == 0
