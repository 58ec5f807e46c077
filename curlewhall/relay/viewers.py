"""Viewers' side: the listener, set-ups, answers and releases.

A set-up becomes a play; its one answer is the description that its node gave, or a refusal. No connection
owns a session that stands: what ends it may come, and is told, on another one.
"""

import re
import time
from collections import OrderedDict, deque
from typing import NamedTuple

from curlewhall.codecs import messages
from curlewhall.errors import CurlewhallError
from curlewhall.front.driver import ActivePlay, Driver
from curlewhall.platform_names import milliseconds_to_ticks
from curlewhall.wire.transport import Transport

SILENT = 2.0  # seconds to a connection's first sound message, or for one half sent; 3 s are allowed from its
# opening, and a look every LOOK seconds may come late on a busy core
LOOK = 0.25
IDLE = 6.0  # seconds without any session; viewers themselves close after 4
SOON = 0.4  # seconds that a release waits for a connection known to be a usual viewer's; 1 s is allowed
KEPT = 8.0  # seconds after which a release that nobody came for is dropped: nothing counts it any more
AHEAD = 64  # messages that may be read before those that came first are taken: a flood must not pile up
SLOW = 8.0  # seconds in which a client takes nothing of what is written to it until it is closed all the same
YOUNG = 0.25  # seconds in which a new client's first bytes come, many times the way
AT_ONCE = 64  # connections accepted in one turn of the loop
SHUT = 64  # such turns before the listener is closed
PATIENT = 10  # times a product's time limit: viewers wait no longer than it; beyond this it is no patience
DECLINED, FAILED, WRONG = 42, 41, 100  # causes: congestion; temporary failure; invalid contents (ITU-T Q.850)
TITLE = re.compile(rb"[0-9a-f]{16}")
VIEWER = re.compile(r"[0-9a-f]{1,16}")
NUMBER = re.compile(r"\d{1,9}")


class SetUpError(CurlewhallError):
    """A set-up that can't be taken; the text says why."""

    remedy = "Look at the client that sent it: its set-up breaks the protocol, and it was refused."


class PlayInfo(NamedTuple):
    """What a set-up says of its play, with where the title is held."""

    play: str
    product: str
    viewer: str
    title: str
    top: int
    rung: int
    first_place: int
    places: int
    customer: str = ""
    number: int = 0


class Session:
    """A play on the viewers' side, from its set-up until it is over: `ActivePlay.exchange` of the driver."""

    __slots__ = ("id", "viewers", "connection", "description", "answer", "active_play", "stands")

    def __init__(
        self, name: str, viewers: "Viewers", connection: "Connection", description: bytes = b""
    ) -> None:
        self.id, self.viewers, self.connection, self.description = name, viewers, connection, description
        self.answer, self.active_play, self.stands = b"", None, False

    def hung_up(self) -> bool:
        """Whether its viewer has gone, though that was not taken yet: ended the connection, or gave up."""
        return self.connection is None or self.viewers.gone(self)


class Connection:
    """One connection from viewers. `parting`: no set-up is taken from it any more, and it is closed once
    nothing is owed on it; it is still read, so that a release, or its end, is heard of.
    """

    __slots__ = (
        "transport",
        "reader",
        "came",
        "taking",
        "since",
        "heard",
        "partial",
        "open",
        "stands",
        "sound",
        "parting",
    )

    def __init__(self, now: float) -> None:
        self.transport, self.reader = None, messages.Reader()
        self.came: deque[messages.Message] = deque()  # read, and not taken yet
        self.taking = False
        self.since = self.heard = now  # when it came; when a session of it last changed
        self.partial = 0.0  # since when a message is half here; 0: none is
        self.open: dict[str, Session] = {}  # set-ups that are owed an answer
        self.stands: dict[str, Session] = {}
        self.sound = self.parting = False


class Viewers:
    """Owns the listener and all connections from viewers. At most `most` of them are held.

    Its states: `ready`, then not any more (tests fail, set-ups are taken), then `refusing` (none is taken).
    """

    def __init__(self, driver: Driver, loop, timers, most: int, log) -> None:
        self.driver, self.loop, self.timers, self.most, self.log = driver, loop, timers, most, log
        start_settings = driver.start_settings
        floors = start_settings["specifics.floor_by_class"]
        self.products = {
            p["name"]: (floors[i], PATIENT * p["time_limit"])
            for i, p in enumerate(start_settings["products"])
        }
        self.places, self.rungs = (
            max(1, start_settings["specifics.places"]),
            len(start_settings["specifics.rung_kb"]),
        )
        self.connections: dict[Transport, Connection] = {}
        self.sessions: dict[str, Session] = {}
        self.waiting: OrderedDict[str, tuple[float, bytes]] = OrderedDict()  # releases without a connection
        self.usual: OrderedDict[Connection, None] = OrderedDict()  # those that were served, latest last
        self.away: OrderedDict[str, None] = OrderedDict()  # viewers moved, who have yet to come again
        self.listener, self.ready, self.refusing, self.refused = None, False, False, 0

    # ---- connections

    def start(self, listener) -> None:
        self.listener, self.ready = listener, True
        self.loop.add_reader(listener.fileno(), self.accept)
        self.timers.after(LOOK, self.look)

    def accept(self) -> bool:
        """Take some of those who wait; whether there may be more."""
        for _ in range(AT_ONCE):
            try:
                sock, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError):
                return False
            except ConnectionError:
                continue  # it has gone again
            except OSError as err:
                # Danger: out of descriptors, and the listener stays readable: make room, come back later.
                self.log.warning("can't accept", why=err.strerror)
                if not self.make_room():
                    self.loop.remove_reader(self.listener.fileno())
                    self.timers.after(0.05, self.again)
                    return False
                continue
            if len(self.connections) >= self.most and not self.make_room():
                sock.close()
                continue
            sock.setblocking(False)
            connection = Connection(time.monotonic())
            try:
                connection.transport = Transport(self.loop, sock, self)
            except OSError:
                sock.close()
                continue
            self.connections[connection.transport] = connection
        return True

    def again(self) -> None:
        if self.listener is not None:
            self.loop.add_reader(self.listener.fileno(), self.accept)

    def make_room(self) -> bool:
        """Close the connection that will be missed least; False where none may be closed.

        Danger: the first bytes of who has just come are on their way; closed, that set-up is lost, while
        whoever asks for nothing comes again. But a crowd that says nothing takes half of the room at most.
        """
        young = time.monotonic() - YOUNG
        if 2 * sum(not c.sound for c in self.connections.values()) > self.most:
            young = float("inf")
        free = sorted(
            (c for c in self.connections.values() if not c.open),
            key=lambda c: (c.sound or c.since > young, bool(c.stands), c.heard),
        )
        return any(self.close_clear(c, torn=not c.sound) for c in free) or any(
            self.close_clear(c, torn=True) for c in free
        )

    def close_clear(self, connection: Connection, torn: bool = False) -> bool:
        """Close a connection unless something is owed on it, or was said on it; whether it is closed.

        `torn`: a message that is half here doesn't keep it.

        The only place where this side closes one. Danger: what lies unread in the kernel is lost with it, and
        it may be a set-up that was taken; an answer that a slow reader has yet to take is cut.
        """
        transport = connection.transport
        if transport.over:
            return True
        self.take_all(connection)
        if self.owes(connection):
            return False
        if transport.unread():
            transport.readable()
            if transport.over:
                return True
            if self.owes(connection) or not connection.parting and transport.unread():
                return False
        if connection.reader.data and not torn and not connection.parting:
            return False
        self.drop(connection)
        return True

    def owes(self, connection: Connection) -> bool:
        """Whether a set-up is open there or has yet to be taken, or an answer by one who takes anything."""
        taken = time.monotonic() - connection.transport.moved
        return bool(connection.open or connection.came) or bool(connection.transport.queue) and taken < SLOW

    def drop(self, connection: Connection) -> None:
        connection.transport.close()
        self.ended(connection.transport, "dropped")

    def ended(self, transport: Transport, why: str) -> None:
        """A connection is gone, and with it the set-ups that were open on it."""
        connection = self.connections.pop(transport)
        self.usual.pop(connection, None)
        while connection.came:
            # Danger: a session that stands is over for its viewer, though what said so has ended
            message = connection.came.popleft()
            if message.kind == messages.RELEASE:
                self.take(connection, message)
        for session in list(connection.open.values()):
            self.give_up(session)
        for session in connection.stands.values():
            session.connection = None

    def look(self) -> None:
        """Close what says nothing, ends nothing or has nothing more to say; send releases that wait."""
        now = time.monotonic()
        for connection in list(self.connections.values()):
            if connection.transport.unread():
                connection.transport.readable()  # a busy core: what it said in time counts
            if connection.parting:
                self.close_clear(connection)
            elif not connection.sound and now - connection.since > SILENT:
                if not self.close_clear(connection, torn=True) and now - connection.since > SILENT + 2 * LOOK:
                    self.part(connection)  # it goes on saying what is no set-up and no test
            elif connection.partial and now - connection.partial > SILENT:
                self.close_clear(connection, torn=True)
            elif not connection.stands and now - connection.heard > IDLE:
                self.close_clear(connection)
        self.flush(now)
        self.timers.after(LOOK, self.look)

    def part(self, connection: Connection) -> None:
        """Take no more set-ups from a connection, and close it once nothing is owed on it."""
        connection.parting = True
        self.loop.call_soon(self.close_clear, connection)  # what came with this piece is taken first

    def heard(self, transport: Transport, data: bytes) -> None:
        connection = self.connections[transport]
        connection.came += connection.reader.feed(data)
        if not connection.reader.data:
            connection.partial = 0.0
        elif not connection.partial or len(connection.reader.data) <= len(data):
            connection.partial = time.monotonic()  # a message that has begun with this piece
        self.take_all(connection)

    def take_all(self, connection: Connection) -> None:
        """Take what was read, in its order; what is read meanwhile has the next turn, so that others have
        theirs.
        """
        if connection.taking:
            return
        connection.taking = True
        try:
            for _ in range(len(connection.came)):
                if connection.came:
                    self.take(connection, connection.came.popleft())
        finally:
            connection.taking = False
        if connection.came:
            self.loop.call_soon(self.take_all, connection)
        elif connection.reader.why and not connection.parting:
            self.part(connection)

    def gone(self, session: Session) -> bool:
        """Whether a session's viewer has ended its connection, or given the set-up up there.

        Danger: on a busy core either lies unread, and an allocation would go out for nobody. So what was said
        is read now; it is taken in its turn.
        """
        connection = session.connection
        transport, taking = connection.transport, connection.taking
        if transport.dead():
            return True
        connection.taking = True
        while len(connection.came) < AHEAD and transport.unread():
            transport.readable()
        connection.taking = taking
        if connection.came and not taking:
            self.loop.call_soon(self.take_all, connection)
        return transport.over or any(
            m.kind == messages.RELEASE and m.session == session.id for m in connection.came
        )

    def take(self, connection: Connection, message: messages.Message) -> None:
        kind, name = message.kind, message.session
        if kind == messages.TEST:
            connection.sound, connection.heard = True, time.monotonic()
            passed = b"\1" if self.ready else b"\0"
            connection.transport.send(messages.message(messages.TESTED, name, cause=passed))
        elif kind == messages.SET_UP:
            if not connection.parting:
                self.set_up(connection, message)
        elif kind == messages.RELEASE:
            session = self.sessions.get(name)
            cause = message.fields.get(messages.CAUSE, b"")
            connection.transport.send(messages.message(messages.HEARD, name))
            if session is not None:
                connection.heard = time.monotonic()
                if session.stands:
                    self.left(session, cause[0] if len(cause) == 1 else 16)
                else:
                    self.give_up(session)

    def wind_down(self, last: bool = False) -> int:
        """Take no new connections and no set-ups, and close those on which nothing is owed, said or half
        said: the ones without a session first. How many are left. `last`: there is no time for more.
        """
        self.shut()
        if not self.refusing:
            for connection in list(self.connections.values()):
                if connection.transport.unread():
                    connection.transport.readable()  # it came in time, while this front was busy
            self.refusing = True
        for connection in sorted(self.connections.values(), key=lambda c: bool(c.stands)):
            if not self.close_clear(connection, torn=last) and last and not connection.transport.queue:
                self.drop(connection)
        return len(self.connections)

    # ---- set-ups

    def set_up(self, connection: Connection, message: messages.Message) -> None:
        name = message.session
        known = self.sessions.get(name)
        try:
            facts, figures, limit = self.read(message)
        except SetUpError as err:
            self.log.warning("a set-up that can't be taken", session=name, why=err.full_message)
            if known is None or known.connection is not connection:
                connection.transport.send(messages.message(messages.RELEASE, name, cause=bytes((WRONG,))))
            return
        if "at" in figures:
            if known is None:
                connection.sound, connection.heard = True, time.monotonic()
                self.resume(connection, facts, figures["at"])
            return
        if known is not None:
            # Danger: it must disturb neither the first, whose answer is on its way, nor others here.
            if known.connection is not connection:
                self.part(connection)
            return
        connection.sound, connection.heard = True, time.monotonic()
        if self.refusing:
            # Danger: clients that never stop sending would keep the connection open until the process is
            # killed, and what is unanswered then is lost. A refusal does no harm: they ask another front.
            self.refused += 1
            connection.transport.send(messages.message(messages.RELEASE, name, cause=bytes((DECLINED,))))
            return
        now = self.driver.clock.now()
        session = Session(name, self, connection, message.fields[messages.DESCRIPTION])
        active_play = ActivePlay(facts, facts, session, now + limit, now)
        session.active_play = active_play
        self.sessions[name] = connection.open[name] = session
        moved = self.away.pop(facts.viewer, self) is None
        self.driver.accept_request(active_play, figures.get("again") == "1", moved)

    def read(self, message: messages.Message) -> tuple[PlayInfo, dict[str, str], int]:
        """Facts, figures and patience of a set-up; `SetUpError` for what the module must not hear."""
        fields = message.fields
        missing = [
            code
            for code in (messages.PRODUCT, messages.TITLE, messages.FIGURES, messages.DESCRIPTION)
            if code not in fields
        ]
        if missing:
            raise SetUpError(f"parameters {missing} are missing")
        if not int(message.session, 16):
            raise SetUpError("no session")
        product = self.products.get(fields[messages.PRODUCT].decode("latin-1"))
        if product is None:
            raise SetUpError("an unknown product")
        if not TITLE.fullmatch(fields[messages.TITLE]):
            raise SetUpError("a title that can't be read")
        text = fields[messages.FIGURES].decode("latin-1")
        pairs = [part.partition(":") for part in text.split(";") if part]
        figures = {key: value for key, _, value in pairs}
        if len(figures) != len(pairs) or not VIEWER.fullmatch(figures.get("viewer", "")):
            raise SetUpError("figures that can't be read")
        home, copies, top = (self.figure(figures.get(key, ""), key) for key in ("home", "copies", "top"))
        if home >= self.places or not 0 < copies <= self.places or top >= self.rungs:
            raise SetUpError("figures out of range")
        patience = 0
        if "at" not in figures:
            patience = milliseconds_to_ticks(
                self.figure(fields.get(messages.PATIENCE, b"").decode("latin-1"), "patience")
            )
            if not 0 < patience <= product[1]:
                raise SetUpError("a patience out of range")
        facts = PlayInfo(
            message.session,
            fields[messages.PRODUCT].decode("latin-1"),
            figures["viewer"],
            fields[messages.TITLE].decode("latin-1"),
            top,
            product[0],
            home,
            copies,
        )
        return facts, figures, patience

    def figure(self, text: str, name: str) -> int:
        if not NUMBER.fullmatch(text):
            raise SetUpError(f"{name} is no number")
        return int(text)

    def resume(self, connection: Connection, facts: PlayInfo, node: str) -> None:
        """A session that plays at its node already: adopted, without an answer."""
        session = Session(facts.play, self, connection)
        if not self.driver.nodes.adopt(facts.play, node):
            self.log.warning("a session at a node that is not listed", node=node)
            return
        session.stands = True
        self.sessions[facts.play] = connection.stands[facts.play] = session
        self.driver.resume_play(facts, facts, node)

    def resumed(self, active_play: ActivePlay) -> None:
        """The driver has made the play of an adopted session."""
        session = self.sessions.get(active_play.info.play)
        if session is not None:
            session.active_play = active_play

    def give_up(self, session: Session) -> None:
        """The viewer waits no more: no answer is owed."""
        self.forget(session)
        self.driver.viewer_left(session.active_play)

    def left(self, session: Session, cause: int) -> None:
        """The viewer ends a session that stands; it is owed no release."""
        self.forget(session)
        active_play = session.active_play
        self.driver.nodes.release(active_play.node, session.id, cause)
        self.driver.play_ended(session.id, "withdrawn")

    def forget(self, session: Session) -> None:
        self.sessions.pop(session.id, None)
        if session.connection is not None:
            session.connection.open.pop(session.id, None)
            session.connection.stands.pop(session.id, None)
            session.connection.heard = time.monotonic()

    # ---- answers, as the driver tells them

    def answer(self, active_play: ActivePlay, data: bytes) -> Session | None:
        session = self.sessions.get(active_play.info.play)
        if session is None or session.stands:
            return None
        connection = session.connection
        self.forget(session)
        connection.transport.send(data)
        if connection.parting and not connection.open:
            self.loop.call_soon(self.close_clear, connection)  # the play has yet to be put down as one here
        return session

    def play(self, active_play: ActivePlay, number: int) -> None:
        data = messages.message(
            messages.ANSWER, active_play.info.play, description=active_play.exchange.answer
        )
        session = self.answer(active_play, data)
        if session is not None:
            session.stands, session.description, session.answer = True, b"", b""
            self.sessions[session.id] = session.connection.stands[session.id] = session
            self.usual[session.connection] = None
            self.usual.move_to_end(session.connection)
            self.flush(time.monotonic())

    def decline(self, active_play: ActivePlay, away: int) -> None:
        values = {"cause": bytes((DECLINED,))}
        if away > 0:
            values["away"] = str(-(-away // 10)).encode()
        self.answer(active_play, messages.message(messages.RELEASE, active_play.info.play, **values))

    def fail(self, active_play: ActivePlay, why: str) -> None:
        self.answer(
            active_play, messages.message(messages.RELEASE, active_play.info.play, cause=bytes((FAILED,)))
        )

    def moved(self, active_play: ActivePlay) -> None:
        self.away[active_play.info.viewer] = None
        if len(self.away) > 1000:  # far more than come back at one time
            self.away.popitem(last=False)
        session = self.sessions.get(active_play.info.play)
        if session is not None and session.connection is not None:
            # Danger: it may be over at its node already, and then a release is owed: the node's side tells.
            session.connection.transport.send(messages.message(messages.MOVE, session.id))

    def over(self, play: str, cause: int, owed: bool = True) -> None:
        """A session that stood has come to its end at its node."""
        if owed:
            self.tell(play, messages.message(messages.RELEASE, play, cause=bytes((cause,))))
        elif play in self.sessions:
            self.forget(self.sessions[play])

    def tell(self, play: str, data: bytes) -> None:
        """Send what ends a session: on its own connection, or else on one that is known to be a viewer's."""
        session = self.sessions.get(play)
        if session is None or not session.stands:
            return
        connection = session.connection
        self.forget(session)
        if connection is None or not connection.transport.send(data):
            self.waiting[play] = time.monotonic(), data
            self.flush(time.monotonic())

    def flush(self, now: float) -> None:
        """Releases that lost their connection go out on another one."""
        while self.waiting:
            play, (since, data) = next(iter(self.waiting.items()))
            connection = next(reversed(self.usual), None)
            if connection is None and now - since > SOON:
                # Danger: a bad viewer's connection would swallow it; one with a sound message hardly.
                connection = next(
                    (c for c in reversed(self.connections.values()) if c.sound and not c.parting), None
                )
            if now - since > KEPT or (connection is not None and connection.transport.send(data)):
                del self.waiting[play]
            elif connection is not None:
                self.usual.pop(connection, None)
                connection.sound = False
            else:
                return

    def shut(self) -> None:
        """Take no new connections, but for those that the kernel has taken already."""
        if self.listener is not None:
            rounds = SHUT  # a queue is shorter, a flood has no end
            while rounds and self.accept():
                rounds -= 1
            self.loop.remove_reader(self.listener.fileno())
            self.listener.close()
            self.listener = None

    def close(self) -> None:
        self.shut()
        for transport in list(self.connections):
            transport.close()
        self.connections.clear()
