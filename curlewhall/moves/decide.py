"""When a play leaves a draining node, in which order, and how many at once. No I/O, no clock, no task.

Called once for each thing that happens with `now` (whole tenths of a millisecond); answers are tuples, the
verb first, to be carried out in their order:

- `("look", play)`: ask the module, without effect, whether it would place the play now. Told by `looked`.
- `("end", play)`: end it at its node. What comes of it is told by `ended_there` or `kept`.
- `("ask", play)`: ask the module for a new place, as moved. Told by `arrived`, `declined` or `lost`.
- `("again", play, span)`: the same once more after `span`, while its viewer's buffer lasts.
- `("leave", play, why)`: it stays; its viewer comes again by itself when the node stops.
- `("wake", span)`: call `wake` then.

Danger: a move that is declined is a viewer lost. So nothing is ended before a holder shows room for it, by
this front's reckoning of what all fronts move and by the module's own; and the old allocation has provably
ended before the new one is asked for, so that never two are out.
"""

from collections import deque
from typing import NamedTuple

from curlewhall.policy import WindowedSum

from .heap import IndexedHeap

SECOND = 10_000
FRESH = 5 * SECOND  # a report older than that says nothing; the module reckons alike
KEPT = 0.15  # of link and uplink kept for new plays; the module fills up to 0.9, so moves are never its last
BRIDGE = 3 * SECOND // 2  # of buffer bridge a set-up, a reload of the manifest and a segment's first half
FRACTION = 0.5  # of a node's streams, at which the design's cap on the least product begins
LAST = 5 * SECOND  # so long before the deadline an empty buffer is no reason to wait any more
FIRST_PAUSE, LONGEST_PAUSE = SECOND // 2, 4 * SECOND  # after a try that found no room; doubled each time
TRIES = 8  # with the pauses above: some 25 s, about as long as an operator waits for a drain
MOST_OUT = 8  # moves of one front under way at once; the fleet's part may be less
# A move declined all the same is asked for again while its viewer has so much in hand: a set-up, a segment.
FIRST_AGAIN, IN_HAND = SECOND // 10, SECOND  # a report that shows a full holder changes within some 400 ms
SHORTEST, LONGEST = 200, SECOND // 2  # between two moves: 20 ms spares the loop, half a second keeps in step


class Room(NamedTuple):
    """A listed node, as far as moves care."""

    place: int
    rack: int
    state: str
    link: float  # kB a second
    started: int  # 0: long past


class Seat:
    """A play that this front holds: where, what it needs, what its viewer has in hand."""

    __slots__ = (
        "node",
        "importance",
        "paid",
        "rate",
        "cells",
        "ends",
        "buffer",
        "tries",
        "out",
        "asks",
        "lasts",
    )

    def __init__(self, node, importance, paid, rate, cells, ends) -> None:
        self.node, self.importance, self.paid, self.rate = node, importance, paid, rate
        self.cells, self.ends = cells, ends
        self.buffer, self.tries, self.out = None, 0, ""  # out: "look", "end" or "ask", as told above
        self.asks, self.lasts = 0, 0  # asked for so often; until when its viewer bridges the gap


class Plan:
    """A drain under way: who waits, and how it went so far."""

    def __init__(self, now: int, deadline: int) -> None:
        self.began, self.deadline = now, deadline
        self.ready, self.later = IndexedHeap(), IndexedHeap()  # by rank; by when to look again
        self.moved = self.lost = self.left = 0
        self.emptied: int | None = None


class Heard:
    """What a node or rack is asked for, from its last report and what this front has placed there since."""

    def __init__(self) -> None:
        self.full, self.at, self.placed = 0.0, -FRESH * 9, WindowedSum(2 * FRESH)


class Mover:
    """One front's moves. `terms`: the start settings; `drain_within` the time that a drain may take."""

    def __init__(self, now: int, terms: dict, drain_within: int) -> None:
        self.terms, self.drain_within = terms, drain_within
        self.least = min((p["importance"] for p in terms["products"]), default=0.0)
        self.rooms: dict[str, Room] = {}
        self.cells: dict[int, list[str]] = {}
        self.heard: dict[str, Heard] = {}
        self.racks: dict[int, Heard] = {}
        self.seats: dict[str, Seat] = {}
        self.at: dict[str, set[str]] = {}  # node -> plays
        self.plans: dict[str, Plan] = {}
        self.out: set[str] = set()
        self.cold: dict[str, deque] = {}  # when plays began at nodes that have started since this front did
        self.next_at, self.woken = now, None
        self.told: list[tuple] = []

    # ---- what happens

    def listed(self, now: int, rows: dict[str, Room]):
        """The list as it is now, whole."""
        fresh = {node for node in rows if node not in self.rooms}
        for node in fresh if self.rooms else ():
            # Danger: what is new to this front may have started this moment.
            rows[node] = rows[node]._replace(started=rows[node].started or now)
        for node in rows.keys() & self.rooms.keys():
            if rows[node].started == 0 and self.rooms[node].started:
                rows[node] = rows[node]._replace(started=self.rooms[node].started)
        self.rooms, self.cells = rows, {}
        # what is gone is let go: its reports say nothing when it comes back
        self.heard = {node: heard for node, heard in self.heard.items() if node in rows}
        self.cold = {node: times for node, times in self.cold.items() if node in rows}
        self.at = {node: plays for node, plays in self.at.items() if plays or node in rows}
        for node, room in rows.items():
            self.cells.setdefault(room.place % max(1, self.terms["specifics.places"]), []).append(node)
            self.heard.setdefault(node, Heard())
            self.racks.setdefault(room.rack, Heard())
            if room.state == "draining":
                self.drain(now, node)
            elif node in self.plans:
                self.call_back(node)
        for node in list(self.plans):
            if node not in rows:
                self.call_back(node)
        return self.work(now)

    def playing(
        self,
        now: int,
        play: str,
        node: str,
        importance: float,
        paid: bool,
        rate: float,
        cells: tuple[int, ...],
        ends: int | None,
    ):
        """A play plays at a node. `ends`: when it is over by itself, where that is known."""
        seat = self.seats[play] = Seat(node, importance, paid, rate, cells, ends)
        self.at.setdefault(node, set()).add(play)
        self.place(now, node, rate)
        if node in self.rooms and self.rooms[node].started:
            self.cold.setdefault(node, deque(maxlen=99)).append(now)  # whatever brought it there
        if node in self.plans:
            self.consider(now, play, seat, self.plans[node])
        return self.work(now)

    def ended(self, now: int, play: str):
        """A play is over, whatever ended it."""
        seat = self.seats.get(play)
        if seat is None or seat.out == "ask":  # an end that belongs to the move itself
            return ()
        self.forget(now, play, seat)
        return self.work(now)

    def report(self, now: int, node: str, kind: str, value: float):
        """A report of a node's link or its rack's uplink: asked over given."""
        if node in self.rooms:
            heard = self.heard[node] if kind == "link_asked" else self.racks[self.rooms[node].rack]
            # Danger: notes tell of a time gone by; what was placed since then is not in them.
            heard.full, heard.at = value, now - self.terms["specifics.told_late"]
        return ()

    def buffer(self, now: int, play: str, seconds: float):
        """How much its viewer has in hand (CMCD `bl`)."""
        seat = self.seats.get(play)
        if seat is None or seat.out:
            return ()
        seat.buffer = int(seconds * SECOND)
        plan = self.plans.get(seat.node)
        if plan is None:
            return ()
        if play in plan.ready:
            plan.ready.put(play, self.rank(seat))
        elif play in plan.later and not seat.tries and seat.buffer >= BRIDGE:
            plan.later.drop(play)
            plan.ready.put(play, self.rank(seat))
        return self.work(now)

    def looked(self, now: int, play: str, room: bool):
        """Whether the module would place the play now."""
        seat = self.seats.get(play)
        if seat is None or seat.out != "look":
            return ()
        if room:
            seat.out = "end"
            return [("end", play)]
        return self.stays(now, play, seat)

    def ended_there(self, now: int, play: str):
        """The old allocation has provably ended: the new one may be asked for."""
        seat = self.seats.get(play)
        if seat is None or seat.out != "end":
            return ()
        seat.out, seat.lasts = "ask", now + min(seat.buffer or 0, 30 * SECOND) - IN_HAND
        return [("ask", play)]

    def kept(self, now: int, play: str):
        """The node did not say that it ended: nothing else is asked for, the play stays where it is."""
        seat = self.seats.get(play)
        if seat is None or seat.out != "end":
            return ()
        return self.stays(now, play, seat)

    def stays(self, now: int, play: str, seat: Seat):
        self.out.discard(play)
        seat.out, plan = "", self.plans.get(seat.node)
        if plan is not None:
            self.put_off(now, play, seat, plan)
        return self.work(now)

    def arrived(self, now: int, play: str):
        """The moved play plays elsewhere; it is told by `playing` under its new name."""
        return self.finish(now, play, "moved")

    def declined(self, now: int, play: str, limit: int):
        """The module declined it; it can be asked for again until `limit`. Empty: it is lost."""
        seat = self.seats.get(play)
        if seat is None or seat.out != "ask":
            return ()
        pause = FIRST_AGAIN * 2 ** min(seat.asks, 3)
        seat.asks += 1
        return [("again", play, pause)] if now + pause < min(limit, seat.lasts) else ()

    def lost(self, now: int, play: str):
        """The module's last word: the moved play was declined or failed, or its viewer is gone."""
        return self.finish(now, play, "lost")

    def wake(self, now: int):
        """A wake asked for earlier is due."""
        self.woken = None
        return self.work(now)

    # ---- plans

    def drain(self, now: int, node: str, deadline: int | None = None) -> None:
        if node not in self.plans:
            plan = self.plans[node] = Plan(now, deadline or now + self.drain_within)
            for play in sorted(self.at.get(node, ())):
                self.consider(now, play, self.seats[play], plan)

    def call_back(self, node: str) -> None:
        """Danger: a drain called back with moves half done. What is out goes on, nothing new begins."""
        del self.plans[node]
        for play in self.at.get(node, ()):
            self.seats[play].tries = 0

    def consider(self, now: int, play: str, seat: Seat, plan: Plan) -> None:
        if seat.out:
            return
        if seat.ends is not None and seat.ends <= plan.deadline - SECOND:
            plan.left += 1
            self.told.append(("leave", play, "ends by itself"))
        elif seat.buffer is not None and seat.buffer < BRIDGE and now < plan.deadline - LAST:
            plan.later.put(play, plan.deadline - LAST)
        else:
            plan.ready.put(play, self.rank(seat))

    def rank(self, seat: Seat) -> tuple:
        """Harmless before paid, which have but one try; dearer first; of alike ones the fullest buffer."""
        return (seat.paid, -seat.importance, -min(seat.buffer or 0, 30 * SECOND))

    def put_off(self, now: int, play: str, seat: Seat, plan: Plan) -> None:
        seat.tries += 1
        if seat.tries >= TRIES or now >= plan.deadline:
            plan.left += 1
            why = "the deadline has passed" if now >= plan.deadline else "no room"
            self.told.append(("leave", play, why))
        else:
            pause = min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** (seat.tries - 1))
            plan.later.put(play, min(now + pause, max(now + FIRST_PAUSE, plan.deadline - LAST)))

    def forget(self, now: int, play: str, seat: Seat) -> None:
        del self.seats[play]
        self.out.discard(play)
        self.at[seat.node].discard(play)
        self.place(now, seat.node, -seat.rate)
        plan = self.plans.get(seat.node)
        if plan is not None:
            plan.ready.drop(play)
            plan.later.drop(play)
            if not self.at[seat.node] and plan.emptied is None:
                plan.emptied = now

    def finish(self, now: int, play: str, how: str):
        seat = self.seats.get(play)
        if seat is None or seat.out != "ask":
            return ()
        plan = self.plans.get(seat.node)
        if plan is not None:
            setattr(plan, how, getattr(plan, how) + 1)
        self.forget(now, play, seat)
        return self.work(now)

    # ---- the pace

    def work(self, now: int):
        """Begin what may begin now; answers what is to be carried out."""
        out, self.told = self.told, []
        for plan in self.plans.values():
            while plan.later and plan.later.first()[0] <= now:
                play = plan.later.pop()[1]
                plan.ready.put(play, self.rank(self.seats[play]))
        most = self.most_out()
        while self.plans and now >= self.next_at and len(self.out) < most:
            plan = min((p for p in self.plans.values() if p.ready), key=lambda p: p.deadline, default=None)
            if plan is None:
                break
            play = plan.ready.pop()[1]
            seat = self.seats[play]
            if now >= plan.deadline or not self.holder(now, seat):
                self.put_off(now, play, seat, plan)
                out += self.told
                self.told = []
                continue
            seat.out = "look"
            self.out.add(play)
            waiting = len(plan.ready) + len(plan.later) + 1
            # half of the time that is left is for the moves, the other half for what goes wrong
            self.next_at = now + max(SHORTEST, min(LONGEST, (plan.deadline - now) // 2 // waiting))
            out.append(("look", play))
        due = self.due(now)
        if due is not None and (self.woken is None or due < self.woken):
            self.woken = due
            out.append(("wake", max(1, due - now)))
        return out

    def due(self, now: int) -> int | None:
        """When there will be something to do that no call tells of."""
        dues = [plan.later.first()[0] for plan in self.plans.values() if plan.later]
        if any(plan.ready for plan in self.plans.values()) and len(self.out) < self.most_out():
            dues.append(max(now + 1, self.next_at))
        return min(dues, default=None)

    def most_out(self) -> int:
        """Danger: many fronts move at once, none knowing of the others. Together they have no more set-ups
        out than there are nodes to take them, one to a front at least.
        """
        targets = sum(room.state == "serving" for room in self.rooms.values())
        return max(1, min(MOST_OUT, targets // max(1, self.terms["fronts"])))

    # ---- room

    def place(self, now: int, node: str, rate: float) -> None:
        if node in self.rooms:
            self.heard[node].placed.add(now, rate)
            self.racks[self.rooms[node].rack].placed.add(now, rate)

    def holder(self, now: int, seat: Seat) -> bool:
        """Whether some node that holds the title shows room for the play, and can take a set-up now."""
        nodes = [n for cell in seat.cells for n in self.cells.get(cell, ()) if n != seat.node]
        return any(self.fits(now, n, seat) for n in nodes)

    def fits(self, now: int, node: str, seat: Seat) -> bool:
        room, rate, fullest = self.rooms[node], seat.rate, 0.0
        if room.state != "serving":
            return False
        uplink = self.terms["specifics.uplink_kb"]
        for heard, given in ((self.heard[node], room.link), (self.racks[room.rack], uplink)):
            # what others may have placed since the report counts as much as this front's own
            since = max(heard.at, now - 2 * FRESH)
            mine = max(0.0, heard.placed.sum_since(since)) * self.terms["fronts"]
            full = heard.full if now - heard.at <= FRESH else self.average(now)
            fullest = max(fullest, (full * given + mine + rate) / given)
        # Danger: the least product is capped at this front's slice of a node above the fraction, moved or
        # not.
        if fullest > 1 - KEPT or fullest > FRACTION and self.capped(node, seat):
            return False
        return self.warm(now, node, room)

    def capped(self, node: str, seat: Seat) -> bool:
        least = self.least
        slice_ = FRACTION * min(self.terms["specifics.kind_streams"]) / max(1, self.terms["fronts"])
        held = sum(self.seats[play].importance <= least for play in self.at.get(node, ()))
        return seat.importance <= least and held + 1 >= slice_

    def average(self, now: int) -> float:
        """An unheard node counts as full as the heard ones on the average, two half-full ones added."""
        heard = [h.full for h in self.heard.values() if now - h.at <= FRESH]
        return (sum(heard) + 1) / (len(heard) + 2)

    def warm(self, now: int, node: str, room: Room) -> bool:
        """Danger: rule 4 counts the sum over all fronts. A node that may be cold counts for this front's
        share of half the pace that it bears, and not at all where that is under one set-up in a window.
        """
        warm, window = self.terms["rules.warm_within"], self.terms["rules.fall"]
        if not room.started or now - room.started >= warm:
            return True
        pace = 0.5 * self.terms["rules.overload_factor"] * self.terms["rules.start_capacity"] * window / warm
        most = int(pace * max(self.terms["specifics.kind_streams"]) / max(1, self.terms["fronts"]))
        times = self.cold.setdefault(node, deque())
        while times and times[0] <= now - window:
            times.popleft()
        return len(times) + len(self.out) < most

    def progress(self) -> dict[str, dict[str, int]]:
        """For the people on call: each drain's moved, waiting, left and lost."""
        return {
            node: {
                "moved": plan.moved,
                "waiting": len(plan.ready) + len(plan.later),
                "out": sum(play in self.out for play in self.at.get(node, ())),
                "left": plan.left,
                "lost": plan.lost,
                "held": len(self.at.get(node, ())),
                "deadline": plan.deadline,
            }
            for node, plan in self.plans.items()
        }
