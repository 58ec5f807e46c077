"""When a front asks the list service and its nodes, and what it believes until they have answered. No I/O and
no clock: calls in, seconds and words out.

Each front is harmless; hundreds that ask in one moment, fail, and come back in step are the worst client
that a service has. So every wait is drawn from the front's own seed, over spans that grow with the number of
fronts.
"""

from math import exp
from random import Random
from typing import NamedTuple
from zlib import crc32

BARE, BARE_IN_ALL = 0.005, 1.0  # a front's part of the span in which a fleet without lists asks; at most
KEPT, KEPT_IN_ALL = 0.02, 4.0  # the same with kept lists: they go by those, and only have them confirmed
HELPED_IN_ALL = 20.0  # the same, without lists but with peers to ask: the first that has one hands it on
LEAST, FIRST = 0.1, 0.5  # the first wait after a stream that ended
PART, MOST, LONGEST = 0.02, 2.0, 10.0  # the longest wait: a front's part; at least; at most
NODE_RATE = 50.0  # streams a second that a whole fleet asks of a node, see `Turns`
STREAMS_IN_ALL = 8.0  # beyond 400 fronts the rate grows instead: nodes drop plays of a front away for 12 s
AWAY = 10.0  # the longest wait before a stream that broke is asked for again, for the same reason
DAY = 86_400.0
WATCHED = 90 * DAY  # node-seconds after which what was seen counts half: fleets change their ways
BELIEVED = 0.8  # the trust from which on a kept list's nodes get plays before they have answered
FORGOTTEN = 0.05  # below, a kept list names hardly a node that is still there
UNREADY = 5.0  # seconds after which a front that has heard nothing at all serves as it is
FRESH = 5.0  # seconds about which a front that the service is out of reach for asks a peer again
LENT, LENT_LATER = 2, 1.0  # whole lists that a front hands out in a second; after which others come back
ASKED = 30.0  # a Retry-After beyond it is taken for this: the front would be blind for longer than lists hold


def span(part: float, fronts: int, most: float) -> float:
    """Over how long a fleet does something: a part for each front, `most` for any number of them."""
    return min(most, part * max(1, fronts))


class Draw:
    """Numbers from a front's seed, for one use.

    Danger: a checksum over seed and counter, as the module has it, is linear. From one draw to the next all
    fronts step by one of a few differences, so a fleet drawn apart once would meet again at its second wait.
    """

    def __init__(self, seed: int, what: str) -> None:
        self.random = Random(f"{seed} {what}")

    def between(self, low: float, high: float) -> float:
        return self.random.uniform(low, high)


class Waits:
    """Waits that grow while nothing comes of it (decorrelated jitter).

    The first is drawn between `least` and `first`, each further one up to three times the one before, and
    `most`. Drawn below the bound, not cut at it: what is cut would fall into step there.
    """

    def __init__(self, draw: Draw, least: float, first: float, most: float) -> None:
        self.draw, self.least, self.first, self.most, self.last = draw, least, first, most, 0.0

    def next(self) -> float:
        if self.last:
            self.last = self.draw.between(self.least, min(self.most, 3 * self.last))
        else:
            self.last = self.draw.between(self.least, self.first)
        return self.last

    def anew(self) -> None:
        """Something came of it: the next wait is a first one."""
        self.last = 0.0


class Asks:
    """One front towards the list service.

    A version counts within one life of the service, which the service names; what was kept of another life,
    or of a service that names none, is worth no confirmation, and the whole list is asked for.
    """

    def __init__(self, seed: int, fronts: int, helped: bool = False) -> None:
        """`helped`: there are peers that may have the list."""
        self.draw, self.kept = Draw(seed, "list"), span(KEPT, fronts, KEPT_IN_ALL)
        self.bare = span(KEPT, fronts, HELPED_IN_ALL) if helped else span(BARE, fronts, BARE_IN_ALL)
        self.waits = Waits(self.draw, LEAST, FIRST, max(MOST, span(PART, fronts, LONGEST)))
        self.life, self.version = "", 0
        self.latest, self.behind = 0, False  # latest of this life; whether the service is before it

    def begin(self, life: str, version: int) -> float:
        """The wait before the first ask, with what a kept list says of itself ("" and 0: there is none).

        Danger: a front that waits goes by an old list, and may be a drain behind. So this has a bound for any
        fleet, and a front without any list, which can place nothing, waits far less.
        """
        self.life, self.version = (life, version) if life else ("", 0)
        self.latest = self.version
        return self.draw.between(0.0, self.kept if self.version else self.bare)

    def whole(self, life: str, version: int) -> bool:
        """A whole list came, of this life of the service; whether it is to be taken.

        Danger: a service that comes back from an older copy would call drained nodes back. In one life
        versions only grow, so an older one is not taken, nor what builds on it, until it has caught up.
        """
        self.waits.anew()
        self.behind = bool(life) and life == self.life and version < self.latest
        if not self.behind:
            self.life, self.version, self.latest = life, version, version
        return not self.behind

    def lent(self, life: str, version: int) -> None:
        """A peer's list is gone by; the service is asked whether it stands."""
        self.life, self.version, self.latest, self.behind = life, version if life else 0, version, False

    def follows(self, life: str, since: int, version: int) -> bool:
        """Whether a change follows on what is had; if so, it is had from now on. `gap` is yours to say."""
        self.waits.anew()
        if self.behind or life not in ("", self.life) or not 0 < since == self.version:
            return False
        self.version = self.latest = version
        return True

    def missed(self, life: str, version: int) -> bool:
        """Whether a change that does not follow tells of something that is not had."""
        return life not in ("", self.life) or version > self.latest

    def tick(self) -> None:
        """The service lives, and has nothing new."""
        self.waits.anew()

    def gap(self) -> None:
        """A change built on one never seen: the whole list is asked for."""
        self.version = 0

    def ended(self, retry_after: float | None = None) -> float:
        """The wait before the next ask. `retry_after`: what the service asked for, if it turned this away.

        Danger: all that were turned away in one moment would come back in one, so up to as much again is
        drawn on top, and `FIRST` at least.
        """
        if retry_after is None or not retry_after >= 0:
            return self.waits.next()
        asked = min(ASKED, retry_after)
        return asked + self.draw.between(0.0, max(FIRST, asked))


class Turns:
    """When one front opens its streams to nodes, each of which meets all fronts that start at one moment.

    Not drawn: each node has an order of its own in which the fleet's fronts have their turns, one every
    1 / `NODE_RATE` s, so that no second of any node sees more, and a front's own turns lie all over its span.
    """

    def __init__(self, seed: int, index: int, fronts: int) -> None:
        self.place = index % max(1, fronts) / max(1, fronts)
        self.span, self.draw = span(1 / NODE_RATE, fronts, STREAMS_IN_ALL), Draw(seed, "streams")

    def wait(self, node: str) -> float:
        """The wait after a moment that all fronts see alike: their own start, or a node's that is told."""
        return self.span * ((self.place + crc32(node.encode()) / 2**32) % 1.0)

    def back(self) -> Waits:
        """The waits after a stream that ended: all fronts lose a node that dies in one moment."""
        least, most = max(LEAST, self.span / 4), min(AWAY, 1.25 * self.span)
        return Waits(self.draw, least, max(FIRST, most), max(MOST, min(AWAY, 2 * self.span)))


class Stamp(NamedTuple):
    """When a list was last confirmed: milliseconds since 1970, the machine's boot, and seconds since that."""

    unix_ms: int
    boot: str
    steady: float


def age(then: Stamp, now: Stamp) -> float | None:
    """Seconds between two stamps; None where it can't be told.

    Danger: wall clocks are minutes apart, and are set back. Within one boot the machine's own count goes;
    across boots a time that lies ahead tells nothing, and is not taken for "just now".
    """
    if then.boot and then.boot == now.boot:
        span = now.steady - then.steady
    else:
        span = (now.unix_ms - then.unix_ms) / 1000 if then.unix_ms else -1.0
    return span if span >= 0 else None


class Churn:
    """How often a line of the list stops being true: changes seen in the node-seconds that were watched.

    Until more is known, one change a node and day: fleets replace machines daily, not hourly.
    """

    def __init__(self, changes: float = 0.0, watched: float = 0.0) -> None:
        sound = 0 <= changes < 1e9 and 0 <= watched < 1e12
        self.changes, self.watched = (changes, watched) if sound else (0.0, 0.0)

    def saw(self, changes: int, node_seconds: float) -> None:
        self.changes, self.watched = self.changes + changes, self.watched + max(0.0, node_seconds)
        if self.watched > WATCHED:
            self.changes, self.watched = self.changes / 2, self.watched / 2

    def rate(self) -> float:
        """Changes a node and second."""
        return (self.changes + 1) / (self.watched + DAY)

    def trust(self, seconds: float | None) -> float:
        """The chance that a line confirmed so long ago is still true; 0 where nobody knows how long ago."""
        return 0.0 if seconds is None else exp(-self.rate() * seconds)


class Belief:
    """Which nodes of a kept list may get plays before the list service has spoken.

    All of them while the list is trusted, and each that has answered under its own name; never one at whose
    address another answers. Danger: of a fleet that starts on an old list each front would find each dead
    machine for itself, at the price of a failed allocation.
    """

    def __init__(self) -> None:
        self.unseen: set[str] = set()  # not believed until they answer
        self.strangers: set[str] = set()  # another answered at their address
        self.trust, self.blind = 1.0, False  # blind: the service has not spoken since this list was had

    @property
    def unsure(self) -> set[str]:
        """The nodes that get no plays."""
        return self.unseen | self.strangers

    @property
    def forgotten(self) -> bool:
        """Whether hardly a line of the kept list can still be true."""
        return self.trust < FORGOTTEN

    def kept(self, nodes: set[str], trust: float) -> None:
        """A list that nobody has confirmed since is all there is: this front's own, or a peer's."""
        self.trust, self.blind = trust, True
        self.unseen = set() if trust >= BELIEVED else set(nodes)
        self.strangers &= nodes

    def answered(self, node: str, named: str) -> bool | None:
        """A node's stream began, and whoever answers calls itself `named`. True: from now on it may get
        plays; False: not any more; None: nothing changes.
        """
        was = node in self.unsure
        if not self.blind:
            return None
        self.unseen.discard(node)
        (self.strangers.discard if node == named else self.strangers.add)(node)
        now = node != named
        return None if was == now else not now

    def spoken(self) -> set[str]:
        """The service has confirmed what was had: the nodes that may get plays now and could not before."""
        freed, self.unseen, self.strangers = self.unsure, set(), set()
        self.trust, self.blind = 1.0, False
        return freed


class Had(NamedTuple):
    """What a front says of its list; `seconds`: since the service confirmed it, None: unknown."""

    life: str
    version: int
    seconds: float | None


def better(mine: Had, theirs: Had) -> bool:
    """Whether a peer's list is to be taken in place of one's own.

    In one life the later version, and of equal ones that confirmed later, by a second at least: what passes
    from front to front must not go round for nothing. Of two lives the one that was confirmed later. Danger:
    in one life an older list, however lately somebody had it confirmed, would call drained nodes back.
    """
    if theirs.seconds is None or not theirs.version:
        return False
    younger = mine.seconds is None or theirs.seconds < mine.seconds - 1
    if not mine.version:
        return True
    if mine.life and mine.life == theirs.life:
        return theirs.version > mine.version or theirs.version == mine.version and younger
    return younger


class Borrows:
    """When a front asks a peer for the list, and which.

    Only while the service has not spoken, or is out of reach. Peers come in an order that is drawn, each once
    before any comes again; one that asked for time gets it. All may be as young as the asker: nobody asks on
    another's behalf, so a circle of such fronts costs each an ask now and then and ends with the first list.
    """

    def __init__(self, seed: int, peers: list[int], fronts: int) -> None:
        self.draw, self.peers, self.order = Draw(seed, "peers"), sorted(peers), []
        self.first = span(BARE, fronts, BARE_IN_ALL)
        self.waits, self.not_before = Waits(self.draw, LEAST, FIRST, MOST), dict.fromkeys(peers, 0.0)

    def begin(self, bare: bool) -> float | None:
        """The wait before the first ask; None: not before the service has failed."""
        return self.draw.between(0.0, self.first) if bare and self.peers else None

    def next(self, now: float) -> int | None:
        """The peer to ask now; None: all have asked for time."""
        for _ in range(2):
            for i, peer in enumerate(self.order):
                if self.not_before[peer] <= now:
                    return self.order.pop(i)
            if len(self.order) == len(self.peers):
                break
            self.order = self.draw.random.sample(self.peers, len(self.peers))
        return None

    def ended(self, now: float, peer: int | None, took: bool, retry_after: float | None = None) -> float:
        """The wait before the next ask. `took`: the peer's word was had, new or not."""
        if peer is not None and retry_after is not None and retry_after >= 0:
            self.not_before[peer] = now + min(ASKED, retry_after)
        if not took:
            return self.waits.next()
        self.waits.anew()
        return self.draw.between(0.5 * FRESH, 1.5 * FRESH)


class Lends:
    """To how many peers a front hands its list, and whether it has one to hand out."""

    def __init__(self) -> None:
        self.second, self.count = 0, 0

    def may(self, now: float) -> bool:
        """Danger: a fleet without lists would turn to the few that have one, and they serve viewers too."""
        if int(now) != self.second:
            self.second, self.count = int(now), 0
        self.count += 1
        return self.count <= LENT

    @staticmethod
    def sound(had: Had, trust: float) -> bool:
        """Danger: a list that goes from front to front grows old on the way; its age adds up, and what is not
        believed any more is not handed on.
        """
        return had.version > 0 and had.seconds is not None and trust >= BELIEVED


def ready(sure: int, outcome: bool, waited: float) -> bool:
    """Whether a front can place plays, or decline them with reason: it has nodes that may get them, or the
    list service (where there is one) has spoken or failed it, or it has waited long enough for that.

    Danger: who is told of a front too early sends viewers there who are turned away for nothing; who is never
    told of one whose service is away misses a front that declines with a time to come back.
    """
    return sure > 0 or outcome or waited >= UNREADY
