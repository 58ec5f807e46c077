"""The floors: which package imports which, read from the source; no circles, nothing upwards."""

import ast
from pathlib import Path

import pytest

import curlewhall

ROOT = Path(curlewhall.__file__).parent
LOWEST = {"errors", "platform_names"}


def package(path: Path) -> str:
    parts = path.relative_to(ROOT).with_suffix("").parts
    return parts[0]


def imports(path: Path):
    """The package of each import of the project's own, those within functions too."""
    tree = ast.parse(path.read_text())
    for node in ast.walk(tree):
        names = []
        if isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            if node.level:
                base = (
                    path.relative_to(ROOT).parts[: -node.level]
                    if node.level > 1
                    else path.relative_to(ROOT).parts[:-1]
                )
                names = [".".join(("curlewhall", *base, node.module or ""))]
            elif node.module == "curlewhall":
                names = [f"curlewhall.{alias.name}" for alias in node.names]
            else:
                names = [node.module or ""]
        for name in names:
            parts = name.split(".")
            if parts[0] == "curlewhall" and len(parts) > 1 and parts[1]:
                yield parts[1]


@pytest.fixture(scope="module")
def graph():
    found: dict[str, set[str]] = {}
    for path in ROOT.rglob("*.py"):
        if path.name.endswith("_pb2.py"):
            continue
        here = package(path)
        found.setdefault(here, set()).update(there for there in imports(path) if there != here)
    return found


def circle(graph: dict[str, set[str]], start: str) -> list[str]:
    """A way from a package back to itself; empty where there is none."""
    ways = [[start, there] for there in sorted(graph.get(start, ()))]
    seen = set()
    while ways:
        way = ways.pop()
        if way[-1] == start:
            return way
        if way[-1] not in seen:
            seen.add(way[-1])
            ways += [[*way, there] for there in sorted(graph.get(way[-1], ()))]
    return []


def test_the_walk_finds_a_circle():
    assert circle({"a": {"b"}, "b": {"c"}, "c": {"a"}}, "a") == ["a", "b", "c", "a"]
    assert circle({"a": {"b"}, "b": {"c"}, "c": set()}, "a") == []


@pytest.mark.parametrize(
    "name",
    [
        "drills",
        "codecs",
        "relay",
        "standins",
        "sites",
        "start",
        "members",
        "wire",
        "records",
        "rules",
        "dash",
        "policy",
        "interface",
        "simhost",
        "errors",
    ],
)
def test_no_circle(graph, name):
    assert name in graph
    assert not circle(graph, name)


@pytest.mark.parametrize(
    ("low", "high"),
    [
        ("drills", "cli"),
        ("standins", "relay"),
        ("standins", "front"),
        ("rules", "front"),
        ("codecs", "relay"),
        ("codecs", "wire"),
        ("simhost", "front"),
        ("policy", "interface"),
        ("sites", "front"),
        ("front", "drills"),
        ("relay", "daemon"),
        ("relay", "console"),
        ("relay", "settings"),
    ],
)
def test_never(graph, low, high):
    assert high not in graph[low]


def test_the_lowest_need_nothing(graph):
    assert all(not graph[name] for name in LOWEST)
