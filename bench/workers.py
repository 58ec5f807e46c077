"""Set-ups per second with several workers under one daemon, and the cost of routing a viewer to the same one.

    python bench/workers.py [--seconds S] [--out bench/results/workers]

Stand-in nodes that answer at once, a closed loop of 64 viewers over persistent or over new connections.
Measured in one run with a shared listening socket and with one for each worker (SO_REUSEPORT).
"""

import argparse
import asyncio
import re
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import uvloop
from front import process
from rig import plan_for

from curlewhall.daemon.control import DaemonNotRunningError, ask

RIG = str(Path(__file__).with_name("rig.py"))


async def viewer(
    name: str, plan: dict, until: float, persistent: bool, latencies: list[float], outcomes: dict
) -> None:
    """Request plays one after another until the time `until`."""
    front, titles, count, connection = plan["fronts"][0], plan["titles"], 0, None
    while (began := time.perf_counter()) < until:
        title = titles[(hash(name) + count) % len(titles)]["title"]
        count += 1
        try:
            if connection is None:
                connection = await asyncio.open_connection(front["address"], front["port"])
            connection[1].write(
                f"GET /play/{title}?product=plain&viewer={name} HTTP/1.1\r\n" "host: b\r\n\r\n".encode()
            )
            head = await connection[0].readuntil(b"\r\n\r\n")
            await connection[0].readexactly(int(re.search(rb"content-length: (\d+)", head)[1]))
            status = head[9:12].decode()
        except (OSError, EOFError):
            status, connection = "lost", None
        outcomes[status] = outcomes.get(status, 0) + 1
        latencies.append(time.perf_counter() - began)
        if not persistent and connection is not None:
            connection[1].close()
            connection = None


async def crowd(plan: dict, seconds: float, persistent: bool, seed: str) -> tuple[float, list[float], dict]:
    """Run 64 viewers; returns requests per second, sorted latencies in seconds, and the number by outcome."""
    latencies, outcomes = [], {}
    began = time.perf_counter()
    await asyncio.gather(
        *(viewer(f"{seed}-{i}", plan, began + seconds, persistent, latencies, outcomes) for i in range(64))
    )
    return len(latencies) / (time.perf_counter() - began), sorted(latencies), outcomes


def main() -> None:
    """Run all measurements and write the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--workers", type=int, nargs="+", default=[1, 2, 4])
    parser.add_argument("--out", default="bench/results/workers")
    args = parser.parse_args()
    rows = [
        "| workers | listening | connections | set-ups/s | over one worker | p50 ms | p99 ms | answers |",
        "|" + " --- |" * 8,
    ]
    with tempfile.TemporaryDirectory() as name:
        folder, single_worker_rate = Path(name), {}
        plan = plan_for(folder, 14, life=2.0)
        file = folder / "front.textproto"
        plain = file.read_text()
        with process([RIG, "nodes", str(folder / "plan.json")], 0, folder, "ready"):
            for count in args.workers:
                for own_socket in (False, True) if count > 1 else (False,):
                    daemon_folder = folder / f"home-{count}-{own_socket}"
                    file.write_text(
                        plain + f'\ndaemon {{ folder: "{daemon_folder}" workers: {count} '
                        f"reuse_port: {str(own_socket).lower()} }}\n"
                    )
                    daemon = subprocess.Popen(
                        [sys.executable, "-m", "curlewhall", "start", str(file)], stderr=subprocess.DEVNULL
                    )
                    while not serving(daemon_folder):
                        time.sleep(0.05)
                    time.sleep(0.5)
                    for persistent in (True, False):
                        uvloop.run(crowd(plan, 1.0, persistent, "warm"))
                        rate, latencies, outcomes = uvloop.run(crowd(plan, args.seconds, persistent, "v"))
                        single_worker_rate.setdefault(persistent, rate)
                        rows.append(
                            f"| {count} | {'one each' if own_socket else 'shared'} | "
                            f"{'kept' if persistent else 'fresh'} | {rate:.0f} | "
                            f"{rate / single_worker_rate[persistent]:.2f} | "
                            f"{1000 * latencies[len(latencies) // 2]:.1f} | "
                            f"{1000 * latencies[int(0.99 * len(latencies))]:.1f} | "
                            f"{', '.join(f'{n} {s}' for s, n in sorted(outcomes.items()))} |"
                        )
                        print(rows[-1], flush=True)
                    daemon.terminate()
                    daemon.wait()
    note = "14 stand-in nodes that answer at once, one asking process, one machine."
    text = "\n".join(rows) + f"\n\n{note}\n"
    Path(args.out + ".md").write_text(text)


def serving(daemon_folder: Path) -> bool:
    """Whether the daemon runs and all of its workers serve."""
    try:
        return all(row["state"] == "serving" for row in ask(daemon_folder, "status")["workers"])
    except DaemonNotRunningError:
        return False


if __name__ == "__main__":
    main()
