"""HTTP server on one listening socket. Requests of a connection are answered in the order of their arrival.

`handler(exchange)` is called for each request and returns at once. The response is given then or later, with
`exchange.reply`, or with `start`, `write` and `finish`. If the client disconnects before the response is
complete, `exchange.on_disconnect` is called, once.
"""

import contextlib
import ctypes
import resource
import socket
import struct
from collections import deque
from collections.abc import Callable
from itertools import chain

from .connection import Connection, Exchange
from .http import Limits
from .memory import MemoryBudget
from .timers import Timers

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
        self.memory = MemoryBudget(limits.memory)
        self.shedding = False  # `memory_changed` frees memory
        self.shed_count = 0  # connections that had to give up what they kept
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

    def memory_changed(self, connection: Connection, size: int) -> None:
        """A connection keeps `size` bytes now; those that keep most give it up if that is too much in all."""
        self.memory.update(connection, size)
        if not self.memory.exceeded or self.shedding:
            return
        self.shedding = True
        try:
            for owner in self.memory.largest_owners():
                self.shed_count += 1
                owner.give_up_memory()
        finally:
            self.shedding = False

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
