"""Carries datagrams between fronts, late and with losses as told. Each ordered pair has a socket of its own,
so that a front still knows its peer by the address that its file names."""

import asyncio

from .model import unit


class Leg(asyncio.DatagramProtocol):
    """Where front `one` sends what is for front `other`."""

    def __init__(self, relay: "Relay", one: int, other: int) -> None:
        self.relay, self.one, self.other, self.transport = relay, one, other, None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, source) -> None:
        self.relay.carry(self.one, self.other, data)


class Relay:
    """`legs` maps "one:other" to the address of that leg, `fronts` an index to a front's own address."""

    def __init__(self, loop, timers, plan: dict, records) -> None:
        self.loop, self.timers, self.plan, self.records = loop, timers, plan, records
        self.legs: dict[tuple[int, int], Leg] = {}
        self.loss, self.count = 0.0, 0

    async def start(self) -> None:
        for pair, (address, port) in self.plan["legs"].items():
            one, other = map(int, pair.split(":"))
            leg = self.legs[one, other] = Leg(self, one, other)
            await self.loop.create_datagram_endpoint(lambda leg=leg: leg, local_addr=(address, port))

    def fault(self, kind: str, value: float) -> None:
        """`loss`: the share of messages that is lost."""
        self.records.write("peers", "fault", kind=kind, value=value)
        self.loss = value

    def carry(self, one: int, other: int, data: bytes) -> None:
        self.count += 1
        lost = len(data) > 256 or unit("loss", self.count) < self.loss
        self.records.write("peers", "message", one=one, other=other, size=len(data), lost=lost)
        if not lost:
            low, high = self.plan["late"]
            span = low + (high - low) * unit("late", self.count)
            self.timers.after(span, self.deliver, one, other, data)

    def deliver(self, one: int, other: int, data: bytes) -> None:
        back = self.legs.get((other, one))
        if back is not None and back.transport is not None:
            back.transport.sendto(data, tuple(self.plan["fronts"][str(other)]))
