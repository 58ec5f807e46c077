"""The base of both decoders: collects bytes until a message is complete or invalid. No I/O, no clock."""


class MessageReader:
    """Decodes a byte stream into messages. `error` says why the stream is invalid; nothing is decoded after
    that.
    """

    __slots__ = ("buffer", "error")

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.error = ""

    def feed(self, piece: bytes) -> list:
        """Append received bytes and return the messages that are complete by now."""
        found: list = []
        if self.error:
            return found
        self.buffer += piece
        while (message := self.next_message()) is not None:
            found.append(message)
        if self.error:
            self.buffer = bytearray()
        return found

    def next_message(self):
        """Remove the next message from `buffer` and return it. None if it is incomplete, or, with `error`
        set, invalid.
        """
        raise NotImplementedError
