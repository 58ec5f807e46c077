"""A server on one listening socket. Requests of a connection are answered in the order in which they came.

`handler(exchange)` is called for each request and returns at once; the answer is given then or later, by
`exchange.reply` or by `start`, `write` and `finish`. A client that hangs up with an answer still owed makes
`exchange.gone` be called, once.
"""

import asyncio
import contextlib
import ctypes
import resource
import socket
import struct
from collections import deque
from collections.abc import Callable
from itertools import chain

from .http import HttpMessageError, Limits, Message, RequestParser, chunk_bytes, response_head_bytes
from .timers import Timers
from .transport import closed_by_peer, has_input

LOOK = 0.05  # seconds between two looks at a client that is not read from: gone, it is forgotten within 0.1 s
READ = 2048  # bytes of a connection's own buffer: a viewer's request takes a few hundred


def listen(address: str, port: int, backlog: int = 4096, share: bool = False) -> socket.socket:
    """A listening socket that does not block; `OSError` where the address is taken.

    `share`: several sockets of this user may listen there, and the kernel spreads who comes (SO_REUSEPORT).
    """
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if share:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((address, port))
        sock.listen(backlog)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


class Exchange:
    """A request and the answer owed to it."""

    __slots__ = ("line", "request", "pieces", "begun", "ended", "chunked", "gone", "keep_alive")

    def __init__(self, line: "Connection", request: Message) -> None:
        self.line, self.request, self.pieces = line, request, deque()
        self.begun = self.ended = self.chunked = False
        self.gone: Callable[[], None] | None = None
        self.keep_alive = request.keep_alive

    def reply(self, status: int, fields: dict[str, str] | None = None, body: bytes = b"") -> None:
        """The whole answer. A second one is an error of the caller's: `RuntimeError`."""
        if self.begun:
            raise RuntimeError("a request is answered once")
        self.begun = self.ended = True
        head = response_head_bytes(status, fields or {}, len(body), self.keep_alive)
        self.pieces.append(head if self.request.method == "HEAD" else head + body)
        self.line.ready()

    def start(self, status: int, fields: dict[str, str], length: int | None = None) -> None:
        """The head of an answer whose body follows; without a length it goes out in chunks."""
        if self.begun:
            raise RuntimeError("a request is answered once")
        self.begun, self.chunked = True, length is None
        self.pieces.append(response_head_bytes(status, fields, length, self.keep_alive))
        self.line.ready()

    def write(self, data: bytes) -> None:
        """A piece of the body. A reader too slow for what waits already loses its connection."""
        if data and not self.ended:
            self.pieces.append(chunk_bytes(data) if self.chunked else data)
            self.line.ready()

    def finish(self) -> None:
        if not self.ended:
            self.ended = True
            if self.chunked:
                self.pieces.append(chunk_bytes(b""))
            self.line.ready()

    @property
    def open(self) -> bool:
        return not self.line.closed

    def hung_up(self) -> bool:
        """Whether the client has ended the connection, though that was not read yet."""
        return self.line.closed or closed_by_peer(self.line.sock)


class Connection:
    """One client: a task that reads, and one that writes while there is something to write."""

    def __init__(
        self, server: "Server", sock: socket.socket, peer, first: bytes = b"", routed: bool = False
    ) -> None:
        self.server, self.sock, self.peer, self.first = server, sock, peer, first
        self.raw, self.routed = b"", routed  # of the request under way; whether it was sent here on purpose
        self.exchanges: deque[Exchange] = deque()
        self.closed = self.writing = self.last = self.half = False  # half: a request is half here
        self.room = asyncio.Event()
        self.limit = self.write_limit = None
        self.reader, self.writer = server.loop.create_task(self.read()), None
        self.rest()

    def rest(self) -> None:
        """Put it last among those that may be closed to make room, or take it from them where something is
        owed on it.
        """
        server, free = self.server, not (self.closed or self.exchanges or self.first)
        server.idle.pop(self, None)
        if free and self.half:
            server.begun.setdefault(self)  # it keeps its place: a byte now and then makes nobody younger
        else:
            server.begun.pop(self, None)
            if free:
                server.idle[self] = None

    def unread(self) -> bool:
        """Whether the client has said something, or hung up, and it was not read yet."""
        return has_input(self.sock)

    def watch(self, span: float, why: str) -> None:
        if self.limit is not None:
            self.limit.cancel()
        self.limit = self.server.timers.after(span, self.expire, why)

    def expire(self, why: str) -> None:
        self.limit = None
        if why == "idle" and self.exchanges:  # an answer is owed: nothing is idle
            self.watch(self.server.limits.idle, "idle")
        elif why == "read":
            self.refuse(HttpMessageError(408, "the request did not end in time"))
        else:
            self.close()

    async def read(self) -> None:
        loop, limits = self.server.loop, self.server.limits
        parser, buffer = RequestParser(limits), bytearray(READ)
        view = memoryview(buffer)
        self.watch(limits.idle, "idle")
        busy = False
        try:
            while not self.closed:
                data, self.first = self.first, b""
                if not data:
                    got = await loop.sock_recv_into(self.sock, buffer)
                    if not got:
                        break
                    data = bytes(view[:got])
                if self.last:
                    continue  # nothing more is taken; only the hang-up is waited for
                if self.server.heir is not None and parser.current is None and not self.exchanges:
                    self.release(self.server.heir, data)
                    return
                route = self.server.route
                if route is not None:
                    self.raw = data if parser.current is None else self.raw + data
                try:
                    parser.feed(data)
                    if (
                        route is not None
                        and parser.messages
                        and parser.current is None
                        and not self.exchanges
                    ):
                        other = None if self.routed else route(parser.messages)
                        self.routed = False
                        if other is not None:
                            parser.messages.clear()
                            self.release(other, self.raw)
                            return
                finally:
                    while parser.messages:
                        self.take(parser.messages.popleft())
                    self.half = parser.current is not None
                    self.rest()
                if (parser.current is not None) != busy or busy is False:
                    busy = parser.current is not None
                    self.watch(*((limits.read, "read") if busy else (limits.idle, "idle")))
                # Danger: a client that sends and never reads. No more requests are taken than are answered;
                # but who hangs up meanwhile is seen to, and waited for no more.
                while len(self.exchanges) >= limits.pipeline and not self.closed:
                    self.room.clear()
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(LOOK):
                            await self.room.wait()
                    if closed_by_peer(self.sock):
                        self.close()
        except HttpMessageError as err:
            self.refuse(err)
            return
        except (OSError, asyncio.CancelledError):
            pass
        self.close()

    def take(self, request: Message) -> None:
        if self.last:
            return
        self.last = not request.keep_alive
        exchange = Exchange(self, request)
        self.exchanges.append(exchange)
        self.server.handle(exchange)

    def refuse(self, err: HttpMessageError) -> None:
        """Answer what can't be taken, after all that is still owed, and close."""
        if not self.closed and not self.last:
            self.last = True
            message = Message()
            message.keep_alive = False
            exchange = Exchange(self, message)
            self.exchanges.append(exchange)
            exchange.reply(err.status, {"content-type": "text/plain; charset=utf-8"}, f"{err.why}\n".encode())

    def ready(self) -> None:
        if self.closed:
            return
        if sum(len(piece) for ex in self.exchanges for piece in ex.pieces) > self.server.limits.queued:
            self.server.slow += 1
            self.close()
        elif not self.writing and self.exchanges and self.exchanges[0].pieces:
            self.writing = True
            self.writer = self.server.loop.create_task(self.write())

    async def write(self) -> None:
        loop, limits = self.server.loop, self.server.limits
        limit = self.server.timers.after(limits.write, self.close)
        try:
            while self.exchanges and not self.closed:
                head = self.exchanges[0]
                if head.pieces:
                    data = b"".join(head.pieces) if len(head.pieces) > 1 else head.pieces[0]
                    head.pieces.clear()
                    await loop.sock_sendall(self.sock, data)
                    limit.cancel()
                    limit = self.server.timers.after(limits.write, self.close)
                elif head.ended:
                    self.exchanges.popleft()
                    self.room.set()
                    self.rest()
                    if not head.keep_alive:
                        self.close()
                else:
                    break
        except (OSError, asyncio.CancelledError):
            self.close()
        finally:
            limit.cancel()
            self.writing = False
        self.ready()

    def release(self, to: Callable[[socket.socket, bytes], None], data: bytes) -> None:
        """Give the connection, and what was read of its next request, to another server."""
        self.closed = True
        self.server.connections.discard(self)
        self.rest()
        if self.limit is not None:
            self.limit.cancel()
        to(self.sock, data)

    def abort(self) -> None:
        """Close so that the other side sees a reset (RFC 9293 section 3.10.5)."""
        if not self.closed:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.close()

    def close(self) -> None:
        """Close once; whoever is still owed an answer is told that its client is gone."""
        if self.closed:
            return
        self.closed = True
        self.server.connections.discard(self)
        self.rest()
        if self.limit is not None:
            self.limit.cancel()
        owed = [ex for ex in self.exchanges if not ex.ended]
        self.exchanges.clear()
        self.room.set()
        current = asyncio.current_task(self.server.loop)
        for task in (self.reader, self.writer):
            if task is not None and task is not current:
                task.cancel()
        # The tasks give the descriptor up in the next turn; closed under them, its number could be reused.
        self.server.closing += 1
        self.server.loop.call_soon(self.server.give_back, self.sock)
        for exchange in owed:
            if exchange.gone is not None:
                exchange.gone()


SO_ATTACH_FILTER = 26  # socket(7), linux/filter.h
# Load the byte of the flags (RFC 9293 section 3.1); drop what has SYN in it, take all else.
_FILTER = ctypes.create_string_buffer(
    b"".join(
        struct.pack("HBBI", *line)
        for line in ((0x30, 0, 0, 13), (0x45, 0, 1, 0x02), (0x06, 0, 0, 0), (0x06, 0, 0, 0xFFFFFFFF))
    )
)
NO_SYN = struct.pack("HP", 4, ctypes.addressof(_FILTER))


RESERVE = 24  # descriptors for the loop, the listeners, files and what is closing
CLOSING = 8  # of it, at most: descriptors of connections that are closed, given back in the next turn
VIEWERS = 0.6  # of the rest; the others are for nodes, the list service and peers


def bearable(most: int) -> int:
    """How many viewers' connections a process may hold: `most`, or fewer where descriptors are scarce.

    Danger: clients that say nothing would take them all, and neither the list nor a node could be reached.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return most if soft == resource.RLIM_INFINITY else max(1, min(most, int((soft - RESERVE) * VIEWERS)))


class Server:
    """Accepts until `stop`. Beyond the limit whoever has been idle longest makes room, then whoever has had a
    request half here longest; where nobody is, who comes is closed unanswered.

    `heir(sock, data)`, once it is set, gets each connection with the first bytes of its next request; what
    was begun before is still answered here. `route(messages)` may name another server, in the same form, for
    requests at the head of a connection on which nothing is owed.
    """

    AT_ONCE = 64  # connections accepted in one turn of the loop, so that a rush leaves time for the rest

    def __init__(
        self,
        loop,
        timers: Timers,
        sock: socket.socket,
        handler: Callable[[Exchange], None],
        limits: Limits = Limits(),  # noqa: B008 - a tuple, never changed
    ) -> None:
        self.loop, self.timers, self.sock, self.handler, self.limits = loop, timers, sock, handler, limits
        self.connections: set[Connection] = set()
        self.idle: dict[Connection, None] = {}  # those on which nothing is owed or half here, longest first
        self.begun: dict[Connection, None] = {}  # those on which nothing is owed, and a request half here
        self.closing = 0
        self.most = bearable(limits.connections)
        self.turned_away = self.slow = 0
        self.accepted: Callable[[Connection], bool] | None = None
        self.heir: Callable[[socket.socket, bytes], None] | None = None
        self.route: Callable[[deque], Callable[[socket.socket, bytes], None] | None] | None = None
        self.accepting = False
        self.accept()

    def accept(self) -> None:
        # Danger: a task cancelled in `sock_accept` may hold a connection that no one will ever answer; a
        # reader that is removed holds none.
        if not self.accepting and self.sock.fileno() >= 0:
            self.accepting = True
            self.loop.add_reader(self.sock, self.arrivals)

    def pause(self) -> None:
        """Accept nothing; who comes waits in the socket's queue."""
        if self.accepting:
            self.accepting = False
            self.loop.remove_reader(self.sock)

    def arrivals(self, last: bool = False) -> bool:
        """Take some of those who wait; whether there may be more. `last`: those who are not taken now never
        are.
        """
        for _ in range(self.AT_ONCE):
            # Danger: a crowd that takes each other's room within one turn would hold a descriptor each all
            # the same, and there would be none for the list and the nodes.
            if self.closing >= CLOSING and not last:
                return True
            try:
                sock, peer = self.sock.accept()
            except BlockingIOError:
                return False
            except ConnectionError:
                continue  # it has gone again
            except OSError:
                self.make_room()
                self.pause()  # out of descriptors: let some connections end first
                self.timers.after(0.05, self.accept)
                return False
            sock.setblocking(False)
            if len(self.connections) >= self.most and not self.make_room():
                self.turned_away += 1
                sock.close()
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.adopt(sock, peer)
        return True

    def make_room(self) -> bool:
        """Close the connection that has been idle longest, but for those whose client has said something.

        Danger: a crowd that says the half of a request each would keep out all others.
        """
        found = next((line for line in chain(self.idle, self.begun) if not line.unread()), None)
        if found is not None:
            found.close()
        return found is not None

    def give_back(self, sock: socket.socket) -> None:
        self.closing -= 1
        sock.close()

    def adopt(self, sock: socket.socket, peer, first: bytes = b"", routed: bool = False) -> None:
        """Serve a connection, of which `first` was read already; `routed`: whoever it would go to else."""
        line = Connection(self, sock, peer, first, routed)
        self.connections.add(line)
        if self.accepted is not None and not self.accepted(line):
            line.close()

    def adopt_number(self, number: int, first: bytes, routed: bool = False) -> None:
        """The same of a descriptor that another process has sent."""
        sock = socket.socket(fileno=number)
        sock.setblocking(False)
        peer = ("", 0)
        with contextlib.suppress(OSError):  # it may have gone on the way
            peer = sock.getpeername()
        self.adopt(sock, peer, first, routed)

    def handle(self, exchange: Exchange) -> None:
        try:
            self.handler(exchange)
        except Exception as err:
            self.loop.call_exception_handler({"message": "a handler failed", "exception": err})
            if not exchange.begun:
                exchange.reply(500)

    def shut(self) -> None:
        """Let nobody new come, at any process that holds this socket; who is on the way is still accepted.

        Danger: who waits in a socket that closes is reset, unanswered. A first segment that is dropped is
        sent again a second later, and finds the port closed.
        """
        if self.sock.fileno() >= 0:
            with contextlib.suppress(OSError):  # another system: the moment before the end stays open
                self.sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, NO_SYN)

    def stop_when_empty(self) -> None:
        """Accept all who wait, then no more."""
        rounds = 64 if self.sock.fileno() >= 0 else 0  # of 64: a queue is shorter, a flood has no end
        while rounds and self.arrivals(last=True):
            rounds -= 1
        self.stop()

    def stop(self) -> None:
        """Accept no more; what is open stays open."""
        self.pause()
        self.sock.close()

    def close(self) -> None:
        self.stop()
        for line in list(self.connections):
            line.close()
