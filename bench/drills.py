"""Runs a drill with many seeds, in several variants, and writes a table of the results.

    python bench/drills.py badday --seeds 1 50 --out bench/results/badday \
        --variant module --variant "random lowest=--policy curlewhall.drills.baselines:RandomLowest"

A variant is a label, "=" and further arguments of the drill. Each run's result is stored in a file under
--work and not run again, so an interrupted benchmark continues where it stopped.
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
SUM_KEYS = (
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
MEAN_KEYS = (
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
MAX_KEYS = ("seam_longest", "restart_longest", "console_longest", "answer_longest_ms")


def run_drill(name: str, seed: int, arguments: list[str], out: Path) -> None:
    """Run a drill with one seed unless its result is stored in `out`; prints the output of a failed run."""
    if not out.exists():
        command = [
            sys.executable,
            "-m",
            "curlewhall",
            "drill",
            name,
            "--draw",
            str(seed),
            "--json",
            str(out),
            *arguments,
        ]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
        if not out.exists():
            print(f"{out.name}: {(done.stdout + done.stderr)[-500:]}", file=sys.stderr)


def interval(values: list[float]) -> str:
    """The mean with its 95% interval over seeds, normal approximation."""
    if len(values) < 2:
        return f"{values[0]:.3f}"
    return f"{statistics.mean(values):.3f} ± {1.96 * statistics.stdev(values) / len(values) ** 0.5:.3f}"


def row(label: str, runs: list[dict]) -> list[str]:
    """The cells of a variant's row."""
    broken: dict[str, int] = {}
    for run in runs:
        for rule in run["broken"]:
            broken[rule] = broken.get(rule, 0) + 1
    kept = sum(not run["broken"] for run in runs)
    cells = [
        label,
        str(len(runs)),
        ", ".join(f"rule {r} on {n}" for r, n in sorted(broken.items())) or "none",
        f"{kept}/{len(runs)}",
    ]
    first = runs[0]
    cells += [str(sum(run[key] for run in runs)) for key in SUM_KEYS if key in first]
    cells += [interval([run[key] for run in runs]) for key in MEAN_KEYS if key in first]
    cells += [f"{max(run[key] for run in runs):.2f}" for key in MAX_KEYS if key in first]
    return cells


def table(results: dict[str, list[dict]]) -> str:
    """A Markdown table with a row for each variant."""
    first = next(runs[0] for runs in results.values() if runs)
    head = [
        "variant",
        "days",
        "rules broken",
        "kept",
        *(key for key in SUM_KEYS if key in first),
        *(key for key in MEAN_KEYS if key in first),
        *(f"{key} (most)" for key in MAX_KEYS if key in first),
    ]
    rows = [head, ["---"] * len(head), *(row(label, runs) for label, runs in results.items() if runs)]
    return "\n".join(f"| {' | '.join(cells)} |" for cells in rows) + "\n"


def main() -> None:
    """Run all variants and write the tables."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("drill")
    parser.add_argument("--seeds", type=int, nargs=2, default=[1, 30], metavar=("FIRST", "LAST"))
    parser.add_argument("--variant", action="append", default=[])
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) // 2))
    parser.add_argument("--work", default="found/drills")
    parser.add_argument("--out", required=True)
    args, arguments = parser.parse_known_args()
    variants = [label.partition("=")[::2] for label in args.variant or ["module"]]
    results: dict[str, list[dict]] = {}
    with ThreadPoolExecutor(args.jobs) as pool:
        for label, extra in variants:
            folder = Path(args.work) / args.drill / label.replace(" ", "-")
            folder.mkdir(parents=True, exist_ok=True)
            paths = [folder / f"{seed}.json" for seed in range(args.seeds[0], args.seeds[1] + 1)]
            list(
                pool.map(
                    lambda path, extra=extra: run_drill(
                        args.drill, int(path.stem), [*extra.split(), *arguments], path.resolve()
                    ),
                    paths,
                )
            )
            results[label] = [json.loads(path.read_text()) for path in paths if path.exists()]
    any_run = next(runs[0] for runs in results.values() if runs)
    first, last = args.seeds
    head = (
        f"`drill {args.drill}` on drawn seeds {first} to {last}, {any_run['seconds']:g} s each, "
        f"{any_run['nodes']} stand-in nodes, {any_run['fronts']} fronts, all on one machine."
    )
    text = f"{head}\n\n{table(results)}"
    Path(args.out + ".md").write_text(text)
    Path(args.out + ".json").write_text(json.dumps(results, indent=0) + "\n")
    print(text)


if __name__ == "__main__":
    main()
