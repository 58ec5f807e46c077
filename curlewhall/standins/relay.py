"""Carries datagrams between fronts, late and with losses as told. Each ordered pair has a socket of its own,
so that a front still knows its peer by the address that its file names."""

import asyncio
from collections import defaultdict

from .model import unit

HELD = 0.05  # seconds for which a datagram is held back at most, so that later ones pass it


class Leg(asyncio.DatagramProtocol):
    """Where front `one` sends what is for front `other`."""

    def __init__(self, relay: "Relay", one: int, other: int) -> None:
        self.relay, self.one, self.other, self.transport = relay, one, other, None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, source) -> None:
        self.relay.carry(self.one, self.other, data)


class Relay:
    """`legs` maps "one:other" to the address of that leg, `fronts` an index to a front's own address.

    Each direction between two fronts can be told faults of its own: `cut`, `delay` in seconds, and as shares
    of what passes `loss`, `repeat` (it comes twice) and `reorder` (held back, so that later ones pass it).
    """

    KINDS = ("cut", "delay", "loss", "repeat", "reorder")

    def __init__(self, loop, timers, plan: dict, records, names: list[str]) -> None:
        self.loop, self.timers, self.plan, self.records, self.names = loop, timers, plan, records, names
        self.legs: dict[tuple[int, int], Leg] = {}
        self.loss, self.count = 0.0, 0
        self.faults: dict[tuple[int, int], dict[str, float]] = defaultdict(
            lambda: dict.fromkeys(self.KINDS, 0.0)
        )

    async def start(self) -> None:
        for pair, (address, port) in self.plan["legs"].items():
            one, other = map(int, pair.split(":"))
            leg = self.legs[one, other] = Leg(self, one, other)
            await self.loop.create_datagram_endpoint(lambda leg=leg: leg, local_addr=(address, port))

    def fault(self, kind: str, value: float) -> None:
        """`loss`: the share of messages that is lost."""
        self.records.write("peers", "fault", kind=kind, value=value)
        self.loss = value

    def fault_between(self, one: str, other: str, kind: str, value: float) -> bool:
        """Take or (value 0) end a fault of one direction; "*": every front. Whether there is any such leg."""
        found = [
            pair
            for pair in self.legs
            if one in ("*", self.names[pair[0]]) and other in ("*", self.names[pair[1]])
        ]
        for pair in found:
            self.faults[pair][kind] = value
        return bool(found)

    def carry(self, one: int, other: int, data: bytes) -> None:
        self.count += 1
        faults, luck = self.faults[one, other], unit("loss", self.count)
        lost = len(data) > 256 or faults["cut"] > 0 or luck < max(self.loss, faults["loss"])
        self.records.write("peers", "message", one=one, other=other, size=len(data), lost=lost)
        if lost:
            return
        low, high = self.plan["late"]
        span = faults["delay"] + low + (high - low) * unit("late", self.count)
        if unit("reorder", self.count) < faults["reorder"]:
            span += HELD * unit("held", self.count)
        self.timers.after(span, self.deliver, one, other, data)
        if unit("repeat", self.count) < faults["repeat"]:
            self.timers.after(span + HELD * unit("again", self.count), self.deliver, one, other, data)

    def deliver(self, one: int, other: int, data: bytes) -> None:
        back = self.legs.get((other, one))
        if back is not None and back.transport is not None:
            back.transport.sendto(data, tuple(self.plan["fronts"][str(other)]))
