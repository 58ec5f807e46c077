"""Nodes' side: connections to each playout node, set-ups out on them, reports, the sessions that stand there.

A node is known by its id: another may come to stand at the address of one that is gone. A connection holds
one open set-up where there is room for that, so that one that is spoilt or reset costs no other.
"""

import time

from curlewhall.codecs import rtsp
from curlewhall.front.driver import TICKS_PER_SECOND, ActivePlay, Driver
from curlewhall.interface import NodeRow
from curlewhall.platform_names import parse_load_report
from curlewhall.wire.transport import Transport, connect

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
SPENT = 256  # set-ups that failed on a connection until it gets no more: far more than fail in its usual life
TORN = 0.05  # seconds in which the rest of an answer comes, once it has begun
NOTES = {"got": "delivered", "level": "rung", "port": "link_asked", "spine": "uplink_asked"}
REFUSALS = {453: "full", 454: "not_sent", 504: "broken"}  # else: an error
ENDS = {16: "ok", 31: "withdrawn"}  # else: broken
CUT, LOST = 31, 41  # causes: ended by a front; broken off
WAITING, SENT, SETTLED = "waiting", "sent", "settled"


class SetUp:
    """A set-up on its way to a node. Its states: `WAITING` for a connection, or for the end of an earlier one
    of the same play there; `SENT`; `SETTLED`, once, in one of the endings of `curlewhall.interface`.
    """

    __slots__ = (
        "nodes",
        "node",
        "active_play",
        "number",
        "connection",
        "state",
        "began",
        "span",
        "limit",
        "stamp",
        "tries",
        "waited",
    )

    def __init__(
        self, nodes: "Nodes", node: "Node", active_play: ActivePlay, number: int, span: float
    ) -> None:
        self.nodes, self.node, self.active_play, self.number, self.span = (
            nodes,
            node,
            active_play,
            number,
            span,
        )
        self.began, self.connection, self.state, self.tries = time.monotonic(), None, WAITING, 0
        self.stamp, self.waited = node.stamp, False
        self.limit = nodes.timers.after(span, self.stop, "late")

    @property
    def play(self) -> str:
        return self.active_play.info.play

    def withdraw(self) -> None:
        """End it now; the node is told, and the driver, before this returns."""
        self.stop("withdrawn")

    def stop(self, how: str) -> None:
        if self.state == SETTLED:
            return
        connection, sent = self.connection, self.state == SENT
        if sent:
            self.nodes.give_up(self)
        self.settle(how if sent else "not_sent", {})
        if sent and connection.reader.data and time.monotonic() - connection.heard > TORN:
            # Danger: an answer that broke off would be gone on with by the next one.
            connection.transport.end("spoilt")

    def settle(self, how: str, report: dict) -> None:
        if self.state == SETTLED:
            return
        sent, self.state = self.state == SENT, SETTLED
        self.limit.cancel()
        if how == "late":
            self.nodes.silences.doubt(self.node.row.zone, time.monotonic())
        if self.connection is not None:
            self.connection.released(self.play, sent and how != "ok")
        self.nodes.driver.allocation_ended(
            self.active_play, self.number, self.node.id, how, time.monotonic() - self.began, report
        )


class Connection:
    """One connection to a node."""

    __slots__ = (
        "transport",
        "node",
        "reader",
        "set_ups",
        "spent",
        "probes",
        "heard",
        "used",
        "tired",
        "limit",
    )

    def __init__(self, node: "Node") -> None:
        self.node, self.reader = node, rtsp.Reader()
        self.set_ups: dict[str, SetUp] = {}  # open on it, or waiting for it to come up
        self.spent: dict[str, bool] = {}  # plays whose set-ups failed here -> given up: an answer may cross
        self.probes: dict[str, float] = {}
        self.heard = self.used = time.monotonic()
        self.tired, self.limit, self.transport = False, None, None  # tired: gets no set-up any more

    @property
    def idle(self) -> bool:
        """Whether nothing is waited for on it."""
        return not self.set_ups and not self.probes

    def takes(self, play: str) -> bool:
        """Whether a set-up of this play may go out on it.

        Danger: an answer names session and `CSeq` alone. A late copy of the answer to an earlier set-up of
        the play would be taken for that to the next; one that broke off would be gone on with.
        """
        return not self.tired and play not in self.spent and not self.reader.data

    def released(self, play: str, failed: bool) -> None:
        """A set-up is over here."""
        self.set_ups.pop(play, None)
        self.used = time.monotonic()
        if failed:
            self.spent.setdefault(play, False)
            self.tired = self.tired or len(self.spent) > SPENT


class Node:
    """One listed node."""

    def __init__(self, row: NodeRow, address: tuple[str, int]) -> None:
        self.id, self.row, self.address = row.node, row, address
        self.connections: list[Connection] = []
        self.standing: dict[str, int] = {}  # session -> when it began, on the module's clock
        self.moved: dict[str, object] = {}  # session moved -> when it is cut, if nothing was heard of its end
        self.unsaid: list[bytes] = []
        self.ending: dict[str, tuple[int, float]] = {}  # session -> TEARDOWNs not heard of; the last
        self.behind: dict[str, SetUp] = {}  # session -> a set-up that waits for them
        self.missed, self.pause, self.heard = 0, None, time.monotonic()

    @property
    def stamp(self) -> tuple:
        """What must be as it was while a set-up waits: a drain may be told, or a process start anew."""
        return self.row.state, self.row.started, self.address

    def open_connections(self) -> list[Connection]:
        """Those that are up and trusted, the latest heard of first."""
        sound = (c for c in self.connections if c.transport.open and not c.tired)
        return sorted(sound, key=lambda c: -c.heard)


class Nodes:
    """All nodes, and all connections to them: `most` at once."""

    def __init__(self, driver: Driver, loop, timers, most: int, log, seed: int) -> None:
        self.driver, self.loop, self.timers, self.most, self.log = driver, loop, timers, most, log
        self.nodes: dict[str, Node] = {}
        self.connections: dict[Transport, Connection] = {}
        self.connect_limit = driver.start_settings["permissions.connect_timeout"] / TICKS_PER_SECOND
        self.streams = max(1, int(driver.start_settings.get("permissions.streams_per_conn", 1)))
        self.probes, self.seed = 0, seed & 0xFFFFFFFF
        self.closed = False
        self.silences = Silences(LOOK, SURE, self.connect_limit)
        self.ways_in = WaysIn(seed, driver.start_settings.get("fronts", 1))
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
            if row.started > old.started:
                # Danger: sessions of the process before are over, and no release tells of it.
                for play in [p for p, began in node.standing.items() if began < row.started]:
                    self.over(node, play, "broken", LOST)
            if address != node.address:
                node.address = address
                self.shut(node)
            if row.state == "gone" != old.state:
                self.timers.after(WAIT, self.left, node)
        for node in [n for n in self.nodes.values() if whole and n.id not in named and n.row.state != "gone"]:
            node.row = node.row._replace(state="gone")
            self.timers.after(WAIT, self.left, node)

    def left(self, node: Node) -> None:
        """A node is gone and has had time for its last words."""
        if self.lists(node) and node.row.state == "gone":
            # Danger: out of the table first. What its connections' ends start anew would open others to it,
            # and nothing would ever close those.
            del self.nodes[node.id]
            self.lost(node)
            self.shut(node)

    def lists(self, node: Node) -> bool:
        return self.nodes.get(node.id) is node

    def lost(self, node: Node) -> None:
        for play in list(node.standing):
            self.over(node, play, "broken", LOST)

    def shut(self, node: Node) -> None:
        for connection in list(node.connections):
            connection.transport.end("reset")

    # ---- connections

    def open(self, node: Node) -> Connection | None:
        """A new connection on its way; None where no more may be had."""
        if not self.lists(node) or len(self.connections) >= self.most and not self.make_room():
            return None
        connection = Connection(node)
        try:
            connection.transport = connect(self.loop, node.address, self)
        except OSError as err:
            self.log.warning("no connection", node=node.id, why=err.strerror)
            return None
        connection.limit = self.timers.after(self.connect_limit, connection.transport.end, "unreached")
        self.connections[connection.transport] = connection
        node.connections.append(connection)
        return connection

    def make_room(self) -> bool:
        free = [c for c in self.connections.values() if c.idle]
        spare = [c for c in free if len(c.node.connections) > 1 or not c.node.standing] or free
        return any(self.retire(c) for c in sorted(spare, key=lambda c: c.used))

    def pick(self, node: Node, play: str) -> Connection | None:
        """The connection for a set-up: an idle one, else a new one, else the one with the fewest open."""
        for connection in node.open_connections():
            if connection.set_ups or not connection.takes(play):
                continue
            if not connection.transport.dead():
                return connection
            self.loop.call_soon(connection.transport.readable)
            connection.tired = True
        most = max(1, min(EACH, self.most // max(1, len(self.nodes))))
        if len(node.connections) < most:
            connection = self.open(node)
            if connection is not None:
                return connection
        shared = [c for c in node.connections if c.takes(play) and len(c.set_ups) < self.streams]
        return min(shared, key=lambda c: len(c.set_ups), default=None)

    def opened(self, transport: Transport) -> None:
        connection = self.connections[transport]
        connection.limit.cancel()
        node, now = connection.node, time.monotonic()
        connection.heard = node.heard = now
        node.missed = 0
        while node.unsaid and transport.send(node.unsaid[0]):
            node.unsaid.pop(0)
        for session in connection.probes:
            transport.send(probe(session))
        for set_up in list(connection.set_ups.values()):
            self.go(set_up, connection)
        for quiet in [c for c in node.connections if c is not connection and now - c.heard > QUIET]:
            self.retire(quiet)  # it may be dead without a word; this one lives

    def ended(self, transport: Transport, why: str) -> None:
        """A connection is gone. What was never handed to it may go by another; the rest may have run."""
        connection = self.connections.pop(transport, None)
        if connection is None:
            return
        node, torn = connection.node, bool(connection.reader.data)
        node.connections.remove(connection)
        connection.limit.cancel()
        if not transport.came_up:
            node.missed += 1
        if why == "unreached":
            self.silences.doubt(node.row.zone, time.monotonic())
        for name in list(connection.probes):
            self.probe_ended(connection, name, "broken" if transport.came_up else "unreached", {})
        for set_up in list(connection.set_ups.values()):
            connection.set_ups.pop(set_up.play, None)
            set_up.connection = None
            if set_up.state == SENT:
                if why == "spoilt" or torn:
                    # Danger: its answer was on the way, so it stands there, and nobody would ever end it
                    self.cut(node, set_up.play)
                set_up.settle("error" if why == "spoilt" else "broken", {})
            elif transport.came_up and not set_up.tries:
                set_up.tries += 1  # nothing was handed over: another connection may be the better one
                self.start(set_up)
            else:
                set_up.settle("unreached", {})
        for play in [play for play, given_up in connection.spent.items() if given_up]:
            self.heard_end(node, play)  # with its connection, at the latest
        self.keep(node)

    def retire(self, connection: Connection) -> bool:
        """Close a connection that is not needed; whether it is closed. The only place that does.

        Danger: what its node has just written there, the end of a session for one, would be lost.
        """
        if not connection.idle or connection.transport.queue:
            return False
        if connection.transport.unread():
            self.loop.call_soon(connection.transport.readable)
            return False
        self.forget(connection)
        return True

    def forget(self, connection: Connection) -> None:
        self.connections.pop(connection.transport, None)
        connection.node.connections.remove(connection)
        connection.limit.cancel()
        connection.transport.close()

    def keep(self, node: Node) -> None:
        """Where sessions stand the node needs a way to say that one is over."""
        if self.closed or not node.standing or not self.lists(node):
            return
        # Danger: a machine that vanished leaves a connection that stays open and says nothing.
        silent = time.monotonic() - node.heard > QUIET
        if node.missed >= SURE and (silent or not node.connections):
            self.log.warning(
                "a node can't be reached; its sessions are over", node=node.id, sessions=len(node.standing)
            )
            self.lost(node)
        elif not node.connections and node.pause is None:
            pause = PAUSES[min(node.missed - 1, len(PAUSES) - 1)] if node.missed else 0.0
            node.pause = self.timers.after(pause, self.reach, node)

    def reach(self, node: Node) -> None:
        node.pause = None
        if (
            not self.closed
            and self.lists(node)
            and not node.connections
            and node.standing
            and self.open(node) is None
        ):
            node.pause = self.timers.after(PAUSES[-1], self.reach, node)

    def look(self) -> None:
        """Connections long idle are closed before the node does it; silent nodes are reached anew."""
        now = time.monotonic()
        idle = (
            self.driver.start_settings.get("permissions.idle_close", 15 * TICKS_PER_SECOND)
            / TICKS_PER_SECOND
            * 0.6
        )
        for node in list(self.nodes.values()):
            for connection in [c for c in node.connections if c.transport.open]:
                if connection.tired or (
                    now - max(connection.used, connection.heard) > idle
                    and (len(node.connections) > 1 or not node.standing)
                ):
                    self.retire(connection)
            for play in [p for p, (_, at) in node.ending.items() if now - at > self.connect_limit]:
                del node.ending[play]  # it is free to the node whether it says that it heard
            if node.standing and node.row.state != "gone":
                if not node.connections:
                    self.keep(node)
                elif now - node.heard > self.silences.allowed(node.row.zone, now) and all(
                    c.transport.open for c in node.connections
                ):
                    self.open(node)
        if not self.closed:
            self.timers.after(LOOK, self.look)

    # ---- what is asked of a node

    def set_up(self, active_play: ActivePlay, number: int, name: str, span: float) -> SetUp | None:
        """Ask a node to set a session up; None where it is not listed or the session is closed."""
        node = self.nodes.get(name)
        if node is None or active_play.answered:
            return None
        set_up = SetUp(self, node, active_play, number, span)
        if set_up.play in node.ending:
            # Danger: an earlier set-up of the play was given up there. Its TEARDOWN, on another connection,
            # may come after this one and end it.
            node.behind[set_up.play], set_up.waited = set_up, True
            self.timers.after(self.connect_limit, self.let_go, node, set_up)
        else:
            self.start(set_up)
        return set_up

    def let_go(self, node: Node, set_up: SetUp) -> None:
        """What was waited for is over, or was long enough on its way."""
        if node.behind.get(set_up.play) is set_up:
            del node.behind[set_up.play]
            if set_up.state == WAITING:
                self.start(set_up)

    def heard_end(self, node: Node, play: str) -> None:
        """A node has heard a TEARDOWN, or its connection has ended."""
        count, at = node.ending.pop(play, (0, 0.0))
        if count > 1:
            node.ending[play] = count - 1, at
        elif play in node.behind:
            self.let_go(node, node.behind[play])

    def start(self, set_up: SetUp) -> None:
        connection = self.pick(set_up.node, set_up.play) if self.lists(set_up.node) else None
        if connection is None:
            # ends after this returns: the driver has yet to note the allocation
            self.loop.call_soon(set_up.settle, "unreached", {})
            return
        set_up.connection = connection
        connection.set_ups[set_up.play] = set_up
        if connection.transport.open:
            self.go(set_up, connection)
        else:
            set_up.waited = True

    def go(self, set_up: SetUp, connection: Connection) -> None:
        """Hand the set-up over."""
        active_play, node = set_up.active_play, set_up.node
        # Danger: it may have waited for its connection. A drain told meanwhile, a process that has started
        # anew and is cold, or a viewer gone, stops it.
        if (
            active_play.answered
            or active_play.closed
            or node.stamp != set_up.stamp
            or set_up.waited
            and active_play.exchange.hung_up()
        ):
            self.loop.call_soon(set_up.settle, "not_sent", {})
            return
        left = set_up.span - (time.monotonic() - set_up.began)
        facts = active_play.info
        data = rtsp.request(
            "SETUP",
            facts.title,
            facts.play,
            1,
            active_play.exchange.description,
            Subject=facts.product,
            X_Patience=str(max(1, int(left * 1000))),
            X_Rung=str(active_play.rung),
        )
        connection.used = time.monotonic()
        if connection.transport.send(data):
            set_up.state = SENT

    def give_up(self, set_up: SetUp) -> None:
        """Tell the node that its answer is not waited for; one that crosses is cut."""
        connection, play = set_up.connection, set_up.play
        self.end_told(
            set_up.node,
            play,
            connection.transport.send(rtsp.request("TEARDOWN", set_up.active_play.info.title, play, 2)),
        )
        connection.spent[play] = True
        if connection.heard < set_up.began:
            connection.tired = True  # nothing has come since: it may be dead without a word

    def end_told(self, node: Node, play: str, went: bool) -> None:
        """A TEARDOWN went out, or not; the node may say that it heard it."""
        if went:
            node.ending[play] = node.ending.get(play, (0, 0.0))[0] + 1, time.monotonic()

    def release(self, name: str, play: str, cause: int) -> None:
        """End a session that stands at a node."""
        node = self.nodes.get(name)
        if node is not None and node.standing.pop(play, None) is not None:
            self.cut(node, play, cause)

    def cut(self, node: Node, play: str, cause: int = CUT) -> None:
        """End what stands there, or may stand though no answer told so."""
        data = rtsp.request("TEARDOWN", play, play, 2, Reason=f"cause={cause}")
        self.end_told(node, play, self.say(node, data))

    def end(self, name: str, play: str, number: int, why: str) -> None:
        """The driver ends what may run; what was open was given up when its set-up ended."""
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

    def say(self, node: Node, data: bytes) -> bool:
        """Say something that wants no answer, on an open connection, or on the next. Whether it went out."""
        for connection in node.open_connections():
            if connection.transport.send(data):
                return True
        if node.row.state != "gone" and len(node.unsaid) < UNSAID:
            node.unsaid.append(data)
            if all(c.transport.open for c in node.connections):
                self.open(node)
        return False

    def probe(self, name: str) -> None:
        node = self.nodes.get(name)
        connection = node and self.pick_any(node)
        if connection is None:
            self.loop.call_soon(
                self.driver.dispatch, "probed", name, "unreached" if node else "not_sent", 0, {}
            )
            return
        self.probes += 1
        session = f"{self.seed:08x}{self.probes & 0xFFFFFFFF:08x}"
        connection.probes[session] = time.monotonic()
        self.timers.after(PROBE, self.probe_late, connection, session)
        if connection.transport.open:
            connection.transport.send(probe(session))  # else once it is up

    def pick_any(self, node: Node) -> Connection | None:
        """For a small question: any open connection, else one on its way, else a new one."""
        sound = node.open_connections() or [c for c in node.connections if not c.tired]
        return sound[0] if sound else self.open(node)

    def probe_late(self, connection: Connection, session: str) -> None:
        if session in connection.probes:
            if connection.heard < connection.probes[session]:
                connection.tired = True
            self.probe_ended(connection, session, "late", {})

    def probe_ended(self, connection: Connection, session: str, how: str, report: dict) -> None:
        began = connection.probes.pop(session, None)
        if began is not None:
            took = int((time.monotonic() - began) * TICKS_PER_SECOND)
            self.driver.dispatch("probed", connection.node.id, how, took, report)

    # ---- what a node says

    def heard(self, transport: Transport, data: bytes) -> None:
        connection = self.connections[transport]
        connection.heard = connection.node.heard = time.monotonic()
        for message in connection.reader.feed(data):
            self.take(connection, message)
            if transport.over:
                return
        if connection.reader.why:
            self.log.warning("a node can't be read", node=connection.node.id, why=connection.reader.why)
            transport.end("spoilt")

    def take(self, connection: Connection, message: rtsp.Message) -> None:
        node, play = connection.node, message.session
        if message.method == "TEARDOWN":
            connection.transport.send(rtsp.response(200, "OK", message))
            set_up, cause = connection.set_ups.get(play), message.cause()
            if set_up is not None and set_up.state == SENT:
                if cause == 16 and message.body:
                    # so short that its end comes with its answer; the play ran, and the node is sound
                    self.answered(connection, message._replace(status=200))
                    if play in node.standing:
                        self.over(node, play, "ok", cause)
                else:
                    set_up.settle("broken", self.report(message))
            elif play in node.moved:
                node.moved.pop(play).cancel()
                self.driver.viewers.over(play, cause or LOST, cause != CUT)
            elif play in node.standing:
                self.over(node, play, ENDS.get(cause, "broken"), cause or LOST, cause != CUT)
        elif message.method == "ANNOUNCE":
            self.note(node, play, message.fields)
        elif message.method:
            pass  # a move or a test is not for a front to hear
        elif play in connection.probes:
            if message.status >= 200:
                how = "ok" if message.status == 200 else "error"
                self.probe_ended(connection, play, how, self.report(message))
        elif message.status >= 200 and message.fields["cseq"] == "1":
            self.answered(connection, message)
        elif message.status >= 200 and message.fields["cseq"] == "2":
            self.heard_end(node, play)

    def answered(self, connection: Connection, message: rtsp.Message) -> None:
        """The answer to a set-up. A second copy, or one of an unknown id, is nobody's."""
        node, play = connection.node, message.session
        set_up = connection.set_ups.get(play)
        if set_up is None or set_up.state != SENT:
            # Danger: cut by its name, a later set-up of the play at this node would end with it.
            elsewhere = play in node.standing or any(play in c.set_ups for c in node.connections)
            if message.status == 200 and connection.spent.get(play) and not elsewhere:
                connection.spent[play] = False
                self.cut(node, play)
            return
        if message.status == 200:
            if not message.body:
                set_up.settle("error", {})
                self.cut(node, play)
                return
            set_up.active_play.exchange.answer = message.body
            node.standing[play] = self.driver.clock.now()
            set_up.settle("ok", self.report(message))
        else:
            set_up.settle(REFUSALS.get(message.status, "error"), self.report(message))

    def note(self, node: Node, play: str, fields: dict[str, str]) -> None:
        kind = NOTES.get(fields.get("x-note", ""))
        try:
            value = float(fields.get("x-value", ""))
        except ValueError:
            return
        if kind and play in node.standing:
            self.driver.play_noted(play, node.id, kind, value)

    def report(self, message: rtsp.Message) -> dict[str, float]:
        try:
            return parse_load_report(message.fields.get("x-state", ""), ";")
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
        if not node.connections and node.pause is None:
            node.pause = self.timers.after(self.ways_in.wait(), self.reach, node)
        return True

    def event(self, node: str, event) -> None:
        """Nothing is kept back here: what concerns a session comes on its own connection, in order."""

    def close_all(self) -> None:
        self.closed = True
        for connection in list(self.connections.values()):
            self.forget(connection)


def probe(session: str) -> bytes:
    """The question for a report, which the platform takes for a test."""
    return rtsp.request("OPTIONS", "load", session, 3)
