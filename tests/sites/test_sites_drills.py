"""Whole sites over processes: what is kept is found kept, and watches that do harm are caught."""

import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

import pytest

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
    """All at once: what they wait for is time, not the processor."""
    def play(name):
        out = tmp_path_factory.mktemp("drill") / f"{name}.json"
        done = subprocess.run([sys.executable, "-m", "curlewhall", "drill", *CALLS[name], "--json", str(out)],
                              capture_output=True, text=True, timeout=120)
        found = json.loads(out.read_text()) if out.exists() else {}
        return done.returncode, found, done.stdout + done.stderr

    with ThreadPoolExecutor(len(CALLS)) as pool:
        return dict(zip(CALLS, pool.map(play, CALLS), strict=True))


@pytest.mark.parametrize("name", ["return", "cut", "flap"])
def test_a_site_that_goes_breaks_no_rule(days, name):
    code, found, said = days[name]
    assert code == 0, said
    assert found["broken"] == {} and found["plays"] > 20 and found["falls"] == 0 and found["fronts"] == 4


def test_a_watch_that_declares_without_evidence_is_caught(days):
    code, found, said = days["alarmist"]
    assert code == 1 and not found["claims"]["shunned"]["holds"], said
