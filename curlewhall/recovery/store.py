"""The files of one front: a log with group commit, snapshots, one folder that one process owns.

Damage never stops a start: what can be read is taken, the rest is told, and a fresh generation is begun, so
that nothing is ever appended to a damaged file. Two things do stop it: a folder that another process holds,
and
files of a later version.
"""

import asyncio
import fcntl
import os
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path

from curlewhall.errors import CurlewhallError, describe

from . import form
from .state import Entry, State

LARGE = 4 << 20  # bytes of a log after which a snapshot is made: some 40,000 entries, read back in a second
AGAIN = 1.0  # seconds until a disk that failed is tried again


class StoreLockedError(CurlewhallError):
    """Another process holds the folder."""

    remedy = "Stop the process that holds the state folder, or name another state.folder."


class Disk:
    """What the store does to files; tests put one that fails in its place."""

    def write(self, path: Path, data: bytes) -> None:
        """A whole new file, on disk before this returns."""
        with open(path, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        self.sync(path.parent)

    def append(self, path: Path, data: bytes) -> None:
        """More of a file, on disk before this returns."""
        with open(path, "ab") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())

    def replace(self, old: Path, new: Path) -> None:
        os.replace(old, new)
        self.sync(new.parent)

    def read(self, path: Path) -> bytes:
        return path.read_bytes()

    def remove(self, path: Path) -> None:
        path.unlink(missing_ok=True)

    def names(self, folder: Path) -> list[str]:
        return sorted(os.listdir(folder))

    def sync(self, folder: Path) -> None:
        number = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(number)
        finally:
            os.close(number)


class Files:
    """The generations of a folder, without a thread: `Store` adds that."""

    def __init__(
        self,
        folder: str | Path,
        window: int,
        disk: Disk | None = None,
        tell: Callable[..., None] = lambda *facts, **named: None,
        now: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        self.folder, self.disk, self.tell, self.now = Path(folder), disk or Disk(), tell, now
        self.state, self.generation, self.size, self.lock = State(window), 0, 0, None
        self.ill = False

    def name(self, kind: str, generation: int) -> Path:
        return self.folder / f"{kind}-{generation:08}"

    def open(self) -> State:
        """Own the folder and read it: the state of the process before.

        Raises `StoreLockedError`, `form.NewerFormatError` or `OSError`.
        """
        self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self.lock = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock)
            self.lock = None
            raise StoreLockedError(f"{self.folder}: another process holds it") from None
        try:
            self.recover()
            self.state.set_back(self.now())
            self.begin(self.generation + 1)
        except OSError as err:
            # Danger: a full disk must not become a crash loop. Nothing is kept until it can be.
            self.ill = True
            self.tell("the state can't be kept", why=describe(err))
        except BaseException:
            self.close()
            raise
        return self.state

    def recover(self) -> None:
        """The newest sound snapshot and the logs from its generation on."""
        there: dict[str, list[int]] = {"snapshot": [], "log": []}
        for name in self.disk.names(self.folder):
            kind, _, number = name.partition("-")
            if kind in there and number.isdigit():
                there[kind].append(int(number))
        self.generation = max([*there["snapshot"], *there["log"], 0])
        base = -1
        for generation in sorted(there["snapshot"], reverse=True):
            try:
                rows = form.read_snapshot(self.disk.read(self.name("snapshot", generation)))
            except (form.CorruptDataError, OSError) as err:
                self.tell("a snapshot can't be read", generation=generation, why=describe(err))
                continue
            base = generation
            for row in rows:
                self.state.apply(row)
            break
        for generation in sorted(there["log"]):
            if generation < base:
                continue
            try:
                rows, ended = form.entries(self.disk.read(self.name("log", generation)))
            except (form.CorruptDataError, OSError) as err:
                rows, ended = [], describe(err)
            for row in rows:
                self.state.apply(row)
            if ended:
                self.tell("a log ends early", generation=generation, entries=len(rows), why=ended)

    def begin(self, generation: int, whole: bytes | None = None) -> None:
        """A new generation: a snapshot (`whole`, or of what is known), an empty log; the one before is kept,
        older ones go.
        """
        there = self.name("snapshot", generation)
        fresh = there.with_name("new-snapshot")
        self.disk.write(fresh, form.snapshot(self.state.rows()) if whole is None else whole)
        self.disk.write(self.name("log", generation), form.head(form.LOG))
        self.disk.replace(fresh, there)
        old, self.generation, self.size = self.generation, generation, form.HEAD.size
        for name in self.disk.names(self.folder):
            kind, _, number = name.partition("-")
            if kind in ("snapshot", "log") and number.isdigit() and int(number) < old:
                self.disk.remove(self.folder / name)

    def append(self, rows: list[Entry]) -> None:
        """Put entries on disk; `OSError` where they are not surely there."""
        data = b"".join(map(form.frame, rows))
        self.disk.append(self.name("log", self.generation), data)
        self.size += len(data)

    def close(self) -> None:
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None


class Store:
    """Files with a thread of their own: entries of one turn, and of a write under way, go to disk
    together.

    The state is read and changed on the loop alone; files and their counts in the thread, one call at a time,
    and on the loop only while none is under way: every call of the disk but those of `open` and `close` is
    made by the thread.
    """

    def __init__(self, files: Files, loop, timers, log) -> None:
        self.files, self.loop, self.timers, self.log = files, loop, timers, log
        self.rows: list[Entry] = []
        self.thens: list[Callable[[bool], None]] = []
        self.thread = ThreadPoolExecutor(1, thread_name_prefix="store")
        self.writing = self.failing = self.mending = self.closed = False
        self.under_way: Future | None = None  # the thread's latest call
        self.commits = self.entries = 0
        if files.ill:
            self.failing = True
            timers.after(AGAIN, self.again)

    def add(self, entry: Entry, then: Callable[[bool], None] | None = None) -> None:
        """Keep an entry. `then(sure)` is called once it is on disk, or once it is known that it is not."""
        self.files.state.apply(entry)
        if self.failing or self.closed:  # the state has it, and is written whole when the disk is back
            if self.mending:
                self.rows.append(entry)  # after the whole that is being written
            if then is not None:
                self.loop.call_soon(then, False)
            return
        self.rows.append(entry)
        if then is not None:
            self.thens.append(then)
        if not self.writing:
            self.writing = True
            self.loop.call_soon(self.commit)

    def commit(self) -> None:
        if self.closed:
            return  # `close` has written what was left
        rows, self.rows = self.rows, []
        thens, self.thens = self.thens, []
        large = self.files.size > LARGE
        whole = form.snapshot(self.files.state.rows()) if large else None
        self.run(lambda done: self.written(done, rows, thens), self.write, rows, whole)

    def run(self, done: Callable, what: Callable, *facts) -> None:
        """Call `what` in the thread, then `done` on the loop."""
        self.under_way = self.thread.submit(what, *facts)
        asyncio.wrap_future(self.under_way, loop=self.loop).add_done_callback(done)

    def write(self, rows: list[Entry], whole: bytes | None) -> None:
        self.files.append(rows)
        if whole is not None:
            # the snapshot was made with these rows in it, on the loop, where the state is whole
            self.files.begin(self.files.generation + 1, whole)

    def written(self, done, rows: list[Entry], thens: list) -> None:
        err = done.exception()
        self.commits, self.entries = self.commits + 1, self.entries + len(rows)
        if err is not None:
            # Danger: a full disk. What is not surely kept is said so; the state is written anew, whole,
            # later.
            self.failing, self.writing = True, False
            self.log.error("the state can't be kept", why=describe(err))
            thens += self.thens
            self.thens, self.rows = [], []
            self.timers.after(AGAIN, self.again)
        elif self.rows:
            self.commit()
        else:
            self.writing = False
        for then in thens:
            then(err is None)

    def again(self) -> None:
        """Begin a new generation with the whole state: what failed is in it."""
        if not self.closed:
            self.mending = True
            self.run(
                self.begun,
                self.files.begin,
                self.files.generation + 1,
                form.snapshot(self.files.state.rows()),
            )

    def begun(self, done) -> None:
        err, self.mending = done.exception(), False
        if err is not None:
            self.rows = []
            self.log.warning("the state still can't be kept", why=describe(err))
            self.timers.after(AGAIN, self.again)
            return
        self.failing = False
        self.log.info("the state is kept again", generation=self.files.generation)
        if self.rows:
            self.writing = True
            self.commit()

    def close(self) -> None:
        """Write what is left, give the folder up; whoever waits for what is left is told."""
        self.closed = True
        self.thread.shutdown(wait=True)
        # Danger: a write that failed while the loop waited here has not been heard of by `written` yet, and
        # what stands after a torn entry is never read.
        sure = not self.failing or self.mending
        sure = sure and (self.under_way is None or self.under_way.exception() is None)
        if self.rows and sure:
            try:
                self.files.append(self.rows)
            except OSError as err:
                sure = False
                self.log.error("the last entries are not kept", why=describe(err))
        thens, self.rows, self.thens = self.thens, [], []
        for then in thens:
            self.loop.call_soon(then, sure)
        self.files.close()


class Memory:
    """A store without a folder, for the window of a front that hands over: nothing outlives a crash."""

    failing = False

    def __init__(self, state: State, loop) -> None:
        self.state, self.loop = state, loop

    def add(self, entry: Entry, then: Callable[[bool], None] | None = None) -> None:
        self.state.apply(entry)
        if then is not None:
            self.loop.call_soon(then, True)

    def close(self) -> None: ...
