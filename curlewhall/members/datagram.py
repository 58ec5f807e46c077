"""Encoding of membership datagrams: a compact binary format authenticated by a keyed hash. No I/O.

All numbers are big-endian. Header: magic (1 byte), version and kind (1), sender (2), the sender's instance id
(4), sequence number (4), nonce (4), incarnation (4), load (2), target (2), number of rows (1). Each row:
index (2), state (1), incarnation (4). The last 16 bytes are a keyed BLAKE2b hash (RFC 7693) of everything
before.

`decode` rejects every other input.
"""

import hashlib
import hmac
import struct
from typing import NamedTuple

from curlewhall.errors import CurlewhallError

MAGIC = 0xC7
VERSION = 1
HEADER = struct.Struct(">BBHIIIIHHB")
ROW = struct.Struct(">HBI")
HASH_BYTES = 16  # a random guess succeeds with probability 2^-128
MAX_DATAGRAM_BYTES = 256
MAX_ROWS = (MAX_DATAGRAM_BYTES - HEADER.size - HASH_BYTES) // ROW.size

# Kinds. PING_REQUEST asks the receiver to ping `target`; EXTENSION carries rows of another subsystem.
PING, ACK, PING_REQUEST, SYNC, LEAVE, EXTENSION = range(1, 7)
ALIVE, SUSPECT, DEAD, LEFT = range(4)
NO_TARGET = 0xFFFF


class Row(NamedTuple):
    """The state and incarnation of one member, as the sender knows them."""

    index: int
    state: int
    incarnation: int


class Message(NamedTuple):
    """One datagram, decoded."""

    kind: int
    sender: int
    instance_id: int  # random number of the sending process
    sequence: int  # increases with each datagram of an instance
    nonce: int  # chosen by the sender of a ping, repeated in its ack
    incarnation: int
    load: int  # plays held by the sender, 65535 at most
    target: int
    rows: tuple[Row, ...]


class DatagramError(CurlewhallError):
    """The bytes are not a valid datagram of this protocol, or none of the given keys signed them."""

    remedy = (
        "Give all fronts the same members.key_file; if they already have it, find out which other program "
        "sends to the peer port."
    )


SERIAL_MODULUS = 1 << 32  # incarnations and sequence numbers wrap here


def is_newer(incarnation: int, other: int) -> bool:
    """Whether `incarnation` is later than `other`; every number is later than 0, which is never assigned.

    Numbers wrap around (RFC 1982 section 3.2). Without that, no incarnation could override the highest one.
    """
    return incarnation != other and (
        not other or (incarnation - other) % SERIAL_MODULUS < SERIAL_MODULUS // 2
    )


def next_incarnation(incarnation: int) -> int:
    """The incarnation after this one, skipping 0 when it wraps."""
    return incarnation % (SERIAL_MODULUS - 1) + 1


def encode(message: Message, key: bytes) -> bytes:
    """The signed bytes of a message. Raises `ValueError` if it has more than `MAX_ROWS` rows."""
    header = HEADER.pack(
        MAGIC,
        VERSION << 4 | message.kind,
        message.sender,
        message.instance_id,
        message.sequence,
        message.nonce,
        message.incarnation,
        message.load,
        message.target,
        len(message.rows),
    )
    body = header + b"".join(ROW.pack(*row) for row in message.rows)
    if len(message.rows) > MAX_ROWS:
        raise ValueError(f"a datagram holds at most {MAX_ROWS} rows, got {len(message.rows)}")
    return body + sign(body, key)


def sign(body: bytes, key: bytes) -> bytes:
    """The keyed hash that is appended to `body`."""
    return hashlib.blake2b(body, digest_size=HASH_BYTES, key=key).digest()


def decode(data: bytes, keys: list[bytes]) -> Message:
    """The message in `data`, which one of `keys` must have signed. Raises `DatagramError`."""
    if not HEADER.size + HASH_BYTES <= len(data) <= MAX_DATAGRAM_BYTES or data[0] != MAGIC:
        raise DatagramError("the size or the first byte is not that of a membership datagram")
    body, signature = data[:-HASH_BYTES], data[-HASH_BYTES:]
    if not any(hmac.compare_digest(sign(body, key), signature) for key in keys):
        raise DatagramError("the signature matches none of this front's keys")
    _, version_and_kind, *fields, row_count = HEADER.unpack_from(body)
    kind = version_and_kind & 15
    if version_and_kind >> 4 != VERSION or not PING <= kind <= EXTENSION:
        raise DatagramError(f"unsupported version {version_and_kind >> 4} or unknown kind {kind}")
    if len(body) != HEADER.size + row_count * ROW.size:
        raise DatagramError(f"the length does not match the {row_count} rows that the header announces")
    rows = tuple(Row(*ROW.unpack_from(body, HEADER.size + i * ROW.size)) for i in range(row_count))
    if any(row.state > LEFT for row in rows):
        raise DatagramError(f"a row has an unknown state; the highest is {LEFT}")
    sender, instance_id, sequence, nonce, incarnation, load, target = fields
    return Message(kind, sender, instance_id, sequence, nonce, incarnation, load, target, rows)


class ReplayWindow:
    """Accepts each sequence number of one sender instance once, like RFC 4303 section 3.4.3."""

    SIZE = 64

    def __init__(self) -> None:
        self.highest = -1
        self.bitmap = 0  # bit i: `highest - i` was received

    def accept(self, sequence: int) -> bool:
        """Whether the number is new; numbers `SIZE` or more below the highest are rejected."""
        if sequence > self.highest:
            shift = min(self.SIZE, sequence - self.highest)
            self.bitmap = (self.bitmap << shift | 1) & (1 << self.SIZE) - 1
            self.highest = sequence
            return True
        offset = self.highest - sequence
        if offset >= self.SIZE or self.bitmap >> offset & 1:
            return False
        self.bitmap |= 1 << offset
        return True
