"""Nodes' side: connections to each playout node, set-ups out on them, reports, the sessions that stand there.

A node is known by its id: another may come to stand at the address of one that is gone. A connection holds
one open set-up where there is room for that, so that one that is spoilt or reset costs no other.
"""

import time

from curlewhall.codecs import rtsp
from curlewhall.front.driver import SECOND, Driver, Held
from curlewhall.interface import NodeRow
from curlewhall.wire.line import Line, connect
from curlewhall.words import report_of

from .decide import Silences, WaysIn

PROBE = 0.25  # seconds for a report; several times what a sound node takes
QUIET = 3.0  # seconds without a word from a node, two attempts failed, until its sessions are taken for over
SURE = 2  # attempts in a row to reach a node that must fail before its sessions are taken for ended
PAUSES = (0.1, 0.5, 1.0)  # before it is tried again
WAIT = 0.5  # seconds for last words of a node that the list calls gone
LOOK = 0.5
MOVED = 0.5  # seconds for the end of a session that was moved, which comes from its node by itself
EACH = 8  # connections to one node at most; set-ups out at one node at a time are fewer by far
UNSAID = 64  # messages kept for a node that is out of reach
NOTES = {"got": "delivered", "level": "rung", "port": "link_asked", "spine": "uplink_asked"}
REFUSALS = {453: "full", 454: "not_sent", 504: "broken"}  # else: an error
ENDS = {16: "ok", 31: "withdrawn"}  # else: broken
CUT, LOST = 31, 41  # causes: ended by a front; broken off


class Ask:
    """A set-up on its way to a node, or out there."""

    __slots__ = ("nodes", "node", "held", "number", "road", "sent", "began", "span", "limit", "settled",
                 "state", "tries")

    def __init__(self, nodes: "Nodes", node: "Node", held: Held, number: int, span: float) -> None:
        self.nodes, self.node, self.held, self.number, self.span = nodes, node, held, number, span
        self.began, self.road, self.sent, self.settled, self.tries = time.monotonic(), None, False, False, 0
        self.state = node.row.state
        self.limit = nodes.timers.after(span, self.stop, "late")

    @property
    def play(self) -> str:
        return self.held.facts.play

    def withdraw(self) -> None:
        """End it now; the node is told, and the driver, before this returns."""
        self.stop("withdrawn")

    def stop(self, how: str) -> None:
        if self.settled:
            return
        if self.sent:
            self.nodes.give_up(self)
        self.settle(how if self.sent else "not_sent", {})

    def settle(self, how: str, report: dict) -> None:
        if self.settled:
            return
        self.settled = True
        self.limit.cancel()
        if how == "late":
            self.nodes.silences.doubt(self.node.row.zone, time.monotonic())
        if self.road is not None:
            self.road.asks.pop(self.play, None)
            self.road.used = time.monotonic()
        self.nodes.driver.set_up_ended(self.held, self.number, self.node.id, how,
                                       time.monotonic() - self.began, report)


class Road:
    """One connection to a node."""

    __slots__ = ("line", "node", "reader", "asks", "given", "probes", "heard", "used", "tired", "limit")

    def __init__(self, node: "Node") -> None:
        self.node, self.reader = node, rtsp.Reader()
        self.asks: dict[str, Ask] = {}  # open on it, or waiting for it to come up
        self.given: dict[str, None] = {}  # given up; an answer may cross
        self.probes: dict[str, float] = {}
        self.heard = self.used = time.monotonic()
        self.tired, self.limit, self.line = False, None, None

    @property
    def idle(self) -> bool:
        """Whether nothing is waited for on it."""
        return not self.asks and not self.probes


class Node:
    """One listed node."""

    def __init__(self, row: NodeRow, address: tuple[str, int]) -> None:
        self.id, self.row, self.address = row.node, row, address
        self.roads: list[Road] = []
        self.standing: dict[str, int] = {}  # session -> when it began, on the module's clock
        self.moved: dict[str, object] = {}  # session moved -> when it is cut, if nothing was heard of its end
        self.unsaid: list[bytes] = []
        self.missed, self.pause, self.heard = 0, None, time.monotonic()

    def open_roads(self) -> list[Road]:
        """Connections that are up and trusted, the latest heard of first."""
        return sorted((r for r in self.roads if r.line.open and not r.tired), key=lambda r: -r.heard)


class Nodes:
    """All nodes, and all connections to them: `most` at once."""

    def __init__(self, driver: Driver, loop, timers, most: int, log, seed: int) -> None:
        self.driver, self.loop, self.timers, self.most, self.log = driver, loop, timers, most, log
        self.nodes: dict[str, Node] = {}
        self.roads: dict[Line, Road] = {}
        self.connect_limit = driver.card["permissions.connect_timeout"] / SECOND
        self.streams = max(1, int(driver.card.get("permissions.streams_per_conn", 1)))
        self.probes, self.seed = 0, seed & 0xFFFFFFFF
        self.closed = False
        self.silences = Silences(LOOK, SURE, self.connect_limit)
        self.ways_in = WaysIn(seed, driver.card.get("fronts", 1))
        timers.after(LOOK, self.look)

    # ---- the list

    def listed(self, rows: list[tuple[NodeRow, tuple[str, int]]], whole: bool) -> None:
        """Follow the list, before the module is told of it."""
        named = set()
        for row, address in rows:
            named.add(row.node)
            node = self.nodes.get(row.node)
            if node is None:
                if row.state != "gone":
                    self.nodes[row.node] = Node(row, address)
                continue
            old, node.row = node.row, row
            if address != node.address:
                node.address = address
                self.shut(node)
            elif row.started > old.started:
                # Danger: sessions of the process before are over, and no release tells of it.
                for play in [p for p, began in node.standing.items() if began < row.started]:
                    self.over(node, play, "broken", LOST)
            if row.state == "gone" != old.state:
                self.timers.after(WAIT, self.left, node)
        for node in [n for n in self.nodes.values() if whole and n.id not in named and n.row.state != "gone"]:
            node.row = node.row._replace(state="gone")
            self.timers.after(WAIT, self.left, node)

    def left(self, node: Node) -> None:
        """A node is gone and has had time for its last words."""
        if self.nodes.get(node.id) is node and node.row.state == "gone":
            self.lost(node)
            self.shut(node)
            del self.nodes[node.id]

    def lost(self, node: Node) -> None:
        for play in list(node.standing):
            self.over(node, play, "broken", LOST)

    def shut(self, node: Node) -> None:
        for road in list(node.roads):
            road.line.end("reset")

    # ---- connections

    def road(self, node: Node) -> Road | None:
        """A new connection on its way; None where no more may be had."""
        if len(self.roads) >= self.most and not self.make_room():
            return None
        road = Road(node)
        try:
            road.line = connect(self.loop, node.address, self)
        except OSError as err:
            self.log.warning("no connection", node=node.id, why=err.strerror)
            return None
        road.limit = self.timers.after(self.connect_limit, road.line.end, "unreached")
        self.roads[road.line] = road
        node.roads.append(road)
        return road

    def make_room(self) -> bool:
        free = [r for r in self.roads.values() if r.idle]
        spare = [r for r in free if len(r.node.roads) > 1 or not r.node.standing] or free
        if not spare:
            return False
        self.close(min(spare, key=lambda r: r.used))
        return True

    def pick(self, node: Node) -> Road | None:
        """The connection for a set-up: an idle one, else a new one, else the one with the fewest open."""
        for road in node.open_roads():
            if road.asks:
                continue
            if not road.line.dead():
                return road
            self.loop.call_soon(road.line.readable)
            road.tired = True
        most = max(1, min(EACH, self.most // max(1, len(self.nodes))))
        if len(node.roads) < most:
            road = self.road(node)
            if road is not None:
                return road
        shared = [r for r in node.roads if not r.tired and len(r.asks) < self.streams]
        return min(shared, key=lambda r: len(r.asks), default=None)

    def opened(self, line: Line) -> None:
        road = self.roads[line]
        road.limit.cancel()
        node, now = road.node, time.monotonic()
        road.heard = node.heard = now
        node.missed = 0
        unsaid, node.unsaid = node.unsaid, []
        for data in unsaid:
            line.send(data)
        for ask in list(road.asks.values()):
            self.go(ask, road)
        for quiet in [r for r in node.roads if r is not road and r.idle and now - r.heard > QUIET]:
            self.close(quiet)  # it may be dead without a word; this one lives

    def ended(self, line: Line, why: str) -> None:
        """A connection is gone. What was never handed to it may go by another; the rest may have run."""
        road = self.roads.pop(line, None)
        if road is None:
            return
        node = road.node
        node.roads.remove(road)
        road.limit.cancel()
        came_up = line.reading
        if not came_up:
            node.missed += 1
        if why == "unreached":
            self.silences.doubt(node.row.zone, time.monotonic())
        for name in list(road.probes):
            self.probe_ended(road, name, "unreached" if not came_up else "broken", {})
        for ask in list(road.asks.values()):
            road.asks.pop(ask.play, None)
            ask.road = None
            if ask.sent:
                if why == "spoilt":
                    self.cut(node, ask.play)
                ask.settle("error" if why == "spoilt" else "broken", {})
            elif came_up and not ask.tries:
                ask.tries += 1  # nothing was handed over: another connection may be the better one
                self.start(ask)
            else:
                ask.settle("unreached", {})
        self.keep(node)

    def close(self, road: Road) -> None:
        """Close a connection that has nothing open on it."""
        self.roads.pop(road.line, None)
        road.node.roads.remove(road)
        road.limit.cancel()
        road.line.close()

    def keep(self, node: Node) -> None:
        """Where sessions stand the node needs a way to say that one is over."""
        if self.closed or not node.standing or self.nodes.get(node.id) is not node:
            return
        # Danger: a machine that vanished leaves a connection that stays open and says nothing.
        silent = time.monotonic() - node.heard > QUIET
        if node.missed >= SURE and (silent or not node.roads):
            self.log.warning("a node can't be reached; its sessions are over", node=node.id,
                             sessions=len(node.standing))
            self.lost(node)
        elif not node.roads and node.pause is None:
            pause = PAUSES[min(node.missed - 1, len(PAUSES) - 1)] if node.missed else 0.0
            node.pause = self.timers.after(pause, self.reach, node)

    def reach(self, node: Node) -> None:
        node.pause = None
        if (not self.closed and self.nodes.get(node.id) is node and not node.roads and node.standing
                and self.road(node) is None):
            node.pause = self.timers.after(PAUSES[-1], self.reach, node)

    def look(self) -> None:
        """Connections long idle are closed before the node does it; silent nodes are reached anew."""
        now = time.monotonic()
        idle = self.driver.card.get("permissions.idle_close", 15 * SECOND) / SECOND * 0.6
        for node in list(self.nodes.values()):
            for road in [r for r in node.roads if r.idle and r.line.open]:
                if road.tired or (now - max(road.used, road.heard) > idle and
                                  (len(node.roads) > 1 or not node.standing)):
                    self.close(road)
            if node.standing and node.row.state != "gone":
                if not node.roads:
                    self.keep(node)
                elif (now - node.heard > self.silences.allowed(node.row.zone, now)
                      and all(r.line.open for r in node.roads)):
                    self.road(node)
        if not self.closed:
            self.timers.after(LOOK, self.look)

    # ---- what is asked of a node

    def set_up(self, held: Held, number: int, name: str, span: float) -> Ask | None:
        """Ask a node to set a session up; None where it is not listed or the session is closed."""
        node = self.nodes.get(name)
        if node is None or held.answered:
            return None
        ask = Ask(self, node, held, number, span)
        self.start(ask)
        return ask

    def start(self, ask: Ask) -> None:
        road = self.pick(ask.node)
        if road is None:
            # ends after this returns: the driver has yet to note the allocation
            self.loop.call_soon(ask.settle, "unreached", {})
            return
        ask.road = road
        road.asks[ask.play] = ask
        if road.line.open:
            self.go(ask, road)

    def go(self, ask: Ask, road: Road) -> None:
        """Hand the set-up over."""
        held, node = ask.held, ask.node
        # Danger: it may have waited for its connection: a drain told meanwhile, or a viewer gone, stops it.
        if held.answered or held.closed or node.row.state != ask.state:
            self.loop.call_soon(ask.settle, "not_sent", {})
            return
        left = ask.span - (time.monotonic() - ask.began)
        facts = held.facts
        data = rtsp.request("SETUP", facts.title, facts.play, 1, held.exchange.description,
                            Subject=facts.product, X_Patience=str(max(1, int(left * 1000))),
                            X_Rung=str(held.rung))
        road.given.pop(facts.play, None)
        road.used = time.monotonic()
        ask.sent = road.line.send(data)

    def give_up(self, ask: Ask) -> None:
        """Tell the node that its answer is not waited for; one that crosses is cut."""
        road, play = ask.road, ask.play
        if road is None:
            return
        road.line.send(rtsp.request("TEARDOWN", ask.held.facts.title, play, 2))
        road.given[play] = None
        if len(road.given) > UNSAID:
            del road.given[next(iter(road.given))]
        if road.heard < ask.began:
            road.tired = True  # nothing has come since: it may be dead without a word

    def release(self, name: str, play: str, cause: int) -> None:
        """End a session that stands at a node."""
        node = self.nodes.get(name)
        if node is not None and node.standing.pop(play, None) is not None:
            self.cut(node, play, cause)

    def cut(self, node: Node, play: str, cause: int = CUT) -> None:
        """End what stands there, or may stand though no answer told so."""
        self.say(node, rtsp.request("TEARDOWN", play, play, 2, Reason=f"cause={cause}"))

    def end(self, name: str, play: str, number: int, why: str) -> None:
        """The driver ends what may run; what was open was given up when its ask ended."""
        node = self.nodes.get(name)
        if why == "moved" and node is not None and node.standing.pop(play, None) is not None:
            # Danger: a node told first cuts the session; its viewer is owed a release in place of the move.
            node.moved[play] = self.timers.after(MOVED, self.unmoved, node, play)
        else:
            self.release(name, play, CUT)

    def unmoved(self, node: Node, play: str) -> None:
        """The platform has not ended a moved session: it was over before; its viewer is owed a release."""
        del node.moved[play]
        self.cut(node, play)
        self.driver.viewers.over(play, LOST)

    def set_rung(self, name: str, play: str, number: int, rung: int) -> None:
        node = self.nodes.get(name)
        if node is not None and play in node.standing:
            self.say(node, rtsp.request("SET_PARAMETER", play, play, 4, X_Rung=str(rung)))

    def say(self, node: Node, data: bytes) -> None:
        """Say something that wants no answer, on an open connection, or on the next."""
        for road in node.open_roads():
            if road.line.send(data):
                return
        if node.row.state != "gone" and len(node.unsaid) < UNSAID:
            node.unsaid.append(data)
            if all(r.line.open for r in node.roads):
                self.road(node)

    def probe(self, name: str) -> None:
        node = self.nodes.get(name)
        road = node and self.pick_any(node)
        if road is None:
            self.loop.call_soon(self.driver.hear, "probed", name, "unreached" if node else "not_sent", 0, {})
            return
        self.probes += 1
        session = f"{self.seed:08x}{self.probes & 0xFFFFFFFF:08x}"
        road.probes[session] = time.monotonic()
        self.timers.after(PROBE, self.probe_late, road, session)
        data = rtsp.request("OPTIONS", "load", session, 3)
        if road.line.open:
            road.line.send(data)
        else:
            node.unsaid.append(data)

    def pick_any(self, node: Node) -> Road | None:
        """For a small question: any open connection, else one on its way, else a new one."""
        sound = node.open_roads() or [r for r in node.roads if not r.tired]
        return sound[0] if sound else self.road(node)

    def probe_late(self, road: Road, session: str) -> None:
        if session in road.probes:
            if road.heard < road.probes[session]:
                road.tired = True
            self.probe_ended(road, session, "late", {})

    def probe_ended(self, road: Road, session: str, how: str, report: dict) -> None:
        began = road.probes.pop(session, None)
        if began is not None:
            took = int((time.monotonic() - began) * SECOND)
            self.driver.hear("probed", road.node.id, how, took, report)

    # ---- what a node says

    def heard(self, line: Line, data: bytes) -> None:
        road = self.roads[line]
        road.heard = road.node.heard = time.monotonic()
        for message in road.reader.feed(data):
            self.take(road, message)
            if line.over:
                return
        if road.reader.why:
            self.log.warning("a node can't be read", node=road.node.id, why=road.reader.why)
            line.end("spoilt")

    def take(self, road: Road, message: rtsp.Message) -> None:
        node, play = road.node, message.session
        if message.method == "TEARDOWN":
            road.line.send(rtsp.response(200, "OK", message))
            ask, cause = road.asks.get(play), message.cause()
            if ask is not None and ask.sent:
                if cause == 16 and message.body:
                    # so short that its end comes with its answer; the play ran, and the node is sound
                    self.answered(road, message._replace(status=200))
                    if play in node.standing:
                        self.over(node, play, "ok", cause)
                else:
                    ask.settle("broken", self.report(message))
            elif play in node.moved:
                node.moved.pop(play).cancel()
                self.driver.viewers.over(play, cause or LOST, cause != CUT)
            elif play in node.standing:
                self.over(node, play, ENDS.get(cause, "broken"), cause or LOST, cause != CUT)
        elif message.method == "ANNOUNCE":
            self.note(node, play, message.fields)
        elif message.method:
            pass  # a move or a test is not for a front to hear
        elif play in road.probes:
            if message.status >= 200:
                how = "ok" if message.status == 200 else "error"
                self.probe_ended(road, play, how, self.report(message))
        elif message.fields["cseq"] == "1" and message.status >= 200:
            self.answered(road, message)

    def answered(self, road: Road, message: rtsp.Message) -> None:
        """The answer to a set-up. A second copy, or one of an unknown id, is nobody's."""
        node, play = road.node, message.session
        ask = road.asks.get(play)
        if ask is None or not ask.sent:
            if message.status == 200 and play in road.given and play not in node.standing:
                del road.given[play]
                self.cut(node, play)
            return
        if message.status == 200:
            if not message.body:
                ask.settle("error", {})
                self.cut(node, play)
                return
            ask.held.exchange.answer = message.body
            node.standing[play] = self.driver.clock.now()
            ask.settle("ok", self.report(message))
        else:
            ask.settle(REFUSALS.get(message.status, "error"), self.report(message))

    def note(self, node: Node, play: str, fields: dict[str, str]) -> None:
        kind = NOTES.get(fields.get("x-note", ""))
        try:
            value = float(fields.get("x-value", ""))
        except ValueError:
            return
        if kind and play in node.standing:
            self.driver.noted(play, node.id, kind, value)

    def report(self, message: rtsp.Message) -> dict[str, float]:
        try:
            return report_of(message.fields.get("x-state", ""), ";")
        except ValueError:
            return {}

    def over(self, node: Node, play: str, how: str, cause: int, owed: bool = True) -> None:
        """A session that stood is over: its viewer is told, then the module."""
        node.standing.pop(play, None)
        self.driver.viewers.over(play, cause, owed)
        self.driver.play_ended(play, how)

    def adopt(self, play: str, name: str) -> bool:
        """A session stands at a node from before this process began."""
        node = self.nodes.get(name)
        if node is None:
            return False
        node.standing[play] = self.driver.clock.now()
        if not node.roads and node.pause is None:
            node.pause = self.timers.after(self.ways_in.wait(), self.reach, node)
        return True

    def event(self, node: str, event) -> None:
        """Nothing is kept back here: what concerns a session comes on its own connection, in order."""

    def close_all(self) -> None:
        self.closed = True
        for road in list(self.roads.values()):
            self.close(road)
