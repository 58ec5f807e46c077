"""Answers of nodes that are spoilt on their way: lengths that do not fit, and messages that stop short."""

import pytest
from loopback import looped
from relay.deployment import Client, cause, deployment

from curlewhall.codecs import rtsp
from curlewhall.codecs.messages import ANSWER, DESCRIPTION, RELEASE
from curlewhall.relay import nodes
from curlewhall.standins.platform import LENGTH_ERRORS
from curlewhall.wire import transport

TEMPORARY_FAILURE = 41  # release cause: the play may have run


def served(env, client, session):
    """Descriptions with which a session was answered, and those that nodes made for it."""
    got = [bytes(m.fields[DESCRIPTION]) for m in client.answers(session) if m.kind == ANSWER]
    return got, [row[3] for row in env.platform.records_of("answered", session)]


@pytest.mark.parametrize("behaviour", LENGTH_ERRORS)
@pytest.mark.parametrize("product", ["paid", "cheap"])
@looped
async def test_answer_with_a_length_that_does_not_fit_is_not_passed_on(tmp_path, clock, behaviour, product):
    """review/2: it was passed on as whole with its end cut off, though what came behind it was no message."""
    async with deployment(tmp_path, behaviour=[behaviour, "serve"], nodes=("n0",), clock=clock) as env:
        client = Client(env)
        session = client.request_play(product=product)
        await env.advance(0.6)
        got, made = served(env, client, session)
        assert got == made[1:]  # none, or that of a further allocation
        assert not env.platform.violations()
        assert env.platform.records_of("cut", session)  # the session that ran is ended at its node
        if product == "paid":
            assert len(env.sent(session)) == 1  # it may have run
            assert [cause(m) for m in client.answers(session)] == [TEMPORARY_FAILURE]


@looped
async def test_answer_whose_surplus_lies_unread_is_not_passed_on(tmp_path, clock, monkeypatch):
    """review/2, in two reads: the first ends with the answer, the surplus lies in the socket."""
    async with deployment(tmp_path, behaviour="silent", nodes=("n0",), clock=clock) as env:
        client, node = Client(env), env.platform.nodes["n0"]
        session = client.request_play(product="paid")
        await env.settle()
        surplus = b"a=late\r\n"
        answer = node.answer(200, session, b"v=0\r\n")
        one_read = bytearray(len(answer))
        monkeypatch.setattr(transport, "BUFFER", one_read)
        monkeypatch.setattr(transport, "VIEW", memoryview(one_read))
        node.setup_connections[session].write(answer + surplus)
        await env.advance(0.1)
        assert [cause(m) for m in client.answers(session)] == [TEMPORARY_FAILURE]


@pytest.mark.parametrize("cut_at", [1, 30, 60, 95])
@looped
async def test_answer_before_a_message_in_pieces_is_passed_on(tmp_path, clock, cut_at):
    """Two sound messages of which the second arrives in two segments."""
    async with deployment(tmp_path, behaviour="silent", nodes=("n0",), clock=clock) as env:
        client, node = Client(env), env.platform.nodes["n0"]
        session = client.request_play()
        await env.settle()
        writer = node.setup_connections[session]
        whole = b"v=0\r\na=whole\r\n"
        note = rtsp.request("ANNOUNCE", "x", session, 4, X_Note="level", X_Value="2")
        writer.write(node.answer(200, session, whole) + note[:cut_at])
        await env.advance(nodes.REST_TIMEOUT_S / 2)
        writer.write(note[cut_at:])
        await env.advance(nodes.REST_TIMEOUT_S)
        assert served(env, client, session)[0] == [whole]
        assert env.relay.driver.module.plays[session].rung == 2


@looped
async def test_sound_messages_before_noise_count_and_a_release_is_whole_by_its_head(tmp_path, clock):
    async with deployment(tmp_path, nodes=("n0",), clock=clock) as env:
        client, node = Client(env), env.platform.nodes["n0"]
        first, second = client.request_play(), client.request_play()
        await env.advance(0.1)
        writer = node.sessions[first]
        writer.write(
            rtsp.request("ANNOUNCE", "x", second, 4, X_Note="level", X_Value="2")
            + rtsp.request("TEARDOWN", "x", first, 2, Reason="cause=16")
            + b"\x00\xff\x13"
        )
        node.record("ended", first, 16)
        await env.advance(0.1)
        assert [m.kind for m in client.answers(first)] == [ANSWER, RELEASE]
        assert env.relay.driver.module.plays[second].rung == 2
        assert writer not in node.connections


@pytest.mark.parametrize("unread", [False, True])
@looped
async def test_connection_whose_message_stops_short_is_ended(tmp_path, clock, unread):
    """The rest of a message has its time from the first byte on; what lies unread by then counts."""
    async with deployment(tmp_path, behaviour="silent", nodes=("n0",), clock=clock) as env:
        client, node = Client(env), env.platform.nodes["n0"]
        session = client.request_play(product="paid")
        await env.settle()
        writer = node.setup_connections[session]
        answer = node.answer(200, session, b"v=0\r\n")
        writer.write(answer[:-3])
        await env.advance(nodes.REST_TIMEOUT_S - 0.01)
        if unread:
            writer.write(answer[-3:])
            clock.now += 0.02
            env.relay.timers.run_due()
        await env.advance(0.05)
        kinds = [m.kind for m in client.answers(session)]
        assert kinds == ([ANSWER] if unread else [RELEASE])
        assert (writer in node.connections) is unread
        assert bool(env.platform.records_of("cut", session)) is not unread
