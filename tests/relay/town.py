"""A relay in the test's own loop, with the platform's stand-ins around it."""

import asyncio
import contextlib
import json
import socket

from test_simhost import CONFIG

from curlewhall.relay import card
from curlewhall.relay.absent import Log
from curlewhall.relay.serve import Relay
from curlewhall.standins.platform import Platform


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def settings(**changes):
    """The platform's settings; changes by path, as permissions__max_attempts=2."""
    whole = json.loads(CONFIG)
    whole["permissions"] |= {"connect-timeout-ms": 250.0, "idle-close-ms": 15000.0, "streams-per-conn": 100}
    for path, value in changes.items():
        *heads, last = path.replace("_", "-").split("--")
        part = whole
        for head in heads:
            part = part[head]
        part[last] = value
    return whole


class Town:
    """`relay` on `port`; `platform` around it."""

    def __init__(self, nodes=("n0", "n1", "n2", "n3"), does="serve", **changes):
        self.platform, self.changes, self.does, self.names = Platform(), changes, does, nodes
        self.lines = []

    def config(self, port, sockets=256):
        members = [self.platform.member(name) for name in self.platform.nodes]
        return {"name": "n0", "listen": f"127.0.0.1:{port}", "seed": "8c1f30d27a5be964",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
                "channel": f"127.0.0.1:{self.platform.channel.port}",
                "known": {"cursor": 1, "cmds": [{"cursor": 1, "nodes": {"complete": True,
                                                                        "members": members}}]},
                "settings": settings(**self.changes)}

    async def start(self, tmp_path, sockets=256):
        for name in self.names:
            await self.platform.add(name, self.does)
        await self.platform.channel.start()
        self.port, self.file = free_port(), tmp_path / "config.json"
        self.file.write_text(json.dumps(self.config(self.port, sockets)))
        given = card.read({"RELAY_CONFIG": str(self.file), "RELAY_LISTEN": f"127.0.0.1:{self.port}"})
        self.relay = Relay(given, Log(self))
        self.relay.driver.module.chance = lambda below: 0  # the first holder; cold nodes let plays through
        for node in self.relay.driver.module.nodes.values():
            node.cold_from = float("-inf")
        return self

    def write(self, text):
        self.lines.append(text)

    def flush(self):
        pass

    async def until(self, true):
        """Wait until something is so; what is waited for comes over sockets of this loop."""
        async with asyncio.timeout(15):
            while not true():
                await asyncio.sleep(0.005)

    def close(self):
        self.relay.close()
        self.platform.close()


@contextlib.asynccontextmanager
async def town(tmp_path, sockets=256, **facts):
    place = Town(**facts)
    try:
        yield await place.start(tmp_path, sockets)
    finally:
        place.close()
