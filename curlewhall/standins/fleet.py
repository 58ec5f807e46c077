"""All nodes and the list service in one process, on the addresses of a plan; faults over a control socket.

    python -m curlewhall.standins.fleet PLAN.json

The plan is written by `curlewhall.drills.fleet`. POST /fault with {"target": NODE, "list", "peers", "rack:N"
or "link:ONE>OTHER", "kind": ..., "value": ...} on the control address asks for a fault.
"""

import asyncio
import json
import resource
import signal
import sys
from pathlib import Path

import msgspec
import uvloop

from curlewhall.dash.tokens import read_key
from curlewhall.records import LagRecorder, Writer
from curlewhall.wire import forms
from curlewhall.wire.server import Exchange, Server, listen
from curlewhall.wire.timers import Timers

from .links import Links
from .listservice import ListService
from .model import Rack
from .node import Node
from .relay import Relay


class Fleet:
    """The stand-ins of one plan."""

    def __init__(self, plan: dict) -> None:
        self.plan, self.loop = plan, asyncio.get_running_loop()
        self.timers, self.records = Timers(self.loop), Writer(plan["records"]["fleet"])
        key = read_key(plan["key_file"])
        self.racks = [Rack(uplink) for uplink in plan["uplinks"]]
        self.nodes = {
            spec["node"]: Node(
                self.loop,
                self.timers,
                plan,
                spec,
                self.racks[spec["place"] % len(self.racks)],
                key,
                self.records,
            )
            for spec in plan["nodes"]
        }
        titles = [forms.Title(**title) for title in plan["titles"]]
        self.links = Links(self.loop, plan, self.records) if plan.get("links") else None
        self.list = ListService(
            self.loop,
            self.timers,
            plan,
            [self.row(n) for n in self.nodes.values()],
            titles,
            self.records,
            self.links,
        )
        for node in self.nodes.values():
            node.links = self.links
        names = [front["name"] for front in plan["fronts"]]
        self.relay = Relay(self.loop, self.timers, plan["relay"], self.records, names)

    def row(self, node: Node, state: str = "serving") -> forms.Row:
        spec = node.spec
        return forms.Row(
            spec["node"],
            spec["address"],
            spec["port"],
            spec["place"],
            spec["zone"],
            spec["kind"],
            state,
            spec["weight"],
            node.started_ms,
        )

    async def start(self) -> None:
        await self.relay.start()
        for node in self.nodes.values():
            node.fell = self.fell
            node.start(warm=True)
        self.list.start()
        if self.links is not None:
            self.links.open_fronts()
        where = self.plan["stranger"]
        Server(self.loop, self.timers, listen(where["address"], where["port"]), self.stray)
        LagRecorder(self.timers, self.records, "fleet")
        where = self.plan["control"]
        Server(self.loop, self.timers, listen(where["address"], where["port"]), self.control)

    def fell(self, node: Node) -> None:
        self.list.change(self.row(node, "gone"))

    def stray(self, exchange: Exchange) -> None:
        """Another machine, at an address that old lists name: it answers in the nodes' words, as itself."""
        path = exchange.request.target.partition("?")[0]
        self.records.write("stranger", "stray", path=path, method=exchange.request.method)
        if path == "/v1/events":
            exchange.start(200, {"content-type": "application/jsonl"})
            exchange.write(forms.encode(forms.Event("hello", node="stranger")) + b"\n")
        elif path == "/v1/load":
            exchange.reply(200, {}, forms.encode(forms.Load("stranger")))
        else:
            exchange.reply(201 if path == "/v1/plays" else 404, {}, forms.encode(forms.SetUpDone("stranger")))

    def control(self, exchange: Exchange) -> None:
        try:
            asked = msgspec.json.decode(exchange.request.body)
            self.fault(asked["target"], asked["kind"], float(asked["value"]))
        except (msgspec.DecodeError, KeyError, TypeError, ValueError) as err:
            exchange.reply(400, {}, f"{type(err).__name__}: {err}\n".encode())
            return
        exchange.reply(204)

    def fault(self, target: str, kind: str, value: float) -> None:
        if target == "list":
            self.list.fault(kind, value)
            return
        if target == "peers":
            self.relay.fault(kind, value)
            return
        if target.startswith("link:"):
            self.link(target, kind, value)
            return
        if target.startswith("site:"):
            self.site(target, kind, value)
            return
        if target.startswith("rack:"):
            rack = self.racks[int(target[5:])]
            rack.sag = value or 1.0
            self.records.write(target, "fault", kind=kind, value=value)
            return
        node = self.nodes[target]
        was = node.server is not None
        node.fault(kind, value)
        if kind == "die" and was:
            self.list.change(self.row(node, "gone"))
        elif kind == "start" and not was:
            self.list.change(self.row(node))
        elif kind == "drain":
            self.list.change(self.row(node, "draining" if value else "serving"))

    def site(self, target: str, kind: str, value: float) -> None:
        """A fault of all nodes of a zone in one moment; `half` in the kind's place of the first half
        alone.
        """
        nodes = [node.name for node in self.nodes.values() if node.spec["zone"] == target[5:]]
        if not nodes:
            raise ValueError(f"{target}: no node lies there")
        self.records.write(target, "fault", kind=kind, value=value)
        half = kind.startswith("half-")
        for node in nodes[: max(1, len(nodes) // 2)] if half else nodes:
            self.fault(node, kind.removeprefix("half-"), value)

    def link(self, target: str, kind: str, value: float) -> None:
        """A fault of one direction: between fronts of datagrams, else of TCP; "*" may mean both.

        `site:ZONE` in the place of a node stands for all nodes there, in one moment.
        """
        one, arrow, other = target[5:].partition(">")
        zones = [end[5:] for end in (one, other) if end.startswith("site:")]
        if zones:
            nodes = [node.name for node in self.nodes.values() if node.spec["zone"] == zones[0]]
            for node in nodes:
                ends = (node if end.startswith("site:") else end for end in (one, other))
                self.link("link:" + ">".join(ends), kind, value)
            if not nodes:
                raise ValueError(f"{target}: no node lies there")
            self.records.write(target, "fault", kind=kind, value=value)
            return
        fronts = {front["name"] for front in self.plan["fronts"]} | {"*"}
        if not arrow:
            raise ValueError(f"{target}: expected link:ONE>OTHER")
        found = False
        if one in fronts and other in fronts and kind in self.relay.KINDS:
            found = self.relay.fault_between(one, other, kind, value)
        if self.links is not None and kind in self.links.KINDS:
            found = self.links.fault(one, other, kind, value) or found
        if not found:
            raise ValueError(f"{target}: no link that knows {kind!r}")
        self.records.write(target, "fault", kind=kind, value=value)


async def main(plan: dict) -> None:
    fleet = Fleet(plan)
    told = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        fleet.loop.add_signal_handler(number, told.set)
    await fleet.start()
    print("ready", flush=True)
    await told.wait()
    fleet.records.close()


if __name__ == "__main__":
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    uvloop.run(main(json.loads(Path(sys.argv[1]).read_text())))
