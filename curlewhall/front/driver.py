"""Drives the decision module: calls it for each event and executes the actions that it returns.

The HTTP front end (`serve`) and the relay report events here and provide the viewers', nodes' and peers'
sides that the actions are executed on. A play is tracked from its request until its last allocation has
ended. All calls to the module pass through one queue (`dispatch`): a call caused by executing an action
waits until the remaining actions of the same list have been executed. Times are in ticks of 0.1 ms unless a
name says otherwise.
"""

import time
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from curlewhall.interface import NodeRow
from curlewhall.recovery.null_objects import NoPlayStore
from curlewhall.sites.null_objects import NoSites

if TYPE_CHECKING:  # the relay speaks no HTTP and doesn't load these modules
    from curlewhall.wire.forms import PlayInfo, Title
    from curlewhall.wire.server import Exchange

TICKS_PER_SECOND = 10_000
# Nodes whose start times are remembered: many times a fleet, since machines are replaced under new names.
MAX_NODE_STARTS = 10_000
OUTCOMES_WITHOUT_EFFECT = ("full", "unreached", "not_sent")  # after these no set-up can have run at the node
DEADLINE_GRACE_S = 0.02  # the driver's own deadline fires this much after the module's


class Clock:
    """Monotonic clock in ticks of 0.1 ms; a time source that steps back repeats the last value."""

    def __init__(self, source: Callable[[], float] = time.monotonic) -> None:
        self.source = source  # seconds
        self.last = 0

    def now(self) -> int:
        """Return the present time in ticks."""
        self.last = max(self.last, int(self.source() * TICKS_PER_SECOND))
        return self.last


class ActivePlay:
    """A play's request, its allocations by number, its node and its rung."""

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
        self.info = info
        self.title = title
        self.exchange = exchange
        self.deadline = deadline
        self.received_at = received_at
        self.rung = info.rung
        self.last_number = -1
        self.number_offset = 0  # added to the module's allocation number to get the node's
        self.node = ""
        self.pending: dict[int, Any] = {}  # allocations in progress, by number
        self.playing_number: int | None = None
        self.answered = self.closed = False
        # Events of a pending allocation that arrived before the response to its set-up was read.
        self.early_events: list = []
        self.deadline_timer = None
        self.moved_from = ""  # id of the play that this one continues on another node
        self.latest_node = ""  # the node of its latest allocation
        self.stored_answer: tuple | None = None  # an answer that its viewer has not fetched yet
        self.playing_since = 0  # when this front learned that it plays


class PendingAllocation:
    """An allocation that has not been sent to its node yet: it may have to be written to disk first."""

    def __init__(
        self, driver: "Driver", active_play: ActivePlay, number: int, node: str, deadline: int
    ) -> None:
        self.driver = driver
        self.active_play = active_play
        self.number = number
        self.node = node
        self.deadline = deadline
        self.node_row_when_chosen = driver.known_nodes.get(node)

    def send(self, recorded: bool) -> None:
        """Send the set-up to the node, unless it was withdrawn or `recorded` is false (not safely stored).

        The write to disk, or a busy core, may delay this call. By now the viewer may have hung up, and the
        node may be draining or have restarted since it was chosen; no set-up is sent in these cases.
        """
        active_play, driver = self.active_play, self.driver
        if active_play.pending.get(self.number) is not self:
            return
        if active_play.exchange is not None and active_play.exchange.client_disconnected():
            driver.viewer_left(active_play)
            return
        remaining = self.deadline - driver.clock.now()
        node_unchanged = driver.known_nodes.get(self.node) == self.node_row_when_chosen
        request = (
            driver.nodes.set_up(active_play, self.number, self.node, remaining / TICKS_PER_SECOND)
            if recorded and node_unchanged and remaining > 0
            else None
        )
        if request is None:
            self.withdraw()
        else:
            active_play.pending[self.number] = request

    def withdraw(self) -> None:
        """End the allocation as never sent."""
        self.driver.allocation_ended(self.active_play, self.number, self.node, "not_sent", 0.0, {})


class Driver:
    """Owns one instance of the module; `viewers`, `nodes`, `peers` and `moves` are set before the first call.

    `started_at`: the tick that the module is created with, when it takes over from a predecessor.
    """

    def __init__(
        self,
        create_module: Callable,
        seed: int,
        start_settings: dict,
        timers,
        log,
        clock: Clock | None = None,
        started_at: int | None = None,
    ) -> None:
        self.clock = clock or Clock()
        self.timers = timers
        self.log = log
        self.start_settings = start_settings
        self.queued_calls: deque = deque()
        self.busy = False
        self.plays: dict[str, ActivePlay] = {}
        self.known_nodes: dict[str, tuple[str, int]] = {}  # node -> state and start of the latest list row
        self.node_starts: dict[str, tuple[int, int]] = {}  # node -> its start as (Unix ms, ticks)
        self.viewers = self.nodes = self.peers = self.moves = None
        self.play_store = NoPlayStore()
        self.sites = NoSites()
        self.successor = None  # during a hand-over: the process that is notified of plays it continues
        # Plays that this front's predecessor is still setting up.
        self.plays_at_predecessor: dict[str, ActivePlay] = {}
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
        self.module = create_module(
            self.clock.now() if started_at is None else started_at, seed, start_settings
        )
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

    # ---- events

    def dispatch(self, name: str, *args, **kwargs) -> None:
        """Call the module's method `name`; its actions are executed before the next queued call."""
        self.dispatch_at(None, name, *args, **kwargs)

    def dispatch_at(self, happened_at: int | None, name: str, *args, **kwargs) -> None:
        """Like `dispatch`, for an event at tick `happened_at`, perhaps before this process; None: now."""
        self.queued_calls.append((happened_at, name, args, kwargs))
        if self.busy:
            return
        self.busy = True
        try:
            while self.queued_calls:
                happened_at, name, args, kwargs = self.queued_calls.popleft()
                try:
                    now = self.clock.now() if happened_at is None else happened_at
                    actions = getattr(self.module, name)(now, *args, **kwargs)
                except Exception:
                    # A failing call must not affect other plays; `deadline_passed` answers this one.
                    self.counts["faults"] += 1
                    self.log.exception("module call raised an exception", call=name)
                    continue
                for action in actions:
                    try:
                        self.action_handlers[action[0]](*action[1:])
                    except Exception:
                        # A failing action must not drop the actions after it, which may be for other plays.
                        self.counts["faults"] += 1
                        self.log.exception("action raised an exception", verb=action[0])
        finally:
            self.busy = False

    def update_nodes(self, how: str, rows: list[NodeRow]) -> None:
        """Report rows of the node list to the module; `how` as in the module's `listed`."""
        if how in ("whole", "old_copy"):
            self.known_nodes.clear()
        for row in rows:
            self.known_nodes[row.node] = row.state, row.started
            if row.state == "gone":
                del self.known_nodes[row.node]
        self.dispatch("listed", how, rows)

    def node_start_time(self, node: str, unix_ms: int) -> int:
        """Convert a node's start from Unix milliseconds to ticks, at least 1; 0 means long ago.

        Each start is converted once and remembered: converting it again for every list would give values that
        differ by the jitter of both clocks, and the module would take the node for restarted and pace it as
        cold again.
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
        """Start a play for a viewer's request; from here on it gets exactly one answer."""
        info = active_play.info
        self.plays[info.play] = active_play
        self.counts["asked"] += 1
        self.play_store.request_accepted()
        active_play.deadline_timer = self.timers.after(
            max(0, active_play.deadline - self.clock.now()) / TICKS_PER_SECOND + DEADLINE_GRACE_S,
            self.deadline_passed,
            active_play,
        )
        self.dispatch(
            "asked",
            info.play,
            info.product,
            info.customer,
            info.viewer,
            info.title,
            active_play.deadline,
            active_play.title.first_place,
            active_play.title.places,
            info.top,
            None,
            moved,
            again,
        )

    def resume_play(self, info: "PlayInfo", title: "Title", node: str) -> None:
        """Take over a play of an earlier process of this front that its node still holds."""
        now = self.clock.now()
        active_play = ActivePlay(info, title, None, now, now)
        ran = 10 * self.play_store.min_uptime_ms(info.play, info.number)
        self.log.info("play resumed", play=info.play, node=node, rung=info.rung, ran_ms=ran / 10)
        self.register_existing_play(active_play, node, now - ran)
        self.adopt_play(active_play, node)

    def register_existing_play(
        self, active_play: ActivePlay, node: str, happened_at: int | None = None
    ) -> None:
        """Tell the module of a play that it did not place, so that the play's seat is counted.

        `happened_at`: a tick at which the play is known to have been at the node; None: now.
        """
        info, title = active_play.info, active_play.title
        self.dispatch_at(
            happened_at,
            "resumed",
            info.play,
            info.product,
            info.customer,
            info.viewer,
            info.title,
            title.first_place,
            title.places,
            info.top,
            None,
            node,
        )

    def adopt_play(self, active_play: ActivePlay, node: str) -> None:
        """Make a play that was passed to `register_existing_play` one of this front's plays."""
        info = active_play.info
        active_play.answered = True
        active_play.last_number = 0
        active_play.playing_number = 0
        active_play.number_offset = info.number
        active_play.node = node
        active_play.rung = info.rung
        active_play.playing_since = self.clock.now()
        self.plays[info.play] = active_play
        self.counts["resumed"] += 1
        self.viewers.resumed(active_play)
        self.dispatch("note", info.play, 0, node, "rung", float(info.rung))
        self.moves.play_started(active_play)

    def allocation_ended(
        self, active_play: ActivePlay, number: int, node: str, how: str, elapsed_s: float, report: dict
    ) -> None:
        """Handle the end of a set-up exchange: `how` is `ok` (first frame) or one of the other outcomes."""
        active_play.pending.pop(number, None)
        span = int(elapsed_s * TICKS_PER_SECOND)
        self.sites.allocation_result(node, how)
        if (
            how == "ok"
            and not active_play.answered
            and active_play.exchange is not None
            and active_play.exchange.client_disconnected()
        ):
            # Without its viewer the play would run on at the node unseen; closed plays are ended there below.
            self.viewer_left(active_play)
        if how != "ok" or active_play.closed:
            if how == "ok":
                how = "withdrawn"
            if how not in OUTCOMES_WITHOUT_EFFECT:
                self.nodes.end(node, active_play.info.play, number + active_play.number_offset, how)
            self.log.info(
                "allocation ended", play=active_play.info.play, allocation=number, node=node, how=how
            )
            self.dispatch(
                "ended", active_play.info.play, number, node, how, active_play.answered, span, report
            )
            self.forget_if_over(active_play)
            return
        active_play.playing_number = number
        active_play.node = node
        active_play.playing_since = self.clock.now()
        self.play_store.allocation_playing(active_play.info.play, number + active_play.number_offset)
        first = not active_play.answered
        if first:
            # Answer the viewer before calling the module: during the call the play could end at its node
            # before its viewer learns of it, and the answer depends on nothing that the module returns.
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
                self.successor.set_up_succeeded(active_play)
            self.moves.play_started(active_play)
        early_events, active_play.early_events = active_play.early_events, []
        for event in early_events:
            self.nodes.event(node, event)

    def play_ended(self, play: str, how: str) -> None:
        """Handle the end of a playing allocation at its node."""
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
        """Pass a node's measurement about a play to the module, and about its links to moves and sites."""
        active_play = self.plays.get(play)
        if active_play is not None and active_play.playing_number is not None:
            self.dispatch("note", play, active_play.playing_number, node, kind, value)
            if kind != "delivered":
                self.moves.node_reported(node, kind, value)
                self.sites.node_reported(node, kind, value)

    def viewer_left(self, active_play: ActivePlay) -> None:
        """Close a play whose viewer hung up before its answer, and withdraw its allocations."""
        if active_play.answered:
            return
        active_play.closed = True
        self.record_answer(active_play, "left")
        self.log.info("viewer left before its answer", play=active_play.info.play)
        self.dispatch("left", active_play.info.play)
        for allocation in list(active_play.pending.values()):
            allocation.withdraw()
        self.forget_if_over(active_play)

    def deadline_passed(self, active_play: ActivePlay) -> None:
        """Answer a play that is still unanswered at its deadline.

        A module that failed, or that a busy machine called too late, must not leave a viewer without an
        answer. Whether a set-up ran is unknown, so the play is answered as failed; the module is told that
        it is over.
        """
        active_play.deadline_timer = None
        if not active_play.answered:
            active_play.closed = True
            self.counts["guarded"] += 1
            self.log.warning(
                "play unanswered at its deadline; answered as failed", play=active_play.info.play
            )
            self.record_answer(active_play, "failed")
            self.viewers.fail(active_play, "The time limit has passed")
            self.dispatch("left", active_play.info.play)
            for allocation in list(active_play.pending.values()):
                allocation.withdraw()
            self.forget_if_over(active_play)

    # ---- actions of the module

    def allocate(self, play: str, node: str, span: int) -> None:
        """Start the play's next allocation at `node`, which has `span` ticks to deliver the first frame."""
        active_play = self.plays.get(play)
        if active_play is None:
            self.log.error("allocation for an unknown play", play=play, node=node)
            return
        active_play.last_number += 1
        number = active_play.last_number
        active_play.latest_node = node
        self.counts["allocations"] += 1
        self.log.info(
            "allocation started",
            play=play,
            allocation=number,
            node=node,
            rung=active_play.rung,
            span_ms=span / 10,
        )
        if number and not self.play_store.may_reallocate():
            self.log.info("reallocation budget carried over from the previous process is used up", play=play)
            self.dispatch("ended", play, number, node, "not_sent", active_play.answered, 0, {})
            return
        pending = PendingAllocation(self, active_play, number, node, self.clock.now() + span)
        active_play.pending[number] = pending
        paid = self.has_side_effects.get(active_play.info.product, False)
        if self.play_store.record_allocation(active_play, number, node, paid, pending.send):
            pending.send(True)

    def set_rung(self, play: str, rung: int) -> None:
        """Set the play's rung, at its node too if it plays."""
        active_play = self.plays.get(play)
        if active_play is not None:
            active_play.rung = rung
            if active_play.playing_number is not None:
                self.nodes.set_rung(
                    active_play.node, play, active_play.playing_number + active_play.number_offset, rung
                )

    def decline(self, play: str, retry_after: int) -> None:
        """Decline the play; its viewer may ask again after `retry_after` ticks."""
        active_play = self.plays.get(play)
        if active_play is not None and not active_play.answered:
            if active_play.moved_from and self.moves.move_declined(active_play):
                self.discard_declined_move(active_play)
                return
            self.record_answer(active_play, "declined")
            self.sites.play_declined(active_play.info.product)
            self.log.info("play declined", play=play, away_ms=retry_after / 10)
            self.viewers.decline(active_play, retry_after)
            self.forget_if_over(active_play)

    def fail(self, play: str) -> None:
        """Answer the play as failed: an allocation may have run."""
        active_play = self.plays.get(play)
        if active_play is not None and not active_play.answered:
            self.record_answer(active_play, "failed")
            self.log.info("play failed", play=play)
            self.viewers.fail(active_play, "No node answered in time, or a node's answer was lost")
            self.forget_if_over(active_play)

    def withdraw(self, play: str, number: int) -> None:
        """Withdraw a pending allocation."""
        active_play = self.plays.get(play)
        allocation = active_play and active_play.pending.get(number)
        if allocation:
            allocation.withdraw()

    def move(self, play: str) -> None:
        """End the play at its node; its viewer may ask for it again."""
        active_play = self.plays.get(play)
        if active_play is not None and active_play.playing_number is not None:
            self.nodes.end(
                active_play.node, play, active_play.playing_number + active_play.number_offset, "moved"
            )
            self.viewers.moved(active_play)
            self.play_ended(play, "withdrawn")

    def probe(self, node: str) -> None:
        """Ask a node for its load."""
        self.nodes.probe(node)

    def tell(self, peer: int | None, body: bytes) -> None:
        """Send a message to one peer, or to all (None)."""
        self.peers.send(peer, body)

    def wake(self, span: int, label: int) -> None:
        """Call the module's `wake` with `label` after `span` ticks."""
        self.timers.after(span / TICKS_PER_SECOND, self.dispatch, "wake", label)

    def log_module_line(self, text: str) -> None:
        """Write a line of the module to the log."""
        self.log.info("message of the module", text=text)

    # ---- helpers

    def record_answer(self, active_play: ActivePlay, what: str) -> None:
        """Mark the play as answered, or as needing no answer any more; `what` is a key of `counts`."""
        active_play.answered = True
        self.counts[what] += 1
        if self.successor is not None and what != "played":
            self.successor.set_up_ended(active_play)
        if active_play.moved_from and what != "played":
            self.moves.play_lost(active_play, what)
        if active_play.deadline_timer is not None:
            active_play.deadline_timer.cancel()
            active_play.deadline_timer = None

    def discard_declined_move(self, active_play: ActivePlay) -> None:
        """Forget a declined attempt of a move that sent no allocation; the next attempt gives the answer."""
        active_play.answered = True
        if active_play.deadline_timer is not None:
            active_play.deadline_timer.cancel()
            active_play.deadline_timer = None
        self.plays.pop(active_play.info.play, None)

    def forget_if_over(self, active_play: ActivePlay) -> None:
        """Drop a play that is answered, has no pending allocation and does not play."""
        if active_play.answered and not active_play.pending and active_play.playing_number is None:
            self.plays.pop(active_play.info.play, None)
            self.play_store.play_ended(active_play.info.play)
            active_play.exchange = None
