"""The `demo` command: runs a small fleet with two fronts and viewers for some seconds and shows its state."""

import json
import tempfile
import time
import urllib.request
from pathlib import Path

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table

from curlewhall import records
from curlewhall.rules import judge, rule_limits
from curlewhall.rules.judge import summary
from curlewhall.settings import load

from .fleet import Processes, make_plan

MAX_BAR_CHARACTERS = 24  # of a node's bar of plays


def state(front: dict) -> dict | None:
    """Returns the state that a front reports (GET /v1/state); None while it can't be read."""
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(f"http://{front['address']}:{front['port']}/v1/state", timeout=1) as reply:
            return json.load(reply)
    except (OSError, ValueError):
        return None


def fleet_view(plan: dict, states: list[dict | None], remaining_s: float, message: str) -> Group:
    """Returns fronts and nodes as two tables, with a line below."""
    fronts = Table("front", "asked", "served", "declined", "failed", "held", title="Fronts", expand=False)
    for spec, found in zip(plan["fronts"], states, strict=True):
        counts = found["counts"] if found else {}
        fronts.add_row(
            spec["name"],
            *(str(counts.get(name, "-")) for name in ("asked", "played", "declined", "failed")),
            str(found["held"]) if found else "unreachable",
        )
    nodes = Table("node", "zone", "state", "plays", "", title="Playout nodes", expand=False)
    for spec in plan["nodes"]:
        rows = [row for found in states if found for row in found["nodes"] if row["node"] == spec["node"]]
        plays = sum(row["plays"] for row in rows)
        node_states = {row["state"] for row in rows}
        colour = "green" if node_states == {"serving"} else "yellow"
        nodes.add_row(
            spec["node"],
            spec["zone"],
            f"[{colour}]{'/'.join(sorted(node_states)) or '-'}[/]",
            str(plays),
            "▇" * min(MAX_BAR_CHARACTERS, plays),
        )
    return Group(fronts, nodes, f"{message}   {remaining_s:.0f} s left")


def demo(seconds: float, seed: int, console: Console) -> int:
    """Runs the demo and prints a summary; returns the exit code, 1 if a rule was broken."""
    with tempfile.TemporaryDirectory(prefix="curlewhall-demo-") as folder:
        plan = make_plan(seed, 6, 2, seconds, Path(folder))
        node = plan["nodes"][0]["node"]
        steps = [
            (seconds * 0.35, node, "die", f"{node} was killed"),
            (seconds * 0.6, node, "start", f"{node} was started again"),
        ]
        console.print("Starting 6 stand-in nodes, a list service, 2 fronts and their viewers on loopback ...")
        with Processes(plan) as processes:
            processes.start_crowd()
            began, message = time.monotonic(), "all nodes are running"
            with Live(console=console, refresh_per_second=4) as live:
                while (now := time.monotonic() - began) < seconds:
                    while steps and now >= steps[0][0]:
                        _, target, kind, message = steps.pop(0)
                        processes.fault(target, kind, 1)
                    live.update(
                        fleet_view(plan, [state(front) for front in plan["fronts"]], seconds - now, message)
                    )
                    time.sleep(0.25)
            console.print("Waiting for the last plays to end ...")
            processes.crowd.wait(plan["crowd"]["after"] + 15)
        limits = rule_limits(load(Path(folder) / f"{plan['fronts'][0]['name']}.textproto"))
        rows = records.read_merged(list(plan["records"].values()))
        violations, counts = judge(rows, limits), summary(rows)
    table = Table("figure", "value", title="Summary, from the records at the stand-ins' sockets")
    for name in ("plays", "served", "declined", "failed", "unanswered", "service", "stalled_share"):
        table.add_row(name, str(counts[name]))
    table.add_row("rules broken", ", ".join(sorted({violation.rule for violation in violations})) or "none")
    console.print(table)
    return 1 if violations else 0
