"""A node as a relay keeps it: its connections, the set-ups on their way to it, and the sessions there."""

import time
from typing import TYPE_CHECKING, NamedTuple

from curlewhall.codecs import rtsp
from curlewhall.front.driver import OUTCOMES_WITHOUT_EFFECT, ActivePlay
from curlewhall.interface import NodeRow

if TYPE_CHECKING:
    from .nodes import Nodes
    from .set_up_form import PlayInfo

MAX_FAILED_SETUPS = 256  # on a connection until it gets no more: far more than fail in its usual life
NEVER = float("-inf")
# states of a `SetUp`
WAITING = "waiting"
SENT = "sent"
ENDING = "ending"
SETTLED = "settled"


class SetUp:
    """A set-up on its way to a node. Its states: `WAITING` for a connection, or for the end of an earlier one
    of the same play there; `SENT`; `ENDING`, if its connection has ended and its node has yet to be told that
    it is over; `SETTLED`, once, with one of the endings of `curlewhall.interface`.
    """

    __slots__ = (
        "nodes",
        "node",
        "active_play",
        "number",
        "connection",
        "state",
        "started_at",
        "sent_at",
        "time_limit_s",
        "timer",
        "node_identity",
        "retries",
        "waited",
        "lost_how",
    )

    def __init__(
        self, nodes: "Nodes", node: "Node", active_play: ActivePlay, number: int, time_limit_s: float
    ) -> None:
        self.nodes = nodes
        self.node = node
        self.active_play = active_play
        self.number = number
        self.time_limit_s = time_limit_s
        self.started_at = time.monotonic()
        self.sent_at = 0.0
        self.connection: Connection | None = None
        self.state = WAITING
        self.retries = 0
        self.node_identity = node.identity
        self.waited = False  # it could not be sent at once
        self.lost_how = ""  # while `ENDING`: how it is settled
        self.timer = nodes.timers.after(time_limit_s, self.stop, "late")

    @property
    def play(self) -> str:
        """The play's id, which is also the session's."""
        return self.active_play.info.play

    def withdraw(self) -> None:
        """End it now; the node is told, and the driver, before this returns."""
        self.stop("withdrawn")

    def stop(self, how: str) -> None:
        """End it: as `how` if it was sent, else as "not_sent"."""
        if self.state == SETTLED:
            return
        if self.state == SENT:
            self.nodes.abandon_set_up(self)
        self.settle(how if self.state != WAITING else "not_sent", {})

    def settle(self, how: str, report: dict) -> None:
        """Tell the driver how it ended. Further calls do nothing."""
        if self.state == SETTLED:
            return
        sent, self.state = self.state == SENT, SETTLED
        self.timer.cancel()
        if how not in OUTCOMES_WITHOUT_EFFECT:
            self.nodes.driver.viewers.recent_sessions.add(self.play)
        if how == "late":
            self.nodes.silence_timeouts.suspect_zone(self.node.row.zone, time.monotonic())
        if self.connection is not None:
            self.connection.set_up_ended(self.play, sent and how != "ok")
        self.nodes.driver.allocation_ended(
            self.active_play, self.number, self.node.id, how, time.monotonic() - self.started_at, report
        )


class Connection:
    """One connection to a node."""

    __slots__ = (
        "transport",
        "node",
        "reader",
        "received",
        "reading_ahead",
        "rest_timer",
        "set_ups",
        "failed_plays",
        "probes",
        "last_received",
        "last_used",
        "retiring",
        "doubted_since",
        "overdue_since",
        "began_at",
        "connect_timer",
        "close_timer",
    )

    def __init__(self, node: "Node") -> None:
        self.node = node
        self.reader = rtsp.Reader()
        self.received: list[rtsp.Message] = []  # read, but not handled yet
        self.reading_ahead = False  # `Nodes.read_ahead` reads
        self.rest_timer = None  # runs while an incomplete message waits for its rest
        self.set_ups: dict[str, SetUp] = {}  # open on it, or waiting for it to come up
        # plays whose set-ups failed here -> whether it was abandoned, so that an answer may still come
        self.failed_plays: dict[str, bool] = {}
        self.probes: dict[str, float] = {}  # session of the probe -> when it was asked for
        self.began_at = self.last_received = self.last_used = time.monotonic()
        self.retiring = False  # it gets no more set-ups, and is closed once it is idle
        # An answer is overdue on it, and nothing has come since: when its set-up was given up, and when it
        # was sent. None: no answer is.
        self.doubted_since: float | None = None
        self.overdue_since: float | None = None
        self.connect_timer = None
        self.close_timer = None  # runs from `Nodes.begin_close` on
        self.transport = None

    @property
    def idle(self) -> bool:
        """Whether no answer is waited for on it."""
        return not self.set_ups and not self.probes

    def awaited_since(self) -> float | None:
        """Since when an answer is awaited on it, or is overdue; None: none is."""
        since = [set_up.started_at for set_up in self.set_ups.values()]
        if self.overdue_since is not None:
            since.append(self.overdue_since)
        return min(since, default=None)

    def bytes_received(self, now: float) -> None:
        """Something came on it: whatever is overdue, it is alive."""
        self.last_received = now
        self.doubted_since = self.overdue_since = None

    def answer_overdue(self, set_up: SetUp, now: float) -> None:
        """A set-up that was sent on it is given up: it may be dead though it is open."""
        if self.doubted_since is None:
            self.doubted_since = now
            self.overdue_since = set_up.started_at
        else:
            self.overdue_since = min(self.overdue_since, set_up.started_at)

    def cancel_timers(self) -> None:
        """Cancel the timeouts of a connection that has ended."""
        for timer in (self.connect_timer, self.rest_timer, self.close_timer):
            if timer is not None:
                timer.cancel()
        self.rest_timer = None

    def accepts(self, play: str) -> bool:
        """Whether a set-up of this play may be sent on it.

        An answer names session and `CSeq` alone. On a connection with a failed set-up of the same play, a
        late copy of its answer would be taken for that of the new one; after a partial message, the new
        answer would be read as the rest of it.
        """
        return not self.retiring and play not in self.failed_plays and not self.reader.buffer

    def set_up_ended(self, play: str, failed: bool) -> None:
        """Remove a set-up; after one that failed here, `accepts` refuses its play."""
        self.set_ups.pop(play, None)
        self.last_used = time.monotonic()
        if failed:
            self.failed_plays.setdefault(play, False)
            self.retiring = self.retiring or len(self.failed_plays) > MAX_FAILED_SETUPS


class QueuedMessage(NamedTuple):
    """A request that waits for a connection; `ends`: the play that it ends, if it is a TEARDOWN."""

    data: bytes
    ends: str = ""


class UnconfirmedSession:
    """A session of before this process that a viewer has named and its node has not reported yet."""

    __slots__ = ("info", "named_at", "awaited_since", "report_lost")

    def __init__(self, info: "PlayInfo", named_at: int, awaited_since: float | None) -> None:
        self.info = info
        self.named_at = named_at  # on the module's clock
        self.awaited_since = awaited_since  # since when its node could report it; None: not connected yet
        self.report_lost = False  # its report may be lost with a connection; nodes don't repeat reports


class Node:
    """One listed node."""

    def __init__(self, row: NodeRow, address: tuple[str, int]) -> None:
        self.id = row.node
        self.row = row
        self.address = address
        self.connections: list[Connection] = []
        self.sessions: dict[str, int] = {}  # session -> when it began, on the module's clock
        self.unconfirmed: dict[str, UnconfirmedSession] = {}  # by session
        self.moved_sessions: dict[str, object] = {}  # session -> the timer that ends it, see `move_timed_out`
        self.queued_messages: list[QueuedMessage] = []  # for the next connection
        self.ending_set_ups: list[SetUp] = []  # settled once their TEARDOWNs are written, or can't be
        # session -> how many TEARDOWNs are not acknowledged, and when the last was sent
        self.pending_teardowns: dict[str, tuple[int, float]] = {}
        self.waiting_set_ups: dict[str, SetUp] = {}  # session -> a set-up that waits for these TEARDOWNs
        # When a connection ended on which a release may have been lost, until a later one is up.
        self.release_lost_at: float | None = None
        self.failed_connects = 0  # in a row
        self.reconnect_timer = None
        self.last_received = self.last_connected = time.monotonic()
        self.last_bytes_at = NEVER  # when it last sent anything; a connection that comes up is no sign of it
        self.asked_at = NEVER  # when it was last asked for a sign of life, see `Nodes.ask_for_sign_of_life`

    @property
    def holds_sessions(self) -> bool:
        """Whether sessions run there, as far as is known."""
        return bool(self.sessions or self.unconfirmed)

    @property
    def identity(self) -> tuple:
        """What must not change while a set-up waits: the list may tell of a drain or a new start."""
        return self.row.state, self.row.started, self.address

    def needs_connection(self) -> bool:
        """Whether a new connection is needed for the ends of its sessions.

        A node repeats a release that was lost with its connection on the next one that opens, on no other.
        """
        if not self.connections:
            return True
        lost_at = self.release_lost_at
        return lost_at is not None and all(c.began_at < lost_at for c in self.connections)

    @property
    def alive_at(self) -> float:
        """When it last gave a sign of life."""
        return max(self.last_received, self.last_connected)

    def silent_s(self, connection: Connection, now: float) -> float:
        """For how long an open connection may have been dead: since the last byte of its node, or for longer
        if an answer is awaited on it and it alone is silent. A newer connection, on which releases are
        repeated, ends this time.
        """
        alive_at = self.alive_at
        awaited_since = connection.awaited_since()
        if awaited_since is not None:
            # A request proves nothing: it never counts as a later sign of life than the node's own.
            alive_at = min(alive_at, max(connection.last_received, awaited_since, self.last_connected))
        return now - alive_at

    def open_connections(self) -> list[Connection]:
        """Those that are up and not retiring, the one that received last first."""
        sound = (c for c in self.connections if c.transport.open and not c.retiring)
        return sorted(sound, key=lambda c: -c.last_received)
