"""Events that reach the front while a set-up waits for the disk or a connection, or between two lists."""

import asyncio
import socket
import time

import msgspec
import pytest
from front.deployment import deployment, until
from front.test_driver import ALLOCATE, Rig
from loopback import looped

from curlewhall.drills.baselines import TwoDrawn
from curlewhall.front.nodes import module_row
from curlewhall.interface import NodeRow
from curlewhall.wire.client import Pool
from curlewhall.wire.forms import Listing, Row

ROW = NodeRow("n", 0, "z", "box", "serving", 1, 0)


class SlowPlayStore:
    """A play store whose writes finish only when the test says so."""

    def __init__(self):
        self.waiting = []

    def record_allocation(self, active_play, number, node, paid, callback):
        self.waiting.append(callback)
        return False

    def __getattr__(self, name):
        return lambda *args: True


class FakeExchange:
    """A viewer's exchange whose connection the test can end."""

    def __init__(self):
        self.ended = False

    def client_disconnected(self):
        return self.ended


MEANWHILE = {
    "nothing": lambda rig: None,
    "a list that tells the same": lambda rig: rig.driver.update_nodes("changes", [ROW]),
    "hung up, and not read yet": lambda rig: setattr(rig.active_play.exchange, "ended", True),
    "hung up": lambda rig: rig.driver.viewer_left(rig.active_play),
    "the node drains": lambda rig: rig.driver.update_nodes("changes", [ROW._replace(state="draining")]),
    "the node is gone": lambda rig: rig.driver.update_nodes("changes", [ROW._replace(state="gone")]),
    "the node is missing": lambda rig: rig.driver.update_nodes("whole", []),
    "the node has started anew": lambda rig: rig.driver.update_nodes("changes", [ROW._replace(started=5)]),
}


@pytest.mark.parametrize("meanwhile", MEANWHILE)
@looped
async def test_set_up_is_sent_after_the_disk_only_if_viewer_and_node_are_unchanged(meanwhile):
    rig = Rig(limit=3000)
    rig.driver.play_store, rig.active_play.exchange = SlowPlayStore(), FakeExchange()
    rig.driver.update_nodes("whole", [ROW])
    rig.ask(ALLOCATE)
    MEANWHILE[meanwhile](rig)
    for callback in rig.driver.play_store.waiting:
        callback(True)
    is_sent = meanwhile in ("nothing", "a list that tells the same")
    assert rig.nodes.names().count("set_up") == is_sent
    if not is_sent:
        ended_calls = [call for call in rig.module.calls if call[0] == "ended"]
        assert [call[2:6] for call in ended_calls] == [("p", 0, "n", "not_sent")]
    assert ("left" in rig.module.names()) == meanwhile.startswith("hung up")


@pytest.mark.parametrize("meanwhile", ["hung up", "half-closed", "the node has started anew"])
@looped
async def test_no_set_up_is_sent_if_the_viewer_left_or_the_node_restarted_while_connecting(
    tmp_path, monkeypatch, meanwhile
):
    """The client's end of its connection is not read yet when the connection to the node is established."""
    async with deployment(tmp_path, TwoDrawn, nodes=1) as env:
        front, take, gate, waiting = env.fronts[0], Pool.acquire, asyncio.Event(), []
        (node,) = front.nodes.nodes.values()

        async def delayed_take(self):
            waiting.append(self)
            await gate.wait()
            return await take(self)

        monkeypatch.setattr(node.pool, "acquire", delayed_take.__get__(node.pool))
        where = env.plan["fronts"][0]
        client = socket.create_connection((where["address"], where["port"]))
        client.sendall(env.request(product="paid"))
        await until(lambda: waiting)
        if meanwhile == "the node has started anew":
            follower, now = front.follower, int(time.time() * 1000)
            change = msgspec.structs.replace(follower.rows[node.row.node], started_ms=now)
            follower.handle_listing(Listing("changes", follower.version + 1, follower.version, [change]))
        elif meanwhile == "hung up":
            client.close()
        else:
            client.shutdown(socket.SHUT_WR)
        gate.set()
        await until(lambda: not any(active_play.pending for active_play in front.driver.plays.values()))
        assert not env.rows("setup")
        client.close()


def test_node_start_repeated_in_a_later_list_converts_to_the_same_tick(monkeypatch):
    """Both clocks advance between two lists at different rates, and the wall clock is set to another time."""
    rig = Rig.__new__(Rig)
    asyncio.run(initialize(rig))
    # The driver's clock never goes back, so the fake time has to start ahead of this machine's own clock.
    driver, unix, now = rig.driver, [1_700_000_000_000_000_000], [time.monotonic() // 1 + 2]
    monkeypatch.setattr(time, "time_ns", lambda: unix[0])
    driver.clock.source = lambda: now[0]
    row = Row("n", "127.0.0.1", 1, 0, "z", "box", started_ms=unix[0] // 1_000_000 - 4000)
    first = module_row(row, driver).started
    assert first == int(now[0]) * 10_000 - 40_000
    for step in (0.0003, 0.0007, 3600.0):
        now[0] += 0.0005
        unix[0] += int(step * 1e9)
        assert module_row(row, driver).started == first
    later = module_row(msgspec.structs.replace(row, started_ms=row.started_ms + 3_603_000), driver).started
    assert first < later <= driver.clock.now()


async def initialize(rig):
    rig.__init__()
