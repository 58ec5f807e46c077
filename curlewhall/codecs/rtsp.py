"""Encodes and decodes the RTSP messages exchanged with playout nodes. No I/O, no clock."""

import re
from typing import NamedTuple

from . import reader

MAX_MESSAGE_BYTES = 16384  # head and body: the platform's own limit
MAX_START_LINE_BYTES = 1024
MAX_HEADER_FIELDS = 64  # of a message: the platform's own have some ten
REQUEST_LINE = re.compile(r"([A-Z_]{3,16}) (rtsp://[!-~]{1,512}) RTSP/1\.0")
STATUS_LINE = re.compile(r"RTSP/1\.0 ([1-5]\d\d)(?: [ -~]{0,256})?")
HEADER_FIELD = re.compile(r"([A-Za-z][A-Za-z0-9-]{0,63}):[ \t]*([ -~]{0,4096}?)[ \t]*")
SESSION_ID = re.compile(r"[0-9a-f]{16}")
RELEASE_CAUSE = re.compile(r"cause=(\d{1,3})")


class Message(NamedTuple):
    """A decoded request (`method` is set) or response (`status` is set). Names of `fields` are lower-case."""

    method: str
    status: int
    session: str
    fields: dict[str, str]
    body: bytes

    def cause(self) -> int:
        """The release cause (ITU-T Q.850) of a TEARDOWN; 0 if it names none."""
        found = RELEASE_CAUSE.search(self.fields.get("reason", ""))
        return int(found[1]) if found else 0


class Reader(reader.MessageReader):
    """Decodes the messages of one connection."""

    __slots__ = ()

    def next_message(self) -> Message | None:
        end = self.buffer.find(b"\r\n\r\n", 0, MAX_MESSAGE_BYTES)
        if end < 0:
            first = self.buffer.find(b"\r\n", 0, MAX_START_LINE_BYTES)
            if first < 0 and len(self.buffer) >= MAX_START_LINE_BYTES:
                self.error = f"start line is longer than {MAX_START_LINE_BYTES} bytes"
            elif first >= 0:
                self.parse_start_line(bytes(self.buffer[:first]))
            elif not all(byte >= 32 or byte == 13 for byte in self.buffer[:16]):
                self.error = "start line is invalid"
            if len(self.buffer) >= MAX_MESSAGE_BYTES:
                self.error = f"message head is longer than {MAX_MESSAGE_BYTES} bytes"
            self.check_field_count(len(self.buffer))
            return None
        if not self.check_field_count(end):
            return None
        lines = bytes(self.buffer[:end]).split(b"\r\n")
        start, fields = self.parse_start_line(lines[0]), {}
        if start is None:
            return None
        for raw in lines[1:]:
            found = HEADER_FIELD.fullmatch(raw.decode("latin-1"))
            if not found or found[1].lower() in fields:
                self.error = (
                    "header field is invalid" if not found else f"header field {found[1]} occurs twice"
                )
                return None
            fields[found[1].lower()] = found[2]
        size, session = fields.get("content-length", ""), fields.get("session", "")
        if not (size.isascii() and size.isdigit() and len(size) < 6):
            self.error = "Content-Length is missing or not a number"
        elif end + 4 + int(size) > MAX_MESSAGE_BYTES:
            self.error = f"message is longer than {MAX_MESSAGE_BYTES} bytes"
        elif not SESSION_ID.fullmatch(session):
            self.error = "Session is missing or not 16 hex digits"
        elif not fields.get("cseq", "").isdigit():
            self.error = "CSeq is missing or not a number"
        if self.error:
            return None
        whole = end + 4 + int(size)
        if len(self.buffer) < whole:
            return None
        body = bytes(self.buffer[end + 4 : whole])
        del self.buffer[:whole]
        return Message(start[0], start[1], session, fields, body)

    def check_field_count(self, end: int) -> bool:
        """Whether the head, of which `end` bytes are there, has few enough fields; otherwise sets `error`.

        The head is parsed anew for each piece of its body, so its fields cost far more than their bytes.
        """
        if self.buffer.count(b"\r\n", 0, end) > MAX_HEADER_FIELDS + 1:
            self.error = f"message has more than {MAX_HEADER_FIELDS} header fields"
            return False
        return True

    def parse_start_line(self, line: bytes) -> tuple[str, int] | None:
        """Method and status of a start line; None, with `error` set, if it is invalid."""
        text = line.decode("latin-1")
        if found := STATUS_LINE.fullmatch(text):
            return "", int(found[1])
        if found := REQUEST_LINE.fullmatch(text):
            return found[1], 0
        self.error = "start line is invalid"
        return None


def request(method: str, path: str, session: str, sequence: int, body: bytes = b"", **fields: str) -> bytes:
    """Encode a request. `X_Rung="2"` becomes the header field `X-Rung: 2`."""
    head = [f"{method} rtsp://media/{path} RTSP/1.0", f"CSeq: {sequence}", f"Session: {session}"]
    head += [f"{name.replace('_', '-').title()}: {value}" for name, value in fields.items()]
    return "\r\n".join([*head, f"Content-Length: {len(body)}", "", ""]).encode("latin-1") + body


def response(status: int, reason: str, message: Message) -> bytes:
    """Encode the response to `message`, a request from the other side."""
    return (
        f"RTSP/1.0 {status} {reason}\r\nCSeq: {message.fields['cseq']}\r\n"
        f"Session: {message.session}\r\nContent-Length: 0\r\n\r\n"
    ).encode("latin-1")
