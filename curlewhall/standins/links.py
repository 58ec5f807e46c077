"""Links between the processes of a plan, each told to fail alone and in one direction alone.

A front reaches the list service, each node and each other front by a port of its own, on the other side's
address (`plan["links"]["port"]` plus its index); what comes there is carried on as TCP, byte by byte. A list
names these ports, so one that passes from front to front is put into the taker's. Datagrams between fronts
pass `relay.Relay`, which keeps to the same names.

Faults (`fault`) are told for a direction, "front-0>n003", "list>front-1", "front-2>front-0"; "*" stands for
every process of its side. Value 0 ends what lasts.

- `cut`: nothing passes this way any more, the end of a connection included, and no new connection is had in
  either direction: a first segment is dropped, not refused. What was under way passes once it ends.
- `stall`: the same, but new connections are taken: open and silent.
- `delay`: seconds that all takes longer. `slow`: kB a second, for each connection.
- `reset`: each open connection breaks, for both sides, after so many further bytes this way.
- of datagrams, beside `cut` and `delay`: `loss`, `repeat` and `reorder` are shares of all.

Danger: where a node is down its links must refuse as it does: a front takes a refusal for the proof that
nothing ran. So a link's door opens and shuts with what is behind it.
"""

import asyncio
import contextlib
import re
import socket
import struct
import time
from collections import defaultdict, deque

from curlewhall.records import Writer
from curlewhall.wire import forms
from curlewhall.wire.server import listen

ROOM = 256 * 1024  # bytes that wait in one direction of a connection before its sender is made to wait
PIECE = 0.02  # seconds' worth that a slow link passes at a time
LASTING = ("cut", "stall", "delay", "slow")


class Trouble:
    """What holds one direction of a link."""

    def __init__(self) -> None:
        self.values = dict.fromkeys(LASTING, 0.0)
        self.ways: set[Way] = set()

    @property
    def held(self) -> bool:
        return bool(self.values["cut"] or self.values["stall"])

    def set(self, kind: str, value: float) -> None:
        if kind == "reset":
            for way in list(self.ways):
                way.resets_after(int(value))
            return
        self.values[kind] = value
        for way in list(self.ways):
            way.pump()


class Way:
    """One direction of one connection: bytes wait here until the link lets them on.

    `came(data)` hears what is said, `passed(data)` what has been let on; None stands for the end.
    """

    def __init__(self, loop, trouble: Trouble, came, passed) -> None:
        self.loop, self.trouble, self.came, self.passed = loop, trouble, came, passed
        self.queue: deque[tuple[float, bytes | None]] = deque()  # when due; None: the end
        self.size, self.free_at, self.left, self.timer = 0, 0.0, None, None
        self.source = self.target = None  # transports
        self.shape = lambda data: data  # what the link makes of what is said
        trouble.ways.add(self)

    def push(self, data: bytes | None) -> None:
        self.came(data)
        data = data and self.shape(data)
        self.queue.append((time.monotonic() + self.trouble.values["delay"], data))
        self.size += len(data or b"")
        if self.size > ROOM and self.source is not None:
            self.source.pause_reading()
        self.pump()

    def resets_after(self, count: int) -> None:
        self.left = count
        if count <= 0:
            self.reset()

    def reset(self) -> None:
        for end in (self.source, self.target):
            reset(end)

    def pump(self) -> None:
        """Let on what is due."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        while self.queue and self.target is not None and not self.trouble.held:
            now = time.monotonic()
            due, data = self.queue[0]
            rate = self.trouble.values["slow"] * 1000
            wait = max(due, self.free_at if rate else 0.0) - now
            if wait > 0:
                self.timer = self.loop.call_later(wait, self.pump)
                return
            self.queue.popleft()
            if data is None:
                self.passed(None)
                self.target.close()
                return
            if rate:
                most = max(1, int(rate * PIECE))
                if len(data) > most:
                    self.queue.appendleft((due, data[most:]))
                    data = data[:most]
                self.free_at = now + len(data) / rate
            if self.left is not None:
                data, self.left = data[: self.left], self.left - len(data)
            self.size -= len(data)
            self.target.write(data)
            self.passed(data)
            if self.left is not None and self.left <= 0:
                self.reset()
                return
        if self.size <= ROOM // 2 and self.source is not None and not self.source.is_closing():
            self.source.resume_reading()

    def over(self) -> None:
        self.trouble.ways.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        self.target = None


def reset(transport) -> None:
    """Close so that the other side sees a reset (RFC 9293 section 3.10.5)."""
    if transport is not None and not transport.is_closing():
        sock = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        transport.abort()


class End(asyncio.Protocol):
    """One side of a carried connection: what it says goes `out`, what it is told comes by `back`."""

    def __init__(self, out: Way, back: Way) -> None:
        self.out, self.back, self.ended = out, back, False

    def connection_made(self, transport) -> None:
        self.out.source = self.back.target = transport
        self.back.pump()

    def data_received(self, data: bytes) -> None:
        self.out.push(data)

    def eof_received(self) -> bool:
        self.end()
        return False

    def connection_lost(self, exc) -> None:
        self.end()
        self.back.over()

    def end(self) -> None:
        if not self.ended:
            self.ended = True
            self.out.push(None)


class Door:
    """Where one front reaches one other side: a port that is open, shut, or swallows all who come."""

    def __init__(self, links: "Links", front: str, there: str, address: str, port: int) -> None:
        self.links, self.front, self.there, self.address, self.port = links, front, there, address, port
        self.sock: socket.socket | None = None
        self.fillers: list[socket.socket] = []
        self.wanted = False  # whether what is behind it is up

    def settle(self) -> None:
        cut = any(
            self.links.troubles[pair].values["cut"]
            for pair in ((self.front, self.there), (self.there, self.front))
        )
        if cut and not self.fillers:
            self.shut()
            # A queue of none holds one connection; with that one taken the kernel drops first segments.
            self.sock = listen(self.address, self.port, backlog=0)
            for _ in range(2):
                filler = socket.socket()
                filler.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    filler.connect((self.address, self.port))
                self.fillers.append(filler)
        elif not cut and (self.fillers or self.wanted != (self.sock is not None)):
            self.shut()
            if self.wanted:
                self.sock = listen(self.address, self.port)
                self.links.loop.add_reader(self.sock, self.arrivals)

    def shut(self) -> None:
        for filler in self.fillers:
            filler.close()
        if self.sock is not None:
            if not self.fillers:
                self.links.loop.remove_reader(self.sock)
            self.sock.close()
        self.sock, self.fillers = None, []

    def arrivals(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.links.carry(self, sock)


class Links:
    """All links of a plan but those of datagrams."""

    KINDS = (*LASTING, "reset")

    def __init__(self, loop, plan: dict, records: Writer) -> None:
        self.loop, self.records, self.base = loop, records, plan["links"]["port"]
        self.index = {front["name"]: i for i, front in enumerate(plan["fronts"])}
        self.troubles: dict[tuple[str, str], Trouble] = defaultdict(Trouble)
        self.doors: dict[str, list[Door]] = {}
        self.behind: dict[str, tuple[str, int]] = {}
        self.tasks: set[asyncio.Task] = set()
        others = b"|".join(b"%d" % (self.base + i) for i in self.index.values())
        self.ports = re.compile(rb'"port":(?:%s)\b' % others)  # of one length, as four digits are
        ends = {
            "list": plan["list_service"],
            **{spec["node"]: spec for spec in plan["nodes"]},
            **{front["name"]: front for front in plan["fronts"]},
        }
        for there, where in ends.items():
            self.behind[there] = where["address"], where["port"]
            self.doors[there] = [
                Door(self, front, there, where["address"], self.base + i)
                for front, i in self.index.items()
                if front != there
            ]

    def open_fronts(self) -> None:
        """Between fronts the doors are open always: who comes for one that is down is reset."""
        for front in self.index:
            self.up(front, True)

    def port(self, front: str, port: int) -> int:
        """Where `front` reaches what others reach at `port`."""
        return self.base + self.index[front] if front in self.index else port

    def up(self, there: str, up: bool) -> None:
        """What is behind these links has opened its port, or closed it."""
        for door in self.doors[there]:
            door.wanted = up
            door.settle()

    def fault(self, one: str, other: str, kind: str, value: float) -> bool:
        """Take or end a fault, one of `KINDS`; whether any link goes that way."""
        pairs = [
            (a, b)
            for there in self.doors
            for front in self.index
            for a, b in ((front, there), (there, front))
            if one in ("*", a) and other in ("*", b)
        ]
        for pair in pairs:
            self.troubles[pair].set(kind, value)
        if kind == "cut":
            for doors in self.doors.values():
                for door in doors:
                    door.settle()
        return bool(pairs)

    def carry(self, door: Door, sock: socket.socket) -> None:
        at = (
            "list"
            if door.there == "list"
            else f"{'front' if door.there in self.index else 'node'}:{door.there}"
        )
        self.records.write(at, "handshake", front=door.front)
        seen = (Told if door.there == "list" else SetUps)(self, door)
        there = Way(self.loop, self.troubles[door.front, door.there], seen.asked, nobody)
        back = Way(self.loop, self.troubles[door.there, door.front], nobody, seen.answered)
        if door.there in self.index:
            own = b'"port":%d' % self.port(door.front, 0)
            back.shape = lambda data: self.ports.sub(own, data)
        task = self.loop.create_task(self.join(door, sock, there, back))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def join(self, door: Door, sock: socket.socket, there: Way, back: Way) -> None:
        near, _ = await self.loop.connect_accepted_socket(lambda: End(there, back), sock)
        try:
            await self.loop.create_connection(lambda: End(back, there), *self.behind[door.there])
        except OSError:
            reset(near)  # it went down in this very moment


def nobody(data: bytes | None) -> None:
    """Nobody listens here."""


class Told:
    """What of the list has reached its front: only then has the front been told."""

    def __init__(self, links: Links, door: Door) -> None:
        self.links, self.door, self.lines = links, door, forms.LineSplitter()

    def asked(self, data: bytes | None) -> None:
        pass

    def answered(self, data: bytes | None) -> None:
        for line in self.lines.feed(data or b""):
            if line.startswith(b"{"):  # the rest are heads and chunks' sizes
                listing = forms.decode(forms.Listing, line.rstrip(b"\r"))
                if listing.how != "tick":
                    self.links.records.write(
                        "list",
                        "told",
                        front=self.door.front,
                        how=listing.how,
                        version=listing.version,
                        rows=[[row.node, row.state, row.started_ms] for row in listing.rows],
                    )


class SetUps:
    """Which set-up is out on a connection, so that a front's letting go of it is seen at the front's side.

    Danger: a cut hides from the node that the front has hung up, and may bring it the set-up long after; the
    judge would see two allocations out.
    """

    def __init__(self, links: Links, door: Door) -> None:
        self.links, self.door, self.out = links, door, None

    def asked(self, data: bytes | None) -> None:
        if data is None:
            self.left()
            return
        head, found, body = data.partition(b"\r\n\r\n")
        if found and head.startswith(b"POST /v1/plays "):
            with contextlib.suppress(forms.DecodeError):
                asked = forms.decode(forms.SetUp, body)
                facts = asked.facts
                self.out = facts.play, facts.number
                # A cut holds it back: it may reach its node long after its front has sent it.
                self.links.records.write(
                    f"node:{self.door.there}",
                    "handed",
                    play=facts.play,
                    number=facts.number,
                    front=asked.front,
                )

    def answered(self, data: bytes | None) -> None:
        if data is not None:  # a node that dies ends the allocation, and says so itself
            self.out = None

    def left(self) -> None:
        if self.out is not None:
            play, number = self.out
            self.links.records.write(
                f"node:{self.door.there}", "let_go", play=play, number=number, front=self.door.front
            )
