"""Fronts as processes of their own beside misbehaving clients: their memory, and what usual viewers get."""

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import NamedTuple
from urllib.parse import urlencode

from front.deployment import Deployment, until
from relay.deployment import free_port, settings

from curlewhall.drills.fleet import settings as front_settings
from curlewhall.front.driver import TICKS_PER_SECOND
from curlewhall.standins.fleet import Fleet
from curlewhall.standins.platform import Platform
from curlewhall.wire.client import Pool
from curlewhall.wire.http import request_bytes
from curlewhall.wire.timers import Timers

CLIENTS = Path(__file__).with_name("clients.py")
USUAL_INTERVAL_S = 0.05
GONE_CLIENT_LIMIT_S = 0.1  # a client that has gone gets no allocation later than this
MIB = 1 << 20


class Figures(NamedTuple):
    """What a front did beside misbehaving clients."""

    before_mib: float  # peak memory (VmHWM) before they came
    peak_mib: float
    slowest_s: float  # answer to a usual viewer; infinite if one never came
    answers: int  # to usual viewers
    clients: dict  # what the misbehaving clients say they did

    @property
    def growth_mib(self):
        return self.peak_mib - self.before_mib


def peak_mib(pid):
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise AssertionError("the process is gone")


class FrontRig:
    """`curlewhall serve` with stand-ins in the test's loop."""

    def __init__(self, folder, nodes=3):
        self.env = Deployment(folder, nodes=nodes)
        self.env.plan["rules"]["warm_within"] = 0.01
        self.env.plan["rung_kb"] = [kb // 20 for kb in self.env.plan["rung_kb"]]
        self.folder = folder
        self.process = None

    async def start(self):
        self.env.fleet = self.fleet = Fleet(self.env.plan)
        await self.fleet.start()
        file, self.log = self.folder / "front.textproto", self.folder / "front.log"
        file.write_text(front_settings(self.env.plan, 0))
        front = self.env.plan["fronts"][0]
        self.address = front["address"], front["port"]
        with open(self.log, "wb") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "curlewhall", "serve", str(file)], stdout=out, stderr=out
            )
        await until(lambda: b'"ready"' in self.log.read_bytes())
        await self.ask()
        return self

    async def ask(self):
        """A usual viewer's request on a new connection; how long its answer took."""
        loop, began = asyncio.get_running_loop(), time.monotonic()
        pool = Pool(loop, Timers(loop), *self.address)
        facts = urlencode({"product": "plain", "viewer": "usual", "limit_ms": 3000})
        reply = await pool.fetch(request_bytes("GET", f"/play/clip-00?{facts}", pool.host), 10)
        pool.close()
        return time.monotonic() - began if reply.outcome == "ok" else float("inf")

    def setups(self):
        """Set-ups that reached nodes, as their viewers with the time by the machine's steady clock."""
        return [(row["viewer"], row["t"] / TICKS_PER_SECOND) for row in self.env.rows("setup")]

    async def close(self):
        if self.process is not None:
            self.process.send_signal(signal.SIGKILL)
            await asyncio.to_thread(self.process.wait, 20)
        await self.env.close()


class RelayRig:
    """`python -m curlewhall.relay` with stand-ins in the test's loop."""

    def __init__(self, folder, behaviour="serve", sockets=1024, **changes):
        self.folder, self.behaviour, self.sockets, self.changes = folder, behaviour, sockets, changes
        self.platform, self.process, self.setups_at = Platform(), None, []
        self.platform.record = self.record

    async def start(self):
        for i in range(4):
            await self.platform.add(f"n{i}", self.behaviour)
        await self.platform.channel.start()
        port, file = free_port(), self.folder / "config.json"
        self.address = "127.0.0.1", port
        members = [self.platform.member(name) for name in self.platform.nodes]
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "channel": f"127.0.0.1:{self.platform.channel.port}",
            "known": {"cursor": 1, "cmds": [{"cursor": 1, "nodes": {"complete": True, "members": members}}]},
            "settings": settings(
                invariants__warm_within_ms=10.0, specifics__kind_streams=[4000], **self.changes
            ),
        }
        file.write_text(json.dumps(config))
        names = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        self.log = self.folder / "relay.log"
        with open(self.log, "wb") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "curlewhall.relay"],
                env=names | {"RELAY_CONFIG": str(file), "RELAY_LISTEN": f"127.0.0.1:{port}"},
                stdout=out,
                stderr=out,
            )
        await until(lambda: b"serving" in self.log.read_bytes())
        self.usual = await self.platform.viewer(port)
        await self.ask()
        return self

    async def ask(self):
        """A usual viewer's set-up; how long its answer took. The session is released."""
        began = time.monotonic()
        session = self.usual.request_play()
        try:
            async with asyncio.timeout(10):
                await self.usual.wait_for_message(session)
        except (TimeoutError, IndexError):
            if self.usual.closed:
                self.usual = await self.platform.viewer(self.address[1])
            return float("inf")
        took = time.monotonic() - began
        self.usual.release(session)
        return took

    def record(self, side, what, session, value=""):
        """Keep the time of each set-up that reaches a node, beside the platform's own record."""
        self.platform.traffic.append((side, what, session, value))
        if what == "set-up" and side != "viewer":
            self.setups_at.append((session, time.monotonic()))

    def setups(self):
        """Set-ups that reached nodes, as their sessions with the time by the machine's steady clock."""
        return self.setups_at

    async def close(self):
        if self.process is not None:
            self.process.send_signal(signal.SIGKILL)
            await asyncio.to_thread(self.process.wait, 20)
        self.platform.close()


@contextlib.asynccontextmanager
async def running(rig):
    try:
        yield await rig.start()
    finally:
        await rig.close()


async def start_clients(rig, kind, seconds, count):
    return await asyncio.create_subprocess_exec(
        sys.executable,
        str(CLIENTS),
        kind,
        *map(str, (*rig.address, seconds, count)),
        stdout=subprocess.PIPE,
    )


async def beside(rig, kind, seconds=3.0, count=300):
    """Play misbehaving clients against a front while usual viewers ask."""
    before, slowest, answers = peak_mib(rig.process.pid), 0.0, 0
    clients = await start_clients(rig, kind, seconds, count)
    done = asyncio.ensure_future(clients.communicate())
    while not done.done():
        slowest, answers = max(slowest, await rig.ask()), answers + 1
        await asyncio.sleep(USUAL_INTERVAL_S)
    out, _ = await done
    assert rig.process.poll() is None, "the front has ended"
    return Figures(before, peak_mib(rig.process.pid), slowest, answers, json.loads(out))


def late_setups(rig, closed_at):
    """Set-ups that reached a node when their client had been gone for too long, and how late they came."""
    found = {name: at - closed_at[name] for name, at in rig.setups() if name in closed_at}
    return {name: late for name, late in found.items() if late > GONE_CLIENT_LIMIT_S}
