"""Set-ups a second with several workers under one daemon, and what it costs that a viewer meets the same one.

    python bench/workers.py [--seconds S] [--out bench/results/workers]

Stand-in nodes that answer at once, a closed loop of 64 viewers over kept connections, or over fresh ones. The
shared socket and a socket for each worker (SO_REUSEPORT), in one run.
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


async def viewer(name: str, plan: dict, until: float, kept: bool, took: list[float], ends: dict) -> None:
    where, titles, count, line = plan["fronts"][0], plan["titles"], 0, None
    while (began := time.perf_counter()) < until:
        title = titles[(hash(name) + count) % len(titles)]["title"]
        count += 1
        try:
            if line is None:
                line = await asyncio.open_connection(where["address"], where["port"])
            line[1].write(
                f"GET /play/{title}?product=plain&viewer={name} HTTP/1.1\r\n" "host: b\r\n\r\n".encode()
            )
            head = await line[0].readuntil(b"\r\n\r\n")
            await line[0].readexactly(int(re.search(rb"content-length: (\d+)", head)[1]))
            status = head[9:12].decode()
        except (OSError, EOFError):
            status, line = "lost", None
        ends[status] = ends.get(status, 0) + 1
        took.append(time.perf_counter() - began)
        if not kept and line is not None:
            line[1].close()
            line = None


async def crowd(plan: dict, seconds: float, kept: bool, seed: str) -> tuple[float, list[float], dict]:
    took, ends = [], {}
    began = time.perf_counter()
    await asyncio.gather(*(viewer(f"{seed}-{i}", plan, began + seconds, kept, took, ends) for i in range(64)))
    return len(took) / (time.perf_counter() - began), sorted(took), ends


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--workers", type=int, nargs="+", default=[1, 2, 4])
    parser.add_argument("--out", default="bench/results/workers")
    asked = parser.parse_args()
    rows = [
        "| workers | listening | connections | set-ups/s | over one worker | p50 ms | p99 ms | answers |",
        "|" + " --- |" * 8,
    ]
    with tempfile.TemporaryDirectory() as name:
        folder, first = Path(name), {}
        plan = plan_for(folder, 14, life=2.0)
        file = folder / "front.textproto"
        plain = file.read_text()
        with process([RIG, "nodes", str(folder / "plan.json")], 0, folder, "ready"):
            for count in asked.workers:
                for each in (False, True) if count > 1 else (False,):
                    home = folder / f"home-{count}-{each}"
                    file.write_text(
                        plain + f'\ndaemon {{ folder: "{home}" workers: {count} '
                        f"reuse_port: {str(each).lower()} }}\n"
                    )
                    daemon = subprocess.Popen(
                        [sys.executable, "-m", "curlewhall", "start", str(file)], stderr=subprocess.DEVNULL
                    )
                    while not serving(home):
                        time.sleep(0.05)
                    time.sleep(0.5)
                    for kept in (True, False):
                        uvloop.run(crowd(plan, 1.0, kept, "warm"))
                        rate, took, ends = uvloop.run(crowd(plan, asked.seconds, kept, "v"))
                        first.setdefault(kept, rate)
                        rows.append(
                            f"| {count} | {'one each' if each else 'shared'} | "
                            f"{'kept' if kept else 'fresh'} | {rate:.0f} | "
                            f"{rate / first[kept]:.2f} | "
                            f"{1000 * took[len(took) // 2]:.1f} | "
                            f"{1000 * took[int(0.99 * len(took))]:.1f} | "
                            f"{', '.join(f'{n} {s}' for s, n in sorted(ends.items()))} |"
                        )
                        print(rows[-1], flush=True)
                    daemon.terminate()
                    daemon.wait()
    note = "14 stand-in nodes that answer at once, one asking process, one machine."
    text = "\n".join(rows) + f"\n\n{note}\n"
    Path(asked.out + ".md").write_text(text)


def serving(home: Path) -> bool:
    try:
        return all(row["state"] == "serving" for row in ask(home, "status")["workers"])
    except DaemonNotRunningError:
        return False


if __name__ == "__main__":
    main()
