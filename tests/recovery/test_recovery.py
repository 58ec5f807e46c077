"""Bytes, files and beliefs after a crash: damage of every kind has a stated outcome."""

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
from curlewhall.recovery.decide import LONGEST_DOUBT, Doubts, Window, ran_for
from curlewhall.recovery.run import PlayStore
from curlewhall.recovery.state import Further, Out, Over, Playing, State, Took
from curlewhall.recovery.store import Disk, Files, Store, StoreLockedError
from curlewhall.wire.timers import Timers

NAMES = st.sampled_from([f"p{i}" for i in range(6)])
ENTRIES = st.one_of(
    st.builds(
        Out,
        NAMES,
        st.integers(0, 3),
        st.sampled_from(["n1", "n2"]),
        st.just("v"),
        st.text(max_size=5),
        st.just("paid"),
        st.booleans(),
        st.integers(0, 99),
    ),
    st.builds(Playing, NAMES, st.integers(0, 3)),
    st.builds(Over, NAMES),
    st.builds(Took, st.integers(0, 99), st.integers(1, 9)),
    st.builds(Further, st.integers(0, 99)),
)
SOME = [
    Out("p1", 0, "n1", "v", "t", "paid", True, 5),
    Playing("p1", 0),
    Took(7, 2),
    Further(8),
    Out("p2", 1, "n2", "w", "t", "plain", False, 9),
    Over("p1"),
]
LOG = form.head(form.LOG) + b"".join(map(form.frame, SOME))


def added(rows, window=50):
    state = State(window)
    for row in rows:
        state.apply(row)
    return state


def same(one, other):
    return one.rows() == other.rows()


def test_every_cut_leaves_the_whole_entries_before_it():
    for end in range(form.HEAD.size, len(LOG)):
        rows, ended = form.entries(LOG[:end])
        assert rows == SOME[: len(rows)] and (
            ended == "torn" or LOG[:end] == form.head(form.LOG) + b"".join(map(form.frame, SOME[: len(rows)]))
        )
    assert form.entries(LOG) == (SOME, "")


def test_every_flipped_bit_is_seen():
    for at in range(form.HEAD.size * 8, len(LOG) * 8):
        data = bytearray(LOG)
        data[at // 8] ^= 1 << at % 8
        rows, ended = form.entries(bytes(data))
        assert ended in ("torn", "damaged") and rows == SOME[: len(rows)]


@given(st.binary(max_size=300))
def test_no_bytes_do_more_than_end_the_reading(data):
    for reader, kind in ((form.entries, form.LOG), (form.read_snapshot, form.SNAPSHOT)):
        for text in (data, form.head(kind) + data):
            with contextlib.suppress(form.CorruptDataError, form.NewerFormatError):
                reader(text)


@given(st.lists(ENTRIES, max_size=30))
def test_a_state_is_the_same_through_its_own_rows_and_through_a_snapshot(rows):
    state = added(rows)
    assert same(added(state.rows()), state)
    assert same(added(form.read_snapshot(form.snapshot(state.rows()))), state)


class SimulatedCrashError(Exception):
    """The process is gone in the middle of a write."""


class Memory(Disk):
    """A disk in memory. `fuse`: after so many writes it fails, with a part of the last one done."""

    def __init__(self):
        self.files, self.fuse, self.error, self.rng = {}, None, SimulatedCrashError, random.Random(1)

    def burn(self):
        if self.fuse is not None:
            self.fuse -= 1
            return self.fuse < 0
        return False

    def write(self, path, data):
        if self.burn():
            self.files[path] = data[: self.rng.randrange(len(data))]
            raise self.error
        self.files[path] = data

    def append(self, path, data):
        if self.burn():
            self.files[path] += data[: self.rng.randrange(len(data) + 1)]
            raise self.error
        self.files[path] += data

    def replace(self, old, new):
        if self.burn():
            raise self.error
        self.files[new] = self.files.pop(old)

    def read(self, path):
        return self.files[path]

    def remove(self, path):
        if self.burn():
            raise self.error
        self.files.pop(path, None)

    def names(self, folder):
        return sorted(path.name for path in self.files)


def opened(folder, disk=None, told=None):
    files = Files(folder, 50, disk, tell=lambda what, **facts: told is not None and told.append(what))
    files.open()
    return files


class AnyCrash(RuleBasedStateMachine):
    """Entries, rotations and crashes at any write: what was acknowledged is there, and nothing that was
    not said.
    """

    @initialize()
    def begin(self):
        self.folder, self.disk = tempfile.mkdtemp(), Memory()
        self.files, self.sure = opened(self.folder, self.disk), []

    @rule(rows=st.lists(ENTRIES, min_size=1, max_size=5), fuse=st.one_of(st.none(), st.integers(0, 1)))
    def append(self, rows, fuse):
        self.disk.fuse = fuse
        try:
            self.files.append(rows)
        except SimulatedCrashError:
            self.again(rows)
        else:
            self.disk.fuse = None
            for row in rows:
                self.files.state.apply(row)
            self.sure += rows

    @rule(fuse=st.one_of(st.none(), st.integers(0, 5)))
    def rotate(self, fuse):
        self.disk.fuse = fuse
        try:
            self.files.begin(self.files.generation + 1)
        except SimulatedCrashError:
            self.again([])
        self.disk.fuse = None

    @rule(fuse=st.integers(0, 5))
    def crash_while_recovering(self, fuse):
        self.files.close()
        self.disk.fuse = fuse
        with contextlib.suppress(SimulatedCrashError):
            opened(self.folder, self.disk).close()
        self.again([])

    def again(self, unsure):
        self.files.close()
        self.disk.fuse = None
        self.files = opened(self.folder, self.disk)
        may = [added(self.sure + unsure[:count]) for count in range(len(unsure) + 1)]
        assert any(same(self.files.state, state) for state in may)
        self.sure = self.files.state.rows()

    def teardown(self):
        self.files.close()


AnyCrash.TestCase.settings = settings(
    max_examples=80, stateful_step_count=30, deadline=None, derandomize=True, database=None
)
TestAnyCrash = AnyCrash.TestCase


def test_a_damaged_snapshot_is_made_good_by_the_generation_before(tmp_path):
    disk, told = Memory(), []
    files = opened(tmp_path, disk)
    files.append(SOME[:3])
    for row in SOME[:3]:
        files.state.apply(row)
    files.begin(files.generation + 1)
    files.append(SOME[3:])
    newest = files.name("snapshot", files.generation)
    files.close()
    disk.files[newest] = disk.files[newest][:-1]
    again = opened(tmp_path, disk, told)
    assert same(again.state, added(SOME)) and told == ["a snapshot can't be read"]
    again.close()


def test_a_folder_has_one_owner_and_files_of_a_later_version_are_left_alone(tmp_path):
    files = opened(tmp_path)
    with pytest.raises(StoreLockedError):
        opened(tmp_path)
    files.close()
    path = tmp_path / "log-00000009"
    later = b"CWLH\x09\x01\x00\x00whatever"
    path.write_bytes(later)
    with pytest.raises(form.NewerFormatError, match="version 9"):
        opened(tmp_path)
    assert path.read_bytes() == later


def test_old_generations_go_and_the_folder_stays_small(tmp_path):
    files = opened(tmp_path)
    for _ in range(5):
        files.append(SOME)
        files.begin(files.generation + 1)
    files.close()
    assert len([name for name in files.disk.names(tmp_path) if "-" in name]) == 4


@looped
async def test_entries_of_a_turn_go_to_disk_together_and_a_full_disk_is_said_and_got_over(tmp_path):
    loop = asyncio.get_running_loop()
    disk = Memory()
    store = Store(opened(tmp_path, disk), loop, Timers(loop), logs.make("json", "critical"))
    sure = asyncio.Queue()
    for row in SOME:
        store.add(row, sure.put_nowait)
    assert [await sure.get() for _ in SOME] == [True] * len(SOME) and store.commits == 1
    disk.fuse, disk.error = 0, OSError(errno.ENOSPC, "No space left on device")
    store.add(Further(10), sure.put_nowait)
    assert await sure.get() is False
    store.add(Further(11), sure.put_nowait)
    assert await sure.get() is False
    disk.fuse = None
    while store.failing:
        await asyncio.sleep(0.01)
    store.add(Further(12), sure.put_nowait)
    assert await sure.get() is True
    store.close()
    again = opened(tmp_path, disk)
    assert same(again.state, added([*SOME, Further(10), Further(11), Further(12)]))
    again.close()


class Slow(Memory):
    """A disk whose every call can be held up, and that knows who called."""

    def __init__(self):
        super().__init__()
        self.open, self.callers, self.held = threading.Event(), set(), threading.Event()
        self.open.set()

    def burn(self, *facts):
        self.callers.add(threading.get_ident())
        self.held.set()
        assert self.open.wait(20)
        return super().burn(*facts)


@contextlib.asynccontextmanager
async def slow_store(tmp_path):
    loop, disk = asyncio.get_running_loop(), Slow()
    store = Store(opened(tmp_path, disk), loop, Timers(loop), logs.make("json", "critical"))
    store.told = asyncio.Queue()
    disk.callers.clear()
    try:
        yield store, disk
    finally:
        disk.open.set()
        disk.fuse = None
        store.close()


async def failed(store, disk):
    disk.fuse, disk.error = 0, OSError(errno.ENOSPC, "No space left on device")
    store.add(Further(10), store.told.put_nowait)
    assert await store.told.get() is False and store.failing


@looped
async def test_a_disk_that_is_slow_in_coming_back_stops_no_answer_and_loses_no_entry(tmp_path):
    async with slow_store(tmp_path) as (store, disk):
        await failed(store, disk)
        disk.open.clear()
        disk.held.clear()
        disk.fuse = None
        while not disk.held.is_set():
            await asyncio.sleep(0.005)
        store.add(Further(11), store.told.put_nowait)  # after the state that is being written was taken
        assert await store.told.get() is False  # nothing waits for a disk that is not known to be back
        disk.open.set()
        while store.failing:
            await asyncio.sleep(0.005)
        store.add(Further(12), store.told.put_nowait)
        assert await store.told.get() is True
        assert threading.get_ident() not in disk.callers
    again = opened(tmp_path, disk)
    assert same(again.state, added([Further(10), Further(11), Further(12)]))
    again.close()


@looped
async def test_a_store_closed_over_a_write_that_fails_calls_nothing_kept(tmp_path):
    async with slow_store(tmp_path) as (store, disk):
        disk.open.clear()
        store.add(Further(10), store.told.put_nowait)
        while not disk.held.is_set():
            await asyncio.sleep(0.005)
        store.add(Further(11), store.told.put_nowait)  # waits for the write under way
        disk.fuse, disk.error = 0, OSError(errno.EIO, "Input/output error")
        asyncio.get_running_loop().run_in_executor(
            None, lambda: (select.select([], [], [], 0.05), disk.open.set())
        )
        store.close()
        disk.fuse = None
        store.add(Further(12), store.told.put_nowait)
        assert [await store.told.get() for _ in range(3)] == [False] * 3


def test_a_wall_clock_set_back_while_a_front_runs_prolongs_no_doubt(monkeypatch):
    wall, steady = [NOW], [5_000]
    monkeypatch.setattr(time, "time_ns", lambda: wall[0] * 1_000_000)
    monkeypatch.setattr(time, "monotonic_ns", lambda: steady[0] * 1_000_000)
    state = State(10_000)
    state.apply(Out("p", 0, "n", "v", "t", "paid", True, NOW))
    for _ in range(9):
        state.apply(Further(NOW))
    start_settings = {
        "rules.look_back": 100_000,
        "rules.spare_allocations": 3,
        "rules.extra_per_request": 0.1,
    }
    play_store = PlayStore(type("Kept", (), {"add": lambda *facts: None}), True, start_settings, state)
    assert play_store.is_uncertain("v", "t", "paid") and not play_store.may_reallocate()
    wall[0] -= 3_600_000
    assert play_store.is_uncertain("v", "t", "paid") and not play_store.may_reallocate()
    steady[0] += LONGEST_DOUBT
    assert not play_store.is_uncertain("v", "t", "paid") and play_store.may_reallocate()


def test_after_a_clock_set_back_across_a_restart_the_next_window_keeps_what_is_new(tmp_path):
    later, wall = NOW + 3_600_000, [NOW + 3_600_000]
    make = lambda: Files(tmp_path, 10_000, now=lambda: wall[0])  # noqa: E731
    files = make()
    files.open()
    rows = [Out("p", 0, "n", "v", "t", "paid", True, later), Took(later, 2), Further(later)]
    files.append(rows)
    files.close()
    for wall[0] in (NOW, NOW + 5000):  # an hour back; then a second crash
        files = make()
        state = files.open()
        assert state.out["p"].at == NOW and state.further[0] == NOW
        new = [Further(wall[0]), Took(wall[0], 1)]
        files.append(new)
        files.close()
    state = make().open()
    assert list(state.further) == [NOW, NOW, NOW + 5000] and sum(row.count for row in state.took) == 4


NOW = 1_000_000


@pytest.mark.parametrize(
    ("entry", "ask", "after", "doubtful"),
    [
        (dict(), ("v", "t", "paid"), 0, True),
        (dict(), ("w", "t", "paid"), 0, False),
        (dict(), ("v", "u", "paid"), 0, False),
        (dict(paid=False), ("v", "t", "paid"), 0, False),
        (dict(), ("v", "t", "paid"), LONGEST_DOUBT, False),
        (dict(at=NOW + 9_999_999), ("v", "t", "paid"), 0, True),
        (dict(at=NOW - LONGEST_DOUBT * 20), ("v", "t", "paid"), 0, False),
    ],
)
def test_a_paid_set_up_whose_node_has_not_spoken_is_doubted(entry, ask, after, doubtful):
    facts = (
        dict(play="p", number=0, node="n", viewer="v", title="t", product="paid", paid=True, at=NOW) | entry
    )
    state = State(50)
    state.out["p"] = Out(**facts)
    doubts = Doubts(state, NOW)
    assert doubts.doubtful(NOW + after, *ask) is doubtful
    doubts.cleared("n")
    assert not doubts.doubtful(NOW, *ask)


@pytest.mark.parametrize(
    ("rows", "number", "expected"),
    [
        ([Playing("p", 0)], 0, 400),
        ([Playing("p", 0)], 1, 0),
        ([], 0, 0),
        ([Playing("p", 0), Over("p")], 0, 0),
    ],
)
def test_a_node_that_shows_a_play_ran_when_it_was_set_up(rows, number, expected):
    state = added([Out("p", 0, "n", "v", "t", "paid", True, NOW - 400), *rows])
    assert ran_for(state, NOW, "p", number, 1000) == expected
    assert ran_for(state, NOW - 500, "p", number, 1000) == 0  # a clock set back
    assert ran_for(state, NOW + 9000, "p", number, 1000) == (1000 if expected else 0)


@pytest.mark.parametrize(
    ("took", "further", "uncounted", "later", "may"),
    [
        (0, 0, 0, 0, True),
        (0, 3, 0, 0, False),
        (10, 3, 0, 0, True),
        (10, 4, 0, 0, False),
        (0, 3, 10, 0, True),
        (0, 9, 0, 10_000, True),
    ],
)
def test_the_budget_holds_over_the_crash(took, further, uncounted, later, may):
    state = State(10_000)
    for _ in range(further):
        state.apply(Further(NOW))
    if took:
        state.apply(Took(NOW, took))
    assert Window(state, NOW, 10_000, 3, 0.1).may(NOW + later, uncounted) is may
