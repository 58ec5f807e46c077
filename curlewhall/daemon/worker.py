"""A worker process of a daemon: one front, controlled over a channel on an inherited descriptor.

    python -m curlewhall.daemon.worker DESCRIPTOR FILE SLOT WORKERS [POLICY [MOVER]]

The daemon sends `listen` (with the listening sockets), `prepare` (to a successor), `begin` (serve), `give`
and `take` (each with one end of a hand-over channel), `stop`, `hurry`, `ping`, `state`, `line` (a viewer
connection), and `drain` and `confirm` (commands that an operator sent to another worker). The worker sends
`prepared`, `ready`, `back` (the successor failed), `pong`, `state`, `line` (a viewer connection for another
slot) and `spread` (a command for the other workers).
"""

import asyncio
import os
import socket
import sys

import uvloop

from curlewhall import logs
from curlewhall.errors import describe
from curlewhall.front.collector import tune_garbage_collector
from curlewhall.front.serve import FrontProcess, load_class, raise_descriptor_limit
from curlewhall.recovery.form import NewerFormatError
from curlewhall.recovery.store import StoreLockedError
from curlewhall.settings import SettingsError, front_pb2, load

from .channel import Channel
from .decide import slot_for_request
from .handover import IncomingHandover, OutgoingHandover


def settings_of_slot(file: front_pb2.FrontFile, slot: int, workers: int) -> front_pb2.FrontFile:
    """The settings of one worker. Each of several workers is a front with its own name, index and state."""
    if workers > 1:
        name = file.identity.name
        file.identity.name = f"{name}-w{slot}"
        file.identity.index = file.identity.index * workers + slot
        file.identity.fronts *= workers
        if file.identity.seed:
            file.identity.seed = (file.identity.seed + 7919 * slot) % 2**32
        if file.state.folder:
            file.state.folder = os.path.join(file.state.folder, f"w{slot}")
        if file.list_service.kept_file:
            file.list_service.kept_file += f".w{slot}"
        if slot:
            file.listen.peer_port = 0
            del file.peer[:]
    return file


class Worker:
    """Runs one front until the daemon stops it, hands it over or ends."""

    def __init__(self, daemon: int, slot: int, workers: int, file, log, policy_class, mover_class) -> None:
        self.file = file
        self.log = log
        self.policy_class = policy_class
        self.mover_class = mover_class
        self.loop = asyncio.get_running_loop()
        self.finished = self.loop.create_future()
        self.front = None
        self.outgoing = None  # hand-over to the successor
        self.incoming = None  # hand-over from the predecessor
        self.viewer_socket = None
        self.console_socket = None
        self.stopping = False
        self.slot = slot
        self.workers = workers
        self.daemon = Channel(
            self.loop, socket.socket(fileno=daemon), self.message_received, self.daemon_ended
        )

    def message_received(self, kind: str, values: list, fds: list[int]) -> None:
        """Call `handle_{kind}` for a message of the daemon."""
        getattr(self, f"handle_{kind}")(*values, *fds)

    def daemon_ended(self) -> None:
        """Stop: nobody supervises this front without its daemon, and the next daemon needs its port."""
        self.log.warning("the daemon ended; stopping")
        self.handle_stop()

    def handle_listen(self, viewers: int, console: int | None = None) -> None:
        """Take the descriptors of the listening sockets."""
        self.viewer_socket, self.console_socket = socket.socket(fileno=viewers), None
        self.viewer_socket.setblocking(False)
        if console is not None:
            self.console_socket = socket.socket(fileno=console)
            self.console_socket.setblocking(False)

    def handle_prepare(self) -> None:
        """Answer as a successor: its settings are valid, otherwise it would have exited before."""
        self.daemon.send("prepared")

    def handle_begin(self) -> None:
        self.start_front(None)

    def start_front(self, incoming) -> None:
        """Start the front, with what the predecessor handed over if `incoming` is not None."""
        try:
            self.front = FrontProcess(self.file, self.log, self.policy_class, self.mover_class, incoming)
        except (OSError, StoreLockedError, NewerFormatError, ValueError) as err:
            self.fail(describe(err))
            return
        self.loop.create_task(self.serve(incoming))

    async def serve(self, incoming) -> None:
        """Open the front's sockets and report `ready` once it can answer viewers."""
        try:
            await self.front.start(self.viewer_socket, self.console_socket and self.console_socket.dup())
        except OSError as err:
            self.fail(describe(err))
            return
        if self.workers > 1:
            self.front.server.route = self.route
            self.front.follower.broadcast = lambda *values: self.daemon.send("spread", *values)
        if incoming is not None:
            incoming.announce_serving()
        await self.front.ready.wait()
        self.daemon.send("ready")
        tune_garbage_collector()

    def route(self, messages):
        """Where to send a connection whose viewer belongs to another worker; None: answer it here.

        While stopping it is answered here: all workers of a daemon stop together, so the other one may have
        ended when the connection arrives, and the viewer would get no answer (rule 1).
        """
        if self.stopping:
            return None
        slots = {slot_for_request(message.target, self.workers) for message in messages}
        slot = slots.pop() if len(slots) == 1 else None
        if slot is None or slot == self.slot:
            return None
        return lambda sock, data: self.send_connection(slot, sock, data)

    def send_connection(self, slot: int, sock: socket.socket, data: bytes) -> None:
        """Pass a viewer connection and the bytes read from it to the worker of another slot."""
        descriptor = os.dup(sock.fileno())
        self.loop.call_soon(sock.close)
        self.daemon.send("line", slot, data, fds=(descriptor,))

    def handle_drain(self, node: str, back: bool) -> None:
        """Drain a node, or end its drain: an operator told another worker to."""
        if self.front is not None:
            self.front.follower.drain_node(node, back, broadcast=False)

    def handle_confirm(self, digest: str) -> None:
        """Confirm an inventory change: an operator confirmed it at another worker."""
        if self.front is not None and self.front.follower.watcher is not None:
            why = self.front.follower.watcher.confirm(digest)
            if why:
                self.log.warning("inventory change not confirmed", why=why)

    def handle_line(self, data: bytes, descriptor: int) -> None:
        """Serve a viewer connection that another worker passed on."""
        self.front.server.adopt_descriptor(descriptor, data, routed=True)

    def fail(self, why: str) -> None:
        """End the process with an error."""
        self.log.error("can't start", why=why)
        if not self.finished.done():
            self.finished.set_exception(RuntimeError(why))

    def handle_take(self, descriptor: int) -> None:
        """Take over from the predecessor over the given channel."""
        self.incoming = IncomingHandover(
            self.loop, socket.socket(fileno=descriptor), self.start_front, self.fail
        )

    def handle_give(self, descriptor: int) -> None:
        """Hand over to the successor over the given channel."""
        self.outgoing = OutgoingHandover(
            self.front, socket.socket(fileno=descriptor), self.handover_failed, self.handover_finished
        )

    def handover_failed(self) -> None:
        """The successor failed: continue to serve."""
        self.outgoing = None
        if self.console_socket is not None:
            self.front.open_console(self.console_socket.dup())
        self.log.warning("the successor failed; continuing to serve")
        self.daemon.send("back")
        if self.stopping:
            self.stopping = False
            self.handle_stop()

    def handover_finished(self) -> None:
        """Nothing is left to do after a hand-over: exit."""
        self.log.info("hand-over finished")
        self.front.close()
        self.outgoing.channel.close()
        self.finish()

    def finish(self) -> None:
        """End the process with success."""
        if not self.finished.done():
            self.finished.set_result(None)

    def handle_stop(self) -> None:
        """Answer accepted requests, then exit."""
        if self.stopping:
            return
        self.stopping = True
        if self.front is None or self.front.server is None:
            self.finish()
        else:
            self.log.info("stopping")
            self.loop.create_task(self.stop())

    async def stop(self) -> None:
        """Stop the front, then end the process."""
        await self.front.stop()
        self.finish()

    def handle_hurry(self) -> None:
        """Shorten a stop: fail the set-ups in progress."""
        if self.front is not None:
            self.front.hurry_stop()

    def handle_ping(self, number: int) -> None:
        self.daemon.send("pong", number)

    def handle_state(self, number: int) -> None:
        """Report figures for `curlewhall status`."""
        figures = (
            {}
            if self.front is None
            else {
                "counts": self.front.driver.counts,
                "held": sum(play.playing_number is not None for play in self.front.driver.plays.values()),
                "connections": len(self.front.server.connections) if self.front.server else 0,
            }
        )
        self.daemon.send("state", number, figures)


async def main(
    daemon: int, path: str, slot: int, workers: int, policy_name: str = "", mover_name: str = ""
) -> int:
    """Run a worker until it ends; the exit code: 0, 1 if it could not start, 2 for invalid settings."""
    try:
        file = settings_of_slot(load(path), slot, workers)
    except (SettingsError, OSError) as err:
        print(err, file=sys.stderr)
        return 2
    log = logs.make_logger(front_pb2.LogForm.Name(file.logs.form).lower(), file.logs.level or "info")
    worker = Worker(
        daemon,
        slot,
        workers,
        file,
        log,
        load_class(policy_name) if policy_name else None,
        load_class(mover_name) if mover_name else None,
    )
    try:
        await worker.finished
    except RuntimeError as err:
        print(f"can't start: {err}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    raise_descriptor_limit()
    daemon, path, slot, workers, *class_names = sys.argv[1:]
    sys.exit(uvloop.run(main(int(daemon), path, int(slot), int(workers), *class_names)))
