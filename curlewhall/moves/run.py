"""Carries out what the mover answers: ends at nodes, asks of the module, wakes. The only part with I/O."""

from curlewhall.wire import forms

from .decide import Mover, Room


class Moves:
    """Between the front's driver and a mover. Called by the driver for what happens to plays."""

    def __init__(self, driver, timers, mover: Mover) -> None:
        self.driver, self.timers, self.mover = driver, timers, mover
        self.retrying: set[str] = set()  # plays moved and declined once, about to be asked for again

    # ---- what happens

    def nodes_listed(self, rows: list[forms.Row], now: int, unix_ms: int) -> None:
        start_settings, rooms = self.driver.start_settings, {}
        for row in rows:
            started = max(1, now - 10 * max(0, unix_ms - row.started_ms)) if row.started_ms else 0
            rooms[row.node] = Room(
                row.place,
                row.place % max(1, start_settings["specifics.shelves"]),
                row.state,
                row.weight * start_settings["specifics.link_unit_kb"],
                started,
            )
        self.carry(self.mover.listed(now, rooms))

    def play_started(self, active_play) -> None:
        """A play plays, whether asked for, resumed or moved."""
        facts, start_settings = active_play.info, self.driver.start_settings
        index, terms = self.driver.viewers.products[facts.product]
        # the module takes a play in only where the rung worth most for its rate has room, whatever it plays
        # at
        ladder, worth = start_settings["specifics.rung_kb"], start_settings["specifics.level_worth"]
        best = max(range(len(ladder)), key=lambda rung: worth[rung] / ladder[rung])
        need = max(active_play.rung, facts.floor, min(facts.top, best))
        rate = ladder[need] * start_settings["specifics.class_scale"][index]
        cells = tuple(
            (active_play.title.first_place + i) % max(1, start_settings["specifics.places"])
            for i in range(active_play.title.places)
        )
        now = self.driver.clock.now()
        ends = (
            active_play.received_at + int(active_play.title.length_s * 10_000)
            if not active_play.number_offset
            else None
        )
        if active_play.moved_from:
            self.driver.counts["moved"] += 1
            self.driver.log.info("moved", play=active_play.moved_from, to=facts.play, node=active_play.node)
            self.carry(self.mover.arrived(now, active_play.moved_from))
            active_play.moved_from = ""
        self.carry(
            self.mover.playing(
                now,
                facts.play,
                active_play.node,
                terms["importance"],
                terms["idempotency"] != "pure",
                rate,
                cells,
                ends,
            )
        )

    def play_ended(self, play: str) -> None:
        self.carry(self.mover.ended(self.driver.clock.now(), play))

    def node_reported(self, node: str, kind: str, value: float) -> None:
        self.mover.report(self.driver.clock.now(), node, kind, value)

    def buffer(self, play: str, seconds: float) -> None:
        self.carry(self.mover.buffer(self.driver.clock.now(), play, seconds))

    def move_declined(self, active_play) -> bool:
        """The module declined a moved play: whether it will be asked for again, and no answer goes out."""
        old, driver = active_play.moved_from, self.driver
        if active_play.closed or driver.successor is not None:
            return False
        answers = self.mover.declined(driver.clock.now(), old, active_play.deadline)
        for _, play, pause in answers:
            self.retrying.add(play)
            self.timers.after(pause / 10_000, self.ask_again, play, active_play)
        return bool(answers)

    def ask_again(self, play: str, active_play) -> None:
        """The next try takes over the viewer, where it has come for its answer by now."""
        self.retrying.discard(play)
        if (
            self.driver.successor is not None
            or active_play.exchange is not None
            and not active_play.exchange.open
        ):
            # its viewer is gone, or asks the successor of this front as others do
            self.play_lost(active_play, "left")
            if active_play.exchange is not None and active_play.exchange.open:
                self.driver.viewers.decline(active_play, 0)
        elif self.room("", active_play) or not self.move_declined(active_play):
            # Danger: every ask counts as a play taken, towards the budget of further allocations. So the
            # module is asked where it shows room, and at last for the answer.
            self.carry_ask(play, active_play)

    def play_lost(self, active_play, how: str) -> None:
        """The module said no to a moved play, or its viewer hung up meanwhile."""
        old, active_play.moved_from = active_play.moved_from, ""
        self.driver.log.warning("lost by the move", play=old, how=how)
        self.carry(self.mover.lost(self.driver.clock.now(), old))

    def progress(self) -> dict:
        return self.mover.progress()

    # ---- what the mover answers

    def carry(self, answers) -> None:
        for verb, *rest in answers:
            getattr(self, f"carry_{verb}")(*rest)

    def carry_wake(self, span: int) -> None:
        self.timers.after(span / 10_000, self.wake)

    def wake(self) -> None:
        self.carry(self.mover.wake(self.driver.clock.now()))

    def carry_leave(self, play: str, why: str) -> None:
        self.driver.log.info("left where it is", play=play, why=why)

    def carry_look(self, play: str) -> None:
        driver = self.driver
        active_play = driver.plays.get(play)
        room = active_play is not None and active_play.playing_number is not None and driver.successor is None
        room = room and self.room(play, active_play)
        self.carry(self.mover.looked(driver.clock.now(), play, room))

    def room(self, play: str, active_play) -> bool:
        """Whether the module would place `active_play` once `play` has left its seat; without effect."""
        ask, facts, title = getattr(self.driver.module, "has_room", None), active_play.info, active_play.title
        return ask is None or ask(  # baselines can't be asked
            self.driver.clock.now(),
            play,
            facts.product,
            facts.customer,
            facts.viewer,
            facts.title,
            title.first_place,
            title.places,
            facts.top,
        )

    def carry_end(self, play: str) -> None:
        active_play = self.driver.plays.get(play)
        if active_play is None or active_play.playing_number is None:
            self.carry(self.mover.kept(self.driver.clock.now(), play))
            return
        self.driver.log.info("moving", play=play, node=active_play.node)
        self.driver.nodes.end_surely(
            active_play.node,
            play,
            active_play.playing_number + active_play.number_offset,
            lambda status: self.end_told(play, active_play, status),
        )

    def end_told(self, play: str, active_play, status: int) -> None:
        now = self.driver.clock.now()
        if status != 204 or active_play.playing_number is None:
            # Danger: an end that nobody confirmed. Nothing is asked for, the play may still be there.
            self.carry(self.mover.kept(now, play))
            if status == 404:  # over already, by its viewer or by an end whose answer was lost
                self.driver.play_ended(play, "withdrawn")
            return
        answers = self.mover.ended_there(now, play)
        self.driver.play_ended(play, "withdrawn")
        self.carry([answer if answer[0] != "ask" else ("ask", play, active_play) for answer in answers])

    def carry_ask(self, play: str, old) -> None:
        """Ask the module for a new place, under a new id; the viewer comes for the answer by the manifest's
        Location when its node tells it that the play has gone. `old`: the play, or its last try.
        """
        driver = self.driver
        facts = driver.viewers.next_facts(old.info)
        now = driver.clock.now()
        terms = driver.viewers.products[facts.product][1]
        limit = old.deadline if old.moved_from else now + terms["time_limit"] - driver.viewers.margin
        active_play = type(old)(facts, old.title, None, limit, now)
        active_play.moved_from = play
        driver.viewers.expect(play, active_play, old)
        driver.accept_request(active_play, again=True, moved=True)
