"""Server-sent events of the command channel (WHATWG HTML, server-sent events). No I/O, no clock."""

import re

from curlewhall.codecs.lines import LineBuffer
from curlewhall.errors import CurlewhallError

MAX_EVENT_BYTES = 4 << 20  # a whole list of thousands of nodes is half of that
EVENT_NUMBER = re.compile("[0-9]{1,15}")


class EventError(CurlewhallError):
    """An event of the channel is not of its form."""

    remedy = (
        "Nothing at once: the front asks again from the last whole event, then does without this one; "
        "look at the channel if it repeats."
    )


class EventParser:
    """Parses events from fed bytes (WHATWG HTML, server-sent events), as (number, data).

    The number is 0 if it can't be read; the data is None without a number, or if it is too long. Parsing goes
    on after such an event.
    """

    __slots__ = ("buffer", "number", "data_lines", "size")

    def __init__(self) -> None:
        self.buffer = LineBuffer()
        self.number = ""
        self.data_lines: list[str] = []
        self.size = 0  # bytes of the current event

    def feed(self, piece: bytes) -> list[tuple[int, str | None]]:
        """Append received bytes and return the events that are complete by now."""
        found = []
        for raw in self.buffer.feed(piece):
            line = raw.removesuffix(b"\r")
            if not line:
                if self.data_lines or self.size > MAX_EVENT_BYTES:
                    found.append(self.event())
                self.data_lines, self.number, self.size = [], "", 0
            elif not line.startswith(b":"):
                self.size += len(line)
                name, _, value = line.decode("utf-8", "replace").partition(":")
                if name == "id":
                    self.number = value.removeprefix(" ")
                elif name == "data" and self.size <= MAX_EVENT_BYTES:
                    self.data_lines.append(value.removeprefix(" "))
        if self.size + len(self.buffer) > MAX_EVENT_BYTES:
            # Bounds memory: nothing of the event is kept, and its size marks it as too long at its end.
            self.size, self.data_lines = MAX_EVENT_BYTES + 1, []
            self.buffer.truncate(1)
        return found

    def event(self) -> tuple[int, str | None]:
        """The event that has just ended."""
        number = int(self.number) if EVENT_NUMBER.fullmatch(self.number) else 0
        return number, "\n".join(self.data_lines) if number and self.size <= MAX_EVENT_BYTES else None
