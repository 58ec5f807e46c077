"""One front as a process: puts the sides together, runs until it is told to stop."""

import asyncio
import importlib
import os
import signal
from collections.abc import Callable

import uvloop

from curlewhall.dash.tokens import read_key
from curlewhall.moves import Mover
from curlewhall.moves.run import Moves
from curlewhall.recovery.form import Newer
from curlewhall.recovery.run import Keeper
from curlewhall.recovery.store import Busy, Files, Store
from curlewhall.settings import rate_card
from curlewhall.settings.front_pb2 import STRICT, FrontFile
from curlewhall.wire.client import Pool
from curlewhall.wire.http import Limits
from curlewhall.wire.server import Server, listen
from curlewhall.wire.timers import Timers

from .driver import Driver
from .listing import Follower
from .nodes import Nodes
from .peers import Peers
from .viewers import Viewers

POLICY = "curlewhall.policy:Front"


def policy(name: str) -> Callable:
    """The class that `MODULE:CLASS` names; `ValueError` says what is wrong with it."""
    module, colon, cls = name.partition(":")
    if not colon:
        raise ValueError(f"{name!r} is not MODULE:CLASS")
    try:
        found = getattr(importlib.import_module(module), cls)
    except (ImportError, AttributeError, ValueError) as err:
        raise ValueError(f"{name!r}: {err}") from None
    if not callable(found):
        raise ValueError(f"{name!r} is no class")
    return found


def limits(file: FrontFile) -> Limits:
    """The wire's limits with what the operator's file says otherwise."""
    given, plain = file.limits, Limits()
    named = {"connections": ("viewer_connections", 1), "line": ("line_bytes", 1), "head": ("head_bytes", 1),
             "body": ("body_bytes", 1), "read": ("read_ms", 1000), "idle": ("idle_ms", 1000),
             "write": ("write_ms", 1000)}
    return plain._replace(**{name: getattr(given, field) / unit if unit > 1 else getattr(given, field)
                             for name, (field, unit) in named.items() if given.HasField(field)})


class FrontProcess:
    """A front within a running loop; `start` opens its sockets, `stop` answers what it took and closes
    them.
    """

    def __init__(self, file: FrontFile, log, make: Callable | None = None,
                 mover: Callable | None = None) -> None:
        self.file, self.log = file, log
        self.loop = asyncio.get_running_loop()
        self.timers = Timers(self.loop)
        boot = int.from_bytes(os.urandom(4), "big")
        name, card = file.identity.name, rate_card(file)
        seed = file.identity.seed or boot
        self.driver = Driver(make or policy(POLICY), seed, card, self.timers, log)
        margin = file.limits.answer_margin_ms if file.limits.HasField("answer_margin_ms") else 100
        where = file.listen
        url = where.public_url.rstrip("/") or f"http://{where.address}:{where.port}"
        key, life = read_key(file.tokens.key_file), file.tokens.life_s or 3600
        self.viewers = Viewers(self.driver, name, url, key, life, 10 * margin, boot)
        may = file.permissions
        connect = (may.connect_time_limit_ms or 250) / 1000
        self.nodes = Nodes(self.driver, self.loop, self.timers, name, connect,
                           (may.probe_time_limit_ms or 250) / 1000)
        self.peers = Peers(self.driver, {p.index: (p.address, p.port) for p in file.peer})
        self.driver.viewers, self.driver.nodes, self.driver.peers = self.viewers, self.nodes, self.peers
        service = Pool(self.loop, self.timers, file.list_service.address, file.list_service.port)
        self.follower = Follower(self.driver, service, name, file.list_service.kept_file)
        self.viewers.follower = self.follower
        if file.state.folder:
            window = file.rules.look_back_ms
            files = Files(file.state.folder, window, tell=lambda what, **facts: log.warning(what, **facts))
            files.open()
            store = Store(files, self.loop, self.timers, log)
            self.driver.keeper = Keeper(store, file.state.durability == STRICT, card)
        drain_within = 10 * (file.moves.drain_within_ms or 30_000)
        self.driver.moves = Moves(self.driver, self.timers, (mover or Mover)(
            self.driver.clock.now(), card, drain_within))
        self.server = None

    async def start(self) -> None:
        where = self.file.listen
        # every socket is there before anything is told: nothing starts half
        sock = listen(where.address, where.port)
        try:
            if where.peer_port:
                await self.loop.create_datagram_endpoint(
                    lambda: self.peers, local_addr=(where.peer_address or where.address, where.peer_port))
        except OSError:
            sock.close()
            raise
        self.server = Server(self.loop, self.timers, sock, self.viewers.handle, limits(self.file))
        self.follower.start()
        self.log.info("ready", front=self.file.identity.name, address=where.address, port=where.port)

    async def stop(self) -> None:
        """Take nothing new, answer what was taken, then close."""
        self.viewers.open = False
        self.server.stop()
        while self.driver.moves.between or any(not held.answered for held in self.driver.plays.values()):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)  # the last answers go out
        self.close()

    def close(self) -> None:
        """Close every socket and the state, whatever is under way."""
        self.follower.pool.close()
        self.nodes.close()
        self.server.close()
        if self.peers.transport is not None:
            self.peers.transport.close()
        self.driver.keeper.close()


async def until_told(file: FrontFile, log, make: Callable | None, mover: Callable | None) -> None:
    front = FrontProcess(file, log, make, mover)
    told = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        front.loop.add_signal_handler(number, told.set)
    await front.start()
    await told.wait()
    log.info("stopping")
    await front.stop()


def run(file: FrontFile, log, make: Callable | None = None, mover: Callable | None = None) -> None:
    """Serve until SIGTERM or SIGINT. `OSError` where a socket or the state's folder can't be had."""
    try:
        uvloop.run(until_told(file, log, make, mover))
    except (Busy, Newer) as err:
        raise OSError(str(err)) from None
    except KeyboardInterrupt:
        pass
