"""Tests of the plugin for known failing tests (known_red.py)."""

from pathlib import Path

import known_red
import pytest

TESTS = """
import pytest

def test_green(): pass

@pytest.mark.parametrize("n", [1, 2])
def test_red(n): assert n == 2
"""
LISTED = "test_it.py::test_red[1] | it is not two | issue 7\n"


MARKED = "import pytest\n@pytest.mark.{}\ndef test_red(): assert 0"
FORBIDDEN = f"only {known_red.FILE} lets a test fail"


@pytest.mark.parametrize(
    ("listed", "tests", "code", "output"),
    [
        (LISTED, TESTS, 0, "known red: test_it.py::test_red[1]: it is not two (issue 7)"),
        (None, TESTS, 1, "1 failed, 2 passed"),
        ("", "def test_green(): pass", 0, "1 passed"),
        (
            LISTED + "test_it.py::test_green | it passes | issue 7\n",
            TESTS,
            1,
            "1 failed, 1 passed, 1 xfailed",
        ),
        (
            LISTED + "test_it.py::test_gone | not there | issue 7\n",
            TESTS,
            4,
            "no such test: test_it.py::test_gone",
        ),
        (LISTED + "test_it.py::test_red[2]\n", TESTS, 4, "line 2 is not TEST | CAUSE | ISSUE"),
        (LISTED + LISTED, TESTS, 4, "line 2 is not TEST | CAUSE | ISSUE"),
        ("".join(f"t{i} | c | issue 7\n" for i in range(4)), TESTS, 4, "4 tests are listed, 3 at most"),
        (None, MARKED.format("xfail"), 4, FORBIDDEN),
        (None, MARKED.format("skip"), 4, FORBIDDEN),
    ],
)
def test_only_listed_tests_may_fail_and_must(pytester, listed, tests, code, output):
    pytester.makepyfile(test_it=tests)
    pytester.makepyfile(known_red=Path(known_red.__file__).read_text(encoding="utf-8"))
    pytester.makeconftest("pytest_plugins = ['known_red']")
    pytester.makeini("[pytest]\ntestpaths = .\npythonpath = .\n")
    if listed is not None:
        (pytester.path / known_red.FILE).write_text(listed, encoding="utf-8")
    result = pytester.runpytest_subprocess()
    assert result.ret == code and output in result.stdout.str() + result.stderr.str()
