"""Stand-ins and helpers of the second review's cases: playout nodes, the command channel, viewers, a front.

Written from the platform's pages (PROTOCOL, DEPLOY, DAYS, STANDING). All of them live in the process of the
case; only the front is a process of its own, started with the `run` line of the deploy file. Every address
is on loopback, every port is a free one.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from curlewhall.codecs import messages, rtsp  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SLACK_S = 0.05  # PROTOCOL: every time limit grows by 50 ms
LIMIT_S = 100.0  # of a case; 120 s are allowed
READY_S = 30.0
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER value with which a close sends a reset


class CannotRunError(Exception):
    """The case could not be set up: no verdict."""


def settings(fronts=2, nodes=12, **changes):
    """What the simulator's first message would hold, with the figures of the site tartu-clips."""
    whole = {
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
        "n-instances": fronts,
        "self-index": 0,
        "zone": "maja-a",
        "zones": ["maja-a", "maja-b"],
        "kinds": ["box-2c", "box-3c"],
        "family": "streams",
        "discovery": "push",
        "report": {"how": "on_probe", "fields": ["cpu", "x1"]},
        "weight-source": "rough",
        "worth-by": "request",
        "costs": {"cross-zone": 0.034, "late-fail": 0.023, "moves": 0.05, "probe": 0.01},
        "specifics": {
            "rung-kb": [240.0, 430.0, 750.0, 1300.0, 2200.0],
            "level-worth": [0.2, 0.45, 0.65, 0.85, 1.0],
            "class-scale": [1.4, 0.7],
            "floor-by-class": [1, 0],
            "highest-rung": [4, 4],
            "seats": [0, 0],
            "live": [False, False],
            "kind-streams": [24, 36],
            "places": nodes,
            "shelves": 2,
            "uplink-kb": 25000.0,
            "link-unit-kb": 3600.0,
            "all-links-kb": 3600.0 * 2.5 * nodes,
            "told-late-ms": 1000.0,
            "told-every-ms": 0.0,
            "switch-cost-s": 0.7,
            "stall": 8.0,
            "shared-adds": 1.0,
            "refuses-from": 0.0,
        },
        "permissions": {
            "cancel": True,
            "probes": True,
            "retry-after": True,
            "max-retry-after-ms": 500.0,
            "max-attempts": 3,
            "peer-messages": False,
            "parallel-tries": False,
            "connect-timeout-ms": 250.0,
            "idle-close-ms": 15000.0,
            "streams-per-conn": 100,
            "max-open": 1000000,
        },
        "invariants": {
            "answer-slack-ms": 40.0,
            "drain-grace-ms": 250.0,
            "fall-ms": 3000.0,
            "overload-factor": 2.5,
            "start-capacity": 0.5,
            "warm-within-ms": 5000.0,
            "extra-per-request": 0.1,
            "spare-attempts": 3,
            "look-back-ms": 10000.0,
        },
        "tick-ms": 10.0,
    }
    for path, value in changes.items():
        part, (*heads, last) = whole, path.replace("_", "-").split("--")
        for head in heads:
            part = part[head]
        part[last] = value
    return whole


class Record:
    """What passed on the sockets of the stand-ins, and the notes of the case."""

    def __init__(self, folder):
        self.file, self.began, self.rows = Path(folder) / "record.txt", time.monotonic(), []

    def add(self, who, what, session="", detail=""):
        row = (time.monotonic() - self.began, who, what, session, detail)
        self.rows.append(row)
        return row[0]

    def now(self):
        return time.monotonic() - self.began

    def of(self, who, what):
        """The rows of one side and kind; "" for any side."""
        return [row for row in self.rows if row[2] == what and (not who or row[1] == who)]

    def write(self, verdict):
        lines = [
            f"{at:9.3f} {who:<9} {what:<22} {session} {text}" for at, who, what, session, text in self.rows
        ]
        self.file.write_text("\n".join([*(line.rstrip() for line in lines), verdict, ""]), encoding="utf-8")


def free_port():
    """A port of loopback that was free a moment ago."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Link(asyncio.Protocol):
    """A connection that a front has opened to a node."""

    def __init__(self, node):
        self.node, self.codec, self.transport, self.closed = node, rtsp.Reader(), None, False
        self.withheld = False  # what the node writes here is lost on its way
        self.stale = False  # of the process before: whatever arrives is met with a reset
        self.out = bytearray()  # written while the machine was cut off

    def connection_made(self, transport):
        self.transport = transport
        self.node.opened(self)

    def data_received(self, data):
        if self.stale:
            self.reset()
            return
        for message in self.codec.feed(data):
            self.node.handle(self, message)
        if self.codec.error:
            self.node.record.add(self.node.id, "unreadable", "", self.codec.error)
            self.transport.close()

    def connection_lost(self, error):
        self.closed = True
        self.node.closed(self)

    def write(self, data):
        if self.node.dark:
            self.out += data
        elif not self.closed and not self.withheld:
            self.transport.write(data)

    def reset(self):
        """End the connection with a reset, as the network or the node's machine may."""
        self.closed = True
        self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.transport.abort()


class Node:
    """A sound playout node. `on_set_up(node, link, message)` may return True to answer by itself."""

    def __init__(self, record, name, cell, zone="maja-a", kind="box-2c"):
        self.record, self.id, self.cell, self.zone, self.kind = record, name, cell, zone, kind
        self.links, self.sessions, self.unheard = [], {}, {}
        self.held = {}  # sessions of before the front's start -> their rung, until the level was told
        self.open_set_ups = {}  # session -> its link
        self.ended_at = {}
        self.on_set_up = None
        self.on_open = None
        self.dark = False
        self.fillers = []
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(2)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        asyncio.get_running_loop().add_reader(self.listener.fileno(), self.accept)

    def member(self, state="ready", since=0):
        return {
            "id": self.id,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": self.zone,
            "flavor": self.kind,
            "cell": self.cell,
            "phase": state,
            "size": 2 if self.kind == "box-2c" else 3,
            "up_since_ms": since,
        }

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            loop.create_task(loop.connect_accepted_socket(lambda: Link(self), sock))

    def opened(self, link):
        self.links.append(link)
        self.record.add(self.id, "connection")
        if self.on_open is not None:
            self.on_open(self, link)
        for session, cause in self.unheard.items():
            link.write(self.release_of(session, cause))
            self.record.add(self.id, "release sent again", session, f"cause={cause}")
        self.tell_levels(link)

    def tell_levels(self, link):
        """Note 2 for sessions of before the front's start: the rung in force."""
        held, self.held = self.held, {}
        for session, rung in held.items():
            self.sessions[session] = link
            link.write(rtsp.request("ANNOUNCE", "note", session, 4, X_Note="level", X_Value=str(rung)))
            self.record.add(self.id, "level told", session, f"rung={rung}")

    def closed(self, link):
        if link in self.links:
            self.links.remove(link)
            self.record.add(self.id, "connection ended")
        for session in [s for s, its in self.open_set_ups.items() if its is link]:
            del self.open_set_ups[session]
            self.record.add(self.id, "given up by close", session)

    def handle(self, link, message):
        session = message.session
        if message.method == "SETUP":
            detail = f"{message.fields.get('subject')} rung={message.fields.get('x-rung')}"
            self.record.add(self.id, "set-up", session, detail)
            self.open_set_ups[session] = link
            if self.on_set_up is None or not self.on_set_up(self, link, message):
                self.serve(link, session)
        elif message.method == "TEARDOWN":
            cut = "reason" in message.fields
            stood = self.sessions.pop(session, None) is not None
            was_open = self.open_set_ups.pop(session, None) is not None
            state = "stood" if stood else "open" if was_open else "unknown"
            self.record.add(
                self.id, "cut" if cut else "given up", session, f"{state} {message.fields.get('reason', '')}"
            )
            link.write(rtsp.response(200, "OK", message))
        elif message.method == "OPTIONS":
            link.write(
                f"RTSP/1.0 200 OK\r\nCSeq: {message.fields['cseq']}\r\nSession: {session}\r\n"
                "X-State: cpu:0.20;x1:0.30\r\nContent-Length: 0\r\n\r\n".encode()
            )
        elif message.method == "SET_PARAMETER":
            self.record.add(self.id, "rung", session, message.fields.get("x-rung", ""))
        elif message.status == 200 and message.fields["cseq"] == "2":
            if self.unheard.pop(session, None) is not None:
                self.record.add(self.id, "release heard", session)

    def serve(self, link, session):
        """Answer a set-up: from here on the session stands."""
        if self.open_set_ups.pop(session, None) is None:
            return
        body = f"node {self.id} plays {session}".encode()
        self.sessions[session] = link
        self.record.add(self.id, "answered", session)
        head = f"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: {session}\r\nContent-Length: {len(body)}\r\n\r\n"
        link.write(head.encode() + body)

    @staticmethod
    def release_of(session, cause):
        return rtsp.request("TEARDOWN", "end", session, 2, Reason=f"cause={cause}")

    def end(self, session, cause=16):
        """The session has come to its end: told on its connection, another open one, or the next."""
        link = self.sessions.pop(session)
        self.unheard[session] = cause
        self.ended_at[session] = self.record.add(self.id, "ended", session, f"cause={cause}")
        for choice in [link, *self.links]:
            if not choice.closed:
                choice.write(self.release_of(session, cause))
                return

    async def go_dark(self):
        """The machine vanishes or is cut off: connections stay open and silent, new ones don't come up."""
        loop = asyncio.get_running_loop()
        self.dark = True
        loop.remove_reader(self.listener.fileno())
        for link in self.links:
            link.transport.pause_reading()
        for _ in range(20):  # fills the queue of the listener, so that further connects are not answered
            sock = socket.socket()
            sock.setblocking(False)
            self.fillers.append(sock)
            try:
                async with asyncio.timeout(0.1):
                    await loop.sock_connect(sock, ("127.0.0.1", self.port))
            except TimeoutError:
                self.record.add(self.id, "dark", "", f"{len(self.fillers)} connections fill its queue")
                return
        raise CannotRunError("the listener of a stand-in still takes connections")

    def come_back_cold(self):
        """The machine can be reached again, with a new process that knows nothing of before."""
        self.sessions.clear()
        self.unheard.clear()
        self.open_set_ups.clear()
        for link in self.links:
            link.stale = True
            link.out.clear()
        self.record.add(self.id, "new process")
        self.come_back()

    def come_back(self):
        """The machine can be reached again; what was on its way arrives."""
        self.dark = False
        self.record.add(self.id, "reachable again")
        for sock in self.fillers:
            sock.close()
        self.fillers.clear()
        asyncio.get_running_loop().add_reader(self.listener.fileno(), self.accept)
        for link in list(self.links):
            out, link.out = bytes(link.out), bytearray()
            if not link.closed:
                if out:
                    link.transport.write(out)
                link.transport.resume_reading()


class Channel:
    """The command channel. `answer_after_s`: how long a request waits until its answer begins."""

    def __init__(self, record, name="channel"):
        self.record, self.name, self.events, self.streams = record, name, [], []
        self.answer_after_s, self.open, self.server, self.port = 0.0, True, None, 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            last = next(int(x.split(":")[1]) for x in head.split("\r\n") if x.startswith("last-event-id:"))
            self.record.add(self.name, "asked", "", f"after event {last}")
            if self.answer_after_s:
                gone = asyncio.ensure_future(reader.read(1))
                done, _ = await asyncio.wait({gone}, timeout=self.answer_after_s)
                if done:
                    self.record.add(self.name, "asker has gone", "", "before the answer began")
                    return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n")
            self.record.add(self.name, "answers", "", f"events after {last}")
            stream = [writer, last]
            self.streams.append(stream)
            while self.open and not writer.is_closing():
                self.flush(stream)
                await asyncio.sleep(1.0)
                writer.write(b": still here\n\n")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def flush(self, stream):
        for number, data in self.events:
            if number > stream[1]:
                stream[0].write(f"id: {number}\ndata: {data}\n\n".encode())
                stream[1] = number

    def tell(self, number, members, complete=False):
        """Hold an event, and send it on every open stream."""
        event = {"cursor": number, "nodes": {"revision": number, "complete": complete, "members": members}}
        self.events.append((number, json.dumps(event)))
        self.record.add(self.name, "holds event", "", f"{number}: {[(m['id'], m['phase']) for m in members]}")
        for stream in self.streams:
            if not stream[0].is_closing():
                self.flush(stream)

    async def retire(self):
        """The old channel after a new configuration: no new connection, nothing more, closed after 1.5 s."""
        self.server.close()
        await asyncio.sleep(1.5)
        self.open = False
        for stream in self.streams:
            stream[0].close()


class Viewer:
    """A connection of viewers to the front."""

    def __init__(self, record, reader, writer):
        self.record, self.reader, self.writer = record, reader, writer
        self.codec, self.got, self.closed = messages.Reader(), {}, False
        self.task = asyncio.get_running_loop().create_task(self.listen())

    async def listen(self):
        names = {messages.ANSWER: "answer", messages.RELEASE: "release", messages.MOVE: "move"}
        try:
            while data := await self.reader.read(65536):
                for message in self.codec.feed(data):
                    what = names.get(message.kind)
                    if what:
                        cause = message.fields.get(messages.CAUSE, b"")
                        text = (
                            f"cause={cause[0]}"
                            if cause
                            else message.fields.get(messages.DESCRIPTION, b"").decode("latin-1")
                        )
                        at = self.record.add("viewer", f"{what} received", message.session, text)
                        self.got.setdefault(message.session, []).append((at, what, cause[0] if cause else 0))
        except OSError:
            pass
        self.closed = True

    def set_up(
        self, session, product="proof", patience=0, home=0, copies=3, top=4, title="00000000000000aa", **more
    ):
        """Send a set-up; with `at` it names a session that plays already."""
        patience = patience or (4000 if product == "proof" else 3000)
        attributes = {"home": home, "copies": copies, "top": top, "viewer": session} | more
        text = ";".join(f"{name}:{value}" for name, value in attributes.items())
        at = self.record.add("viewer", "set-up sent", session, f"{product} home={home} {more.get('at', '')}")
        self.writer.write(
            messages.encode(
                messages.SET_UP,
                session,
                product=product.encode(),
                patience=str(patience).encode(),
                title=title.encode(),
                attributes=text.encode(),
                description=b"c=IN IP4 127.0.0.1",
            )
        )
        return at

    def release(self, session):
        self.record.add("viewer", "release sent", session)
        self.writer.write(messages.encode(messages.RELEASE, session, cause=b"\x10"))

    async def final(self, session, within=6.0, count=1):
        """The `count`-th final message for a session, as (time, kind, cause); None if it doesn't come."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            if len(self.got.get(session, ())) >= count:
                return self.got[session][count - 1]
            await asyncio.sleep(0.005)
        return None


class Front:
    """One front of the project, as the operators run it."""

    def __init__(self, record, channel, nodes, config, limits=None):
        self.record, self.nodes, self.channel = record, nodes, channel
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.port, self.process, self.log, self.viewers = free_port(), None, None, []
        self.settings, self.limits = config, limits or {"cores": 1.0, "memory_mb": 192, "sockets": 512}

    def write_config(self, channel):
        """Write the configuration; `known` holds what the channel has told up to now."""
        known = [
            {
                "cursor": 1,
                "nodes": {"revision": 1, "complete": True, "members": [n.member() for n in self.nodes]},
            }
        ]
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "channel": f"127.0.0.1:{channel.port}",
            "known": {"cursor": 1, "cmds": known},
            "settings": self.settings,
        }
        new = self.folder / "config.new"
        new.write_text(json.dumps(config), encoding="utf-8")
        new.rename(self.folder / "config.json")

    async def start(self):
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        self.write_config(self.channel)
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        clean = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        named = {
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "RELAY_LISTEN": f"127.0.0.1:{self.port}",
            "RELAY_NAME": "n0",
            "TMPDIR": str(temporary),
        }
        self.log = (self.folder / "log.txt").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env=clean | named,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        self.record.add("front", "started")
        until = time.monotonic() + READY_S
        while time.monotonic() < until and self.process.returncode is None:
            if await self.passes_test():
                self.record.add("front", "test passed")
                return
            await asyncio.sleep(0.02)
        raise CannotRunError(f"the front is not ready: {self.said()[-400:]}")

    async def passes_test(self):
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(messages.encode(messages.HEALTH_CHECK, "00000000000000ff", cause=b"\0"))
                data = await reader.readexactly(15)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return data[2] == messages.HEALTH_REPLY and data[-1] == 1

    async def viewer(self):
        viewer = Viewer(self.record, *await asyncio.open_connection("127.0.0.1", self.port))
        self.viewers.append(viewer)
        return viewer

    def said(self):
        return (self.folder / "log.txt").read_text(encoding="utf-8", errors="replace")

    def send_signal(self, number):
        self.record.add("front", "signal sent", "", signal.Signals(number).name)
        self.process.send_signal(number)

    async def stop(self):
        for viewer in self.viewers:
            viewer.writer.close()
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.log is not None:
            self.log.close()
            for line in self.said().splitlines()[-40:]:
                self.record.add("front", "log", "", line.replace(str(self.folder), "FOLDER"))
        shutil.rmtree(self.folder, ignore_errors=True)


async def play(folder, case):
    """Run a case and write its record; the exit code."""
    record, code, verdict, fronts = Record(folder), NOT_RUN, "", []
    record.add("case", "trouble" if TROUBLE else "no trouble")
    try:
        async with asyncio.timeout(LIMIT_S):
            found = await case(record, fronts)
        code = BROKEN if found else HELD
        verdict = "\n".join(["RULE BROKEN:", *found]) if found else "the rule held"
    except (CannotRunError, TimeoutError, OSError) as err:
        verdict = f"the case could not run: {type(err).__name__}: {err}"
    finally:
        for front in fronts:
            if front.process is not None and front.process.returncode not in (None, 0) and code == HELD:
                code, verdict = BROKEN, f"the front has crashed with {front.process.returncode}"
            await front.stop()
        record.write(verdict)
        rest = asyncio.all_tasks() - {asyncio.current_task()}
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)
        await asyncio.sleep(0.05)  # for the last closes
    print(verdict)
    return code


def main(file, case):
    sys.exit(asyncio.run(play(Path(file).resolve().parent, case)))
