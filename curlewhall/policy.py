"""All decisions of curlewhall: which playout node gets a play, at which rung, and when it is declined.

Driven by one call for each thing that happens; calls and answers are typed and kept in
`curlewhall/interface.py`. One `Front` is one instance: it knows its rate card and its calls, nothing else.
Times are whole tenths of a millisecond. The design, and each departure from it, is told in `docs/design.md`.
"""

from collections import deque
from zlib import crc32

SECOND = 10_000
PASS, KEEP, END = "pass", "keep", "end"


class Allocation:
    """One set-up at one node, from the choice of the node to its end."""

    def __init__(self, node, now):
        self.node, self.sent, self.out = node, now, True


class Play:
    """A viewer's play, from its request to its end."""

    def __init__(self, play, product, customer, limit, cells, top, now):
        self.id, self.product, self.customer, self.limit = play, product, customer, limit
        self.cells, self.top, self.floor, self.taken = cells, top, product["floor"], now
        self.rung, self.stepped, self.answered = self.floor, now, False
        self.title, self.allocations, self.may_have_run = None, [], False
        self.nodes, self.pair, self.asked_at = [], [], None

    def out(self):
        return bool(self.allocations) and self.allocations[-1].out


class Node:
    """A playout node as this front knows it."""

    def __init__(self, row):
        self.id, self.row, self.plays = row.node, row, {}
        self.changes, self.starts = deque(), deque()  # (time, kB a second) and times of own allocations
        self.link = self.share = self.streams = 0
        self.heard = self.heard_at = self.probe_out = None
        self.short_at = self.eased_at = self.full_at = self.cold_from = self.doubted_at = None
        self.doubt, self.broken = 0, False


class Rack:
    """The nodes that share an uplink."""

    def __init__(self):
        self.nodes, self.heard, self.heard_at, self.full = [], None, None, (None, False)


class Front:
    """One instance. A play passes `self.chain` forwards; the end of an allocation passes it backwards."""

    def __init__(self, now, seed, rate_card):
        self.card, self.seed, self.draws = rate_card, seed, 0
        self.products = {}
        for i, product in enumerate(rate_card["products"]):
            terms = ("floor_by_class", "class_scale", "seats", "highest_rung")
            floor, scale, seats, top = (rate_card[f"specifics.{term}"][i] for term in terms)
            self.products[product["name"]] = product | {
                "floor": floor, "scale": scale, "seats": seats, "top": top}
        self.least = min(p["importance"] for p in self.products.values())
        self.ladder, self.fronts = rate_card["specifics.rung_kb"], max(1, rate_card["fronts"])
        self.middle = (len(self.ladder) - 1) // 2
        self.plays, self.nodes, self.racks = {}, {}, {}
        self.takes, self.further = deque(), deque()  # for the budget of further allocations
        self.wakes, self.labels, self.out, self.average = {}, 0, [], (None, 0)
        self.chain = [(self.in_time, self.answer), (self.rationed, self.again), (self.holding, self.health),
                      (self.streaming, self.filled), (self.warming, self.thawed), (self.capping, None),
                      (self.fitting, None), (self.drawing, None), (self.shaping, None),
                      (self.sending, self.settle)]

    # ---- called from outside, as interface.py tells

    def listed(self, now, how, rows):
        named = set()
        for row in rows:
            named.add(row.node)
            node = self.nodes.get(row.node)
            if node is None:
                node = self.nodes[row.node] = Node(row)
                # Danger: an old list names nodes that have started since; all that a young front finds, and
                # all that is new to it, is paced as if it had started just now.
                node.cold_from = now
            elif row.started > node.row.started:
                node.cold_from, node.heard, node.broken = max(now, row.started), None, False
            node.row = row
        for node in self.nodes.values():
            if how in ("whole", "old_copy") and node.id not in named:
                node.row = node.row._replace(state="gone")
        for rack in self.racks.values():
            rack.nodes = []
        streams = dict(zip(self.card["kinds"], self.card["specifics.kind_streams"], strict=False))
        for node in self.nodes.values():
            node.link = node.row.weight * self.card["specifics.link_unit_kb"]
            node.streams = streams.get(node.row.kind, min(streams.values()))
            node.rack = self.racks.setdefault(node.row.place % max(1, self.card["specifics.shelves"]), Rack())
            if node.row.state != "gone":
                node.rack.nodes.append(node)
        for node in self.nodes.values():
            links = sum(n.link for n in node.rack.nodes) or node.link
            node.share = self.card["specifics.uplink_kb"] * node.link / links
        return self.said()

    def asked(self, now, play, product, customer, viewer, title, limit, first_place, places, top_rung,
              length, moved, again):
        self.takes.append(now)
        ply = self.take(now, play, product, customer, title, limit, first_place, places, top_rung)
        self.run(now, ply)
        return self.said()

    def resumed(self, now, play, product, customer, viewer, title, first_place, places, top_rung, length,
                node):
        ply = self.take(now, play, product, customer, title, now, first_place, places, top_rung)
        ply.answered, ply.stepped = True, now - 10 * SECOND  # this front has not stepped it: free to step up
        if node in self.nodes:
            ply.allocations.append(Allocation(self.nodes[node], now))
            self.nodes[node].plays[play] = ply
        return self.said()

    def first_frame(self, now, play, number, node, took):
        ply = self.plays.get(play)
        if ply:
            ply.answered, ply.stepped = True, now
            self.proved(now, ply.allocations[-1].node)
        return self.said()

    def ended(self, now, play, number, node, how, final, took, report):
        ply = self.plays.get(play)
        if node in self.nodes:
            self.hear(now, self.nodes[node], report)
        if ply:
            ply.answered = ply.answered or final
            allocation = ply.allocations[number]
            for _, back in reversed(self.chain):
                if back and back(now, ply, allocation, how) is END:
                    break
            if ply.answered and not ply.out():
                self.plays.pop(play, None)
        return self.said()

    def note(self, now, play, number, node, kind, value):
        if kind == "rung" and play in self.plays:
            self.plays[play].rung = int(value)
        elif kind == "delivered" and node in self.nodes:
            self.short(now, self.nodes[node], value)
        elif kind != "rung" and node in self.nodes:
            self.hear(now, self.nodes[node], {kind: value}, now - self.card["specifics.told_late"])
        return self.said()

    def probed(self, now, node, how, took, report):
        told = self.nodes.get(node)
        if told:
            told.probe_out = None
            if how == "ok":
                self.hear(now, told, report)
        for ply in [p for p in map(self.plays.get, list(self.wakes.values())) if p and told in p.pair]:
            if not any(n.probe_out for n in ply.pair):
                self.run(now, ply)
        return self.said()

    def told(self, now, peer, body):
        return self.said()

    def wake(self, now, label):
        ply = self.plays.get(self.wakes.pop(label, None))
        if ply:
            self.run(now, ply)
        return self.said()

    def left(self, now, play):
        ply = self.plays.get(play)
        if ply:
            ply.answered = True
            if not ply.out():
                self.plays.pop(play)
        return self.said()

    # ---- the chain

    def run(self, now, ply):
        # Danger: probes, wakes and ends may all call for the same play; never two allocations out at once.
        if ply.answered or ply.out():
            return
        for ahead, _ in self.chain:
            if ahead(now, ply) is not PASS:
                return

    def in_time(self, now, ply):
        # 30 ms, three ticks of the slowest driver met so far: what starts later than that can't be answered
        if ply.limit - now <= 300:
            return self.decline(ply)
        return PASS

    def answer(self, now, ply, allocation, how):
        """Last on the way back: what nothing else has answered gets its answer."""
        if not ply.answered:
            self.decline(ply)

    def rationed(self, now, ply):
        tried, share = len(ply.allocations), self.card.get("rules.extra_per_request")
        if not tried:
            return PASS
        spent = ply.may_have_run and ply.product["idempotency"] != "pure"
        if spent or tried >= self.card["permissions.max_allocations"]:
            return self.decline(ply)
        if share is not None:
            since = now - self.card["rules.look_back"]
            for times in (self.takes, self.further):
                while times and times[0] <= since:
                    times.popleft()
            # Danger: the bench's window and this one may differ by a tick at either end, so the oldest
            # second of the takes is left out and one allocation is kept back.
            takes = sum(t > since + SECOND for t in self.takes)
            if len(self.further) + 1 > self.card.get("rules.spare_allocations", 0) + share * takes:
                return self.decline(ply)
        return PASS

    def again(self, now, ply, allocation, how):
        if ply.answered:
            return END
        ply.pair = []
        self.run(now, ply)
        return END

    def holding(self, now, ply):
        """The nodes that hold the title, serve, and are not in doubt unless all of them are."""
        nodes = [n for n in self.nodes.values() if n.row.state == "serving"
                 and n.row.place % max(1, self.card["specifics.places"]) in ply.cells]
        fresh = [n for n in nodes if n not in [a.node for a in ply.allocations]]
        ply.nodes = [n for n in fresh if not self.doubtful(now, n, ply)] or fresh or nodes
        return PASS if ply.nodes else self.decline(ply)

    def health(self, now, ply, allocation, how):
        node = allocation.node
        if how == "ok":
            self.proved(now, node)
        elif how in ("late", "error"):
            node.doubt, node.doubted_at = node.doubt + 1, now
        elif how in ("broken", "unreached"):
            # Danger: the process may be down and come back cold long before the list says so.
            node.doubt, node.doubted_at, node.broken, node.cold_from = node.doubt + 1, now, True, now

    def doubtful(self, now, node, ply):
        """Symptom: set-ups end unanswered, or one is out for far longer than set-ups take."""
        if any(now - p.allocations[-1].sent > self.patience(p) // 2 for p in node.plays.values()
               if not p.answered):
            return True
        if not node.doubt:
            return False
        # 2 s after the first silence, doubled up to 8 s: then one harmless set-up at a time is the test
        wait = 2 * SECOND * 2 ** min(2, node.doubt - 1)
        busy = any(not p.answered for p in node.plays.values())
        return now - node.doubted_at < wait or busy or ply.product["idempotency"] != "pure"

    def proved(self, now, node):
        node.doubt = 0
        if node.broken:
            node.broken, node.cold_from = False, now

    def streaming(self, now, ply):
        """The stream test: this front's own plays against the kind's most streams."""
        seats = ply.product["seats"]
        if seats and sum(p.title == ply.title and p.product is ply.product and bool(p.allocations)
                         for p in self.plays.values()) >= seats:
            return self.decline(ply)
        ply.nodes = [n for n in ply.nodes if len(n.plays) < n.streams and not self.refusing(now, n)]
        return PASS if ply.nodes else self.decline(ply)

    def filled(self, now, ply, allocation, how):
        if how == "full":
            allocation.node.full_at = now

    def refusing(self, now, node):
        # 1 s: about what a load report takes to change
        return node.full_at is not None and now - node.full_at < SECOND

    def warming(self, now, ply):
        """A node that may have started lately gets this front's share of most of the pace that it bears."""
        ply.nodes = [n for n in ply.nodes if self.paced(now, n)]
        return PASS if ply.nodes else self.decline(ply)

    def paced(self, now, node):
        warm = self.card["rules.warm_within"]
        if not node.broken and (node.cold_from is None or now - node.cold_from >= warm):
            return True
        window = self.card["rules.fall"]
        while node.starts and node.starts[0] <= now - window:
            node.starts.popleft()
        bears = self.card["rules.overload_factor"] * node.streams / warm * self.card["rules.start_capacity"]
        # Three quarters: set-ups differ in work. Half came to one in 3 s and declined plays for nothing.
        return len(node.starts) < max(1, int(0.75 * bears * window / self.fronts))

    def thawed(self, now, ply, allocation, how):
        if how in ("full", "unreached", "not_sent") and allocation.node.starts:
            allocation.node.starts.pop()

    def capping(self, now, ply):
        """The lowest-importance product keeps to this front's slice where the node is above the fraction."""
        if ply.product["importance"] > self.least:
            return PASS
        part = 0.5  # the fraction, to start
        within = []
        for node in ply.nodes:
            low = sum(p.product["importance"] <= self.least for p in node.plays.values())
            above = self.load(now, node) > part or (node.full_at and now - node.full_at < 2 * SECOND)
            if not above or low < part * node.streams / self.fronts:
                within.append(node)
        ply.nodes = within
        return PASS if within else self.decline(ply)

    def fitting(self, now, ply):
        """Holders whose reported room lacks even the floor rung are passed over, as if full."""
        # Danger: one play too many stalls all plays on a link or uplink; at 85% delivered they earn nothing.
        # Catches sagging links, other users of a link, heavy titles and crowds alike.
        need = self.rate(ply, ply.floor)
        part = 1 if ply.product["importance"] > self.least else 0.9  # the last tenth is kept for dearer ones
        nodes = [n for n in ply.nodes if self.room(now, n, part)[0] >= need]
        # Crossing zones has a price: nodes of the own zone first, while one is under four fifths of its load.
        near = [n for n in nodes if n.row.zone == self.card["zone"] and self.load(now, n) < 0.8]
        ply.nodes = near or nodes
        return PASS if ply.nodes else self.decline(ply)

    def drawing(self, now, ply):
        """Two drawn at random; the one that this front's books favour."""
        if not ply.pair or not all(n in ply.nodes for n in ply.pair):
            first = ply.nodes[self.chance(len(ply.nodes))]
            rest = [n for n in ply.nodes if n is not first]
            ply.pair, ply.asked_at = [first] + ([rest[self.chance(len(rest))]] if rest else []), None
        if self.card["report.how"] == "on_probe" and ply.asked_at is None:
            # 3 s: asking for younger ones cost twice the probes and gained nothing
            stale = [n for n in ply.pair if n.heard_at is None or now - n.heard_at > 3 * SECOND]
            for node in stale:
                self.probe(now, node)
            if stale:
                ply.asked_at = now
                return self.keep(ply, 600)  # 60 ms: several times what a probe takes on a sound node
        ply.nodes = [min(ply.pair, key=lambda n: self.load(now, n))]
        return PASS

    def shaping(self, now, ply):
        """The rung rule: the highest rung that fits the room, the middle one where a report is missing."""
        node, (room, known) = ply.nodes[0], self.room(now, ply.nodes[0])
        top = self.top(ply, node) if known else min(ply.top, max(ply.floor, self.middle))
        fits = [r for r in range(ply.floor, top + 1) if self.rate(ply, r) <= room]
        ply.rung = fits[-1] if fits else ply.floor
        while ply.rung < min(ply.top, self.middle):
            more = self.rate(ply, ply.rung + 1) - self.rate(ply, ply.rung)
            gain = self.loss(ply, ply.rung + 1) / more
            others = [p for p in node.plays.values() if p.answered and p.rung > p.floor
                      and now - p.stepped > 5 * SECOND and self.drop(p) >= more]
            other = min(others, key=lambda p: self.loss(p) / self.drop(p), default=None)
            if other is None or 1.5 * self.loss(other) / self.drop(other) > gain:
                return PASS
            self.step(now, other, other.rung - 1)
            ply.rung += 1
        return PASS

    def sending(self, now, ply):
        node = ply.nodes[0]
        if ply.allocations:
            self.further.append(now)
        left, ply.pair = ply.limit - now, []
        ply.allocations.append(Allocation(node, now))
        node.plays[ply.id] = ply
        node.starts.append(now)
        self.change(now, node, self.rate(ply, ply.rung))
        self.out.append(("rung", ply.id, ply.rung))
        self.out.append(("allocate", ply.id, node.id, min(left, self.patience(ply))))
        return END

    def settle(self, now, ply, allocation, how):
        """First on the way back: the books are put right."""
        allocation.out = False
        if how not in ("full", "unreached", "not_sent"):
            ply.may_have_run = True
        if allocation.node.plays.pop(ply.id, None):
            self.change(now, allocation.node, -self.rate(ply, ply.rung))

    # ---- rooms, reports and rungs under way

    def rate(self, ply, rung):
        return self.ladder[rung] * ply.product["scale"]

    def change(self, now, node, kb):
        # Danger: thousands of plays in one batch; changes of one moment are kept as one, old ones dropped.
        up, down = node.changes.pop()[1:] if node.changes and node.changes[-1][0] == now else (0, 0)
        node.changes.append((now, up + max(kb, 0), down + min(kb, 0)))
        while node.changes[0][0] < now - 10 * SECOND:
            node.changes.popleft()

    def since(self, node, when):
        # Danger: in a surge every front places into the same room before any report tells of it. Others are
        # taken to place half as much each as this one, since plays are spread unevenly.
        return sum(up * (1 + self.fronts) / 2 + down for at, up, down in node.changes if at > when)

    def hear(self, now, node, report, when=None):
        if when is None:
            when = now - SECOND // 2  # reports are refreshed and delayed by a fraction of a second, untold
        link = report.get("link_asked", report.get("link_share"))
        if link is not None:
            node.heard, node.heard_at = link, when
        if "uplink_asked" in report:
            node.rack.heard, node.rack.heard_at = report["uplink_asked"], when
        if report:
            self.lift(now, node)

    def use(self, now, node):
        """Reported use of the link and of the uplink share, own changes since then added; None: no report."""
        old = now - 5 * SECOND  # about as long as a tenth of the plays last: by then others play there
        if node.heard is None or node.heard_at < old:
            return None
        link = node.heard * node.link + self.since(node, node.heard_at)
        rack = node.rack
        if rack.heard is None or rack.heard_at < old:
            # Danger: nobody reports this uplink, and a surge overruns it unseen. It counts as full once the
            # rack's links, half of them heard, ask a tenth more than its figure, which is only a mean.
            if rack.full[0] != now:  # reckoned once a moment
                heard = [n for n in rack.nodes if n.heard is not None and n.heard_at >= old]
                links, whole = (sum(n.link for n in nodes) for nodes in (heard, rack.nodes))
                asked = sum(n.heard * n.link + self.since(n, n.heard_at) for n in heard)
                limit = 1.1 * links * self.card["specifics.uplink_kb"]
                rack.full = now, 2 * links >= whole and asked * whole > limit
            return link, float("inf") if rack.full[1] else 0
        uplink = rack.heard * self.card["specifics.uplink_kb"]
        uplink += sum(self.since(n, rack.heard_at) for n in rack.nodes)
        return link, uplink * node.share / self.card["specifics.uplink_kb"]

    def room(self, now, node, part=0.9):
        use = self.use(now, node)
        if use is None:
            own = sum(self.rate(p, p.rung) for p in node.plays.values())
            return min(node.link, node.share) - own, False
        return min(part * node.link - use[0], part * node.share - use[1]), True

    def load(self, now, node):
        """The part of a node's link or uplink share in use; of which nothing is heard counts as average."""
        if node.short_at is not None:
            return 1.5
        use = self.use(now, node)
        if use is not None:
            return max(use[0] / node.link, use[1] / node.share)
        if self.average[0] != now:
            heard = [self.load(now, n) for n in self.nodes.values() if self.use(now, n) is not None]
            self.average = now, sum(heard) / max(1, len(heard))
        return self.average[1]

    def short(self, now, node, delivered):
        """A note of short delivery: this front's plays there step down one rung, then 2 s of deaf ears.

        Danger: the paper's network never blocks, a rack's uplink does. Unless the node's own link is reported
        full, all nodes of the rack hear the note at once, and all their plays would step down. Then only so
        many plays step, dearest in rate for what they lose first, as cover this front's part of the shortage.
        """
        if delivered >= 0.98:
            node.short_at = None
            return
        node.short_at = now
        # The 2 s run from when a note could first tell of the last steps: notes tell of a time gone by.
        if node.eased_at is not None and now - node.eased_at < 2 * SECOND + self.card["specifics.told_late"]:
            return
        node.eased_at = now
        steps = [p for p in node.plays.values() if p.answered and p.rung > p.floor]
        surplus = None
        if not (self.use(now, node) and node.heard >= 0.95):  # reports are off by a few hundredths
            steps.sort(key=lambda p: self.loss(p) / self.drop(p))
            surplus = sum(self.rate(p, p.rung) for p in node.plays.values()) * (1 - 0.95 * delivered)
        for ply in steps:
            if surplus is None or surplus > 0:
                surplus = surplus and surplus - self.drop(ply)
                self.step(now, ply, ply.rung - 1)

    def loss(self, ply, rung=None):
        """What a second is worth less at the next rung down; `drop` is the rate that it spares."""
        worth, rung = self.card["specifics.level_worth"], ply.rung if rung is None else rung
        return ply.product["importance"] * (worth[rung] - worth[rung - 1])

    def drop(self, ply):
        return self.rate(ply, ply.rung) - self.rate(ply, ply.rung - 1)

    def lift(self, now, node):
        """Plays step up one rung when room holds the step, 10 s after the last note and the last step."""
        # Danger: all fronts hear of the same room at the same time; each takes its part of it.
        pause = 10 * SECOND
        if node.short_at is not None or (node.eased_at is not None and now - node.eased_at < pause):
            return
        for ply in node.plays.values():
            if ply.answered and ply.rung < self.top(ply, node) and now - ply.stepped >= pause:
                room, known = self.room(now, node)
                if known and node.rack.heard is None:
                    room = min(room, 0.9 * node.share - self.use(now, node)[0])
                if known and self.rate(ply, ply.rung + 1) - self.rate(ply, ply.rung) <= room / self.fronts:
                    self.step(now, ply, ply.rung + 1)

    def top(self, ply, node):
        """The viewer's highest rung; the middle one, as with no report, where no uplink is reported."""
        return ply.top if node.rack.heard is not None else min(ply.top, max(ply.floor, self.middle))

    def step(self, now, ply, rung):
        self.change(now, ply.allocations[-1].node, self.rate(ply, rung) - self.rate(ply, ply.rung))
        ply.rung, ply.stepped = rung, now
        self.out.append(("rung", ply.id, rung))

    # ---- small helpers

    def take(self, now, play, product, customer, title, limit, first_place, places, top_rung):
        count = max(1, self.card["specifics.places"])
        cells = {(first_place + i) % count for i in range(places)}
        terms = self.products[product]
        top = max(terms["floor"], min(top_rung, terms["top"], len(self.ladder) - 1))
        ply = self.plays[play] = Play(play, terms, customer, limit, cells, top, now)
        ply.title = title
        return ply

    def said(self):
        out, self.out = self.out, []
        return out

    def chance(self, below):
        self.draws += 1
        return crc32(f"{self.seed}:{self.draws}".encode()) % below

    def patience(self, ply):
        """How long an allocation may take: where another may follow, 0.4 of the first-frame target, so that
        two silent nodes still leave time for a third; the whole time limit where the product is paid for."""
        if ply.product["idempotency"] != "pure":
            return ply.limit - ply.taken
        last = len(ply.allocations) >= self.card["permissions.max_allocations"]
        return ply.limit - ply.taken if last else int(0.4 * ply.product["first_frame_target"])

    def probe(self, now, node):
        if self.card["permissions.probes"] and not node.probe_out:
            node.probe_out = now
            self.out.append(("probe", node.id))

    def keep(self, ply, span):
        self.labels += 1
        self.wakes[self.labels] = ply.id
        self.out.append(("wake", span, self.labels))
        return KEEP

    def decline(self, ply):
        """The final answer of a play that gets no node; a paid one that may have run can only be failed."""
        ply.answered = True
        self.plays.pop(ply.id, None)
        if ply.may_have_run and ply.product["idempotency"] != "pure":
            self.out.append(("fail", ply.id))
        else:
            away = self.card["permissions.max_retry_after"] if self.card["permissions.retry_after"] else 0
            self.out.append(("decline", ply.id, away))
        return END
