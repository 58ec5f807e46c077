"""Delays and timeouts of a relay: when to reconnect to the channel and to nodes, and when to give up on
silence.

Hundreds of fronts lose the same channel or node in the same moment. Each draws its delays from its own seed,
so that they do not reconnect in step, and each delay ends in time for the rules on drains and releases. Times
are seconds. No I/O; no clock is read.
"""

from collections.abc import Mapping, Sequence
from enum import Enum, auto
from typing import Any

from curlewhall.start.decide import Backoff, SeededRandom, fleet_span

MAX_CHANNEL_DELAY_S = 0.4  # changes count as known to a front 2 s after a break: time for five attempts
STREAM_SILENCE_S = 1.6  # a silent event stream is taken for dead; the channel sends a comment each second
FIRST_EVENT_S = 0.7  # the same until the first bytes of a new stream, the connection included
MAX_ANSWER_S = 10.0  # that a request waits for the beginning of its answer, while others are made beside it
STABLE_STREAM_S = 1.0  # a stream that carried data for so long was sound: its end starts the backoff anew
SWITCH_S_PER_FRONT = 0.005  # the span over which a fleet moves to a new channel grows by this per front
MAX_SWITCH_S = 1.0
NODE_CONNECT_S_PER_FRONT = 0.01  # the same for connections to nodes at which sessions were found
MAX_NODE_CONNECT_S = 2.0
SESSION_END_DEADLINE_S = 8.0  # a viewer must be told within this time that its session has ended
DELIVERY_MARGIN_S = 0.5  # part of the deadline, for a busy core and the way to the viewer
ACCEPT_AFTER_TERM_S = 0.75  # set-ups may come for 0.6 s after SIGTERM by the page, and are decided as usual
MAX_COUNTED_TIME_LIMIT_S = 3.0  # by the page: the kill waits for the longest time limit, at most this
KILL_AFTER_TIME_LIMIT_S = 0.7  # by the page
KILL_MARGIN_S = 0.3  # for the way of the last answers, and for a busy core that handles SIGTERM late
MAX_OPEN_SET_UPS = 2000  # unanswered at one time, some kB each: far more than usual viewers have
SUSPECT_SILENCE_S = 3.0  # silence allowed to a node in a zone where a machine may have vanished
MIN_ZONE_NODES = 2  # nodes with sessions whose common silence may be that of their zone


class ChannelBackoff:
    """Delays of one front before it reconnects to the channel.

    The channel's changes count as known to a front that is away, and a drain's grace runs. So the first
    delay takes at most half of the grace and leaves the other half to the connection and the event. Further
    ones grow to at most three times the one before (decorrelated jitter), up to `MAX_CHANNEL_DELAY_S`: then
    the channel is down, and hundreds of fronts that reconnect in step would keep it down.
    """

    def __init__(self, seed: int, grace: float, fronts: int) -> None:
        """`grace`: the drain grace in seconds; `fronts`: the size of the fleet."""
        self.draw = SeededRandom(seed, "channel")
        self.span = fleet_span(SWITCH_S_PER_FRONT, fronts, MAX_SWITCH_S)
        least = max(0.001, min(MAX_CHANNEL_DELAY_S, 0.1 * grace))
        self.silent_attempts = 0  # attempts in a row in which the channel sent nothing
        self.waits = Backoff(
            self.draw, least, max(least, min(MAX_CHANNEL_DELAY_S, 0.5 * grace)), MAX_CHANNEL_DELAY_S
        )

    def stream_ended(self, streamed_s: float) -> float:
        """The delay after a stream that carried data for `streamed_s` seconds, 0 for a failed attempt."""
        self.silent_attempts = 0 if streamed_s else self.silent_attempts + 1
        if streamed_s >= STABLE_STREAM_S:
            self.waits.reset()
        return self.waits.next_delay()

    def event_received(self) -> None:
        """Start the backoff anew: the next break is a new one."""
        self.waits.reset()

    def silence_timeout(self, receiving: bool) -> float:
        """Seconds of silence after which the stream is dropped; `receiving`: it has carried data already.

        Changes count as known to the front 4 s after its stream fell silent, so a second silent stream in a
        row must be noticed within that time: 1.6 + 0.7 s and two delays. From then on the longer timeout
        holds, since a channel to which a whole fleet has just reconnected may be slow to answer.
        """
        return FIRST_EVENT_S if not receiving and self.silent_attempts < 1 else STREAM_SILENCE_S

    def switch_delay(self) -> float:
        """The delay after a new configuration, which all fronts get at once: 4 s are allowed."""
        return self.draw.uniform(0.0, self.span)


class SilenceTimeouts:
    """How long a node with sessions may be silent until a new connection tests whether it is alive.

    A machine that vanished sends nothing, and its viewers must be told within `SESSION_END_DEADLINE_S`. But
    200 fronts with a dozen silent nodes each would open most of all connections for this alone. So the usual
    timeout is the longest that leaves time for `attempts` connects, each noticed by the next check. It is
    `SUSPECT_SILENCE_S` in a zone where something pointed to a vanished machine of late, since zones are lost
    as a whole.
    """

    def __init__(self, check_interval: float, attempts: int, connect_timeout: float) -> None:
        self.usual = max(
            0.1, SESSION_END_DEADLINE_S - DELIVERY_MARGIN_S - attempts * (check_interval + connect_timeout)
        )
        self.suspect = min(SUSPECT_SILENCE_S, self.usual)
        self.suspected_at: dict[str, float] = {}

    def suspect_zone(self, zone: str, now: float) -> None:
        """Note that a connection to a node there did not come up, or that a set-up had no answer."""
        self.suspected_at[zone] = now

    def zone_test_due(self, silences: Sequence[float]) -> bool:
        """Whether a zone is to be tested at one of its nodes; `silences`: for how many seconds each of its
        nodes with sessions has been silent.

        A zone may be lost for less than the usual timeout, and nothing tells its new processes from the old
        ones. Several nodes that are all silent share their tests: each is tested no more often than alone.
        """
        return len(silences) >= MIN_ZONE_NODES and min(silences) > self.suspect

    def allowed(self, zone: str, now: float) -> float:
        """The silence allowed to a node of this zone, in seconds."""
        return (
            self.suspect
            if now - self.suspected_at.get(zone, -SESSION_END_DEADLINE_S) < SESSION_END_DEADLINE_S
            else self.usual
        )


def fair_share(connections: int) -> int:
    """How many unanswered set-ups each of `connections` connections may have once there are too many."""
    return MAX_OPEN_SET_UPS // max(1, connections)


class Unreported(Enum):
    """What becomes of a session of before this process that its node has not reported."""

    WAIT = auto()  # for the report
    PRESUME = auto()  # that it runs: nothing shows that it doesn't, and its viewer says that it does
    ASK = auto()  # the node for a sign of life: it may stand still, and report once it goes on
    DROP = auto()  # the node has said other things, and doesn't know it


class AdoptionLimits:
    """How many sessions of before this process a node may hold, and how long one may go unconfirmed.

    Viewers name the sessions that ran before this process, and any client can name one that doesn't exist.
    Nodes report each session that runs, once they have a connection. Until then a session is unconfirmed: it
    counts as no play at its node, and its viewer is told if its node is lost. A node holds at most as many as
    it has streams. One that a connected node doesn't report is taken for ended, while there is time to tell
    its viewer so.
    """

    def __init__(self, start_settings: Mapping[str, Any], silence_timeouts: SilenceTimeouts) -> None:
        self.streams_by_kind = dict(
            zip(start_settings["kinds"], start_settings["specifics.kind_streams"], strict=False)
        )
        self.fewest_streams = min(self.streams_by_kind.values(), default=1)
        self.confirmation_timeout_s = silence_timeouts.usual

    def decide_unreported(
        self, awaited_since: float | None, report_lost: bool, last_bytes_at: float, now: float
    ) -> Unreported:
        """What to do about a session that its node could report since `awaited_since` (None: it can't yet).

        `report_lost`: a connection of the node has ended since then, and reports are not repeated.
        `last_bytes_at`: when the node last sent anything.
        """
        if awaited_since is None or now - awaited_since <= self.confirmation_timeout_s:
            return Unreported.WAIT
        if report_lost:
            return Unreported.PRESUME
        return Unreported.ASK if last_bytes_at < awaited_since else Unreported.DROP

    def accepts(self, kind: str, held: int) -> bool:
        """Whether a node of this kind that holds so many sessions may hold one more."""
        return held < self.streams_by_kind.get(kind, self.fewest_streams)


class NodeConnectDelays:
    """Delays of a front that has just started before it connects to each node with sessions of before."""

    def __init__(self, seed: int, fronts: int) -> None:
        self.draw = SeededRandom(seed, "way in")
        self.span = fleet_span(NODE_CONNECT_S_PER_FRONT, fronts, MAX_NODE_CONNECT_S)

    def next(self) -> float:
        """A delay in seconds. Without it all fronts of a fleet that starts at once would connect to a node in
        one moment. Nodes report sessions that end meanwhile on the new connection, well within
        `SESSION_END_DEADLINE_S`.
        """
        return self.draw.uniform(0.0, self.span)


class ShutdownSchedule:
    """When a front that got SIGTERM does what, in seconds from the signal.

    Set-ups come for 0.6 s: for 0.4 on new connections, for 0.2 more on open ones. Until `refuse_after` they
    are decided as usual. Then they are refused, which does no harm, and connections are closed as nothing is
    owed on them. The kill comes `KILL_AFTER_TIME_LIMIT_S` after the longest time limit, which counts as
    `MAX_COUNTED_TIME_LIMIT_S` at most: a play with a longer time limit may still be out. So at `end_after`
    every accepted set-up has its answer.
    """

    def __init__(self, longest: float) -> None:
        """`longest`: the longest time limit of the products, in seconds."""
        kill = min(longest, MAX_COUNTED_TIME_LIMIT_S) + KILL_AFTER_TIME_LIMIT_S
        self.refuse_after = ACCEPT_AFTER_TERM_S
        self.end_after = max(ACCEPT_AFTER_TERM_S + 0.1, kill - KILL_MARGIN_S)
