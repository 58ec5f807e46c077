"""Whole sites over processes: what is kept is found kept, and watches that do harm are caught."""

import pytest
from loopback import run_drills

pytestmark = pytest.mark.days

DAY = ["--seconds", "16", "--nodes", "12", "--fronts", "4"]
CALLS = {
    "return": ["site-return", *DAY],
    "cut": ["site-cut", *DAY],
    "flap": ["site-flap", "--draw", "6", *DAY],  # a cut; once misread by the judge
    "alarmist": ["site-return", *DAY, "--sites", "curlewhall.drills.breakers:Alarmist"],
}


@pytest.fixture(scope="module")
def days(tmp_path_factory):
    return run_drills(CALLS, tmp_path_factory)


@pytest.mark.parametrize("name", ["return", "cut", "flap"])
def test_a_site_that_goes_breaks_no_rule(days, name):
    code, found, said = days[name]
    assert code == 0, said
    assert found["broken"] == {} and found["plays"] > 20 and found["falls"] == 0 and found["fronts"] == 4


def test_a_watch_that_declares_without_evidence_is_caught(days):
    code, found, said = days["alarmist"]
    assert code == 1 and not found["claims"]["shunned"]["holds"], said
