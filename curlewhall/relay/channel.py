"""The command channel: the node list as the configuration has it, then changes as numbered server-sent
events.

`EventParser` parses the stream without I/O; `Channel` owns the one connection, and reconnects when it breaks
off or falls silent.
"""

import json
import re
import time
from asyncio import AbstractEventLoop
from typing import Any

from curlewhall.errors import CurlewhallError
from curlewhall.front.driver import TICKS_PER_SECOND, Driver
from curlewhall.interface import NodeRow
from curlewhall.wire.client import Pool, Reply
from curlewhall.wire.http import Message, request_bytes
from curlewhall.wire.timers import Timers

from .decide import ChannelBackoff
from .null_objects import Log
from .start_settings import parse_address

MAX_FAILED_ATTEMPTS = 4  # in a row, until the module is told that the list has failed
MAX_EVENT_BYTES = 4 << 20  # a whole list of thousands of nodes is half of that
CONNECT_TIMEOUT_S = 0.5
MAX_STREAM_S = 86_400.0  # a day; a silent stream ends long before, see `ChannelBackoff.silence_timeout`
EVENT_NUMBER = re.compile("[0-9]{1,15}")
NODE_STATES = {"ready": "serving", "draining": "draining", "gone": "gone"}


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
        self.buffer = bytearray()
        self.number = ""
        self.data_lines: list[str] = []
        self.size = 0  # bytes of the current event

    def feed(self, piece: bytes) -> list[tuple[int, str | None]]:
        """Append received bytes and return the events that are complete by now."""
        found = []
        self.buffer += piece
        *lines, rest = self.buffer.split(b"\n")
        self.buffer = bytearray(rest)
        for raw in lines:
            line = bytes(raw).removesuffix(b"\r")
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
            self.size, self.buffer, self.data_lines = MAX_EVENT_BYTES + 1, self.buffer[:1], []
        return found

    def event(self) -> tuple[int, str | None]:
        """The event that has just ended."""
        number = int(self.number) if EVENT_NUMBER.fullmatch(self.number) else 0
        return number, "\n".join(self.data_lines) if number and self.size <= MAX_EVENT_BYTES else None


def parse_members(members: list, clock_offset: int) -> tuple[list[tuple[NodeRow, tuple[str, int]]], int]:
    """Rows and addresses of a node list, and how many of its members are invalid.

    `clock_offset`: what turns tenths of a millisecond since 1970 into the module's time; one for all lists,
    so that a start reported again is the same start.
    """
    rows, invalid = [], 0
    for member in members:
        try:
            address = parse_address(member["host_port"], "host_port")
            since, weight = member.get("up_since_ms") or 0, float(member.get("size", 1))
            row = NodeRow(
                str(member["id"]),
                int(member["cell"]),
                str(member.get("locality", "")),
                str(member.get("flavor", "")),
                NODE_STATES[member["phase"]],
                weight,
                max(1, int(since * 10) + clock_offset) if since > 0 else 0,
            )
            if not 0 <= weight < 1e9 or row.place < 0:
                raise ValueError(f"weight or place is out of range: {row}")
            rows.append((row, address))
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError):
            invalid += 1
    return rows, invalid


class Channel:
    """Follows the channel at one address; `switch_to` moves it to another."""

    def __init__(
        self,
        driver: Driver,
        loop: AbstractEventLoop,
        timers: Timers,
        address: tuple[str, int],
        log: Log,
        seed: int,
    ) -> None:
        self.driver = driver
        self.loop = loop
        self.timers = timers
        self.log = log
        self.clock_offset = driver.clock.now() - time.time_ns() // 100_000
        self.cursor = 0  # the number of the last event that was applied
        self.attempts = 0  # since the last valid event
        self.address = address
        self.pool: Pool | None = None
        self.parser = EventParser()
        self.stream = None  # the request that carries the events
        self.silence_timer = None
        self.reconnect_timer = None
        self.switch_timer = None
        self.failing = False  # the module was told that the list has failed
        self.closed = False
        self.dropping = False  # the stream is to be dropped; what still comes on it is ignored
        self.rerequested = -1  # the event number after which an invalid event was requested once more
        self.first_data_at = 0.0  # when the stream first carried data; 0: not yet
        start_settings = driver.start_settings
        self.backoff = ChannelBackoff(
            seed,
            start_settings.get("rules.drain_grace", 0) / TICKS_PER_SECOND,
            start_settings.get("fronts", 1),
        )

    def apply_known(self, known: dict[str, Any]) -> None:
        """Apply the commands that the configuration holds."""
        for command in known.get("cmds", ()):
            self.apply_command(command, "old_copy")
        self.cursor = int(known.get("cursor", 0))

    def apply_command(self, command: dict, how: str = "whole") -> None:
        """Tell the nodes and the module of a node list, or of changes to it; other commands are ignored."""
        nodes = command.get("nodes") if isinstance(command, dict) else None
        if not isinstance(nodes, dict) or not isinstance(nodes.get("members"), list):
            return
        rows, invalid = parse_members(nodes["members"], self.clock_offset)
        if invalid:
            self.log.warning("node list has invalid members; they are ignored", lines=invalid)
        whole = bool(nodes.get("complete")) and not invalid
        # first: the module may allocate at once
        displaced = self.driver.nodes.update_list(rows, whole)
        self.driver.update_nodes(how if whole else "changes", [row for row, _ in rows] + displaced)

    def switch_to(self, address: tuple[str, int]) -> None:
        """Follow the channel at another address; event numbers go on. The old one is followed until the delay
        that spreads the fleet's fronts is over.
        """
        if address != self.address or self.pool is None:
            self.address = address
            if self.switch_timer is not None:
                self.switch_timer.cancel()
            self.switch_timer = self.timers.after(self.backoff.switch_delay(), self.reconnect)

    def reconnect(self) -> None:
        """Request the events at the current address, in place of the old connection."""
        self.disconnect()
        self.subscribe()

    def subscribe(self) -> None:
        """Request the events after `cursor`."""
        if self.closed:
            return
        self.reconnect_timer = None
        if self.pool is None:
            self.pool = Pool(self.loop, self.timers, *self.address, connect=CONNECT_TIMEOUT_S)
        self.parser, self.first_data_at, self.dropping = EventParser(), 0.0, False
        data = request_bytes(
            "GET", "/cmd/next", self.pool.host, last_event_id=str(self.cursor), accept="text/event-stream"
        )
        pool = self.pool
        self.stream = pool.request(
            data, MAX_STREAM_S, lambda reply: self.stream_ended(pool, reply), on_body=self.data_received
        )
        self.restart_silence_timer()

    def restart_silence_timer(self, receiving: bool = False) -> None:
        """Drop the stream if nothing comes on it for `ChannelBackoff.silence_timeout`."""
        if self.silence_timer is not None:
            self.silence_timer.cancel()
        self.silence_timer = self.timers.after(self.backoff.silence_timeout(receiving), self.stream.withdraw)

    def data_received(self, message: Message, piece: bytes) -> None:
        """Handle a piece of the stream."""
        if message.status != 200 or self.dropping:
            return
        self.restart_silence_timer(receiving=True)
        self.first_data_at = self.first_data_at or time.monotonic()
        for number, data in self.parser.feed(piece):
            if not self.handle_event(number, data):
                self.dropping = True
                self.timers.after(0, self.stream.withdraw)  # not from within the stream's own call
                return

    def handle_event(self, number: int, data: str | None) -> bool:
        """Apply an event. False: the stream is to be dropped, and the events after `cursor` requested again.

        An event that stays invalid must not block those after it. It is requested once more, in case it was
        damaged on its way; after that it is skipped.
        """
        command, why = None, "event numbers are missing"
        try:
            command = self.parse_command(data)
            self.attempts = 0
            self.backoff.event_received()
        except EventError as err:
            why = err
        if number and number <= self.cursor:
            return True  # a repeat
        if command is None or number > self.cursor + 1:
            self.log.warning(
                "event of the channel is invalid or out of order",
                why=why,
                have=self.cursor,
                came=number,
                again=self.rerequested == self.cursor,
            )
            if self.rerequested != self.cursor:
                self.rerequested = self.cursor
                return False
        # A damaged number far ahead would skip all events up to it, so the event itself must confirm it.
        if number == self.cursor + 1 or command is not None and command.get("cursor", number) == number:
            self.cursor = number
        self.failing = False
        if command is not None:
            self.apply_command(command)
        return True

    def parse_command(self, data: str | None) -> dict:
        """The command in an event's data; raises `EventError` if it is invalid."""
        if data is None:
            raise EventError(f"event has no number, or is longer than {MAX_EVENT_BYTES} bytes")
        try:
            command = json.loads(data)
        except (ValueError, RecursionError) as err:
            raise EventError(f"event is not JSON: {err}") from None
        if not isinstance(command, dict):
            raise EventError(f"event must be a JSON object, not {type(command).__name__}")
        return command

    def stream_ended(self, pool: Pool, reply: Reply) -> None:
        """Request the events again after a delay; tell the module once that the list has failed."""
        if pool is not self.pool or self.closed:
            return
        if self.silence_timer is not None:
            self.silence_timer.cancel()
        if self.attempts >= MAX_FAILED_ATTEMPTS and not self.failing:
            self.failing = True
            self.driver.update_nodes("failed", [])
            self.log.warning("channel can't be reached", how=reply.outcome)
        self.attempts += 1
        streamed_s = time.monotonic() - self.first_data_at if self.first_data_at else 0.0
        self.reconnect_timer = self.timers.after(self.backoff.stream_ended(streamed_s), self.subscribe)

    def disconnect(self) -> None:
        """Close the connection and stop all timers; `subscribe` connects again."""
        for timer in (self.silence_timer, self.reconnect_timer, self.switch_timer):
            if timer is not None:
                timer.cancel()
        pool, self.pool = self.pool, None
        if pool is not None:
            pool.close()

    def close(self) -> None:
        """Disconnect for good."""
        self.closed = True
        self.disconnect()
