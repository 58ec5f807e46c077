"""Viewers' side: the listener, set-ups, answers and releases.

A set-up becomes a play; its one answer is the description that its node gave, or a refusal. No connection
owns an established session: its end may be received, and is sent, on another one.
"""

import socket
import time
from asyncio import AbstractEventLoop
from collections import OrderedDict

from curlewhall.codecs import messages
from curlewhall.front.driver import ActivePlay, Driver
from curlewhall.wire.timers import Timers
from curlewhall.wire.transport import Transport

from . import decide
from .null_objects import Log
from .recent_sessions import RecentSessions
from .set_up_form import PlayInfo, SetUpError, SetUpForm
from .viewer_state import Connection, Session

# 3 s are allowed from the opening of a connection, and a check may come late on a busy core
MESSAGE_TIMEOUT_S = 2.0  # until a connection's first valid message, or the rest of one that has begun
CHECK_INTERVAL_S = 0.25
IDLE_TIMEOUT_S = 6.0  # for a connection without any session; viewers themselves close after 4
RELEASE_WAIT_S = 0.4  # that a release waits for a connection that was served; 1 s is allowed
RELEASE_EXPIRY_S = 8.0  # then an undelivered release is dropped: it is of no use any more
READ_BYTES = 1024  # of a connection in one turn of the event loop: a usual set-up has some hundred bytes
MESSAGES_PER_TURN = 4  # of a connection that are handled in one turn of the event loop
MAX_READ_AHEAD = 64  # messages read before earlier ones are handled: bounds memory under a flood
SLOW_READER_TIMEOUT_S = 8.0  # a client that takes no bytes for so long is closed with answers unsent
NEW_CONNECTION_S = 0.25  # in which a new client's first bytes arrive, many times the way
ACCEPT_RETRY_S = 0.05  # until the listener is read again after it ran out of descriptors
ACCEPTS_PER_TURN = 64  # of the event loop
MAX_LAST_ACCEPT_TURNS = 64  # before the listener is closed
MAX_MOVED_VIEWERS = 1000  # far more than come back at one time
# causes (ITU-T Q.850)
NORMAL_CLEARING = 16
TEMPORARY_FAILURE = 41
CONGESTION = 42
INVALID_CONTENTS = 100


class Viewers:
    """Owns the listener and all connections from viewers, at most `max_connections`. The driver's view of
    viewers.

    Its states: `ready`, then not ready (health checks fail, set-ups are accepted), then `refusing` (set-ups
    are refused).
    """

    def __init__(
        self, driver: Driver, loop: AbstractEventLoop, timers: Timers, max_connections: int, log: Log
    ) -> None:
        self.driver = driver
        self.loop = loop
        self.timers = timers
        self.max_connections = max_connections
        self.log = log
        self.set_up_form = SetUpForm(driver.start_settings)
        self.connections: dict[Transport, Connection] = {}
        self.sessions: dict[str, Session] = {}
        self.recent_sessions = RecentSessions()  # set-ups that may have run, see `SetUp.settle`
        self.open_set_ups = 0  # sessions that are owed an answer
        # releases without a connection: session -> when it ended, and the message
        self.undelivered: OrderedDict[str, tuple[float, bytes]] = OrderedDict()
        self.served: OrderedDict[Connection, None] = OrderedDict()  # connections with a success, latest last
        self.moved_viewers: OrderedDict[str, None] = OrderedDict()  # who have yet to ask again
        self.listener = None
        self.ready = False
        self.refusing = False
        self.refused = 0

    # ---- connections

    def start(self, listener: socket.socket) -> None:
        """Accept connections from here on."""
        self.listener, self.ready = listener, True
        self.loop.add_reader(listener.fileno(), self.accept)
        self.timers.after(CHECK_INTERVAL_S, self.check_connections)

    def accept(self) -> bool:
        """Accept some waiting connections; whether there may be more."""
        for _ in range(ACCEPTS_PER_TURN):
            try:
                sock, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError):
                return False
            except ConnectionError:
                continue  # the client has gone already
            except OSError as err:
                # Out of descriptors. The listener stays readable, so that without a pause the loop would
                # spin.
                self.log.warning("can't accept a connection", why=err.strerror)
                if not self.free_connection():
                    self.loop.remove_reader(self.listener.fileno())
                    self.timers.after(ACCEPT_RETRY_S, self.resume_accepting)
                    return False
                continue
            if len(self.connections) >= self.max_connections and not self.free_connection():
                sock.close()
                continue
            sock.setblocking(False)
            connection = Connection(time.monotonic())
            try:
                connection.transport = Transport(self.loop, sock, self, read_bytes=READ_BYTES)
            except OSError:
                sock.close()
                continue
            self.connections[connection.transport] = connection
        return True

    def resume_accepting(self) -> None:
        """Read the listener again, unless it was closed meanwhile."""
        if self.listener is not None:
            self.loop.add_reader(self.listener.fileno(), self.accept)

    def free_connection(self) -> bool:
        """Close the least useful connection; False if none may be closed.

        New connections are spared, since their first bytes are on the way: closed, that set-up would be lost,
        while a client that has asked for nothing just connects again. But connections without a valid message
        get half of all at most; beyond that new ones are closed, too.
        """
        young = time.monotonic() - NEW_CONNECTION_S
        if 2 * sum(not c.sound for c in self.connections.values()) > self.max_connections:
            young = float("inf")
        free = sorted(
            (c for c in self.connections.values() if not c.open_set_ups),
            key=lambda c: (c.sound or c.opened_at > young, bool(c.sessions), c.last_active),
        )
        return any(self.close_if_clear(c, drop_partial=not c.sound) for c in free) or any(
            self.close_if_clear(c, drop_partial=True) for c in free
        )

    def close_if_clear(self, connection: Connection, drop_partial: bool = False) -> bool:
        """Close a connection unless something is owed on it, or was received on it; whether it is closed.

        `drop_partial`: an incomplete message doesn't keep it open.

        Outside `wind_down` and `close`, nothing else closes connections from this side. Bytes that lie unread
        in the kernel would be lost with the connection, and may be a set-up; an answer that a slow reader has
        yet to take would be cut.
        """
        transport = connection.transport
        if transport.closed:
            return True
        self.handle_received(connection)
        if self.is_owed(connection):
            return False
        if transport.has_unread_data():
            transport.readable()
            if transport.closed:
                return True
            if self.is_owed(connection) or not connection.closing and transport.has_unread_data():
                return False
        if connection.reader.buffer and not drop_partial and not connection.closing:
            return False
        self.drop(connection)
        return True

    def is_owed(self, connection: Connection) -> bool:
        """Whether a set-up there waits for an answer or to be handled, or an answer is being sent to a client
        that still takes bytes.
        """
        stalled_s = time.monotonic() - connection.transport.last_progress
        return (
            bool(connection.open_set_ups or connection.received)
            or bool(connection.transport.queue)
            and stalled_s < SLOW_READER_TIMEOUT_S
        )

    def drop(self, connection: Connection) -> None:
        """Close a connection at once, whatever is open on it."""
        connection.transport.close()
        self.connection_lost(connection.transport, "dropped")

    def connection_lost(self, transport: Transport, why: str) -> None:
        """A connection has ended: cancel the set-ups that were open on it."""
        connection = self.connections.pop(transport)
        self.served.pop(connection, None)
        while connection.received:
            # Releases that were read before the end still count: their sessions are over for the viewers.
            message = connection.received.popleft()
            if message.kind == messages.RELEASE:
                self.handle_message(connection, message)
        for session in list(connection.open_set_ups.values()):
            self.cancel_set_up(session)
        for session in list(connection.sessions.values()):
            if session.presumed:
                self.release_session(session, NORMAL_CLEARING)  # nobody stands by it any more
            session.connection = None

    def check_connections(self) -> None:
        """Runs each `CHECK_INTERVAL_S`: closes connections that are idle, silent or stuck in a message, and
        sends releases that wait.
        """
        now = time.monotonic()
        for connection in list(self.connections.values()):
            if connection.transport.has_unread_data():
                connection.transport.readable()  # on a busy core: what arrived in time counts
            if connection.closing:
                self.close_if_clear(connection)
            elif not connection.sound and now - connection.opened_at > MESSAGE_TIMEOUT_S:
                if (
                    not self.close_if_clear(connection, drop_partial=True)
                    and now - connection.opened_at > MESSAGE_TIMEOUT_S + 2 * CHECK_INTERVAL_S
                ):
                    self.begin_close(connection)  # it keeps sending other messages than set-ups and checks
            elif connection.partial_since and now - connection.partial_since > MESSAGE_TIMEOUT_S:
                self.close_if_clear(connection, drop_partial=True)
            elif not connection.sessions and now - connection.last_active > IDLE_TIMEOUT_S:
                self.close_if_clear(connection)
        self.send_undelivered(now)
        self.timers.after(CHECK_INTERVAL_S, self.check_connections)

    def begin_close(self, connection: Connection) -> None:
        """Accept no more set-ups on a connection, and close it once nothing is owed on it."""
        connection.closing = True
        self.loop.call_soon(self.close_if_clear, connection)  # what was received already is handled first

    def data_received(self, transport: Transport, data: bytes) -> None:
        """Bytes came on a connection: handle the messages in them."""
        connection = self.connections[transport]
        connection.received += connection.reader.feed(data)
        if not connection.reader.buffer:
            connection.partial_since = 0.0
        elif not connection.partial_since or len(connection.reader.buffer) <= len(data):
            connection.partial_since = time.monotonic()  # the message began with these bytes
        self.handle_received(connection)

    def handle_received(self, connection: Connection) -> None:
        """Handle some of the messages that were received, in order. The others wait for the next turn of the
        loop, so that other connections have theirs, and nothing more is read until then. On a connection that
        is to be closed none waits: what still counts there are releases.
        """
        if connection.handling:
            return
        connection.handling = True
        count = len(connection.received)
        try:
            for _ in range(count if connection.closing else min(MESSAGES_PER_TURN, count)):
                if connection.received:
                    self.handle_message(connection, connection.received.popleft())
        finally:
            connection.handling = False
        if connection.received:
            self.handle_rest_later(connection)
            return
        connection.transport.resume_reading()
        if connection.reader.error and not connection.closing:
            self.begin_close(connection)

    def handle_rest_later(self, connection: Connection) -> None:
        """Handle the messages that wait on a connection in the next turn of the loop."""
        connection.transport.pause_reading()
        if not connection.rest_scheduled:
            connection.rest_scheduled = True
            self.loop.call_soon(self.handle_rest, connection)

    def handle_rest(self, connection: Connection) -> None:
        """The next turn of `handle_rest_later`."""
        connection.rest_scheduled = False
        self.handle_received(connection)

    def viewer_gone(self, session: Session) -> bool:
        """Whether a session's viewer has ended its connection, or released the session there.

        On a busy core the end may lie unread, and an allocation would go out for nobody. So bytes are read
        here; their messages are handled in their turn.
        """
        connection = session.connection
        transport, handling = connection.transport, connection.handling
        if transport.closed_by_peer():
            return True
        connection.handling = True
        while len(connection.received) < MAX_READ_AHEAD and transport.has_unread_data():
            transport.readable()
        connection.handling = handling
        if connection.received and not handling:
            self.handle_rest_later(connection)
        return transport.closed or any(
            m.kind == messages.RELEASE and m.session == session.id for m in connection.received
        )

    def handle_message(self, connection: Connection, message: messages.Message) -> None:
        """Handle a health check, a set-up or a release; other messages are ignored."""
        kind, name = message.kind, message.session
        if kind == messages.HEALTH_CHECK:
            connection.sound, connection.last_active = True, time.monotonic()
            passed = b"\1" if self.ready else b"\0"
            connection.transport.send(messages.encode(messages.HEALTH_REPLY, name, cause=passed))
        elif kind == messages.SET_UP:
            if not connection.closing:
                self.handle_set_up(connection, message)
        elif kind == messages.RELEASE:
            session = self.sessions.get(name)
            cause = message.fields.get(messages.CAUSE, b"")
            connection.transport.send(messages.encode(messages.RELEASE_ACK, name))
            if session is not None:
                connection.last_active = time.monotonic()
                if session.established:
                    self.release_session(session, cause[0] if len(cause) == 1 else NORMAL_CLEARING)
                else:
                    self.cancel_set_up(session)

    def wind_down(self, last: bool = False) -> int:
        """Accept no new connections, refuse set-ups, and close connections on which nothing is owed, received
        or incomplete, those without a session first. Returns how many are left. `last`: there is no time for
        more, so that only those with bytes to send are kept.
        """
        self.stop_listening()
        if not self.refusing:
            for connection in list(self.connections.values()):
                if connection.transport.has_unread_data():
                    connection.transport.readable()  # it came in time, while this front was busy
            self.refusing = True
        for connection in sorted(self.connections.values(), key=lambda c: bool(c.sessions)):
            if (
                not self.close_if_clear(connection, drop_partial=last)
                and last
                and not connection.transport.queue
            ):
                self.drop(connection)
        return len(self.connections)

    # ---- set-ups

    def handle_set_up(self, connection: Connection, message: messages.Message) -> None:
        """Hand a set-up to the driver as a play; refuse one that is invalid; adopt a session that runs."""
        name = message.session
        known = self.sessions.get(name)
        try:
            info, attributes, limit = self.set_up_form.parse(message)
        except SetUpError as err:
            self.log.warning("set-up is refused as invalid", session=name, why=err.full_message)
            if known is None or known.connection is not connection:
                connection.transport.send(
                    messages.encode(messages.RELEASE, name, cause=bytes((INVALID_CONTENTS,)))
                )
            return
        if "at" in attributes:
            if known is None:
                connection.sound, connection.last_active = True, time.monotonic()
                self.resume(connection, info, attributes["at"])
            return
        if known is not None:
            # A second set-up with the id of an open one gets no answer: it must disturb neither the first,
            # whose answer is on its way, nor other set-ups of its own connection.
            if known.connection is not connection:
                self.begin_close(connection)
            return
        connection.sound, connection.last_active = True, time.monotonic()
        if name in self.recent_sessions:
            # Its client has left, or its session is over. It is failed, which promises nothing: a refusal
            # would say that it has not run.
            self.log.warning("set-up comes again under an id that may have run", session=name)
            connection.transport.send(
                messages.encode(messages.RELEASE, name, cause=bytes((TEMPORARY_FAILURE,)))
            )
            return
        if self.refusing:
            # Clients that never stop sending would keep the connection open until the process is killed, and
            # what is unanswered then is lost. A refusal does no harm: they ask another front.
            self.refused += 1
        if self.refusing or self.is_overloaded(connection):
            connection.transport.send(messages.encode(messages.RELEASE, name, cause=bytes((CONGESTION,))))
            return
        now = self.driver.clock.now()
        session = Session(name, self, connection, message.fields[messages.DESCRIPTION])
        active_play = ActivePlay(info, info, session, now + limit, now)
        session.active_play = active_play
        self.sessions[name] = connection.open_set_ups[name] = session
        self.open_set_ups += 1
        moved = self.moved_viewers.pop(info.viewer, self) is None
        self.driver.accept_request(active_play, attributes.get("again") == "1", moved)

    def is_overloaded(self, connection: Connection) -> bool:
        """Whether another set-up on this connection is refused: too many are unanswered, and it has its share
        of them.
        """
        if self.open_set_ups < decide.MAX_OPEN_SET_UPS:
            return False
        others = sum(bool(c.open_set_ups) for c in self.connections.values() if c is not connection)
        return len(connection.open_set_ups) >= decide.fair_share(1 + others)

    def resume(self, connection: Connection, info: PlayInfo, node: str) -> None:
        """Adopt a session that, by its set-up, runs at a node already. It gets no answer, but a release if it
        can't run there. The driver makes it a play once its node has reported it.
        """
        if not self.driver.nodes.adoption.adopt(info, node):
            self.log.warning("existing session can't run at the node that it names", node=node[:40])
            connection.transport.send(
                messages.encode(messages.RELEASE, info.play, cause=bytes((TEMPORARY_FAILURE,)))
            )
            return
        session = Session(info.play, self, connection)
        session.established, session.unconfirmed_at = True, node
        self.sessions[info.play] = connection.sessions[info.play] = session

    def resumed(self, active_play: ActivePlay) -> None:
        """The driver has made the play of an adopted session."""
        session = self.sessions.get(active_play.info.play)
        if session is not None:
            session.active_play, session.unconfirmed_at = active_play, ""

    def presume(self, play: str) -> None:
        """Count an adopted session on its viewer's word alone, as long as the viewer's connection stays."""
        session = self.sessions.get(play)
        if session is not None:
            session.presumed = True
            if session.connection is None:
                self.release_session(session, NORMAL_CLEARING)

    def reported(self, play: str) -> None:
        """A node has sent a message about a session: it runs, or has run."""
        session = self.sessions.get(play)
        if session is not None:
            session.presumed = False

    def unreported(self, play: str, cause: int) -> None:
        """Release an adopted session that its node doesn't know. It is hardly a viewer's, so without its own
        connection nobody is told.
        """
        session = self.sessions.get(play)
        if session is not None:
            self.session_ended(play, cause, release_owed=session.connection is not None)

    def cancel_set_up(self, session: Session) -> None:
        """The viewer has given up its set-up: it is owed no answer."""
        self.forget(session)
        self.driver.viewer_left(session.active_play)

    def release_session(self, session: Session, cause: int) -> None:
        """The viewer ends an established session; it is owed no release."""
        self.forget(session)
        node = session.unconfirmed_at or session.active_play.node
        self.driver.nodes.release(node, session.id, cause)
        self.driver.play_ended(session.id, "withdrawn")

    def forget(self, session: Session) -> None:
        """Remove a session from the tables; its connection counts as active until now."""
        self.sessions.pop(session.id, None)
        self.open_set_ups -= not session.established
        if session.connection is not None:
            session.connection.open_set_ups.pop(session.id, None)
            session.connection.sessions.pop(session.id, None)
            session.connection.last_active = time.monotonic()

    # ---- answers, as the driver asks for them

    def send_answer(self, active_play: ActivePlay, data: bytes) -> Session | None:
        """Send the one answer to a set-up; None if none is owed any more."""
        session = self.sessions.get(active_play.info.play)
        if session is None or session.established:
            return None
        connection = session.connection
        self.forget(session)
        connection.transport.send(data)
        if connection.closing and not connection.open_set_ups:
            self.loop.call_soon(self.close_if_clear, connection)  # after `play` has noted the session there
        return session

    def play(self, active_play: ActivePlay, number: int) -> None:
        """Answer a set-up with its node's description."""
        data = messages.encode(
            messages.ANSWER, active_play.info.play, description=active_play.exchange.answer
        )
        session = self.send_answer(active_play, data)
        if session is not None:
            session.established, session.description, session.answer = True, b"", b""
            self.sessions[session.id] = session.connection.sessions[session.id] = session
            self.served[session.connection] = None
            self.served.move_to_end(session.connection)
            self.send_undelivered(time.monotonic())

    def decline(self, active_play: ActivePlay, away: int) -> None:
        """Refuse a set-up; the viewer may ask again after `away` ticks, if that is above 0."""
        values = {"cause": bytes((CONGESTION,))}
        if away > 0:
            values["retry_after"] = str(-(-away // 10)).encode()
        self.send_answer(active_play, messages.encode(messages.RELEASE, active_play.info.play, **values))

    def fail(self, active_play: ActivePlay, why: str) -> None:
        """Answer a set-up that has failed."""
        self.send_answer(
            active_play,
            messages.encode(messages.RELEASE, active_play.info.play, cause=bytes((TEMPORARY_FAILURE,))),
        )

    def moved(self, active_play: ActivePlay) -> None:
        """Tell a viewer to ask again: its session moves."""
        self.moved_viewers[active_play.info.viewer] = None
        if len(self.moved_viewers) > MAX_MOVED_VIEWERS:
            self.moved_viewers.popitem(last=False)
        session = self.sessions.get(active_play.info.play)
        if session is not None and session.connection is not None:
            # The session may be over at its node already, and then a release is owed, which `Nodes` asks for.
            # So it is not forgotten here.
            session.connection.transport.send(messages.encode(messages.MOVE, session.id))

    def session_ended(self, play: str, cause: int, release_owed: bool = True) -> None:
        """A session has ended at its node: release its viewer, unless no release is owed."""
        if release_owed:
            self.send_release(play, messages.encode(messages.RELEASE, play, cause=bytes((cause,))))
        elif play in self.sessions:
            self.forget(self.sessions[play])

    def send_release(self, play: str, data: bytes) -> None:
        """Send a session's release on its own connection, or else on one that is known to be a viewer's."""
        session = self.sessions.get(play)
        if session is None or not session.established:
            return
        connection = session.connection
        self.forget(session)
        if connection is None or not connection.transport.send(data):
            self.undelivered[play] = time.monotonic(), data
            self.send_undelivered(time.monotonic())

    def send_undelivered(self, now: float) -> None:
        """Send releases that have lost their connection on another one."""
        while self.undelivered:
            play, (since, data) = next(iter(self.undelivered.items()))
            connection = next(reversed(self.served), None)
            if connection is None and now - since > RELEASE_WAIT_S:
                # A misbehaving client would discard the release; one that sent a valid message hardly does.
                connection = next(
                    (c for c in reversed(self.connections.values()) if c.sound and not c.closing), None
                )
            if now - since > RELEASE_EXPIRY_S or (connection is not None and connection.transport.send(data)):
                del self.undelivered[play]
            elif connection is not None:
                self.served.pop(connection, None)
                connection.sound = False
            else:
                return

    def stop_listening(self) -> None:
        """Close the listener after accepting the connections that the kernel has queued."""
        if self.listener is not None:
            rounds = MAX_LAST_ACCEPT_TURNS  # more than the queue holds; a flood has no end
            while rounds and self.accept():
                rounds -= 1
            self.loop.remove_reader(self.listener.fileno())
            self.listener.close()
            self.listener = None

    def close(self) -> None:
        """Close the listener and all connections."""
        self.stop_listening()
        for transport in list(self.connections):
            transport.close()
        self.connections.clear()
