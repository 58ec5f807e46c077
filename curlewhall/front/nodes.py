"""The nodes' side of a front: sends set-ups, rung changes, ends and probes; receives event streams.

A node's stream (`GET /v1/events`) starts with a hello that lists the plays which the node holds for this
front. The hello overrides what this front assumed: plays missing from it have broken off, and plays that a
restarted front does not know are resumed. The driver, moves and sites call `Nodes`.
"""

import time
from collections.abc import Callable
from typing import NamedTuple

from curlewhall.errors import describe
from curlewhall.interface import NodeRow
from curlewhall.start import StreamSchedule
from curlewhall.wire import forms
from curlewhall.wire.client import PendingRequest, Pool, Reply
from curlewhall.wire.http import request_bytes

from .driver import ActivePlay, Driver

STREAM_TIMEOUT_S = 86_400.0  # a stream stays open; the HTTP client requires a limit
ONE_WAY_TIMEOUT_S = 1.0  # for requests whose response nothing waits for
GONE_NODE_RETENTION_TICKS = 600 * 10_000  # gone nodes are removed after this time, as in the module
MAX_EARLY_EVENTS = 16  # events kept per play until the response to its set-up has been read
MISDIRECTED = 421  # RFC 9110 section 15.5.20: the process at this address is not the node that was meant
NOTE_KINDS = ("delivered", "link_asked", "uplink_asked")


class Node:
    """One listed node: its row of the list, its connection pool and its event stream."""

    def __init__(self, row: forms.Row, pool: Pool) -> None:
        self.row = row
        self.pool = pool
        self.stream: PendingRequest | None = None
        self.line_parser = forms.LineSplitter()
        self.hello_received = False
        self.retry_timer = None  # runs until its stream is requested again
        self.retry_delays = None
        self.stream_requested_at = 0  # ticks
        self.last_seen_at = 0  # when it was first listed, or when its stream last ended; ticks
        self.from_predecessor = False  # known from the predecessor; this process has had no hello from it yet


class Nodes:
    """All listed nodes, by name. `turns` spreads the streams of a starting fleet over time."""

    def __init__(
        self,
        driver: Driver,
        loop,
        timers,
        front: str,
        connect_timeout_s: float,
        probe_timeout_s: float,
        turns: StreamSchedule,
    ) -> None:
        self.driver = driver
        self.loop = loop
        self.timers = timers
        self.front = front
        self.turns = turns
        # Called with a listed node's name and the name that the process at its address gives itself.
        self.on_hello: Callable[[str, str], None] = lambda node, named: None
        self.connect_timeout_s = connect_timeout_s
        self.probe_timeout_s = probe_timeout_s
        self.nodes: dict[str, Node] = {}
        self.started = time.monotonic()
        self.leaving = False  # handed over: the successor has the streams

    # ---- the list

    def listed(self, rows: list[forms.Row], whole: bool) -> None:
        """Apply rows of the list: add new nodes, drop idle connections of restarted and gone ones.

        `whole`: nodes that `rows` does not name are gone.
        """
        # Gone nodes have to be removed: machines are replaced under new names for as long as a front runs.
        oldest_kept = self.driver.clock.now() - GONE_NODE_RETENTION_TICKS
        for node in [
            n for n in self.nodes.values() if n.row.state == "gone" and n.last_seen_at < oldest_kept
        ]:
            if node.stream is None and node.retry_timer is None:
                self.remove(node)
        for row in rows:
            node = self.nodes.get(row.node)
            if node and (node.row.address, node.row.port) != (row.address, row.port):
                self.remove(node)
                node = None
            if node is None:
                if row.state == "gone":
                    continue
                node = Node(
                    row, Pool(self.loop, self.timers, row.address, row.port, connect=self.connect_timeout_s)
                )
                self.nodes[row.node] = node
                node.last_seen_at, node.retry_delays = self.driver.clock.now(), self.turns.reconnect_backoff()
            restarted = row.started_ms > node.row.started_ms
            if restarted or row.state == "gone":
                # Idle connections to the previous process are dead, or lead to another one at the address.
                node.pool.close_idle()
            node.row = row
            if row.state == "gone":
                self.open_stream(node)
            elif node.stream is None and (restarted or node.retry_timer is None):
                self.open_stream_later(node, self.turns.start_delay(row.node))
        if whole:
            listed_names = {row.node for row in rows}
            for node in [n for n in self.nodes.values() if n.row.node not in listed_names]:
                node.row = forms.msgspec.structs.replace(node.row, state="gone")
                node.pool.close_idle()

    def remove(self, node: Node) -> None:
        """Forget a node: close its connections and end its plays."""
        del self.nodes[node.row.node]
        if node.retry_timer is not None:
            node.retry_timer.cancel()
        node.pool.close()
        self.node_lost(node.row.node)

    def address(self, name: str) -> str:
        """Return a node's `host:port`."""
        return self.nodes[name].pool.host

    # ---- requests to a node

    def set_up(self, active_play: ActivePlay, number: int, name: str, span: float) -> PendingRequest | None:
        """Ask a node to set a play up within `span` seconds.

        None if the node is not listed or the play is answered already.
        """
        node = self.nodes.get(name)
        if node is None or active_play.answered:
            return None
        info = forms.msgspec.structs.replace(
            active_play.info, number=number + active_play.number_offset, rung=active_play.rung
        )
        if node.retry_timer is not None:
            self.open_stream(node)  # the play's events are needed from now on
        body = forms.encode(forms.SetUp(self.front, info, span * 1000, name))
        data = request_bytes("POST", "/v1/plays", node.pool.host, body, content_type="application/json")
        # Connecting may take long. If the node drains or restarts meanwhile, or the viewer hangs up, the
        # set-up must not be sent. A viewer that has not asked for the result of a move yet has no exchange.
        chosen_row = node.row.state, node.row.started_ms

        def may_send() -> bool:
            viewer_present = active_play.exchange is None or not active_play.exchange.client_disconnected()
            return (
                viewer_present
                and (node.row.state, node.row.started_ms) == chosen_row
                and not active_play.closed
            )

        return node.pool.request(
            data,
            max(0.0, span),
            lambda reply: self.set_up_done(active_play, number, name, reply),
            still_wanted=may_send,
        )

    def set_up_done(self, active_play: ActivePlay, number: int, name: str, reply: Reply) -> None:
        """Report the outcome of a set-up request to the driver."""
        if reply.outcome == "unreached":
            self.driver.sites.node_contact(name, contact_failure(reply))
        play = active_play.info.play
        result = parse_set_up_result(name, play, number + active_play.number_offset, reply)
        self.driver.allocation_ended(active_play, number, name, result.how, reply.elapsed_s, result.report)
        if result.from_another:
            # last: an allocation that ended with an error counts as an answer of the node itself
            self.driver.sites.node_contact(name, "refused")

    def set_rung(self, name: str, play: str, number: int, rung: int) -> None:
        """Change the rung of a play at its node, without waiting for the response."""
        body = forms.encode(forms.Rung(number, rung))
        self.send_one_way(name, "PUT", f"/v1/plays/{play}/rung", body)

    def end(self, name: str, play: str, number: int, why: str) -> None:
        """End an allocation that may run at a node, without waiting for the response."""
        self.send_one_way(name, "DELETE", f"/v1/plays/{play}?number={number}&why={why}", b"")

    def end_play_confirmed(self, name: str, play: str, number: int, done) -> None:
        """End a moved play at a node; `done` gets the status: 204, 404 if it is not held, 0 if none came."""
        node = self.nodes.get(name)
        if node is None:
            self.loop.call_soon(done, 0)
            return
        data = request_bytes("DELETE", f"/v1/plays/{play}?number={number}&why=moved", node.pool.host)
        node.pool.request(
            data, ONE_WAY_TIMEOUT_S, lambda reply: done(reply.message.status if reply.outcome == "ok" else 0)
        )

    def send_one_way(self, name: str, method: str, target: str, body: bytes) -> None:
        """Send a request to a listed node and ignore its response."""
        node = self.nodes.get(name)
        if node is not None:
            data = request_bytes(method, target, node.pool.host, body, content_type="application/json")
            node.pool.request(data, ONE_WAY_TIMEOUT_S, lambda reply: None)

    def probe(self, name: str) -> None:
        """Ask a node for its load; the module is told the result, also if the node is not listed."""
        node = self.nodes.get(name)
        if node is None:
            self.driver.dispatch("probed", name, "not_sent", 0, {})
            return
        self.ask_load(node, self.probe_timeout_s, lambda reply: self.probe_done(name, reply))

    def ask_load(self, node: Node, span: float, done: Callable[[Reply], None]) -> None:
        """Send `GET /v1/load` with a timeout of `span` seconds."""
        node.pool.request(request_bytes("GET", "/v1/load", node.pool.host), span, done)

    def probe_done(self, name: str, reply: Reply) -> None:
        """Report the outcome of a probe to the module."""
        how, report = self.parse_load(name, reply)
        self.driver.dispatch("probed", name, how, int(reply.elapsed_s * 10_000), report)

    @staticmethod
    def parse_load(name: str, reply: Reply) -> tuple[str, dict]:
        """Return the outcome of a load request to node `name`, and its report."""
        if reply.outcome != "ok":
            return reply.outcome, {}
        try:
            load = forms.decode(forms.Load, reply.message.body)
        except forms.DecodeError:
            return "error", {}
        valid = reply.message.status == 200 and load.node == name
        return ("ok", load.report) if valid else ("error", {})

    def check_node(self, name: str, span: float) -> None:
        """Check for `sites` whether a node answers within `span` seconds; the module is not told."""
        node = self.nodes.get(name)
        if node is not None:
            self.ask_load(node, span, lambda reply: self.check_done(name, reply))

    def check_done(self, name: str, reply: Reply) -> None:
        """Report the outcome of `check_node` to `sites`."""
        how, report = self.parse_load(name, reply)
        if how == "ok":
            self.driver.sites.node_contact(name, "answered")
            if "link_asked" in report:
                self.driver.sites.node_reported(name, "link_asked", report["link_asked"])
        elif how != "not_sent":
            self.driver.sites.node_contact(name, contact_failure(reply))

    # ---- events from a node

    def open_stream_later(self, node: Node, span: float) -> None:
        """Open the stream after `span` seconds, or at once if a paid play's outcome depends on the hello."""
        if node.retry_timer is not None:
            node.retry_timer.cancel()
        span = 0.0 if self.driver.play_store.awaits_node(node.row.node) else span
        node.retry_timer = self.timers.after(span, self.open_stream, node)

    def open_stream(self, node: Node) -> None:
        """Request the node's event stream unless it is open, the node is gone or this front handed over."""
        if node.retry_timer is not None:
            node.retry_timer.cancel()
            node.retry_timer = None
        if self.leaving or node.stream is not None or self.nodes.get(node.row.node) is not node:
            return
        if node.row.state == "gone":
            self.node_lost(node.row.node)  # its stream has ended and the list confirms that it is gone
        else:
            node.line_parser, node.stream_requested_at = forms.LineSplitter(), self.driver.clock.now()
            data = request_bytes("GET", f"/v1/events?front={self.front}", node.pool.host)
            node.stream = node.pool.request(
                data,
                STREAM_TIMEOUT_S,
                lambda reply: self.stream_ended(node, reply),
                on_body=lambda message, piece: self.stream_data_received(node, message, piece),
            )

    def stream_data_received(self, node: Node, message, piece: bytes) -> None:
        """Handle the events of a piece of the stream; a malformed one closes the stream."""
        if message.status != 200:
            return
        try:
            for line in node.line_parser.feed(piece):
                self.event(node.row.node, forms.decode(forms.Event, line))
        except forms.DecodeError as err:
            self.driver.log.warning(
                "malformed event on a node's stream; reopening the stream",
                node=node.row.node,
                why=describe(err),
            )
            self.loop.call_soon(node.stream.withdraw)

    def stream_ended(self, node: Node, reply: Reply) -> None:
        """Handle the end of a node's stream, and open it again after a delay."""
        node.stream = None
        if node.pool.closed or self.leaving:
            return
        node.last_seen_at = self.driver.clock.now()
        if reply.outcome in ("unreached", "broken"):
            self.driver.sites.node_contact(node.row.node, contact_failure(reply))
        if contact_failure(reply) == "refused":
            # A refused connection shows that the process is gone and its plays with it. On a timeout the node
            # may only be unreachable from here while its plays run on for their viewers: ended here, they
            # would be ended at the node by its next hello.
            self.node_lost(node.row.node)
        self.open_stream_later(node, node.retry_delays.next_delay())

    def node_lost(self, name: str) -> None:
        """End all plays at a node that is gone."""
        self.driver.play_store.node_connected(name, ())
        self.end_plays(name)

    def end_plays(self, name: str) -> None:
        """End the plays that run at a node, as far as this front knows."""
        for play in [
            p
            for p, active_play in self.driver.plays.items()
            if active_play.node == name and active_play.playing_number is not None
        ]:
            self.driver.play_ended(play, "broken")

    def event(self, name: str, event: forms.Event) -> None:
        """Handle one event of node `name`; events of other allocations than the play's own are ignored."""
        if event.kind == "hello":
            self.handle_hello(name, event)
            return
        self.driver.sites.node_contact(name, "spoke")
        active_play = self.driver.plays.get(event.play)
        if active_play is None or event.kind == "tick":
            return
        if any(number + active_play.number_offset == event.number for number in active_play.pending):
            # The response to its set-up is on another connection and has not been read yet.
            if len(active_play.early_events) < MAX_EARLY_EVENTS:
                active_play.early_events.append(event)
        elif (
            active_play.playing_number is None
            or active_play.node != name
            or active_play.playing_number + active_play.number_offset != event.number
        ):
            return
        elif event.kind == "ended":
            self.driver.play_ended(event.play, event.how if event.how in ("ok", "broken") else "withdrawn")
        elif event.kind == "buffer":
            self.driver.moves.buffer_reported(event.play, event.value)
        elif event.kind in NOTE_KINDS:
            self.driver.play_noted(event.play, name, event.kind, event.value)

    def handle_hello(self, name: str, event: forms.Event) -> None:
        """Compare the plays of a hello with this front's: end those that are missing, resume unknown ones."""
        node = self.nodes.get(name)
        if node is None:
            return
        self.on_hello(name, event.node)  # before its plays are resumed: the module has to know the node
        if event.node != name:
            self.driver.log.warning(
                "another process answers at a node's address", node=name, found=event.node
            )
            self.driver.sites.node_contact(name, "refused")
            # The process that had the address before is gone. Set-ups that only the disk knows of may run
            # where an old list doesn't say, so nothing is said about them.
            self.end_plays(name)
            return
        reported = {info.play: info for info in event.plays}
        self.driver.sites.node_contact(
            name,
            "answered",
            any(
                active_play.playing_number is not None and active_play.node == name
                for play in reported
                if (active_play := self.driver.plays.get(play)) is not None
            ),
        )
        at_predecessor = self.driver.plays_at_predecessor
        missing = [
            (play, active_play)
            for play, active_play in self.driver.plays.items()
            if active_play.node == name and active_play.playing_number is not None and play not in reported
        ]
        # Set-ups use other connections, so a hello can't show pending allocations, nor plays whose first
        # frame was read after the stream was requested. For the latter the stream is opened again.
        started_since = {
            play for play, active_play in missing if active_play.playing_since >= node.stream_requested_at
        }
        setting_up = {play for play, active_play in self.driver.plays.items() if active_play.pending}
        self.driver.play_store.node_connected(
            name, reported.keys() | at_predecessor.keys() | setting_up | started_since
        )
        if started_since:
            self.loop.call_soon(node.stream.withdraw)
        node.retry_delays.reset()
        # Plays that ended between the predecessor's hand-over and this hello ended normally.
        how = "ok" if node.from_predecessor else "broken"
        node.from_predecessor = False
        for play, _ in missing:
            if play not in started_since:
                self.driver.play_ended(play, how)
        for play, info in reported.items():
            if play not in self.driver.plays and play not in at_predecessor:
                title = self.driver.viewers.titles.get(info.title)
                if node.hello_received or title is None or info.product not in self.driver.viewers.products:
                    self.end(name, play, info.number, "unknown")
                else:
                    self.driver.resume_play(info, title, name)
        node.hello_received = True

    def state(self) -> list[dict]:
        """Return the nodes' part of `/v1/state`."""
        plays_by_node: dict[str, int] = {}
        for active_play in self.driver.plays.values():
            if active_play.playing_number is not None:
                plays_by_node[active_play.node] = plays_by_node.get(active_play.node, 0) + 1
        return [
            {
                "node": name,
                "state": node.row.state,
                "zone": node.row.zone,
                "place": node.row.place,
                "plays": plays_by_node.get(name, 0),
                "stream": node.hello_received and node.stream is not None,
            }
            for name, node in sorted(self.nodes.items())
        ]

    def close(self) -> None:
        """Close all connections to nodes."""
        for node in self.nodes.values():
            node.pool.close()


class SetUpResult(NamedTuple):
    """How a set-up request ended, as the driver is told."""

    how: str  # one of `curlewhall.interface.Ending`
    report: dict[str, float] = {}
    from_another: bool = False  # another process than the node has answered at its address


def parse_set_up_result(name: str, play: str, number: int, reply: Reply) -> SetUpResult:
    """The result of the request to node `name` to set up an allocation of `play`, `number` by its count."""
    if reply.outcome != "ok":
        return SetUpResult(reply.outcome)
    try:
        done = forms.decode(forms.SetUpDone, reply.message.body)
    except forms.DecodeError:
        return SetUpResult("error")
    status = reply.message.status
    if done.node != name:
        # Told that another node was meant, it has run nothing; else it may have.
        return SetUpResult("unreached" if status == MISDIRECTED else "error", from_another=True)
    if status == 201 and (done.play, done.number) == (play, number):
        return SetUpResult("ok", done.report)
    if status == 503 and done.why in ("full", "draining"):
        return SetUpResult("full", done.report)
    return SetUpResult("error")


def contact_failure(reply: Reply) -> str:
    """Classify a failed exchange as evidence about its node: `refused`, `silent` or `reset`."""
    if reply.outcome == "unreached":
        return "refused" if reply.why == "refused" else "silent"
    return "silent" if reply.outcome == "late" else "reset"


def module_row(row: forms.Row, driver: Driver) -> NodeRow:
    """Convert a row of the list for the module; a start in the future counts as now."""
    return NodeRow(
        row.node,
        row.place,
        row.zone,
        row.kind,
        row.state,
        row.weight,
        driver.node_start_time(row.node, row.started_ms),
    )
