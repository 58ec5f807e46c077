"""Runs a drill's script against real processes and judges the outcome from their records."""

import contextlib
import random
import shutil
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from curlewhall import records
from curlewhall.rules import Violation, judge, rule_limits
from curlewhall.rules.judge import summary
from curlewhall.settings import load

from .fleet import Processes, make_plan
from .troubles import TROUBLES


class DrillScript(NamedTuple):
    """The steps of a drill and its own claims beside the six rules.

    A step is (seconds from the start, action, arguments ...), see `run_step`. A claim maps its name to its
    upper bound and to a function that returns its value from the counts (with the figures) and the records.
    """

    steps: list[tuple]
    claims: dict[str, tuple[float, Callable[[dict, list], float]]]
    troubles: list[str]  # names, for the report
    figures: Callable[[list], dict] | None = None  # computes further figures for the report from the records


class DrillOptions(NamedTuple):
    """The options of one run of a drill. `drawn`: troubles, times and sizes are drawn at random from the
    seed.
    """

    seconds: float = 20.0
    nodes: int = 14
    fronts: int = 3
    seed: int = 1
    drawn: bool = False
    policy: str | None = None
    mover: str | None = None
    troubles: tuple[str, ...] = ()
    keep: str | None = None  # folder that keeps plan, logs and records
    workers: int = 1  # under each front's daemon, in drills that have daemons
    sites: str | None = None


class DrillResult(NamedTuple):
    """The report of a drill, as written to JSON, and the violations of the six rules."""

    report: dict[str, Any]
    violations: list[Violation]


def run_drill(
    name: str,
    make_script: Callable[[random.Random, dict, DrillOptions], DrillScript],
    options: DrillOptions,
    show_progress: Callable[[str], None] = lambda text: None,
) -> DrillResult:
    """Runs and judges a drill.

    Raises `DrillProcessError` when a process does not start or ends by itself, `ValueError` for an unknown
    trouble.
    """
    folder = Path(tempfile.mkdtemp(prefix="curlewhall-drill-"))
    try:
        plan = make_plan(options.seed, options.nodes, options.fronts, options.seconds, folder)
        check_trouble_names(options.troubles)
        script = make_script(random.Random(f"{name} {options.seed}"), plan, options)
        show_progress(f"{name}: {', '.join(script.troubles) or 'no trouble'}")
        with Processes(plan, options.policy, options.mover, options.sites) as processes:
            processes.start_crowd()
            processes.wait_for_text(processes.crowd, "", "crowd")
            began = time.monotonic()
            for at, action, *arguments in sorted(script.steps, key=lambda step: step[0]):
                time.sleep(max(0.0, began + at - time.monotonic()))
                run_step(processes, action, arguments)
                show_progress(f"{at:6.1f} s  {action} {' '.join(map(str, arguments))}")
            remaining_s = began + options.seconds + plan["crowd"]["after"] + 10 - time.monotonic()
            with contextlib.suppress(Exception):
                processes.crowd.wait(max(1.0, remaining_s))
            processes.check_running()
        limits = rule_limits(load(folder / f"{plan['fronts'][0]['name']}.textproto"))
        rows = records.read_merged(list(plan["records"].values()))
        violations = judge(rows, limits)
        counts = summary(rows)
        counts |= script.figures(rows) if script.figures else {}
        claims = {
            key: {"value": round(value, 4), "bound": bound, "holds": bool(value <= bound)}
            for key, (bound, evaluate) in script.claims.items()
            for value in [evaluate(counts, rows)]
        }
        violation_counts: dict[str, int] = {}
        for violation in violations:
            violation_counts[violation.rule] = violation_counts.get(violation.rule, 0) + 1
        report = {
            "drill": name,
            "seed": options.seed,
            "seconds": options.seconds,
            "nodes": options.nodes,
            "fronts": options.fronts,
            "workers": options.workers,
            "policy": options.policy or "curlewhall.policy:Front",
            "mover": options.mover or "curlewhall.moves:Mover",
            "troubles": script.troubles,
            **counts,
            "broken": violation_counts,
            "claims": claims,
        }
        return DrillResult(report, violations)
    finally:
        if options.keep:
            shutil.copytree(folder, options.keep, dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)


def check_trouble_names(names: tuple[str, ...]) -> None:
    """Raises `ValueError` for an unknown kind of trouble, also where the drill would ignore it."""
    for name in names:
        if name not in TROUBLES:
            raise ValueError(f"no trouble is called {name!r}; there are: {', '.join(sorted(TROUBLES))}")


def run_step(processes: Processes, action: str, arguments: list) -> None:
    """Runs one step of a script; the arguments are those of the method of `Processes`."""
    if action == "fault":
        processes.fault(*arguments)
    elif action == "kill":
        processes.kill_front(*arguments)
    elif action == "front":
        processes.start_front(*arguments)
    elif action == "kept":
        processes.edit_kept_list(*arguments)
    elif action == "pause":
        processes.pause_front(*arguments)
    elif action == "wake":
        processes.wake_front(*arguments)
    elif action == "inventory":
        processes.change_inventory(*arguments)
    elif action == "disk":
        processes.set_disk_fault(*arguments)
    elif action == "die":
        processes.crash_during_write(*arguments)
    elif action == "damage":
        processes.damage_state(*arguments)
    elif action == "daemon":
        processes.command_daemon(*arguments)
    else:
        raise ValueError(f"unknown action {action!r} of a drill step")
