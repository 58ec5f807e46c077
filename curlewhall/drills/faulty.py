"""A front whose disk fails on purpose: full, slow, read-only, or dead at a point within a write.

    python -m curlewhall.cli.faulty CONTROL serve FILE [...]

What the file CONTROL says holds from the next write on: "" (sound), "full", "slow", "readonly", or
"die:POINT:N", which kills the process outright (as kill -9 does) at the N-th write from then on. Points:
"before" the first byte, "half" of the bytes, "unsynced" (all bytes, not yet told to the disk), "after" the
disk has it and before anybody is told, "replace" and "replaced" about a new generation's renaming.
"""

import errno
import os
import signal
import time
from pathlib import Path

from curlewhall.recovery import store

POINTS = ("before", "half", "unsynced", "after", "replace", "replaced")
SLOW = 0.25  # seconds a write takes on a slow disk: a tenth of the drill's shortest time limit


class Faulty(store.Disk):
    """Reads CONTROL before each write; it is the store's thread that sleeps and dies."""

    control = Path()

    def __init__(self) -> None:
        self.said, self.count = "", 0

    def fault(self) -> str:
        try:
            said = self.control.read_text().strip()
        except OSError:
            said = ""
        if said != self.said:
            self.said, self.count = said, 0
        kind, _, rest = said.partition(":")
        if kind == "full":
            raise OSError(errno.ENOSPC, "no space left on device")
        if kind == "readonly":
            raise OSError(errno.EROFS, "read-only file system")
        if kind == "slow":
            time.sleep(SLOW)
        if kind != "die":
            return ""
        point, _, number = rest.partition(":")
        self.count += 1
        return point if self.count >= int(number) else ""

    def die(self, point: str, here: str) -> None:
        if point == here:
            os.kill(os.getpid(), signal.SIGKILL)

    def put(self, path: Path, data: bytes, mode: str) -> None:
        point = self.fault()
        self.die(point, "before")
        with open(path, mode) as file:
            if point == "half":
                file.write(data[: len(data) // 2])
                file.flush()
                self.die(point, "half")
            file.write(data)
            file.flush()
            self.die(point, "unsynced")
            os.fsync(file.fileno())
        self.die(point, "after")

    def write(self, path: Path, data: bytes) -> None:
        self.put(path, data, "wb")
        self.sync(path.parent)

    def append(self, path: Path, data: bytes) -> None:
        self.put(path, data, "ab")

    def replace(self, old: Path, new: Path) -> None:
        point = self.fault()
        self.die(point, "replace")
        super().replace(old, new)
        self.die(point, "replaced")


def put_in(control: Path) -> None:
    """From now on every store of this process writes by what `control` says."""
    Faulty.control = control
    store.Disk = Faulty
    store.MAX_LOG_BYTES = 4000  # a new generation every few dozen plays, so that a short day has some
