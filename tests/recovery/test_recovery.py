"""Log and snapshot encoding, the state folder, the store, and what follows from the state after a crash."""

import asyncio
import contextlib
import errno
import random
import select
import tempfile
import threading
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule
from loopback import looped

from curlewhall import logs
from curlewhall.recovery import form
from curlewhall.recovery.decide import (
    MAX_UNCERTAINTY_MS,
    ReallocationBudget,
    UncertainAllocations,
    min_uptime_ms,
)
from curlewhall.recovery.run import PlayStore
from curlewhall.recovery.state import (
    AllocationSent,
    PlayEnded,
    PlayStarted,
    Reallocated,
    RequestsAccepted,
    State,
)
from curlewhall.recovery.store import Disk, StateFolder, Store, StoreLockedError
from curlewhall.wire.timers import Timers

PLAYS = st.sampled_from([f"p{i}" for i in range(6)])
ANY_ENTRY = st.one_of(
    st.builds(
        AllocationSent,
        PLAYS,
        st.integers(0, 3),
        st.sampled_from(["n1", "n2"]),
        st.just("v"),
        st.text(max_size=5),
        st.just("paid"),
        st.booleans(),
        st.integers(0, 99),
    ),
    st.builds(PlayStarted, PLAYS, st.integers(0, 3)),
    st.builds(PlayEnded, PLAYS),
    st.builds(RequestsAccepted, st.integers(0, 99), st.integers(1, 9)),
    st.builds(Reallocated, st.integers(0, 99)),
)
SAMPLE = [
    AllocationSent("p1", 0, "n1", "v", "t", "paid", True, 5),
    PlayStarted("p1", 0),
    RequestsAccepted(7, 2),
    Reallocated(8),
    AllocationSent("p2", 1, "n2", "w", "t", "plain", False, 9),
    PlayEnded("p1"),
]
LOG = form.file_header(form.LOG_KIND) + b"".join(map(form.encode_entry, SAMPLE))


def state_of(entries, window_ms=50):
    state = State(window_ms)
    for entry in entries:
        state.apply(entry)
    return state


def same(one, other):
    return one.entries() == other.entries()


def test_truncated_log_yields_the_complete_entries_before_the_end():
    for end in range(form.FILE_HEADER.size, len(LOG)):
        entries, damage = form.decode_log(LOG[:end])
        assert entries == SAMPLE[: len(entries)] and (
            damage == "truncated"
            or LOG[:end]
            == form.file_header(form.LOG_KIND) + b"".join(map(form.encode_entry, SAMPLE[: len(entries)]))
        )
    assert form.decode_log(LOG) == (SAMPLE, "")


def test_every_flipped_bit_is_detected():
    for at in range(form.FILE_HEADER.size * 8, len(LOG) * 8):
        data = bytearray(LOG)
        data[at // 8] ^= 1 << at % 8
        entries, damage = form.decode_log(bytes(data))
        assert damage in ("truncated", "corrupt") and entries == SAMPLE[: len(entries)]


@given(st.binary(max_size=300))
def test_arbitrary_bytes_raise_only_the_documented_errors(data):
    for decode, kind in ((form.decode_log, form.LOG_KIND), (form.decode_snapshot, form.SNAPSHOT_KIND)):
        for content in (data, form.file_header(kind) + data):
            with contextlib.suppress(form.CorruptDataError, form.NewerFormatError):
                decode(content)


@given(st.lists(ANY_ENTRY, max_size=30))
def test_state_is_rebuilt_from_its_entries_and_from_a_snapshot(entries):
    state = state_of(entries)
    assert same(state_of(state.entries()), state)
    assert same(state_of(form.decode_snapshot(form.encode_snapshot(state.entries()))), state)


class SimulatedCrashError(Exception):
    """The process dies during a write."""


class MemoryDisk(Disk):
    """A disk in memory that can fail: after `writes_left` writes, the next one is done in part and raises."""

    def __init__(self):
        self.files = {}
        self.writes_left = None  # None: no failure
        self.error = SimulatedCrashError
        self.rng = random.Random(1)

    def fails(self):
        if self.writes_left is not None:
            self.writes_left -= 1
            return self.writes_left < 0
        return False

    def write(self, path, data):
        if self.fails():
            self.files[path] = data[: self.rng.randrange(len(data))]
            raise self.error
        self.files[path] = data

    def append(self, path, data):
        if self.fails():
            self.files[path] += data[: self.rng.randrange(len(data) + 1)]
            raise self.error
        self.files[path] += data

    def replace(self, old, new):
        if self.fails():
            raise self.error
        self.files[new] = self.files.pop(old)

    def read(self, path):
        return self.files[path]

    def remove(self, path):
        if self.fails():
            raise self.error
        self.files.pop(path, None)

    def names(self, folder):
        return sorted(path.name for path in self.files)


def open_folder(path, disk=None, warnings=None):
    folder = StateFolder(
        path, 50, disk, warn=lambda event, **fields: warnings is not None and warnings.append(event)
    )
    folder.open()
    return folder


class AnyCrash(RuleBasedStateMachine):
    """Appends, new generations and crashes at any write.

    After each crash, the recovered state contains all acknowledged entries and none that were never appended.
    """

    @initialize()
    def create_folder(self):
        self.path, self.disk = tempfile.mkdtemp(), MemoryDisk()
        self.folder, self.durable = open_folder(self.path, self.disk), []

    @rule(
        entries=st.lists(ANY_ENTRY, min_size=1, max_size=5),
        writes_left=st.one_of(st.none(), st.integers(0, 1)),
    )
    def append(self, entries, writes_left):
        self.disk.writes_left = writes_left
        try:
            self.folder.append(entries)
        except SimulatedCrashError:
            self.restart(entries)
        else:
            self.disk.writes_left = None
            for entry in entries:
                self.folder.state.apply(entry)
            self.durable += entries

    @rule(writes_left=st.one_of(st.none(), st.integers(0, 5)))
    def start_generation(self, writes_left):
        self.disk.writes_left = writes_left
        try:
            self.folder.start_generation(self.folder.generation + 1)
        except SimulatedCrashError:
            self.restart([])
        self.disk.writes_left = None

    @rule(writes_left=st.integers(0, 5))
    def crash_while_recovering(self, writes_left):
        self.folder.close()
        self.disk.writes_left = writes_left
        with contextlib.suppress(SimulatedCrashError):
            open_folder(self.path, self.disk).close()
        self.restart([])

    def restart(self, unacknowledged):
        self.folder.close()
        self.disk.writes_left = None
        self.folder = open_folder(self.path, self.disk)
        possible = [
            state_of(self.durable + unacknowledged[:count]) for count in range(len(unacknowledged) + 1)
        ]
        assert any(same(self.folder.state, state) for state in possible)
        self.durable = self.folder.state.entries()

    def teardown(self):
        self.folder.close()


AnyCrash.TestCase.settings = settings(
    max_examples=80, stateful_step_count=30, deadline=None, derandomize=True, database=None
)
TestAnyCrash = AnyCrash.TestCase


def test_damaged_snapshot_is_replaced_by_the_previous_generation(tmp_path):
    disk, warnings = MemoryDisk(), []
    folder = open_folder(tmp_path, disk)
    folder.append(SAMPLE[:3])
    for entry in SAMPLE[:3]:
        folder.state.apply(entry)
    folder.start_generation(folder.generation + 1)
    folder.append(SAMPLE[3:])
    newest = folder.path("snapshot", folder.generation)
    folder.close()
    disk.files[newest] = disk.files[newest][:-1]
    reopened = open_folder(tmp_path, disk, warnings)
    assert same(reopened.state, state_of(SAMPLE)) and warnings == ["cannot read a snapshot"]
    reopened.close()


def test_folder_is_locked_and_files_of_a_later_version_are_not_modified(tmp_path):
    folder = open_folder(tmp_path)
    with pytest.raises(StoreLockedError):
        open_folder(tmp_path)
    folder.close()
    path = tmp_path / "log-00000009"
    later = b"CWLH\x09\x01\x00\x00whatever"
    path.write_bytes(later)
    with pytest.raises(form.NewerFormatError, match="version 9"):
        open_folder(tmp_path)
    assert path.read_bytes() == later


def test_only_two_generations_are_kept(tmp_path):
    folder = open_folder(tmp_path)
    for _ in range(5):
        folder.append(SAMPLE)
        folder.start_generation(folder.generation + 1)
    folder.close()
    assert len([name for name in folder.disk.names(tmp_path) if "-" in name]) == 4


@looped
async def test_entries_of_a_turn_share_a_commit_and_a_full_disk_is_reported_and_recovered_from(tmp_path):
    loop = asyncio.get_running_loop()
    disk = MemoryDisk()
    store = Store(open_folder(tmp_path, disk), loop, Timers(loop), logs.make_logger("json", "critical"))
    results = asyncio.Queue()
    for entry in SAMPLE:
        store.add(entry, results.put_nowait)
    assert [await results.get() for _ in SAMPLE] == [True] * len(SAMPLE) and store.commits == 1
    disk.writes_left, disk.error = 0, OSError(errno.ENOSPC, "No space left on device")
    store.add(Reallocated(10), results.put_nowait)
    assert await results.get() is False
    store.add(Reallocated(11), results.put_nowait)
    assert await results.get() is False
    disk.writes_left = None
    while store.failing:
        await asyncio.sleep(0.01)
    store.add(Reallocated(12), results.put_nowait)
    assert await results.get() is True
    store.close()
    reopened = open_folder(tmp_path, disk)
    assert same(reopened.state, state_of([*SAMPLE, Reallocated(10), Reallocated(11), Reallocated(12)]))
    reopened.close()


class BlockingDisk(MemoryDisk):
    """A disk whose writes can be blocked, and that records the threads that called it."""

    def __init__(self):
        super().__init__()
        self.unblocked, self.callers, self.entered = threading.Event(), set(), threading.Event()
        self.unblocked.set()

    def fails(self, *arguments):
        self.callers.add(threading.get_ident())
        self.entered.set()
        assert self.unblocked.wait(20)
        return super().fails(*arguments)


@contextlib.asynccontextmanager
async def store_on_blocking_disk(tmp_path):
    loop, disk = asyncio.get_running_loop(), BlockingDisk()
    store = Store(open_folder(tmp_path, disk), loop, Timers(loop), logs.make_logger("json", "critical"))
    store.results = asyncio.Queue()
    disk.callers.clear()
    try:
        yield store, disk
    finally:
        disk.unblocked.set()
        disk.writes_left = None
        store.close()


async def fail_a_write(store, disk):
    disk.writes_left, disk.error = 0, OSError(errno.ENOSPC, "No space left on device")
    store.add(Reallocated(10), store.results.put_nowait)
    assert await store.results.get() is False and store.failing


@looped
async def test_slow_retry_after_a_failed_write_delays_no_caller_and_loses_no_entry(tmp_path):
    async with store_on_blocking_disk(tmp_path) as (store, disk):
        await fail_a_write(store, disk)
        disk.unblocked.clear()
        disk.entered.clear()
        disk.writes_left = None
        while not disk.entered.is_set():
            await asyncio.sleep(0.005)
        store.add(Reallocated(11), store.results.put_nowait)  # not in the snapshot that is being written
        assert await store.results.get() is False  # callers don't wait while the disk may still fail
        disk.unblocked.set()
        while store.failing:
            await asyncio.sleep(0.005)
        store.add(Reallocated(12), store.results.put_nowait)
        assert await store.results.get() is True
        assert threading.get_ident() not in disk.callers
    reopened = open_folder(tmp_path, disk)
    assert same(reopened.state, state_of([Reallocated(10), Reallocated(11), Reallocated(12)]))
    reopened.close()


@looped
async def test_store_closed_during_a_failing_write_reports_nothing_as_durable(tmp_path):
    async with store_on_blocking_disk(tmp_path) as (store, disk):
        disk.unblocked.clear()
        store.add(Reallocated(10), store.results.put_nowait)
        while not disk.entered.is_set():
            await asyncio.sleep(0.005)
        store.add(Reallocated(11), store.results.put_nowait)  # waits for the write in progress
        disk.writes_left, disk.error = 0, OSError(errno.EIO, "Input/output error")
        asyncio.get_running_loop().run_in_executor(
            None, lambda: (select.select([], [], [], 0.05), disk.unblocked.set())
        )
        store.close()
        disk.writes_left = None
        store.add(Reallocated(12), store.results.put_nowait)
        assert [await store.results.get() for _ in range(3)] == [False] * 3


def test_wall_clock_set_back_while_running_extends_no_uncertainty(monkeypatch):
    wall, monotonic = [NOW], [5_000]
    monkeypatch.setattr(time, "time_ns", lambda: wall[0] * 1_000_000)
    monkeypatch.setattr(time, "monotonic_ns", lambda: monotonic[0] * 1_000_000)
    state = State(10_000)
    state.apply(AllocationSent("p", 0, "n", "v", "t", "paid", True, NOW))
    for _ in range(9):
        state.apply(Reallocated(NOW))
    start_settings = {
        "rules.look_back": 100_000,
        "rules.spare_allocations": 3,
        "rules.extra_per_request": 0.1,
    }
    play_store = PlayStore(
        type("StoreStub", (), {"add": lambda *arguments: None}), True, start_settings, state
    )
    assert play_store.is_uncertain("v", "t", "paid") and not play_store.may_reallocate()
    wall[0] -= 3_600_000
    assert play_store.is_uncertain("v", "t", "paid") and not play_store.may_reallocate()
    monotonic[0] += MAX_UNCERTAINTY_MS
    assert not play_store.is_uncertain("v", "t", "paid") and play_store.may_reallocate()


def test_clock_set_back_across_a_restart_does_not_expire_new_entries(tmp_path):
    later, wall = NOW + 3_600_000, [NOW + 3_600_000]
    make = lambda: StateFolder(tmp_path, 10_000, now=lambda: wall[0])  # noqa: E731
    folder = make()
    folder.open()
    entries = [
        AllocationSent("p", 0, "n", "v", "t", "paid", True, later),
        RequestsAccepted(later, 2),
        Reallocated(later),
    ]
    folder.append(entries)
    folder.close()
    for wall[0] in (NOW, NOW + 5000):  # set back by an hour, then a second crash
        folder = make()
        state = folder.open()
        assert state.allocations["p"].at == NOW and state.reallocations[0] == NOW
        added = [Reallocated(wall[0]), RequestsAccepted(wall[0], 1)]
        folder.append(added)
        folder.close()
    state = make().open()
    assert (
        list(state.reallocations) == [NOW, NOW, NOW + 5000] and sum(row.count for row in state.accepted) == 4
    )


NOW = 1_000_000


@pytest.mark.parametrize(
    ("fields", "set_up", "elapsed", "uncertain"),
    [
        (dict(), ("v", "t", "paid"), 0, True),
        (dict(), ("w", "t", "paid"), 0, False),
        (dict(), ("v", "u", "paid"), 0, False),
        (dict(paid=False), ("v", "t", "paid"), 0, False),
        (dict(), ("v", "t", "paid"), MAX_UNCERTAINTY_MS, False),
        (dict(at=NOW + 9_999_999), ("v", "t", "paid"), 0, True),
        (dict(at=NOW - MAX_UNCERTAINTY_MS * 20), ("v", "t", "paid"), 0, False),
    ],
)
def test_paid_set_up_is_uncertain_until_its_node_reports(fields, set_up, elapsed, uncertain):
    fields = (
        dict(play="p", number=0, node="n", viewer="v", title="t", product="paid", paid=True, at=NOW) | fields
    )
    state = State(50)
    state.allocations["p"] = AllocationSent(**fields)
    allocations = UncertainAllocations(state, NOW)
    assert allocations.is_uncertain(NOW + elapsed, *set_up) is uncertain
    allocations.clear_node("n")
    assert not allocations.is_uncertain(NOW, *set_up)


@pytest.mark.parametrize(
    ("entries", "number", "expected"),
    [
        ([PlayStarted("p", 0)], 0, 400),
        ([PlayStarted("p", 0)], 1, 0),
        ([], 0, 0),
        ([PlayStarted("p", 0), PlayEnded("p")], 0, 0),
    ],
)
def test_node_that_holds_a_play_has_run_since_its_set_up(entries, number, expected):
    state = state_of([AllocationSent("p", 0, "n", "v", "t", "paid", True, NOW - 400), *entries])
    assert min_uptime_ms(state, NOW, "p", number, 1000) == expected
    assert min_uptime_ms(state, NOW - 500, "p", number, 1000) == 0  # clock set back
    assert min_uptime_ms(state, NOW + 9000, "p", number, 1000) == (1000 if expected else 0)


@pytest.mark.parametrize(
    ("accepted", "reallocations", "unrecorded", "elapsed", "allowed"),
    [
        (0, 0, 0, 0, True),
        (0, 3, 0, 0, False),
        (10, 3, 0, 0, True),
        (10, 4, 0, 0, False),
        (0, 3, 10, 0, True),
        (0, 9, 0, 10_000, True),
    ],
)
def test_reallocation_budget_spans_a_crash(accepted, reallocations, unrecorded, elapsed, allowed):
    state = State(10_000)
    for _ in range(reallocations):
        state.apply(Reallocated(NOW))
    if accepted:
        state.apply(RequestsAccepted(NOW, accepted))
    assert (
        ReallocationBudget(state, NOW, 10_000, 3, 0.1).allows_reallocation(NOW + elapsed, unrecorded)
        is allowed
    )
