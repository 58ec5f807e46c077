"""The cost of durability for a front, how much it writes, and how long a start takes with many plays on disk.

    python bench/recovery.py [--seconds S] [--out bench/results/recovery]

Off, lagging and strict in one run. All plays are of a product with side effects, so that strict waits for the
disk each time.
"""

import argparse
import asyncio
import sys
import tempfile
import time
from collections import deque
from pathlib import Path

import uvloop

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from front import process, run_load, serve, wait_until_serving  # noqa: E402
from rig import plan_for  # noqa: E402

from curlewhall.recovery import form  # noqa: E402
from curlewhall.recovery.state import AllocationSent, PlayEnded, PlayStarted, RequestsAccepted  # noqa: E402
from curlewhall.recovery.store import StateFolder, Store  # noqa: E402
from curlewhall.wire.timers import Timers  # noqa: E402

RIG = str(Path(__file__).with_name("rig.py"))
DURABILITIES = {"off": None, "lagging": "LAGGING", "strict": "STRICT"}


def cost(seconds: float) -> list[str]:
    """Table of throughput, latency and bytes written by durability."""
    rows = ["| durability | load | set-ups/s | p50 ms | p99 ms | bytes written a play |", "|" + " --- |" * 6]
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        plan = plan_for(folder, 14, life=2.0)
        file = folder / "front.textproto"
        plain = file.read_text().replace("idempotency: PURE", "idempotency: SIDE_EFFECT")
        rate = 0.0
        with process([RIG, "nodes", str(folder / "plan.json")], 0, folder, "ready"):
            for label, durability in DURABILITIES.items():
                state = folder / f"state-{label}"
                more = f'\nstate {{ folder: "{state}" durability: {durability} }}\n' if durability else ""
                file.write_text(plain + more)
                with serve(folder, "curlewhall.policy:Front"):
                    wait_until_serving(plan, folder)
                    run_load(folder, 0, 1.0)
                    size = log_bytes(state)
                    most = run_load(folder, 0, seconds)
                    rate = rate or most["rate"]
                    for load in ("most", "half"):
                        found = most if load == "most" else run_load(folder, rate / 2, seconds)
                        grown, size = log_bytes(state) - size, log_bytes(state)
                        count = sum(found["ends"].values())
                        rows.append(
                            f"| {label} | {load} | {found['rate']:.0f} | {found['p50']:.2f} | "
                            f"{found['p99']:.2f} | {max(0, grown) / count:.0f} |"
                        )
    return rows


def log_bytes(folder: Path) -> int:
    """Size of all log files in a folder."""
    return sum(path.stat().st_size for path in folder.glob("log-*")) if folder.exists() else 0


def starts() -> list[str]:
    """Table of how long the state takes to load."""
    rows = [
        "| plays on disk | log MB | start s from the log | start s from a snapshot | snapshot MB |",
        "|" + " --- |" * 5,
    ]
    for count in (10_000, 100_000):
        with tempfile.TemporaryDirectory() as name:
            files = StateFolder(name, 10_000)
            files.open()
            entries = [
                entry
                for i in range(count)
                for entry in (
                    AllocationSent(
                        f"front-a-1f2e3d4c-{i:x}",
                        0,
                        f"n{i % 170:03}",
                        f"viewer-{i}",
                        f"clip-{i % 300}",
                        "paid",
                        True,
                        i,
                    ),
                    PlayStarted(f"front-a-1f2e3d4c-{i:x}", 0),
                )
            ]
            files.append(entries)
            log = files.log_bytes
            files.close()
            load_times = []
            for _ in range(2):  # the first start reads the log and writes a snapshot, which the second reads
                began = time.perf_counter()
                reopened = StateFolder(name, 10_000)
                reopened.open()
                load_times.append(time.perf_counter() - began)
                assert len(reopened.state.playing) == count
                reopened.close()
            snapshot_bytes = len(form.encode_snapshot(reopened.state.entries()))
            cells = (
                count,
                f"{log / 1e6:.1f}",
                f"{load_times[0]:.2f}",
                f"{load_times[1]:.2f}",
                f"{snapshot_bytes / 1e6:.2f}",
            )
            rows.append(f"| {' | '.join(map(str, cells))} |")
    return rows


async def hour(rate: int, life: int) -> list[str]:
    """Write an hour's plays as fast as the disk allows and return a table of the folder's size."""
    with tempfile.TemporaryDirectory() as name:
        loop = asyncio.get_running_loop()
        files = StateFolder(name, 10_000)
        files.open()
        store = Store(files, loop, Timers(loop), None)
        sizes, count, written, ends = [], 0, 0, deque()
        for second in range(3600):
            for _ in range(rate):
                count += 1
                play = f"front-a-1f2e3d4c-{count:x}"
                store.add(
                    AllocationSent(
                        play,
                        0,
                        f"n{count % 170:03}",
                        f"viewer-{count}",
                        f"clip-{count % 300}",
                        "paid",
                        True,
                        second * 1000,
                    )
                )
                store.add(PlayStarted(play, 0))
                ends.append((second + life, play))
            while ends and ends[0][0] <= second:
                store.add(PlayEnded(ends.popleft()[1]))
            store.add(RequestsAccepted(second * 1000, rate))
            while store.writing:
                await asyncio.sleep(0)
            sizes.append(sum(path.stat().st_size for path in Path(name).iterdir()))
            written = max(written, files.generation)
        assert len(files.state.allocations) == rate * life
        store.close()
        mean = sum(sizes) / len(sizes) / 1e6
        return [
            "| an hour of | plays | held | generations | folder MB, mean | folder MB, most |",
            "|" + " --- |" * 6,
            f"| {rate} plays a second | {count} | {rate * life} | {written} | "
            f"{mean:.1f} | {max(sizes) / 1e6:.1f} |",
        ]


def main() -> None:
    """Run all measurements and write the tables."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--out", default="bench/results/recovery")
    args = parser.parse_args()
    note = "14 stand-in nodes that answer at once, all on one machine; ratios within one run count."
    text = "\n".join([*cost(args.seconds), "", *starts(), "", *uvloop.run(hour(30, 120)), "", note])
    Path(args.out + ".md").write_text(text + "\n")
    print(text)


if __name__ == "__main__":
    main()
