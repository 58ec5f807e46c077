"""A front process at its limit of file descriptors."""

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
async def test_front_serves_and_follows_the_list_while_idle_clients_use_up_its_descriptors(tmp_path, says):
    """Three times as many idle clients as descriptors connect, and reconnect when the list service is back.

    The front must still follow the list, reach its nodes and serve viewers.
    """
    env = Deployment(tmp_path)
    env.plan["rules"]["warm_within"] = 0.01  # nodes are cold only briefly
    env.plan["rung_kb"] = [kb // 20 for kb in env.plan["rung_kb"]]  # there is room for every play
    env.fleet = fleet = Fleet(env.plan)
    await fleet.start()
    file, log = tmp_path / "front.textproto", tmp_path / "front.log"
    file.write_text(settings(env.plan, 0))
    front = env.plan["fronts"][0]
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
        """Request `count` plays, each after refilling the idle clients; return the nodes of the plays."""
        before = len(env.rows("setup"))
        for _ in range(count):
            await crowd.fill()
            pool = Pool(loop, timers, *where)
            facts = urlencode({"product": "plain", "viewer": "v", "limit_ms": 3000})
            reply = await pool.fetch(request_bytes("GET", f"/play/clip-00?{facts}", pool.host), 20)
            pool.close()
            assert reply.outcome == "ok" and reply.message.status == 200, reply
        return {row["at"] for row in env.rows("setup")[before:]}

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
        await env.close()
    assert code == 0 and b"Traceback" not in log.read_bytes()
