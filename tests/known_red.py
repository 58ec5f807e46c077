"""Tests that may fail for now: those that KNOWN-RED.txt at the root names, three at most, and no others.

A line holds the test as pytest names it, the cause, and the issue it is open in, with ` | ` between them. A
test that is listed has to fail: one that passes, or that does not exist, fails the run. An empty file, or
none, is the normal state. The lines are printed at the end of each run.
"""

import pytest

MOST = 3
FILE = "KNOWN-RED.txt"
PASSED_OVER = {"xfail", "skip", "skipif"}


def read(config):
    """Test to (cause, issue); `UsageError` for lines that are too many or not of the form."""
    file, found = config.rootpath / FILE, {}
    lines = file.read_text(encoding="utf-8").splitlines() if file.exists() else []
    for number, line in enumerate((line for line in lines if line.strip()), 1):
        test, *rest = (part.strip() for part in line.split(" | "))
        if len(rest) != 2 or not all((test, *rest)) or test in found:
            raise pytest.UsageError(f"{FILE}: line {number} is not TEST | CAUSE | ISSUE: {line!r}")
        found[test] = rest
    if len(found) > MOST:
        raise pytest.UsageError(f"{FILE}: {len(found)} tests are listed, {MOST} at most")
    return found


@pytest.hookimpl(tryfirst=True)  # before any are left out by their marks
def pytest_collection_modifyitems(config, items):
    listed, names = read(config), {item.nodeid for item in items}
    own = [item.nodeid for item in items if PASSED_OVER & {mark.name for mark in item.iter_markers()}]
    if own:
        raise pytest.UsageError(f"only {FILE} lets a test fail or be passed over: {', '.join(own)}")
    missing = [test for test in listed if test not in names]
    if missing and config.args_source is config.ArgsSource.TESTPATHS:  # the whole suite: it should be there
        raise pytest.UsageError(f"{FILE}: no such test: {', '.join(missing)}")
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(strict=True, reason=": ".join(reversed(listed[item.nodeid]))))


def pytest_terminal_summary(terminalreporter, config):
    for test, (cause, issue) in read(config).items():
        terminalreporter.write_line(f"known red: {test}: {cause} ({issue})")
