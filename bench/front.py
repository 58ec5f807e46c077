"""Set-ups a second of one front on one core, the time that it adds, and memory a held play.

    python bench/front.py [--seconds S] [--out bench/results/front]

All in one run: real module, a policy that decides nothing, and going straight to the node, at 14 and 170
stand-in nodes that answer at once. Writes a table (Markdown) and the raw figures (JSON).
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
def process(args: list[str], core: int, folder: Path, word: str):
    log = folder / f"{core}.log"
    with open(log, "wb") as out:
        found = subprocess.Popen(
            [sys.executable, *args], stdout=out, stderr=out, cwd=Path(__file__).parent.parent
        )
        os.sched_setaffinity(found.pid, {CORES[core % len(CORES)]})
        try:
            until = time.monotonic() + 30
            while word and word not in log.read_text():
                if found.poll() is not None or time.monotonic() > until:
                    raise RuntimeError(log.read_text()[-2000:])
                time.sleep(0.05)
            yield found
        finally:
            found.terminate()
            found.wait()


def ask(folder: Path, rate: float, seconds: float, straight: bool = False, window: int = 64) -> dict:
    call = [
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
        call,
        capture_output=True,
        text=True,
        check=True,
        preexec_fn=lambda: os.sched_setaffinity(0, {CORES[2 % len(CORES)]}),
    )
    return json.loads(done.stdout)


def serve(folder: Path, policy: str):
    return process(
        ["-m", "curlewhall", "serve", str(folder / "front.textproto"), "--policy", policy], 1, folder, ""
    )


def listening(plan: dict, folder: Path) -> None:
    """Wait until the front answers with all nodes in reach."""
    until = time.monotonic() + 20
    while time.monotonic() < until:
        try:
            found = ask(folder, 5, 0.4)
        except subprocess.CalledProcessError:
            continue
        if found["ends"].get("200", 0) >= 2:
            return
    raise RuntimeError(f"the front does not answer: {found}")


def measure(count: int, seconds: float) -> dict:
    result: dict = {"nodes": count}
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        plan = plan_for(folder, count, life=2.0)
        with process([RIG, "nodes", str(folder / "plan.json")], 0, folder, "ready"):
            result["straight, most"] = ask(folder, 0, seconds, straight=True)
            for label, policy in POLICIES.items():
                with serve(folder, policy) as front:
                    listening(plan, folder)
                    ask(folder, 0, 1.0)
                    most = ask(folder, 0, seconds)
                    result[f"{label}, most"] = most
                    for part in (0.2, 0.5, 0.9):
                        began = psutil.Process(front.pid).cpu_times()
                        found = ask(folder, part * most["rate"], seconds)
                        spent = psutil.Process(front.pid).cpu_times()
                        found["cpu"] = (spent.user + spent.system - began.user - began.system) / seconds
                        result[f"{label}, {part:.0%}"] = found
                        if policy == POLICIES["real module"]:
                            result[f"straight, {part:.0%}"] = ask(folder, part * most["rate"], seconds, True)
    return result


def memory(count: int, plays: int) -> dict:
    """Bytes of the front's process for each play that it holds."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        plan = plan_for(folder, count, life=0.0)
        with (
            process([RIG, "nodes", str(folder / "plan.json")], 0, folder, "ready"),
            serve(folder, POLICIES["real module"]) as front,
        ):
            listening(plan, folder)
            rss = psutil.Process(front.pid).memory_info
            ask(folder, 300, 2)
            before = rss().rss
            found = ask(folder, 400, plays / 400)
            held = found["ends"].get("200", 0)
            return {"nodes": count, "held": held, "bytes": (rss().rss - before) / max(1, held)}


HEAD = (
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
NOTE = """Stand-in nodes that answer at once, all processes on one machine: ratios within one run count, not
the times themselves. The "most" rows are a closed loop of 64 requests, the others open loops on schedule."""


def table(results: list[dict], held: dict) -> str:
    rows = [f"| {' | '.join(HEAD)} |", "|" + " --- |" * len(HEAD)]
    for result in results:
        for key, found in result.items():
            if key == "nodes":
                continue
            way, load = key.split(", ")
            straight = result.get(f"straight, {load}")
            over = f"+{found['p99'] - straight['p99']:.1f} ms" if straight and way != "straight" else ""
            cpu = f"{found['cpu']:.0%}" if "cpu" in found else ""
            rows.append(
                f"| {result['nodes']} | {way} | {load} | {found['rate']:.0f} | {found['p50']:.2f} | "
                f"{found['p99']:.2f} | {found['p99.9']:.2f} | {cpu} | {over} |"
            )
    kept = f"Memory a held play: {held['bytes'] / 1000:.1f} kB ({held['held']} held, {held['nodes']} nodes)."
    return "\n".join([*rows, "", kept, "", NOTE]) + "\n"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--sizes", type=int, nargs="+", default=[14, 170])
    parser.add_argument("--plays", type=int, default=8000)
    parser.add_argument("--out", default="bench/results/front")
    asked = parser.parse_args()
    results = []
    for count in asked.sizes:
        print(f"{count} nodes ...", flush=True)
        results.append(measure(count, asked.seconds))
    print("memory ...", flush=True)
    held = memory(asked.sizes[-1], asked.plays)
    text = table(results, held)
    Path(asked.out + ".md").write_text(text)
    Path(asked.out + ".json").write_text(json.dumps({"sizes": results, "memory": held}, indent=1) + "\n")
    print(text)


if __name__ == "__main__":
    main()
