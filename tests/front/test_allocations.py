"""Counts at the nodes every set-up that one play can cause, through module, driver, pool, moves and retries.

The expected numbers are the table in `docs/readiness-review.md`.
"""

import pytest
from front.deployment import deployment, until
from loopback import looped

MAX_ALLOCATIONS = 3  # permissions.max_allocations of the deployment's settings


def allocation_rows(env):
    return [row for what in ("setup", "refused") for row in env.rows(what)]


def fill(env):
    """Make each node refuse every set-up as full."""
    for node in env.fleet.nodes.values():
        node.spec["streams"] = 0


@looped
@pytest.mark.parametrize(
    ("trouble", "product", "setups", "refusals", "status"),
    [
        ("full", "plain", 0, MAX_ALLOCATIONS, 503),
        ("full", "paid", 0, MAX_ALLOCATIONS, 503),
        ("freeze_setups", "plain", MAX_ALLOCATIONS, 0, 503),
        ("freeze_setups", "paid", 1, 0, 502),
        ("reset", "plain", MAX_ALLOCATIONS, 0, 503),
        ("reset", "paid", 1, 0, 502),
        ("stranger", "paid", 1, 0, 502),
        ("die", "paid", 0, 0, 503),
        ("garbage", "paid", 0, 0, 502),
    ],
)
async def test_set_ups_refusals_and_status_of_one_request_per_fault(
    tmp_path, trouble, product, setups, refusals, status
):
    async with deployment(tmp_path, nodes=6) as env:
        env.plan["list_service"]["lag"] = [60, 60]  # the list changes too late to matter
        fill(env) if trouble == "full" else env.fault(trouble)
        message, _ = await env.ask(product=product, limit_ms=2500)
        assert message.status == status
        assert (len(env.rows("setup")), len(env.rows("refused"))) == (setups, refusals)
        numbers = sorted(row["number"] for row in allocation_rows(env))
        assert numbers == list(range(setups + refusals)) and not env.fronts[0].driver.plays


@looped
@pytest.mark.parametrize("returns", [0, 3])
async def test_each_retry_of_a_paid_viewer_causes_exactly_one_more_set_up(tmp_path, returns):
    async with deployment(tmp_path, nodes=6) as env:
        env.fault("reset")
        for again in range(1 + returns):
            await env.ask(product="paid", viewer="one", again=int(again > 0))
        assert len(allocation_rows(env)) == 1 + returns


@looped
async def test_move_attempts_against_full_nodes_are_bounded_by_allocations_and_time_limit(tmp_path):
    """Each attempt of a move is a play of its own; all attempts together last at most one time limit."""
    async with deployment(tmp_path, nodes=6) as env:
        front = env.fronts[0]
        _, plan = await env.ask()
        (active_play,) = front.driver.plays.values()
        front.driver.moves.buffer_reported(active_play.info.play, 30.0)
        fill(env)
        env.fault("drain", nodes=[active_play.node])
        await until(lambda: front.driver.counts["declined"] or front.driver.counts["failed"])
        refused = env.rows("refused")
        attempts = {row["play"] for row in refused}
        assert len(env.rows("setup")) == 1
        assert len(refused) <= MAX_ALLOCATIONS * len(attempts) <= MAX_ALLOCATIONS * 9
        # Each attempt counts as an accepted play and so raises the budget of further allocations (rule 6).
        # An attempt is made only if the module has room, except the last one, which gives the viewer's
        # answer.
        assert front.driver.counts["asked"] - 1 <= len(attempts) + 1
