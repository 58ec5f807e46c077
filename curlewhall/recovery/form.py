"""Encoding and decoding of log and snapshot files. Does no I/O. Format: `docs/recovery/format.md`."""

import struct

import crc32c
import msgspec
import zstandard

from curlewhall.errors import CurlewhallError

from .state import Entry

MAGIC = b"CWLH"
VERSION = 1
FILE_HEADER = struct.Struct("<4sBBH")  # magic, version, file kind, reserved
ENTRY_HEADER = struct.Struct("<II")  # payload size in bytes; CRC-32C of the size field and the payload
LOG_KIND = 1
SNAPSHOT_KIND = 2
MAX_PAYLOAD_BYTES = 1 << 24  # a larger size field is corrupt, and must not cause a large allocation
MAX_SNAPSHOT_BYTES = 1 << 30  # after decompression

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Entry).decode
_decode_all = msgspec.msgpack.Decoder(list[Entry]).decode


class NewerFormatError(CurlewhallError):
    """The file was written by a later version of the program and must not be modified."""

    remedy = "Start the version that wrote the state folder, or configure an empty state folder for this one."


class CorruptDataError(CurlewhallError):
    """The file's content is not what was written."""

    remedy = "No action is needed: the intact data before the damage is used. Check the disk if this recurs."


def file_header(kind: int) -> bytes:
    """Return the header of a file of `LOG_KIND` or `SNAPSHOT_KIND`."""
    return FILE_HEADER.pack(MAGIC, VERSION, kind, 0)


def check_file_header(data: bytes, kind: int) -> None:
    """Raise `NewerFormatError` for a later format version, `CorruptDataError` for any other wrong header."""
    if len(data) < FILE_HEADER.size:
        raise CorruptDataError(f"file is shorter than its header: {len(data)} of {FILE_HEADER.size} bytes")
    magic, version, found, _ = FILE_HEADER.unpack_from(data)
    if magic != MAGIC:
        raise CorruptDataError(f"file starts with {magic!r}, expected {MAGIC!r}")
    if version > VERSION:
        raise NewerFormatError(f"file has format version {version}; this program reads up to {VERSION}")
    if found != kind:
        raise CorruptDataError(f"file is of kind {found}, expected {kind}")


def encode_entry(entry: Entry) -> bytes:
    """Return an entry as it is appended to a log."""
    payload = _encode(entry)
    size = struct.pack("<I", len(payload))
    return ENTRY_HEADER.pack(len(payload), crc32c.crc32c(size + payload)) + payload


def decode_log(data: bytes) -> tuple[list[Entry], str]:
    """Return the entries of a log up to its end or the first damage, and the damage: "", "truncated" or
    "corrupt".

    Entries after the damage are not read, because they have a meaning only after the ones before them. Raise
    `CorruptDataError` or `NewerFormatError` for a wrong file header.
    """
    check_file_header(data, LOG_KIND)
    found, at = [], FILE_HEADER.size
    while at < len(data):
        if at + ENTRY_HEADER.size > len(data):
            return found, "truncated"
        size, crc = ENTRY_HEADER.unpack_from(data, at)
        if size > MAX_PAYLOAD_BYTES:
            return found, "corrupt"
        payload = data[at + ENTRY_HEADER.size : at + ENTRY_HEADER.size + size]
        if len(payload) < size:
            return found, "truncated"
        if crc32c.crc32c(struct.pack("<I", size) + payload) != crc:
            return found, "corrupt"
        try:
            found.append(_decode(payload))
        except msgspec.DecodeError:
            return found, "corrupt"
        at += ENTRY_HEADER.size + size
    return found, ""


def encode_snapshot(entries: list[Entry]) -> bytes:
    """Return a snapshot file: header, CRC-32C of the rest, compressed entries."""
    body = zstandard.ZstdCompressor(level=3).compress(_encode(entries))
    return file_header(SNAPSHOT_KIND) + struct.pack("<I", crc32c.crc32c(body)) + body


def decode_snapshot(data: bytes) -> list[Entry]:
    """Return the entries of a snapshot; raise `CorruptDataError` or `NewerFormatError`."""
    check_file_header(data, SNAPSHOT_KIND)
    if len(data) < FILE_HEADER.size + 4:
        raise CorruptDataError(f"snapshot ends within its checksum, after {len(data)} bytes")
    body = data[FILE_HEADER.size + 4 :]
    if struct.unpack_from("<I", data, FILE_HEADER.size)[0] != crc32c.crc32c(body):
        raise CorruptDataError("snapshot checksum does not match its content")
    try:
        return _decode_all(zstandard.ZstdDecompressor().decompress(body, max_output_size=MAX_SNAPSHOT_BYTES))
    except (zstandard.ZstdError, msgspec.DecodeError) as err:
        raise CorruptDataError(str(err)) from None
