"""The loss of a site in simulated time: the program's own driver, module, list follower and watch over sites,
one set for each front, on a virtual clock; nodes, viewers and links between fronts are models.

    python -m bench.sites_sim [SEEDS]      writes bench/results/sites-sim.md, .json and .png

A third of the fleet, a zone, is killed at one moment and comes back cold. `before`: the program without
`sites/`; `sites`: as it is; `alone`: without the others' word; `knows`: told of the loss in its moment.
Not measured on sockets: see `bench/sites.py` for that. Figures are of simulated nodes.
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
from curlewhall.front.listing import ListFollower
from curlewhall.policy import Front
from curlewhall.relay.null_objects import NoMoves
from curlewhall.settings import parse, start_settings
from curlewhall.sites.null_objects import NoSites
from curlewhall.sites.run import SiteMonitor, site_number
from curlewhall.standins.model import NodeModel, Rack, hash_fraction
from curlewhall.wire import forms

SECONDS, LOSS, BACK = 60.0, 20.0, 35.0  # of a run; when the site is killed, and returns
ZONES = ("north", "south", "east")
SIZES = ((14, 3), (57, 8), (57, 64), (170, 64), (170, 200))
VARIANTS = ("before", "sites", "alone", "knows")
LOAD, OBEY, LOST_WORDS = 2.0, 0.8, 0.1
BIN = 2.0  # seconds of the chart


class Quiet:
    """A log that keeps nothing."""

    def info(self, text, **facts): ...

    warning = error = exception = info


class Timer:
    __slots__ = ("call",)

    def __init__(self, call):
        self.call = call

    def cancel(self):
        self.call = None


class World:
    """The virtual clock, and all that is not a front."""

    def __init__(self, seed, nodes, fronts, variant):
        self.now, self.heap, self.order = 1000.0, [], count()
        self.begin, self.rng, self.variant = self.now, random.Random(f"sites {seed}"), variant
        plan = self.plan = make_plan(seed, nodes, 1, SECONDS, Path(tempfile.gettempdir()), ZONES)
        self.racks = [Rack(uplink) for uplink in plan["uplinks"]]
        self.nodes = {spec["node"]: Node(self, spec) for spec in plan["nodes"]}
        self.titles = {t["title"]: forms.Title(**t) for t in plan["titles"]}
        self.seen = defaultdict(Counter)  # (bin, product) -> what became of what was asked then
        self.asks, self.falls, self.words, self.planned = Counter(), 0, Counter(), {}
        (folder := Path(tempfile.mkdtemp())).joinpath("key").write_bytes(b"k" * 32)
        folder.joinpath("key").chmod(0o600)
        plan["key_file"] = str(folder / "key")
        front_settings = start_settings(parse(settings(plan, 0)))
        self.fronts = [
            Place(
                self,
                i,
                front_settings | {"fronts": fronts, "own_index": i, "zone": ZONES[i % len(ZONES)]},
                seed,
            )
            for i in range(fronts)
        ]
        lean = [self.rng.uniform(0.5, 1.5) for _ in range(fronts)]
        self.lean = [part / sum(lean) for part in lean]

    # ---- the clock

    def after(self, span, call, *facts):
        timer = Timer(call)
        heapq.heappush(self.heap, (self.now + max(0.0, span), next(self.order), timer, facts))
        return timer

    def run(self):
        while self.heap and self.heap[0][0] <= self.begin + SECONDS:
            self.now, _, timer, facts = heapq.heappop(self.heap)
            if timer.call is not None:
                timer.call(*facts)

    @property
    def at(self):
        return self.now - self.begin

    # ---- viewers

    def arrive(self):
        rate = self.plan["crowd"]["rate"] * LOAD
        self.after(self.rng.expovariate(rate), self.arrive)
        rng, plan = self.rng, self.plan
        product = rng.choices(plan["products"], [p["share"] for p in plan["products"]])[0]
        title = rng.choices(plan["titles"], [1 / (i + 1) ** 0.8 for i in range(len(plan["titles"]))])[0]
        name = f"v{next(self.order)}"
        self.ask(
            SimpleNamespace(
                name=name,
                product=product,
                title=title["title"],
                left=rng.uniform(*product["life"]),
                tries=3,
                customer=rng.choices(plan["customers"], [c["share"] for c in plan["customers"]])[0]["name"],
                obeys=rng.random() < OBEY,
                again=False,
            )
        )

    def ask(self, who):
        self.asks[int(self.at)] += 1
        self.seen[int(self.at // BIN), who.product["name"]]["asked"] += 1
        who.bin = int(self.at // BIN)
        front = self.rng.choices(self.fronts, self.lean)[0]
        front.take(who)

    def told(self, who, what, away=0.0):
        """The one answer."""
        self.seen[who.bin, who.product["name"]][what] += 1
        if what != "served":
            self.come_back(who, away)

    def come_back(self, who, away=0.0):
        if who.tries and who.left > 0.5 and self.rng.random() < 0.9:
            who.tries, who.again = who.tries - 1, True
            pause = self.rng.uniform(0.7, 2.5)
            self.after(away * self.rng.uniform(0.98, 1.02) if away and who.obeys else pause, self.ask, who)

    # ---- the course of the day

    def list_of(self, nodes, state):
        """The list service hears of it late, and tells all fronts."""
        rows = [node.row(state) for node in nodes]
        self.after(self.rng.uniform(0.2, 1.0), lambda: [front.changes(rows) for front in self.fronts])

    def lose(self, zone):
        gone = [node for node in self.nodes.values() if node.spec["zone"] == zone]
        for node in gone:
            node.die()
        self.list_of(gone, "gone")
        if self.variant == "knows":
            for front in self.fronts:
                for node in gone:
                    front.driver.sites.node_contact(node.name, "refused")
                for peer in [p for p in range(len(self.fronts)) if p != front.index][:2]:
                    front.driver.sites.handle_peer_report(
                        peer, (SimpleNamespace(index=site_number(zone), state=1, incarnation=0),)
                    )

    def restore(self, zone):
        back = [node for node in self.nodes.values() if node.spec["zone"] == zone]
        for node in back:
            node.start()
        self.list_of(back, "serving")


class Node:
    """A node's machine with what plays on it."""

    def __init__(self, world, spec):
        self.world, self.spec, self.name, self.up, self.started_ms = world, spec, spec["node"], True, 0
        self.machine = self.make(True)
        self.plays = {}
        world.after(hash_fraction(self.name, "tick"), self.tick)
        world.after(2 * hash_fraction(self.name, "load"), self.load)

    def make(self, warm):
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

    def die(self, fell=False):
        self.up, plays, self.plays = False, self.plays, {}
        self.machine.demand = 0.0
        self.machine.rack.nodes[:] = [m for m in self.machine.rack.nodes if m is not self.machine]
        for front in self.world.fronts:
            self.world.after(self.world.rng.uniform(0.001, 0.01), front.stream_broke, self.name)
        for _, _, who, _ in plays.values():
            self.world.come_back(who)
        if fell:
            self.world.falls += 1
            self.world.list_of([self], "gone")

    def start(self):
        self.up, self.machine = True, self.make(False)
        self.started_ms = int(time.time() * 1000) + int(1000 * self.world.at)

    def weigh(self, play, rate):
        front, active_play, who, was = self.plays[play]
        self.machine.demand += rate - was
        self.plays[play] = front, active_play, who, rate

    def end(self, play):
        self.machine.demand = max(0.0, self.machine.demand - self.plays.pop(play)[3])

    def tick(self):
        self.world.after(1.0, self.tick)
        if not self.up:
            return
        for front in self.world.fronts:
            front.driver.sites.node_contact(self.name, "spoke")
        share = self.machine.share(self.world.now)
        if share < 0.98:
            self.tell("delivered", share)

    def load(self):
        self.world.after(2.0, self.load)
        if self.up:
            self.tell("link_asked", self.machine.load(self.world.now))
            self.tell("uplink_asked", self.machine.rack.load())

    def tell(self, kind, value):
        told = set()
        for play, (front, _, _, _) in list(self.plays.items()):
            if front not in told:
                told.add(front)
                self.world.after(0.7, front.driver.play_noted, play, self.name, kind, value)

    def report(self):
        full = self.machine.load(self.world.now)
        return {"link_asked": full, "uplink_asked": self.machine.rack.load()}


class Ask:
    def __init__(self, front, active_play, number, node):
        self.front, self.active_play, self.number, self.node, self.over = (
            front,
            active_play,
            number,
            node,
            False,
        )

    def settle(self, how, took, report=None):
        if not self.over:
            self.over = True
            self.front.driver.allocation_ended(
                self.active_play, self.number, self.node.name, how, took, report or {}
            )

    def withdraw(self):
        self.settle("withdrawn", 0.0)


class Place(NoMoves):
    """One front: driver, module, follower and watch as they are, with models of their sides around them."""

    def __init__(self, world, index, front_settings, seed):
        self.world, self.index, self.log, self.timers = world, index, Quiet(), world
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
                send_extension=self.word,
            )
            if world.variant != "alone"
            else None
        )
        self.peers = self.driver.peers = self
        self.follower = ListFollower(self.driver, None, f"f{index}")
        self.driver.sites = NoSites()
        if world.variant != "before":
            self.driver.sites = Seen(self, index, seed * 1000 + index, lambda: world.titles)
            self.driver.sites.start()
        rows = [node.row("serving") for node in world.nodes.values()]
        self.follower.apply_listing(forms.Listing("whole", 1, 0, rows, list(world.titles.values())), "whole")
        for node in self.driver.module.nodes.values():
            node.cold_since = float("-inf")

    # ---- peers

    def word(self, peer, rows):
        self.world.words[int(self.world.at), self.index] += 41 + 7 * len(rows)
        if self.world.rng.random() >= LOST_WORDS:
            there = self.world.fronts[peer]
            self.world.after(
                self.world.rng.uniform(0.001, 0.02), there.driver.sites.handle_peer_report, self.index, rows
            )

    # ---- viewers' side

    def take(self, who):
        self.count += 1
        title = self.world.titles[who.title]
        facts = forms.PlayInfo(
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
        self.who[facts.play] = who
        active_play = ActivePlay(facts, title, None, now + 10 * who.product["limit_ms"] - 1000, now)
        self.driver.accept_request(active_play, again=who.again, moved=False)

    def play(self, active_play, number):
        self.world.told(self.who[active_play.info.play], "served")

    def decline(self, active_play, away):
        self.world.told(self.who.pop(active_play.info.play), "declined", away / 10_000)

    def fail(self, active_play, why):
        self.world.told(self.who.pop(active_play.info.play), "failed")

    # ---- nodes' side

    def set_up(self, active_play, number, name, span):
        node = self.world.nodes[name]
        if active_play.answered:
            return None
        ask = Ask(self, active_play, number, node)
        if not node.up:
            self.driver.sites.node_contact(name, "refused")
            self.world.after(0.001, ask.settle, "unreached", 0.001)
            return ask
        if len(node.plays) >= node.spec["streams"]:
            self.world.after(0.003, ask.settle, "full", 0.003, node.report())
            return ask
        if node.machine.count_setup(self.world.now):
            node.die(fell=True)
        low, high = self.world.plan["setup_ms"]
        took = self.world.rng.uniform(low, high) / 1000 / node.machine.warmth(self.world.now)
        self.world.after(took, self.first, ask, took, node.machine)
        self.world.after(span, ask.settle, "late", span)
        return ask

    def first(self, ask, took, machine):
        node, active_play = ask.node, ask.active_play
        if ask.over:
            return
        if not node.up or node.machine is not machine:
            ask.settle("broken", took)
            return
        who = self.who[active_play.info.play]
        node.plays[active_play.info.play] = self, active_play, who, 0.0
        node.weigh(active_play.info.play, self.rate(active_play, active_play.rung))
        self.world.after(who.left, self.seen_enough, node, active_play.info.play, who.left, who)
        ask.settle("ok", took, node.report())

    def rate(self, active_play, rung):
        scale = self.world.plan["scales"][active_play.info.product]
        return (
            self.world.plan["rung_kb"][rung]
            * scale
            * (1 + 0.15 * (2 * hash_fraction(active_play.info.title) - 1))
        )

    def seen_enough(self, node, play, span, who):
        if play in node.plays and node.plays[play][2] is who:
            node.end(play)
            self.driver.play_ended(play, "ok")

    def set_rung(self, name, play, number, rung):
        node = self.world.nodes[name]
        if play in node.plays:
            node.weigh(play, self.rate(node.plays[play][1], rung))

    def end(self, name, play, number, why):
        node = self.world.nodes[name]
        if play in node.plays:
            node.end(play)

    def probe(self, name):
        self.world.after(0.003, self.probed, name)

    def probed(self, name):
        node = self.world.nodes[name]
        self.driver.dispatch(
            "probed", name, "ok" if node.up else "unreached", 30, node.report() if node.up else {}
        )

    def check_node(self, name, span):
        self.world.after(0.003, self.check_done, name)

    def check_done(self, name):
        node = self.world.nodes[name]
        self.driver.sites.node_contact(name, "answered" if node.up else "refused")

    def stream_broke(self, name):
        for play in [
            p
            for p, active_play in self.driver.plays.items()
            if active_play.node == name and active_play.playing_number is not None
        ]:
            self.driver.play_ended(play, "broken")
        self.driver.sites.node_contact(name, "reset")
        self.world.after(self.world.rng.uniform(0.1, 0.5), self.reach, name, 0.5)

    def reach(self, name, pause):
        node = self.world.nodes[name]
        self.driver.sites.node_contact(name, "answered" if node.up else "refused")
        if not node.up:
            self.world.after(self.world.rng.uniform(0.1, 3 * pause), self.reach, name, min(2.0, 1.5 * pause))

    def listed(self, rows, *facts, whole=False):
        """As `driver.nodes`: the node list is not needed."""

    def nodes_listed(self, rows, now, unix_ms):
        """As `driver.moves`: the node list is not needed."""

    def changes(self, rows):
        self.follower.apply_listing(forms.Listing("changes", 1, 1, rows), "changes")

    def address(self, name):
        return name


class Seen(SiteMonitor):
    """Tells the world when a plan is in force."""

    def execute_state(self, site, state, fleet_wide, reason):
        super().execute_state(site, state, fleet_wide, reason)
        if state == "lost":
            self.driver.viewers.world.planned.setdefault(
                self.driver.viewers.index, self.driver.viewers.world.at
            )


def play(job):
    variant, nodes, fronts, seed = job
    began, world = time.monotonic(), World(seed, nodes, fronts, variant)
    zone = ZONES[seed % len(ZONES)]
    world.after(0.0, world.arrive)
    world.after(LOSS, world.lose, zone)
    world.after(BACK, world.restore, zone)
    world.run()
    bins = {}
    for (at, product), what in world.seen.items():
        bins.setdefault(product, {})[at] = what["served"], what["asked"]
    before = [n for at, n in world.asks.items() if 5 <= at < LOSS]
    storm = max(n for at, n in world.asks.items() if LOSS <= at < BACK)
    plans = sorted(at - LOSS for at in world.planned.values())
    said = Counter()
    for (at, _), size in world.words.items():
        said[at] += size / fronts
    return {
        "variant": variant,
        "nodes": nodes,
        "fronts": fronts,
        "seed": seed,
        "bins": bins,
        "falls": world.falls,
        "peak": storm / (sum(before) / len(before)),
        "plan_s": plans[-1] if plans and len(plans) == fronts else None,
        "plan_median_s": plans[len(plans) // 2] if plans else None,
        "bytes_most": max(said.values(), default=0.0),
        "faults": sum(front.driver.counts["faults"] for front in world.fronts),
        "took": time.monotonic() - began,
    }


def service(run, product, low, high):
    """Served over asked in a span of the run."""
    rows = [pair for at, pair in run["bins"].get(product, {}).items() if low <= at * BIN < high]
    return sum(s for s, _ in rows) / max(1, sum(a for _, a in rows))


def mean(values):
    values = [v for v in values if v is not None]
    return sum(values) / len(values) if values else float("nan")


def tables(runs, seeds):
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
        f"`python -m bench.sites_sim {seeds}`: three zones, one of them killed at {LOSS:.0f} s and back cold "
        f"at {BACK:.0f} s, {LOAD} times the plan's load, {OBEY:.0%} of the viewers obey, {LOST_WORDS:.0%} of "
        "the words between fronts lost. Simulated nodes and viewers; driver, module, follower and watch are "
        "the program's own. Service: answered with a play over asked, in the 15 s after the loss and in the "
        "15 s after the return.",
        "",
        f"| {' | '.join(heads)} |",
        "| " + " | ".join(["---"] * len(heads)) + " |",
    ]
    for nodes, fronts in SIZES:
        for variant in VARIANTS:
            some = [r for r in runs if (r["variant"], r["nodes"], r["fronts"]) == (variant, nodes, fronts)]
            if not some:
                continue
            cells = [
                f"{mean([service(r, product, begin, begin + 15) for r in some]):.3f}"
                for begin in (LOSS, BACK)
                for product in ("paid", "dear", "plain")
            ]
            plans = [r["plan_s"] for r in some if r["plan_s"] is not None]
            lines.append(
                f"| {nodes}, {fronts} ({len(some)}) | {variant} | "
                + " | ".join(cells)
                + f" | {mean([r['peak'] for r in some]):.2f} | "
                f"{f'{mean(plans):.2f}, most {max(plans):.2f}' if plans else '-'} | "
                f"{max(r['bytes_most'] for r in some):.0f} | {sum(r['falls'] for r in some)} |"
            )
    return "\n".join(lines) + "\n"


def chart(runs, path):
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    fig, rows = plt.subplots(2, 3, figsize=(14, 7), sharex=True, sharey=True)
    for line, size in zip(rows, ((57, 8), (170, 64)), strict=True):
        for axis, product in zip(line, ("paid", "dear", "plain"), strict=True):
            for variant in VARIANTS:
                some = [r for r in runs if r["variant"] == variant and (r["nodes"], r["fronts"]) == size]
                if some:
                    spots = range(2, int(SECONDS // BIN))
                    axis.plot(
                        [BIN * i for i in spots],
                        [mean([service(r, product, BIN * i, BIN * (i + 1)) for r in some]) for i in spots],
                        label=variant,
                    )
            axis.axvspan(LOSS, BACK, alpha=0.1)
            axis.set_title(f"{product}, {size[0]} nodes, {size[1]} fronts", fontsize=9)
    rows[0][0].legend()
    rows[1][1].set_xlabel("seconds; the site is away in the shaded part")
    rows[0][0].set_ylabel("served over asked")
    fig.tight_layout()
    fig.savefig(path, dpi=90)


def main():
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 100
    jobs = [
        (variant, nodes, fronts, seed)
        for nodes, fronts in SIZES
        for variant in VARIANTS
        for seed in range(1, 1 + max(1, int(seeds * min(1, 180 / (nodes * fronts)))))
    ]
    jobs.sort(key=lambda job: -job[1] * job[2])
    with ProcessPoolExecutor() as pool:
        runs = list(pool.map(play, jobs))
    out = Path(__file__).parent / "results"
    (out / "sites-sim.json").write_text(json.dumps(runs) + "\n")
    (out / "sites-sim.md").write_text(tables(runs, seeds))
    chart(runs, out / "sites-sim.png")
    print(tables(runs, seeds))


if __name__ == "__main__":
    main()
