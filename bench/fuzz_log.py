"""Damaged files for the reader of logs and snapshots, guided by coverage (atheris), for as long as asked.

    python bench/fuzz_log.py -max_total_time=600 [folder of inputs]

Whatever bytes are read, the outcome is entries, `CorruptDataError` or `NewerFormatError`; anything else, and
a reader that takes more than its stated memory, stops the run with the input kept. Not a part of CI, atheris
neither: the figures of the last run are in `docs/recovery/design.md`.
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
WHOLE = form.encode_snapshot(SEEDS)


def once(data: bytes) -> None:
    given = atheris.FuzzedDataProvider(data)
    way = given.ConsumeIntInRange(0, 4)
    if way == 0:
        raw = data
    elif way == 1:  # a sound log with a piece exchanged
        at, piece = given.ConsumeIntInRange(0, len(LOG)), given.ConsumeBytes(64)
        raw = LOG[:at] + piece + LOG[at + len(piece) :]
    elif way == 2:  # sound frames around anything: past the checksum
        payload = given.ConsumeBytes(4096)
        size = struct.pack("<I", len(payload))
        raw = LOG + form.ENTRY_HEADER.pack(len(payload), form.crc32c.crc32c(size + payload)) + payload
    elif way == 3:
        at, piece = given.ConsumeIntInRange(0, len(WHOLE)), given.ConsumeBytes(64)
        raw = WHOLE[:at] + piece + WHOLE[at + len(piece) :]
    else:  # a sound snapshot of anything
        body = form.zstandard.ZstdCompressor().compress(given.ConsumeBytes(4096))
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
    atheris.Setup(sys.argv, once)
    atheris.Fuzz()
