"""Misbehaving clients in a process of their own: `python clients.py KIND HOST PORT SECONDS COUNT`.

Each kind is a function of `(address, count, until)`. They send at full speed, bounded by time and count, and
print one JSON line of what they did. Standard library only, so that they start at once.
"""

import contextlib
import itertools
import json
import os
import select
import socket
import struct
import sys
import time

HEAD = b"POST /v1/offer HTTP/1.1\r\nhost: x\r\n"
BODY_BYTES = 1_000_000
TAG = f"{os.getpid():x}"
LINGER_RESET = struct.pack("ii", 1, 0)


def connect(address, receive_bytes=None):
    sock = socket.socket()
    if receive_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock.settimeout(5)
    sock.connect(address)
    return sock


def send_until_refused(sock, data):
    """Send as much as the other side takes; whether it took all."""
    try:
        sock.sendall(data)
        return True
    except OSError:
        return False


def hold(address, count, until, data, pieces=1):
    """`count` connections that send `data`, in turn and in pieces, and then stay open and silent."""
    socks, size, taken = [], -(-len(data) // pieces), 0
    for _ in range(count):
        with contextlib.suppress(OSError):
            socks.append(connect(address))
    for at in range(0, len(data), size):
        for sock in socks:
            taken += send_until_refused(sock, data[at : at + size])
    time.sleep(max(0.0, until - time.monotonic()))
    return {"connected": len(socks), "pieces_taken": taken}


def flood(address, count, until, make, refused=(OSError,)):
    """One connection after the other on which `make(i)` is sent at full speed; what comes back is read."""
    sent = received = connects = 0
    numbers, sock, left = itertools.count(), None, b""
    while time.monotonic() < until:
        if sock is None:
            try:
                sock, connects, left = connect(address), connects + 1, b""
                sock.setblocking(False)
            except refused:
                time.sleep(0.01)
                continue
        if not left:
            left = b"".join(make(next(numbers)) for _ in range(64))
        can_read, can_write, _ = select.select([sock], [sock], [], 0.2)
        try:
            if can_read:
                data = sock.recv(1 << 16)
                received += len(data)
                if not data:
                    raise ConnectionResetError
            if can_write:
                n = sock.send(left)
                sent, left = sent + n, left[n:]
        except OSError:
            sock.close()
            sock = None
    return {"sent": sent, "received": received, "connects": connects, "made": next(numbers)}


# ---- HTTP


def http_half_bodies(address, count, until):
    """Half way through a body of the greatest length."""
    head = HEAD + b"content-length: %d\r\n\r\n" % BODY_BYTES
    return hold(address, count, until, head + b"x" * (BODY_BYTES // 2), pieces=50)


def http_small_chunks(address, count, until):
    """Half way through a body in chunks of one byte."""
    head = HEAD + b"transfer-encoding: chunked\r\n\r\n"
    return hold(address, count, until, head + b"1\r\nx\r\n" * 40_000, pieces=50)


def http_short_fields(address, count, until):
    """Heads of very many short fields, which do not end."""
    fields = b"".join(b"%x:\r\n" % i for i in range(2600))
    return hold(address, count, until, b"GET / HTTP/1.1\r\nhost: x\r\n" + fields, pieces=4)


def http_repeated_fields(address, count, until):
    """One field over and over."""
    return hold(address, count, until, b"GET / HTTP/1.1\r\nhost: x\r\n" + b"a:\r\n" * 3200, pieces=4)


def http_unanswered_bodies(address, count, until):
    """Whole requests with large bodies, several on a connection, whose answers take their time."""
    pieces = []
    for i in range(16):
        target = f"/play/clip-00?product=plain&viewer={TAG}.{i}&limit_ms=4000"
        head = f"GET {target} HTTP/1.1\r\nhost: x\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
        pieces.append(head.encode() + b"x" * BODY_BYTES)
    return hold(address, count, until, b"".join(pieces), pieces=160)


def http_never_read(address, count, until):
    """Requests with large answers that are never read."""
    socks, request = [], b"GET /v1/state HTTP/1.1\r\nhost: x\r\n\r\n"
    for _ in range(count):
        with contextlib.suppress(OSError):
            socks.append(connect(address, receive_bytes=2048))
    taken = sum(send_until_refused(sock, request * 64) for sock in socks)
    time.sleep(max(0.0, until - time.monotonic()))
    return {"connected": len(socks), "taken": taken}


def http_small(address, count, until):
    """Small requests at full speed."""
    return flood(address, count, until, lambda i: b"GET /x HTTP/1.1\r\nhost: x\r\n\r\n")


def http_names(address, count, until):
    """Requests for plays at full speed, each under a new name."""

    def make(i):
        names = f"viewer={TAG}.{i}&customer={TAG}.{i}&moved={TAG}.{i}"
        return f"GET /play/clip-00?product=paid&{names} HTTP/1.1\r\nhost: x\r\n\r\n".encode()

    return flood(address, count, until, make)


def http_unsound(address, count, until):
    """Requests with unsound parameters at full speed."""
    return flood(
        address,
        count,
        until,
        lambda i: f"GET /play/clip-{TAG}{i}?product=no&top=-1 HTTP/1.1\r\nhost: x\r\n\r\n".encode(),
    )


def http_garbage(address, count, until):
    """What is no HTTP, on ever new connections."""
    return flood(address, count, until, lambda i: b"\x00\xff\x13\x07\r\n\r\n" * 64)


def close_unread(address, connections, make):
    """Connections on which `make(i)` is sent at once, closed right after it; `closed_at`: when, by the
    machine's steady clock, for each name that `make` gives with its bytes.
    """
    closed_at = {}
    for i in range(connections):
        names, data = make(i)
        with contextlib.suppress(OSError):
            sock = connect(address)
            sock.sendall(data)
            sock.close()
        closed_at |= dict.fromkeys(names, time.monotonic())
    return {"closed_at": closed_at}


def http_close_unread(address, count, until):
    """Many requests for plays on one connection, which is closed at once."""

    def make(i):
        names = [f"left.{TAG}.{i}.{j}" for j in range(200)]
        requests = (f"GET /play/clip-00?product=plain&viewer={n} HTTP/1.1\r\nhost: x\r\n\r\n" for n in names)
        return names, "".join(requests).encode()

    return close_unread(address, count, make)


# ---- the platform's messages


def parameter(code, value):
    return struct.pack(">BH", code, len(value)) + value


def message(kind, session, *parameters):
    body = struct.pack(">B8s", kind, bytes.fromhex(session)) + b"".join(parameters)
    return struct.pack(">H", len(body)) + body


def session_id(i):
    return f"{int(TAG, 16) & 0xFFFFFF:06x}{i & 0xFFFFFFFFFF:010x}"


def set_up(session, product=b"cheap", description=b"d", attributes=None):
    attributes = attributes or b"home:0;copies:4;top:3;viewer:" + session.encode()
    return message(
        1,
        session,
        parameter(64, product),
        parameter(66, b"3000"),
        parameter(72, b"00000000000000aa"),
        parameter(74, attributes),
        parameter(94, description),
    )


def relay_half_messages(address, count, until):
    """Half way through a message of the greatest length."""
    return hold(address, count, until, set_up(session_id(1), description=b"d" * 16000)[:-50])


def relay_large_set_ups(address, count, until):
    """Set-ups of the greatest length, many on a connection, whose answers take their time."""
    data = b"".join(set_up(session_id(i * 1000), description=b"d" * 16000) for i in range(40))
    socks = [connect(address) for _ in range(count)]
    taken = 0
    for i, sock in enumerate(socks):
        own = b"".join(set_up(session_id(i * 1000 + j), description=b"d" * 16000) for j in range(40))
        taken += send_until_refused(sock, own)
    time.sleep(max(0.0, until - time.monotonic()))
    return {"connected": len(socks), "taken": taken, "bytes": len(data)}


def relay_checks(address, count, until):
    """Health checks at full speed."""
    return flood(address, count, until, lambda i: message(52, session_id(i), parameter(92, b"\0")))


def relay_releases(address, count, until):
    """Releases of unknown sessions at full speed."""
    return flood(address, count, until, lambda i: message(12, session_id(i)))


def relay_unsound(address, count, until):
    """Set-ups that can't be used, at full speed, each under a new id."""
    return flood(address, count, until, lambda i: set_up(session_id(i), product=b"none"))


def relay_names(address, count, until):
    """Set-ups at full speed, each under a new id and viewer."""
    return flood(address, count, until, lambda i: set_up(session_id(i)))


def relay_taken_back(address, count, until):
    """Set-ups at full speed, each taken back at once."""
    return flood(
        address,
        count,
        until,
        lambda i: set_up(session_id(i)) + message(12, session_id(i), parameter(92, b"\x10")),
    )


def relay_at(address, count, until):
    """Sessions of before that no node knows, at full speed."""
    return flood(
        address,
        count,
        until,
        lambda i: set_up(session_id(i), attributes=b"home:0;copies:4;top:3;viewer:01;at:n0"),
    )


def relay_never_read(address, count, until):
    """Messages at full speed on many connections whose answers are never read."""
    socks = []
    for _ in range(count):
        with contextlib.suppress(OSError):
            socks.append(connect(address, receive_bytes=2048))
    for sock in socks:
        sock.setblocking(False)
    data, sent = message(52, session_id(1), parameter(92, b"\0")) * 1000, 0
    while time.monotonic() < until and socks:
        _, ready, _ = select.select([], socks, [], 0.2)
        for sock in ready:
            try:
                sent += sock.send(data)
            except BlockingIOError:
                pass
            except OSError:
                socks.remove(sock)
    return {"sent": sent, "open": len(socks)}


def relay_close_unread(address, count, until):
    """Many set-ups on one connection, which is closed at once."""

    def make(i):
        names = [session_id(500 * i + j + 1) for j in range(500)]
        return names, b"".join(map(set_up, names))

    return close_unread(address, count, make)


def main():
    kind, host, port, seconds, count = sys.argv[1:]
    did = globals()[kind]((host, int(port)), int(count), time.monotonic() + float(seconds))
    print(json.dumps(did))


if __name__ == "__main__":
    main()
