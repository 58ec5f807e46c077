"""Datagrams of membership: a compact binary form with a keyed hash. No I/O.

All numbers big-endian. Head: magic (1), version and kind (1), sender (2), the sender's life (4), sequence
(4), nonce (4), incarnation (4), load (2), target (2), count of rows (1). Rows: index (2), state (1),
incarnation (4). Last 16 bytes: BLAKE2b (RFC 7693) of everything before, keyed.

Described in `docs/members/design.md`; whatever else comes is refused.
"""

import hashlib
import hmac
import struct
from typing import NamedTuple

from curlewhall.errors import CurlewhallError

MAGIC, VERSION = 0xC7, 1
HEAD = struct.Struct(">BBHIIIIHHB")
ROW = struct.Struct(">HBI")
HASH = 16  # bytes: 2^-128 for a guess
LARGEST = 256
MOST_ROWS = (LARGEST - HEAD.size - HASH) // ROW.size

# ASK: please ping `target` for me; WORD: another subsystem's
PING, ACK, ASK, SYNC, LEAVE, WORD = range(1, 7)
ALIVE, SUSPECT, DEAD, LEFT = range(4)
NOBODY = 0xFFFF  # no target


class Row(NamedTuple):
    """What is said of a member."""

    index: int
    state: int
    incarnation: int


class Message(NamedTuple):
    kind: int
    sender: int
    life: int  # drawn anew by each process
    sequence: int  # rises with each datagram of a life
    nonce: int  # of a ping; an ack gives it back
    incarnation: int
    load: int  # plays held, 65535 at most
    target: int
    rows: tuple[Row, ...]


class DatagramError(CurlewhallError):
    """Not a message of ours."""

    remedy = (
        "Give all fronts the same members.key_file; if they have it, look at who else sends "
        "to the peer port."
    )


SERIALS = 1 << 32  # of incarnations and sequence numbers


def newer(one: int, other: int) -> bool:
    """Whether incarnation `one` came after `other`; all came after 0, which nobody has.

    Danger: the last number has none above it. Numbers wrap (RFC 1982 section 3.2), so none is the last.
    """
    return one != other and (not other or (one - other) % SERIALS < SERIALS // 2)


def following(incarnation: int) -> int:
    """The next one; 0 is left out."""
    return incarnation % (SERIALS - 1) + 1


def encode(message: Message, key: bytes) -> bytes:
    head = HEAD.pack(
        MAGIC,
        VERSION << 4 | message.kind,
        message.sender,
        message.life,
        message.sequence,
        message.nonce,
        message.incarnation,
        message.load,
        message.target,
        len(message.rows),
    )
    body = head + b"".join(ROW.pack(*row) for row in message.rows)
    if len(message.rows) > MOST_ROWS:
        raise ValueError(f"{len(message.rows)} rows, {MOST_ROWS} at most")
    return body + sign(body, key)


def sign(body: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=HASH, key=key).digest()


def decode(data: bytes, keys: list[bytes]) -> Message:
    """The message, signed with one of `keys`; else `DatagramError`."""
    if not HEAD.size + HASH <= len(data) <= LARGEST or data[0] != MAGIC:
        raise DatagramError("not of this form")
    body, found = data[:-HASH], data[-HASH:]
    if not any(hmac.compare_digest(sign(body, key), found) for key in keys):
        raise DatagramError("no key of ours signed it")
    _, word, *facts, count = HEAD.unpack_from(body)
    kind = word & 15
    if word >> 4 != VERSION or not PING <= kind <= WORD:
        raise DatagramError(f"version {word >> 4}, kind {kind}")
    if len(body) != HEAD.size + count * ROW.size:
        raise DatagramError("its length is another")
    rows = tuple(Row(*ROW.unpack_from(body, HEAD.size + i * ROW.size)) for i in range(count))
    if any(row.state > LEFT for row in rows):
        raise DatagramError("an unknown state")
    sender, life, sequence, nonce, incarnation, load, target = facts
    return Message(kind, sender, life, sequence, nonce, incarnation, load, target, rows)


class Window:
    """Sequence numbers of one sender's life: each is taken once (RFC 4303 section 3.4.3 does alike)."""

    SIZE = 64

    def __init__(self) -> None:
        self.top, self.seen = -1, 0

    def take(self, sequence: int) -> bool:
        if sequence > self.top:
            shift = min(self.SIZE, sequence - self.top)
            self.seen = (self.seen << shift | 1) & (1 << self.SIZE) - 1
            self.top = sequence
            return True
        back = self.top - sequence
        if back >= self.SIZE or self.seen >> back & 1:
            return False
        self.seen |= 1 << back
        return True
