"""A front with a state folder over loopback: what waits for the disk, what is believed after a kill."""

import asyncio
import errno

import msgspec
import pytest
from front.deployment import deployment, until
from loopback import looped

from curlewhall.drills.baselines import TwoDrawn
from curlewhall.recovery.state import Playing
from curlewhall.recovery.store import Disk, StoreLockedError


def full(*facts):
    raise OSError(errno.ENOSPC, "No space left on device")


@looped
@pytest.mark.parametrize(
    ("durability", "product", "status", "setups"),
    [("strict", "paid", 503, 0), ("strict", "plain", 200, 1), ("lagging", "paid", 200, 1)],
)
async def test_with_a_full_disk_only_a_strict_fronts_paid_plays_are_not_sent(
    tmp_path, monkeypatch, durability, product, status, setups
):
    async with deployment(tmp_path, TwoDrawn, durability=durability) as place:
        monkeypatch.setattr(
            Disk, "append", lambda *facts: (_ for _ in ()).throw(OSError(errno.ENOSPC, "full"))
        )
        monkeypatch.setattr(Disk, "write", Disk.append)
        message, _ = await place.ask(product=product)
        assert message.status == status and len(place.rows("setup")) == setups


@looped
async def test_after_a_kill_a_paid_viewer_waits_for_its_silent_nodes_word(tmp_path):
    async with deployment(tmp_path, TwoDrawn, durability="strict") as place:
        message, _ = await place.ask(product="paid", viewer="one")
        node = place.rows("setup")[0]["at"][5:]
        place.fault("freeze", nodes=[node])
        await place.kill(place.fronts[0])
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.5):  # the silent node's stream never greets
                await place.front(TwoDrawn)
        message, problem = await place.ask(product="paid", viewer="one", again=1)
        assert message.status == 502 and "has not said yet" in problem["detail"]
        assert (await place.ask(product="plain", viewer="other"))[0].status == 200
        place.fault("freeze", 0, nodes=[node])


@looped
async def test_plays_that_ended_while_the_front_was_away_are_over_on_its_disk_too(tmp_path):
    async with deployment(tmp_path, TwoDrawn, nodes=2, durability="strict") as place:
        for i in range(6):
            await place.ask(viewer=f"v{i}", product="paid", title=f"clip-0{i}")
        await until(lambda: len(place.fronts[0].driver.play_store.state.playing) == 6)
        await place.kill(place.fronts[0])
        gone = place.fleet.nodes["n000"]
        for play in list(gone.plays.values()):
            gone.close(play, "ok")
        front = await place.front(TwoDrawn)
        here = [row for row in place.rows("setup") if row["at"] == "node:n001"]
        await until(lambda: front.driver.counts["resumed"] == len(here))
        await until(lambda: set(front.driver.play_store.state.out) == {row["play"] for row in here})


@looped
async def test_a_nodes_hello_does_not_end_a_set_up_that_is_out_to_it_on_disk(tmp_path, monkeypatch):
    async with deployment(tmp_path, TwoDrawn, nodes=1, durability="strict", setup_ms=[2000, 2000]) as place:
        front, greeted = place.fronts[0], []
        hello = front.nodes.hello
        monkeypatch.setattr(front.nodes, "hello", lambda *facts: (hello(*facts), greeted.append(facts)))
        asking = asyncio.ensure_future(place.ask(product="paid", viewer="one"))
        await until(lambda: place.rows("setup"))
        front.nodes.nodes["n000"].stream.withdraw()
        await until(lambda: greeted)
        assert set(front.driver.play_store.state.out) == set(front.driver.plays) != set()
        await asking


@looped
@pytest.mark.parametrize("age", [60_000, 0])
async def test_after_a_kill_nodes_are_not_paced_as_cold_that_show_plays_of_long_ago(tmp_path, age):
    async with deployment(tmp_path, TwoDrawn, nodes=4, durability="lagging") as place:
        for i in range(24):
            assert (await place.ask(viewer=f"v{i}", top=0))[0].status == 200
        play_store = place.fronts[0].driver.play_store
        await until(lambda: len(play_store.state.playing) == 24)
        assert {out.node for out in play_store.state.out.values()} == set(place.fleet.nodes)
        for out in list(play_store.state.out.values()):  # as if they had been set up long ago
            play_store.store.add(msgspec.structs.replace(out, at=out.at - age))
            play_store.store.add(Playing(out.play, out.number))
        await until(lambda: not play_store.store.writing)
        await place.kill(place.fronts[0])
        front = await place.front()
        await until(lambda: front.driver.counts["resumed"] == 24)
        nodes, now = front.driver.module.nodes.values(), front.driver.clock.now()
        ran = {now - node.cold_since >= front.driver.start_settings["rules.warm_within"] for node in nodes}
        assert ran == {bool(age)}
        answers = await asyncio.gather(*[place.ask(viewer=f"w{i}", top=0) for i in range(60)])
        assert not age or all(message.status == 200 for message, _ in answers)


@looped
async def test_two_fronts_do_not_share_a_folder(tmp_path):
    async with deployment(tmp_path, TwoDrawn, durability="lagging") as place:
        with pytest.raises(StoreLockedError):
            await place.front(TwoDrawn)
