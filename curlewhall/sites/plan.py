"""Computes what the loss of each site would cost, and how much load to shed after a loss. No I/O.

Sessions are admitted while there is room, and the least important products are limited to a part of each
server, so that streams remain for the others ("Access Policies for Distributed Video-on-Demand Systems"). The
loss of a site reduces the capacity and leaves the demand as it was. So the part of the least important
product shrinks by what is missing, then that of the next one. The placeable fraction of a product is what
there is still capacity for; the module is told up to which fraction of a node's capacity it may place each
product.

Bandwidths are kB a second, times are ticks (tenths of a millisecond).
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

TICKS_PER_SECOND = 10_000
USABLE_FRACTION = 0.9  # of a link or uplink: how far the rung rule fills it
REPORT_LIFETIME = 15 * TICKS_PER_SECOND  # after which a load report is ignored
DEMAND_SMOOTHING = 0.1  # weight of each second's sample in the product mix: 10 s, longer than a burst
ADJUST_INTERVAL = TICKS_PER_SECOND  # between corrections: about what a report takes to show the last one
# Steps a second, as fractions of the demand; small, because plays last for several seconds.
RAISE_STEP = 0.03
LOWER_STEP = 0.03
MAX_CORRECTION = 0.2  # the most that is refused beyond the computed fraction
# Use of the remaining capacity: more is refused above the first, less below the second.
HIGH_USE = 0.95
LOW_USE = 0.8
MIN_NODE_LIMIT = 0.45  # of a node's capacity: stays open to a product that is refused entirely
UNREFUSED_NODE_LIMIT = 0.95  # for products not refused yet; the rest is for protected products
MAX_REFUSED = 0.9  # of the demand: never more is refused for a lost site


class NodeCapacity(NamedTuple):
    """A node as capacity: its site, its rack, the place whose titles it holds, its link and its use.

    `used` is None where it is not known.
    """

    site: str
    rack: int
    place: int
    link: float
    used: float | None


class LossCost(NamedTuple):
    """What the loss of a site would do."""

    placeable: dict[str, float]  # product -> the fraction that could still be placed
    demand: float
    capacity: float  # of the other sites
    single_holder_titles: int  # titles that one node would be left to hold
    unheld_titles: int  # titles that no node would hold

    @property
    def bearable(self) -> bool:
        """Whether the other sites have capacity for the whole demand."""
        return self.demand <= self.capacity


def placeable_fractions(
    demand: Mapping[str, float], importance: Mapping[str, float], protected: Iterable[str], refused: float
) -> dict[str, float]:
    """The fraction of each product that is placed if `refused` of the total demand is not.

    The least important product is refused first, down to nothing, then the next one. Products in `protected`
    are never refused.
    """
    fractions = dict.fromkeys(demand, 1.0)
    for product in sorted(demand.keys() - set(protected), key=lambda name: (importance.get(name, 0.0), name)):
        cut = min(max(0.0, refused), demand[product])
        refused -= cut
        fractions[product] = 1 - cut / demand[product] if demand[product] > 0 else 1.0
    return fractions


class LossPlan:
    """The cost of each site's loss, computed from the node list and the present load.

    `terms`: product -> (importance, whether a set-up is paid for). `uplink`: capacity of a rack's uplink, 0
    for unlimited. `place_count`: number of places; a title lies on consecutive places, the first following
    the last.
    """

    def __init__(self, terms: Mapping[str, tuple[float, bool]], uplink: float, place_count: int) -> None:
        self.terms = dict(terms)
        self.uplink = uplink
        self.place_count = max(1, place_count)
        self.importance = {name: importance for name, (importance, _) in self.terms.items()}
        top = max(self.importance.values(), default=0.0)
        # A paid play is not given up for an unpaid one, and the most important product is what capacity is
        # kept for.
        self.protected = {
            name for name, (importance, paid) in self.terms.items() if paid or importance >= top
        }
        self.entry_demand: dict[str, float] = {}  # product -> bandwidth of its plays at entry rung, smoothed
        self.entry_ratio = 1.0  # bandwidth of the held plays at entry rung over what they use now
        self.title_classes: Counter = Counter()  # (first place, number of places) -> titles
        self.costs: dict[str, LossCost] = {}

    def set_titles(self, title_classes: Iterable[tuple[int, int]]) -> None:
        """Set where titles lie: (first place, number of places) of each; 100,000 titles are a few classes."""
        self.title_classes = Counter(title_classes)

    def record_plays(self, entry_demand: Mapping[str, float], used: float) -> None:
        """Record what this front's plays need at the entry rung, by product, and what they use now."""
        for product in self.terms:
            previous = self.entry_demand.get(product, entry_demand.get(product, 0.0))
            self.entry_demand[product] = previous + DEMAND_SMOOTHING * (
                entry_demand.get(product, 0.0) - previous
            )
        if used > 0:
            self.entry_ratio += DEMAND_SMOOTHING * (
                min(1.0, sum(entry_demand.values()) / used) - self.entry_ratio
            )

    def demand_shares(self) -> dict[str, float]:
        """Each product's share of the demand; equal shares until a play was recorded."""
        total = sum(self.entry_demand.values())
        return {
            name: self.entry_demand.get(name, 0.0) / total if total else 1 / len(self.terms)
            for name in self.terms
        }

    def capacity(self, nodes: Iterable[NodeCapacity]) -> float:
        """The usable capacity of these nodes: their links, limited by each rack's uplink."""
        racks: dict[int, float] = {}
        for node in nodes:
            racks[node.rack] = racks.get(node.rack, 0.0) + node.link
        return USABLE_FRACTION * sum(
            min(links, self.uplink) if self.uplink else links for links in racks.values()
        )

    def used(self, nodes: list[NodeCapacity]) -> float:
        """The bandwidth used on all nodes; a node without a report counts as the average of the others."""
        reported = [(n.used, n.link) for n in nodes if n.used is not None]
        links = sum(link for _, link in reported)
        mean = sum(used for used, _ in reported) / links if links else 0.0
        return sum(mean * n.link if n.used is None else n.used for n in nodes)

    def compute_costs(self, nodes: list[NodeCapacity]) -> dict[str, LossCost]:
        """Compute the cost of every site's loss, with one pass over nodes and title classes for each."""
        demand = self.used(nodes) * self.entry_ratio
        demand_by_product = {name: share * demand for name, share in self.demand_shares().items()}
        self.costs = {}
        for site in sorted({n.site for n in nodes}):
            remaining = [n for n in nodes if n.site != site]
            capacity = self.capacity(remaining)
            holders = Counter(n.place for n in remaining)
            holders_left = [
                (
                    sum(holders[(first + i) % self.place_count] for i in range(min(row, self.place_count))),
                    titles,
                )
                for (first, row), titles in self.title_classes.items()
            ]
            self.costs[site] = LossCost(
                placeable_fractions(demand_by_product, self.importance, self.protected, demand - capacity),
                demand,
                capacity,
                sum(titles for count, titles in holders_left if count == 1),
                sum(titles for count, titles in holders_left if count == 0),
            )
        return self.costs


class LoadShedder:
    """How much of the demand is refused while a site is lost.

    The base value is what the demand before the loss exceeds the present capacity by; it falls by itself as
    nodes return. It may be wrong by a third (viewers come back, rungs change, one front observes little), so
    a correction follows the load: up while the remaining nodes are full and more important plays are
    declined, down while they have capacity. A refusal shows in the load only after other plays have ended, so
    an unbounded correction would grow until everything is refused. Therefore it is bounded and changes
    slowly. The most important product is the first to be accepted in full again, the least important the
    last.
    """

    def __init__(self, plan: LossPlan) -> None:
        self.plan = plan
        self.demand_before = 0.0
        self.base = 0.0
        self.correction = 0.0
        self.inversions = 0  # declined plays, since the last adjustment, more important than accepted ones
        self.adjusted_at = 0
        self.active = False
        self.hidden_fraction = 1.0

    def start(self, now: int, demand_before: float) -> None:
        """The fleet has lost a site; `demand_before`: the demand on the fleet before the loss."""
        if not self.active:
            self.active = True
            self.demand_before = demand_before
            self.correction = 0.0
            self.inversions = 0
            self.adjusted_at = now

    @property
    def refused(self) -> float:
        """The fraction of the demand to refuse; shrinks as capacity returns, whatever the correction was."""
        return (
            min(MAX_REFUSED, max(0.0, self.base + self.correction * self.hidden_fraction))
            if self.active
            else 0.0
        )

    def play_declined(self, product: str) -> None:
        """The module declined a play of this product for lack of room."""
        fractions, importance = self.placeable(), self.plan.importance
        if fractions[product] >= 1 and any(
            importance[name] < importance[product] and name not in self.plan.protected and fraction > 0
            for name, fraction in fractions.items()
        ):
            self.inversions += 1  # a less important product is still accepted

    def set_capacity(self, capacity: float, hidden_fraction: float) -> None:
        """Set the capacity of the usable nodes, and which fraction of the lost sites is still unused."""
        self.hidden_fraction = hidden_fraction
        self.base = max(0.0, 1 - capacity / self.demand_before) if self.demand_before > 0 else 0.0

    def adjust(self, now: int, use: float | None) -> None:
        """Correct the refused fraction once per interval.

        `use`: used over available capacity of the remaining nodes; None without reports.
        """
        if not self.active or now - self.adjusted_at < ADJUST_INTERVAL:
            return
        if use is not None and use > HIGH_USE and self.inversions:
            self.correction = min(MAX_CORRECTION, self.correction + RAISE_STEP)
        elif use is not None and use < LOW_USE:
            self.correction = max(-1.0, self.correction - LOWER_STEP)
        self.inversions = 0
        self.adjusted_at = now

    def stop(self) -> None:
        """No site is lost to the fleet any more."""
        self.active = False

    def placeable(self) -> dict[str, float]:
        """The fraction of each product that there is capacity for."""
        return placeable_fractions(
            self.plan.demand_shares(), self.plan.importance, self.plan.protected, self.refused
        )

    def node_limits(self) -> dict[str, float]:
        """Up to which fraction of a node's capacity each product is placed; unlimited ones are left out."""
        if not self.refused:
            return {}
        return {
            name: round(MIN_NODE_LIMIT + (USABLE_FRACTION - MIN_NODE_LIMIT) * fraction, 2)
            if fraction < 1
            else UNREFUSED_NODE_LIMIT
            for name, fraction in self.placeable().items()
            if name not in self.plan.protected
        }
