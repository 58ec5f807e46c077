"""Viewers' side: the listener, set-ups, answers and releases.

A set-up becomes a play; its one answer is the description that its node gave, or a refusal. No connection
owns a session that stands: what ends it may come, and is told, on another one.
"""

import re
import time
from collections import OrderedDict
from typing import NamedTuple

from curlewhall.codecs import messages
from curlewhall.errors import Mishap
from curlewhall.front.driver import Driver, Held
from curlewhall.wire.line import Line
from curlewhall.words import tenths

SILENT = 2.0  # seconds to a connection's first sound message, or for one half sent; 3 s are allowed from its
# opening, and a look every LOOK seconds may come late on a busy core
LOOK = 0.25
IDLE = 6.0  # seconds without any session; viewers themselves close after 4
SOON = 0.4  # seconds that a release waits for a connection known to be a usual viewer's; 1 s is allowed
KEPT = 8.0  # seconds after which a release that nobody came for is dropped: nothing counts it any more
PATIENT = 10  # times a product's time limit: viewers wait no longer than it; beyond this it is no patience
DECLINED, FAILED, WRONG = 42, 41, 100  # causes: congestion; temporary failure; invalid contents (ITU-T Q.850)
TITLE = re.compile(rb"[0-9a-f]{16}")
VIEWER = re.compile(r"[0-9a-f]{1,16}")
NUMBER = re.compile(r"\d{1,9}")


class SetUpRefused(Mishap):
    """A set-up that can't be taken; the text says why."""

    remedy = "Look at the client that sent it: its set-up breaks the protocol, and it was refused."


class Facts(NamedTuple):
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
    """A play on the viewers' side, from its set-up until it is over: `Held.exchange` of the driver."""

    __slots__ = ("id", "viewer", "description", "answer", "held", "stands")

    def __init__(self, name: str, viewer: "Viewer", description: bytes = b"") -> None:
        self.id, self.viewer, self.description, self.answer = name, viewer, description, b""
        self.held, self.stands = None, False


class Viewer:
    """One connection from viewers."""

    __slots__ = ("line", "reader", "since", "heard", "partial", "open", "stands", "sound", "closing")

    def __init__(self, now: float) -> None:
        self.line, self.reader = None, messages.Reader()
        self.since = self.heard = now  # when it came; when a session of it last changed
        self.partial = 0.0  # since when a message is half here; 0: none is
        self.open: dict[str, Session] = {}  # set-ups that are owed an answer
        self.stands: dict[str, Session] = {}
        self.sound = self.closing = False


class Viewers:
    """Owns the listener and all connections from viewers. At most `most` of them are held."""

    def __init__(self, driver: Driver, loop, timers, most: int, log) -> None:
        self.driver, self.loop, self.timers, self.most, self.log = driver, loop, timers, most, log
        card = driver.card
        floors = card["specifics.floor_by_class"]
        self.products = {p["name"]: (floors[i], PATIENT * p["time_limit"])
                         for i, p in enumerate(card["products"])}
        self.places, self.rungs = max(1, card["specifics.places"]), len(card["specifics.rung_kb"])
        self.lines: dict[Line, Viewer] = {}
        self.sessions: dict[str, Session] = {}
        self.waiting: OrderedDict[str, tuple[float, bytes]] = OrderedDict()  # releases without a connection
        self.usual: OrderedDict[Viewer, None] = OrderedDict()  # connections that were served, latest last
        self.away: OrderedDict[str, None] = OrderedDict()  # viewers moved, who have yet to come again
        self.listener, self.ready = None, False

    # ---- connections

    def start(self, listener) -> None:
        self.listener, self.ready = listener, True
        self.loop.add_reader(listener.fileno(), self.accept)
        self.timers.after(LOOK, self.look)

    def accept(self) -> None:
        for _ in range(64):  # then others have their turn
            try:
                sock, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as err:
                # Danger: out of descriptors, and the listener stays readable: make room, come back later.
                self.log.warning("can't accept", why=err.strerror)
                if not self.make_room():
                    self.loop.remove_reader(self.listener.fileno())
                    self.timers.after(0.05, self.again)
                    return
                continue
            if len(self.lines) >= self.most and not self.make_room():
                sock.close()
                continue
            sock.setblocking(False)
            viewer = Viewer(time.monotonic())
            try:
                viewer.line = Line(self.loop, sock, self)
            except OSError:
                sock.close()
                continue
            self.lines[viewer.line] = viewer

    def again(self) -> None:
        if self.listener is not None:
            self.loop.add_reader(self.listener.fileno(), self.accept)

    def make_room(self) -> bool:
        """Close the connection that will be missed least; False where each has a set-up open."""
        free = [v for v in self.lines.values() if not v.open]
        if not free:
            return False
        self.drop(min(free, key=lambda v: (v.sound, bool(v.stands), v.heard)))
        return True

    def drop(self, viewer: Viewer) -> None:
        viewer.line.close()
        self.ended(viewer.line, "dropped")

    def ended(self, line: Line, why: str) -> None:
        """A connection is gone, and with it the set-ups that were open on it."""
        viewer = self.lines.pop(line)
        self.usual.pop(viewer, None)
        for session in list(viewer.open.values()):
            self.give_up(session)
        for session in viewer.stands.values():
            session.viewer = None

    def look(self) -> None:
        """Close what says nothing, ends nothing or has nothing more to say; send releases that wait."""
        now = time.monotonic()
        for viewer in list(self.lines.values()):
            silent = not viewer.sound and now - viewer.since > SILENT
            torn = viewer.partial and now - viewer.partial > SILENT
            if torn or viewer.closing or silent:
                self.part(viewer)
            elif not viewer.open and not viewer.stands and now - viewer.heard > IDLE:
                self.drop(viewer)
        self.flush(now)
        self.timers.after(LOOK, self.look)

    def part(self, viewer: Viewer) -> None:
        """Read no more of a connection, and close it once nothing is owed on it."""
        viewer.closing = True
        viewer.line.mute()
        if not viewer.open:
            self.drop(viewer)

    def heard(self, line: Line, data: bytes) -> None:
        viewer = self.lines[line]
        for message in viewer.reader.feed(data):
            self.take(viewer, message)
            if line.over:
                return
        if viewer.reader.why:
            self.part(viewer)
        elif not viewer.reader.data:
            viewer.partial = 0.0
        elif not viewer.partial or len(viewer.reader.data) <= len(data):
            viewer.partial = time.monotonic()  # a message that has begun with this piece

    def take(self, viewer: Viewer, message: messages.Message) -> None:
        kind, name = message.kind, message.session
        if kind == messages.TEST:
            viewer.sound, viewer.heard = True, time.monotonic()
            passed = b"\1" if self.ready else b"\0"
            viewer.line.send(messages.message(messages.TESTED, name, cause=passed))
        elif kind == messages.SET_UP:
            self.set_up(viewer, message)
        elif kind == messages.RELEASE:
            session = self.sessions.get(name)
            cause = message.fields.get(messages.CAUSE, b"")
            viewer.line.send(messages.message(messages.HEARD, name))
            if session is not None:
                viewer.heard = time.monotonic()
                if session.stands:
                    self.left(session, cause[0] if len(cause) == 1 else 16)
                else:
                    self.give_up(session)

    # ---- set-ups

    def wind_down(self) -> int:
        """Take no new connections, and close those on which nothing is owed, said or half said: the ones
        without a session first. How many are left.
        """
        self.shut()
        for viewer in sorted(self.lines.values(), key=lambda viewer: bool(viewer.stands)):
            if viewer.open or viewer.line.queue:
                continue
            if viewer.line.unread() and not viewer.closing:
                viewer.line.readable()  # its answers first; the next round closes it
            elif not viewer.reader.data or viewer.closing:
                self.drop(viewer)
        return len(self.lines)

    def set_up(self, viewer: Viewer, message: messages.Message) -> None:
        name = message.session
        known = self.sessions.get(name)
        try:
            facts, figures, limit = self.read(message)
        except SetUpRefused as err:
            self.log.warning("a set-up that can't be taken", session=name, why=err.told)
            if known is None or known.viewer is not viewer:
                viewer.line.send(messages.message(messages.RELEASE, name, cause=bytes((WRONG,))))
            return
        if "at" in figures:
            if known is None:
                viewer.sound, viewer.heard = True, time.monotonic()
                self.resume(viewer, facts, figures["at"])
            return
        if known is not None:
            # Danger: it must disturb neither the first, whose answer is on its way, nor others here.
            if known.viewer is not viewer:
                self.part(viewer)
            return
        viewer.sound, viewer.heard = True, time.monotonic()
        now = self.driver.clock.now()
        session = Session(name, viewer, message.fields[messages.DESCRIPTION])
        held = Held(facts, facts, session, now + limit, now)
        session.held = held
        self.sessions[name] = viewer.open[name] = session
        moved = self.away.pop(facts.viewer, self) is None
        self.driver.asked(held, figures.get("again") == "1", moved)

    def read(self, message: messages.Message) -> tuple[Facts, dict[str, str], int]:
        """Facts, figures and patience of a set-up; `SetUpRefused` for what the module must not hear."""
        fields = message.fields
        missing = [code for code in (messages.PRODUCT, messages.TITLE, messages.FIGURES, messages.DESCRIPTION)
                   if code not in fields]
        if missing:
            raise SetUpRefused(f"parameters {missing} are missing")
        if not int(message.session, 16):
            raise SetUpRefused("no session")
        product = self.products.get(fields[messages.PRODUCT].decode("latin-1"))
        if product is None:
            raise SetUpRefused("an unknown product")
        if not TITLE.fullmatch(fields[messages.TITLE]):
            raise SetUpRefused("a title that can't be read")
        text = fields[messages.FIGURES].decode("latin-1")
        pairs = [part.partition(":") for part in text.split(";") if part]
        figures = {key: value for key, _, value in pairs}
        if len(figures) != len(pairs) or not VIEWER.fullmatch(figures.get("viewer", "")):
            raise SetUpRefused("figures that can't be read")
        home, copies, top = (self.figure(figures.get(key, ""), key) for key in ("home", "copies", "top"))
        if home >= self.places or not 0 < copies <= self.places or top >= self.rungs:
            raise SetUpRefused("figures out of range")
        patience = 0
        if "at" not in figures:
            patience = tenths(self.figure(fields.get(messages.PATIENCE, b"").decode("latin-1"), "patience"))
            if not 0 < patience <= product[1]:
                raise SetUpRefused("a patience out of range")
        facts = Facts(message.session, fields[messages.PRODUCT].decode("latin-1"), figures["viewer"],
                      fields[messages.TITLE].decode("latin-1"), top, product[0], home, copies)
        return facts, figures, patience

    def figure(self, text: str, name: str) -> int:
        if not NUMBER.fullmatch(text):
            raise SetUpRefused(f"{name} is no number")
        return int(text)

    def resume(self, viewer: Viewer, facts: Facts, node: str) -> None:
        """A session that plays at its node already: adopted, without an answer."""
        session = Session(facts.play, viewer)
        if not self.driver.nodes.adopt(facts.play, node):
            self.log.warning("a session at a node that is not listed", node=node)
            return
        session.stands = True
        self.sessions[facts.play] = viewer.stands[facts.play] = session
        self.driver.resumed(facts, facts, node)

    def resumed(self, held: Held) -> None:
        """The driver has made the play of an adopted session."""
        session = self.sessions.get(held.facts.play)
        if session is not None:
            session.held = held

    def give_up(self, session: Session) -> None:
        """The viewer waits no more: no answer is owed."""
        self.forget(session)
        self.driver.left(session.held)

    def left(self, session: Session, cause: int) -> None:
        """The viewer ends a session that stands; it is owed no release."""
        self.forget(session)
        held = session.held
        self.driver.nodes.release(held.node, session.id, cause)
        self.driver.play_ended(session.id, "withdrawn")

    def forget(self, session: Session) -> None:
        self.sessions.pop(session.id, None)
        if session.viewer is not None:
            session.viewer.open.pop(session.id, None)
            session.viewer.stands.pop(session.id, None)
            session.viewer.heard = time.monotonic()

    # ---- answers, as the driver tells them

    def answer(self, held: Held, data: bytes) -> Session | None:
        session = self.sessions.get(held.facts.play)
        if session is None or session.stands:
            return None
        viewer = session.viewer
        self.forget(session)
        viewer.line.send(data)
        if viewer.closing and not viewer.open:
            # the answer just written leaves first
            self.loop.call_soon(lambda: viewer.line in self.lines and self.drop(viewer))
        return session

    def play(self, held: Held, number: int) -> None:
        data = messages.message(messages.ANSWER, held.facts.play, description=held.exchange.answer)
        session = self.answer(held, data)
        if session is not None:
            session.stands, session.description, session.answer = True, b"", b""
            self.sessions[session.id] = session.viewer.stands[session.id] = session
            self.usual[session.viewer] = None
            self.usual.move_to_end(session.viewer)
            self.flush(time.monotonic())

    def decline(self, held: Held, away: int) -> None:
        values = {"cause": bytes((DECLINED,))}
        if away > 0:
            values["away"] = str(-(-away // 10)).encode()
        self.answer(held, messages.message(messages.RELEASE, held.facts.play, **values))

    def fail(self, held: Held, why: str) -> None:
        self.answer(held, messages.message(messages.RELEASE, held.facts.play, cause=bytes((FAILED,))))

    def moved(self, held: Held) -> None:
        self.away[held.facts.viewer] = None
        if len(self.away) > 1000:  # far more than come back at one time
            self.away.popitem(last=False)
        session = self.sessions.get(held.facts.play)
        if session is not None and session.viewer is not None:
            # Danger: it may be over at its node already, and then a release is owed: the node's side tells.
            session.viewer.line.send(messages.message(messages.MOVE, session.id))

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
        viewer = session.viewer
        self.forget(session)
        if viewer is None or not viewer.line.send(data):
            self.waiting[play] = time.monotonic(), data
            self.flush(time.monotonic())

    def flush(self, now: float) -> None:
        """Releases that lost their connection go out on another one."""
        while self.waiting:
            play, (since, data) = next(iter(self.waiting.items()))
            viewer = next(reversed(self.usual), None)
            if viewer is None and now - since > SOON:
                # Danger: a bad viewer's connection would swallow it; one with a sound message hardly.
                viewer = next((v for v in reversed(self.lines.values()) if v.sound and not v.closing), None)
            if now - since > KEPT or (viewer is not None and viewer.line.send(data)):
                del self.waiting[play]
            elif viewer is not None:
                self.usual.pop(viewer, None)
                viewer.sound = False
            else:
                return

    def shut(self) -> None:
        """Take no new connections, but for those that the kernel has taken already."""
        if self.listener is not None:
            self.accept()
            self.loop.remove_reader(self.listener.fileno())
            self.listener.close()
            self.listener = None

    def close(self) -> None:
        self.shut()
        for line in list(self.lines):
            line.close()
        self.lines.clear()
