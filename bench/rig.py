"""What the measurements share: quick nodes that answer at once, an open-loop asker, processes on chosen
cores.

    python bench/rig.py nodes PLAN.json      nodes and list service of a plan, answering at once
    python bench/rig.py load PLAN.json ...   asks on schedule or in a closed loop, prints one line of JSON
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
    """Says yes to every set-up at once and ends the play after `life` seconds (0: never)."""

    def __init__(self, loop, timers, spec: dict, life: float) -> None:
        self.timers, self.name, self.life, self.streams = timers, spec["node"], life, {}
        self.server = Server(loop, timers, listen(spec["address"], spec["port"]), self.handle)
        self.report = {"link_asked": 0.3, "uplink_asked": 0.3}

    def handle(self, exchange) -> None:
        target = exchange.request.target
        if target == "/v1/plays":
            asked = forms.decode(forms.SetUp, exchange.request.body)
            facts = asked.facts
            done = forms.SetUpDone(self.name, facts.play, facts.number, self.report)
            exchange.reply(201, {}, forms.encode(done))
            if self.life:
                self.timers.after(self.life, self.end, asked.front, facts.play, facts.number)
        elif target.startswith("/v1/events"):
            self.streams[target.partition("front=")[2]] = exchange
            exchange.start(200, {})
            exchange.write(forms.encode(forms.Event("hello", node=self.name)) + b"\n")
        elif target == "/v1/load":
            exchange.reply(200, {}, forms.encode(forms.Load(self.name, self.report)))
        else:
            exchange.reply(204)

    def end(self, front: str, play: str, number: int) -> None:
        stream = self.streams.get(front)
        if stream is not None:
            stream.write(forms.encode(forms.Event("ended", play, number, how="ok")) + b"\n")


async def nodes(plan: dict) -> None:
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
    """Ask at `rate` a second on schedule, or (rate 0) with `window` requests always out."""
    loop = asyncio.get_running_loop()
    timers = Timers(loop)
    front = plan["fronts"][0]
    pools = (
        [Pool(loop, timers, s["address"], s["port"], connect=2) for s in plan["nodes"]]
        if straight
        else [Pool(loop, timers, front["address"], front["port"], connect=2)]
    )
    histogram, ends, late, count = HdrHistogram(1, 60_000_000, 3), {}, [0.0], [0]
    titles = [title["title"] for title in plan["titles"]]

    def request(i: int):
        pool = pools[i % len(pools)]
        if straight:
            facts = forms.PlayInfo(f"p{os.getpid()}-{i}", 0, "plain", "", "v", titles[0], 3, 1)
            return pool, request_bytes(
                "POST", "/v1/plays", pool.host, forms.encode(forms.SetUp("nobody", facts, 3000.0))
            )
        return pool, request_bytes(
            "GET", f"/play/{titles[i % len(titles)]}?product=plain&viewer=v{i}", pool.host
        )

    def answered(reply, due: float) -> None:
        status = reply.message.status if reply.outcome == "ok" else reply.outcome
        ends[str(status)] = ends.get(str(status), 0) + 1
        histogram.record_value(max(1, int((time.monotonic() - due) * 1e6)))

    begin = time.monotonic()
    if rate:
        done = asyncio.Event()
        total = int(rate * seconds)

        def end(reply, due):
            answered(reply, due)
            if sum(ends.values()) == total:
                done.set()

        for i in range(total):
            due = begin + i / rate
            while (wait := due - time.monotonic()) > 0:
                await asyncio.sleep(wait)
            late[0] = max(late[0], time.monotonic() - due)
            pool, data = request(i)
            pool.request(data, 10.0, lambda reply, due=due: end(reply, due))
        await done.wait()
    else:

        async def worker() -> None:
            while time.monotonic() < begin + seconds:
                count[0] += 1
                pool, data = request(count[0])
                sent = time.monotonic()
                answered(await pool.fetch(data, 10.0), sent)

        await asyncio.gather(*[worker() for _ in range(window)])
    spent = time.monotonic() - begin
    print(
        json.dumps(
            {
                "rate": sum(ends.values()) / spent,
                "ends": ends,
                "late_ms": late[0] * 1000,
                **{f"p{q}": histogram.get_value_at_percentile(q) / 1000 for q in (50, 99, 99.9)},
            }
        )
    )


def plan_for(folder: Path, count: int, life: float) -> dict:
    """A plan whose links and streams never say no, so that every request is a set-up."""
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
    what, path, *more = sys.argv[1:]
    plan = json.loads(Path(path).read_text())
    if what == "nodes":
        uvloop.run(nodes(plan))
    else:
        rate, seconds, straight, window = more
        uvloop.run(load(plan, float(rate), float(seconds), straight == "straight", int(window)))


if __name__ == "__main__":
    main()
