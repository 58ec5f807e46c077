"""Lines in pieces: the same however they are divided, and at a cost that grows with their length alone."""

import time

import pytest

from curlewhall.codecs.lines import LineBuffer
from curlewhall.relay.event_stream import EventParser
from curlewhall.wire.forms import LineSplitter

LONG = 3 << 20  # bytes of a line; both readers allow 4 MiB


@pytest.mark.parametrize("step", [1, 2, 3, 7, 100])
def test_lines_are_the_same_however_their_bytes_are_divided(step):
    raw, buffer, found = b"one\ntwo\r\n\n\nthree\nrest", LineBuffer(), []
    for at in range(0, len(raw), step):
        found += buffer.feed(raw[at : at + step])
    assert found == [b"one", b"two\r", b"", b"", b"three"] and bytes(buffer.rest) == b"rest"


@pytest.mark.parametrize("reader", [LineSplitter, EventParser])
def test_long_line_in_small_pieces_costs_no_more_than_its_length(reader):
    """All that was there of it was copied with each piece: 90 and 79 s of processor time for one line."""
    parser, piece = reader(), b"x" * 64
    began = time.process_time()
    for _ in range(LONG // len(piece)):
        parser.feed(piece)
    assert len(parser.buffer) == LONG // len(piece) * len(piece)
    assert time.process_time() - began < 2.0
