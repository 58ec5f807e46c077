"""Messages between fronts: single datagrams of at most 256 bytes, which may be lost."""

import asyncio

from .driver import Driver

MOST = 256


class Peers(asyncio.DatagramProtocol):
    """Sends to peers by index; takes only what comes from a peer's own address."""

    def __init__(self, driver: Driver, addresses: dict[int, tuple[str, int]]) -> None:
        self.driver, self.addresses = driver, addresses
        self.by_address = {address: index for index, address in addresses.items()}
        self.transport = None
        self.members = None  # membership, where the settings have keys for it
        self.heard: dict[int, int] = {}  # peer -> when it was last heard of

    def connection_made(self, transport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, source) -> None:
        index = self.by_address.get((source[0], source[1]))
        if index is not None and self.members is not None and self.members.handle_datagram(data):
            self.heard[index] = self.driver.clock.now()
            return
        if index is not None and len(data) <= MOST:
            self.heard[index] = self.driver.clock.now()
            self.driver.dispatch("told", index, data)

    def error_received(self, exc) -> None:
        """A peer's port is closed: the message is lost, as messages may be."""

    def send(self, peer: int | None, body: bytes) -> None:
        if len(body) > MOST:
            self.driver.log.error("a message too long", size=len(body))
            return
        targets = self.addresses.values() if peer is None else filter(None, [self.addresses.get(peer)])
        for address in targets if self.transport is not None else ():
            self.transport.sendto(body, address)
