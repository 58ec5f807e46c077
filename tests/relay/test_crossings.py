"""Events that cross: something arrives between two steps of the relay. Each crossing is forced: bytes lie in
a socket that the relay has not read, a connection comes up when the test says so, and the clock goes on when
it is advanced. They are listed in `docs/relay/crossings.md`.
"""

import asyncio
import contextlib
import random
import socket
import time

import pytest
from loopback import looped
from relay.deployment import Client, cause, deployment, set_up

from curlewhall.codecs import messages, rtsp
from curlewhall.codecs.messages import ANSWER, RELEASE
from curlewhall.relay import decide, nodes, viewers
from curlewhall.wire.transport import Transport


class HeldConnects:
    """Holds connections to nodes back until `complete` is called."""

    def __init__(self, monkeypatch):
        self.waiting, self.connect = [], nodes.connect
        monkeypatch.setattr(nodes, "connect", self.hold)

    def hold(self, loop, address, owner):
        transport = self.connect(loop, address, owner)
        loop.remove_writer(transport.sock.fileno())
        self.waiting.append(transport)
        return transport

    def complete(self):
        waiting, self.waiting = self.waiting, []
        for transport in waiting:
            if not transport.closed:
                transport.connect_finished()


@pytest.fixture
def held_connects(monkeypatch):
    return HeldConnects(monkeypatch)


# ---- a client that has gone gets no allocation any more


def prepare(client, state, env):
    """Bring a client's connection, on which a set-up is open, into a state."""
    if state == "other set-ups open":
        client.request_play()
    elif state == "no set-ups accepted any more":
        client.send(b"\xff" * 100)
    elif state == "a set-up with another client's id":
        other = next(iter(env.relay.viewers.sessions))
        client.send(set_up(other))
    elif state == "half a message":
        client.send(set_up("e" * 16)[:30])


WHOLE = ("plain", "other set-ups open", "a set-up with another client's id")
# in the last two a release can't be recognised
STATES = (*WHOLE, "no set-ups accepted any more", "half a message")
WAYS_TO_LEAVE = [
    (how, state)
    for how in ("close", "half-close", "reset", "release")
    for state in (WHOLE if how == "release" else STATES)
]


def leave(client, how, name):
    """End a client's connection or release its set-up; the relay has not read it."""
    if how == "release":
        client.release(name)
    else:
        client.close(how)


@pytest.mark.parametrize("how, state", WAYS_TO_LEAVE)
@looped
async def test_viewer_gone_while_its_set_up_waits_for_a_connection_gets_no_allocation(
    tmp_path, held_connects, how, state
):
    """The end lies in the socket, unread, as the connection comes up, as on a busy core."""
    async with deployment(tmp_path, nodes=("n0",)) as env:
        first, client = Client(env), Client(env)
        other = first.request_play()
        await env.settle()
        name = client.request_play()
        await env.settle()
        prepare(client, state, env)
        await env.settle()
        leave(client, how, name)
        held_connects.complete()
        await env.settle()
        gone = {s for _, s in env.sent()}
        lives = how == "release" and state == "other set-ups open"
        assert other in gone and name not in gone and len(gone) == 1 + lives
        first.close()


@pytest.mark.parametrize("how, state", WAYS_TO_LEAVE)
@looped
async def test_viewer_gone_during_its_first_allocation_gets_no_second(tmp_path, clock, how, state):
    """Whatever else is open on its connection, or was received there."""
    async with deployment(tmp_path, behaviour="silent", clock=clock) as env:
        first, client = Client(env), Client(env)
        first.request_play(product="paid")
        await env.settle()
        name = client.request_play()
        await env.settle()
        prepare(client, state, env)
        await env.settle()
        leave(client, how, name)
        await env.advance(3.2)
        assert len(env.sent(name)) == 1 and env.platform.records_of("given up", name)
        assert not env.relay.driver.plays and not env.platform.violations()


@pytest.mark.parametrize(
    "how, between",
    [
        ("close", ""),
        ("close", "set-up"),
        ("close", "half"),
        ("release", ""),
        ("release", "half"),
        ("release", "16 kB"),
    ],
)
@looped
async def test_viewer_gone_before_its_set_up_is_read_gets_no_allocation(tmp_path, how, between):
    """Set-up and end lie in the socket together. Connections to nodes are up and idle, so that nothing else
    would delay a set-up. `between`: what lies between the two.
    """
    async with deployment(tmp_path) as env:
        first, client = Client(env), Client(env)
        served = [first.request_play() for _ in range(3)]
        await env.settle()
        names, other = [client.request_play() for _ in range(3)], set_up("e" * 16)
        if how == "close":
            client.send({"": b"", "set-up": other, "half": other[:20]}[between])
            client.close()
        else:
            if between == "16 kB":
                client.send(messages.encode(messages.RELEASE, "e" * 16, cause=b"\x10" * 8100) * 2)
            for name in names:
                client.release(name)
            client.send(other[:20] if between == "half" else b"")
        await env.settle()
        await env.wait_until(lambda: len(env.relay.viewers.connections) == 1 + (how == "release"))
        assert sorted(s for _, s in env.sent()) == served and env.relay.driver.plays.keys() == set(served)
        first.close()


@looped
async def test_end_behind_60_kb_of_unread_bytes_is_noticed(tmp_path, held_connects):
    """One read takes 16 kB, and a peek shows bytes only."""
    async with deployment(tmp_path, nodes=("n0",)) as env:
        client = Client(env)
        name = client.request_play()
        await env.settle()
        client.send(messages.encode(messages.HEALTH_CHECK, "0" * 16, cause=b"\0") * 4000)
        client.close()
        held_connects.complete()
        await env.settle()
        assert not env.sent(name)


@pytest.mark.parametrize("how", ["close", "half-close", "reset", "release"])
@looped
async def test_viewer_gone_as_a_node_refuses_gets_no_further_allocation(tmp_path, how):
    """Its end lies unread as the node's refusal is read. Connections to the other nodes are up, so that a
    further allocation could begin at once.
    """
    async with deployment(tmp_path, behaviour="silent") as env:
        client, nodes_side = Client(env), env.relay.nodes
        for node in nodes_side.nodes.values():
            nodes_side.open(node)
        await env.settle()
        name = client.request_play()
        await env.settle()
        leave(client, how, name)
        (first,) = (node for node, session in env.sent() if session == name)
        (connection,) = (c for c in nodes_side.connections.values() if name in c.set_ups)
        answer = env.platform.nodes[first].answer(453, name)
        nodes_side.handle_message(connection, rtsp.Reader().feed(answer)[0])
        await env.settle()
        assert env.sent(name) == [(first, name)] and not env.relay.driver.plays
        assert env.relay.driver.counts["left"] == 1 and not env.relay.viewers.sessions


@looped
async def test_release_read_ahead_counts_though_its_connection_is_reset(tmp_path):
    """It is read as another set-up of its connection is retried, and then the connection is reset."""
    async with deployment(tmp_path, behaviour=["serve", "silent"]) as env:
        client = Client(env)
        stands = client.request_play()
        await env.settle()
        name = client.request_play()
        await env.settle()
        assert env.platform.running_sessions().keys() == {stands}
        (before, *_), (client_side,) = env.sent(name), env.relay.viewers.connections.values()
        client.release(stands)
        (set_up_out,) = [c for c in env.relay.nodes.connections.values() if name in c.set_ups]
        answer = env.platform.nodes[before[0]].answer(453, name)
        env.relay.nodes.handle_message(set_up_out, rtsp.Reader().feed(answer)[0])
        assert client_side.received and stands in env.relay.viewers.sessions
        client_side.transport.end("reset")
        await env.settle()
        assert env.platform.records_of("cut", stands) and not env.platform.running_sessions()
        assert not env.relay.driver.plays and not env.platform.violations()
        client.close()


@pytest.mark.parametrize("how", ["close", "half-close", "reset", "release"])
@looped
async def test_viewer_gone_as_its_node_answers_has_its_session_torn_down(tmp_path, how):
    """Its end lies unread as the node's answer is read; nothing would release the session later."""
    async with deployment(tmp_path, behaviour="silent", nodes=("n0",)) as env:
        client, node = Client(env), env.platform.nodes["n0"]
        name = client.request_play(product="paid")
        await env.settle()
        leave(client, how, name)
        (connection,) = env.relay.nodes.connections.values()
        node.sessions[name] = node.setup_connections[name]
        node.record("answered", name, b"made")
        env.relay.nodes.handle_message(connection, rtsp.Reader().feed(node.answer(200, name, b"made"))[0])
        await env.settle()
        assert env.platform.records_of("cut", name) and not env.platform.running_sessions()
        assert not env.relay.driver.plays and not env.relay.viewers.sessions


@looped
async def test_viewer_gone_during_a_probe_gets_no_allocation(tmp_path, clock):
    async with deployment(
        tmp_path, clock=clock, report={"how": "on_probe", "fields": ["cpu", "x1"]}, nodes=("n0",)
    ) as env:
        answer, env.platform.nodes["n0"].answer = env.platform.nodes["n0"].answer, lambda *_: b""
        client = Client(env)
        name = client.request_play()
        await env.settle()
        assert env.platform.records_of("asked for load") and not env.sent()
        env.platform.nodes["n0"].answer = answer
        client.close()
        await env.advance(1.0)
        assert not env.sent(name) and not env.relay.driver.plays


# ---- a connection that is to be closed, with unread bytes on it


async def read_all(env, client, sent):
    """Read slowly, and expect all messages that were sent."""
    for _ in range(1000):
        client.closed()
        await env.settle()
        if len(client.received) == sent:
            break
    assert len(client.received) == sent


def check(env):
    env.relay.viewers.check_connections()


def free_connections(env):
    while env.relay.viewers.free_connection():
        pass


def shut_down(env):
    env.relay.viewers.ready = False
    env.relay.wind_down()


# reason for the close -> what closes, and seconds before
CLOSERS = {
    "idle": (check, 6.5),
    "silent": (check, 2.5),
    "connections are freed": (free_connections, 0.0),
    "shutdown": (shut_down, 0.0),
}


@pytest.mark.parametrize("why", CLOSERS)
@looped
async def test_set_up_unread_when_its_connection_is_to_be_closed_is_answered(tmp_path, clock, why):
    closer, after = CLOSERS[why]
    async with deployment(tmp_path, clock=clock) as env:
        client = Client(env)
        if why != "silent":
            served = client.request_play()
            await env.settle()
            client.release(served)
        await env.settle()
        clock.now += after
        name = client.request_play()
        closer(env)  # in the same turn of the loop: the set-up is unread
        await env.settle()
        (answer,) = client.answers(name)
        assert answer.kind == ANSWER and [s for _, s in env.sent()].count(name) == 1
        client.close()


@pytest.mark.parametrize("why", CLOSERS)
@looped
async def test_connection_with_an_unsent_answer_is_not_closed(tmp_path, clock, why):
    closer, after = CLOSERS[why]
    async with deployment(tmp_path, clock=clock) as env:
        client = Client(env)
        await env.settle()
        (connection,) = env.relay.viewers.connections.values()
        connection.sound = why != "silent"
        reply = messages.encode(messages.HEALTH_REPLY, "0" * 16, cause=b"\1")
        sent = 0
        while not connection.transport.queue:  # the kernel's buffers are full
            sent += connection.transport.send(reply * 1000) and 1000
        clock.now += after
        connection.transport.last_progress = clock.now
        closer(env)
        await env.settle()
        await read_all(env, client, sent)
        client.close()


@looped
async def test_set_up_that_arrives_after_the_unread_check_is_answered(tmp_path, clock, monkeypatch):
    """A client silent for 2 s is to be closed; its set-up arrives just after the check found nothing."""
    async with deployment(tmp_path, clock=clock) as env:
        client = Client(env)
        await env.settle()
        clock.now += viewers.MESSAGE_TIMEOUT_S + 0.1
        unread, results = Transport.has_unread_data, []

        def unread_then_ask(transport):
            results.append(unread(transport))
            if len(results) == 1:
                client.request_play("e" * 16)
            return results[-1]

        monkeypatch.setattr(Transport, "has_unread_data", unread_then_ask)
        env.relay.viewers.check_connections()
        await env.settle()
        assert not results[0] and [m.kind for m in client.answers("e" * 16)] == [ANSWER]
        client.close()


@looped
async def test_client_that_sends_no_set_up_endlessly_is_closed_in_time(tmp_path, clock):
    """There is always more than one read takes."""
    async with deployment(tmp_path, clock=clock) as env:
        client, check_connections = Client(env), env.relay.viewers.check_connections
        noise = messages.encode(messages.RELEASE, "e" * 16, cause=b"\x10") * 6000

        def send_noise_and_check():
            with contextlib.suppress(OSError):
                client.sock.send(noise)
            check_connections()

        env.relay.viewers.check_connections = send_noise_and_check
        await env.advance(3.0)
        assert client.closed()


@looped
async def test_messages_unread_when_a_connection_is_to_be_closed_are_all_answered(tmp_path, clock):
    """The answers are more than the kernel's buffers hold."""
    async with deployment(tmp_path, clock=clock) as env:
        client = Client(env)
        await env.settle()
        (connection,) = env.relay.viewers.connections.values()
        connection.sound = True
        connection.transport.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        test, sent = messages.encode(messages.HEALTH_CHECK, "0" * 16, cause=b"\0"), 0
        while not connection.transport.queue:
            client.send(test * 500)
            sent += 500
            assert not env.relay.viewers.close_if_clear(connection)  # it reads, answers and stays open
        await read_all(env, client, sent)
        client.close()


@looped
async def test_client_that_reads_nothing_is_closed_after_the_slow_reader_timeout(tmp_path, clock):
    async with deployment(tmp_path, clock=clock) as env:
        client = Client(env)
        await env.settle()
        (connection,) = env.relay.viewers.connections.values()
        connection.sound = True
        while not connection.transport.queue:
            connection.transport.send(b"\0" * 10_000)
        await env.advance(viewers.IDLE_TIMEOUT_S + 1)
        assert env.relay.viewers.connections
        await env.advance(viewers.SLOW_READER_TIMEOUT_S)
        assert not env.relay.viewers.connections
        client.close()


@looped
async def test_set_up_completed_late_is_answered_while_an_earlier_one_is_open(tmp_path, clock):
    """The rest of the message comes later than a message may take."""
    async with deployment(tmp_path, clock=clock, behaviour="silent", nodes=("n0",)) as env:
        client = Client(env)
        client.request_play(product="paid")
        name = "e" * 16
        raw = set_up(name)
        client.send(raw[:40])
        await env.advance(2.6)  # longer than a message may take
        env.platform.nodes["n0"].behaviour = "serve"
        client.send(raw[40:])
        await env.settle()
        assert [m.kind for m in client.answers(name)] == [ANSWER]
        client.close()


@looped
async def test_client_that_sends_a_byte_a_second_is_closed_in_time(tmp_path, clock):
    async with deployment(tmp_path, clock=clock) as env:
        client = Client(env)
        for byte in set_up("e" * 16)[:3]:
            client.send(bytes((byte,)))
            await env.advance(1.0)
        assert client.closed()


async def repeat_set_up_id(env, first):
    """A set-up whose first play is over in the way that `first` names; returns its answers and its id."""
    node, client = env.platform.nodes["n0"], Client(env)
    node.behaviour = {"refused": "full", "given up": "silent"}.get(first, "serve")
    name = client.request_play()
    if first != "given up before it was sent":
        await env.settle()
    if first == "ended":
        node.end(name, 16)
    elif first != "refused":
        client.release(name)
    await env.advance(1.1)  # a node that was full gets no plays for 1 s
    node.behaviour = "serve"
    before = len(client.answers(name))
    client.request_play(name)
    await env.settle()
    answers = client.answers(name)[before:]
    client.close()
    return answers, name


@pytest.mark.parametrize("first", ["refused", "given up before it was sent"])
@looped
async def test_repeated_set_up_id_is_a_new_play_if_the_first_never_ran(tmp_path, clock, first):
    """It is answered once, and never open at the same time as the first."""
    async with deployment(tmp_path, clock=clock, nodes=("n0",)) as env:
        answers, name = await repeat_set_up_id(env, first)
        assert [m.kind for m in answers] == [ANSWER]
        assert env.platform.running_sessions() == {name: "n0"} and not env.platform.violations()


@pytest.mark.parametrize("first", ["given up", "released", "ended"])
@looped
async def test_repeated_set_up_id_that_may_have_run_is_failed_and_does_not_run_again(tmp_path, clock, first):
    """It is answered once, and no node gets it again."""
    async with deployment(tmp_path, clock=clock, nodes=("n0",)) as env:
        answers, name = await repeat_set_up_id(env, first)
        assert [(m.kind, cause(m)) for m in answers] == [(RELEASE, 41)]
        assert len(env.sent(name)) == 1
        assert not env.platform.running_sessions() and not env.platform.violations()


@pytest.mark.parametrize(
    "flood", ["health checks", "releases", "set-ups", "set-ups with releases", "half messages"]
)
@looped
async def test_flood_on_one_connection_does_not_starve_another(tmp_path, flood):
    """One client fills its socket again and again while another requests plays."""

    def piece(number):
        name = f"{number + (1 << 40):016x}"
        asked, test = set_up(name), messages.encode(messages.HEALTH_CHECK, name, cause=b"\0")
        release = messages.encode(messages.RELEASE, name, cause=b"\x10")
        return {
            "health checks": test,
            "releases": release,
            "set-ups": asked,
            "set-ups with releases": asked + release,
            "half messages": asked[:30],
        }[flood]

    async with deployment(tmp_path) as env:
        bad, usual, sent = Client(env), Client(env), 0
        bad.sock.setblocking(False)
        for _ in range(20):
            name = usual.request_play()
            while not usual.answers(name):
                raw = b"".join(piece(sent + i) for i in range(200))
                sent += 200
                try:
                    bad.sock.send(raw)
                except BlockingIOError:
                    bad.closed()  # it reads all that is sent to it
                except OSError:
                    bad = Client(env)  # it was closed, and connects again
                    bad.sock.setblocking(False)
                await asyncio.sleep(0)
            (answer,) = usual.answers(name)
            assert answer.kind == ANSWER or flood.startswith("set-ups")  # then plays use up all streams
            usual.release(name)
        assert sent > 200 and not env.relay.driver.counts["faults"]
        usual.close()
        bad.close()


# ---- shutdown


@pytest.mark.parametrize("seed", range(12))
@looped
async def test_every_set_up_received_during_a_shutdown_is_answered_once(tmp_path, clock, seed):
    """Random actions of clients from before SIGTERM to the end of the shutdown: a set-up on a connection that
    was not closed by then is answered exactly once, unless its client gave it up.
    """
    draw = random.Random(seed)
    async with deployment(tmp_path, clock=clock, behaviour=["serve"]) as env:
        relay, clients, asked, lost = env.relay, [], {}, set()
        stopped = False
        until = clock.now + 4.5
        while not relay.stopped.is_set() and clock.now < until:
            for node in env.platform.nodes.values():
                node.behaviour = draw.choice(["serve", "serve", "serve", "silent", "full", "break"])
            for _ in range(draw.randrange(6)):
                may_open = relay.viewers.listener is not None
                if may_open and (not clients or draw.random() < 0.2):
                    clients.append(Client(env))
                client = draw.choice(clients) if clients else None
                if client is None or client in lost or client.closed():
                    continue  # a client that sees the close sends nothing
                act = draw.random()
                if act < 0.85:
                    name = client.request_play(
                        product=draw.choice(["cheap", "dear", "paid"]),
                        patience=str(draw.choice([200, 900, 3000])),
                    )
                    asked[name] = client
                elif act < 0.89:
                    client.send(set_up("e" * 16)[: draw.randrange(1, 40)])
                    lost.add(client)  # it sends no more; its set-ups before are owed an answer
                elif act < 0.97 and asked:
                    name = draw.choice(list(asked))
                    asked[name].closed() or asked.pop(name).release(name)
                else:
                    client.close(draw.choice(["close", "reset"]))
                    lost.add(client)
                    asked = {n: c for n, c in asked.items() if c is not client}
            if not stopped and len(asked) > 20:
                relay.stop()
                stopped = True
            if draw.random() < 0.5:
                await env.advance(draw.choice([0.001, 0.01, 0.05, 0.15]))
            else:
                clock.now += draw.choice([0.002, 0.05, 0.4])  # a busy core: nothing is read meanwhile
                relay.timers.run_due()
            out = [
                play
                for c in relay.nodes.connections.values()
                for play, set_up in c.set_ups.items()
                if set_up.state == nodes.SENT
            ]
            assert len(out) == len(set(out))  # rule 2, as far as the relay has written requests
        if not stopped:
            relay.stop()
        await env.advance(4.0)
        assert relay.stopped.is_set()
        unanswered = {n: len(c.answers(n)) for n, c in asked.items() if len(c.answers(n)) != 1}
        # Nodes may read requests in another order than they were written, so `out` above checks that rule.
        wrong = [why for why in env.platform.violations() if " is out at " not in why]
        paid = [
            row[2] for row in env.platform.records_of("set-up") if row[0] != "viewer" and row[3][0] == "paid"
        ]
        full = [row[2] for row in env.platform.records_of("refused") if row[3] == "full"]
        assert len(asked) > 10 and not unanswered and not wrong
        assert all(paid.count(play) <= 1 + full.count(play) for play in paid)
        for client in clients:
            client.sock.close()


@looped
async def test_set_up_sent_after_the_last_answer_of_a_shutdown_is_answered(tmp_path, clock):
    """The next round of the shutdown closes its connection, on which nothing is owed any more."""
    async with deployment(tmp_path, clock=clock, behaviour="silent", nodes=("n0",)) as env:
        relay, client = env.relay, Client(env)
        first = client.request_play(patience="1500")
        await env.settle()
        relay.stop()
        await env.advance(1.0)
        assert relay.viewers.refusing and not client.closed()
        clock.now += 0.6  # the first one's patience is over
        relay.timers.run_due()
        late = client.request_play()
        for _ in range(3):  # nothing is read between these rounds
            clock.now += 0.002
            relay.timers.run_due()
        await env.advance(0.5)
        assert [len(client.answers(name)) for name in (first, late)] == [1, 1] and client.closed()
        assert relay.stopped.is_set() and not env.sent(late)


@looped
async def test_clients_that_keep_sending_are_answered_before_the_kill(tmp_path, clock):
    """Once no more set-ups come by the page they are refused, and the process ends well before the kill. Open
    set-ups are answered, too.
    """
    async with deployment(tmp_path, clock=clock, behaviour="silent") as env:
        clients, asked = [Client(env) for _ in range(5)], {}
        ends = env.relay.shutdown is None and clock.now
        asked |= {client.request_play(product="paid", patience="30000"): client for client in clients}
        await env.settle()
        env.relay.stop()
        began = clock.now
        while not env.relay.stopped.is_set():
            for client in clients:
                if not client.closed():
                    asked[client.request_play(patience="900")] = client
            await env.advance(0.02)
            assert (
                clock.now - began < decide.MAX_COUNTED_TIME_LIMIT_S + decide.KILL_AFTER_TIME_LIMIT_S - 0.1
            ), "it is killed"
        assert ends and all(len(client.answers(name)) == 1 for name, client in asked.items())
        assert env.relay.viewers.refused > 20 and all(client.closed() for client in clients)


@looped
async def test_queued_connections_are_accepted_before_the_listener_closes(tmp_path, clock):
    async with deployment(tmp_path, clock=clock) as env:
        clients = [Client(env) for _ in range(90)]
        names = [client.request_play(patience="900") for client in clients]
        env.relay.viewers.ready = False
        env.relay.wind_down()  # more connections than one turn of the loop accepts
        await env.advance(1.5)
        assert all(len(client.answers(name)) == 1 for client, name in zip(clients, names, strict=True))


# ---- nodes: set-ups that wait, and messages that come late


@pytest.mark.parametrize("change", ["draining", "started anew", "another address"])
@looped
async def test_set_up_is_not_sent_to_a_node_that_changed_while_it_waited(tmp_path, held_connects, change):
    """A node that has started anew may get what the module chose after it learned of the start."""
    async with deployment(tmp_path, nodes=("n0",)) as env:
        client, ends, ended = Client(env), [], env.relay.driver.allocation_ended
        env.relay.driver.allocation_ended = lambda active_play, number, node, how, *more: (
            ends.append((number, how)),
            ended(active_play, number, node, how, *more),
        )
        client.request_play(product="paid")
        await env.settle()
        await env.platform.add("n9")
        changed = {
            "draining": {"phase": "draining"},
            "started anew": {"up_since_ms": int(time.time() * 1000)},
            "another address": {"host_port": f"127.0.0.1:{env.platform.nodes['n9'].port}"},
        }[change]
        env.relay.channel.apply_command({"nodes": {"members": [env.platform.member("n0") | changed]}})
        for _ in range(3):
            held_connects.complete()
            await env.settle()
        assert ends[0] in ((0, "not_sent"), (0, "unreached")) and not env.platform.violations()
        assert len(env.sent()) == sum(how not in ("not_sent", "unreached") for _, how in ends)
        assert len(env.sent()) <= (change == "started anew")
        client.close()


@pytest.mark.parametrize("moved", [False, True], ids=["at its address", "at another address"])
@looped
async def test_sessions_end_when_their_node_has_started_anew(tmp_path, moved):
    """Only the node list says so: the process that would send releases is gone."""
    async with deployment(tmp_path, nodes=("n0",)) as env:
        client = Client(env)
        name = client.request_play()
        await env.settle()
        await env.platform.add("n9")
        change = {"up_since_ms": int(time.time() * 1000) + 1000}
        if moved:
            change["host_port"] = f"127.0.0.1:{env.platform.nodes['n9'].port}"
        env.relay.channel.apply_command({"nodes": {"members": [env.platform.member("n0") | change]}})
        await env.settle()
        assert [m.kind for m in client.answers(name)] == [ANSWER, RELEASE]
        assert not env.relay.driver.plays and not env.relay.viewers.sessions
        client.close()


LATE = {"the same refusal again": 453, "an error again": 500, "an answer that crossed": 200}


@pytest.mark.parametrize("late", LATE)
@looped
async def test_late_answer_is_not_taken_for_that_of_a_second_set_up(tmp_path, clock, late):
    """With one node, the second allocation of the play goes there too: on another connection, and only once
    the node has acknowledged the TEARDOWN of the first.
    """
    status = LATE[late]
    async with deployment(tmp_path, clock=clock, behaviour="silent", nodes=("n0",)) as env:
        node, client = env.platform.nodes["n0"], Client(env)
        name = client.request_play()
        await env.settle()
        first = node.setup_connections[name]
        if status == 500:
            first.write(node.answer(500, name))
            node.pending.pop(name)
            node.record("refused", name, "error")
        elif status == 453:
            first.write(node.answer(454, name))  # it never ran: may be sent again at once
            node.pending.pop(name)
            node.record("refused", name, "moot")
        else:
            await env.advance(0.41)  # its time limit is over
        await env.settle()
        assert len(env.sent(name)) == 2 and node.setup_connections[name] is not first
        first.write(node.answer(status if status != 453 else 454, name, b"late" if status == 200 else b""))
        await env.settle()
        assert (
            len(env.sent(name)) == 2 and not client.answers(name) and not env.platform.records_of("cut", name)
        )
        node.apply_behaviour("serve", node.pending[name], name, b"")
        await env.settle()
        assert [m.kind for m in client.answers(name)] == [ANSWER] and not env.platform.violations()
        assert client.answers(name)[0].fields[messages.DESCRIPTION].startswith(b"node n0 made this")
        client.close()


@looped
async def test_second_set_up_at_a_node_waits_for_the_teardown_of_the_first(tmp_path, clock):
    async with deployment(tmp_path, clock=clock, behaviour="silent", nodes=("n0",)) as env:
        node, client = env.platform.nodes["n0"], Client(env)
        node.acknowledges = False  # it gets a TEARDOWN and does not acknowledge it
        name = client.request_play()
        await env.advance(0.41)
        assert env.platform.records_of("given up", name) and len(env.sent(name)) == 1
        await env.advance(env.relay.nodes.connect_timeout_s)  # nodes need not acknowledge
        assert len(env.sent(name)) == 2 and not env.platform.violations()
        client.close()


@pytest.mark.parametrize("ends", ["stays open", "closes"])
@looped
async def test_partial_answer_ends_its_connection_and_tears_its_session_down(tmp_path, clock, ends):
    """The next message on that connection must not be read as the rest of the answer."""
    async with deployment(tmp_path, clock=clock, behaviour="silent", nodes=("n0",)) as env:
        node, client = env.platform.nodes["n0"], Client(env)
        node.behaviour, node.acknowledges = (
            ["serve", "silent"],
            False,
        )  # nothing more is sent on that connection
        before = client.request_play()
        await env.settle()
        name = client.request_play(product="paid")
        await env.settle()
        first = node.setup_connections[name]
        assert first is node.setup_connections[before]
        first.write(node.answer(200, name, b"x" * 50)[:-20])
        node.pending.pop(name)
        node.sessions[name] = first
        node.record("answered", name, b"x" * 50)
        if ends == "closes":
            await env.settle()
            first.close()
        await env.advance(3.1)
        assert [m.kind for m in client.answers(name)] == [RELEASE] and len(env.sent(name)) == 1
        assert env.platform.running_sessions().keys() == {before} and first not in node.connections
        node.end(before, 16)  # sent on the connection of its set-up, if that is still open
        await env.settle()
        assert [m.kind for m in client.answers(before)] == [ANSWER, RELEASE]
        node.behaviour = "serve"
        other = client.request_play()
        await env.settle()
        (answer,) = client.answers(other)
        assert answer.kind == ANSWER and answer.fields[messages.DESCRIPTION] == (
            b"node n0 made this for " + other.encode()
        )
        client.close()


@looped
async def test_second_copy_of_an_answer_is_ignored(tmp_path, clock):
    """Also after its viewer, or its node, has ended the session."""
    async with deployment(tmp_path, clock=clock, nodes=("n0",)) as env:
        node, client = env.platform.nodes["n0"], Client(env)
        for end in ("", "viewer", "node"):
            name = client.request_play()
            await env.settle()
            writer = node.setup_connections[name]
            if end == "viewer":
                client.release(name)
            elif end == "node":
                node.end(name, 16)
            await env.settle()
            heard = len(client.answers(name))
            writer.write(node.answer(200, name, b"a second copy"))
            await env.advance(0.01)
            assert len(client.answers(name)) == heard
            assert (name in env.platform.running_sessions()) == (not end)
        assert not env.platform.violations() and len(env.relay.driver.plays) == 1
        client.close()


@looped
async def test_removed_node_keeps_no_connection_when_a_set_up_restarts(tmp_path, clock):
    """The end of its connections starts the set-up again, which must not open a connection to it."""
    async with deployment(tmp_path, clock=clock, nodes=("n0", "n1")) as env:
        client = Client(env)
        served = client.request_play()
        await env.settle()
        relay = env.relay.nodes
        (name,) = [n.id for n in relay.nodes.values() if n.connections]
        node = relay.nodes[name]
        (connection,) = node.connections
        active_play = env.relay.driver.plays[served]
        waiting = nodes.SetUp(relay, node, active_play, 9, 1.0)
        connection.set_ups["e" * 16] = waiting  # not written yet, as after a send that failed
        waiting.connection = connection
        env.relay.channel.apply_command({"nodes": {"members": [env.platform.member(name, "gone")]}})
        await env.advance(nodes.REMOVAL_DELAY_S + 0.1)
        assert name not in relay.nodes
        assert all(relay.is_listed(c.node) for c in relay.connections.values())
        client.close()


@looped
async def test_probe_is_sent_only_on_the_connection_it_waits_for(tmp_path, clock, held_connects):
    """Not on the next one that comes up, which would not know its answer, nor after its timeout."""
    async with deployment(tmp_path, clock=clock, nodes=("n0",)) as env:
        relay = env.relay.nodes
        endings = []
        env.relay.driver.module.probed = lambda now, node, how, took, report: endings.append(how) or []
        relay.probe("n0")
        node = relay.nodes["n0"]
        other = relay.open(node)
        first, second = held_connects.waiting
        held_connects.waiting.clear()
        second.connect_finished()
        await env.settle()
        assert other.transport is second and not env.platform.records_of("asked for load")
        first.connect_finished()
        await env.settle()
        assert endings == ["ok"] and len(env.platform.records_of("asked for load")) == 1
        relay.probe("n0")
        await env.advance(nodes.PROBE_TIMEOUT_S + 0.01)
        assert endings == ["ok", "ok"]


@looped
async def test_probes_of_an_unreachable_node_are_not_queued(tmp_path, clock, held_connects):
    async with deployment(tmp_path, clock=clock, nodes=("n0",)) as env:
        for _ in range(100):
            env.relay.nodes.probe("n0")
        await env.advance(1.0)
        node = env.relay.nodes.nodes["n0"]
        assert not node.queued_messages and not any(c.probes for c in node.connections)


@looped
async def test_teardown_unread_when_its_connection_is_to_be_closed_is_handled(tmp_path, clock):
    """Ends of sessions lie unread as the relay closes idle connections."""
    async with deployment(tmp_path, clock=clock, nodes=("n0",)) as env:
        client, node = Client(env), env.platform.nodes["n0"]
        names = [client.request_play() for _ in range(2)]
        await env.settle()
        clock.now += 10.0
        relay = env.relay.nodes
        assert len(relay.connections) == 2
        for name in names:
            node.end(name, 16)
        for writer in node.connections:
            writer.write(b"")
        while relay.free_connection():
            pass
        await env.settle()
        assert all(len(client.answers(name)) == 2 for name in names)
        client.close()


@looped
async def test_teardown_on_a_reset_connection_is_sent_on_the_next(tmp_path, clock):
    async with deployment(tmp_path, clock=clock, nodes=("n0",)) as env:
        client, node = Client(env), env.platform.nodes["n0"]
        name = client.request_play()
        await env.settle()
        node.reset()
        await asyncio.sleep(0)  # the reset has arrived, and is unread
        client.release(name)
        await env.advance(2.0)
        assert env.platform.records_of("cut", name) and not env.platform.running_sessions()
        client.close()


def test_two_set_ups_of_a_play_are_identical_on_the_wire():
    """So nothing in an answer says which of the two it is for; only its connection does."""
    reader = rtsp.Reader()
    first, second = (rtsp.request("SETUP", "a" * 16, "b" * 16, 1, b"d") for _ in range(2))
    assert first == second and reader.feed(first)[0] == rtsp.Reader().feed(second)[0]
