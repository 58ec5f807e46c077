"""Adapter between decision modules and the simulator's line protocol.

Reads batches of event lines, turns each event into one call of its instance's front, and writes one reply for
each batch. It translates names, and milliseconds to whole tenths of a millisecond; it decides nothing.
"""

import base64
import binascii
import json
from collections.abc import Callable, Iterable
from typing import Any, TextIO

from curlewhall.errors import CurlewhallError
from curlewhall.interface import NodeRow
from curlewhall.platform_names import NOTE_KINDS, milliseconds_to_ticks, parse_load_report, start_settings_of

OUTCOMES = {
    "GOOD": "ok",
    "BAD": "error",
    "FULL": "full",
    "LATE": "late",
    "NOCONN": "unreached",
    "RST": "broken",
    "CXL": "withdrawn",
    "NOP": "not_sent",
}
NODE_STATES = {"SERVING": "serving", "DRAINING": "draining", "DELETED": "gone"}
LIST_KINDS = {"patch": "changes", "whole": "whole", "stale_copy": "old_copy", "broken": "failed"}


class SimulatorMessageError(CurlewhallError):
    """A line of the simulator that does not follow the line protocol."""

    remedy = (
        "Start the adapter by the simulator's own command, of the version that the deploy file was made for."
    )


def format_milliseconds(ticks: int) -> str:
    """Whole tenths of a millisecond as milliseconds with one decimal."""
    return f"{ticks // 10}.{ticks % 10}" if ticks >= 0 else f"-{format_milliseconds(-ticks)}"


def parse_flag(text: str) -> bool:
    if text not in ("0", "1"):
        raise ValueError(f"{text!r} is neither 0 nor 1")
    return text == "1"


def parse_line(line: str) -> tuple[str, dict[str, str]]:
    """The tag of a line and its name=value pairs. The value of "config" is the rest of its line."""
    tag, _, rest = line.partition(" ")
    pairs = {}
    if tag == "born":
        rest, found, config = rest.partition("config=")
        if found:
            pairs["config"] = config
    for part in rest.split():
        name, equals, value = part.partition("=")
        if not equals or not name:
            raise SimulatorMessageError(f"{part!r} is not name=value")
        pairs[name] = value
    return tag, pairs


def parse_outcome(code: str) -> str:
    """The outcome of an allocation or probe. An unknown code counts as "error", which proves nothing."""
    return OUTCOMES.get(code, "error")


def parse_node_row(pairs: dict[str, str]) -> NodeRow | None:
    """The row of a node; None for a state that the interface does not know."""
    state = NODE_STATES.get(pairs["availability"])
    return state and NodeRow(
        pairs["node"],
        int(pairs.get("place", 0)),
        pairs.get("failure-domain", ""),
        pairs.get("shape", ""),
        state,
        float(pairs.get("power-hint", 1)),
        milliseconds_to_ticks(pairs.get("came-up-ms", 0)),
    )


def parse_play(pairs: dict[str, str]) -> dict[str, Any]:
    """The arguments that `Front.asked` and `Front.resumed` have in common."""
    watch_ms = pairs.get("cost-guess-ms")
    return {
        "play": pairs["ticket"],
        "product": pairs["profile"],
        "customer": pairs.get("owner", ""),
        "viewer": pairs.get("subject", ""),
        "title": pairs.get("title", ""),
        "first_place": int(pairs.get("base", 0)),
        "places": int(pairs.get("copies", 0)),
        "top_rung": int(pairs.get("max-rung", 0)),
        "length": None if watch_ms is None else milliseconds_to_ticks(watch_ms),
    }


class Host:
    """Runs the instances of one process.

    `make_front` is called with the arguments of `interface.Front` for each new instance.
    """

    def __init__(self, make_front: Callable[..., Any], output: TextIO) -> None:
        self.make_front = make_front
        self.output = output
        self.fronts: dict[str, Any] = {}  # by instance
        self.node_lists: dict[str, list[NodeRow]] = {}  # by number of the simulator's bank
        self.now = 0
        self.reply: list[str] = []  # lines for the present batch

    def run(self, lines: Iterable[str]) -> None:
        """Read and answer batches until the input ends.

        Raises `SimulatorMessageError`, which names the line, for input that breaks the protocol.
        """
        numbered_lines = enumerate(lines, 1)
        serial: str | None = None
        for number, raw in numbered_lines:
            line = raw.rstrip("\r\n")
            if not line:
                continue
            try:
                tag, pairs = parse_line(line)
                if tag == "sync":
                    if serial is not None:
                        raise SimulatorMessageError("sync inside a batch, before its go")
                    self.now, serial, self.reply = (
                        milliseconds_to_ticks(pairs["moment-ms"]),
                        pairs["serial"],
                        [],
                    )
                elif serial is None:
                    raise SimulatorMessageError(f"{tag!r} outside a batch, which begins with sync")
                elif tag == "go":
                    self.reply.append(f"done serial={serial}\n")
                    self.output.write("\n".join(self.reply))
                    self.output.flush()
                    serial = None
                elif tag == "catalog":
                    self.node_lists[pairs["bank"]] = self.read_node_rows(
                        numbered_lines, int(pairs["rows-in"])
                    )
                else:
                    self.handle_event(tag, pairs)
            except KeyError as err:
                raise SimulatorMessageError(
                    f"line {number}: field {err.args[0]!r} is missing: {line[:200]}"
                ) from None
            except (ValueError, binascii.Error) as err:
                raise SimulatorMessageError(f"line {number}: {err}: {line[:200]}") from None
            except SimulatorMessageError as err:
                raise SimulatorMessageError(f"line {number}: {err}: {line[:200]}") from None
        if serial is not None:
            raise SimulatorMessageError("the input ends inside a batch, before its go")

    def read_node_rows(self, numbered_lines: Iterable[tuple[int, str]], count: int) -> list[NodeRow]:
        """Read the `count` rows that follow a catalog line; rows of unknown states are left out."""
        rows = []
        for _ in range(count):
            number, line = next(numbered_lines, (0, ""))
            tag, pairs = parse_line(line.rstrip("\r\n"))
            if tag != "row":
                raise SimulatorMessageError(
                    f"{count} rows announced, row {len(rows) + 1} (line {number}) is {tag!r} instead of 'row'"
                )
            row = parse_node_row(pairs)
            if row:
                rows.append(row)
        return rows

    def handle_event(self, tag: str, pairs: dict[str, str]) -> None:
        """Start or end an instance, or pass the event on to it."""
        instance = pairs["i"]
        now = self.now
        if tag == "born":
            seed = int(pairs["rng-seed"])
            settings = json.loads(pairs["config"])
            self.call(
                instance,
                lambda: self.fronts.update(
                    {instance: self.make_front(now, seed, start_settings_of(settings))}
                )
                or (),
            )
            return
        if tag == "power_off":
            self.fronts.pop(instance, None)
            return
        front = self.fronts.get(instance)
        if front is None:
            raise SimulatorMessageError(f"{tag!r} for instance {instance}, which is not running")
        self.dispatch(instance, front, tag, pairs, now)

    def dispatch(self, instance: str, front: Any, tag: str, pairs: dict[str, str], now: int) -> None:
        """Make the call for an event; events of unknown tags are ignored."""
        if tag == "members":
            how = LIST_KINDS.get(pairs["how"])
            if how:
                rows = [] if how == "failed" else self.node_lists[pairs["bank"]]
                self.call(instance, front.listed, now, how, rows)
        elif tag == "submit":
            self.call(
                instance,
                front.asked,
                now,
                limit=milliseconds_to_ticks(pairs["valid-until-ms"]),
                moved=parse_flag(pairs.get("was-moved", "0")),
                again=parse_flag(pairs.get("came-back", "0")),
                **parse_play(pairs),
            )
        elif tag == "resumed":
            self.call(instance, front.resumed, now, node=pairs["node"], **parse_play(pairs))
        elif tag == "first_byte":
            self.call(
                instance,
                front.first_frame,
                now,
                pairs["ticket"],
                int(pairs["trial"]),
                pairs["node"],
                milliseconds_to_ticks(pairs.get("lag-ms", 0)),
            )
        elif tag == "answer":
            self.call(
                instance,
                front.ended,
                now,
                pairs["ticket"],
                int(pairs["trial"]),
                pairs["node"],
                parse_outcome(pairs["rc"]),
                parse_flag(pairs.get("final", "0")),
                milliseconds_to_ticks(pairs.get("lag-ms", 0)),
                parse_load_report(pairs.get("report", ""), ","),
            )
        elif tag == "progress":
            kind = NOTE_KINDS.get(int(pairs["topic"]))
            if kind:
                self.call(
                    instance,
                    front.note,
                    now,
                    pairs["ticket"],
                    int(pairs["trial"]),
                    pairs["node"],
                    kind,
                    float(pairs["amount"]),
                )
        elif tag == "probe_done":
            self.call(
                instance,
                front.probed,
                now,
                pairs["node"],
                parse_outcome(pairs["rc"]),
                milliseconds_to_ticks(pairs.get("lag-ms", 0)),
                parse_load_report(pairs.get("report", ""), ","),
            )
        elif tag == "message":
            self.call(instance, front.told, now, int(pairs["by"]), decode_body(pairs.get("octets", "-")))
        elif tag == "bell":
            self.call(instance, front.wake, now, int(pairs["label"]))
        elif tag == "client_gone":
            self.call(instance, front.left, now, pairs["ticket"])

    def call(
        self, instance: str, method: Callable[..., Iterable[tuple]], *arguments: Any, **named: Any
    ) -> None:
        """Call the front and add its answers to the reply; an exception is reported as the instance's end."""
        try:
            self.reply.extend(
                line for answer in method(*arguments, **named) if (line := encode_answer(instance, answer))
            )
        except Exception as err:
            self.reply.append(
                f"die i={instance} body-text={type(err).__name__}: {' '.join(str(err).split())}"
            )


def decode_body(text: str) -> bytes:
    """The bytes of a message between instances; "-" stands for none."""
    return b"" if text == "-" else base64.b64decode(text, validate=True)


def encode_answer(instance: str, answer: tuple) -> str:
    """The line of the simulator's protocol for one answer of a front."""
    verb, *rest = answer
    if verb == "allocate":
        return (
            f"send i={instance} ticket={rest[0]} node={rest[1]} allow-for-ms={format_milliseconds(rest[2])}"
        )
    if verb == "rung":
        return f"set_rung i={instance} ticket={rest[0]} grade={rest[1]}"
    if verb == "decline":
        return f"deny i={instance} ticket={rest[0]} stay-away-ms={format_milliseconds(rest[1])}"
    if verb == "fail":
        return f"lose i={instance} ticket={rest[0]}"
    if verb == "withdraw":
        return f"abandon i={instance} ticket={rest[0]} trial={rest[1]}"
    if verb == "move":
        return f"reassign i={instance} ticket={rest[0]}"
    if verb == "probe":
        return f"ping i={instance} node={rest[0]}"
    if verb == "tell":
        peer = "*" if rest[0] is None else rest[0]
        return f"write_peer i={instance} dst={peer} octets={base64.b64encode(rest[1]).decode() or '-'}"
    if verb == "wake":
        return f"timer i={instance} span-ms={format_milliseconds(rest[0])} label={rest[1]}"
    if verb == "log":
        return f"record i={instance} body-text={' '.join(rest[0].split())}"
    raise ValueError(f"the decision module answered {verb!r}, which is not a verb of the interface")
