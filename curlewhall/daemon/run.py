"""The daemon's own process: holds the listening sockets, starts workers, answers on its control socket.

It handles no play. `decide.Supervisor` decides what is done about workers; `Daemon` executes its actions.
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
from .control import CONTROL_SOCKET, PID_FILE, folder_of
from .decide import TICKS_PER_SECOND, Supervisor
from .notify import Notify

MAX_WAITING_CONNECTIONS = 1000  # per slot, while its worker starts; each holds a descriptor
MAX_COMMAND_BYTES = 40  # a command on the control socket and its newline


class FolderInUseError(CurlewhallError):
    """The daemon folder belongs to another daemon or can be entered by others."""

    remedy = (
        "Stop the daemon that uses the folder, or set daemon.folder to another one; its mode must be 700."
    )


def now_ticks() -> int:
    """The monotonic clock in ticks of 0.1 ms."""
    return int(time.monotonic() * TICKS_PER_SECOND)


UNAVAILABLE_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\ncontent-length: 0\r\n"
    b"connection: close\r\n\r\n"
)


def refuse_queued_connections(sock: socket.socket) -> None:
    """Answer 503 to the connections in a listening socket's queue when no worker can do it."""
    with contextlib.suppress(OSError):
        while True:
            connection, _ = sock.accept()
            connection.setblocking(False)
            with connection, contextlib.suppress(OSError):
                connection.recv(1 << 16)  # closing with unread bytes would reset the connection
                connection.send(UNAVAILABLE_RESPONSE)


class WorkerProcess:
    """A worker's process and the channel to it."""

    def __init__(self, number: int, slot: int, popen: subprocess.Popen) -> None:
        self.number = number
        self.slot = slot
        self.popen = popen
        self.channel = None
        self.pidfd = os.pidfd_open(popen.pid)
        self.last_pong_at = now_ticks()
        self.status: dict = {}  # the last answer to "state"


class Daemon:
    """Runs workers until it is stopped. `open` raises `OSError` or `FolderInUseError` if it can't start.

    `policy` and `mover` are MODULE:CLASS names that are passed on to the workers.
    """

    def __init__(self, path: str, file: front_pb2.FrontFile, log, policy: str = "", mover: str = "") -> None:
        self.path = path
        self.file = file
        self.log = log
        self.class_names = [policy, mover] if mover else [policy] if policy else []
        self.loop = asyncio.get_running_loop()
        self.timers = Timers(self.loop)
        self.notify = Notify()
        self.worker_count = file.daemon.workers or 1
        self.supervisor = Supervisor(self.worker_count)
        self.processes: dict[int, WorkerProcess] = {}  # by worker number
        self.sockets: list[socket.socket] = []  # for viewers: one, or one per slot with daemon.reuse_port
        self.folder = folder_of(file)
        self.lock = None  # descriptor of the locked pid file
        self.control = None  # listening control socket
        self.console_socket = None
        self.pending_commands: dict[str, list[asyncio.Future]] = {}
        self.messages: deque[str] = deque(maxlen=20)  # shown by `curlewhall status`
        self.drained_nodes: set[str] = set()  # drained by an operator at one worker of several
        self.waiting_connections: dict[int, list[tuple[bytes, int]]] = {}  # by slot: first bytes, descriptor
        self.finished = self.loop.create_future()
        self.started_at = time.time()
        self.status_requests = 0

    # ---- sockets and files

    def open(self) -> None:
        """Create the folder, take its lock, and open the listening sockets and the control socket."""
        self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        if os.stat(self.folder).st_uid != os.getuid() or os.stat(self.folder).st_mode & 0o077:
            raise FolderInUseError(
                f"{self.folder}: expected a folder that only its owner can enter (mode 700)"
            )
        self.lock = os.open(self.folder / PID_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            other_pid = os.read(self.lock, 20).decode().strip()
            os.close(self.lock)
            self.lock = None
            raise FolderInUseError(
                f"{self.folder}: a daemon runs there already, process {other_pid}"
            ) from None
        os.ftruncate(self.lock, 0)
        os.pwrite(self.lock, f"{os.getpid()}\n".encode(), 0)
        listener = self.file.listen
        reuse_port = self.file.daemon.reuse_port
        self.sockets = [
            listen(listener.address, listener.port, share=reuse_port)
            for _ in range(self.worker_count if reuse_port else 1)
        ]
        if self.file.HasField("console"):
            self.console_socket = listen(self.file.console.address, self.file.console.port)
        path = self.folder / CONTROL_SOCKET
        path.unlink(missing_ok=True)
        self.control = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        old_umask = os.umask(0o177)
        try:
            self.control.bind(str(path))
        finally:
            os.umask(old_umask)
        self.control.listen(8)
        self.control.setblocking(False)

    def close(self) -> None:
        """Close the sockets, empty the pid file and release its lock."""
        for sock in filter(None, [*self.sockets, self.console_socket, self.control]):
            sock.close()
        if self.lock is not None:
            (self.folder / CONTROL_SOCKET).unlink(missing_ok=True)
            os.ftruncate(self.lock, 0)
            os.close(self.lock)

    # ---- actions of the supervisor

    def execute(self, actions) -> None:
        """Execute the supervisor's actions in their order."""
        for verb, *values in actions:
            getattr(self, f"execute_{verb}")(*values)

    def execute_start(self, slot: int, number: int, successor: bool) -> None:
        own_end, worker_end = pair()
        environ = {
            name: value
            for name, value in os.environ.items()
            if name not in ("NOTIFY_SOCKET", "WATCHDOG_USEC", "WATCHDOG_PID")
        }
        command = [
            sys.executable,
            "-m",
            "curlewhall.daemon.worker",
            str(worker_end.fileno()),
            self.path,
            str(slot),
            str(self.worker_count),
            *self.class_names,
        ]
        popen = subprocess.Popen(
            command,
            pass_fds=[worker_end.fileno()],
            env=environ,
            stdin=subprocess.DEVNULL,
            start_new_session=True,
        )
        worker_end.close()
        process = self.processes[number] = WorkerProcess(number, slot, popen)
        process.channel = Channel(
            self.loop,
            own_end,
            lambda kind, values, fds: self.message_received(process, kind, values, fds),
            lambda: None,
        )
        self.loop.add_reader(process.pidfd, self.process_ended, process)
        # only the worker of slot 0 serves the console
        inherited = [
            self.sockets[slot % len(self.sockets)],
            *([self.console_socket] if self.console_socket and not slot else []),
        ]
        process.channel.send("listen", fds=tuple(os.dup(sock.fileno()) for sock in inherited))
        process.channel.send("prepare" if successor else "begin")
        self.log.info("worker started", slot=slot, worker=number, pid=popen.pid, successor=successor)

    def execute_hand(self, slot: int, old: int, new: int) -> None:
        if not old:
            self.processes[new].channel.send("begin")
            return
        old_end, new_end = pair()
        self.processes[new].channel.send("take", fds=(new_end.detach(),))
        self.processes[old].channel.send("give", fds=(old_end.detach(),))

    def execute_stop(self, number: int) -> None:
        self.processes[number].channel.send("stop")

    def execute_hurry(self, number: int) -> None:
        self.processes[number].channel.send("hurry")

    def execute_kill(self, number: int) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.processes[number].popen.kill()

    def execute_done(self, what: str, ok: bool, text: str) -> None:
        self.log.info("command finished", what=what, ok=ok, text=text)
        self.messages.append(f"{what}: {text}")
        for future in self.pending_commands.pop(what, ()):
            if not future.done():
                future.set_result((ok, text))
        if what != "stop":
            self.notify.send("READY=1", f"STATUS={what}: {text}"[:200])

    def execute_refused(self, what: str, text: str) -> None:
        """Refuse the last request of this kind; an earlier one that is in progress keeps its future."""
        self.log.info("command refused", what=what, text=text)
        self.pending_commands[what].pop().set_result((False, text))

    def execute_say(self, text: str) -> None:
        """Report a problem in the log, in `status` and to the service manager."""
        self.log.warning("worker problem", text=text)
        self.messages.append(text)
        self.notify.send(f"STATUS={text}"[:200])

    def execute_wake(self, span: int) -> None:
        self.timers.after(
            span / TICKS_PER_SECOND, lambda: self.execute(self.supervisor.deadline_reached(now_ticks()))
        )

    def execute_end(self) -> None:
        if not self.finished.done():
            self.finished.set_result(None)

    # ---- messages of the workers

    def message_received(self, process: WorkerProcess, kind: str, values: list, fds: list[int]) -> None:
        if kind == "line":
            self.route_connection(values[0], values[1], fds[0])
        elif kind == "spread":
            self.broadcast(process, values)
        elif kind == "prepared":
            self.execute(self.supervisor.worker_prepared(now_ticks(), process.number))
        elif kind == "ready":
            self.execute(self.supervisor.worker_ready(now_ticks(), process.number))
            for node in self.drained_nodes:
                process.channel.send("drain", node, False)  # a restarted worker does not know of the drain
            for connection in self.waiting_connections.pop(process.slot, ()):
                self.route_connection(process.slot, *connection)
            if all(row["state"] == "serving" for row in self.supervisor.status()):
                self.notify.send("READY=1", f"MAINPID={os.getpid()}", f"STATUS={self.worker_count} serving")
                self.log.info("ready", workers=self.worker_count)
        elif kind == "pong":
            process.last_pong_at = now_ticks()
        elif kind == "state":
            process.status = values[1]

    def broadcast(self, process: WorkerProcess, values: list) -> None:
        """Pass an operator's command to one worker on to the other workers."""
        if values[0] == "drain":
            (self.drained_nodes.discard if values[2] else self.drained_nodes.add)(values[1])
        for other in self.processes.values():
            if other is not process:
                other.channel.send(*values)

    def route_connection(self, slot: int, data: bytes, descriptor: int) -> None:
        """Pass a viewer connection to the worker of a slot, or keep it until that worker is ready.

        `data` are the bytes that were read from it already.
        """
        to = self.supervisor.worker_for_connection(slot)
        waiting = self.waiting_connections.setdefault(slot, [])
        if to > 0 and to in self.processes:
            channel, spare = self.processes[to].channel, os.dup(descriptor)
            channel.send("line", data, fds=(descriptor,))
            if not channel.closed:
                os.close(spare)
                return
            # the worker has just ended and the supervisor does not know yet: keep it for the next worker
            to, descriptor = -1, spare
        if to < 0 and len(waiting) < MAX_WAITING_CONNECTIONS:
            waiting.append((data, descriptor))
        else:
            os.close(descriptor)

    def process_ended(self, process: WorkerProcess) -> None:
        """Reap a worker's process and report its end to the supervisor."""
        self.loop.remove_reader(process.pidfd)
        os.close(process.pidfd)
        code = process.popen.wait()
        process.channel.close()
        self.processes.pop(process.number, None)
        why = f"signal {-code}" if code < 0 else f"code {code}"
        self.log.info("worker ended", worker=process.number, why=why)
        self.execute(self.supervisor.worker_exited(now_ticks(), process.number, why))

    # ---- the control socket

    async def serve_control(self) -> None:
        """Accept connections on the control socket."""
        while True:
            sock, _ = await self.loop.sock_accept(self.control)
            self.loop.create_task(self.answer_command(sock))

    async def answer_command(self, sock: socket.socket) -> None:
        """Read a command and send its reply as JSON."""
        sock.setblocking(False)
        try:
            async with asyncio.timeout(5):
                command = b""
                while not command.endswith(b"\n") and len(command) < MAX_COMMAND_BYTES:
                    chunk = await self.loop.sock_recv(sock, MAX_COMMAND_BYTES)
                    if not chunk:
                        break
                    command += chunk
            reply = await self.run_command(command.decode("latin-1").strip())
            await self.loop.sock_sendall(sock, msgspec.json.encode(reply) + b"\n")
        except (OSError, TimeoutError):
            pass
        finally:
            sock.close()

    async def run_command(self, what: str) -> dict:
        """Execute a command of the control socket; the reply, once the command has ended."""
        if what == "status":
            return await self.status()
        if what not in ("restart", "reload", "stop"):
            return {"ok": False, "text": f"expected status, restart, reload or stop, found {what[:20]!r}"}
        if what != "stop":
            problem = self.settings_problem()
            if problem:
                return {"ok": False, "text": problem}
            self.notify.send("RELOADING=1", f"MONOTONIC_USEC={time.monotonic_ns() // 1000}")
        return await self.request(what)

    async def reload(self) -> None:
        """Reload after SIGHUP; the outcome goes to the log."""
        reply = await self.run_command("reload")
        self.log.info("reload by signal", **reply)

    async def request(self, what: str) -> dict:
        """Pass a restart, reload or stop to the supervisor and wait for its end."""
        future = self.loop.create_future()
        self.pending_commands.setdefault(what, []).append(future)
        if what == "stop":
            self.notify.send("STOPPING=1")
            # Connections in a listening socket's queue are reset, unanswered, when its last holder closes it.
            # Workers accept the queued connections before they close the socket, so the daemon must close its
            # copy first; with no serving worker it refuses them itself.
            serving = any(row["state"] == "serving" for row in self.supervisor.status())
            for sock in self.sockets:
                if not serving:
                    refuse_queued_connections(sock)
                sock.close()
        self.execute(self.supervisor.command_requested(now_ticks(), what))
        ok, text = await future
        return {"ok": ok, "text": text}

    def settings_problem(self) -> str:
        """Why the settings file can't be applied by a hand-over; empty: it can."""
        try:
            file = load(self.path)
        except (SettingsError, OSError) as err:
            return f"nothing was changed: {err}"
        fixed = [
            ("listen.address", file.listen.address, self.file.listen.address),
            ("listen.port", file.listen.port, self.file.listen.port),
            ("console.address", file.console.address, self.file.console.address),
            ("console.port", file.console.port, self.file.console.port),
            ("daemon.reuse_port", file.daemon.reuse_port, self.file.daemon.reuse_port),
            ("daemon.workers", file.daemon.workers or 1, self.worker_count),
            ("daemon.folder", str(folder_of(file)), str(self.folder)),
            ("state.folder", file.state.folder, self.file.state.folder),
            ("identity.name", file.identity.name, self.file.identity.name),
        ]
        changed = [f"{name} (is {old!r}, would be {new!r})" for name, new, old in fixed if new != old]
        if changed:
            return f"nothing was changed: only a stop and a start can change {', '.join(changed)}"
        return ""

    async def status(self) -> dict:
        """The reply to `status`; waits up to a second for the workers' figures."""
        self.status_requests += 1
        for process in self.processes.values():
            process.status = {}
            process.channel.send("state", self.status_requests)
        until = self.loop.time() + 1.0  # a worker without an answer by then is shown as silent
        while self.loop.time() < until and not all(p.status for p in self.processes.values()):
            await asyncio.sleep(0.01)
        rows = self.supervisor.status()
        for row in rows:
            process = self.processes.get(row["worker"])
            row["pid"] = process.popen.pid if process else 0
            row |= process.status if process and process.status else {"silent": process is not None}
        return {
            "ok": True,
            "pid": os.getpid(),
            "since": int(self.started_at),
            "front": self.file.identity.name,
            "address": f"{self.file.listen.address}:{self.file.listen.port}",
            "workers": rows,
            "said": list(self.messages),
        }

    # ---- the service manager

    def watchdog(self) -> None:
        """Notify the watchdog while every serving worker answers pings.

        The daemon alone running says nothing about the fronts, so the notification depends on the workers.
        """
        interval = self.notify.watchdog / 2
        serving = [
            p
            for p in self.processes.values()
            if p.number in self.supervisor.workers and self.supervisor.workers[p.number].state == "serving"
        ]
        if serving and all(now_ticks() - p.last_pong_at < 4 * interval * TICKS_PER_SECOND for p in serving):
            self.notify.send("WATCHDOG=1")
        for process in self.processes.values():
            process.channel.send("ping", 0)
        self.timers.after(interval, self.watchdog)

    async def run(self) -> None:
        """Run until stopped by the control socket or by SIGTERM or SIGINT."""
        self.open()
        try:
            for number in (signal.SIGTERM, signal.SIGINT):
                self.loop.add_signal_handler(number, lambda: self.loop.create_task(self.request("stop")))
            # the default action of SIGHUP would end the daemon and its plays when its terminal closes
            self.loop.add_signal_handler(signal.SIGHUP, lambda: self.loop.create_task(self.reload()))
            control = self.loop.create_task(self.serve_control())
            self.execute(self.supervisor.start_all(now_ticks()))
            if self.notify.watchdog:
                self.watchdog()
            await self.finished
            await asyncio.sleep(0.05)  # the reply to the stop command is sent
            control.cancel()
        finally:
            for process in self.processes.values():
                process.popen.kill()
            self.close()
