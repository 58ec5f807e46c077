"""Both codecs: valid and invalid messages, byte for byte, and random bytes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from curlewhall.codecs import messages, rtsp

NAME = "9b1f03aa5c7e2d41"
SET_UP = messages.encode(
    messages.SET_UP,
    NAME,
    product=b"paid",
    patience=b"1500",
    title=b"7f3a9c21e0b4d655",
    attributes=b"home:4;copies:3",
    description=b"v=0",
)
ANSWER = messages.encode(messages.ANSWER, NAME, description=b"\x00\xff" * 100)
BINARY = [
    SET_UP,
    ANSWER,
    messages.encode(messages.RELEASE, NAME, cause=b"\x10"),
    messages.encode(messages.RELEASE_ACK, NAME),
    messages.encode(messages.HEALTH_CHECK, NAME, cause=b"\0"),
]
TEXT = [
    rtsp.request("SETUP", "7f3a9c21e0b4d655", NAME, 1, b"a body\r\n\r\nwith lines", X_Rung="2"),
    rtsp.request("TEARDOWN", "x", NAME, 2, Reason="cause=41"),
    b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 9b1f03aa5c7e2d41\r\nContent-Length: 3\r\n\r\nabc",
    b"RTSP/1.0 453 Not Enough Bandwidth\r\ncseq: 1\r\nX-State: cpu:0.5;x1:1.2\r\n"
    b"session: 9b1f03aa5c7e2d41\r\ncontent-length: 0\r\n\r\n",
]
HEAD = b"CSeq: 1\r\nSession: 9b1f03aa5c7e2d41\r\nContent-Length: 0\r\n"


def test_encoded_examples_match_byte_for_byte():
    wanted = b"".join(
        (bytes.fromhex("001a 01 9b1f03aa5c7e2d41 40 0004"), b"paid", bytes.fromhex("42 0004"), b"1500")
    )
    got = messages.encode(messages.SET_UP, NAME, product=b"paid", patience=b"1500")
    assert got[2:] == wanted[2:] and int.from_bytes(got[:2], "big") == len(got) - 2
    text = rtsp.request("SETUP", "7f3a9c21e0b4d655", NAME, 1, b"12", Subject="paid", X_Patience="1500")
    assert text == (
        b"SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\n"
        b"CSeq: 1\r\nSession: 9b1f03aa5c7e2d41\r\n"
        b"Subject: paid\r\nX-Patience: 1500\r\nContent-Length: 2\r\n\r\n12"
    )


@pytest.mark.parametrize(("codec", "raw"), [(messages.Reader, BINARY), (rtsp.Reader, TEXT)])
def test_messages_split_anywhere_decode_alike(codec, raw):
    stream = b"".join(raw)
    at_once = codec().feed(stream)
    assert len(at_once) == len(raw)
    for size in (1, 2, 3, 7, 50):
        reader, found = codec(), []
        for at in range(0, len(stream), size):
            found += reader.feed(stream[at : at + size])
        assert found == at_once and not reader.error and not reader.buffer


@pytest.mark.parametrize(
    "raw",
    [
        b"\x00\x08\x01",
        b"\x00\x00\x01",
        b"\xff\xff\x01",
        b"\x40\x00\x01",  # lengths
        b"\x00\x09\x00",
        b"\x00\x09\x02",
        b"GET / HTTP/1.1\r\n",  # types
        b"\x00\x0a\x01" + bytes(8) + b"\x40",
        b"\x00\x0c\x01" + bytes(8) + b"\x40\x00\x01",  # partial parameters
        b"\x00\x0f\x01" + bytes(8) + b"\x40\x00\x00" * 2,  # a repeated parameter
    ],
)
def test_invalid_binary_message_ends_decoding(raw):
    reader = messages.Reader()
    assert reader.feed(SET_UP + raw + SET_UP) == messages.Reader().feed(SET_UP)
    assert reader.error and not reader.buffer and reader.feed(SET_UP) == []


@pytest.mark.parametrize(
    "raw",
    [
        b"\x00\xff\x13\x07",
        b"HTTP/1.1 200 OK\r\n",
        b"RTSP/1.0 999 No\r\n",
        b"RTSP/1.0 200 " + b"A" * 1100,
        b"SETUP http://media/x RTSP/1.0\r\n",
        b"RTSP/1.0 200 OK\r\n" + HEAD[:-19] + b"\r\n",  # no length
        b"RTSP/1.0 200 OK\r\n" + HEAD + b"Content-Length: 0\r\n\r\n",
        b"RTSP/1.0 200 OK\r\n" + HEAD + b"no colon\r\n\r\n",
        b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 9B1F\r\nContent-Length: 0\r\n\r\n",
        b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 9b1f03aa5c7e2d41\r\nContent-Length: -1\r\n\r\n",
        b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 9b1f03aa5c7e2d41\r\nContent-Length: 3000000000\r\n\r\n",
        b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 9b1f03aa5c7e2d41\r\nContent-Length: 16384\r\n\r\n",
        b"RTSP/1.0 200 OK\r\nCSeq: \xc2\xb2\r\nSession: 9b1f03aa5c7e2d41\r\nContent-Length: 0\r\n\r\n",
        b"RTSP/1.0 200 OK\r\n" + b"X: y\r\n" * 4000,
    ],
)
def test_invalid_rtsp_message_ends_decoding(raw):
    reader = rtsp.Reader()
    assert len(reader.feed(TEXT[0] + raw)) == 1
    assert reader.error and not reader.buffer and reader.feed(TEXT[0]) == []


@pytest.mark.parametrize(("text", "cause"), [("cause=16", 16), ("cause=41; text=x", 41), ("", 0), ("why", 0)])
def test_teardown_cause_is_read_from_its_reason(text, cause):
    (message,) = rtsp.Reader().feed(rtsp.request("TEARDOWN", "x", NAME, 2, Reason=text))
    assert message.cause() == cause


def test_encoding_a_message_over_the_limit_raises():
    with pytest.raises(ValueError, match="too long"):
        messages.encode(messages.ANSWER, NAME, description=b"x" * 16384)


@pytest.mark.parametrize(("codec", "sound"), [(messages.Reader, SET_UP), (rtsp.Reader, TEXT[0])])
@given(
    pieces=st.lists(
        st.one_of(
            st.binary(max_size=300),
            st.sampled_from(
                [SET_UP, TEXT[0], TEXT[2], b"\r\n\r\n", b"RTSP/1.0 ", b"\x3f\xfe\x01" + bytes(9000)]
            ),
        ),
        max_size=20,
    )
)
def test_random_bytes_yield_messages_or_one_error_in_bounded_memory(codec, sound, pieces):
    """The error stays as it is once it is set."""
    reader = codec()
    for piece in pieces:
        before = reader.error
        found = reader.feed(piece)
        assert len(reader.buffer) <= 16384 and not (before and found)
        assert reader.error == before or not before


@pytest.mark.parametrize("step", [1, 100, 16384])
def test_head_of_many_short_fields_is_refused_before_it_is_parsed(step):
    """Nodes' heads: 2,600 fields were parsed anew for each byte of their body, 3 ms each."""
    fields = "".join(f"x{i:x}:\r\n" for i in range(rtsp.MAX_HEADER_FIELDS))
    head = "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000001\r\nContent-Length: 2\r\n"
    raw, reader = (head + fields + "\r\n").encode(), rtsp.Reader()
    for at in range(0, len(raw), step):
        assert not reader.feed(raw[at : at + step])
    assert "header fields" in reader.error
