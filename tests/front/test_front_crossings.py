"""The running front: what comes between two lists."""

import asyncio
import time

import msgspec
from front.test_driver import Rig

from curlewhall.front.nodes import module_row
from curlewhall.wire.forms import Row


def test_a_start_that_is_told_again_is_the_same_start(monkeypatch):
    """Both clocks go on between two lists, not in step; and the machine's own is set anew in between."""
    rig = Rig.__new__(Rig)
    asyncio.run(made(rig))
    driver, unix, now = rig.driver, [1_700_000_000_000_000_000], [5000.0]
    monkeypatch.setattr(time, "time_ns", lambda: unix[0])
    driver.clock.source = lambda: now[0]
    row = Row("n", "127.0.0.1", 1, 0, "z", "box", started_ms=unix[0] // 1_000_000 - 4000)
    first = module_row(row, driver).started
    assert first == 49_960_000
    for step in (0.0003, 0.0007, 3600.0):
        now[0] += 0.0005
        unix[0] += int(step * 1e9)
        assert module_row(row, driver).started == first
    later = module_row(msgspec.structs.replace(row, started_ms=row.started_ms + 3_603_000), driver).started
    assert first < later <= driver.clock.now()


async def made(rig):
    rig.__init__()
