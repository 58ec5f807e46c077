"""A disk for a front's state that fails on purpose: full, slow, read-only, or with a crash within a write.

    python -m curlewhall.cli.faulty CONTROL serve FILE [...]

The content of the file CONTROL holds from the next write on: "" (no fault), "full", "slow", "readonly", or
"die:POINT:N", which kills the process with SIGKILL at the N-th write from then on. Points: "before" the first
byte, "half" of the bytes, "unsynced" (all bytes written, before fsync), "after" fsync and before the write is
confirmed, "replace" and "replaced" before and after a new generation is renamed into place.
"""

import errno
import os
import signal
import time
from pathlib import Path

from curlewhall.recovery import store

POINTS = ("before", "half", "unsynced", "after", "replace", "replaced")
SLOW_WRITE_S = 0.25  # about a tenth of the drill's shortest time limit


class FaultyDisk(store.Disk):
    """Reads the control file before each write. Runs in the store's thread, so only that thread is slow."""

    control = Path()

    def __init__(self) -> None:
        self.command = ""
        self.write_count = 0  # since the command changed

    def apply_fault(self) -> str:
        """Applies the current fault before a write; returns the point at which to crash, or ""."""
        try:
            command = self.control.read_text().strip()
        except OSError:
            command = ""
        if command != self.command:
            self.command = command
            self.write_count = 0
        kind, _, rest = command.partition(":")
        if kind == "full":
            raise OSError(errno.ENOSPC, "no space left on device")
        if kind == "readonly":
            raise OSError(errno.EROFS, "read-only file system")
        if kind == "slow":
            time.sleep(SLOW_WRITE_S)
        if kind != "die":
            return ""
        point, _, number = rest.partition(":")
        self.write_count += 1
        return point if self.write_count >= int(number) else ""

    def crash_at(self, point: str, current: str) -> None:
        """Kills the process if `point`, where it is to crash, is the current one."""
        if point == current:
            os.kill(os.getpid(), signal.SIGKILL)

    def write_with_fault(self, path: Path, data: bytes, mode: str) -> None:
        """Writes and syncs the data, unless the current fault prevents it."""
        point = self.apply_fault()
        self.crash_at(point, "before")
        with open(path, mode) as file:
            if point == "half":
                file.write(data[: len(data) // 2])
                file.flush()
                self.crash_at(point, "half")
            file.write(data)
            file.flush()
            self.crash_at(point, "unsynced")
            os.fsync(file.fileno())
        self.crash_at(point, "after")

    def write(self, path: Path, data: bytes) -> None:
        self.write_with_fault(path, data, "wb")
        self.sync(path.parent)

    def append(self, path: Path, data: bytes) -> None:
        self.write_with_fault(path, data, "ab")

    def replace(self, old: Path, new: Path) -> None:
        point = self.apply_fault()
        self.crash_at(point, "replace")
        super().replace(old, new)
        self.crash_at(point, "replaced")


def use_faulty_disk(control: Path) -> None:
    """Lets all stores of this process use a `FaultyDisk` with this control file."""
    FaultyDisk.control = control
    store.Disk = FaultyDisk
    store.MAX_LOG_BYTES = 4000  # a new generation every few dozen plays, so that a short drill has several
