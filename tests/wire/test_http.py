"""Parsing of HTTP messages: which are accepted, and which are rejected with which status."""

import pytest

from curlewhall.wire import http

HOST = b"Host: a\r\n"
POST = b"POST / HTTP/1.1\r\n" + HOST
LIMITS = http.Limits(line=100, head=400, body=50)


def parse(raw, step=None, limits=LIMITS):
    """The requests in `raw`, which is fed in pieces of `step` bytes."""
    parser = http.RequestParser(limits)
    for i in range(0, len(raw), step or len(raw)):
        parser.feed(raw[i : i + (step or len(raw))])
    return list(parser.messages)


@pytest.mark.parametrize(
    ("status", "raw"),
    [
        (400, b"GET / HTTP/1.1\r\n" + HOST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nx"),
        (400, b"GET / HTTP/1.1\r\n" + HOST + b"Content-Length: 1\r\nContent-Length: 1\r\n\r\nx"),
        (400, POST + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        (400, POST + b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n"),
        (501, POST + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"),
        (400, b"GET / HTTP/1.1\r\n" + HOST + b"X: b\rc\r\n\r\n"),
        (400, b"GET / HTTP/1.1\r\nHost: a\rX: b\r\n\r\n"),
        (400, b"GET / HTTP/1.1\r\n" + HOST + b" folded: x\r\n\r\n"),
        (400, b"GET / HTTP/1.1\r\nHost : a\r\n\r\n"),
        (400, b"GET / HTTP/1.1\r\n" + HOST + HOST + b"\r\n"),
        (400, b"GET / HTTP/1.1\r\n\r\n"),
        (400, POST + b"Content-Length: +1\r\n\r\nx"),
        (400, POST + b"Content-Length: 0x1\r\n\r\nx"),
        (400, POST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
        (400, b"\x16\x03\x01\x02\x00\x01\x00"),
        (413, POST + b"Content-Length: 51\r\n\r\n"),
        (413, POST + b"Transfer-Encoding: chunked\r\n\r\n40\r\n" + b"x" * 64 + b"\r\n"),
        (414, b"GET /" + b"a" * 200 + b" HTTP/1.1\r\n"),
        (414, b"GET /" + b"a" * 200),
        (431, b"GET / HTTP/1.1\r\n" + HOST + b"x: y\r\n" * 100),
        (431, b"GET / HTTP/1.1\r\n" + HOST + b"x: " + b"y" * 500),
        (505, b"GET / HTTP/2.0\r\n" + HOST + b"\r\n"),
    ],
    ids=range(22),
)
@pytest.mark.parametrize("step", [None, 1, 7])
def test_ambiguous_or_oversized_request_is_rejected_with_its_status(status, raw, step):
    with pytest.raises(http.HttpMessageError) as caught:
        parse(raw, step)
    assert caught.value.status == status


@pytest.mark.parametrize("step", [None, 1, 5])
def test_requests_are_parsed_however_their_bytes_are_divided(step):
    raw = (
        b"GET /a HTTP/1.1\r\n" + HOST + b"X: 1\r\nx: 2\r\n\r\n"
        b"POST /b HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
        b"2\r\nhi\r\n1\r\n!\r\n0\r\n\r\n"
        b"POST /c HTTP/1.1\r\n" + HOST + b"Content-Length: 2\r\nConnection: close\r\n\r\nok"
    )
    found = parse(raw, step)
    assert [(m.method, m.target, m.body, m.keep_alive) for m in found] == [
        ("GET", "/a", b"", True),
        ("POST", "/b", b"hi!", True),
        ("POST", "/c", b"ok", False),
    ]
    assert found[0].headers["x"] == "1, 2"


@pytest.mark.parametrize(("fields"), [{"a": "b\r\nc: d"}, {"a\r\nb": "c"}, {"a": "x\ny"}, {"a": "\0"}])
def test_line_break_or_nul_in_a_header_field_raises_value_error(fields):
    with pytest.raises(ValueError):
        http.head_bytes("GET / HTTP/1.1", fields)


def test_response_body_is_passed_on_in_pieces_if_requested():
    pieces = []
    parser = http.ResponseParser(LIMITS, lambda message, piece: pieces.append((message.status, piece)))
    parser.feed(
        http.response_head_bytes(200, {}, None, True) + http.chunk_bytes(b"one") + http.chunk_bytes(b"x" * 90)
    )
    assert pieces == [(200, b"one"), (200, b"x" * 90)] and not parser.messages
