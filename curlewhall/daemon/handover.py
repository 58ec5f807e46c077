"""What a front gives to its successor, and how the successor takes it up.

Over one channel between the two, in this order: `list`, `known`, `plays`, `flights`, `moving`, `kept`,
`entries`, `whole`. The successor answers `serving`. From then on the old front only finishes what it has:
`passed` and `lost` tell what became of its set-ups, `entry` what has to be kept (answered by `sure`),
`line` brings a connection with the first bytes of its next request.

Danger: each play must have one front that answers for it. Until `serving` that is the old front, for all of
them; the end of the channel before that means that the successor failed, and the old one goes on.
"""

import os
import socket
import time
from collections.abc import Callable, Iterable

import msgspec

from curlewhall.front.driver import ActivePlay
from curlewhall.front.nodes import module_row
from curlewhall.moves.decide import REPORT_MAX_AGE_TICKS
from curlewhall.recovery.state import Entry, State
from curlewhall.recovery.store import MemoryStore
from curlewhall.wire import forms

from .channel import Channel

FEW = 200  # plays, rows or titles in one message: some 60 kB
SECOND = 10_000
LINGER = 0.02  # seconds between two looks at what is left


class Carried(msgspec.Struct, frozen=True, array_like=True):
    """A play on its way: `node` is where it plays or was last asked for, `found`: its viewer may come."""

    facts: forms.PlayInfo
    node: str
    taken: int
    limit: int
    found: bool = False
    moved_from: str = ""


class Lists(msgspec.Struct, frozen=True, array_like=True):
    rows: list[forms.Row]
    titles: list[forms.Title]
    version: int
    drained: list[str]
    life: str = ""  # of the list service, in which the version counts


_pack = msgspec.msgpack.Encoder().encode
_decoders = {
    form: msgspec.msgpack.Decoder(form)
    for form in (
        Carried,
        Lists,
        list[Carried],
        list[Entry],
        list[tuple[str, int]],
        list[tuple[int, str, str, float]],
        list[tuple[str, str]],
        Entry,
    )
}


def unpack(form, data: bytes):
    return _decoders[form].decode(data)


def pieces(things: Iterable, few: int = FEW) -> Iterable[list]:
    things = list(things)
    for i in range(0, len(things), few):
        yield things[i : i + few]


def carried(active_play: ActivePlay, node: str, found: bool = False) -> Carried:
    number = (
        active_play.playing_number
        if active_play.playing_number is not None
        else max(0, active_play.last_number)
    ) + active_play.number_offset
    return Carried(
        msgspec.structs.replace(active_play.info, number=number, rung=active_play.rung),
        node,
        active_play.received_at,
        active_play.deadline,
        found,
        active_play.moved_from,
    )


class Forward:
    """In the place of the old front's store: entries go to the successor, who has the folder."""

    def __init__(self, channel: Channel, state: State) -> None:
        self.channel, self.state, self.count = channel, state, 0
        self.thens: dict[int, Callable[[bool], None]] = {}
        self.failing = False

    def add(self, entry: Entry, then: Callable[[bool], None] | None = None) -> None:
        self.state.apply(entry)
        self.count += 1
        if then is not None:
            self.thens[self.count] = then
        self.channel.send("entry", self.count if then else 0, _pack(entry))

    def sure(self, number: int, sure: bool) -> None:
        then = self.thens.pop(number, None)
        if then is not None:
            then(sure)

    def close(self) -> None:
        """Danger: what waits for a successor that is gone must not go out as if it were kept."""
        for number in list(self.thens):
            self.sure(number, False)


class Leaving:
    """The old front's side. `back()`: the successor failed; `gone()`: nothing is left to be done here."""

    def __init__(
        self, front, sock: socket.socket, back: Callable[[], None], gone: Callable[[], None]
    ) -> None:
        self.front, self.driver, self.back, self.gone = front, front.driver, back, gone
        self.served = self.over = False
        self.channel = Channel(front.loop, sock, self.heard, self.ended)
        self.give()

    def give(self) -> None:
        front, driver = self.front, self.driver
        front.server.pause_accepting()
        front.nodes.leaving = True
        front.follower.pause_following()
        front.close_peers()
        if front.console is not None:
            front.console.close()
            front.console = None
        driver.successor = self
        say = self.channel.send
        follower = front.follower
        rows, titles = list(follower.rows.values()), list(follower.titles.values())
        for few in pieces(rows):
            say(
                "list",
                _pack(
                    Lists(
                        few, [], follower.version, sorted(follower.drained_nodes), follower.subscription.epoch
                    )
                ),
            )
        for few in pieces(titles):
            say("list", _pack(Lists([], few, follower.version, [], follower.subscription.epoch)))
        for few in pieces((name, node.last_seen_at) for name, node in front.nodes.nodes.items()):
            say("known", _pack(few))
        for few in pieces(self.reports()):
            say("reports", _pack(few))
        found = {
            active_play.info.play
            for active_plays in front.viewers.resumed_plays.values()
            for active_play in active_plays
        }
        plays = [
            active_play for active_play in driver.plays.values() if active_play.playing_number is not None
        ]
        for few in pieces(
            carried(active_play, active_play.node, active_play.info.play in found) for active_play in plays
        ):
            say("plays", _pack(few))
        flights = [
            carried(active_play, active_play.latest_node)
            for active_play in [*driver.plays.values(), *driver.plays_at_predecessor.values()]
            if active_play.playing_number is None and (active_play.pending or not active_play.answered)
        ]
        for few in pieces(flights):
            say("flights", _pack(few))
        kept = [
            (old, active_play.info.play)
            for old, active_play in front.viewers.continuations.items()
            if active_play.stored_answer is not None
            and active_play.stored_answer[0] == 200
            and active_play.playing_number is not None
        ]
        for few in pieces(kept):
            say("kept", _pack(few))
        moving = [
            carried(active_play, "", True)
            for active_play in driver.plays.values()
            if active_play.moved_from and not active_play.answered and active_play.exchange is None
        ]
        for few in pieces(moving):
            say("moving", _pack(few))
        state = self.hand_store()
        for few in pieces(state.entries() if state is not None else ()):
            say("entries", _pack(few))
        say("whole", front.driver.counts)

    def reports(self) -> list[tuple[int, str, str, float]]:
        """What nodes told lately, when, in the order of its times."""
        mover, now = self.driver.moves.mover, self.driver.clock.now()
        late = self.driver.start_settings["specifics.told_late"]
        found = [
            (load.reported_at + late, name, "link_asked", load.reported_load)
            for name, load in mover.node_loads.items()
            if now - load.reported_at <= REPORT_MAX_AGE_TICKS
        ]
        racks = {info.rack: name for name, info in mover.nodes.items()}
        found += [
            (load.reported_at + late, racks[rack], "uplink_asked", load.reported_load)
            for rack, load in mover.rack_loads.items()
            if now - load.reported_at <= REPORT_MAX_AGE_TICKS and rack in racks
        ]
        return sorted(found)

    def hand_store(self) -> State | None:
        """Give the folder up; the state itself goes along only where there is no folder."""
        play_store = self.driver.play_store
        folder = not isinstance(play_store.store, MemoryStore)
        play_store.store.close()
        play_store.store = Forward(self.channel, play_store.state)
        return None if folder else play_store.state

    def heard(self, kind: str, facts: list, fds: list[int]) -> None:
        if kind == "serving":
            self.served = True
            for play in [
                p for p, active_play in self.driver.plays.items() if active_play.playing_number is not None
            ]:
                del self.driver.plays[play]  # the successor's now
            self.front.server.successor = self.line
            self.front.log.info(
                "handed over", left=len(self.driver.plays), connections=len(self.front.server.connections)
            )
            self.look()
        elif kind == "list":
            lists = unpack(Lists, facts[0])
            self.front.follower.apply_listing(
                forms.Listing("changes", lists.version, 0, lists.rows, lists.titles), "changes"
            )
        elif kind == "sure" and isinstance(self.driver.play_store.store, Forward):
            self.driver.play_store.store.sure(*facts)

    def passed(self, active_play: ActivePlay, kept: bool = False) -> None:
        """A set-up of the old front's has played: it goes on with the successor. `kept`: the answer waits."""
        self.channel.send(
            "passed",
            _pack(carried(active_play, active_play.node)),
            kept or active_play.stored_answer is not None,
        )
        if self.served:
            self.driver.plays.pop(active_play.info.play, None)

    def lost(self, active_play: ActivePlay) -> None:
        self.channel.send("lost", active_play.info.play, active_play.moved_from)

    def line(self, sock: socket.socket, data: bytes) -> None:
        """A viewer's connection; the loop has stopped reading from it."""
        number = os.dup(sock.fileno())
        self.front.loop.call_soon(sock.close)
        self.channel.send("line", data, fds=(number,))

    def look(self) -> None:
        """Leave once nothing is owed, nothing out, and no connection is left."""
        if self.over:
            return
        front, before = self.front, self.front.predecessor
        owed = self.driver.plays or self.driver.moves.retrying or front.server.connections
        # Danger: a chain of hand-overs. What this front's own predecessor still sends comes through here.
        owed = owed or before is not None and not before.channel.closed
        if owed or not self.channel.flush():
            self.front.timers.after(LINGER, self.look)
        else:
            self.over = True
            self.gone()

    def ended(self) -> None:
        if self.over:
            return
        if self.served:
            # the successor is gone after it served: what is owed here is still answered, lines are closed
            self.front.log.warning("the successor is gone")
            self.front.server.successor = lambda sock, data: self.front.loop.call_soon(sock.close)
            return
        self.over = True
        self.driver.successor = None
        self.driver.play_store.store.close()
        self.front.open_store()
        self.front.nodes.leaving = False
        self.front.follower.resume_following()
        for node in self.front.nodes.nodes.values():
            self.front.nodes.open_stream(node)
        self.front.open_peers()
        self.front.server.start_accepting()
        self.back()


class Coming:
    """The successor's side: collects, then calls `ready(self)` once, or `failed(why)` if it can't."""

    def __init__(
        self, loop, sock: socket.socket, ready: Callable[["Coming"], None], failed: Callable[[str], None]
    ) -> None:
        self.loop, self.ready, self.failed, self.front = loop, ready, failed, None
        self.rows: list[forms.Row] = []
        self.titles: list[forms.Title] = []
        self.version, self.life, self.drained, self.counts = 0, "", set(), {}
        self.since: dict[str, int] = {}
        self.reports: list[tuple[int, str, str, float]] = []
        self.plays: list[Carried] = []
        self.flights: list[Carried] = []
        self.moving: list[Carried] = []
        self.kept: list[tuple[str, str]] = []
        self.entries: list[Entry] = []
        self.expected: dict[str, ActivePlay] = {}  # moved play -> what its viewer may be waiting for here
        self.channel = Channel(loop, sock, self.heard, self.ended)

    def heard(self, kind: str, facts: list, fds: list[int]) -> None:
        if self.front is not None:
            getattr(self, f"heard_{kind}")(*facts, *fds)
        elif kind == "list":
            lists = unpack(Lists, facts[0])
            self.rows += lists.rows
            self.titles += lists.titles
            self.version, self.life = lists.version, lists.life
            self.drained |= set(lists.drained)
        elif kind == "known":
            self.since |= dict(unpack(list[tuple[str, int]], facts[0]))
        elif kind == "reports":
            self.reports += unpack(list[tuple[int, str, str, float]], facts[0])
        elif kind in ("plays", "flights", "moving"):
            getattr(self, kind).extend(unpack(list[Carried], facts[0]))
        elif kind == "kept":
            self.kept += unpack(list[tuple[str, str]], facts[0])
        elif kind == "entries":
            self.entries += unpack(list[Entry], facts[0])
        elif kind == "whole":
            self.counts = facts[0]
            self.ready(self)

    def ended(self) -> None:
        if self.front is None:
            self.failed("the old front is gone")
        else:
            for play in list(self.front.driver.plays_at_predecessor):
                self.heard_lost(play, "")
            for old in list(self.expected):
                self.heard_lost("", old)

    # ---- taking up

    def born(self) -> int | None:
        """When the old front first knew a node: from there on the module is told again what happened."""
        return min(self.since.values(), default=None)

    def take_up(self, front) -> None:
        """Tell a fresh front, sockets not yet open, all that the old one knew, in the order of its times.

        Danger: a module that is born now paces every node as cold and declines plays for nothing. So it is
        told of the nodes at the times at which its predecessor was.
        """
        self.front, driver = front, front.driver
        front.follower.on_listing = self.tell_list
        now, unix = driver.clock.now(), int(time.time() * 1000)
        follower = front.follower
        follower.drained_nodes = set(self.drained)
        follower.rows = {row.node: row for row in self.rows}
        follower.titles = {title.title: title for title in self.titles}
        front.viewers.titles, follower.version = follower.titles, self.version
        follower.subscription.epoch = self.life
        shown = [follower.with_local_drain(row) for row in self.rows]
        front.nodes.listed([row for row in shown if row.state != "gone"], whole=True)
        for name, node in front.nodes.nodes.items():
            node.last_seen_at, node.from_predecessor = min(now, self.since.get(name, now)), True
        told = [(min(now, self.since.get(row.node, now)), 0, row) for row in shown]
        told += [(min(now, at), 1, (name, kind, value)) for at, name, kind, value in self.reports]
        for at, what, fact in sorted(told, key=lambda row: row[:2]):
            if what == 0:
                driver.dispatch_at(at, "listed", "changes", [module_row(fact, driver)])
            else:
                driver.dispatch_at(at, "note", "", 0, *fact)
        driver.moves.nodes_listed([row for row in shown if row.state != "gone"], now, unix)
        for at, name, kind, value in self.reports:
            driver.moves.mover.node_reported(at, name, kind, value)
        for name, count in self.counts.items():
            driver.counts[name] = count
        for ply in self.plays:
            self.carry(ply)
        for ply in self.flights:
            title = front.viewers.titles.get(ply.facts.title)
            if title is not None:
                active_play = driver.plays_at_predecessor[ply.facts.play] = ActivePlay(
                    ply.facts, title, None, ply.limit, ply.taken
                )
                active_play.latest_node = ply.node
                # it takes a seat, wherever it is being set up
                driver.register_existing_play(active_play, ply.node)
        for ply in self.moving:
            self.expect(ply)
        for old, play in self.kept:
            active_play = driver.plays.get(play)
            if active_play is not None:
                # kept for its viewer
                front.viewers.play(active_play, active_play.playing_number + active_play.number_offset)
                front.viewers.continuations[old] = active_play

    def serving(self) -> None:
        self.channel.send("serving")

    def tell_list(self, listing: forms.Listing) -> None:
        """The old front still sets plays up, and must know of drains (rule 3)."""
        for few in pieces(listing.rows):
            self.channel.send("list", _pack(Lists(few, [], listing.version, [])))

    def carry(self, ply: Carried) -> ActivePlay | None:
        """A play of the old front's is this one's now."""
        front, driver = self.front, self.front.driver
        title = front.viewers.titles.get(ply.facts.title)
        if title is None or ply.facts.product not in front.viewers.products:
            return None
        active_play = ActivePlay(ply.facts, title, None, ply.limit, ply.taken)
        (
            active_play.answered,
            active_play.last_number,
            active_play.playing_number,
            active_play.number_offset,
        ) = True, 0, 0, ply.facts.number
        active_play.node, active_play.rung, active_play.playing_since = (
            ply.node,
            ply.facts.rung,
            driver.clock.now(),
        )
        driver.plays[ply.facts.play] = active_play
        if ply.found:
            front.viewers.resumed(active_play)
        driver.register_existing_play(active_play, ply.node)
        driver.dispatch("note", ply.facts.play, 0, ply.node, "rung", float(ply.facts.rung))
        driver.moves.play_started(active_play)
        return active_play

    def expect(self, ply: Carried) -> None:
        """A move under way at the old front: its viewer may come here for the answer."""
        driver, viewers = self.front.driver, self.front.viewers
        title = viewers.titles.get(ply.facts.title)
        if title is None:
            return
        active_play = ActivePlay(ply.facts, title, None, ply.limit, ply.taken)
        self.expected[ply.moved_from] = active_play
        viewers.continuations[ply.moved_from] = active_play
        span = max(0, ply.limit - driver.clock.now()) / SECOND + 0.02
        active_play.deadline_timer = self.front.timers.after(span, self.heard_lost, "", ply.moved_from)

    # ---- while the old front finishes

    def heard_passed(self, data: bytes, kept: bool) -> None:
        ply, driver = unpack(Carried, data), self.front.driver
        play = ply.facts.play
        flight = driver.plays_at_predecessor.pop(play, None)
        waiting = self.settled(ply.moved_from)
        if play in driver.plays:  # its node told of it first
            self.front.viewers.resumed_plays.pop((ply.facts.viewer, ply.facts.title, ply.facts.product), None)
            active_play = driver.plays[play]
        else:
            if flight is not None and flight.latest_node != ply.node:
                driver.dispatch("ended", play, 0, flight.latest_node, "withdrawn", True, 0, {})
            active_play = self.carry(ply)
        if active_play is None:
            return
        if driver.successor is not None:  # handed over once more meanwhile
            active_play.moved_from = ply.moved_from
            driver.successor.passed(active_play, kept)
            return
        if not kept:
            return
        # its viewer has not come for the answer, or has come here
        viewers = self.front.viewers
        active_play.exchange = waiting.exchange if waiting is not None else None
        if active_play.exchange is not None:
            active_play.exchange.on_disconnect = None
        viewers.play(active_play, active_play.playing_number + active_play.number_offset)
        if active_play.stored_answer is not None and ply.moved_from:
            viewers.continuations[ply.moved_from] = active_play

    def heard_lost(self, play: str, moved_from: str) -> None:
        driver = self.front.driver
        flight = driver.plays_at_predecessor.pop(play, None)
        if flight is not None and play not in driver.plays:
            driver.dispatch("ended", play, 0, flight.latest_node, "withdrawn", True, 0, {})
        waiting = self.settled(moved_from)
        if driver.successor is not None and flight is not None:
            driver.successor.lost(flight)
        if waiting is not None and waiting.exchange is not None:
            self.front.viewers.decline(waiting, 0)
        elif moved_from:
            self.front.viewers.continuations.pop(moved_from, None)

    def settled(self, moved_from: str) -> ActivePlay | None:
        active_play = self.expected.pop(moved_from, None)
        if active_play is not None and active_play.deadline_timer is not None:
            active_play.deadline_timer.cancel()
        return active_play

    def heard_entry(self, number: int, data: bytes) -> None:
        entry, play_store = unpack(Entry, data), self.front.driver.play_store
        then = (lambda sure: self.channel.send("sure", number, sure)) if number else None
        play_store.store.add(entry, then)

    def heard_line(self, data: bytes, number: int) -> None:
        self.front.server.adopt_descriptor(number, data)
