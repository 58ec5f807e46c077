"""Connects site monitoring to a front: its nodes, node list, membership datagrams, module, timers and log.

The front's process and driver call `SiteMonitor` with evidence; it hides and shows nodes through the node
list that the module is given, and limits products through the module's `thinned`.
"""

from collections.abc import Callable
from itertools import islice
from zlib import crc32

import msgspec

from curlewhall.members.datagram import MAX_ROWS, Row
from curlewhall.wire import forms

from .decide import SiteDetector
from .null_objects import NoSites
from .plan import ADJUST_INTERVAL, REPORT_LIFETIME, LoadShedder, LossPlan, NodeCapacity
from .state import LOST, WHOLE

TICKS_PER_SECOND = 10_000
PROBE_TIMEOUT_S = 1.5  # far longer than a slow node takes for a load report
COST_INTERVAL = 5 * TICKS_PER_SECOND  # ticks between computations of the costs; longer on a busy front
PLAYS_PER_TICK = 2000  # plays visited in a tick, which takes about a millisecond
COST_INTERVAL_FACTOR = 100  # times the duration of a computation until the next: 1% of a core
# What the ending of an allocation proves about its node; other endings prove nothing.
EVIDENCE_BY_ENDING = {
    "ok": "answered",
    "full": "answered",
    "error": "answered",
    "late": "late",
    "broken": "reset",
}
SITE_DEAD, SITE_ALIVE = 1, 0  # the state field of a row in a datagram
MAX_AGE = 0xFFFF  # of an observation, in milliseconds, as a datagram holds it


def site_number(site: str) -> int:
    """The number that stands for a site's name in a datagram: a 16-bit hash."""
    return crc32(site.encode()) & 0xFFFF


class SiteMonitor(NoSites):
    """Site monitoring of one front.

    `front` is the process, with `driver`, `nodes`, `follower`, `peers`, `timers` and `log`; `titles()`
    returns the titles of the list by name; `make_detector` may replace the detector in drills.
    """

    def __init__(self, front, index: int, seed: int, titles, make_detector: Callable = SiteDetector) -> None:
        self.driver = front.driver
        self.nodes = front.nodes
        self.follower = front.follower
        self.timers = front.timers
        self.log = front.log
        self.peers = front.peers
        self.titles = titles
        start_settings = self.driver.start_settings
        self.rack_count = max(1, start_settings["specifics.shelves"])
        self.link_unit_kb = start_settings["specifics.link_unit_kb"]
        membership = self.peers.members
        self.detector = make_detector(
            self.driver.clock.now(),
            index,
            membership.protocol.members if membership else (),
            seed,
            start_settings["rules.warm_within"],
        )
        if membership is not None:
            membership.on_extension = self.handle_peer_report
        self.plan = LossPlan(
            {p["name"]: (p["importance"], p["idempotency"] != "pure") for p in start_settings["products"]},
            start_settings["specifics.uplink_kb"],
            start_settings["specifics.places"],
        )
        ladder = start_settings["specifics.rung_kb"]
        worth = start_settings["specifics.level_worth"]
        best_rung = max(range(len(ladder)), key=lambda rung: worth[rung] / ladder[rung])
        # product -> kB a second at each rung
        self.rung_rates = {
            p["name"]: [rate * start_settings["specifics.class_scale"][i] for rate in ladder]
            for i, p in enumerate(start_settings["products"])
        }
        # product -> kB a second at the rung at which its plays start
        self.entry_rates = {
            p["name"]: self.rung_rates[p["name"]][
                max(best_rung, start_settings["specifics.floor_by_class"][i])
            ]
            for i, p in enumerate(start_settings["products"])
        }
        self.shedder = LoadShedder(self.plan)
        self.link_reports: dict[str, tuple[float, int]] = {}  # node -> demand over capacity, time
        self.rows: dict[str, forms.Row] = {}
        self.zones: set[str] = set()  # every zone that the list has ever named
        self.title_count = 0
        self.next_costs_at = 0
        self.warned_sites = None
        self.node_limits = {}
        # The current pass over the plays, see `visit_plays`.
        self.plays_to_visit = iter(())
        self.visits_left = 0
        self.entry_demand = {}
        self.used_bandwidth = 0.0
        self.timer = None
        self.closed = False
        self.reports_sent = 0

    def start(self) -> None:
        """Start the detector's timer and the ticks of the plan."""
        self.execute(self.detector.start(self.driver.clock.now()))
        self.timers.after(ADJUST_INTERVAL / TICKS_PER_SECOND, self.tick)

    # ---- events

    @property
    def hidden_nodes(self) -> set[str]:
        """Nodes that get no plays because of their site's state."""
        return self.detector.hidden_nodes()

    def site(self, row) -> str:
        """The site of a node: its zone; if the list has only ever named one zone, its rack.

        Zones that the list has removed still count, otherwise racks would become the sites when a list
        removes a lost zone.
        """
        return row.zone if len(self.zones) > 1 else f"rack {row.place % self.rack_count}"

    def nodes_listed(self, rows, whole: bool) -> None:
        """Take rows of the node list, before the module is told of them."""
        if whole:
            self.rows = {}
        self.rows |= {row.node: row for row in rows}
        self.zones |= {row.zone for row in rows if row.state != "gone"}
        listed = [(row.node, self.site(row), row.state, row.started_ms) for row in rows]
        for name in [name for name, row in self.rows.items() if row.state == "gone"]:
            del self.rows[name]
            self.link_reports.pop(name, None)
        titles = self.titles()
        if whole or len(titles) != self.title_count:
            self.title_count = len(titles)
            self.plan.set_titles((title.first_place, title.places) for title in titles.values())
        self.execute(self.detector.nodes_listed(self.driver.clock.now(), listed, whole))

    def allocation_result(self, node: str, how: str) -> None:
        """An allocation at the node ended with `how`, one of `interface.Ending`."""
        if how in EVIDENCE_BY_ENDING:
            self.node_contact(node, EVIDENCE_BY_ENDING[how])

    def node_contact(self, node: str, how: str, survived: bool = False) -> None:
        """Pass evidence on a node to the detector."""
        self.execute(self.detector.record_evidence(self.driver.clock.now(), node, how, survived))

    def handle_peer_report(self, sender: int, rows: tuple[Row, ...]) -> None:
        """Take the rows of another front's report; their `incarnation` is an age in milliseconds."""
        names = {site_number(site): site for site in self.detector.sites}
        observations = [
            (names[row.index], row.state == SITE_DEAD, 10 * row.incarnation)
            for row in rows
            if row.index in names and row.state in (SITE_DEAD, SITE_ALIVE)
        ]
        self.execute(self.detector.handle_peer_report(self.driver.clock.now(), sender, observations))

    def node_reported(self, node: str, kind: str, value: float) -> None:
        """Keep a node's latest "link_asked"; other kinds are not used."""
        if kind == "link_asked":
            self.link_reports[node] = max(0.0, value), self.driver.clock.now()

    def play_declined(self, product: str) -> None:
        """The module declined a play for lack of room."""
        self.shedder.play_declined(product)

    def effective_start(self, row, started: int) -> int:
        """When a node started, for the module: a readmitted node is cold from then."""
        since = self.detector.cold_since(row.node)
        return started if since is None else max(started, since)

    def wake(self) -> None:
        """The timer of the detector's last "wake" action has expired."""
        self.timer = None
        if not self.closed:
            membership = self.peers.members
            if membership is not None:
                self.detector.set_live_peers(membership.protocol.live_members())
            self.execute(self.detector.wake(self.driver.clock.now()))

    # ---- the plan and load shedding

    def usable_nodes(self) -> list[NodeCapacity]:
        """The nodes that may get plays."""
        now, hidden = self.driver.clock.now(), self.hidden_nodes
        usable = []
        for name, row in self.rows.items():
            if name in hidden or row.state != "serving":
                continue
            use, reported_at = self.link_reports.get(name, (0.0, -REPORT_LIFETIME))
            link = max(1.0, row.weight * self.link_unit_kb)
            usable.append(
                NodeCapacity(
                    self.site(row),
                    row.place % self.rack_count,
                    row.place % self.plan.place_count,
                    link,
                    use * link if now - reported_at < REPORT_LIFETIME else None,
                )
            )
        return usable

    def tick(self) -> None:
        """Once per `ADJUST_INTERVAL`: visit plays, adjust load shedding or recompute the costs."""
        if self.closed:
            return
        now, began = self.driver.clock.now(), self.driver.clock.source()
        self.visit_plays()
        if self.shedder.active:
            self.adjust_shedding(now)
        elif now >= self.next_costs_at and all(site.state == WHOLE for site in self.detector.sites.values()):
            self.plan.compute_costs(self.usable_nodes())
            self.next_costs_at = now + max(
                COST_INTERVAL,
                int(COST_INTERVAL_FACTOR * TICKS_PER_SECOND * (self.driver.clock.source() - began)),
            )
            self.warn()
        self.apply_node_limits()
        self.timers.after(ADJUST_INTERVAL / TICKS_PER_SECOND, self.tick)

    def visit_plays(self) -> None:
        """Sum up what the held plays need at the entry rung and use now.

        A pass over 100,000 plays at once would block the event loop, so a pass takes several ticks.
        """
        for active_play in islice(self.plays_to_visit, PLAYS_PER_TICK):
            if active_play.playing_number is not None:
                product = active_play.info.product
                self.entry_demand[product] = self.entry_demand.get(product, 0.0) + self.entry_rates[product]
                self.used_bandwidth += self.rung_rates[product][active_play.rung]
            self.visits_left -= 1
        if self.visits_left <= 0:
            self.plan.record_plays(self.entry_demand, self.used_bandwidth)
            plays = list(self.driver.plays.values())
            self.plays_to_visit = iter(plays)
            self.visits_left = len(plays)
            self.entry_demand = {}
            self.used_bandwidth = 0.0

    def adjust_shedding(self, now: int) -> None:
        """Tell the shedder the capacity of the usable nodes and how much of it is used."""
        nodes = self.usable_nodes()
        capacity = self.plan.capacity(nodes)
        self.shedder.set_capacity(capacity, self.detector.hidden_fraction())
        reported = capacity > 0 and any(node.used is not None for node in nodes)
        self.shedder.adjust(now, self.plan.used(nodes) / capacity if reported else None)

    def warn(self) -> None:
        """Log which sites' losses the others could not compensate, when that changes."""
        unbearable = {
            site: cost
            for site, cost in self.plan.costs.items()
            if not cost.bearable and len(self.detector.sites) > 1
        }
        if unbearable.keys() != self.warned_sites:
            for site, cost in unbearable.items():
                self.log.warning(
                    "the other sites have too little capacity for the loss of this one",
                    site=site,
                    asked=round(cost.demand),
                    room=round(cost.capacity),
                    placed={name: round(fraction, 2) for name, fraction in cost.placeable.items()},
                    titles_without=cost.unheld_titles,
                )
            if self.warned_sites and not unbearable:
                self.log.info("the loss of any one site can be compensated by the others")
            self.warned_sites = unbearable.keys()

    def apply_node_limits(self) -> None:
        """Tell the module the products' node limits, if they have changed."""
        limits = self.shedder.node_limits()
        if limits != self.node_limits:
            self.node_limits = limits
            if hasattr(self.driver.module, "thinned"):  # the baselines of the drills lack it
                self.driver.dispatch("thinned", limits)
            self.log.info("node limits of products changed for a lost site", parts=limits or "none")

    # ---- actions of the detector

    def execute(self, actions) -> None:
        """Call the `execute_...` method of each action."""
        for name, *arguments in actions:
            getattr(self, f"execute_{name}")(*arguments)

    def execute_probe(self, node: str) -> None:
        self.nodes.check_node(node, PROBE_TIMEOUT_S)

    def execute_hide(self, nodes: list[str]) -> None:
        self.follower.update_module(
            [msgspec.structs.replace(self.rows[name], state="gone") for name in nodes if name in self.rows]
        )

    def execute_show(self, nodes: list[str]) -> None:
        self.follower.update_module([self.rows[name] for name in nodes if name in self.rows])

    def execute_state(self, site: str, state: str, fleet_wide: bool, reason: str) -> None:
        """Log a site's new state, and start or stop load shedding."""
        log = self.log.info if state == WHOLE else self.log.warning
        log("the state of a site changed", site=site, state=state, fleet=fleet_wide, why=reason)
        if state == LOST and fleet_wide:
            cost = self.plan.costs.get(site)
            self.shedder.start(self.driver.clock.now(), cost.demand if cost else 0.0)
            self.adjust_shedding(self.driver.clock.now())
        elif not any(s.state != WHOLE and s.fleet_wide for s in self.detector.sites.values()):
            self.shedder.stop()
        self.apply_node_limits()

    def execute_report(self, peer: int, rows: list) -> None:
        """Send observations of sites to another front, ages in milliseconds."""
        if self.peers.members is not None:
            self.reports_sent += 1
            self.peers.members.send_extension(
                peer,
                tuple(
                    Row(site_number(site), SITE_DEAD if dead else SITE_ALIVE, min(MAX_AGE, age // 10))
                    for site, dead, age in rows[:MAX_ROWS]
                ),
            )

    def execute_wake(self, delay: int) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.timers.after(delay / TICKS_PER_SECOND, self.wake)

    # ---- state and shutdown

    def state(self) -> dict:
        """The part of `/v1/state` that describes sites: their states and what their loss would cost."""
        sites = self.detector.state()
        for site, cost in self.plan.costs.items():
            if site in sites:
                sites[site]["if_lost"] = {
                    "placed": {name: round(fraction, 3) for name, fraction in cost.placeable.items()},
                    "asked_kb": round(cost.demand),
                    "room_kb": round(cost.capacity),
                    "titles_with_one_holder": cost.single_holder_titles,
                    "titles_without": cost.unheld_titles,
                }
        return {
            "sites": sites,
            "refused": round(self.shedder.refused, 3),
            "placed": self.node_limits,
            "words_said": self.reports_sent,
        }

    def close(self) -> None:
        """Stop the timers."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
