"""What the loss of a site would cost, reckoned while all is well, and what is refused when it has come. No
I/O.

The design admits sessions while there is room and keeps the lowest-worth class to a slice of each server, so
that streams are left for dearer ones ("Access Policies for Distributed Video-on-Demand Systems"). A site that
is lost takes room away and leaves what is asked as it was. So the slice of the lowest class shrinks by what
is missing, then that of the next: a product's *part* is what there is room for of it, and by that the module
is told up to which part of a node's room it is placed.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

SECOND = 10_000
USABLE = 0.9  # of a link or uplink: what the rung rule fills
HEARD = 15 * SECOND  # a report that old says nothing any more
SMOOTH = 0.1  # of each second's look that goes into the mix of products: ten seconds, longer than a burst
TICK = SECOND  # between two corrections: about what a report takes to show the one before
MORE, LESS = 0.03, 0.03  # of all that is asked: refused more, less, in a second; plays last for several
TRIM = 0.2  # the most that is refused beyond what the plan says
TIGHT, EASY = 0.95, 0.8  # of the room that is left in use: more is refused above, less below
LOWEST = 0.45  # of a node's room that the cheapest may use even when all of it would have to be refused
NEXT = 0.95  # the same for products that are not refused yet: the last of it is for those that are kept
LAST = 0.9  # of all that is asked: no more than that is ever refused for a lost site


class Place(NamedTuple):
    """A node as room: its site, its rack, the place whose titles it holds, its link, and what of that is
    used, in kB a second (None: not known).
    """

    site: str
    rack: int
    place: int
    link: float
    used: float | None


class Cost(NamedTuple):
    """What the loss of a site would do: `parts` of each product that could still be placed; what would be
    asked over the room left; titles whose holders would be one, or none.
    """

    parts: dict[str, float]
    asked: float
    room: float
    single: int
    none: int

    @property
    def bearable(self) -> bool:
        return self.asked <= self.room


def parts(
    asked: Mapping[str, float], importance: Mapping[str, float], kept: Iterable[str], refused: float
) -> dict[str, float]:
    """Of each product the part that is placed when `refused` (kB a second) of all is not: the least important
    goes first, down to nothing, then the next. What is `kept` is never refused for this.
    """
    found = dict.fromkeys(asked, 1.0)
    for product in sorted(asked.keys() - set(kept), key=lambda name: (importance.get(name, 0.0), name)):
        away = min(max(0.0, refused), asked[product])
        refused -= away
        found[product] = 1 - away / asked[product] if asked[product] > 0 else 1.0
    return found


class Plan:
    """The cost of each site's loss, from the list and the present load.

    `terms`: product -> (importance, whether a set-up is paid for). `uplink`: of a rack, in kB a second.
    `places`: how many there are; a title lies on some in a row, past the last on the first again.
    """

    def __init__(self, terms: Mapping[str, tuple[float, bool]], uplink: float, places: int) -> None:
        self.terms, self.uplink, self.places = dict(terms), uplink, max(1, places)
        self.importance = {name: importance for name, (importance, _) in self.terms.items()}
        top = max(self.importance.values(), default=0.0)
        # a play that was paid for is not given up for one that was not; the dearest product is what room is
        # for
        self.kept = {name for name, (importance, paid) in self.terms.items() if paid or importance >= top}
        self.mix: dict[str, float] = {}  # product -> kB a second that its plays need at entry, smoothed
        self.spare = 1.0  # what the plays held need at entry over what they have now
        self.cells: Counter = Counter()  # (first place, places) -> titles
        self.costs: dict[str, Cost] = {}

    def titles(self, cells: Iterable[tuple[int, int]]) -> None:
        """Where titles lie. Kept as classes: a hundred thousand titles are a few hundred of those."""
        self.cells = Counter(cells)

    def held(self, entry: Mapping[str, float], now_used: float) -> None:
        """What this front's plays need at the rung of entry, by product, and what they use now."""
        for product in self.terms:
            was = self.mix.get(product, entry.get(product, 0.0))
            self.mix[product] = was + SMOOTH * (entry.get(product, 0.0) - was)
        if now_used > 0:
            self.spare += SMOOTH * (min(1.0, sum(entry.values()) / now_used) - self.spare)

    def share(self) -> dict[str, float]:
        """Each product's part of all that is asked; even parts until a play was held."""
        whole = sum(self.mix.values())
        return {
            name: self.mix.get(name, 0.0) / whole if whole else 1 / len(self.terms) for name in self.terms
        }

    def room(self, places: Iterable[Place]) -> float:
        """What these nodes bear together: their links, and no more of a rack than its uplink."""
        racks: dict[int, float] = {}
        for place in places:
            racks[place.rack] = racks.get(place.rack, 0.0) + place.link
        return USABLE * sum(min(links, self.uplink) if self.uplink else links for links in racks.values())

    def used(self, places: list[Place]) -> float:
        """What is used on all; a node that nobody heard of counts as the average of the others."""
        heard = [(p.used, p.link) for p in places if p.used is not None]
        links = sum(link for _, link in heard)
        mean = sum(used for used, _ in heard) / links if links else 0.0
        return sum(mean * p.link if p.used is None else p.used for p in places)

    def reckon(self, rows: list[Place]) -> dict[str, Cost]:
        """Anew for every site. One walk over nodes and one over classes of titles for each."""
        asked = self.used(rows) * self.spare
        need = {name: part * asked for name, part in self.share().items()}
        self.costs = {}
        for site in sorted({p.site for p in rows}):
            rest = [p for p in rows if p.site != site]
            room = self.room(rest)
            holders = Counter(p.place for p in rest)
            left = [
                (sum(holders[(first + i) % self.places] for i in range(min(row, self.places))), titles)
                for (first, row), titles in self.cells.items()
            ]
            self.costs[site] = Cost(
                parts(need, self.importance, self.kept, asked - room),
                asked,
                room,
                sum(t for n, t in left if n == 1),
                sum(t for n, t in left if n == 0),
            )
        return self.costs


class Shedding:
    """How much of all that is asked is refused while a site is missing.

    What was asked before the loss, over the room that there is now, tells most of it; it falls by itself as
    nodes return. That may be wrong by a third (crowds come back, rungs change, a front knows little), so it
    is trimmed by what is seen: up while the nodes that are left are full and dearer plays are turned away,
    down while they have room. Danger: what is refused shows in the load only once plays have ended, so a trim
    that went on growing would refuse all. It has bounds, and goes slowly. The dearest product is the first to
    be taken whole again, the cheapest the last.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan, self.asked, self.base, self.trim, self.turned, self.at = plan, 0.0, 0.0, 0.0, 0, 0
        self.on, self.missing = False, 1.0

    def begin(self, now: int, asked: float) -> None:
        """The fleet has lost a site; `asked`: what was asked of it all before, in kB a second."""
        if not self.on:
            self.on, self.asked, self.trim, self.turned, self.at = True, asked, 0.0, 0, now

    @property
    def refused(self) -> float:
        # as the room comes back less is refused, whatever the trim was
        return min(LAST, max(0.0, self.base + self.trim * self.missing)) if self.on else 0.0

    def declined(self, product: str) -> None:
        """The module found no room for a play of this product."""
        found, importance = self.placed(), self.plan.importance
        if found[product] >= 1 and any(
            importance[name] < importance[product] and name not in self.plan.kept and part > 0
            for name, part in found.items()
        ):
            self.turned += 1  # something less important is still taken in its place

    def room(self, room: float, missing: float) -> None:
        """What the nodes that may have plays bear now, and the part of the lost sites that has none yet."""
        self.missing = missing
        self.base = max(0.0, 1 - room / self.asked) if self.asked > 0 else 0.0

    def tick(self, now: int, full: float | None) -> None:
        """Once in a while. `full`: use over room of what is left, None where nothing was heard."""
        if not self.on or now - self.at < TICK:
            return
        if full is not None and full > TIGHT and self.turned:
            self.trim = min(TRIM, self.trim + MORE)
        elif full is not None and full < EASY:
            self.trim = max(-1.0, self.trim - LESS)
        self.turned, self.at = 0, now

    def end(self) -> None:
        self.on = False

    def placed(self) -> dict[str, float]:
        """Of each product the part that there is room for."""
        return parts(self.plan.share(), self.plan.importance, self.plan.kept, self.refused)

    def parts(self) -> dict[str, float]:
        """Up to what part of a node's room each product is placed; those that are as ever left out."""
        if not self.refused:
            return {}
        return {
            name: round(LOWEST + (USABLE - LOWEST) * part, 2) if part < 1 else NEXT
            for name, part in self.placed().items()
            if name not in self.plan.kept
        }
