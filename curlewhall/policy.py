"""All decisions of curlewhall: which playout node gets a play, at which rung, and when it is declined.

Driven by one call for each thing that happens; calls and answers are typed and kept in
`curlewhall/interface.py`. One `Front` is one instance: it knows its start settings and its calls, nothing
else. Times are whole tenths of a millisecond. The design, and each departure from it, is told in
`docs/design.md`.
"""

from bisect import bisect_right
from collections import deque
from zlib import crc32

SECOND = 10_000
PASS, KEEP, END = "pass", "keep", "end"
NEVER = float("-inf")  # a time before all others


class Changes:
    """What is added from moment to moment, as running totals: what came since then is one subtraction."""

    # Danger: thousands of plays in one batch or second. Changes of one moment are kept as one, and a question
    # costs a search, not a walk over all that came in the seconds before.

    def __init__(self, kept):
        self.kept, self.times, self.totals = kept, [NEVER], [0]

    def add(self, now, more):
        if self.times[-1] != now:
            self.times.append(now)
            self.totals.append(self.totals[-1])
            half = len(self.times) // 2
            if half > 64 and self.times[half] < now - self.kept:  # dropped by halves: cheap on the average
                del self.times[:half], self.totals[:half]
        self.totals[-1] += more

    def since(self, when):
        """The sum of what was added after `when`, no longer ago than is kept."""
        return self.totals[-1] - self.totals[bisect_right(self.times, when) - 1]


class Allocation:
    """One set-up at one node, from the choice of the node to its end."""

    def __init__(self, node, now):
        self.node, self.sent, self.out = node, now, True


class Play:
    """A viewer's play, from its request to its end."""

    def __init__(self, now, product, play, customer, viewer, title, limit, cells, top):
        self.id, self.product, self.customer, self.viewer = play, product, customer, viewer
        self.title, self.limit, self.cells, self.top, self.taken = title, limit, cells, top, now
        self.rung = self.floor = product["floor"]
        self.answered, self.stepped, self.looked, self.looks = False, now, now, 0
        self.allocations, self.may_have_run, self.nodes, self.pair, self.asked = [], False, [], [], False

    def out(self):
        return bool(self.allocations) and self.allocations[-1].out


class Node:
    """A playout node as this front knows it."""

    def __init__(self, row):
        self.id, self.row, self.plays = row.node, row, {}
        self.changes, self.starts = Changes(10 * SECOND), deque(maxlen=99)  # kB a second, own allocations
        self.link = self.share = self.streams = 0
        self.listed, self.heard, self.heard_at = NEVER, 0, NEVER  # listed: when it was last not gone
        self.short_at = self.eased_at = self.full_at = self.cold_from = self.doubted_at = NEVER
        self.doubt, self.broken, self.probe_out, self.waiting = 0, False, False, []
        self.used = NEVER, 0, None  # when, after which change, what `use` said


class Rack:
    """The nodes that share an uplink."""

    def __init__(self):
        self.link, self.changes = 1, Changes(10 * SECOND)
        self.heard, self.heard_at, self.short_at = 0, NEVER, NEVER


class Front:
    """One instance. A play passes `self.chain` forwards; the end of an allocation passes it backwards."""

    def __init__(self, now, seed, start_settings):
        self.start_settings, self.seed, self.draws = start_settings, seed, 0
        terms = {"floor": "floor_by_class", "scale": "class_scale", "seats": "seats", "top": "highest_rung"}
        self.products = {
            p["name"]: p | {t: start_settings[f"specifics.{name}"][i] for t, name in terms.items()}
            for i, p in enumerate(start_settings["products"])
        }
        self.customers = {
            c["name"]: (c["allowance_per_s"], Changes(5 * SECOND)) for c in start_settings["customers"]
        }
        self.least = min(p["importance"] for p in self.products.values())
        self.ladder, self.fronts = start_settings["specifics.rung_kb"], max(1, start_settings["fronts"])
        self.middle, worth = (len(self.ladder) - 1) // 2, start_settings["specifics.level_worth"]
        self.best = max(range(len(worth)), key=lambda r: worth[r] / self.ladder[r])  # worth most for its rate
        self.plays, self.nodes, self.racks, self.cells, self.wants = {}, {}, {}, {}, {}
        kept = max(start_settings["rules.fall"], start_settings.get("rules.look_back", 0))
        self.takes, self.further = Changes(kept), Changes(kept)  # for the budget of further allocations
        self.wakes, self.labels, self.average, self.turn, self.stages = {}, 0, (NEVER, 0), 0, {}
        self.out = (
            [("wake", self.chance(2 * SECOND), 0)] if start_settings["report.how"] == "on_probe" else []
        )
        self.changes, self.links, self.part, self.parts = Changes(10 * SECOND), 1, (NEVER, 1), {}
        self.chain = [
            (self.in_time, None),
            (self.rationed, self.again),
            (self.holding, self.health),
            (self.streaming, None),
            (self.warming, None),
            (self.capping, None),
            (self.fitting, None),
            (self.drawing, None),
            (self.shaping, None),
            (self.sending, self.settle),
        ]

    # ---- called from outside, as interface.py tells

    def listed(self, now, how, rows):
        changed, named, self.turn = False, {row.node for row in rows}, self.turn + 1
        for node in list(self.nodes.values()):
            if node.row.state != "gone":
                node.listed = now
            elif now - node.listed > 600 * SECOND and not node.plays and not node.waiting:
                # Danger: machines are replaced under new ids for as long as a front runs. 10 minutes: some
                # twenty times the longest restart seen; one that comes later is new, and paced as such.
                del self.nodes[node.id]
                changed = True
        for row in rows:
            node = self.nodes.get(row.node)
            if node is None:
                # Danger: an old list hides starts since; all that is new to a front is paced as just started.
                node = self.nodes[row.node] = Node(row)
                node.cold_from, node.listed, changed = now, now, True
            elif row.started > node.row.started:
                node.cold_from, node.heard_at, node.broken = max(now, row.started), NEVER, False
            changed = changed or node.row._replace(state=row.state, started=row.started) != row
            node.row = row
        for node in self.nodes.values() if how in ("whole", "old_copy") else ():
            if node.id not in named:
                node.row = node.row._replace(state="gone")
        if changed:
            self.arrange()
        return self.said()

    def arrange(self):
        """Racks, cells and links anew, when nodes come or change; those that go keep their place."""
        self.cells, racks = {}, {}
        streams = dict(
            zip(self.start_settings["kinds"], self.start_settings["specifics.kind_streams"], strict=False)
        )
        for node in self.nodes.values():
            # Danger: a list's weight of 0. A link of 1 kB a second holds no play, and can be divided by.
            node.link = max(1, node.row.weight * self.start_settings["specifics.link_unit_kb"])
            node.streams = streams.get(node.row.kind, min(streams.values(), default=1))
            node.rack = self.racks.setdefault(
                node.row.place % max(1, self.start_settings["specifics.shelves"]), Rack()
            )
            self.cells.setdefault(
                node.row.place % max(1, self.start_settings["specifics.places"]), []
            ).append(node)
            racks.setdefault(node.rack, []).append(node)
        for rack, nodes in racks.items():
            rack.link = sum(n.link for n in nodes)
            for node in nodes:
                node.share = max(1, self.start_settings["specifics.uplink_kb"] * node.link / rack.link)
        self.links = sum(rack.link for rack in racks) or 1

    def asked(
        self,
        now,
        play,
        product,
        customer,
        viewer,
        title,
        limit,
        first_place,
        places,
        top_rung,
        length,
        moved,
        again,
    ):
        self.takes.add(now, 1)
        if customer in self.customers and not again:
            self.customers[customer][1].add(now, 1)
        ply = self.take(now, play, product, customer, viewer, title, limit, first_place, places, top_rung)
        self.run(now, ply)
        for cell in (None, *ply.cells):  # counted after the run: a play by itself tells nothing of the others
            self.wants.setdefault(cell, Changes(10 * SECOND)).add(now, 1)
        return self.said()

    def resumed(
        self, now, play, product, customer, viewer, title, first_place, places, top_rung, length, node
    ):
        if node in self.nodes:
            ply = self.take(now, play, product, customer, viewer, title, now, first_place, places, top_rung)
            # Danger: a young front paces all that it finds as cold. What played there then ran by then.
            found = self.nodes[node]
            found.cold_from = min(found.cold_from, max(now, found.row.started))
            ply.looked -= self.chance(10 * SECOND)
            ply.answered, ply.stepped = True, now - 10 * SECOND  # not stepped by this front: free to step up
            ply.allocations.append(Allocation(found, now))
            found.plays[play] = ply
        return self.said()

    def first_frame(self, now, play, number, node, took):
        ply = self.plays.get(play)
        if ply:
            ply.answered, ply.stepped = True, now - 10 * SECOND  # its first report may let it step up at once
            proved = ply.allocations[-1].node
            proved.cold_from = now if proved.broken else proved.cold_from
            proved.doubt, proved.broken = 0, False
        return self.said()

    def ended(self, now, play, number, node, how, final, took, report):
        ply = self.plays.get(play)
        if node in self.nodes:
            self.hear(now, self.nodes[node], report)
        if ply:
            ply.answered = ply.answered or final
            allocation = ply.allocations[number]
            for _, back in reversed(self.chain):
                if back:
                    back(now, ply, allocation, how)
            if ply.answered and not ply.out():
                self.plays.pop(play, None)
        return self.said()

    def note(self, now, play, number, node, kind, value):
        if kind == "rung":
            if play in self.plays:
                self.plays[play].rung = int(value)
        elif node in self.nodes and kind == "delivered":
            self.short(now, self.nodes[node], value)
        elif node in self.nodes:
            self.hear(now, self.nodes[node], {kind: value}, now - self.start_settings["specifics.told_late"])
        return self.said()

    def probed(self, now, node, how, took, report):
        told = self.nodes.get(node)
        if told:
            told.probe_out = False
            if how == "ok":
                self.hear(now, told, report)
            waiting, told.waiting = told.waiting, []
            for ply in waiting:
                self.run(now, ply)
        return self.said()

    def told(self, now, peer, body):
        return self.said()

    def thinned(self, now, parts):
        self.parts = parts
        return self.said()

    def wake(self, now, label):
        if label == 0:
            self.look(now)
        elif label in self.wakes:
            self.run(now, self.wakes.pop(label))
        return self.said()

    def left(self, now, play):
        ply = self.plays.get(play)
        if ply:
            ply.answered = True
            if not ply.out():
                self.plays.pop(play)
        return self.said()

    def has_room(self, now, play, product, customer, viewer, title, first_place, places, top_rung):
        """Whether a play under way would get a node if it were moved now; the question changes nothing."""
        # Danger: what is ended first and declined then is a viewer lost. So the same stages are asked.
        old, draws, limit = self.plays.get(play), self.draws, now + SECOND
        if old:
            old.title = None  # its own seat is free by then
        ply = self.take(now, "", product, customer, viewer, title, limit, first_place, places, top_rung)
        chain = (self.holding, self.streaming, self.warming, self.capping, self.fitting)
        try:
            return all(ahead(now, ply) is PASS for ahead in chain)
        finally:  # also where a stage fails
            if old:
                old.title = title
            self.plays.pop("", None)
            self.draws, self.out = draws, []

    # ---- the chain

    def run(self, now, ply):
        # Danger: probes, wakes and ends may all call for the same play; never two allocations out at once.
        if ply.answered or ply.out():
            return
        for ahead, _ in self.chain:
            if ahead(now, ply) is not PASS:
                if ply.answered:  # for the people on call: where plays are declined
                    self.stages[ahead.__name__] = self.stages.get(ahead.__name__, 0) + 1
                return

    def in_time(self, now, ply):
        # 30 ms, three ticks of the slowest driver met so far: what starts later than that can't be answered
        return PASS if ply.limit - now > 300 else self.decline(ply)

    def rationed(self, now, ply):
        tried, share = len(ply.allocations), self.start_settings.get("rules.extra_per_request")
        spent = ply.may_have_run and ply.product["idempotency"] != "pure"
        if tried and (spent or tried >= self.start_settings["permissions.max_allocations"]):
            return self.decline(ply)
        if tried and share is not None:
            since = now - self.start_settings["rules.look_back"]
            # Danger: the bench's window and this one may differ by a tick at either end, so the oldest
            # second of the takes is left out and one allocation is kept back.
            takes = self.takes.since(since + SECOND)
            if (
                self.further.since(since) + 1
                > self.start_settings.get("rules.spare_allocations", 0) + share * takes
            ):
                return self.decline(ply)
        return PASS

    def again(self, now, ply, allocation, how):
        if not ply.answered:
            ply.pair = []
            self.run(now, ply)

    def holding(self, now, ply):
        """The nodes that hold the title, serve, and are not in doubt unless all of them are."""
        nodes = [n for cell in ply.cells for n in self.cells.get(cell, ()) if n.row.state == "serving"]
        fresh = [n for n in nodes if n not in [a.node for a in ply.allocations]]
        ply.nodes = [n for n in fresh if not self.doubtful(now, n, ply)] or fresh or nodes
        return PASS if ply.nodes else self.decline(ply)

    def health(self, now, ply, allocation, how):
        node = allocation.node
        if how == "full":
            node.full_at = now
        elif how in ("late", "error", "broken", "unreached"):
            node.doubt, node.doubted_at = node.doubt + 1, now
        if how in ("broken", "unreached"):
            # Danger: the process may be down and come back cold long before the list says so.
            node.broken, node.cold_from = True, now

    def doubtful(self, now, node, ply):
        """Symptom: set-ups end unanswered, or one is out for far longer than set-ups take."""
        out = [p for p in node.plays.values() if not p.answered]
        late = any(now - p.allocations[-1].sent > self.patience(p) // 2 for p in out)
        if late or not node.doubt:
            return late
        # 2 s after the first silence, doubled up to 8 s: then one harmless set-up at a time is the test
        wait = 2 * SECOND * 2 ** min(2, node.doubt - 1)
        return now - node.doubted_at < wait or out or ply.product["idempotency"] != "pure"

    def streaming(self, now, ply):
        """The stream test: this front's own plays against the kind's most streams."""
        seats = ply.product["seats"]
        if (
            seats
            and sum(
                p.title == ply.title and p.product is ply.product and bool(p.allocations)
                for p in self.plays.values()
            )
            >= seats
        ):
            return self.decline(ply)
        # passed over for 1 s after a refusal as full: about what a load report takes to change
        ply.nodes = [n for n in ply.nodes if len(n.plays) < n.streams and now - n.full_at >= SECOND]
        return PASS if ply.nodes else self.decline(ply)

    def warming(self, now, ply):
        """A node that may have started lately gets this front's share of most of the pace that it bears."""
        warm, window = self.start_settings["rules.warm_within"], self.start_settings["rules.fall"]
        # Three quarters: set-ups differ in work. Half came to one in 3 s and declined plays for nothing.
        pace = (
            0.75
            * self.start_settings["rules.overload_factor"]
            * self.start_settings["rules.start_capacity"]
            * window
            / warm
        )
        ply.nodes = [
            n
            for n in ply.nodes
            if (not n.broken and now - n.cold_from >= warm)
            or (
                sum(at > now - window for at in n.starts) < max(1, int(pace * n.streams / self.fronts))
                and self.chance(1000) * self.crowd(now, n, ply, warm, window) < 1000 * pace * n.streams
            )
        ]
        return PASS if ply.nodes else self.decline(ply)

    def crowd(self, now, node, ply, warm, window):
        """How many plays of the whole fleet may come to a node in a window, two drawn of its holders."""
        # Danger: a title that all ask for, its other holders full, brings a hundred fronts to one node.
        # Counted by cell over 10 s, a front sees few; two plays that lie evenly added, one where more come.
        cells, long, came = (
            max(1, self.start_settings["specifics.places"]),
            10 * SECOND,
            self.takes.since(now - window),
        )
        if not node.broken and (not node.row.started or now - node.row.started >= warm):
            return 2 * came / self.own_part(now) / len(self.nodes)  # new to this front alone: evenly
        seen, here = (
            self.wants[cell].since(now - long) if cell in self.wants else 0
            for cell in (None, node.row.place % cells)
        )
        usual, part = seen * window / long, (here + 2 * len(ply.cells) / cells) / (seen + 2)
        return max(came + (came > 1 + usual), usual) * part * min(1, 2 / len(ply.nodes)) / self.own_part(now)

    def capping(self, now, ply):
        """The lowest-importance product keeps to this front's slice where the node is above the fraction."""
        part, over = 0.5, self.over_share(now, ply)  # the fraction, to start
        if over or ply.product["importance"] <= self.least:
            above = [n for n in ply.nodes if self.load(now, n) > part or now - n.full_at < 2 * SECOND]
            ply.nodes = [
                n
                for n in ply.nodes
                if n not in above
                or not over
                and sum(p.product["importance"] <= self.least for p in n.plays.values())
                < part * n.streams / self.fronts
            ]
        return PASS if ply.nodes else self.decline(ply)

    def over_share(self, now, ply):
        """Whether the play's customer asks for more than its share and this viewer is beyond it."""
        # Danger: a customer's crowd, worth little beyond its share, stalls every play. Viewers beyond it are
        # told by their ids, so that all fronts turn the same ones away however often they come again.
        allowance, asked = self.customers.get(ply.customer, (0, None))
        count = asked.since(now - 5 * SECOND) if asked else 0  # about as long as a crowd takes to build up
        # Twice the share, told in whole plays a second, is surely a crowd; one deviation off: few are seen.
        allowance, seen = 2 * allowance + 1, (count - count**0.5) / 5 / self.own_part(now)
        return seen > allowance and crc32(ply.viewer.encode()) % 1000 >= 1000 * allowance / seen

    def fitting(self, now, ply):
        """Holders whose reported room lacks the rung worth most for its rate are passed over, as if full."""
        # Danger: one play too many stalls all plays on a link or uplink; at 85% delivered they earn nothing.
        # Catches sagging links, other users of a link, heavy titles and crowds alike.
        need = self.rate(ply, max(ply.floor, min(ply.top, self.best)))
        part = 1 if ply.product["importance"] > self.least else 0.9  # the last tenth is kept for dearer ones
        part = min(part, self.parts.get(ply.product["name"], 1))  # more is, while a site is lost
        # Danger: fronts that hear of few nodes flood the rest; an unheard one counts as full as the average.
        ply.nodes = [
            n
            for n in ply.nodes
            if self.room(now, n, part)[0] >= need
            and (now - n.heard_at <= 5 * SECOND or self.load(now, n) < part)
        ]
        # Crossing zones has a price: nodes of the own zone first, while one is under its full load.
        near = [n for n in ply.nodes if n.row.zone == self.start_settings["zone"] and self.load(now, n) < 1]
        ply.nodes = near or ply.nodes
        return PASS if ply.nodes else self.decline(ply)

    def drawing(self, now, ply):
        """Two drawn at random; the one that this front's books favour."""
        if not ply.pair or not all(n in ply.nodes for n in ply.pair):
            first = ply.nodes[self.chance(len(ply.nodes))]
            rest = [n for n in ply.nodes if n is not first]
            ply.pair, ply.asked = [first] + ([rest[self.chance(len(rest))]] if rest else []), False
        node = min(ply.pair, key=lambda n: self.load(now, n))
        # 3 s: asking for younger ones cost twice the probes and gained nothing; nor did asking both
        due = not ply.asked and now - node.heard_at > 3 * SECOND
        if self.start_settings["report.how"] == "on_probe" and due and self.pays(now):
            ply.asked = True
            node.waiting.append(ply)
            self.probe(node)
            self.labels += 1
            self.wakes[self.labels] = ply
            self.out.append(("wake", 600, self.labels))  # 60 ms: several times what a sound node takes
            return KEEP
        ply.nodes = [node]
        return PASS

    def pays(self, now):
        """Whether a report is worth its probe to the plays that share it: those placed at a node in 3 s."""
        # Danger: hundreds of fronts that each ask for a single play pay more than they learn. 0.06: what a
        # report brought the play it was asked for, in plays, over six days of 200 fronts (0.00 to 0.07).
        share = self.takes.since(now - 3 * SECOND) / max(1, len(self.nodes))
        return self.start_settings.get("costs.probe", 0) <= 0.06 * max(1, share)

    def shaping(self, now, ply):
        """The rung rule: the highest rung that fits the room, the middle one where a report is missing."""
        node, (room, known) = ply.nodes[0], self.room(now, ply.nodes[0])
        rungs = range(ply.floor, self.top(now, ply, node, known) + 1)
        ply.rung = max([ply.floor] + [r for r in rungs if self.rate(ply, r) <= room])
        while ply.rung < min(ply.top, self.middle):
            more = self.rate(ply, ply.rung + 1) - self.rate(ply, ply.rung)
            others = [
                p
                for p in node.plays.values()
                if p.answered and p.rung > p.floor and now - p.stepped > 5 * SECOND and self.drop(p) >= more
            ]
            other = min(others, key=lambda p: self.loss(p) / self.drop(p), default=None)
            if not other or 1.5 * self.loss(other) / self.drop(other) > self.loss(ply, ply.rung + 1) / more:
                return PASS
            self.step(now, other, other.rung - 1)
            ply.rung += 1
        return PASS

    def sending(self, now, ply):
        node = ply.nodes[0]
        if ply.allocations:
            self.further.add(now, 1)
        ply.pair, node.plays[ply.id] = [], ply
        ply.allocations.append(Allocation(node, now))
        node.starts.append(now)
        self.change(now, node, self.rate(ply, ply.rung))
        span = min(ply.limit - now, self.patience(ply))
        self.out += [("rung", ply.id, ply.rung), ("allocate", ply.id, node.id, span)]
        return END

    def settle(self, now, ply, allocation, how):
        """First on the way back: the books are put right."""
        allocation.out = False
        ply.may_have_run = ply.may_have_run or how not in ("full", "unreached", "not_sent")
        if allocation.node.plays.pop(ply.id, None):
            self.change(now, allocation.node, -self.rate(ply, ply.rung))

    # ---- rooms, reports and rungs under way

    def rate(self, ply, rung):
        return self.ladder[rung] * ply.product["scale"]

    def asks(self, plays):
        return sum(self.rate(p, p.rung) for p in plays.values())

    def change(self, now, node, kb):
        self.turn += 1
        for changes in (node.changes, node.rack.changes, self.changes):
            changes.add(now, kb)

    def since(self, now, place, when):
        """What use of a node or rack has changed by since a report: own changes there, others' all over."""
        # Danger: in a surge every front places into the same room before any report tells of it. The others
        # are taken to have placed as this front has, each as much as its part of all, over the whole fleet.
        own, all_over = place.changes.since(when), self.changes.since(when)
        return own + max(0, all_over) * (1 / self.own_part(now) - 1) * place.link / self.links

    def own_part(self, now):
        """The part of all that is asked of the fleet that this front's plays ask, reckoned once a second."""
        if now - self.part[0] >= SECOND:
            even, old = 1 / self.fronts, now - 5 * SECOND
            heard = [n for n in self.nodes.values() if n.heard_at >= old]
            asked = sum(n.heard * n.link for n in heard) * self.links / (sum(n.link for n in heard) or 1)
            # viewers lean, but a front holds few plays: the even part counts as much as what is seen
            self.part = now, min(1, (even + self.asks(self.plays) / asked) / 2) if asked else even
        return self.part[1]

    def hear(self, now, node, report, when=None):
        self.turn += 1
        # reports are refreshed and delayed by fractions of a second
        when = now - SECOND // 2 if when is None else when
        if "link_asked" in report or "link_share" in report:
            # Danger: a report under 0, from a node that counts wrongly, would turn this front's part around.
            node.heard, node.heard_at = max(0, report.get("link_asked", report.get("link_share"))), when
        if "uplink_asked" in report:
            node.rack.heard, node.rack.heard_at = max(0, report["uplink_asked"]), when
        if report:
            self.lift(now, node)

    def use(self, now, node):
        """Reported use of the link and of the uplink share, own changes since then added; None: no report."""
        # several stages ask for the same nodes in one moment: reckoned anew only when something has changed
        if node.used[0] != now or node.used[1] != self.turn:
            node.used = now, self.turn, self.reckon(now, node)
        return node.used[2]

    def reckon(self, now, node):
        old, rack, uplink = now - 5 * SECOND, node.rack, 0  # 5 s: about as long as a tenth of the plays last
        if node.heard_at < old:
            return None
        if rack.heard_at >= old:
            uplink = rack.heard * self.start_settings["specifics.uplink_kb"] + self.since(
                now, rack, rack.heard_at
            )
        return node.heard * node.link + self.since(now, node, node.heard_at), uplink * node.link / rack.link

    def room(self, now, node, part=0.9):
        use = self.use(now, node)
        if use is None:
            return min(node.link, node.share) - self.asks(node.plays), False
        return min(part * node.link - use[0], part * node.share - use[1]), True

    def load(self, now, node):
        """The part of a node's link or uplink share in use; an unheard one counts as average."""
        # Danger: the note that calls a shortage off goes to plays there; this front may hold none any more.
        if now - node.short_at < 3 * SECOND:  # notes come once a second
            return 1.5
        use = self.use(now, node)
        if use is not None:
            return max(use[0] / node.link, use[1] / node.share)
        if now - self.average[0] >= 100:  # 10 ms: little changes in a tick of the slowest driver met so far
            heard = [self.load(now, n) for n in self.nodes.values() if now - n.heard_at <= 5 * SECOND]
            self.average = now, (sum(heard) + 1) / (len(heard) + 2)  # two more, half full
        # Danger: an uplink that nobody reports sags. Unheard nodes of a rack told short keep the least out.
        return max(self.average[1], 0.95 if now - node.rack.short_at < 3 * SECOND else 0)

    def short(self, now, node, delivered):
        """A note of short delivery: this front's plays there step down one rung, then 2 s of deaf ears."""
        # Danger: the paper's network never blocks, a rack's uplink does. Unless the node's own link is told
        # full, all nodes of the rack hear the note at once. Then only so many plays step, dearest in rate for
        # what they lose first, as cover this front's part of the shortage.
        node.short_at = now if delivered < 0.98 else NEVER
        # The 2 s run from when a note could first tell of the last steps: notes tell of a time gone by.
        if delivered >= 0.98 or now - node.eased_at < 2 * SECOND + self.start_settings["specifics.told_late"]:
            return
        node.eased_at, surplus = now, float("inf")
        steps = [p for p in node.plays.values() if p.answered and p.rung > p.floor]
        if now - node.heard_at > 5 * SECOND or node.heard < 0.95:  # reports are off by a few hundredths
            steps.sort(key=lambda p: self.loss(p) / self.drop(p))
            node.rack.short_at = now if node.rack.heard_at == NEVER else NEVER
            surplus = self.asks(node.plays) * (1 - 0.95 * delivered)
        # Danger: many fronts with a play or two each would all step, and few dare up again. So the last step
        # is left to chance, at 1.5 times the shortage: once lets it go on too long, twice wastes rungs.
        for ply in steps:
            if self.chance(667) * self.drop(ply) < 1000 * surplus:
                surplus -= self.drop(ply)
                self.step(now, ply, ply.rung - 1)

    def loss(self, ply, rung=None):
        """What a second is worth less at the next rung down; `drop` is the rate that it spares."""
        worth, rung = self.start_settings["specifics.level_worth"], ply.rung if rung is None else rung
        return ply.product["importance"] * (worth[rung] - worth[rung - 1])

    def drop(self, ply):
        return self.rate(ply, ply.rung) - self.rate(ply, ply.rung - 1)

    def lift(self, now, node):
        """Plays step up one rung when room holds the step, 10 s after the last note and the last step."""
        # Danger: all fronts hear of the same room at once. Each play steps with the chance at which all plays
        # there, whoever holds them, would fill the room if they stepped like this one.
        pause, use = 10 * SECOND, self.use(now, node)
        if use is None or now - max(node.short_at, node.eased_at) < pause:
            return
        link, share = max(use[0], 1), max(use[1], 1 if node.rack.heard_at > NEVER else use[0], 1)
        spare = min(0.9 * node.link / link, 0.9 * node.share / share) - 1
        for ply in node.plays.values():
            if ply.answered and ply.rung < self.top(now, ply, node) and now - ply.stepped >= pause:
                step = self.rate(ply, ply.rung + 1) - self.rate(ply, ply.rung)
                odds = spare * self.rate(ply, ply.rung) / step
                if step <= spare * min(link, share) and self.chance(1000) < 1000 * odds:
                    self.step(now, ply, ply.rung + 1)

    def top(self, now, ply, node, known=True):
        """The viewer's highest rung; the middle one where a report is missing, of the node or its uplink."""
        most = ply.top if known and node.rack.heard_at > NEVER else self.middle
        # Danger: an unreported uplink fills unseen. 10 s from a note on, the rung worth most for its rate.
        most = self.best if self.parts or now - node.rack.short_at < 10 * SECOND else most
        return min(ply.top, max(ply.floor, most))

    def look(self, now):
        """Where nodes report only when asked: plays that could step up look for room, ever more seldom."""
        for ply in [p for p in self.plays.values() if p.answered and p.allocations]:
            node, due = ply.allocations[-1].node, ply.looked + 10 * SECOND * 2**ply.looks
            if now >= due and ply.rung < self.top(now, ply, node) and self.load(now, node) < 0.7:
                ply.looked, ply.looks = now, ply.looks + 1
                self.probe(node)
        self.out.append(("wake", 2 * SECOND, 0))

    def step(self, now, ply, rung):
        self.change(now, ply.allocations[-1].node, self.rate(ply, rung) - self.rate(ply, ply.rung))
        ply.rung, ply.stepped = rung, now
        self.out.append(("rung", ply.id, rung))

    # ---- small helpers

    def take(self, now, play, product, customer, viewer, title, limit, first_place, places, top_rung):
        count, terms = max(1, self.start_settings["specifics.places"]), self.products[product]
        cells = [(first_place + i) % count for i in range(min(places, count))]
        top = max(terms["floor"], min(top_rung, terms["top"], len(self.ladder) - 1))
        return self.plays.setdefault(play, Play(now, terms, play, customer, viewer, title, limit, cells, top))

    def said(self):
        out, self.out = self.out, []
        return out

    def chance(self, below):
        self.draws += 1
        return crc32(f"{self.seed}:{self.draws}".encode()) % below

    def patience(self, ply):
        """How long an allocation may take: all there is if it is the last or paid for, else 0.4 of the
        first-frame target, so that two silent nodes leave time for a third."""
        last = len(ply.allocations) >= self.start_settings["permissions.max_allocations"]
        alone = last or ply.product["idempotency"] != "pure"
        return ply.limit - ply.taken if alone else int(0.4 * ply.product["first_frame_target"])

    def probe(self, node):
        if self.start_settings["permissions.probes"] and not node.probe_out:
            node.probe_out = True
            self.out.append(("probe", node.id))

    def decline(self, ply):
        """The final answer of a play that gets no node; a paid one that may have run can only be failed."""
        ply.answered = True
        self.plays.pop(ply.id, None)
        if ply.may_have_run and ply.product["idempotency"] != "pure":
            self.out.append(("fail", ply.id))
        else:
            away = (
                self.start_settings["permissions.max_retry_after"]
                if self.start_settings["permissions.retry_after"]
                else 0
            )
            self.out.append(("decline", ply.id, away))
        return END
