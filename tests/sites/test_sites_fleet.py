"""The watch in running fronts: sites that are killed, cut off, and come back, seen through the sockets."""

import asyncio

import pytest
from front.deployment import Deployment, until
from loopback import looped

from curlewhall.drills.fleet import add_links
from curlewhall.sites.state import LOST, WHOLE


class Halls(Deployment):
    """Eight nodes in two zones, several fronts that share keys."""

    def __init__(self, folder, fronts=1, links=False):
        super().__init__(folder, nodes=8, fronts=fronts, members=True)
        (folder / "members.key").touch(mode=0o600)
        (folder / "members.key").write_text("ab" * 32 + "\n")
        if links:
            add_links(self.plan)

    def watch(self, index=0):
        return self.fronts[index].driver.sites

    def state(self, zone="north", index=0):
        return self.watch(index).sites.sites[zone].state

    def site(self, kind, value=1, zone="north"):
        self.fleet.fault(f"site:{zone}", kind, value)

    def at(self, zone="north"):
        return {name for name, node in self.fleet.nodes.items() if node.spec["zone"] == zone}


async def halls(folder, fronts=1, links=False):
    place = Halls(folder, fronts, links)
    await place.open()
    for index in range(1, fronts):
        await place.front(index=index)
    return place


@looped
async def test_a_killed_site_is_hidden_and_its_return_let_in(tmp_path):
    place = await halls(tmp_path)
    try:
        module = place.fronts[0].driver.module
        place.site("die")
        await until(lambda: place.state() == LOST)
        assert {n for n, node in module.nodes.items() if node.row.state == "gone"} == place.at()
        answers = [(await place.ask(viewer=f"v{i}"))[0] for i in range(4)]
        assert {a.status for a in answers} <= {200, 503} and answers[0].status == 200
        place.site("start")
        await until(lambda: not place.watch().hidden_nodes)
        # cold: the module paces what has come back, whatever the list says of it
        now = place.fronts[0].driver.clock.now()
        assert all(now - module.nodes[name].cold_since < 20_000 * 10 for name in place.at())
        assert place.watch().state()["sites"]["north"]["hidden"] == 0
    finally:
        await place.close()


@looped
async def test_a_silent_site_and_one_dead_node_are_told_apart(tmp_path):
    place = await halls(tmp_path)
    try:
        place.fleet.fault(sorted(place.at("south"))[0], "die", 1)
        place.site("freeze")
        await until(lambda: place.state() == LOST)
        assert place.state("south") == WHOLE
        place.site("freeze", 0)
        await until(lambda: not place.watch().hidden_nodes)
    finally:
        await place.close()


@looped
async def test_a_front_that_is_cut_off_alone_is_not_believed(tmp_path):
    """Both ways to one site are cut for one front of three: it goes elsewhere, the others go on there."""
    place = await halls(tmp_path, fronts=3, links=True)
    try:
        for way in ("link:front-0>site:north", "link:site:north>front-0"):
            place.fleet.fault(way, "cut", 1)
        await until(lambda: place.state(index=0) == LOST)
        heard = place.watch(1).sites.sites["north"].words
        await until(lambda: 0 in heard and heard[0].dead)  # its word has come
        assert place.state(index=1) == place.state(index=2) == WHOLE
        await until(lambda: len(place.watch(0).sites.sites["north"].words) >= 1)  # and it is told otherwise
        assert not place.watch(0).sites.sites["north"].fleet and not place.watch(0).thinned
        for way in ("link:front-0>site:north", "link:site:north>front-0"):
            place.fleet.fault(way, "cut", 0)
        await until(lambda: not place.watch(0).hidden_nodes)
    finally:
        await place.close()


@looped
async def test_a_loss_that_all_see_is_the_fleets(tmp_path):
    place = await halls(tmp_path, fronts=3)
    try:
        place.site("die")
        for index in range(3):
            await until(lambda index=index: place.watch(index).sites.sites["north"].fleet)
        assert all(place.watch(index).shedding.on for index in range(3))
    finally:
        await place.close()


@looped
async def test_the_plan_beforehand_is_shown(tmp_path):
    place = await halls(tmp_path)
    try:
        await until(lambda: place.watch().plan.costs)
        shown = place.fronts[0].viewers.state()["sites"]
        assert set(shown) == {"north", "south"}
        assert set(shown["north"]["if_lost"]["placed"]) == {"dear", "plain", "paid"}
        assert shown["north"]["state"] == WHOLE and shown["north"]["if_lost"]["titles_without"] >= 0
        # eight nodes on four places: a title on all of them keeps the four nodes of the other zone
        assert (
            shown["north"]["if_lost"]["titles_with_one_holder"]
            == shown["north"]["if_lost"]["titles_without"]
            == 0
        )
    finally:
        await place.close()


@pytest.mark.parametrize(("target", "kind"), [("site:nowhere", "die"), ("link:*>site:nowhere", "cut")])
@looped
async def test_a_site_that_there_is_not_is_refused(tmp_path, target, kind):
    place = await halls(tmp_path, links=True)
    try:
        with pytest.raises(ValueError, match="no node lies there"):
            place.fleet.fault(target, kind, 1)
    finally:
        await place.close()
        await asyncio.sleep(0)


@looped
async def test_plays_at_a_site_that_is_cut_off_go_on_and_are_held_again(tmp_path):
    """Their viewers reach the node all the time. Seats stay taken, and the node is told to end nothing."""
    place = await halls(tmp_path, links=True)
    try:
        for i in range(6):
            await place.ask(viewer=f"v{i}")
        driver, north = place.fronts[0].driver, place.at("north")
        held = {play for play, h in driver.plays.items() if h.node in north and h.playing_number is not None}
        assert held
        for way in ("link:*>site:north", "link:site:north>*"):
            place.fleet.fault(way, "cut", 1)
        place.fleet.fault("link:*>site:north", "reset", 0)  # connections break, and none comes up again
        await until(lambda: place.state() == LOST)
        waits = [n for n in place.fronts[0].nodes.nodes.values() if n.row.node in north]
        await until(lambda: all(n.retry_delays.last > 0.5 for n in waits))  # each was tried in vain
        assert held <= driver.plays.keys()
        for way in ("link:*>site:north", "link:site:north>*"):
            place.fleet.fault(way, "cut", 0)
        await until(lambda: not place.watch().hidden_nodes)
        there = {play for name in north for play in place.fleet.nodes[name].plays}
        assert held <= there & driver.plays.keys()
    finally:
        await place.close()


@looped
async def test_a_walk_over_many_plays_is_done_in_slices(tmp_path):
    place = await halls(tmp_path)
    try:
        watch, driver = place.watch(), place.fronts[0].driver
        await place.ask(product="dear")
        held = next(h for h in driver.plays.values() if h.playing_number is not None)
        driver.plays = {f"p{i}": held for i in range(5000)}
        watch.round, watch.left = iter(()), 0
        told = []
        watch.plan.held = lambda needs, used: told.append(sum(needs.values()))
        for _ in range(4):  # a round begins, and is through after three slices
            watch.walk()
        assert told[0] == 0 and told[1] == 5000 * watch.entry["dear"] and len(told) == 2
    finally:
        driver.plays.clear()
        await place.close()
