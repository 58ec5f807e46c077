"""Helpers of tests that use loopback sockets: a loop for each test, raw peers and raw servers."""

import asyncio
import contextlib
import functools
import json
import select
import socket
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor

import uvloop

from curlewhall.wire import http

PATIENCE = 30  # seconds after which a test that waits for what never comes is given up


def looped(test):
    """Run an async test in a loop of its own."""

    @functools.wraps(test)
    def run(*facts, **named):
        async def limited():
            async with asyncio.timeout(PATIENCE):
                await test(*facts, **named)

        uvloop.run(limited())

    return run


def poll(true, span=20):
    """Wait until another process has done something; `span` seconds end a vain wait."""
    until = time.monotonic() + span
    while not (found := true()):
        assert time.monotonic() < until, "it did not happen"
        select.select([], [], [], 0.01)
    return found


class Peer:
    """A client that says raw bytes and reads messages."""

    def __init__(self, sock):
        self.sock, self.loop = sock, asyncio.get_running_loop()
        self.reader = http.Responses(http.Limits())

    @classmethod
    async def open(cls, port, address="127.0.0.1"):
        sock = socket.socket()
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (address, port))
        return cls(sock)

    async def send(self, raw):
        await self.loop.sock_sendall(self.sock, raw)

    async def message(self):
        while not self.reader.messages:
            got = await self.loop.sock_recv(self.sock, 65536)
            assert got, "closed before the message was whole"
            self.reader.feed(got)
        return self.reader.messages.popleft()

    async def closed(self):
        """Wait for the other side to close; what it says before is passed over."""
        with contextlib.suppress(ConnectionError):
            while await self.loop.sock_recv(self.sock, 65536):
                pass
        self.sock.close()
        return True

    def close(self):
        self.sock.close()


class Crowd:
    """Clients that connect, say little and stay; those that were closed come again at each `fill`."""

    def __init__(self, where, says, count):
        self.where, self.says, self.count, self.clients = where, says, count, []

    async def fill(self):
        """By sixteen a turn: the stand-ins in this loop go on answering, however busy the machine is."""
        for client in [c for c in self.clients if self.ended(c)]:
            client.close()
            self.clients.remove(client)
        while len(self.clients) < self.count:
            client = socket.create_connection(self.where)
            client.setblocking(False)
            client.send(self.says)
            self.clients.append(client)
            if len(self.clients) % 16 == 0:
                await asyncio.sleep(0)

    @staticmethod
    def ended(client):
        try:
            return not client.recv(65536)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def close(self):
        for client in self.clients:
            client.close()


@contextlib.asynccontextmanager
async def raw_server(said, hold=False):
    """A server that reads something, says `said` and closes, or holds the connection."""

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError):
            await reader.read(10)
            writer.write(said)
            await writer.drain()
            if hold:
                await reader.read(10_000_000)
                await reader.read(1)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


def played(calls, tmp_path_factory):
    """Drills by name, all at once: what they wait for is time, not the processor. Code, report, what was
    said.
    """
    folders = {name: tmp_path_factory.mktemp("drill") for name in calls}  # one thread numbers them

    def play(name):
        out = folders[name] / f"{name}.json"
        done = subprocess.run(
            [sys.executable, "-m", "curlewhall", "drill", *calls[name], "--json", str(out)],
            capture_output=True,
            text=True,
            timeout=120,
        )
        found = json.loads(out.read_text()) if out.exists() else {}
        return done.returncode, found, done.stdout + done.stderr

    with ThreadPoolExecutor(len(calls)) as pool:
        return dict(zip(calls, pool.map(play, calls), strict=True))
