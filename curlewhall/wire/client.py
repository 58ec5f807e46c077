"""A client with a pool of connections for each address, which tells how surely nothing ran.

How an exchange ends, in the words of `curlewhall.interface`:

- `ok`: a whole answer came, whatever its status.
- `unreached`: no connection was to be had. `not_sent`: the time was over, or the caller withdrew, before the
  first byte was handed to the kernel. Nothing can have run.
- `broken`, `late`, `withdrawn`, `error` (not HTTP, or over a limit): something may have run.

Danger: the line between the two is what a paid play's single set-up rests on. A connection taken from the
pool that turns out dead while it is written to may have carried the request, so that is `broken`.
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

READ = 16384  # segments come in pieces of some kilobytes
SPARE = 8  # idle connections kept for an address; more are closed as they come back


class Reply(NamedTuple):
    """How an exchange ended; `message` is None unless a whole answer came. `took` is in seconds."""

    ending: str
    message: Message | None
    took: float
    why: str = ""


class Line:
    """One connection of a pool: a socket, a parser for what comes back, a buffer used again and again."""

    __slots__ = ("sock", "parser", "buffer", "used")

    def __init__(self, sock: socket.socket, limits: Limits) -> None:
        self.sock, self.parser, self.buffer, self.used = sock, ResponseParser(limits), bytearray(READ), 0

    def stale(self) -> bool:
        """Whether the other side has closed, or has said something that nobody asked for."""
        return has_input(self.sock)


class Ask:
    """One exchange under way. `withdraw` ends it at once."""

    __slots__ = ("pool", "data", "done", "tell", "task", "limit", "sent", "asked_at", "settled", "may")

    def __init__(self, pool: "Pool", data: bytes, span: float, done, tell, may) -> None:
        self.pool, self.data, self.done, self.tell, self.may = pool, data, done, tell, may
        self.sent = self.settled = False
        self.asked_at = time.monotonic()
        self.limit = pool.timers.after(span, self.stop, "late")
        self.task = pool.loop.create_task(pool.run(self))

    def stop(self, cause: str) -> None:
        if not self.settled:
            self.settle(Reply(cause if self.sent else "not_sent", None, time.monotonic() - self.asked_at))
            self.task.cancel()

    def withdraw(self) -> None:
        """End it now: `withdrawn`, or `not_sent` while nothing has gone out. `done` is called before
        return.
        """
        self.stop("withdrawn")

    def settle(self, reply: Reply) -> None:
        if not self.settled:
            self.settled = True
            self.limit.cancel()
            self.pool.asks.discard(self)
            self.done(reply)


class Pool:
    """Connections to one address. Owned by one place, closed in one place (`close`)."""

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
        self.loop, self.timers, self.address, self.port, self.limits = loop, timers, address, port, limits
        self.connect_limit, self.idle_limit = connect, idle
        self.idle: deque[tuple[float, Line]] = deque()
        self.asks: set[Ask] = set()
        self.opened, self.closed = 0, False

    @property
    def host(self) -> str:
        return f"[{self.address}]:{self.port}" if ":" in self.address else f"{self.address}:{self.port}"

    def ask(
        self,
        data: bytes,
        span: float,
        done: Callable[[Reply], None],
        tell: Callable[[Message, bytes], None] | None = None,
        may: Callable[[], bool] | None = None,
    ) -> Ask:
        """Send a request; `done` is called once, never before this returns.

        `tell(message, piece)` hears the body as it comes, in place of it being kept. `may` is asked in the
        very moment before the first byte goes out; a no ends the exchange as `not_sent`.
        """
        ask = Ask(self, data, span, done, tell, may)
        self.asks.add(ask)
        return ask

    async def fetch(self, data: bytes, span: float) -> Reply:
        """`ask` for those who can wait."""
        future = self.loop.create_future()
        ask = self.ask(data, span, lambda reply: future.done() or future.set_result(reply))
        try:
            return await future
        except asyncio.CancelledError:
            ask.withdraw()
            raise

    async def run(self, ask: Ask) -> None:
        line = None
        try:
            line, why = await self.take()
            if line is None:
                ask.settle(Reply("unreached", None, time.monotonic() - ask.asked_at, why))
                return
            if ask.may is not None and not ask.may():
                ask.settle(Reply("not_sent", None, time.monotonic() - ask.asked_at, "no longer wanted"))
                self.give(line)
                return
            ask.sent, line.parser.on_body_piece = True, ask.tell
            await self.loop.sock_sendall(line.sock, ask.data)
            message = await self.receive(line)
            if message.keep_alive:
                self.give(line)
                line = None
            ask.settle(Reply("ok", message, time.monotonic() - ask.asked_at))
        except HttpMessageError as err:
            ask.settle(Reply("error", None, time.monotonic() - ask.asked_at, err.why))
        except (OSError, EOFError) as err:
            # Danger: out of descriptors not even a socket is to be had; a paid play would be failed for that.
            ask.settle(
                Reply("broken" if ask.sent else "unreached", None, time.monotonic() - ask.asked_at, str(err))
            )
        except asyncio.CancelledError:
            ask.settle(Reply("withdrawn" if ask.sent else "not_sent", None, time.monotonic() - ask.asked_at))
        finally:
            if line is not None and (ask.sent or self.closed):
                self.loop.call_soon(line.sock.close)

    async def receive(self, line: Line) -> Message:
        parser, buffer = line.parser, line.buffer
        view = memoryview(buffer)
        while not parser.messages:
            got = await self.loop.sock_recv_into(line.sock, buffer)
            if not got:
                raise EOFError("closed before the whole answer had come")
            parser.feed(bytes(view[:got]))
            # 1xx answers announce the real one (RFC 9110 section 15.2)
            while parser.messages and parser.messages[0].status < 200:
                parser.messages.popleft()
        message = parser.messages.popleft()
        # Danger: an answer more than was asked for would be taken for that of the next request.
        message.keep_alive = message.keep_alive and not parser.messages and parser.current is None
        return message

    async def take(self) -> tuple[Line | None, str]:
        """An idle connection that still lives, or a new one; None where none is to be had in time, with
        `refused` where the machine itself said so.
        """
        now = time.monotonic()
        while self.idle:
            since, line = self.idle.pop()
            if now - since < self.idle_limit and not line.stale():
                return line, ""
            line.sock.close()
        if not 0 < self.port < 65536:
            # Danger: uvloop connects to such a number modulo 65536, where a stranger may listen.
            return None, "no port"
        family = socket.AF_INET6 if ":" in self.address else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout(self.connect_limit):
                await self.loop.sock_connect(sock, (self.address, self.port))
        except (OSError, TimeoutError) as err:
            sock.close()
            return None, "refused" if isinstance(err, ConnectionRefusedError) else "no connection"
        except asyncio.CancelledError:
            self.loop.call_soon(sock.close)
            raise
        self.opened += 1
        return Line(sock, self.limits), ""

    def give(self, line: Line) -> None:
        line.used += 1
        line.parser.on_body_piece = None
        if self.closed or len(self.idle) >= SPARE:
            line.sock.close()
        else:
            self.idle.append((time.monotonic(), line))

    def drop_idle(self) -> None:
        """Close what nobody uses: after a restart of the other side these connections are dead or strange."""
        while self.idle:
            self.idle.pop()[1].sock.close()

    def close(self) -> None:
        self.closed = True
        self.drop_idle()
        for ask in list(self.asks):
            ask.withdraw()
