"""Pytest plugin for the known failing tests listed in KNOWN-RED.txt at the root; no other test may fail.

Each line holds a test's node id, the cause and the open issue, separated by ` | `; at most three tests may be
listed. A listed test must fail: one that passes or does not exist fails the run. Normally the file is empty
or missing. Its lines are printed at the end of each run.
"""

import pytest

MAX_LISTED_TESTS = 3
FILE = "KNOWN-RED.txt"
FORBIDDEN_MARKS = {"xfail", "skip", "skipif"}


def read_list(config):
    """Listed tests with cause and issue. Raises `UsageError` for malformed lines and for too many of them."""
    file, listed = config.rootpath / FILE, {}
    lines = file.read_text(encoding="utf-8").splitlines() if file.exists() else []
    for number, line in enumerate((line for line in lines if line.strip()), 1):
        test, *rest = (part.strip() for part in line.split(" | "))
        if len(rest) != 2 or not all((test, *rest)) or test in listed:
            raise pytest.UsageError(f"{FILE}: line {number} is not TEST | CAUSE | ISSUE: {line!r}")
        listed[test] = rest
    if len(listed) > MAX_LISTED_TESTS:
        raise pytest.UsageError(f"{FILE}: {len(listed)} tests are listed, {MAX_LISTED_TESTS} at most")
    return listed


@pytest.hookimpl(tryfirst=True)  # before other plugins deselect tests
def pytest_collection_modifyitems(config, items):
    listed, node_ids = read_list(config), {item.nodeid for item in items}
    marked = [item.nodeid for item in items if FORBIDDEN_MARKS & {mark.name for mark in item.iter_markers()}]
    if marked:
        raise pytest.UsageError(f"only {FILE} lets a test fail or be passed over: {', '.join(marked)}")
    missing = [test for test in listed if test not in node_ids]
    if missing and config.args_source is config.ArgsSource.TESTPATHS:  # a run of the whole suite
        raise pytest.UsageError(f"{FILE}: no such test: {', '.join(missing)}")
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(strict=True, reason=": ".join(reversed(listed[item.nodeid]))))


def pytest_terminal_summary(terminalreporter, config):
    for test, (cause, issue) in read_list(config).items():
        terminalreporter.write_line(f"known red: {test}: {cause} ({issue})")
