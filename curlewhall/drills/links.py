"""The `links` drill: links between processes fail, in one direction or both, and fronts are paused, under
load.
"""

import random

from curlewhall.records import Record

from .fleet import add_links
from .play import DrillOptions, DrillScript

KINDS = ("cut", "stall", "delay", "slow", "reset", "loss", "repeat", "reorder", "pause")
DATAGRAMS = ("cut", "delay", "loss", "repeat", "reorder")


def fault_value(rng: random.Random, kind: str) -> float:
    """Returns a random size of a fault: seconds (delay), kB a second (slow), bytes (reset), a share (loss,
    repeat, reorder), or 1.
    """
    return {
        "cut": 1.0,
        "stall": 1.0,
        "delay": rng.uniform(0.05, 0.6),
        "slow": rng.uniform(2, 50),
        "reset": float(rng.choice([0, 1, 200, 2000])),
        "loss": rng.uniform(0.1, 0.9),
        "repeat": rng.uniform(0.1, 0.9),
        "reorder": rng.uniform(0.1, 0.9),
    }[kind]


def link_directions(rng: random.Random, plan: dict, kind: str) -> list[str]:
    """Returns the targets of a fault: one or both directions of a link, or of all fronts' links to one
    process or of one front's links to its peers.
    """
    front = rng.choice(plan["fronts"])["name"]
    node = rng.choice(plan["nodes"])["node"]
    pairs = [(front, "list"), ("*", "list")] if kind not in ("loss", "repeat", "reorder") else []
    if pairs:
        pairs += [(front, node), ("*", node), (front, node)]
    if kind in DATAGRAMS and len(plan["fronts"]) > 1:
        other = rng.choice([f["name"] for f in plan["fronts"] if f["name"] != front])
        pairs += [(front, other), (front, "*")]
    first, second = rng.choice(pairs)
    return rng.choice(
        [
            [f"link:{first}>{second}"],
            [f"link:{second}>{first}"],
            [f"link:{first}>{second}", f"link:{second}>{first}"],
        ]
    )


def fault_steps(rng: random.Random, plan: dict, seconds: float) -> list[tuple]:
    """Returns faults that begin and end within the drill, several at a time."""
    steps, at = [], rng.uniform(1.0, 2.5)
    while at < 0.8 * seconds:
        kind, end = rng.choice(KINDS), min(0.9 * seconds, at + rng.uniform(0.3, 5.0))
        if kind == "pause":
            front = rng.choice(plan["fronts"])["name"]
            steps += [(at, "pause", front), (end, "wake", front)]
        else:
            value = fault_value(rng, kind)
            for target in link_directions(rng, plan, kind):
                steps.append((at, "fault", target, kind, value))
                if kind != "reset":
                    steps.append((end, "fault", target, kind, 0))
        at += rng.uniform(0.4, 2.5)
    return steps


def figures(rows: list[Record]) -> dict[str, float]:
    """Returns the counts of faults, and of allocations given up and handshakes at the links."""
    return {
        "link_faults": sum(
            row["what"] == "fault" and row["at"].startswith("link:") and row["value"] > 0 for row in rows
        ),
        "paused": sum(row["what"] == "paused" for row in rows),
        "let_go": sum(row["what"] == "let_go" for row in rows),
        "handshakes": sum(row["what"] == "handshake" for row in rows),
    }


def links(rng: random.Random, plan: dict, options: DrillOptions) -> DrillScript:
    """Draws faults of links and pauses of fronts."""
    add_links(plan)
    claims = {
        "unanswered": (0, lambda counts, rows: counts["unanswered"]),
        "wrong_segments": (0, lambda counts, rows: counts["wrong_segments"]),
    }
    return DrillScript(fault_steps(rng, plan, options.seconds), claims, ["links"], figures)
