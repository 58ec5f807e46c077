"""HTTP server on one listening socket. Requests of a connection are answered in the order of their arrival.

`handler(exchange)` is called for each request and returns at once. The response is given then or later, with
`exchange.reply`, or with `start`, `write` and `finish`. If the client disconnects before the response is
complete, `exchange.on_disconnect` is called, once.
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

DISCONNECT_POLL_S = 0.05  # a client that is not read from and disconnects is noticed within 0.1 s
READ_BUFFER_BYTES = 2048  # per connection: a viewer's request has a few hundred bytes
ACCEPT_RETRY_S = 0.05  # after running out of descriptors
MAX_BACKLOG_ROUNDS = 64  # of MAX_ACCEPTS_PER_TURN: more than a full backlog, and an end to a flood


def listen(address: str, port: int, backlog: int = 4096, share: bool = False) -> socket.socket:
    """A non-blocking listening socket; `OSError` if the address is in use.

    `share`: several sockets of this user may listen there; the kernel distributes connections (SO_REUSEPORT).
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
    """A request and its response."""

    __slots__ = (
        "connection",
        "request",
        "pieces",
        "started",
        "finished",
        "chunked",
        "on_disconnect",
        "keep_alive",
    )

    def __init__(self, connection: "Connection", request: Message) -> None:
        self.connection = connection
        self.request = request
        self.pieces: deque[bytes] = deque()  # of the response, not written yet
        self.started = self.finished = self.chunked = False
        self.on_disconnect: Callable[[], None] | None = None
        self.keep_alive = request.keep_alive

    def reply(self, status: int, fields: dict[str, str] | None = None, body: bytes = b"") -> None:
        """Send a complete response; `RuntimeError` if one was started already."""
        if self.started:
            raise RuntimeError("the request has a response already")
        self.started = self.finished = True
        head = response_head_bytes(status, fields or {}, len(body), self.keep_alive)
        self.pieces.append(head if self.request.method == "HEAD" else head + body)
        self.connection.flush()

    def start(self, status: int, fields: dict[str, str], length: int | None = None) -> None:
        """Send the head of a response whose body follows; without `length` the body is sent in chunks."""
        if self.started:
            raise RuntimeError("the request has a response already")
        self.started = True
        self.chunked = length is None
        self.pieces.append(response_head_bytes(status, fields, length, self.keep_alive))
        self.connection.flush()

    def write(self, data: bytes) -> None:
        """Send a piece of the body. If too much is queued already, the connection is closed."""
        if data and not self.finished:
            self.pieces.append(chunk_bytes(data) if self.chunked else data)
            self.connection.flush()

    def finish(self) -> None:
        """End the response."""
        if not self.finished:
            self.finished = True
            if self.chunked:
                self.pieces.append(chunk_bytes(b""))
            self.connection.flush()

    @property
    def open(self) -> bool:
        """Whether the connection is open, as far as it was read."""
        return not self.connection.closed

    def client_disconnected(self) -> bool:
        """Whether the client has ended the connection, even if the end was not read yet."""
        return self.connection.closed or closed_by_peer(self.connection.sock)


class Connection:
    """A client's connection: a task that reads, and one that writes while there is something to write.

    `initial_data` was read before the connection came here; `routed`: `Server.route` is skipped for its first
    request.
    """

    def __init__(
        self, server: "Server", sock: socket.socket, peer, initial_data: bytes = b"", routed: bool = False
    ) -> None:
        self.server = server
        self.sock = sock
        self.peer = peer
        self.initial_data = initial_data
        self.raw = b""  # what was read of the current requests
        self.routed = routed
        self.exchanges: deque[Exchange] = deque()  # whose responses aren't written yet
        self.closed = self.writing = False
        self.last_request_read = False  # later bytes are discarded
        self.has_partial_request = False
        self.pipeline_space = asyncio.Event()
        self.timeout = self.write_timeout = None
        self.reader = server.loop.create_task(self.read())
        self.writer = None
        self.update_idle()

    def update_idle(self) -> None:
        """Put the connection last among those that may be closed in favour of others, or remove it from them
        if a response is owed on it.
        """
        server, free = self.server, not (self.closed or self.exchanges or self.initial_data)
        server.idle.pop(self, None)
        if free and self.has_partial_request:
            server.partial.setdefault(self)  # keeps its place: single bytes now and then don't renew it
        else:
            server.partial.pop(self, None)
            if free:
                server.idle[self] = None

    def has_unread_data(self) -> bool:
        """Whether the client has sent something, or disconnected, and it was not read yet."""
        return has_input(self.sock)

    def set_timeout(self, timeout_s: float, why: str) -> None:
        """Start the timeout `why` ("read" or "idle"), in place of the current one."""
        if self.timeout is not None:
            self.timeout.cancel()
        self.timeout = self.server.timers.after(timeout_s, self.timed_out, why)

    def timed_out(self, why: str) -> None:
        """Handle a timeout: close the connection, with status 408 if a request is incomplete."""
        self.timeout = None
        if why == "idle" and self.exchanges:  # a response is owed, so the connection is not idle
            self.set_timeout(self.server.limits.idle, "idle")
        elif why == "read":
            self.reject(HttpMessageError(408, "the request was not complete in time"))
        else:
            self.close()

    async def read(self) -> None:
        """Read and handle requests until the connection ends."""
        loop, limits = self.server.loop, self.server.limits
        parser, buffer = RequestParser(limits), bytearray(READ_BUFFER_BYTES)
        view = memoryview(buffer)
        self.set_timeout(limits.idle, "idle")
        busy = False
        try:
            while not self.closed:
                data, self.initial_data = self.initial_data, b""
                if not data:
                    count = await loop.sock_recv_into(self.sock, buffer)
                    if not count:
                        break
                    data = bytes(view[:count])
                if self.last_request_read:
                    continue  # discard input; only the end of the connection matters
                if self.server.successor is not None and parser.current is None and not self.exchanges:
                    self.hand_over(self.server.successor, data)
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
                            self.hand_over(other, self.raw)
                            return
                finally:
                    while parser.messages:
                        self.handle_request(parser.messages.popleft())
                    self.has_partial_request = parser.current is not None
                    self.update_idle()
                if (parser.current is not None) != busy or busy is False:
                    busy = parser.current is not None
                    self.set_timeout(*((limits.read, "read") if busy else (limits.idle, "idle")))
                # A client may send requests and never read the responses, so no request is read beyond the
                # pipeline limit. Meanwhile the client's end is polled for, as nothing reads it.
                while len(self.exchanges) >= limits.pipeline and not self.closed:
                    self.pipeline_space.clear()
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(DISCONNECT_POLL_S):
                            await self.pipeline_space.wait()
                    if closed_by_peer(self.sock):
                        self.close()
        except HttpMessageError as err:
            self.reject(err)
            return
        except (OSError, asyncio.CancelledError):
            pass
        self.close()

    def handle_request(self, request: Message) -> None:
        """Pass a request to the handler, unless an earlier one was the last."""
        if self.last_request_read:
            return
        self.last_request_read = not request.keep_alive
        exchange = Exchange(self, request)
        self.exchanges.append(exchange)
        self.server.handle(exchange)

    def reject(self, err: HttpMessageError) -> None:
        """Answer an invalid message, after the responses that are still owed, and close the connection."""
        if not self.closed and not self.last_request_read:
            self.last_request_read = True
            message = Message()
            message.keep_alive = False
            exchange = Exchange(self, message)
            self.exchanges.append(exchange)
            exchange.reply(err.status, {"content-type": "text/plain; charset=utf-8"}, f"{err.why}\n".encode())

    def flush(self) -> None:
        """Start writing if the first response has data; close the connection if too much is queued."""
        if self.closed:
            return
        if sum(len(piece) for ex in self.exchanges for piece in ex.pieces) > self.server.limits.queued:
            self.server.slow_client_count += 1
            self.close()
        elif not self.writing and self.exchanges and self.exchanges[0].pieces:
            self.writing = True
            self.writer = self.server.loop.create_task(self.write())

    async def write(self) -> None:
        """Write responses in order until there is nothing to write."""
        loop, limits = self.server.loop, self.server.limits
        timeout = self.server.timers.after(limits.write, self.close)
        try:
            while self.exchanges and not self.closed:
                first = self.exchanges[0]
                if first.pieces:
                    data = b"".join(first.pieces) if len(first.pieces) > 1 else first.pieces[0]
                    first.pieces.clear()
                    await loop.sock_sendall(self.sock, data)
                    timeout.cancel()
                    timeout = self.server.timers.after(limits.write, self.close)
                elif first.finished:
                    self.exchanges.popleft()
                    self.pipeline_space.set()
                    self.update_idle()
                    if not first.keep_alive:
                        self.close()
                else:
                    break
        except (OSError, asyncio.CancelledError):
            self.close()
        finally:
            timeout.cancel()
            self.writing = False
        self.flush()

    def hand_over(self, receiver: Callable[[socket.socket, bytes], None], data: bytes) -> None:
        """Give the connection, and `data` read of its next request, to another server."""
        self.closed = True
        self.server.connections.discard(self)
        self.update_idle()
        if self.timeout is not None:
            self.timeout.cancel()
        receiver(self.sock, data)

    def abort(self) -> None:
        """Close with a reset (RFC 9293 section 3.10.5)."""
        if not self.closed:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.close()

    def close(self) -> None:
        """Close, and call `on_disconnect` of each exchange whose response is not complete."""
        if self.closed:
            return
        self.closed = True
        self.server.connections.discard(self)
        self.update_idle()
        if self.timeout is not None:
            self.timeout.cancel()
        unfinished = [ex for ex in self.exchanges if not ex.finished]
        self.exchanges.clear()
        self.pipeline_space.set()
        current = asyncio.current_task(self.server.loop)
        for task in (self.reader, self.writer):
            if task is not None and task is not current:
                task.cancel()
        # The tasks let go of the descriptor in the loop's next iteration. If it were closed before, its
        # number could be reused under them.
        self.server.closing_count += 1
        self.server.loop.call_soon(self.server.close_socket, self.sock)
        for exchange in unfinished:
            if exchange.on_disconnect is not None:
                exchange.on_disconnect()


SO_ATTACH_FILTER = 26  # socket(7), linux/filter.h
# A packet filter: load the byte of the flags (RFC 9293 section 3.1), drop segments with SYN, accept others.
_FILTER = ctypes.create_string_buffer(
    b"".join(
        struct.pack("HBBI", *instruction)
        for instruction in (
            (0x30, 0, 0, 13),
            (0x45, 0, 1, 0x02),
            (0x06, 0, 0, 0),
            (0x06, 0, 0, 0xFFFFFFFF),
        )
    )
)
DROP_SYN_PROGRAM = struct.pack("HP", 4, ctypes.addressof(_FILTER))


RESERVED_DESCRIPTORS = 24  # for the event loop, listeners, files and closing connections
MAX_CLOSING_DESCRIPTORS = 8  # of those, for connections that are closed in the loop's next iteration
VIEWER_SHARE = 0.6  # of the rest; the others are for nodes, the list service and peers


def viewer_connection_limit(most: int) -> int:
    """How many viewers' connections a process may hold: `most`, or fewer if descriptors are scarce.

    Without this limit idle clients could use up the descriptors, and neither the list service nor a node
    could be reached.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return (
        most
        if soft == resource.RLIM_INFINITY
        else max(1, min(most, int((soft - RESERVED_DESCRIPTORS) * VIEWER_SHARE)))
    )


class Server:
    """Accepts connections until `stop`. At the connection limit, a new connection replaces the one that has
    been idle longest, or else the one whose request has been incomplete longest; if there is neither, the new
    one is closed unanswered.

    `successor(sock, data)`, once it is set, gets each connection with the first bytes of its next request;
    requests read before are still answered here. `route(messages)` may return such a function for requests at
    the start of a connection on which no response is owed. `accepted(connection)` may return False to have a
    new connection closed.
    """

    MAX_ACCEPTS_PER_TURN = 64  # of the event loop, so that a rush leaves time for other work

    def __init__(
        self,
        loop,
        timers: Timers,
        sock: socket.socket,
        handler: Callable[[Exchange], None],
        limits: Limits = Limits(),  # noqa: B008 - a tuple, never changed
    ) -> None:
        self.loop = loop
        self.timers = timers
        self.sock = sock
        self.handler = handler
        self.limits = limits
        self.connections: set[Connection] = set()
        self.idle: dict[Connection, None] = {}  # no response owed, no partial request; longest idle first
        self.partial: dict[Connection, None] = {}  # no response owed, but a partial request; oldest first
        self.closing_count = 0  # sockets that are closed in the loop's next iteration
        self.max_connections = viewer_connection_limit(limits.connections)
        self.rejected_count = self.slow_client_count = 0
        self.accepted: Callable[[Connection], bool] | None = None
        self.successor: Callable[[socket.socket, bytes], None] | None = None
        self.route: Callable[[deque], Callable[[socket.socket, bytes], None] | None] | None = None
        self.accepting = False
        self.start_accepting()

    def start_accepting(self) -> None:
        """Accept connections, first or after `pause_accepting`."""
        # A reader callback is used because a task that is cancelled in `sock_accept` may have accepted a
        # connection, which would never be answered.
        if not self.accepting and self.sock.fileno() >= 0:
            self.accepting = True
            self.loop.add_reader(self.sock, self.accept_waiting)

    def pause_accepting(self) -> None:
        """Accept no connections; new ones wait in the socket's backlog."""
        if self.accepting:
            self.accepting = False
            self.loop.remove_reader(self.sock)

    def accept_waiting(self, last: bool = False) -> bool:
        """Accept some of the waiting connections; whether there may be more. `last`: those that are not
        accepted now never are.
        """
        for _ in range(self.MAX_ACCEPTS_PER_TURN):
            # Connections that replace each other within one iteration would still hold a descriptor each,
            # and none would be left for the list service and the nodes.
            if self.closing_count >= MAX_CLOSING_DESCRIPTORS and not last:
                return True
            try:
                sock, peer = self.sock.accept()
            except BlockingIOError:
                return False
            except ConnectionError:
                continue  # the client has disconnected again
            except OSError:
                self.close_longest_idle()
                self.pause_accepting()  # out of descriptors: let some connections end first
                self.timers.after(ACCEPT_RETRY_S, self.start_accepting)
                return False
            sock.setblocking(False)
            if len(self.connections) >= self.max_connections and not self.close_longest_idle():
                self.rejected_count += 1
                sock.close()
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.adopt(sock, peer)
        return True

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest, or else has been sending a request longest;
        whether there was one. Those with unread data are skipped.

        Partial requests count because clients that each send half a request would keep out all others.
        """
        found = next((c for c in chain(self.idle, self.partial) if not c.has_unread_data()), None)
        if found is not None:
            found.close()
        return found is not None

    def close_socket(self, sock: socket.socket) -> None:
        """Close the socket of a connection that was closed in the loop's last iteration."""
        self.closing_count -= 1
        sock.close()

    def adopt(self, sock: socket.socket, peer, initial_data: bytes = b"", routed: bool = False) -> None:
        """Serve a connection of which `initial_data` was read already; `routed`: its first request is not
        passed to `route`.
        """
        connection = Connection(self, sock, peer, initial_data, routed)
        self.connections.add(connection)
        if self.accepted is not None and not self.accepted(connection):
            connection.close()

    def adopt_descriptor(self, number: int, initial_data: bytes, routed: bool = False) -> None:
        """`adopt` for a file descriptor that another process has sent."""
        sock = socket.socket(fileno=number)
        sock.setblocking(False)
        peer = ("", 0)
        with contextlib.suppress(OSError):  # the client may have disconnected meanwhile
            peer = sock.getpeername()
        self.adopt(sock, peer, initial_data, routed)

    def handle(self, exchange: Exchange) -> None:
        """Call the handler; if it fails before it has replied, the response has status 500."""
        try:
            self.handler(exchange)
        except Exception as err:
            self.loop.call_exception_handler({"message": "a request handler failed", "exception": err})
            if not exchange.started:
                exchange.reply(500)

    def block_new_connections(self) -> None:
        """Drop new connection attempts to this socket, in every process that has it open; connections that
        wait in the backlog can still be accepted.

        Connections that wait in the backlog of a socket that is closed are reset unanswered. A client whose
        first segment is dropped sends it again after a second, and then finds the port closed.
        """
        if self.sock.fileno() >= 0:
            with contextlib.suppress(OSError):  # not on other systems, where a late connection may be reset
                self.sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, DROP_SYN_PROGRAM)

    def accept_backlog_and_stop(self) -> None:
        """Accept all waiting connections, then no more."""
        rounds = MAX_BACKLOG_ROUNDS if self.sock.fileno() >= 0 else 0
        while rounds and self.accept_waiting(last=True):
            rounds -= 1
        self.stop()

    def stop(self) -> None:
        """Close the listening socket; open connections stay open."""
        self.pause_accepting()
        self.sock.close()

    def close(self) -> None:
        """Close the listening socket and all connections."""
        self.stop()
        for connection in list(self.connections):
            connection.close()
