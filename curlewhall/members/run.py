"""Connects the membership protocol to a front's UDP socket, clock, timers and log.

Also authenticates senders: keys, replay protection, and the challenge that a new instance of a peer must
answer.
"""

import os

from .datagram import (
    ACK,
    EXTENSION,
    NO_TARGET,
    PING,
    SERIAL_MODULUS,
    DatagramError,
    Message,
    ReplayWindow,
    Row,
    decode,
    encode,
)
from .decide import MembershipProtocol

TICKS_PER_SECOND = 10_000
CHALLENGE_INTERVAL = TICKS_PER_SECOND  # ticks between two challenges of the same unknown instance
# Ticks. Two instances of one index that both answer within this time: two fronts are configured alike.
DUPLICATE_INDEX_WINDOW = 30 * TICKS_PER_SECOND


class PeerInstance:
    """A process of a peer that has proved to be live by answering a challenge. Times are ticks."""

    def __init__(self, instance_id: int, now: int) -> None:
        self.instance_id = instance_id
        self.window = ReplayWindow()
        self.since = now
        self.heard_at = now


class Membership:
    """A front's membership.

    `send(index, data)` sends a datagram to a peer; `count_plays()` returns the plays that this front holds.
    """

    def __init__(
        self,
        own_index: int,
        peers: list[int],
        keys: list[bytes],
        seed: int,
        clock,
        timers,
        log,
        send,
        count_plays,
    ) -> None:
        self.own_index = own_index
        self.keys = keys  # the first one signs, all are accepted
        self.clock = clock
        self.timers = timers
        self.log = log
        self.send = send
        self.count_plays = count_plays
        self.instance_id = int.from_bytes(os.urandom(4), "big")
        self.sequence = 0
        self.instances: dict[int, PeerInstance] = {}
        self.challenges: dict[int, tuple[int, int, int]] = {}  # peer -> instance id, nonce, time
        self.previous_instances: dict[int, tuple[int, int]] = {}  # peer -> instance id, last heard at
        self.refused = self.replayed = self.clashes = 0
        self.protocol = MembershipProtocol(clock.now(), own_index, peers, seed)
        self.timer = None
        self.closed = False
        self.on_extension = None  # called with sender and rows of each EXTENSION datagram

    def start(self) -> None:
        """Start to probe the other members."""
        self.execute(self.protocol.start(self.clock.now()))

    # ---- datagrams

    def handle_datagram(self, data: bytes) -> bool:
        """Process a datagram; False if it is not a valid membership datagram."""
        try:
            message = decode(data, self.keys)
        except DatagramError:
            self.refused += 1
            return False
        sender, now = message.sender, self.clock.now()
        if sender == self.own_index:
            # Another front has the same index, unless the datagram is this front's own, sent back.
            if message.instance_id != self.instance_id:
                self.report_duplicate_index(sender)
            return True
        if sender not in self.protocol.members:
            return True
        instance = self.instances.get(sender)
        if instance is None or instance.instance_id != message.instance_id:
            self.handle_unknown_instance(now, message, instance)
            return True
        if not instance.window.accept(message.sequence):
            self.replayed += 1
            return True
        instance.heard_at = now
        self.deliver(now, message)
        return True

    def handle_unknown_instance(self, now: int, message: Message, current: PeerInstance | None) -> None:
        """Challenge an unknown instance of a peer; accept it once it has answered the nonce.

        Without the challenge, a replayed datagram of an earlier process would replace the current one.
        """
        sender = message.sender
        challenge = self.challenges.get(sender)
        if (
            message.kind == ACK
            and challenge is not None
            and challenge[0] == message.instance_id
            and challenge[1] == message.nonce
        ):
            del self.challenges[sender]
            previous = self.previous_instances.get(sender)
            if (
                previous is not None
                and previous[0] == message.instance_id
                and now - previous[1] < DUPLICATE_INDEX_WINDOW
            ):
                self.report_duplicate_index(sender)
            if current is not None:
                self.previous_instances[sender] = current.instance_id, current.heard_at
            accepted = self.instances[sender] = PeerInstance(message.instance_id, now)
            accepted.window.accept(message.sequence)
            self.deliver(now, message)
            return
        if message.kind == PING:
            # The ping may be the peer's own challenge of this front.
            self.send_message(sender, ACK, message.nonce, NO_TARGET, ())
        if (
            challenge is None
            or challenge[0] != message.instance_id
            or now - challenge[2] >= CHALLENGE_INTERVAL
        ):
            nonce = int.from_bytes(os.urandom(4), "big") | 1
            self.challenges[sender] = message.instance_id, nonce, now
            self.send_message(sender, PING, nonce, NO_TARGET, ())

    def send_extension(self, index: int, rows: tuple[Row, ...]) -> None:
        """Send rows of another subsystem to a peer: authenticated, delivered once or not at all."""
        if not self.closed:
            self.send_message(index, EXTENSION, 0, NO_TARGET, rows)

    def deliver(self, now: int, message: Message) -> None:
        """Hand an authenticated message to the protocol, or to the owner of extension rows."""
        if message.kind == EXTENSION:
            if self.on_extension is not None:
                self.on_extension(message.sender, message.rows)
            return
        self.execute(
            self.protocol.handle_datagram(
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

    def report_duplicate_index(self, index: int) -> None:
        """Count another front with this index, and log the first and every hundredth time."""
        self.clashes += 1
        if self.clashes == 1 or self.clashes % 100 == 0:
            self.log.error("two fronts have the same index", index=index, times=self.clashes)

    def send_message(self, index: int, kind: int, nonce: int, target: int, rows: tuple) -> None:
        """Sign a message and send it to a peer."""
        self.sequence += 1
        if self.sequence == SERIAL_MODULUS:  # sequence numbers are used up: continue as a new instance
            self.instance_id = (self.instance_id + 1) % SERIAL_MODULUS
            self.sequence = 0
        protocol = self.protocol
        self.send(
            index,
            encode(
                Message(
                    kind,
                    self.own_index,
                    self.instance_id,
                    self.sequence,
                    nonce,
                    protocol.incarnation,
                    min(self.count_plays(), 65535),
                    target,
                    rows,
                ),
                self.keys[0],
            ),
        )

    # ---- actions of the protocol

    def execute(self, actions) -> None:
        """Call the `execute_...` method of each action."""
        for name, *arguments in actions:
            getattr(self, f"execute_{name}")(*arguments)

    def execute_send(self, index: int, kind: int, nonce: int, target: int, rows: tuple) -> None:
        self.send_message(index, kind, nonce, target, rows)

    def execute_wake(self, delay: int) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.timers.after(delay / TICKS_PER_SECOND, self.wake)

    def wake(self) -> None:
        """The timer of the last "wake" action has expired."""
        self.timer = None
        if not self.closed:
            self.execute(self.protocol.wake(self.clock.now()))

    def execute_changed(self, index: int, state: int) -> None:
        self.log.info(
            "the state of a member changed",
            index=index,
            state=("alive", "suspect", "dead", "left")[state],
            members=self.protocol.member_count(),
        )

    def execute_log(self, text: str) -> None:
        self.log.warning("membership", text=text)

    def leave(self) -> None:
        """Tell the other members that this front shuts down for good."""
        if not self.closed:
            self.execute(self.protocol.leave(self.clock.now()))

    def close(self) -> None:
        """Cancel the timer and send no more extension rows."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()

    def state(self) -> dict:
        """The membership for `/v1/state`."""
        names = ("alive", "suspect", "dead", "left")
        return {
            "members": self.protocol.member_count(),
            "part": round(self.protocol.load_share(self.count_plays()), 3),
            "refused": self.refused,
            "replayed": self.replayed,
            "clashes": self.clashes,
            "peers": {index: names[m.state] for index, m in sorted(self.protocol.members.items())},
        }
