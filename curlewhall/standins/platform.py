"""Stand-ins on loopback for what a relay connects to: playout nodes, viewers and the command channel.

The traffic on their sockets is recorded in `Platform.traffic` as (side, what, session, value). The checks
`Platform.running_sessions` and `Platform.violations` read that record alone. Faults are selected by name.
Only the codecs are shared with the relay.
"""

import asyncio
import contextlib
import itertools
import json
import socket
import struct
import time

from curlewhall.codecs import messages, rtsp

from .links import Flow, FlowEndpoint, LinkFaults, ignore_data, reset

READ_BYTES = 65536
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER value with which a close sends a reset
# Behaviours of a node that refuse a set-up, with their RTSP status.
REFUSAL_STATUSES = {"full": 453, "error": 500, "moot": 454, "reset": 504}
# Behaviours of a node that answer a set-up with invalid RTSP; "%s" is replaced by the session.
INVALID_ANSWERS = {
    "noise": b"\x00\xff\x13\x07" * 8,
    "endless": b"RTSP/1.0 200 " + b"A" * 4096,
    "huge": b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: %s\r\nContent-Length: 3000000000\r\n\r\n",
    "minus": b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: %s\r\nContent-Length: -4\r\n\r\n",
    "nameless": b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nContent-Length: 0\r\n\r\n",
}
# Behaviours of a node whose answers have a wrong Content-Length: by how much it differs from the right one.
LENGTH_ERRORS = {"length-short-line": -35, "length-short": -3, "length-long": 20}
LAST_LINE = b"a=rtpmap:101 telephone-event/8000\r\n"  # of their descriptions


def abort(writer) -> None:
    """End a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


def release(session: str, cause: int) -> bytes:
    """A node's TEARDOWN request for a session."""
    return rtsp.request("TEARDOWN", "x", session, 2, Reason=f"cause={cause}")


class Node:
    """A playout node.

    `behaviour` names what it does with a set-up:

    - serve: it answers and plays.
    - short: the session ends with its answer.
    - silent: it does not answer.
    - break: it resets the connection.
    - lost: the session stands, and its answer is lost as the connection is reset.
    - twice: it sends its answer twice.
    - ahead: it sends an answer for an unknown session first.
    - a name of `LENGTH_ERRORS`: its answer has a Content-Length that does not fit; the session runs.
    - a name of `REFUSAL_STATUSES` or `INVALID_ANSWERS`.

    A list of such names applies one name to each set-up, the last one to all further set-ups.
    """

    def __init__(self, platform: "Platform", name: str, behaviour: str | list[str] = "serve") -> None:
        self.platform = platform
        self.name = name
        self.behaviour = behaviour
        self.server = None
        self.port = 0
        self.connections = {}  # writers of the open connections, in the order of opening
        self.sessions: dict[str, object] = {}  # running session -> its connection
        self.unacknowledged_ends: dict[str, int] = {}  # session -> cause; repeated on the next connection
        self.pending: dict[str, object] = {}  # session whose set-up has no answer -> its connection
        self.setup_connections: dict[str, object] = {}  # session -> the connection of its latest set-up
        self.unreported: dict[str, int] = {}  # session of before the front's start -> its rung
        self.report = "cpu:0.25;x1:0.5"
        self.acknowledges = True  # whether it answers a TEARDOWN

    async def start(self, port: int = 0) -> None:
        """Listen on loopback; port 0 takes any free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    def record(self, what: str, session: str, value="") -> None:
        """Add an entry to the platform's traffic record."""
        self.platform.record(self.name, what, session, value)

    def next_behaviour(self) -> str:
        """The behaviour for the next set-up."""
        if isinstance(self.behaviour, str):
            return self.behaviour
        return self.behaviour.pop(0) if len(self.behaviour) > 1 else self.behaviour[0]

    async def serve(self, reader, writer) -> None:
        """Handle a connection until it closes; its set-ups without an answer then count as given up."""
        codec = rtsp.Reader()
        self.connections[writer] = None
        self.record("connected", "")
        for session, cause in self.unacknowledged_ends.items():
            writer.write(release(session, cause))
        for session, rung in self.unreported.items():
            self.sessions[session] = writer
            self.send_note(session, "level", rung)
        self.unreported.clear()
        try:
            while data := await reader.read(READ_BYTES):
                for message in codec.feed(data):
                    self.handle(writer, message)
                assert not codec.error, codec.error
        except ConnectionError:
            pass
        finally:
            self.connections.pop(writer, None)
            for session in [s for s, connection in self.pending.items() if connection is writer]:
                del self.pending[session]
                self.record("given up", session)
            writer.close()

    def handle(self, writer, message) -> None:
        """Handle one message from the relay."""
        session = message.session
        if message.method == "SETUP":
            self.record("set-up", session, (message.fields["subject"], int(message.fields.get("x-rung", 0))))
            self.pending[session] = self.setup_connections[session] = writer
            self.apply_behaviour(self.next_behaviour(), writer, session, message.body)
        elif message.method == "TEARDOWN":
            cut = "reason" in message.fields
            self.record("cut" if cut else "given up", session, message.cause())
            self.pending.pop(session, None)
            self.sessions.pop(session, None)
            if self.acknowledges:
                writer.write(rtsp.response(200, "OK", message))
        elif not message.method:
            self.unacknowledged_ends.pop(session, None)
        elif message.method == "OPTIONS":
            self.record("asked for load", session)
            writer.write(self.answer(200, session, b"", 3, f"X-State: {self.report}\r\n"))
        elif message.method == "SET_PARAMETER":
            self.record("rung", session, int(message.fields["x-rung"]))

    def answer(
        self, status: int, session: str, body: bytes = b"", sequence: int = 1, more: str = ""
    ) -> bytes:
        """An RTSP response; `more` holds further header lines."""
        return (
            f"RTSP/1.0 {status} So\r\nCSeq: {sequence}\r\nSession: {session}\r\n{more}"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    def apply_behaviour(self, behaviour: str, writer, session: str, body: bytes) -> None:
        """Answer a set-up as `behaviour` says, and record it."""
        description = b"node %s made this for %s" % (self.name.encode(), session.encode())
        if behaviour in ("serve", "twice", "ahead"):
            if behaviour == "ahead":
                writer.write(self.answer(200, "f" * 16, b"for nobody"))
            writer.write(self.answer(200, session, description) * (2 if behaviour == "twice" else 1))
            self.pending.pop(session, None)
            self.sessions[session] = writer
            self.record("answered", session, description)
        elif behaviour == "short":  # the session is so short that a TEARDOWN is its answer, too
            writer.write(rtsp.request("TEARDOWN", "x", session, 2, description, Reason="cause=16"))
            self.pending.pop(session, None)
            self.record("answered", session, description)
            self.record("ended", session, 16)
        elif behaviour in LENGTH_ERRORS:
            description += b"\r\n" + LAST_LINE
            fits = b"Content-Length: %d\r" % len(description)
            wrong = b"Content-Length: %d\r" % (len(description) + LENGTH_ERRORS[behaviour])
            writer.write(self.answer(200, session, description).replace(fits, wrong))
            self.pending.pop(session, None)
            self.sessions[session] = writer
            self.record("answered", session, description)
        elif behaviour in REFUSAL_STATUSES:
            writer.write(self.answer(REFUSAL_STATUSES[behaviour], session))
            self.pending.pop(session, None)
            self.record("refused", session, behaviour)
        elif behaviour in INVALID_ANSWERS:
            text = INVALID_ANSWERS[behaviour]
            writer.write(text % session.encode() if b"%s" in text else text)
            self.record("spoilt", session, behaviour)
        elif behaviour == "lost":
            self.pending.pop(session, None)
            self.sessions[session] = writer
            self.record("answered", session, description)
            abort(writer)
        elif behaviour == "break":
            self.pending.pop(session, None)
            self.record("given up", session)
            abort(writer)

    def hold(self, session: str, rung: int = 0) -> None:
        """Run a session that was set up before the front's start: its rung is reported on a connection of the
        front, now or once there is one.
        """
        writer = next(iter(self.writable_connections()), None)
        self.sessions[session] = writer
        if writer is None:
            self.unreported[session] = rung
        else:
            self.send_note(session, "level", rung)

    def answer_late(self, session: str) -> None:
        """Answer a set-up late, on its own connection, as if the answer had crossed the set-up's TEARDOWN."""
        writer = self.setup_connections[session]
        writer.write(self.answer(200, session, b"too late"))
        self.sessions[session] = writer
        self.record("answered", session, b"too late")

    def end(self, session: str, cause: int) -> None:
        """End a running session and report it, on the connection of its set-up if that is still open."""
        connection, self.unacknowledged_ends[session] = self.sessions.pop(session), cause
        self.record("ended", session, cause)
        writable = self.writable_connections()
        for writer in [connection] if connection in writable else writable[:1]:
            writer.write(release(session, cause))

    def writable_connections(self) -> list:
        """Connections that can be written to.

        One whose transport has closed stays in `connections` until `serve` has read its end, and uvloop
        raises RuntimeError on a write to it.
        """
        return [writer for writer in self.connections if not writer.is_closing()]

    def send_note(self, session: str, kind: str, value: float) -> None:
        """Send a note about a running session."""
        note = rtsp.request("ANNOUNCE", "x", session, 4, X_Note=kind, X_Value=str(value))
        self.sessions[session].write(note)

    def reset(self) -> None:
        """Reset every connection; running sessions go on."""
        for writer in list(self.connections):
            abort(writer)

    async def die(self) -> None:
        """Stop as a killed process does: all sessions end unreported, all connections are reset."""
        self.server.close()
        for session in list(self.sessions):
            self.record("ended", session, 41)
        self.sessions.clear()
        self.reset()

    def close(self) -> None:
        """Stop listening and close every connection."""
        self.server.close()
        for writer in list(self.connections):
            writer.close()


class Channel:
    """The command channel, a stream of server-sent events. While `silent`, it accepts requests unanswered;
    while `slow`, it answers them in `answer_held` alone.
    """

    def __init__(self) -> None:
        self.events: list[tuple[int, str]] = []  # (number, data)
        self.connections = []
        self.requests = []  # the Last-Event-ID of each request
        self.silent = self.slow = False
        self.held = []  # requests not answered yet, as (writer, Last-Event-ID)
        self.server = None
        self.on_request = lambda: None

    async def start(self, port: int = 0) -> None:
        """Listen on loopback; port 0 takes any free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer) -> None:
        """Answer a request with every event after its Last-Event-ID, and keep the stream open."""
        head = await reader.readuntil(b"\r\n\r\n")
        fields = dict(line.lower().split(": ", 1) for line in head.decode().split("\r\n")[1:] if line)
        last = int(fields["last-event-id"])
        self.requests.append(last)
        self.on_request()
        if self.slow:
            self.held.append((writer, last))
        elif not self.silent:
            self.answer(writer, last)
        self.connections.append(writer)

    def answer(self, writer, last: int) -> None:
        """Begin a stream with every event after `last`."""
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n")
        for number, data in self.events:
            if number > last:
                writer.write(self.event(number, data))

    def answer_held(self) -> bool:
        """Answer the oldest request that waits; whether its client still had it open."""
        writer, last = self.held.pop(0)
        if writer.is_closing():
            return False
        self.answer(writer, last)
        return True

    @staticmethod
    def event(number: int, data: str) -> bytes:
        """An event as it is sent."""
        return f"id: {number}\ndata: {data}\n\n".encode()

    def send_event(
        self,
        number: int,
        members: list[dict],
        complete: bool = False,
        truncate_at: int = 0,
        twice: bool = False,
        raw: str = "",
    ) -> None:
        """Send an event on every open stream.

        `truncate_at`: send only so many bytes of it and close the streams. `raw`: its data, in place of
        `members`.
        """
        data = raw or json.dumps({"cursor": number, "nodes": {"complete": complete, "members": members}})
        self.events.append((number, data))
        raw = self.event(number, data) * (2 if twice else 1)
        for writer in self.connections:
            if not writer.is_closing():  # it is closing if the front has closed it, or died
                writer.write(raw[:truncate_at] if truncate_at else raw)
        if truncate_at:
            self.close_connections()

    def close_connections(self) -> None:
        """Close every open stream; new requests are accepted."""
        connections, self.connections = self.connections, []
        for writer in connections:
            writer.close()

    def close(self) -> None:
        """Stop listening and close every stream."""
        if self.server is not None:
            self.server.close()
        self.close_connections()


class Link:
    """A TCP proxy on a front's way to a node or to the channel, with faults for each direction.

    `destination_port` may change; 0: nothing listens there.
    """

    def __init__(self, destination_port: int) -> None:
        self.destination_port = destination_port
        self.request_faults = LinkFaults()
        self.response_faults = LinkFaults()
        self.server = None
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port of loopback."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self.proxy, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def proxy(self) -> FlowEndpoint:
        """The protocol of an accepted connection, which is proxied to the destination."""
        loop = asyncio.get_running_loop()
        request = Flow(loop, self.request_faults, ignore_data, ignore_data)
        response = Flow(loop, self.response_faults, ignore_data, ignore_data)
        loop.create_task(self.connect(request, response))
        return FlowEndpoint(request, response)

    async def connect(self, request: Flow, response: Flow) -> None:
        """Connect to the destination; reset the front's side if that fails."""
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(
                lambda: FlowEndpoint(response, request), "127.0.0.1", self.destination_port
            )
        except OSError:
            reset(request.source)  # unlike a refused connection, a reset doesn't prove that the node is down

    def close(self) -> None:
        """Stop listening; open connections stay."""
        if self.server is not None:
            self.server.close()


FINAL_KINDS = (messages.ANSWER, messages.RELEASE, messages.MOVE)


class Viewer:
    """A connection to the relay that carries the sessions of many viewers.

    `received` holds the messages for each session, in order.
    """

    def __init__(self, platform: "Platform", reader, writer) -> None:
        self.platform = platform
        self.reader = reader
        self.writer = writer
        self.codec = messages.Reader()
        self.received: dict[str, list[messages.Message]] = {}
        self.change = asyncio.Condition()  # notified of each message and of the close
        self.closed = False
        self.closed_at = 0.0  # monotonic time in seconds
        self.task = asyncio.get_running_loop().create_task(self.listen())

    async def listen(self) -> None:
        """Read messages until the connection closes."""
        try:
            while data := await self.reader.read(READ_BYTES):
                async with self.change:
                    for message in self.codec.feed(data):
                        self.received.setdefault(message.session, []).append(message)
                        self.platform.record("viewer", message.kind, message.session, message.fields)
                        if message.kind == messages.MOVE:
                            self.platform.end_moved(message.session)
                    self.change.notify_all()
        except ConnectionError:
            pass
        async with self.change:
            self.closed, self.closed_at = True, time.monotonic()
            self.change.notify_all()

    def writable(self) -> bool:
        """Whether the connection can be written to: its transport closes before `listen` sets `closed`."""
        return not self.closed and not self.writer.is_closing()

    def send(self, raw: bytes) -> None:
        """Send bytes as they are."""
        self.writer.write(raw)

    def request_play(
        self,
        session: str = "",
        product: str = "cheap",
        patience: str = "3000",
        title: str = "00000000000000aa",
        **attributes,
    ) -> str:
        """Send a set-up and return its session, by default a new one; `patience` is its time limit in ms."""
        session = session or self.platform.new_session()
        attributes = {"home": 0, "copies": 4, "top": 3, "viewer": session} | attributes
        text = ";".join(f"{key}:{value}" for key, value in attributes.items())
        self.platform.record("viewer", "set-up", session, attributes.get("at", ""))
        self.send(
            messages.encode(
                messages.SET_UP,
                session,
                product=product.encode(),
                title=title.encode(),
                patience=patience.encode(),
                attributes=text.encode(),
                description=b"what " + session.encode() + b" wants",
            )
        )
        return session

    def release(self, session: str, cause: int = 16) -> None:
        """Send the viewer's end of a session."""
        self.platform.record("viewer", "release", session, cause)
        self.send(messages.encode(messages.RELEASE, session, cause=bytes((cause,))))

    async def wait_for_message(self, session: str, count: int = 1, kinds=FINAL_KINDS):
        """Wait for the `count`-th message of these kinds for a session; IndexError on a close."""
        async with self.change:
            await self.change.wait_for(lambda: self.closed or len(self.messages_of(session, kinds)) >= count)
        return self.messages_of(session, kinds)[count - 1]

    def messages_of(self, session: str, kinds) -> list[messages.Message]:
        """The messages of these kinds for a session so far."""
        return [m for m in self.received.get(session, ()) if m.kind in kinds]

    async def wait_closed(self) -> bool:
        """Wait until the relay has closed the connection."""
        async with self.change:
            await self.change.wait_for(lambda: self.closed)
        return True

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class Platform:
    """Nodes by name, a channel, viewers, and the record of their traffic.

    `ends_moved`: whether a node ends a session once its viewer is told to move.
    """

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self.channel = Channel()
        self.traffic: list[tuple] = []  # (side, what, session, value)
        self.viewers = []
        self.session_numbers = itertools.count(1)
        self.ends_moved = True

    def new_session(self) -> str:
        """A session id that has not been used yet."""
        return f"{next(self.session_numbers):016x}"

    def record(self, side: str, what, session: str, value="") -> None:
        """Add an entry to the traffic record."""
        self.traffic.append((side, what, session, value))

    def records_of(self, what, session: str | None = None) -> list[tuple]:
        """Entries of a kind in the traffic record, of one session or of all."""
        return [row for row in self.traffic if row[1] == what and session in (None, row[2])]

    async def add(self, name: str, behaviour="serve", port: int = 0) -> Node:
        """Add a node and start it."""
        node = self.nodes[name] = Node(self, name, behaviour)
        await node.start(port)
        return node

    def member(self, name: str, state: str = "ready", since: int = 0, **more) -> dict:
        """A node's entry in an event of the channel; `since` is its start in ms."""
        return {
            "id": name,
            "host_port": f"127.0.0.1:{self.nodes[name].port}",
            "locality": "z",
            "flavor": "box",
            "cell": list(self.nodes).index(name) % 4,
            "phase": state,
            "size": 1,
            "up_since_ms": since,
        } | more

    def end_moved(self, session: str) -> None:
        """End a session whose viewer was told to move at its node, unless it has ended there already."""
        for node in self.nodes.values():
            if self.ends_moved and session in node.sessions:
                node.end(session, 31)

    async def viewer(self, port: int) -> Viewer:
        """Open a viewers' connection to the relay on `port`."""
        viewer = Viewer(self, *await asyncio.open_connection("127.0.0.1", port))
        self.viewers.append(viewer)
        return viewer

    def close(self) -> None:
        """Close all connections and stop listening."""
        for part in (*self.nodes.values(), self.channel, *self.viewers):
            part.close()

    # ---- checks on the traffic record

    def running_sessions(self) -> dict[str, str]:
        """Running sessions with their nodes: answered or adopted, and neither ended, cut nor given up."""
        running: dict[str, str] = {}
        for side, what, session, value in self.traffic:
            if what == "answered":
                running[session] = side
            elif side == "viewer" and what == "set-up" and value:
                running[session] = value
            elif what in ("ended", "cut", "given up") and running.get(session) == side:
                del running[session]
        return running

    def violations(self) -> list[str]:
        """Violations of rules 1 and 2 as far as one front's traffic shows them.

        A session must have one answer, and its set-up must not be out at two nodes at one time.
        """
        violations, pending, answers = [], {}, {}
        for side, what, session, _ in self.traffic:
            if what == "set-up" and side != "viewer":
                if session in pending:
                    violations.append(f"{session} is out at {pending[session]} and {side}")
                pending[session] = side
            elif what in ("answered", "refused", "given up", "cut") and pending.get(session) == side:
                del pending[session]
            elif what == messages.ANSWER or (what == messages.RELEASE and session not in answers):
                answers[session] = answers.get(session, 0) + 1
                if answers[session] > 1:
                    violations.append(f"{session} has a second answer")
        return violations
