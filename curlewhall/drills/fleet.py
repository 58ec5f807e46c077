"""The plan of a drill's fleet, and the processes that run it: stand-ins, fronts and viewers.

Each drill takes its addresses in 127.0.0.0/8 from its process id, so that several drills can run in parallel.
All figures of the simulated fleet are this project's own.
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
SECONDS_PER_DAY = 86_400
RUNG_KB_PER_S = [200.0, 450.0, 900.0, 1800.0]
RUNG_WORTH = [0.22, 0.5, 0.78, 1.0]
LINK_KB_PER_S = 9000.0
NODE_STREAMS = 40
RACK_NODES = 5
UPLINK_SHARE = 0.72  # capacity of a rack's uplink, as a share of the links of its nodes
TITLE_PLACES = 3  # consecutive places that hold a title, about two nodes each
PLAY_LENGTHS_S = {"dear": (5, 12), "plain": (4, 10), "paid": (6, 14)}  # short: plays end within a short drill


class DrillProcessError(CurlewhallError):
    """A process of the drill did not start, or ended by itself."""

    remedy = "Read the log of the process named above; repeat with --keep FOLDER to keep all logs."


_subnet_numbers = count()


def subnet() -> str:
    """Returns 127.a.b: a new one at each call; other processes get other ones."""
    return f"127.{2 + os.getpid() % 250}.{1 + (os.getpid() // 250 * 16 + next(_subnet_numbers)) % 250}"


def make_plan(
    seed: int,
    nodes: int,
    fronts: int,
    seconds: float,
    folder: Path,
    zones: tuple[str, ...] = ("north", "south"),
) -> dict:
    """Returns the plan of a fleet. The same seed gives the same fleet except for addresses and folder."""
    rng = random.Random(f"fleet {seed}")
    net = subnet()
    racks = max(2, nodes // RACK_NODES)
    places = max(TITLE_PLACES, nodes // 2)
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
            "streams": NODE_STREAMS,
            "link": LINK_KB_PER_S * rng.uniform(0.85, 1.15),
        }
        for i in range(nodes)
    ]
    rack_sizes = [sum(spec["place"] % racks == r for spec in specs) for r in range(racks)]
    uplinks = [max(1, size) * LINK_KB_PER_S * UPLINK_SHARE * rng.uniform(0.85, 1.15) for size in rack_sizes]
    titles = [
        {
            "title": f"clip-{i:02}",
            "first_place": rng.randrange(places),
            "places": TITLE_PLACES,
            "length_s": 600.0,
        }
        for i in range(max(8, nodes))
    ]
    front_pairs = [(i, j) for i in range(fronts) for j in range(fronts) if i != j]
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
        product["life"] = PLAY_LENGTHS_S[product["name"]]
    # The rate of the crowd, in requests a second, follows from the rate that links and uplinks carry and from
    # the mean length of plays on the second rung.
    carried = sum(
        min(sum(s["link"] for s in specs if s["place"] % racks == r), uplinks[r]) for r in range(racks)
    )
    mean_length = sum(p["share"] * sum(p["life"]) / 2 * p["scale"] for p in products)
    return {
        "seed": seed,
        "seconds": seconds,
        "folder": str(folder),
        "rung_kb": RUNG_KB_PER_S,
        "worth": RUNG_WORTH,
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
            "legs": {f"{i}:{j}": [f"{net}.{200 + i}", PORT + 10 + j] for i, j in front_pairs},
            "fronts": {str(i): [f"{net}.{200 + i}", PORT + 1] for i in range(fronts)},
        },
        "records": {name: str(folder / f"{name}.jsonl") for name in ("fleet", "crowd", "drill")},
        "crowd": {
            "seed": seed,
            "rate": 0.7 * carried / RUNG_KB_PER_S[1] / mean_length / 2,
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
    """Lets every front reach list service and nodes through links of its own, see `standins.links`."""
    plan["links"] = {"port": PORT + 100}


def settings(plan: dict, index: int) -> str:
    """Returns the operator's settings file of one front, as text."""
    file = front_pb2.FrontFile()
    front = plan["fronts"][index]
    rules = plan["rules"]
    fleet = file.fleet
    file.identity.name = front["name"]
    file.identity.index = index
    file.identity.fronts = len(plan["fronts"])
    file.identity.zone = plan["zones"][index % len(plan["zones"])]
    file.identity.seed = plan["seed"] * 1000 % 2**31 + index + 1
    file.listen.address = front["address"]
    file.listen.port = front["port"]
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
        sender, receiver = map(int, pair.split(":"))
        if sender == index:
            peer = plan["fronts"][receiver]
            file.peer.add(
                index=receiver,
                address=address,
                port=port,
                url=f"http://{peer['address']}:"
                f"{plan['links']['port'] + index if plan.get('links') else peer['port']}",
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
    request_rate = plan["crowd"]["rate"]
    for customer in plan["customers"]:
        file.customer.add(
            name=customer["name"], allowance_per_s=round(1.5 * request_rate * customer["share"], 2)
        )
    file.ladder.rung_kb.extend(plan["rung_kb"])
    file.ladder.worth.extend(plan["worth"])
    fleet.kind.add(name="box", streams=NODE_STREAMS)
    fleet.zone.extend(plan["zones"])
    fleet.places = plan["places"]
    fleet.racks = plan["racks"]
    fleet.uplink_kb = sum(plan["uplinks"]) / len(plan["uplinks"])
    fleet.link_unit_kb = LINK_KB_PER_S
    reports = plan["reports"]
    file.reports.how = {"on_probe": 0, "inline": 1, "off": 2}[reports["how"]]
    file.reports.told_late_ms = int(1000 * reports["told_late"])
    file.reports.told_every_ms = int(1000 * reports["told_every"])
    permissions = file.permissions
    permissions.probes = permissions.peer_messages = permissions.retry_after = True
    permissions.max_retry_after_ms = 1000
    permissions.max_allocations = 3
    file.rules.drain_grace_ms = int(1000 * plan["grace"])
    file.rules.fall_ms = int(1000 * rules["fall"])
    file.rules.overload_factor = rules["overload_factor"]
    file.rules.start_capacity = rules["start_capacity"]
    file.rules.warm_within_ms = int(1000 * rules["warm_within"])
    window_s, spare, share = plan["budget"]
    file.rules.look_back_ms = int(1000 * window_s)
    file.rules.spare_allocations = spare
    file.rules.extra_per_request = share
    file.tokens.key_file = plan["key_file"]
    file.tokens.life_s = 600
    file.limits.answer_margin_ms = 100
    file.moves.drain_within_ms = int(1000 * plan.get("drain_within", 8.0))
    if plan.get("console"):
        file.console.address = front["address"]
        file.console.port = plan["console"]
        if plan.get("console_token"):
            file.console.token_file = plan["console_token"]
    if plan.get("daemon"):
        file.daemon.folder = daemon_folder(plan, index)
        file.daemon.workers = plan["daemon"]
        file.daemon.reuse_port = plan.get("reuse_port", False)
    if plan.get("durability"):
        file.state.folder = str(Path(plan["folder"]) / f"{front['name']}.state")
        file.state.durability = int(plan["durability"] == "strict")
    if plan.get("members"):
        file.members.key_file = str(Path(plan["folder"]) / "members.key")
    file.logs.form = front_pb2.JSON
    file.logs.level = "info"
    return text_format.MessageToString(file)


def daemon_folder(plan: dict, index: int) -> str:
    """Returns the folder of the daemon of front `index`."""
    return str(Path(plan["folder"]) / f"{plan['fronts'][index]['name']}.daemon")


class Processes:
    """Starts the processes of a plan, injects faults into them, and stops them all on leaving the context."""

    def __init__(
        self, plan: dict, policy: str | None = None, mover: str | None = None, sites: str | None = None
    ) -> None:
        self.plan = plan
        self.folder = Path(plan["folder"])
        self.class_options = [
            argument
            for flag, name in (("--policy", policy), ("--mover", mover), ("--sites", sites))
            if name
            for argument in (flag, name)
        ]
        self.fronts: dict[str, subprocess.Popen] = {}
        self.fleet = self.crowd = None
        self.records = Writer(plan["records"]["drill"])
        self.log_files: list = []
        self.daemon_replies: list[dict] = []
        self.daemon_threads: list[threading.Thread] = []
        self.node_states: dict[str, str] = {}  # by node, as the inventory file is meant to say
        self.inventory_digest = ""
        self.log_offsets: dict[str, int] = {}  # by front: where the log of its latest process begins

    def __enter__(self) -> "Processes":
        # Without this handler a terminated drill would leave its processes running.
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
            self.change_inventory("in", "")
        try:
            self.fleet = self.spawn("fleet", ["curlewhall.standins.fleet", str(self.folder / "plan.json")])
            self.wait_for_text(self.fleet, "ready", "fleet")
            for index, front in enumerate(self.plan["fronts"]):
                (self.folder / f"{front['name']}.textproto").write_text(settings(self.plan, index))
                self.start_front(front["name"])
            for front in self.plan["fronts"]:
                self.await_front(front["name"])
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exc) -> None:
        self.stop()

    def spawn(self, name: str, args: list[str], cwd: str | None = None) -> subprocess.Popen:
        """Starts `python -m` with `args`; its output goes to NAME.log."""
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115 - closed in `stop`
        self.log_files.append(log)
        return subprocess.Popen(
            [sys.executable, "-m", *args], stdout=log, stderr=log, stdin=subprocess.DEVNULL, cwd=cwd
        )

    def wait_for_text(
        self, process: subprocess.Popen, text: str, name: str, timeout_s: float = 30.0, offset: int = 0
    ) -> None:
        """Waits until the process has written `text` to its log, past `offset`.

        Raises `DrillProcessError` if the process ends first or takes longer than `timeout_s`.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if text.encode() in (self.folder / f"{name}.log").read_bytes()[offset:]:
                return
            if process.poll() is not None:
                break
            time.sleep(0.02)
        log_tail = (self.folder / f"{name}.log").read_text(errors="replace")[-2000:]
        raise DrillProcessError(f"{name} did not become ready:\n{log_tail}")

    def start_front(self, name: str) -> None:
        """Starts a front, under a daemon or with a faulty disk where the plan says so; does not wait."""
        path = self.folder / f"{name}.log"
        self.log_offsets[name] = path.stat().st_size if path.exists() else 0
        self.records.write("drill", "started", front=name)
        file = str(self.folder / f"{name}.textproto")
        command = "start" if self.plan.get("daemon") else "serve"
        program = ["curlewhall"]
        if self.plan.get("faulty"):
            program = ["curlewhall.cli.faulty", str(self.folder / f"{name}.disk")]
        # `fronts_at`: a checkout of another version of the program, to measure it with the same drill
        self.fronts[name] = self.spawn(
            name, [*program, command, file, *self.class_options], self.plan.get("fronts_at")
        )

    def await_front(self, name: str) -> None:
        """Waits until the latest process of the front logs that it is ready."""
        self.wait_for_text(self.fronts[name], '"ready"', name, offset=self.log_offsets[name])

    def kill_front(self, name: str) -> None:
        """Kills the front with SIGKILL."""
        process = self.fronts[name]
        if process.poll() is None:
            process.kill()
            process.wait()
            self.records.write("drill", "killed", front=name)

    def pause_front(self, name: str) -> None:
        """Stops the front with SIGSTOP: it makes no progress, and its sockets stay open."""
        self.fronts[name].send_signal(signal.SIGSTOP)
        self.records.write("drill", "paused", front=name)

    def wake_front(self, name: str) -> None:
        """Resumes a paused front."""
        self.records.write("drill", "woken", front=name)
        self.fronts[name].send_signal(signal.SIGCONT)

    def console_recovery_s(self, index: int) -> float:
        """Returns the seconds until a front's console serves its first page; at most about ten."""
        front = self.plan["fronts"][index]
        began = time.monotonic()
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

    def edit_kept_list(self, name: str, days: float, wrong: float) -> None:
        """Makes a front's kept list look `days` old, and lets the share `wrong` of its nodes have the address
        of another server.

        These are the same nodes at every front. `days` below 0 deletes the file.
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
            row["address"] = self.plan["stranger"]["address"]
            row["port"] = self.plan["stranger"]["port"]
        if wrong:
            # From another run of the list service, so that an equal version doesn't confirm the wrong
            # addresses.
            kept["life"] = "former"
        written_at = time.time() - SECONDS_PER_DAY * days
        if days and "kept" in kept:
            kept["kept"] |= {"unix_ms": int(1000 * written_at), "boot": ""}
        path.write_text(json.dumps(kept))
        os.utime(path, (written_at, written_at))

    def set_disk_fault(self, name: str, fault: str) -> None:
        """Sets the fault of the disk of a front's state, see `faulty`; "" ends it."""
        path = self.folder / f"{name}.disk"
        path.with_suffix(".new").write_text(fault)
        os.replace(path.with_suffix(".new"), path)

    def crash_during_write(self, name: str, point: str, number: int) -> None:
        """Lets the front crash at a point of its `number`-th write, and restarts it. A front that does not
        get there within a second is killed.
        """
        self.set_disk_fault(name, f"die:{point}:{number}")
        process = self.fronts[name]
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.wait(1.0)
        if process.poll() is None:
            process.kill()
            process.wait()
        self.records.write("drill", "killed", front=name)
        self.set_disk_fault(name, "")
        self.start_front(name)

    def damage_state(self, name: str, where: float) -> None:
        """Flips bits of one byte of each file of the front's state, at `where` (0 to 1) of its length."""
        for path in (self.folder / f"{name}.state").glob("*-*"):
            data = bytearray(path.read_bytes())
            if data:
                data[min(len(data) - 1, int(where * len(data)))] ^= 0x55
                path.write_bytes(data)

    def command_daemon(self, name: str, command: str) -> None:
        """Sends `restart` or `stop` to a front's daemon from a thread, and records the reply."""
        index = [front["name"] for front in self.plan["fronts"]].index(name)

        def send() -> None:
            began = time.monotonic()
            try:
                reply = ask(Path(daemon_folder(self.plan, index)), command)
            except DaemonNotRunningError as err:
                reply = {"ok": False, "text": str(err)}
            span = time.monotonic() - began
            console_s = (
                self.console_recovery_s(index) if command == "restart" and self.plan.get("console") else 0.0
            )
            self.daemon_replies.append(
                {
                    "front": name,
                    "do": command,
                    "ok": reply["ok"],
                    "text": reply["text"],
                    "span": round(span, 3),
                    "console": round(console_s, 3),
                }
            )

        thread = threading.Thread(target=send, daemon=True)
        thread.start()
        self.daemon_threads.append(thread)

    def inventory_text(self) -> str:
        """Returns the valid inventory file for the current `node_states`."""
        rows = {
            s["node"]: forms.Row(
                s["node"],
                s["address"],
                s["port"],
                s["place"],
                s["zone"],
                s["kind"],
                self.node_states.get(s["node"], "serving"),
                s["weight"],
            )
            for s in self.plan["nodes"]
            if self.node_states.get(s["node"]) != "out"
        }
        titles = {t["title"]: forms.Title(**t) for t in self.plan["titles"]}
        return yamlform.write(Inventory(rows, titles))

    def change_inventory(self, kind: str, node: str) -> None:
        """Runs a step of the inventory drill.

        `kind` "told" records what fronts must know by now; "state" records which inventory each front uses;
        all others write the file: "drain", "out", "back" and "in" change `node`, "pieces" writes it slowly in
        place, and "figure", "cut" and "most" write a broken file.
        """
        path = self.folder / "fleet.yaml"
        new_path = self.folder / "fleet.new"
        if kind == "told":
            self.record_inventory(("serving", "draining", "out"))
            return
        if kind == "state":
            self.record_inventory_digests()
            return
        states = {"drain": "draining", "out": "out", "back": "serving", "in": "serving"}
        if kind in states:
            self.node_states[node] = states[kind]
            # Fronts may use a node that serves again at once; they learn a while later that one drains or is
            # out.
            self.record_inventory(("serving",))
        text = self.inventory_text()
        if kind == "pieces":
            with open(path, "w") as file:
                for i in range(0, len(text), len(text) // 6 + 1):
                    file.write(text[i : i + len(text) // 6 + 1])
                    file.flush()
                    time.sleep(0.1)
        else:
            broken = {
                "figure": text.replace("port: ", "port: 9", 1),
                "cut": text[: len(text) // 2] + "  x",
                "most": "\n".join(text.split("\n")[: 2 + 8 * max(1, len(self.plan["nodes"]) // 3)]) + "\n",
            }
            new_path.write_text(broken.get(kind, text))
            os.replace(new_path, path)
        if kind not in ("figure", "cut", "most"):
            self.inventory_digest = hashlib.sha256(text.encode()).hexdigest()[:12]
        self.records.write("drill", "swapped", kind=kind, node=node)

    def record_inventory(self, states: tuple[str, ...]) -> None:
        """Records for the judge that all fronts know of the nodes in these states."""
        current = {s["node"]: self.node_states.get(s["node"], "serving") for s in self.plan["nodes"]}
        rows = [
            [node, "draining" if state == "out" else state, 0]
            for node, state in current.items()
            if state in states
        ]
        for front in self.plan["fronts"]:
            self.records.write("list", "told", front=front["name"], how="changes", version=0, rows=rows)

    def record_inventory_digests(self) -> None:
        """Records the digest of the inventory that each front uses, beside the expected one."""
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
                    expected=self.inventory_digest,
                    digest=json.loads(answer.read())["digest"],
                )

    def start_crowd(self) -> None:
        """Starts the viewers' process."""
        self.crowd = self.spawn("crowd", ["curlewhall.standins.crowd", str(self.folder / "plan.json")])

    def fault(self, target: str, kind: str, value: float) -> None:
        """Asks the stand-ins to begin a fault at a target, or to end it with a value of 0."""
        control = self.plan["control"]
        body = json.dumps({"target": target, "kind": kind, "value": value}).encode()
        request = urllib.request.Request(
            f"http://{control['address']}:{control['port']}/fault", body, method="POST"
        )
        urllib.request.build_opener(urllib.request.ProxyHandler({})).open(request, timeout=10).close()

    def check_running(self) -> None:
        """Raises `DrillProcessError` when a process that should run has ended by itself."""
        for name, process in {"fleet": self.fleet, **self.fronts}.items():
            code = process.poll()
            if code not in (None, -9):
                raise DrillProcessError(
                    f"{name} ended with {code}:\n"
                    + (self.folder / f"{name}.log").read_text(errors="replace")[-2000:]
                )

    def stop(self) -> None:
        """Stops all processes, with SIGTERM first, and completes the records."""
        for thread in self.daemon_threads:
            thread.join(5)
        for row in self.daemon_replies:
            self.records.write("drill", "daemon", **row)
        running = [p for p in [self.crowd, *self.fronts.values(), self.fleet] if p is not None]
        for process in running:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)  # a paused process would not handle SIGTERM
                process.terminate()
            try:
                process.wait(8)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.records.close()
        for log in self.log_files:
            log.close()
