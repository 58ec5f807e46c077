"""One connection that never blocks and belongs to one owner: bytes in, bytes out, and how it ended.

Many share one buffer for reading, so that one that is silent costs a socket and little else. The owner is
called as `opened(transport)`, `heard(transport, data)` and `ended(transport, why)`, the last once and never
from within a call of the owner's.
"""

import errno
import select
import socket
import time

HUNG_UP = getattr(select, "POLLRDHUP", 0)  # Linux; elsewhere an end behind unread bytes is seen later
BUFFER = bytearray(16384)  # of all: one thread reads, and gives away what it read before it reads again
VIEW = memoryview(BUFFER)
QUEUED = 1 << 16  # bytes that wait for a slow reader; four messages of the longest kind, then it ends


def pending(sock: socket.socket) -> bool:
    """Whether a read would not wait: the other side has said something, or has ended."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        pass
    return True


def ended_by_peer(sock: socket.socket) -> bool:
    """Whether the other side has closed, half-closed or reset, asked of the kernel now.

    Danger: bytes that nobody has read yet lie before the end and hide it from a read; a poll sees it.
    """
    try:
        if not sock.recv(1, socket.MSG_PEEK):
            return True
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        return True
    poll = select.poll()
    poll.register(sock, HUNG_UP)
    return bool(poll.poll(0))


class Transport:
    """A socket with its owner. `why` of an end: refused, unreached, closed, reset, full, or the owner's."""

    __slots__ = ("loop", "sock", "owner", "queue", "open", "over", "came_up", "moved")

    def __init__(self, loop, sock: socket.socket, owner, fresh: bool = False) -> None:
        """`fresh`: the connection has yet to come up (`connect`)."""
        self.loop, self.sock, self.owner, self.queue = loop, sock, owner, bytearray()
        self.open = self.came_up = not fresh
        self.over, self.moved = False, 0.0  # moved: when bytes of the queue last went out, or were put there
        if fresh:
            loop.add_writer(sock.fileno(), self.connected)
        else:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            loop.add_reader(sock.fileno(), self.readable)

    def connected(self) -> None:
        self.loop.remove_writer(self.sock.fileno())
        code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.end("refused" if code == errno.ECONNREFUSED else "unreached")
            return
        self.open = self.came_up = True
        self.loop.add_reader(self.sock.fileno(), self.readable)
        self.owner.opened(self)

    def readable(self) -> None:
        if self.over:
            return
        try:
            got = self.sock.recv_into(BUFFER)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.end("reset")
            return
        if got:
            self.owner.heard(self, bytes(VIEW[:got]))
        else:
            self.end("closed")

    def unread(self) -> bool:
        """Whether the other side has said something that was not read yet."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def dead(self) -> bool:
        """Whether the other side has ended it, though that was not read yet."""
        return self.over or ended_by_peer(self.sock)

    def send(self, data: bytes) -> bool:
        """Hand bytes over, in order. False: nothing of them went out, nor will it."""
        if self.over or not self.open:
            return False
        if self.queue:
            self.queue += data
            if len(self.queue) > QUEUED:
                self.loop.call_soon(self.end, "full")
            return True
        try:
            done = self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            done = 0
        except OSError:
            self.loop.call_soon(self.end, "reset")
            return False
        if done < len(data):
            self.queue += data[done:]
            self.moved = time.monotonic()
            self.loop.add_writer(self.sock.fileno(), self.writable)
        return True

    def writable(self) -> None:
        try:
            done = self.sock.send(self.queue)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.end("reset")
            return
        del self.queue[:done]
        self.moved = time.monotonic()
        if not self.queue:
            self.loop.remove_writer(self.sock.fileno())

    def close(self) -> None:
        """Close without a word to the owner."""
        if not self.over:
            self.over, self.open = True, False
            self.loop.remove_reader(self.sock.fileno())
            self.loop.remove_writer(self.sock.fileno())
            self.sock.close()

    def end(self, why: str) -> None:
        if not self.over:
            self.close()
            self.owner.ended(self, why)


def connect(loop, address: tuple[str, int], owner) -> Transport:
    """A transport on its way to `address`; `OSError` where not even a socket is to be had."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS, errno.EWOULDBLOCK, errno.ECONNREFUSED):
            raise OSError(code, "can't connect")
        transport = Transport(loop, sock, owner, fresh=True)
    except OSError:
        sock.close()
        raise
    if code == errno.ECONNREFUSED:
        loop.remove_writer(sock.fileno())
        loop.call_soon(transport.end, "refused")
    return transport
