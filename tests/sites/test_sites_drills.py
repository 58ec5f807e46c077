"""Drills that lose whole sites, with processes: the rules hold, and a harmful detector is reported."""

import pytest
from loopback import run_drills

pytestmark = pytest.mark.days

DAY = ["--seconds", "16", "--nodes", "12", "--fronts", "4"]
CALLS = {
    "return": ["site-return", *DAY],
    "cut": ["site-cut", *DAY],
    "flap": ["site-flap", "--draw", "6", *DAY],  # a cut, which the judge once misread
    "alarmist": ["site-return", *DAY, "--sites", "curlewhall.drills.breakers:FalseAlarmDetector"],
}


@pytest.fixture(scope="module")
def days(tmp_path_factory):
    return run_drills(CALLS, tmp_path_factory)


@pytest.mark.parametrize("name", ["return", "cut", "flap"])
def test_loss_of_a_site_breaks_no_rule(days, name):
    code, found, said = days[name]
    assert code == 0, said
    assert found["broken"] == {} and found["plays"] > 20 and found["falls"] == 0 and found["fronts"] == 4


def test_detector_that_declares_a_loss_without_evidence_is_reported(days):
    code, found, said = days["alarmist"]
    assert code == 1 and not found["claims"]["shunned"]["holds"], said
