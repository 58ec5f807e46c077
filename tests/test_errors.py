"""Tests of the error classes: one base, and a name and a remedy of its own for each."""

import ast
import importlib
import pkgutil
from pathlib import Path

import pytest

import curlewhall
from curlewhall import errors
from curlewhall.front import problems

ROOT = Path(curlewhall.__file__).parent
RUN_ON_IMPORT = ("__main__",)


def modules():
    for found in pkgutil.walk_packages([str(ROOT)], "curlewhall."):
        if not found.name.endswith(RUN_ON_IMPORT):
            yield importlib.import_module(found.name)


def error_classes():
    for module in modules():
        for thing in vars(module).values():
            own = isinstance(thing, type) and thing.__module__ == module.__name__
            if own and issubclass(thing, Exception):
                yield thing


@pytest.fixture(scope="module")
def classes():
    return list(error_classes())


def test_each_error_class_has_base_unique_name_and_unique_remedy(classes):
    ours = [kind for kind in classes if kind is not errors.CurlewhallError]
    assert len(ours) >= 19
    assert all(issubclass(kind, errors.CurlewhallError) for kind in ours), ours
    names = [kind.__name__ for kind in ours]
    assert len(set(names)) == len(names), sorted(names)
    assert not {"Wrong", "Malformed", "Bad", "Refused", "Taken"} & set(names)
    remedies = [kind.remedy for kind in ours]
    assert len(set(remedies)) == len(remedies)
    for kind in ours:
        assert kind.remedy != errors.CurlewhallError.remedy and kind.remedy.endswith("."), kind
        assert 30 < len(kind.remedy) <= 160, kind


def test_no_error_class_bypasses_the_base():
    """No class but the base derives from a built-in exception."""
    for path in ROOT.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef) and node.name != "CurlewhallError":
                bases = {base.id for base in node.bases if isinstance(base, ast.Name)}
                assert not bases & {"Exception", "OSError", "RuntimeError"}, f"{path.name}: {node.name}"


@pytest.mark.parametrize(("text", "lines"), [("one thing", 1), ("a\nb", 3)])
def test_full_message_holds_text_and_remedy(text, lines):
    class ExampleError(errors.CurlewhallError):
        remedy = "Do that."

    err = ExampleError(text)
    assert (
        err.full_message.startswith(text)
        and err.full_message.endswith("Do that.")
        and err.full_message.count("\n") == lines - 1
    )
    assert errors.describe(err) == err.full_message and errors.describe(OSError("x")) == "x"


@pytest.mark.parametrize("status", problems.PROBLEM_TYPES)
def test_problem_document_holds_remedy(status):
    import json

    _, _, body = problems.document(status, "this and that")
    assert json.loads(body)["remedy"].endswith(".")
    _, _, body = problems.document(status, "this and that", remedy="Do it.")
    assert json.loads(body)["remedy"] == "Do it."
