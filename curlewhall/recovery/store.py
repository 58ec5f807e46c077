"""The files of a front's state: a log with group commit and snapshots, in a folder that one process locks.

Damaged files never prevent a start: what can be read is used, the damage is logged, and a new generation is
begun, so that nothing is appended to a damaged file. A start fails only if another process holds the folder,
or if a file was written by a later version.
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

MAX_LOG_BYTES = 4 << 20  # then a snapshot is made; about 40,000 entries, which are read back in a second
DISK_RETRY_DELAY_S = 1.0  # after a failed write


class StoreLockedError(CurlewhallError):
    """Another process holds the state folder."""

    remedy = "Stop the process that holds the state folder, or set state.folder to another one."


class Disk:
    """File operations of the store; tests and drills replace it to inject faults."""

    def write(self, path: Path, data: bytes) -> None:
        """Write a new file; it is on disk when this returns."""
        with open(path, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        self.sync(path.parent)

    def append(self, path: Path, data: bytes) -> None:
        """Append to a file; the data is on disk when this returns."""
        with open(path, "ab") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())

    def replace(self, old: Path, new: Path) -> None:
        """Rename a file over another one; the rename is on disk when this returns."""
        os.replace(old, new)
        self.sync(new.parent)

    def read(self, path: Path) -> bytes:
        return path.read_bytes()

    def remove(self, path: Path) -> None:
        path.unlink(missing_ok=True)

    def names(self, folder: Path) -> list[str]:
        """Return the sorted names of the files in a folder."""
        return sorted(os.listdir(folder))

    def sync(self, folder: Path) -> None:
        """Flush a folder's entries to disk."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


class StateFolder:
    """Reads and writes the generations of a state folder, synchronously; `Store` adds the thread.

    `warn` logs an event with keyword fields; `now` returns Unix time in milliseconds.
    """

    def __init__(
        self,
        folder: str | Path,
        window_ms: int,
        disk: Disk | None = None,
        warn: Callable[..., None] = lambda *arguments, **fields: None,
        now: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        self.folder, self.disk, self.warn, self.now = Path(folder), disk or Disk(), warn, now
        self.state = State(window_ms)
        self.generation = 0
        self.log_bytes = 0
        self.lock: int | None = None  # file descriptor
        self.failed = False  # the first generation could not be written

    def path(self, kind: str, generation: int) -> Path:
        """Return the path of a generation's "snapshot" or "log"."""
        return self.folder / f"{kind}-{generation:08}"

    def open(self) -> State:
        """Lock the folder and return the state that the previous process left in it.

        Raise `StoreLockedError`, `form.NewerFormatError` or `OSError`.
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
            self.state.clamp_future_times(self.now())
            self.start_generation(self.generation + 1)
        except OSError as err:
            # A full disk must not become a crash loop: the front starts, and `Store` retries the write.
            self.failed = True
            self.warn("cannot write the state", why=describe(err))
        except BaseException:
            self.close()
            raise
        return self.state

    def recover(self) -> None:
        """Read the newest intact snapshot, then replay the logs from its generation on."""
        generations: dict[str, list[int]] = {"snapshot": [], "log": []}
        for name in self.disk.names(self.folder):
            kind, _, number = name.partition("-")
            if kind in generations and number.isdigit():
                generations[kind].append(int(number))
        self.generation = max([*generations["snapshot"], *generations["log"], 0])
        base = -1
        for generation in sorted(generations["snapshot"], reverse=True):
            try:
                entries = form.decode_snapshot(self.disk.read(self.path("snapshot", generation)))
            except (form.CorruptDataError, OSError) as err:
                self.warn("cannot read a snapshot", generation=generation, why=describe(err))
                continue
            base = generation
            for entry in entries:
                self.state.apply(entry)
            break
        for generation in sorted(generations["log"]):
            if generation < base:
                continue
            try:
                entries, damage = form.decode_log(self.disk.read(self.path("log", generation)))
            except (form.CorruptDataError, OSError) as err:
                entries, damage = [], describe(err)
            for entry in entries:
                self.state.apply(entry)
            if damage:
                self.warn(
                    "log is damaged; its remaining entries are lost",
                    generation=generation,
                    entries=len(entries),
                    why=damage,
                )

    def start_generation(self, generation: int, snapshot: bytes | None = None) -> None:
        """Write a snapshot (`snapshot`, or one of the current state) and an empty log.

        The previous generation is kept; older ones are deleted.
        """
        snapshot_path = self.path("snapshot", generation)
        temporary = snapshot_path.with_name("new-snapshot")
        self.disk.write(
            temporary, form.encode_snapshot(self.state.entries()) if snapshot is None else snapshot
        )
        self.disk.write(self.path("log", generation), form.file_header(form.LOG_KIND))
        self.disk.replace(temporary, snapshot_path)
        previous, self.generation, self.log_bytes = self.generation, generation, form.FILE_HEADER.size
        for name in self.disk.names(self.folder):
            kind, _, number = name.partition("-")
            if kind in ("snapshot", "log") and number.isdigit() and int(number) < previous:
                self.disk.remove(self.folder / name)

    def append(self, entries: list[Entry]) -> None:
        """Append entries to the log; raise `OSError` if they may not be on disk."""
        data = b"".join(map(form.encode_entry, entries))
        self.disk.append(self.path("log", self.generation), data)
        self.log_bytes += len(data)

    def close(self) -> None:
        """Release the lock."""
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None


class Store:
    """Writes entries to a state folder in a thread, with group commit.

    The entries of one turn of the event loop, or those added during the previous write, are written together.
    The state is used on the event loop only. The folder is used by the thread, one call at a time, and by the
    loop only while no call is in progress; the thread makes all calls of the disk but those in `open` and
    `close`.
    """

    def __init__(self, folder: StateFolder, loop, timers, log) -> None:
        self.folder, self.loop, self.timers, self.log = folder, loop, timers, log
        self.pending_entries: list[Entry] = []
        self.pending_callbacks: list[Callable[[bool], None]] = []
        self.executor = ThreadPoolExecutor(1, thread_name_prefix="store")
        self.writing = False
        self.failing = False  # the last write failed
        self.rewriting = False  # the whole state is being written after a failure
        self.closed = False
        self.last_call: Future | None = None  # the latest call in the thread
        self.commits = self.entries_written = 0
        if folder.failed:
            self.failing = True
            timers.after(DISK_RETRY_DELAY_S, self.retry)

    def add(self, entry: Entry, on_durable: Callable[[bool], None] | None = None) -> None:
        """Record an entry. `on_durable(durable)` is called once it is on disk, or known not to be."""
        self.folder.state.apply(entry)
        if (
            self.failing or self.closed
        ):  # the entry is in the state, which is written when the disk works again
            if self.rewriting:
                self.pending_entries.append(entry)  # the snapshot being written doesn't contain it
            if on_durable is not None:
                self.loop.call_soon(on_durable, False)
            return
        self.pending_entries.append(entry)
        if on_durable is not None:
            self.pending_callbacks.append(on_durable)
        if not self.writing:
            self.writing = True
            self.loop.call_soon(self.commit)

    def commit(self) -> None:
        """Write the pending entries in the thread, with a snapshot if the log has become large."""
        if self.closed:
            return  # `close` has written the pending entries
        entries, self.pending_entries = self.pending_entries, []
        callbacks, self.pending_callbacks = self.pending_callbacks, []
        is_large = self.folder.log_bytes > MAX_LOG_BYTES
        snapshot = form.encode_snapshot(self.folder.state.entries()) if is_large else None
        self.run_in_thread(
            lambda done: self.commit_done(done, entries, callbacks), self.write, entries, snapshot
        )

    def run_in_thread(self, on_done: Callable, function: Callable, *arguments) -> None:
        """Call `function` in the thread, then `on_done` with its future on the loop."""
        self.last_call = self.executor.submit(function, *arguments)
        asyncio.wrap_future(self.last_call, loop=self.loop).add_done_callback(on_done)

    def write(self, entries: list[Entry], snapshot: bytes | None) -> None:
        """Append entries and start a new generation if there is a snapshot. Runs in the thread."""
        self.folder.append(entries)
        if snapshot is not None:
            # The snapshot was encoded on the loop, where the state is consistent, and includes these entries.
            self.folder.start_generation(self.folder.generation + 1, snapshot)

    def commit_done(self, done, entries: list[Entry], callbacks: list) -> None:
        """Call the callbacks of a commit; commit what was added meanwhile, or retry later after a failure."""
        err = done.exception()
        self.commits, self.entries_written = self.commits + 1, self.entries_written + len(entries)
        if err is not None:
            # The disk may be full. The waiting callers are told that nothing is durable, and the whole state
            # is written later.
            self.failing, self.writing = True, False
            self.log.error("cannot write the state", why=describe(err))
            callbacks += self.pending_callbacks
            self.pending_callbacks, self.pending_entries = [], []
            self.timers.after(DISK_RETRY_DELAY_S, self.retry)
        elif self.pending_entries:
            self.commit()
        else:
            self.writing = False
        for callback in callbacks:
            callback(err is None)

    def retry(self) -> None:
        """Start a new generation with the whole state, which includes the entries whose write failed."""
        if not self.closed:
            self.rewriting = True
            self.run_in_thread(
                self.retry_done,
                self.folder.start_generation,
                self.folder.generation + 1,
                form.encode_snapshot(self.folder.state.entries()),
            )

    def retry_done(self, done) -> None:
        """Resume commits if the new generation was written; otherwise retry again."""
        err, self.rewriting = done.exception(), False
        if err is not None:
            self.pending_entries = []
            self.log.warning("still cannot write the state", why=describe(err))
            self.timers.after(DISK_RETRY_DELAY_S, self.retry)
            return
        self.failing = False
        self.log.info("state is written again", generation=self.folder.generation)
        if self.pending_entries:
            self.writing = True
            self.commit()

    def close(self) -> None:
        """Write the pending entries, release the folder, and call the pending callbacks with the result."""
        self.closed = True
        self.executor.shutdown(wait=True)
        # A write that failed while the loop waited here has not reached `commit_done` yet. Entries appended
        # after a truncated one would never be read.
        durable = not self.failing or self.rewriting
        durable = durable and (self.last_call is None or self.last_call.exception() is None)
        if self.pending_entries and durable:
            try:
                self.folder.append(self.pending_entries)
            except OSError as err:
                durable = False
                self.log.error("cannot write the last entries of the state", why=describe(err))
        callbacks, self.pending_entries, self.pending_callbacks = self.pending_callbacks, [], []
        for callback in callbacks:
            self.loop.call_soon(callback, durable)
        self.folder.close()


class MemoryStore:
    """A store without a folder. Its state can be handed over to a successor, but is lost in a crash."""

    failing = False

    def __init__(self, state: State, loop) -> None:
        self.state, self.loop = state, loop

    def add(self, entry: Entry, on_durable: Callable[[bool], None] | None = None) -> None:
        """Apply an entry to the state and report it as durable."""
        self.state.apply(entry)
        if on_durable is not None:
            self.loop.call_soon(on_durable, True)

    def close(self) -> None: ...
