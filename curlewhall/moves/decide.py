"""Decides when a play leaves a draining node, in which order, and how many move at once. Does no I/O.

The caller (`run.MoveExecutor`) reports each event with `now`, in ticks of 0.1 ms, the unit of all times here.
The event methods return actions, tuples that start with the action's name, to be executed in order:

- `("check_room", play)`: ask the module, without side effects, whether it would place the play now; report
  the result with `room_checked`.
- `("end", play)`: end the play at its node; report the result with `end_confirmed` or `end_unconfirmed`.
- `("request_place", play)`: ask the module for a new place, marked as a move; report the result with
  `move_succeeded`, `move_declined` or `move_failed`.
- `("retry", play, delay)`: request a place again after `delay`.
- `("leave", play, why)`: the play stays on the node; its viewer asks again when the node stops.
- `("wake", delay)`: call `wake` after `delay`.

A declined move loses a viewer. So no play is ended before a node that holds its title shows room for it, both
by this mover's estimate of what all fronts move and by the module's own check. And a new place is requested
only after the old allocation has provably ended, so that a play never has two allocations.
"""

from collections import deque
from typing import NamedTuple

from curlewhall.policy import WindowedSum

from .heap import IndexedHeap

TICKS_PER_SECOND = 10_000
REPORT_MAX_AGE_TICKS = 5 * TICKS_PER_SECOND  # older load reports are ignored, as the module does
# Share of link and uplink that moves leave free for new plays; the module fills them up to 0.9.
RESERVED_SHARE = 0.15
# Buffer that bridges a set-up, a reload of the manifest and half of the first segment.
MIN_BUFFER_TICKS = 3 * TICKS_PER_SECOND // 2
MAX_COUNTED_BUFFER_TICKS = 30 * TICKS_PER_SECOND  # larger buffers count as this
LEAST_PRODUCT_CAP_SHARE = 0.5  # of a node's streams, above which the module caps the least important product
FINAL_PHASE_TICKS = 5 * TICKS_PER_SECOND  # before the deadline, in which plays with a low buffer move as well
# Delay after an attempt that found no room; doubles with each attempt.
MIN_RETRY_DELAY_TICKS = TICKS_PER_SECOND // 2
MAX_RETRY_DELAY_TICKS = 4 * TICKS_PER_SECOND
MAX_ATTEMPTS = 8  # about 25 s with the delays above: roughly as long as an operator waits for a drain
MAX_CONCURRENT_MOVES = 8  # of one front; its share of the fleet's limit may be smaller
# A declined move is retried while the viewer's buffer still covers a set-up and a segment.
# Doubles with each request up to 800 ms; a report that shows a full node changes within about 400 ms.
DECLINED_RETRY_DELAY_TICKS = TICKS_PER_SECOND // 10
BUFFER_MARGIN_TICKS = TICKS_PER_SECOND
MIN_MOVE_INTERVAL_TICKS = 200  # 20 ms, to keep the event loop free
MAX_MOVE_INTERVAL_TICKS = TICKS_PER_SECOND // 2  # so that the pace follows the time that remains


class NodeInfo(NamedTuple):
    """What the mover knows of a listed node."""

    place: int
    rack: int
    state: str
    link: float  # kB/s
    started: int  # ticks; 0: long ago


class TrackedPlay:
    """A play that this front holds on a node."""

    __slots__ = (
        "node",
        "importance",
        "has_side_effect",
        "rate",
        "places",
        "ends_at",
        "buffer",
        "attempts",
        "phase",
        "place_requests",
        "buffer_until",
    )

    def __init__(
        self,
        node: str,
        importance: float,
        has_side_effect: bool,
        rate: float,
        places: tuple[int, ...],
        ends_at: int | None,
    ) -> None:
        self.node = node
        self.importance = importance
        self.has_side_effect = has_side_effect
        self.rate = rate  # kB/s
        self.places = places  # places whose nodes hold the title
        self.ends_at = ends_at
        self.buffer: int | None = None  # ticks of video the viewer has buffered; None: unknown
        self.attempts = 0
        self.phase = ""  # "", "check_room", "end" or "request_place": the action whose result is awaited
        self.place_requests = 0
        self.buffer_until = 0  # until when the viewer's buffer covers the move


class DrainPlan:
    """A drain in progress: the plays that wait for their move, and the results so far."""

    def __init__(self, now: int, deadline: int) -> None:
        self.started_at = now
        self.deadline = deadline
        self.ready = IndexedHeap()  # by `priority`
        self.deferred = IndexedHeap()  # by the time of the next attempt
        self.moved = self.lost = self.left = 0
        self.emptied_at: int | None = None


class LoadEstimate:
    """Load of a node's link or a rack's uplink: the last report and what this front has placed since then."""

    def __init__(self) -> None:
        self.reported_load = 0.0  # demand divided by capacity
        self.reported_at = -REPORT_MAX_AGE_TICKS * 9  # no report yet
        self.placed = WindowedSum(2 * REPORT_MAX_AGE_TICKS)  # kB/s


class Mover:
    """Moves of one front. `drain_within`: the time that a drain may take, in ticks."""

    def __init__(self, now: int, start_settings: dict, drain_within: int) -> None:
        self.start_settings = start_settings
        self.drain_within = drain_within
        self.lowest_importance = min((p["importance"] for p in start_settings["products"]), default=0.0)
        self.nodes: dict[str, NodeInfo] = {}
        self.nodes_by_place: dict[int, list[str]] = {}
        self.node_loads: dict[str, LoadEstimate] = {}
        self.rack_loads: dict[int, LoadEstimate] = {}
        self.plays: dict[str, TrackedPlay] = {}
        self.plays_by_node: dict[str, set[str]] = {}
        self.drains: dict[str, DrainPlan] = {}  # by node
        self.moving: set[str] = set()  # plays whose move is in progress
        self.cold_starts: dict[str, deque] = {}  # times of plays started at nodes newer than this front
        self.next_move_at = now
        self.wake_at: int | None = None
        self.pending_actions: list[tuple] = []

    # ---- events

    def nodes_listed(self, now: int, nodes: dict[str, NodeInfo]):
        """Replace the node list; start and cancel drains as the nodes' states say."""
        added = {node for node in nodes if node not in self.nodes}
        for node in added if self.nodes else ():
            # A node that was not in the list before may have started just now, so it counts as cold.
            nodes[node] = nodes[node]._replace(started=nodes[node].started or now)
        for node in nodes.keys() & self.nodes.keys():
            if nodes[node].started == 0 and self.nodes[node].started:
                nodes[node] = nodes[node]._replace(started=self.nodes[node].started)
        self.nodes, self.nodes_by_place = nodes, {}
        # Forget nodes that left the list: their old reports are worthless if they come back.
        self.node_loads = {node: load for node, load in self.node_loads.items() if node in nodes}
        self.cold_starts = {node: times for node, times in self.cold_starts.items() if node in nodes}
        self.plays_by_node = {
            node: plays for node, plays in self.plays_by_node.items() if plays or node in nodes
        }
        for node, info in nodes.items():
            self.nodes_by_place.setdefault(
                info.place % max(1, self.start_settings["specifics.places"]), []
            ).append(node)
            self.node_loads.setdefault(node, LoadEstimate())
            self.rack_loads.setdefault(info.rack, LoadEstimate())
            if info.state == "draining":
                self.start_drain(now, node)
            elif node in self.drains:
                self.cancel_drain(node)
        for node in list(self.drains):
            if node not in nodes:
                self.cancel_drain(node)
        return self.next_actions(now)

    def play_started(
        self,
        now: int,
        play: str,
        node: str,
        importance: float,
        has_side_effect: bool,
        rate: float,
        places: tuple[int, ...],
        ends_at: int | None,
    ):
        """A play has started at a node. `rate` in kB/s; `ends_at`: when it ends by itself, if known."""
        tracked = self.plays[play] = TrackedPlay(node, importance, has_side_effect, rate, places, ends_at)
        self.plays_by_node.setdefault(node, set()).add(play)
        self.record_placement(now, node, rate)
        if node in self.nodes and self.nodes[node].started:
            self.cold_starts.setdefault(node, deque(maxlen=99)).append(now)  # moved here or not
        if node in self.drains:
            self.schedule(now, play, tracked, self.drains[node])
        return self.next_actions(now)

    def play_ended(self, now: int, play: str):
        """A play has ended, for whatever reason."""
        tracked = self.plays.get(play)
        if tracked is None or tracked.phase == "request_place":  # the move itself ended the old allocation
            return ()
        self.remove_play(now, play, tracked)
        return self.next_actions(now)

    def node_reported(self, now: int, node: str, kind: str, value: float):
        """A node reported the load of its link ("link_asked") or of its rack's uplink."""
        if node in self.nodes:
            estimate = (
                self.node_loads[node] if kind == "link_asked" else self.rack_loads[self.nodes[node].rack]
            )
            # Reports lag behind: a play placed within that lag is not in them yet and must be added.
            estimate.reported_load, estimate.reported_at = (
                value,
                now - self.start_settings["specifics.told_late"],
            )
        return ()

    def buffer_reported(self, now: int, play: str, seconds: float):
        """A viewer reported its buffer level (CMCD `bl`)."""
        tracked = self.plays.get(play)
        if tracked is None or tracked.phase:
            return ()
        tracked.buffer = int(seconds * TICKS_PER_SECOND)
        plan = self.drains.get(tracked.node)
        if plan is None:
            return ()
        if play in plan.ready:
            plan.ready.put(play, self.priority(tracked))
        elif play in plan.deferred and not tracked.attempts and tracked.buffer >= MIN_BUFFER_TICKS:
            plan.deferred.remove(play)
            plan.ready.put(play, self.priority(tracked))
        return self.next_actions(now)

    def room_checked(self, now: int, play: str, has_room: bool):
        """The module has said whether it would place the play now."""
        tracked = self.plays.get(play)
        if tracked is None or tracked.phase != "check_room":
            return ()
        if has_room:
            tracked.phase = "end"
            return [("end", play)]
        return self.abort_move(now, play, tracked)

    def end_confirmed(self, now: int, play: str):
        """The old allocation has provably ended, so a new place may be requested."""
        tracked = self.plays.get(play)
        if tracked is None or tracked.phase != "end":
            return ()
        tracked.phase = "request_place"
        tracked.buffer_until = now + min(tracked.buffer or 0, MAX_COUNTED_BUFFER_TICKS) - BUFFER_MARGIN_TICKS
        return [("request_place", play)]

    def end_unconfirmed(self, now: int, play: str):
        """The node did not confirm the end: the play stays where it is, and no place is requested."""
        tracked = self.plays.get(play)
        if tracked is None or tracked.phase != "end":
            return ()
        return self.abort_move(now, play, tracked)

    def abort_move(self, now: int, play: str, tracked: TrackedPlay):
        """Stop a move before its play has ended, and schedule the next attempt."""
        self.moving.discard(play)
        tracked.phase, plan = "", self.drains.get(tracked.node)
        if plan is not None:
            self.defer(now, play, tracked, plan)
        return self.next_actions(now)

    def move_succeeded(self, now: int, play: str):
        """The moved play plays elsewhere; `play_started` reports it under its new id."""
        return self.finish_move(now, play, "moved")

    def move_declined(self, now: int, play: str, limit: int):
        """The module declined the move, which can be retried until `limit`; no action: the viewer is lost."""
        tracked = self.plays.get(play)
        if tracked is None or tracked.phase != "request_place":
            return ()
        delay = DECLINED_RETRY_DELAY_TICKS * 2 ** min(tracked.place_requests, 3)
        tracked.place_requests += 1
        return [("retry", play, delay)] if now + delay < min(limit, tracked.buffer_until) else ()

    def move_failed(self, now: int, play: str):
        """The move was finally declined or failed, or its viewer has disconnected."""
        return self.finish_move(now, play, "lost")

    def wake(self, now: int):
        """The time of an earlier `wake` action has come."""
        self.wake_at = None
        return self.next_actions(now)

    # ---- drain plans

    def start_drain(self, now: int, node: str, deadline: int | None = None) -> None:
        """Schedule the moves of all plays of a node, unless it drains already."""
        if node not in self.drains:
            plan = self.drains[node] = DrainPlan(now, deadline or now + self.drain_within)
            for play in sorted(self.plays_by_node.get(node, ())):
                self.schedule(now, play, self.plays[play], plan)

    def cancel_drain(self, node: str) -> None:
        """Start no further moves from this node; moves in progress are completed."""
        del self.drains[node]
        for play in self.plays_by_node.get(node, ()):
            self.plays[play].attempts = 0

    def schedule(self, now: int, play: str, tracked: TrackedPlay, plan: DrainPlan) -> None:
        """Queue a play for its move, or leave it if it ends before the deadline."""
        if tracked.phase:
            return
        if tracked.ends_at is not None and tracked.ends_at <= plan.deadline - TICKS_PER_SECOND:
            plan.left += 1
            self.pending_actions.append(("leave", play, "play ends before the drain deadline"))
        elif (
            tracked.buffer is not None
            and tracked.buffer < MIN_BUFFER_TICKS
            and now < plan.deadline - FINAL_PHASE_TICKS
        ):
            plan.deferred.put(play, plan.deadline - FINAL_PHASE_TICKS)
        else:
            plan.ready.put(play, self.priority(tracked))

    def priority(self, tracked: TrackedPlay) -> tuple:
        """Sort key: plays without side effects first, because the others have only one allocation attempt;
        then by importance, then the largest buffer first.
        """
        return (
            tracked.has_side_effect,
            -tracked.importance,
            -min(tracked.buffer or 0, MAX_COUNTED_BUFFER_TICKS),
        )

    def defer(self, now: int, play: str, tracked: TrackedPlay, plan: DrainPlan) -> None:
        """Schedule the next attempt, or leave the play after the last one."""
        tracked.attempts += 1
        if tracked.attempts >= MAX_ATTEMPTS or now >= plan.deadline:
            plan.left += 1
            why = "drain deadline has passed" if now >= plan.deadline else "no node has room"
            self.pending_actions.append(("leave", play, why))
        else:
            delay = min(MAX_RETRY_DELAY_TICKS, MIN_RETRY_DELAY_TICKS * 2 ** (tracked.attempts - 1))
            plan.deferred.put(
                play,
                min(now + delay, max(now + MIN_RETRY_DELAY_TICKS, plan.deadline - FINAL_PHASE_TICKS)),
            )

    def remove_play(self, now: int, play: str, tracked: TrackedPlay) -> None:
        """Forget a play that has left its node."""
        del self.plays[play]
        self.moving.discard(play)
        self.plays_by_node[tracked.node].discard(play)
        self.record_placement(now, tracked.node, -tracked.rate)
        plan = self.drains.get(tracked.node)
        if plan is not None:
            plan.ready.remove(play)
            plan.deferred.remove(play)
            if not self.plays_by_node[tracked.node] and plan.emptied_at is None:
                plan.emptied_at = now

    def finish_move(self, now: int, play: str, result: str):
        """Count a finished move in the plan's attribute `result` ("moved" or "lost")."""
        tracked = self.plays.get(play)
        if tracked is None or tracked.phase != "request_place":
            return ()
        plan = self.drains.get(tracked.node)
        if plan is not None:
            setattr(plan, result, getattr(plan, result) + 1)
        self.remove_play(now, play, tracked)
        return self.next_actions(now)

    # ---- pacing

    def next_actions(self, now: int):
        """Start the moves that may start now; return the actions to execute."""
        actions, self.pending_actions = self.pending_actions, []
        for plan in self.drains.values():
            while plan.deferred and plan.deferred.peek()[0] <= now:
                play = plan.deferred.pop()[1]
                plan.ready.put(play, self.priority(self.plays[play]))
        max_moves = self.max_concurrent_moves()
        while self.drains and now >= self.next_move_at and len(self.moving) < max_moves:
            plan = min((p for p in self.drains.values() if p.ready), key=lambda p: p.deadline, default=None)
            if plan is None:
                break
            play = plan.ready.pop()[1]
            tracked = self.plays[play]
            if now >= plan.deadline or not self.has_target(now, tracked):
                self.defer(now, play, tracked, plan)
                actions += self.pending_actions
                self.pending_actions = []
                continue
            tracked.phase = "check_room"
            self.moving.add(play)
            waiting = len(plan.ready) + len(plan.deferred) + 1
            # Plan the moves for half of the remaining time; the other half is for retries.
            self.next_move_at = now + max(
                MIN_MOVE_INTERVAL_TICKS,
                min(MAX_MOVE_INTERVAL_TICKS, (plan.deadline - now) // 2 // waiting),
            )
            actions.append(("check_room", play))
        due = self.next_due(now)
        if due is not None and (self.wake_at is None or due < self.wake_at):
            self.wake_at = due
            actions.append(("wake", max(1, due - now)))
        return actions

    def next_due(self, now: int) -> int | None:
        """When the next work is due without an event; None: not before the next event."""
        due_times = [plan.deferred.peek()[0] for plan in self.drains.values() if plan.deferred]
        if (
            any(plan.ready for plan in self.drains.values())
            and len(self.moving) < self.max_concurrent_moves()
        ):
            due_times.append(max(now + 1, self.next_move_at))
        return min(due_times, default=None)

    def max_concurrent_moves(self) -> int:
        """This front's share of the fleet's limit of one set-up per serving node; at least 1.

        Fronts move at the same time without knowing of each other, so each keeps to its share.
        """
        targets = sum(info.state == "serving" for info in self.nodes.values())
        return max(1, min(MAX_CONCURRENT_MOVES, targets // max(1, self.start_settings["fronts"])))

    # ---- capacity

    def record_placement(self, now: int, node: str, rate: float) -> None:
        """Add `rate` kB/s (negative: remove) to the estimates of the node's link and its rack's uplink."""
        if node in self.nodes:
            self.node_loads[node].placed.add(now, rate)
            self.rack_loads[self.nodes[node].rack].placed.add(now, rate)

    def has_target(self, now: int, tracked: TrackedPlay) -> bool:
        """Whether another node that holds the title has room for the play and can take a set-up now."""
        nodes = [
            n for place in tracked.places for n in self.nodes_by_place.get(place, ()) if n != tracked.node
        ]
        return any(self.fits(now, n, tracked) for n in nodes)

    def fits(self, now: int, node: str, tracked: TrackedPlay) -> bool:
        """Whether a node, by the estimate of its link and uplink, has room for the play."""
        info, rate, highest_load = self.nodes[node], tracked.rate, 0.0
        if info.state != "serving":
            return False
        uplink = self.start_settings["specifics.uplink_kb"]
        for estimate, capacity in ((self.node_loads[node], info.link), (self.rack_loads[info.rack], uplink)):
            # The other fronts are assumed to have placed as much as this one since the report.
            since = max(estimate.reported_at, now - 2 * REPORT_MAX_AGE_TICKS)
            placed = max(0.0, estimate.placed.sum_since(since)) * self.start_settings["fronts"]
            load = (
                estimate.reported_load
                if now - estimate.reported_at <= REPORT_MAX_AGE_TICKS
                else self.average_load(now)
            )
            highest_load = max(highest_load, (load * capacity + placed + rate) / capacity)
        # Above this load the module caps the least important product at this front's slice of the node, for
        # moves as well: a play above the cap would be declined.
        if (
            highest_load > 1 - RESERVED_SHARE
            or highest_load > LEAST_PRODUCT_CAP_SHARE
            and self.is_capped(node, tracked)
        ):
            return False
        return self.accepts_cold_start(now, node, info)

    def is_capped(self, node: str, tracked: TrackedPlay) -> bool:
        """Whether the play is of the least important product and this front's slice of the node is full."""
        lowest = self.lowest_importance
        slice_ = (
            LEAST_PRODUCT_CAP_SHARE
            * min(self.start_settings["specifics.kind_streams"])
            / max(1, self.start_settings["fronts"])
        )
        held = sum(self.plays[play].importance <= lowest for play in self.plays_by_node.get(node, ()))
        return tracked.importance <= lowest and held + 1 >= slice_

    def average_load(self, now: int) -> float:
        """Load assumed for nodes without a recent report: the mean of the reported link loads and of two
        half-full nodes.
        """
        reported = [
            e.reported_load for e in self.node_loads.values() if now - e.reported_at <= REPORT_MAX_AGE_TICKS
        ]
        return (sum(reported) + 1) / (len(reported) + 2)

    def accepts_cold_start(self, now: int, node: str, info: NodeInfo) -> bool:
        """Whether a node that may still be warming up can take one more set-up of this front.

        The overload rule for starting nodes counts the set-ups of all fronts together. So this front uses its
        share of half the rate that the node can bear, and none if that is less than one set-up per window.
        """
        warm, window = self.start_settings["rules.warm_within"], self.start_settings["rules.fall"]
        if not info.started or now - info.started >= warm:
            return True
        setups_per_stream = (
            0.5
            * self.start_settings["rules.overload_factor"]
            * self.start_settings["rules.start_capacity"]
            * window
            / warm
        )
        limit = int(
            setups_per_stream
            * max(self.start_settings["specifics.kind_streams"])
            / max(1, self.start_settings["fronts"])
        )
        times = self.cold_starts.setdefault(node, deque())
        while times and times[0] <= now - window:
            times.popleft()
        return len(times) + len(self.moving) < limit

    def progress(self) -> dict[str, dict[str, int]]:
        """Progress of each drain for operators, by node: counts of plays, and the deadline in ticks."""
        return {
            node: {
                "moved": plan.moved,
                "waiting": len(plan.ready) + len(plan.deferred),
                "out": sum(play in self.moving for play in self.plays_by_node.get(node, ())),
                "left": plan.left,
                "lost": plan.lost,
                "held": len(self.plays_by_node.get(node, ())),
                "deadline": plan.deadline,
            }
            for node, plan in self.drains.items()
        }
