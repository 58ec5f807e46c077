"""A small deployment for tests: stand-ins and fronts in one event loop, connected by sockets."""

import asyncio
import contextlib
import json
from urllib.parse import urlencode

from curlewhall import logs
from curlewhall.dash import manifest
from curlewhall.drills.fleet import make_plan, settings
from curlewhall.front.serve import FrontProcess
from curlewhall.records import read
from curlewhall.settings import parse
from curlewhall.standins.fleet import Fleet
from curlewhall.wire.client import Pool
from curlewhall.wire.http import request_bytes


async def until(condition):
    """Poll until `condition()` is true; the time limit of the test ends a wait without success."""
    while not condition():
        await asyncio.sleep(0.002)


class Deployment:
    """Nodes, a list service and one front; each node holds every title unless `changes` says otherwise."""

    def __init__(self, folder, nodes=3, fronts=1, **changes):
        self.folder, self.fronts = folder, []
        plan = self.plan = make_plan(1, nodes, fronts, 10, folder)
        plan["list_service"]["lag"], plan["setup_ms"] = [0.0, 0.01], [2, 4]
        for title in plan["titles"]:
            title["places"] = 7
        plan.update(changes)
        (folder / "key").touch(mode=0o600)
        (folder / "key").write_bytes(b"k" * 32)

    async def open(self, policy=None, **edits):
        self.fleet = Fleet(self.plan)
        await self.fleet.start()
        await self.front(policy, **edits)
        return self

    async def front(self, policy=None, index=0, old="", new=""):
        file = parse(settings(self.plan, index).replace(old, new))
        log = logs.make_logger("json", "info", open(self.folder / "front.log", "a"))  # noqa: SIM115
        front = FrontProcess(file, log, policy)
        await front.start()
        await until(
            lambda: front.follower.version and all(n.hello_received for n in front.nodes.nodes.values())
        )
        self.fronts.append(front)
        where = self.plan["fronts"][index]
        self.pool = Pool(front.loop, front.timers, where["address"], where["port"])
        return front

    def request(self, title="clip-00", **changes):
        params = {"product": "plain", "viewer": "v", "limit_ms": 3000} | changes
        return request_bytes("GET", f"/play/{title}?{urlencode(params)}", self.pool.host)

    async def ask(self, **args):
        """Request a play; return the response and its manifest, or its problem document."""
        reply = await self.pool.fetch(self.request(**args), 20)
        assert reply.outcome == "ok", reply
        body = reply.message.body
        return reply.message, manifest.read(body) if reply.message.status == 200 else json.loads(body)

    async def segment(self, plan, number=1, token=None, rung=None):
        address, port = plan.base.split("/")[2].split(":")
        pool = Pool(self.fleet.loop, self.fleet.timers, address, int(port))
        path = "/" + plan.base.split("/", 3)[3]
        rung = plan.rungs[-1][0] if rung is None else rung
        target = f"{path}seg/r{rung}/{number}?t={token or plan.token}"
        return (await pool.fetch(request_bytes("GET", target, pool.host), 10)).message

    def rows(self, what):
        self.fleet.records.flush()
        return [row for row in read(self.plan["records"]["fleet"]) if row["what"] == what]

    def fault(self, kind, value=1, nodes=None):
        for node in nodes or self.fleet.nodes:
            self.fleet.fault(node, kind, value)

    async def kill(self, front):
        """Close every socket of a front without a message, as kill -9 would; its port is free afterwards."""
        front.driver.dispatch = lambda *args, **kwargs: None
        front.close()
        self.fronts.remove(front)
        await until(lambda: front.server.sock.fileno() < 0)
        await asyncio.sleep(0)  # the datagram socket is closed in the next turn of the event loop

    async def close(self):
        for front in list(self.fronts):
            await self.kill(front)
        for node in self.fleet.nodes.values():
            if node.server is not None:
                node.server.close()
        self.fleet.list.server and self.fleet.list.server.close()
        await asyncio.sleep(0)
        self.fleet.records.close()


@contextlib.asynccontextmanager
async def deployment(folder, policy=None, old="", new="", **more):
    env = Deployment(folder, **more)
    try:
        yield await env.open(policy, old=old, new=new)
    finally:
        await env.close()
