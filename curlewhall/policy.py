"""The decision module: which playout node gets a play, at which rung, and when a play is declined.

The driver of a front makes one `Front` and calls it once for each event; calls and answers are typed and
documented in `curlewhall/interface.py`. A `Front` knows only its start settings and these calls: it has no
clock, thread or socket. All times are whole ticks of a tenth of a millisecond, all rates are kB a second.
The design is described in `docs/design.md`.
"""

from array import array
from bisect import bisect_right
from collections import deque
from zlib import crc32

TICKS_PER_SECOND = 10_000
NEVER = float("-inf")  # a time before all others

# Results of a stage of `Front.chain`.
PASS = "pass"  # go on with the next stage
KEEP = "keep"  # the play waits for a report; a later event runs the chain again
END = "end"  # the play is allocated or declined

RATE_HISTORY_TICKS = 10 * TICKS_PER_SECOND  # how long changes of rate and requests by place are kept
REPORT_VALIDITY_TICKS = 5 * TICKS_PER_SECOND  # about as long as a tenth of the plays last
REPORT_DELAY_TICKS = TICKS_PER_SECOND // 2  # reports are refreshed and delayed by fractions of a second
MAX_WINDOW_ENTRIES = (
    16_384  # of 16 bytes: more than any front's usual requests need, and little under a flood
)
CUSTOMER_WINDOW_S = 5  # about as long as a crowd takes to build up

# Some twenty times the longest restart seen. A node that returns later counts as new and is paced as such.
GONE_NODE_RETENTION_TICKS = 600 * TICKS_PER_SECOND

# Three ticks of 10 ms of the slowest driver: an allocation that starts later can't be answered in time.
MIN_ALLOCATION_TICKS = 300
FULL_NODE_PAUSE_TICKS = TICKS_PER_SECOND  # about what a load report takes to change after a refusal as full
FULL_NODE_LOADED_TICKS = 2 * TICKS_PER_SECOND  # a node that refused as full counts as loaded for so long
FAILURE_PAUSE_TICKS = 2 * TICKS_PER_SECOND  # after a first failure; doubled up to 4 times that
# Under 1 since set-ups differ in work; 0.5 came to one set-up in 3 s and declined plays needlessly.
COLD_PACE_PART = 0.75
SLICE_LOAD_THRESHOLD = 0.5  # load above which the lowest-importance product keeps to this front's slice
FILL_LIMIT = 0.9  # part of a link or uplink to fill; the rest is kept for more important products

PROBE_MIN_AGE_TICKS = 3 * TICKS_PER_SECOND  # replacing younger reports doubles the probes and gains nothing
PROBE_WAIT_TICKS = 600  # several times the answer time of a sound node
PROBE_REPORT_VALUE = 0.06  # gain of a play from its probe, in plays: 0.00 to 0.07 on six days of 200 fronts
ROOM_SEARCH_TICKS = 2 * TICKS_PER_SECOND
ROOM_SEARCH_INTERVAL_TICKS = 10 * TICKS_PER_SECOND  # of one play; doubled after each probe
ROOM_SEARCH_MAX_LOAD = 0.7
ROOM_SEARCH_LABEL = 0  # label of the wake that searches for room; other labels belong to waiting plays

SHORTAGE_VALIDITY_TICKS = 3 * TICKS_PER_SECOND  # notes of short delivery come once a second
RACK_SHORTAGE_TICKS = 10 * TICKS_PER_SECOND  # how long rungs on a rack are limited after a note
SHORT_DELIVERY = 0.98  # delivered share under which a node is short
SHORT_NODE_LOAD = 1.5  # the load of a node after a note of short delivery
SHORT_RACK_LOAD = 0.95  # the least load of the unreported nodes of its rack
FULL_LINK_LOAD = 0.95  # reported load of a full link; reports are off by a few hundredths
STEP_UP_PAUSE_TICKS = 10 * TICKS_PER_SECOND
STEP_DOWN_PAUSE_TICKS = 2 * TICKS_PER_SECOND
RUNG_SWAP_PAUSE_TICKS = 5 * TICKS_PER_SECOND
RUNG_SWAP_GAIN = 1.5  # by how much a rate must be worth more to a new play than to the one that steps down
FIRST_TIMEOUT_PART = 0.4  # of the first-frame target: two silent nodes leave time for a third
AVERAGE_LOAD_REFRESH_TICKS = 100  # little changes within 10 ms, a tick of the slowest driver


class WindowedSum:
    """Sums of the amounts added over time, for windows that end now.

    Running totals are kept by time: amounts of one moment share an entry, and a query is a binary search
    instead of a walk over all entries of a window, since thousands of plays may arrive in one second. Once
    there are `MAX_WINDOW_ENTRIES`, amounts share an entry if they are closer than `granularity`; a sum may
    then lack those that share an entry with the beginning of its window.
    """

    def __init__(self, kept_ticks: int):
        self.kept_ticks = kept_ticks
        self.granularity = 1  # ticks
        self.times = array("d", (NEVER,))
        self.totals = array("d", (0,))

    def add(self, now: int, amount: float) -> None:
        """Add an amount at `now`, which is never before an earlier call's."""
        if now - self.times[-1] >= self.granularity:
            self.make_room(now)
            self.times.append(now)
            self.totals.append(self.totals[-1])
        self.totals[-1] += amount

    def make_room(self, now: int) -> None:
        """Drop half of the entries at once, which keeps the average cost of a call low, if no window reaches
        them any more. Otherwise merge entries once there are too many.
        """
        half = len(self.times) // 2
        if half > 64 and self.times[half] < now - self.kept_ticks:
            del self.times[:half], self.totals[:half]
            self.granularity = 1
        elif len(self.times) >= MAX_WINDOW_ENTRIES:
            self.merge_entries()

    def merge_entries(self) -> None:
        """Merge entries so that twice the kept time needs half of the most entries."""
        self.granularity = 4 * self.kept_ticks / MAX_WINDOW_ENTRIES
        times, totals = self.times[:1], self.totals[:1]
        for time, total in zip(self.times[1:], self.totals[1:], strict=True):
            if time - times[-1] >= self.granularity:
                times.append(time)
                totals.append(total)
            else:
                totals[-1] = total
        self.times, self.totals = times, totals

    def sum_since(self, when: float) -> float:
        """The sum of what was added after `when`, which must lie within `kept_ticks`."""
        return self.totals[-1] - self.totals[bisect_right(self.times, when) - 1]


class Allocation:
    """One set-up at one node, from the choice of the node to its end."""

    def __init__(self, node: "Node", now: int):
        self.node = node
        self.sent_at = now
        self.pending = True  # until `ended` reports it


class Play:
    """A viewer's play, from its request to its end."""

    def __init__(
        self,
        now: int,
        product: dict,
        play: str,
        customer: str,
        viewer: str,
        title: str,
        deadline: int,
        places: list[int],
        top_rung: int,
    ):
        self.id = play
        self.product = product
        self.customer = customer
        self.viewer = viewer
        self.title = title
        self.deadline = deadline
        self.places = places  # where the nodes that hold the title stand
        self.top_rung = top_rung
        self.requested_at = now
        self.rung = self.floor = product["floor"]
        self.answered = False  # the viewer has its final answer: playing, declined, failed or gone
        self.rung_changed_at = now
        self.room_searched_at = now
        self.room_searches = 0
        self.allocations = []
        self.may_have_run = False  # an ended allocation gave no proof that nothing ran
        self.candidates = []  # nodes that have passed the stages so far
        self.sampled_nodes = []
        self.probe_sent = False  # for these sampled nodes

    def has_pending_allocation(self) -> bool:
        return bool(self.allocations) and self.allocations[-1].pending


class Node:
    """A playout node as this front knows it."""

    def __init__(self, row):
        self.id = row.node
        self.row = row
        self.plays = {}  # this front's plays there, by id
        self.rate_changes = WindowedSum(RATE_HISTORY_TICKS)  # of this front's plays there
        self.allocation_times = deque(maxlen=99)  # of this front's allocations
        self.link = 0
        self.uplink_share = 0  # the node's part of its rack's uplink, in proportion to its link
        self.max_streams = 0
        self.last_present_at = NEVER  # the last time that the list did not call it gone
        self.reported_load = 0  # link asked over link given
        self.reported_at = NEVER
        self.shortage_at = NEVER  # the last note of short delivery
        self.stepped_down_at = NEVER  # the last time that this front's plays there stepped down
        self.refused_at = NEVER  # the last refusal as full
        self.cold_since = NEVER  # from when its warm-up counts
        self.failed_at = NEVER
        self.failures = 0  # since its last first frame
        self.connection_lost = False
        self.probe_pending = False
        self.waiting_plays = []  # for its probe
        self.usage_cache = NEVER, 0, None  # time, `Front.revision`, result of `Front.usage`


class Rack:
    """The nodes that share an uplink."""

    def __init__(self):
        self.link = 1  # sum of its nodes' links
        self.rate_changes = WindowedSum(RATE_HISTORY_TICKS)
        self.reported_load = 0  # uplink asked over uplink given
        self.reported_at = NEVER
        self.shortage_at = NEVER


class Front:
    """The decisions of one instance.

    A play passes the stages of `self.chain` in order until one of them declines or allocates it. The end of
    an allocation passes the chain in reverse. A stage's method name is the key of `self.stages`, which
    metrics and the console show.
    """

    def __init__(self, now: int, seed: int, start_settings: dict):
        self.start_settings = start_settings
        self.seed = seed
        self.draws = 0  # random numbers drawn so far
        terms = {"floor": "floor_by_class", "scale": "class_scale", "seats": "seats", "top": "highest_rung"}
        self.products = {
            p["name"]: p | {t: start_settings[f"specifics.{name}"][i] for t, name in terms.items()}
            for i, p in enumerate(start_settings["products"])
        }
        self.customers = {
            c["name"]: (c["allowance_per_s"], WindowedSum(CUSTOMER_WINDOW_S * TICKS_PER_SECOND))
            for c in start_settings["customers"]
        }
        self.lowest_importance = min(p["importance"] for p in self.products.values())
        self.rung_rates = start_settings["specifics.rung_kb"]
        self.front_count = max(1, start_settings["fronts"])
        self.middle_rung = (len(self.rung_rates) - 1) // 2
        worth = start_settings["specifics.level_worth"]
        self.best_value_rung = max(range(len(worth)), key=lambda r: worth[r] / self.rung_rates[r])
        self.plays = {}
        self.nodes = {}
        self.racks = {}
        self.nodes_by_place = {}
        self.requests_by_place = {}  # None: requests for any place
        kept_ticks = max(start_settings["rules.fall"], start_settings.get("rules.look_back", 0))
        # For the budget of further allocations.
        self.requests = WindowedSum(kept_ticks)
        self.further_allocations = WindowedSum(kept_ticks)
        self.waiting_by_label = {}  # plays that wait for a probe, by the label of their wake
        self.last_label = 0
        self.average_load_cache = NEVER, 0  # time, average load
        self.revision = 0  # counts changes that may alter a node's usage
        self.stages = {}  # declines by stage
        self.answers = (
            [("wake", self.random_below(ROOM_SEARCH_TICKS), ROOM_SEARCH_LABEL)]
            if start_settings["report.how"] == "on_probe"
            else []
        )
        self.rate_changes = WindowedSum(RATE_HISTORY_TICKS)
        self.total_link = 1
        self.own_share_cache = NEVER, 1  # time, result of `own_share`
        self.fill_limits = {}  # lowered limits by product
        # Each stage, and what it does when an allocation ends.
        self.chain = [
            (self.in_time, None),
            (self.rationed, self.try_again),
            (self.holding, self.record_failure),
            (self.streaming, None),
            (self.warming, None),
            (self.capping, None),
            (self.fitting, None),
            (self.choosing_node, None),
            (self.choosing_rung, None),
            (self.allocating, self.release),
        ]

    # ---- calls of the driver, documented in interface.Front

    def listed(self, now, how, rows):
        """Take over rows of the list of nodes; new and restarted nodes count as cold."""
        changed = False
        named = {row.node for row in rows}
        self.revision += 1
        for node in list(self.nodes.values()):
            if node.row.state != "gone":
                node.last_present_at = now
            elif (
                now - node.last_present_at > GONE_NODE_RETENTION_TICKS
                and not node.plays
                and not node.waiting_plays
            ):
                # Machines are replaced under new ids for as long as a front runs: without this, memory grows.
                del self.nodes[node.id]
                changed = True
        for row in rows:
            node = self.nodes.get(row.node)
            if node is None:
                # An old list doesn't show later starts, so a node that is new to this front counts as cold.
                node = self.nodes[row.node] = Node(row)
                node.cold_since = now
                node.last_present_at = now
                changed = True
            elif row.started > node.row.started:
                node.cold_since = max(now, row.started)
                node.reported_at = NEVER
                node.connection_lost = False
            changed = changed or node.row._replace(state=row.state, started=row.started) != row
            node.row = row
        for node in self.nodes.values() if how in ("whole", "old_copy") else ():
            if node.id not in named:
                node.row = node.row._replace(state="gone")
        if changed:
            self.rebuild_topology()
        return self.take_answers()

    def rebuild_topology(self) -> None:
        """Assign nodes to racks and places and recompute link rates, after nodes were added or changed.

        Nodes that are gone keep their rack and place.
        """
        self.nodes_by_place = {}
        nodes_by_rack = {}
        streams_by_kind = dict(
            zip(self.start_settings["kinds"], self.start_settings["specifics.kind_streams"], strict=False)
        )
        for node in self.nodes.values():
            # A list may give a weight of 0. A link of 1 kB a second holds no play, and can be divided by.
            node.link = max(1, node.row.weight * self.start_settings["specifics.link_unit_kb"])
            node.max_streams = streams_by_kind.get(node.row.kind, min(streams_by_kind.values(), default=1))
            node.rack = self.racks.setdefault(
                node.row.place % max(1, self.start_settings["specifics.shelves"]), Rack()
            )
            self.nodes_by_place.setdefault(
                node.row.place % max(1, self.start_settings["specifics.places"]), []
            ).append(node)
            nodes_by_rack.setdefault(node.rack, []).append(node)
        for rack, nodes in nodes_by_rack.items():
            rack.link = sum(n.link for n in nodes)
            for node in nodes:
                node.uplink_share = max(1, self.start_settings["specifics.uplink_kb"] * node.link / rack.link)
        self.total_link = sum(rack.link for rack in nodes_by_rack) or 1

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
        """Run a new play through the chain."""
        self.requests.add(now, 1)
        if customer in self.customers and not again:
            self.customers[customer][1].add(now, 1)
        new_play = self.add_play(
            now, play, product, customer, viewer, title, limit, first_place, places, top_rung
        )
        self.run_chain(now, new_play)
        # Counted after the run: the estimate of other requests must not include this one.
        for place in (None, *new_play.places):
            self.requests_by_place.setdefault(place, WindowedSum(RATE_HISTORY_TICKS)).add(now, 1)
        return self.take_answers()

    def resumed(
        self, now, play, product, customer, viewer, title, first_place, places, top_rung, length, node
    ):
        """Add a play that was under way before this front started; a play on an unknown node is ignored."""
        if node in self.nodes:
            resumed_play = self.add_play(
                now, play, product, customer, viewer, title, now, first_place, places, top_rung
            )
            # A new front takes every node for cold; a node with a play on it had started by then.
            its_node = self.nodes[node]
            its_node.cold_since = min(its_node.cold_since, max(now, its_node.row.started))
            # A random part of the pause, so that resumed plays don't all search for room at once.
            resumed_play.room_searched_at -= self.random_below(ROOM_SEARCH_INTERVAL_TICKS)
            resumed_play.answered = True
            # This front has not changed its rung, so it may step up at once.
            resumed_play.rung_changed_at = now - STEP_UP_PAUSE_TICKS
            resumed_play.allocations.append(Allocation(its_node, now))
            its_node.plays[play] = resumed_play
        return self.take_answers()

    def first_frame(self, now, play, number, node, took):
        """Mark a play as playing and its node as sound."""
        known_play = self.plays.get(play)
        if known_play:
            known_play.answered = True
            known_play.rung_changed_at = now - STEP_UP_PAUSE_TICKS  # its first report may step it up at once
            its_node = known_play.allocations[-1].node
            its_node.cold_since = now if its_node.connection_lost else its_node.cold_since
            its_node.failures = 0
            its_node.connection_lost = False
        return self.take_answers()

    def ended(self, now, play, number, node, how, final, took, report):
        """Pass the end of an allocation through the chain in reverse, which may start another allocation."""
        known_play = self.plays.get(play)
        if node in self.nodes:
            self.apply_report(now, self.nodes[node], report)
        if known_play:
            known_play.answered = known_play.answered or final
            allocation = known_play.allocations[number]
            for _, on_end in reversed(self.chain):
                if on_end:
                    on_end(now, known_play, allocation, how)
            if known_play.answered and not known_play.has_pending_allocation():
                self.plays.pop(play, None)
        return self.take_answers()

    def note(self, now, play, number, node, kind, value):
        """Apply a note: a play's rung, short delivery at a node, or a single value of a load report."""
        if kind == "rung":
            if play in self.plays:
                self.plays[play].rung = int(value)
        elif node in self.nodes and kind == "delivered":
            self.apply_delivery(now, self.nodes[node], value)
        elif node in self.nodes:
            self.apply_report(
                now, self.nodes[node], {kind: value}, now - self.start_settings["specifics.told_late"]
            )
        return self.take_answers()

    def probed(self, now, node, how, took, report):
        """Apply the report of a probe and run the plays that waited for it."""
        known_node = self.nodes.get(node)
        if known_node:
            known_node.probe_pending = False
            if how == "ok":
                self.apply_report(now, known_node, report)
            waiting_plays = known_node.waiting_plays
            known_node.waiting_plays = []
            for play in waiting_plays:
                self.run_chain(now, play)
        return self.take_answers()

    def told(self, now, peer, body):
        """Messages of other instances are not used."""
        return self.take_answers()

    def thinned(self, now, parts):
        """Set the lowered fill limits by product."""
        self.fill_limits = parts
        return self.take_answers()

    def wake(self, now, label):
        """Search for room, or run a play whose probe was not answered in time."""
        if label == ROOM_SEARCH_LABEL:
            self.search_for_room(now)
        elif label in self.waiting_by_label:
            self.run_chain(now, self.waiting_by_label.pop(label))
        return self.take_answers()

    def left(self, now, play):
        """Mark a play as answered; it is kept until its pending allocation has ended."""
        known_play = self.plays.get(play)
        if known_play:
            known_play.answered = True
            if not known_play.has_pending_allocation():
                self.plays.pop(play)
        return self.take_answers()

    def has_room(self, now, play, product, customer, viewer, title, first_place, places, top_rung):
        """Whether a play under way would get a node if it were moved now; changes no state.

        Runs the stages that an ended and repeated play would pass: a play that is ended and then declined is
        a viewer lost.
        """
        current = self.plays.get(play)
        draws = self.draws
        deadline = now + TICKS_PER_SECOND
        if current:
            current.title = None  # its own seat would be free by then
        trial = self.add_play(
            now, "", product, customer, viewer, title, deadline, first_place, places, top_rung
        )
        stages = (self.holding, self.streaming, self.warming, self.capping, self.fitting)
        try:
            return all(stage(now, trial) is PASS for stage in stages)
        finally:  # restores the state also where a stage raises
            if current:
                current.title = title
            self.plays.pop("", None)
            self.draws = draws
            self.answers = []

    # ---- the chain

    def run_chain(self, now: int, play: Play) -> None:
        """Run a play through the stages until one of them does not return PASS."""
        # Probes, wakes and ends may all call for the same play; it must never have two allocations pending.
        if play.answered or play.has_pending_allocation():
            return
        for stage, _ in self.chain:
            if stage(now, play) is not PASS:
                if play.answered:
                    self.stages[stage.__name__] = self.stages.get(stage.__name__, 0) + 1
                return

    def in_time(self, now: int, play: Play) -> str:
        """Decline a play whose time limit leaves no time for an allocation."""
        return PASS if play.deadline - now > MIN_ALLOCATION_TICKS else self.decline(play)

    def rationed(self, now: int, play: Play) -> str:
        """Decline a further allocation that the play or the budget does not allow.

        A play that is not idempotent gets no further allocation once an earlier one may have run.
        """
        tried = len(play.allocations)
        share = self.start_settings.get("rules.extra_per_request")
        unrepeatable = play.may_have_run and play.product["idempotency"] != "pure"
        if tried and (unrepeatable or tried >= self.start_settings["permissions.max_allocations"]):
            return self.decline(play)
        if tried and share is not None:
            window_start = now - self.start_settings["rules.look_back"]
            # The platform's window and this one may differ by a tick at either end, so the oldest second of
            # requests is left out and one allocation is kept back.
            requests = self.requests.sum_since(window_start + TICKS_PER_SECOND)
            if (
                self.further_allocations.sum_since(window_start) + 1
                > self.start_settings.get("rules.spare_allocations", 0) + share * requests
            ):
                return self.decline(play)
        return PASS

    def try_again(self, now: int, play: Play, allocation: Allocation, how: str) -> None:
        """Run a play without a final answer again, when its allocation has ended."""
        if not play.answered:
            play.sampled_nodes = []
            self.run_chain(now, play)

    def holding(self, now: int, play: Play) -> str:
        """Find the nodes that hold the title and serve, without those tried or suspect if others are left."""
        serving = [
            n for place in play.places for n in self.nodes_by_place.get(place, ()) if n.row.state == "serving"
        ]
        untried = [n for n in serving if n not in [a.node for a in play.allocations]]
        play.candidates = [n for n in untried if not self.is_suspect(now, n, play)] or untried or serving
        return PASS if play.candidates else self.decline(play)

    def record_failure(self, now: int, play: Play, allocation: Allocation, how: str) -> None:
        """Record what the end of an allocation tells of its node's health."""
        node = allocation.node
        if how == "full":
            node.refused_at = now
        elif how in ("late", "error", "broken", "unreached"):
            node.failures = node.failures + 1
            node.failed_at = now
        if how in ("broken", "unreached"):
            # The process may be down and return cold long before the list says so.
            node.connection_lost = True
            node.cold_since = now

    def is_suspect(self, now: int, node: Node, play: Play):
        """Whether set-ups at a node failed lately, or one is pending for far longer than set-ups take."""
        setting_up = [p for p in node.plays.values() if not p.answered]
        late = any(now - p.allocations[-1].sent_at > self.allocation_timeout(p) // 2 for p in setting_up)
        if late or not node.failures:
            return late
        # After the pause the node is tested with one idempotent set-up at a time.
        pause = FAILURE_PAUSE_TICKS * 2 ** min(2, node.failures - 1)
        return now - node.failed_at < pause or setting_up or play.product["idempotency"] != "pure"

    def streaming(self, now: int, play: Play) -> str:
        """Check the product's seats on a title, and the nodes' most streams against this front's plays."""
        seats = play.product["seats"]
        if (
            seats
            and sum(
                p.title == play.title and p.product is play.product and bool(p.allocations)
                for p in self.plays.values()
            )
            >= seats
        ):
            return self.decline(play)
        play.candidates = [
            n
            for n in play.candidates
            if len(n.plays) < n.max_streams and now - n.refused_at >= FULL_NODE_PAUSE_TICKS
        ]
        return PASS if play.candidates else self.decline(play)

    def warming(self, now: int, play: Play) -> str:
        """Limit this front's set-ups at nodes that may be cold to its share of the pace that they bear."""
        warm_up = self.start_settings["rules.warm_within"]
        window = self.start_settings["rules.fall"]
        # Set-ups within the window that a cold node bears from all fronts, for each of its streams.
        pace = (
            COLD_PACE_PART
            * self.start_settings["rules.overload_factor"]
            * self.start_settings["rules.start_capacity"]
            * window
            / warm_up
        )
        play.candidates = [
            n
            for n in play.candidates
            if (not n.connection_lost and now - n.cold_since >= warm_up)
            or (
                sum(at > now - window for at in n.allocation_times)
                < max(1, int(pace * n.max_streams / self.front_count))
                and self.random_below(1000) * self.expected_plays(now, n, play, warm_up, window)
                < 1000 * pace * n.max_streams
            )
        ]
        return PASS if play.candidates else self.decline(play)

    def expected_plays(self, now: int, node: Node, play: Play, warm_up: int, window: int) -> float:
        """How many plays of all fronts may come to a node within the window; each samples two holders."""
        # A title in high demand whose other holders are full brings a hundred fronts to one node. A single
        # front sees few requests, so they are counted by place over 10 s, two evenly spread requests are
        # added, and one more where the window holds more than usual.
        place_count = max(1, self.start_settings["specifics.places"])
        history = RATE_HISTORY_TICKS
        recent = self.requests.sum_since(now - window)
        if not node.connection_lost and (not node.row.started or now - node.row.started >= warm_up):
            # The node is new to this front only, not cold: requests are spread evenly.
            return 2 * recent / self.own_share(now) / len(self.nodes)
        everywhere, here = (
            self.requests_by_place[place].sum_since(now - history) if place in self.requests_by_place else 0
            for place in (None, node.row.place % place_count)
        )
        usual = everywhere * window / history
        part = (here + 2 * len(play.places) / place_count) / (everywhere + 2)
        return (
            max(recent + (recent > 1 + usual), usual)
            * part
            * min(1, 2 / len(play.candidates))
            / self.own_share(now)
        )

    def capping(self, now: int, play: Play) -> str:
        """Keep plays beyond a customer's share off loaded nodes.

        On a loaded node, lowest-importance plays get only this front's slice of its streams.
        """
        threshold = SLICE_LOAD_THRESHOLD
        over = self.exceeds_customer_share(now, play)
        if over or play.product["importance"] <= self.lowest_importance:
            loaded = [
                n
                for n in play.candidates
                if self.load(now, n) > threshold or now - n.refused_at < FULL_NODE_LOADED_TICKS
            ]
            play.candidates = [
                n
                for n in play.candidates
                if n not in loaded
                or not over
                and sum(p.product["importance"] <= self.lowest_importance for p in n.plays.values())
                < threshold * n.max_streams / self.front_count
            ]
        return PASS if play.candidates else self.decline(play)

    def exceeds_customer_share(self, now: int, play: Play) -> bool:
        """Whether the play's customer asks for more than its share and this viewer is beyond the share."""
        # A customer's crowd, worth little beyond its share, would stall every play. The viewers to turn away
        # are chosen by a hash of their ids, so that all fronts choose the same ones, also when they return.
        allowance, requests = self.customers.get(play.customer, (0, None))
        count = requests.sum_since(now - CUSTOMER_WINDOW_S * TICKS_PER_SECOND) if requests else 0
        # Twice the share, plus one since it is given in whole plays a second, is surely a crowd. One standard
        # deviation is subtracted from the count, since a single front sees few requests.
        limit = 2 * allowance + 1
        seen = (count - count**0.5) / CUSTOMER_WINDOW_S / self.own_share(now)
        return seen > limit and crc32(play.viewer.encode()) % 1000 >= 1000 * limit / seen

    def fitting(self, now: int, play: Play) -> str:
        """Pass over nodes whose reported room does not hold the rung of the best value for its rate."""
        # One play too many stalls all plays on a link or uplink; at 85% delivered they are worth nothing.
        # This covers sagging links, other users of a link, heavy titles and crowds alike.
        needed = self.rate(play, max(play.floor, min(play.top_rung, self.best_value_rung)))
        limit = 1 if play.product["importance"] > self.lowest_importance else FILL_LIMIT
        limit = min(limit, self.fill_limits.get(play.product["name"], 1))  # lowered while a site is lost
        # Fronts with few reports would flood the unreported nodes, so these count as loaded as the average.
        play.candidates = [
            n
            for n in play.candidates
            if self.room(now, n, limit)[0] >= needed
            and (now - n.reported_at <= REPORT_VALIDITY_TICKS or self.load(now, n) < limit)
        ]
        # Traffic between zones has a price: nodes of the own zone are preferred while one has load under 1.
        same_zone = [
            n for n in play.candidates if n.row.zone == self.start_settings["zone"] and self.load(now, n) < 1
        ]
        play.candidates = same_zone or play.candidates
        return PASS if play.candidates else self.decline(play)

    def choosing_node(self, now: int, play: Play) -> str:
        """Choose the less loaded of two nodes sampled at random, after a probe where that is worth it."""
        if not play.sampled_nodes or not all(n in play.candidates for n in play.sampled_nodes):
            first = play.candidates[self.random_below(len(play.candidates))]
            others = [n for n in play.candidates if n is not first]
            play.sampled_nodes = [first] + ([others[self.random_below(len(others))]] if others else [])
            play.probe_sent = False
        node = min(play.sampled_nodes, key=lambda n: self.load(now, n))
        # Probing both sampled nodes gains nothing.
        due = not play.probe_sent and now - node.reported_at > PROBE_MIN_AGE_TICKS
        if self.start_settings["report.how"] == "on_probe" and due and self.probe_pays(now):
            play.probe_sent = True
            node.waiting_plays.append(play)
            self.send_probe(node)
            self.last_label += 1
            self.waiting_by_label[self.last_label] = play
            self.answers.append(("wake", PROBE_WAIT_TICKS, self.last_label))
            return KEEP
        play.candidates = [node]
        return PASS

    def probe_pays(self, now: int) -> bool:
        """Whether a report is worth its probe to the plays placed at a node while the report is young."""
        # Hundreds of fronts that each probe for a single play would pay more than the reports are worth.
        plays_per_node = self.requests.sum_since(now - PROBE_MIN_AGE_TICKS) / max(1, len(self.nodes))
        return self.start_settings.get("costs.probe", 0) <= PROBE_REPORT_VALUE * max(1, plays_per_node)

    def choosing_rung(self, now: int, play: Play) -> str:
        """Choose the highest rung that fits the room, the middle one at most where a report is missing.

        Up to the middle rung, this front's other plays on the node step down where their rate is worth
        `RUNG_SWAP_GAIN` times as much to the new play.
        """
        node = play.candidates[0]
        room, reported = self.room(now, play.candidates[0])
        rungs = range(play.floor, self.highest_rung(now, play, node, reported) + 1)
        play.rung = max([play.floor] + [r for r in rungs if self.rate(play, r) <= room])
        while play.rung < min(play.top_rung, self.middle_rung):
            needed = self.rate(play, play.rung + 1) - self.rate(play, play.rung)
            others = [
                p
                for p in node.plays.values()
                if p.answered
                and p.rung > p.floor
                and now - p.rung_changed_at > RUNG_SWAP_PAUSE_TICKS
                and self.rate_saved(p) >= needed
            ]
            other = min(others, key=lambda p: self.worth_lost(p) / self.rate_saved(p), default=None)
            if (
                not other
                or RUNG_SWAP_GAIN * self.worth_lost(other) / self.rate_saved(other)
                > self.worth_lost(play, play.rung + 1) / needed
            ):
                return PASS
            self.set_rung(now, other, other.rung - 1)
            play.rung += 1
        return PASS

    def allocating(self, now: int, play: Play) -> str:
        """Record the allocation and answer with it."""
        node = play.candidates[0]
        if play.allocations:
            self.further_allocations.add(now, 1)
        play.sampled_nodes = []
        node.plays[play.id] = play
        play.allocations.append(Allocation(node, now))
        node.allocation_times.append(now)
        self.record_rate_change(now, node, self.rate(play, play.rung))
        timeout = min(play.deadline - now, self.allocation_timeout(play))
        self.answers += [("rung", play.id, play.rung), ("allocate", play.id, node.id, timeout)]
        return END

    def release(self, now: int, play: Play, allocation: Allocation, how: str) -> None:
        """Take an ended allocation off its node, before the other stages see its end."""
        allocation.pending = False
        play.may_have_run = play.may_have_run or how not in ("full", "unreached", "not_sent")
        if allocation.node.plays.pop(play.id, None):
            self.record_rate_change(now, allocation.node, -self.rate(play, play.rung))

    # ---- room, reports, and rungs of plays under way

    def rate(self, play: Play, rung: int) -> float:
        """The rate of a play at a rung."""
        return self.rung_rates[rung] * play.product["scale"]

    def total_rate(self, plays: dict[str, Play]) -> float:
        return sum(self.rate(p, p.rung) for p in plays.values())

    def record_rate_change(self, now: int, node: Node, rate: float) -> None:
        """Count a change in the rate of this front's plays on a node: for it, its rack and the fleet."""
        self.revision += 1
        for changes in (node.rate_changes, node.rack.rate_changes, self.rate_changes):
            changes.add(now, rate)

    def change_since(self, now: int, place: Node | Rack, when: float) -> float:
        """By what the usage of a node or rack has changed since a report at `when`, by all fronts."""
        # In a surge every front places into the same room before any report shows it. The other fronts are
        # assumed to have placed as this one, each in proportion to its share, over the whole fleet.
        own = place.rate_changes.sum_since(when)
        fleet_wide = self.rate_changes.sum_since(when)
        return own + max(0, fleet_wide) * (1 / self.own_share(now) - 1) * place.link / self.total_link

    def own_share(self, now: int) -> float:
        """This front's share (0 to 1) of the rate that all fronts ask of the fleet; updated once a second."""
        if now - self.own_share_cache[0] >= TICKS_PER_SECOND:
            even = 1 / self.front_count
            oldest = now - REPORT_VALIDITY_TICKS
            reported = [n for n in self.nodes.values() if n.reported_at >= oldest]
            total = (
                sum(n.reported_load * n.link for n in reported)
                * self.total_link
                / (sum(n.link for n in reported) or 1)
            )
            # Viewers are spread unevenly over the fronts, but a front has few plays to estimate that from:
            # the even share and the estimate have equal weight.
            self.own_share_cache = (
                now,
                min(1, (even + self.total_rate(self.plays) / total) / 2) if total else even,
            )
        return self.own_share_cache[1]

    def apply_report(self, now: int, node: Node, report: dict[str, float], when: int | None = None) -> None:
        """Record a load report, measured at `when`, and step plays up where it shows room."""
        self.revision += 1
        when = now - REPORT_DELAY_TICKS if when is None else when
        if "link_asked" in report or "link_share" in report:
            # A report under 0, from a node that counts wrongly, would make `own_share` negative.
            node.reported_load = max(0, report.get("link_asked", report.get("link_share")))
            node.reported_at = when
        if "uplink_asked" in report:
            node.rack.reported_load = max(0, report["uplink_asked"])
            node.rack.reported_at = when
        if report:
            self.step_up(now, node)

    def usage(self, now: int, node: Node) -> tuple[float, float] | None:
        """Rates in use of a node's link and of its uplink share; None without a valid report.

        Cached until something changes, since several stages ask for the same nodes in one moment.
        """
        if node.usage_cache[0] != now or node.usage_cache[1] != self.revision:
            node.usage_cache = now, self.revision, self.compute_usage(now, node)
        return node.usage_cache[2]

    def compute_usage(self, now: int, node: Node) -> tuple[float, float] | None:
        """The reported usage plus the estimated changes since the report."""
        oldest = now - REPORT_VALIDITY_TICKS
        rack = node.rack
        uplink = 0
        if node.reported_at < oldest:
            return None
        if rack.reported_at >= oldest:
            uplink = rack.reported_load * self.start_settings["specifics.uplink_kb"] + self.change_since(
                now, rack, rack.reported_at
            )
        return (
            node.reported_load * node.link + self.change_since(now, node, node.reported_at),
            uplink * node.link / rack.link,
        )

    def room(self, now: int, node: Node, limit: float = FILL_LIMIT) -> tuple[float, bool]:
        """The rate that a node can still take up to the limit, and whether that rests on a report.

        Without a report only this front's own plays are subtracted.
        """
        usage = self.usage(now, node)
        if usage is None:
            return min(node.link, node.uplink_share) - self.total_rate(node.plays), False
        return min(limit * node.link - usage[0], limit * node.uplink_share - usage[1]), True

    def load(self, now: int, node: Node) -> float:
        """The part of a node's link or uplink share in use; a node without a report counts as average."""
        # A shortage expires by itself: the note that ends it goes to plays on the node, and this front may
        # have none there any more.
        if now - node.shortage_at < SHORTAGE_VALIDITY_TICKS:
            return SHORT_NODE_LOAD
        usage = self.usage(now, node)
        if usage is not None:
            return max(usage[0] / node.link, usage[1] / node.uplink_share)
        if now - self.average_load_cache[0] >= AVERAGE_LOAD_REFRESH_TICKS:
            loads = [
                self.load(now, n) for n in self.nodes.values() if now - n.reported_at <= REPORT_VALIDITY_TICKS
            ]
            # Two half-full nodes are added, so that few reports don't decide alone.
            self.average_load_cache = now, (sum(loads) + 1) / (len(loads) + 2)
        # A sagging uplink that nobody reports would go unnoticed: a shortage note keeps the lowest-importance
        # product off all unreported nodes of the rack.
        return max(
            self.average_load_cache[1],
            SHORT_RACK_LOAD if now - node.rack.shortage_at < SHORTAGE_VALIDITY_TICKS else 0,
        )

    def apply_delivery(self, now: int, node: Node, delivered: float) -> None:
        """Step this front's plays on a node down one rung when it delivers less than was asked (1: all)."""
        node.shortage_at = now if delivered < SHORT_DELIVERY else NEVER
        # Notes tell of a time gone by, so the pause runs from when one could first tell of the last steps.
        if (
            delivered >= SHORT_DELIVERY
            or now - node.stepped_down_at < STEP_DOWN_PAUSE_TICKS + self.start_settings["specifics.told_late"]
        ):
            return
        node.stepped_down_at = now
        surplus = float("inf")
        plays = [p for p in node.plays.values() if p.answered and p.rung > p.floor]
        # The paper's network never blocks, but a rack's uplink does. Unless the node's own link is reported
        # full, all nodes of the rack get the note at once. Then only as many plays step down as cover this
        # front's part of the shortage, those that lose the least worth for the rate saved first.
        if now - node.reported_at > REPORT_VALIDITY_TICKS or node.reported_load < FULL_LINK_LOAD:
            plays.sort(key=lambda p: self.worth_lost(p) / self.rate_saved(p))
            node.rack.shortage_at = now if node.rack.reported_at == NEVER else NEVER
            surplus = self.total_rate(node.plays) * (1 - 0.95 * delivered)
        # Many fronts with a play or two each would all step down, and few would step up again. So the last
        # step is taken with 1.5 times (1000/667) the odds that cover the shortage: 1 lets the shortage go on
        # too long, 2 wastes rungs.
        for play in plays:
            if self.random_below(667) * self.rate_saved(play) < 1000 * surplus:
                surplus -= self.rate_saved(play)
                self.set_rung(now, play, play.rung - 1)

    def worth_lost(self, play: Play, rung: int | None = None) -> float:
        """By what a second at `rung` (None: the play's own) is worth more than one at the next rung down."""
        worth = self.start_settings["specifics.level_worth"]
        rung = play.rung if rung is None else rung
        return play.product["importance"] * (worth[rung] - worth[rung - 1])

    def rate_saved(self, play: Play) -> float:
        """The rate that the next rung down saves."""
        return self.rate(play, play.rung) - self.rate(play, play.rung - 1)

    def step_up(self, now: int, node: Node) -> None:
        """Step this front's plays on a node up one rung where there is room for it.

        Not before a pause since the node's last shortage or step down, and the play's last step.
        """
        # All fronts learn of the same room at once. Each play steps with the probability at which all plays
        # on the node, of whichever front, would fill the room if they stepped like this one.
        pause = STEP_UP_PAUSE_TICKS
        usage = self.usage(now, node)
        if usage is None or now - max(node.shortage_at, node.stepped_down_at) < pause:
            return
        link = max(usage[0], 1)
        uplink = max(usage[1], 1 if node.rack.reported_at > NEVER else usage[0], 1)
        spare = min(FILL_LIMIT * node.link / link, FILL_LIMIT * node.uplink_share / uplink) - 1
        for play in node.plays.values():
            if (
                play.answered
                and play.rung < self.highest_rung(now, play, node)
                and now - play.rung_changed_at >= pause
            ):
                step = self.rate(play, play.rung + 1) - self.rate(play, play.rung)
                odds = spare * self.rate(play, play.rung) / step
                if step <= spare * min(link, uplink) and self.random_below(1000) < 1000 * odds:
                    self.set_rung(now, play, play.rung + 1)

    def highest_rung(self, now: int, play: Play, node: Node, reported: bool = True) -> int:
        """The viewer's highest rung; the middle one where the node or its uplink is not reported."""
        highest = play.top_rung if reported and node.rack.reported_at > NEVER else self.middle_rung
        # An unreported uplink fills unnoticed: for a while after a shortage, and while a site is lost, the
        # highest is the rung of the best value for its rate.
        highest = (
            self.best_value_rung
            if self.fill_limits or now - node.rack.shortage_at < RACK_SHORTAGE_TICKS
            else highest
        )
        return min(play.top_rung, max(play.floor, highest))

    def search_for_room(self, now: int) -> None:
        """Probe the nodes of plays that could step up, each play at doubling intervals.

        Used where nodes report only when probed.
        """
        for play in [p for p in self.plays.values() if p.answered and p.allocations]:
            node = play.allocations[-1].node
            due = play.room_searched_at + ROOM_SEARCH_INTERVAL_TICKS * 2**play.room_searches
            if (
                now >= due
                and play.rung < self.highest_rung(now, play, node)
                and self.load(now, node) < ROOM_SEARCH_MAX_LOAD
            ):
                play.room_searched_at = now
                play.room_searches = play.room_searches + 1
                self.send_probe(node)
        self.answers.append(("wake", ROOM_SEARCH_TICKS, ROOM_SEARCH_LABEL))

    def set_rung(self, now: int, play: Play, rung: int) -> None:
        """Change the rung of a play under way."""
        self.record_rate_change(
            now, play.allocations[-1].node, self.rate(play, rung) - self.rate(play, play.rung)
        )
        play.rung = rung
        play.rung_changed_at = now
        self.answers.append(("rung", play.id, rung))

    # ---- small helpers

    def add_play(self, now, play, product, customer, viewer, title, limit, first_place, places, top_rung):
        """The play of that id, new if there is none."""
        place_count = max(1, self.start_settings["specifics.places"])
        terms = self.products[product]
        its_places = [(first_place + i) % place_count for i in range(min(places, place_count))]
        top_rung = max(terms["floor"], min(top_rung, terms["top"], len(self.rung_rates) - 1))
        return self.plays.setdefault(
            play, Play(now, terms, play, customer, viewer, title, limit, its_places, top_rung)
        )

    def take_answers(self) -> list[tuple]:
        """Return the collected answers and start anew."""
        answers, self.answers = self.answers, []
        return answers

    def random_below(self, bound: int) -> int:
        """The next number of the seeded sequence, at least 0 and less than `bound`."""
        self.draws += 1
        return crc32(f"{self.seed}:{self.draws}".encode()) % bound

    def allocation_timeout(self, play: Play) -> int:
        """How long an allocation may take: all the play's time if it is the last one or can't be repeated."""
        last = len(play.allocations) >= self.start_settings["permissions.max_allocations"]
        only = last or play.product["idempotency"] != "pure"
        return (
            play.deadline - play.requested_at
            if only
            else int(FIRST_TIMEOUT_PART * play.product["first_frame_target"])
        )

    def send_probe(self, node: Node) -> None:
        """Probe a node, where probes are permitted and none is pending there."""
        if self.start_settings["permissions.probes"] and not node.probe_pending:
            node.probe_pending = True
            self.answers.append(("probe", node.id))

    def decline(self, play: Play) -> str:
        """Answer a play that gets no node: declined, or failed if it may have run and is not idempotent."""
        play.answered = True
        self.plays.pop(play.id, None)
        if play.may_have_run and play.product["idempotency"] != "pure":
            self.answers.append(("fail", play.id))
        else:
            retry_after = (
                self.start_settings["permissions.max_retry_after"]
                if self.start_settings["permissions.retry_after"]
                else 0
            )
            self.answers.append(("decline", play.id, retry_after))
        return END
