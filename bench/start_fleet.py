"""Fronts as processes that all end and begin at one moment: the program as it is, beside an earlier version.

    python -m bench.start_fleet REV      writes bench/results/start-fleet.md and start-fleet.json

Same rig, same seeds, both versions at the same time on one machine; stand-ins on loopback. REV is checked out
beside the repository for as long as it takes. Times are from the moment at which the last front was started.
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
FIRST = 30.0  # seconds after the start over which service is counted


def warm(rng, plan, day):
    """Nobody ends: the same load on a warm fleet."""
    return [], {}


def blind(rng, plan, day):
    """The service is away, a fifth of the kept list lies where another machine answers."""
    return start.blind(rng, plan, day, 0.2, 0.0)


def aged(rng, plan, day):
    """The same of a list three days old."""
    return start.blind(rng, plan, day, 0.2, 3.0)


def slow(rng, plan, day):
    """No lists kept, the service at a tenth of what is asked of it, shedding by 503."""
    steps, claims = start.slow(rng, plan, day)
    return [step for step in steps if "silent" not in step], claims


SCENES = {"warm": warm, "herd": start.well, "slow": slow, "blind": blind, "aged": aged, "split": start.split}
SHOWN = (
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


def service(rows, scene):
    """The importance answered within its target over that asked, in the first seconds after the start; and
    the same without the requests that came before any process listened.
    """
    began = start.last_start(rows)
    if scene == "warm":
        began = min(row["t"] for row in rows if row["what"] == "ask") + int(
            start.KILL_TIME * SECONDS * 10_000
        )
    within = [
        row
        for row in rows
        if row["what"] not in ("ask", "answer", "no_answer", "hung_up")
        or began <= row["t"] <= began + FIRST * 10_000 + 50_000
    ]
    asks = {r["ask"] for r in within if r["what"] == "ask" and r["t"] <= began + FIRST * 10_000}
    nobody = {r["ask"] for r in rows if r["what"] == "no_answer" and r["how"] == "unreached"}
    return [
        summary([r for r in within if r["what"] not in ("ask", "answer") or r["ask"] in some])["service"]
        for some in (asks, asks - nobody)
    ]


def play(scene, seed, at, folder):
    def make(rng, plan, day):
        if at:
            plan["fronts_at"] = at
        return start.start_drill(SCENES[scene], rng, plan, day)

    options = DrillOptions(SECONDS, NODES, FRONTS, seed, True, keep=str(folder))
    report = run_drill(f"start-{scene}", make, options).report
    rows = records.read_merged([folder / f"{who}.jsonl" for who in ("fleet", "crowd", "drill")])
    return {name: report[name] for name in SHOWN} | {
        **dict(zip(("service", "service_of_taken"), service(rows, scene), strict=True)),
        "broken": sum(report["broken"].values()),
        "unanswered": report["unanswered"],
        "lag_ms": report["lag_ms"],
    }


def main(rev, seeds=(1,)):
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        there = str(Path(folder) / "before")
        subprocess.run(["git", "worktree", "add", "--detach", there, rev], check=True, capture_output=True)
        try:
            for seed in seeds:
                for scene in SCENES:
                    with ProcessPoolExecutor(2) as pool:
                        jobs = {
                            name: pool.submit(play, scene, seed, at, Path(folder) / f"{scene}-{name}")
                            for name, at in (("before", there), ("now", None))
                        }
                        for name, job in jobs.items():
                            rows.append({"scene": scene, "seed": seed, "program": name, **job.result()})
                            print(json.dumps(rows[-1]), flush=True)
                    write(rows)
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", there], check=True, capture_output=True)


def write(rows):
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
