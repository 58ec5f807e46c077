"""What both codecs share: bytes are collected until a message is whole, or can't be one. No I/O, no clock."""


class Reader:
    """Collects messages from fed bytes. `why` tells what can't be read; nothing is taken after that."""

    __slots__ = ("data", "why")

    def __init__(self) -> None:
        self.data, self.why = bytearray(), ""

    def feed(self, piece: bytes) -> list:
        """The messages that are whole by now."""
        found: list = []
        if self.why:
            return found
        self.data += piece
        while (message := self.next()) is not None:
            found.append(message)
        if self.why:
            self.data = bytearray()
        return found

    def next(self):
        """Take the next message off `data`; None for a need for more, or, with `why` set, a refusal."""
        raise NotImplementedError
