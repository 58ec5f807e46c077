"""Relay for the datagrams between fronts, with delay, loss, duplication and reordering on command.

Each ordered pair of fronts has a socket of its own, so that a front still sees its peer's datagrams come from
the address in its settings.
"""

import asyncio
from collections import defaultdict

from .model import hash_fraction

MAX_DATAGRAM_BYTES = 256
REORDER_DELAY_S = 0.05  # a reordered or repeated datagram is sent at most so much later


class PairSocket(asyncio.DatagramProtocol):
    """The socket to which front `source` sends the datagrams for front `target` (indices of fronts)."""

    def __init__(self, relay: "Relay", source: int, target: int) -> None:
        self.relay = relay
        self.source = source
        self.target = target
        self.transport = None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address) -> None:
        self.relay.forward(self.source, self.target, data)


class Relay:
    """Forwards datagrams between the fronts of a plan, with faults for each direction between two of them.

    In `plan`, "legs" maps "source:target" (indices of fronts) to the address of that pair's socket, "fronts"
    an index to the front's own address, and "late" is the range of the delay in seconds.

    The faults of a direction are `cut`, `delay` (seconds), and as shares of its datagrams `loss`, `repeat`
    (the datagram arrives twice) and `reorder` (it is delayed, so that later ones overtake it).
    """

    KINDS = ("cut", "delay", "loss", "repeat", "reorder")

    def __init__(self, loop, timers, plan: dict, records, names: list[str]) -> None:
        self.loop = loop
        self.timers = timers
        self.plan = plan
        self.records = records
        self.names = names
        self.sockets: dict[tuple[int, int], PairSocket] = {}
        self.loss = 0.0  # share of all datagrams that is lost, in every direction
        self.count = 0  # datagrams so far; the seed of each datagram's delay and faults
        self.faults: dict[tuple[int, int], dict[str, float]] = defaultdict(
            lambda: dict.fromkeys(self.KINDS, 0.0)
        )

    async def start(self) -> None:
        """Open the socket of every pair."""
        for pair, (address, port) in self.plan["legs"].items():
            source, target = map(int, pair.split(":"))
            pair_socket = self.sockets[source, target] = PairSocket(self, source, target)
            await self.loop.create_datagram_endpoint(
                lambda pair_socket=pair_socket: pair_socket, local_addr=(address, port)
            )

    def fault(self, kind: str, value: float) -> None:
        """Set the share of datagrams that is lost in every direction; `kind` is only recorded."""
        self.records.write("peers", "fault", kind=kind, value=value)
        self.loss = value

    def fault_between(self, source: str, target: str, kind: str, value: float) -> bool:
        """Start or (value 0) end a fault of one direction between two fronts, given by name.

        "*" stands for every front. Returns whether the fault applies to any pair.
        """
        found = [
            pair
            for pair in self.sockets
            if source in ("*", self.names[pair[0]]) and target in ("*", self.names[pair[1]])
        ]
        for pair in found:
            self.faults[pair][kind] = value
        return bool(found)

    def forward(self, source: int, target: int, data: bytes) -> None:
        """Pass a datagram on under the faults in force; one over `MAX_DATAGRAM_BYTES` is lost."""
        self.count += 1
        faults, loss_draw = self.faults[source, target], hash_fraction("loss", self.count)
        lost = (
            len(data) > MAX_DATAGRAM_BYTES or faults["cut"] > 0 or loss_draw < max(self.loss, faults["loss"])
        )
        self.records.write("peers", "message", one=source, other=target, size=len(data), lost=lost)
        if lost:
            return
        low, high = self.plan["late"]
        delay = faults["delay"] + low + (high - low) * hash_fraction("late", self.count)
        if hash_fraction("reorder", self.count) < faults["reorder"]:
            delay += REORDER_DELAY_S * hash_fraction("held", self.count)
        self.timers.after(delay, self.deliver, source, target, data)
        if hash_fraction("repeat", self.count) < faults["repeat"]:
            self.timers.after(
                delay + REORDER_DELAY_S * hash_fraction("again", self.count),
                self.deliver,
                source,
                target,
                data,
            )

    def deliver(self, source: int, target: int, data: bytes) -> None:
        """Send a datagram to its target from the socket to which the target sends its own for the source."""
        reverse = self.sockets.get((target, source))
        if reverse is not None and reverse.transport is not None:
            reverse.transport.sendto(data, tuple(self.plan["fronts"][str(target)]))
