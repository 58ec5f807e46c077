"""Records of what passed on sockets, as lines of JSON: written by stand-ins, read by the judge of the rules.

A record has `t` (tenths of a millisecond of the machine's monotonic clock, which all processes share), `at`
(who recorded it, such as "node:n3") and `what`; the other keys depend on `what`, see `docs/records.md`.
"""

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from curlewhall.errors import CurlewhallError

Record = dict[str, Any]
_encode = msgspec.json.Encoder().encode


def now() -> int:
    """The time in tenths of a millisecond, comparable between the processes of a machine."""
    return time.monotonic_ns() // 100_000


class Writer:
    """Appends records to a file, in blocks; `close` writes the rest."""

    BLOCK_RECORDS = 256  # a few tens of kilobytes per write

    def __init__(self, path: str | Path) -> None:
        self.file = open(path, "ab")  # noqa: SIM115 - closed in `close`
        self.rows = []

    def write(self, at: str, what: str, **fields) -> None:
        """Add a record with the current time."""
        self.rows.append({"t": now(), "at": at, "what": what, **fields})
        if len(self.rows) >= self.BLOCK_RECORDS:
            self.flush()

    def flush(self) -> None:
        """Write the records that were added since the last block."""
        if self.rows:
            self.file.write(b"".join(_encode(row) + b"\n" for row in self.rows))
            self.file.flush()
            self.rows.clear()

    def close(self) -> None:
        self.flush()
        self.file.close()


class LagRecorder:
    """Records how late the event loop of its process runs: input may have arrived that much before it was
    read.
    """

    INTERVAL_S = 0.05
    THRESHOLD = 200  # tenths of a millisecond; a smaller lag is not recorded

    def __init__(self, timers, writer: Writer, at: str) -> None:
        self.timers = timers
        self.writer = writer
        self.at = at
        self.schedule()

    def schedule(self) -> None:
        """Schedule the next check."""
        self.timers.after(self.INTERVAL_S, self.check, now() + int(self.INTERVAL_S * 10_000))

    def check(self, due: int) -> None:
        """Record the lag of a check that was due at `due`."""
        lag = now() - due
        if lag > self.THRESHOLD:
            self.writer.write(self.at, "lag", span=lag)
        self.schedule()


class TruncatedRecordError(CurlewhallError):
    """A line of a record file that is not a record."""

    remedy = "Run the drill again: a record file was truncated or changed by another program."


def read(path: str | Path) -> Iterator[Record]:
    """The records of a file in the order of writing. An incomplete last line is skipped; any other line that
    is not a record raises `TruncatedRecordError`.
    """
    with open(path, "rb") as file:
        for number, line in enumerate(file, 1):
            try:
                row = msgspec.json.decode(line)
                if not (isinstance(row, dict) and {"t", "at", "what"} <= row.keys()):
                    raise TruncatedRecordError(f"{path}, line {number}: not a record")
            except msgspec.DecodeError as err:
                if not line.endswith(b"\n"):
                    return
                raise TruncatedRecordError(f"{path}, line {number}: {err}") from None
            yield row


def read_merged(paths: list[str | Path]) -> list[Record]:
    """All records of several files, sorted by time."""
    return sorted((row for path in paths for row in read(path)), key=lambda row: row["t"])
