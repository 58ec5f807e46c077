"""Nodes' side: set-ups, changes of rung, ends and probes go out; a stream of events from each node comes in.

A node's stream (`GET /v1/events`) starts with a hello that names the plays which the node holds for this
front. What a hello shows is believed over what this front thought: plays that are gone have broken off, and
those that a front just started does not know are resumed.
"""

import time
from collections.abc import Callable

from curlewhall.errors import describe
from curlewhall.interface import NodeRow
from curlewhall.start import StreamSchedule
from curlewhall.wire import forms
from curlewhall.wire.client import Ask, Pool, Reply
from curlewhall.wire.http import request_bytes

from .driver import ActivePlay, Driver

FOREVER = 86_400.0
END_LIMIT = 1.0  # for what is said to a node without waiting for it
FORGOTTEN = 600 * 10_000  # after so long out of sight a gone node is let go, as the module does
NOTES = ("delivered", "link_asked", "uplink_asked")


class Node:
    """One listed node: where it is, its pool, its stream."""

    def __init__(self, row: forms.Row, pool: Pool) -> None:
        self.row, self.pool = row, pool
        self.stream: Ask | None = None
        self.lines = forms.Lines()
        self.greeted, self.pause, self.waits = False, None, None  # pause: when its stream is asked for next
        self.asked = 0  # when its stream was asked for
        self.since = 0  # when it was first known, or last lost from sight: the module's time
        self.handed = False  # known from the predecessor, and not heard of by this process yet


class Nodes:
    """All listed nodes, by name."""

    def __init__(
        self,
        driver: Driver,
        loop,
        timers,
        front: str,
        connect: float,
        probe_limit: float,
        turns: StreamSchedule,
    ) -> None:
        self.driver, self.loop, self.timers, self.front, self.turns = driver, loop, timers, front, turns
        self.answered: Callable[[str, str], None] = lambda node, named: None  # who answers at its address
        self.connect, self.probe_limit = connect, probe_limit
        self.nodes: dict[str, Node] = {}
        self.started = time.monotonic()
        self.leaving = False  # the successor has the streams

    # ---- the list

    def listed(self, rows: list[forms.Row], whole: bool) -> None:
        """Follow the list: pools for what is new, none for what is gone, fresh ones for what started anew."""
        # Danger: machines are replaced under new names for as long as a front runs.
        old = self.driver.clock.now() - FORGOTTEN
        for node in [n for n in self.nodes.values() if n.row.state == "gone" and n.since < old]:
            if node.stream is None and node.pause is None:
                self.forget(node)
        for row in rows:
            node = self.nodes.get(row.node)
            if node and (node.row.address, node.row.port) != (row.address, row.port):
                self.forget(node)
                node = None
            if node is None:
                if row.state == "gone":
                    continue
                node = Node(row, Pool(self.loop, self.timers, row.address, row.port, connect=self.connect))
                self.nodes[row.node] = node
                node.since, node.waits = self.driver.clock.now(), self.turns.reconnect_backoff()
            anew = row.started_ms > node.row.started_ms
            if anew or row.state == "gone":
                # Danger: a connection of the process before is dead, or leads to who knows whom.
                node.pool.drop_idle()
            node.row = row
            if row.state == "gone":
                self.follow(node)
            elif node.stream is None and (anew or node.pause is None):
                self.follow_later(node, self.turns.start_delay(row.node))
        if whole:
            named = {row.node for row in rows}
            for node in [n for n in self.nodes.values() if n.row.node not in named]:
                node.row = forms.msgspec.structs.replace(node.row, state="gone")
                node.pool.drop_idle()

    def forget(self, node: Node) -> None:
        del self.nodes[node.row.node]
        if node.pause is not None:
            node.pause.cancel()
        node.pool.close()
        self.lost(node.row.node)

    def address(self, name: str) -> str:
        return self.nodes[name].pool.host

    # ---- what is asked of a node

    def set_up(self, active_play: ActivePlay, number: int, name: str, span: float) -> Ask | None:
        """Ask a node to set a play up; None where it is not listed or the play is closed."""
        node = self.nodes.get(name)
        if node is None or active_play.answered:
            return None
        facts = forms.msgspec.structs.replace(
            active_play.info, number=number + active_play.number_offset, rung=active_play.rung
        )
        if node.pause is not None:
            self.follow(node)  # what it says of the play is wanted from now on
        body = forms.encode(forms.SetUp(self.front, facts, span * 1000))
        data = request_bytes("POST", "/v1/plays", node.pool.host, body, content_type="application/json")
        # Danger: a connection may take its time; a drain or start told meanwhile, or a viewer gone, stops
        # the set-up. A viewer that has yet to come for a move's outcome has no exchange.
        was = node.row.state, node.row.started_ms

        def may() -> bool:
            here = active_play.exchange is None or not active_play.exchange.hung_up()
            return here and (node.row.state, node.row.started_ms) == was and not active_play.closed

        return node.pool.ask(
            data, max(0.0, span), lambda reply: self.set_up_done(active_play, number, name, reply), may=may
        )

    def set_up_done(self, active_play: ActivePlay, number: int, name: str, reply: Reply) -> None:
        how, report = reply.ending, {}
        if how == "unreached":
            self.driver.sites.node_contact(name, failure(reply))
        if how == "ok":
            try:
                done = forms.decode(forms.SetUpDone, reply.message.body)
                same = done.node == name and (done.play, done.number) == (
                    active_play.info.play,
                    number + active_play.number_offset,
                )
                if reply.message.status == 201 and same:
                    report = done.report
                elif reply.message.status == 503 and done.node == name and done.why in ("full", "draining"):
                    how, report = "full", done.report
                else:
                    how = "error"
            except forms.DecodeError:
                how = "error"
        self.driver.allocation_ended(active_play, number, name, how, reply.took, report)

    def set_rung(self, name: str, play: str, number: int, rung: int) -> None:
        body = forms.encode(forms.Rung(number, rung))
        self.say(name, "PUT", f"/v1/plays/{play}/rung", body)

    def end(self, name: str, play: str, number: int, why: str) -> None:
        """End what may run there; nothing is waited for."""
        self.say(name, "DELETE", f"/v1/plays/{play}?number={number}&why={why}", b"")

    def end_surely(self, name: str, play: str, number: int, done) -> None:
        """End a play there and tell `done` what the node said: 204, or 404 for one not held; else 0."""
        node = self.nodes.get(name)
        if node is None:
            self.loop.call_soon(done, 0)
            return
        data = request_bytes("DELETE", f"/v1/plays/{play}?number={number}&why=moved", node.pool.host)
        node.pool.ask(
            data, END_LIMIT, lambda reply: done(reply.message.status if reply.ending == "ok" else 0)
        )

    def say(self, name: str, method: str, target: str, body: bytes) -> None:
        node = self.nodes.get(name)
        if node is not None:
            data = request_bytes(method, target, node.pool.host, body, content_type="application/json")
            node.pool.ask(data, END_LIMIT, lambda reply: None)

    def probe(self, name: str) -> None:
        node = self.nodes.get(name)
        if node is None:
            self.driver.dispatch("probed", name, "not_sent", 0, {})
            return
        self.ask_load(node, self.probe_limit, lambda reply: self.probed(name, reply))

    def ask_load(self, node: Node, span: float, done: Callable[[Reply], None]) -> None:
        node.pool.ask(request_bytes("GET", "/v1/load", node.pool.host), span, done)

    def probed(self, name: str, reply: Reply) -> None:
        how, report = self.load(name, reply)
        self.driver.dispatch("probed", name, how, int(reply.took * 10_000), report)

    @staticmethod
    def load(name: str, reply: Reply) -> tuple[str, dict]:
        """How a question for a node's load ended, and its report."""
        if reply.ending != "ok":
            return reply.ending, {}
        try:
            load = forms.decode(forms.Load, reply.message.body)
        except forms.DecodeError:
            return "error", {}
        sound = reply.message.status == 200 and load.node == name
        return ("ok", load.report) if sound else ("error", {})

    def look(self, name: str, span: float) -> None:
        """Ask a node whether it is there, for the watch over sites; the module is not told."""
        node = self.nodes.get(name)
        if node is not None:
            self.ask_load(node, span, lambda reply: self.looked(name, reply))

    def looked(self, name: str, reply: Reply) -> None:
        how, report = self.load(name, reply)
        if how == "ok":
            self.driver.sites.node_contact(name, "answered")
            if "link_asked" in report:
                self.driver.sites.node_reported(name, "link_asked", report["link_asked"])
        elif how != "not_sent":
            self.driver.sites.node_contact(name, failure(reply))

    # ---- what a node tells

    def follow_later(self, node: Node, span: float) -> None:
        """At once where a paid play's fate hangs on what the node says."""
        if node.pause is not None:
            node.pause.cancel()
        span = 0.0 if self.driver.play_store.awaits_node(node.row.node) else span
        node.pause = self.timers.after(span, self.follow, node)

    def follow(self, node: Node) -> None:
        """Ask for the node's stream unless it is open or about to be."""
        if node.pause is not None:
            node.pause.cancel()
            node.pause = None
        if self.leaving or node.stream is not None or self.nodes.get(node.row.node) is not node:
            return
        if node.row.state == "gone":
            self.lost(node.row.node)  # no stream, and the list says why
        else:
            node.lines, node.asked = forms.Lines(), self.driver.clock.now()
            data = request_bytes("GET", f"/v1/events?front={self.front}", node.pool.host)
            node.stream = node.pool.ask(
                data,
                FOREVER,
                lambda reply: self.stream_ended(node, reply),
                tell=lambda message, piece: self.told(node, message, piece),
            )

    def told(self, node: Node, message, piece: bytes) -> None:
        if message.status != 200:
            return
        try:
            for line in node.lines.feed(piece):
                self.event(node.row.node, forms.decode(forms.Event, line))
        except forms.DecodeError as err:
            self.driver.log.warning("a node's stream is malformed", node=node.row.node, why=describe(err))
            self.loop.call_soon(node.stream.withdraw)

    def stream_ended(self, node: Node, reply: Reply) -> None:
        node.stream = None
        if node.pool.closed or self.leaving:
            return
        node.since = self.driver.clock.now()
        if reply.ending in ("unreached", "broken"):
            self.driver.sites.node_contact(node.row.node, failure(reply))
        if failure(reply) == "refused":
            # The process is gone and its plays with it. Danger: where no connection comes up the node may
            # only be cut off from here, its plays go on for their viewers, and it would be told to end them
            # later.
            self.lost(node.row.node)
        self.follow_later(node, node.waits.next_delay())

    def lost(self, name: str) -> None:
        self.driver.play_store.node_connected(name, ())
        for play in [
            p
            for p, active_play in self.driver.plays.items()
            if active_play.node == name and active_play.playing_number is not None
        ]:
            self.driver.play_ended(play, "broken")

    def event(self, name: str, event: forms.Event) -> None:
        if event.kind == "hello":
            self.hello(name, event)
            return
        self.driver.sites.node_contact(name, "spoke")
        active_play = self.driver.plays.get(event.play)
        if active_play is None or event.kind == "tick":
            return
        if any(number + active_play.number_offset == event.number for number in active_play.pending):
            # its set-up's answer is on another connection and not read yet
            if len(active_play.early_events) < 16:
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
        elif event.kind in NOTES:
            self.driver.play_noted(event.play, name, event.kind, event.value)

    def hello(self, name: str, event: forms.Event) -> None:
        node = self.nodes.get(name)
        if node is None:
            return
        self.answered(name, event.node)  # before its plays are resumed: the module has to know it
        if event.node != name:
            self.driver.log.warning("a stranger answers at a node's address", node=name, found=event.node)
            return
        there = {facts.play: facts for facts in event.plays}
        self.driver.sites.node_contact(
            name,
            "answered",
            any(
                active_play.playing_number is not None and active_play.node == name
                for play in there
                if (active_play := self.driver.plays.get(play)) is not None
            ),
        )
        elsewhere = self.driver.plays_at_predecessor
        gone = [
            (play, active_play)
            for play, active_play in self.driver.plays.items()
            if active_play.node == name and active_play.playing_number is not None and play not in there
        ]
        # Danger: set-ups come by other connections. A hello says nothing of those that are out, nor of plays
        # whose first frame was read after the hello was asked for: the next one tells.
        later = {play for play, active_play in gone if active_play.playing_since >= node.asked}
        out = {play for play, active_play in self.driver.plays.items() if active_play.pending}
        self.driver.play_store.node_connected(name, there.keys() | elsewhere.keys() | out | later)
        if later:
            self.loop.call_soon(node.stream.withdraw)
        node.waits.reset()
        # what ended between the predecessor's word and this one did not break off
        how, node.handed = "ok" if node.handed else "broken", False
        for play, _ in gone:
            if play not in later:
                self.driver.play_ended(play, how)
        for play, facts in there.items():
            if play not in self.driver.plays and play not in elsewhere:
                title = self.driver.viewers.titles.get(facts.title)
                if node.greeted or title is None or facts.product not in self.driver.viewers.products:
                    self.end(name, play, facts.number, "unknown")
                else:
                    self.driver.resume_play(facts, title, name)
        node.greeted = True

    def state(self) -> list[dict]:
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
                "stream": node.greeted and node.stream is not None,
            }
            for name, node in sorted(self.nodes.items())
        ]

    def close(self) -> None:
        for node in self.nodes.values():
            node.pool.close()


def failure(reply: Reply) -> str:
    """What an exchange that came to nothing shows of its node."""
    if reply.ending == "unreached":
        return "refused" if reply.why == "refused" else "silent"
    return "silent" if reply.ending == "late" else "reset"


def module_row(row: forms.Row, driver: Driver) -> NodeRow:
    """The list's line on the module's clock; a start in the future is taken for now."""
    return NodeRow(
        row.node,
        row.place,
        row.zone,
        row.kind,
        row.state,
        row.weight,
        driver.node_start_time(row.node, row.started_ms),
    )
