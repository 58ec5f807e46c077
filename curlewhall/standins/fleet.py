"""All nodes and the list service of a plan in one process, with an HTTP control port for faults.

    python -m curlewhall.standins.fleet PLAN.json

`curlewhall.drills.fleet` writes the plan. To start or end a fault, POST {"target": ..., "kind": ..., "value":
...} to /fault on the control address; the target is a node's name, "list", "peers", "rack:N", "site:ZONE" or
"link:SOURCE>TARGET".
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
        self.plan = plan
        self.loop = asyncio.get_running_loop()
        self.timers = Timers(self.loop)
        self.records = Writer(plan["records"]["fleet"])
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
        """The node's entry in the list."""
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
        """Open all sockets; the nodes start warm."""
        await self.relay.start()
        for node in self.nodes.values():
            node.on_crash = self.node_crashed
            node.start(warm=True)
        self.list.start()
        if self.links is not None:
            self.links.open_fronts()
        where = self.plan["stranger"]
        Server(self.loop, self.timers, listen(where["address"], where["port"]), self.handle_stranger)
        LagRecorder(self.timers, self.records, "fleet")
        where = self.plan["control"]
        Server(self.loop, self.timers, listen(where["address"], where["port"]), self.handle_control)

    def node_crashed(self, node: Node) -> None:
        """Take a node that crashed under overload off the list."""
        self.list.change(self.row(node, "gone"))

    def handle_stranger(self, exchange: Exchange) -> None:
        """Answer as another machine at an address from an old list would: as a node, under its own name."""
        path = exchange.request.target.partition("?")[0]
        self.records.write("stranger", "stray", path=path, method=exchange.request.method)
        if path == "/v1/events":
            exchange.start(200, {"content-type": "application/jsonl"})
            exchange.write(forms.encode(forms.Event("hello", node="stranger")) + b"\n")
        elif path == "/v1/load":
            exchange.reply(200, {}, forms.encode(forms.Load("stranger")))
        else:
            exchange.reply(201 if path == "/v1/plays" else 404, {}, forms.encode(forms.SetUpDone("stranger")))

    def handle_control(self, exchange: Exchange) -> None:
        """Answer a request for a fault: 204, or 400 with the reason."""
        try:
            request = msgspec.json.decode(exchange.request.body)
            self.fault(request["target"], request["kind"], float(request["value"]))
        except (msgspec.DecodeError, KeyError, TypeError, ValueError) as err:
            exchange.reply(400, {}, f"{type(err).__name__}: {err}\n".encode())
            return
        exchange.reply(204)

    def fault(self, target: str, kind: str, value: float) -> None:
        """Start or (value 0) end a fault of a target, written as in the module's doc comment.

        Raises ValueError or KeyError for a target or kind that doesn't exist.
        """
        if target == "list":
            self.list.fault(kind, value)
            return
        if target == "peers":
            self.relay.fault(kind, value)
            return
        if target.startswith("link:"):
            self.link_fault(target, kind, value)
            return
        if target.startswith("site:"):
            self.site_fault(target, kind, value)
            return
        if target.startswith("rack:"):
            rack = self.racks[int(target[5:])]
            rack.uplink_divisor = value or 1.0
            self.records.write(target, "fault", kind=kind, value=value)
            return
        node = self.nodes[target]
        was_up = node.server is not None
        node.fault(kind, value)
        if kind == "die" and was_up:
            self.list.change(self.row(node, "gone"))
        elif kind == "start" and not was_up:
            self.list.change(self.row(node))
        elif kind == "drain":
            self.list.change(self.row(node, "draining" if value else "serving"))

    def site_fault(self, target: str, kind: str, value: float) -> None:
        """Start or end a fault at all nodes of a zone at once; a kind with "half-" affects the first half."""
        nodes = [node.name for node in self.nodes.values() if node.spec["zone"] == target[5:]]
        if not nodes:
            raise ValueError(f"{target}: no node of the plan is in this zone")
        self.records.write(target, "fault", kind=kind, value=value)
        half = kind.startswith("half-")
        for node in nodes[: max(1, len(nodes) // 2)] if half else nodes:
            self.fault(node, kind.removeprefix("half-"), value)

    def link_fault(self, target: str, kind: str, value: float) -> None:
        """Start or end a fault of one direction, of TCP links and, between fronts, of datagrams.

        "*" stands for every process, `site:ZONE` in place of a node for all nodes of the zone, at once.
        """
        source, arrow, destination = target[5:].partition(">")
        zones = [end[5:] for end in (source, destination) if end.startswith("site:")]
        if zones:
            nodes = [node.name for node in self.nodes.values() if node.spec["zone"] == zones[0]]
            for node in nodes:
                ends = (node if end.startswith("site:") else end for end in (source, destination))
                self.link_fault("link:" + ">".join(ends), kind, value)
            if not nodes:
                raise ValueError(f"{target}: no node of the plan is in this zone")
            self.records.write(target, "fault", kind=kind, value=value)
            return
        fronts = {front["name"] for front in self.plan["fronts"]} | {"*"}
        if not arrow:
            raise ValueError(f"{target}: expected link:SOURCE>TARGET")
        found = False
        if source in fronts and destination in fronts and kind in self.relay.KINDS:
            found = self.relay.fault_between(source, destination, kind, value)
        if self.links is not None and kind in self.links.KINDS:
            found = self.links.fault(source, destination, kind, value) or found
        if not found:
            raise ValueError(f"{target}: no such link takes a fault of kind {kind!r}")
        self.records.write(target, "fault", kind=kind, value=value)


async def main(plan: dict) -> None:
    """Run the fleet of a plan until SIGTERM or SIGINT; prints "ready" once all sockets are open."""
    fleet = Fleet(plan)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        fleet.loop.add_signal_handler(number, stop.set)
    await fleet.start()
    print("ready", flush=True)
    await stop.wait()
    fleet.records.close()


if __name__ == "__main__":
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    uvloop.run(main(json.loads(Path(sys.argv[1]).read_text())))
