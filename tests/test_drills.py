"""Tests that the judge reports policies that break a rule on purpose, and names the rule.

The drills run in parallel, each with its own fleet of processes.
"""

import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

import pytest

pytestmark = pytest.mark.days

BREAKERS = {
    "1": "StallingFront",
    "2": "DoubleAllocatingFront",
    "3": "DrainIgnoringFront",
    "4": "ColdNodeOverloadingFront",
    "5": "FloorIgnoringFront",
    "6": "BudgetIgnoringFront",
}
DRILL_ARGUMENTS = [
    "--seconds",
    "9",
    "--trouble",
    "release",
    "--trouble",
    "crash",
    "--trouble",
    "freeze_setups",
]


def run_command(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "curlewhall", *arguments], capture_output=True, text=True, timeout=120
    )


def run_drill(folder, *more):
    """Runs one drill; returns its exit code, report and output."""
    out = folder / "result.json"
    done = run_command("drill", "badday", *DRILL_ARGUMENTS, "--json", str(out), *more)
    return done.returncode, json.loads(out.read_text()) if out.exists() else {}, done.stdout + done.stderr


@pytest.fixture(scope="module")
def drill_results(tmp_path_factory):
    """Results of all drills, which run in parallel since they mostly wait."""
    extra_arguments = {"4": ["--nodes", "28"]}  # only a larger fleet has enough viewers to overload a node
    calls = {
        rule: ["--policy", f"curlewhall.drills.breakers:{name}", *extra_arguments.get(rule, ())]
        for rule, name in BREAKERS.items()
    } | {"kept": []}
    with ThreadPoolExecutor(len(calls)) as pool:
        jobs = {
            key: pool.submit(run_drill, tmp_path_factory.mktemp("day"), *more) for key, more in calls.items()
        }
        return {key: job.result() for key, job in jobs.items()}


@pytest.mark.parametrize("rule", BREAKERS)
def test_policy_that_breaks_a_rule_is_reported(drill_results, rule):
    code, report, output = drill_results[rule]
    assert code == 1 and report["broken"].get(rule, 0) > 0, output
    assert f"rule {rule} is broken" in output  # the first violation is printed


def test_decision_module_keeps_all_rules_in_the_same_drill(drill_results):
    code, report, output = drill_results["kept"]
    assert code == 0, output
    assert report["broken"] == {} and report["unanswered"] == 0 and report["plays"] > 30


@pytest.mark.parametrize(
    ("arguments", "message"),
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
def test_invalid_arguments_exit_with_2_and_message(arguments, message):
    done = run_command(*arguments)
    assert done.returncode == 2 and message in " ".join(done.stderr.split())
