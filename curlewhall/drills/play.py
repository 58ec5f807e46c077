"""Plays a drill's script against real processes and judges it from their records."""

import contextlib
import random
import shutil
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from curlewhall import records
from curlewhall.rules import Broken, judge, terms_of
from curlewhall.rules.judge import summary
from curlewhall.settings import load

from .fleet import Processes, make_plan
from .troubles import TROUBLES


class Script(NamedTuple):
    """What happens, and what the drill itself claims: name -> (bound, what makes the value of counts, figures
    among them, and records).
    """

    steps: list[tuple]
    claims: dict[str, tuple[float, Callable[[dict, list], float]]]
    told: list[str]  # the troubles' names
    figures: Callable[[list], dict] | None = None  # more of what the records tell, for the report


class Day(NamedTuple):
    """What is asked of a drill. `drawn`: troubles, times and sizes that no one chose."""

    seconds: float = 20.0
    nodes: int = 14
    fronts: int = 3
    seed: int = 1
    drawn: bool = False
    policy: str | None = None
    mover: str | None = None
    troubles: tuple[str, ...] = ()
    keep: str | None = None  # a folder to leave plans, logs and records in
    workers: int = 1  # under each front's daemon, in drills that have daemons
    sites: str | None = None


class Result(NamedTuple):
    report: dict[str, Any]
    broken: list[Broken]


def run(
    name: str,
    make: Callable[[random.Random, dict, Day], Script],
    day: Day,
    tell: Callable[[str], None] = lambda text: None,
) -> Result:
    """Play and judge; `DrillProcessError` when a process does not start or ends by itself."""
    folder = Path(tempfile.mkdtemp(prefix="curlewhall-drill-"))
    try:
        plan = make_plan(day.seed, day.nodes, day.fronts, day.seconds, folder)
        known(day.troubles)
        script = make(random.Random(f"{name} {day.seed}"), plan, day)
        tell(f"{name}: {', '.join(script.told) or 'no trouble'}")
        with Processes(plan, day.policy, day.mover, day.sites) as processes:
            processes.start_crowd()
            processes.await_line(processes.crowd, "", "crowd")
            began = time.monotonic()
            for at, what, *facts in sorted(script.steps, key=lambda step: step[0]):
                time.sleep(max(0.0, began + at - time.monotonic()))
                act(processes, what, facts)
                tell(f"{at:6.1f} s  {what} {' '.join(map(str, facts))}")
            left = began + day.seconds + plan["crowd"]["after"] + 10 - time.monotonic()
            with contextlib.suppress(Exception):
                processes.crowd.wait(max(1.0, left))
            processes.check()
        terms = terms_of(load(folder / f"{plan['fronts'][0]['name']}.textproto"))
        rows = records.read_merged(list(plan["records"].values()))
        broken = judge(rows, terms)
        counts = summary(rows)
        counts |= script.figures(rows) if script.figures else {}
        claims = {
            key: {"value": round(value, 4), "bound": bound, "holds": bool(value <= bound)}
            for key, (bound, of) in script.claims.items()
            for value in [of(counts, rows)]
        }
        tally: dict[str, int] = {}
        for row in broken:
            tally[row.rule] = tally.get(row.rule, 0) + 1
        report = {
            "drill": name,
            "seed": day.seed,
            "seconds": day.seconds,
            "nodes": day.nodes,
            "fronts": day.fronts,
            "workers": day.workers,
            "policy": day.policy or "curlewhall.policy:Front",
            "mover": day.mover or "curlewhall.moves:Mover",
            "troubles": script.told,
            **counts,
            "broken": tally,
            "claims": claims,
        }
        return Result(report, broken)
    finally:
        if day.keep:
            shutil.copytree(folder, day.keep, dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)


def known(names: tuple[str, ...]) -> None:
    """`ValueError` for a kind of trouble that there is none of, whatever the drill makes of it."""
    for name in names:
        if name not in TROUBLES:
            raise ValueError(f"no trouble is called {name!r}; there are: {', '.join(sorted(TROUBLES))}")


def act(processes: Processes, what: str, facts: list) -> None:
    if what == "fault":
        processes.fault(*facts)
    elif what == "kill":
        processes.kill_front(*facts)
    elif what == "front":
        processes.start_front(*facts)
    elif what == "kept":
        processes.edit_list(*facts)
    elif what == "pause":
        processes.pause_front(*facts)
    elif what == "wake":
        processes.wake_front(*facts)
    elif what == "inventory":
        processes.swap_inventory(*facts)
    elif what == "disk":
        processes.set_disk(*facts)
    elif what == "die":
        processes.die_writing(*facts)
    elif what == "damage":
        processes.damage(*facts)
    elif what == "daemon":
        processes.tell_daemon(*facts)
    else:
        raise ValueError(f"a step {what!r} that nobody knows")
