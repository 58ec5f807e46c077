"""Messages between fronts: UDP datagrams of at most 256 bytes, which may be lost."""

import asyncio

from .driver import Driver

MAX_MESSAGE_BYTES = 256


class Peers(asyncio.DatagramProtocol):
    """Sends to peers by index; accepts only datagrams from the configured addresses of peers."""

    def __init__(self, driver: Driver, addresses: dict[int, tuple[str, int]]) -> None:
        self.driver = driver
        self.addresses = addresses
        self.index_by_address = {address: index for index, address in addresses.items()}
        self.transport = None
        self.members = None  # `Membership`, if the settings have keys for it
        self.last_heard_at: dict[int, int] = {}  # peer -> tick of its latest datagram

    def connection_made(self, transport) -> None:
        """Keep the transport to send with."""
        self.transport = transport

    def datagram_received(self, data: bytes, source) -> None:
        """Pass a peer's datagram to membership, or to the module if it is not for membership."""
        index = self.index_by_address.get((source[0], source[1]))
        if index is not None and self.members is not None and self.members.handle_datagram(data):
            self.last_heard_at[index] = self.driver.clock.now()
            return
        if index is not None and len(data) <= MAX_MESSAGE_BYTES:
            self.last_heard_at[index] = self.driver.clock.now()
            self.driver.dispatch("told", index, data)

    def error_received(self, exc) -> None:
        """Ignore errors such as a closed port: messages may be lost."""

    def send(self, peer: int | None, body: bytes) -> None:
        """Send a datagram to one peer, or to all (None); one that is too long is logged and dropped."""
        if len(body) > MAX_MESSAGE_BYTES:
            self.driver.log.error("message to peers exceeds the maximum size; not sent", size=len(body))
            return
        targets = self.addresses.values() if peer is None else filter(None, [self.addresses.get(peer)])
        for address in targets if self.transport is not None else ():
            self.transport.sendto(body, address)
