"""Fronts as processes that start at one moment at a list service that was asked for faults."""

import json
import urllib.request
from collections import Counter

import pytest
from loopback import poll

from curlewhall import records
from curlewhall.drills.demo import state
from curlewhall.drills.fleet import Processes, make_plan

FRONTS = 6


def kept(folder):
    return sorted(folder.glob("front-*.list"))


def known(plan, version):
    """Wait until the service knows of a version, and say so once a stranger was told."""
    where = plan["list_service"]
    url = f"http://{where['address']}:{where['port']}/v1/list?front=stranger&have=0&life="
    with urllib.request.build_opener(urllib.request.ProxyHandler({})).open(url, timeout=20) as lines:
        while json.loads(lines.readline()).get("version", 0) < version:
            pass


def listed(plan):
    """What each front says of its list; None until all follow one."""
    found = [state(front) for front in plan["fronts"]]
    found = [one and one["list"] for one in found]
    return found if all(one and one["reached"] and one["version"] for one in found) else None


@pytest.mark.parametrize(
    ("faults", "bare", "wholes", "shed"),
    [
        ([], False, 0, False),  # the kept list stands: a short answer each
        ([("drain", "n001")], False, 0, False),  # one change behind: that change alone
        ([("life", "list")], False, FRONTS, False),  # versions of another life are worth nothing
        ([("capacity", "list")], True, FRONTS, True),  # no lists kept, two whole ones a second to be had
    ],
)
def test_a_fleet_killed_and_started_at_once(tmp_path, faults, bare, wholes, shed):
    plan = make_plan(11, 4, FRONTS, 5.0, tmp_path)
    names = [front["name"] for front in plan["fronts"]]
    with Processes(plan) as fleet:
        poll(lambda: len(kept(tmp_path)) == FRONTS and listed(plan))
        for name in names:
            fleet.kill_front(name)
        for path in kept(tmp_path) if bare else ():
            path.unlink()
        for kind, target in faults:
            fleet.fault(target, kind, 2.0)
        if faults and faults[0][0] == "drain":
            known(plan, 2)
        for name in names:
            fleet.start_front(name)
        for name in names:
            fleet.await_front(name)
        poll(lambda: listed(plan))
        poll(lambda: len({one["version"] for one in listed(plan) or ()}) == 1)
        lives = [json.loads(path.read_bytes())["life"] for path in kept(tmp_path)]
    rows = records.merged([plan["records"][who] for who in ("fleet", "drill")])
    again = sorted(row["t"] for row in rows if row["what"] == "started")[FRONTS]
    told = [row for row in rows if row["what"] == "told" and row["t"] >= again and row["front"] in names]
    first = {row["front"]: row for row in reversed(told)}
    assert set(first) == set(names)  # the service has spoken to each
    # where no lists are kept, a front that has one hands it on
    assert (1 if bare else wholes) <= sum(row["how"] == "whole" for row in told) <= wholes
    by_second = Counter(row["t"] // 10_000 for row in told if row["how"] == "whole")
    turned_away = [row for row in rows if row["what"] == "shed"]
    assert bool(turned_away) is shed
    if shed:
        assert max(by_second.values()) <= 4  # two a second, and two seconds of the service may meet in one
    if not wholes:
        assert all(len(row["rows"]) == len(faults) for row in first.values())
    assert set(lives) == {"life-2" if ("life", "list") in faults else "life-1"}
