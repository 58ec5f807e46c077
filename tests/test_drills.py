"""The judge bites: classes that break a rule on purpose are caught, with the right rule named.

The drills run beside each other, each a fleet of processes of its own.
"""

import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

import pytest

pytestmark = pytest.mark.days

BREAKERS = {"1": "Stalls", "2": "Twice", "3": "Deaf", "4": "Rush", "5": "Under", "6": "Spender"}
DAY = ["--seconds", "9", "--trouble", "release", "--trouble", "crash", "--trouble", "freeze_setups"]


def command(*words):
    return subprocess.run(
        [sys.executable, "-m", "curlewhall", *words], capture_output=True, text=True, timeout=120
    )


def drill(folder, *more):
    out = folder / "result.json"
    done = command("drill", "badday", *DAY, "--json", str(out), *more)
    return done.returncode, json.loads(out.read_text()) if out.exists() else {}, done.stdout + done.stderr


@pytest.fixture(scope="module")
def days(tmp_path_factory):
    """All days at once: what they wait for is time, not the processor."""
    more = {"4": ["--nodes", "28"]}  # a crowd that pushes a node over takes a larger fleet's viewers
    calls = {
        rule: ["--policy", f"curlewhall.drills.breakers:{name}", *more.get(rule, ())]
        for rule, name in BREAKERS.items()
    } | {"kept": []}
    with ThreadPoolExecutor(len(calls)) as pool:
        jobs = {key: pool.submit(drill, tmp_path_factory.mktemp("day"), *more) for key, more in calls.items()}
        return {key: job.result() for key, job in jobs.items()}


@pytest.mark.parametrize("rule", BREAKERS)
def test_a_class_that_breaks_a_rule_is_caught(days, rule):
    code, found, said = days[rule]
    assert code == 1 and found["broken"].get(rule, 0) > 0, said
    assert f"rule {rule} is broken" in said  # the first broken thing of all


def test_the_module_keeps_the_rules_on_the_same_day(days):
    code, found, said = days["kept"]
    assert code == 0, said
    assert found["broken"] == {} and found["unanswered"] == 0 and found["plays"] > 30


@pytest.mark.parametrize(
    ("call", "complaint"),
    [
        (["drill", "nothing"], "no drill is called 'nothing'"),
        (["drill", "badday", "--trouble", "nothing"], "no trouble is called 'nothing'"),
        (["drill", "badday", "--draw", "3", "--trouble", "nothing"], "no trouble is called 'nothing'"),
        (["drill", "site-loss", "--trouble", "nothing"], "no trouble is called 'nothing'"),
        (["drill", "badday", "--policy", "curlewhall.policy"], "is not MODULE:CLASS"),
        (["drill", "badday", "--policy", "nowhere:Front"], "No module named"),
        (["drill", "badday", "--nodes", "two"], "not a valid integer"),
        (["serve", "nowhere.textproto"], "No such file"),
    ],
)
def test_a_wrong_call_ends_with_2_and_says_why(call, complaint):
    done = command(*call)
    assert done.returncode == 2 and complaint in " ".join(done.stderr.split())
