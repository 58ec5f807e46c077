"""The daemon's own process: holds the listening sockets, starts workers, answers on its control socket.

It holds no play and decides nothing about one; what it does about workers is decided by `decide`.
"""

import asyncio
import contextlib
import fcntl
import os
import signal
import socket
import subprocess
import sys
import time
from collections import deque

import msgspec

from curlewhall.errors import CurlewhallError
from curlewhall.settings import SettingsError, front_pb2, load
from curlewhall.wire.server import listen
from curlewhall.wire.timers import Timers

from .channel import Channel, pair
from .control import CONTROL, PID, folder_of
from .decide import SECOND, Supervisor
from .notify import Notify

WAITING = 1000  # connections that wait for one worker at most; as many descriptors
SAID = 40  # bytes of a request on the control socket: a word and a newline


class FolderInUseError(CurlewhallError):
    """Another daemon runs with this folder."""

    remedy = (
        "Stop the daemon that has the folder, or name another one in daemon.folder; its " "mode must be 700."
    )


def now() -> int:
    return int(time.monotonic() * SECOND)


NO = (
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\ncontent-length: 0\r\n"
    b"connection: close\r\n\r\n"
)


def turn_away(sock: socket.socket) -> None:
    """Say no to those who wait in a listening socket while no worker is there to do it."""
    with contextlib.suppress(OSError):
        while True:
            line, _ = sock.accept()
            line.setblocking(False)
            with line, contextlib.suppress(OSError):
                line.recv(1 << 16)  # what is unread when it closes resets it
                line.send(NO)


class Process:
    """A worker's process and the channel to it."""

    def __init__(self, number: int, slot: int, popen: subprocess.Popen) -> None:
        self.number, self.slot, self.popen = number, slot, popen
        self.channel = None
        self.pidfd = os.pidfd_open(popen.pid)
        self.ponged = now()
        self.state: dict = {}


class Daemon:
    """Runs until it is told to stop. `OSError` and `FolderInUseError` from `open` say why it can't start."""

    def __init__(self, path: str, file: front_pb2.FrontFile, log, policy: str = "", mover: str = "") -> None:
        self.path, self.file, self.log = path, file, log
        self.named = [policy, mover] if mover else [policy] if policy else []
        self.loop = asyncio.get_running_loop()
        self.timers, self.notify = Timers(self.loop), Notify()
        self.count = file.daemon.workers or 1
        self.supervisor = Supervisor(self.count)
        self.processes: dict[int, Process] = {}
        self.sockets: list[socket.socket] = []
        self.folder, self.lock, self.control, self.page = folder_of(file), None, None, None
        self.waiting: dict[str, list[asyncio.Future]] = {}
        self.said: deque[str] = deque(maxlen=20)
        self.drained: set[str] = set()  # nodes that an operator drained at one worker of several
        self.held: dict[int, list[tuple[bytes, int]]] = {}  # connections that wait for a worker
        self.over = self.loop.create_future()
        self.began, self.asks = time.time(), 0

    # ---- sockets and files

    def open(self) -> None:
        """The folder, the lock, the control socket and the viewers' socket; all or nothing."""
        self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        if os.stat(self.folder).st_uid != os.getuid() or os.stat(self.folder).st_mode & 0o077:
            raise FolderInUseError(
                f"{self.folder}: expected a folder that only its owner can enter (mode 700)"
            )
        self.lock = os.open(self.folder / PID, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            other = os.read(self.lock, 20).decode().strip()
            os.close(self.lock)
            self.lock = None
            raise FolderInUseError(f"{self.folder}: a daemon runs there already, process {other}") from None
        os.ftruncate(self.lock, 0)
        os.pwrite(self.lock, f"{os.getpid()}\n".encode(), 0)
        where = self.file.listen
        each = self.file.daemon.reuse_port
        self.sockets = [
            listen(where.address, where.port, share=each) for _ in range(self.count if each else 1)
        ]
        if self.file.HasField("console"):
            self.page = listen(self.file.console.address, self.file.console.port)
        path = self.folder / CONTROL
        path.unlink(missing_ok=True)
        self.control = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        old = os.umask(0o177)
        try:
            self.control.bind(str(path))
        finally:
            os.umask(old)
        self.control.listen(8)
        self.control.setblocking(False)

    def close(self) -> None:
        for sock in filter(None, [*self.sockets, self.page, self.control]):
            sock.close()
        if self.lock is not None:
            (self.folder / CONTROL).unlink(missing_ok=True)
            os.ftruncate(self.lock, 0)
            os.close(self.lock)

    # ---- what is decided

    def carry(self, answers) -> None:
        for verb, *facts in answers:
            getattr(self, f"carry_{verb}")(*facts)

    def carry_start(self, slot: int, number: int, successor: bool) -> None:
        mine, its = pair()
        environ = {
            name: value
            for name, value in os.environ.items()
            if name not in ("NOTIFY_SOCKET", "WATCHDOG_USEC", "WATCHDOG_PID")
        }
        call = [
            sys.executable,
            "-m",
            "curlewhall.daemon.worker",
            str(its.fileno()),
            self.path,
            str(slot),
            str(self.count),
            *self.named,
        ]
        popen = subprocess.Popen(
            call, pass_fds=[its.fileno()], env=environ, stdin=subprocess.DEVNULL, start_new_session=True
        )
        its.close()
        process = self.processes[number] = Process(number, slot, popen)
        process.channel = Channel(
            self.loop, mine, lambda kind, facts, fds: self.heard(process, kind, facts, fds), lambda: None
        )
        self.loop.add_reader(process.pidfd, self.ended, process)
        # the console of several workers is the first one's
        given = [self.sockets[slot % len(self.sockets)], *([self.page] if self.page and not slot else [])]
        process.channel.send("listen", fds=tuple(os.dup(sock.fileno()) for sock in given))
        process.channel.send("prepare" if successor else "begin")
        self.log.info("worker started", slot=slot, worker=number, pid=popen.pid, successor=successor)

    def carry_hand(self, slot: int, old: int, new: int) -> None:
        if not old:
            self.processes[new].channel.send("begin")
            return
        gives, takes = pair()
        self.processes[new].channel.send("take", fds=(takes.detach(),))
        self.processes[old].channel.send("give", fds=(gives.detach(),))

    def carry_stop(self, number: int) -> None:
        self.processes[number].channel.send("stop")

    def carry_hurry(self, number: int) -> None:
        self.processes[number].channel.send("hurry")

    def carry_kill(self, number: int) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.processes[number].popen.kill()

    def carry_done(self, what: str, ok: bool, text: str) -> None:
        self.log.info("done", what=what, ok=ok, text=text)
        self.said.append(f"{what}: {text}")
        for future in self.waiting.pop(what, ()):
            if not future.done():
                future.set_result((ok, text))
        if what != "stop":
            self.notify.say("READY=1", f"STATUS={what}: {text}"[:200])

    def carry_refused(self, what: str, text: str) -> None:
        """Danger: whoever asked first must not be told that his wish is refused, nor miss how it ends."""
        self.log.info("refused", what=what, text=text)
        self.waiting[what].pop().set_result((False, text))

    def carry_say(self, text: str) -> None:
        self.log.warning("worker", text=text)
        self.said.append(text)
        self.notify.say(f"STATUS={text}"[:200])

    def carry_wake(self, span: int) -> None:
        self.timers.after(span / SECOND, lambda: self.carry(self.supervisor.wake(now())))

    def carry_end(self) -> None:
        if not self.over.done():
            self.over.set_result(None)

    # ---- what workers say

    def heard(self, process: Process, kind: str, facts: list, fds: list[int]) -> None:
        if kind == "line":
            self.line(facts[0], facts[1], fds[0])
        elif kind == "spread":
            self.spread(process, facts)
        elif kind == "prepared":
            self.carry(self.supervisor.prepared(now(), process.number))
        elif kind == "ready":
            self.carry(self.supervisor.ready(now(), process.number))
            for node in self.drained:
                process.channel.send("drain", node, False)  # it may have been started anew
            for line in self.held.pop(process.slot, ()):
                self.line(process.slot, *line)
            if all(row["state"] == "serving" for row in self.supervisor.state()):
                self.notify.say("READY=1", f"MAINPID={os.getpid()}", f"STATUS={self.count} serving")
                self.log.info("ready", workers=self.count)
        elif kind == "pong":
            process.ponged = now()
        elif kind == "state":
            process.state = facts[1]

    def spread(self, process: Process, facts: list) -> None:
        """What an operator told one worker, the others are told."""
        if facts[0] == "drain":
            (self.drained.discard if facts[2] else self.drained.add)(facts[1])
        for other in self.processes.values():
            if other is not process:
                other.channel.send(*facts)

    def line(self, slot: int, data: bytes, number: int) -> None:
        """A connection on its way from one worker to another; it waits for one that is about to start."""
        to = self.supervisor.place(slot)
        waiting = self.held.setdefault(slot, [])
        if to > 0 and to in self.processes:
            channel, spare = self.processes[to].channel, os.dup(number)
            channel.send("line", data, fds=(number,))
            if not channel.closed:
                os.close(spare)
                return
            # it has just died, and its end is not known yet: what was not delivered waits for the next one
            to, number = -1, spare
        if to < 0 and len(waiting) < WAITING:
            waiting.append((data, number))
        else:
            os.close(number)

    def ended(self, process: Process) -> None:
        self.loop.remove_reader(process.pidfd)
        os.close(process.pidfd)
        code = process.popen.wait()
        process.channel.close()
        self.processes.pop(process.number, None)
        why = f"signal {-code}" if code < 0 else f"code {code}"
        self.log.info("worker ended", worker=process.number, why=why)
        self.carry(self.supervisor.exited(now(), process.number, why))

    # ---- the control socket

    async def serve_control(self) -> None:
        while True:
            sock, _ = await self.loop.sock_accept(self.control)
            self.loop.create_task(self.answer(sock))

    async def answer(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        try:
            async with asyncio.timeout(5):
                said = b""
                while not said.endswith(b"\n") and len(said) < SAID:
                    piece = await self.loop.sock_recv(sock, SAID)
                    if not piece:
                        break
                    said += piece
            reply = await self.do(said.decode("latin-1").strip())
            await self.loop.sock_sendall(sock, msgspec.json.encode(reply) + b"\n")
        except (OSError, TimeoutError):
            pass
        finally:
            sock.close()

    async def do(self, what: str) -> dict:
        if what == "status":
            return await self.status()
        if what not in ("restart", "reload", "stop"):
            return {"ok": False, "text": f"expected status, restart, reload or stop, found {what[:20]!r}"}
        if what != "stop":
            wrong = self.wrong_file()
            if wrong:
                return {"ok": False, "text": wrong}
            self.notify.say("RELOADING=1", f"MONOTONIC_USEC={time.monotonic_ns() // 1000}")
        return await self.asked(what)

    async def reload(self) -> None:
        """As by the control socket; whoever sent the signal reads the outcome in the log."""
        reply = await self.do("reload")
        self.log.info("reload by signal", **reply)

    async def asked(self, what: str) -> dict:
        future = self.loop.create_future()
        self.waiting.setdefault(what, []).append(future)
        if what == "stop":
            self.notify.say("STOPPING=1")
            # Danger: who waits in a listening socket when its last holder closes it is reset, unanswered. The
            # workers hold it to the end and take in who waits; so it must not outlive them here.
            serving = any(row["state"] == "serving" for row in self.supervisor.state())
            for sock in self.sockets:
                if not serving:
                    turn_away(sock)
                sock.close()
        self.carry(self.supervisor.asked(now(), what))
        ok, text = await future
        return {"ok": ok, "text": text}

    def wrong_file(self) -> str:
        """Why the file as it is now can't be handed over to; a wrong file changes nothing."""
        try:
            file = load(self.path)
        except (SettingsError, OSError) as err:
            return f"nothing was changed: {err}"
        same = [
            ("listen.address", file.listen.address, self.file.listen.address),
            ("listen.port", file.listen.port, self.file.listen.port),
            ("console.address", file.console.address, self.file.console.address),
            ("console.port", file.console.port, self.file.console.port),
            ("daemon.reuse_port", file.daemon.reuse_port, self.file.daemon.reuse_port),
            ("daemon.workers", file.daemon.workers or 1, self.count),
            ("daemon.folder", str(folder_of(file)), str(self.folder)),
            ("state.folder", file.state.folder, self.file.state.folder),
            ("identity.name", file.identity.name, self.file.identity.name),
        ]
        changed = [f"{name} (is {old!r}, would be {new!r})" for name, new, old in same if new != old]
        if changed:
            return f"nothing was changed: only a stop and a start can change {', '.join(changed)}"
        return ""

    async def status(self) -> dict:
        self.asks += 1
        for process in self.processes.values():
            process.state = {}
            process.channel.send("state", self.asks)
        until = self.loop.time() + 1.0  # a worker that says nothing for a second is told as silent
        while self.loop.time() < until and not all(p.state for p in self.processes.values()):
            await asyncio.sleep(0.01)
        rows = self.supervisor.state()
        for row in rows:
            process = self.processes.get(row["worker"])
            row["pid"] = process.popen.pid if process else 0
            row |= process.state if process and process.state else {"silent": process is not None}
        return {
            "ok": True,
            "pid": os.getpid(),
            "since": int(self.began),
            "front": self.file.identity.name,
            "address": f"{self.file.listen.address}:{self.file.listen.port}",
            "workers": rows,
            "said": list(self.said),
        }

    # ---- the service manager

    def watchdog(self) -> None:
        """Danger: a daemon that runs is not a front that serves. Its word depends on its workers' word."""
        span = self.notify.watchdog / 2
        serving = [
            p
            for p in self.processes.values()
            if p.number in self.supervisor.workers and self.supervisor.workers[p.number].state == "serving"
        ]
        if serving and all(now() - p.ponged < 4 * span * SECOND for p in serving):
            self.notify.say("WATCHDOG=1")
        for process in self.processes.values():
            process.channel.send("ping", 0)
        self.timers.after(span, self.watchdog)

    async def run(self) -> None:
        self.open()
        try:
            for number in (signal.SIGTERM, signal.SIGINT):
                self.loop.add_signal_handler(number, lambda: self.loop.create_task(self.asked("stop")))
            # Danger: its default action ends a daemon whose terminal hangs up, and every play with it.
            self.loop.add_signal_handler(signal.SIGHUP, lambda: self.loop.create_task(self.reload()))
            control = self.loop.create_task(self.serve_control())
            self.carry(self.supervisor.begin(now()))
            if self.notify.watchdog:
                self.watchdog()
            await self.over
            await asyncio.sleep(0.05)  # whoever asked for the stop is answered
            control.cancel()
        finally:
            for process in self.processes.values():
                process.popen.kill()
            self.close()
