"""What this front end does without: the mover's place is empty, no log lines for each message."""

import contextlib
import sys
import time
import traceback


class NoMoves:
    """A front that moves no play."""

    retrying = ()

    def play_started(self, active_play) -> None: ...

    def play_ended(self, play: str) -> None: ...

    def node_reported(self, node: str, kind: str, value: float) -> None: ...

    def move_declined(self, active_play) -> bool:
        return False

    def play_lost(self, active_play, what: str) -> None: ...


class NoPeers:
    """A front whose platform gives it no way to its peers."""

    def send(self, peer: int | None, body: bytes) -> None: ...


class Log:
    """Lines on standard error for what is out of order, at most `RATE` a second; the rest are counted."""

    RATE = 5  # enough to see what goes on; a bad viewer must not fill a disk or take the core

    def __init__(self, out=None) -> None:
        self.out, self.second, self.said, self.left_out = out or sys.stderr, 0, 0, 0

    def info(self, text: str, **facts) -> None:
        """Nothing: the driver tells each step of each play."""

    def warning(self, text: str, **facts) -> None:
        second = int(time.monotonic())
        if second != self.second:
            if self.left_out:
                self.say(f"{self.left_out} more lines left out")
            self.second, self.said, self.left_out = second, 0, 0
        self.said += 1
        if self.said > self.RATE:
            self.left_out += 1
            return
        self.say(text, **facts)

    error = warning

    def say(self, text: str, **facts) -> None:
        """What happens once or twice in a process's life."""
        more = " ".join(f"{name}={value}" for name, value in facts.items())
        # Danger: whoever read these lines has gone. An error here would end what is told of, the leaving too.
        with contextlib.suppress(OSError):
            print(f"{text} {more}".rstrip(), file=self.out, flush=True)

    def exception(self, text: str, **facts) -> None:
        self.warning(text, **facts, fault=" | ".join(traceback.format_exc().strip().splitlines()[-6:]))
