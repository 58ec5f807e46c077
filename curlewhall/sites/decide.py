"""Decides whether a site is lost, and which of its nodes may get plays. No I/O and no clock.

`run` calls a method for each event, with `now` in ticks (tenths of a millisecond), and executes the returned
actions, which are tuples:

- `("probe", node)`: request the node's load; the result comes back through `record_evidence`.
- `("hide", nodes)`, `("show", nodes)`: tell the module that these nodes are gone, or are back.
- `("state", site, state, fleet_wide, reason)`: the state of a site has changed.
- `("report", peer, rows)`: send another front rows of (site, dead, age).
- `("wake", delay)`: call `wake` after that many ticks.

A front that is cut off from a site observes the same as a front at a dead site. For its own plays the two are
alike: no node there can be reached. For the fleet they are not: the other fronts still use that site. So a
loss holds for this front alone until other fronts confirm it from their own observations, and plays are
refused only for a loss of the whole fleet.
"""

from collections.abc import Iterable
from zlib import crc32

from .state import DOUBTED, LOST, NEVER, RETURNING, WHOLE, Node, PeerReport, Site

TICKS_PER_SECOND = 10_000
# Times below are ticks.
SILENCE_TIMEOUT = 25 * TICKS_PER_SECOND // 10  # nodes report once a second: two missed, plus 0.5 s of delay
SEPARATE_FAILURES = TICKS_PER_SECOND // 5  # failures closer than this count once: connections break together
MIN_SITE_NODES = 3  # with fewer the module's own handling of each node is as quick, and evidence is too thin
# Fractions of a site's nodes that fail: for DOUBTED; for LOST; for LOST when other fronts confirm it.
DOUBTED_FRACTION = 0.5
LOST_FRACTION = 0.6
LOST_FRACTION_WITH_PEERS = 0.3
RESTORED_FRACTION = 0.8  # of the listed nodes that must have plays for the site to be WHOLE again
REMOVED_NODE_LIFETIME = 60 * TICKS_PER_SECOND  # how long a node removed from the list counts at its site
URGENT_INTERVAL = TICKS_PER_SECOND // 2  # between checks while some site is not WHOLE
IDLE_INTERVAL = TICKS_PER_SECOND  # between checks while all sites are WHOLE
PROBES_PER_CHECK = 4  # nodes per site; eight a second per front, whatever the site's size
PROBE_INTERVAL = TICKS_PER_SECOND  # between two probes of one node
REQUIRED_WITNESSES = 2  # other fronts that must confirm a fleet-wide loss; all of them where there are fewer
REPORT_LIFETIME = 5 * TICKS_PER_SECOND  # after which another front's report is ignored
REPORT_FANOUT = 3  # fronts per check, whatever their number; with 24 fronts two witnesses confirm in 1 s
MIN_HOLD = TICKS_PER_SECOND // 2  # after a loss no node is readmitted for so long; doubled with each new loss
MAX_HOLD = 8 * TICKS_PER_SECOND
STABLE_AFTER = 60 * TICKS_PER_SECOND  # WHOLE for so long: the next loss starts from `MIN_HOLD` again
FIRST_ADMISSION = 0.25  # the fraction of a site that is readmitted first
ADMISSION_STEP = TICKS_PER_SECOND // 2  # after which the admitted number may double


class SiteDetector:
    """One front's view of the sites.

    `peers` are the indices of the other fronts, `seed` makes the random choices repeatable, and `warm_up` is
    how many ticks a cold node takes to become warm.
    """

    def __init__(self, now: int, own_index: int, peers: Iterable[int], seed: int, warm_up: int) -> None:
        self.own_index = own_index
        self.peers = sorted(peers)
        self.seed = seed
        self.warm_up = warm_up
        self.draw_count = 0
        self.live_peers = list(self.peers)  # those that membership believes alive
        self.nodes: dict[str, Node] = {}
        self.sites: dict[str, Site] = {}
        self.next_check = now + self.random_below(IDLE_INTERVAL)

    # ---- events

    def start(self, now: int):
        """The first wake."""
        return [("wake", max(1, self.next_check - now))]

    def nodes_listed(self, now: int, rows: Iterable[tuple[str, str, str, int]], whole: bool):
        """Apply rows of the node list: node, site, state, start. `whole`: nodes not named are gone.

        The list is evidence like any other, because it may lose half of the fleet by mistake or name nodes
        that are long dead. A node that it removes counts as failed; a node that still answers is not lost.
        """
        actions, named = [], set()
        for name, site_name, state, started in rows:
            named.add(name)
            node = self.nodes.get(name)
            if state == "gone":
                actions += self.remove_listed(now, node)
                continue
            if node is None or node.site != site_name:
                self.forget(node)
                node = self.nodes[name] = Node(name, site_name, started)
                self.sites.setdefault(site_name, Site(site_name, since=now)).nodes[name] = node
                # Otherwise all fronts would use a site at once that comes back under new node names.
                if self.sites[site_name].state in (LOST, RETURNING):
                    node.hidden = True
                    actions.append(("hide", [name]))
            elif started > node.started or node.removed_at != NEVER:
                # A new process: nothing observed of the old one applies to it.
                node.started = started
                node.survived = False
                node.answered_at = NEVER
                node.heard_at = NEVER
                if not node.failing and self.sites[site_name].state in (LOST, RETURNING):
                    node.failed_at = now
                    node.failure_kind = "started"
            if (
                node.draining
                and state != "draining"
                and not node.hidden
                and self.sites[site_name].state in (LOST, RETURNING)
            ):
                node.hidden = True  # its drain is cancelled, but its site is not usable
                actions.append(("hide", [name]))
            node.removed_at = NEVER
            node.draining = state == "draining"
        if whole:
            for node in [n for n in self.nodes.values() if n.name not in named and n.removed_at == NEVER]:
                actions += self.remove_listed(now, node)
        return actions + self.evaluate(now)

    def remove_listed(self, now: int, node: Node | None):
        """The list has removed a node: a failure, unless it was draining."""
        if node is None or node.removed_at != NEVER:
            return []
        if node.draining:
            self.forget(node)
            return []
        node.removed_at = now
        self.record_failure(node, now, "listed gone", True)
        return []

    def forget(self, node: Node | None) -> None:
        """Delete a node's record."""
        if node is not None:
            del self.nodes[node.name], self.sites[node.site].nodes[node.name]

    def record_evidence(self, now: int, name: str, how: str, survived: bool = False):
        """Record the outcome of a contact with a node.

        `how`: "answered" a request; "spoke" unasked; "late", a set-up that exceeded its time limit;
        "refused", "reset" or "silent", which is no answer within far longer than any request takes.
        `survived`: the answer shows that it is the process from before the loss.

        A link that is cut in one direction delivers a node's messages but none of the requests to it. So an
        unrequested message proves that the node is alive, not that it can be reached.
        """
        node = self.nodes.get(name)
        if node is None:
            return []
        if how in ("answered", "spoke"):
            node.heard_at = now
        if how == "answered":
            node.answered_at = max(now, node.failed_at, node.late_at)
            node.failure_count = 0
            node.refused = False
            node.survived = node.survived or survived
        elif how == "late":
            node.late_at = max(now, node.answered_at + 1)
        elif how != "spoke":
            self.record_failure(node, now, how, how == "refused")
        site = self.sites[node.site]
        # Nearly all evidence is that nothing is wrong and needs no evaluation.
        return self.evaluate(now, site) if site.state != WHOLE or node.degraded else []

    def record_failure(self, node: Node, now: int, kind: str, refused: bool) -> None:
        """Record a failed contact."""
        if node.answered_at >= node.failed_at or now - node.failed_at >= SEPARATE_FAILURES:
            node.failure_count += 1
        # A failure outweighs an answer of the same tick, which was sent before it.
        node.failed_at = max(now, node.answered_at + 1)
        node.failure_kind = kind
        node.refused = node.refused or refused

    def handle_peer_report(self, now: int, peer: int, rows: Iterable[tuple[str, bool, int]]):
        """Apply another front's observations: site, whether dead, and their age in ticks by its own clock."""
        actions = []
        for name, dead, age in rows:
            site = self.sites.get(name)
            if site is None or peer not in self.peers or not 0 <= age < REPORT_LIFETIME:
                continue
            site.peer_reports[peer] = PeerReport(dead, now - age)
            if dead and site.state == WHOLE:
                site.disputed_at = now  # this front observes the opposite, and reports it
            actions += self.evaluate(now, site)
        if actions or any(site.disputed_at == now for site in self.sites.values()):
            actions += self.expedite_check(now)
        return actions

    def wake(self, now: int):
        """Check for silent nodes, probe and report, if the next check is due."""
        if now < self.next_check:
            return [("wake", self.next_check - now)]
        for node in [
            n
            for n in self.nodes.values()
            if n.removed_at != NEVER and now - n.removed_at > REMOVED_NODE_LIFETIME
        ]:
            self.forget(node)
        for node in self.nodes.values():
            # A machine that vanished sends nothing, and its connections stay open.
            if node.heard_at != NEVER and now - node.heard_at > SILENCE_TIMEOUT and not node.failing:
                self.record_failure(node, now, "silent", False)
        actions = self.evaluate(now)
        impaired = [s for s in self.sites.values() if s.state != WHOLE]
        for site in impaired:
            actions += self.probe(now, site)
        if impaired or any(now - s.disputed_at < REPORT_LIFETIME for s in self.sites.values()):
            actions += self.report_to_peers(now)
        # Jittered, so that fronts that lost the same site at one moment don't check in step.
        interval = URGENT_INTERVAL if impaired else IDLE_INTERVAL
        self.next_check = now + interval - interval // 10 + self.random_below(interval // 5)
        return [*actions, ("wake", self.next_check - now)]

    def set_live_peers(self, live: Iterable[int]) -> None:
        """Set which other fronts are alive. Dead ones must not be waited for as witnesses."""
        self.live_peers = sorted(set(live) & set(self.peers))

    def expedite_check(self, now: int):
        """Check soon, because something is wrong."""
        if self.next_check - now <= URGENT_INTERVAL:
            return []
        self.next_check = now + 1 + self.random_below(URGENT_INTERVAL // 5)
        return [("wake", self.next_check - now)]

    # ---- states of sites

    def evaluate(self, now: int, only: Site | None = None):
        """Weigh the evidence on all sites, or on one, and act on state changes."""
        actions = []
        for site in [only] if only is not None else list(self.sites.values()):
            # Draining nodes were told to go: neither their end nor their silence is a loss.
            nodes = [n for n in site.nodes.values() if not n.draining]
            actions += getattr(self, f"evaluate_{site.state}")(now, site, nodes)
        return actions

    def evaluate_whole(self, now: int, site: Site, nodes: list[Node]):
        """A WHOLE site becomes DOUBTED when enough of its nodes are degraded."""
        if not self.half_degraded(nodes):
            return []
        actions = self.set_state(now, site, DOUBTED, self.failure_summary(nodes))
        return actions + self.expedite_check(now) + self.evaluate_doubted(now, site, nodes)

    def evaluate_doubted(self, now: int, site: Site, nodes: list[Node]):
        """A DOUBTED site becomes LOST or WHOLE again."""
        if self.is_lost(now, site, nodes):
            return self.declare_lost(now, site, nodes)
        return (
            [] if self.half_degraded(nodes) else self.set_state(now, site, WHOLE, self.failure_summary(nodes))
        )

    def half_degraded(self, nodes: list[Node]) -> bool:
        """Whether enough nodes are degraded for the site to be DOUBTED: two at least."""
        return sum(n.degraded for n in nodes) >= max(2, DOUBTED_FRACTION * len(nodes))

    def failure_summary(self, nodes: list[Node]) -> str:
        """The reason of a state change, for the log."""
        return f"{sum(n.degraded for n in nodes)} of {len(nodes)} nodes fail"

    def is_lost(self, now: int, site: Site, nodes: list[Node]) -> bool:
        """Whether no node there can be reached, confirmed often enough, while nodes elsewhere can be.

        A dead rack, a release that replaces half of a site and a slow site all have nodes that answer. A
        front that is cut off from everything has no other site to compare with.
        """
        if (
            len(nodes) < MIN_SITE_NODES
            or any(self.is_reachable(now, n) for n in nodes)
            or self.is_isolated(now, site)
        ):
            return False
        return sum(n.confirmed_down for n in nodes) >= max(
            2,
            (LOST_FRACTION_WITH_PEERS if self.confirmed_by_peers(now, site) else LOST_FRACTION) * len(nodes),
        )

    def is_reachable(self, now: int, node: Node) -> bool:
        """Whether the node was heard from lately and no request has failed since its last answer."""
        return not node.failing and now - node.heard_at <= SILENCE_TIMEOUT

    def is_isolated(self, now: int, site: Site) -> bool:
        """Whether this front reaches no node of any other site."""
        return not any(
            self.is_reachable(now, n)
            for other in self.sites.values()
            if other is not site
            for n in other.nodes.values()
        )

    def confirmed_by_peers(self, now: int, site: Site) -> bool:
        """Whether enough other fronts observe the site as dead, and hardly any contradicts them."""
        reports = [r for r in site.peer_reports.values() if now - r.observed_at <= REPORT_LIFETIME]
        dead = sum(r.dead for r in reports)
        return dead >= max(1, min(REQUIRED_WITNESSES, len(self.live_peers))) and dead > 2 * (
            len(reports) - dead
        )

    def is_fleet_wide(self, now: int, site: Site, nodes: list[Node]) -> bool:
        """Whether the whole fleet has lost the site.

        Either other fronts confirm it or, if none contradicts it, the site's own machines do: a refusal comes
        from the machine itself, and a removal in the list from its operator. A front that is merely cut off
        gets neither of them, only silence.
        """
        if self.confirmed_by_peers(now, site):
            return True
        contradicted = any(
            not r.dead and now - r.observed_at <= REPORT_LIFETIME for r in site.peer_reports.values()
        )
        return not contradicted and sum(n.refused for n in nodes) >= max(2, DOUBTED_FRACTION * len(nodes))

    def declare_lost(self, now: int, site: Site, nodes: list[Node]):
        """Set the site LOST, hide its nodes from the module and report it to other fronts."""
        repeated = site.lost_at != NEVER and now - site.since < STABLE_AFTER
        site.hold_ticks = min(MAX_HOLD, 2 * site.hold_ticks) if repeated and site.hold_ticks else MIN_HOLD
        site.lost_at = now
        site.admission_limit = 0
        site.fleet_wide = self.is_fleet_wide(now, site, nodes)
        newly_hidden = [n.name for n in nodes if not n.hidden]
        for node in nodes:
            node.hidden = True
            node.survived = False
        kinds = sorted({n.failure_kind for n in nodes if n.failing})
        actions = self.set_state(now, site, LOST, f"{len(nodes)} nodes: {', '.join(kinds)}")
        return [
            *actions,
            *([("hide", newly_hidden)] if newly_hidden else []),
            *self.report_to_peers(now),
        ]

    def evaluate_lost(self, now: int, site: Site, nodes: list[Node]):
        """A LOST site becomes RETURNING when nodes answer again and its hold time is over."""
        actions = []
        fleet_wide = self.is_fleet_wide(now, site, nodes)
        if fleet_wide != site.fleet_wide:
            # A wrong report must not make the fleet refuse plays for a site that the other fronts still use.
            site.fleet_wide = fleet_wide
            reason = "other fronts have lost it too" if fleet_wide else "other fronts can reach it"
            actions.append(("state", site.name, LOST, fleet_wide, reason))
        answering = [n for n in nodes if n.answered_at > site.lost_at and not n.failing]
        if not answering or now - site.lost_at < site.hold_ticks:
            return actions
        site.admission_limit = max(1, int(FIRST_ADMISSION * len(nodes)))
        site.next_step_at = now + ADMISSION_STEP
        actions += self.set_state(now, site, RETURNING, f"{len(answering)} of {len(nodes)} nodes answer")
        return actions + self.admit(now, site, nodes)

    def evaluate_returning(self, now: int, site: Site, nodes: list[Node]):
        """A RETURNING site gets its nodes back in steps, until it is WHOLE or LOST again."""
        if self.is_lost(now, site, [n for n in nodes if not n.hidden or n.failing]):
            return self.declare_lost(now, site, nodes)
        actions = []
        failed_again = [n for n in nodes if not n.hidden and n.failing and n.failed_at > n.readmitted_at]
        if failed_again:
            # Readmitted nodes fail again: halve the limit and delay the next step.
            site.admission_limit = max(1, site.admission_limit // 2)
            site.next_step_at = now + 2 * ADMISSION_STEP
            for node in failed_again:
                node.hidden = True
            actions.append(("hide", [n.name for n in failed_again]))
        elif now >= site.next_step_at and site.admission_limit < len(nodes):
            site.admission_limit = min(len(nodes), 2 * site.admission_limit)
            site.next_step_at = now + ADMISSION_STEP
        actions += self.admit(now, site, nodes)
        listed = [n for n in nodes if n.removed_at == NEVER]
        shown = [n for n in listed if not n.hidden]
        warm_at = max((n.readmitted_at for n in shown), default=now) + (
            0 if all(n.survived for n in shown) else self.warm_up
        )
        if shown and len(shown) >= RESTORED_FRACTION * len(listed) and now >= warm_at:
            still_hidden = [n.name for n in listed if n.hidden]
            for node in listed:
                node.hidden = False
            actions += [("show", still_hidden)] if still_hidden else []
            site.fleet_wide = False
            actions += self.set_state(
                now, site, WHOLE, f"{len(shown)} of {len(listed)} nodes have plays again"
            )
        return actions

    def admit(self, now: int, site: Site, nodes: list[Node]):
        """Show answering nodes to the module, up to the site's limit, in an order of this front's own.

        Nodes that survived the loss are warm and don't count against the limit. If all fronts began with the
        same few nodes, they would overload them; with own orders a quarter of the fronts meets each node.
        """
        free = max(0, site.admission_limit - sum(not n.hidden and not n.survived for n in nodes))
        candidates = sorted(
            (
                n
                for n in nodes
                if n.hidden and not n.failing and n.answered_at > site.lost_at and n.removed_at == NEVER
            ),
            key=lambda n: crc32(f"{self.seed}:{n.name}".encode()),
        )
        admitted = [n for n in candidates if n.survived] + [n for n in candidates if not n.survived][:free]
        for node in admitted:
            node.hidden = False
            node.readmitted_at = now
        return [("show", [n.name for n in admitted])] if admitted else []

    def set_state(self, now: int, site: Site, state: str, reason: str):
        """Store a site's new state; returns the action that announces it."""
        site.state = state
        site.since = now
        return [("state", site.name, state, site.fleet_wide, reason)]

    # ---- probes and reports

    def probe(self, now: int, site: Site):
        """Probe a few of a site's nodes, those first that were probed longest ago."""
        due = sorted(
            (n for n in site.nodes.values() if now - n.probed_at >= PROBE_INTERVAL and n.removed_at == NEVER),
            key=lambda n: (n.probed_at, self.keyed_hash(n.name)),
        )[:PROBES_PER_CHECK]
        for node in due:
            node.probed_at = now
        return [("probe", node.name) for node in due]

    def report_to_peers(self, now: int):
        """Report this front's observations of sites that are not WHOLE, or that others report dead.

        Other fronts' reports are not passed on, and a front that reaches no node anywhere reports nothing:
        its observations are about itself alone.
        """
        rows = []
        for site in self.sites.values():
            nodes = [n for n in site.nodes.values() if not n.draining]
            reachable = [n for n in nodes if self.is_reachable(now, n)]
            # An unrequested message shows that the node is alive, even where this front can't reach it.
            alive = [n for n in nodes if now - n.heard_at <= SILENCE_TIMEOUT and n.heard_at > n.failed_at]
            if site.state == LOST and not alive and not self.is_isolated(now, site):
                rows.append((site.name, True, now - max(n.failed_at for n in nodes) if nodes else 0))
            elif (
                alive
                and (site.state != WHOLE or now - site.disputed_at < REPORT_LIFETIME)
                and len(reachable or alive) >= LOST_FRACTION_WITH_PEERS * len(nodes)
            ):
                rows.append((site.name, False, now - max(n.heard_at for n in alive)))
        if not rows:
            return []
        self.draw_count += 1
        recipients = sorted(self.live_peers, key=lambda peer: self.keyed_hash(f"{peer}:{self.draw_count}"))[
            :REPORT_FANOUT
        ]
        return [("report", peer, rows) for peer in recipients]

    # ---- helpers

    def hidden_nodes(self) -> set[str]:
        """Names of the nodes that the module was told are gone."""
        return {n.name for n in self.nodes.values() if n.hidden}

    def hidden_fraction(self) -> float:
        """The fraction of hidden nodes at the sites that are LOST or RETURNING; 0 without such sites."""
        nodes = [n for s in self.sites.values() if s.state in (LOST, RETURNING) for n in s.nodes.values()]
        return sum(n.hidden for n in nodes) / len(nodes) if nodes else 0.0

    def cold_since(self, name: str) -> int | None:
        """When a node was readmitted with cold caches; None: its start is as the list gives it.

        A list that is late would otherwise describe a process that has just started as an old one.
        """
        node = self.nodes.get(name)
        return (
            node.readmitted_at
            if node is not None and node.readmitted_at != NEVER and not node.survived
            else None
        )

    def state(self) -> dict:
        """The sites for `/v1/state`."""
        return {
            s.name: {
                "state": s.state,
                "fleet": s.fleet_wide,
                "nodes": len(s.nodes),
                "failing": sum(n.failing for n in s.nodes.values()),
                "hidden": sum(n.hidden for n in s.nodes.values()),
                "witnesses": sorted(peer for peer, report in s.peer_reports.items() if report.dead),
            }
            for s in sorted(self.sites.values(), key=lambda s: s.name)
        }

    def keyed_hash(self, key: str) -> int:
        """A pseudo-random number for the key, different at each front."""
        return crc32(f"{self.seed}:{self.own_index}:{key}".encode())

    def random_below(self, bound: int) -> int:
        """A pseudo-random number from 0 to `bound - 1`."""
        self.draw_count += 1
        return crc32(f"{self.seed}:{self.own_index}:site:{self.draw_count}".encode()) % max(1, bound)
