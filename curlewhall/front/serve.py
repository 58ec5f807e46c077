"""One front as a process: puts the sides together, runs until it is told to stop."""

import asyncio
import contextlib
import importlib
import os
import resource
import signal
import socket
from collections.abc import Callable
from urllib.parse import urlsplit

import uvloop

from curlewhall.dash.tokens import read_key
from curlewhall.errors import describe
from curlewhall.inventory.run import Files, Watcher
from curlewhall.members.run import Membership
from curlewhall.moves import Mover
from curlewhall.moves.run import MoveExecutor
from curlewhall.recovery.form import NewerFormatError
from curlewhall.recovery.run import PlayStore
from curlewhall.recovery.state import State
from curlewhall.recovery.store import MemoryStore, StateFolder, Store, StoreLockedError
from curlewhall.settings import start_settings
from curlewhall.settings.front_pb2 import STRICT, FrontFile
from curlewhall.settings.keys import read_keys
from curlewhall.sites.decide import SiteDetector
from curlewhall.sites.run import SiteMonitor
from curlewhall.start import StreamSchedule
from curlewhall.wire.client import Pool
from curlewhall.wire.http import Limits
from curlewhall.wire.server import Server, listen
from curlewhall.wire.timers import Timers

from .collector import tune_garbage_collector
from .driver import Driver
from .listing import Follower
from .lists import Borrower, Lender
from .nodes import Nodes
from .parting import Giving
from .peers import Peers
from .viewers import Viewers

POLICY = "curlewhall.policy:Front"
LAST = 0.1  # seconds for who is on the way when the listener is closed, and for requests and the last answers


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
    named = {
        "connections": ("viewer_connections", 1),
        "line": ("line_bytes", 1),
        "head": ("head_bytes", 1),
        "body": ("body_bytes", 1),
        "read": ("read_ms", 1000),
        "idle": ("idle_ms", 1000),
        "write": ("write_ms", 1000),
    }
    return plain._replace(
        **{
            name: getattr(given, field) / unit if unit > 1 else getattr(given, field)
            for name, (field, unit) in named.items()
            if given.HasField(field)
        }
    )


class FrontProcess:
    """A front within a running loop; `start` opens its sockets, `stop` answers what it took and closes
    them. `coming`: what a predecessor hands over (`daemon.handover.Coming`), None for one that starts alone.
    """

    def __init__(
        self,
        file: FrontFile,
        log,
        make: Callable | None = None,
        mover: Callable | None = None,
        coming=None,
        sites: Callable | None = None,
    ) -> None:
        self.file, self.log, self.coming = file, log, coming
        self.loop = asyncio.get_running_loop()
        self.timers = Timers(self.loop)
        boot = int.from_bytes(os.urandom(4), "big")
        name, settings = file.identity.name, start_settings(file)
        seed = file.identity.seed or boot
        self.driver = Driver(
            make or policy(POLICY),
            seed,
            settings,
            self.timers,
            log,
            started_at=coming.born() if coming is not None else None,
        )
        margin = file.limits.answer_margin_ms if file.limits.HasField("answer_margin_ms") else 100
        where = file.listen
        url = where.public_url.rstrip("/") or f"http://{where.address}:{where.port}"
        key, life = read_key(file.tokens.key_file), file.tokens.life_s or 3600
        self.viewers = Viewers(self.driver, name, url, key, life, 10 * margin, boot)
        may = file.permissions
        connect = (may.connect_time_limit_ms or 250) / 1000
        self.nodes = Nodes(
            self.driver,
            self.loop,
            self.timers,
            name,
            connect,
            (may.probe_time_limit_ms or 250) / 1000,
            StreamSchedule(seed, file.identity.index, file.identity.fronts),
        )
        self.peers = Peers(self.driver, {p.index: (p.address, p.port) for p in file.peer})
        self.driver.viewers, self.driver.nodes, self.driver.peers = self.viewers, self.nodes, self.peers
        if file.members.key_file:
            self.peers.members = Membership(
                file.identity.index,
                sorted(self.peers.addresses),
                read_keys(file.members.key_file),
                seed,
                self.driver.clock,
                self.timers,
                log,
                self.peers.send,
                lambda: sum(len(plays) for plays in self.driver.moves.mover.plays_by_node.values()),
            )
        service = (
            None
            if not file.HasField("list_service")
            else Pool(self.loop, self.timers, file.list_service.address, file.list_service.port)
        )
        self.fellows = {
            p.index: Pool(self.loop, self.timers, there.hostname, there.port)
            for p in file.peer
            if p.url and (there := urlsplit(p.url)).hostname and there.port
        }
        self.follower = Follower(
            self.driver, service, name, file.list_service.kept_file, seed, bool(self.fellows)
        )
        self.viewers.follower, self.nodes.answered = self.follower, self.follower.answered
        self.viewers.lender = Lender(self.follower, key)
        if service is not None and self.fellows:
            self.follower.borrower = Borrower(self.follower, self.fellows, key, seed)
        self.driver.sites = SiteMonitor(
            self, file.identity.index, seed, lambda: self.viewers.titles, sites or SiteDetector
        )
        self.open_store()
        drain_within = 10 * (file.moves.drain_within_ms or 30_000)
        if file.inventory.file:
            self.follower.watcher = Watcher(
                Files(file.inventory.file, file.inventory.titles_file),
                file.fleet.places,
                drain_within,
                self.timers,
                self.driver.clock,
                log,
                self.follower.from_files,
                lambda node: len(self.driver.moves.mover.plays_by_node.get(node, ())),
                self.follower.as_inventory,
            )
        self.driver.moves = MoveExecutor(
            self.driver, self.timers, (mover or Mover)(self.driver.clock.now(), settings, drain_within)
        )
        self.server = self.console = None
        self.hurried, self.ready = False, asyncio.Event()
        if coming is not None:
            coming.take_up(self)

    def open_store(self) -> None:
        """The state's folder, or the budget's window alone where there is none.

        `StoreLockedError`, `NewerFormatError`, `OSError`: the folder can't be had.
        """
        file, log = self.file, self.log
        if file.state.folder:
            folder = StateFolder(
                file.state.folder,
                file.rules.look_back_ms,
                warn=lambda what, **facts: log.warning(what, **facts),
            )
            state = folder.open()
            store = Store(folder, self.loop, self.timers, log)
        else:
            state = State(file.rules.look_back_ms)
            for entry in self.coming.entries if self.coming is not None else ():
                state.apply(entry)
            store = MemoryStore(state, self.loop)
        strict = bool(file.state.folder) and file.state.durability == STRICT
        # a folder that is empty may be one whose files were lost: only without one is it surely a first start
        alone = not file.state.folder and self.coming is None
        self.driver.play_store = PlayStore(store, strict, self.driver.start_settings, state, alone)

    def open_peers(self) -> None:
        """`OSError` where the address is taken."""
        where, self.peer_task = self.file.listen, None
        if where.peer_port:
            address = where.peer_address or where.address
            family = socket.AF_INET6 if ":" in address else socket.AF_INET
            sock = socket.socket(family, socket.SOCK_DGRAM)
            try:
                sock.setblocking(False)
                sock.bind((address, where.peer_port))
            except OSError:
                sock.close()
                raise
            self.peer_task = self.loop.create_task(
                self.loop.create_datagram_endpoint(lambda: self.peers, sock=sock)
            )

    def close_peers(self) -> None:
        if self.peers.transport is not None:
            self.peers.transport.close()
            self.peers.transport = None

    async def start(self, sock: socket.socket | None = None, page: socket.socket | None = None) -> None:
        """Serve on `sock`, a listening socket, or on one of its own; the console on `page` likewise."""
        where = self.file.listen
        # every socket is there before anything is told: nothing starts half
        own = sock is None
        sock = listen(where.address, where.port) if own else sock
        try:
            if own and self.file.HasField("console"):
                page = listen(self.file.console.address, self.file.console.port)
            self.open_peers()
        except OSError:
            for opened in filter(None, (sock, page) if own else ()):
                opened.close()
            raise
        if page is not None:
            self.open_console(page)
        self.server = Server(self.loop, self.timers, sock, self.viewers.handle, limits(self.file))
        self.follower.start()
        self.driver.sites.start()
        if self.peers.members is not None:
            if self.peer_task is not None:
                await self.peer_task
            self.peers.members.start()
        self.follower.when_ready(self.tell_ready)

    def tell_ready(self) -> None:
        """Viewers were answered from the first moment; from now on they may be sent here."""
        where = self.file.listen
        self.log.info("ready", front=self.file.identity.name, address=where.address, port=where.port)
        self.ready.set()

    def open_console(self, page: socket.socket) -> None:
        from curlewhall.console.run import Console, read_token  # takes a while; many fronts have none

        self.console = Console(self, page, read_token(self.file.console.token_file))

    def owes(self) -> bool:
        """Whether an answer is owed to somebody."""
        return bool(self.driver.moves.retrying) or any(
            not active_play.answered for active_play in self.driver.plays.values()
        )

    def hurry(self) -> None:
        """Danger: a stop that is to be short must still answer. What is under way is failed and ended."""
        self.hurried = True
        for active_play in list(self.driver.plays.values()):
            if not active_play.answered:
                self.driver.deadline_passed(active_play)

    async def stop(self) -> None:
        """Take nothing new, answer what was taken, give to peers what plays, then close.

        New plays get 503 with Retry-After meanwhile, over old connections and new ones.
        """
        self.viewers.open = False
        while self.owes():
            await asyncio.sleep(0.01)
        if not self.hurried and (given := await Giving(self).all()):
            self.log.info("given to peers", plays=given, left=len(self.driver.plays))
        if self.peers.members is not None:
            self.peers.members.leave()
        if self.server is not None:
            self.server.shut()
            await asyncio.sleep(LAST)
            self.server.stop_when_empty()
        await asyncio.sleep(LAST)
        self.close()

    def close(self) -> None:
        """Close every socket and the state, whatever is under way."""
        self.follower.close()
        self.driver.sites.close()
        for pool in self.fellows.values():
            pool.close()
        self.nodes.close()
        if self.console is not None:
            self.console.close()
        if self.server is not None:
            self.server.close()
        if self.peers.members is not None:
            self.peers.members.close()
        self.close_peers()
        self.driver.play_store.close()


async def until_told(
    file: FrontFile, log, make: Callable | None, mover: Callable | None, sites: Callable | None
) -> None:
    front = FrontProcess(file, log, make, mover, sites=sites)
    told = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        front.loop.add_signal_handler(number, told.set)
    await front.start()
    tune_garbage_collector()
    await told.wait()
    log.info("stopping")
    await front.stop()


def raise_descriptors() -> None:
    """As many descriptors as this process may have."""
    with contextlib.suppress(ValueError, OSError):
        _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def run(
    file: FrontFile,
    log,
    make: Callable | None = None,
    mover: Callable | None = None,
    sites: Callable | None = None,
) -> None:
    """Serve until SIGTERM or SIGINT. `OSError` where a socket or the state's folder can't be had."""
    raise_descriptors()
    try:
        uvloop.run(until_told(file, log, make, mover, sites))
    except (StoreLockedError, NewerFormatError) as err:
        raise OSError(describe(err)) from None
    except KeyboardInterrupt:
        pass
