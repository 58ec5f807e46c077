"""Network fault injector for the TCP links between the processes of a plan.

Each front reaches the list service, each node and each other front through a port of its own on the
destination's address (`plan["links"]["port"]` plus the front's index). Connections to that port are proxied
to the real one. Lists name the proxied ports, so the ports in a list that one front passes to another are
rewritten for the receiver. Datagrams between fronts pass `relay.Relay`, which takes the same names.

A fault (`Links.fault`) applies to one direction: "front-0>n003", "list>front-1", "front-2>front-0". "*"
stands for every process on its side. Value 0 ends a lasting fault.

- `cut`: no data passes in this direction, the end of a connection included, and no connection can be opened
  in either direction: the first segment is dropped, not refused. Data under way is delivered once the cut
  ends.
- `stall`: the same, but connections are still accepted; they are open and silent.
- `delay`: added latency in seconds. `slow`: rate limit in kB per second for each connection.
- `reset`: resets each open connection, for both sides, after so many further bytes in this direction.
- for datagrams, beside `cut` and `delay`: `loss`, `repeat` and `reorder` as shares of all datagrams.

While a node is down its links must refuse connections as it does, because a front takes a refused connection
as proof that no set-up ran. So a link's port listens only while its destination does.
"""

import asyncio
import contextlib
import re
import socket
import struct
import time
from collections import defaultdict, deque
from collections.abc import Callable

from curlewhall.records import Writer
from curlewhall.wire import forms
from curlewhall.wire.server import listen

QUEUE_LIMIT_BYTES = 256 * 1024  # per direction of a connection; beyond it the sender is paused
SLOW_CHUNK_S = 0.02  # a rate-limited link writes so many seconds' worth of bytes at a time
LASTING_FAULTS = ("cut", "stall", "delay", "slow")


class LinkFaults:
    """The faults in force for one direction of a link."""

    def __init__(self) -> None:
        self.values = dict.fromkeys(LASTING_FAULTS, 0.0)
        self.flows: set[Flow] = set()

    @property
    def blocked(self) -> bool:
        """Whether a fault keeps all data back."""
        return bool(self.values["cut"] or self.values["stall"])

    def set(self, kind: str, value: float) -> None:
        """Start or (value 0) end a fault; for `reset`, `value` is the number of bytes until the reset."""
        if kind == "reset":
            for flow in list(self.flows):
                flow.reset_after(int(value))
            return
        self.values[kind] = value
        for flow in list(self.flows):
            flow.forward_due()


class Flow:
    """One direction of one proxied connection: queues bytes until the link's faults let them pass.

    `on_received(data)` is called with what the source sends, `on_forwarded(data)` with what has been written
    to the target; None stands for the end of the stream.
    """

    def __init__(
        self,
        loop,
        faults: LinkFaults,
        on_received: Callable[[bytes | None], None],
        on_forwarded: Callable[[bytes | None], None],
    ) -> None:
        self.loop = loop
        self.faults = faults
        self.on_received = on_received
        self.on_forwarded = on_forwarded
        self.queue: deque[tuple[float, bytes | None]] = deque()  # (due time, data); None: end of stream
        self.size = 0  # bytes in the queue
        self.free_at = 0.0  # when a rate-limited link may write again
        self.bytes_until_reset = None
        self.timer = None
        self.source = self.target = None  # transports
        self.rewrite = lambda data: data  # applied to what the source sends
        faults.flows.add(self)

    def push(self, data: bytes | None) -> None:
        """Queue data from the source; pauses the source while the queue is over its limit."""
        self.on_received(data)
        data = data and self.rewrite(data)
        self.queue.append((time.monotonic() + self.faults.values["delay"], data))
        self.size += len(data or b"")
        if self.size > QUEUE_LIMIT_BYTES and self.source is not None:
            self.source.pause_reading()
        self.forward_due()

    def reset_after(self, count: int) -> None:
        """Reset the connection once `count` further bytes have been forwarded."""
        self.bytes_until_reset = count
        if count <= 0:
            self.reset()

    def reset(self) -> None:
        """Reset the connection for both sides."""
        for transport in (self.source, self.target):
            reset(transport)

    def forward_due(self) -> None:
        """Write to the target whatever is due."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        while self.queue and self.target is not None and not self.faults.blocked:
            now = time.monotonic()
            due, data = self.queue[0]
            rate = self.faults.values["slow"] * 1000
            wait = max(due, self.free_at if rate else 0.0) - now
            if wait > 0:
                self.timer = self.loop.call_later(wait, self.forward_due)
                return
            self.queue.popleft()
            if data is None:
                self.on_forwarded(None)
                self.target.close()
                return
            if rate:
                chunk_size = max(1, int(rate * SLOW_CHUNK_S))
                if len(data) > chunk_size:
                    self.queue.appendleft((due, data[chunk_size:]))
                    data = data[:chunk_size]
                self.free_at = now + len(data) / rate
            if self.bytes_until_reset is not None:
                data, self.bytes_until_reset = (
                    data[: self.bytes_until_reset],
                    self.bytes_until_reset - len(data),
                )
            self.size -= len(data)
            self.target.write(data)
            self.on_forwarded(data)
            if self.bytes_until_reset is not None and self.bytes_until_reset <= 0:
                self.reset()
                return
        if self.size <= QUEUE_LIMIT_BYTES // 2 and self.source is not None and not self.source.is_closing():
            self.source.resume_reading()

    def close(self) -> None:
        """Stop forwarding: the target's connection is lost."""
        self.faults.flows.discard(self)
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


class FlowEndpoint(asyncio.Protocol):
    """One side of a proxied connection: what it receives goes to `outgoing`; `incoming` writes to it."""

    def __init__(self, outgoing: Flow, incoming: Flow) -> None:
        self.outgoing = outgoing
        self.incoming = incoming
        self.ended = False

    def connection_made(self, transport) -> None:
        self.outgoing.source = self.incoming.target = transport
        self.incoming.forward_due()

    def data_received(self, data: bytes) -> None:
        self.outgoing.push(data)

    def eof_received(self) -> bool:
        self.end()
        return False

    def connection_lost(self, exc) -> None:
        self.end()
        self.incoming.close()

    def end(self) -> None:
        """Pass the end of the stream on, once."""
        if not self.ended:
            self.ended = True
            self.outgoing.push(None)


class LinkPort:
    """The port by which one front reaches one destination: listening, closed, or dropping new connections."""

    def __init__(self, links: "Links", front: str, destination: str, address: str, port: int) -> None:
        self.links = links
        self.front = front
        self.destination = destination
        self.address = address
        self.port = port
        self.sock: socket.socket | None = None
        self.fillers: list[socket.socket] = []  # connections that fill the accept queue while the link is cut
        self.destination_up = False

    def update(self) -> None:
        """Open, close or block the port as the destination's state and the link's faults require."""
        cut = any(
            self.links.faults[pair].values["cut"]
            for pair in ((self.front, self.destination), (self.destination, self.front))
        )
        if cut and not self.fillers:
            self.close()
            # A backlog of 0 holds one connection; once that is taken the kernel drops first segments.
            self.sock = listen(self.address, self.port, backlog=0)
            for _ in range(2):
                filler = socket.socket()
                filler.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    filler.connect((self.address, self.port))
                self.fillers.append(filler)
        elif not cut and (self.fillers or self.destination_up != (self.sock is not None)):
            self.close()
            if self.destination_up:
                self.sock = listen(self.address, self.port)
                self.links.loop.add_reader(self.sock, self.accept_connections)

    def close(self) -> None:
        """Close the port, so that new connections are refused."""
        for filler in self.fillers:
            filler.close()
        if self.sock is not None:
            if not self.fillers:
                self.links.loop.remove_reader(self.sock)
            self.sock.close()
        self.sock = None
        self.fillers = []

    def accept_connections(self) -> None:
        """Accept and proxy every waiting connection."""
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.links.proxy(self, sock)


class Links:
    """All TCP links of a plan."""

    KINDS = (*LASTING_FAULTS, "reset")

    def __init__(self, loop, plan: dict, records: Writer) -> None:
        self.loop = loop
        self.records = records
        self.base_port = plan["links"]["port"]
        self.front_index = {front["name"]: i for i, front in enumerate(plan["fronts"])}
        self.faults: dict[tuple[str, str], LinkFaults] = defaultdict(LinkFaults)  # by (source, target)
        self.link_ports: dict[str, list[LinkPort]] = {}  # by destination
        self.destinations: dict[str, tuple[str, int]] = {}  # name -> its own address and port
        self.tasks: set[asyncio.Task] = set()
        own_ports = b"|".join(b"%d" % (self.base_port + i) for i in self.front_index.values())
        # All of these ports have four digits, so that a rewrite keeps the length of the data.
        self.port_pattern = re.compile(rb'"port":(?:%s)\b' % own_ports)
        ends = {
            "list": plan["list_service"],
            **{spec["node"]: spec for spec in plan["nodes"]},
            **{front["name"]: front for front in plan["fronts"]},
        }
        for destination, spec in ends.items():
            self.destinations[destination] = spec["address"], spec["port"]
            self.link_ports[destination] = [
                LinkPort(self, front, destination, spec["address"], self.base_port + i)
                for front, i in self.front_index.items()
                if front != destination
            ]

    def open_fronts(self) -> None:
        """Open the ports to the fronts for good: a connection to a front that is down is reset."""
        for front in self.front_index:
            self.destination_changed(front, True)

    def port(self, front: str, port: int) -> int:
        """The port by which `front` reaches a destination whose own port is `port`."""
        return self.base_port + self.front_index[front] if front in self.front_index else port

    def destination_changed(self, destination: str, up: bool) -> None:
        """Follow a destination that has opened its port, or closed it."""
        for link_port in self.link_ports[destination]:
            link_port.destination_up = up
            link_port.update()

    def fault(self, source: str, target: str, kind: str, value: float) -> bool:
        """Start or (value 0) end a fault, one of `KINDS`; returns whether it applies to any link."""
        pairs = [
            (a, b)
            for destination in self.link_ports
            for front in self.front_index
            for a, b in ((front, destination), (destination, front))
            if source in ("*", a) and target in ("*", b)
        ]
        for pair in pairs:
            self.faults[pair].set(kind, value)
        if kind == "cut":
            for link_ports in self.link_ports.values():
                for link_port in link_ports:
                    link_port.update()
        return bool(pairs)

    def proxy(self, link_port: LinkPort, sock: socket.socket) -> None:
        """Proxy an accepted connection to the port's destination, and record what passes."""
        at = (
            "list"
            if link_port.destination == "list"
            else f"{'front' if link_port.destination in self.front_index else 'node'}:{link_port.destination}"
        )
        self.records.write(at, "handshake", front=link_port.front)
        recorder = (ListRecorder if link_port.destination == "list" else SetUpRecorder)(self, link_port)
        request = Flow(
            self.loop,
            self.faults[link_port.front, link_port.destination],
            recorder.request_data,
            ignore_data,
        )
        response = Flow(
            self.loop,
            self.faults[link_port.destination, link_port.front],
            ignore_data,
            recorder.response_data,
        )
        if link_port.destination in self.front_index:
            own = b'"port":%d' % self.port(link_port.front, 0)
            response.rewrite = lambda data: self.port_pattern.sub(own, data)
        task = self.loop.create_task(self.connect(link_port, sock, request, response))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def connect(self, link_port: LinkPort, sock: socket.socket, request: Flow, response: Flow) -> None:
        """Connect both sides of a proxied connection; reset the front's side if the destination is down."""
        front_side, _ = await self.loop.connect_accepted_socket(lambda: FlowEndpoint(request, response), sock)
        try:
            await self.loop.create_connection(
                lambda: FlowEndpoint(response, request), *self.destinations[link_port.destination]
            )
        except OSError:
            reset(front_side)  # the destination went down after the connection was accepted


def ignore_data(data: bytes | None) -> None:
    """Callback of a flow whose data is not recorded."""


class ListRecorder:
    """Records a list once it has passed the link: only then has its front received it."""

    def __init__(self, links: Links, link_port: LinkPort) -> None:
        self.links = links
        self.link_port = link_port
        self.lines = forms.LineSplitter()

    def request_data(self, data: bytes | None) -> None:
        pass

    def response_data(self, data: bytes | None) -> None:
        for line in self.lines.feed(data or b""):
            if line.startswith(b"{"):  # other lines are HTTP headers and chunk sizes
                listing = forms.decode(forms.Listing, line.rstrip(b"\r"))
                if listing.how != "tick":
                    self.links.records.write(
                        "list",
                        "told",
                        front=self.link_port.front,
                        how=listing.how,
                        version=listing.version,
                        rows=[[row.node, row.state, row.started_ms] for row in listing.rows],
                    )


class SetUpRecorder:
    """Records on the front's side of a link when a front sends a set-up and when it gives it up.

    A cut hides from the node that the front has closed the connection, and may deliver the set-up to it much
    later; from the node's records alone the drill's checks would count two allocations at one time.
    """

    def __init__(self, links: Links, link_port: LinkPort) -> None:
        self.links = links
        self.link_port = link_port
        self.pending: tuple[str, int] | None = None  # play and number of the set-up without an answer

    def request_data(self, data: bytes | None) -> None:
        if data is None:
            self.request_ended()
            return
        head, found, body = data.partition(b"\r\n\r\n")
        if found and head.startswith(b"POST /v1/plays "):
            with contextlib.suppress(forms.DecodeError):
                set_up = forms.decode(forms.SetUp, body)
                facts = set_up.facts
                self.pending = facts.play, facts.number
                # A cut keeps it back: it may reach its node long after its front has sent it.
                self.links.records.write(
                    f"node:{self.link_port.destination}",
                    "handed",
                    play=facts.play,
                    number=facts.number,
                    front=set_up.front,
                )

    def response_data(self, data: bytes | None) -> None:
        if data is not None:  # the end is not an answer: a node that dies records its sessions' end itself
            self.pending = None

    def request_ended(self) -> None:
        if self.pending is not None:
            play, number = self.pending
            self.links.records.write(
                f"node:{self.link_port.destination}",
                "let_go",
                play=play,
                number=number,
                front=self.link_port.front,
            )
