"""Coverage-guided fuzzing (atheris) of the reader of logs and snapshots.

    python bench/fuzz_log.py -max_total_time=600 [folder of inputs]

Every input must result in entries, `CorruptDataError` or `NewerFormatError`. Any other exception, or a reader
that takes more than its documented memory, stops the run and saves the input. Neither this nor atheris is
part of CI; the results of the last run are in `docs/recovery/design.md`.
"""

import struct
import sys

import atheris

with atheris.instrument_imports(include=["curlewhall.recovery"]):
    from curlewhall.recovery import form
    from curlewhall.recovery.state import (
        AllocationSent,
        PlayEnded,
        PlayStarted,
        Reallocated,
        RequestsAccepted,
        State,
    )

SEEDS = [
    AllocationSent("p-1", 0, "n001", "v", "t", "paid", True, 1),
    PlayStarted("p-1", 0),
    PlayEnded("p-1"),
    RequestsAccepted(5, 3),
    Reallocated(6),
]
LOG = form.file_header(form.LOG_KIND) + b"".join(map(form.encode_entry, SEEDS))
SNAPSHOT = form.encode_snapshot(SEEDS)


def read_damaged(data: bytes) -> None:
    """Read a log and a snapshot that are arbitrary, or valid with arbitrary bytes in them."""
    provider = atheris.FuzzedDataProvider(data)
    variant = provider.ConsumeIntInRange(0, 4)
    if variant == 0:
        raw = data
    elif variant == 1:  # a valid log with some bytes replaced
        at, piece = provider.ConsumeIntInRange(0, len(LOG)), provider.ConsumeBytes(64)
        raw = LOG[:at] + piece + LOG[at + len(piece) :]
    elif variant == 2:  # a valid frame around arbitrary bytes, which passes the checksum
        payload = provider.ConsumeBytes(4096)
        size = struct.pack("<I", len(payload))
        raw = LOG + form.ENTRY_HEADER.pack(len(payload), form.crc32c.crc32c(size + payload)) + payload
    elif variant == 3:
        at, piece = provider.ConsumeIntInRange(0, len(SNAPSHOT)), provider.ConsumeBytes(64)
        raw = SNAPSHOT[:at] + piece + SNAPSHOT[at + len(piece) :]
    else:  # a snapshot with valid compression and checksum around arbitrary bytes
        body = form.zstandard.ZstdCompressor().compress(provider.ConsumeBytes(4096))
        raw = form.file_header(form.SNAPSHOT_KIND) + struct.pack("<I", form.crc32c.crc32c(body)) + body
    state = State(10_000)
    try:
        found, ended = form.decode_log(raw)
        assert ended in ("", "truncated", "corrupt")
        for entry in found:
            state.apply(entry)
        assert all(
            isinstance(entry, AllocationSent | PlayStarted | PlayEnded | RequestsAccepted | Reallocated)
            for entry in found
        )
    except (form.CorruptDataError, form.NewerFormatError):
        pass
    try:
        for entry in form.decode_snapshot(raw):
            state.apply(entry)
    except (form.CorruptDataError, form.NewerFormatError):
        pass
    state.entries()


if __name__ == "__main__":
    atheris.Setup(sys.argv, read_damaged)
    atheris.Fuzz()
