"""Simulated viewers: they request plays from a front, fetch segments from the node, buffer, stall and retry.

    python -m curlewhall.standins.crowd PLAN.json

Arrivals are drawn in advance from the plan's seed and don't depend on answers. The traffic at the viewers'
sockets is recorded in the plan's record file. Times are in seconds unless a name says otherwise.
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

from .model import hash_fraction

TARGET_BUFFER_S = 4.0
LATE_ANSWER_WAIT_S = 1.0  # a viewer waits so long beyond its time limit, to record that an answer was late
SEGMENT_TIMEOUT_S = 5.0  # beyond the buffer
END_TIMEOUT_S = 1.0
MIN_SESSION_S = 0.5  # a viewer with less left to watch doesn't come back
MAX_STALL_SHARE = 0.25  # a viewer gives up once it has stalled for more than this share of what it saw
MIN_SEEN_S = 8.0  # the least that counts as seen for that share


def arrivals(crowd: dict, rng: random.Random) -> list[tuple[float, dict]]:
    """The times of the viewers' first requests: a Poisson process with surges added to it.

    Returns (seconds from the start, the surge or the base rate's entry) in the order of time.
    """
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
        self.plan = plan
        self.crowd = plan["crowd"]
        self.loop = asyncio.get_running_loop()
        self.timers = Timers(self.loop)
        self.records = Writer(plan["records"]["crowd"])
        self.rng = random.Random(self.crowd["seed"])
        self.fronts = [
            Pool(self.loop, self.timers, f["address"], f["port"], connect=1.0) for f in plan["fronts"]
        ]
        self.nodes: dict[tuple[str, int], Pool] = {}
        self.tasks: set[asyncio.Task] = set()
        self.waiting: set[asyncio.Task] = set()  # viewers who wait for a front's answer
        self.ended = False  # whether the run's time is over
        self.watching = self.count = 0

    def draw(self, special: dict) -> dict:
        """Draw a viewer; a surge may fix its customer and title."""
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
        highest_rung = len(plan["rung_kb"]) - 1
        low, high = product["life"]
        small_screen = rng.random() < self.crowd["small_screens"]
        return {
            "viewer": f"v{self.crowd['seed']}-{self.count}",
            "product": product,
            "customer": customer,
            "title": title,
            "life": rng.uniform(low, high),
            "top": max(product["floor"], highest_rung - small_screen),
            "patience": rng.uniform(0.05, 1.0) if rng.random() < self.crowd["hang_up"] else None,
            "tries": 1 + rng.randrange(self.crowd["tries"]),
            "seed": rng.random(),
            # not drawn from `rng`, so that the random values of plans without "obey" stay the same
            "obeys": hash_fraction("obeys", self.crowd["seed"], self.count) < self.crowd.get("obey", 0.0),
            "clock": 0.98 + 0.04 * hash_fraction("clock", self.crowd["seed"], self.count),
        }

    async def run(self) -> None:
        """Run all viewers of the plan; those who still watch at the end are cancelled."""
        LagRecorder(self.timers, self.records, "viewer")
        drawn = [(at, self.draw(special)) for at, special in arrivals(self.crowd, self.rng)]
        begin = self.loop.time()
        for at, who in drawn:
            wait = begin + at - self.loop.time()
            if wait > 0:
                await asyncio.sleep(wait)
            task = self.loop.create_task(self.run_viewer(who))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        left = begin + self.crowd["seconds"] + self.crowd["after"] - self.loop.time()
        await asyncio.sleep(max(0.0, left))
        # Requests without an answer are not cancelled: their outcome would be missing from the records.
        self.ended = True
        for task in self.tasks - self.waiting:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.records.close()

    async def run_viewer(self, who: dict) -> None:
        """Run one viewer until it has seen enough or gives up."""
        rng, again, left = random.Random(who["seed"]), False, who["life"]
        for number in range(1 + who["tries"]):
            front = rng.choices(range(len(self.fronts)), self.crowd["lean"])[0]
            plan, play, retry_after = await self.request_play(who, number, front, again)
            if plan is not None:
                left -= await self.watch(who, number, play, plan, left)
            if left <= MIN_SESSION_S or rng.random() > self.crowd["returns"]:
                return
            again = True
            pause = rng.uniform(*self.crowd["pause"])
            if retry_after is not None and who["obeys"]:
                pause = retry_after * who["clock"]
            await asyncio.sleep(pause)

    async def request_play(self, who: dict, number: int, front: int, again: bool):
        """Request a play once; `number` counts the viewer's requests.

        Returns the manifest or None, the play's id, and the delay in seconds after which the front allows a
        retry, or None if it gave none.
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

    async def follow_move(self, who: dict, number: int, moves: int, location: str):
        """Request a moved play's new manifest at `location`, given by the node or the old manifest."""
        host, _, path = location.partition("://")[2].partition("/")
        front = next(i for i, pool in enumerate(self.fronts) if pool.host == host)
        target = f"/{path}&limit_ms={who['product']['limit_ms']}"
        return await self.request(who, f"{who['viewer']}/{number}+{moves}", front, target, None, False)

    async def request(
        self, who: dict, ask: str, front: int, target: str, patience: float | None, first: bool
    ):
        """Send a request to a front and record its outcome; returns the manifest or None, and the play.

        `patience`: the viewer hangs up after so many seconds.
        """
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
        reply = await self.fetch_reply(pool, target, ask, name, patience, limit)
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
            return self.result_unless_ended(plan, play)
        what = "hung_up" if patience and reply.outcome == "late" else "no_answer"
        self.records.write(
            "viewer", what, ask=ask, front=name, how=reply.outcome, took=int(reply.elapsed_s * 10_000)
        )
        return self.result_unless_ended(None, "")

    def result_unless_ended(self, plan, play: str):
        """The result of a request; raises CancelledError once the run has ended, so that the viewer stops."""
        if self.ended:
            raise asyncio.CancelledError
        return plan, play

    async def fetch_reply(
        self, pool: Pool, target: str, ask: str, name: str, patience: float | None, limit: int
    ):
        """Wait for the reply to a request; if cancelled meanwhile, the viewer hangs up, which is recorded."""
        task, began = asyncio.current_task(), self.loop.time()
        self.waiting.add(task)
        try:
            return await pool.fetch(
                request_bytes("GET", target, pool.host), patience or limit / 1000 + LATE_ANSWER_WAIT_S
            )
        except asyncio.CancelledError:
            took = self.loop.time() - began
            what = "hung_up" if took < limit / 1000 else "no_answer"
            self.records.write("viewer", what, ask=ask, front=name, how="over", took=int(took * 10_000))
            raise
        finally:
            self.waiting.discard(task)

    def node_pool(self, base: str) -> Pool:
        """The connections to the node in a manifest's base URL."""
        address, _, port = base.split("/")[2].rpartition(":")
        # Viewers connect to a node's own port, not to the port of a front's link.
        own_port = next(iter(self.plan["nodes"]))["port"] if self.plan.get("links") else int(port)
        key = address.strip("[]"), own_port
        if key not in self.nodes:
            self.nodes[key] = Pool(self.loop, self.timers, *key)
        return self.nodes[key]

    async def watch(self, who: dict, number: int, play: str, plan, left: float) -> float:
        """Fetch segments until `left` seconds are seen, the node is lost or the viewer has stalled too long.

        Follows moves of the play. Returns the seconds seen.
        """
        pool, path = self.node_pool(plan.base), "/" + plan.base.split("/", 3)[3]
        begin = self.loop.time()
        buffer = 0.0
        seen = 0.0
        stalled = 0.0
        worth = 0.0
        rung = plan.rungs[-1][0]
        why = "done"
        wrong = 0  # segments with a wrong number or rung
        segment = plan.first
        changes = 0  # of the rung
        last_rung = None
        moves = 0
        self.watching += 1
        try:
            while seen < left:
                target = f"{path}seg/r{rung}/{segment}?t={plan.token}&{cmcd.query_argument(buffer)}"
                asked = self.loop.time()
                reply = await pool.fetch(request_bytes("GET", target, pool.host), buffer + SEGMENT_TIMEOUT_S)
                took = self.loop.time() - asked
                if reply.outcome == "ok" and reply.message.status == 410 and plan.location:
                    # The play has left this node: request the manifest of its new one.
                    location = reply.message.headers.get("location", plan.location)
                    moved_to, old_play = await self.follow_move(who, number, moves, location), play
                    gap = self.loop.time() - asked
                    stalled += max(0.0, gap - buffer)
                    self.records.write(
                        "viewer",
                        "seam",
                        ask=f"{who['viewer']}/{number}",
                        play=old_play,
                        to=moved_to[1],
                        gap=round(gap, 3),
                        buffer=round(buffer, 3),
                        stalled=round(max(0.0, gap - buffer), 3),
                    )
                    buffer, moves = max(0.0, buffer - gap), moves + 1
                    if moved_to[0] is None:
                        why = "lost by a move"
                        break
                    plan, play = moved_to
                    pool, path = self.node_pool(plan.base), "/" + plan.base.split("/", 3)[3]
                    continue
                if reply.outcome != "ok" or reply.message.status != 200:
                    why = reply.outcome if reply.outcome != "ok" else f"status {reply.message.status}"
                    stalled += max(0.0, took - buffer) if segment > plan.first else 0.0
                    break
                head = reply.message.body[:16]
                sent_rung = int(head[8:]) if head.isdigit() and len(head) == 16 else -1
                wrong += head[:8] != b"%08d" % segment or sent_rung < 0
                changes += last_rung is not None and sent_rung != last_rung
                last_rung = sent_rung
                if segment > plan.first:
                    stalled += max(0.0, took - buffer)
                    buffer = max(0.0, buffer - took)
                buffer += plan.segment
                seen += plan.segment
                worth += plan.segment * self.plan["worth"][max(0, sent_rung)]
                segment += 1
                max_kbps = cmsd.most_kbps(reply.message.headers.get("cmsd-dynamic", ""))
                if max_kbps is not None:
                    rung = max(
                        [r for r, bits in plan.rungs if bits <= max_kbps * 1000 + 1000],
                        default=plan.rungs[0][0],
                    )
                if stalled > MAX_STALL_SHARE * max(MIN_SEEN_S, seen):
                    why = "stalled"
                    break
                if buffer > TARGET_BUFFER_S:
                    pause = buffer - TARGET_BUFFER_S
                    await asyncio.sleep(pause)
                    buffer -= pause
            if why in ("done", "stalled"):
                await pool.fetch(request_bytes("POST", f"{path}end?t={plan.token}", pool.host), END_TIMEOUT_S)
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
    """Run the viewers of a plan; SIGTERM cancels them all."""
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
