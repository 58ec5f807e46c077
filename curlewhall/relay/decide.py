"""When a front asks again: for a channel that broke off or moved, at nodes that have gone silent. No I/O.

Hundreds of fronts lose the same thing in the same moment. Each draws its waits from its own seed, so that
they do not come back in step; each wait ends before it can cost a rule. Times are seconds; no clock is read.
"""

from curlewhall.start.decide import Draw, Waits, span

MOST = 0.4  # the longest wait for the channel; a break counts as told after 2 s, and five asks fit in
SILENT = 1.6  # seconds without a word until a watch is taken for stopped: a comment comes each second
FIRST = 0.7  # the same for the first word of one that has just been asked for, its connection included
STEADY = 1.0  # a stream that told something for so long was sound: its end is no try that failed
APART, LONGEST = 0.005, 1.0  # a front's part of the span over which a fleet moves to a new channel; at most
WAY_IN, IN_ALL = 0.01, 2.0  # the same for connections to nodes at which sessions were found; at most
KNOWN = 8.0  # what ended unheard has to be told to its viewer by then
SPARE = 0.5  # of it, for a busy core and the way to the viewer
COMING = 0.75  # seconds after SIGTERM in which set-ups may come, 0.6 by the page, and are decided as ever
LONGEST_LIMIT, TO_KILL = 3.0, 0.7  # the page's
BEFORE_KILL = 0.3  # the last answers have a way to go, and a busy core hears of SIGTERM late
DOUBTED = 3.0  # how long a node may be silent where a machine may have vanished


class Returns:
    """The waits of one front before it asks the channel again.

    Danger: what the channel holds counts as told to a front that is away, and a drain's grace runs. The
    first wait takes half of the grace at most: the other half is the connection's and the event's. Further
    ones grow to three times the one before (decorrelated jitter), up to `MOST`: then the channel is down, and
    hundreds that come back in step are what it least needs.
    """

    def __init__(self, seed: int, grace: float, fronts: int) -> None:
        self.draw, self.span = Draw(seed, "channel"), span(APART, fronts, LONGEST)
        least = max(0.001, min(MOST, 0.1 * grace))
        self.unheard = 0  # asks in a row that came to nothing
        self.waits = Waits(self.draw, least, max(least, min(MOST, 0.5 * grace)), MOST)

    def broken(self, told_for: float) -> float:
        """The wait after a stream that told something for so long, 0 for an ask that came to nothing."""
        self.unheard = 0 if told_for else self.unheard + 1
        if told_for >= STEADY:
            self.waits.anew()
        return self.waits.next()

    def heard(self) -> None:
        """An event came: the next break is a new one."""
        self.waits.anew()

    def patience(self, spoken: bool) -> float:
        """How long a watch may say nothing.

        Danger: what it would tell counts as told 4 s after it fell silent, so a second one that is silent too
        must be seen to be so before the time is over: 1.6 + 0.7 and two waits. Yet a channel on which a whole
        fleet has just come back may be slow to speak: who asks once more leaves it the longer time.
        """
        return FIRST if not spoken and self.unheard < 1 else SILENT

    def moved(self) -> float:
        """The wait after a new configuration, which all fronts get at once: 4 s are allowed."""
        return self.draw.between(0.0, self.span)


class Silences:
    """How long a node with sessions may say nothing until a new connection shows whether it lives.

    Danger: a machine that vanished says nothing, and what stood there has to be told within `KNOWN`; yet
    200 fronts with a dozen such nodes each open most of all connections for this alone. So the wait is as
    long as `sure` attempts, each seen by the next look, leave room for; `DOUBTED` in a zone where something
    pointed to a vanished machine of late, since a zone is lost as a whole.
    """

    def __init__(self, look: float, sure: int, connect: float) -> None:
        self.usual = max(0.1, KNOWN - SPARE - sure * (look + connect))
        self.doubted = min(DOUBTED, self.usual)
        self.seen: dict[str, float] = {}

    def doubt(self, zone: str, now: float) -> None:
        """A connection did not come up there, or a set-up had no answer."""
        self.seen[zone] = now

    def allowed(self, zone: str, now: float) -> float:
        return self.doubted if now - self.seen.get(zone, -KNOWN) < KNOWN else self.usual


class WaysIn:
    """The waits until a young front has a connection to each node at which sessions were found."""

    def __init__(self, seed: int, fronts: int) -> None:
        self.draw, self.span = Draw(seed, "way in"), span(WAY_IN, fronts, IN_ALL)

    def wait(self) -> float:
        """Danger: a fleet that starts at once meets each node with all its fronts in one moment. What ends
        meanwhile is told on the connection that opens, well within `KNOWN`."""
        return self.draw.between(0.0, self.span)


class Leaving:
    """What a front that is asked to leave does when, in seconds from SIGTERM.

    Set-ups come for 0.6 s: for 0.4 on new connections, for 0.2 more on open ones. Until `refuses` they are
    decided as ever. After it they are refused, which does no harm, and connections are closed as nothing is
    owed on them. The kill comes `TO_KILL` after the longest time limit, which counts as `LONGEST_LIMIT` at
    most: a play whose time limit is longer may still be out. So at `ends` whatever was taken has its answer.
    """

    def __init__(self, longest: float) -> None:
        kill = min(longest, LONGEST_LIMIT) + TO_KILL
        self.refuses = COMING
        self.ends = max(COMING + 0.1, kill - BEFORE_KILL)
