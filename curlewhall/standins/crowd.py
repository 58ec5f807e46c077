"""Viewers: they ask a front for titles, fetch segments at the node, keep a buffer, count stalls, come again.

    python -m curlewhall.standins.crowd PLAN.json

Arrivals are drawn ahead from the plan's seed and don't wait for answers. What is seen at the viewers' sockets
goes to the plan's record file.
"""

import asyncio
import contextlib
import json
import random
import resource
import signal
import sys
from pathlib import Path
from urllib.parse import quote

import msgspec
import uvloop

from curlewhall.dash import cmcd, cmsd, manifest
from curlewhall.records import LagRecorder, Writer
from curlewhall.wire.client import Pool
from curlewhall.wire.http import request_bytes
from curlewhall.wire.timers import Timers

from .model import unit

BUFFER = 4.0  # seconds that a viewer keeps ahead
GRACE = 1.0  # how long after its limit a viewer still listens, only to tell that an answer came late


def arrivals(crowd: dict, rng: random.Random) -> list[tuple[float, dict]]:
    """(second, what is special) of each first try: a Poisson stream with surges laid over it."""
    found = []
    for surge in [{"at": 0.0, "len": crowd["seconds"], "rate": crowd["rate"]}, *crowd["surges"]]:
        at = surge["at"]
        while surge["rate"] > 0:
            at += rng.expovariate(surge["rate"])
            if at >= min(surge["at"] + surge["len"], crowd["seconds"]):
                break
            found.append((at, surge))
    return sorted(found, key=lambda pair: pair[0])


class Crowd:
    """All viewers of a plan."""

    def __init__(self, plan: dict) -> None:
        self.plan, self.crowd = plan, plan["crowd"]
        self.loop = asyncio.get_running_loop()
        self.timers, self.records = Timers(self.loop), Writer(plan["records"]["crowd"])
        self.rng = random.Random(self.crowd["seed"])
        self.fronts = [
            Pool(self.loop, self.timers, f["address"], f["port"], connect=1.0) for f in plan["fronts"]
        ]
        self.nodes: dict[tuple[str, int], Pool] = {}
        self.tasks: set[asyncio.Task] = set()
        self.out: set[asyncio.Task] = set()  # viewers who wait for a front's answer
        self.over = False
        self.watching = self.count = 0

    def draw(self, special: dict) -> dict:
        """Who the viewer is and what it wants."""
        rng, plan = self.rng, self.plan
        product = rng.choices(plan["products"], [p["share"] for p in plan["products"]])[0]
        customer = (
            special.get("customer")
            or rng.choices(plan["customers"], [c["share"] for c in plan["customers"]])[0]["name"]
        )
        title = (
            special.get("title")
            or rng.choices(
                plan["titles"], [1 / (i + 1) ** self.crowd["zipf"] for i in range(len(plan["titles"]))]
            )[0]["title"]
        )
        self.count += 1
        tops = len(plan["rung_kb"]) - 1
        low, high = product["life"]
        small = rng.random() < self.crowd["small_screens"]
        return {
            "viewer": f"v{self.crowd['seed']}-{self.count}",
            "product": product,
            "customer": customer,
            "title": title,
            "life": rng.uniform(low, high),
            "top": max(product["floor"], tops - small),
            "patience": rng.uniform(0.05, 1.0) if rng.random() < self.crowd["hang_up"] else None,
            "tries": 1 + rng.randrange(self.crowd["tries"]),
            "seed": rng.random(),
            # drawn from its own name, so that plans without it are as they were
            "obeys": unit("obeys", self.crowd["seed"], self.count) < self.crowd.get("obey", 0.0),
            "clock": 0.98 + 0.04 * unit("clock", self.crowd["seed"], self.count),
        }

    async def run(self) -> None:
        LagRecorder(self.timers, self.records, "viewer")
        drawn = [(at, self.draw(special)) for at, special in arrivals(self.crowd, self.rng)]
        begin = self.loop.time()
        for at, who in drawn:
            late = begin + at - self.loop.time()
            if late > 0:
                await asyncio.sleep(late)
            task = self.loop.create_task(self.viewer(who))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        left = begin + self.crowd["seconds"] + self.crowd["after"] - self.loop.time()
        await asyncio.sleep(max(0.0, left))
        # Danger: of a request that is cut off when the day ends nobody could tell what became of it.
        self.over = True
        for task in self.tasks - self.out:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.records.close()

    async def viewer(self, who: dict) -> None:
        """One viewer, until it has seen enough or gives up."""
        rng, again, left = random.Random(who["seed"]), False, who["life"]
        for number in range(1 + who["tries"]):
            front = rng.choices(range(len(self.fronts)), self.crowd["lean"])[0]
            plan, play, told = await self.ask(who, number, front, again)
            if plan is not None:
                left -= await self.watch(who, number, play, plan, left)
            if left <= 0.5 or rng.random() > self.crowd["returns"]:
                return
            again = True
            pause = rng.uniform(*self.crowd["pause"])
            if told is not None and who["obeys"]:
                pause = told * who["clock"]
            await asyncio.sleep(pause)

    async def ask(self, who: dict, number: int, front: int, again: bool):
        """One try: the plan of the manifest, or None, the play's id, and for how long (s) it is to stay away,
        None where that is not told.
        """
        product = who["product"]
        target = (
            f"/play/{quote(who['title'])}?product={product['name']}&viewer={who['viewer']}"
            f"&customer={who['customer']}&top={who['top']}&limit_ms={product['limit_ms']}&again={int(again)}"
        )
        patience = None if who["patience"] is None or number else who["patience"] * product["limit_ms"] / 1000
        plan, play = await self.request(
            who, f"{who['viewer']}/{number}", front, target, patience, number == 0
        )
        return plan, play, who.pop("told", None)

    async def follow(self, who: dict, number: int, moves: int, location: str):
        """Ask for a moved play's manifest anew, where the node or the old one (MPD Location) says."""
        host, _, path = location.partition("://")[2].partition("/")
        front = next(i for i, pool in enumerate(self.fronts) if pool.host == host)
        target = f"/{path}&limit_ms={who['product']['limit_ms']}"
        return await self.request(who, f"{who['viewer']}/{number}+{moves}", front, target, None, False)

    async def request(
        self, who: dict, ask: str, front: int, target: str, patience: float | None, first: bool
    ):
        product, pool, name = who["product"], self.fronts[front], self.plan["fronts"][front]["name"]
        limit = product["limit_ms"]
        facts = {
            "ask": ask,
            "front": name,
            "product": product["name"],
            "importance": product["importance"],
            "limit": 10 * limit,
            "target": 10 * product["target_ms"],
            "first": first,
            "viewer": who["viewer"],
            "title": who["title"],
            "customer": who["customer"],
            "wanted": who["life"],
            "top": who["top"],
        }
        self.records.write("viewer", "ask", **facts)
        reply = await self.waiting(pool, target, ask, name, patience, limit)
        if reply.outcome == "ok":
            status, play, plan = reply.message.status, reply.message.headers.get("curlewhall-play", ""), None
            if status == 200:
                try:
                    plan = manifest.read(reply.message.body)
                except manifest.ManifestError as err:
                    self.records.write("viewer", "bad_manifest", ask=ask, why=str(err))
            else:
                with contextlib.suppress(msgspec.DecodeError, AttributeError):
                    document = msgspec.json.decode(reply.message.body)
                    play = document.get("play", "")
                    if "retry_after_ms" in document:
                        who["told"] = float(document["retry_after_ms"]) / 1000
            self.records.write(
                "viewer",
                "answer",
                ask=ask,
                front=name,
                status=status,
                play=play,
                product=product["name"],
                took=int(reply.elapsed_s * 10_000),
                away=who.get("told") if status != 200 else None,
            )
            return self.unless_over(plan, play)
        what = "hung_up" if patience and reply.outcome == "late" else "no_answer"
        self.records.write(
            "viewer", what, ask=ask, front=name, how=reply.outcome, took=int(reply.elapsed_s * 10_000)
        )
        return self.unless_over(None, "")

    def unless_over(self, plan, play: str):
        """What a request came to; after the day's end nobody goes on."""
        if self.over:
            raise asyncio.CancelledError
        return plan, play

    async def waiting(self, pool: Pool, target: str, ask: str, name: str, patience: float | None, limit: int):
        """The reply to a request. A viewer who is told to end meanwhile hangs up, and that goes on record."""
        task, began = asyncio.current_task(), self.loop.time()
        self.out.add(task)
        try:
            return await pool.fetch(request_bytes("GET", target, pool.host), patience or limit / 1000 + GRACE)
        except asyncio.CancelledError:
            took = self.loop.time() - began
            what = "hung_up" if took < limit / 1000 else "no_answer"
            self.records.write("viewer", what, ask=ask, front=name, how="over", took=int(took * 10_000))
            raise
        finally:
            self.out.discard(task)

    def pool(self, base: str) -> Pool:
        address, _, port = base.split("/")[2].rpartition(":")
        # a viewer's way to a node is its own, not its front's link
        own = next(iter(self.plan["nodes"]))["port"] if self.plan.get("links") else int(port)
        key = address.strip("[]"), own
        if key not in self.nodes:
            self.nodes[key] = Pool(self.loop, self.timers, *key)
        return self.nodes[key]

    async def watch(self, who: dict, number: int, play: str, plan, left: float) -> float:
        """Fetch segments until `left` seconds are seen, the node is lost or the viewer has had enough."""
        pool, path = self.pool(plan.base), "/" + plan.base.split("/", 3)[3]
        begin = self.loop.time()
        buffer, seen, stalled, worth, rung, why = 0.0, 0.0, 0.0, 0.0, plan.rungs[-1][0], "done"
        wrong, segment, changes, last, moves = 0, plan.first, 0, None, 0
        self.watching += 1
        try:
            while seen < left:
                target = f"{path}seg/r{rung}/{segment}?t={plan.token}&{cmcd.query_argument(buffer)}"
                asked = self.loop.time()
                reply = await pool.fetch(request_bytes("GET", target, pool.host), buffer + 5.0)
                took = self.loop.time() - asked
                if reply.outcome == "ok" and reply.message.status == 410 and plan.location:
                    # the play has gone from this node: the manifest is asked for anew, and goes on elsewhere
                    location = reply.message.headers.get("location", plan.location)
                    follows, was = await self.follow(who, number, moves, location), play
                    gap = self.loop.time() - asked
                    stalled += max(0.0, gap - buffer)
                    self.records.write(
                        "viewer",
                        "seam",
                        ask=f"{who['viewer']}/{number}",
                        play=was,
                        to=follows[1],
                        gap=round(gap, 3),
                        buffer=round(buffer, 3),
                        stalled=round(max(0.0, gap - buffer), 3),
                    )
                    buffer, moves = max(0.0, buffer - gap), moves + 1
                    if follows[0] is None:
                        why = "lost by a move"
                        break
                    plan, play = follows
                    pool, path = self.pool(plan.base), "/" + plan.base.split("/", 3)[3]
                    continue
                if reply.outcome != "ok" or reply.message.status != 200:
                    why = reply.outcome if reply.outcome != "ok" else f"status {reply.message.status}"
                    stalled += max(0.0, took - buffer) if segment > plan.first else 0.0
                    break
                head = reply.message.body[:16]
                got = int(head[8:]) if head.isdigit() and len(head) == 16 else -1
                wrong += head[:8] != b"%08d" % segment or got < 0
                changes += last is not None and got != last
                last = got
                if segment > plan.first:
                    stalled += max(0.0, took - buffer)
                    buffer = max(0.0, buffer - took)
                buffer += plan.segment
                seen += plan.segment
                worth += plan.segment * self.plan["worth"][max(0, got)]
                segment += 1
                most = cmsd.most_kbps(reply.message.headers.get("cmsd-dynamic", ""))
                if most is not None:
                    rung = max(
                        [r for r, bits in plan.rungs if bits <= most * 1000 + 1000], default=plan.rungs[0][0]
                    )
                if stalled > 0.25 * max(8.0, seen):
                    why = "stalled"
                    break
                if buffer > BUFFER:
                    pause = buffer - BUFFER
                    await asyncio.sleep(pause)
                    buffer -= pause
            if why in ("done", "stalled"):
                await pool.fetch(request_bytes("POST", f"{path}end?t={plan.token}", pool.host), 1.0)
        except asyncio.CancelledError:
            why = "over"
            raise
        finally:
            self.watching -= 1
            self.records.write(
                "viewer",
                "watched",
                ask=f"{who['viewer']}/{number}",
                play=play,
                why=why,
                seen=round(seen, 2),
                stalled=round(stalled, 3),
                worth=round(worth, 3),
                segments=segment - plan.first,
                wrong=wrong,
                changes=changes,
                moves=moves,
                wanted=round(left, 2),
                importance=who["product"]["importance"],
                span=round(self.loop.time() - begin, 2),
            )
        return seen


async def main(plan: dict) -> None:
    crowd = Crowd(plan)
    task = crowd.loop.create_task(crowd.run())
    crowd.loop.add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        await task
    except asyncio.CancelledError:
        for viewer in list(crowd.tasks):
            viewer.cancel()
        await asyncio.gather(*crowd.tasks, return_exceptions=True)
        crowd.records.close()


if __name__ == "__main__":
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    uvloop.run(main(json.loads(Path(sys.argv[1]).read_text())))
