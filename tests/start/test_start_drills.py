"""Drills with link faults: the rules hold, and a policy that breaks one is reported."""

import pytest
from loopback import run_drills

pytestmark = pytest.mark.days

CALLS = {
    "herd": ["start-herd", "--draw", "1", "--seconds", "12", "--fronts", "4"],
    "links": ["links", "--draw", "16", "--seconds", "12", "--fronts", "4"],  # the judge once misread it
    "deaf": [
        "start-restless",
        "--draw",
        "3",
        "--seconds",
        "14",
        "--fronts",
        "4",
        "--policy",
        "curlewhall.drills.breakers:DrainIgnoringFront",
    ],
}


@pytest.fixture(scope="module")
def days(tmp_path_factory):
    return run_drills(CALLS, tmp_path_factory)


def test_restarted_fleet_with_kept_lists_is_sent_no_full_list(days):
    code, found, said = days["herd"]
    assert code == 0, said
    assert found["broken"] == {} and found["plays"] > 20 and found["told"] == 4 and found["wholes"] == 0


def test_link_faults_between_processes_break_no_rule(days):
    code, found, said = days["links"]
    assert code == 0, said
    assert found["broken"] == {} and found["plays"] > 20 and found["link_faults"] > 3
    assert found["handshakes"] > 0


def test_policy_that_ignores_drains_is_reported_through_links(days):
    code, found, said = days["deaf"]
    assert code == 1 and found["broken"].get("3", 0) > 0, said
