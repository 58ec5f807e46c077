"""The relay's process beside hundreds of clients that keep much, or one that sends without end."""

import pytest
from loopback import looped
from overload.rig import MIB, RelayRig, beside, running
from relay.deployment import Client, deployment, set_up

from curlewhall.codecs import messages
from curlewhall.relay.viewers import MESSAGES_PER_TURN
from curlewhall.wire import transport

TIME_LIMIT_S = 3.0  # of the usual viewers' set-ups (rule 1)
# What a connection may keep: answers that are not read, messages that wait for their turn, half a message.
CONNECTION_BYTES = 128 << 10
ONE_CLIENT_BYTES = 8 << 20  # 2,000 unanswered set-ups at most, of some kB each


@pytest.mark.parametrize("kind", ["relay_half_messages", "relay_large_set_ups", "relay_never_read"])
@looped
async def test_relay_stays_within_its_memory_and_answers_usual_viewers(tmp_path, kind):
    """Picture (a). Clients that never read their answers took 91 MB, and an answer came after 6.6 s."""
    async with running(RelayRig(tmp_path)) as rig:
        figures = await beside(rig, kind, 3.0, 300)
    assert figures.answers and figures.slowest_s <= TIME_LIMIT_S, figures
    assert figures.growth_mib <= 300 * CONNECTION_BYTES / MIB, figures


@pytest.mark.parametrize(
    "kind", ["relay_checks", "relay_releases", "relay_unsound", "relay_names", "relay_taken_back", "relay_at"]
)
@looped
async def test_one_client_at_full_speed_neither_delays_others_nor_fills_the_memory(tmp_path, kind):
    """Picture (b), also under ever new names. Set-ups taken back at once kept others waiting for 1.1 s."""
    async with running(RelayRig(tmp_path)) as rig:
        figures = await beside(rig, kind, 3.0, 1)
    assert figures.answers and figures.slowest_s <= TIME_LIMIT_S, figures
    assert figures.growth_mib <= ONE_CLIENT_BYTES / MIB, figures


@looped
async def test_a_client_gets_a_few_messages_of_each_turn_of_the_loop(tmp_path):
    """Picture (b): all that one read of 16 KiB held was handled before the next client had its turn."""
    async with deployment(tmp_path) as env:
        bad, usual = Client(env), Client(env)
        bad.request_play("b" * 16)
        usual.request_play("a" * 16)
        await env.wait_until(lambda: len(env.sent()) == 2)
        bad.send(
            b"".join(
                set_up(f"{i:016x}") + messages.encode(messages.RELEASE, f"{i:016x}", cause=b"\x10")
                for i in range(1, 1001)
            )
        )
        usual.send(set_up("c" * 16))
        accepted, handled_before = env.relay.driver.accept_request, []
        env.relay.driver.accept_request = lambda play, *rest: (
            handled_before.append(play.info.play),
            accepted(play, *rest),
        )
        await env.wait_until(lambda: "c" * 16 in handled_before)
        assert handled_before.index("c" * 16) <= 2 * MESSAGES_PER_TURN


@looped
async def test_full_send_queue_ends_its_connection_once(tmp_path, monkeypatch):
    """Each further message put another end into the loop: 60 MB of them for 300 clients."""
    ends, end = [], transport.Transport.end
    monkeypatch.setattr(transport.Transport, "end", lambda self, why: (ends.append(why), end(self, why))[1])
    async with deployment(tmp_path) as env:
        client = Client(env)
        client.request_play("a" * 16)
        await env.wait_until(env.sent)
        (connection,) = env.relay.viewers.connections.values()
        connection.transport.queue += b"x"  # the client does not read
        for _ in range(3 * transport.MAX_QUEUED_BYTES // 1000):
            connection.transport.send(b"x" * 1000)
        assert len(connection.transport.queue) <= transport.MAX_QUEUED_BYTES + 1000
        await env.wait_until(lambda: connection.transport.closed)
        await env.settle()
        assert ends == ["full"]
