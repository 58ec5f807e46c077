"""Null objects for what this front end does without (moves, peers), and its log on standard error."""

import contextlib
import sys
import time
import traceback


class NoMoves:
    """Stands in for the mover in a front that moves no plays."""

    retrying = ()

    def play_started(self, active_play) -> None: ...

    def play_ended(self, play: str) -> None: ...

    def node_reported(self, node: str, kind: str, value: float) -> None: ...

    def move_declined(self, active_play) -> bool:
        return False

    def play_lost(self, active_play, what: str) -> None: ...


class NoPeers:
    """Stands in for the peers of a front whose platform gives it no way to reach them."""

    def send(self, peer: int | None, body: bytes) -> None: ...


class Log:
    """Writes warnings and errors as lines on standard error, at most `MAX_LINES_PER_SECOND`; it counts the
    rest.
    """

    MAX_LINES_PER_SECOND = 5  # a misbehaving viewer must not fill a disk or occupy the core

    def __init__(self, out=None) -> None:
        self.out = out or sys.stderr
        self.second = 0  # the second that the two counts are of
        self.lines = 0
        self.suppressed = 0

    def info(self, text: str, **facts) -> None:
        """Writes nothing: the driver reports each step of each play here."""

    def warning(self, text: str, **facts) -> None:
        """Write a line, unless this second has had its share."""
        second = int(time.monotonic())
        if second != self.second:
            if self.suppressed:
                self.write(f"{self.suppressed} log lines suppressed")
            self.second, self.lines, self.suppressed = second, 0, 0
        self.lines += 1
        if self.lines > self.MAX_LINES_PER_SECOND:
            self.suppressed += 1
            return
        self.write(text, **facts)

    error = warning

    def write(self, text: str, **facts) -> None:
        """Write a line, whatever the rate: for what happens once or twice in a process's life."""
        more = " ".join(f"{name}={value}" for name, value in facts.items())
        # The reader of standard error may have gone. An error here would end the caller, and with it a
        # shutdown that is being logged.
        with contextlib.suppress(OSError):
            print(f"{text} {more}".rstrip(), file=self.out, flush=True)

    def exception(self, text: str, **facts) -> None:
        """Write a line with the end of the current exception's traceback."""
        self.warning(text, **facts, fault=" | ".join(traceback.format_exc().strip().splitlines()[-6:]))
