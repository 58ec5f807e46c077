"""Runs one front on the platform: start, new configuration (SIGHUP), shutdown (SIGTERM, SIGINT)."""

import asyncio
import os
import signal
import sys

import uvloop

from curlewhall.errors import describe
from curlewhall.front.collector import tune_garbage_collector
from curlewhall.front.driver import TICKS_PER_SECOND, Driver
from curlewhall.policy import Front
from curlewhall.wire.server import listen
from curlewhall.wire.timers import Timers

from . import start_settings
from .channel import Channel
from .decide import ShutdownSchedule
from .nodes import Nodes
from .null_objects import Log, NoMoves, NoPeers
from .viewers import Viewers

WIND_DOWN_INTERVAL_S = 0.002  # between two rounds over the connections that are left
CONFIG_RETRY_S = 0.1  # until a configuration file that can't be used is read again
MAX_CONFIG_RETRIES = 30  # 3 s in all, of the 4 s that are allowed
LAST_ANSWERS_S = 0.05  # from the last close until the process ends, for answers on their way
SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


class Relay:
    """All parts of one front, within a running loop. Raises `OSError` if its address is taken, and
    `ConfigurationError` if the start settings can't be used.
    """

    def __init__(self, config: start_settings.RelayConfig, log: Log) -> None:
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.timers = Timers(self.loop)
        self.stopped = asyncio.Event()
        self.counts_at_shutdown: dict[str, int] = {}
        self.shutdown: ShutdownSchedule | None = None  # set once the front was told to shut down
        self.shutdown_done = False
        self.config_retry = None  # the timer until the configuration is read again
        try:
            self.driver = Driver(Front, config.seed, config.start_settings, self.timers, log)
            self.viewers = Viewers(self.driver, self.loop, self.timers, config.max_viewer_connections, log)
            self.nodes = Nodes(
                self.driver, self.loop, self.timers, config.max_node_connections, log, config.seed
            )
        except (KeyError, IndexError, TypeError, ValueError, AttributeError) as err:
            raise start_settings.ConfigurationError(
                f"settings can't be used: {type(err).__name__}: {err}"
            ) from None
        self.driver.viewers = self.viewers
        self.driver.nodes = self.nodes
        self.driver.peers = NoPeers()
        self.driver.moves = NoMoves()
        self.channel = Channel(self.driver, self.loop, self.timers, config.channel, log, config.seed)
        listener = listen(*config.address)
        self.channel.apply_known(config.known)
        self.channel.subscribe()
        self.viewers.start(listener)  # passes health checks from here on: the module knows the node list

    def reload(self, tries: int = 0) -> None:
        """Read the configuration again and follow the channel to a new address. Nothing else of it changes
        while plays run.

        SIGHUP may come while the file is being written. A file that can't be used is read again later;
        otherwise the channel's new address would be lost.
        """
        if self.config_retry is not None:
            self.config_retry.cancel()
            self.config_retry = None
        try:
            config = start_settings.read_config(os.environ)
        except start_settings.ConfigurationError as err:
            if tries in (0, MAX_CONFIG_RETRIES):
                self.log.write(f"new configuration is not used: {err.full_message}", tries=tries + 1)
            if tries < MAX_CONFIG_RETRIES:
                self.config_retry = self.timers.after(CONFIG_RETRY_S, self.reload, tries + 1)
            return
        self.log.write("configuration reloaded", channel="{}:{}".format(*config.channel))
        self.channel.switch_to(config.channel)

    def stop(self) -> None:
        """Begin the shutdown: fail health checks, and refuse and close connections as `ShutdownSchedule` has
        it. Further calls do nothing.
        """
        if self.shutdown is None:
            self.shutdown = ShutdownSchedule(
                max(p["time_limit"] for p in self.driver.start_settings["products"]) / TICKS_PER_SECOND
            )
            self.viewers.ready = False
            self.counts_at_shutdown = dict(self.driver.counts)
            self.log.write("shutting down", standing=len(self.driver.plays))
            self.timers.after(self.shutdown.refuse_after, self.wind_down)
            self.timers.after(self.shutdown.end_after, self.end)

    def wind_down(self) -> None:
        """Refuse set-ups, and close each connection once nothing is owed on it; repeat until none is left.

        Clients go on sending on open connections. If all were closed at once, what was written just before
        would be lost; a connection that is idle and read to its end loses only what crosses its close.
        """
        if self.shutdown_done:
            return
        if self.viewers.wind_down():
            self.timers.after(WIND_DOWN_INTERVAL_S, self.wind_down)
        else:
            self.finish_shutdown()

    def end(self) -> None:
        """Answer every play that has no answer yet and close all connections: the kill is near, and answers
        are of no use after it.
        """
        if self.shutdown_done:
            return
        for active_play in list(self.driver.plays.values()):
            if not active_play.answered:
                self.driver.deadline_passed(active_play)
        self.viewers.wind_down(last=True)
        self.finish_shutdown()

    def finish_shutdown(self) -> None:
        """Log what was served since the signal, and let the process end."""
        since = {
            name: count - self.counts_at_shutdown.get(name, 0) for name, count in self.driver.counts.items()
        }
        self.log.write(
            "shut down",
            asked=since["asked"],
            played=since["played"],
            declined=since["declined"],
            failed=since["failed"],
            gone=since["left"],
            refused=self.viewers.refused,
        )
        self.shutdown_done = True
        self.timers.after(LAST_ANSWERS_S, self.stopped.set)

    def close(self) -> None:
        """Close all connections and the listener."""
        self.channel.close()
        self.nodes.close_all()
        self.viewers.close()


async def run_until_stopped(config: start_settings.RelayConfig, log: Log) -> None:
    """Serve until the shutdown that a signal begins has finished."""
    relay, early_signals = None, []

    def handle_signal(number: int) -> None:
        if relay is None:
            early_signals.append(number)
        elif number == signal.SIGHUP:
            relay.reload()
        else:
            relay.stop()

    loop = asyncio.get_running_loop()
    for number in SIGNALS:
        loop.add_signal_handler(number, handle_signal, number)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)  # delivers those that came during the imports, too
    await asyncio.sleep(0)
    relay = Relay(config, log)  # within one turn of the loop: no viewer is served before signals are handled
    log.write(
        "serving", name=config.name, address="{}:{}".format(*config.address), nodes=len(relay.nodes.nodes)
    )
    for number in early_signals:
        handle_signal(number)
    del config
    # a small machine: collects often enough that garbage in cycles never adds up
    tune_garbage_collector(5_000, 20)
    await relay.stopped.wait()
    relay.close()


def main() -> int:
    """Serve until SIGTERM. Returns 1, with one line on standard error, if the configuration can't be used."""
    try:
        config = start_settings.read_config(os.environ)
        uvloop.run(run_until_stopped(config, Log()))
    except (start_settings.ConfigurationError, OSError) as err:
        print(f"can't start: {describe(err)}", file=sys.stderr)
        return 1
    return 0
