"""A front under a daemon: one process, told what to do over a channel on an inherited descriptor.

    python -m curlewhall.daemon.worker DESCRIPTOR FILE SLOT WORKERS [POLICY [MOVER]]

The daemon says `listen` (the sockets come along), `begin` (serve), `give` and `take` (one end of a channel
each), `stop`, `hurry`, `ping`. The worker says `prepared`, `ready`, `back`, `gone`, `pong`.
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
from .decide import owner
from .handover import Coming, Leaving


def of_slot(file: front_pb2.FrontFile, slot: int, workers: int) -> front_pb2.FrontFile:
    """The file of one worker of several: a front of its own, with a name, an index and a state of its own."""
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
    """Runs one front until the daemon, or its loss, ends it."""

    def __init__(self, daemon: int, slot: int, workers: int, file, log, make, mover) -> None:
        self.file, self.log, self.make, self.mover = file, log, make, mover
        self.loop = asyncio.get_running_loop()
        self.over = self.loop.create_future()
        self.front = self.leaving = self.coming = self.sock = self.page = None
        self.stopping, self.slot, self.workers = False, slot, workers
        self.daemon = Channel(self.loop, socket.socket(fileno=daemon), self.heard, self.lost)

    def heard(self, kind: str, facts: list, fds: list[int]) -> None:
        getattr(self, f"told_{kind}")(*facts, *fds)

    def lost(self) -> None:
        """Danger: a daemon that was killed leaves fronts that nobody watches, and a port that is taken."""
        self.log.warning("the daemon is gone")
        self.told_stop()

    def told_listen(self, number: int, page: int | None = None) -> None:
        self.sock, self.page = socket.socket(fileno=number), None
        self.sock.setblocking(False)
        if page is not None:
            self.page = socket.socket(fileno=page)
            self.page.setblocking(False)

    def told_prepare(self) -> None:
        """A successor: its settings are read, which is what goes wrong most."""
        self.daemon.send("prepared")

    def told_begin(self) -> None:
        self.begin(None)

    def begin(self, coming) -> None:
        try:
            self.front = FrontProcess(self.file, self.log, self.make, self.mover, coming)
        except (OSError, StoreLockedError, NewerFormatError, ValueError) as err:
            self.fail(describe(err))
            return
        self.loop.create_task(self.serve(coming))

    async def serve(self, coming) -> None:
        try:
            await self.front.start(self.sock, self.page and self.page.dup())
        except OSError as err:
            self.fail(describe(err))
            return
        if self.workers > 1:
            self.front.server.route = self.route
            self.front.follower.broadcast = lambda *facts: self.daemon.send("spread", *facts)
        if coming is not None:
            coming.serving()
        await self.front.ready.wait()
        self.daemon.send("ready")
        tune_garbage_collector()

    def route(self, messages):
        """Another worker's viewer goes there, connection and all, by way of the daemon.

        Danger: a daemon stops its workers together. The other one may be gone when the connection comes, and
        nobody answers (rule 1); this one says no as well as that one would.
        """
        if self.stopping:
            return None
        slots = {owner(message.target, self.workers) for message in messages}
        slot = slots.pop() if len(slots) == 1 else None
        if slot is None or slot == self.slot:
            return None
        return lambda sock, data: self.send_line(slot, sock, data)

    def send_line(self, slot: int, sock: socket.socket, data: bytes) -> None:
        number = os.dup(sock.fileno())
        self.loop.call_soon(sock.close)
        self.daemon.send("line", slot, data, fds=(number,))

    def told_drain(self, node: str, back: bool) -> None:
        """Another worker was told by an operator."""
        if self.front is not None:
            self.front.follower.drain_node(node, back, broadcast=False)

    def told_confirm(self, digest: str) -> None:
        if self.front is not None and self.front.follower.watcher is not None:
            why = self.front.follower.watcher.confirm(digest)
            if why:
                self.log.warning("the inventory is not confirmed here", why=why)

    def told_line(self, data: bytes, number: int) -> None:
        self.front.server.adopt_descriptor(number, data, routed=True)

    def fail(self, why: str) -> None:
        self.log.error("can't start", why=why)
        if not self.over.done():
            self.over.set_exception(RuntimeError(why))

    def told_take(self, number: int) -> None:
        self.coming = Coming(self.loop, socket.socket(fileno=number), self.begin, self.fail)

    def told_give(self, number: int) -> None:
        self.leaving = Leaving(self.front, socket.socket(fileno=number), self.back, self.gone)

    def back(self) -> None:
        """The successor failed: this one goes on."""
        self.leaving = None
        if self.page is not None:
            self.front.open_console(self.page.dup())
        self.log.warning("the successor failed; going on")
        self.daemon.send("back")
        if self.stopping:
            self.stopping = False
            self.told_stop()

    def gone(self) -> None:
        self.log.info("left to the successor")
        self.front.close()
        self.leaving.channel.close()
        self.finish()

    def finish(self) -> None:
        if not self.over.done():
            self.over.set_result(None)

    def told_stop(self) -> None:
        if self.stopping:
            return
        self.stopping = True
        if self.front is None or self.front.server is None:
            self.finish()
        else:
            self.log.info("stopping")
            self.loop.create_task(self.stop())

    async def stop(self) -> None:
        await self.front.stop()
        self.finish()

    def told_hurry(self) -> None:
        if self.front is not None:
            self.front.hurry_stop()

    def told_ping(self, number: int) -> None:
        self.daemon.send("pong", number)

    def told_state(self, number: int) -> None:
        counts = (
            {}
            if self.front is None
            else {
                "counts": self.front.driver.counts,
                "held": sum(h.playing_number is not None for h in self.front.driver.plays.values()),
                "connections": len(self.front.server.connections) if self.front.server else 0,
            }
        )
        self.daemon.send("state", number, counts)


async def main(daemon: int, path: str, slot: int, workers: int, make: str = "", mover: str = "") -> int:
    try:
        file = of_slot(load(path), slot, workers)
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
        load_class(make) if make else None,
        load_class(mover) if mover else None,
    )
    try:
        await worker.over
    except RuntimeError as err:
        print(f"can't start: {err}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    raise_descriptor_limit()
    daemon, path, slot, workers, *named = sys.argv[1:]
    sys.exit(uvloop.run(main(int(daemon), path, int(slot), int(workers), *named)))
