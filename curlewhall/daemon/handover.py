"""The hand-over from a front to its successor: protocol, sending side and receiving side.

Both processes share one channel. The predecessor sends its state in this order: `list` (nodes and titles),
`known` (when it first knew each node), `reports`, `plays`, `flights` (plays whose set-up is in progress),
`kept` (stored answers of moved plays), `moving` (moves in progress), `entries` (stored state), `whole` (end,
with the counts). The successor answers `serving`. From then on the predecessor only finishes its work:
`passed` and `lost` report the results of its set-ups, `entry` is an entry to store (answered by `sure`),
`line` is a viewer connection with the first bytes of its next request. The successor sends changes of nodes
as `list`.

Each play must have exactly one front responsible for it. Until `serving` that is the predecessor for all
plays; if the channel closes before, the successor has failed and the predecessor continues.

Times are ticks of 0.1 ms unless a name says otherwise.
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

BATCH_SIZE = 200  # plays, rows or titles per message: about 60 kB
TICKS_PER_SECOND = 10_000
CHECK_INTERVAL_S = 0.02  # between checks whether the predecessor has finished


class TransferredPlay(msgspec.Struct, frozen=True, array_like=True):
    """A play to be handed over.

    `node` is its node or the last one asked. `taken` and `limit` are the times of its request and of its
    deadline. `found`: it was resumed and its viewer may still request it.
    """

    facts: forms.PlayInfo
    node: str
    taken: int
    limit: int
    found: bool = False
    moved_from: str = ""


class ListPart(msgspec.Struct, frozen=True, array_like=True):
    """Part of the list of nodes and titles."""

    rows: list[forms.Row]
    titles: list[forms.Title]
    version: int
    drained: list[str]
    life: str = ""  # of the list service; versions are compared only within it


_encode = msgspec.msgpack.Encoder().encode
_decoders = {
    form: msgspec.msgpack.Decoder(form)
    for form in (
        TransferredPlay,
        ListPart,
        list[TransferredPlay],
        list[Entry],
        list[tuple[str, int]],
        list[tuple[int, str, str, float]],
        list[tuple[str, str]],
        Entry,
    )
}


def decode(form, data: bytes):
    """Decode one of the types of `_decoders`."""
    return _decoders[form].decode(data)


def batches(items: Iterable, size: int = BATCH_SIZE) -> Iterable[list]:
    """Split the items into lists of `size` at most."""
    items = list(items)
    for i in range(0, len(items), size):
        yield items[i : i + size]


def transferred_play(active_play: ActivePlay, node: str, found: bool = False) -> TransferredPlay:
    """A play in the form in which it is handed over, with the number of its latest allocation."""
    number = (
        active_play.playing_number
        if active_play.playing_number is not None
        else max(0, active_play.last_number)
    ) + active_play.number_offset
    return TransferredPlay(
        msgspec.structs.replace(active_play.info, number=number, rung=active_play.rung),
        node,
        active_play.received_at,
        active_play.deadline,
        found,
        active_play.moved_from,
    )


class ForwardingStore:
    """Replaces the predecessor's store: sends entries to the successor, which has opened the state folder."""

    def __init__(self, channel: Channel, state: State) -> None:
        self.channel = channel
        self.state = state
        self.entries_sent = 0
        self.callbacks: dict[int, Callable[[bool], None]] = {}  # by number of the entry
        self.failing = False

    def add(self, entry: Entry, then: Callable[[bool], None] | None = None) -> None:
        self.state.apply(entry)
        self.entries_sent += 1
        if then is not None:
            self.callbacks[self.entries_sent] = then
        self.channel.send("entry", self.entries_sent if then else 0, _encode(entry))

    def entry_stored(self, number: int, stored: bool) -> None:
        """The successor has stored an entry, or failed to."""
        then = self.callbacks.pop(number, None)
        if then is not None:
            then(stored)

    def close(self) -> None:
        """Fail the entries that the successor has not confirmed: they must not count as stored."""
        for number in list(self.callbacks):
            self.entry_stored(number, False)


class OutgoingHandover:
    """The predecessor's side of a hand-over; begins at once.

    Calls `on_failed()` if the successor failed before it served, or `on_finished()` once this front has
    nothing left to do. `served`: the successor serves.
    """

    def __init__(
        self, front, sock: socket.socket, on_failed: Callable[[], None], on_finished: Callable[[], None]
    ) -> None:
        self.front = front
        self.driver = front.driver
        self.on_failed = on_failed
        self.on_finished = on_finished
        self.served = False
        self.finished = False
        self.channel = Channel(front.loop, sock, self.message_received, self.channel_closed)
        self.send_state()

    def send_state(self) -> None:
        """Stop accepting connections and send the state of this front."""
        front, driver = self.front, self.driver
        front.server.pause_accepting()
        front.nodes.leaving = True
        front.follower.pause_following()
        front.close_peers()
        if front.console is not None:
            front.console.close()
            front.console = None
        driver.successor = self
        send = self.channel.send
        follower = front.follower
        rows, titles = list(follower.rows.values()), list(follower.titles.values())
        for batch in batches(rows):
            send(
                "list",
                _encode(
                    ListPart(
                        batch,
                        [],
                        follower.version,
                        sorted(follower.drained_nodes),
                        follower.subscription.epoch,
                    )
                ),
            )
        for batch in batches(titles):
            send("list", _encode(ListPart([], batch, follower.version, [], follower.subscription.epoch)))
        for batch in batches((name, node.last_seen_at) for name, node in front.nodes.nodes.items()):
            send("known", _encode(batch))
        for batch in batches(self.recent_reports()):
            send("reports", _encode(batch))
        found = {
            active_play.info.play
            for active_plays in front.viewers.resumed_plays.values()
            for active_play in active_plays
        }
        plays = [
            active_play for active_play in driver.plays.values() if active_play.playing_number is not None
        ]
        for batch in batches(
            transferred_play(active_play, active_play.node, active_play.info.play in found)
            for active_play in plays
        ):
            send("plays", _encode(batch))
        flights = [
            transferred_play(active_play, active_play.latest_node)
            for active_play in [*driver.plays.values(), *driver.plays_at_predecessor.values()]
            if active_play.playing_number is None and (active_play.pending or not active_play.answered)
        ]
        for batch in batches(flights):
            send("flights", _encode(batch))
        kept = [
            (old, active_play.info.play)
            for old, active_play in front.viewers.continuations.items()
            if active_play.stored_answer is not None
            and active_play.stored_answer[0] == 200
            and active_play.playing_number is not None
        ]
        for batch in batches(kept):
            send("kept", _encode(batch))
        moving = [
            transferred_play(active_play, "", True)
            for active_play in driver.plays.values()
            if active_play.moved_from and not active_play.answered and active_play.exchange is None
        ]
        for batch in batches(moving):
            send("moving", _encode(batch))
        state = self.release_store()
        for batch in batches(state.entries() if state is not None else ()):
            send("entries", _encode(batch))
        send("whole", front.driver.counts)

    def recent_reports(self) -> list[tuple[int, str, str, float]]:
        """Recent load reports as (time, node, kind, value), sorted by time."""
        mover, now = self.driver.moves.mover, self.driver.clock.now()
        report_delay = self.driver.start_settings["specifics.told_late"]
        found = [
            (load.reported_at + report_delay, name, "link_asked", load.reported_load)
            for name, load in mover.node_loads.items()
            if now - load.reported_at <= REPORT_MAX_AGE_TICKS
        ]
        racks = {info.rack: name for name, info in mover.nodes.items()}
        found += [
            (load.reported_at + report_delay, racks[rack], "uplink_asked", load.reported_load)
            for rack, load in mover.rack_loads.items()
            if now - load.reported_at <= REPORT_MAX_AGE_TICKS and rack in racks
        ]
        return sorted(found)

    def release_store(self) -> State | None:
        """Close the store so that the successor can open its folder; without a folder, the state to send."""
        play_store = self.driver.play_store
        has_folder = not isinstance(play_store.store, MemoryStore)
        play_store.store.close()
        play_store.store = ForwardingStore(self.channel, play_store.state)
        return None if has_folder else play_store.state

    def message_received(self, kind: str, values: list, fds: list[int]) -> None:
        if kind == "serving":
            self.served = True
            for play in [
                p for p, active_play in self.driver.plays.items() if active_play.playing_number is not None
            ]:
                del self.driver.plays[play]  # the successor is responsible for it now
            self.front.server.successor = self.send_connection
            self.front.log.info(
                "handed over", left=len(self.driver.plays), connections=len(self.front.server.connections)
            )
            self.check_finished()
        elif kind == "list":
            lists = decode(ListPart, values[0])
            self.front.follower.apply_listing(
                forms.Listing("changes", lists.version, 0, lists.rows, lists.titles), "changes"
            )
        elif kind == "sure" and isinstance(self.driver.play_store.store, ForwardingStore):
            self.driver.play_store.store.entry_stored(*values)

    def set_up_succeeded(self, active_play: ActivePlay, kept: bool = False) -> None:
        """Pass a play that this front has set up to the successor; `kept`: its viewer has no answer yet."""
        self.channel.send(
            "passed",
            _encode(transferred_play(active_play, active_play.node)),
            kept or active_play.stored_answer is not None,
        )
        if self.served:
            self.driver.plays.pop(active_play.info.play, None)

    def set_up_ended(self, active_play: ActivePlay) -> None:
        """Report to the successor that a set-up of this front has led to no play."""
        self.channel.send("lost", active_play.info.play, active_play.moved_from)

    def send_connection(self, sock: socket.socket, data: bytes) -> None:
        """Pass a viewer connection to the successor; the loop has stopped reading from it."""
        descriptor = os.dup(sock.fileno())
        self.front.loop.call_soon(sock.close)
        self.channel.send("line", data, fds=(descriptor,))

    def check_finished(self) -> None:
        """Finish once no answer, no message to the successor and no connection is left."""
        if self.finished:
            return
        front, before = self.front, self.front.predecessor
        unfinished = self.driver.plays or self.driver.moves.retrying or front.server.connections
        # after two hand-overs in a row, messages of this front's own predecessor still pass through it
        unfinished = unfinished or before is not None and not before.channel.closed
        if unfinished or not self.channel.all_sent():
            self.front.timers.after(CHECK_INTERVAL_S, self.check_finished)
        else:
            self.finished = True
            self.on_finished()

    def channel_closed(self) -> None:
        """Continue to serve if the successor has not served yet."""
        if self.finished:
            return
        if self.served:
            # accepted requests are still answered here; connections with a new request are closed
            self.front.log.warning("the successor ended")
            self.front.server.successor = lambda sock, data: self.front.loop.call_soon(sock.close)
            return
        self.finished = True
        self.driver.successor = None
        self.driver.play_store.store.close()
        self.front.open_store()
        self.front.nodes.leaving = False
        self.front.follower.resume_following()
        for node in self.front.nodes.nodes.values():
            self.front.nodes.open_stream(node)
        self.front.open_peers()
        self.front.server.start_accepting()
        self.on_failed()


class IncomingHandover:
    """The successor's side of a hand-over.

    Collects the predecessor's state, then calls `on_complete(self)` once, or `on_failed(why)` if the
    predecessor ended before. `restore` gives the state to a new front, to which later messages go.
    """

    def __init__(
        self,
        loop,
        sock: socket.socket,
        on_complete: Callable[["IncomingHandover"], None],
        on_failed: Callable[[str], None],
    ) -> None:
        self.loop = loop
        self.on_complete = on_complete
        self.on_failed = on_failed
        self.front = None
        self.rows: list[forms.Row] = []
        self.titles: list[forms.Title] = []
        self.version = 0
        self.life = ""
        self.drained_nodes = set()
        self.counts = {}
        self.node_times: dict[str, int] = {}  # when the predecessor first knew each node
        self.reports: list[tuple[int, str, str, float]] = []
        self.plays: list[TransferredPlay] = []
        self.flights: list[TransferredPlay] = []
        self.moving: list[TransferredPlay] = []
        self.kept: list[tuple[str, str]] = []
        self.entries: list[Entry] = []
        self.awaited_moves: dict[str, ActivePlay] = {}  # by id of the moved play
        self.channel = Channel(loop, sock, self.message_received, self.channel_closed)

    def message_received(self, kind: str, values: list, fds: list[int]) -> None:
        if self.front is not None:
            getattr(self, f"handle_{kind}")(*values, *fds)
        elif kind == "list":
            lists = decode(ListPart, values[0])
            self.rows += lists.rows
            self.titles += lists.titles
            self.version, self.life = lists.version, lists.life
            self.drained_nodes |= set(lists.drained)
        elif kind == "known":
            self.node_times |= dict(decode(list[tuple[str, int]], values[0]))
        elif kind == "reports":
            self.reports += decode(list[tuple[int, str, str, float]], values[0])
        elif kind in ("plays", "flights", "moving"):
            getattr(self, kind).extend(decode(list[TransferredPlay], values[0]))
        elif kind == "kept":
            self.kept += decode(list[tuple[str, str]], values[0])
        elif kind == "entries":
            self.entries += decode(list[Entry], values[0])
        elif kind == "whole":
            self.counts = values[0]
            self.on_complete(self)

    def channel_closed(self) -> None:
        """The predecessor has ended: its unfinished set-ups and moves are lost."""
        if self.front is None:
            self.on_failed("the predecessor ended before the hand-over was complete")
        else:
            for play in list(self.front.driver.plays_at_predecessor):
                self.handle_lost(play, "")
            for old in list(self.awaited_moves):
                self.handle_lost("", old)

    # ---- restoring the state

    def earliest_node_time(self) -> int | None:
        """When the predecessor first knew a node: the start of the policy module's replayed history."""
        return min(self.node_times.values(), default=None)

    def restore(self, front) -> None:
        """Give the predecessor's state to a new front whose sockets are not open yet, in order of time.

        The policy module gets nodes and reports with the predecessor's times: otherwise it would take every
        node for cold, limit its rate of plays and decline plays without need.
        """
        self.front, driver = front, front.driver
        front.follower.on_listing = self.send_list
        now, unix = driver.clock.now(), int(time.time() * 1000)
        follower = front.follower
        follower.drained_nodes = set(self.drained_nodes)
        follower.rows = {row.node: row for row in self.rows}
        follower.titles = {title.title: title for title in self.titles}
        front.viewers.titles, follower.version = follower.titles, self.version
        follower.subscription.epoch = self.life
        shown = [follower.with_local_drain(row) for row in self.rows]
        front.nodes.listed([row for row in shown if row.state != "gone"], whole=True)
        for name, node in front.nodes.nodes.items():
            node.last_seen_at, node.from_predecessor = min(now, self.node_times.get(name, now)), True
        history = [(min(now, self.node_times.get(row.node, now)), 0, row) for row in shown]
        history += [(min(now, at), 1, (name, kind, value)) for at, name, kind, value in self.reports]
        for at, kind_order, event in sorted(history, key=lambda entry: entry[:2]):
            if kind_order == 0:
                driver.dispatch_at(at, "listed", "changes", [module_row(event, driver)])
            else:
                driver.dispatch_at(at, "note", "", 0, *event)
        driver.moves.nodes_listed([row for row in shown if row.state != "gone"], now, unix)
        for at, name, kind, value in self.reports:
            driver.moves.mover.node_reported(at, name, kind, value)
        for name, count in self.counts.items():
            driver.counts[name] = count
        for transfer in self.plays:
            self.take_over_play(transfer)
        for transfer in self.flights:
            title = front.viewers.titles.get(transfer.facts.title)
            if title is not None:
                active_play = driver.plays_at_predecessor[transfer.facts.play] = ActivePlay(
                    transfer.facts, title, None, transfer.limit, transfer.taken
                )
                active_play.latest_node = transfer.node
                # it occupies a seat at the node that is asked
                driver.register_existing_play(active_play, transfer.node)
        for transfer in self.moving:
            self.await_move(transfer)
        for old, play in self.kept:
            active_play = driver.plays.get(play)
            if active_play is not None:
                # the answer is stored for its viewer
                front.viewers.play(active_play, active_play.playing_number + active_play.number_offset)
                front.viewers.continuations[old] = active_play

    def announce_serving(self) -> None:
        """Tell the predecessor that this front serves and takes over its plays."""
        self.channel.send("serving")

    def send_list(self, listing: forms.Listing) -> None:
        """Send changes of nodes to the predecessor: it still sets plays up and needs drains (rule 3)."""
        for batch in batches(listing.rows):
            self.channel.send("list", _encode(ListPart(batch, [], listing.version, [])))

    def take_over_play(self, transfer: TransferredPlay) -> ActivePlay | None:
        """Make the new front responsible for a play; None if its title or product is unknown."""
        front, driver = self.front, self.front.driver
        title = front.viewers.titles.get(transfer.facts.title)
        if title is None or transfer.facts.product not in front.viewers.products:
            return None
        active_play = ActivePlay(transfer.facts, title, None, transfer.limit, transfer.taken)
        active_play.answered = True
        active_play.last_number = 0
        active_play.playing_number = 0
        active_play.number_offset = transfer.facts.number
        active_play.node = transfer.node
        active_play.rung = transfer.facts.rung
        active_play.playing_since = driver.clock.now()
        driver.plays[transfer.facts.play] = active_play
        if transfer.found:
            front.viewers.resumed(active_play)
        driver.register_existing_play(active_play, transfer.node)
        driver.dispatch("note", transfer.facts.play, 0, transfer.node, "rung", float(transfer.facts.rung))
        driver.moves.play_started(active_play)
        return active_play

    def await_move(self, transfer: TransferredPlay) -> None:
        """Register a move in progress at the predecessor: its viewer may request the answer here."""
        driver, viewers = self.front.driver, self.front.viewers
        title = viewers.titles.get(transfer.facts.title)
        if title is None:
            return
        active_play = ActivePlay(transfer.facts, title, None, transfer.limit, transfer.taken)
        self.awaited_moves[transfer.moved_from] = active_play
        viewers.continuations[transfer.moved_from] = active_play
        span = max(0, transfer.limit - driver.clock.now()) / TICKS_PER_SECOND + 0.02
        active_play.deadline_timer = self.front.timers.after(span, self.handle_lost, "", transfer.moved_from)

    # ---- while the predecessor finishes

    def handle_passed(self, data: bytes, kept: bool) -> None:
        """The predecessor has set a play up; `kept`: its viewer has no answer yet."""
        transfer, driver = decode(TransferredPlay, data), self.front.driver
        play = transfer.facts.play
        in_flight = driver.plays_at_predecessor.pop(play, None)
        waiting = self.end_awaited_move(transfer.moved_from)
        if play in driver.plays:  # its node reported it before this message
            self.front.viewers.resumed_plays.pop(
                (transfer.facts.viewer, transfer.facts.title, transfer.facts.product), None
            )
            active_play = driver.plays[play]
        else:
            if in_flight is not None and in_flight.latest_node != transfer.node:
                driver.dispatch("ended", play, 0, in_flight.latest_node, "withdrawn", True, 0, {})
            active_play = self.take_over_play(transfer)
        if active_play is None:
            return
        if driver.successor is not None:  # this front has begun its own hand-over
            active_play.moved_from = transfer.moved_from
            driver.successor.set_up_succeeded(active_play, kept)
            return
        if not kept:
            return
        # its viewer has not requested the answer yet, or has requested it here
        viewers = self.front.viewers
        active_play.exchange = waiting.exchange if waiting is not None else None
        if active_play.exchange is not None:
            active_play.exchange.on_disconnect = None
        viewers.play(active_play, active_play.playing_number + active_play.number_offset)
        if active_play.stored_answer is not None and transfer.moved_from:
            viewers.continuations[transfer.moved_from] = active_play

    def handle_lost(self, play: str, moved_from: str) -> None:
        """A set-up (`play`) or a move (of the play `moved_from`) of the predecessor has led to no play."""
        driver = self.front.driver
        in_flight = driver.plays_at_predecessor.pop(play, None)
        if in_flight is not None and play not in driver.plays:
            driver.dispatch("ended", play, 0, in_flight.latest_node, "withdrawn", True, 0, {})
        waiting = self.end_awaited_move(moved_from)
        if driver.successor is not None and in_flight is not None:
            driver.successor.set_up_ended(in_flight)
        if waiting is not None and waiting.exchange is not None:
            self.front.viewers.decline(waiting, 0)
        elif moved_from:
            self.front.viewers.continuations.pop(moved_from, None)

    def end_awaited_move(self, moved_from: str) -> ActivePlay | None:
        """Stop waiting for a move; what `await_move` registered for it, if anything."""
        active_play = self.awaited_moves.pop(moved_from, None)
        if active_play is not None and active_play.deadline_timer is not None:
            active_play.deadline_timer.cancel()
        return active_play

    def handle_entry(self, number: int, data: bytes) -> None:
        """Store an entry of the predecessor; it waits for the answer unless `number` is 0."""
        entry, play_store = decode(Entry, data), self.front.driver.play_store
        then = (lambda stored: self.channel.send("sure", number, stored)) if number else None
        play_store.store.add(entry, then)

    def handle_line(self, data: bytes, descriptor: int) -> None:
        """Serve a viewer connection of the predecessor."""
        self.front.server.adopt_descriptor(descriptor, data)
