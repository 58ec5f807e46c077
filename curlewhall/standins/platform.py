"""The platform's three sides, small and on loopback: playout nodes, viewers, the command channel.

What passes on the sockets is kept in `Platform.seen` as (side, what, session, value); the count at the end
of this file reads nothing else. Faults are asked for by name. Only the codecs are shared with the relay.
"""

import asyncio
import contextlib
import itertools
import json
import socket
import struct
import time

from curlewhall.codecs import messages, rtsp

from .links import End, Trouble, Way, nobody, reset

RST = struct.pack("ii", 1, 0)
# what a node does with a set-up
REFUSE = {"full": 453, "error": 500, "moot": 454, "reset": 504}
SPOILT = {
    "noise": b"\x00\xff\x13\x07" * 8,
    "endless": b"RTSP/1.0 200 " + b"A" * 4096,
    "huge": b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: %s\r\nContent-Length: 3000000000\r\n\r\n",
    "minus": b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: %s\r\nContent-Length: -4\r\n\r\n",
    "nameless": b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nContent-Length: 0\r\n\r\n",
}


def abort(writer) -> None:
    """End a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RST)
    writer.transport.abort()


def release(session: str, cause: int) -> bytes:
    return rtsp.request("TEARDOWN", "x", session, 2, Reason=f"cause={cause}")


class Node:
    """A playout node. `does` says what becomes of set-ups: serve, short, silent, break, twice, ahead, names
    of REFUSE and SPOILT, or a list of such names that is used up, its last for good.
    """

    def __init__(self, platform: "Platform", name: str, does="serve") -> None:
        self.platform, self.name, self.does = platform, name, does
        self.server, self.port, self.lines = None, 0, {}
        self.standing: dict[str, object] = {}
        self.untold: dict[str, int] = {}  # ends that nobody has heard: told again on the next connection
        self.out: dict[str, object] = {}
        self.came: dict[str, object] = {}  # session -> the connection of its latest set-up
        self.report, self.hears = "cpu:0.25;x1:0.5", True  # hears: it says of a TEARDOWN that it heard it

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    def say(self, what: str, session: str, value="") -> None:
        self.platform.saw(self.name, what, session, value)

    def turn(self) -> str:
        if isinstance(self.does, str):
            return self.does
        return self.does.pop(0) if len(self.does) > 1 else self.does[0]

    async def serve(self, reader, writer) -> None:
        codec = rtsp.Reader()
        self.lines[writer] = None
        self.say("connected", "")
        for session, cause in self.untold.items():
            writer.write(release(session, cause))
        try:
            while piece := await reader.read(65536):
                for message in codec.feed(piece):
                    self.take(writer, message)
                assert not codec.error, codec.error
        except ConnectionError:
            pass
        finally:
            self.lines.pop(writer, None)
            for session in [s for s, line in self.out.items() if line is writer]:
                del self.out[session]
                self.say("given up", session)
            writer.close()

    def take(self, writer, message) -> None:
        session = message.session
        if message.method == "SETUP":
            self.say("set-up", session, (message.fields["subject"], int(message.fields.get("x-rung", 0))))
            self.out[session] = self.came[session] = writer
            self.do(self.turn(), writer, session, message.body)
        elif message.method == "TEARDOWN":
            cut = "reason" in message.fields
            self.say("cut" if cut else "given up", session, message.cause())
            self.out.pop(session, None)
            self.standing.pop(session, None)
            if self.hears:
                writer.write(rtsp.response(200, "OK", message))
        elif not message.method:
            self.untold.pop(session, None)
        elif message.method == "OPTIONS":
            self.say("asked for load", session)
            writer.write(self.answer(200, session, b"", 3, f"X-State: {self.report}\r\n"))
        elif message.method == "SET_PARAMETER":
            self.say("rung", session, int(message.fields["x-rung"]))

    def answer(
        self, status: int, session: str, body: bytes = b"", sequence: int = 1, more: str = ""
    ) -> bytes:
        return (
            f"RTSP/1.0 {status} So\r\nCSeq: {sequence}\r\nSession: {session}\r\n{more}"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    def do(self, what: str, writer, session: str, body: bytes) -> None:
        made = b"node %s made this for %s" % (self.name.encode(), session.encode())
        if what in ("serve", "twice", "ahead"):
            if what == "ahead":
                writer.write(self.answer(200, "f" * 16, b"for nobody"))
            writer.write(self.answer(200, session, made) * (2 if what == "twice" else 1))
            self.out.pop(session, None)
            self.standing[session] = writer
            self.say("answered", session, made)
        elif what == "short":  # so short that its end comes with its answer
            writer.write(rtsp.request("TEARDOWN", "x", session, 2, made, Reason="cause=16"))
            self.out.pop(session, None)
            self.say("answered", session, made)
            self.say("ended", session, 16)
        elif what in REFUSE:
            writer.write(self.answer(REFUSE[what], session))
            self.out.pop(session, None)
            self.say("refused", session, what)
        elif what in SPOILT:
            text = SPOILT[what]
            writer.write(text % session.encode() if b"%s" in text else text)
            self.say("spoilt", session, what)
        elif what == "break":
            self.out.pop(session, None)
            self.say("given up", session)
            abort(writer)

    def cross(self, session: str) -> None:
        """Answer a set-up late, on its own connection, as if it had crossed its TEARDOWN."""
        writer = self.came[session]
        writer.write(self.answer(200, session, b"too late"))
        self.standing[session] = writer
        self.say("answered", session, b"too late")

    def end(self, session: str, cause: int) -> None:
        """A session comes to its end here."""
        line, self.untold[session] = self.standing.pop(session), cause
        self.say("ended", session, cause)
        usable = self.usable_lines()
        for writer in [line] if line in usable else usable[:1]:
            writer.write(release(session, cause))

    def usable_lines(self) -> list:
        """Connections that can be written to; one whose transport has closed stays in `lines` until `serve`
        has read its end, and uvloop raises RuntimeError on a write to it."""
        return [writer for writer in self.lines if not writer.is_closing()]

    def note(self, session: str, kind: str, value: float) -> None:
        told = rtsp.request("ANNOUNCE", "x", session, 4, X_Note=kind, X_Value=str(value))
        self.standing[session].write(told)

    def reset(self) -> None:
        """Every connection is reset; what stands goes on."""
        for writer in list(self.lines):
            abort(writer)

    async def die(self) -> None:
        self.server.close()
        for session in list(self.standing):
            self.say("ended", session, 41)
        self.standing.clear()
        self.reset()

    def close(self) -> None:
        self.server.close()
        for writer in list(self.lines):
            writer.close()


class Channel:
    """The command channel. `held`: it takes calls and says nothing."""

    def __init__(self) -> None:
        self.events: list[tuple[int, str]] = []
        self.lines, self.calls, self.held, self.server = [], [], False, None
        self.when = lambda: None  # called as each call comes

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        fields = dict(line.lower().split(": ", 1) for line in head.decode().split("\r\n")[1:] if line)
        last = int(fields["last-event-id"])
        self.calls.append(last)
        self.when()
        if not self.held:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n")
            for number, data in self.events:
                if number > last:
                    writer.write(self.event(number, data))
        self.lines.append(writer)

    @staticmethod
    def event(number: int, data: str) -> bytes:
        return f"id: {number}\ndata: {data}\n\n".encode()

    def tell(
        self,
        number: int,
        members: list[dict],
        complete: bool = False,
        torn: int = 0,
        twice: bool = False,
        raw: str = "",
    ) -> None:
        """An event to all who listen; `torn`: only so many bytes of it, and then the end; `raw`: this as its
        data.
        """
        data = raw or json.dumps({"cursor": number, "nodes": {"complete": complete, "members": members}})
        self.events.append((number, data))
        raw = self.event(number, data) * (2 if twice else 1)
        for writer in self.lines:
            if not writer.is_closing():  # a front that has hung up, or died
                writer.write(raw[:torn] if torn else raw)
        if torn:
            self.hang_up()

    def hang_up(self) -> None:
        lines, self.lines = self.lines, []
        for writer in lines:
            writer.close()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        self.hang_up()


class Link:
    """One front's way to a node or to the channel: carried byte by byte, with the faults of `links.Trouble`
    for each direction, `there` and `back`. What it leads to may change (`behind`, a port; 0: nobody).
    """

    def __init__(self, behind: int) -> None:
        self.behind, self.there, self.back, self.server, self.port = behind, Trouble(), Trouble(), None, 0

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self.carry, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def carry(self) -> End:
        loop = asyncio.get_running_loop()
        there, back = Way(loop, self.there, nobody, nobody), Way(loop, self.back, nobody, nobody)
        loop.create_task(self.join(there, back))
        return End(there, back)

    async def join(self, there: Way, back: Way) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: End(back, there), "127.0.0.1", self.behind)
        except OSError:
            reset(there.source)  # nobody is there: the front sees a reset, which proves nothing

    def close(self) -> None:
        if self.server is not None:
            self.server.close()


ENDINGS = (messages.ANSWER, messages.RELEASE, messages.MOVE)


class Viewer:
    """A connection from viewers; `said` holds what came for each session, in order."""

    def __init__(self, platform: "Platform", reader, writer) -> None:
        self.platform, self.reader, self.writer, self.codec = platform, reader, writer, messages.Reader()
        self.said: dict[str, list[messages.Message]] = {}
        self.change, self.closed, self.closed_at = asyncio.Condition(), False, 0.0
        self.task = asyncio.get_running_loop().create_task(self.listen())

    async def listen(self) -> None:
        try:
            while piece := await self.reader.read(65536):
                async with self.change:
                    for message in self.codec.feed(piece):
                        self.said.setdefault(message.session, []).append(message)
                        self.platform.saw("viewer", message.kind, message.session, message.fields)
                        if message.kind == messages.MOVE:
                            self.platform.moved(message.session)
                    self.change.notify_all()
        except ConnectionError:
            pass
        async with self.change:
            self.closed, self.closed_at = True, time.monotonic()
            self.change.notify_all()

    def writable(self) -> bool:
        """Whether the connection still takes bytes: its transport closes before `listen` has set `closed`."""
        return not self.closed and not self.writer.is_closing()

    def send(self, raw: bytes) -> None:
        self.writer.write(raw)

    def ask(
        self,
        session: str = "",
        product: str = "cheap",
        patience: str = "3000",
        title: str = "00000000000000aa",
        **figures,
    ) -> str:
        session = session or self.platform.name()
        figures = {"home": 0, "copies": 4, "top": 3, "viewer": session} | figures
        text = ";".join(f"{key}:{value}" for key, value in figures.items())
        self.platform.saw("viewer", "set-up", session, figures.get("at", ""))
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
        self.platform.saw("viewer", "release", session, cause)
        self.send(messages.encode(messages.RELEASE, session, cause=bytes((cause,))))

    async def hear(self, session: str, count: int = 1, kinds=ENDINGS):
        """The `count`-th message of these kinds for a session."""
        async with self.change:
            await self.change.wait_for(lambda: self.closed or len(self.of(session, kinds)) >= count)
        return self.of(session, kinds)[count - 1]

    def of(self, session: str, kinds) -> list[messages.Message]:
        return [m for m in self.said.get(session, ()) if m.kind in kinds]

    async def gone(self) -> bool:
        """Wait until the other side has closed."""
        async with self.change:
            await self.change.wait_for(lambda: self.closed)
        return True

    def close(self) -> None:
        self.writer.close()


class Platform:
    """Nodes by name, a channel, viewers, and what was seen to pass."""

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self.channel, self.seen, self.viewers = Channel(), [], []
        self.names, self.ends_moved = itertools.count(1), True

    def name(self) -> str:
        return f"{next(self.names):016x}"

    def saw(self, side: str, what, session: str, value="") -> None:
        self.seen.append((side, what, session, value))

    def of(self, what, session: str | None = None) -> list[tuple]:
        return [row for row in self.seen if row[1] == what and session in (None, row[2])]

    async def add(self, name: str, does="serve", port: int = 0) -> Node:
        node = self.nodes[name] = Node(self, name, does)
        await node.start(port)
        return node

    def member(self, name: str, state: str = "ready", since: int = 0, **more) -> dict:
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

    def moved(self, session: str) -> None:
        """A viewer was told to come again: its session ends at its node, unless that was told before."""
        for node in self.nodes.values():
            if self.ends_moved and session in node.standing:
                node.end(session, 31)

    async def viewer(self, port: int) -> Viewer:
        viewer = Viewer(self, *await asyncio.open_connection("127.0.0.1", port))
        self.viewers.append(viewer)
        return viewer

    def close(self) -> None:
        for part in (*self.nodes.values(), self.channel, *self.viewers):
            part.close()

    # ---- judged from what passed alone

    def standing(self) -> dict[str, str]:
        """Sessions that stand, with their nodes: answered or adopted, neither ended, cut nor given up."""
        found: dict[str, str] = {}
        for side, what, session, value in self.seen:
            if what == "answered":
                found[session] = side
            elif side == "viewer" and what == "set-up" and value:
                found[session] = value
            elif what in ("ended", "cut", "given up") and found.get(session) == side:
                del found[session]
        return found

    def broken(self) -> list[str]:
        """Rules 1 and 2 as far as one front's traffic shows them: answers, set-ups out at one time."""
        why, out, answers = [], {}, {}
        for side, what, session, _ in self.seen:
            if what == "set-up" and side != "viewer":
                if session in out:
                    why.append(f"{session} is out at {out[session]} and {side}")
                out[session] = side
            elif what in ("answered", "refused", "given up", "cut") and out.get(session) == side:
                del out[session]
            elif what == messages.ANSWER or (what == messages.RELEASE and session not in answers):
                answers[session] = answers.get(session, 0) + 1
                if answers[session] > 1:
                    why.append(f"{session} has a second answer")
        return why
