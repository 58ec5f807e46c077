"""A running front as a process, at the system's own limit of descriptors."""

import asyncio
import resource
import signal
import subprocess
import sys
from urllib.parse import urlencode

import pytest
from front.deployment import Deployment, until
from loopback import IdleClients, looped

from curlewhall.drills.fleet import settings
from curlewhall.standins.fleet import Fleet
from curlewhall.wire.client import Pool
from curlewhall.wire.http import request_bytes
from curlewhall.wire.timers import Timers

DESCRIPTORS = 96
IDLE = {"nothing": b"", "half a request": b"GET /play/clip-00?product=pl"}


@pytest.mark.parametrize("says", IDLE)
@looped
async def test_idle_clients_fill_the_descriptors_while_the_list_is_down(tmp_path, says):
    """Three times as many as there are descriptors, and they come again as the list comes back: it is
    followed, nodes are reached, and viewers are served all the while.
    """
    place = Deployment(tmp_path)
    place.plan["rules"]["warm_within"] = 0.01  # no node counts as cold for long
    place.plan["rung_kb"] = [kb // 20 for kb in place.plan["rung_kb"]]  # all that ask find room
    place.fleet = fleet = Fleet(place.plan)
    await fleet.start()
    file, log = tmp_path / "front.textproto", tmp_path / "front.log"
    file.write_text(settings(place.plan, 0))
    front = place.plan["fronts"][0]
    where = front["address"], front["port"]
    crowd, loop = IdleClients(where, IDLE[says], 3 * DESCRIPTORS), asyncio.get_running_loop()
    timers, drained = Timers(loop), next(iter(fleet.nodes))
    with open(log, "wb") as out:
        process = subprocess.Popen(
            [sys.executable, "-m", "curlewhall", "serve", str(file)],
            stdout=out,
            stderr=out,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS)),
        )

    async def served(count):
        """Viewers come and ask, after the crowd each; the nodes that their plays went to."""
        before = len(place.rows("setup"))
        for _ in range(count):
            await crowd.fill()
            pool = Pool(loop, timers, *where)
            facts = urlencode({"product": "plain", "viewer": "v", "limit_ms": 3000})
            reply = await pool.fetch(request_bytes("GET", f"/play/clip-00?{facts}", pool.host), 20)
            pool.close()
            assert reply.ending == "ok" and reply.message.status == 200, reply
        return {row["at"] for row in place.rows("setup")[before:]}

    try:
        await until(lambda: b'"ready"' in log.read_bytes())
        await served(2)
        fleet.fault("list", "down", 1)
        await until(lambda: not fleet.list.streams)
        await served(3)
        fleet.fault(drained, "drain", 1)
        fleet.fault("list", "down", 0)
        while b'"version": 2' not in log.read_bytes():
            await crowd.fill()
            await asyncio.sleep(0.01)
        assert await served(4) == {f"node:{name}" for name in fleet.nodes} - {f"node:{drained}"}
    finally:
        crowd.close()
        process.send_signal(signal.SIGTERM)
        code = await asyncio.to_thread(process.wait, 20)
        await place.close()
    assert code == 0 and b"Traceback" not in log.read_bytes()
