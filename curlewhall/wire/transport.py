"""A non-blocking connection that belongs to one owner.

All connections share one read buffer, so that an idle one costs little more than its socket. The owner is
called as `connection_made(transport)`, `data_received(transport, data)` and
`connection_lost(transport, why)`; the last is called once, and never from within a call that the owner makes.
"""

import errno
import select
import socket
import time

POLL_PEER_CLOSED = getattr(select, "POLLRDHUP", 0)  # Linux only; elsewhere unread bytes hide a close
BUFFER = bytearray(16384)  # shared: one thread reads, and copies what it read before it reads again
VIEW = memoryview(BUFFER)
MAX_QUEUED_BYTES = 1 << 16  # four messages of the longest kind; a reader that is slower is disconnected


def has_input(sock: socket.socket) -> bool:
    """Whether a read would return at once: the other side has sent something or closed the connection."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        pass
    return True


def closed_by_peer(sock: socket.socket) -> bool:
    """Whether the other side has closed, half-closed or reset the connection, as the kernel knows it now.

    A read doesn't show the end while unread bytes precede it, so the socket is polled as well.
    """
    try:
        if not sock.recv(1, socket.MSG_PEEK):
            return True
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        return True
    poll = select.poll()
    poll.register(sock, POLL_PEER_CLOSED)
    return bool(poll.poll(0))


class Transport:
    """A socket with its owner. It ends as refused, unreached, closed, reset, full, or as its owner says."""

    __slots__ = (
        "loop",
        "sock",
        "owner",
        "read_bytes",
        "paused",
        "queue",
        "open",
        "closed",
        "was_connected",
        "last_progress",
    )

    def __init__(
        self,
        loop,
        sock: socket.socket,
        owner,
        connecting: bool = False,
        read_bytes: int = 0,
    ) -> None:
        """`connecting`: the connection is not established yet (`connect`). `read_bytes`: the most that one
        read takes, and so what the other side can have handled in one turn of the loop; 0: what fits.
        """
        self.loop = loop
        self.sock = sock
        self.owner = owner
        self.read_bytes = read_bytes
        self.paused = False  # the event loop doesn't read
        self.queue = bytearray()
        self.open = self.was_connected = not connecting
        self.closed = False
        self.last_progress = 0.0  # when queued bytes were last written, or the queue was begun
        if connecting:
            loop.add_writer(sock.fileno(), self.connect_finished)
        else:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            loop.add_reader(sock.fileno(), self.readable)

    def connect_finished(self) -> None:
        """The connection attempt has succeeded or failed. Called by the event loop."""
        self.loop.remove_writer(self.sock.fileno())
        code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.end("refused" if code == errno.ECONNREFUSED else "unreached")
            return
        self.open = self.was_connected = True
        self.loop.add_reader(self.sock.fileno(), self.readable)
        self.owner.connection_made(self)

    def pause_reading(self) -> None:
        """Have the event loop read nothing more for now; the owner still may, with `readable`."""
        if not self.paused and not self.closed:
            self.paused = True
            self.loop.remove_reader(self.sock.fileno())

    def resume_reading(self) -> None:
        """Have the event loop read again."""
        if self.paused and not self.closed:
            self.paused = False
            self.loop.add_reader(self.sock.fileno(), self.readable)

    def readable(self) -> None:
        """Read once and pass the bytes to the owner. Called by the event loop, or by the owner."""
        if self.closed:
            return
        try:
            count = self.sock.recv_into(BUFFER, self.read_bytes)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.end("reset")
            return
        if count:
            self.owner.data_received(self, bytes(VIEW[:count]))
        else:
            self.end("closed")

    def has_unread_data(self) -> bool:
        """Whether the other side has sent something that was not read yet."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def closed_by_peer(self) -> bool:
        """Whether the connection has ended, even if the end was not read yet."""
        return self.closed or closed_by_peer(self.sock)

    def send(self, data: bytes) -> bool:
        """Write or queue bytes, in order. False: none of them was written, nor will be."""
        if self.closed or not self.open:
            return False
        if self.queue:
            if len(self.queue) <= MAX_QUEUED_BYTES:
                self.queue += data
                if len(self.queue) > MAX_QUEUED_BYTES:
                    self.loop.call_soon(self.end, "full")  # once: what is sent until then is dropped
            return True
        try:
            count = self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            count = 0
        except OSError:
            self.loop.call_soon(self.end, "reset")
            return False
        if count < len(data):
            self.queue += data[count:]
            self.last_progress = time.monotonic()
            self.loop.add_writer(self.sock.fileno(), self.writable)
        return True

    def writable(self) -> None:
        """Write queued bytes. Called by the event loop."""
        try:
            count = self.sock.send(self.queue)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.end("reset")
            return
        del self.queue[:count]
        self.last_progress = time.monotonic()
        if not self.queue:
            self.loop.remove_writer(self.sock.fileno())

    def finish(self) -> None:
        """Send no more, and tell the other side so; what it has sent is read until it closes, too."""
        self.open = False
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.loop.call_soon(self.end, "reset")

    def close(self) -> None:
        """Close the socket without calling the owner."""
        if not self.closed:
            self.closed = True
            self.open = False
            self.loop.remove_reader(self.sock.fileno())
            self.loop.remove_writer(self.sock.fileno())
            self.sock.close()

    def end(self, why: str) -> None:
        """Close the socket and call the owner's `connection_lost`."""
        if not self.closed:
            self.close()
            self.owner.connection_lost(self, why)


def connect(loop, address: tuple[str, int], owner) -> Transport:
    """Start connecting to `address`; `OSError` if no socket can be created."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS, errno.EWOULDBLOCK, errno.ECONNREFUSED):
            raise OSError(code, "can't connect")
        transport = Transport(loop, sock, owner, connecting=True)
    except OSError:
        sock.close()
        raise
    if code == errno.ECONNREFUSED:
        loop.remove_writer(sock.fileno())
        loop.call_soon(transport.end, "refused")
    return transport
