"""Site monitoring in running fronts over sockets: sites that are killed, cut off and come back."""

import asyncio

import pytest
from front.deployment import Deployment, until
from loopback import looped

from curlewhall.drills.fleet import add_links
from curlewhall.sites.state import LOST, WHOLE


class TwoZoneDeployment(Deployment):
    """Eight nodes in two zones, and several fronts that share a membership key."""

    def __init__(self, folder, fronts=1, links=False):
        super().__init__(folder, nodes=8, fronts=fronts, members=True)
        (folder / "members.key").touch(mode=0o600)
        (folder / "members.key").write_text("ab" * 32 + "\n")
        if links:
            add_links(self.plan)

    def monitor(self, index=0):
        return self.fronts[index].driver.sites

    def state(self, zone="north", index=0):
        return self.monitor(index).detector.sites[zone].state

    def zone_fault(self, kind, value=1, zone="north"):
        self.fleet.fault(f"site:{zone}", kind, value)

    def nodes_in(self, zone="north"):
        return {name for name, node in self.fleet.nodes.items() if node.spec["zone"] == zone}


async def open_deployment(folder, fronts=1, links=False):
    place = TwoZoneDeployment(folder, fronts, links)
    await place.open()
    for index in range(1, fronts):
        await place.front(index=index)
    return place


@looped
async def test_killed_site_is_hidden_and_shown_again_when_it_returns(tmp_path):
    place = await open_deployment(tmp_path)
    try:
        module = place.fronts[0].driver.module
        place.zone_fault("die")
        await until(lambda: place.state() == LOST)
        assert {n for n, node in module.nodes.items() if node.row.state == "gone"} == place.nodes_in()
        answers = [(await place.ask(viewer=f"v{i}"))[0] for i in range(4)]
        assert {a.status for a in answers} <= {200, 503} and answers[0].status == 200
        place.zone_fault("start")
        await until(lambda: not place.monitor().hidden_nodes)
        # The module treats the returned nodes as cold, whatever start time the list gives.
        now = place.fronts[0].driver.clock.now()
        assert all(now - module.nodes[name].cold_since < 20_000 * 10 for name in place.nodes_in())
        assert place.monitor().state()["sites"]["north"]["hidden"] == 0
    finally:
        await place.close()


@looped
async def test_silent_site_is_lost_and_a_site_with_one_dead_node_is_not(tmp_path):
    place = await open_deployment(tmp_path)
    try:
        place.fleet.fault(sorted(place.nodes_in("south"))[0], "die", 1)
        place.zone_fault("freeze")
        await until(lambda: place.state() == LOST)
        assert place.state("south") == WHOLE
        place.zone_fault("freeze", 0)
        await until(lambda: not place.monitor().hidden_nodes)
    finally:
        await place.close()


@looped
async def test_site_cut_off_from_one_front_is_lost_for_that_front_only(tmp_path):
    """Both directions between one front of three and a site are cut; the other fronts keep using the site."""
    place = await open_deployment(tmp_path, fronts=3, links=True)
    try:
        for link in ("link:front-0>site:north", "link:site:north>front-0"):
            place.fleet.fault(link, "cut", 1)
        await until(lambda: place.state(index=0) == LOST)
        reports = place.monitor(1).detector.sites["north"].peer_reports
        await until(lambda: 0 in reports and reports[0].dead)  # its report has arrived
        assert place.state(index=1) == place.state(index=2) == WHOLE
        await until(
            lambda: len(place.monitor(0).detector.sites["north"].peer_reports) >= 1
        )  # and others contradict it
        assert not place.monitor(0).detector.sites["north"].fleet_wide and not place.monitor(0).node_limits
        for link in ("link:front-0>site:north", "link:site:north>front-0"):
            place.fleet.fault(link, "cut", 0)
        await until(lambda: not place.monitor(0).hidden_nodes)
    finally:
        await place.close()


@looped
async def test_loss_seen_by_all_fronts_is_fleet_wide(tmp_path):
    place = await open_deployment(tmp_path, fronts=3)
    try:
        place.zone_fault("die")
        for index in range(3):
            await until(lambda index=index: place.monitor(index).detector.sites["north"].fleet_wide)
        assert all(place.monitor(index).shedder.active for index in range(3))
    finally:
        await place.close()


@looped
async def test_cost_of_a_loss_is_shown_while_all_sites_are_whole(tmp_path):
    place = await open_deployment(tmp_path)
    try:
        await until(lambda: place.monitor().plan.costs)
        shown = place.fronts[0].viewers.state()["sites"]
        assert set(shown) == {"north", "south"}
        assert set(shown["north"]["if_lost"]["placed"]) == {"dear", "plain", "paid"}
        assert shown["north"]["state"] == WHOLE and shown["north"]["if_lost"]["titles_without"] >= 0
        # Eight nodes on four places: titles on all places keep the four nodes of the other zone.
        assert (
            shown["north"]["if_lost"]["titles_with_one_holder"]
            == shown["north"]["if_lost"]["titles_without"]
            == 0
        )
    finally:
        await place.close()


@pytest.mark.parametrize(("target", "kind"), [("site:nowhere", "die"), ("link:*>site:nowhere", "cut")])
@looped
async def test_fault_at_an_unknown_site_raises(tmp_path, target, kind):
    place = await open_deployment(tmp_path, links=True)
    try:
        with pytest.raises(ValueError, match="no node of the plan is in this zone"):
            place.fleet.fault(target, kind, 1)
    finally:
        await place.close()
        await asyncio.sleep(0)


@looped
async def test_plays_at_a_site_cut_off_from_the_front_continue_and_are_still_held_afterwards(tmp_path):
    """Their viewers still reach the nodes, so the front must keep the seats and end no play at the nodes."""
    place = await open_deployment(tmp_path, links=True)
    try:
        for i in range(6):
            await place.ask(viewer=f"v{i}")
        driver, north = place.fronts[0].driver, place.nodes_in("north")
        held = {play for play, h in driver.plays.items() if h.node in north and h.playing_number is not None}
        assert held
        for link in ("link:*>site:north", "link:site:north>*"):
            place.fleet.fault(link, "cut", 1)
        place.fleet.fault("link:*>site:north", "reset", 0)  # open connections break, new ones fail
        await until(lambda: place.state() == LOST)
        waits = [n for n in place.fronts[0].nodes.nodes.values() if n.row.node in north]
        await until(lambda: all(n.retry_delays.last_delay > 0.5 for n in waits))  # each was tried in vain
        assert held <= driver.plays.keys()
        for link in ("link:*>site:north", "link:site:north>*"):
            place.fleet.fault(link, "cut", 0)
        await until(lambda: not place.monitor().hidden_nodes)
        there = {play for name in north for play in place.fleet.nodes[name].plays}
        assert held <= there & driver.plays.keys()
    finally:
        await place.close()


@looped
async def test_pass_over_many_plays_takes_several_ticks(tmp_path):
    place = await open_deployment(tmp_path)
    try:
        monitor, driver = place.monitor(), place.fronts[0].driver
        await place.ask(product="dear")
        held = next(h for h in driver.plays.values() if h.playing_number is not None)
        driver.plays = {f"p{i}": held for i in range(5000)}
        monitor.plays_to_visit, monitor.visits_left = iter(()), 0
        recorded = []
        monitor.plan.record_plays = lambda entry_demand, used: recorded.append(sum(entry_demand.values()))
        for _ in range(4):  # the first call starts a pass, which takes three calls
            monitor.visit_plays()
        assert recorded[0] == 0 and recorded[1] == 5000 * monitor.entry_rates["dear"] and len(recorded) == 2
    finally:
        driver.plays.clear()
        await place.close()
