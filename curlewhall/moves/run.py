"""Executes the mover's actions: ends plays at nodes, asks the module for places, sets timers (the I/O)."""

from curlewhall.wire import forms

from .decide import Mover, NodeInfo


class MoveExecutor:
    """Connects the front's driver with a mover; the driver calls it for each event of a play."""

    def __init__(self, driver, timers, mover: Mover) -> None:
        self.driver, self.timers, self.mover = driver, timers, mover
        self.retrying: set[str] = set()  # plays whose declined move will be retried

    # ---- events

    def nodes_listed(self, rows: list[forms.Row], now: int, unix_ms: int) -> None:
        """Pass the node list on to the mover. `now` in ticks of 0.1 ms, and the same time as `unix_ms`."""
        start_settings, nodes = self.driver.start_settings, {}
        for row in rows:
            started = max(1, now - 10 * max(0, unix_ms - row.started_ms)) if row.started_ms else 0
            nodes[row.node] = NodeInfo(
                row.place,
                row.place % max(1, start_settings["specifics.shelves"]),
                row.state,
                row.weight * start_settings["specifics.link_unit_kb"],
                started,
            )
        self.execute(self.mover.nodes_listed(now, nodes))

    def play_started(self, active_play) -> None:
        """A play has started, whether it was requested, resumed or moved."""
        info, start_settings = active_play.info, self.driver.start_settings
        index, product = self.driver.viewers.products[info.product]
        # The module places a play only where the rung with the best worth for its rate has room, whichever
        # rung it then plays, so the mover needs room for that rung too.
        ladder, worth = start_settings["specifics.rung_kb"], start_settings["specifics.level_worth"]
        best_rung = max(range(len(ladder)), key=lambda rung: worth[rung] / ladder[rung])
        needed_rung = max(active_play.rung, info.floor, min(info.top, best_rung))
        rate = ladder[needed_rung] * start_settings["specifics.class_scale"][index]
        places = tuple(
            (active_play.title.first_place + i) % max(1, start_settings["specifics.places"])
            for i in range(active_play.title.places)
        )
        now = self.driver.clock.now()
        ends_at = (
            active_play.received_at + int(active_play.title.length_s * 10_000)
            if not active_play.number_offset
            else None
        )
        if active_play.moved_from:
            self.driver.counts["moved"] += 1
            self.driver.log.info(
                "play moved", play=active_play.moved_from, to=info.play, node=active_play.node
            )
            self.execute(self.mover.move_succeeded(now, active_play.moved_from))
            active_play.moved_from = ""
        self.execute(
            self.mover.play_started(
                now,
                info.play,
                active_play.node,
                product["importance"],
                product["idempotency"] != "pure",
                rate,
                places,
                ends_at,
            )
        )

    def play_ended(self, play: str) -> None:
        self.execute(self.mover.play_ended(self.driver.clock.now(), play))

    def node_reported(self, node: str, kind: str, value: float) -> None:
        self.mover.node_reported(self.driver.clock.now(), node, kind, value)

    def buffer_reported(self, play: str, seconds: float) -> None:
        self.execute(self.mover.buffer_reported(self.driver.clock.now(), play, seconds))

    def move_declined(self, active_play) -> bool:
        """The module declined a moved play. Return True if the move will be retried, with no answer sent."""
        old_play, driver = active_play.moved_from, self.driver
        if active_play.closed or driver.successor is not None:
            return False
        actions = self.mover.move_declined(driver.clock.now(), old_play, active_play.deadline)
        for _, play, delay in actions:
            self.retrying.add(play)
            self.timers.after(delay / 10_000, self.retry_move, play, active_play)
        return bool(actions)

    def retry_move(self, play: str, active_play) -> None:
        """Retry a declined move; the new attempt takes over the viewer's request if it has come meanwhile."""
        self.retrying.discard(play)
        if (
            self.driver.successor is not None
            or active_play.exchange is not None
            and not active_play.exchange.open
        ):
            # The viewer has disconnected, or will ask this front's successor like any other viewer.
            self.play_lost(active_play, "left")
            if active_play.exchange is not None and active_play.exchange.open:
                self.driver.viewers.decline(active_play, 0)
        elif self.has_room("", active_play) or not self.move_declined(active_play):
            # Each request counts towards the budget of reallocations. So the module is asked for a place only
            # if it shows room, or if no retry is left and the viewer needs a final answer.
            self.execute_request_place(play, active_play)

    def play_lost(self, active_play, how: str) -> None:
        """The module declined or failed a moved play for good, or its viewer disconnected."""
        old_play, active_play.moved_from = active_play.moved_from, ""
        self.driver.log.warning("move failed; the viewer has lost its play", play=old_play, how=how)
        self.execute(self.mover.move_failed(self.driver.clock.now(), old_play))

    def progress(self) -> dict:
        """Progress of each drain; see `Mover.progress`."""
        return self.mover.progress()

    # ---- the mover's actions

    def execute(self, actions) -> None:
        """Call `execute_NAME` for each action."""
        for name, *arguments in actions:
            getattr(self, f"execute_{name}")(*arguments)

    def execute_wake(self, delay: int) -> None:
        self.timers.after(delay / 10_000, self.wake)

    def wake(self) -> None:
        self.execute(self.mover.wake(self.driver.clock.now()))

    def execute_leave(self, play: str, why: str) -> None:
        self.driver.log.info("play is left on its draining node", play=play, why=why)

    def execute_check_room(self, play: str) -> None:
        driver = self.driver
        active_play = driver.plays.get(play)
        has_room = (
            active_play is not None and active_play.playing_number is not None and driver.successor is None
        )
        has_room = has_room and self.has_room(play, active_play)
        self.execute(self.mover.room_checked(driver.clock.now(), play, has_room))

    def has_room(self, play: str, active_play) -> bool:
        """Whether the module would place `active_play` after `play` has left its seat; no side effects."""
        check, info, title = (
            getattr(self.driver.module, "has_room", None),
            active_play.info,
            active_play.title,
        )
        return check is None or check(  # modules for comparison lack the method
            self.driver.clock.now(),
            play,
            info.product,
            info.customer,
            info.viewer,
            info.title,
            title.first_place,
            title.places,
            info.top,
        )

    def execute_end(self, play: str) -> None:
        active_play = self.driver.plays.get(play)
        if active_play is None or active_play.playing_number is None:
            self.execute(self.mover.end_unconfirmed(self.driver.clock.now(), play))
            return
        self.driver.log.info("move started", play=play, node=active_play.node)
        self.driver.nodes.end_play_confirmed(
            active_play.node,
            play,
            active_play.playing_number + active_play.number_offset,
            lambda status: self.end_answered(play, active_play, status),
        )

    def end_answered(self, play: str, active_play, status: int) -> None:
        """The node has answered the request to end a play; any status but 204 doesn't confirm the end."""
        now = self.driver.clock.now()
        if status != 204 or active_play.playing_number is None:
            # The play may still run on the node: a new place now could give it two allocations.
            self.execute(self.mover.end_unconfirmed(now, play))
            if status == 404:  # already over: ended by its viewer, or by a request whose answer was lost
                self.driver.play_ended(play, "withdrawn")
            return
        actions = self.mover.end_confirmed(now, play)
        self.driver.play_ended(play, "withdrawn")
        self.execute(
            [
                action if action[0] != "request_place" else ("request_place", play, active_play)
                for action in actions
            ]
        )

    def execute_request_place(self, play: str, previous) -> None:
        """Ask the module for a new place under a new id. `previous`: the play, or the last declined attempt.

        The viewer fetches the answer from the manifest's Location, when the node tells it that the play has
        gone.
        """
        driver = self.driver
        info = driver.viewers.next_play_info(previous.info)
        now = driver.clock.now()
        product = driver.viewers.products[info.product][1]
        limit = (
            previous.deadline
            if previous.moved_from
            else now + product["time_limit"] - driver.viewers.answer_margin
        )
        active_play = type(previous)(info, previous.title, None, limit, now)
        active_play.moved_from = play
        driver.viewers.expect_viewer(play, active_play, previous)
        driver.accept_request(active_play, again=True, moved=True)
