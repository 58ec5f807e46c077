"""Who is there: failure detection in the manner of SWIM (Das, Gupta, Motivala, DSN 2002). No I/O, no clock.

Called once for each thing that happens, `now` in tenths of a millisecond; answers are tuples:

- `("send", index, kind, nonce, target, rows)`: a datagram to a member.
- `("wake", span)`: call `wake` then.
- `("changed", index, state)`: what is held of a member has changed.
- `("say", text)`: for the people on call.

Each period one member is pinged, in a shuffled order that meets all. One that does not answer is asked for
through others, then suspected; a suspect that does not speak up in time is dead. What changed travels along
with pings and acks, each change so many times as it takes to reach everybody; slices of the whole table go
beside, for what was lost all the same.

Danger: a front that stood still for a minute wakes with every answer overdue. It believes nothing of what it
missed: it asks first, and says that it lives.
"""

from zlib import crc32

from .form import (
    ACK,
    ALIVE,
    ASK,
    DEAD,
    LEAVE,
    LEFT,
    MOST_ROWS,
    NOBODY,
    PING,
    SUSPECT,
    SYNC,
    Row,
    following,
    newer,
)

SECOND = 10_000
PERIOD = SECOND  # two datagrams a second and front when all is well; a death is found within a few periods
ANSWER = 3 * SECOND // 10  # for a ping; fronts answer within a few milliseconds, busy ones within a hundred
TRY = 3 * ANSWER  # pings go on for so long, straight and by helpers, before one that is silent is suspected
HELPERS = 3  # asked to ping for one; at 30% loss a path of four legs fails in 76%, all three in 44%
PATIENCE = 5 * PERIOD // 4  # times log2(members): for a suspect to hear of it and speak up; 10 s at 210
SPREAD = 4  # times log2(members) that a change is sent along
STILL = 4 * PERIOD  # without a wake for so long, this front stood still
BACK = 10  # every so many periods one that is held dead is pinged as well: a partition heals by that
SYNCS = 8  # periods between two slices of the whole table


class Member:
    """What is held of one."""

    __slots__ = ("index", "state", "incarnation", "load", "since", "heard", "until")

    def __init__(self, index: int, now: int, state: int) -> None:
        self.index, self.state, self.incarnation, self.load = index, state, 0, 0
        self.since, self.heard, self.until = now, now, 0


class Members:
    """One front's view. `peers`: all indices that there may be, its own left out."""

    def __init__(self, now: int, me: int, peers: list[int], seed: int) -> None:
        self.me, self.seed, self.draws = me, seed, 0
        # Danger: a peer that never spoke is not known to live; the module would share the fleet with nobody.
        self.members = {index: Member(index, now, DEAD) for index in peers}
        self.incarnation, self.load = 1, 0
        self.order: list[int] = []
        self.round, self.woken = 0, now
        self.pings: dict[int, tuple[int, int, int]] = {}  # nonce -> target, when it is overdue, for whom
        self.asked: dict[int, tuple[int, int]] = {}  # target -> since when it owes an answer, when suspected
        self.news: dict[int, int] = {}  # index -> how often its row was sent along
        self.next = now + self.chance(PERIOD)

    # ---- what happens

    def begin(self, now: int):
        """Ask everybody once, a few at a time in the first period."""
        out = [self.ping(now, index) for index in self.shuffled(list(self.members))[:32]]
        return [*out, ("wake", max(1, self.next - now))]

    def wake(self, now: int):
        """A wake asked for earlier is due."""
        out = []
        if now - self.woken > STILL:
            # stood still: nobody is overdue for an answer that was not waited for
            self.pings.clear()
            self.asked.clear()
            for member in self.members.values():
                if member.state == SUSPECT:
                    member.until = now + self.patience()
            self.incarnation = following(self.incarnation)
            self.tell(self.me)
            out.append(("say", "stood still; asking who is there before anything is believed"))
            out += [self.ping(now, index) for index in self.shuffled(self.living())[:HELPERS]]
        self.woken = now
        for nonce, (target, due, whom) in list(self.pings.items()):
            if now >= due:
                del self.pings[nonce]
                if whom == self.me:
                    out += self.silent(now, target)
        for target, (_, due) in list(self.asked.items()):
            if now >= due:
                del self.asked[target]
                if target in self.members and self.members[target].state == ALIVE:
                    out += self.become(now, target, SUSPECT, self.members[target].incarnation)
        for member in list(self.members.values()):
            if member.state == SUSPECT and now >= member.until:
                out += self.become(now, member.index, DEAD, member.incarnation)
        if now >= self.next:
            out += self.period(now)
        return [*out, ("wake", self.due(now))]

    def heard(
        self,
        now: int,
        sender: int,
        kind: int,
        nonce: int,
        incarnation: int,
        load: int,
        target: int,
        rows: tuple[Row, ...],
    ):
        """A member's datagram, of its present life."""
        member = self.members.get(sender)
        if member is None:
            return []
        member.heard, member.load = now, load
        self.asked.pop(sender, None)
        out = list(self.learn(now, Row(sender, LEFT if kind == LEAVE else ALIVE, incarnation), direct=True))
        for row in rows:
            out += self.learn(now, row)
        if kind == PING:
            out.append(("send", sender, ACK, nonce, target, self.along()))
        elif kind == ASK and target in self.members:
            out.append(self.ping(now, target, sender))
        elif kind == ACK:
            ping = self.pings.pop(nonce, None)
            if ping is not None and ping[0] == sender and ping[2] != self.me:
                # pinged for another, who is told by an ack of ours that names it
                out.append(("send", ping[2], ACK, 0, sender, (self.row(sender),)))
            if target != NOBODY and target in self.members:
                self.asked.pop(target, None)  # a helper has reached it
        elif kind == SYNC:
            known = {row.index for row in rows}
            fresh = [
                self.row(row.index)
                for row in rows
                if row.index in self.members and newer(self.members[row.index].incarnation, row.incarnation)
            ]
            if fresh and known:
                out.append(("send", sender, ACK, 0, NOBODY, tuple(fresh[:MOST_ROWS])))
        return out

    def leave(self, now: int):
        """This front is about to end: tell a few, who tell the rest."""
        self.incarnation = following(self.incarnation)
        row = (Row(self.me, LEFT, self.incarnation),)
        return [("send", index, LEAVE, 0, NOBODY, row) for index in self.shuffled(self.living())[:8]]

    # ---- the protocol

    def period(self, now: int):
        out, self.round = [], self.round + 1
        # jittered: fronts that started together do not speak together
        self.next = now + PERIOD - PERIOD // 10 + self.chance(PERIOD // 5)
        target = self.take_turn()
        if target is not None:
            out.append(self.ping(now, target))
        if self.round % BACK == 0:
            gone = [m.index for m in self.members.values() if m.state in (DEAD, LEFT)]
            if gone:
                out.append(self.ping(now, gone[self.chance(len(gone))]))
        if self.round % SYNCS == 0 and (living := self.living()):
            to = living[self.chance(len(living))]
            out.append(("send", to, SYNC, 0, NOBODY, self.slice()))
        return out

    def take_turn(self) -> int | None:
        while True:
            if not self.order:
                self.order = self.shuffled(self.living())
                if not self.order:
                    return None
            index = self.order.pop()
            if self.members[index].state in (ALIVE, SUSPECT):
                return index

    def ping(self, now: int, index: int, whom: int | None = None):
        self.draws += 1
        nonce = crc32(f"{self.seed}:{self.me}:ping:{self.draws}".encode()) or 1
        self.pings[nonce] = index, now + ANSWER, self.me if whom is None else whom
        return ("send", index, PING, nonce, NOBODY, self.along())

    def silent(self, now: int, target: int):
        """No answer in time: others are asked to try; then it is suspected."""
        member = self.members[target]
        if member.state not in (ALIVE, SUSPECT) or member.heard > now - ANSWER:
            return []
        if target in self.asked:
            return [self.ping(now, target)] if now + ANSWER <= self.asked[target][1] else []
        self.asked[target] = now, now + TRY
        helpers = [index for index in self.living() if index != target]
        return [
            self.ping(now, target),
            *(("send", index, ASK, 0, target, self.along()) for index in self.shuffled(helpers)[:HELPERS]),
        ]

    def learn(self, now: int, row: Row, direct: bool = False):
        """Merge what is said of a member; a higher incarnation counts, then the graver state."""
        if row.index == self.me:
            same = row.incarnation == self.incarnation
            # of two numbers half the circle apart neither is newer: this front's has to be
            if row.state != ALIVE if same else not newer(self.incarnation, row.incarnation):
                # Danger: others hold this front dead, or know a life of it before this one, and share the
                # fleet without it. It says that it lives.
                self.incarnation = following(row.incarnation)
                self.tell(self.me)
            return []
        member = self.members.get(row.index)
        if member is None:
            return []
        fresh = newer(row.incarnation, member.incarnation)
        same = row.incarnation == member.incarnation
        if fresh or same and row.state > member.state:
            if row.state == DEAD and not fresh and member.state == ALIVE and member.heard > now - PERIOD:
                return []  # heard of it this moment: it will say so itself
            return self.become(now, row.index, row.state, row.incarnation)
        if direct and not fresh and (not same or member.state in (DEAD, LEFT)):
            # it speaks, and does not know what is held of it: a partition healed, or it started anew
            return [("send", row.index, SYNC, 0, NOBODY, (self.row(row.index),))]
        return []

    def become(self, now: int, index: int, state: int, incarnation: int):
        member = self.members[index]
        was, member.state, member.incarnation = member.state, state, incarnation
        self.tell(index)
        if state == SUSPECT:
            member.until = now + self.patience()
        if was == state:
            return []
        member.since = now
        self.asked.pop(index, None)
        return [("changed", index, state)]

    # ---- small helpers

    def tell(self, index: int) -> None:
        self.news[index] = 0

    def along(self) -> tuple[Row, ...]:
        """Changes that travel with a datagram, those sent least often first."""
        most = SPREAD * max(1, len(self.living()) + 1).bit_length()
        chosen = sorted(self.news, key=self.news.get)[:MOST_ROWS]
        for index in chosen:
            self.news[index] += 1
            if self.news[index] >= most:
                del self.news[index]
        return tuple(self.row(index) for index in chosen)

    def row(self, index: int) -> Row:
        if index == self.me:
            return Row(index, ALIVE, self.incarnation)
        member = self.members[index]
        return Row(index, member.state, member.incarnation)

    def slice(self) -> tuple[Row, ...]:
        """The next part of the table of all that ever spoke, this front's own row first."""
        known = sorted(m.index for m in self.members.values() if m.incarnation)
        if not known:
            return (self.row(self.me),)
        first = self.round // SYNCS * (MOST_ROWS - 1) % len(known)
        chosen = (known[first:] + known[:first])[: MOST_ROWS - 1]
        return (self.row(self.me), *(self.row(index) for index in chosen))

    def patience(self) -> int:
        return PATIENCE * max(1, (len(self.living()) + 1).bit_length())

    def living(self) -> list[int]:
        """Those that are not held dead, suspects among them."""
        return [m.index for m in self.members.values() if m.state in (ALIVE, SUSPECT)]

    def count(self) -> int:
        """How many share the fleet, this front among them."""
        return 1 + len(self.living())

    def part(self, held: int) -> float:
        """This front's part of all plays, from what the others told last."""
        return held / max(1, held + sum(self.members[index].load for index in self.living()))

    def due(self, now: int) -> int:
        dues = [
            self.next,
            *(due for _, due, _ in self.pings.values()),
            *(due for _, due in self.asked.values()),
            *(m.until for m in self.members.values() if m.state == SUSPECT),
        ]
        return max(1, min(dues) - now)

    def shuffled(self, found: list[int]) -> list[int]:
        self.draws += 1
        return sorted(found, key=lambda i: crc32(f"{self.seed}:{self.me}:{self.draws}:{i}".encode()))

    def chance(self, below: int) -> int:
        self.draws += 1
        return crc32(f"{self.seed}:{self.me}:{self.draws}".encode()) % below
