"""A hand-over with thousands of open viewer connections: requests refused or reset, and their latency.

    python bench/handover.py [--connections 5000] [--rounds 5] [--out bench/results/handover]

Stand-in nodes and viewers on loopback, one front under a daemon. In each round all connections are open and
idle, a probe sends a request every 2 ms over a new connection, and set-ups are under way at every node; then
the front is replaced and a request is sent on every idle connection. Each round is repeated without a
hand-over.
"""

import argparse
import asyncio
import resource
import tempfile
import time
from pathlib import Path

from curlewhall.daemon.control import ask
from curlewhall.drills.fleet import Processes, daemon_folder, make_plan

FIRST_REQUEST, LATER_REQUEST = (
    b"GET %s HTTP/1.1\r\nhost: bench\r\n\r\n" % path for path in (b"/v1/moves", b"/play/none")
)


async def read_response(reader) -> int:
    """Read a response; returns its status."""
    head = await reader.readuntil(b"\r\n\r\n")
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            await reader.readexactly(int(line.split(b":")[1]))
    return int(head.split(b" ", 2)[1])


async def open_and_request(address: str, port: int, request: bytes) -> tuple:
    """Send a request on a new connection and wait for its response; returns the connection."""
    reader, writer = await asyncio.open_connection(address, port)
    writer.write(request)
    await read_response(reader)
    return reader, writer


async def probe(address: str, port: int, until: asyncio.Event, latencies: list[float]) -> None:
    """Send a request every 2 ms, each over a new connection, without waiting for the one before."""

    async def send_request() -> None:
        began = time.perf_counter()
        try:
            _, writer = await open_and_request(address, port, LATER_REQUEST)
            writer.close()
            latencies.append(time.perf_counter() - began)
        except (OSError, EOFError):
            latencies.append(float("inf"))

    tasks = set()
    while not until.is_set():
        tasks.add(asyncio.ensure_future(send_request()))
        await asyncio.sleep(0.002)
    await asyncio.gather(*tasks)


async def request_plays(plan: dict, until: asyncio.Event, outcomes: dict[bool, int]) -> None:
    """Request plays at every node all the time; counts requests by whether they were answered."""
    front, count = plan["fronts"][0], 0
    while not until.is_set():
        batch = []
        for title in plan["titles"]:
            count += 1
            target = f"/play/{title['title']}?product=plain&viewer=b{count}".encode()
            batch.append(
                open_and_request(
                    front["address"], front["port"], b"GET " + target + b" HTTP/1.1\r\nhost: bench\r\n\r\n"
                )
            )
        for result in await asyncio.gather(*batch, return_exceptions=True):
            answered = not isinstance(result, BaseException)
            outcomes[answered] = outcomes.get(answered, 0) + 1
            if answered:
                result[1].close()


async def run_round(plan: dict, connections: int, hand_over: bool) -> dict:
    """Run one round, with or without a hand-over; latencies are in seconds."""
    front = plan["fronts"][0]
    address, port = front["address"], front["port"]
    open_connections = []
    for _ in range(0, connections, 100):
        open_connections += await asyncio.gather(
            *(open_and_request(address, port, FIRST_REQUEST) for _ in range(min(100, connections)))
        )
    until, latencies, outcomes = asyncio.Event(), [], {}
    background = [
        asyncio.ensure_future(probe(address, port, until, latencies)),
        asyncio.ensure_future(request_plays(plan, until, outcomes)),
    ]
    await asyncio.sleep(0.5)
    began = time.perf_counter()
    reply = {"ok": True}
    if hand_over:
        reply = await asyncio.to_thread(ask, Path(daemon_folder(plan, 0)), "restart")
    else:
        await asyncio.sleep(0.8)
    span = time.perf_counter() - began

    async def request_again(reader, writer) -> float:
        began = time.perf_counter()
        try:
            writer.write(LATER_REQUEST)
            await read_response(reader)
            return time.perf_counter() - began
        except (OSError, EOFError):
            return float("inf")

    idle_latencies = []
    for i in range(0, len(open_connections), 100):
        idle_latencies += await asyncio.gather(
            *(request_again(*connection) for connection in open_connections[i : i + 100])
        )
    until.set()
    await asyncio.gather(*background)
    for _, writer in open_connections:
        writer.close()
    latencies.sort()
    lost = sum(latency == float("inf") for latency in [*idle_latencies, *latencies]) + outcomes.get(False, 0)
    return {
        "ok": reply["ok"],
        "span": span,
        "lost": lost,
        "asked": len(idle_latencies) + len(latencies) + sum(outcomes.values()),
        "p50": latencies[len(latencies) // 2],
        "p99": latencies[int(0.99 * len(latencies))],
        "longest": latencies[-1],
        "idle": max(idle_latencies),
    }


def main() -> None:
    """Run all rounds and write the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--connections", type=int, default=5000)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--out", default="bench/results/handover")
    args = parser.parse_args()
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
            for number in range(args.rounds):
                for hand_over in (False, True):
                    found = asyncio.run(run_round(plan, args.connections, hand_over))
                    how = "handed over" if hand_over else "as it is"
                    rows.append(
                        f"| {number + 1} {how} | {found['asked']} | {found['lost']} | "
                        f"{found['span'] if hand_over else 0:.2f} | {1000 * found['p50']:.1f} | "
                        f"{1000 * found['p99']:.1f} | {1000 * found['longest']:.0f} | "
                        f"{1000 * found['idle']:.0f} |"
                    )
                    print(rows[-1], flush=True)
    text = "\n".join(rows) + f"\n\n{args.connections} open connections, 14 stand-in nodes, one machine.\n"
    Path(args.out + ".md").write_text(text)


if __name__ == "__main__":
    main()
