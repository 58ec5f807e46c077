"""The driver of the module: one call for each thing that happens, in order; every answer carried out.

A play is known here from its request until its last allocation has ended. What the module is told passes
one queue (`dispatch`), so that a call that follows from carrying out an answer waits until that answer's
list is done.
"""

import time
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from curlewhall.interface import NodeRow
from curlewhall.recovery.null_objects import NoPlayStore
from curlewhall.sites.null_objects import NoSites

if TYPE_CHECKING:  # a front end that speaks no HTTP loads none of it
    from curlewhall.wire.forms import PlayInfo, Title
    from curlewhall.wire.server import Exchange

TICKS_PER_SECOND = 10_000
MAX_NODE_STARTS = (
    10_000  # nodes whose starts are kept: many times a fleet, machines are replaced under new names
)
PROVEN_NOT_RUN = ("full", "unreached", "not_sent")  # endings after which nothing can have run


class Clock:
    """Whole tenths of a millisecond that never go back, whatever the machine's clock does."""

    def __init__(self, source: Callable[[], float] = time.monotonic) -> None:
        self.source, self.last = source, 0

    def now(self) -> int:
        self.last = max(self.last, int(self.source() * TICKS_PER_SECOND))
        return self.last


class ActivePlay:
    """A play: its request, its allocations by number, and what is in force."""

    __slots__ = (
        "info",
        "title",
        "exchange",
        "deadline",
        "rung",
        "last_number",
        "number_offset",
        "node",
        "pending",
        "playing_number",
        "answered",
        "closed",
        "early_events",
        "deadline_timer",
        "received_at",
        "moved_from",
        "stored_answer",
        "latest_node",
        "playing_since",
    )

    def __init__(
        self, info: "PlayInfo", title: "Title", exchange: "Exchange | None", deadline: int, received_at: int
    ) -> None:
        self.info, self.title, self.exchange, self.deadline, self.received_at = (
            info,
            title,
            exchange,
            deadline,
            received_at,
        )
        self.rung, self.last_number, self.number_offset, self.node = info.rung, -1, 0, ""
        self.pending: dict[int, Any] = {}  # allocations that are out and don't play yet
        self.playing_number: int | None = None
        self.answered = self.closed = False
        # what the node told of an allocation before its set-up's answer was read
        self.early_events: list = []
        self.deadline_timer = None
        self.moved_from = ""  # the play that this one goes on with, on another node
        self.latest_node = ""  # the node of its latest allocation
        self.stored_answer: tuple | None = None  # an answer whose viewer has yet to come for it
        self.playing_since = 0  # when this front heard that it plays


class PendingAllocation:
    """An allocation that has yet to go out: it may have to be on disk first."""

    def __init__(self, driver: "Driver", active_play: ActivePlay, number: int, node: str, until: int) -> None:
        self.driver, self.active_play, self.number, self.node, self.until = (
            driver,
            active_play,
            number,
            node,
            until,
        )
        self.node_row_when_chosen = driver.known_nodes.get(node)

    def send(self, sure: bool) -> None:
        """Send it, unless it was withdrawn meanwhile, or is not surely kept.

        Danger: the disk, or a busy core, takes its time. A viewer who has hung up by now wants nothing more,
        and a node that drains or has started anew since is not the one that was chosen.
        """
        active_play, driver = self.active_play, self.driver
        if active_play.pending.get(self.number) is not self:
            return
        if active_play.exchange is not None and active_play.exchange.hung_up():
            driver.viewer_left(active_play)
            return
        span, same = (
            self.until - driver.clock.now(),
            driver.known_nodes.get(self.node) == self.node_row_when_chosen,
        )
        going = (
            driver.nodes.set_up(active_play, self.number, self.node, span / TICKS_PER_SECOND)
            if sure and same and span > 0
            else None
        )
        if going is None:
            self.withdraw()
        else:
            active_play.pending[self.number] = going

    def withdraw(self) -> None:
        """Nothing went out."""
        self.driver.allocation_ended(self.active_play, self.number, self.node, "not_sent", 0.0, {})


class Driver:
    """Owns one instance of the module. `viewers`, `nodes` and `peers` are set before the first call."""

    def __init__(
        self,
        make: Callable,
        seed: int,
        start_settings: dict,
        timers,
        log,
        clock: Clock | None = None,
        started_at: int | None = None,
    ) -> None:
        self.clock, self.timers, self.log, self.start_settings = clock or Clock(), timers, log, start_settings
        self.queued_calls: deque = deque()
        self.busy = False
        self.plays: dict[str, ActivePlay] = {}
        self.known_nodes: dict[str, tuple[str, int]] = {}  # node -> its state and latest start, as last told
        self.node_starts: dict[str, tuple[int, int]] = {}  # node -> its start: Unix ms, module's time
        self.viewers = self.nodes = self.peers = self.moves = None
        self.play_store, self.sites = NoPlayStore(), NoSites()
        self.successor = None  # once this front hands over: what goes on elsewhere is told to it
        self.plays_at_predecessor: dict[
            str, ActivePlay
        ] = {}  # plays that this front's predecessor is still setting up
        self.counts = dict.fromkeys(
            (
                "asked",
                "played",
                "declined",
                "failed",
                "left",
                "ended",
                "guarded",
                "faults",
                "allocations",
                "resumed",
                "moved",
            ),
            0,
        )
        self.has_side_effects = {
            p["name"]: p["idempotency"] != "pure" for p in start_settings.get("products", ())
        }
        self.module = make(self.clock.now() if started_at is None else started_at, seed, start_settings)
        self.action_handlers = {
            "allocate": self.allocate,
            "rung": self.set_rung,
            "decline": self.decline,
            "fail": self.fail,
            "withdraw": self.withdraw,
            "move": self.move,
            "probe": self.probe,
            "tell": self.tell,
            "wake": self.wake,
            "log": self.log_module_line,
        }

    # ---- what happens

    def dispatch(self, name: str, *facts, **named) -> None:
        """Call the module's `name`; its answers are carried out before the next call is made."""
        self.dispatch_at(None, name, *facts, **named)

    def dispatch_at(self, then: int | None, name: str, *facts, **named) -> None:
        """The same for what happened `then`, before this process began; None: now."""
        self.queued_calls.append((then, name, facts, named))
        if self.busy:
            return
        self.busy = True
        try:
            while self.queued_calls:
                then, name, facts, named = self.queued_calls.popleft()
                try:
                    now = self.clock.now() if then is None else then
                    answers = getattr(self.module, name)(now, *facts, **named)
                except Exception:
                    # Danger: one bad call must not cost the other plays; the guard answers for this one.
                    self.counts["faults"] += 1
                    self.log.exception("the module failed", call=name)
                    continue
                for answer in answers:
                    try:
                        self.action_handlers[answer[0]](*answer[1:])
                    except Exception:
                        # Danger: a play's answer lost since another's could not be carried out before it.
                        self.counts["faults"] += 1
                        self.log.exception("an answer can't be carried out", verb=answer[0])
        finally:
            self.busy = False

    def update_nodes(self, how: str, rows: list[NodeRow]) -> None:
        if how in ("whole", "old_copy"):
            self.known_nodes.clear()
        for row in rows:
            self.known_nodes[row.node] = row.state, row.started
            if row.state == "gone":
                del self.known_nodes[row.node]
        self.dispatch("listed", how, rows)

    def node_start_time(self, node: str, unix_ms: int) -> int:
        """A node's start on the module's clock, 1 at least; 0: long past.

        Danger: reckoned anew for each list it would jitter with both clocks, and a start told twice would
        look like a restart, whose node is paced as cold once more.
        """
        if unix_ms <= 0:
            return 0
        if self.node_starts.get(node, (0, 0))[0] != unix_ms:
            ago = max(0, time.time_ns() // 100_000 - 10 * unix_ms)
            self.node_starts[node] = unix_ms, max(1, self.clock.now() - ago)
            if len(self.node_starts) > MAX_NODE_STARTS:
                del self.node_starts[next(iter(self.node_starts))]
        return self.node_starts[node][1]

    def accept_request(self, active_play: ActivePlay, again: bool, moved: bool) -> None:
        """A viewer's request was taken; from here on it gets exactly one answer."""
        facts = active_play.info
        self.plays[facts.play] = active_play
        self.counts["asked"] += 1
        self.play_store.request_accepted()
        active_play.deadline_timer = self.timers.after(
            max(0, active_play.deadline - self.clock.now()) / TICKS_PER_SECOND + 0.02,
            self.deadline_passed,
            active_play,
        )
        self.dispatch(
            "asked",
            facts.play,
            facts.product,
            facts.customer,
            facts.viewer,
            facts.title,
            active_play.deadline,
            active_play.title.first_place,
            active_play.title.places,
            facts.top,
            None,
            moved,
            again,
        )

    def resume_play(self, facts: "PlayInfo", title: "Title", node: str) -> None:
        """A play of an earlier process of this front, found at its node."""
        now = self.clock.now()
        active_play = ActivePlay(facts, title, None, now, now)
        ran = 10 * self.play_store.min_uptime_ms(facts.play, facts.number)
        self.log.info("resumed", play=facts.play, node=node, rung=facts.rung, ran_ms=ran / 10)
        self.register_existing_play(active_play, node, now - ran)
        self.adopt_play(active_play, node)

    def register_existing_play(self, active_play: ActivePlay, node: str, then: int | None = None) -> None:
        """Tell the module of a play that it did not place; it takes its seat from now on. `then`: when it is
        known to have been there already; None: now.
        """
        facts, title = active_play.info, active_play.title
        self.dispatch_at(
            then,
            "resumed",
            facts.play,
            facts.product,
            facts.customer,
            facts.viewer,
            facts.title,
            title.first_place,
            title.places,
            facts.top,
            None,
            node,
        )

    def adopt_play(self, active_play: ActivePlay, node: str) -> None:
        """A play that the module was told of by `register_existing_play` is this front's."""
        facts = active_play.info
        (
            active_play.answered,
            active_play.last_number,
            active_play.playing_number,
            active_play.number_offset,
            active_play.node,
        ) = True, 0, 0, facts.number, node
        active_play.rung, active_play.playing_since = facts.rung, self.clock.now()
        self.plays[facts.play] = active_play
        self.counts["resumed"] += 1
        self.viewers.resumed(active_play)
        self.dispatch("note", facts.play, 0, node, "rung", float(facts.rung))
        self.moves.play_started(active_play)

    def allocation_ended(
        self, active_play: ActivePlay, number: int, node: str, how: str, took: float, report: dict
    ) -> None:
        """A set-up's exchange is over: `ok` with its first frame, or one of the other endings."""
        active_play.pending.pop(number, None)
        span = int(took * TICKS_PER_SECOND)
        self.sites.allocation_result(node, how)
        if (
            how == "ok"
            and not active_play.answered
            and active_play.exchange is not None
            and active_play.exchange.hung_up()
        ):
            # Danger: it would play on at its node for nobody. What is closed is ended there, below.
            self.viewer_left(active_play)
        if how != "ok" or active_play.closed:
            if how == "ok":
                how = "withdrawn"
            if how not in PROVEN_NOT_RUN:
                self.nodes.end(node, active_play.info.play, number + active_play.number_offset, how)
            self.log.info(
                "allocation ended", play=active_play.info.play, allocation=number, node=node, how=how
            )
            self.dispatch(
                "ended", active_play.info.play, number, node, how, active_play.answered, span, report
            )
            self.forget_if_over(active_play)
            return
        active_play.playing_number, active_play.node, active_play.playing_since = (
            number,
            node,
            self.clock.now(),
        )
        self.play_store.allocation_playing(active_play.info.play, number + active_play.number_offset)
        first = not active_play.answered
        if first:
            # Danger: while the module reckons, the play may end at its node before its viewer knows of it.
            # The answer needs nothing that the module says to a first frame, so it leaves before.
            self.record_answer(active_play, "played")
            self.viewers.play(active_play, number + active_play.number_offset)
        self.log.info(
            "first frame",
            play=active_play.info.play,
            allocation=number,
            node=node,
            rung=active_play.rung,
            took_ms=span / 10,
        )
        self.dispatch("first_frame", active_play.info.play, number, node, span)
        for kind in ("link_asked", "uplink_asked"):
            if kind in report:
                self.dispatch("note", active_play.info.play, number, node, kind, report[kind])
                self.moves.node_reported(node, kind, report[kind])
                self.sites.node_reported(node, kind, report[kind])
        if first:
            if self.successor is not None:
                self.successor.passed(active_play)
            self.moves.play_started(active_play)
        early_events, active_play.early_events = active_play.early_events, []
        for event in early_events:
            self.nodes.event(node, event)

    def play_ended(self, play: str, how: str) -> None:
        """A play under way is over at its node."""
        active_play = self.plays.get(play)
        if active_play is None or active_play.playing_number is None:
            return
        number, active_play.playing_number = active_play.playing_number, None
        self.counts["ended"] += 1
        self.log.info("play ended", play=play, allocation=number, node=active_play.node, how=how)
        self.dispatch(
            "ended", play, number, active_play.node, how, True, self.clock.now() - active_play.received_at, {}
        )
        self.forget_if_over(active_play)
        self.moves.play_ended(play)

    def play_noted(self, play: str, node: str, kind: str, value: float) -> None:
        active_play = self.plays.get(play)
        if active_play is not None and active_play.playing_number is not None:
            self.dispatch("note", play, active_play.playing_number, node, kind, value)
            if kind != "delivered":
                self.moves.node_reported(node, kind, value)
                self.sites.node_reported(node, kind, value)

    def viewer_left(self, active_play: ActivePlay) -> None:
        """The viewer hung up before its answer."""
        if active_play.answered:
            return
        active_play.closed = True
        self.record_answer(active_play, "left")
        self.log.info("left", play=active_play.info.play)
        self.dispatch("left", active_play.info.play)
        for ask in list(active_play.pending.values()):
            ask.withdraw()
        self.forget_if_over(active_play)

    def deadline_passed(self, active_play: ActivePlay) -> None:
        """Danger: a module that failed, or a machine too busy to call it in time, must not leave a viewer
        without an answer. What can't be proved is failed; the module is told that the play is over."""
        active_play.deadline_timer = None
        if not active_play.answered:
            active_play.closed = True
            self.counts["guarded"] += 1
            self.log.warning("answered by the guard", play=active_play.info.play)
            self.record_answer(active_play, "failed")
            self.viewers.fail(active_play, "The time limit is over")
            self.dispatch("left", active_play.info.play)
            for ask in list(active_play.pending.values()):
                ask.withdraw()
            self.forget_if_over(active_play)

    # ---- what the module answers

    def allocate(self, play: str, node: str, span: int) -> None:
        active_play = self.plays.get(play)
        if active_play is None:
            self.log.error("an allocation for a play not held", play=play, node=node)
            return
        active_play.last_number += 1
        number, active_play.latest_node = active_play.last_number, node
        self.counts["allocations"] += 1
        self.log.info(
            "allocate", play=play, allocation=number, node=node, rung=active_play.rung, span_ms=span / 10
        )
        if number and not self.play_store.may_reallocate():
            self.log.info("the budget of the process before is spent", play=play)
            self.dispatch("ended", play, number, node, "not_sent", active_play.answered, 0, {})
            return
        pending = PendingAllocation(self, active_play, number, node, self.clock.now() + span)
        active_play.pending[number] = pending
        paid = self.has_side_effects.get(active_play.info.product, False)
        if self.play_store.record_allocation(active_play, number, node, paid, pending.send):
            pending.send(True)

    def set_rung(self, play: str, rung: int) -> None:
        active_play = self.plays.get(play)
        if active_play is not None:
            active_play.rung = rung
            if active_play.playing_number is not None:
                self.nodes.set_rung(
                    active_play.node, play, active_play.playing_number + active_play.number_offset, rung
                )

    def decline(self, play: str, away: int) -> None:
        active_play = self.plays.get(play)
        if active_play is not None and not active_play.answered:
            if active_play.moved_from and self.moves.move_declined(active_play):
                self.discard_declined_move(active_play)
                return
            self.record_answer(active_play, "declined")
            self.sites.play_declined(active_play.info.product)
            self.log.info("declined", play=play, away_ms=away / 10)
            self.viewers.decline(active_play, away)
            self.forget_if_over(active_play)

    def fail(self, play: str) -> None:
        active_play = self.plays.get(play)
        if active_play is not None and not active_play.answered:
            self.record_answer(active_play, "failed")
            self.log.info("failed", play=play)
            self.viewers.fail(active_play, "No node answered in time, or an answer was lost")
            self.forget_if_over(active_play)

    def withdraw(self, play: str, number: int) -> None:
        active_play = self.plays.get(play)
        ask = active_play and active_play.pending.get(number)
        if ask:
            ask.withdraw()

    def move(self, play: str) -> None:
        active_play = self.plays.get(play)
        if active_play is not None and active_play.playing_number is not None:
            self.nodes.end(
                active_play.node, play, active_play.playing_number + active_play.number_offset, "moved"
            )
            self.viewers.moved(active_play)
            self.play_ended(play, "withdrawn")

    def probe(self, node: str) -> None:
        self.nodes.probe(node)

    def tell(self, peer: int | None, body: bytes) -> None:
        self.peers.send(peer, body)

    def wake(self, span: int, label: int) -> None:
        self.timers.after(span / TICKS_PER_SECOND, self.dispatch, "wake", label)

    def log_module_line(self, text: str) -> None:
        self.log.info("module", text=text)

    # ---- helpers

    def record_answer(self, active_play: ActivePlay, what: str) -> None:
        """The play has its answer, or needs none any more."""
        active_play.answered = True
        self.counts[what] += 1
        if self.successor is not None and what != "played":
            self.successor.lost(active_play)
        if active_play.moved_from and what != "played":
            self.moves.play_lost(active_play, what)
        if active_play.deadline_timer is not None:
            active_play.deadline_timer.cancel()
            active_play.deadline_timer = None

    def discard_declined_move(self, active_play: ActivePlay) -> None:
        """A try of a move that was declined, nothing of it ever out: the next try owes the answer."""
        active_play.answered = True
        if active_play.deadline_timer is not None:
            active_play.deadline_timer.cancel()
            active_play.deadline_timer = None
        self.plays.pop(active_play.info.play, None)

    def forget_if_over(self, active_play: ActivePlay) -> None:
        if active_play.answered and not active_play.pending and active_play.playing_number is None:
            self.plays.pop(active_play.info.play, None)
            self.play_store.play_ended(active_play.info.play)
            active_play.exchange = None
