"""What passed on the sockets, as lines of JSON: written by stand-ins, read by the judge of the rules.

A record has `t` (whole tenths of a millisecond of the machine's monotonic clock, one for all processes), `at`
(who saw it, such as "node:n3") and `what`; the rest depends on `what` and is told in `docs/records.md`.
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
    """Tenths of a millisecond, comparable between processes of one machine."""
    return time.monotonic_ns() // 100_000


class Writer:
    """Appends records to a file, in blocks; `close` writes the rest."""

    BLOCK = 256  # records: a few tens of kilobytes a write

    def __init__(self, path: str | Path) -> None:
        self.file, self.rows = open(path, "ab"), []  # noqa: SIM115 - closed in `close`

    def write(self, at: str, what: str, **facts) -> None:
        self.rows.append({"t": now(), "at": at, "what": what, **facts})
        if len(self.rows) >= self.BLOCK:
            self.flush()

    def flush(self) -> None:
        if self.rows:
            self.file.write(b"".join(_encode(row) + b"\n" for row in self.rows))
            self.file.flush()
            self.rows.clear()

    def close(self) -> None:
        self.flush()
        self.file.close()


class Pulse:
    """Tells in the records how late its process is: what it read, it read up to so much after it came."""

    EVERY, TOLD = 0.05, 200  # seconds between two looks; tenths of a millisecond under which nothing is said

    def __init__(self, timers, writer: Writer, at: str) -> None:
        self.timers, self.writer, self.at = timers, writer, at
        self.next()

    def next(self) -> None:
        self.timers.after(self.EVERY, self.look, now() + int(self.EVERY * 10_000))

    def look(self, due: int) -> None:
        late = now() - due
        if late > self.TOLD:
            self.writer.write(self.at, "lag", span=late)
        self.next()


class TruncatedRecordError(CurlewhallError):
    """A line that is no record."""

    remedy = "Play the day again: a record file was cut or changed by another program."


def read(path: str | Path) -> Iterator[Record]:
    """Records of a file in the order written. An unfinished last line is left out; others raise
    `TruncatedRecordError`.
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


def merged(paths: list[str | Path]) -> list[Record]:
    """All records of several files in the order of their times."""
    return sorted((row for path in paths for row in read(path)), key=lambda row: row["t"])
