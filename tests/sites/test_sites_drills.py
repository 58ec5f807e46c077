"""Drills that lose whole sites, with processes: the rules hold, and a harmful detector is reported."""

import pytest
from loopback import run_drills

pytestmark = pytest.mark.days

DRILL_ARGUMENTS = ["--seconds", "16", "--nodes", "12", "--fronts", "4"]
CALLS = {
    "return": ["site-return", *DRILL_ARGUMENTS],
    "cut": ["site-cut", *DRILL_ARGUMENTS],
    "flap": ["site-flap", "--draw", "6", *DRILL_ARGUMENTS],  # a cut, which the judge once misread
    "false alarm": [
        "site-return",
        *DRILL_ARGUMENTS,
        "--sites",
        "curlewhall.drills.breakers:FalseAlarmDetector",
    ],
}


@pytest.fixture(scope="module")
def results(tmp_path_factory):
    return run_drills(CALLS, tmp_path_factory)


@pytest.mark.parametrize("name", ["return", "cut", "flap"])
def test_loss_of_a_site_breaks_no_rule(results, name):
    code, report, output = results[name]
    assert code == 0, output
    assert report["broken"] == {} and report["plays"] > 20 and report["falls"] == 0 and report["fronts"] == 4


def test_detector_that_declares_a_loss_without_evidence_is_reported(results):
    code, report, output = results["false alarm"]
    assert code == 1 and not report["claims"]["shunned"]["holds"], output
