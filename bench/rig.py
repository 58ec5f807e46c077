"""Shared parts of the benchmarks: nodes that answer at once, and a load generator.

python bench/rig.py nodes PLAN.json      nodes and list service of a plan, answering at once
python bench/rig.py load PLAN.json ...   open- or closed-loop load generator, prints one line of JSON
"""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

import uvloop
from hdrh.histogram import HdrHistogram

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from curlewhall.drills.fleet import make_plan, settings  # noqa: E402
from curlewhall.records import Writer  # noqa: E402
from curlewhall.standins.listservice import ListService  # noqa: E402
from curlewhall.wire import forms  # noqa: E402
from curlewhall.wire.client import Pool  # noqa: E402
from curlewhall.wire.http import request_bytes  # noqa: E402
from curlewhall.wire.server import Server, listen  # noqa: E402
from curlewhall.wire.timers import Timers  # noqa: E402


class QuickNode:
    """A node that accepts every set-up at once and ends the play after `life` seconds (0: never)."""

    def __init__(self, loop, timers, spec: dict, life: float) -> None:
        self.timers = timers
        self.name = spec["node"]
        self.life = life
        self.streams = {}  # front -> its event stream
        self.server = Server(loop, timers, listen(spec["address"], spec["port"]), self.handle)
        self.report = {"link_asked": 0.3, "uplink_asked": 0.3}

    def handle(self, exchange) -> None:
        """Answer one HTTP request."""
        target = exchange.request.target
        if target == "/v1/plays":
            request = forms.decode(forms.SetUp, exchange.request.body)
            info = request.facts
            done = forms.SetUpDone(self.name, info.play, info.number, self.report)
            exchange.reply(201, {}, forms.encode(done))
            if self.life:
                self.timers.after(self.life, self.end, request.front, info.play, info.number)
        elif target.startswith("/v1/events"):
            self.streams[target.partition("front=")[2]] = exchange
            exchange.start(200, {})
            exchange.write(forms.encode(forms.Event("hello", node=self.name)) + b"\n")
        elif target == "/v1/load":
            exchange.reply(200, {}, forms.encode(forms.Load(self.name, self.report)))
        else:
            exchange.reply(204)

    def end(self, front: str, play: str, number: int) -> None:
        """Report the end of a play to its front."""
        stream = self.streams.get(front)
        if stream is not None:
            stream.write(forms.encode(forms.Event("ended", play, number, how="ok")) + b"\n")


async def nodes(plan: dict) -> None:
    """Run the nodes and the list service of a plan; prints "ready" once they listen."""
    loop = asyncio.get_running_loop()
    timers = Timers(loop)
    for spec in plan["nodes"]:
        QuickNode(loop, timers, spec, plan["life"])
    rows = [
        forms.Row(s["node"], s["address"], s["port"], s["place"], s["zone"], s["kind"]) for s in plan["nodes"]
    ]
    titles = [forms.Title(**title) for title in plan["titles"]]
    ListService(loop, timers, plan, rows, titles, Writer(os.devnull)).start()
    print("ready", flush=True)
    await asyncio.Event().wait()


async def load(plan: dict, rate: float, seconds: float, straight: bool, window: int) -> None:
    """Send `rate` requests per second on schedule or, with rate 0, keep `window` requests in flight.

    `straight`: to the nodes, without a front. Prints the achieved rate, the answers and percentiles of the
    latency in ms, counted from when each request was due.
    """
    loop = asyncio.get_running_loop()
    timers = Timers(loop)
    front = plan["fronts"][0]
    pools = (
        [Pool(loop, timers, s["address"], s["port"], connect=2) for s in plan["nodes"]]
        if straight
        else [Pool(loop, timers, front["address"], front["port"], connect=2)]
    )
    histogram = HdrHistogram(1, 60_000_000, 3)  # microseconds
    outcomes = {}  # HTTP status or kind of failure -> number of requests
    max_send_delay = [0.0]  # seconds that a request was sent behind schedule
    count = [0]
    titles = [title["title"] for title in plan["titles"]]

    def request(i: int):
        pool = pools[i % len(pools)]
        if straight:
            info = forms.PlayInfo(f"p{os.getpid()}-{i}", 0, "plain", "", "v", titles[0], 3, 1)
            return pool, request_bytes(
                "POST", "/v1/plays", pool.host, forms.encode(forms.SetUp("nobody", info, 3000.0))
            )
        return pool, request_bytes(
            "GET", f"/play/{titles[i % len(titles)]}?product=plain&viewer=v{i}", pool.host
        )

    def count_reply(reply, due: float) -> None:
        status = reply.message.status if reply.outcome == "ok" else reply.outcome
        outcomes[str(status)] = outcomes.get(str(status), 0) + 1
        histogram.record_value(max(1, int((time.monotonic() - due) * 1e6)))

    begin = time.monotonic()
    if rate:
        done = asyncio.Event()
        total = int(rate * seconds)

        def end(reply, due):
            count_reply(reply, due)
            if sum(outcomes.values()) == total:
                done.set()

        for i in range(total):
            due = begin + i / rate
            while (wait := due - time.monotonic()) > 0:
                await asyncio.sleep(wait)
            max_send_delay[0] = max(max_send_delay[0], time.monotonic() - due)
            pool, data = request(i)
            pool.request(data, 10.0, lambda reply, due=due: end(reply, due))
        await done.wait()
    else:

        async def worker() -> None:
            while time.monotonic() < begin + seconds:
                count[0] += 1
                pool, data = request(count[0])
                sent = time.monotonic()
                count_reply(await pool.fetch(data, 10.0), sent)

        await asyncio.gather(*[worker() for _ in range(window)])
    elapsed = time.monotonic() - begin
    print(
        json.dumps(
            {
                "rate": sum(outcomes.values()) / elapsed,
                "ends": outcomes,
                "late_ms": max_send_delay[0] * 1000,
                **{f"p{q}": histogram.get_value_at_percentile(q) / 1000 for q in (50, 99, 99.9)},
            }
        )
    )


def plan_for(folder: Path, count: int, life: float) -> dict:
    """Write a plan and its files whose links and streams are never full, so that every request is set up."""
    plan = make_plan(1, count, 1, 60, folder)
    plan |= {"life": life}
    plan["list_service"]["lag"] = [0, 0]
    (folder / "key").touch(mode=0o600)
    (folder / "key").write_bytes(b"k" * 32)
    (folder / "plan.json").write_text(json.dumps(plan))
    text = settings(plan, 0)
    for old, new in (
        ("link_unit_kb: 9000.0", "link_unit_kb: 9e9"),
        ("streams: 40", "streams: 1000000"),
        ("warm_within_ms: 5000", "warm_within_ms: 50"),
        ('level: "info"', 'level: "warning"'),
    ):
        assert old in text, old
        text = text.replace(old, new)
    uplink = next(row for row in text.splitlines() if "uplink_kb" in row)
    (folder / "front.textproto").write_text(text.replace(uplink, "  uplink_kb: 9e10"))
    return plan


def main() -> None:
    """Run the command of the arguments."""
    command, path, *arguments = sys.argv[1:]
    plan = json.loads(Path(path).read_text())
    if command == "nodes":
        uvloop.run(nodes(plan))
    else:
        rate, seconds, straight, window = arguments
        uvloop.run(load(plan, float(rate), float(seconds), straight == "straight", int(window)))


if __name__ == "__main__":
    main()
