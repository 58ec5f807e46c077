"""One front on the platform: started, told of a new configuration (SIGHUP), asked to leave (SIGTERM)."""

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
from .decide import Leaving
from .nodes import Nodes
from .null_objects import Log, NoMoves, NoPeers
from .viewers import Viewers

WINDING = 0.002  # seconds between two rounds over the connections that are left
REREAD, REREADS = 0.1, 30  # seconds until a file that can't be used is read again; so often. 4 s are allowed
SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


class Relay:
    """All parts of one front, within a running loop. `OSError` where its address is taken."""

    def __init__(self, given: start_settings.Given, log: Log) -> None:
        self.log, self.loop = log, asyncio.get_running_loop()
        self.timers, self.over = Timers(self.loop), asyncio.Event()
        self.before: dict[str, int] = {}  # what was counted when this front was told to leave
        self.leaving, self.gone, self.rereading = None, False, None
        try:
            self.driver = Driver(Front, given.seed, given.start_settings, self.timers, log)
            self.viewers = Viewers(self.driver, self.loop, self.timers, given.viewers, log)
            self.nodes = Nodes(self.driver, self.loop, self.timers, given.nodes, log, given.seed)
        except (KeyError, IndexError, TypeError, ValueError, AttributeError) as err:
            raise start_settings.ConfigurationError(
                f"the settings can't be used: {type(err).__name__}: {err}"
            ) from None
        self.driver.viewers, self.driver.nodes = self.viewers, self.nodes
        self.driver.peers, self.driver.moves = NoPeers(), NoMoves()
        self.channel = Channel(self.driver, self.loop, self.timers, given.channel, log, given.seed)
        listener = listen(*given.address)
        self.channel.begin(given.known)
        self.channel.subscribe()
        self.viewers.start(listener)  # from here on a test is passed: the module is born and knows the list

    def reload(self, tries: int = 0) -> None:
        """The channel may have moved; nothing else of the configuration changes under plays.

        Danger: a file that is being written while it is read. It is read again, or the channel would be lost.
        """
        if self.rereading is not None:
            self.rereading.cancel()
            self.rereading = None
        try:
            given = start_settings.read(os.environ)
        except start_settings.ConfigurationError as err:
            if tries in (0, REREADS):
                self.log.say(f"the old configuration is kept: {err.full_message}", tries=tries + 1)
            if tries < REREADS:
                self.rereading = self.timers.after(REREAD, self.reload, tries + 1)
            return
        self.log.say("configuration read again", channel="{}:{}".format(*given.channel))
        self.channel.point(given.channel)

    def stop(self) -> None:
        """Take what still comes, answer what is owed, then leave."""
        if self.leaving is None:
            self.leaving = Leaving(
                max(p["time_limit"] for p in self.driver.start_settings["products"]) / TICKS_PER_SECOND
            )
            self.viewers.ready = False
            self.before = dict(self.driver.counts)
            self.log.say("leaving", standing=len(self.driver.plays))
            self.timers.after(self.leaving.refuses, self.leave)
            self.timers.after(self.leaving.ends, self.end)

    def leave(self) -> None:
        """Set-ups come no more but on what stays open: close that one by one, each when nothing is owed on
        it.

        Danger: clients go on sending on what is open. Closed all at once, what they wrote just before would
        be lost with it; one that is idle, and read to its end, has nothing to lose but what crosses its
        close.
        """
        if self.gone:
            return
        if self.viewers.wind_down():
            self.timers.after(WINDING, self.leave)
        else:
            self.left()

    def end(self) -> None:
        """The time is over in which answers are of use, and the kill is near: every play that was taken gets
        its answer now, and the connections are closed.
        """
        if self.gone:
            return
        for active_play in list(self.driver.plays.values()):
            if not active_play.answered:
                self.driver.deadline_passed(active_play)
        self.viewers.wind_down(last=True)
        self.left()

    def left(self) -> None:
        since = {name: count - self.before.get(name, 0) for name, count in self.driver.counts.items()}
        self.log.say(
            "left",
            asked=since["asked"],
            played=since["played"],
            declined=since["declined"],
            failed=since["failed"],
            gone=since["left"],
            refused=self.viewers.refused,
        )
        self.gone = True
        self.timers.after(0.05, self.over.set)  # the last answers are on their way

    def close(self) -> None:
        self.channel.close()
        self.nodes.close_all()
        self.viewers.close()


async def until_told(given: start_settings.Given, log: Log) -> None:
    relay, early = None, []

    def told(number: int) -> None:
        if relay is None:
            early.append(number)
        elif number == signal.SIGHUP:
            relay.reload()
        else:
            relay.stop()

    loop = asyncio.get_running_loop()
    for number in SIGNALS:
        loop.add_signal_handler(number, told, number)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)  # those that came while the program was loaded, too
    await asyncio.sleep(0)
    relay = Relay(given, log)  # within one turn of the loop: nobody is served before signals are heard
    log.say("serving", name=given.name, address="{}:{}".format(*given.address), nodes=len(relay.nodes.nodes))
    for number in early:
        told(number)
    del given
    # a small machine: rounds often enough that what is in cycles never adds up
    tune_garbage_collector(5_000, 20)
    await relay.over.wait()
    relay.close()


def main() -> int:
    """Serve until SIGTERM. 1, with one line on standard error, where the configuration can't be used."""
    try:
        given = start_settings.read(os.environ)
        uvloop.run(until_told(given, Log()))
    except (start_settings.ConfigurationError, OSError) as err:
        print(f"can't start: {describe(err)}", file=sys.stderr)
        return 1
    return 0
