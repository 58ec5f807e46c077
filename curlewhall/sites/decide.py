"""Whether a site is lost, and which of its nodes get plays. No I/O, no clock.

Called once for each thing that happens, `now` in tenths of a millisecond; answers are tuples:

- `("ask", node)`: ask the node for its load; what comes of it is told by `evidence`.
- `("hide", nodes)`, `("show", nodes)`: the module is to be told that these are gone, or are there again.
- `("state", site, state, fleet, why)`: what is held of a site has changed.
- `("say", peer, rows)`: a word to another front, rows of (site, dead, age).
- `("wake", span)`: call `wake` then.

Danger: a front that is cut off from a site sees the same as a front at a dead one. For its own plays both are
alike: nobody there can be had. For the fleet they are not: the others still use that site. So a loss is held
for this front alone until others who have looked for themselves say the same, and only a loss of the fleet
makes plays be refused for it.
"""

from collections.abc import Iterable
from zlib import crc32

from .state import DOUBTED, LOST, NEVER, RETURNING, WHOLE, Node, Site, Word

SECOND = 10_000
FRESH = 25 * SECOND // 10  # nodes speak once a second: two of those missed, and half a second for the way
APART = SECOND // 5  # failures closer than this are one: connections of one moment break together
LEAST = 3  # nodes: of fewer the module's own doubt of each is as quick, and no evidence for a whole
DOUBT, SURE, TOLD = 0.5, 0.6, 0.3  # parts of a site that fail: doubted; lost; lost where others say so too
WELL = 0.8  # of the nodes that are listed there: whole again
MISSED = 60 * SECOND  # for so long a node that the list has taken away counts among its site's
LOOK, CALM = SECOND // 2, SECOND  # between two looks while something is wrong; while all is well
ASKS = 4  # nodes asked in a look: eight a second and front, whatever a site's size
PAUSE = SECOND  # before one node is asked again
WITNESSES = 2  # other fronts that have to see it too; all of them where there are fewer
AGE = 5 * SECOND  # after which a word counts no more
TO = 3  # fronts told in a look: flat in their number; 24 have two witnesses within a second
HOLD, LONGEST = SECOND // 2, 8 * SECOND  # nothing is taken back for so long; doubled with each loss, up to
FORGIVEN = 60 * SECOND  # sound for so long: the next loss is a first one
FIRST, STEP = 0.25, SECOND // 2  # the part of a site that is let in at first; after so long it may double


class Sites:
    """One front's view. `peers`: indices of the others; `warm`: how long a cold node takes to be warm."""

    def __init__(self, now: int, me: int, peers: Iterable[int], seed: int, warm: int) -> None:
        self.me, self.peers, self.seed, self.warm, self.draws = me, sorted(peers), seed, warm, 0
        self.living = list(self.peers)  # of them, as far as membership knows
        self.nodes: dict[str, Node] = {}
        self.sites: dict[str, Site] = {}
        self.next = now + self.chance(CALM)

    # ---- what happens

    def begin(self, now: int):
        return [("wake", max(1, self.next - now))]

    def listed(self, now: int, rows: Iterable[tuple[str, str, str, int]], whole: bool):
        """Lines of the list: node, site, state, start. `whole`: whatever is not named has gone.

        Danger: a list that has lost half of the fleet by mistake, or one that comes late with nodes long
        dead, is a word like others. What it takes away counts as failed; what answers all the same is not
        lost.
        """
        out, named = [], set()
        for name, where, state, started in rows:
            named.add(name)
            node = self.nodes.get(name)
            if state == "gone":
                out += self.taken(now, node)
                continue
            if node is None or node.site != where:
                self.forget(node)
                node = self.nodes[name] = Node(name, where, started)
                self.sites.setdefault(where, Site(where, since=now)).nodes[name] = node
                # Danger: a site that comes back under new names would be met by all fronts at once.
                if self.sites[where].state in (LOST, RETURNING):
                    node.hidden = True
                    out.append(("hide", [name]))
            elif started > node.started or node.gone_at != NEVER:
                # another process, which nobody has met
                node.started, node.lived, node.answered_at, node.spoke_at = started, False, NEVER, NEVER
                if not node.failing and self.sites[where].state in (LOST, RETURNING):
                    node.failed_at, node.how = now, "started"
            if (
                node.leaving
                and state != "draining"
                and not node.hidden
                and self.sites[where].state in (LOST, RETURNING)
            ):
                node.hidden = True  # its drain is called back, at a site that nobody has
                out.append(("hide", [name]))
            node.gone_at, node.leaving = NEVER, state == "draining"
        if whole:
            for node in [n for n in self.nodes.values() if n.name not in named and n.gone_at == NEVER]:
                out += self.taken(now, node)
        return out + self.judge(now)

    def taken(self, now: int, node: Node | None):
        """The list has taken a node away. One that drained is no loss."""
        if node is None or node.gone_at != NEVER:
            return []
        if node.leaving:
            self.forget(node)
            return []
        node.gone_at = now
        self.fail(node, now, "listed gone", True)
        return []

    def forget(self, node: Node | None) -> None:
        if node is not None:
            del self.nodes[node.name], self.sites[node.site].nodes[node.name]

    def evidence(self, now: int, name: str, how: str, lived: bool = False):
        """What came of something at a node: `answered`; `spoke` unasked; `late`, a set-up that took too long;
        `refused`, `reset` or `silent`, which took far longer than anything takes.

        `lived`: the answer shows that it is the process from before.

        Danger: a way that is cut in one direction lets a node's words through and none of what it is asked.
        So a word that nobody asked for says that the node lives, not that it can be had.
        """
        node = self.nodes.get(name)
        if node is None:
            return []
        if how in ("answered", "spoke"):
            node.spoke_at = now
        if how == "answered":
            node.answered_at, node.fails, node.refused = max(now, node.failed_at, node.late_at), 0, False
            node.lived = node.lived or lived
        elif how == "late":
            node.late_at = max(now, node.answered_at + 1)
        elif how != "spoke":
            self.fail(node, now, how, how == "refused")
        site = self.sites[node.site]
        # nearly all that is heard is that all is well
        return self.judge(now, site) if site.state != WHOLE or node.doubtful else []

    def fail(self, node: Node, now: int, how: str, refused: bool) -> None:
        if node.answered_at >= node.failed_at or now - node.failed_at >= APART:
            node.fails += 1
        # an answer of the same moment counts for less: it was on its way before
        node.failed_at, node.how = max(now, node.answered_at + 1), how
        node.refused = node.refused or refused

    def told(self, now: int, peer: int, rows: Iterable[tuple[str, bool, int]]):
        """Another front says what it has seen: site, whether dead, how long ago by its own clock."""
        out = []
        for name, dead, age in rows:
            site = self.sites.get(name)
            if site is None or peer not in self.peers or not 0 <= age < AGE:
                continue
            site.words[peer] = Word(dead, now - age)
            if dead and site.state == WHOLE:
                site.disputed_at = now  # this front sees it otherwise, and says so
            out += self.judge(now, site)
        if out or any(site.disputed_at == now for site in self.sites.values()):
            out += self.hurry(now)
        return out

    def wake(self, now: int):
        """A wake asked for earlier is due."""
        if now < self.next:
            return [("wake", self.next - now)]
        for node in [n for n in self.nodes.values() if n.gone_at != NEVER and now - n.gone_at > MISSED]:
            self.forget(node)
        for node in self.nodes.values():
            # Danger: a machine that vanished says nothing, and its connections stay open
            if node.spoke_at != NEVER and now - node.spoke_at > FRESH and not node.failing:
                self.fail(node, now, "silent", False)
        out = self.judge(now)
        wrong = [s for s in self.sites.values() if s.state != WHOLE]
        for site in wrong:
            out += self.ask(now, site)
        if wrong or any(now - s.disputed_at < AGE for s in self.sites.values()):
            out += self.speak(now)
        # jittered: fronts that lost the same in one moment do not look in step
        span = LOOK if wrong else CALM
        self.next = now + span - span // 10 + self.chance(span // 5)
        return [*out, ("wake", self.next - now)]

    def present(self, living: Iterable[int]) -> None:
        """Which of the others live. Danger: the dead would be waited for as witnesses."""
        self.living = sorted(set(living) & set(self.peers))

    def hurry(self, now: int):
        """Something is wrong: look soon, whatever was planned."""
        if self.next - now <= LOOK:
            return []
        self.next = now + 1 + self.chance(LOOK // 5)
        return [("wake", self.next - now)]

    # ---- what is held of a site

    def judge(self, now: int, only: Site | None = None):
        """Weigh the evidence; states and what follows from them."""
        out = []
        for site in [only] if only is not None else list(self.sites.values()):
            # what drains has been told to go: neither its end nor its silence is a loss
            nodes = [n for n in site.nodes.values() if not n.leaving]
            out += getattr(self, f"when_{site.state}")(now, site, nodes)
        return out

    def when_whole(self, now: int, site: Site, nodes: list[Node]):
        if not self.half_fails(nodes):
            return []
        out = self.become(now, site, DOUBTED, self.how_many(nodes))
        return out + self.hurry(now) + self.when_doubted(now, site, nodes)

    def when_doubted(self, now: int, site: Site, nodes: list[Node]):
        if self.is_lost(now, site, nodes):
            return self.lose(now, site, nodes)
        return [] if self.half_fails(nodes) else self.become(now, site, WHOLE, self.how_many(nodes))

    def half_fails(self, nodes: list[Node]) -> bool:
        return sum(n.doubtful for n in nodes) >= max(2, DOUBT * len(nodes))

    def how_many(self, nodes: list[Node]) -> str:
        return f"{sum(n.doubtful for n in nodes)} of {len(nodes)} nodes fail"

    def is_lost(self, now: int, site: Site, nodes: list[Node]) -> bool:
        """Whether nobody there can be had, seen often enough, while others can be.

        Danger: a dead rack, a release that replaces half of a site and a slow site all have nodes that
        answer. A front that is cut off from everything has no site left to compare with.
        """
        if len(nodes) < LEAST or any(self.had(now, n) for n in nodes) or self.cut_off(now, site):
            return False
        return sum(n.sure for n in nodes) >= max(2, (TOLD if self.seen(now, site) else SURE) * len(nodes))

    def had(self, now: int, node: Node) -> bool:
        """Whether the node can be had: an answer, or at least its words, and nothing that failed since."""
        return not node.failing and now - node.spoke_at <= FRESH

    def cut_off(self, now: int, site: Site) -> bool:
        return not any(
            self.had(now, n)
            for other in self.sites.values()
            if other is not site
            for n in other.nodes.values()
        )

    def seen(self, now: int, site: Site) -> bool:
        """Whether enough others who looked for themselves hold it dead, and hardly any speaks against
        them.
        """
        words = [w for w in site.words.values() if now - w.at <= AGE]
        dead = sum(w.dead for w in words)
        return dead >= max(1, min(WITNESSES, len(self.living))) and dead > 2 * (len(words) - dead)

    def of_fleet(self, now: int, site: Site, nodes: list[Node]) -> bool:
        """Whether the loss is everybody's: others say so; or, with nobody to ask, what is left of it does.

        A refusal comes from the machine itself, and the list's word from whoever runs it: neither is to be
        had by a front that is only cut off. Silence alone is.
        """
        if self.seen(now, site):
            return True
        against = any(not w.dead and now - w.at <= AGE for w in site.words.values())
        return not against and sum(n.refused for n in nodes) >= max(2, DOUBT * len(nodes))

    def lose(self, now: int, site: Site, nodes: list[Node]):
        again = site.lost_at != NEVER and now - site.since < FORGIVEN
        site.hold = min(LONGEST, 2 * site.hold) if again and site.hold else HOLD
        site.lost_at, site.let_in, site.fleet = now, 0, self.of_fleet(now, site, nodes)
        hidden = [n.name for n in nodes if not n.hidden]
        for node in nodes:
            node.hidden, node.lived = True, False
        kinds = sorted({n.how for n in nodes if n.failing})
        out = self.become(now, site, LOST, f"{len(nodes)} nodes: {', '.join(kinds)}")
        return [*out, *([("hide", hidden)] if hidden else []), *self.speak(now)]

    def when_lost(self, now: int, site: Site, nodes: list[Node]):
        out = []
        fleet = self.of_fleet(now, site, nodes)
        if fleet != site.fleet:
            # Danger: a wrong word must not make the fleet refuse plays for a site that the others use
            site.fleet = fleet
            why = "others have lost it too" if fleet else "others can have it"
            out.append(("state", site.name, LOST, fleet, why))
        back = [n for n in nodes if n.answered_at > site.lost_at and not n.failing]
        if not back or now - site.lost_at < site.hold:
            return out
        site.let_in, site.step_at = max(1, int(FIRST * len(nodes))), now + STEP
        out += self.become(now, site, RETURNING, f"{len(back)} of {len(nodes)} nodes answer")
        return out + self.let(now, site, nodes)

    def when_returning(self, now: int, site: Site, nodes: list[Node]):
        if self.is_lost(now, site, [n for n in nodes if not n.hidden or n.failing]):
            return self.lose(now, site, nodes)
        out = []
        worse = [n for n in nodes if not n.hidden and n.failing and n.failed_at > n.shown_at]
        if worse:
            # what came back fails again: half as much is let in, and not more for a while
            site.let_in, site.step_at = max(1, site.let_in // 2), now + 2 * STEP
            for node in worse:
                node.hidden = True
            out.append(("hide", [n.name for n in worse]))
        elif now >= site.step_at and site.let_in < len(nodes):
            site.let_in, site.step_at = min(len(nodes), 2 * site.let_in), now + STEP
        out += self.let(now, site, nodes)
        listed = [n for n in nodes if n.gone_at == NEVER]
        shown = [n for n in listed if not n.hidden]
        settled = max((n.shown_at for n in shown), default=now) + (
            0 if all(n.lived for n in shown) else self.warm
        )
        if shown and len(shown) >= WELL * len(listed) and now >= settled:
            rest = [n.name for n in listed if n.hidden]
            for node in listed:
                node.hidden = False
            out += [("show", rest)] if rest else []
            site.fleet = False
            out += self.become(now, site, WHOLE, f"{len(shown)} of {len(listed)} nodes have plays again")
        return out

    def let(self, now: int, site: Site, nodes: list[Node]):
        """Let in as many as may, those that answer, in an order of this front's own. Those that lived through
        it are warm, and are all let in.

        Danger: all fronts that begin with the same few nodes would push those over. Drawn apart, a quarter of
        the fronts meets each.
        """
        room = max(0, site.let_in - sum(not n.hidden and not n.lived for n in nodes))
        back = sorted(
            (
                n
                for n in nodes
                if n.hidden and not n.failing and n.answered_at > site.lost_at and n.gone_at == NEVER
            ),
            key=lambda n: crc32(f"{self.seed}:{n.name}".encode()),
        )
        ready = [n for n in back if n.lived] + [n for n in back if not n.lived][:room]
        for node in ready:
            node.hidden, node.shown_at = False, now
        return [("show", [n.name for n in ready])] if ready else []

    def become(self, now: int, site: Site, state: str, why: str):
        site.state, site.since = state, now
        return [("state", site.name, state, site.fleet, why)]

    # ---- asking and saying

    def ask(self, now: int, site: Site):
        """A few of its nodes, those first that were asked longest ago; each once in a while."""
        due = sorted(
            (n for n in site.nodes.values() if now - n.asked_at >= PAUSE and n.gone_at == NEVER),
            key=lambda n: (n.asked_at, self.draw(n.name)),
        )[:ASKS]
        for node in due:
            node.asked_at = now
        return [("ask", node.name) for node in due]

    def speak(self, now: int):
        """Say what this front has seen of sites that are not whole, or that others hold dead.

        Danger: what it has only heard goes no further, and a front that can have nobody anywhere says
        nothing: it knows of itself alone.
        """
        rows = []
        for site in self.sites.values():
            nodes = [n for n in site.nodes.values() if not n.leaving]
            had = [n for n in nodes if self.had(now, n)]
            # a word unasked shows that the node lives, even where this front can't ask it
            lives = [n for n in nodes if now - n.spoke_at <= FRESH and n.spoke_at > n.failed_at]
            if site.state == LOST and not lives and not self.cut_off(now, site):
                rows.append((site.name, True, now - max(n.failed_at for n in nodes) if nodes else 0))
            elif (
                lives
                and (site.state != WHOLE or now - site.disputed_at < AGE)
                and len(had or lives) >= TOLD * len(nodes)
            ):
                rows.append((site.name, False, now - max(n.spoke_at for n in lives)))
        if not rows:
            return []
        self.draws += 1
        turn = sorted(self.living, key=lambda peer: self.draw(f"{peer}:{self.draws}"))[:TO]
        return [("say", peer, rows) for peer in turn]

    # ---- small helpers

    def hidden(self) -> set[str]:
        """Nodes that the module is told are gone."""
        return {n.name for n in self.nodes.values() if n.hidden}

    def missing(self) -> float:
        """The part of the sites that are not whole whose nodes get no plays."""
        nodes = [n for s in self.sites.values() if s.state in (LOST, RETURNING) for n in s.nodes.values()]
        return sum(n.hidden for n in nodes) / len(nodes) if nodes else 0.0

    def cold_since(self, name: str) -> int | None:
        """Since when a node that was let in again is to be taken for cold; None: as the list says.

        Danger: a list that is late calls a process that has just begun an old one.
        """
        node = self.nodes.get(name)
        return node.shown_at if node is not None and node.shown_at != NEVER and not node.lived else None

    def state(self) -> dict:
        """For `/v1/state`."""
        return {
            s.name: {
                "state": s.state,
                "fleet": s.fleet,
                "nodes": len(s.nodes),
                "failing": sum(n.failing for n in s.nodes.values()),
                "hidden": sum(n.hidden for n in s.nodes.values()),
                "witnesses": sorted(peer for peer, word in s.words.items() if word.dead),
            }
            for s in sorted(self.sites.values(), key=lambda s: s.name)
        }

    def draw(self, what: str) -> int:
        return crc32(f"{self.seed}:{self.me}:{what}".encode())

    def chance(self, below: int) -> int:
        self.draws += 1
        return crc32(f"{self.seed}:{self.me}:site:{self.draws}".encode()) % max(1, below)
