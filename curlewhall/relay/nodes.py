"""Nodes' side: the connections to playout nodes, set-ups sent over them, load reports, and the sessions
there.

A node is known by its id: another may take over the address of one that is gone. A connection carries one
open set-up as long as further connections may be opened, so that a corrupt answer or a reset costs no other.
The `CSeq` of a request, which its response repeats, is 1 for SETUP, 2 for TEARDOWN, 3 for OPTIONS (a probe)
and 4 for SET_PARAMETER.
"""

import time
from asyncio import AbstractEventLoop

from curlewhall.codecs import rtsp
from curlewhall.front.driver import TICKS_PER_SECOND, ActivePlay, Driver
from curlewhall.interface import NodeRow
from curlewhall.platform_names import parse_load_report
from curlewhall.wire.timers import Timers
from curlewhall.wire.transport import Transport, connect

from .adoption import TEMPORARY_FAILURE, Adoption
from .decide import AdoptionLimits, NodeConnectDelays, SilenceTimeouts
from .node_state import ENDING, SENT, WAITING, Connection, Node, QueuedMessage, SetUp
from .null_objects import Log

PROBE_TIMEOUT_S = 0.25  # several times what a sound node takes
NODE_SILENCE_S = 3.0  # a connection silent for so long may be dead, though it is open
FAILED_CONNECTS_UNTIL_LOST = 2  # in a row, until a node's sessions are taken for ended
RECONNECT_DELAYS_S = (0.1, 0.5, 1.0)  # after the first, the second and any further failed connect
REMOVAL_DELAY_S = 0.5  # for the last messages of a node that the list calls gone
CHECK_INTERVAL_S = 0.5
CLOSE_TIMEOUT_S = 0.5  # for a node's close after this side's
DOUBT_S = 1.0  # without a byte after an answer was given up, until a connection gets no more set-ups
MOVED_SESSION_TIMEOUT_S = 0.5  # for the end of a moved session, which its node reports by itself
MAX_CONNECTIONS_PER_NODE = 8  # set-ups out at one node at a time are fewer by far
MAX_READS_AHEAD = 4  # of 16 KiB each: four messages of the longest kind
REST_TIMEOUT_S = 0.25  # for the rest of a message that has begun: a lost segment is sent again within it
MAX_QUEUED_MESSAGES = 64  # for a node that is out of reach
NOTE_KINDS = {"got": "delivered", "level": "rung", "port": "link_asked", "spine": "uplink_asked"}
ENDING_BY_STATUS = {453: "full", 454: "not_sent", 504: "broken"}  # of refused set-ups; any other: "error"
# release causes (ITU-T Q.850)
NORMAL_CLEARING = 16
ENDED_BY_FRONT = 31
ENDING_BY_CAUSE = {NORMAL_CLEARING: "ok", ENDED_BY_FRONT: "withdrawn"}  # of sessions; any other: "broken"


class Nodes:
    """All nodes, and all connections to them, at most `max_connections` at once; called by the driver."""

    def __init__(
        self,
        driver: Driver,
        loop: AbstractEventLoop,
        timers: Timers,
        max_connections: int,
        log: Log,
        seed: int,
    ) -> None:
        self.driver = driver
        self.loop = loop
        self.timers = timers
        self.max_connections = max_connections
        self.log = log
        self.nodes: dict[str, Node] = {}
        self.connections: dict[Transport, Connection] = {}
        self.connect_timeout_s = driver.start_settings["permissions.connect_timeout"] / TICKS_PER_SECOND
        self.streams_per_connection = max(
            1, int(driver.start_settings.get("permissions.streams_per_conn", 1))
        )
        self.probe_count = 0
        self.seed = seed & 0xFFFFFFFF
        self.closed = False
        self.silence_timeouts = SilenceTimeouts(
            CHECK_INTERVAL_S, FAILED_CONNECTS_UNTIL_LOST, self.connect_timeout_s
        )
        self.adoption = Adoption(self, AdoptionLimits(driver.start_settings, self.silence_timeouts))
        self.connect_delays = NodeConnectDelays(seed, driver.start_settings.get("fronts", 1))
        timers.after(CHECK_INTERVAL_S, self.check_connections)

    # ---- the list

    def update_list(self, rows: list[tuple[NodeRow, tuple[str, int]]], whole: bool) -> list[NodeRow]:
        """Follow the node list, before the module is told of it. `whole`: nodes that it doesn't name are
        gone. Returns rows of further nodes that are gone by what it names.
        """
        displaced = self.displaced_nodes(rows)
        rows = rows + [(node.row._replace(state="gone"), node.address) for node in displaced]
        named = set()
        for row, address in rows:
            named.add(row.node)
            node = self.nodes.get(row.node)
            if node is None:
                if row.state != "gone":
                    self.nodes[row.node] = Node(row, address)
                continue
            if row.state == "draining" and node.row.state == "gone":
                continue  # told late: another node may have its address
            old, node.row = node.row, row
            if row.started > old.started:
                # Sessions of the process before are over, and no release comes for them.
                for play in [p for p, began in node.sessions.items() if began < row.started]:
                    self.session_ended(node, play, "broken", TEMPORARY_FAILURE)
                for play in [p for p, s in node.unconfirmed.items() if s.named_at < row.started]:
                    self.adoption.lose(node, play)
            if address != node.address:
                node.address = address
                self.reset_connections(node)
            if row.state == "gone" != old.state:
                self.node_gone(node)
        for node in [n for n in self.nodes.values() if whole and n.id not in named and n.row.state != "gone"]:
            node.row = node.row._replace(state="gone")
            self.node_gone(node)
        return [node.row for node in displaced]

    def displaced_nodes(self, rows: list[tuple[NodeRow, tuple[str, int]]]) -> list[Node]:
        """Nodes whose address another one takes: the process there is another one now, whether or not the
        list has told yet that they are gone.
        """
        named = {row.node for row, _ in rows}
        takers = {address for row, address in rows if self.takes_address(row, address)}
        return [
            node
            for node in self.nodes.values()
            if node.row.state != "gone" and node.id not in named and node.address in takers
        ]

    def takes_address(self, row: NodeRow, address: tuple[str, int]) -> bool:
        """Whether a row names a node in service at an address at which it was not before."""
        node = self.nodes.get(row.node)
        return row.state == "serving" and (
            node is None or node.row.state == "gone" or node.address != address
        )

    def node_gone(self, node: Node) -> None:
        """The list calls a node gone. What it has sent is still read; a connection that is coming up may lead
        to another process, which has taken its address.
        """
        for connection in [c for c in node.connections if not c.transport.was_connected]:
            connection.transport.end("gone")
        self.timers.after(REMOVAL_DELAY_S, self.remove_node, node)

    def remove_node(self, node: Node) -> None:
        """Remove a node that is still gone after the time for its last messages."""
        if self.is_listed(node) and node.row.state == "gone":
            # First out of the table: the ends of its connections may start set-ups again, which would open
            # new connections to it that nothing ever closes.
            del self.nodes[node.id]
            self.lose_sessions(node)
            self.reset_connections(node)

    def is_listed(self, node: Node) -> bool:
        """Whether this node is still in the table, and not another of its name."""
        return self.nodes.get(node.id) is node

    def lose_sessions(self, node: Node) -> None:
        """Take all sessions of a node for ended."""
        for play in list(node.sessions):
            self.session_ended(node, play, "broken", TEMPORARY_FAILURE)
        for play in list(node.unconfirmed):
            self.adoption.lose(node, play)

    def reset_connections(self, node: Node) -> None:
        """End all connections to a node as if the node had reset them."""
        for connection in list(node.connections):
            connection.transport.end("reset")

    # ---- connections

    def open(self, node: Node, make_room: bool = True) -> Connection | None:
        """Begin to connect; None if the node is gone, or no further connection may be had. `make_room`: an
        idle connection may be closed for it.
        """
        if not self.is_listed(node) or node.row.state == "gone":
            return None
        if len(self.connections) >= self.max_connections and not (make_room and self.free_connection()):
            return None
        connection = Connection(node)
        try:
            connection.transport = connect(self.loop, node.address, self)
        except OSError as err:
            self.log.warning("can't open a connection to the node", node=node.id, why=err.strerror)
            return None
        connection.connect_timer = self.timers.after(
            self.connect_timeout_s, connection.transport.end, "unreached"
        )
        self.connections[connection.transport] = connection
        node.connections.append(connection)
        return connection

    def free_connection(self) -> bool:
        """Close an idle connection at once, to open another; False if none can be closed. The one that was
        unused longest, of a node without sessions if there is one; a node's only connection comes last.
        """
        for connection in sorted(
            (c for c in self.connections.values() if c.idle),
            key=lambda c: (c.node.holds_sessions, len(c.node.connections) < 2, c.last_used),
        ):
            if self.can_close(connection):
                self.close_connection(connection)
                self.note_lost_release(connection.node)
                self.adoption.reports_lost(connection.node)
                return True
        return False

    def choose_connection(self, node: Node, play: str) -> Connection | None:
        """The connection for a set-up: an idle one, else a new one, else the one with the fewest open."""
        for connection in node.open_connections():
            if connection.set_ups or not connection.accepts(play):
                continue
            if not connection.transport.closed_by_peer():
                return connection
            self.loop.call_soon(connection.transport.readable)
            connection.retiring = True
        most = max(1, min(MAX_CONNECTIONS_PER_NODE, self.max_connections // max(1, len(self.nodes))))
        if len(node.connections) < most:
            connection = self.open(node)
            if connection is not None:
                return connection
        shared = [
            c for c in node.connections if c.accepts(play) and len(c.set_ups) < self.streams_per_connection
        ]
        return min(shared, key=lambda c: len(c.set_ups), default=None)

    def connection_made(self, transport: Transport) -> None:
        """A connection has come up: send what waited for it."""
        connection = self.connections[transport]
        connection.connect_timer.cancel()
        node, now = connection.node, time.monotonic()
        connection.last_received = node.last_received = node.last_connected = now
        node.failed_connects = 0
        if node.release_lost_at is not None and connection.began_at >= node.release_lost_at:
            node.release_lost_at = None
        self.adoption.connection_made(node, now)
        self.send_queued(node, transport)
        for session in connection.probes:
            transport.send(probe_request(session))
        for set_up in list(connection.set_ups.values()):
            self.send_set_up(set_up, connection)
        for other in [
            c for c in node.connections if c is not connection and now - c.last_received > NODE_SILENCE_S
        ]:
            self.close_if_idle(other)  # it may be dead though it is open; this one is alive

    def connection_lost(self, transport: Transport, why: str) -> None:
        """A connection has ended. A set-up that was never written may be sent on another; any other may have
        run.
        """
        connection = self.connections.pop(transport, None)
        if connection is None:
            return
        node, partial = connection.node, bool(connection.reader.buffer)
        if connection in node.connections:  # otherwise it is being closed from this side
            node.connections.remove(connection)
        connection.cancel_timers()
        if transport.was_connected and (why != "closed" or partial):
            self.note_lost_release(node)
            self.adoption.reports_lost(node)
        if not transport.was_connected:
            node.failed_connects += 1
        if why == "unreached":
            self.suspect_zone(node.row.zone)
        for name in list(connection.probes):
            self.probe_ended(connection, name, "broken" if transport.was_connected else "unreached", {})
        for set_up in list(connection.set_ups.values()):
            connection.set_ups.pop(set_up.play, None)
            set_up.connection = None
            if set_up.state == SENT:
                self.end_lost_set_up(set_up, "error" if why == "spoilt" else "broken")
            elif transport.was_connected and not set_up.retries:
                set_up.retries += 1  # nothing was written: another connection may be sound
                self.start_set_up(set_up)
            else:
                set_up.settle("unreached", {})
        cut = transport.was_connected and (why != "closed" or partial)
        for play in [play for play, abandoned in connection.failed_plays.items() if abandoned]:
            self.abandoned_connection_lost(connection, play, cut)
        if not transport.was_connected:
            self.settle_lost_set_ups(node)
        self.ensure_connection(node)

    def abandoned_connection_lost(self, connection: Connection, play: str, cut: bool) -> None:
        """The connection of a set-up that was given up has ended; `cut`: otherwise than by the node's close.

        The node hears of the end, at the latest, with a close. But a TEARDOWN may be lost with a connection
        that is cut, and the session stand there, if its answer was on the way. So it is sent again, unless
        the play is out at this node once more, which it would end.
        """
        node = connection.node
        unheard = play in node.pending_teardowns or connection.doubted_since is not None
        out_again = play in node.sessions or any(play in c.set_ups for c in node.connections)
        if cut and unheard and not out_again:
            node.pending_teardowns.pop(play, None)
            self.tear_down(node, play)
        else:
            self.teardown_acknowledged(node, play)

    def end_lost_set_up(self, set_up: SetUp, how: str) -> None:
        """End a set-up that was sent on a connection that has ended; it is settled as `how`.

        Its answer may be lost with the connection, so the session may stand at the node, and nothing else
        would end it. The play may be placed elsewhere once the TEARDOWN is written on another connection, or
        none comes up: then the process is gone, or its machine.
        """
        node = set_up.node
        set_up.state, set_up.lost_how = ENDING, how
        node.ending_set_ups.append(set_up)
        sent = self.tear_down(node, set_up.play)
        if sent or all(connection.transport.was_connected for connection in node.connections):
            self.settle_lost_set_ups(node)

    def settle_lost_set_ups(self, node: Node) -> None:
        """Settle the set-ups that waited for their TEARDOWNs to be written."""
        waiting, node.ending_set_ups = node.ending_set_ups, []
        for set_up in waiting:
            set_up.settle(set_up.lost_how, {})

    def send_queued(self, node: Node, transport: Transport) -> None:
        """Send what waited for a connection on one that has come up."""
        while node.queued_messages and transport.send(node.queued_messages[0].data):
            message = node.queued_messages.pop(0)
            if message.ends:
                self.note_teardown(node, message.ends, True)
        self.settle_lost_set_ups(node)

    def note_lost_release(self, node: Node) -> None:
        """A connection has ended before what its node had written was read to its end."""
        if node.holds_sessions:
            node.release_lost_at = time.monotonic()

    def can_close(self, connection: Connection) -> bool:
        """Whether a connection is not needed, and nothing lies unread on it: what its node has just written,
        such as the end of a session, would be lost.
        """
        if not connection.idle or connection.transport.queue:
            return False
        if connection.transport.has_unread_data():
            self.loop.call_soon(connection.transport.readable)
            return False
        return True

    def close_if_idle(self, connection: Connection) -> bool:
        """Close a connection that is not needed; whether that was begun. While its node has sessions, a
        release may be on its way, so the connection is read until the node has closed it, too.
        """
        if not self.can_close(connection):
            return False
        if connection.node.holds_sessions and connection.transport.open:
            connection.node.connections.remove(connection)
            connection.close_timer = self.timers.after(
                CLOSE_TIMEOUT_S, connection.transport.end, "not closed"
            )
            connection.transport.finish()
        else:
            self.close_connection(connection)
        return True

    def close_connection(self, connection: Connection) -> None:
        """Close a connection at once and without `connection_lost`, whatever is open on it."""
        self.connections.pop(connection.transport, None)
        if connection in connection.node.connections:
            connection.node.connections.remove(connection)
        connection.cancel_timers()
        connection.transport.close()

    def ensure_connection(self, node: Node) -> None:
        """Keep a connection to a node with sessions, on which it can report their ends, and open a new one if
        a report may have been lost; take the sessions for ended if the node can't be reached.
        """
        if self.closed or not node.holds_sessions or not self.is_listed(node):
            return
        # A machine that vanished leaves a connection that stays open and is silent.
        silent = time.monotonic() - node.last_received > NODE_SILENCE_S
        if node.failed_connects >= FAILED_CONNECTS_UNTIL_LOST and (silent or not node.connections):
            self.log.warning(
                "node can't be reached; its sessions are taken for ended",
                node=node.id,
                sessions=len(node.sessions) + len(node.unconfirmed),
            )
            self.lose_sessions(node)
        elif node.needs_connection() and node.reconnect_timer is None:
            delay = (
                RECONNECT_DELAYS_S[min(node.failed_connects - 1, len(RECONNECT_DELAYS_S) - 1)]
                if node.failed_connects
                else 0.0
            )
            node.reconnect_timer = self.timers.after(delay, self.reconnect, node)

    def reconnect(self, node: Node) -> None:
        """Connect to a node with sessions if it needs a connection; try again later if none can be opened."""
        node.reconnect_timer = None
        if self.closed or not self.is_listed(node) or not node.holds_sessions or not node.needs_connection():
            return
        if self.open(node, make_room=not node.connections) is None:
            node.reconnect_timer = self.timers.after(RECONNECT_DELAYS_S[-1], self.reconnect, node)

    def check_connections(self) -> None:
        """Runs each `CHECK_INTERVAL_S`: closes connections that are idle for long, before their nodes do, and
        opens new ones to nodes that are silent.
        """
        now = time.monotonic()
        idle_timeout_s = (
            self.driver.start_settings.get("permissions.idle_close", 15 * TICKS_PER_SECOND)
            / TICKS_PER_SECOND
            * 0.6
        )
        for node in list(self.nodes.values()):
            for connection in [c for c in node.connections if c.transport.open]:
                doubted_since = connection.doubted_since
                if doubted_since is not None and now - doubted_since > DOUBT_S:
                    connection.retiring = True
                if connection.retiring or (
                    now - max(connection.last_used, connection.last_received) > idle_timeout_s
                    and (len(node.connections) > 1 or not node.holds_sessions)
                ):
                    self.close_if_idle(connection)
            for play in [
                p for p, (_, at) in node.pending_teardowns.items() if now - at > self.connect_timeout_s
            ]:
                del node.pending_teardowns[play]  # nodes need not acknowledge a TEARDOWN
            if node.holds_sessions and node.row.state != "gone":
                if node.needs_connection():
                    self.ensure_connection(node)
                self.replace_silent(node, now)
        self.test_silent_zones(now)
        for node in list(self.nodes.values()):
            self.adoption.resolve_unreported(
                node, now
            )  # last: what it asks must not be lost with a silent connection
        if not self.closed:
            self.timers.after(CHECK_INTERVAL_S, self.check_connections)

    def nodes_with_sessions(self, zone: str) -> list[Node]:
        """The nodes of a zone at which sessions run."""
        return [
            node
            for node in self.nodes.values()
            if node.row.zone == zone and node.holds_sessions and node.row.state != "gone"
        ]

    def test_silent_zones(self, now: float) -> None:
        """Open a new connection to one node of each zone whose nodes with sessions are all silent."""
        for zone in {node.row.zone for node in self.nodes.values() if node.holds_sessions}:
            nodes = self.nodes_with_sessions(zone)
            if self.silence_timeouts.zone_test_due([now - node.alive_at for node in nodes]):
                node = min(nodes, key=lambda node: node.alive_at)
                if all(c.transport.open for c in node.connections):
                    self.replace_connections(node, node.connections)

    def suspect_zone(self, zone: str) -> None:
        """A machine there may have vanished: test each node that has been silent for long enough."""
        now = time.monotonic()
        self.silence_timeouts.suspect_zone(zone, now)
        for node in self.nodes_with_sessions(zone):
            self.replace_silent(node, now)

    def replace_silent(self, node: Node, now: float) -> None:
        """Open a new connection to a node with sessions if one of its connections may be dead. It is opened
        after the idle ones are closed: what was written to those is repeated on it.
        """
        allowed_s = self.silence_timeouts.allowed(node.row.zone, now)
        silent = [c for c in node.connections if node.silent_s(c, now) > allowed_s]
        if silent and all(c.transport.open for c in node.connections):
            self.replace_connections(node, silent)

    def replace_connections(self, node: Node, silent: list[Connection]) -> None:
        """Open a new connection to a node in place of the idle ones of these, which may be dead."""
        for connection in list(silent):
            if self.can_close(connection):
                self.close_connection(connection)
        self.note_lost_release(node)
        self.open(node)

    # ---- requests to nodes

    def set_up(self, active_play: ActivePlay, number: int, name: str, span: float) -> SetUp | None:
        """Ask a node to set a session up within `span` seconds; None if the node is not listed, or the play
        has its answer.
        """
        node = self.nodes.get(name)
        if node is None or active_play.answered:
            return None
        set_up = SetUp(self, node, active_play, number, span)
        if set_up.play in node.pending_teardowns:
            # An earlier set-up of the play was abandoned there. Its TEARDOWN, on another connection, may
            # arrive after this set-up and end it.
            node.waiting_set_ups[set_up.play], set_up.waited = set_up, True
            self.timers.after(self.connect_timeout_s, self.start_waiting, node, set_up)
        else:
            self.start_set_up(set_up)
        return set_up

    def start_waiting(self, node: Node, set_up: SetUp) -> None:
        """Start a set-up whose wait for TEARDOWNs is over, by their acknowledgements or by its timeout."""
        if node.waiting_set_ups.get(set_up.play) is set_up:
            del node.waiting_set_ups[set_up.play]
            if set_up.state == WAITING:
                self.start_set_up(set_up)

    def teardown_acknowledged(self, node: Node, play: str) -> None:
        """A node has acknowledged a TEARDOWN, or its connection has ended."""
        count, at = node.pending_teardowns.pop(play, (0, 0.0))
        if count > 1:
            node.pending_teardowns[play] = count - 1, at
        elif play in node.waiting_set_ups:
            self.start_waiting(node, node.waiting_set_ups[play])

    def start_set_up(self, set_up: SetUp) -> None:
        """Send a set-up on a connection that is up, or once the chosen one has come up."""
        connection = self.choose_connection(set_up.node, set_up.play) if self.is_listed(set_up.node) else None
        if connection is None:
            # ends after this returns: the driver has yet to note the allocation
            self.loop.call_soon(set_up.settle, "unreached", {})
            return
        set_up.connection = connection
        connection.set_ups[set_up.play] = set_up
        if connection.transport.open:
            self.send_set_up(set_up, connection)
        else:
            set_up.waited = True

    def send_set_up(self, set_up: SetUp, connection: Connection) -> None:
        """Write the SETUP request, unless something changed while it waited."""
        active_play, node = set_up.active_play, set_up.node
        # It may have waited for its connection. It is not sent if meanwhile the node drains, has started anew
        # and is cold, or the viewer has gone.
        if (
            active_play.answered
            or active_play.closed
            or node.identity != set_up.node_identity
            or set_up.waited
            and active_play.exchange.client_disconnected()
        ):
            self.loop.call_soon(set_up.settle, "not_sent", {})
            return
        left = set_up.time_limit_s - (time.monotonic() - set_up.started_at)
        info = active_play.info
        data = rtsp.request(
            "SETUP",
            info.title,
            info.play,
            1,
            active_play.exchange.description,
            Subject=info.product,
            X_Patience=str(max(1, int(left * 1000))),
            X_Rung=str(active_play.rung),
        )
        connection.last_used = set_up.sent_at = time.monotonic()
        if connection.transport.send(data):
            set_up.state = SENT

    def abandon_set_up(self, set_up: SetUp) -> None:
        """Tell the node that its answer is no longer waited for. If a success still arrives, `handle_answer`
        tears the session down.
        """
        connection, play = set_up.connection, set_up.play
        data = rtsp.request("TEARDOWN", set_up.active_play.info.title, play, 2)
        self.note_teardown(set_up.node, play, connection.transport.send(data))
        if connection.last_received <= set_up.sent_at:
            # Nothing has come since: the connection may be dead, and the session may stand at the node.
            self.repeat_teardown(connection, data)
        connection.failed_plays[play] = True
        connection.answer_overdue(set_up, time.monotonic())
        if connection.last_received < set_up.started_at:
            connection.retiring = True

    def repeat_teardown(self, silent: Connection, data: bytes) -> None:
        """Send a TEARDOWN on another connection that is open, too; none is opened for it."""
        for connection in silent.node.open_connections():
            if connection is not silent:
                connection.transport.send(data)
                return

    def note_teardown(self, node: Node, play: str, sent: bool) -> None:
        """Count a TEARDOWN that was sent, until the node acknowledges it."""
        if sent:
            node.pending_teardowns[play] = node.pending_teardowns.get(play, (0, 0.0))[0] + 1, time.monotonic()

    def release(self, name: str, play: str, cause: int) -> None:
        """End a session that runs at a node."""
        node = self.nodes.get(name)
        if node is None:
            return
        known = node.sessions.pop(play, None) is not None or node.unconfirmed.pop(play, None) is not None
        if known:
            self.tear_down(node, play, cause)

    def tear_down(self, node: Node, play: str, cause: int = ENDED_BY_FRONT) -> bool:
        """Tell a node to end a session that runs there, or may run though no answer said so. Whether it was
        sent; otherwise it waits for a connection, if it can.
        """
        data = rtsp.request("TEARDOWN", play, play, 2, Reason=f"cause={cause}")
        sent = self.send_to(node, data, ends=play)
        self.note_teardown(node, play, sent)
        return sent

    def end(self, name: str, play: str, number: int, why: str) -> None:
        """End what may run of an allocation, as the driver asks. A set-up that was still open had its
        TEARDOWN when it was abandoned.
        """
        node = self.nodes.get(name)
        if why == "moved" and node is not None and node.sessions.pop(play, None) is not None:
            # If the node were told now, it would end the session before the viewer has moved, and the viewer
            # would be owed a release instead.
            node.moved_sessions[play] = self.timers.after(
                MOVED_SESSION_TIMEOUT_S, self.move_timed_out, node, play
            )
        else:
            self.release(name, play, ENDED_BY_FRONT)

    def move_timed_out(self, node: Node, play: str) -> None:
        """The platform has not ended a moved session, so it was over before: its viewer is owed a release."""
        del node.moved_sessions[play]
        self.tear_down(node, play)
        self.driver.viewers.session_ended(play, TEMPORARY_FAILURE)

    def set_rung(self, name: str, play: str, number: int, rung: int) -> None:
        """Tell a node to change the rung of a session there."""
        node = self.nodes.get(name)
        if node is not None and play in node.sessions:
            self.send_to(node, rtsp.request("SET_PARAMETER", play, play, 4, X_Rung=str(rung)))

    def send_to(self, node: Node, data: bytes, ends: str = "") -> bool:
        """Send a request that needs no answer on any open connection; else queue it for the next one. Whether
        it was sent. `ends`: the play that it ends, if it is a TEARDOWN.
        """
        for connection in node.open_connections():
            if connection.transport.send(data):
                return True
        if node.row.state != "gone" and len(node.queued_messages) < MAX_QUEUED_MESSAGES:
            node.queued_messages.append(QueuedMessage(data, ends))
            if all(c.transport.open for c in node.connections):
                self.open(node)
        return False

    def probe(self, name: str) -> None:
        """Ask a node for a load report; the driver gets it as "probed"."""
        node = self.nodes.get(name)
        connection = node and self.choose_any_connection(node)
        if connection is None:
            self.loop.call_soon(
                self.driver.dispatch, "probed", name, "unreached" if node else "not_sent", 0, {}
            )
            return
        session = self.new_probe_session()
        connection.probes[session] = time.monotonic()
        self.timers.after(PROBE_TIMEOUT_S, self.probe_timed_out, connection, session)
        if connection.transport.open:
            connection.transport.send(probe_request(session))  # otherwise sent in `connection_made`

    def choose_any_connection(self, node: Node) -> Connection | None:
        """For a probe: any open connection, else one that is coming up, else a new one."""
        sound = node.open_connections() or [c for c in node.connections if not c.retiring]
        return sound[0] if sound else self.open(node)

    def probe_timed_out(self, connection: Connection, session: str) -> None:
        """End a probe without an answer as "late"; a connection silent since then is retired."""
        if session in connection.probes:
            if connection.last_received < connection.probes[session]:
                connection.retiring = True
            self.probe_ended(connection, session, "late", {})

    def probe_ended(self, connection: Connection, session: str, how: str, report: dict) -> None:
        """Tell the module how a probe ended, once."""
        began = connection.probes.pop(session, None)
        if began is not None:
            took = int((time.monotonic() - began) * TICKS_PER_SECOND)
            self.driver.dispatch("probed", connection.node.id, how, took, report)

    # ---- messages from nodes

    def data_received(self, transport: Transport, data: bytes) -> None:
        """Bytes came on a connection: handle the messages in them."""
        connection = self.connections[transport]
        node, now = connection.node, time.monotonic()
        node.last_received = node.last_bytes_at = now
        connection.bytes_received(now)
        found = connection.reader.feed(data)
        connection.received += found
        self.watch_rest(connection, bool(found))
        if not connection.reading_ahead:
            self.read_ahead(connection)
            self.handle_received(connection)

    def watch_rest(self, connection: Connection, completed: bool) -> None:
        """Start the timeout for the rest of a message that has begun; `completed`: another was completed."""
        if connection.rest_timer is not None and (completed or not connection.reader.buffer):
            connection.rest_timer.cancel()
            connection.rest_timer = None
        if connection.rest_timer is None and connection.reader.buffer:
            connection.rest_timer = self.timers.after(REST_TIMEOUT_S, self.rest_timed_out, connection)

    def rest_timed_out(self, connection: Connection) -> None:
        """End a connection on which a message was begun and not finished, once what lies unread is read."""
        timer, transport = connection.rest_timer, connection.transport
        for _ in range(MAX_READS_AHEAD):
            if transport.has_unread_data():
                transport.readable()
        if connection.rest_timer is timer:
            self.log.warning("message from a node stops short", node=connection.node.id)
            transport.end("spoilt")

    def read_ahead(self, connection: Connection) -> None:
        """While the last message has a body, read what lies behind it in the socket: it may show that the
        length of the body doesn't fit.
        """
        transport, connection.reading_ahead = connection.transport, True
        for _ in range(MAX_READS_AHEAD):
            ends_with_body = connection.received and connection.received[-1].body
            if not ends_with_body or connection.reader.error or not transport.has_unread_data():
                break
            transport.readable()
        connection.reading_ahead = False

    def handle_received(self, connection: Connection) -> None:
        """Handle the messages that were received; end the connection if what came after them is no message.

        A length that doesn't fit shows only in the bytes behind its message. So the last message is not
        believed if they are no message, and waits while they may be the beginning of one. A request without a
        body is whole by its head.
        """
        received, connection.received = connection.received, []
        error = connection.reader.error
        if received and (error or connection.reader.buffer) and (received[-1].body or received[-1].status):
            last = received.pop()
            if not error:
                connection.received.append(last)
        for message in received:
            if connection.transport.closed:
                return
            self.handle_message(connection, message)
        if error and not connection.transport.closed:
            self.log.warning(
                "message from a node is invalid; its connection is closed",
                node=connection.node.id,
                why=error,
            )
            connection.transport.end("spoilt")

    def handle_message(self, connection: Connection, message: rtsp.Message) -> None:
        """Handle a request or a response of a node."""
        node, play = connection.node, message.session
        if message.method and play in node.unconfirmed:
            self.adoption.confirm(node, play)
        elif message.method:
            self.driver.viewers.reported(play)
        if message.method == "TEARDOWN":
            connection.transport.send(rtsp.response(200, "OK", message))
            set_up, cause = connection.set_ups.get(play), message.cause()
            if set_up is not None and set_up.state == SENT:
                if cause == NORMAL_CLEARING and message.body:
                    # So short a session that its end carries its answer: it ran, and the node is sound.
                    self.handle_answer(connection, message._replace(status=200))
                    if play in node.sessions:
                        self.session_ended(node, play, "ok", cause)
                else:
                    set_up.settle("broken", self.parse_report(message))
            elif play in node.moved_sessions:
                node.moved_sessions.pop(play).cancel()
                self.driver.viewers.session_ended(play, cause or TEMPORARY_FAILURE, cause != ENDED_BY_FRONT)
            elif play in node.sessions:
                self.session_ended(
                    node,
                    play,
                    ENDING_BY_CAUSE.get(cause, "broken"),
                    cause or TEMPORARY_FAILURE,
                    cause != ENDED_BY_FRONT,
                )
        elif message.method == "ANNOUNCE":
            self.handle_note(node, play, message.fields)
        elif message.method:
            pass  # other requests of the platform are not for a front
        elif play in connection.probes:
            if message.status >= 200:
                how = "ok" if message.status == 200 else "error"
                self.probe_ended(connection, play, how, self.parse_report(message))
        elif message.status >= 200 and message.fields["cseq"] == "1":
            self.handle_answer(connection, message)
        elif message.status >= 200 and message.fields["cseq"] == "2":
            self.teardown_acknowledged(node, play)

    def handle_answer(self, connection: Connection, message: rtsp.Message) -> None:
        """Settle the set-up that an answer is for. A second copy of one, or one with an unknown id, is
        ignored.
        """
        node, play = connection.node, message.session
        set_up = connection.set_ups.get(play)
        if set_up is None or set_up.state != SENT:
            # A success after the set-up was abandoned is torn down, unless the play has another set-up or
            # session at this node, which a TEARDOWN by the same name would end.
            elsewhere = play in node.sessions or any(play in c.set_ups for c in node.connections)
            if message.status == 200 and connection.failed_plays.get(play) and not elsewhere:
                connection.failed_plays[play] = False
                self.tear_down(node, play)
            return
        if message.status == 200:
            if not message.body:
                set_up.settle("error", {})
                self.tear_down(node, play)
                return
            set_up.active_play.exchange.answer = message.body
            node.sessions[play] = self.driver.clock.now()
            set_up.settle("ok", self.parse_report(message))
        else:
            set_up.settle(ENDING_BY_STATUS.get(message.status, "error"), self.parse_report(message))

    def handle_note(self, node: Node, play: str, fields: dict[str, str]) -> None:
        """Pass a node's note on a session (ANNOUNCE) to the driver; an invalid or unknown one is ignored."""
        kind = NOTE_KINDS.get(fields.get("x-note", ""))
        try:
            value = float(fields.get("x-value", ""))
        except ValueError:
            return
        if kind and play in node.sessions:
            self.driver.play_noted(play, node.id, kind, value)

    def parse_report(self, message: rtsp.Message) -> dict[str, float]:
        """The load report that a message carries; empty if there is none, or it is invalid."""
        try:
            return parse_load_report(message.fields.get("x-state", ""), ";")
        except ValueError:
            return {}

    def session_ended(self, node: Node, play: str, how: str, cause: int, release_owed: bool = True) -> None:
        """A session at a node has ended: tell its viewer, then the module."""
        node.sessions.pop(play, None)
        self.driver.viewers.session_ended(play, cause, release_owed)
        self.driver.play_ended(play, how)

    def connect_to_report(self, node: Node) -> None:
        """Connect to a node, so that it can report its sessions of before this process, after the delay of a
        young front.
        """
        if not node.connections and node.reconnect_timer is None:
            node.reconnect_timer = self.timers.after(self.connect_delays.next(), self.reconnect, node)

    def ask_for_any_answer(self, node: Node) -> None:
        """Ask a node for a load report as a sign of life; the module has not asked and is told nothing."""
        self.send_to(node, probe_request(self.new_probe_session()))

    def new_probe_session(self) -> str:
        """The session id of a request for a load report."""
        self.probe_count += 1
        return f"{self.seed:08x}{self.probe_count & 0xFFFFFFFF:08x}"

    def event(self, node: str, event) -> None:
        """Does nothing: a node reports on a session on its own connection in order, so no event is early."""

    def close_all(self) -> None:
        """Close all connections for good."""
        self.closed = True
        for connection in list(self.connections.values()):
            self.close_connection(connection)


def probe_request(session: str) -> bytes:
    """The request for a load report, which the platform takes for a health check."""
    return rtsp.request("OPTIONS", "load", session, 3)
