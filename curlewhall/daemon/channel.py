"""Messages between the processes of a daemon, which may carry open sockets (SCM_RIGHTS, unix(7)).

A channel is a pair of SOCK_SEQPACKET sockets: a message arrives whole or not at all, and the end of the
stream reports that the other process has ended, for whatever reason. `loop.sock_*` has no call that passes
descriptors, so the loop is used only to wait until the socket is readable or writable.
"""

import contextlib
import os
import socket
from collections import deque
from collections.abc import Callable

import msgspec

MAX_MESSAGE_BYTES = 1 << 17  # the socket buffer of a pair holds at least 208 KiB on Linux
MAX_DESCRIPTORS = 8  # per message

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(list).decode


def pair() -> tuple[socket.socket, socket.socket]:
    """The two non-blocking sockets of a new channel."""
    one, other = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    for end in (one, other):
        end.setblocking(False)
    return one, other


class Channel:
    """One end of a channel.

    Calls `on_message(kind, values, fds)` for each message and `on_closed()` once after the channel was closed
    by either side. A message is a list: its kind, then values of msgpack's types. Descriptors that are sent
    are closed here after sending; descriptors that are received belong to `on_message`.
    """

    def __init__(
        self,
        loop,
        sock: socket.socket,
        on_message: Callable[[str, list, list[int]], None],
        on_closed: Callable[[], None],
    ) -> None:
        self.loop = loop
        self.sock = sock
        self.on_message = on_message
        self.on_closed = on_closed
        sock.setblocking(False)
        self.queue: deque[tuple[bytes, list[int]]] = deque()
        self.closed = self.writing = False
        loop.add_reader(sock, self.read)

    def send(self, kind: str, *values, fds: tuple[int, ...] = ()) -> None:
        """Queue a message; closes `fds`. Does nothing more on a closed channel. `ValueError`: too long."""
        data = _encode([kind, *values])
        if len(data) > MAX_MESSAGE_BYTES:
            raise ValueError(f"message of {len(data)} bytes, expected {MAX_MESSAGE_BYTES} at most")
        if self.closed:
            for descriptor in fds:
                os.close(descriptor)
            return
        self.queue.append((data, list(fds)))
        if not self.writing:
            self.write()

    def write(self) -> None:
        """Send queued messages until the socket's buffer is full."""
        while self.queue:
            data, fds = self.queue[0]
            try:
                if fds:
                    socket.send_fds(self.sock, [data], fds)
                else:
                    self.sock.send(data)
            except BlockingIOError:
                if not self.writing:
                    self.writing = True
                    self.loop.add_writer(self.sock, self.write)
                return
            except OSError:
                self.close()
                return
            self.queue.popleft()
            for descriptor in fds:
                os.close(descriptor)
        if self.writing:
            self.writing = False
            self.loop.remove_writer(self.sock)

    def read(self) -> None:
        """Receive messages until the socket has none."""
        while not self.closed:
            try:
                data, fds, _, _ = socket.recv_fds(self.sock, MAX_MESSAGE_BYTES, MAX_DESCRIPTORS)
            except BlockingIOError:
                return
            except OSError:
                data, fds = b"", []
            if not data:
                self.close()
                return
            for descriptor in fds:
                os.set_inheritable(descriptor, False)
            try:
                kind, *values = _decode(data)
            except (msgspec.DecodeError, ValueError):
                self.close()  # the other end is no daemon process
                return
            self.on_message(kind, values, list(fds))

    def all_sent(self) -> bool:
        """Whether every queued message was sent."""
        return not self.queue

    def close(self) -> None:
        """Close the socket and the descriptors of unsent messages."""
        if self.closed:
            return
        self.closed = True
        self.loop.remove_reader(self.sock)
        if self.writing:
            self.loop.remove_writer(self.sock)
        for _, fds in self.queue:
            for descriptor in fds:
                with contextlib.suppress(OSError):
                    os.close(descriptor)
        self.queue.clear()
        self.sock.close()
        self.loop.call_soon(self.on_closed)
