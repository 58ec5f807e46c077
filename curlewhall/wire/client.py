"""HTTP client with a pool of connections per address. It reports whether a failed request may have run.

The outcomes of a request, in the terms of `curlewhall.interface`:

- `ok`: a complete response came, whatever its status.
- `unreached`: no connection could be established. `not_sent`: the request timed out, or the caller withdrew
  it, before the first byte was handed to the kernel. In both cases the other side can't have run it.
- `broken`, `late`, `withdrawn`, `error` (not HTTP, or over a limit): the other side may have run it.

A paid play is set up once only because callers can rely on this distinction. A pooled connection that fails
while the request is written may have carried it, so the outcome is `broken`.
"""

import asyncio
import socket
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from .http import HttpMessageError, Limits, Message, ResponseParser
from .timers import Timers
from .transport import has_input

READ_BUFFER_BYTES = 16384  # video segments arrive in pieces of some kilobytes
MAX_IDLE_CONNECTIONS = 8  # per address; further connections are closed when their request ends


class Reply(NamedTuple):
    """Result of a request; `message` is None unless the response is complete; `why` explains a failure."""

    outcome: str
    message: Message | None
    elapsed_s: float
    why: str = ""


class PooledConnection:
    """One connection of a pool: a socket, a response parser, and a read buffer that is reused."""

    __slots__ = ("sock", "parser", "buffer", "used")

    def __init__(self, sock: socket.socket, limits: Limits) -> None:
        self.sock = sock
        self.parser = ResponseParser(limits)
        self.buffer = bytearray(READ_BUFFER_BYTES)
        self.used = 0

    def stale(self) -> bool:
        """Whether the other side has closed the connection, or has sent something without a request."""
        return has_input(self.sock)


class PendingRequest:
    """A request in progress, as returned by `Pool.request`."""

    __slots__ = (
        "pool",
        "data",
        "on_done",
        "on_body",
        "task",
        "timeout",
        "sent",
        "started_at",
        "settled",
        "still_wanted",
    )

    def __init__(
        self,
        pool: "Pool",
        data: bytes,
        timeout_s: float,
        on_done: Callable[[Reply], None],
        on_body: Callable[[Message, bytes], None] | None,
        still_wanted: Callable[[], bool] | None,
    ) -> None:
        self.pool = pool
        self.data = data
        self.on_done = on_done
        self.on_body = on_body
        self.still_wanted = still_wanted
        self.sent = self.settled = False
        self.started_at = time.monotonic()
        self.timeout = pool.timers.after(timeout_s, self.stop, "late")
        self.task = pool.loop.create_task(pool.run(self))

    def stop(self, cause: str) -> None:
        """End the request with the outcome `cause`, or `not_sent` if no byte was written."""
        if not self.settled:
            self.settle(Reply(cause if self.sent else "not_sent", None, time.monotonic() - self.started_at))
            self.task.cancel()

    def withdraw(self) -> None:
        """Cancel the request: `withdrawn`, or `not_sent` if no byte was written. `on_done` is called before
        this returns.
        """
        self.stop("withdrawn")

    def settle(self, reply: Reply) -> None:
        """Report the result to the caller, once."""
        if not self.settled:
            self.settled = True
            self.timeout.cancel()
            self.pool.requests.discard(self)
            self.on_done(reply)


class Pool:
    """Connections to one address; `connect` and `idle` are timeouts in seconds. The owner calls `close`."""

    def __init__(
        self,
        loop,
        timers: Timers,
        address: str,
        port: int,
        *,
        limits: Limits = Limits(),  # noqa: B008
        connect: float = 0.25,
        idle: float = 15.0,
    ) -> None:
        self.loop = loop
        self.timers = timers
        self.address = address
        self.port = port
        self.limits = limits
        self.connect_timeout_s = connect
        self.idle_timeout_s = idle
        self.idle: deque[tuple[float, PooledConnection]] = deque()  # with the time of their last use
        self.requests: set[PendingRequest] = set()
        self.opened = 0  # connections opened so far
        self.closed = False

    @property
    def host(self) -> str:
        """The value of the Host field."""
        return f"[{self.address}]:{self.port}" if ":" in self.address else f"{self.address}:{self.port}"

    def request(
        self,
        data: bytes,
        timeout_s: float,
        on_done: Callable[[Reply], None],
        on_body: Callable[[Message, bytes], None] | None = None,
        still_wanted: Callable[[], bool] | None = None,
    ) -> PendingRequest:
        """Send a request; `on_done` is called once, never before this returns.

        `on_body(message, piece)` gets the body as it arrives; the reply then has none. `still_wanted` is
        called immediately before the first byte is written; if it returns False, the outcome is `not_sent`.
        """
        request = PendingRequest(self, data, timeout_s, on_done, on_body, still_wanted)
        self.requests.add(request)
        return request

    async def fetch(self, data: bytes, timeout_s: float) -> Reply:
        """`request` as a coroutine."""
        future = self.loop.create_future()
        request = self.request(data, timeout_s, lambda reply: future.done() or future.set_result(reply))
        try:
            return await future
        except asyncio.CancelledError:
            request.withdraw()
            raise

    async def run(self, request: PendingRequest) -> None:
        """Carry out a request on a connection of the pool. The task of a `PendingRequest`."""
        connection = None
        try:
            connection, why = await self.acquire()
            if connection is None:
                request.settle(Reply("unreached", None, time.monotonic() - request.started_at, why))
                return
            if request.still_wanted is not None and not request.still_wanted():
                request.settle(
                    Reply("not_sent", None, time.monotonic() - request.started_at, "no longer wanted")
                )
                self.release(connection)
                return
            request.sent = True
            connection.parser.on_body_piece = request.on_body
            await self.loop.sock_sendall(connection.sock, request.data)
            message = await self.receive(connection)
            if message.keep_alive:
                self.release(connection)
                connection = None
            request.settle(Reply("ok", message, time.monotonic() - request.started_at))
        except HttpMessageError as err:
            request.settle(Reply("error", None, time.monotonic() - request.started_at, err.why))
        except (OSError, EOFError) as err:
            # Without free descriptors not even a socket can be created: nothing was sent, and a paid play
            # must not fail as if it might have been set up.
            request.settle(
                Reply(
                    "broken" if request.sent else "unreached",
                    None,
                    time.monotonic() - request.started_at,
                    str(err),
                )
            )
        except asyncio.CancelledError:
            request.settle(
                Reply(
                    "withdrawn" if request.sent else "not_sent", None, time.monotonic() - request.started_at
                )
            )
        finally:
            if connection is not None and (request.sent or self.closed):
                self.loop.call_soon(connection.sock.close)

    async def receive(self, connection: PooledConnection) -> Message:
        """Read one final response; `EOFError` if the connection ends before it is complete."""
        parser, buffer = connection.parser, connection.buffer
        view = memoryview(buffer)
        while not parser.messages:
            count = await self.loop.sock_recv_into(connection.sock, buffer)
            if not count:
                raise EOFError("connection closed before the response was complete")
            parser.feed(bytes(view[:count]))
            # skip 1xx responses, which precede the final one (RFC 9110 section 15.2)
            while parser.messages and parser.messages[0].status < 200:
                parser.messages.popleft()
        message = parser.messages.popleft()
        # Bytes after the response would be taken for the response to the next request.
        message.keep_alive = message.keep_alive and not parser.messages and parser.current is None
        return message

    async def acquire(self) -> tuple[PooledConnection | None, str]:
        """An idle connection that is still open, or a new one. Otherwise None and the reason: `refused` if
        the other machine refused the connection.
        """
        now = time.monotonic()
        while self.idle:
            since, connection = self.idle.pop()
            if now - since < self.idle_timeout_s and not connection.stale():
                return connection, ""
            connection.sock.close()
        if not 0 < self.port < 65536:
            # uvloop would connect to the port modulo 65536, where an unrelated program may listen
            return None, "port out of range"
        family = socket.AF_INET6 if ":" in self.address else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout(self.connect_timeout_s):
                await self.loop.sock_connect(sock, (self.address, self.port))
        except (OSError, TimeoutError) as err:
            sock.close()
            return None, "refused" if isinstance(err, ConnectionRefusedError) else "no connection"
        except asyncio.CancelledError:
            self.loop.call_soon(sock.close)
            raise
        self.opened += 1
        return PooledConnection(sock, self.limits), ""

    def release(self, connection: PooledConnection) -> None:
        """Return a connection to the pool; it is closed if the pool is closed or has enough idle ones."""
        connection.used += 1
        connection.parser.on_body_piece = None
        if self.closed or len(self.idle) >= MAX_IDLE_CONNECTIONS:
            connection.sock.close()
        else:
            self.idle.append((time.monotonic(), connection))

    def close_idle(self) -> None:
        """Close all idle connections. After a restart of the other side they are dead, or lead to a process
        that is no longer the one meant.
        """
        while self.idle:
            self.idle.pop()[1].sock.close()

    def close(self) -> None:
        """Close the pool and withdraw its requests."""
        self.closed = True
        self.close_idle()
        for request in list(self.requests):
            request.withdraw()
