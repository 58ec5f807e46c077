"""Plays a drill on many drawn seeds, with variants beside each other, and makes a table of it.

    python bench/drills.py badday --seeds 1 50 --out bench/results/badday \
        --variant module --variant "random lowest=--policy curlewhall.drills.baselines:RandomLowest"

A variant is a label, "=" and more arguments for the drill. Results are kept one file a day under --work and
not played again, so a run that was cut off goes on where it was.
"""

import argparse
import json
import os
import statistics
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SUMS = (
    "plays",
    "served",
    "declined",
    "failed",
    "unanswered",
    "lost_with_front",
    "moves",
    "lost_by_move",
    "cut",
    "kills",
    "held_at_kill",
    "restarts",
    "restarts_failed",
    "not_resumed",
    "paid_twice",
    "given",
    "swaps",
    "broken_files",
    "fronts_behind",
)
MEANS = (
    "service",
    "worth",
    "stalled_share",
    "stall_a_play",
    "empty_after",
    "peak",
    "restart_mean",
    "answer_p50_ms",
    "answer_p99_ms",
)
MOST = ("seam_longest", "restart_longest", "console_longest", "answer_longest_ms")


def day(name: str, seed: int, more: list[str], out: Path) -> None:
    if not out.exists():
        call = [
            sys.executable,
            "-m",
            "curlewhall",
            "drill",
            name,
            "--draw",
            str(seed),
            "--json",
            str(out),
            *more,
        ]
        done = subprocess.run(call, cwd=ROOT, capture_output=True, text=True)
        if not out.exists():
            print(f"{out.name}: {(done.stdout + done.stderr)[-500:]}", file=sys.stderr)


def interval(values: list[float]) -> str:
    """The mean with its 95% interval over seeds, normal approximation."""
    if len(values) < 2:
        return f"{values[0]:.3f}"
    return f"{statistics.mean(values):.3f} ± {1.96 * statistics.stdev(values) / len(values) ** 0.5:.3f}"


def row(label: str, days: list[dict]) -> list[str]:
    broken: dict[str, int] = {}
    for found in days:
        for rule in found["broken"]:
            broken[rule] = broken.get(rule, 0) + 1
    kept = sum(not found["broken"] for found in days)
    cells = [
        label,
        str(len(days)),
        ", ".join(f"rule {r} on {n}" for r, n in sorted(broken.items())) or "none",
        f"{kept}/{len(days)}",
    ]
    there = days[0]
    cells += [str(sum(found[key] for found in days)) for key in SUMS if key in there]
    cells += [interval([found[key] for found in days]) for key in MEANS if key in there]
    cells += [f"{max(found[key] for found in days):.2f}" for key in MOST if key in there]
    return cells


def table(results: dict[str, list[dict]]) -> str:
    there = next(days[0] for days in results.values() if days)
    head = [
        "variant",
        "days",
        "rules broken",
        "kept",
        *(key for key in SUMS if key in there),
        *(key for key in MEANS if key in there),
        *(f"{key} (most)" for key in MOST if key in there),
    ]
    rows = [head, ["---"] * len(head), *(row(label, days) for label, days in results.items() if days)]
    return "\n".join(f"| {' | '.join(cells)} |" for cells in rows) + "\n"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("drill")
    parser.add_argument("--seeds", type=int, nargs=2, default=[1, 30], metavar=("FIRST", "LAST"))
    parser.add_argument("--variant", action="append", default=[])
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) // 2))
    parser.add_argument("--work", default="found/drills")
    parser.add_argument("--out", required=True)
    asked, more = parser.parse_known_args()
    variants = [label.partition("=")[::2] for label in asked.variant or ["module"]]
    results: dict[str, list[dict]] = {}
    with ThreadPoolExecutor(asked.jobs) as pool:
        for label, extra in variants:
            folder = Path(asked.work) / asked.drill / label.replace(" ", "-")
            folder.mkdir(parents=True, exist_ok=True)
            paths = [folder / f"{seed}.json" for seed in range(asked.seeds[0], asked.seeds[1] + 1)]
            list(
                pool.map(
                    lambda path, extra=extra: day(
                        asked.drill, int(path.stem), [*extra.split(), *more], path.resolve()
                    ),
                    paths,
                )
            )
            results[label] = [json.loads(path.read_text()) for path in paths if path.exists()]
    one = next(days[0] for days in results.values() if days)
    first, last = asked.seeds
    head = (
        f"`drill {asked.drill}` on drawn seeds {first} to {last}, {one['seconds']:g} s each, "
        f"{one['nodes']} stand-in nodes, {one['fronts']} fronts, all on one machine."
    )
    text = f"{head}\n\n{table(results)}"
    Path(asked.out + ".md").write_text(text)
    Path(asked.out + ".json").write_text(json.dumps(results, indent=0) + "\n")
    print(text)


if __name__ == "__main__":
    main()
