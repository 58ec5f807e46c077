"""`curlewhall serve` beside hundreds of clients that keep much, or one that sends without end."""

import pytest
from loopback import looped
from overload.rig import MIB, FrontRig, beside, late_setups, running

from curlewhall.wire.http import Limits

TIME_LIMIT_S = 3.0  # of the usual viewers' requests (rule 1)
CONNECTION_BYTES = (
    32 << 10
)  # an open connection: its task, parser, buffer and timer, and what is being parsed


@pytest.mark.parametrize(
    ("kind", "count"),
    [
        ("http_half_bodies", 300),  # 298 MB: each kept up to 1 MB
        ("http_small_chunks", 300),  # no answer within 10 s: each byte of a body walked over all before it
        ("http_short_fields", 300),  # 155 MB: fields cost many times their bytes
        ("http_repeated_fields", 300),
        ("http_unanswered_bodies", 50),  # 153 MB: whole bodies were kept until the response
        ("http_never_read", 300),
    ],
)
@looped
async def test_front_stays_within_its_memory_and_answers_usual_viewers(tmp_path, kind, count):
    """Picture (a): hundreds of clients half way through large requests used up a process's memory."""
    async with running(FrontRig(tmp_path)) as rig:
        figures = await beside(rig, kind, 3.0, count)
    assert figures.answers and figures.slowest_s <= TIME_LIMIT_S, figures
    # a body that is complete is joined, once beside its pieces
    allowed = Limits().memory + Limits().body + count * CONNECTION_BYTES
    assert figures.growth_mib <= allowed / MIB, figures


@pytest.mark.parametrize("kind", ["http_small", "http_unsound", "http_names", "http_garbage"])
@looped
async def test_one_client_at_full_speed_neither_delays_others_nor_fills_the_memory(tmp_path, kind):
    """Picture (b), also under ever new names."""
    async with running(FrontRig(tmp_path)) as rig:
        figures = await beside(rig, kind, 3.0, 1)
    assert figures.answers and figures.slowest_s <= TIME_LIMIT_S, figures
    assert figures.growth_mib <= Limits().memory / MIB, figures


@looped
async def test_requests_left_unread_at_a_close_reach_no_node(tmp_path):
    """Picture (c): a client closed its connection with much unread, and its requests were sent on."""
    async with running(FrontRig(tmp_path)) as rig:
        closed_at = (await beside(rig, "http_close_unread", 3.0, 20)).clients["closed_at"]
        assert len(closed_at) == 4000 and not late_setups(rig, closed_at)
