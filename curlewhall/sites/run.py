"""Joins the sites to a front: evidence from its nodes' side, the list, the datagrams of others; what follows
goes to the module by the list it is told and by `thinned`. The only part with I/O.
"""

from collections.abc import Callable
from itertools import islice
from zlib import crc32

import msgspec

from curlewhall.members.form import MOST_ROWS, Row
from curlewhall.wire import forms

from .decide import Sites
from .null_objects import NoSites
from .plan import HEARD, TICK, Place, Plan, Shedding
from .state import LOST, WHOLE

SECOND = 10_000
ASK_LIMIT = 1.5  # seconds: far longer than a slow node takes for a report, see `decide`
RECKON = 5 * SECOND  # between two reckonings of what each site's loss would cost; less often on a busy front
SLICE = 2000  # plays looked at in a tick: a millisecond or so
BUSY = 100  # times what a reckoning took that must have passed before the next: one per cent of a core
# an allocation's ending as evidence of its node
SHOWS = {"ok": "answered", "full": "answered", "error": "answered", "late": "late", "broken": "reset"}
DEAD, LIVES = 1, 0  # the state of a row
OLDEST = 0xFFFF  # of an age in milliseconds, two bytes


def number(site: str) -> int:
    """A site's name in a datagram's two bytes."""
    return crc32(site.encode()) & 0xFFFF


class Watch(NoSites):
    """`front`: the process, with driver, nodes, follower, peers."""

    def __init__(self, front, index: int, seed: int, titles, make: Callable = Sites) -> None:
        self.driver, self.nodes, self.follower = front.driver, front.nodes, front.follower
        self.timers, self.log, self.peers, self.titles = front.timers, front.log, front.peers, titles
        start_settings = self.driver.start_settings
        self.racks = max(1, start_settings["specifics.shelves"])
        self.unit = start_settings["specifics.link_unit_kb"]
        members = self.peers.members
        self.sites = make(
            self.driver.clock.now(),
            index,
            members.members.members if members else (),
            seed,
            start_settings["rules.warm_within"],
        )
        if members is not None:
            members.words = self.told
        self.plan = Plan(
            {p["name"]: (p["importance"], p["idempotency"] != "pure") for p in start_settings["products"]},
            start_settings["specifics.uplink_kb"],
            start_settings["specifics.places"],
        )
        ladder, worth = start_settings["specifics.rung_kb"], start_settings["specifics.level_worth"]
        best = max(range(len(ladder)), key=lambda rung: worth[rung] / ladder[rung])
        self.rates = {
            p["name"]: [rate * start_settings["specifics.class_scale"][i] for rate in ladder]
            for i, p in enumerate(start_settings["products"])
        }
        self.entry = {
            p["name"]: self.rates[p["name"]][max(best, start_settings["specifics.floor_by_class"][i])]
            for i, p in enumerate(start_settings["products"])
        }
        self.shedding = Shedding(self.plan)
        self.reports: dict[str, tuple[float, int]] = {}  # node -> asked over given, when
        self.rows: dict[str, forms.Row] = {}
        self.zones: set[str] = set()  # all that the list ever told of
        self.count = 0  # titles
        self.reckoned, self.warned, self.thinned = 0, None, {}
        self.round, self.left, self.needs, self.used = iter(()), 0, {}, 0.0
        self.timer, self.closed, self.said = None, False, 0

    def start(self) -> None:
        self.carry(self.sites.begin(self.driver.clock.now()))
        self.timers.after(TICK / SECOND, self.tick)

    # ---- what happens

    @property
    def hidden_nodes(self) -> set[str]:
        return self.sites.hidden()

    def site(self, row) -> str:
        """A zone; where the list has only ever told of one, a rack.

        Danger: a list that takes a lost zone away would leave one zone, and make racks the sites.
        """
        return row.zone if len(self.zones) > 1 else f"rack {row.place % self.racks}"

    def nodes_listed(self, rows, whole: bool) -> None:
        """Lines of the list as the front goes by them, before the module hears of them."""
        if whole:
            self.rows = {}
        self.rows |= {row.node: row for row in rows}
        self.zones |= {row.zone for row in rows if row.state != "gone"}
        lines = [(row.node, self.site(row), row.state, row.started_ms) for row in rows]
        for name in [name for name, row in self.rows.items() if row.state == "gone"]:
            del self.rows[name]
            self.reports.pop(name, None)
        titles = self.titles()
        if whole or len(titles) != self.count:
            self.count = len(titles)
            self.plan.titles((title.first_place, title.places) for title in titles.values())
        self.carry(self.sites.listed(self.driver.clock.now(), lines, whole))

    def allocation_result(self, node: str, how: str) -> None:
        if how in SHOWS:
            self.node_contact(node, SHOWS[how])

    def node_contact(self, node: str, how: str, lived: bool = False) -> None:
        self.carry(self.sites.evidence(self.driver.clock.now(), node, how, lived))

    def told(self, sender: int, rows: tuple[Row, ...]) -> None:
        names = {number(site): site for site in self.sites.sites}
        said = [
            (names[row.index], row.state == DEAD, 10 * row.incarnation)
            for row in rows
            if row.index in names and row.state in (DEAD, LIVES)
        ]
        self.carry(self.sites.told(self.driver.clock.now(), sender, said))

    def node_reported(self, node: str, kind: str, value: float) -> None:
        if kind == "link_asked":
            self.reports[node] = max(0.0, value), self.driver.clock.now()

    def play_declined(self, product: str) -> None:
        self.shedding.declined(product)

    def effective_start(self, row, started: int) -> int:
        """When a node started, for the module: a node let in again is cold from then, whatever the list
        says.
        """
        since = self.sites.cold_since(row.node)
        return started if since is None else max(started, since)

    def wake(self) -> None:
        self.timer = None
        if not self.closed:
            members = self.peers.members
            if members is not None:
                self.sites.present(members.members.living())
            self.carry(self.sites.wake(self.driver.clock.now()))

    # ---- the plan, and what is refused by it

    def places(self) -> list[Place]:
        """The nodes that may have plays."""
        now, hidden = self.driver.clock.now(), self.hidden_nodes
        found = []
        for name, row in self.rows.items():
            if name in hidden or row.state != "serving":
                continue
            full, at = self.reports.get(name, (0.0, -HEARD))
            link = max(1.0, row.weight * self.unit)
            found.append(
                Place(
                    self.site(row),
                    row.place % self.racks,
                    row.place % self.plan.places,
                    link,
                    full * link if now - at < HEARD else None,
                )
            )
        return found

    def tick(self) -> None:
        if self.closed:
            return
        now, began = self.driver.clock.now(), self.driver.clock.source()
        self.walk()
        if self.shedding.on:
            self.look_at_room(now)
        elif now >= self.reckoned and all(site.state == WHOLE for site in self.sites.sites.values()):
            self.plan.reckon(self.places())
            self.reckoned = now + max(RECKON, int(BUSY * SECOND * (self.driver.clock.source() - began)))
            self.warn()
        self.thin()
        self.timers.after(TICK / SECOND, self.tick)

    def walk(self) -> None:
        """What the plays held need at entry and use now. Danger: a walk over 100,000 of them would stop the
        loop; a round takes as many ticks as it needs.
        """
        for active_play in islice(self.round, SLICE):
            if active_play.playing_number is not None:
                product = active_play.info.product
                self.needs[product] = self.needs.get(product, 0.0) + self.entry[product]
                self.used += self.rates[product][active_play.rung]
            self.left -= 1
        if self.left <= 0:
            self.plan.held(self.needs, self.used)
            plays = list(self.driver.plays.values())
            self.round, self.left, self.needs, self.used = iter(plays), len(plays), {}, 0.0

    def look_at_room(self, now: int) -> None:
        """What the nodes that may have plays bear, and how much of it is used."""
        places = self.places()
        room = self.plan.room(places)
        self.shedding.room(room, self.sites.missing())
        heard = room > 0 and any(place.used is not None for place in places)
        self.shedding.tick(now, self.plan.used(places) / room if heard else None)

    def warn(self) -> None:
        """Tell, when it changes, which site the fleet could not do without."""
        short = {
            site: cost
            for site, cost in self.plan.costs.items()
            if not cost.bearable and len(self.sites.sites) > 1
        }
        if short.keys() != self.warned:
            for site, cost in short.items():
                self.log.warning(
                    "the loss of a site could not be borne",
                    site=site,
                    asked=round(cost.asked),
                    room=round(cost.room),
                    placed={name: round(part, 2) for name, part in cost.parts.items()},
                    titles_without=cost.none,
                )
            if self.warned and not short:
                self.log.info("the loss of any one site could be borne")
            self.warned = short.keys()

    def thin(self) -> None:
        """Tell the module what part of each product may be placed, where that has changed."""
        parts = self.shedding.parts()
        if parts != self.thinned:
            self.thinned = parts
            if hasattr(self.driver.module, "thinned"):  # baselines know nothing of it
                self.driver.dispatch("thinned", parts)
            self.log.info("refused for a lost site", parts=parts or "nothing any more")

    # ---- what is answered

    def carry(self, answers) -> None:
        for verb, *facts in answers:
            getattr(self, f"carry_{verb}")(*facts)

    def carry_ask(self, node: str) -> None:
        self.nodes.check_node(node, ASK_LIMIT)

    def carry_hide(self, nodes: list[str]) -> None:
        self.follower.update_module(
            [msgspec.structs.replace(self.rows[name], state="gone") for name in nodes if name in self.rows]
        )

    def carry_show(self, nodes: list[str]) -> None:
        self.follower.update_module([self.rows[name] for name in nodes if name in self.rows])

    def carry_state(self, site: str, state: str, fleet: bool, why: str) -> None:
        say = self.log.info if state == WHOLE else self.log.warning
        say("site", site=site, state=state, fleet=fleet, why=why)
        if state == LOST and fleet:
            before = self.plan.costs.get(site)
            self.shedding.begin(self.driver.clock.now(), before.asked if before else 0.0)
            self.look_at_room(self.driver.clock.now())
        elif not any(s.state != WHOLE and s.fleet for s in self.sites.sites.values()):
            self.shedding.end()
        self.thin()

    def carry_say(self, peer: int, rows: list) -> None:
        if self.peers.members is not None:
            self.said += 1
            self.peers.members.word(
                peer,
                tuple(
                    Row(number(site), DEAD if dead else LIVES, min(OLDEST, age // 10))
                    for site, dead, age in rows[:MOST_ROWS]
                ),
            )

    def carry_wake(self, span: int) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.timers.after(span / SECOND, self.wake)

    # ---- what is shown

    def state(self) -> dict:
        """For `/v1/state`: what is held of each site, and what its loss would cost."""
        found = self.sites.state()
        for site, cost in self.plan.costs.items():
            if site in found:
                found[site]["if_lost"] = {
                    "placed": {name: round(part, 3) for name, part in cost.parts.items()},
                    "asked_kb": round(cost.asked),
                    "room_kb": round(cost.room),
                    "titles_with_one_holder": cost.single,
                    "titles_without": cost.none,
                }
        return {
            "sites": found,
            "refused": round(self.shedding.refused, 3),
            "placed": self.thinned,
            "words_said": self.said,
        }

    def close(self) -> None:
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
