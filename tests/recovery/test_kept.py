"""A running front with a state folder: writes that delay allocations, and recovery after a kill."""

import asyncio
import errno

import msgspec
import pytest
from front.deployment import deployment, until
from loopback import looped

from curlewhall.drills.baselines import TwoDrawn
from curlewhall.recovery.state import PlayStarted
from curlewhall.recovery.store import Disk, StoreLockedError


def raise_disk_full(*arguments):
    raise OSError(errno.ENOSPC, "No space left on device")


@looped
@pytest.mark.parametrize(
    ("durability", "product", "status", "setups"),
    [("strict", "paid", 503, 0), ("strict", "plain", 200, 1), ("lagging", "paid", 200, 1)],
)
async def test_full_disk_blocks_only_paid_plays_of_a_strict_front(
    tmp_path, monkeypatch, durability, product, status, setups
):
    async with deployment(tmp_path, TwoDrawn, durability=durability) as place:
        monkeypatch.setattr(
            Disk, "append", lambda *arguments: (_ for _ in ()).throw(OSError(errno.ENOSPC, "full"))
        )
        monkeypatch.setattr(Disk, "write", Disk.append)
        message, _ = await place.ask(product=product)
        assert message.status == status and len(place.rows("setup")) == setups


@looped
async def test_after_a_kill_a_paid_viewer_is_refused_until_its_silent_node_reports(tmp_path):
    async with deployment(tmp_path, TwoDrawn, durability="strict") as place:
        message, _ = await place.ask(product="paid", viewer="one")
        node = place.rows("setup")[0]["at"][5:]
        place.fault("freeze", nodes=[node])
        await place.kill(place.fronts[0])
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.5):  # the frozen node's event stream never sends its first event
                await place.front(TwoDrawn)
        message, problem = await place.ask(product="paid", viewer="one", again=1)
        assert message.status == 502 and "has not reported yet" in problem["detail"]
        assert (await place.ask(product="plain", viewer="other"))[0].status == 200
        place.fault("freeze", 0, nodes=[node])


@looped
async def test_plays_that_ended_while_the_front_was_down_end_in_its_state_too(tmp_path):
    async with deployment(tmp_path, TwoDrawn, nodes=2, durability="strict") as place:
        for i in range(6):
            await place.ask(viewer=f"v{i}", product="paid", title=f"clip-0{i}")
        await until(lambda: len(place.fronts[0].driver.play_store.state.playing) == 6)
        await place.kill(place.fronts[0])
        emptied = place.fleet.nodes["n000"]
        for play in list(emptied.plays.values()):
            emptied.close(play, "ok")
        front = await place.front(TwoDrawn)
        remaining = [row for row in place.rows("setup") if row["at"] == "node:n001"]
        await until(lambda: front.driver.counts["resumed"] == len(remaining))
        await until(
            lambda: set(front.driver.play_store.state.allocations) == {row["play"] for row in remaining}
        )


@looped
async def test_node_reconnecting_during_a_set_up_does_not_end_it_in_the_state(tmp_path, monkeypatch):
    async with deployment(tmp_path, TwoDrawn, nodes=1, durability="strict", setup_ms=[2000, 2000]) as place:
        front, greeted = place.fronts[0], []
        hello = front.nodes.handle_hello
        monkeypatch.setattr(
            front.nodes, "handle_hello", lambda *arguments: (hello(*arguments), greeted.append(arguments))
        )
        request = asyncio.ensure_future(place.ask(product="paid", viewer="one"))
        await until(lambda: place.rows("setup"))
        front.nodes.nodes["n000"].stream.withdraw()
        await until(lambda: greeted)
        assert set(front.driver.play_store.state.allocations) == set(front.driver.plays) != set()
        await request


@looped
@pytest.mark.parametrize("age_ms", [60_000, 0])
async def test_after_a_kill_nodes_with_old_plays_are_not_paced_as_cold(tmp_path, age_ms):
    async with deployment(tmp_path, TwoDrawn, nodes=4, durability="lagging") as place:
        for i in range(24):
            assert (await place.ask(viewer=f"v{i}", top=0))[0].status == 200
        play_store = place.fronts[0].driver.play_store
        await until(lambda: len(play_store.state.playing) == 24)
        assert {allocation.node for allocation in play_store.state.allocations.values()} == set(
            place.fleet.nodes
        )
        # Record the plays again, as if they had been set up `age_ms` earlier.
        for allocation in list(play_store.state.allocations.values()):
            play_store.store.add(msgspec.structs.replace(allocation, at=allocation.at - age_ms))
            play_store.store.add(PlayStarted(allocation.play, allocation.number))
        await until(lambda: not play_store.store.writing)
        await place.kill(place.fronts[0])
        front = await place.front()
        await until(lambda: front.driver.counts["resumed"] == 24)
        nodes, now = front.driver.module.nodes.values(), front.driver.clock.now()
        is_warm = {
            now - node.cold_since >= front.driver.start_settings["rules.warm_within"] for node in nodes
        }
        assert is_warm == {bool(age_ms)}
        answers = await asyncio.gather(*[place.ask(viewer=f"w{i}", top=0) for i in range(60)])
        assert not age_ms or all(message.status == 200 for message, _ in answers)


@looped
async def test_second_front_on_the_same_folder_does_not_start(tmp_path):
    async with deployment(tmp_path, TwoDrawn, durability="lagging") as place:
        with pytest.raises(StoreLockedError):
            await place.front(TwoDrawn)
