"""One front as a process: assembles the parts and serves until it is stopped.

`run` is called by the command line; a daemon's worker uses `FrontProcess` directly.
"""

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
from .list_follower import ListFollower
from .nodes import Nodes
from .peer_lists import PeerListClient, PeerListServer
from .peers import Peers
from .play_transfer import PlayTransfer
from .viewers import Viewers

DEFAULT_POLICY = "curlewhall.policy:Front"
# Time for connections that arrive while the listener is closed, and again for their requests and last
# answers.
CLOSE_DELAY_S = 0.1


def load_class(name: str) -> Callable:
    """Return the class that `MODULE:CLASS` names; `ValueError` if the name or the class is invalid."""
    module, colon, class_name = name.partition(":")
    if not colon:
        raise ValueError(f"{name!r} is not MODULE:CLASS")
    try:
        loaded = getattr(importlib.import_module(module), class_name)
    except (ImportError, AttributeError, ValueError) as err:
        raise ValueError(f"{name!r}: {err}") from None
    if not callable(loaded):
        raise ValueError(f"{name!r} is not a class")
    return loaded


def http_limits(file: FrontFile) -> Limits:
    """Return the default HTTP limits, replaced where the settings file sets others."""
    configured, defaults = file.limits, Limits()
    fields = {
        "connections": ("viewer_connections", 1),
        "line": ("line_bytes", 1),
        "head": ("head_bytes", 1),
        "body": ("body_bytes", 1),
        "read": ("read_ms", 1000),
        "idle": ("idle_ms", 1000),
        "write": ("write_ms", 1000),
    }
    return defaults._replace(
        **{
            name: getattr(configured, field) / unit if unit > 1 else getattr(configured, field)
            for name, (field, unit) in fields.items()
            if configured.HasField(field)
        }
    )


class FrontProcess:
    """A front in the running event loop; `start` opens its sockets, `stop` answers open requests and closes.

    `create_module`, `create_mover`, `create_sites`: classes used in place of the default ones.
    `predecessor`: the state that another process hands over (`daemon.handover`); None for a front that
    starts on its own.
    """

    def __init__(
        self,
        file: FrontFile,
        log,
        create_module: Callable | None = None,
        create_mover: Callable | None = None,
        predecessor=None,
        create_sites: Callable | None = None,
    ) -> None:
        self.file = file
        self.log = log
        self.predecessor = predecessor
        self.loop = asyncio.get_running_loop()
        self.timers = Timers(self.loop)
        process_tag = int.from_bytes(os.urandom(4), "big")
        name, settings = file.identity.name, start_settings(file)
        seed = file.identity.seed or process_tag
        self.driver = Driver(
            create_module or load_class(DEFAULT_POLICY),
            seed,
            settings,
            self.timers,
            log,
            started_at=predecessor.earliest_node_time() if predecessor is not None else None,
        )
        answer_margin_ms = file.limits.answer_margin_ms if file.limits.HasField("answer_margin_ms") else 100
        listen_settings = file.listen
        public_url = (
            listen_settings.public_url.rstrip("/")
            or f"http://{listen_settings.address}:{listen_settings.port}"
        )
        token_key, token_lifetime_s = read_key(file.tokens.key_file), file.tokens.life_s or 3600
        self.viewers = Viewers(
            self.driver, name, public_url, token_key, token_lifetime_s, 10 * answer_margin_ms, process_tag
        )
        permissions = file.permissions
        connect_timeout_s = (permissions.connect_time_limit_ms or 250) / 1000
        self.nodes = Nodes(
            self.driver,
            self.loop,
            self.timers,
            name,
            connect_timeout_s,
            (permissions.probe_time_limit_ms or 250) / 1000,
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
        self.peer_pools = {
            p.index: Pool(self.loop, self.timers, url_parts.hostname, url_parts.port)
            for p in file.peer
            if p.url and (url_parts := urlsplit(p.url)).hostname and url_parts.port
        }
        self.follower = ListFollower(
            self.driver, service, name, file.list_service.kept_file, seed, bool(self.peer_pools)
        )
        self.viewers.follower, self.nodes.on_hello = self.follower, self.follower.node_identified
        self.viewers.peer_list_server = PeerListServer(self.follower, token_key)
        if service is not None and self.peer_pools:
            self.follower.peer_list_client = PeerListClient(self.follower, self.peer_pools, token_key, seed)
        self.driver.sites = SiteMonitor(
            self, file.identity.index, seed, lambda: self.viewers.titles, create_sites or SiteDetector
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
                self.follower.apply_inventory,
                lambda node: len(self.driver.moves.mover.plays_by_node.get(node, ())),
                self.follower.as_inventory,
            )
        self.driver.moves = MoveExecutor(
            self.driver, self.timers, (create_mover or Mover)(self.driver.clock.now(), settings, drain_within)
        )
        self.server = self.console = None
        self.stop_hurried, self.ready = False, asyncio.Event()
        if predecessor is not None:
            predecessor.restore(self)

    def open_store(self) -> None:
        """Open the state folder; without one, keep only the reallocation budget's window, in memory.

        Raises `StoreLockedError`, `NewerFormatError` or `OSError` if the folder can't be used.
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
            for entry in self.predecessor.entries if self.predecessor is not None else ():
                state.apply(entry)
            store = MemoryStore(state, self.loop)
        strict = bool(file.state.folder) and file.state.durability == STRICT
        # An empty folder may be one whose folder were lost; only without a folder is this certainly a first
        # start.
        alone = not file.state.folder and self.predecessor is None
        self.driver.play_store = PlayStore(store, strict, self.driver.start_settings, state, alone)

    def open_peers(self) -> None:
        """Open the socket for messages of peers; `OSError` if the address is in use."""
        listen_settings, self.peer_task = self.file.listen, None
        if listen_settings.peer_port:
            address = listen_settings.peer_address or listen_settings.address
            family = socket.AF_INET6 if ":" in address else socket.AF_INET
            sock = socket.socket(family, socket.SOCK_DGRAM)
            try:
                sock.setblocking(False)
                sock.bind((address, listen_settings.peer_port))
            except OSError:
                sock.close()
                raise
            self.peer_task = self.loop.create_task(
                self.loop.create_datagram_endpoint(lambda: self.peers, sock=sock)
            )

    def close_peers(self) -> None:
        """Close the socket for messages of peers."""
        if self.peers.transport is not None:
            self.peers.transport.close()
            self.peers.transport = None

    async def start(
        self, sock: socket.socket | None = None, console_sock: socket.socket | None = None
    ) -> None:
        """Serve on the listening socket `sock`, or on new ones; the console on `console_sock`.

        Raises `OSError`, with every new socket closed again, if an address is in use.
        """
        listen_settings = self.file.listen
        # All sockets are opened before anything else starts, so that a failed start leaves nothing running.
        opens_sockets = sock is None
        sock = listen(listen_settings.address, listen_settings.port) if opens_sockets else sock
        try:
            if opens_sockets and self.file.HasField("console"):
                console_sock = listen(self.file.console.address, self.file.console.port)
            self.open_peers()
        except OSError:
            for opened in filter(None, (sock, console_sock) if opens_sockets else ()):
                opened.close()
            raise
        if console_sock is not None:
            self.open_console(console_sock)
        self.server = Server(self.loop, self.timers, sock, self.viewers.handle, http_limits(self.file))
        self.follower.start()
        self.driver.sites.start()
        if self.peers.members is not None:
            if self.peer_task is not None:
                await self.peer_task
            self.peers.members.start()
        self.follower.call_when_ready(self.announce_ready)

    def announce_ready(self) -> None:
        """Log and signal that viewers may be sent here; requests are answered even before that."""
        listen_settings = self.file.listen
        self.log.info(
            "ready", front=self.file.identity.name, address=listen_settings.address, port=listen_settings.port
        )
        self.ready.set()

    def open_console(self, console_sock: socket.socket) -> None:
        """Serve the operators' console on `console_sock`."""
        from curlewhall.console.run import (
            Console,
            read_token,
        )  # slow to import, and many fronts have no console

        self.console = Console(self, console_sock, read_token(self.file.console.token_file))

    def has_unanswered_requests(self) -> bool:
        """Whether a viewer's request or a move still waits for its answer."""
        return bool(self.driver.moves.retrying) or any(
            not active_play.answered for active_play in self.driver.plays.values()
        )

    def hurry_stop(self) -> None:
        """Shorten a stop: answer all open requests as failed, since even then each must get an answer."""
        self.stop_hurried = True
        for active_play in list(self.driver.plays.values()):
            if not active_play.answered:
                self.driver.deadline_passed(active_play)

    async def stop(self) -> None:
        """Accept no new play, answer open requests, transfer plays to peers, then close.

        Meanwhile requests for new plays get 503 with Retry-After, on old and on new connections.
        """
        self.viewers.accepting = False
        while self.has_unanswered_requests():
            await asyncio.sleep(0.01)
        if not self.stop_hurried and (transferred := await PlayTransfer(self).transfer_all()):
            self.log.info("plays transferred to peers", plays=transferred, left=len(self.driver.plays))
        if self.peers.members is not None:
            self.peers.members.leave()
        if self.server is not None:
            self.server.block_new_connections()
            await asyncio.sleep(CLOSE_DELAY_S)
            self.server.accept_backlog_and_stop()
        await asyncio.sleep(CLOSE_DELAY_S)
        self.close()

    def close(self) -> None:
        """Close every socket and the state at once."""
        self.follower.close()
        self.driver.sites.close()
        for pool in self.peer_pools.values():
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


async def serve_until_signal(
    file: FrontFile,
    log,
    create_module: Callable | None,
    create_mover: Callable | None,
    create_sites: Callable | None,
) -> None:
    """Run a front until SIGTERM or SIGINT, then stop it."""
    front = FrontProcess(file, log, create_module, create_mover, create_sites=create_sites)
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        front.loop.add_signal_handler(number, stop_requested.set)
    await front.start()
    tune_garbage_collector()
    await stop_requested.wait()
    log.info("stopping")
    await front.stop()


def raise_descriptor_limit() -> None:
    """Raise the soft limit of file descriptors to the hard limit."""
    with contextlib.suppress(ValueError, OSError):
        _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def run(
    file: FrontFile,
    log,
    create_module: Callable | None = None,
    create_mover: Callable | None = None,
    create_sites: Callable | None = None,
) -> None:
    """Serve until SIGTERM or SIGINT; `OSError` if a socket or the state folder can't be used."""
    raise_descriptor_limit()
    try:
        uvloop.run(serve_until_signal(file, log, create_module, create_mover, create_sites))
    except (StoreLockedError, NewerFormatError) as err:
        raise OSError(describe(err)) from None
    except KeyboardInterrupt:
        pass
