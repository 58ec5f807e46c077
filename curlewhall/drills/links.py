"""`links`: the ways between processes fail, each direction alone, and processes stand still, under load."""

import random

from curlewhall.records import Record

from .fleet import add_links
from .play import Day, Script

KINDS = ("cut", "stall", "delay", "slow", "reset", "loss", "repeat", "reorder", "pause")
DATAGRAMS = ("cut", "delay", "loss", "repeat", "reorder")


def value(rng: random.Random, kind: str) -> float:
    """How much of it: seconds, kB a second, bytes, or a share."""
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


def ways(rng: random.Random, plan: dict, kind: str) -> list[str]:
    """Directions of one link or of several that fail together: one front's, one node's, the list's."""
    front = rng.choice(plan["fronts"])["name"]
    node = rng.choice(plan["nodes"])["node"]
    pairs = [(front, "list"), ("*", "list")] if kind not in ("loss", "repeat", "reorder") else []
    if pairs:
        pairs += [(front, node), ("*", node), (front, node)]
    if kind in DATAGRAMS and len(plan["fronts"]) > 1:
        other = rng.choice([f["name"] for f in plan["fronts"] if f["name"] != front])
        pairs += [(front, other), (front, "*")]
    one, other = rng.choice(pairs)
    return rng.choice(
        [[f"link:{one}>{other}"], [f"link:{other}>{one}"], [f"link:{one}>{other}", f"link:{other}>{one}"]]
    )


def course(rng: random.Random, plan: dict, seconds: float) -> list[tuple]:
    """Faults that begin and end within the day, several at a time."""
    steps, at = [], rng.uniform(1.0, 2.5)
    while at < 0.8 * seconds:
        kind, end = rng.choice(KINDS), min(0.9 * seconds, at + rng.uniform(0.3, 5.0))
        if kind == "pause":
            front = rng.choice(plan["fronts"])["name"]
            steps += [(at, "pause", front), (end, "wake", front)]
        else:
            much = value(rng, kind)
            for way in ways(rng, plan, kind):
                steps.append((at, "fault", way, kind, much))
                if kind != "reset":
                    steps.append((end, "fault", way, kind, 0))
        at += rng.uniform(0.4, 2.5)
    return steps


def figures(rows: list[Record]) -> dict[str, float]:
    return {
        "link_faults": sum(
            row["what"] == "fault" and row["at"].startswith("link:") and row["value"] > 0 for row in rows
        ),
        "paused": sum(row["what"] == "paused" for row in rows),
        "let_go": sum(row["what"] == "let_go" for row in rows),
        "handshakes": sum(row["what"] == "handshake" for row in rows),
    }


def links(rng: random.Random, plan: dict, day: Day) -> Script:
    add_links(plan)
    claims = {
        "unanswered": (0, lambda counts, rows: counts["unanswered"]),
        "wrong_segments": (0, lambda counts, rows: counts["wrong_segments"]),
    }
    return Script(course(rng, plan, day.seconds), claims, ["links"], figures)
