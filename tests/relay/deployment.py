"""A relay in the test's own loop, with the platform's stand-ins around it."""

import asyncio
import contextlib
import json
import socket
import time

from test_simhost import CONFIG

from curlewhall.codecs import messages
from curlewhall.relay import nodes, start_settings
from curlewhall.relay.null_objects import Log
from curlewhall.relay.serve import Relay
from curlewhall.standins.platform import RST, Platform

HELD = []  # for as long as these tests run


def free_port():
    """A port that nobody else is given, in another process either: it stays bound here, and whoever is told
    of it may listen there all the same (SO_REUSEADDR).
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    HELD.append(sock)
    return sock.getsockname()[1]


def settings(**changes):
    """The platform's settings; changes by path, as permissions__max_attempts=2."""
    whole = json.loads(CONFIG)
    whole["permissions"] |= {"connect-timeout-ms": 250.0, "idle-close-ms": 15000.0, "streams-per-conn": 100}
    for path, value in changes.items():
        *heads, last = path.replace("_", "-").split("--")
        part = whole
        for head in heads:
            part = part[head]
        part[last] = value
    return whole


class Clock:
    """Stands still until it is advanced; all timers of the relay go by it. For `time.monotonic`."""

    def __init__(self):
        self.now = time.monotonic()

    def __call__(self):
        return self.now


class Client:
    """A raw client: what it does is done when the call returns, and the relay has seen nothing of it yet."""

    def __init__(self, place):
        self.place, self.reader, self.heard = place, messages.Reader(), []
        self.sock = socket.create_connection(("127.0.0.1", place.port))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # else a small piece waits for an ACK

    def ask(self, session="", product="cheap", patience="3000", **figures):
        session = session or self.place.platform.name()
        self.say(set_up(session, product, patience, **figures))
        return session

    def release(self, session):
        self.say(messages.message(messages.RELEASE, session, cause=b"\x10"))

    def say(self, raw):
        self.sock.sendall(raw)

    def close(self, how="close"):
        if how == "half-close":
            self.sock.shutdown(socket.SHUT_WR)
            return
        if how == "reset":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RST)
        self.sock.close()

    def closed(self):
        """Whether the relay has closed by now; what it said before is read."""
        self.sock.setblocking(False)
        try:
            while piece := self.sock.recv(65536):
                self.heard += self.reader.feed(piece)
            return True
        except BlockingIOError:
            return False
        except ConnectionError:
            return True

    def answers(self, session):
        """What came for a session: its answers, not what a release is answered with."""
        self.closed()
        ends = messages.ANSWER, messages.RELEASE
        return [m for m in self.heard if m.session == session and m.kind in ends]


def set_up(session, product="cheap", patience="3000", description=b"d", **figures):
    """A whole set-up, as bytes."""
    figures = {"home": 0, "copies": 4, "top": 3, "viewer": session} | figures
    text = ";".join(f"{key}:{value}" for key, value in figures.items())
    return messages.message(
        messages.SET_UP,
        session,
        product=product.encode(),
        title=b"00000000000000aa",
        patience=patience.encode(),
        figures=text.encode(),
        description=description,
    )


class Handovers:
    """Rows in `platform.seen` for what the relay hands to its nodes, in the order in which it writes."""

    def __init__(self, place):
        self.seen, self.nodes = place.platform.seen, place.relay.nodes
        self.go, self.end_told, self.ended = self.nodes.go, self.nodes.end_told, self.nodes.ended
        self.nodes.go, self.nodes.end_told, self.nodes.ended = self.hand_over, self.tear_down, self.close

    def hand_over(self, set_up, connection):
        self.go(set_up, connection)
        if set_up.state == nodes.SENT:
            self.seen.append(("relay", "handed over", set_up.play, (connection.node.id, id(connection))))

    def tear_down(self, node, play, went):
        if went:
            self.seen.append(("relay", "torn down", play, node.id))
        self.end_told(node, play, went)

    def close(self, transport, why):
        self.seen.append(("relay", "closed", "", id(self.nodes.connections.get(transport))))
        self.ended(transport, why)

    def overlapping(self):
        return overlapping(self.seen)


def overlapping(seen):
    """Sessions that the relay handed to a node while an earlier set-up of theirs was out at another."""
    out, wrong = {}, []
    for side, what, session, value in seen:
        node, connection = out.get(session, ("", 0))
        if what == "handed over":
            if node:
                wrong.append(f"{session} is out at {node} and {value[0]}")
            out[session] = value
        elif what == "closed":
            out = {play: place for play, place in out.items() if place[1] != value}
        elif what == "torn down" and node == value or what in ("answered", "refused") and node == side:
            del out[session]
    return wrong


class Deployment:
    """`relay` on `port`; `platform` around it. `clock`: a clock that stands still, see `advance`."""

    def __init__(self, nodes=("n0", "n1", "n2", "n3"), does="serve", clock=None, **changes):
        self.platform, self.changes, self.does, self.names = Platform(), changes, does, nodes
        self.lines, self.clock = [], clock

    def config(self, port, sockets=256):
        members = [self.platform.member(name) for name in self.platform.nodes]
        return {
            "name": "n0",
            "listen": f"127.0.0.1:{port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "channel": f"127.0.0.1:{self.platform.channel.port}",
            "known": {"cursor": 1, "cmds": [{"cursor": 1, "nodes": {"complete": True, "members": members}}]},
            "settings": settings(**self.changes),
        }

    async def start(self, tmp_path, sockets=256):
        for name in self.names:
            await self.platform.add(name, self.does)
        await self.platform.channel.start()
        self.port, self.file = free_port(), tmp_path / "config.json"
        self.file.write_text(json.dumps(self.config(self.port, sockets)))
        given = start_settings.read(
            {"RELAY_CONFIG": str(self.file), "RELAY_LISTEN": f"127.0.0.1:{self.port}"}
        )
        self.relay = Relay(given, Log(self))
        if self.clock is not None:
            self.relay.driver.clock.source = self.clock
            self.relay.timers.arm = lambda due: None  # they ring in `advance` alone
        self.relay.driver.module.random_below = (
            lambda bound: 0
        )  # the first holder; cold nodes let plays through
        for node in self.relay.driver.module.nodes.values():
            node.cold_since = float("-inf")
        return self

    def write(self, text):
        self.lines.append(text)

    def flush(self):
        pass

    async def until(self, true):
        """Wait until something is so; what is waited for comes over sockets of this loop."""
        async with asyncio.timeout(15):
            while not true():
                await asyncio.sleep(0.005)

    async def settle(self):
        """Let all that lies on the sockets of this loop be read and answered."""
        for _ in range(12):  # more than the turns of a way there and back, over streams' own tasks
            await asyncio.sleep(0)

    async def advance(self, span):
        """Let the clock go on, and every timer of the relay ring at its time."""
        timers, until = self.relay.timers, self.clock.now + span
        await self.settle()
        while timers.heap and timers.heap[0][0] <= until:
            self.clock.now = max(self.clock.now, timers.heap[0][0])
            timers.ring()
            await self.settle()
        self.clock.now = until

    def sent(self, session=None):
        """Set-ups that came to nodes: node and session."""
        return [(row[0], row[2]) for row in self.platform.of("set-up", session) if row[0] != "viewer"]

    def close(self):
        self.relay.close()
        self.platform.close()


@contextlib.asynccontextmanager
async def deployment(tmp_path, sockets=256, **facts):
    place = Deployment(**facts)
    try:
        yield await place.start(tmp_path, sockets)
    finally:
        place.close()
