"""The bytes of logs and snapshots. No I/O. Described in `docs/recovery/format.md`."""

import struct

import crc32c
import msgspec
import zstandard

from curlewhall.errors import CurlewhallError

from .state import Entry

MAGIC, VERSION = b"CWLH", 1
HEAD = struct.Struct("<4sBBH")  # magic, version, kind, reserved
FRAME = struct.Struct("<II")  # bytes of the payload; crc32c of that length and the payload
LOG, SNAPSHOT = 1, 2
LARGEST = 1 << 24  # bytes of a payload; a length beyond it is damage, not a request for memory
INFLATED = 1 << 30  # bytes of a snapshot's content at most

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Entry).decode
_decode_all = msgspec.msgpack.Decoder(list[Entry]).decode


class NewerFormatError(CurlewhallError):
    """Written by a later version of the program: nothing here may touch it."""

    remedy = "Start the version that wrote the state folder, or give this one an empty folder."


class CorruptDataError(CurlewhallError):
    """Not what was written."""

    remedy = "Nothing at once: what is sound before it is gone by; look at the disk if it repeats."


def head(kind: int) -> bytes:
    return HEAD.pack(MAGIC, VERSION, kind, 0)


def check_head(data: bytes, kind: int) -> None:
    """`NewerFormatError` for a later version, `CorruptDataError` for all else but a head of that kind."""
    if len(data) < HEAD.size:
        raise CorruptDataError("no head")
    magic, version, found, _ = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise CorruptDataError("not a file of this program")
    if version > VERSION:
        raise NewerFormatError(f"version {version}, this program knows {VERSION}")
    if found != kind:
        raise CorruptDataError(f"kind {found}, expected {kind}")


def frame(entry: Entry) -> bytes:
    payload = _encode(entry)
    size = struct.pack("<I", len(payload))
    return FRAME.pack(len(payload), crc32c.crc32c(size + payload)) + payload


def entries(data: bytes) -> tuple[list[Entry], str]:
    """All entries of a log up to its end or its first damage, and what ended it: "", "torn" or "damaged".

    What stands after a damage is not read: a later entry means something only after the earlier ones.
    """
    check_head(data, LOG)
    found, at = [], HEAD.size
    while at < len(data):
        if at + FRAME.size > len(data):
            return found, "torn"
        size, crc = FRAME.unpack_from(data, at)
        if size > LARGEST:
            return found, "damaged"
        payload = data[at + FRAME.size : at + FRAME.size + size]
        if len(payload) < size:
            return found, "torn"
        if crc32c.crc32c(struct.pack("<I", size) + payload) != crc:
            return found, "damaged"
        try:
            found.append(_decode(payload))
        except msgspec.DecodeError:
            return found, "damaged"
        at += FRAME.size + size
    return found, ""


def snapshot(rows: list[Entry]) -> bytes:
    """A whole state as one file's bytes: head, crc32c of the rest, compressed entries."""
    body = zstandard.ZstdCompressor(level=3).compress(_encode(rows))
    return head(SNAPSHOT) + struct.pack("<I", crc32c.crc32c(body)) + body


def read_snapshot(data: bytes) -> list[Entry]:
    """The entries of a snapshot; `CorruptDataError` or `NewerFormatError`."""
    check_head(data, SNAPSHOT)
    if len(data) < HEAD.size + 4:
        raise CorruptDataError("cut short")
    body = data[HEAD.size + 4 :]
    if struct.unpack_from("<I", data, HEAD.size)[0] != crc32c.crc32c(body):
        raise CorruptDataError("its checksum is another")
    try:
        return _decode_all(zstandard.ZstdDecompressor().decompress(body, max_output_size=INFLATED))
    except (zstandard.ZstdError, msgspec.DecodeError) as err:
        raise CorruptDataError(str(err)) from None
