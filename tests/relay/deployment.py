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
from curlewhall.standins.platform import LINGER_RESET, Platform

RESERVED_PORTS = []  # sockets, bound for as long as the tests run


def free_port():
    """A port that no other process gets: it stays bound here, and the process under test can listen on it all
    the same (SO_REUSEADDR).
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    RESERVED_PORTS.append(sock)
    return sock.getsockname()[1]


def settings(**changes):
    """The platform's settings; changes by their path, as permissions__max_attempts=2."""
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
    """Replaces `time.monotonic` by a clock that stands still until it is advanced."""

    def __init__(self):
        self.now = time.monotonic()

    def __call__(self):
        return self.now


class Client:
    """A blocking client: a call returns once its bytes are sent, before the relay has read them."""

    def __init__(self, env):
        self.env, self.reader, self.received = env, messages.Reader(), []
        self.sock = socket.create_connection(("127.0.0.1", env.port))
        self.sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )  # otherwise a small piece waits for an ACK

    def request_play(self, session="", product="cheap", patience="3000", **attributes):
        session = session or self.env.platform.new_session()
        self.send(set_up(session, product, patience, **attributes))
        return session

    def release(self, session):
        self.send(messages.encode(messages.RELEASE, session, cause=b"\x10"))

    def send(self, raw):
        self.sock.sendall(raw)

    def close(self, how="close"):
        if how == "half-close":
            self.sock.shutdown(socket.SHUT_WR)
            return
        if how == "reset":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.sock.close()

    def closed(self):
        """Whether the relay has closed the connection; reads what was sent before."""
        self.sock.setblocking(False)
        try:
            while piece := self.sock.recv(65536):
                self.received += self.reader.feed(piece)
            return True
        except BlockingIOError:
            return False
        except ConnectionError:
            return True

    def answers(self, session):
        """The answers and releases received for a session, without acknowledgements."""
        self.closed()
        ends = messages.ANSWER, messages.RELEASE
        return [m for m in self.received if m.session == session and m.kind in ends]


def set_up(session, product="cheap", patience="3000", description=b"d", **attributes):
    """An encoded set-up."""
    attributes = {"home": 0, "copies": 4, "top": 3, "viewer": session} | attributes
    text = ";".join(f"{key}:{value}" for key, value in attributes.items())
    return messages.encode(
        messages.SET_UP,
        session,
        product=product.encode(),
        title=b"00000000000000aa",
        patience=patience.encode(),
        attributes=text.encode(),
        description=description,
    )


def cause(message):
    """The cause of a release to a viewer."""
    return message.fields[messages.CAUSE][0]


class UnreachableNodes:
    """Machines of nodes that have vanished: new connections to them never come up, until `end`. `silent`:
    what was written on the open ones is not read, either.
    """

    def __init__(self, env, monkeypatch, names, silent=False):
        self.ports = {env.platform.nodes[name].port for name in names}
        self.connect = nodes.connect
        monkeypatch.setattr(nodes, "connect", self.connect_or_wait)
        for name in names if silent else ():
            for writer in env.platform.nodes[name].connections:
                writer.transport.pause_reading()

    def connect_or_wait(self, loop, address, owner):
        transport = self.connect(loop, address, owner)
        if address[1] in self.ports:
            loop.remove_writer(transport.sock.fileno())  # so that it never counts as up
        return transport

    def end(self):
        self.ports = set()


class RelayWrites:
    """Records in `platform.traffic` what the relay writes to its nodes, in the order in which it writes."""

    def __init__(self, env):
        self.traffic, self.nodes = env.platform.traffic, env.relay.nodes
        self.send_set_up = self.nodes.send_set_up
        self.note_teardown = self.nodes.note_teardown
        self.connection_lost = self.nodes.connection_lost
        self.nodes.send_set_up = self.record_set_up
        self.nodes.note_teardown = self.record_teardown
        self.nodes.connection_lost = self.record_close

    def record_set_up(self, set_up, connection):
        self.send_set_up(set_up, connection)
        if set_up.state == nodes.SENT:
            self.traffic.append(("relay", "sent", set_up.play, (connection.node.id, id(connection))))

    def record_teardown(self, node, play, sent):
        if sent:
            self.traffic.append(("relay", "torn down", play, node.id))
        self.note_teardown(node, play, sent)

    def record_close(self, transport, why):
        self.traffic.append(("relay", "closed", "", id(self.nodes.connections.get(transport))))
        self.connection_lost(transport, why)

    def overlapping(self):
        return overlapping(self.traffic)


def overlapping(traffic):
    """Sessions that the relay sent to a node while an earlier set-up of theirs was open at another."""
    out, wrong = {}, []
    for side, what, session, value in traffic:
        node, connection = out.get(session, ("", 0))
        if what == "sent":
            if node:
                wrong.append(f"{session} is out at {node} and {value[0]}")
            out[session] = value
        elif what == "closed":
            out = {play: sent_to for play, sent_to in out.items() if sent_to[1] != value}
        elif what == "torn down" and node == value or what in ("answered", "refused") and node == side:
            del out[session]
    return wrong


class Deployment:
    """`relay` on `port`, and `platform` around it. `behaviour`: how nodes answer. `clock`: see `advance`."""

    def __init__(self, nodes=("n0", "n1", "n2", "n3"), behaviour="serve", clock=None, **changes):
        self.platform, self.changes, self.behaviour, self.names = Platform(), changes, behaviour, nodes
        self.log_lines, self.clock = [], clock

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
            await self.platform.add(name, self.behaviour)
        await self.platform.channel.start()
        self.port, self.file = free_port(), tmp_path / "config.json"
        self.file.write_text(json.dumps(self.config(self.port, sockets)))
        loaded = start_settings.read_config(
            {"RELAY_CONFIG": str(self.file), "RELAY_LISTEN": f"127.0.0.1:{self.port}"}
        )
        self.relay = Relay(loaded, Log(self))
        if self.clock is not None:
            self.relay.driver.clock.source = self.clock
            self.relay.timers.arm = lambda due: None  # they expire in `advance` alone
        # Always the first holder; cold nodes get plays, too.
        self.relay.driver.module.random_below = lambda bound: 0
        for node in self.relay.driver.module.nodes.values():
            node.cold_since = float("-inf")
        return self

    def write(self, text):
        self.log_lines.append(text)

    def flush(self):
        pass

    async def wait_until(self, condition):
        """Wait for a condition that traffic on sockets of this loop brings about."""
        async with asyncio.timeout(15):
            while not condition():
                await asyncio.sleep(0.005)

    async def settle(self):
        """Let the loop read and answer all that was sent on its sockets."""
        for _ in range(12):  # more turns than a request and its answer take, with the tasks of streams
            await asyncio.sleep(0)

    async def advance(self, span):
        """Advance the clock; every timer of the relay expires at its time."""
        timers, until = self.relay.timers, self.clock.now + span
        await self.settle()
        while timers.heap and timers.heap[0][0] <= until:
            self.clock.now = max(self.clock.now, timers.heap[0][0])
            timers.run_due()
            await self.settle()
        self.clock.now = until

    def sent(self, session=None):
        """Set-ups received by nodes, as (node, session)."""
        return [(row[0], row[2]) for row in self.platform.records_of("set-up", session) if row[0] != "viewer"]

    def close(self):
        self.relay.close()
        self.platform.close()


@contextlib.asynccontextmanager
async def deployment(tmp_path, sockets=256, **facts):
    env = Deployment(**facts)
    try:
        yield await env.start(tmp_path, sockets)
    finally:
        env.close()
