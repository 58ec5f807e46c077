"""All errors of the program's own: one base, a name each, a remedy each."""

import ast
import importlib
import pkgutil
from pathlib import Path

import pytest

import curlewhall
from curlewhall import errors
from curlewhall.front import problems

ROOT = Path(curlewhall.__file__).parent
HEAVY = ("__main__",)  # what runs when it is imported


def modules():
    for found in pkgutil.walk_packages([str(ROOT)], "curlewhall."):
        if not found.name.endswith(HEAVY):
            yield importlib.import_module(found.name)


def kinds():
    for module in modules():
        for thing in vars(module).values():
            own = isinstance(thing, type) and thing.__module__ == module.__name__
            if own and issubclass(thing, Exception):
                yield thing


@pytest.fixture(scope="module")
def found():
    return list(kinds())


def test_all_have_one_base_a_name_of_their_own_and_a_remedy(found):
    ours = [kind for kind in found if kind is not errors.CurlewhallError]
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


def test_none_is_made_beside_the_base():
    """No class in the source derives from a bare exception but the base."""
    for path in ROOT.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef) and node.name != "CurlewhallError":
                bases = {base.id for base in node.bases if isinstance(base, ast.Name)}
                assert not bases & {"Exception", "OSError", "RuntimeError"}, f"{path.name}: {node.name}"


@pytest.mark.parametrize(("what", "lines"), [("one thing", 1), ("a\nb", 3)])
def test_what_is_told_has_both(what, lines):
    class Some(errors.CurlewhallError):
        remedy = "Do that."

    err = Some(what)
    assert (
        err.full_message.startswith(what)
        and err.full_message.endswith("Do that.")
        and err.full_message.count("\n") == lines - 1
    )
    assert errors.describe(err) == err.full_message and errors.describe(OSError("x")) == "x"


@pytest.mark.parametrize("status", problems.KINDS)
def test_problem_documents_say_what_can_be_done(status):
    import json

    _, _, body = problems.document(status, "this and that")
    assert json.loads(body)["remedy"].endswith(".")
    _, _, body = problems.document(status, "this and that", remedy="Do it.")
    assert json.loads(body)["remedy"] == "Do it."
