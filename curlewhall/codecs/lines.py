"""Collects bytes until lines are complete. No I/O, no clock."""


class LineBuffer:
    """The bytes of a line that is not complete. They are not looked through again with each further piece, so
    that a long line in many pieces costs no more than its length.
    """

    __slots__ = ("rest",)

    def __init__(self) -> None:
        self.rest = bytearray()

    def __len__(self) -> int:
        return len(self.rest)

    def feed(self, piece: bytes) -> list[bytes]:
        """The lines that a piece completes, without their line feeds."""
        first, newline, others = piece.partition(b"\n")
        self.rest += first
        if not newline:
            return []
        *more, rest = others.split(b"\n")
        lines = [bytes(self.rest), *more]
        self.rest = bytearray(rest)
        return lines

    def truncate(self, size: int) -> None:
        """Keep the first `size` bytes alone."""
        self.rest = self.rest[:size]
