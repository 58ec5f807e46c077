"""Plain policies to measure against, with the interface of `interface.Front`. Never a part of the front.

They keep drains, the time limit, a paid play's single set-up and the budget; they know nothing of rooms,
rungs, warm-up or reports.
"""

from collections import deque
from zlib import crc32

PROVEN = ("full", "unreached", "not_sent")


class Ask:
    """A play that has no answer yet, or plays."""

    def __init__(self, product, limit, cells) -> None:
        self.product, self.limit, self.cells = product, limit, cells
        self.nodes, self.answered, self.spent = [], False, False


class RandomLowest:
    """A random holder, at the lowest rung that the product may have."""

    def __init__(self, now, seed, start_settings) -> None:
        self.start_settings, self.seed, self.draws = start_settings, seed, 0
        self.products = {p["name"]: (i, p) for i, p in enumerate(start_settings["products"])}
        self.rows, self.plays, self.held = {}, {}, {}
        self.takes, self.further = deque(), deque()

    def chance(self, below):
        self.draws += 1
        return crc32(f"{self.seed}:{self.draws}".encode()) % below

    def listed(self, now, how, rows):
        rows = list(rows)
        if how in ("whole", "old_copy"):
            self.rows = {}
        self.rows |= {row.node: row for row in rows}
        return ()

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
        self.takes.append(now)
        count = self.start_settings["specifics.places"]
        self.plays[play] = Ask(product, limit, {(first_place + i) % count for i in range(places)})
        return self.send(now, play)

    def choose(self, nodes):
        return nodes[self.chance(len(nodes))]

    def rung(self, product):
        return self.start_settings["specifics.floor_by_class"][self.products[product][0]]

    def seated(self, play, ask):
        return True

    def send(self, now, play):
        ask, count = self.plays[play], self.start_settings["specifics.places"]
        terms = self.products[ask.product][1]
        nodes = [
            row.node
            for row in self.rows.values()
            if row.state == "serving" and row.place % count in ask.cells and row.node not in ask.nodes
        ]
        most = self.start_settings["permissions.max_allocations"]
        if not nodes or ask.limit - now < 300 or len(ask.nodes) >= most or not self.spare(now, ask):
            return self.decline(play, ask, terms)
        node = self.choose(nodes)
        if ask.nodes:
            self.further.append(now)
        ask.nodes.append(node)
        paid = terms["idempotency"] != "pure"
        span = ask.limit - now if paid else min(ask.limit - now, int(0.4 * terms["first_frame_target"]))
        self.held[node] = self.held.get(node, 0) + 1
        return [("rung", play, self.rung(ask.product)), ("allocate", play, node, span)]

    def decline(self, play, ask, terms):
        ask.answered = True
        del self.plays[play]
        if ask.spent and terms["idempotency"] != "pure":
            return [("fail", play)]
        return [("decline", play, self.start_settings["permissions.max_retry_after"])]

    def spare(self, now, ask):
        if not ask.nodes:
            return True
        if "rules.look_back" not in self.start_settings:
            return True
        since = now - self.start_settings["rules.look_back"]
        for times in (self.takes, self.further):
            while times and times[0] <= since:
                times.popleft()
        share = self.start_settings["rules.extra_per_request"] * len(self.takes)
        return len(self.further) + 2 <= self.start_settings["rules.spare_allocations"] + share

    def first_frame(self, now, play, number, node, took):
        self.plays[play].answered = True
        return ()

    def ended(self, now, play, number, node, how, final, took, report):
        self.held[node] = max(0, self.held.get(node, 0) - 1)
        ask = self.plays.get(play)
        if ask is None:
            return ()
        ask.spent = ask.spent or how not in PROVEN
        if final or ask.answered:
            self.plays.pop(play, None)
            return ()
        if ask.spent and self.products[ask.product][1]["idempotency"] != "pure":
            return self.decline(play, ask, self.products[ask.product][1])
        return self.send(now, play)

    def resumed(
        self, now, play, product, customer, viewer, title, first_place, places, top_rung, length, node
    ):
        ask = self.plays[play] = Ask(product, now, set())
        ask.answered, ask.nodes = True, [node]
        self.held[node] = self.held.get(node, 0) + 1
        return ()

    def left(self, now, play):
        if play in self.plays:
            self.plays[play].answered = True
        return ()

    def note(self, now, play, number, node, kind, value):
        return ()

    def probed(self, now, node, how, took, report):
        return ()

    def told(self, now, peer, body):
        return ()

    def wake(self, now, label):
        return ()


class TwoDrawn(RandomLowest):
    """Two holders drawn at random, the one with fewer of this front's own plays; always the middle rung."""

    def choose(self, nodes):
        pair = [nodes[self.chance(len(nodes))] for _ in range(2)]
        return min(pair, key=lambda node: self.held.get(node, 0))

    def rung(self, product):
        return max(super().rung(product), (len(self.start_settings["specifics.rung_kb"]) - 1) // 2)


class Nothing(RandomLowest):
    """Decides nothing: the first holder in turn. Its cost is that of the front around it."""

    def choose(self, nodes):
        self.draws += 1
        return nodes[self.draws % len(nodes)]
