"""Messages between the processes of a daemon, with open sockets along (SCM_RIGHTS, unix(7)).

A pair of SOCK_SEQPACKET sockets: a message arrives whole or not at all, and a process that ends, however it
ends, is told by the end of the stream. `loop.sock_*` has no call that carries descriptors, so the loop only
tells when there is something to read or room to write.
"""

import contextlib
import os
import socket
from collections import deque
from collections.abc import Callable

import msgspec

LARGEST = 1 << 17  # bytes of a message; the kernel's buffer of a pair takes 208 KiB at least on Linux
FDS = 8  # descriptors that come with one message at most

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(list).decode


def pair() -> tuple[socket.socket, socket.socket]:
    one, other = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    for end in (one, other):
        end.setblocking(False)
    return one, other


class Channel:
    """One end. `heard(kind, facts, fds)` is called for each message, `ended()` once when the other is gone.

    Messages are lists: a word that says their kind, then facts of msgpack's types. Sent descriptors are
    closed here once they are on their way; those that come belong to whoever hears them.
    """

    def __init__(
        self,
        loop,
        sock: socket.socket,
        heard: Callable[[str, list, list[int]], None],
        ended: Callable[[], None],
    ) -> None:
        self.loop, self.sock, self.heard, self.ended = loop, sock, heard, ended
        sock.setblocking(False)
        self.queue: deque[tuple[bytes, list[int]]] = deque()
        self.closed = self.writing = False
        loop.add_reader(sock, self.read)

    def send(self, kind: str, *facts, fds: tuple[int, ...] = ()) -> None:
        """Say something; nothing happens where the other side has gone."""
        data = _encode([kind, *facts])
        if len(data) > LARGEST:
            raise ValueError(f"a message of {len(data)} bytes, {LARGEST} at most")
        if self.closed:
            for number in fds:
                os.close(number)
            return
        self.queue.append((data, list(fds)))
        if not self.writing:
            self.write()

    def write(self) -> None:
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
            for number in fds:
                os.close(number)
        if self.writing:
            self.writing = False
            self.loop.remove_writer(self.sock)

    def read(self) -> None:
        while not self.closed:
            try:
                data, fds, _, _ = socket.recv_fds(self.sock, LARGEST, FDS)
            except BlockingIOError:
                return
            except OSError:
                data, fds = b"", []
            if not data:
                self.close()
                return
            for number in fds:
                os.set_inheritable(number, False)
            try:
                kind, *facts = _decode(data)
            except (msgspec.DecodeError, ValueError):
                self.close()  # not one of ours at the other end
                return
            self.heard(kind, facts, list(fds))

    def flush(self) -> bool:
        """Whether all that was said is on its way."""
        return not self.queue

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.loop.remove_reader(self.sock)
        if self.writing:
            self.loop.remove_writer(self.sock)
        for _, fds in self.queue:
            for number in fds:
                with contextlib.suppress(OSError):
                    os.close(number)
        self.queue.clear()
        self.sock.close()
        self.loop.call_soon(self.ended)
