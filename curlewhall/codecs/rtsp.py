"""The playout nodes' RTSP messages, from bytes and back. No I/O, no clock."""

import re
from typing import NamedTuple

from . import reader

MOST = 16384  # bytes of a message, head and body: the platform's own limit
LINE = 1024  # bytes of its first line
REQUEST = re.compile(r"([A-Z_]{3,16}) (rtsp://[!-~]{1,512}) RTSP/1\.0")
RESPONSE = re.compile(r"RTSP/1\.0 ([1-5]\d\d)(?: [ -~]{0,256})?")
FIELD = re.compile(r"([A-Za-z][A-Za-z0-9-]{0,63}):[ \t]*([ -~]{0,4096}?)[ \t]*")
SESSION = re.compile(r"[0-9a-f]{16}")
CAUSE = re.compile(r"cause=(\d{1,3})")


class Message(NamedTuple):
    """A request (`method`) or a response (`status`, else 0). Field names are in lower case."""

    method: str
    status: int
    session: str
    fields: dict[str, str]
    body: bytes

    def cause(self) -> int:
        """The cause of a release; 0 where none is given."""
        found = CAUSE.search(self.fields.get("reason", ""))
        return int(found[1]) if found else 0


class Reader(reader.Reader):
    """Messages as they come over one connection."""

    __slots__ = ()

    def next(self) -> Message | None:
        end = self.data.find(b"\r\n\r\n", 0, MOST)
        if end < 0:
            first = self.data.find(b"\r\n", 0, LINE)
            if first < 0 and len(self.data) >= LINE:
                self.why = "a first line without end"
            elif first >= 0:
                self.start(bytes(self.data[:first]))
            elif not all(byte >= 32 or byte == 13 for byte in self.data[:16]):
                self.why = "a first line that can't be read"
            if len(self.data) >= MOST:
                self.why = "a head without end"
            return None
        lines = bytes(self.data[:end]).split(b"\r\n")
        start, fields = self.start(lines[0]), {}
        if start is None:
            return None
        for raw in lines[1:]:
            found = FIELD.fullmatch(raw.decode("latin-1"))
            if not found or found[1].lower() in fields:
                self.why = "a field that can't be read" if not found else "a field twice"
                return None
            fields[found[1].lower()] = found[2]
        size, session = fields.get("content-length", ""), fields.get("session", "")
        if not (size.isascii() and size.isdigit() and len(size) < 6):
            self.why = "a length that is no number"
        elif end + 4 + int(size) > MOST:
            self.why = "a message too long"
        elif not SESSION.fullmatch(session):
            self.why = "a session that can't be read"
        elif not fields.get("cseq", "").isdigit():
            self.why = "a sequence number that can't be read"
        if self.why:
            return None
        whole = end + 4 + int(size)
        if len(self.data) < whole:
            return None
        body = bytes(self.data[end + 4 : whole])
        del self.data[:whole]
        return Message(start[0], start[1], session, fields, body)

    def start(self, line: bytes) -> tuple[str, int] | None:
        """Method and status of a first line."""
        text = line.decode("latin-1")
        if found := RESPONSE.fullmatch(text):
            return "", int(found[1])
        if found := REQUEST.fullmatch(text):
            return found[1], 0
        self.why = "a first line that can't be read"
        return None


def request(method: str, path: str, session: str, sequence: int, body: bytes = b"", **fields: str) -> bytes:
    """A whole request. Names of fields are written with - for _ and capitals, as the platform spells them."""
    head = [f"{method} rtsp://media/{path} RTSP/1.0", f"CSeq: {sequence}", f"Session: {session}"]
    head += [f"{name.replace('_', '-').title()}: {value}" for name, value in fields.items()]
    return "\r\n".join([*head, f"Content-Length: {len(body)}", "", ""]).encode("latin-1") + body


def response(status: int, reason: str, message: Message) -> bytes:
    """The answer to a request of the other side."""
    return (
        f"RTSP/1.0 {status} {reason}\r\nCSeq: {message.fields['cseq']}\r\n"
        f"Session: {message.session}\r\nContent-Length: 0\r\n\r\n"
    ).encode("latin-1")
