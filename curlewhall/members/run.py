"""Joins membership to a front's datagrams: lives, replays, keys and timers."""

import os

from .decide import Members
from .form import ACK, NOBODY, PING, SERIALS, WORD, DatagramError, Message, Row, Window, decode, encode

SECOND = 10_000
CHALLENGES = SECOND  # between two challenges of one unknown life
CLASH = 30 * SECOND  # two lives of one index that both answer within that: two fronts have one index


class Life:
    """A process of a peer, proved by its answer to a nonce of ours. Its datagrams count once each."""

    def __init__(self, life: int, now: int) -> None:
        self.life, self.window, self.since, self.heard = life, Window(), now, now


class Membership:
    """`send(index, data)` puts a datagram on its way; `held()` counts this front's plays."""

    def __init__(
        self, me: int, peers: list[int], keys: list[bytes], seed: int, clock, timers, log, send, held
    ) -> None:
        self.me, self.keys, self.clock, self.timers, self.log = me, keys, clock, timers, log
        self.put, self.held = send, held
        self.life, self.sequence = int.from_bytes(os.urandom(4), "big"), 0
        self.lives: dict[int, Life] = {}
        self.challenged: dict[int, tuple[int, int, int]] = {}  # peer -> life, nonce, when
        self.before: dict[int, tuple[int, int]] = {}  # peer -> the life before, last heard of
        self.refused = self.replayed = self.clashes = 0
        self.members = Members(clock.now(), me, peers, seed)
        self.timer, self.closed = None, False
        self.words = None  # called with the sender and the rows of what another subsystem says

    def start(self) -> None:
        self.carry(self.members.begin(self.clock.now()))

    # ---- datagrams

    def heard(self, data: bytes) -> bool:
        """Whether the datagram was one of membership's."""
        try:
            message = decode(data, self.keys)
        except DatagramError:
            self.refused += 1
            return False
        sender, now = message.sender, self.clock.now()
        if sender == self.me:
            # Danger: two fronts with one index; or our own datagram, sent back by somebody.
            if message.life != self.life:
                self.clash(sender)
            return True
        if sender not in self.members.members:
            return True
        life = self.lives.get(sender)
        if life is None or life.life != message.life:
            self.stranger(now, message, life)
            return True
        if not life.window.take(message.sequence):
            self.replayed += 1
            return True
        life.heard = now
        self.take(now, message)
        return True

    def stranger(self, now: int, message: Message, life: Life | None) -> None:
        """Danger: a replayed datagram of an earlier process. A life counts once it has answered our nonce."""
        sender = message.sender
        asked = self.challenged.get(sender)
        if (
            message.kind == ACK
            and asked is not None
            and asked[0] == message.life
            and asked[1] == message.nonce
        ):
            del self.challenged[sender]
            old = self.before.get(sender)
            if old is not None and old[0] == message.life and now - old[1] < CLASH:
                self.clash(sender)
            if life is not None:
                self.before[sender] = life.life, life.heard
            fresh = self.lives[sender] = Life(message.life, now)
            fresh.window.take(message.sequence)
            self.take(now, message)
            return
        if message.kind == PING:
            self.say(sender, ACK, message.nonce, NOBODY, ())  # it may be asking the same of us
        if asked is None or asked[0] != message.life or now - asked[2] >= CHALLENGES:
            nonce = int.from_bytes(os.urandom(4), "big") | 1
            self.challenged[sender] = message.life, nonce, now
            self.say(sender, PING, nonce, NOBODY, ())

    def word(self, index: int, rows: tuple[Row, ...]) -> None:
        """Say something of another subsystem to a peer: signed, of this life, each once at the most."""
        if not self.closed:
            self.say(index, WORD, 0, NOBODY, rows)

    def take(self, now: int, message: Message) -> None:
        if message.kind == WORD:
            if self.words is not None:
                self.words(message.sender, message.rows)
            return
        self.carry(
            self.members.heard(
                now,
                message.sender,
                message.kind,
                message.nonce,
                message.incarnation,
                message.load,
                message.target,
                message.rows,
            )
        )

    def clash(self, index: int) -> None:
        self.clashes += 1
        if self.clashes == 1 or self.clashes % 100 == 0:
            self.log.error("two fronts have one index", index=index, times=self.clashes)

    def say(self, index: int, kind: int, nonce: int, target: int, rows: tuple) -> None:
        self.sequence += 1
        if self.sequence == SERIALS:  # this life's numbers are used up: it goes on as another
            self.life, self.sequence = (self.life + 1) % SERIALS, 0
        members = self.members
        self.put(
            index,
            encode(
                Message(
                    kind,
                    self.me,
                    self.life,
                    self.sequence,
                    nonce,
                    members.incarnation,
                    min(self.held(), 65535),
                    target,
                    rows,
                ),
                self.keys[0],
            ),
        )

    # ---- what is answered

    def carry(self, answers) -> None:
        for verb, *facts in answers:
            getattr(self, f"carry_{verb}")(*facts)

    def carry_send(self, index: int, kind: int, nonce: int, target: int, rows: tuple) -> None:
        self.say(index, kind, nonce, target, rows)

    def carry_wake(self, span: int) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.timers.after(span / SECOND, self.wake)

    def wake(self) -> None:
        self.timer = None
        if not self.closed:
            self.carry(self.members.wake(self.clock.now()))

    def carry_changed(self, index: int, state: int) -> None:
        self.log.info(
            "member",
            index=index,
            state=("alive", "suspect", "dead", "left")[state],
            members=self.members.count(),
        )

    def carry_say(self, text: str) -> None:
        self.log.warning("membership", text=text)

    def leave(self) -> None:
        """Tell the others that this front ends for good."""
        if not self.closed:
            self.carry(self.members.leave(self.clock.now()))

    def close(self) -> None:
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()

    def state(self) -> dict:
        names = ("alive", "suspect", "dead", "left")
        return {
            "members": self.members.count(),
            "part": round(self.members.part(self.held()), 3),
            "refused": self.refused,
            "replayed": self.replayed,
            "clashes": self.clashes,
            "peers": {index: names[m.state] for index, m in sorted(self.members.members.items())},
        }
