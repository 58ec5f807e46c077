"""A hand-over with thousands of open viewer connections: what is refused, reset or late, and for how long.

    python bench/handover.py [--connections 5000] [--rounds 5] [--out bench/results/handover]

Stand-in nodes and viewers on loopback, one front under a daemon. Each round all connections are open and
idle, a probe asks every 2 ms over connections of its own, and set-ups are under way at every node; then the
front is replaced and every idle connection asks for something. The same once more without a hand-over.
"""

import argparse
import asyncio
import resource
import tempfile
import time
from pathlib import Path

from curlewhall.daemon.control import ask
from curlewhall.drills.fleet import Processes, daemon_folder, make_plan

FIRST, LATER = (b"GET %s HTTP/1.1\r\nhost: bench\r\n\r\n" % path for path in (b"/v1/moves", b"/play/none"))


async def answered(reader) -> int:
    head = await reader.readuntil(b"\r\n\r\n")
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            await reader.readexactly(int(line.split(b":")[1]))
    return int(head.split(b" ", 2)[1])


async def one(address: str, port: int, request: bytes) -> tuple:
    reader, writer = await asyncio.open_connection(address, port)
    writer.write(request)
    await answered(reader)
    return reader, writer


async def probe(address: str, port: int, until: asyncio.Event, took: list[float]) -> None:
    """One request every 2 ms, each over a fresh connection, none waiting for the one before."""

    async def once() -> None:
        began = time.perf_counter()
        try:
            _, writer = await one(address, port, LATER)
            writer.close()
            took.append(time.perf_counter() - began)
        except (OSError, EOFError):
            took.append(float("inf"))

    tasks = set()
    while not until.is_set():
        tasks.add(asyncio.ensure_future(once()))
        await asyncio.sleep(0.002)
    await asyncio.gather(*tasks)


async def plays(plan: dict, until: asyncio.Event, statuses: dict[int, int]) -> None:
    """Set-ups at every node, all the time."""
    where, count = plan["fronts"][0], 0
    while not until.is_set():
        batch = []
        for title in plan["titles"]:
            count += 1
            target = f"/play/{title['title']}?product=plain&viewer=b{count}".encode()
            batch.append(
                one(where["address"], where["port"], b"GET " + target + b" HTTP/1.1\r\nhost: bench\r\n\r\n")
            )
        for found in await asyncio.gather(*batch, return_exceptions=True):
            good = not isinstance(found, BaseException)
            statuses[good] = statuses.get(good, 0) + 1
            if good:
                found[1].close()


async def round_of(plan: dict, connections: int, hand: bool) -> dict:
    where = plan["fronts"][0]
    address, port = where["address"], where["port"]
    lines = []
    for _ in range(0, connections, 100):
        lines += await asyncio.gather(*(one(address, port, FIRST) for _ in range(min(100, connections))))
    until, took, statuses = asyncio.Event(), [], {}
    side = [
        asyncio.ensure_future(probe(address, port, until, took)),
        asyncio.ensure_future(plays(plan, until, statuses)),
    ]
    await asyncio.sleep(0.5)
    began = time.perf_counter()
    reply = {"ok": True}
    if hand:
        reply = await asyncio.to_thread(ask, Path(daemon_folder(plan, 0)), "restart")
    else:
        await asyncio.sleep(0.8)
    span = time.perf_counter() - began

    async def again(reader, writer) -> float:
        began = time.perf_counter()
        try:
            writer.write(LATER)
            await answered(reader)
            return time.perf_counter() - began
        except (OSError, EOFError):
            return float("inf")

    waits = []
    for i in range(0, len(lines), 100):
        waits += await asyncio.gather(*(again(*line) for line in lines[i : i + 100]))
    until.set()
    await asyncio.gather(*side)
    for _, writer in lines:
        writer.close()
    took.sort()
    lost = sum(w == float("inf") for w in [*waits, *took]) + statuses.get(False, 0)
    return {
        "ok": reply["ok"],
        "span": span,
        "lost": lost,
        "asked": len(waits) + len(took) + sum(statuses.values()),
        "p50": took[len(took) // 2],
        "p99": took[int(0.99 * len(took))],
        "longest": took[-1],
        "idle": max(waits),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--connections", type=int, default=5000)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--out", default="bench/results/handover")
    asked = parser.parse_args()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    rows = [
        "| round | requests | lost | hand-over s | p50 ms | p99 ms | longest ms | idle, longest ms |",
        "|" + " --- |" * 8,
    ]
    with tempfile.TemporaryDirectory() as name:
        plan = make_plan(1, 14, 1, 60, Path(name)) | {"daemon": 1, "durability": "lagging"}
        for title in plan["titles"]:
            title["places"] = 7
        with Processes(plan):
            for number in range(asked.rounds):
                for hand in (False, True):
                    found = asyncio.run(round_of(plan, asked.connections, hand))
                    how = "handed over" if hand else "as it is"
                    rows.append(
                        f"| {number + 1} {how} | {found['asked']} | {found['lost']} | "
                        f"{found['span'] if hand else 0:.2f} | {1000 * found['p50']:.1f} | "
                        f"{1000 * found['p99']:.1f} | {1000 * found['longest']:.0f} | "
                        f"{1000 * found['idle']:.0f} |"
                    )
                    print(rows[-1], flush=True)
    text = "\n".join(rows) + f"\n\n{asked.connections} open connections, 14 stand-in nodes, one machine.\n"
    Path(asked.out + ".md").write_text(text)


if __name__ == "__main__":
    main()
