"""Simple policies for comparison, with the interface of `interface.Front`. No part of a front in service.

They respect drains, the time limit, a paid play's single set-up and the budget. They ignore the load of
nodes, the choice of rungs, warm-up and reports.
"""

from collections import deque
from zlib import crc32

NEVER_RAN = ("full", "unreached", "not_sent")  # ends after which a set-up certainly has not run
MIN_ALLOCATION_TICKS = 300  # tenths of a millisecond left to the time limit


class PlayState:
    """A play that waits for its answer or is playing."""

    def __init__(self, product, limit, cells) -> None:
        self.product = product
        self.limit = limit
        self.cells = cells
        self.nodes = []
        self.answered = False
        self.may_have_run = False  # whether an allocation may have run


class RandomLowest:
    """Chooses a random node that holds the title, at the lowest rung that the product may have."""

    def __init__(self, now, seed, start_settings) -> None:
        self.start_settings = start_settings
        self.seed = seed
        self.draws = 0
        self.products = {p["name"]: (i, p) for i, p in enumerate(start_settings["products"])}
        self.rows = {}
        self.plays = {}
        self.play_counts = {}  # own plays by node
        self.request_times = deque()
        self.further_times = deque()  # of further allocations

    def random_below(self, below):
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
        self.request_times.append(now)
        count = self.start_settings["specifics.places"]
        self.plays[play] = PlayState(product, limit, {(first_place + i) % count for i in range(places)})
        return self.allocate(now, play)

    def choose_node(self, nodes):
        return nodes[self.random_below(len(nodes))]

    def choose_rung(self, product):
        return self.start_settings["specifics.floor_by_class"][self.products[product][0]]

    def seated(self, play, state):
        return True

    def allocate(self, now, play):
        state = self.plays[play]
        count = self.start_settings["specifics.places"]
        product = self.products[state.product][1]
        nodes = [
            row.node
            for row in self.rows.values()
            if row.state == "serving" and row.place % count in state.cells and row.node not in state.nodes
        ]
        max_allocations = self.start_settings["permissions.max_allocations"]
        if (
            not nodes
            or state.limit - now < MIN_ALLOCATION_TICKS
            or len(state.nodes) >= max_allocations
            or not self.within_budget(now, state)
        ):
            return self.decline(play, state, product)
        node = self.choose_node(nodes)
        if state.nodes:
            self.further_times.append(now)
        state.nodes.append(node)
        paid = product["idempotency"] != "pure"
        span = state.limit - now if paid else min(state.limit - now, int(0.4 * product["first_frame_target"]))
        self.play_counts[node] = self.play_counts.get(node, 0) + 1
        return [("rung", play, self.choose_rung(state.product)), ("allocate", play, node, span)]

    def decline(self, play, state, product):
        state.answered = True
        del self.plays[play]
        if state.may_have_run and product["idempotency"] != "pure":
            return [("fail", play)]
        return [("decline", play, self.start_settings["permissions.max_retry_after"])]

    def within_budget(self, now, state):
        if not state.nodes:
            return True
        if "rules.look_back" not in self.start_settings:
            return True
        since = now - self.start_settings["rules.look_back"]
        for times in (self.request_times, self.further_times):
            while times and times[0] <= since:
                times.popleft()
        allowance = self.start_settings["rules.extra_per_request"] * len(self.request_times)
        return len(self.further_times) + 2 <= self.start_settings["rules.spare_allocations"] + allowance

    def first_frame(self, now, play, number, node, took):
        self.plays[play].answered = True
        return ()

    def ended(self, now, play, number, node, how, final, took, report):
        self.play_counts[node] = max(0, self.play_counts.get(node, 0) - 1)
        state = self.plays.get(play)
        if state is None:
            return ()
        state.may_have_run = state.may_have_run or how not in NEVER_RAN
        if final or state.answered:
            self.plays.pop(play, None)
            return ()
        if state.may_have_run and self.products[state.product][1]["idempotency"] != "pure":
            return self.decline(play, state, self.products[state.product][1])
        return self.allocate(now, play)

    def resumed(
        self, now, play, product, customer, viewer, title, first_place, places, top_rung, length, node
    ):
        state = self.plays[play] = PlayState(product, now, set())
        state.answered = True
        state.nodes = [node]
        self.play_counts[node] = self.play_counts.get(node, 0) + 1
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
    """Draws two nodes that hold the title and chooses the one with fewer of this front's plays, at the
    middle rung.
    """

    def choose_node(self, nodes):
        pair = [nodes[self.random_below(len(nodes))] for _ in range(2)]
        return min(pair, key=lambda node: self.play_counts.get(node, 0))

    def choose_rung(self, product):
        return max(super().choose_rung(product), (len(self.start_settings["specifics.rung_kb"]) - 1) // 2)


class Nothing(RandomLowest):
    """Takes the nodes that hold the title in turn. Its cost is nearly that of the front without a policy."""

    def choose_node(self, nodes):
        self.draws += 1
        return nodes[self.draws % len(nodes)]
