"""Plans and processes of a drill: the stand-ins, the fronts, the viewers, each a process of its own.

Every drill has addresses of its own in 127.0.0.0/8, drawn from its process id, so that several can run beside
each other. All figures of the simulated fleet are this project's own.
"""

import contextlib
import hashlib
import json
import os
import random
import secrets
import signal
import subprocess
import sys
import threading
import time
import urllib.request
from itertools import count
from pathlib import Path

from google.protobuf import text_format

from curlewhall.daemon.control import DaemonNotRunningError, ask
from curlewhall.errors import CurlewhallError
from curlewhall.inventory import Inventory, yamlform
from curlewhall.records import Writer
from curlewhall.settings import front_pb2
from curlewhall.wire import forms

PORT = 8400
RUNGS, WORTH = [200.0, 450.0, 900.0, 1800.0], [0.22, 0.5, 0.78, 1.0]
LINK, STREAMS, RACK, UPLINK = 9000.0, 40, 5, 0.72  # kB a second, plays, nodes in a rack, part of their links
HOLDERS = 3  # a title lies on so many places in a row, about two nodes each
LIFE = {"dear": (5, 12), "plain": (4, 10), "paid": (6, 14)}  # seconds: short, so that a short day turns over


class DrillProcessError(CurlewhallError):
    """A process of the drill did not start, or ended by itself."""

    remedy = "Read the log of the process named above; play again with --keep FOLDER to have all of them."


_nets = count()


def subnet() -> str:
    """127.a.b: another one for each plan of a process, and for each process another row of them."""
    return f"127.{2 + os.getpid() % 250}.{1 + (os.getpid() // 250 * 16 + next(_nets)) % 250}"


def make_plan(
    seed: int,
    nodes: int,
    fronts: int,
    seconds: float,
    folder: Path,
    zones: tuple[str, ...] = ("north", "south"),
) -> dict:
    """The plan of a fleet. The same seed gives the same fleet but for addresses and folder."""
    rng = random.Random(f"fleet {seed}")
    net, racks, places = subnet(), max(2, nodes // RACK), max(HOLDERS, nodes // 2)
    zones = list(zones if nodes > 6 else zones[:1])
    specs = [
        {
            "node": f"n{i:03}",
            "address": f"{net}.{10 + i}",
            "port": PORT,
            "place": i,
            "zone": zones[i % len(zones)],
            "kind": "box",
            "weight": 1.0,
            "streams": STREAMS,
            "link": LINK * rng.uniform(0.85, 1.15),
        }
        for i in range(nodes)
    ]
    sizes = [sum(spec["place"] % racks == r for spec in specs) for r in range(racks)]
    uplinks = [max(1, size) * LINK * UPLINK * rng.uniform(0.85, 1.15) for size in sizes]
    titles = [
        {"title": f"clip-{i:02}", "first_place": rng.randrange(places), "places": HOLDERS, "length_s": 600.0}
        for i in range(max(8, nodes))
    ]
    pairs = [(i, j) for i in range(fronts) for j in range(fronts) if i != j]
    products = [
        {
            "name": "dear",
            "importance": 2.0,
            "target_ms": 1000,
            "limit_ms": 3000,
            "share": 0.3,
            "floor": 0,
            "scale": 1.2,
            "paid": False,
            "seats": 0,
        },
        {
            "name": "plain",
            "importance": 1.0,
            "target_ms": 1000,
            "limit_ms": 4000,
            "share": 0.5,
            "floor": 0,
            "scale": 1.0,
            "paid": False,
            "seats": 0,
        },
        {
            "name": "paid",
            "importance": 3.0,
            "target_ms": 1000,
            "limit_ms": 3000,
            "share": 0.2,
            "floor": 1,
            "scale": 1.1,
            "paid": True,
            "seats": 6,
        },
    ]
    for product in products:
        product["life"] = LIFE[product["name"]]
    # middle-rate plays that links and uplinks carry, over a mean life: arrivals a second at load 1
    carried = sum(
        min(sum(s["link"] for s in specs if s["place"] % racks == r), uplinks[r]) for r in range(racks)
    )
    mean = sum(p["share"] * sum(p["life"]) / 2 * p["scale"] for p in products)
    return {
        "seed": seed,
        "seconds": seconds,
        "folder": str(folder),
        "rung_kb": RUNGS,
        "worth": WORTH,
        "segment": 1.0,
        "byte_scale": 0.005,
        "vary": 0.15,
        "places": places,
        "racks": racks,
        "zones": zones,
        "nodes": specs,
        "uplinks": uplinks,
        "titles": titles,
        "products": products,
        "customers": [{"name": "west", "share": 0.8}, {"name": "east", "share": 0.2}],
        "setup_ms": [20, 90],
        "scales": {p["name"]: p["scale"] for p in products},
        "reports": {
            "how": "inline",
            "fields": ["link_asked", "uplink_asked"],
            "period": 0.4,
            "noise": 0.06,
            "told_late": 0.7,
            "told_every": 2.0,
        },
        "rules": {"start_capacity": 0.4, "warm_within": 5.0, "overload_factor": 4.0, "fall": 1.0},
        "grace": 1.0,
        "budget": [10.0, 3, 0.2],
        "list_service": {"address": f"{net}.1", "port": PORT, "lag": [0.2, 1.0]},
        "control": {"address": f"{net}.1", "port": PORT + 1},
        "stranger": {"address": f"{net}.2", "port": PORT},
        "key_file": str(folder / "key"),
        "fronts": [
            {"name": f"front-{i}", "address": f"{net}.{200 + i}", "port": PORT} for i in range(fronts)
        ],
        "relay": {
            "late": [0.002, 0.02],
            "legs": {f"{i}:{j}": [f"{net}.{200 + i}", PORT + 10 + j] for i, j in pairs},
            "fronts": {str(i): [f"{net}.{200 + i}", PORT + 1] for i in range(fronts)},
        },
        "records": {who: str(folder / f"{who}.jsonl") for who in ("fleet", "crowd", "drill")},
        "crowd": {
            "seed": seed,
            "rate": 0.7 * carried / RUNGS[1] / mean / 2,
            "seconds": seconds,
            "after": 4.5,
            "surges": [],
            "zipf": 0.8,
            "small_screens": 0.25,
            "hang_up": 0.02,
            "tries": 3,
            "returns": 0.9,
            "pause": [0.7, 2.5],
            "lean": [rng.uniform(0.5, 1.5) for _ in range(fronts)],
        },
    }


def add_links(plan: dict) -> None:
    """Every front reaches list service and nodes over links of its own, see `standins.links`."""
    plan["links"] = {"port": PORT + 100}


def settings(plan: dict, index: int) -> str:
    """The operator's file of one front, as text."""
    file = front_pb2.FrontFile()
    front, rules, fleet = plan["fronts"][index], plan["rules"], file.fleet
    file.identity.name, file.identity.index = front["name"], index
    file.identity.fronts, file.identity.zone = len(plan["fronts"]), plan["zones"][index % len(plan["zones"])]
    file.identity.seed = plan["seed"] * 1000 % 2**31 + index + 1
    file.listen.address, file.listen.port = front["address"], front["port"]
    file.listen.peer_address, file.listen.peer_port = plan["relay"]["fronts"][str(index)]
    if plan.get("inventory"):
        file.inventory.file = str(Path(plan["folder"]) / "fleet.yaml")
    else:
        file.list_service.address = plan["list_service"]["address"]
        file.list_service.port = (
            plan["links"]["port"] + index if plan.get("links") else plan["list_service"]["port"]
        )
        file.list_service.kept_file = str(Path(plan["folder"]) / f"{front['name']}.list")
    for pair, (address, port) in plan["relay"]["legs"].items():
        one, other = map(int, pair.split(":"))
        if one == index:
            there = plan["fronts"][other]
            file.peer.add(
                index=other,
                address=address,
                port=port,
                url=f"http://{there['address']}:"
                f"{plan['links']['port'] + index if plan.get('links') else there['port']}",
            )
    for product in plan["products"]:
        file.product.add(
            name=product["name"],
            importance=product["importance"],
            floor=product["floor"],
            first_frame_target_ms=product["target_ms"],
            time_limit_ms=product["limit_ms"],
            idempotency=int(product["paid"]),
            scale=product["scale"],
            seats=product["seats"],
        )
    total = plan["crowd"]["rate"]
    for customer in plan["customers"]:
        file.customer.add(name=customer["name"], allowance_per_s=round(1.5 * total * customer["share"], 2))
    file.ladder.rung_kb.extend(plan["rung_kb"])
    file.ladder.worth.extend(plan["worth"])
    fleet.kind.add(name="box", streams=STREAMS)
    fleet.zone.extend(plan["zones"])
    fleet.places, fleet.racks = plan["places"], plan["racks"]
    fleet.uplink_kb, fleet.link_unit_kb = sum(plan["uplinks"]) / len(plan["uplinks"]), LINK
    reports = plan["reports"]
    file.reports.how = {"on_probe": 0, "inline": 1, "off": 2}[reports["how"]]
    file.reports.told_late_ms = int(1000 * reports["told_late"])
    file.reports.told_every_ms = int(1000 * reports["told_every"])
    may = file.permissions
    may.probes = may.peer_messages = may.retry_after = True
    may.max_retry_after_ms, may.max_allocations = 1000, 3
    file.rules.drain_grace_ms, file.rules.fall_ms = int(1000 * plan["grace"]), int(1000 * rules["fall"])
    file.rules.overload_factor, file.rules.start_capacity = rules["overload_factor"], rules["start_capacity"]
    file.rules.warm_within_ms = int(1000 * rules["warm_within"])
    back, spare, share = plan["budget"]
    file.rules.look_back_ms, file.rules.spare_allocations = int(1000 * back), spare
    file.rules.extra_per_request = share
    file.tokens.key_file, file.tokens.life_s = plan["key_file"], 600
    file.limits.answer_margin_ms = 100
    file.moves.drain_within_ms = int(1000 * plan.get("drain_within", 8.0))
    if plan.get("console"):
        file.console.address, file.console.port = front["address"], plan["console"]
        if plan.get("console_token"):
            file.console.token_file = plan["console_token"]
    if plan.get("daemon"):
        file.daemon.folder, file.daemon.workers = daemon_folder(plan, index), plan["daemon"]
        file.daemon.reuse_port = plan.get("reuse_port", False)
    if plan.get("durability"):
        file.state.folder = str(Path(plan["folder"]) / f"{front['name']}.state")
        file.state.durability = int(plan["durability"] == "strict")
    if plan.get("members"):
        file.members.key_file = str(Path(plan["folder"]) / "members.key")
    file.logs.form, file.logs.level = front_pb2.JSON, "info"
    return text_format.MessageToString(file)


def daemon_folder(plan: dict, index: int) -> str:
    return str(Path(plan["folder"]) / f"{plan['fronts'][index]['name']}.daemon")


class Processes:
    """The processes of a plan, and what is done to them. Used as a context: all are ended at its end."""

    def __init__(
        self, plan: dict, policy: str | None = None, mover: str | None = None, sites: str | None = None
    ) -> None:
        self.plan, self.folder = plan, Path(plan["folder"])
        self.named = [
            word
            for flag, name in (("--policy", policy), ("--mover", mover), ("--sites", sites))
            if name
            for word in (flag, name)
        ]
        self.fronts: dict[str, subprocess.Popen] = {}
        self.fleet = self.crowd = None
        self.records = Writer(plan["records"]["drill"])
        self.logs: list = []
        self.told: list[dict] = []  # what daemons answered
        self.telling: list[threading.Thread] = []
        self.states: dict[str, str] = {}  # of nodes in the inventory, where there is one
        self.digest = ""
        self.since: dict[str, int] = {}  # of each front's log, where its latest process begins

    def __enter__(self) -> "Processes":
        # Danger: a drill that is told to end would leave its processes behind.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
        key = self.folder / "key"
        key.touch(mode=0o600)
        key.write_bytes(secrets.token_bytes(32))
        if self.plan.get("members"):
            key = self.folder / "members.key"
            key.touch(mode=0o600)
            key.write_text(secrets.token_hex(32) + "\n")
        (self.folder / "plan.json").write_text(json.dumps(self.plan))
        if self.plan.get("inventory"):
            self.swap_inventory("in", "")
        try:
            self.fleet = self.spawn("fleet", ["curlewhall.standins.fleet", str(self.folder / "plan.json")])
            self.await_line(self.fleet, "ready", "fleet")
            for index, front in enumerate(self.plan["fronts"]):
                (self.folder / f"{front['name']}.textproto").write_text(settings(self.plan, index))
                self.start_front(front["name"])
            for front in self.plan["fronts"]:
                self.await_front(front["name"])
        except BaseException:
            self.end()
            raise
        return self

    def __exit__(self, *exc) -> None:
        self.end()

    def spawn(self, name: str, args: list[str], cwd: str | None = None) -> subprocess.Popen:
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115 - closed in `end`
        self.logs.append(log)
        return subprocess.Popen(
            [sys.executable, "-m", *args], stdout=log, stderr=log, stdin=subprocess.DEVNULL, cwd=cwd
        )

    def await_line(
        self, process: subprocess.Popen, word: str, name: str, span: float = 30.0, since: int = 0
    ) -> None:
        """Wait until the process has written `word`; `DrillProcessError` if it ends first or is too slow."""
        until = time.monotonic() + span
        while time.monotonic() < until:
            if word.encode() in (self.folder / f"{name}.log").read_bytes()[since:]:
                return
            if process.poll() is not None:
                break
            time.sleep(0.02)
        text = (self.folder / f"{name}.log").read_text(errors="replace")[-2000:]
        raise DrillProcessError(f"{name} did not get ready:\n{text}")

    def start_front(self, name: str) -> None:
        path = self.folder / f"{name}.log"
        self.since[name] = path.stat().st_size if path.exists() else 0
        self.records.write("drill", "started", front=name)
        file = str(self.folder / f"{name}.textproto")
        how = "start" if self.plan.get("daemon") else "serve"
        program = ["curlewhall"]
        if self.plan.get("faulty"):
            program = ["curlewhall.cli.faulty", str(self.folder / f"{name}.disk")]
        # another version of the program may be measured on the same rig: a checkout of it
        self.fronts[name] = self.spawn(name, [*program, how, file, *self.named], self.plan.get("fronts_at"))

    def await_front(self, name: str) -> None:
        """Wait until the latest process of that front says that it is ready."""
        self.await_line(self.fronts[name], '"ready"', name, since=self.since[name])

    def kill_front(self, name: str) -> None:
        """kill -9."""
        process = self.fronts[name]
        if process.poll() is None:
            process.kill()
            process.wait()
            self.records.write("drill", "killed", front=name)

    def pause_front(self, name: str) -> None:
        """SIGSTOP: it stands still, with its sockets open, and does not know of it."""
        self.fronts[name].send_signal(signal.SIGSTOP)
        self.records.write("drill", "paused", front=name)

    def wake_front(self, name: str) -> None:
        self.records.write("drill", "woken", front=name)
        self.fronts[name].send_signal(signal.SIGCONT)

    def console_back(self, index: int) -> float:
        """Seconds until a front's console shows its first page."""
        front, began = self.plan["fronts"][index], time.monotonic()
        url = f"http://{front['address']}:{self.plan['console']}/"
        while time.monotonic() < began + 10:
            with (
                contextlib.suppress(OSError),
                urllib.request.build_opener(urllib.request.ProxyHandler({})).open(url, timeout=10) as page,
            ):
                if page.status == 200 and b"curlewhall" in page.read():
                    break
            time.sleep(0.01)
        return time.monotonic() - began

    def edit_list(self, name: str, days: float, wrong: float) -> None:
        """Make a front's kept list look `days` old; a part `wrong` of its nodes lie where a stranger answers.

        The same nodes at every front. `days` below 0 takes the file away.
        """
        path = self.folder / f"{name}.list"
        if days < 0:
            path.unlink(missing_ok=True)
            return
        if not path.exists():
            return
        kept = json.loads(path.read_bytes())
        rows = sorted(kept["rows"], key=lambda row: hashlib.sha256(row["node"].encode()).digest())
        for row in rows[: round(wrong * len(rows))]:
            row["address"], row["port"] = self.plan["stranger"]["address"], self.plan["stranger"]["port"]
        if wrong:
            kept["life"] = "former"  # what is wrong can't be confirmed by a version that stands
        then = time.time() - 86_400 * days
        if days and "kept" in kept:
            kept["kept"] |= {"unix_ms": int(1000 * then), "boot": ""}
        path.write_text(json.dumps(kept))
        os.utime(path, (then, then))

    def set_disk(self, name: str, fault: str) -> None:
        """What the disk of a front's state does from now on, see `faulty`."""
        path = self.folder / f"{name}.disk"
        path.with_suffix(".new").write_text(fault)
        os.replace(path.with_suffix(".new"), path)

    def die_writing(self, name: str, point: str, number: int) -> None:
        """Let the front die within a write, and start it anew; one that writes nothing for long is killed."""
        self.set_disk(name, f"die:{point}:{number}")
        process = self.fronts[name]
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.wait(1.0)
        if process.poll() is None:
            process.kill()
            process.wait()
        self.records.write("drill", "killed", front=name)
        self.set_disk(name, "")
        self.start_front(name)

    def damage(self, name: str, where: float) -> None:
        """Flip a byte of each of the state's files, at `where` (0 to 1) of its length."""
        for path in (self.folder / f"{name}.state").glob("*-*"):
            data = bytearray(path.read_bytes())
            if data:
                data[min(len(data) - 1, int(where * len(data)))] ^= 0x55
                path.write_bytes(data)

    def tell_daemon(self, name: str, what: str) -> None:
        """Say `restart` or `stop` to a front's daemon, in the background; what came of it is recorded."""
        index = [front["name"] for front in self.plan["fronts"]].index(name)

        def say() -> None:
            began = time.monotonic()
            try:
                reply = ask(Path(daemon_folder(self.plan, index)), what)
            except DaemonNotRunningError as err:
                reply = {"ok": False, "text": str(err)}
            span = time.monotonic() - began
            back = self.console_back(index) if what == "restart" and self.plan.get("console") else 0.0
            self.told.append(
                {
                    "front": name,
                    "do": what,
                    "ok": reply["ok"],
                    "text": reply["text"],
                    "span": round(span, 3),
                    "console": round(back, 3),
                }
            )

        thread = threading.Thread(target=say, daemon=True)
        thread.start()
        self.telling.append(thread)

    def inventory_text(self) -> str:
        """The file as it is meant now: `states` tells what is not in it, or drains."""
        rows = {
            s["node"]: forms.Row(
                s["node"],
                s["address"],
                s["port"],
                s["place"],
                s["zone"],
                s["kind"],
                self.states.get(s["node"], "serving"),
                s["weight"],
            )
            for s in self.plan["nodes"]
            if self.states.get(s["node"]) != "out"
        }
        titles = {t["title"]: forms.Title(**t) for t in self.plan["titles"]}
        return yamlform.write(Inventory(rows, titles))

    def swap_inventory(self, kind: str, node: str) -> None:
        """Change the fronts' inventory, well or badly; tell the records what fronts should know; ask them."""
        path, fresh = self.folder / "fleet.yaml", self.folder / "fleet.new"
        if kind == "told":
            self.tell_inventory(("serving", "draining", "out"))
            return
        if kind == "state":
            self.ask_inventory()
            return
        states = {"drain": "draining", "out": "out", "back": "serving", "in": "serving"}
        if kind in states:
            self.states[node] = states[kind]
            # what serves again may be known from this moment on; what leaves is known a while later
            self.tell_inventory(("serving",))
        text = self.inventory_text()
        if kind == "pieces":
            with open(path, "w") as file:
                for i in range(0, len(text), len(text) // 6 + 1):
                    file.write(text[i : i + len(text) // 6 + 1])
                    file.flush()
                    time.sleep(0.1)
        else:
            bad = {
                "figure": text.replace("port: ", "port: 9", 1),
                "cut": text[: len(text) // 2] + "  x",
                "most": "\n".join(text.split("\n")[: 2 + 8 * max(1, len(self.plan["nodes"]) // 3)]) + "\n",
            }
            fresh.write_text(bad.get(kind, text))
            os.replace(fresh, path)
        if kind not in ("figure", "cut", "most"):
            self.digest = hashlib.sha256(text.encode()).hexdigest()[:12]
        self.records.write("drill", "swapped", kind=kind, node=node)

    def tell_inventory(self, states: tuple[str, ...]) -> None:
        """Tell the judge what fronts know of nodes in these states."""
        now = {s["node"]: self.states.get(s["node"], "serving") for s in self.plan["nodes"]}
        rows = [
            [node, "draining" if state == "out" else state, 0]
            for node, state in now.items()
            if state in states
        ]
        for front in self.plan["fronts"]:
            self.records.write("list", "told", front=front["name"], how="changes", version=0, rows=rows)

    def ask_inventory(self) -> None:
        """Ask each front which inventory it goes by."""
        for front in self.plan["fronts"]:
            url = f"http://{front['address']}:{front['port']}/v1/inventory"
            with (
                contextlib.suppress(OSError),
                urllib.request.build_opener(urllib.request.ProxyHandler({})).open(url, timeout=10) as answer,
            ):
                self.records.write(
                    "drill",
                    "inventory",
                    front=front["name"],
                    expected=self.digest,
                    digest=json.loads(answer.read())["digest"],
                )

    def start_crowd(self) -> None:
        self.crowd = self.spawn("crowd", ["curlewhall.standins.crowd", str(self.folder / "plan.json")])

    def fault(self, target: str, kind: str, value: float) -> None:
        """Ask the stand-ins for a fault."""
        where = self.plan["control"]
        body = json.dumps({"target": target, "kind": kind, "value": value}).encode()
        request = urllib.request.Request(
            f"http://{where['address']}:{where['port']}/fault", body, method="POST"
        )
        urllib.request.build_opener(urllib.request.ProxyHandler({})).open(request, timeout=10).close()

    def check(self) -> None:
        """`DrillProcessError` when a process that should run has ended by itself."""
        for name, process in {"fleet": self.fleet, **self.fronts}.items():
            code = process.poll()
            if code not in (None, -9):
                raise DrillProcessError(
                    f"{name} ended with {code}:\n"
                    + (self.folder / f"{name}.log").read_text(errors="replace")[-2000:]
                )

    def end(self) -> None:
        """End what runs, gently first; the records are whole after that."""
        for thread in self.telling:
            thread.join(5)
        for row in self.told:
            self.records.write("drill", "daemon", **row)
        running = [p for p in [self.crowd, *self.fronts.values(), self.fleet] if p is not None]
        for process in running:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)  # one that stands still would not hear the next
                process.terminate()
            try:
                process.wait(8)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.records.close()
        for log in self.logs:
            log.close()
