"""The command channel: the node list as the configuration has it, then changes as numbered server-sent
events.

`Channel` follows one stream, and requests it again when it breaks off or falls silent. A request without an
answer stays open beside the next one: the channel may be slow, and would never be heard if each were dropped.
"""

import json
import time
from asyncio import AbstractEventLoop
from typing import Any

from curlewhall.front.driver import TICKS_PER_SECOND, Driver
from curlewhall.interface import NodeRow
from curlewhall.wire.client import PendingRequest, Pool, Reply
from curlewhall.wire.http import Message, request_bytes
from curlewhall.wire.timers import Timers

from .decide import MAX_ANSWER_S, ChannelBackoff
from .event_stream import MAX_EVENT_BYTES, EventError, EventParser
from .null_objects import Log
from .start_settings import parse_address

MAX_FAILED_ATTEMPTS = 4  # in a row, until the module is told that the list has failed
CONNECT_TIMEOUT_S = 0.5
MAX_STREAM_S = 86_400.0  # a day; a silent stream ends long before, see `ChannelBackoff.silence_timeout`
NODE_STATES = {"ready": "serving", "draining": "draining", "gone": "gone"}


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


class Subscription:
    """A request for the events after a number, and the stream that answers it."""

    __slots__ = ("request", "parser", "first_data_at", "dropping")

    def __init__(self) -> None:
        self.request: PendingRequest | None = None
        self.parser = EventParser()
        self.first_data_at = 0.0  # when the stream first carried data; 0: not yet
        self.dropping = False  # it is to be dropped; what still comes on it is ignored


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
        self.stream: Subscription | None = None  # the latest one, or the one that carries the events
        self.unanswered: Subscription | None = None  # an earlier one without an answer, which may still come
        self.silence_timer = None
        self.answer_timer = None  # ends the wait for `unanswered`
        self.reconnect_timer = None
        self.switch_timer = None
        self.failing = False  # the module was told that the list has failed
        self.closed = False
        self.rerequested = -1  # the event number after which an invalid event was requested once more
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
        data = request_bytes(
            "GET", "/cmd/next", self.pool.host, last_event_id=str(self.cursor), accept="text/event-stream"
        )
        subscription = self.stream = Subscription()
        subscription.request = self.pool.request(
            data,
            MAX_STREAM_S,
            lambda reply: self.stream_ended(subscription, reply),
            on_body=lambda message, piece: self.data_received(subscription, message, piece),
        )
        self.restart_silence_timer()

    def restart_silence_timer(self, receiving: bool = False) -> None:
        """Call `stream_silent` if nothing comes on the stream for `ChannelBackoff.silence_timeout`."""
        if self.silence_timer is not None:
            self.silence_timer.cancel()
        self.silence_timer = self.timers.after(
            self.backoff.silence_timeout(receiving), self.stream_silent, self.stream
        )

    def stream_silent(self, subscription: Subscription) -> None:
        """Drop a stream that has fallen silent. One that has not been answered yet is kept beside the next
        request, the first of several: each that is dropped costs a slow channel another request.
        """
        if subscription.first_data_at or self.unanswered is not None:
            subscription.request.withdraw()
            return
        self.unanswered, self.stream = subscription, None
        self.answer_timer = self.timers.after(MAX_ANSWER_S, subscription.request.withdraw)
        self.retry_later("silent", 0.0)

    def data_received(self, subscription: Subscription, message: Message, piece: bytes) -> None:
        """Handle a piece of a stream."""
        if message.status != 200 or subscription.dropping:
            return
        if not subscription.first_data_at:
            subscription.first_data_at = time.monotonic()
            self.use_stream(subscription)
        self.restart_silence_timer(receiving=True)
        for number, data in subscription.parser.feed(piece):
            if not self.handle_event(number, data):
                subscription.dropping = True
                # not from within the stream's own call
                self.timers.after(0, subscription.request.withdraw)
                return

    def use_stream(self, subscription: Subscription) -> None:
        """A stream has begun to carry data: follow it, and drop any other request."""
        others = [other for other in (self.stream, self.unanswered) if other not in (None, subscription)]
        self.stream, self.unanswered = subscription, None
        for timer in (self.reconnect_timer, self.answer_timer):
            if timer is not None:
                timer.cancel()
        self.reconnect_timer = self.answer_timer = None
        for other in others:
            other.dropping = True
            other.request.withdraw()

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

    def stream_ended(self, subscription: Subscription, reply: Reply) -> None:
        """Request the events again after a delay, if this was the stream that is followed."""
        if subscription is self.unanswered:
            self.unanswered = None
        elif subscription is self.stream and not self.closed:
            self.stream = None
            began = subscription.first_data_at
            self.retry_later(reply.outcome, time.monotonic() - began if began else 0.0)

    def retry_later(self, how: str, streamed_s: float) -> None:
        """Request the events again after a delay, since the last request ended as `how` after it had carried
        data for `streamed_s` seconds; tell the module once that the list has failed.
        """
        if self.silence_timer is not None:
            self.silence_timer.cancel()
        if self.attempts >= MAX_FAILED_ATTEMPTS and not self.failing:
            self.failing = True
            self.driver.update_nodes("failed", [])
            self.log.warning("channel can't be reached", how=how)
        self.attempts += 1
        self.reconnect_timer = self.timers.after(self.backoff.stream_ended(streamed_s), self.subscribe)

    def disconnect(self) -> None:
        """Close the connection and stop all timers; `subscribe` connects again."""
        for timer in (self.silence_timer, self.answer_timer, self.reconnect_timer, self.switch_timer):
            if timer is not None:
                timer.cancel()
        self.stream = self.unanswered = None
        pool, self.pool = self.pool, None
        if pool is not None:
            pool.close()

    def close(self) -> None:
        """Disconnect for good."""
        self.closed = True
        self.disconnect()
