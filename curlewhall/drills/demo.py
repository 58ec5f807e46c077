"""A small fleet with two fronts and viewers, shown for some seconds: what a first look at the program
gives.
"""

import json
import tempfile
import time
import urllib.request
from pathlib import Path

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table

from curlewhall import records
from curlewhall.rules import judge, terms_of
from curlewhall.rules.judge import summary
from curlewhall.settings import load

from .fleet import Processes, make_plan

BAR = 24  # characters of a node's row of plays


def state(front: dict) -> dict | None:
    """A front's own word on its state; None while it can't be had."""
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(f"http://{front['address']}:{front['port']}/v1/state", timeout=1) as reply:
            return json.load(reply)
    except (OSError, ValueError):
        return None


def picture(plan: dict, states: list[dict | None], left: float, told: str) -> Group:
    """Fronts and nodes as two tables."""
    fronts = Table("front", "asked", "served", "declined", "failed", "held", title="Fronts", expand=False)
    for spec, found in zip(plan["fronts"], states, strict=True):
        counts = found["counts"] if found else {}
        fronts.add_row(
            spec["name"],
            *(str(counts.get(name, "-")) for name in ("asked", "played", "declined", "failed")),
            str(found["held"]) if found else "out of reach",
        )
    nodes = Table("node", "zone", "state", "plays", "", title="Playout nodes", expand=False)
    for spec in plan["nodes"]:
        rows = [row for found in states if found for row in found["nodes"] if row["node"] == spec["node"]]
        plays = sum(row["plays"] for row in rows)
        named = {row["state"] for row in rows}
        colour = "green" if named == {"serving"} else "yellow"
        nodes.add_row(
            spec["node"],
            spec["zone"],
            f"[{colour}]{'/'.join(sorted(named)) or '-'}[/]",
            str(plays),
            "▇" * min(BAR, plays),
        )
    return Group(fronts, nodes, f"{told}   {left:.0f} s left")


def demo(seconds: float, seed: int, console: Console) -> int:
    """Run it; the exit code is 1 where a rule was broken on the way."""
    with tempfile.TemporaryDirectory(prefix="curlewhall-demo-") as folder:
        plan = make_plan(seed, 6, 2, seconds, Path(folder))
        node = plan["nodes"][0]["node"]
        steps = [
            (seconds * 0.35, node, "die", f"{node} dies"),
            (seconds * 0.6, node, "start", f"{node} is back"),
        ]
        console.print("Starting 6 stand-in nodes, a list service, 2 fronts and their viewers on loopback ...")
        with Processes(plan) as processes:
            processes.start_crowd()
            began, told = time.monotonic(), "all is well"
            with Live(console=console, refresh_per_second=4) as live:
                while (now := time.monotonic() - began) < seconds:
                    while steps and now >= steps[0][0]:
                        _, target, kind, told = steps.pop(0)
                        processes.fault(target, kind, 1)
                    live.update(
                        picture(plan, [state(front) for front in plan["fronts"]], seconds - now, told)
                    )
                    time.sleep(0.25)
            console.print("The last plays end ...")
            processes.crowd.wait(plan["crowd"]["after"] + 15)
        terms = terms_of(load(Path(folder) / f"{plan['fronts'][0]['name']}.textproto"))
        rows = records.read_merged(list(plan["records"].values()))
        broken, counts = judge(rows, terms), summary(rows)
    table = Table("what", "figure", title="Summary, from the records at the stand-ins' sockets")
    for name in ("plays", "served", "declined", "failed", "unanswered", "service", "stalled_share"):
        table.add_row(name, str(counts[name]))
    table.add_row("rules broken", ", ".join(sorted({row.rule for row in broken})) or "none")
    console.print(table)
    return 1 if broken else 0
