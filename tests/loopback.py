"""Helpers for tests with loopback sockets and processes: event loops, raw clients and servers, drill runs."""

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

TEST_TIMEOUT_S = 30


def looped(test):
    """Decorator that runs an async test in an event loop of its own, with a time-out."""

    @functools.wraps(test)
    def run(*arguments, **named):
        async def limited():
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await test(*arguments, **named)

        uvloop.run(limited())

    return run


def poll(condition, timeout_s=20):
    """Wait until `condition()` is true and return its value; fails after `timeout_s` seconds."""
    deadline = time.monotonic() + timeout_s
    while not (value := condition()):
        assert time.monotonic() < deadline, f"the condition did not hold within {timeout_s} s"
        select.select([], [], [], 0.01)
    return value


class RawClient:
    """A client that sends raw bytes and reads HTTP responses."""

    def __init__(self, sock):
        self.sock, self.loop = sock, asyncio.get_running_loop()
        self.reader = http.ResponseParser(http.Limits())

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
            data = await self.loop.sock_recv(self.sock, 65536)
            assert data, "connection closed before the response was complete"
            self.reader.feed(data)
        return self.reader.messages.popleft()

    async def closed(self):
        """Wait until the server closes the connection, discarding what it sends before."""
        with contextlib.suppress(ConnectionError):
            while await self.loop.sock_recv(self.sock, 65536):
                pass
        self.sock.close()
        return True

    def close(self):
        self.sock.close()


class IdleClients:
    """`count` clients that connect, send `data` and stay idle."""

    def __init__(self, address, data, count):
        self.address = address
        self.data = data
        self.count = count
        self.clients = []

    async def fill(self):
        """Replace the clients that the server has closed.

        Yields to the event loop after every 16, so that the stand-ins in this loop go on answering.
        """
        for client in [c for c in self.clients if self.ended(c)]:
            client.close()
            self.clients.remove(client)
        while len(self.clients) < self.count:
            client = socket.create_connection(self.address)
            client.setblocking(False)
            client.send(self.data)
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
async def raw_server(response, hold=False):
    """A server that reads a few bytes, sends `response` and closes or, with `hold`, keeps the connection.

    Yields its port.
    """

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError):
            await reader.read(10)
            writer.write(response)
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


def run_drills(calls, tmp_path_factory):
    """Run drills in parallel, since they mostly wait.

    `calls` holds the arguments of each by name. Returns exit code, report and output of each by name.
    """
    folders = {name: tmp_path_factory.mktemp("drill") for name in calls}  # not thread-safe

    def run(name):
        out = folders[name] / f"{name}.json"
        result = subprocess.run(
            [sys.executable, "-m", "curlewhall", "drill", *calls[name], "--json", str(out)],
            capture_output=True,
            text=True,
            timeout=120,
        )
        report = json.loads(out.read_text()) if out.exists() else {}
        return result.returncode, report, result.stdout + result.stderr

    with ThreadPoolExecutor(len(calls)) as pool:
        return dict(zip(calls, pool.map(run, calls), strict=True))
