"""Failure detection and gossip among fronts, in the manner of SWIM (Das, Gupta, Motivala, DSN 2002).

No I/O and no clock: `run` calls a method for each event with `now` in ticks (tenths of a millisecond) and
executes the returned actions, which are tuples:

- `("send", index, kind, nonce, target, rows)`: send a datagram to a member.
- `("wake", delay)`: call `wake` after that many ticks.
- `("changed", index, state)`: the state of a member has changed.
- `("log", text)`: write a warning to the log.

Each period one member is pinged, in a shuffled order that reaches all of them. A member that doesn't
acknowledge is pinged through others, then suspected; a suspect that doesn't refute this in time is declared
dead. Changes are piggybacked on pings and acks, each often enough to reach every member. Slices of the whole
table are sent regularly as well, for updates that were lost all the same.

A front that was paused for a minute finds every ack overdue when it resumes. It must not declare the others
dead for acks that it could not receive: it discards its pending pings, pings again and announces that it is
alive.
"""

from zlib import crc32

from .datagram import (
    ACK,
    ALIVE,
    DEAD,
    LEAVE,
    LEFT,
    MAX_ROWS,
    NO_TARGET,
    PING,
    PING_REQUEST,
    SUSPECT,
    SYNC,
    Row,
    is_newer,
    next_incarnation,
)

TICKS_PER_SECOND = 10_000
# Ticks. One ping and one ack a second per front when all is well; a death is found within a few periods.
PERIOD = TICKS_PER_SECOND
ACK_TIMEOUT = 3 * TICKS_PER_SECOND // 10  # fronts answer within a few milliseconds, busy ones within 100 ms
SUSPECT_AFTER = 3 * ACK_TIMEOUT  # direct and indirect pings go on for so long before a member is suspected
HELPER_COUNT = 3  # members asked for an indirect ping; at 30% loss one 4-hop path fails in 76%, all in 44%
# Ticks, times log2(members): time for a suspect to learn of it and refute it; 10 s with 210 fronts.
SUSPICION_TIMEOUT = 5 * PERIOD // 4
UPDATE_REPEATS = 4  # times log2(members): how often each change is piggybacked
PAUSE_THRESHOLD = 4 * PERIOD  # ticks without a wake after which this process must have been paused
DEAD_PING_PERIODS = 10  # every so many periods a dead member is pinged as well, to heal partitions
SYNC_PERIODS = 8  # periods between two slices of the whole table


class Member:
    """What this front knows of one other front. Times are ticks."""

    __slots__ = ("index", "state", "incarnation", "load", "since", "heard_at", "dead_at")

    def __init__(self, index: int, now: int, state: int) -> None:
        self.index = index
        self.state = state
        self.incarnation = 0
        self.load = 0  # plays, as it last announced
        self.since = now  # of its state
        self.heard_at = now
        self.dead_at = 0  # when a suspect is declared dead


class MembershipProtocol:
    """One front's view of the membership.

    `peers` are the indices of all other fronts that may exist; `seed` makes the random choices repeatable.
    """

    def __init__(self, now: int, own_index: int, peers: list[int], seed: int) -> None:
        self.own_index = own_index
        self.seed = seed
        self.draw_count = 0
        # Peers start as dead: a peer that never answered may not exist, and counting it would give this front
        # too small a share of the fleet.
        self.members = {index: Member(index, now, DEAD) for index in peers}
        self.incarnation = 1
        self.load = 0
        self.probe_order: list[int] = []
        self.period_count = 0
        self.last_wake = now
        self.pending_pings: dict[int, tuple[int, int, int]] = {}  # nonce -> target, deadline, requester
        self.missing_acks: dict[int, tuple[int, int]] = {}  # target -> missing since, suspected at
        self.updates: dict[int, int] = {}  # index of a changed row -> how often it was piggybacked
        self.next_period = now + self.random_below(PERIOD)

    # ---- events

    def start(self, now: int):
        """Ping up to 32 members at once to find out who is alive."""
        actions = [self.ping(now, index) for index in self.shuffled(list(self.members))[:32]]
        return [*actions, ("wake", max(1, self.next_period - now))]

    def wake(self, now: int):
        """Handle everything that is due: missing acks, suspicions, the next period."""
        actions = []
        if now - self.last_wake > PAUSE_THRESHOLD:
            # The process was paused: acks may have been lost that nobody could receive.
            self.pending_pings.clear()
            self.missing_acks.clear()
            for member in self.members.values():
                if member.state == SUSPECT:
                    member.dead_at = now + self.suspicion_timeout()
            self.incarnation = next_incarnation(self.incarnation)
            self.queue_update(self.own_index)
            actions.append(
                ("log", "this front was paused; pinging members before declaring any of them dead")
            )
            actions += [self.ping(now, index) for index in self.shuffled(self.live_members())[:HELPER_COUNT]]
        self.last_wake = now
        for nonce, (target, deadline, requester) in list(self.pending_pings.items()):
            if now >= deadline:
                del self.pending_pings[nonce]
                if requester == self.own_index:
                    actions += self.ping_timed_out(now, target)
        for target, (_, suspect_at) in list(self.missing_acks.items()):
            if now >= suspect_at:
                del self.missing_acks[target]
                if target in self.members and self.members[target].state == ALIVE:
                    actions += self.set_state(now, target, SUSPECT, self.members[target].incarnation)
        for member in list(self.members.values()):
            if member.state == SUSPECT and now >= member.dead_at:
                actions += self.set_state(now, member.index, DEAD, member.incarnation)
        if now >= self.next_period:
            actions += self.run_period(now)
        return [*actions, ("wake", self.next_wake_delay(now))]

    def handle_datagram(
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
        """Process a datagram of a member's current instance."""
        member = self.members.get(sender)
        if member is None:
            return []
        member.heard_at = now
        member.load = load
        self.missing_acks.pop(sender, None)
        actions = list(
            self.merge(now, Row(sender, LEFT if kind == LEAVE else ALIVE, incarnation), direct=True)
        )
        for row in rows:
            actions += self.merge(now, row)
        if kind == PING:
            actions.append(("send", sender, ACK, nonce, target, self.piggybacked_rows()))
        elif kind == PING_REQUEST and target in self.members:
            actions.append(self.ping(now, target, sender))
        elif kind == ACK:
            ping = self.pending_pings.pop(nonce, None)
            if ping is not None and ping[0] == sender and ping[2] != self.own_index:
                # An indirect ping: the requester gets an ack that names the target.
                actions.append(("send", ping[2], ACK, 0, sender, (self.row(sender),)))
            if target != NO_TARGET and target in self.members:
                self.missing_acks.pop(target, None)  # a helper has reached it
        elif kind == SYNC:
            known = {row.index for row in rows}
            newer_rows = [
                self.row(row.index)
                for row in rows
                if row.index in self.members
                and is_newer(self.members[row.index].incarnation, row.incarnation)
            ]
            if newer_rows and known:
                actions.append(("send", sender, ACK, 0, NO_TARGET, tuple(newer_rows[:MAX_ROWS])))
        return actions

    def leave(self, now: int):
        """Announce to a few members, who spread it, that this front shuts down."""
        self.incarnation = next_incarnation(self.incarnation)
        row = (Row(self.own_index, LEFT, self.incarnation),)
        return [("send", index, LEAVE, 0, NO_TARGET, row) for index in self.shuffled(self.live_members())[:8]]

    # ---- the protocol

    def run_period(self, now: int):
        """Ping the next member, and in some periods a dead one or send a slice of the table."""
        actions = []
        self.period_count = self.period_count + 1
        # Jittered, so that fronts that started together don't send together.
        self.next_period = now + PERIOD - PERIOD // 10 + self.random_below(PERIOD // 5)
        target = self.next_probe_target()
        if target is not None:
            actions.append(self.ping(now, target))
        if self.period_count % DEAD_PING_PERIODS == 0:
            gone = [m.index for m in self.members.values() if m.state in (DEAD, LEFT)]
            if gone:
                actions.append(self.ping(now, gone[self.random_below(len(gone))]))
        if self.period_count % SYNC_PERIODS == 0 and (live := self.live_members()):
            to = live[self.random_below(len(live))]
            actions.append(("send", to, SYNC, 0, NO_TARGET, self.table_slice()))
        return actions

    def next_probe_target(self) -> int | None:
        """The next live member in the shuffled order, or None if there is none."""
        while True:
            if not self.probe_order:
                self.probe_order = self.shuffled(self.live_members())
                if not self.probe_order:
                    return None
            index = self.probe_order.pop()
            if self.members[index].state in (ALIVE, SUSPECT):
                return index

    def ping(self, now: int, index: int, requester: int | None = None):
        """The action that pings a member, on behalf of `requester` if one is given."""
        self.draw_count += 1
        nonce = crc32(f"{self.seed}:{self.own_index}:ping:{self.draw_count}".encode()) or 1
        self.pending_pings[nonce] = (
            index,
            now + ACK_TIMEOUT,
            self.own_index if requester is None else requester,
        )
        return ("send", index, PING, nonce, NO_TARGET, self.piggybacked_rows())

    def ping_timed_out(self, now: int, target: int):
        """Ping again, directly and through helpers, until the target is due to be suspected."""
        member = self.members[target]
        if member.state not in (ALIVE, SUSPECT) or member.heard_at > now - ACK_TIMEOUT:
            return []
        if target in self.missing_acks:
            return [self.ping(now, target)] if now + ACK_TIMEOUT <= self.missing_acks[target][1] else []
        self.missing_acks[target] = now, now + SUSPECT_AFTER
        helpers = [index for index in self.live_members() if index != target]
        return [
            self.ping(now, target),
            *(
                ("send", index, PING_REQUEST, 0, target, self.piggybacked_rows())
                for index in self.shuffled(helpers)[:HELPER_COUNT]
            ),
        ]

    def merge(self, now: int, row: Row, direct: bool = False):
        """Apply a row: the newer incarnation wins, then the graver state.

        `direct`: the row describes the sender of the datagram itself.
        """
        if row.index == self.own_index:
            same = row.incarnation == self.incarnation
            # Two numbers half the modulus apart are both not newer; this front's own must be newer.
            if row.state != ALIVE if same else not is_newer(self.incarnation, row.incarnation):
                # Others believe this front dead, or know an earlier process of it, and divide the fleet
                # without it. A higher incarnation refutes that.
                self.incarnation = next_incarnation(row.incarnation)
                self.queue_update(self.own_index)
            return []
        member = self.members.get(row.index)
        if member is None:
            return []
        newer = is_newer(row.incarnation, member.incarnation)
        same = row.incarnation == member.incarnation
        if newer or same and row.state > member.state:
            if row.state == DEAD and not newer and member.state == ALIVE and member.heard_at > now - PERIOD:
                return []  # heard from within this period: it will refute the row itself
            return self.set_state(now, row.index, row.state, row.incarnation)
        if direct and not newer and (not same or member.state in (DEAD, LEFT)):
            # It is alive but doesn't know the row about itself, after a partition or a restart: send it.
            return [("send", row.index, SYNC, 0, NO_TARGET, (self.row(row.index),))]
        return []

    def set_state(self, now: int, index: int, state: int, incarnation: int):
        """Store a member's new state and queue it for gossip; an action only if the state differs."""
        member = self.members[index]
        previous = member.state
        member.state = state
        member.incarnation = incarnation
        self.queue_update(index)
        if state == SUSPECT:
            member.dead_at = now + self.suspicion_timeout()
        if previous == state:
            return []
        member.since = now
        self.missing_acks.pop(index, None)
        return [("changed", index, state)]

    # ---- helpers

    def queue_update(self, index: int) -> None:
        """Piggyback this row on the next datagrams."""
        self.updates[index] = 0

    def piggybacked_rows(self) -> tuple[Row, ...]:
        """The changes to send along with a datagram, those sent least often first."""
        repeats = UPDATE_REPEATS * max(1, len(self.live_members()) + 1).bit_length()
        chosen = sorted(self.updates, key=self.updates.get)[:MAX_ROWS]
        for index in chosen:
            self.updates[index] += 1
            if self.updates[index] >= repeats:
                del self.updates[index]
        return tuple(self.row(index) for index in chosen)

    def row(self, index: int) -> Row:
        """The row of a member or of this front."""
        if index == self.own_index:
            return Row(index, ALIVE, self.incarnation)
        member = self.members[index]
        return Row(index, member.state, member.incarnation)

    def table_slice(self) -> tuple[Row, ...]:
        """This front's own row, then the next part of the table of all members ever heard from."""
        known = sorted(m.index for m in self.members.values() if m.incarnation)
        if not known:
            return (self.row(self.own_index),)
        first = self.period_count // SYNC_PERIODS * (MAX_ROWS - 1) % len(known)
        chosen = (known[first:] + known[:first])[: MAX_ROWS - 1]
        return (self.row(self.own_index), *(self.row(index) for index in chosen))

    def suspicion_timeout(self) -> int:
        """Ticks from a suspicion to the declaration of death, for the present number of members."""
        return SUSPICION_TIMEOUT * max(1, (len(self.live_members()) + 1).bit_length())

    def live_members(self) -> list[int]:
        """Indices of the members that are alive or suspected."""
        return [m.index for m in self.members.values() if m.state in (ALIVE, SUSPECT)]

    def member_count(self) -> int:
        """How many fronts share the fleet, this one included."""
        return 1 + len(self.live_members())

    def load_share(self, own_plays: int) -> float:
        """This front's share of all plays, by the loads that the others last announced."""
        return own_plays / max(1, own_plays + sum(self.members[index].load for index in self.live_members()))

    def next_wake_delay(self, now: int) -> int:
        """Ticks until the next deadline, 1 at least."""
        deadlines = [
            self.next_period,
            *(deadline for _, deadline, _ in self.pending_pings.values()),
            *(suspect_at for _, suspect_at in self.missing_acks.values()),
            *(m.dead_at for m in self.members.values() if m.state == SUSPECT),
        ]
        return max(1, min(deadlines) - now)

    def shuffled(self, indices: list[int]) -> list[int]:
        """A new order of the indices, different at each call and front."""
        self.draw_count += 1
        return sorted(
            indices, key=lambda i: crc32(f"{self.seed}:{self.own_index}:{self.draw_count}:{i}".encode())
        )

    def random_below(self, bound: int) -> int:
        """A pseudo-random number from 0 to `bound - 1`."""
        self.draw_count += 1
        return crc32(f"{self.seed}:{self.own_index}:{self.draw_count}".encode()) % bound
