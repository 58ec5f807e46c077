"""When a front asks the list service, peers and nodes, and which nodes it trusts before they answer.

No I/O and no clock: the caller passes times and waits for the returned delays, all in seconds.

Each front alone is harmless; hundreds that ask at one moment, fail and return in step overload a service. So
every delay is drawn from the front's own seed, over a span that grows with the number of fronts.
"""

from math import exp
from random import Random
from typing import NamedTuple
from zlib import crc32

# The span over which a starting fleet first asks the list service: seconds per front, and the maximum.
NO_LIST_SPAN_PER_FRONT_S = 0.005
MAX_NO_LIST_SPAN_S = 1.0
# The same for fronts with a kept list: they use it meanwhile and only need a confirmation.
KEPT_LIST_SPAN_PER_FRONT_S = 0.02
MAX_KEPT_LIST_SPAN_S = 4.0
# The same for fronts without a list but with peers: the first front that gets the list hands it on.
MAX_PEER_ASSISTED_SPAN_S = 20.0
# The first delay after a stream that ended: its minimum and maximum.
MIN_RETRY_DELAY_S = 0.1
MAX_FIRST_RETRY_DELAY_S = 0.5
# The longest retry delay: seconds per front, the least and the most that this comes to.
RETRY_SPAN_PER_FRONT_S = 0.02
MIN_RETRY_SPAN_S = 2.0
MAX_RETRY_SPAN_S = 10.0
NODE_STREAM_RATE = 50.0  # streams a second that a whole fleet opens to one node, see `StreamSchedule`
# Beyond 400 fronts the rate grows instead of the span: nodes drop the plays of a front that is away for 12 s.
MAX_STREAM_SPAN_S = 8.0
MAX_RECONNECT_DELAY_S = 10.0  # for the same reason
DAY_S = 86_400.0
OBSERVATION_LIMIT_S = 90 * DAY_S  # node-seconds after which observations are halved: change rates drift
MIN_TRUST = 0.8  # the trust from which on nodes of a kept list get plays before they have answered
MIN_USEFUL_TRUST = 0.05  # below, a kept list names hardly any node that still exists
READY_TIMEOUT_S = 5.0  # after which a front that has heard nothing at all serves as it is
PEER_LIST_INTERVAL_S = 5.0  # mean time between requests to peers while the list service is unreachable
PEER_LISTS_PER_SECOND = 2  # full lists that a front hands out
PEER_LIST_RETRY_AFTER_S = 1.0  # told to further fronts that ask in the same second
MAX_RETRY_AFTER_S = 30.0  # longer Retry-After values are cut: without updates the list becomes unreliable


def fleet_span(per_front: float, fronts: int, maximum: float) -> float:
    """Over how many seconds a fleet spreads something: `per_front` for each front, `maximum` in all."""
    return min(maximum, per_front * max(1, fronts))


class SeededRandom:
    """Random numbers from a front's seed, for one purpose.

    A checksum of seed and counter, as the module uses, is linear: from one draw to the next all fronts
    advance by one of a few differences, so that fronts spread out by the first draw would meet again at the
    second.
    """

    def __init__(self, seed: int, purpose: str) -> None:
        self.random = Random(f"{seed} {purpose}")

    def uniform(self, low: float, high: float) -> float:
        """A number between `low` and `high`."""
        return self.random.uniform(low, high)


class Backoff:
    """Retry delays that grow while attempts fail (decorrelated jitter).

    The first delay is drawn between `minimum` and `max_first`, each further one between `minimum` and three
    times the one before, `maximum` at most. The bound limits the interval drawn from, not the drawn delay:
    delays cut off at the bound would be equal, and the fronts in step.
    """

    def __init__(self, random: SeededRandom, minimum: float, max_first: float, maximum: float) -> None:
        self.random = random
        self.minimum = minimum
        self.max_first = max_first
        self.maximum = maximum
        self.last_delay = 0.0

    def next_delay(self) -> float:
        """Seconds to wait before the next attempt."""
        if self.last_delay:
            self.last_delay = self.random.uniform(self.minimum, min(self.maximum, 3 * self.last_delay))
        else:
            self.last_delay = self.random.uniform(self.minimum, self.max_first)
        return self.last_delay

    def reset(self) -> None:
        """An attempt succeeded: the next delay is a first one."""
        self.last_delay = 0.0


class ListSubscription:
    """One front's subscription to the list service: the version it has, and when it asks again.

    Versions are comparable within one epoch of the service, which the service names (`life` on the wire). A
    list of another epoch, or of a service that names none, can't be confirmed, so the full list is requested.
    """

    def __init__(self, seed: int, fronts: int, has_peers: bool = False) -> None:
        """`has_peers`: there are peers that may have the list."""
        self.random = SeededRandom(seed, "list")
        self.kept_list_span = fleet_span(KEPT_LIST_SPAN_PER_FRONT_S, fronts, MAX_KEPT_LIST_SPAN_S)
        self.no_list_span = (
            fleet_span(KEPT_LIST_SPAN_PER_FRONT_S, fronts, MAX_PEER_ASSISTED_SPAN_S)
            if has_peers
            else fleet_span(NO_LIST_SPAN_PER_FRONT_S, fronts, MAX_NO_LIST_SPAN_S)
        )
        self.backoff = Backoff(
            self.random,
            MIN_RETRY_DELAY_S,
            MAX_FIRST_RETRY_DELAY_S,
            max(MIN_RETRY_SPAN_S, fleet_span(RETRY_SPAN_PER_FRONT_S, fronts, MAX_RETRY_SPAN_S)),
        )
        self.epoch = ""
        self.version = 0  # the version that this front has; 0: the full list is needed
        self.latest_version = 0  # the highest one known of this epoch
        self.service_is_behind = False  # the service's list is older than `latest_version`

    def first_delay(self, epoch: str, version: int) -> float:
        """The delay before the first request, given the kept list's epoch and version ("" and 0: no list).

        A waiting front uses an old list and may miss a drain, so the delay is bounded for any fleet. A front
        without a list can place nothing and waits far less.
        """
        self.epoch, self.version = (epoch, version) if epoch else ("", 0)
        self.latest_version = self.version
        return self.random.uniform(0.0, self.kept_list_span if self.version else self.no_list_span)

    def accept_full_list(self, epoch: str, version: int) -> bool:
        """Whether a full list that the service sent is to be used.

        Versions only grow within an epoch. A service restored from an older copy would put drained nodes back
        into service, so neither its list nor changes to it are accepted until it has caught up.
        """
        self.backoff.reset()
        self.service_is_behind = bool(epoch) and epoch == self.epoch and version < self.latest_version
        if not self.service_is_behind:
            self.epoch = epoch
            self.version = version
            self.latest_version = version
        return not self.service_is_behind

    def adopt_peer_list(self, epoch: str, version: int) -> None:
        """A peer's list is used now; the next request asks the service to confirm it."""
        self.epoch = epoch
        self.version = version if epoch else 0
        self.latest_version = version
        self.service_is_behind = False

    def accept_change(self, epoch: str, base_version: int, version: int) -> bool:
        """Whether a change applies to the list that this front has; if so, its version is stored.

        On a gap the caller uses `reveals_newer` and `discard_version`.
        """
        self.backoff.reset()
        if self.service_is_behind or epoch not in ("", self.epoch) or not 0 < base_version == self.version:
            return False
        self.version = self.latest_version = version
        return True

    def reveals_newer(self, epoch: str, version: int) -> bool:
        """Whether a change that was not accepted shows that the service has something newer."""
        return epoch not in ("", self.epoch) or version > self.latest_version

    def keepalive_received(self) -> None:
        """The service is alive and has nothing new."""
        self.backoff.reset()

    def discard_version(self) -> None:
        """A change was missed: request the full list next."""
        self.version = 0

    def retry_delay(self, retry_after: float | None = None) -> float:
        """The delay before the next request; `retry_after`: what the service asked for with a 503.

        All fronts that were rejected at one moment would return at one moment, so up to the same time again
        is added at random, `MAX_FIRST_RETRY_DELAY_S` at least.
        """
        if retry_after is None or not retry_after >= 0:
            return self.backoff.next_delay()
        requested = min(MAX_RETRY_AFTER_S, retry_after)
        return requested + self.random.uniform(0.0, max(MAX_FIRST_RETRY_DELAY_S, requested))


class StreamSchedule:
    """When one front opens its streams to nodes, each of which meets all fronts that start at one moment.

    The times are not random: each node has its own cyclic order of the fronts, one every 1 /
    `NODE_STREAM_RATE` seconds, so that no second of any node sees more, and a front's own times are spread
    over the whole span.
    """

    def __init__(self, seed: int, index: int, fronts: int) -> None:
        self.position = index % max(1, fronts) / max(1, fronts)
        self.span = fleet_span(1 / NODE_STREAM_RATE, fronts, MAX_STREAM_SPAN_S)
        self.random = SeededRandom(seed, "streams")

    def start_delay(self, node: str) -> float:
        """The delay after a moment that all fronts share: their own start, or the listed start of a node."""
        return self.span * ((self.position + crc32(node.encode()) / 2**32) % 1.0)

    def reconnect_backoff(self) -> Backoff:
        """The delays after a stream ended; all fronts lose the streams of a dead node at one moment."""
        minimum = max(MIN_RETRY_DELAY_S, self.span / 4)
        max_first = min(MAX_RECONNECT_DELAY_S, 1.25 * self.span)
        return Backoff(
            self.random,
            minimum,
            max(MAX_FIRST_RETRY_DELAY_S, max_first),
            max(MIN_RETRY_SPAN_S, min(MAX_RECONNECT_DELAY_S, 2 * self.span)),
        )


class Timestamp(NamedTuple):
    """When a list was last confirmed."""

    unix_ms: int  # 0: unknown
    boot_id: str  # of the machine; "" where it has none
    steady_s: float  # since the boot


def seconds_between(then: Timestamp, now: Timestamp) -> float | None:
    """Seconds between two timestamps; None if they can't be compared.

    Wall clocks differ by minutes and may be set back. Within one boot the machine's own count is used; across
    boots a time in the future is unusable, and must not pass for "just now".
    """
    if then.boot_id and then.boot_id == now.boot_id:
        seconds = now.steady_s - then.steady_s
    else:
        seconds = (now.unix_ms - then.unix_ms) / 1000 if then.unix_ms else -1.0
    return seconds if seconds >= 0 else None


class ListChangeRate:
    """How often a line of the list becomes wrong, from the changes seen and the node-seconds observed.

    It starts from one change per node and day, since fleets replace machines daily, not hourly.
    """

    def __init__(self, changes: float = 0.0, node_seconds: float = 0.0) -> None:
        valid = 0 <= changes < 1e9 and 0 <= node_seconds < 1e12
        self.changes, self.node_seconds = (changes, node_seconds) if valid else (0.0, 0.0)

    def record(self, changes: int, node_seconds: float) -> None:
        """Add an observation."""
        self.changes = self.changes + changes
        self.node_seconds = self.node_seconds + max(0.0, node_seconds)
        if self.node_seconds > OBSERVATION_LIMIT_S:
            self.changes = self.changes / 2
            self.node_seconds = self.node_seconds / 2

    def per_node_second(self) -> float:
        """Changes per node and second."""
        return (self.changes + 1) / (self.node_seconds + DAY_S)

    def trust(self, age_s: float | None) -> float:
        """The probability that a line confirmed so long ago is still right; 0 for an unknown age."""
        return 0.0 if age_s is None else exp(-self.per_node_second() * age_s)


class NodeTrust:
    """Which nodes of an unconfirmed list may get plays before the list service has answered.

    All of them while the list is trusted, otherwise each that has answered under its own name; never one at
    whose address another node answers. Without this, each front of a fleet that starts with an old list would
    find every dead machine by a failed allocation.
    """

    def __init__(self) -> None:
        self.unanswered: set[str] = set()  # not trusted until they answer
        self.misaddressed: set[str] = set()  # another node answered at their address
        self.trust = 1.0
        self.list_unconfirmed = False  # the service has not answered since this list is used

    @property
    def untrusted(self) -> set[str]:
        """The nodes that get no plays."""
        return self.unanswered | self.misaddressed

    @property
    def list_outdated(self) -> bool:
        """Whether hardly a line of the kept list can still be right."""
        return self.trust < MIN_USEFUL_TRUST

    def use_unconfirmed_list(self, nodes: set[str], trust: float) -> None:
        """Start from a list that the service has not confirmed since: this front's own, or a peer's."""
        self.trust = trust
        self.list_unconfirmed = True
        self.unanswered = set() if trust >= MIN_TRUST else set(nodes)
        self.misaddressed &= nodes

    def node_answered(self, node: str, reported_name: str) -> bool | None:
        """A node's stream began, and the process there reports its name.

        True: the node may get plays from now on; False: it may no longer; None: nothing changes.
        """
        was_untrusted = node in self.untrusted
        if not self.list_unconfirmed:
            return None
        self.unanswered.discard(node)
        (self.misaddressed.discard if node == reported_name else self.misaddressed.add)(node)
        is_untrusted = node != reported_name
        return None if was_untrusted == is_untrusted else not is_untrusted

    def list_confirmed(self) -> set[str]:
        """The service has confirmed the list; returns the nodes that may get plays from now on."""
        freed, self.unanswered, self.misaddressed = self.untrusted, set(), set()
        self.trust = 1.0
        self.list_unconfirmed = False
        return freed


class ListVersion(NamedTuple):
    """Which list a front has, and how long ago the service confirmed it."""

    epoch: str
    version: int
    age_s: float | None  # None: unknown


def peer_list_is_better(own: ListVersion, peer: ListVersion) -> bool:
    """Whether to use a peer's list in place of this front's own.

    In one epoch the higher version wins, and of equal versions the one confirmed later by at least a second:
    a list passed among fronts must not circulate for nothing. Of two epochs the one confirmed later wins. In
    one epoch an older version would put drained nodes back into service, however lately it was confirmed to
    somebody.
    """
    if peer.age_s is None or not peer.version:
        return False
    confirmed_later = own.age_s is None or peer.age_s < own.age_s - 1
    if not own.version:
        return True
    if own.epoch and own.epoch == peer.epoch:
        return peer.version > own.version or peer.version == own.version and confirmed_later
    return confirmed_later


class PeerListRequests:
    """When a front asks a peer for the list, and which peer.

    Only until the list service has answered, or while it is unreachable. Peers are asked in a random order,
    each once before any is repeated; a peer's Retry-After is respected. Peers may have no list either: no
    front asks on behalf of another, so a circle of such fronts only costs each a request now and then, and
    ends with the first list.
    """

    def __init__(self, seed: int, peers: list[int], fronts: int) -> None:
        self.random = SeededRandom(seed, "peers")
        self.peers = sorted(peers)
        self.order = []
        self.first_span = fleet_span(NO_LIST_SPAN_PER_FRONT_S, fronts, MAX_NO_LIST_SPAN_S)
        self.backoff = Backoff(self.random, MIN_RETRY_DELAY_S, MAX_FIRST_RETRY_DELAY_S, MIN_RETRY_SPAN_S)
        self.not_before = dict.fromkeys(peers, 0.0)  # peer -> when it may be asked again

    def first_delay(self, without_list: bool) -> float | None:
        """The delay before the first request; None: ask only after the list service has failed."""
        return self.random.uniform(0.0, self.first_span) if without_list and self.peers else None

    def next_peer(self, now: float) -> int | None:
        """The peer to ask now; None: all have asked to wait."""
        for _ in range(2):
            for i, peer in enumerate(self.order):
                if self.not_before[peer] <= now:
                    return self.order.pop(i)
            if len(self.order) == len(self.peers):
                break
            self.order = self.random.random.sample(self.peers, len(self.peers))
        return None

    def next_delay(
        self, now: float, peer: int | None, answered: bool, retry_after: float | None = None
    ) -> float:
        """The delay before the next request. `answered`: the peer sent its list, newer or not."""
        if peer is not None and retry_after is not None and retry_after >= 0:
            self.not_before[peer] = now + min(MAX_RETRY_AFTER_S, retry_after)
        if not answered:
            return self.backoff.next_delay()
        self.backoff.reset()
        return self.random.uniform(0.5 * PEER_LIST_INTERVAL_S, 1.5 * PEER_LIST_INTERVAL_S)


class PeerListLimiter:
    """Whether a front hands its list to a peer that asks for it."""

    def __init__(self) -> None:
        self.second = 0
        self.count = 0  # of requests in that second

    def allow(self, now: float) -> bool:
        """Whether another full list may be handed out in this second.

        A fleet without lists asks the few fronts that have one, and those serve viewers too.
        """
        if int(now) != self.second:
            self.second, self.count = int(now), 0
        self.count += 1
        return self.count <= PEER_LISTS_PER_SECOND

    @staticmethod
    def is_trusted(listed: ListVersion, trust: float) -> bool:
        """Whether a list may be passed between fronts.

        A list ages on its way from front to front, and the ages add up; one that is not trusted any more is
        not handed on.
        """
        return listed.version > 0 and listed.age_s is not None and trust >= MIN_TRUST


def is_ready(trusted_nodes: int, outcome_known: bool, waited_s: float) -> bool:
    """Whether a front can place plays, or decline them for a good reason.

    It has nodes that may get plays, or the list service (where there is one) has answered or failed, or the
    front has waited long enough for that. If a front reports ready too early, viewers are sent to it and
    declined for nothing; if it never did while its list service is away, viewers would miss its declines with
    a Retry-After.
    """
    return trusted_nodes > 0 or outcome_known or waited_s >= READY_TIMEOUT_S
