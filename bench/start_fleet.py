"""Front processes that all stop and start at once: the current version compared with an earlier one.

    python -m bench.start_fleet REV      writes bench/results/start-fleet.md and start-fleet.json

Both versions run at the same time on one machine, with the same set-up and seeds and stand-ins on loopback.
REV is checked out into a temporary worktree. Times count from the start of the last front.
"""

import json
import subprocess
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from bench.start import table
from curlewhall import records
from curlewhall.drills import start
from curlewhall.drills.play import DrillOptions, run_drill
from curlewhall.rules.judge import summary

FRONTS, NODES, SECONDS = 24, 20, 40.0
SERVICE_WINDOW_S = 30.0  # after the start


def warm(rng, plan, day):
    """No front stops: the same load on running fronts."""
    return [], {}


def blind(rng, plan, day):
    """The list service is down, and other machines answer at a fifth of the addresses of the stored list."""
    return start.blind(rng, plan, day, 0.2, 0.0)


def aged(rng, plan, day):
    """As `blind`, with a stored list that is three days old."""
    return start.blind(rng, plan, day, 0.2, 3.0)


def slow(rng, plan, day):
    """No stored lists; the list service has a tenth of the needed capacity and answers the rest with 503."""
    steps, claims = start.slow(rng, plan, day)
    return [step for step in steps if "silent" not in step], claims


SCENARIOS = {
    "warm": warm,
    "herd": start.well,
    "slow": slow,
    "blind": blind,
    "aged": aged,
    "split": start.split,
}
REPORTED_KEYS = (
    "asks",
    "asks_in_a_second",
    "shed",
    "wholes",
    "wholes_in_a_second",
    "list_bytes_in_a_second",
    "current_s",
    "handshakes_in_a_second",
    "streams_in_a_second",
    "strays",
)


def service(rows, scenario):
    """Service in the first seconds after the start, of all requests, and of those that reached a front.

    Service is the importance answered within its first-frame target over the importance requested.
    """
    began = start.last_start(rows)
    if scenario == "warm":
        began = min(row["t"] for row in rows if row["what"] == "ask") + int(
            start.KILL_TIME * SECONDS * 10_000
        )
    within = [
        row
        for row in rows
        if row["what"] not in ("ask", "answer", "no_answer", "hung_up")
        or began <= row["t"] <= began + SERVICE_WINDOW_S * 10_000 + 50_000
    ]
    requests = {
        r["ask"] for r in within if r["what"] == "ask" and r["t"] <= began + SERVICE_WINDOW_S * 10_000
    }
    unreached = {r["ask"] for r in rows if r["what"] == "no_answer" and r["how"] == "unreached"}
    return [
        summary([r for r in within if r["what"] not in ("ask", "answer") or r["ask"] in some])["service"]
        for some in (requests, requests - unreached)
    ]


def play(scenario, seed, worktree, folder):
    """Run a drill with fronts of the version in `worktree`, or of the current one; returns its results."""

    def make(rng, plan, day):
        if worktree:
            plan["fronts_at"] = worktree
        return start.start_drill(SCENARIOS[scenario], rng, plan, day)

    options = DrillOptions(SECONDS, NODES, FRONTS, seed, True, keep=str(folder))
    report = run_drill(f"start-{scenario}", make, options).report
    rows = records.read_merged([folder / f"{who}.jsonl" for who in ("fleet", "crowd", "drill")])
    return {name: report[name] for name in REPORTED_KEYS} | {
        **dict(zip(("service", "service_of_taken"), service(rows, scenario), strict=True)),
        "broken": sum(report["broken"].values()),
        "unanswered": report["unanswered"],
        "lag_ms": report["lag_ms"],
    }


def main(rev, seeds=(1,)):
    """Run every scenario with both versions; writes the results after each."""
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        worktree = str(Path(folder) / "before")
        subprocess.run(["git", "worktree", "add", "--detach", worktree, rev], check=True, capture_output=True)
        try:
            for seed in seeds:
                for scenario in SCENARIOS:
                    with ProcessPoolExecutor(2) as pool:
                        jobs = {
                            name: pool.submit(play, scenario, seed, at, Path(folder) / f"{scenario}-{name}")
                            for name, at in (("before", worktree), ("now", None))
                        }
                        for name, job in jobs.items():
                            rows.append({"scene": scenario, "seed": seed, "program": name, **job.result()})
                            print(json.dumps(rows[-1]), flush=True)
                    write(rows)
        finally:
            subprocess.run(
                ["git", "worktree", "remove", "--force", worktree], check=True, capture_output=True
            )


def write(rows):
    """Write the raw results and a Markdown table of them."""
    results = Path(__file__).parent / "results"
    (results / "start-fleet.json").write_text(json.dumps(rows, indent=1) + "\n")
    (results / "start-fleet.md").write_text(
        "\n".join(
            [
                f"# {FRONTS} fronts as processes, {NODES} nodes, ended and begun at one moment "
                "(stand-ins, loopback)",
                "",
                *table(rows),
            ]
        )
    )


if __name__ == "__main__":
    main(sys.argv[1], [int(seed) for seed in sys.argv[2:]] or (1,))
