"""Drills over links: what is kept is found kept; a class that breaks a rule is caught through them too."""

import pytest
from loopback import run_drills

pytestmark = pytest.mark.days

CALLS = {
    "herd": ["start-herd", "--draw", "1", "--seconds", "12", "--fronts", "4"],
    "links": ["links", "--draw", "16", "--seconds", "12", "--fronts", "4"],  # once misread
    "deaf": [
        "start-restless",
        "--draw",
        "3",
        "--seconds",
        "14",
        "--fronts",
        "4",
        "--policy",
        "curlewhall.drills.breakers:Deaf",
    ],
}


@pytest.fixture(scope="module")
def days(tmp_path_factory):
    return run_drills(CALLS, tmp_path_factory)


def test_a_fleet_that_ends_and_begins_at_once_is_sent_no_whole_list(days):
    code, found, said = days["herd"]
    assert code == 0, said
    assert found["broken"] == {} and found["plays"] > 20 and found["told"] == 4 and found["wholes"] == 0


def test_faults_between_processes_break_no_rule(days):
    code, found, said = days["links"]
    assert code == 0, said
    assert found["broken"] == {} and found["plays"] > 20 and found["link_faults"] > 3
    assert found["handshakes"] > 0


def test_a_front_that_does_not_heed_drains_is_caught_by_what_came_through_its_link(days):
    code, found, said = days["deaf"]
    assert code == 1 and found["broken"].get("3", 0) > 0, said
