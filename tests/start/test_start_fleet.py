"""Front processes that start at one moment while the list service has a fault."""

import json
import urllib.request
from collections import Counter

import pytest
from loopback import poll

from curlewhall import records
from curlewhall.drills.demo import state
from curlewhall.drills.fleet import Processes, make_plan

FRONTS = 6


def kept_lists(folder):
    """The paths of the fronts' kept lists."""
    return sorted(folder.glob("front-*.list"))


def await_version(plan, version):
    """Wait until the list service sends a version to a client of its own."""
    service = plan["list_service"]
    url = f"http://{service['address']}:{service['port']}/v1/list?front=stranger&have=0&life="
    with urllib.request.build_opener(urllib.request.ProxyHandler({})).open(url, timeout=20) as lines:
        while json.loads(lines.readline()).get("version", 0) < version:
            pass


def list_states(plan):
    """The list state that each front shows; None until all follow the list service."""
    states = [state(front) for front in plan["fronts"]]
    states = [shown and shown["list"] for shown in states]
    return states if all(shown and shown["reached"] and shown["version"] for shown in states) else None


@pytest.mark.parametrize(
    ("faults", "without_lists", "full_lists", "rejected"),
    [
        ([], False, 0, False),  # the kept list is current: short answers
        ([("drain", "n001")], False, 0, False),  # one change behind: only that change is sent
        ([("life", "list")], False, FRONTS, False),  # a new epoch: versions can't be compared
        ([("capacity", "list")], True, FRONTS, True),  # the service gives 2 full lists a second
    ],
)
def test_fleet_restarted_at_one_moment_gets_only_what_it_lacks(
    tmp_path, faults, without_lists, full_lists, rejected
):
    plan = make_plan(11, 4, FRONTS, 5.0, tmp_path)
    names = [front["name"] for front in plan["fronts"]]
    with Processes(plan) as fleet:
        poll(lambda: len(kept_lists(tmp_path)) == FRONTS and list_states(plan))
        for name in names:
            fleet.kill_front(name)
        for path in kept_lists(tmp_path) if without_lists else ():
            path.unlink()
        for kind, target in faults:
            fleet.fault(target, kind, 2.0)
        if faults and faults[0][0] == "drain":
            await_version(plan, 2)
        for name in names:
            fleet.start_front(name)
        for name in names:
            fleet.await_front(name)
        poll(lambda: list_states(plan))
        poll(lambda: len({shown["version"] for shown in list_states(plan) or ()}) == 1)
        epochs = [json.loads(path.read_bytes())["life"] for path in kept_lists(tmp_path)]
    rows = records.read_merged([plan["records"][who] for who in ("fleet", "drill")])
    restarted_at = sorted(row["t"] for row in rows if row["what"] == "started")[FRONTS]
    told = [
        row for row in rows if row["what"] == "told" and row["t"] >= restarted_at and row["front"] in names
    ]
    first = {row["front"]: row for row in reversed(told)}
    assert set(first) == set(names)  # the service has answered each
    # Without kept lists, the first front that gets the list hands it on.
    assert (1 if without_lists else full_lists) <= sum(row["how"] == "whole" for row in told) <= full_lists
    by_second = Counter(row["t"] // 10_000 for row in told if row["how"] == "whole")
    rejections = [row for row in rows if row["what"] == "shed"]
    assert bool(rejections) is rejected
    if rejected:
        assert max(by_second.values()) <= 4  # 2 a second; the service's seconds start at other times
    if not full_lists:
        assert all(len(row["rows"]) == len(faults) for row in first.values())
    assert set(epochs) == {"life-2" if ("life", "list") in faults else "life-1"}
