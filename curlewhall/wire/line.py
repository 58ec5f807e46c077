"""One connection that never blocks and belongs to one owner: bytes in, bytes out, and how it ended.

Many lines share one buffer for reading, so that a line that is silent costs a socket and little else. The
owner is called as `opened(line)`, `heard(line, data)` and `ended(line, why)`, the last once and never from
within a call of the owner's.
"""

import errno
import socket

BUFFER = bytearray(16384)  # of all lines: one thread reads, and gives away what it read before it reads again
VIEW = memoryview(BUFFER)
QUEUED = 1 << 16  # bytes that wait for a slow reader; four messages of the longest kind, then the line ends


class Line:
    """A socket with its owner. `why` of an end: refused, unreached, closed, reset, full, or the owner's."""

    __slots__ = ("loop", "sock", "owner", "queue", "open", "over", "reading")

    def __init__(self, loop, sock: socket.socket, owner, fresh: bool = False) -> None:
        """`fresh`: the connection has yet to come up (`connect`)."""
        self.loop, self.sock, self.owner, self.queue = loop, sock, owner, bytearray()
        self.open, self.over, self.reading = not fresh, False, False
        if fresh:
            loop.add_writer(sock.fileno(), self.connected)
        else:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.read()

    def read(self) -> None:
        if not self.reading:
            self.reading = True
            self.loop.add_reader(self.sock.fileno(), self.readable)

    def mute(self) -> None:
        """Read no more; what is owed can still be written."""
        if self.reading:
            self.reading = False
            self.loop.remove_reader(self.sock.fileno())

    def connected(self) -> None:
        self.loop.remove_writer(self.sock.fileno())
        code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.end("refused" if code == errno.ECONNREFUSED else "unreached")
            return
        self.open = True
        self.read()
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
        """Whether the other side has closed or reset, asked of the kernel now."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True

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


def connect(loop, address: tuple[str, int], owner) -> Line:
    """A line on its way to `address`; `OSError` where not even a socket is to be had."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS, errno.EWOULDBLOCK, errno.ECONNREFUSED):
            raise OSError(code, "can't connect")
        line = Line(loop, sock, owner, fresh=True)
    except OSError:
        sock.close()
        raise
    if code == errno.ECONNREFUSED:
        loop.remove_writer(sock.fileno())
        loop.call_soon(line.end, "refused")
    return line
