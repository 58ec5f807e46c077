"""Simulation of the loss of a site, with a virtual clock.

Each front consists of the program's own driver, decision module, list follower and site monitor; nodes,
viewers and the links between fronts are models.

    python -m bench.sites_sim [SEEDS]      writes bench/results/sites-sim.md, .json and .png

One of three zones is killed at once and comes back cold. Variants: `before` runs without `sites/`; `sites` is
the program as it is; `alone` runs without reports from peers; `knows` learns of the loss at once.
`bench/sites.py` measures the same over sockets. Times are in seconds.
"""

import heapq
import json
import random
import sys
import tempfile
import time
from collections import Counter, defaultdict
from concurrent.futures import ProcessPoolExecutor
from itertools import count
from pathlib import Path
from types import SimpleNamespace

from curlewhall.drills.fleet import make_plan, settings
from curlewhall.front.driver import ActivePlay, Clock, Driver
from curlewhall.front.list_follower import ListFollower
from curlewhall.policy import Front
from curlewhall.relay.null_objects import NoMoves
from curlewhall.settings import parse, start_settings
from curlewhall.sites.null_objects import NoSites
from curlewhall.sites.run import SiteMonitor, site_number
from curlewhall.standins.model import NodeModel, Rack, hash_fraction
from curlewhall.wire import forms

RUN_S, LOSS_S, RETURN_S = 60.0, 20.0, 35.0  # length of a run; when the site is killed, and returns
ZONES = ("north", "south", "east")
SIZES = ((14, 3), (57, 8), (57, 64), (170, 64), (170, 200))
VARIANTS = ("before", "sites", "alone", "knows")
LOAD_FACTOR = 2.0  # times the plan's request rate
OBEY_SHARE = 0.8  # of the viewers, who wait as long as a refusal tells them
REPORT_LOSS = 0.1  # share of the reports between fronts that is lost
BIN_S = 2.0  # resolution of the results
REPORT_HEADER_BYTES = 41
REPORT_ROW_BYTES = 7
TICKS_PER_SECOND = 10_000


class NoLog:
    """A log that discards everything."""

    def info(self, text, **facts): ...

    warning = error = exception = info


class Timer:
    """A scheduled call of the virtual clock."""

    __slots__ = ("call",)

    def __init__(self, call):
        self.call = call

    def cancel(self):
        self.call = None


class World:
    """The virtual clock, the nodes and the viewers."""

    def __init__(self, seed, nodes, fronts, variant):
        self.now = 1000.0
        self.heap = []
        self.order = count()
        self.begin = self.now
        self.rng = random.Random(f"sites {seed}")
        self.variant = variant
        plan = self.plan = make_plan(seed, nodes, 1, RUN_S, Path(tempfile.gettempdir()), ZONES)
        self.racks = [Rack(uplink) for uplink in plan["uplinks"]]
        self.nodes = {spec["node"]: Node(self, spec) for spec in plan["nodes"]}
        self.titles = {t["title"]: forms.Title(**t) for t in plan["titles"]}
        self.outcomes = defaultdict(Counter)  # (bin, product) -> requests of that time by their outcome
        self.requests = Counter()  # by second
        self.crashes = 0  # of nodes under overload
        self.report_bytes = Counter()  # by (second, front)
        self.plan_times = {}  # front -> when its plan for the loss was in force
        (folder := Path(tempfile.mkdtemp())).joinpath("key").write_bytes(b"k" * 32)
        folder.joinpath("key").chmod(0o600)
        plan["key_file"] = str(folder / "key")
        front_settings = start_settings(parse(settings(plan, 0)))
        self.fronts = [
            SimulatedFront(
                self,
                i,
                front_settings | {"fronts": fronts, "own_index": i, "zone": ZONES[i % len(ZONES)]},
                seed,
            )
            for i in range(fronts)
        ]
        weights = [self.rng.uniform(0.5, 1.5) for _ in range(fronts)]
        self.front_weights = [weight / sum(weights) for weight in weights]

    # ---- the clock

    def after(self, delay, call, *arguments):
        """Call `call` after `delay` seconds; returns the timer, which can be cancelled."""
        timer = Timer(call)
        heapq.heappush(self.heap, (self.now + max(0.0, delay), next(self.order), timer, arguments))
        return timer

    def run(self):
        """Run until the end of the simulated time."""
        while self.heap and self.heap[0][0] <= self.begin + RUN_S:
            self.now, _, timer, arguments = heapq.heappop(self.heap)
            if timer.call is not None:
                timer.call(*arguments)

    @property
    def elapsed(self):
        """Seconds since the start of the run."""
        return self.now - self.begin

    # ---- viewers

    def arrive(self):
        """Add a viewer, and schedule the next one."""
        rate = self.plan["crowd"]["rate"] * LOAD_FACTOR
        self.after(self.rng.expovariate(rate), self.arrive)
        rng, plan = self.rng, self.plan
        product = rng.choices(plan["products"], [p["share"] for p in plan["products"]])[0]
        title = rng.choices(plan["titles"], [1 / (i + 1) ** 0.8 for i in range(len(plan["titles"]))])[0]
        name = f"v{next(self.order)}"
        self.request_play(
            SimpleNamespace(
                name=name,
                product=product,
                title=title["title"],
                left=rng.uniform(*product["life"]),
                tries=3,
                customer=rng.choices(plan["customers"], [c["share"] for c in plan["customers"]])[0]["name"],
                obeys=rng.random() < OBEY_SHARE,
                again=False,
            )
        )

    def request_play(self, who):
        """A viewer requests a play from a random front."""
        self.requests[int(self.elapsed)] += 1
        self.outcomes[int(self.elapsed // BIN_S), who.product["name"]]["asked"] += 1
        who.bin = int(self.elapsed // BIN_S)
        front = self.rng.choices(self.fronts, self.front_weights)[0]
        front.handle_request(who)

    def request_answered(self, who, outcome, retry_after=0.0):
        """Count a viewer's answer; one that is not served may retry."""
        self.outcomes[who.bin, who.product["name"]][outcome] += 1
        if outcome != "served":
            self.retry(who, retry_after)

    def retry(self, who, retry_after=0.0):
        """A viewer requests a play again, after the front's delay or after a random pause, or gives up."""
        if who.tries and who.left > 0.5 and self.rng.random() < 0.9:
            who.tries, who.again = who.tries - 1, True
            pause = self.rng.uniform(0.7, 2.5)
            self.after(
                retry_after * self.rng.uniform(0.98, 1.02) if retry_after and who.obeys else pause,
                self.request_play,
                who,
            )

    # ---- loss and return of the site

    def publish(self, nodes, state):
        """Nodes have changed their state: all fronts get the change from the list service, with a lag."""
        rows = [node.row(state) for node in nodes]
        self.after(self.rng.uniform(0.2, 1.0), lambda: [front.changes(rows) for front in self.fronts])

    def lose(self, zone):
        """Kill all nodes of a zone."""
        lost = [node for node in self.nodes.values() if node.spec["zone"] == zone]
        for node in lost:
            node.die()
        self.publish(lost, "gone")
        if self.variant == "knows":
            for front in self.fronts:
                for node in lost:
                    front.driver.sites.node_contact(node.name, "refused")
                for peer in [p for p in range(len(self.fronts)) if p != front.index][:2]:
                    front.driver.sites.handle_peer_report(
                        peer, (SimpleNamespace(index=site_number(zone), state=1, incarnation=0),)
                    )

    def restore(self, zone):
        """Start all nodes of a zone again."""
        returned = [node for node in self.nodes.values() if node.spec["zone"] == zone]
        for node in returned:
            node.start()
        self.publish(returned, "serving")


class Node:
    """A node: its capacity model and its plays."""

    def __init__(self, world, spec):
        self.world = world
        self.spec = spec
        self.name = spec["node"]
        self.up = True
        self.started_ms = 0
        self.model = self.make_model(True)
        self.plays = {}  # play -> (front, active play, viewer, rate)
        world.after(hash_fraction(self.name, "tick"), self.tick)
        world.after(2 * hash_fraction(self.name, "load"), self.send_load)

    def make_model(self, warm):
        """A new capacity model, in place of this node's former one in its rack."""
        rack = self.world.racks[self.spec["place"] % len(self.world.racks)]
        rack.nodes[:] = [m for m in rack.nodes if m.name != self.name]
        return NodeModel(
            self.name,
            rack,
            self.spec["link"],
            self.spec["streams"],
            self.world.plan["rules"],
            self.world.now,
            warm,
        )

    def row(self, state):
        """The node's entry in the list."""
        return forms.Row(
            self.name,
            "127.0.0.1",
            1,
            self.spec["place"],
            self.spec["zone"],
            "box",
            state,
            1.0,
            self.started_ms,
        )

    def die(self, crashed=False):
        """The node fails; `crashed`: under overload, so that the list doesn't know of it yet."""
        self.up, plays, self.plays = False, self.plays, {}
        self.model.demand = 0.0
        self.model.rack.nodes[:] = [m for m in self.model.rack.nodes if m is not self.model]
        for front in self.world.fronts:
            self.world.after(self.world.rng.uniform(0.001, 0.01), front.stream_broken, self.name)
        for _, _, who, _ in plays.values():
            self.world.retry(who)
        if crashed:
            self.world.crashes += 1
            self.world.publish([self], "gone")

    def start(self):
        """Start again, cold."""
        self.up, self.model = True, self.make_model(False)
        self.started_ms = int(time.time() * 1000) + int(1000 * self.world.elapsed)

    def update_rate(self, play, rate):
        """Set the rate of a play."""
        front, active_play, who, old_rate = self.plays[play]
        self.model.demand += rate - old_rate
        self.plays[play] = front, active_play, who, rate

    def end(self, play):
        """End a play."""
        self.model.demand = max(0.0, self.model.demand - self.plays.pop(play)[3])

    def tick(self):
        """Once a second: contact all fronts, and send the share delivered while it is short."""
        self.world.after(1.0, self.tick)
        if not self.up:
            return
        for front in self.world.fronts:
            front.driver.sites.node_contact(self.name, "spoke")
        share = self.model.share(self.world.now)
        if share < 0.98:
            self.send_note("delivered", share)

    def send_load(self):
        """Every two seconds: send the load of the link and of the uplink."""
        self.world.after(2.0, self.send_load)
        if self.up:
            self.send_note("link_asked", self.model.load(self.world.now))
            self.send_note("uplink_asked", self.model.rack.load())

    def send_note(self, kind, value):
        """Send a value of the node to each front with plays here, as a note about one of them."""
        notified = set()
        for play, (front, _, _, _) in list(self.plays.items()):
            if front not in notified:
                notified.add(front)
                self.world.after(0.7, front.driver.play_noted, play, self.name, kind, value)

    def report(self):
        """The load report."""
        link_load = self.model.load(self.world.now)
        return {"link_asked": link_load, "uplink_asked": self.model.rack.load()}


class SetUp:
    """A set-up at a node that has not ended yet."""

    def __init__(self, front, active_play, number, node):
        self.front = front
        self.active_play = active_play
        self.number = number
        self.node = node
        self.ended = False

    def end(self, how, took, report=None):
        """Report the outcome to the driver, once; `took` in seconds."""
        if not self.ended:
            self.ended = True
            self.front.driver.allocation_ended(
                self.active_play, self.number, self.node.name, how, took, report or {}
            )

    def withdraw(self):
        """The driver withdraws the set-up."""
        self.end("withdrawn", 0.0)


class SimulatedFront(NoMoves):
    """A front: the program's driver, module, list follower and site monitor.

    It is itself the driver's `viewers`, `nodes`, `moves` and `peers`, connected to the models.
    """

    def __init__(self, world, index, front_settings, seed):
        self.world = world
        self.index = index
        self.log = NoLog()
        self.timers = world
        clock = Clock(lambda: world.now)
        self.loop = self
        self.driver = Driver(Front, seed * 1000 + index, front_settings, world, self.log, clock)
        self.driver.viewers, self.driver.nodes, self.driver.moves = self, self, self
        self.products = {p["name"]: (i, p) for i, p in enumerate(front_settings["products"])}
        self.titles, self.viewers, self.nodes, self.count = world.titles, self, self, 0
        self.retrying, self.who = (), {}
        fronts = front_settings["fronts"]
        others = [i for i in range(fronts) if i != index]
        self.members = (
            SimpleNamespace(
                protocol=SimpleNamespace(members=dict.fromkeys(others), live_members=lambda: others),
                on_extension=None,
                send_extension=self.send_report,
            )
            if world.variant != "alone"
            else None
        )
        self.peers = self.driver.peers = self
        self.follower = ListFollower(self.driver, None, f"f{index}")
        self.driver.sites = NoSites()
        if world.variant != "before":
            self.driver.sites = TimedSiteMonitor(self, index, seed * 1000 + index, lambda: world.titles)
            self.driver.sites.start()
        rows = [node.row("serving") for node in world.nodes.values()]
        self.follower.apply_listing(forms.Listing("whole", 1, 0, rows, list(world.titles.values())), "whole")
        for node in self.driver.module.nodes.values():
            node.cold_since = float("-inf")

    # ---- peers

    def send_report(self, peer, rows):
        """Send a report on sites to a peer; some are lost."""
        self.world.report_bytes[int(self.world.elapsed), self.index] += (
            REPORT_HEADER_BYTES + REPORT_ROW_BYTES * len(rows)
        )
        if self.world.rng.random() >= REPORT_LOSS:
            front = self.world.fronts[peer]
            self.world.after(
                self.world.rng.uniform(0.001, 0.02), front.driver.sites.handle_peer_report, self.index, rows
            )

    # ---- the driver's `viewers`

    def handle_request(self, who):
        """A viewer requests a play."""
        self.count += 1
        title = self.world.titles[who.title]
        info = forms.PlayInfo(
            f"f{self.index}-{self.count}",
            0,
            who.product["name"],
            who.customer,
            who.name,
            who.title,
            3,
            who.product["floor"],
            who.product["floor"],
        )
        now = self.driver.clock.now()
        self.who[info.play] = who
        active_play = ActivePlay(info, title, None, now + 10 * who.product["limit_ms"] - 1000, now)
        self.driver.accept_request(active_play, again=who.again, moved=False)

    def play(self, active_play, number):
        self.world.request_answered(self.who[active_play.info.play], "served")

    def decline(self, active_play, away):
        self.world.request_answered(self.who.pop(active_play.info.play), "declined", away / TICKS_PER_SECOND)

    def fail(self, active_play, why):
        self.world.request_answered(self.who.pop(active_play.info.play), "failed")

    # ---- the driver's `nodes`

    def set_up(self, active_play, number, name, span):
        node = self.world.nodes[name]
        if active_play.answered:
            return None
        attempt = SetUp(self, active_play, number, node)
        if not node.up:
            self.driver.sites.node_contact(name, "refused")
            self.world.after(0.001, attempt.end, "unreached", 0.001)
            return attempt
        if len(node.plays) >= node.spec["streams"]:
            self.world.after(0.003, attempt.end, "full", 0.003, node.report())
            return attempt
        if node.model.count_setup(self.world.now):
            node.die(crashed=True)
        low, high = self.world.plan["setup_ms"]
        took = self.world.rng.uniform(low, high) / 1000 / node.model.warmth(self.world.now)
        self.world.after(took, self.set_up_done, attempt, took, node.model)
        self.world.after(span, attempt.end, "late", span)
        return attempt

    def set_up_done(self, attempt, took, model):
        """A set-up is complete, unless its node has failed since; `model` was the node's when it began."""
        node, active_play = attempt.node, attempt.active_play
        if attempt.ended:
            return
        if not node.up or node.model is not model:
            attempt.end("broken", took)
            return
        who = self.who[active_play.info.play]
        node.plays[active_play.info.play] = self, active_play, who, 0.0
        node.update_rate(active_play.info.play, self.rate(active_play, active_play.rung))
        self.world.after(who.left, self.viewer_done, node, active_play.info.play, who.left, who)
        attempt.end("ok", took, node.report())

    def rate(self, active_play, rung):
        """The rate of a play at a rung, in kB per second."""
        scale = self.world.plan["scales"][active_play.info.product]
        return (
            self.world.plan["rung_kb"][rung]
            * scale
            * (1 + 0.15 * (2 * hash_fraction(active_play.info.title) - 1))
        )

    def viewer_done(self, node, play, span, who):
        """The viewer of a play has seen enough."""
        if play in node.plays and node.plays[play][2] is who:
            node.end(play)
            self.driver.play_ended(play, "ok")

    def set_rung(self, name, play, number, rung):
        node = self.world.nodes[name]
        if play in node.plays:
            node.update_rate(play, self.rate(node.plays[play][1], rung))

    def end(self, name, play, number, why):
        node = self.world.nodes[name]
        if play in node.plays:
            node.end(play)

    def probe(self, name):
        self.world.after(0.003, self.probe_done, name)

    def probe_done(self, name):
        node = self.world.nodes[name]
        self.driver.dispatch(
            "probed", name, "ok" if node.up else "unreached", 30, node.report() if node.up else {}
        )

    def check_node(self, name, span):
        self.world.after(0.003, self.check_done, name)

    def check_done(self, name):
        node = self.world.nodes[name]
        self.driver.sites.node_contact(name, "answered" if node.up else "refused")

    def stream_broken(self, name):
        """The event stream of a node that failed has broken: its plays end, and reconnects begin."""
        for play in [
            p
            for p, active_play in self.driver.plays.items()
            if active_play.node == name and active_play.playing_number is not None
        ]:
            self.driver.play_ended(play, "broken")
        self.driver.sites.node_contact(name, "reset")
        self.world.after(self.world.rng.uniform(0.1, 0.5), self.reconnect, name, 0.5)

    def reconnect(self, name, pause):
        """Try to connect to a node; retries with a growing pause."""
        node = self.world.nodes[name]
        self.driver.sites.node_contact(name, "answered" if node.up else "refused")
        if not node.up:
            self.world.after(
                self.world.rng.uniform(0.1, 3 * pause), self.reconnect, name, min(2.0, 1.5 * pause)
            )

    def listed(self, rows, *facts, whole=False):
        """As `driver.nodes`: the node list is not needed."""

    def nodes_listed(self, rows, now, unix_ms):
        """As `driver.moves`: the node list is not needed."""

    def changes(self, rows):
        """A change arrives from the list service."""
        self.follower.apply_listing(forms.Listing("changes", 1, 1, rows), "changes")

    def address(self, name):
        return name


class TimedSiteMonitor(SiteMonitor):
    """Records in the world when its plan for a lost site is in force."""

    def execute_state(self, site, state, fleet_wide, reason):
        super().execute_state(site, state, fleet_wide, reason)
        if state == "lost":
            self.driver.viewers.world.plan_times.setdefault(
                self.driver.viewers.index, self.driver.viewers.world.elapsed
            )


def simulate(job):
    """Run one simulation, for (variant, nodes, fronts, seed); returns its results."""
    variant, nodes, fronts, seed = job
    began, world = time.monotonic(), World(seed, nodes, fronts, variant)
    zone = ZONES[seed % len(ZONES)]
    world.after(0.0, world.arrive)
    world.after(LOSS_S, world.lose, zone)
    world.after(RETURN_S, world.restore, zone)
    world.run()
    bins = {}
    for (at, product), outcomes in world.outcomes.items():
        bins.setdefault(product, {})[at] = outcomes["served"], outcomes["asked"]
    before = [n for at, n in world.requests.items() if 5 <= at < LOSS_S]
    peak = max(n for at, n in world.requests.items() if LOSS_S <= at < RETURN_S)
    plans = sorted(at - LOSS_S for at in world.plan_times.values())
    bytes_by_second = Counter()
    for (at, _), size in world.report_bytes.items():
        bytes_by_second[at] += size / fronts
    return {
        "variant": variant,
        "nodes": nodes,
        "fronts": fronts,
        "seed": seed,
        "bins": bins,
        "falls": world.crashes,
        "peak": peak / (sum(before) / len(before)),
        "plan_s": plans[-1] if plans and len(plans) == fronts else None,
        "plan_median_s": plans[len(plans) // 2] if plans else None,
        "bytes_most": max(bytes_by_second.values(), default=0.0),
        "faults": sum(front.driver.counts["faults"] for front in world.fronts),
        "took": time.monotonic() - began,
    }


def service(run, product, low, high):
    """Plays served over plays requested between two times of a run."""
    rows = [pair for at, pair in run["bins"].get(product, {}).items() if low <= at * BIN_S < high]
    return sum(s for s, _ in rows) / max(1, sum(a for _, a in rows))


def mean(values):
    """The mean of the values that are not None; NaN without any."""
    values = [v for v in values if v is not None]
    return sum(values) / len(values) if values else float("nan")


def tables(runs, seeds):
    """The results as a Markdown document."""
    heads = [
        "nodes, fronts (runs)",
        "variant",
        "dearest (paid)",
        "dear",
        "cheap",
        "after the return: paid",
        "dear",
        "cheap",
        "peak of asks over mean",
        "plan in force at the last front (s)",
        "most bytes a second and front",
        "nodes fallen",
    ]
    lines = [
        "# The loss of a site, simulated time",
        "",
        f"`python -m bench.sites_sim {seeds}`: three zones, one of them killed at {LOSS_S:.0f} s and back "
        f"cold at {RETURN_S:.0f} s, {LOAD_FACTOR} times the plan's load, {OBEY_SHARE:.0%} of the viewers "
        f"obey, {REPORT_LOSS:.0%} of the reports between fronts lost. Simulated nodes and viewers; driver, "
        "decision module, list follower and site monitor are the program's own. Service: plays served over "
        "plays requested, in the 15 s after the loss and in the 15 s after the return.",
        "",
        f"| {' | '.join(heads)} |",
        "| " + " | ".join(["---"] * len(heads)) + " |",
    ]
    for nodes, fronts in SIZES:
        for variant in VARIANTS:
            selected = [
                r for r in runs if (r["variant"], r["nodes"], r["fronts"]) == (variant, nodes, fronts)
            ]
            if not selected:
                continue
            cells = [
                f"{mean([service(r, product, begin, begin + 15) for r in selected]):.3f}"
                for begin in (LOSS_S, RETURN_S)
                for product in ("paid", "dear", "plain")
            ]
            plans = [r["plan_s"] for r in selected if r["plan_s"] is not None]
            lines.append(
                f"| {nodes}, {fronts} ({len(selected)}) | {variant} | "
                + " | ".join(cells)
                + f" | {mean([r['peak'] for r in selected]):.2f} | "
                f"{f'{mean(plans):.2f}, most {max(plans):.2f}' if plans else '-'} | "
                f"{max(r['bytes_most'] for r in selected):.0f} | {sum(r['falls'] for r in selected)} |"
            )
    return "\n".join(lines) + "\n"


def chart(runs, path):
    """Draw the service over time, by product and size."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    fig, rows = plt.subplots(2, 3, figsize=(14, 7), sharex=True, sharey=True)
    for line, size in zip(rows, ((57, 8), (170, 64)), strict=True):
        for axis, product in zip(line, ("paid", "dear", "plain"), strict=True):
            for variant in VARIANTS:
                selected = [r for r in runs if r["variant"] == variant and (r["nodes"], r["fronts"]) == size]
                if selected:
                    bins = range(2, int(RUN_S // BIN_S))
                    axis.plot(
                        [BIN_S * i for i in bins],
                        [
                            mean([service(r, product, BIN_S * i, BIN_S * (i + 1)) for r in selected])
                            for i in bins
                        ],
                        label=variant,
                    )
            axis.axvspan(LOSS_S, RETURN_S, alpha=0.1)
            axis.set_title(f"{product}, {size[0]} nodes, {size[1]} fronts", fontsize=9)
    rows[0][0].legend()
    rows[1][1].set_xlabel("seconds; the site is away in the shaded part")
    rows[0][0].set_ylabel("served over asked")
    fig.tight_layout()
    fig.savefig(path, dpi=90)


def main():
    """Run all simulations and write the tables, the raw results and the chart."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 100
    jobs = [
        (variant, nodes, fronts, seed)
        for nodes, fronts in SIZES
        for variant in VARIANTS
        for seed in range(1, 1 + max(1, int(seeds * min(1, 180 / (nodes * fronts)))))
    ]
    jobs.sort(key=lambda job: -job[1] * job[2])
    with ProcessPoolExecutor() as pool:
        runs = list(pool.map(simulate, jobs))
    out = Path(__file__).parent / "results"
    (out / "sites-sim.json").write_text(json.dumps(runs) + "\n")
    (out / "sites-sim.md").write_text(tables(runs, seeds))
    chart(runs, out / "sites-sim.png")
    print(tables(runs, seeds))


if __name__ == "__main__":
    main()
