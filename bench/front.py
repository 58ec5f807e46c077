"""Throughput of one front on one core in set-ups per second, the latency that it adds, and memory per play.

    python bench/front.py [--seconds S] [--out bench/results/front]

Measured in one run with the real decision module, with a policy that decides nothing, and without a front, at
14 and 170 stand-in nodes that answer at once. Writes a table (Markdown) and the raw figures (JSON).
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
import time
from contextlib import contextmanager
from pathlib import Path

import psutil
from rig import plan_for

RIG = str(Path(__file__).with_name("rig.py"))
CORES = sorted(os.sched_getaffinity(0))
POLICIES = {
    "real module": "curlewhall.policy:Front",
    "decides nothing": "curlewhall.drills.baselines:Nothing",
}


@contextmanager
def process(args: list[str], core: int, folder: Path, ready: str):
    """Run a Python process pinned to one core; waits until it has printed `ready`, "" for not at all.

    Raises RuntimeError with the end of its output if it ends or isn't ready within 30 s.
    """
    log = folder / f"{core}.log"
    with open(log, "wb") as out:
        child = subprocess.Popen(
            [sys.executable, *args], stdout=out, stderr=out, cwd=Path(__file__).parent.parent
        )
        os.sched_setaffinity(child.pid, {CORES[core % len(CORES)]})
        try:
            deadline = time.monotonic() + 30
            while ready and ready not in log.read_text():
                if child.poll() is not None or time.monotonic() > deadline:
                    raise RuntimeError(log.read_text()[-2000:])
                time.sleep(0.05)
            yield child
        finally:
            child.terminate()
            child.wait()


def run_load(folder: Path, rate: float, seconds: float, straight: bool = False, window: int = 64) -> dict:
    """Run the load generator of `rig.py` on a core of its own and return its results."""
    command = [
        sys.executable,
        RIG,
        "load",
        str(folder / "plan.json"),
        str(rate),
        str(seconds),
        "straight" if straight else "front",
        str(window),
    ]
    done = subprocess.run(
        command,
        capture_output=True,
        text=True,
        check=True,
        preexec_fn=lambda: os.sched_setaffinity(0, {CORES[2 % len(CORES)]}),
    )
    return json.loads(done.stdout)


def serve(folder: Path, policy: str):
    """Run a front with a policy."""
    return process(
        ["-m", "curlewhall", "serve", str(folder / "front.textproto"), "--policy", policy], 1, folder, ""
    )


def wait_until_serving(plan: dict, folder: Path) -> None:
    """Wait until the front serves plays; raises RuntimeError after 20 s."""
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        try:
            found = run_load(folder, 5, 0.4)
        except subprocess.CalledProcessError:
            continue
        if found["ends"].get("200", 0) >= 2:
            return
    raise RuntimeError(f"the front served no plays within 20 s; last results: {found}")


def measure(count: int, seconds: float) -> dict:
    """Results at `count` nodes, by policy and load."""
    result: dict = {"nodes": count}
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        plan = plan_for(folder, count, life=2.0)
        with process([RIG, "nodes", str(folder / "plan.json")], 0, folder, "ready"):
            result["straight, most"] = run_load(folder, 0, seconds, straight=True)
            for label, policy in POLICIES.items():
                with serve(folder, policy) as front:
                    wait_until_serving(plan, folder)
                    run_load(folder, 0, 1.0)
                    most = run_load(folder, 0, seconds)
                    result[f"{label}, most"] = most
                    for load in (0.2, 0.5, 0.9):
                        before = psutil.Process(front.pid).cpu_times()
                        found = run_load(folder, load * most["rate"], seconds)
                        after = psutil.Process(front.pid).cpu_times()
                        found["cpu"] = (after.user + after.system - before.user - before.system) / seconds
                        result[f"{label}, {load:.0%}"] = found
                        if policy == POLICIES["real module"]:
                            result[f"straight, {load:.0%}"] = run_load(
                                folder, load * most["rate"], seconds, True
                            )
    return result


def memory(count: int, plays: int) -> dict:
    """Memory of the front's process in bytes per running play."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        plan = plan_for(folder, count, life=0.0)
        with (
            process([RIG, "nodes", str(folder / "plan.json")], 0, folder, "ready"),
            serve(folder, POLICIES["real module"]) as front,
        ):
            wait_until_serving(plan, folder)
            rss = psutil.Process(front.pid).memory_info
            run_load(folder, 300, 2)
            before = rss().rss
            found = run_load(folder, 400, plays / 400)
            running = found["ends"].get("200", 0)
            return {"nodes": count, "held": running, "bytes": (rss().rss - before) / max(1, running)}


COLUMNS = (
    "nodes",
    "way",
    "load",
    "set-ups/s",
    "p50 ms",
    "p99 ms",
    "p99.9 ms",
    "front's core",
    "over straight, p99",
)
NOTE = """Stand-in nodes that answer at once, all processes on one machine: only ratios within one run are
meaningful, not the times. The "most" rows are a closed loop of 64 requests, the others open loops."""


def table(results: list[dict], memory_use: dict) -> str:
    """The results as a Markdown table."""
    rows = [f"| {' | '.join(COLUMNS)} |", "|" + " --- |" * len(COLUMNS)]
    for result in results:
        for key, found in result.items():
            if key == "nodes":
                continue
            policy, load = key.split(", ")
            straight = result.get(f"straight, {load}")
            over = f"+{found['p99'] - straight['p99']:.1f} ms" if straight and policy != "straight" else ""
            cpu = f"{found['cpu']:.0%}" if "cpu" in found else ""
            rows.append(
                f"| {result['nodes']} | {policy} | {load} | {found['rate']:.0f} | {found['p50']:.2f} | "
                f"{found['p99']:.2f} | {found['p99.9']:.2f} | {cpu} | {over} |"
            )
    memory_line = (
        f"Memory per running play: {memory_use['bytes'] / 1000:.1f} kB "
        f"({memory_use['held']} plays, {memory_use['nodes']} nodes)."
    )
    return "\n".join([*rows, "", memory_line, "", NOTE]) + "\n"


def main() -> None:
    """Run all measurements and write the table and the raw figures."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--sizes", type=int, nargs="+", default=[14, 170])
    parser.add_argument("--plays", type=int, default=8000)
    parser.add_argument("--out", default="bench/results/front")
    args = parser.parse_args()
    results = []
    for count in args.sizes:
        print(f"{count} nodes ...", flush=True)
        results.append(measure(count, args.seconds))
    print("memory ...", flush=True)
    memory_use = memory(args.sizes[-1], args.plays)
    text = table(results, memory_use)
    Path(args.out + ".md").write_text(text)
    Path(args.out + ".json").write_text(json.dumps({"sizes": results, "memory": memory_use}, indent=1) + "\n")
    print(text)


if __name__ == "__main__":
    main()
