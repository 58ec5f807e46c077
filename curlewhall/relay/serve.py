"""One front on the platform: started, told of a new configuration (SIGHUP), asked to leave (SIGTERM)."""

import asyncio
import os
import signal
import sys

import uvloop

from curlewhall.errors import told
from curlewhall.front.collector import calm_collector
from curlewhall.front.driver import Driver
from curlewhall.policy import Front
from curlewhall.wire.server import listen
from curlewhall.wire.timers import Timers

from . import card
from .absent import Log, NoMoves, NoPeers
from .channel import Channel
from .nodes import Nodes
from .viewers import Viewers

WINDING = 0.002  # seconds between two rounds over the connections that are left
LINGER = 0.75  # seconds after SIGTERM in which set-ups still come: 0.4 on new connections, 0.2 on open ones


class Relay:
    """All parts of one front, within a running loop. `OSError` where its address is taken."""

    def __init__(self, given: card.Given, log: Log) -> None:
        self.log, self.loop = log, asyncio.get_running_loop()
        self.timers, self.over = Timers(self.loop), asyncio.Event()
        self.before: dict[str, int] = {}  # what was counted when this front was told to leave
        try:
            self.driver = Driver(Front, given.seed, given.card, self.timers, log)
            self.viewers = Viewers(self.driver, self.loop, self.timers, given.viewers, log)
            self.nodes = Nodes(self.driver, self.loop, self.timers, given.nodes, log, given.seed)
        except (KeyError, IndexError, TypeError, ValueError, AttributeError) as err:
            raise card.ConfigurationRefused(
                f"the settings can't be used: {type(err).__name__}: {err}") from None
        self.driver.viewers, self.driver.nodes = self.viewers, self.nodes
        self.driver.peers, self.driver.moves = NoPeers(), NoMoves()
        self.channel = Channel(self.driver, self.loop, self.timers, given.channel, log, given.seed)
        listener = listen(*given.address)
        self.channel.begin(given.known)
        self.channel.subscribe()
        self.viewers.start(listener)  # from here on a test is passed: the module is born and knows the list

    def reload(self) -> None:
        """The channel may have moved; nothing else of the configuration changes under plays."""
        try:
            given = card.read(os.environ)
        except card.ConfigurationRefused as err:
            self.log.say(f"the old configuration is kept: {err.told}")
            return
        self.log.say("configuration read again", channel="{}:{}".format(*given.channel))
        self.channel.point(given.channel)

    def stop(self) -> None:
        """Take what still comes, answer what is owed, then leave."""
        if self.viewers.ready:
            self.viewers.ready = False
            self.before = dict(self.driver.counts)
            self.log.say("leaving", standing=len(self.driver.plays))
            self.timers.after(LINGER, self.leave)

    def leave(self) -> None:
        """Set-ups come no more but on what stays open: close that one by one, each when nothing is owed on
        it.

        Danger: clients go on sending on what is open. Closed all at once, what they wrote just before would
        be lost with it; one that is idle, and read to its end, has nothing to lose but what crosses its
        close.
        """
        if self.viewers.wind_down():
            self.timers.after(WINDING, self.leave)
        elif any(not held.answered for held in self.driver.plays.values()):
            self.timers.after(0.02, self.leave)  # owed to one whose connection is gone: no answer is due
        else:
            since = {name: count - self.before.get(name, 0) for name, count in self.driver.counts.items()}
            self.log.say("left", asked=since["asked"], played=since["played"], declined=since["declined"],
                         failed=since["failed"], gone=since["left"])
            self.timers.after(0.05, self.over.set)  # the last answers are on their way

    def close(self) -> None:
        self.channel.close()
        self.nodes.close_all()
        self.viewers.close()


async def until_told(given: card.Given, log: Log) -> None:
    relay = Relay(given, log)
    relay.loop.add_signal_handler(signal.SIGHUP, relay.reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        relay.loop.add_signal_handler(number, relay.stop)
    log.say("serving", name=given.name, address="{}:{}".format(*given.address),
            nodes=len(relay.nodes.nodes))
    del given
    calm_collector(5_000, 20)  # a small machine: rounds often enough that what is in cycles never adds up
    await relay.over.wait()
    relay.close()


def main() -> int:
    """Serve until SIGTERM. 1, with one line on standard error, where the configuration can't be used."""
    try:
        given = card.read(os.environ)
        uvloop.run(until_told(given, Log()))
    except (card.ConfigurationRefused, OSError) as err:
        print(f"can't start: {told(err)}", file=sys.stderr)
        return 1
    return 0
