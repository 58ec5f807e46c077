"""The driver of the module: one call for each thing that happens, in order; every answer carried out.

A play is known here from its request until its last allocation has ended. What the module is told passes
one queue (`hear`), so that a call that follows from carrying out an answer waits until that answer's list is
done.
"""

import time
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from curlewhall.interface import NodeRow
from curlewhall.recovery.absent import NoKeeper
from curlewhall.sites.absent import NoSites

if TYPE_CHECKING:  # a door that speaks no HTTP loads none of it
    from curlewhall.wire.forms import Facts, Title
    from curlewhall.wire.server import Exchange

SECOND = 10_000
STARTS = 10_000  # nodes whose starts are kept: many times a fleet, machines are replaced under new names
PROVEN = ("full", "unreached", "not_sent")  # endings after which nothing can have run


class Clock:
    """Whole tenths of a millisecond that never go back, whatever the machine's clock does."""

    def __init__(self, source: Callable[[], float] = time.monotonic) -> None:
        self.source, self.last = source, 0

    def now(self) -> int:
        self.last = max(self.last, int(self.source() * SECOND))
        return self.last


class Held:
    """A play: its request, its allocations by number, and what is in force."""

    __slots__ = (
        "facts",
        "title",
        "exchange",
        "limit",
        "rung",
        "number",
        "offset",
        "node",
        "out",
        "playing",
        "answered",
        "closed",
        "stash",
        "guard",
        "taken",
        "moved_from",
        "kept",
        "target",
        "began",
    )

    def __init__(
        self, facts: "Facts", title: "Title", exchange: "Exchange | None", limit: int, taken: int
    ) -> None:
        self.facts, self.title, self.exchange, self.limit, self.taken = facts, title, exchange, limit, taken
        self.rung, self.number, self.offset, self.node = facts.rung, -1, 0, ""
        self.out: dict[int, Any] = {}  # allocations that are out and don't play yet
        self.playing: int | None = None
        self.answered = self.closed = False
        self.stash: list = []  # what the node told of an allocation before its set-up's answer was read
        self.guard = None
        self.moved_from = ""  # the play that this one goes on with, on another node
        self.target = ""  # the node of its latest allocation
        self.kept: tuple | None = None  # an answer whose viewer has yet to come for it
        self.began = 0  # when this front heard that it plays


class Waiting:
    """An allocation that has yet to go out: it may have to be on disk first."""

    def __init__(self, driver: "Driver", held: Held, number: int, node: str, until: int) -> None:
        self.driver, self.held, self.number, self.node, self.until = driver, held, number, node, until
        self.listed = driver.listing.get(node)

    def go(self, sure: bool) -> None:
        """Send it, unless it was withdrawn meanwhile, or is not surely kept.

        Danger: the disk, or a busy core, takes its time. A viewer who has hung up by now wants nothing more,
        and a node that drains or has started anew since is not the one that was chosen.
        """
        held, driver = self.held, self.driver
        if held.out.get(self.number) is not self:
            return
        if held.exchange is not None and held.exchange.hung_up():
            driver.left(held)
            return
        span, same = self.until - driver.clock.now(), driver.listing.get(self.node) == self.listed
        going = (
            driver.nodes.set_up(held, self.number, self.node, span / SECOND)
            if sure and same and span > 0
            else None
        )
        if going is None:
            self.withdraw()
        else:
            held.out[self.number] = going

    def withdraw(self) -> None:
        """Nothing went out."""
        self.driver.set_up_ended(self.held, self.number, self.node, "not_sent", 0.0, {})


class Driver:
    """Owns one instance of the module. `viewers`, `nodes` and `peers` are set before the first call."""

    def __init__(
        self,
        make: Callable,
        seed: int,
        card: dict,
        timers,
        log,
        clock: Clock | None = None,
        born: int | None = None,
    ) -> None:
        self.clock, self.timers, self.log, self.card = clock or Clock(), timers, log, card
        self.inbox: deque = deque()
        self.busy = False
        self.plays: dict[str, Held] = {}
        self.listing: dict[str, tuple[str, int]] = {}  # node -> its state and latest start, as last told
        self.starts: dict[str, tuple[int, int]] = {}  # node -> its start: Unix ms, module's time
        self.viewers = self.nodes = self.peers = self.moves = None
        self.keeper, self.sites = NoKeeper(), NoSites()
        self.heir = None  # once this front hands over: what goes on elsewhere is told to it
        self.elsewhere: dict[str, Held] = {}  # plays that this front's predecessor is still setting up
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
        self.paid = {p["name"]: p["idempotency"] != "pure" for p in card.get("products", ())}
        self.module = make(self.clock.now() if born is None else born, seed, card)
        self.verbs = {
            "allocate": self.allocate,
            "rung": self.set_rung,
            "decline": self.decline,
            "fail": self.fail,
            "withdraw": self.withdraw,
            "move": self.move,
            "probe": self.probe,
            "tell": self.tell,
            "wake": self.wake,
            "log": self.say,
        }

    # ---- what happens

    def hear(self, name: str, *facts, **named) -> None:
        """Call the module's `name`; its answers are carried out before the next call is made."""
        self.hear_of(None, name, *facts, **named)

    def hear_of(self, then: int | None, name: str, *facts, **named) -> None:
        """The same for what happened `then`, before this process began; None: now."""
        self.inbox.append((then, name, facts, named))
        if self.busy:
            return
        self.busy = True
        try:
            while self.inbox:
                then, name, facts, named = self.inbox.popleft()
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
                        self.verbs[answer[0]](*answer[1:])
                    except Exception:
                        # Danger: a play's answer lost since another's could not be carried out before it.
                        self.counts["faults"] += 1
                        self.log.exception("an answer can't be carried out", verb=answer[0])
        finally:
            self.busy = False

    def listed(self, how: str, rows: list[NodeRow]) -> None:
        if how in ("whole", "old_copy"):
            self.listing.clear()
        for row in rows:
            self.listing[row.node] = row.state, row.started
            if row.state == "gone":
                del self.listing[row.node]
        self.hear("listed", how, rows)

    def started(self, node: str, unix_ms: int) -> int:
        """A node's start on the module's clock, 1 at least; 0: long past.

        Danger: reckoned anew for each list it would jitter with both clocks, and a start told twice would
        look like a restart, whose node is paced as cold once more.
        """
        if unix_ms <= 0:
            return 0
        if self.starts.get(node, (0, 0))[0] != unix_ms:
            ago = max(0, time.time_ns() // 100_000 - 10 * unix_ms)
            self.starts[node] = unix_ms, max(1, self.clock.now() - ago)
            if len(self.starts) > STARTS:
                del self.starts[next(iter(self.starts))]
        return self.starts[node][1]

    def asked(self, held: Held, again: bool, moved: bool) -> None:
        """A viewer's request was taken; from here on it gets exactly one answer."""
        facts = held.facts
        self.plays[facts.play] = held
        self.counts["asked"] += 1
        self.keeper.took()
        held.guard = self.timers.after(
            max(0, held.limit - self.clock.now()) / SECOND + 0.02, self.overdue, held
        )
        self.hear(
            "asked",
            facts.play,
            facts.product,
            facts.customer,
            facts.viewer,
            facts.title,
            held.limit,
            held.title.first_place,
            held.title.places,
            facts.top,
            None,
            moved,
            again,
        )

    def resumed(self, facts: "Facts", title: "Title", node: str) -> None:
        """A play of an earlier process of this front, found at its node."""
        now = self.clock.now()
        held = Held(facts, title, None, now, now)
        ran = 10 * self.keeper.ran_for(facts.play, facts.number)
        self.log.info("resumed", play=facts.play, node=node, rung=facts.rung, ran_ms=ran / 10)
        self.found_at(held, node, now - ran)
        self.holds(held, node)

    def found_at(self, held: Held, node: str, then: int | None = None) -> None:
        """Tell the module of a play that it did not place; it takes its seat from now on. `then`: when it is
        known to have been there already; None: now.
        """
        facts, title = held.facts, held.title
        self.hear_of(
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

    def holds(self, held: Held, node: str) -> None:
        """A play that the module was told of by `found_at` is this front's."""
        facts = held.facts
        held.answered, held.number, held.playing, held.offset, held.node = True, 0, 0, facts.number, node
        held.rung, held.began = facts.rung, self.clock.now()
        self.plays[facts.play] = held
        self.counts["resumed"] += 1
        self.viewers.resumed(held)
        self.hear("note", facts.play, 0, node, "rung", float(facts.rung))
        self.moves.playing(held)

    def set_up_ended(self, held: Held, number: int, node: str, how: str, took: float, report: dict) -> None:
        """A set-up's exchange is over: `ok` with its first frame, or one of the other endings."""
        held.out.pop(number, None)
        span = int(took * SECOND)
        self.sites.set_up(node, how)
        if how == "ok" and not held.answered and held.exchange is not None and held.exchange.hung_up():
            # Danger: it would play on at its node for nobody. What is closed is ended there, below.
            self.left(held)
        if how != "ok" or held.closed:
            if how == "ok":
                how = "withdrawn"
            if how not in PROVEN:
                self.nodes.end(node, held.facts.play, number + held.offset, how)
            self.log.info("allocation ended", play=held.facts.play, allocation=number, node=node, how=how)
            self.hear("ended", held.facts.play, number, node, how, held.answered, span, report)
            self.drop(held)
            return
        held.playing, held.node, held.began = number, node, self.clock.now()
        self.keeper.playing(held.facts.play, number + held.offset)
        first = not held.answered
        if first:
            # Danger: while the module reckons, the play may end at its node before its viewer knows of it.
            # The answer needs nothing that the module says to a first frame, so it leaves before.
            self.close(held, "played")
            self.viewers.play(held, number + held.offset)
        self.log.info(
            "first frame",
            play=held.facts.play,
            allocation=number,
            node=node,
            rung=held.rung,
            took_ms=span / 10,
        )
        self.hear("first_frame", held.facts.play, number, node, span)
        for kind in ("link_asked", "uplink_asked"):
            if kind in report:
                self.hear("note", held.facts.play, number, node, kind, report[kind])
                self.moves.report(node, kind, report[kind])
                self.sites.report(node, kind, report[kind])
        if first:
            if self.heir is not None:
                self.heir.passed(held)
            self.moves.playing(held)
        stash, held.stash = held.stash, []
        for event in stash:
            self.nodes.event(node, event)

    def play_ended(self, play: str, how: str) -> None:
        """A play under way is over at its node."""
        held = self.plays.get(play)
        if held is None or held.playing is None:
            return
        number, held.playing = held.playing, None
        self.counts["ended"] += 1
        self.log.info("play ended", play=play, allocation=number, node=held.node, how=how)
        self.hear("ended", play, number, held.node, how, True, self.clock.now() - held.taken, {})
        self.drop(held)
        self.moves.ended(play)

    def noted(self, play: str, node: str, kind: str, value: float) -> None:
        held = self.plays.get(play)
        if held is not None and held.playing is not None:
            self.hear("note", play, held.playing, node, kind, value)
            if kind != "delivered":
                self.moves.report(node, kind, value)
                self.sites.report(node, kind, value)

    def left(self, held: Held) -> None:
        """The viewer hung up before its answer."""
        if held.answered:
            return
        held.closed = True
        self.close(held, "left")
        self.log.info("left", play=held.facts.play)
        self.hear("left", held.facts.play)
        for ask in list(held.out.values()):
            ask.withdraw()
        self.drop(held)

    def overdue(self, held: Held) -> None:
        """Danger: a module that failed, or a machine too busy to call it in time, must not leave a viewer
        without an answer. What can't be proved is failed; the module is told that the play is over."""
        held.guard = None
        if not held.answered:
            held.closed = True
            self.counts["guarded"] += 1
            self.log.warning("answered by the guard", play=held.facts.play)
            self.close(held, "failed")
            self.viewers.fail(held, "The time limit is over")
            self.hear("left", held.facts.play)
            for ask in list(held.out.values()):
                ask.withdraw()
            self.drop(held)

    # ---- what the module answers

    def allocate(self, play: str, node: str, span: int) -> None:
        held = self.plays.get(play)
        if held is None:
            self.log.error("an allocation for a play not held", play=play, node=node)
            return
        held.number += 1
        number, held.target = held.number, node
        self.counts["allocations"] += 1
        self.log.info("allocate", play=play, allocation=number, node=node, rung=held.rung, span_ms=span / 10)
        if number and not self.keeper.may():
            self.log.info("the budget of the process before is spent", play=play)
            self.hear("ended", play, number, node, "not_sent", held.answered, 0, {})
            return
        waiting = Waiting(self, held, number, node, self.clock.now() + span)
        held.out[number] = waiting
        paid = self.paid.get(held.facts.product, False)
        if self.keeper.sending(held, number, node, paid, waiting.go):
            waiting.go(True)

    def set_rung(self, play: str, rung: int) -> None:
        held = self.plays.get(play)
        if held is not None:
            held.rung = rung
            if held.playing is not None:
                self.nodes.set_rung(held.node, play, held.playing + held.offset, rung)

    def decline(self, play: str, away: int) -> None:
        held = self.plays.get(play)
        if held is not None and not held.answered:
            if held.moved_from and self.moves.declined(held):
                self.forgo(held)
                return
            self.close(held, "declined")
            self.sites.declined(held.facts.product)
            self.log.info("declined", play=play, away_ms=away / 10)
            self.viewers.decline(held, away)
            self.drop(held)

    def fail(self, play: str) -> None:
        held = self.plays.get(play)
        if held is not None and not held.answered:
            self.close(held, "failed")
            self.log.info("failed", play=play)
            self.viewers.fail(held, "No node answered in time, or an answer was lost")
            self.drop(held)

    def withdraw(self, play: str, number: int) -> None:
        held = self.plays.get(play)
        ask = held and held.out.get(number)
        if ask:
            ask.withdraw()

    def move(self, play: str) -> None:
        held = self.plays.get(play)
        if held is not None and held.playing is not None:
            self.nodes.end(held.node, play, held.playing + held.offset, "moved")
            self.viewers.moved(held)
            self.play_ended(play, "withdrawn")

    def probe(self, node: str) -> None:
        self.nodes.probe(node)

    def tell(self, peer: int | None, body: bytes) -> None:
        self.peers.send(peer, body)

    def wake(self, span: int, label: int) -> None:
        self.timers.after(span / SECOND, self.hear, "wake", label)

    def say(self, text: str) -> None:
        self.log.info("module", text=text)

    # ---- helpers

    def close(self, held: Held, what: str) -> None:
        """The play has its answer, or needs none any more."""
        held.answered = True
        self.counts[what] += 1
        if self.heir is not None and what != "played":
            self.heir.lost(held)
        if held.moved_from and what != "played":
            self.moves.lost(held, what)
        if held.guard is not None:
            held.guard.cancel()
            held.guard = None

    def forgo(self, held: Held) -> None:
        """A try of a move that was declined, nothing of it ever out: the next try owes the answer."""
        held.answered = True
        if held.guard is not None:
            held.guard.cancel()
            held.guard = None
        self.plays.pop(held.facts.play, None)

    def drop(self, held: Held) -> None:
        if held.answered and not held.out and held.playing is None:
            self.plays.pop(held.facts.play, None)
            self.keeper.over(held.facts.play)
            held.exchange = None
