"""Carries out what the mover answers: ends at nodes, asks of the module, wakes. The only part with I/O."""

from curlewhall.wire import forms

from .decide import Mover, Room


class Moves:
    """Between the front's driver and a mover. Called by the driver for what happens to plays."""

    def __init__(self, driver, timers, mover: Mover) -> None:
        self.driver, self.timers, self.mover = driver, timers, mover
        self.between: set[str] = set()  # plays moved and declined once, about to be asked for again

    # ---- what happens

    def listed(self, rows: list[forms.Row], now: int, unix_ms: int) -> None:
        card, rooms = self.driver.card, {}
        for row in rows:
            started = max(1, now - 10 * max(0, unix_ms - row.started_ms)) if row.started_ms else 0
            rooms[row.node] = Room(
                row.place,
                row.place % max(1, card["specifics.shelves"]),
                row.state,
                row.weight * card["specifics.link_unit_kb"],
                started,
            )
        self.carry(self.mover.listed(now, rooms))

    def playing(self, held) -> None:
        """A play plays, whether asked for, resumed or moved."""
        facts, card = held.facts, self.driver.card
        index, terms = self.driver.viewers.products[facts.product]
        # the module takes a play in only where the rung worth most for its rate has room, whatever it plays
        # at
        ladder, worth = card["specifics.rung_kb"], card["specifics.level_worth"]
        best = max(range(len(ladder)), key=lambda rung: worth[rung] / ladder[rung])
        need = max(held.rung, facts.floor, min(facts.top, best))
        rate = ladder[need] * card["specifics.class_scale"][index]
        cells = tuple(
            (held.title.first_place + i) % max(1, card["specifics.places"]) for i in range(held.title.places)
        )
        now = self.driver.clock.now()
        ends = held.taken + int(held.title.length_s * 10_000) if not held.offset else None
        if held.moved_from:
            self.driver.counts["moved"] += 1
            self.driver.log.info("moved", play=held.moved_from, to=facts.play, node=held.node)
            self.carry(self.mover.arrived(now, held.moved_from))
            held.moved_from = ""
        self.carry(
            self.mover.playing(
                now,
                facts.play,
                held.node,
                terms["importance"],
                terms["idempotency"] != "pure",
                rate,
                cells,
                ends,
            )
        )

    def ended(self, play: str) -> None:
        self.carry(self.mover.ended(self.driver.clock.now(), play))

    def report(self, node: str, kind: str, value: float) -> None:
        self.mover.report(self.driver.clock.now(), node, kind, value)

    def buffer(self, play: str, seconds: float) -> None:
        self.carry(self.mover.buffer(self.driver.clock.now(), play, seconds))

    def declined(self, held) -> bool:
        """The module declined a moved play: whether it will be asked for again, and no answer goes out."""
        old, driver = held.moved_from, self.driver
        if held.closed or driver.heir is not None:
            return False
        answers = self.mover.declined(driver.clock.now(), old, held.limit)
        for _, play, pause in answers:
            self.between.add(play)
            self.timers.after(pause / 10_000, self.ask_again, play, held)
        return bool(answers)

    def ask_again(self, play: str, held) -> None:
        """The next try takes over the viewer, where it has come for its answer by now."""
        self.between.discard(play)
        if self.driver.heir is not None or held.exchange is not None and not held.exchange.open:
            # its viewer is gone, or asks the successor of this front as others do
            self.lost(held, "left")
            if held.exchange is not None and held.exchange.open:
                self.driver.viewers.decline(held, 0)
        elif self.room("", held) or not self.declined(held):
            # Danger: every ask counts as a play taken, towards the budget of further allocations. So the
            # module is asked where it shows room, and at last for the answer.
            self.carry_ask(play, held)

    def lost(self, held, how: str) -> None:
        """The module said no to a moved play, or its viewer hung up meanwhile."""
        old, held.moved_from = held.moved_from, ""
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
        held = driver.plays.get(play)
        room = held is not None and held.playing is not None and driver.heir is None
        room = room and self.room(play, held)
        self.carry(self.mover.looked(driver.clock.now(), play, room))

    def room(self, play: str, held) -> bool:
        """Whether the module would place `held`, asked without effect, once `play` has given its seat up."""
        ask, facts, title = getattr(self.driver.module, "has_room", None), held.facts, held.title
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
        held = self.driver.plays.get(play)
        if held is None or held.playing is None:
            self.carry(self.mover.kept(self.driver.clock.now(), play))
            return
        self.driver.log.info("moving", play=play, node=held.node)
        self.driver.nodes.end_surely(
            held.node, play, held.playing + held.offset, lambda status: self.end_told(play, held, status)
        )

    def end_told(self, play: str, held, status: int) -> None:
        now = self.driver.clock.now()
        if status != 204 or held.playing is None:
            # Danger: an end that nobody confirmed. Nothing is asked for, the play may still be there.
            self.carry(self.mover.kept(now, play))
            if status == 404:  # over already, by its viewer or by an end whose answer was lost
                self.driver.play_ended(play, "withdrawn")
            return
        answers = self.mover.ended_there(now, play)
        self.driver.play_ended(play, "withdrawn")
        self.carry([answer if answer[0] != "ask" else ("ask", play, held) for answer in answers])

    def carry_ask(self, play: str, old) -> None:
        """Ask the module for a new place, under a new id; the viewer comes for the answer by the manifest's
        Location when its node tells it that the play has gone. `old`: the play, or its last try.
        """
        driver = self.driver
        facts = driver.viewers.next_facts(old.facts)
        now = driver.clock.now()
        terms = driver.viewers.products[facts.product][1]
        limit = old.limit if old.moved_from else now + terms["time_limit"] - driver.viewers.margin
        held = type(old)(facts, old.title, None, limit, now)
        held.moved_from = play
        driver.viewers.expect(play, held, old)
        driver.asked(held, again=True, moved=True)
