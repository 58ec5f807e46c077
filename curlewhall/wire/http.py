"""Parses and serialises messages of HTTP/1.1 (RFC 9112). No I/O, no clock.

httptools does the parsing. This module adds limits on sizes, and rejects messages that two programs on the
way could interpret differently (request smuggling, RFC 9112 section 11.2).
"""

from collections import deque
from http import HTTPStatus
from typing import NamedTuple

import httptools

from curlewhall.errors import CurlewhallError

REASONS = {status.value: status.phrase for status in HTTPStatus}
FIELD_OVERHEAD_BYTES = 256  # of memory per header field, besides its text: two strings and two table entries
BODY_BLOCK_BYTES = 4096


class Limits(NamedTuple):
    """Sizes in bytes, times in seconds. The defaults are ten times what the project's own messages need."""

    line: int = 4096  # the request target
    head: int = 16384  # the start line and all header fields
    fields: int = 100  # header fields of a message
    body: int = 1 << 20
    connections: int = 10_000
    pipeline: int = 16  # unanswered requests of a connection
    queued: int = 1 << 20  # bytes queued for a slow reader; beyond it the connection is closed
    memory: int = 16 << 20  # bytes of requests and queued responses, of all connections of a server together
    read: float = 10.0  # from a message's first byte to its last
    idle: float = 30.0  # between messages
    write: float = 10.0  # for one piece of a response


class HttpMessageError(CurlewhallError):
    """A message that is rejected; `status` is the response to it (RFC 9110 section 15.5)."""

    remedy = (
        "Look at the sender: it does not speak HTTP/1.1, or goes over a limit of limits { } "
        "in the settings."
    )

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status
        self.why = why


class BodyBuffer:
    """A body that arrives in pieces of any size. It is kept in blocks: one buffer that grows is copied again
    and again, and takes several times its size while hundreds grow side by side.
    """

    __slots__ = ("blocks", "size")

    def __init__(self) -> None:
        self.blocks: list[bytearray] = []
        self.size = 0  # bytes

    def append(self, piece: bytes) -> None:
        """Add a piece."""
        self.size += len(piece)
        if self.blocks and len(self.blocks[-1]) + len(piece) <= BODY_BLOCK_BYTES:
            self.blocks[-1] += piece
        else:
            self.blocks.append(bytearray(piece))

    def joined(self) -> bytes:
        """The whole body."""
        return b"".join(self.blocks)


class Message:
    """A request (`method`, `target`) or a response (`status`). Header names are in lower case."""

    __slots__ = ("method", "target", "status", "headers", "body", "keep_alive", "complete", "memory_bytes")

    def __init__(self) -> None:
        self.method = self.target = ""
        self.status = 0
        self.headers = {}
        self.body = b""
        self.keep_alive = True
        self.complete = False
        self.memory_bytes = 0  # about what a complete message takes

    def release(self) -> None:
        """Free the header fields and the body; the start line stays."""
        self.headers = {}
        self.body = b""
        self.memory_bytes = len(self.target)


class MessageParser:
    """Parses bytes as they arrive; complete messages are queued in `messages`.

    `feed` raises `HttpMessageError` if a message is malformed or over a limit. The parser can't be used after
    that.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.messages = deque()
        self.current = None  # the message that is being parsed
        self.head_size = 0  # bytes fed since the current head began
        self.field_size = 0  # bytes of its header fields
        self.field_count = 0
        self.body = BodyBuffer()
        self.names = None  # names of the header fields so far; None outside a head
        self.parser = self.make_parser()

    def make_parser(self):
        """The httptools parser, which calls the `on_` methods of this object."""
        raise NotImplementedError

    @property
    def memory_bytes(self) -> int:
        """About what the messages here take in memory, the one that is being parsed included."""
        complete = sum(message.memory_bytes for message in self.messages)
        return complete if self.current is None else complete + self.current_memory_bytes()

    def current_memory_bytes(self) -> int:
        """About what the message that is being parsed takes."""
        head = max(self.head_size, self.field_size) if self.names is not None else self.field_size
        return head + self.field_count * FIELD_OVERHEAD_BYTES + self.body.size + len(self.current.target)

    def close(self) -> None:
        """Free everything. The parser and its callbacks refer to each other, and would wait for a collection
        of garbage with the body that they keep.
        """
        self.current = self.parser = None
        self.messages.clear()
        self.body = BodyBuffer()

    def feed(self, data) -> None:
        """Parse bytes; `HttpMessageError` if they can't continue a valid message."""
        before, complete = self.current, len(self.messages)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise HttpMessageError(501, "a protocol upgrade is not supported") from None
        except httptools.HttpParserCallbackError as err:
            cause = err.__context__
            raise cause if isinstance(cause, HttpMessageError) else HttpMessageError(400, f"{err}") from None
        except httptools.HttpParserError as err:
            raise HttpMessageError(400, str(err) or "malformed") from None
        if self.current is not None and self.names is not None:
            # A head without end is only noticed here: what came since its first byte counts, however it is
            # divided into segments.
            if before is self.current or complete == len(self.messages):
                self.head_size = (
                    max(self.head_size, len(data))
                    if before is not self.current
                    else self.head_size + len(data)
                )
            if self.head_size > self.limits.head:
                raise HttpMessageError(431, "the head is too long")

    # ---- callbacks of httptools

    def on_message_begin(self) -> None:
        self.current = Message()
        self.head_size = 0
        self.field_size = 0
        self.field_count = 0
        self.body = BodyBuffer()
        self.names = set()

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.decode("latin-1").lower()
        self.field_size += len(name) + len(value) + 4
        self.field_count += 1
        if self.field_size > self.limits.head:
            raise HttpMessageError(431, "the head is too long")
        if self.field_count > self.limits.fields:
            raise HttpMessageError(431, "the head has too many fields")
        if b"\r" in value or b"\0" in value or b"\n" in value:
            raise HttpMessageError(400, "a bare CR, LF or NUL in a field")
        if key in self.names and key in ("content-length", "transfer-encoding", "host"):
            raise HttpMessageError(400, f"{key} is repeated")
        self.names.add(key)
        old = self.current.headers.get(key)
        text = value.decode("latin-1").strip()
        self.current.headers[key] = text if old is None else f"{old}, {text}"

    def on_headers_complete(self) -> None:
        headers = self.current.headers
        if "content-length" in headers and "transfer-encoding" in headers:
            raise HttpMessageError(400, "both content-length and transfer-encoding")
        if headers.get("transfer-encoding", "chunked").lower() != "chunked":
            raise HttpMessageError(501, "a transfer coding other than chunked is not supported")
        length = headers.get("content-length", "0")
        if not (length.isascii() and length.isdigit()):
            raise HttpMessageError(400, "content-length is not a number")
        if int(length) > self.limits.body:
            raise HttpMessageError(413, "the body is too long")
        self.names = None
        self.check_head()

    def check_head(self) -> None:
        """Further checks of a complete head, made by subclasses."""

    def on_body(self, data: bytes) -> None:
        self.body.append(data)
        if self.body.size > self.limits.body:
            raise HttpMessageError(413, "the body is too long")

    def on_message_complete(self) -> None:
        message = self.current
        message.memory_bytes = self.current_memory_bytes()
        message.body = self.body.joined()
        message.complete = True
        message.keep_alive = self.parser.should_keep_alive()
        self.current = None
        self.body = BodyBuffer()
        self.messages.append(message)


class RequestParser(MessageParser):
    """Parses the requests of one connection."""

    def make_parser(self):
        return httptools.HttpRequestParser(self)

    def on_url(self, url: bytes) -> None:
        self.current.target += url.decode("latin-1")
        if len(self.current.target) > self.limits.line:
            raise HttpMessageError(414, "the target is too long")

    def check_head(self) -> None:
        self.current.method = self.parser.get_method().decode("latin-1")
        version = self.parser.get_http_version()
        if version not in ("1.0", "1.1"):
            raise HttpMessageError(505, "only HTTP/1.0 and HTTP/1.1 are supported")
        if version == "1.1" and "host" not in self.current.headers:
            raise HttpMessageError(400, "the host field is missing")  # RFC 9112 section 3.2

    def feed(self, data) -> None:
        super().feed(data)
        # A request target without end never reaches the checks of header fields.
        if self.current is not None and len(self.current.target) > self.limits.line:
            raise HttpMessageError(414, "the target is too long")


class ResponseParser(MessageParser):
    """Parses the responses of one connection. `on_body_piece(message, piece)`, if given, gets bodies as they
    arrive, and the messages then have none.
    """

    def __init__(self, limits: Limits, on_body_piece=None) -> None:
        super().__init__(limits)
        self.on_body_piece = on_body_piece

    def make_parser(self):
        return httptools.HttpResponseParser(self)

    def check_head(self) -> None:
        self.current.status = self.parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        if self.on_body_piece is None:
            super().on_body(data)
        else:
            self.on_body_piece(self.current, data)


def head_bytes(start: str, fields: dict[str, str]) -> bytes:
    """A start line and header fields as bytes; `ValueError` if one contains a line break or NUL."""
    lines = [start, *(f"{name}: {value}" for name, value in fields.items())]
    text = "\r\n".join(lines)
    if text.count("\n") != len(lines) - 1 or text.count("\r") != len(lines) - 1 or "\0" in text:
        raise ValueError("a line break or NUL in a field")
    return (text + "\r\n\r\n").encode("latin-1")


def request_bytes(method: str, target: str, host: str, body: bytes = b"", **fields: str) -> bytes:
    """A complete request. `fields` are header fields, with underscores for hyphens."""
    headers = {"host": host} | {name.replace("_", "-"): value for name, value in fields.items()}
    if body or method in ("POST", "PUT"):
        headers["content-length"] = str(len(body))
    return head_bytes(f"{method} {target} HTTP/1.1", headers) + body


def response_head_bytes(status: int, fields: dict[str, str], length: int | None, keep_alive: bool) -> bytes:
    """The head of a response; with `length` None the body is sent in chunks."""
    headers = dict(fields)
    if length is None:
        headers["transfer-encoding"] = "chunked"
    elif status not in (204, 304):
        headers["content-length"] = str(length)
    if not keep_alive:
        headers["connection"] = "close"
    return head_bytes(f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}", headers)


def chunk_bytes(data: bytes) -> bytes:
    """One chunk (RFC 9112 section 7.1); without data it is the last one."""
    return b"%x\r\n%s\r\n" % (len(data), data)
