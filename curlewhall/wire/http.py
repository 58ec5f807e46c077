"""Messages of HTTP/1.1 (RFC 9112) from bytes and back. No I/O, no clock.

httptools does the parsing; what is added here are the limits on sizes and the shapes that two programs on a
way could read differently (request smuggling, RFC 9112 section 11.2), which are refused.
"""

from collections import deque
from http import HTTPStatus
from typing import NamedTuple

import httptools

from curlewhall.errors import CurlewhallError

REASONS = {status.value: status.phrase for status in HTTPStatus}


class Limits(NamedTuple):
    """Sizes in bytes, times in seconds. The figures leave ten times what our own messages need."""

    line: int = 4096  # the request target
    head: int = 16384  # all of the start line and header fields
    body: int = 1 << 20
    connections: int = 10_000
    pipeline: int = 16  # requests of a connection waiting for their answers
    queued: int = 1 << 20  # bytes waiting for a slow reader, then the connection is closed
    read: float = 10.0  # from a message's first byte to its last
    idle: float = 30.0  # between messages
    write: float = 10.0  # for one piece of an answer


class HttpMessageError(CurlewhallError):
    """A message that is not taken; `status` is the answer to it (RFC 9110 section 15.5)."""

    remedy = (
        "Look at the sender: it does not speak HTTP/1.1, or goes over a limit of limits { } "
        "in the settings."
    )

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status, self.why = status, why


class Message:
    """A request (`method`, `target`) or a response (`status`). Header names are in lower case."""

    __slots__ = ("method", "target", "status", "headers", "body", "keep", "done")

    def __init__(self) -> None:
        self.method = self.target = ""
        self.status, self.headers, self.body, self.keep, self.done = 0, {}, b"", True, False


class Reader:
    """Collects messages from fed bytes; complete ones wait in `messages`.

    Raises `HttpMessageError` from `feed` for what breaks the form or a limit. The reader is of no use after
    that.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits, self.messages = limits, deque()
        self.current, self.seen, self.fields, self.pieces, self.names = None, 0, 0, [], None
        self.parser = self.make()

    def make(self):
        raise NotImplementedError

    def feed(self, data) -> None:
        """Take bytes; `HttpMessageError` when they can't be the continuation of a sound message."""
        before, whole = self.current, len(self.messages)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise HttpMessageError(501, "no other protocol is spoken here") from None
        except httptools.HttpParserCallbackError as err:
            cause = err.__context__
            raise cause if isinstance(cause, HttpMessageError) else HttpMessageError(400, f"{err}") from None
        except httptools.HttpParserError as err:
            raise HttpMessageError(400, str(err) or "malformed") from None
        if self.current is not None and self.names is not None:
            # Danger: a head without end. What came since its first byte counts, however it is cut up.
            if before is self.current or whole == len(self.messages):
                self.seen = max(self.seen, len(data)) if before is not self.current else self.seen + len(data)
            if self.seen > self.limits.head:
                raise HttpMessageError(431, "the head is too long")

    # ---- called by the parser

    def on_message_begin(self) -> None:
        self.current, self.seen, self.fields = Message(), 0, 0
        self.pieces, self.names = [], set()

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.decode("latin-1").lower()
        self.fields += len(name) + len(value) + 4
        if self.fields > self.limits.head:
            raise HttpMessageError(431, "the head is too long")
        if b"\r" in value or b"\0" in value or b"\n" in value:
            raise HttpMessageError(400, "a bare CR, LF or NUL in a field")
        if key in self.names and key in ("content-length", "transfer-encoding", "host"):
            raise HttpMessageError(400, f"{key} twice")
        self.names.add(key)
        old = self.current.headers.get(key)
        text = value.decode("latin-1").strip()
        self.current.headers[key] = text if old is None else f"{old}, {text}"

    def on_headers_complete(self) -> None:
        heads = self.current.headers
        if "content-length" in heads and "transfer-encoding" in heads:
            raise HttpMessageError(400, "both a length and chunks")
        if heads.get("transfer-encoding", "chunked").lower() != "chunked":
            raise HttpMessageError(501, "no transfer coding but chunked")
        length = heads.get("content-length", "0")
        if not (length.isascii() and length.isdigit()):
            raise HttpMessageError(400, "a length that is no number")
        if int(length) > self.limits.body:
            raise HttpMessageError(413, "the body is too long")
        self.names = None
        self.headed()

    def headed(self) -> None:
        """What else is to be looked at once the head is whole."""

    def on_body(self, data: bytes) -> None:
        self.pieces.append(data)
        if sum(map(len, self.pieces)) > self.limits.body:
            raise HttpMessageError(413, "the body is too long")

    def on_message_complete(self) -> None:
        message, self.current = self.current, None
        message.body, message.done = b"".join(self.pieces), True
        message.keep = self.parser.should_keep_alive()
        self.pieces = []
        self.messages.append(message)


class Requests(Reader):
    """Requests as they come over one connection."""

    def make(self):
        return httptools.HttpRequestParser(self)

    def on_url(self, url: bytes) -> None:
        self.current.target += url.decode("latin-1")
        if len(self.current.target) > self.limits.line:
            raise HttpMessageError(414, "the target is too long")

    def headed(self) -> None:
        self.current.method = self.parser.get_method().decode("latin-1")
        version = self.parser.get_http_version()
        if version not in ("1.0", "1.1"):
            raise HttpMessageError(505, "HTTP/1.0 and HTTP/1.1 only")
        if version == "1.1" and "host" not in self.current.headers:
            raise HttpMessageError(400, "no host")  # RFC 9112 section 3.2

    def feed(self, data) -> None:
        super().feed(data)
        # Danger: a request target without end never reaches a header.
        if self.current is not None and len(self.current.target) > self.limits.line:
            raise HttpMessageError(414, "the target is too long")


class Responses(Reader):
    """Responses as they come over one connection. `tell(message, piece)` hears bodies as they arrive."""

    def __init__(self, limits: Limits, tell=None) -> None:
        super().__init__(limits)
        self.tell = tell

    def make(self):
        return httptools.HttpResponseParser(self)

    def headed(self) -> None:
        self.current.status = self.parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        if self.tell is None:
            super().on_body(data)
        else:
            self.tell(self.current, data)


def head_bytes(start: str, fields: dict[str, str]) -> bytes:
    """A start line and fields as bytes; `ValueError` where a field would break out of its line."""
    lines = [start, *(f"{name}: {value}" for name, value in fields.items())]
    text = "\r\n".join(lines)
    if text.count("\n") != len(lines) - 1 or text.count("\r") != len(lines) - 1 or "\0" in text:
        raise ValueError("a line break or NUL in a field")
    return (text + "\r\n\r\n").encode("latin-1")


def request_bytes(method: str, target: str, host: str, body: bytes = b"", **fields: str) -> bytes:
    """A whole request with a body of known length."""
    names = {"host": host} | {name.replace("_", "-"): value for name, value in fields.items()}
    if body or method in ("POST", "PUT"):
        names["content-length"] = str(len(body))
    return head_bytes(f"{method} {target} HTTP/1.1", names) + body


def response_head(status: int, fields: dict[str, str], length: int | None, keep: bool) -> bytes:
    """The head of a response; `length` None stands for chunks."""
    names = dict(fields)
    if length is None:
        names["transfer-encoding"] = "chunked"
    elif status not in (204, 304):
        names["content-length"] = str(length)
    if not keep:
        names["connection"] = "close"
    return head_bytes(f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}", names)


def chunk(data: bytes) -> bytes:
    """One chunk (RFC 9112 section 7.1); of no bytes: the last one."""
    return b"%x\r\n%s\r\n" % (len(data), data)
