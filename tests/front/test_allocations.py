"""Every set-up that one play can cause, over module, driver, pool, moves and the viewer's return, counted at
the nodes: the table of `docs/readiness-review.md`.
"""

import pytest
from front.deployment import deployment, until
from loopback import looped

MOST = 3  # permissions.max_allocations of the deployment's settings


def asked_of_nodes(place):
    return [row for what in ("setup", "refused") for row in place.rows(what)]


def fill(place):
    """Each node is full, whatever it is asked."""
    for node in place.fleet.nodes.values():
        node.spec["streams"] = 0


@looped
@pytest.mark.parametrize(
    ("trouble", "product", "setups", "refusals", "status"),
    [
        ("full", "plain", 0, MOST, 503),
        ("full", "paid", 0, MOST, 503),
        ("freeze_setups", "plain", MOST, 0, 503),
        ("freeze_setups", "paid", 1, 0, 502),
        ("reset", "plain", MOST, 0, 503),
        ("reset", "paid", 1, 0, 502),
        ("stranger", "paid", 1, 0, 502),
        ("die", "paid", 0, 0, 503),
        ("garbage", "paid", 0, 0, 502),
    ],
)
async def test_one_request(tmp_path, trouble, product, setups, refusals, status):
    async with deployment(tmp_path, nodes=6) as place:
        place.plan["list_service"]["lag"] = [60, 60]  # the list does not help
        fill(place) if trouble == "full" else place.fault(trouble)
        message, _ = await place.ask(product=product, limit_ms=2500)
        assert message.status == status
        assert (len(place.rows("setup")), len(place.rows("refused"))) == (setups, refusals)
        numbers = sorted(row["number"] for row in asked_of_nodes(place))
        assert numbers == list(range(setups + refusals)) and not place.fronts[0].driver.plays


@looped
@pytest.mark.parametrize("returns", [0, 3])
async def test_a_paid_viewer_that_comes_again_causes_one_more_each_time_and_only_by_asking(tmp_path, returns):
    async with deployment(tmp_path, nodes=6) as place:
        place.fault("reset")
        for again in range(1 + returns):
            await place.ask(product="paid", viewer="one", again=int(again > 0))
        assert len(asked_of_nodes(place)) == 1 + returns


@looped
async def test_a_move_whose_holders_are_all_full_and_say_so_late(tmp_path):
    """The tries of a move are plays of their own; together they last no longer than one time limit."""
    async with deployment(tmp_path, nodes=6) as place:
        front = place.fronts[0]
        _, plan = await place.ask()
        (active_play,) = front.driver.plays.values()
        front.driver.moves.buffer_reported(active_play.info.play, 30.0)
        fill(place)
        place.fault("drain", nodes=[active_play.node])
        await until(lambda: front.driver.counts["declined"] or front.driver.counts["failed"])
        refused = place.rows("refused")
        tries = {row["play"] for row in refused}
        assert len(place.rows("setup")) == 1
        assert len(refused) <= MOST * len(tries) <= MOST * 9
        # Danger: each try counts as a play taken, and so towards the budget of further allocations (rule 6).
        # Only what the module has room for is tried; the last one is, for the answer's sake.
        assert front.driver.counts["asked"] - 1 <= len(tries) + 1
