"""The command channel: the list as the configuration knows it, then server-sent events by number.

`Events` takes the stream apart without I/O; `Channel` owns the one connection and asks again when it breaks
off or falls silent.
"""

import json
import re
import time
from typing import Any

from curlewhall.errors import CurlewhallError
from curlewhall.front.driver import TICKS_PER_SECOND, Driver
from curlewhall.interface import NodeRow
from curlewhall.wire.client import Pool, Reply
from curlewhall.wire.http import request_bytes

from .decide import Returns
from .start_settings import address_of

TRIES = 4  # asks in a row that come to nothing until the module is told that the list has failed
MOST = 4 << 20  # bytes of one event: a whole list of thousands of nodes is half of that
NUMBER = re.compile("[0-9]{1,15}")
STATES = {"ready": "serving", "draining": "draining", "gone": "gone"}


class EventError(CurlewhallError):
    """What came is not of its form."""

    remedy = (
        "Nothing at once: the front asks again from the last whole event, then does without this one; "
        "look at the channel if it repeats."
    )


class Events:
    """Collects events from fed bytes (WHATWG HTML, server-sent events), as (number, data).

    The number is 0 where it can't be read, and the data None where there is none to be read: an event without
    a number, or one too long. What follows such an event is taken apart all the same.
    """

    __slots__ = ("data", "number", "lines", "size")

    def __init__(self) -> None:
        self.data, self.number, self.lines, self.size = bytearray(), "", [], 0

    def feed(self, piece: bytes) -> list[tuple[int, str | None]]:
        """The events that are whole by now."""
        found = []
        self.data += piece
        *lines, rest = self.data.split(b"\n")
        self.data = bytearray(rest)
        for raw in lines:
            line = bytes(raw).removesuffix(b"\r")
            if not line:
                if self.lines or self.size > MOST:
                    found.append(self.event())
                self.lines, self.number, self.size = [], "", 0
            elif not line.startswith(b":"):
                self.size += len(line)
                name, _, value = line.decode("utf-8", "replace").partition(":")
                if name == "id":
                    self.number = value.removeprefix(" ")
                elif name == "data" and self.size <= MOST:
                    self.lines.append(value.removeprefix(" "))
        if self.size + len(self.data) > MOST:
            # Danger: memory. Nothing of it is kept, and at its end it is known for one that was too long.
            self.size, self.data, self.lines = MOST + 1, self.data[:1], []
        return found

    def event(self) -> tuple[int, str | None]:
        number = int(self.number) if NUMBER.fullmatch(self.number) else 0
        return number, "\n".join(self.lines) if number and self.size <= MOST else None


def rows_of(members: list, offset: int) -> tuple[list[tuple[NodeRow, tuple[str, int]]], int]:
    """Rows and addresses of a list, and how many of its lines can't be read.

    `offset`: what turns tenths of a millisecond since 1970 into the module's time; one for all lists, so that
    a start told again is the same start.
    """
    rows, wrong = [], 0
    for member in members:
        try:
            address = address_of(member["host_port"], "host_port")
            since, weight = member.get("up_since_ms") or 0, float(member.get("size", 1))
            row = NodeRow(
                str(member["id"]),
                int(member["cell"]),
                str(member.get("locality", "")),
                str(member.get("flavor", "")),
                STATES[member["phase"]],
                weight,
                max(1, int(since * 10) + offset) if since > 0 else 0,
            )
            if not 0 <= weight < 1e9 or row.place < 0:
                raise ValueError(f"a weight or place out of range: {row}")
            rows.append((row, address))
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError):
            wrong += 1
    return rows, wrong


class Channel:
    """Follows the channel at one address; `point` sends it to another."""

    def __init__(self, driver: Driver, loop, timers, address: tuple[str, int], log, seed: int) -> None:
        self.driver, self.loop, self.timers, self.log = driver, loop, timers, log
        self.offset = driver.clock.now() - time.time_ns() // 100_000
        self.cursor, self.tries, self.address = 0, 0, address
        self.pool: Pool | None = None
        self.events, self.stream, self.silence, self.pause, self.turn = Events(), None, None, None, None
        self.failing = self.closed = self.breaking = False
        self.doubted = -1  # the number after which something was wrong, and was asked for once more
        self.since = 0.0  # when the stream first told something; 0: not yet
        start_settings = driver.start_settings
        self.returns = Returns(
            seed,
            start_settings.get("rules.drain_grace", 0) / TICKS_PER_SECOND,
            start_settings.get("fronts", 1),
        )

    def begin(self, known: dict[str, Any]) -> None:
        """Take what the configuration knows."""
        for command in known.get("cmds", ()):
            self.command(command, "old_copy")
        self.cursor = int(known.get("cursor", 0))

    def command(self, command: dict, how: str = "whole") -> None:
        nodes = command.get("nodes") if isinstance(command, dict) else None
        if not isinstance(nodes, dict) or not isinstance(nodes.get("members"), list):
            return  # of another kind than the list of nodes
        rows, wrong = rows_of(nodes["members"], self.offset)
        if wrong:
            self.log.warning("lines of the list that can't be read", lines=wrong)
        whole = bool(nodes.get("complete")) and not wrong
        self.driver.nodes.listed(rows, whole)  # first: the module may allocate at once
        self.driver.update_nodes(how if whole else "changes", [row for row, _ in rows])

    def point(self, address: tuple[str, int]) -> None:
        """Ask here from now on; the numbers go on. Until this front's turn the old one is listened to."""
        if address != self.address or self.pool is None:
            self.address = address
            if self.turn is not None:
                self.turn.cancel()
            self.turn = self.timers.after(self.returns.moved(), self.move)

    def move(self) -> None:
        self.shut()
        self.subscribe()

    def subscribe(self) -> None:
        if self.closed:
            return
        self.pause = None
        if self.pool is None:
            self.pool = Pool(self.loop, self.timers, *self.address, connect=0.5)
        self.events, self.since, self.breaking = Events(), 0.0, False
        data = request_bytes(
            "GET", "/cmd/next", self.pool.host, last_event_id=str(self.cursor), accept="text/event-stream"
        )
        pool = self.pool
        self.stream = pool.ask(data, 86_400.0, lambda reply: self.ended(pool, reply), tell=self.told)
        self.listen()

    def listen(self, spoken: bool = False) -> None:
        if self.silence is not None:
            self.silence.cancel()
        self.silence = self.timers.after(self.returns.patience(spoken), self.stream.withdraw)

    def told(self, message, piece: bytes) -> None:
        if message.status != 200 or self.breaking:
            return
        self.listen(spoken=True)
        self.since = self.since or time.monotonic()
        for number, data in self.events.feed(piece):
            if not self.event(number, data):
                self.breaking = True  # off, from outside of its own call; what still comes of it is not taken
                self.timers.after(0, self.stream.withdraw)
                return

    def event(self, number: int, data: str | None) -> bool:
        """Take an event; False: the channel is to be asked again, from the last one that was taken.

        Danger: one that can't be read at all, and comes again so, must not keep away what follows it. It is
        asked for once more, in case it was spoilt on its way; after that it is passed over.
        """
        command, why = None, "a gap"
        try:
            command = self.read(data)
            self.tries = 0
            self.returns.heard()
        except EventError as err:
            why = err
        if number and number <= self.cursor:
            return True  # told twice
        if command is None or number > self.cursor + 1:
            self.log.warning(
                "the channel can't be read",
                why=why,
                have=self.cursor,
                came=number,
                again=self.doubted == self.cursor,
            )
            if self.doubted != self.cursor:
                self.doubted = self.cursor
                return False
        # a number far ahead that the event itself doesn't bear out would pass over all that follow it
        if number == self.cursor + 1 or command is not None and command.get("cursor", number) == number:
            self.cursor = number
        self.failing = False
        if command is not None:
            self.command(command)
        return True

    def read(self, data: str | None) -> dict:
        """What an event holds."""
        if data is None:
            raise EventError("an event without a number, or too long")
        try:
            command = json.loads(data)
        except (ValueError, RecursionError) as err:
            raise EventError(f"not JSON: {err}") from None
        if not isinstance(command, dict):
            raise EventError("no JSON object")
        return command

    def ended(self, pool: Pool, reply: Reply) -> None:
        if pool is not self.pool or self.closed:
            return
        if self.silence is not None:
            self.silence.cancel()
        if self.tries >= TRIES and not self.failing:
            self.failing = True
            self.driver.update_nodes("failed", [])
            self.log.warning("the channel is out of reach", how=reply.ending)
        self.tries += 1
        told_for = time.monotonic() - self.since if self.since else 0.0
        self.pause = self.timers.after(self.returns.broken(told_for), self.subscribe)

    def shut(self) -> None:
        for timer in (self.silence, self.pause, self.turn):
            if timer is not None:
                timer.cancel()
        pool, self.pool = self.pool, None
        if pool is not None:
            pool.close()

    def close(self) -> None:
        self.closed = True
        self.shut()
