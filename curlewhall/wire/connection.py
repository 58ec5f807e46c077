"""A client's connection to a server, and the requests that were read from it with their responses."""

import asyncio
import contextlib
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from .http import HttpMessageError, Message, RequestParser, chunk_bytes, response_head_bytes
from .transport import closed_by_peer, has_input

if TYPE_CHECKING:
    from .server import Server

DISCONNECT_POLL_S = 0.05  # a client that is not read from and disconnects is noticed within 0.1 s
READ_BUFFER_BYTES = 2048  # per connection: a viewer's request has a few hundred bytes


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

    @property
    def memory_bytes(self) -> int:
        """About what the request and the queued response take."""
        return self.request.memory_bytes + sum(map(len, self.pieces))

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
        self.parser = RequestParser(server.limits)
        self.raw = bytearray()  # what was read of the current requests, if they may be routed elsewhere
        self.routed = routed
        self.exchanges: deque[Exchange] = deque()  # whose responses aren't written yet
        self.closed = self.writing = False
        self.last_request_read = False  # later bytes are discarded
        self.timed_request: Message | None = None  # the partial request that the read timeout is for
        self.pipeline_space = asyncio.Event()
        self.timeout = None
        self.reader = server.loop.create_task(self.read())
        self.writer = None
        self.update_idle()

    def update_idle(self) -> None:
        """Put the connection last among those that may be closed in favour of others, or remove it from them
        if a response is owed on it.
        """
        server = self.server
        free = not (self.closed or self.exchanges or self.initial_data or self.parser.messages)
        server.idle.pop(self, None)
        if free and self.has_partial_request:
            server.partial.setdefault(self)  # keeps its place: single bytes now and then don't renew it
        else:
            server.partial.pop(self, None)
            if free:
                server.idle[self] = None

    @property
    def has_partial_request(self) -> bool:
        """Whether a request has begun and is not complete."""
        return self.parser.current is not None

    def update_memory(self) -> None:
        """Tell the server what this connection keeps; it may close connections that keep much."""
        kept = 0
        if not self.closed:
            kept = self.parser.memory_bytes + len(self.raw) + sum(ex.memory_bytes for ex in self.exchanges)
        self.server.memory_changed(self, kept)

    def give_up_memory(self) -> None:
        """Free what this connection keeps: reject a request that is still being read, else close."""
        if self.exchanges or not self.has_partial_request or self.last_request_read:
            self.close()
            return
        self.parser.close()
        self.raw.clear()
        self.reject(HttpMessageError(503, "the requests being read take too much memory"))

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
        # a response is owed, or a request is still to be handled, so the connection is not idle
        if why == "idle" and (self.exchanges or self.parser.messages):
            self.set_timeout(self.server.limits.idle, "idle")
        elif why == "read":
            self.reject(HttpMessageError(408, "the request was not complete in time"))
        else:
            self.close()

    async def read(self) -> None:
        """Read and handle requests until the connection ends."""
        buffer = bytearray(READ_BUFFER_BYTES)
        self.set_timeout(self.server.limits.idle, "idle")
        try:
            while not self.closed:
                data = await self.receive(buffer)
                if not data:
                    break
                if self.last_request_read:
                    continue  # discard input; only the end of the connection matters
                if self.server.successor is not None and not self.has_partial_request and not self.exchanges:
                    self.hand_over(self.server.successor, data)
                    return
                error = self.parse(data)
                if error is None and self.route_elsewhere():
                    return
                self.update_idle()
                self.update_memory()
                await self.handle_parsed()
                if error is not None:
                    self.reject(error)
                    return
                self.restart_timeout()
                self.update_idle()
                self.update_memory()
                await self.wait_for_pipeline_space()
        except (OSError, asyncio.CancelledError):
            pass
        self.close()

    async def receive(self, buffer: bytearray) -> bytes:
        """The next bytes from the client; none at the end of the connection."""
        data, self.initial_data = self.initial_data, b""
        if data:
            return data
        count = await self.server.loop.sock_recv_into(self.sock, buffer)
        return bytes(memoryview(buffer)[:count])

    def parse(self, data: bytes) -> HttpMessageError | None:
        """Parse received bytes; the error, if they are no valid continuation."""
        if self.server.route is not None:
            if not self.has_partial_request:
                self.raw.clear()
            self.raw += data
        try:
            self.parser.feed(data)
        except HttpMessageError as err:
            return err
        return None

    def route_elsewhere(self) -> bool:
        """Hand the connection over if the requests that were just parsed belong to another server."""
        parser, route = self.parser, self.server.route
        if route is None or not parser.messages or parser.current is not None or self.exchanges:
            return False
        receiver = None if self.routed else route(parser.messages)
        self.routed = False
        if receiver is None:
            return False
        parser.messages.clear()
        self.hand_over(receiver, bytes(self.raw))
        return True

    async def handle_parsed(self) -> None:
        """Handle the requests that were parsed: one in each iteration of the event loop, so that one client
        doesn't delay others, and none beyond the pipeline limit.
        """
        messages, first = self.parser.messages, True
        while messages and not self.closed:
            if not first:
                await asyncio.sleep(0)
            first = False
            await self.wait_for_pipeline_space()
            if messages and not self.closed:
                self.handle_request(messages.popleft())

    async def wait_for_pipeline_space(self) -> None:
        """Wait until fewer requests than the pipeline limit are unanswered.

        A client may send requests and never read the responses, so no request is read beyond that limit.
        Meanwhile the client's end is polled for, as nothing reads it.
        """
        while len(self.exchanges) >= self.server.limits.pipeline and not self.closed:
            self.pipeline_space.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DISCONNECT_POLL_S):
                    await self.pipeline_space.wait()
            if closed_by_peer(self.sock):
                self.close()

    def restart_timeout(self) -> None:
        """Start the read timeout of a request that has begun, once; between requests the idle timeout."""
        current, limits = self.parser.current, self.server.limits
        if self.closed:
            return
        if current is None:
            self.set_timeout(limits.idle, "idle")
        elif current is not self.timed_request:
            self.set_timeout(limits.read, "read")
        self.timed_request = current

    def handle_request(self, request: Message) -> None:
        """Pass a request to the handler, unless an earlier one was the last."""
        if self.last_request_read:
            return
        self.last_request_read = not request.keep_alive
        exchange = Exchange(self, request)
        self.exchanges.append(exchange)
        self.server.handle(exchange)
        request.release()  # it may wait for its response for seconds

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
            return
        if not self.writing and self.exchanges and self.exchanges[0].pieces:
            self.writing = True
            self.writer = self.server.loop.create_task(self.write())
        self.update_memory()

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

    def leave_server(self) -> None:
        """Remove this connection from all that the server keeps of it."""
        self.closed = True
        self.server.connections.discard(self)
        self.parser.close()
        self.update_idle()
        self.update_memory()
        if self.timeout is not None:
            self.timeout.cancel()

    def hand_over(self, receiver: Callable[[socket.socket, bytes], None], data: bytes) -> None:
        """Give the connection, and `data` read of its next request, to another server."""
        self.leave_server()
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
        self.leave_server()
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
