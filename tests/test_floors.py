"""Tests of the package layers, read from the source: no import cycles, no import of a higher layer."""

import ast
from pathlib import Path

import pytest

import curlewhall

ROOT = Path(curlewhall.__file__).parent
LOWEST_LAYER = {"errors", "platform_names"}


def package(path: Path) -> str:
    parts = path.relative_to(ROOT).with_suffix("").parts
    return parts[0]


def imports(path: Path):
    """The package of each import from this project, also within functions."""
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


def import_cycle(graph: dict[str, set[str]], start: str) -> list[str]:
    """A path from a package back to itself; empty if there is none."""
    paths = [[start, there] for there in sorted(graph.get(start, ()))]
    seen = set()
    while paths:
        path = paths.pop()
        if path[-1] == start:
            return path
        if path[-1] not in seen:
            seen.add(path[-1])
            paths += [[*path, there] for there in sorted(graph.get(path[-1], ()))]
    return []


def test_import_cycle_is_found():
    assert import_cycle({"a": {"b"}, "b": {"c"}, "c": {"a"}}, "a") == ["a", "b", "c", "a"]
    assert import_cycle({"a": {"b"}, "b": {"c"}, "c": set()}, "a") == []


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
def test_package_is_in_no_import_cycle(graph, name):
    assert name in graph
    assert not import_cycle(graph, name)


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
def test_lower_package_does_not_import_higher(graph, low, high):
    assert high not in graph[low]


def test_lowest_layer_imports_nothing(graph):
    assert all(not graph[name] for name in LOWEST_LAYER)
