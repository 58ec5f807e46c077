"""What the cases of this review share: a front started by the deploy file's `run`, with the project's
stand-ins around it on loopback, and a record of what passed.

Every address is a loopback address with a free port. All files but `record.txt` are in a temporary folder.
"""

import asyncio
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from curlewhall.codecs import messages  # noqa: E402
from curlewhall.standins.platform import Platform  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# A small deployment like tartu-clips, in the form in which the platform tells it: two products, of which one
# is paid for at set-up, five rungs, five places, drains within 250 ms, three allocations a play.
SETTINGS = {
    "lanes": [
        {
            "name": "proof",
            "worth": 3.0,
            "idempotency": "side_effect",
            "target-ms": 800.0,
            "give-up-ms": 4000.0,
            "stream": True,
        },
        {
            "name": "preview",
            "worth": 1.0,
            "idempotency": "pure",
            "target-ms": 800.0,
            "give-up-ms": 3000.0,
            "stream": True,
        },
    ],
    "customers": [],
    "n-instances": 2,
    "self-index": 0,
    "zone": "maja-a",
    "zones": ["maja-a", "maja-b"],
    "kinds": ["box-2c", "box-3c"],
    "report": {"how": "on_probe", "fields": ["cpu", "x1"]},
    "costs": {"probe": 0.01},
    "specifics": {
        "rung-kb": [240.0, 430.0, 750.0, 1300.0, 2200.0],
        "level-worth": [0.2, 0.45, 0.7, 0.88, 1.0],
        "class-scale": [1.4, 0.7],
        "floor-by-class": [1, 0],
        "highest-rung": [4, 4],
        "seats": [0, 0],
        "kind-streams": [22, 33],
        "places": 5,
        "shelves": 2,
        "uplink-kb": 40000.0,
        "link-unit-kb": 20000.0,
        "told-late-ms": 1000.0,
        "told-every-ms": 0.0,
        "switch-cost-s": 0.7,
        "stall": 7.0,
    },
    "permissions": {
        "cancel": True,
        "probes": True,
        "peer-messages": False,
        "parallel-tries": False,
        "retry-after": True,
        "max-retry-after-ms": 500.0,
        "max-attempts": 3,
        "connect-timeout-ms": 250.0,
        "idle-close-ms": 15000.0,
        "streams-per-conn": 100,
    },
    "invariants": {
        "answer-slack-ms": 40.0,
        "drain-grace-ms": 250.0,
        "fall-ms": 3000.0,
        "overload-factor": 2.5,
        "start-capacity": 0.5,
        "warm-within-ms": 8000.0,
        "spare-attempts": 3.0,
        "extra-per-request": 0.1,
        "look-back-ms": 10000.0,
    },
}


def free_port() -> int:
    """A port of loopback that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Record:
    """`record.txt`: a line for each event, with the seconds since the start of the case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.began = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        return time.monotonic() - self.began

    def write(self, text: str) -> None:
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()


class Rig(Platform):
    """The project's stand-ins, with each entry of their traffic written to the record, and fronts."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.case_record = record
        self.times = []  # (monotonic time, side, what, session) of each entry of the traffic
        self.zones: dict[str, str] = {}  # of nodes that are not in the front's own zone
        self.fronts = []
        self.tasks = []
        self.folder = tempfile.TemporaryDirectory()

    def record(self, side, what, session, value="") -> None:
        super().record(side, what, session, value)
        self.times.append((time.monotonic(), side, what, session))
        names = {messages.ANSWER: "gets answer", messages.RELEASE: "gets release"}
        if isinstance(value, dict):
            value = {code: bytes(data) for code, data in value.items()}
        self.case_record.write(f"{side:8} {names.get(what, what)} {session} {value!r}")

    def member(self, name, state="ready", since=0, **more):
        place = list(self.nodes).index(name) % 5
        zone = self.zones.get(name, "maja-a")
        return super().member(name, state, since, flavor="box-2c", locality=zone, cell=place) | more

    async def start_front(self, name="n0", sockets=256, members=None, cursor=1) -> int:
        """Start a front with the deploy file's `run` and wait until it passes a test; returns its port."""
        port = free_port()
        members = [self.member(node) for node in self.nodes] if members is None else members
        known = [{"cursor": cursor, "nodes": {"complete": True, "members": members}}]
        config = {
            "name": name,
            "listen": f"127.0.0.1:{port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "channel": f"127.0.0.1:{self.channel.port}",
            "known": {"cursor": cursor, "cmds": known},
            "settings": SETTINGS,
        }
        file = pathlib.Path(self.folder.name) / f"{name}.json"
        file.write_text(json.dumps(config))
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        variables = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        variables |= {
            "RELAY_NAME": name,
            "RELAY_LISTEN": f"127.0.0.1:{port}",
            "RELAY_CONFIG": str(file),
            "TMPDIR": self.folder.name,
        }
        process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            deploy["run"],
            cwd=ROOT,
            env=variables,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )
        self.fronts.append(process)
        self.tasks.append(asyncio.create_task(self.copy_log(name, process)))
        async with asyncio.timeout(30):
            while not await self.passes_test(port):
                await asyncio.sleep(0.05)
        self.case_record.write(f"{name} passes its test")
        return port

    async def copy_log(self, name, process) -> None:
        async for line in process.stderr:
            self.case_record.write(f"log of {name}: {line.decode().rstrip()}")

    async def passes_test(self, port: int) -> bool:
        """Whether the front answers a test with "passed"."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            return False
        try:
            writer.write(messages.encode(messages.HEALTH_CHECK, "0" * 15 + "1", cause=b"\0"))
            found, codec = [], messages.Reader()
            async with asyncio.timeout(3):
                while not found and (data := await reader.read(4096)):
                    found = codec.feed(data)
            return bool(found) and found[0].fields.get(messages.CAUSE) == b"\1"
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def end(self) -> None:
        """End every front and close every socket."""
        for process in self.fronts:
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
            await process.wait()
        self.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.folder.cleanup()


def main(case, folder: str, limit_s: float = 105.0) -> None:
    """Run `case(rig, record)`, a coroutine that returns whether the rule held, and exit with its code."""
    record = Record(pathlib.Path(folder))

    async def run() -> int:
        rig, task = Rig(record), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):  # whoever ends the script early leaves no front behind
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(limit_s):
                return HELD if await case(rig, record) else BROKEN
        except (Exception, asyncio.CancelledError) as err:
            record.write(f"the case could not run: {type(err).__name__}: {err}")
            return NOT_RUN
        finally:
            await rig.end()

    code = asyncio.run(run())
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[code]
    record.write(f"exit {code}: {verdict}; the disruption was {'on' if TROUBLE else 'off'}")
    print(f"{verdict} (exit {code})")
    sys.exit(code)
