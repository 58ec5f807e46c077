"""What if it comes between two lines? Each crossing is forced: bytes lie in a socket that the relay has not
read, a connection comes up when the test says so, the clock goes on when it is told to. The table of them
is in `docs/relay/crossings.md`.
"""

import asyncio
import contextlib
import random
import socket
import time

import pytest
from loopback import looped
from relay.deployment import Client, Clock, deployment, set_up

from curlewhall.codecs import messages, rtsp
from curlewhall.codecs.messages import ANSWER, RELEASE
from curlewhall.relay import decide, nodes, viewers
from curlewhall.wire.transport import Transport


@pytest.fixture
def clock(monkeypatch):
    stands = Clock()
    monkeypatch.setattr(time, "monotonic", stands)
    return stands


class Doors:
    """Connections to nodes that come up only when they are let in."""

    def __init__(self, monkeypatch):
        self.waiting, self.connect = [], nodes.connect
        monkeypatch.setattr(nodes, "connect", self.ask)

    def ask(self, loop, address, owner):
        transport = self.connect(loop, address, owner)
        loop.remove_writer(transport.sock.fileno())
        self.waiting.append(transport)
        return transport

    def let_in(self):
        waiting, self.waiting = self.waiting, []
        for transport in waiting:
            if not transport.over:
                transport.connected()


@pytest.fixture
def doors(monkeypatch):
    return Doors(monkeypatch)


# ---- a client that has gone: no allocation begins for it any more


def beside(client, state, place):
    """Bring a client's connection into a state, its set-up under way."""
    if state == "other set-ups open":
        client.ask()
    elif state == "no set-up taken any more":
        client.say(b"\xff" * 100)
    elif state == "a set-up under another's id":
        other = next(iter(place.relay.viewers.sessions))
        client.say(set_up(other))
    elif state == "half a message":
        client.say(set_up("e" * 16)[:30])


WHOLE = ("plain", "other set-ups open", "a set-up under another's id")
STATES = (*WHOLE, "no set-up taken any more", "half a message")  # after these a release can't be told apart
GONE = [
    (how, state)
    for how in ("close", "half-close", "reset", "release")
    for state in (WHOLE if how == "release" else STATES)
]


def go(client, how, name):
    """A client ends its connection, or gives its set-up up; it lies in the socket, unread."""
    if how == "release":
        client.release(name)
    else:
        client.close(how)


@pytest.mark.parametrize("how, state", GONE)
@looped
async def test_gone_while_its_set_up_waits_for_a_connection(tmp_path, doors, how, state):
    """The end lies in the socket, unread, as the connection comes up: a core was busy."""
    async with deployment(tmp_path, nodes=("n0",)) as place:
        first, client = Client(place), Client(place)
        other = first.ask()
        await place.settle()
        name = client.ask()
        await place.settle()
        beside(client, state, place)
        await place.settle()
        go(client, how, name)
        doors.let_in()
        await place.settle()
        gone = {s for _, s in place.sent()}
        lives = how == "release" and state == "other set-ups open"
        assert other in gone and name not in gone and len(gone) == 1 + lives
        first.close()


@pytest.mark.parametrize("how, state", GONE)
@looped
async def test_gone_while_its_first_allocation_is_out(tmp_path, clock, how, state):
    """No further one begins, whatever else is open on its connection, or was said there."""
    async with deployment(tmp_path, does="silent", clock=clock) as place:
        first, client = Client(place), Client(place)
        first.ask(product="paid")
        await place.settle()
        name = client.ask()
        await place.settle()
        beside(client, state, place)
        await place.settle()
        go(client, how, name)
        await place.advance(3.2)
        assert len(place.sent(name)) == 1 and place.platform.of("given up", name)
        assert not place.relay.driver.plays and not place.platform.broken()


@pytest.mark.parametrize(
    "how, behind",
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
async def test_gone_before_its_set_up_is_read(tmp_path, how, behind):
    """Set-up and end lie in the socket together: the relay was busy, and begins nothing. Connections to nodes
    are up and idle, so that nothing else would keep a set-up back. `behind`: what lies between the two.
    """
    async with deployment(tmp_path) as place:
        first, client = Client(place), Client(place)
        served = [first.ask() for _ in range(3)]
        await place.settle()
        names, other = [client.ask() for _ in range(3)], set_up("e" * 16)
        if how == "close":
            client.say({"": b"", "set-up": other, "half": other[:20]}[behind])
            client.close()
        else:
            if behind == "16 kB":
                client.say(messages.message(messages.RELEASE, "e" * 16, cause=b"\x10" * 8100) * 2)
            for name in names:
                client.release(name)
            client.say(other[:20] if behind == "half" else b"")
        await place.settle()
        await place.until(lambda: len(place.relay.viewers.connections) == 1 + (how == "release"))
        assert sorted(s for _, s in place.sent()) == served and place.relay.driver.plays.keys() == set(served)
        first.close()


@looped
async def test_gone_with_more_unread_before_its_end_than_one_read_takes(tmp_path, doors):
    """The end lies behind 60 kB: a peek shows bytes, and the end is seen all the same."""
    async with deployment(tmp_path, nodes=("n0",)) as place:
        client = Client(place)
        name = client.ask()
        await place.settle()
        client.say(messages.message(messages.TEST, "0" * 16, cause=b"\0") * 4000)
        client.close()
        doors.let_in()
        await place.settle()
        assert not place.sent(name)


@pytest.mark.parametrize("how", ["close", "half-close", "reset", "release"])
@looped
async def test_gone_as_a_refusal_comes_from_the_node(tmp_path, how):
    """Its end lies unread as the node's refusal is read: no further allocation begins, though the connections
    to the other nodes are up.
    """
    async with deployment(tmp_path, does="silent") as place:
        client, nodes_side = Client(place), place.relay.nodes
        for node in nodes_side.nodes.values():
            nodes_side.open(node)
        await place.settle()
        name = client.ask()
        await place.settle()
        go(client, how, name)
        (first,) = (node for node, session in place.sent() if session == name)
        (connection,) = (c for c in nodes_side.connections.values() if name in c.set_ups)
        answer = place.platform.nodes[first].answer(453, name)
        nodes_side.take(connection, rtsp.Reader().feed(answer)[0])
        await place.settle()
        assert place.sent(name) == [(first, name)] and not place.relay.driver.plays
        assert place.relay.driver.counts["left"] == 1 and not place.relay.viewers.sessions


@looped
async def test_a_release_that_was_read_ahead_counts_though_its_connection_ends(tmp_path):
    """It lies unread as a set-up of its connection is sent further, and then the connection is reset."""
    async with deployment(tmp_path, does=["serve", "silent"]) as place:
        client = Client(place)
        stands = client.ask()
        await place.settle()
        name = client.ask()
        await place.settle()
        assert place.platform.standing().keys() == {stands}
        (before, *_), (client_side,) = place.sent(name), place.relay.viewers.connections.values()
        client.release(stands)
        (set_up_out,) = [c for c in place.relay.nodes.connections.values() if name in c.set_ups]
        answer = place.platform.nodes[before[0]].answer(453, name)
        place.relay.nodes.take(set_up_out, rtsp.Reader().feed(answer)[0])
        assert client_side.came and stands in place.relay.viewers.sessions
        client_side.transport.end("reset")
        await place.settle()
        assert place.platform.of("cut", stands) and not place.platform.standing()
        assert not place.relay.driver.plays and not place.platform.broken()
        client.close()


@pytest.mark.parametrize("how", ["close", "half-close", "reset", "release"])
@looped
async def test_gone_as_its_answer_comes_from_the_node(tmp_path, how):
    """Its end lies unread as the node's answer is: nobody would ever release what stands there."""
    async with deployment(tmp_path, does="silent", nodes=("n0",)) as place:
        client, node = Client(place), place.platform.nodes["n0"]
        name = client.ask(product="paid")
        await place.settle()
        go(client, how, name)
        (connection,) = place.relay.nodes.connections.values()
        node.standing[name] = node.came[name]
        node.say("answered", name, b"made")
        place.relay.nodes.take(connection, rtsp.Reader().feed(node.answer(200, name, b"made"))[0])
        await place.settle()
        assert place.platform.of("cut", name) and not place.platform.standing()
        assert not place.relay.driver.plays and not place.relay.viewers.sessions


@looped
async def test_gone_while_the_module_waits_for_a_report(tmp_path, clock):
    async with deployment(
        tmp_path, clock=clock, report={"how": "on_probe", "fields": ["cpu", "x1"]}, nodes=("n0",)
    ) as place:
        answer, place.platform.nodes["n0"].answer = place.platform.nodes["n0"].answer, lambda *_: b""
        client = Client(place)
        name = client.ask()
        await place.settle()
        assert place.platform.of("asked for load") and not place.sent()
        place.platform.nodes["n0"].answer = answer
        client.close()
        await place.advance(1.0)
        assert not place.sent(name) and not place.relay.driver.plays


# ---- a connection that is to be closed, and bytes on it that nobody has read


async def heard_all(place, client, sent):
    """A slow reader gets all that was written to it."""
    for _ in range(1000):
        client.closed()
        await place.settle()
        if len(client.heard) == sent:
            break
    assert len(client.heard) == sent


def idle(place):
    place.relay.viewers.look()


def room(place):
    while place.relay.viewers.make_room():
        pass


def leave(place):
    place.relay.viewers.ready = False
    place.relay.leave()


CLOSERS = {"idle": (idle, 6.5), "silent": (idle, 2.5), "room is made": (room, 0.0), "leaving": (leave, 0.0)}


@pytest.mark.parametrize("why", CLOSERS)
@looped
async def test_a_set_up_written_just_before_its_connection_is_closed_is_answered(tmp_path, clock, why):
    closer, after = CLOSERS[why]
    async with deployment(tmp_path, clock=clock) as place:
        client = Client(place)
        if why != "silent":
            served = client.ask()
            await place.settle()
            client.release(served)
        await place.settle()
        clock.now += after
        name = client.ask()
        closer(place)  # in this very turn: nothing of it was read
        await place.settle()
        (answer,) = client.answers(name)
        assert answer.kind == ANSWER and [s for _, s in place.sent()].count(name) == 1
        client.close()


@pytest.mark.parametrize("why", CLOSERS)
@looped
async def test_an_answer_that_its_reader_has_yet_to_take_is_not_cut(tmp_path, clock, why):
    closer, after = CLOSERS[why]
    async with deployment(tmp_path, clock=clock) as place:
        client = Client(place)
        await place.settle()
        (connection,) = place.relay.viewers.connections.values()
        connection.sound = why != "silent"
        reply = messages.message(messages.TESTED, "0" * 16, cause=b"\1")
        sent = 0
        while not connection.transport.queue:  # the kernel's buffers are full
            sent += connection.transport.send(reply * 1000) and 1000
        clock.now += after
        connection.transport.moved = clock.now
        closer(place)
        await place.settle()
        await heard_all(place, client, sent)
        client.close()


@looped
async def test_a_first_set_up_that_comes_late_and_after_the_look_is_taken(tmp_path, clock, monkeypatch):
    """A client that said nothing for 2 s is to be closed; its set-up comes as the look has found nothing."""
    async with deployment(tmp_path, clock=clock) as place:
        client = Client(place)
        await place.settle()
        clock.now += viewers.SILENT + 0.1
        unread, looks = Transport.unread, []

        def late(transport):
            looks.append(unread(transport))
            if len(looks) == 1:
                client.ask("e" * 16)
            return looks[-1]

        monkeypatch.setattr(Transport, "unread", late)
        place.relay.viewers.look()
        await place.settle()
        assert not looks[0] and [m.kind for m in client.answers("e" * 16)] == [ANSWER]
        client.close()


@looped
async def test_who_says_only_what_is_no_set_up_gets_its_close_in_time(tmp_path, clock):
    """And says it without an end: there is always more than one read takes."""
    async with deployment(tmp_path, clock=clock) as place:
        client, look = Client(place), place.relay.viewers.look
        noise = messages.message(messages.RELEASE, "e" * 16, cause=b"\x10") * 6000

        def noisy():
            with contextlib.suppress(OSError):
                client.sock.send(noise)
            look()

        place.relay.viewers.look = noisy
        await place.advance(3.0)
        assert client.closed()


@looped
async def test_what_was_said_just_before_a_close_is_answered_wholly(tmp_path, clock):
    """Its answers are more than the kernel takes from this side at once."""
    async with deployment(tmp_path, clock=clock) as place:
        client = Client(place)
        await place.settle()
        (connection,) = place.relay.viewers.connections.values()
        connection.sound = True
        connection.transport.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        test, sent = messages.message(messages.TEST, "0" * 16, cause=b"\0"), 0
        while not connection.transport.queue:
            client.say(test * 500)
            sent += 500
            assert not place.relay.viewers.close_clear(connection)  # it reads, answers, and keeps it
        await heard_all(place, client, sent)
        client.close()


@looped
async def test_who_reads_nothing_is_closed_in_the_end(tmp_path, clock):
    async with deployment(tmp_path, clock=clock) as place:
        client = Client(place)
        await place.settle()
        (connection,) = place.relay.viewers.connections.values()
        connection.sound = True
        while not connection.transport.queue:
            connection.transport.send(b"\0" * 10_000)
        await place.advance(viewers.IDLE + 1)
        assert place.relay.viewers.connections
        await place.advance(viewers.SLOW)
        assert not place.relay.viewers.connections
        client.close()


@looped
async def test_half_a_message_costs_no_set_up_that_is_whole(tmp_path, clock):
    """A byte a second: the rest comes while an earlier set-up is out, and is answered like any other."""
    async with deployment(tmp_path, clock=clock, does="silent", nodes=("n0",)) as place:
        client = Client(place)
        client.ask(product="paid")
        name = "e" * 16
        raw = set_up(name)
        client.say(raw[:40])
        await place.advance(2.6)  # far longer than a message may take
        place.platform.nodes["n0"].does = "serve"
        client.say(raw[40:])
        await place.settle()
        assert [m.kind for m in client.answers(name)] == [ANSWER]
        client.close()


@looped
async def test_a_byte_a_second_gets_its_close_in_time(tmp_path, clock):
    async with deployment(tmp_path, clock=clock) as place:
        client = Client(place)
        for byte in set_up("e" * 16)[:3]:
            client.say(bytes((byte,)))
            await place.advance(1.0)
        assert client.closed()


@pytest.mark.parametrize("first", ["refused", "given up", "given up before it was sent", "released", "ended"])
@looped
async def test_the_same_set_up_again_after_a_short_while(tmp_path, clock, first):
    """Whatever became of the first: the second is a play of its own, answered once, never out beside it."""
    async with deployment(tmp_path, clock=clock, nodes=("n0",)) as place:
        node, client = place.platform.nodes["n0"], Client(place)
        node.does = {"refused": "full", "given up": "silent"}.get(first, "serve")
        name = client.ask()
        if first != "given up before it was sent":
            await place.settle()
        if first == "ended":
            node.end(name, 16)
        elif first != "refused":
            client.release(name)
        await place.advance(1.1)  # a node that was full is passed over for 1 s
        node.does = "serve"
        before = len(client.answers(name))
        client.ask(name)
        await place.settle()
        assert [m.kind for m in client.answers(name)[before:]] == [ANSWER]
        assert place.platform.standing() == {name: "n0"} and not place.platform.broken()
        client.close()


@pytest.mark.parametrize("flood", ["tests", "releases", "set-ups", "set-ups taken back", "half messages"])
@looped
async def test_a_flood_on_one_connection_starves_no_other(tmp_path, flood):
    """As much as the socket takes, again and again, while a usual viewer is served."""

    def piece(number):
        name = f"{number + (1 << 40):016x}"
        asked, test = set_up(name), messages.message(messages.TEST, name, cause=b"\0")
        back = messages.message(messages.RELEASE, name, cause=b"\x10")
        return {
            "tests": test,
            "releases": back,
            "set-ups": asked,
            "set-ups taken back": asked + back,
            "half messages": asked[:30],
        }[flood]

    async with deployment(tmp_path) as place:
        bad, usual, sent = Client(place), Client(place), 0
        bad.sock.setblocking(False)
        for _ in range(20):
            name = usual.ask()
            while not usual.answers(name):
                raw = b"".join(piece(sent + i) for i in range(200))
                sent += 200
                try:
                    bad.sock.send(raw)
                except BlockingIOError:
                    bad.closed()  # it reads whatever is sent to it
                except OSError:
                    bad = Client(place)  # it was closed, and comes again
                    bad.sock.setblocking(False)
                await asyncio.sleep(0)
            (answer,) = usual.answers(name)
            assert answer.kind == ANSWER or flood.startswith("set-ups")  # whose plays fill the streams
            usual.release(name)
        assert sent > 200 and not place.relay.driver.counts["faults"]
        usual.close()
        bad.close()


# ---- leaving


@pytest.mark.parametrize("seed", range(12))
@looped
async def test_bytes_at_any_moment_of_a_wind_down(tmp_path, clock, seed):
    """A drawn course of what clients do, from before SIGTERM until the process is over: what was written to a
    connection that the relay had not closed by then is answered exactly once, or was given up by its client.
    """
    draw = random.Random(seed)
    async with deployment(tmp_path, clock=clock, does=["serve"]) as place:
        relay, clients, asked, lost = place.relay, [], {}, set()
        told = False
        until = clock.now + 4.5
        while not relay.over.is_set() and clock.now < until:
            for node in place.platform.nodes.values():
                node.does = draw.choice(["serve", "serve", "serve", "silent", "full", "break"])
            for _ in range(draw.randrange(6)):
                may_open = relay.viewers.listener is not None
                if may_open and (not clients or draw.random() < 0.2):
                    clients.append(Client(place))
                client = draw.choice(clients) if clients else None
                if client is None or client in lost or client.closed():
                    continue  # it sees the close before it writes
                act = draw.random()
                if act < 0.85:
                    name = client.ask(
                        product=draw.choice(["cheap", "dear", "paid"]),
                        patience=str(draw.choice([200, 900, 3000])),
                    )
                    asked[name] = client
                elif act < 0.89:
                    client.say(set_up("e" * 16)[: draw.randrange(1, 40)])
                    lost.add(client)  # it says nothing more; what it asked before is owed
                elif act < 0.97 and asked:
                    name = draw.choice(list(asked))
                    asked[name].closed() or asked.pop(name).release(name)
                else:
                    client.close(draw.choice(["close", "reset"]))
                    lost.add(client)
                    asked = {n: c for n, c in asked.items() if c is not client}
            if not told and len(asked) > 20:
                relay.stop()
                told = True
            if draw.random() < 0.5:
                await place.advance(draw.choice([0.001, 0.01, 0.05, 0.15]))
            else:
                clock.now += draw.choice([0.002, 0.05, 0.4])  # a busy core: what was written lies there
                relay.timers.ring()
            out = [
                play
                for c in relay.nodes.connections.values()
                for play, set_up in c.set_ups.items()
                if set_up.state == nodes.SENT
            ]
            assert len(out) == len(set(out))  # rule 2, as the relay has written it
        if not told:
            relay.stop()
        await place.advance(4.0)
        assert relay.over.is_set()
        unanswered = {n: len(c.answers(n)) for n, c in asked.items() if len(c.answers(n)) != 1}
        # A node may read a set-up before another reads the TEARDOWN that was written first: see `out`.
        wrong = [why for why in place.platform.broken() if " is out at " not in why]
        paid = [row[2] for row in place.platform.of("set-up") if row[0] != "viewer" and row[3][0] == "paid"]
        full = [row[2] for row in place.platform.of("refused") if row[3] == "full"]
        assert len(asked) > 10 and not unanswered and not wrong
        assert all(paid.count(play) <= 1 + full.count(play) for play in paid)
        for client in clients:
            client.sock.close()


@looped
async def test_a_set_up_written_just_after_the_last_answer_of_a_wind_down_is_answered(tmp_path, clock):
    """Nothing is owed on its connection as the next round closes it: what lies there is read first."""
    async with deployment(tmp_path, clock=clock, does="silent", nodes=("n0",)) as place:
        relay, client = place.relay, Client(place)
        first = client.ask(patience="1500")
        await place.settle()
        relay.stop()
        await place.advance(1.0)
        assert relay.viewers.refusing and not client.closed()
        clock.now += 0.6  # the first one's time is over
        relay.timers.ring()
        late = client.ask()
        for _ in range(3):  # nothing is read between these
            clock.now += 0.002
            relay.timers.ring()
        await place.advance(0.5)
        assert [len(client.answers(name)) for name in (first, late)] == [1, 1] and client.closed()
        assert relay.over.is_set() and not place.sent(late)


@looped
async def test_clients_that_never_stop_sending_are_answered_before_the_kill(tmp_path, clock):
    """From the moment on at which no set-up comes by the page they are refused, and the process ends long
    before the kill; what is out then is answered, too.
    """
    async with deployment(tmp_path, clock=clock, does="silent") as place:
        clients, asked = [Client(place) for _ in range(5)], {}
        ends = place.relay.leaving is None and clock.now
        asked |= {client.ask(product="paid", patience="30000"): client for client in clients}
        await place.settle()
        place.relay.stop()
        began = clock.now
        while not place.relay.over.is_set():
            for client in clients:
                if not client.closed():
                    asked[client.ask(patience="900")] = client
            await place.advance(0.02)
            assert clock.now - began < decide.LONGEST_LIMIT + decide.TO_KILL - 0.1, "it is killed"
        assert ends and all(len(client.answers(name)) == 1 for name, client in asked.items())
        assert place.relay.viewers.refused > 20 and all(client.closed() for client in clients)


@looped
async def test_all_who_wait_at_the_door_are_let_in_before_it_is_shut(tmp_path, clock):
    async with deployment(tmp_path, clock=clock) as place:
        clients = [Client(place) for _ in range(90)]
        names = [client.ask(patience="900") for client in clients]
        place.relay.viewers.ready = False
        place.relay.leave()  # more than one turn of the loop takes in
        await place.advance(1.5)
        assert all(len(client.answers(name)) == 1 for client, name in zip(clients, names, strict=True))


# ---- nodes: what waits, and what comes late


@pytest.mark.parametrize("told", ["draining", "started anew", "another address"])
@looped
async def test_a_node_that_is_another_once_its_connection_comes_up_gets_nothing(tmp_path, doors, told):
    """Of what was chosen before; one that has started anew may get what the module chose knowing of it."""
    async with deployment(tmp_path, nodes=("n0",)) as place:
        client, ends, ended = Client(place), [], place.relay.driver.allocation_ended
        place.relay.driver.allocation_ended = lambda active_play, number, node, how, *more: (
            ends.append((number, how)),
            ended(active_play, number, node, how, *more),
        )
        client.ask(product="paid")
        await place.settle()
        await place.platform.add("n9")
        change = {
            "draining": {"phase": "draining"},
            "started anew": {"up_since_ms": int(time.time() * 1000)},
            "another address": {"host_port": f"127.0.0.1:{place.platform.nodes['n9'].port}"},
        }[told]
        place.relay.channel.command({"nodes": {"members": [place.platform.member("n0") | change]}})
        for _ in range(3):
            doors.let_in()
            await place.settle()
        assert ends[0] in ((0, "not_sent"), (0, "unreached")) and not place.platform.broken()
        assert len(place.sent()) == sum(how not in ("not_sent", "unreached") for _, how in ends)
        assert len(place.sent()) <= (told == "started anew")
        client.close()


@pytest.mark.parametrize("moved", [False, True], ids=["at its address", "at another address"])
@looped
async def test_what_stood_at_a_process_that_has_started_anew_is_over(tmp_path, moved):
    """The list tells of the start, and no release does: the process that would tell is gone."""
    async with deployment(tmp_path, nodes=("n0",)) as place:
        client = Client(place)
        name = client.ask()
        await place.settle()
        await place.platform.add("n9")
        change = {"up_since_ms": int(time.time() * 1000) + 1000}
        if moved:
            change["host_port"] = f"127.0.0.1:{place.platform.nodes['n9'].port}"
        place.relay.channel.command({"nodes": {"members": [place.platform.member("n0") | change]}})
        await place.settle()
        assert [m.kind for m in client.answers(name)] == [ANSWER, RELEASE]
        assert not place.relay.driver.plays and not place.relay.viewers.sessions
        client.close()


LATE = {"the same refusal again": 453, "an error again": 500, "an answer that crossed": 200}


@pytest.mark.parametrize("late", LATE)
@looped
async def test_a_late_answer_to_a_first_set_up_is_not_taken_for_that_to_the_second(tmp_path, clock, late):
    """One node alone: the second allocation of the play goes there too, by another connection, and only once
    the node has heard that the first was given up.
    """
    status = LATE[late]
    async with deployment(tmp_path, clock=clock, does="silent", nodes=("n0",)) as place:
        node, client = place.platform.nodes["n0"], Client(place)
        name = client.ask()
        await place.settle()
        first = node.came[name]
        if status == 500:
            first.write(node.answer(500, name))
            node.out.pop(name)
            node.say("refused", name, "error")
        elif status == 453:
            first.write(node.answer(454, name))  # it never left: may be sent again at once
            node.out.pop(name)
            node.say("refused", name, "moot")
        else:
            await place.advance(0.41)  # its time is over
        await place.settle()
        assert len(place.sent(name)) == 2 and node.came[name] is not first
        first.write(node.answer(status if status != 453 else 454, name, b"late" if status == 200 else b""))
        await place.settle()
        assert len(place.sent(name)) == 2 and not client.answers(name) and not place.platform.of("cut", name)
        node.do("serve", node.out[name], name, b"")
        await place.settle()
        assert [m.kind for m in client.answers(name)] == [ANSWER] and not place.platform.broken()
        assert client.answers(name)[0].fields[messages.DESCRIPTION].startswith(b"node n0 made this")
        client.close()


@looped
async def test_a_second_set_up_waits_until_the_first_ones_teardown_was_heard(tmp_path, clock):
    async with deployment(tmp_path, clock=clock, does="silent", nodes=("n0",)) as place:
        node, client = place.platform.nodes["n0"], Client(place)
        node.hears = False  # it takes a TEARDOWN, and says nothing of it
        name = client.ask()
        await place.advance(0.41)
        assert place.platform.of("given up", name) and len(place.sent(name)) == 1
        await place.advance(place.relay.nodes.connect_limit)  # it is free to a node whether it does
        assert len(place.sent(name)) == 2 and not place.platform.broken()
        client.close()


@pytest.mark.parametrize("ends", ["stays open", "closes"])
@looped
async def test_an_answer_that_breaks_off_in_the_middle(tmp_path, clock, ends):
    """The next answer on that connection is no part of it, and what stands at the node is ended there."""
    async with deployment(tmp_path, clock=clock, does="silent", nodes=("n0",)) as place:
        node, client = place.platform.nodes["n0"], Client(place)
        node.does, node.hears = ["serve", "silent"], False  # nothing more is said on that connection
        before = client.ask()
        await place.settle()
        name = client.ask(product="paid")
        await place.settle()
        first = node.came[name]
        assert first is node.came[before]
        first.write(node.answer(200, name, b"x" * 50)[:-20])
        node.out.pop(name)
        node.standing[name] = first
        node.say("answered", name, b"x" * 50)
        if ends == "closes":
            await place.settle()
            first.close()
        await place.advance(3.1)
        assert [m.kind for m in client.answers(name)] == [RELEASE] and len(place.sent(name)) == 1
        assert place.platform.standing().keys() == {before} and first not in node.lines
        node.end(before, 16)  # told on the connection of its set-up, where that is still open
        await place.settle()
        assert [m.kind for m in client.answers(before)] == [ANSWER, RELEASE]
        node.does = "serve"
        other = client.ask()
        await place.settle()
        (answer,) = client.answers(other)
        assert answer.kind == ANSWER and answer.fields[messages.DESCRIPTION] == (
            b"node n0 made this for " + other.encode()
        )
        client.close()


@looped
async def test_a_second_answer_some_milliseconds_late_is_nobodys(tmp_path, clock):
    """Also once the session was released by its viewer, and by its node."""
    async with deployment(tmp_path, clock=clock, nodes=("n0",)) as place:
        node, client = place.platform.nodes["n0"], Client(place)
        for end in ("", "viewer", "node"):
            name = client.ask()
            await place.settle()
            writer = node.came[name]
            if end == "viewer":
                client.release(name)
            elif end == "node":
                node.end(name, 16)
            await place.settle()
            heard = len(client.answers(name))
            writer.write(node.answer(200, name, b"a second copy"))
            await place.advance(0.01)
            assert len(client.answers(name)) == heard
            assert (name in place.platform.standing()) == (not end)
        assert not place.platform.broken() and len(place.relay.driver.plays) == 1
        client.close()


@looped
async def test_a_node_taken_away_while_a_set_up_is_started_anew_for_it(tmp_path, clock):
    """The end of its connections starts the set-up anew: no connection is left that belongs to no node."""
    async with deployment(tmp_path, clock=clock, nodes=("n0", "n1")) as place:
        client = Client(place)
        served = client.ask()
        await place.settle()
        relay = place.relay.nodes
        (name,) = [n.id for n in relay.nodes.values() if n.connections]
        node = relay.nodes[name]
        (connection,) = node.connections
        active_play = place.relay.driver.plays[served]
        waiting = nodes.SetUp(relay, node, active_play, 9, 1.0)
        connection.set_ups["e" * 16] = waiting  # written nowhere yet, as after a send that failed
        waiting.connection = connection
        place.relay.channel.command({"nodes": {"members": [place.platform.member(name, "gone")]}})
        await place.advance(nodes.WAIT + 0.1)
        assert name not in relay.nodes
        assert all(relay.lists(c.node) for c in relay.connections.values())
        client.close()


@looped
async def test_a_probe_that_waits_for_its_connection_leaves_on_it(tmp_path, clock, doors):
    """Not on the next that comes up, where nobody would know its answer; and not once its time is over."""
    async with deployment(tmp_path, clock=clock, nodes=("n0",)) as place:
        relay = place.relay.nodes
        heard = []
        place.relay.driver.module.probed = lambda now, node, how, took, report: heard.append(how) or []
        relay.probe("n0")
        node = relay.nodes["n0"]
        other = relay.open(node)
        first, second = doors.waiting
        doors.waiting.clear()
        second.connected()
        await place.settle()
        assert other.transport is second and not place.platform.of("asked for load")
        first.connected()
        await place.settle()
        assert heard == ["ok"] and len(place.platform.of("asked for load")) == 1
        relay.probe("n0")
        await place.advance(nodes.PROBE + 0.01)
        assert heard == ["ok", "ok"]


@looped
async def test_many_probes_of_a_node_out_of_reach_leave_nothing_behind(tmp_path, clock, doors):
    async with deployment(tmp_path, clock=clock, nodes=("n0",)) as place:
        for _ in range(100):
            place.relay.nodes.probe("n0")
        await place.advance(1.0)
        node = place.relay.nodes.nodes["n0"]
        assert not node.unsaid and not any(c.probes for c in node.connections)


@looped
async def test_what_a_node_says_on_a_connection_that_is_to_be_closed_is_heard(tmp_path, clock):
    """Its end of a session lies unread as the relay tidies up its connections."""
    async with deployment(tmp_path, clock=clock, nodes=("n0",)) as place:
        client, node = Client(place), place.platform.nodes["n0"]
        names = [client.ask() for _ in range(2)]
        await place.settle()
        clock.now += 10.0
        relay = place.relay.nodes
        assert len(relay.connections) == 2
        for name in names:
            node.end(name, 16)
        for writer in node.lines:
            writer.write(b"")
        while relay.make_room():
            pass
        await place.settle()
        assert all(len(client.answers(name)) == 2 for name in names)
        client.close()


@looped
async def test_a_teardown_that_finds_its_connection_broken_is_said_on_the_next(tmp_path, clock):
    async with deployment(tmp_path, clock=clock, nodes=("n0",)) as place:
        client, node = Client(place), place.platform.nodes["n0"]
        name = client.ask()
        await place.settle()
        node.reset()
        await asyncio.sleep(0)  # the reset is there, the relay has not read it
        client.release(name)
        await place.advance(2.0)
        assert place.platform.of("cut", name) and not place.platform.standing()
        client.close()


def test_a_set_up_knows_a_second_answer_by_its_connection():
    """What the rule rests on: nothing in an answer tells which of two set-ups of a play it is for."""
    reader = rtsp.Reader()
    first, second = (rtsp.request("SETUP", "a" * 16, "b" * 16, 1, b"d") for _ in range(2))
    assert first == second and reader.feed(first)[0] == rtsp.Reader().feed(second)[0]
