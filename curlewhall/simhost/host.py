"""Batches of events in, one reply for each out; every event becomes one call on its instance's front.

Only names and units change here: milliseconds become whole tenths, wire names become the project's words.
"""

import base64
import binascii
import json
from collections.abc import Callable, Iterable
from typing import Any, TextIO

from curlewhall.errors import CurlewhallError
from curlewhall.interface import NodeRow
from curlewhall.platform_names import NOTE_KINDS, parse_load_report, start_settings_of, to_tenths

ENDINGS = {
    "GOOD": "ok",
    "BAD": "error",
    "FULL": "full",
    "LATE": "late",
    "NOCONN": "unreached",
    "RST": "broken",
    "CXL": "withdrawn",
    "NOP": "not_sent",
}
STATES = {"SERVING": "serving", "DRAINING": "draining", "DELETED": "gone"}
LISTINGS = {"patch": "changes", "whole": "whole", "stale_copy": "old_copy", "broken": "failed"}


class SimulatorMessageError(CurlewhallError):
    """The input breaks the wire's form."""

    remedy = (
        "Run the adapter under the bench's own command, of the version that the deploy file " "was made for."
    )


def millis(span: int) -> str:
    return f"{span // 10}.{span % 10}" if span >= 0 else f"-{millis(-span)}"


def flag(text: str) -> bool:
    if text not in ("0", "1"):
        raise ValueError(f"{text!r} is neither 0 nor 1")
    return text == "1"


def fields_of(line: str) -> tuple[str, dict[str, str]]:
    """The tag of a line and its name=value pairs; the settings take the rest of their line."""
    tag, _, rest = line.partition(" ")
    pairs = {}
    if tag == "born":
        rest, found, text = rest.partition("config=")
        if found:
            pairs["config"] = text
    for part in rest.split():
        name, equals, value = part.partition("=")
        if not equals or not name:
            raise SimulatorMessageError(f"{part!r} is not name=value")
        pairs[name] = value
    return tag, pairs


def ending_of(code: str) -> str:
    """The ending in our words; one that the wire adds later is an error of which nothing is proved."""
    return ENDINGS.get(code, "error")


def row_of(pairs: dict[str, str]) -> NodeRow | None:
    state = STATES.get(pairs["availability"])
    return state and NodeRow(
        pairs["node"],
        int(pairs.get("place", 0)),
        pairs.get("failure-domain", ""),
        pairs.get("shape", ""),
        state,
        float(pairs.get("power-hint", 1)),
        to_tenths(pairs.get("came-up-ms", 0)),
    )


def play_of(pairs: dict[str, str]) -> dict[str, Any]:
    """What `asked` and `resumed` have in common."""
    guess = pairs.get("cost-guess-ms")
    return {
        "play": pairs["ticket"],
        "product": pairs["profile"],
        "customer": pairs.get("owner", ""),
        "viewer": pairs.get("subject", ""),
        "title": pairs.get("title", ""),
        "first_place": int(pairs.get("base", 0)),
        "places": int(pairs.get("copies", 0)),
        "top_rung": int(pairs.get("max-rung", 0)),
        "length": None if guess is None else to_tenths(guess),
    }


class Host:
    """All instances of this process."""

    def __init__(self, make: Callable[..., Any], out: TextIO) -> None:
        self.make, self.out = make, out
        self.fronts: dict[str, Any] = {}
        self.banks: dict[str, list[NodeRow]] = {}
        self.now = 0
        self.reply: list[str] = []

    def run(self, lines: Iterable[str]) -> None:
        """Answer batch after batch until the input ends."""
        source = enumerate(lines, 1)
        serial: str | None = None
        for number, raw in source:
            line = raw.rstrip("\r\n")
            if not line:
                continue
            try:
                tag, pairs = fields_of(line)
                if tag == "sync":
                    if serial is not None:
                        raise SimulatorMessageError("sync inside a batch")
                    self.now, serial, self.reply = to_tenths(pairs["moment-ms"]), pairs["serial"], []
                elif serial is None:
                    raise SimulatorMessageError(f"{tag!r} outside a batch")
                elif tag == "go":
                    self.reply.append(f"done serial={serial}\n")
                    self.out.write("\n".join(self.reply))
                    self.out.flush()
                    serial = None
                elif tag == "catalog":
                    self.banks[pairs["bank"]] = self.rows(source, int(pairs["rows-in"]))
                else:
                    self.event(tag, pairs)
            except KeyError as err:
                raise SimulatorMessageError(
                    f"line {number}: field {err.args[0]!r} is missing: {line[:200]}"
                ) from None
            except (ValueError, binascii.Error) as err:
                raise SimulatorMessageError(f"line {number}: {err}: {line[:200]}") from None
            except SimulatorMessageError as err:
                raise SimulatorMessageError(f"line {number}: {err}: {line[:200]}") from None
        if serial is not None:
            raise SimulatorMessageError("the input ends inside a batch")

    def rows(self, source: Iterable[tuple[int, str]], count: int) -> list[NodeRow]:
        rows = []
        for _ in range(count):
            number, line = next(source, (0, ""))
            tag, pairs = fields_of(line.rstrip("\r\n"))
            if tag != "row":
                raise SimulatorMessageError(
                    f"{count} rows announced, row {len(rows) + 1} (line {number}) is {tag!r}"
                )
            row = row_of(pairs)
            if row:
                rows.append(row)
        return rows

    def event(self, tag: str, pairs: dict[str, str]) -> None:
        """Turn one event into one call and write down what is answered."""
        at, now = pairs["i"], self.now
        if tag == "born":
            seed, settings = int(pairs["rng-seed"]), json.loads(pairs["config"])
            self.call(
                at, lambda: self.fronts.update({at: self.make(now, seed, start_settings_of(settings))}) or ()
            )
            return
        if tag == "power_off":
            self.fronts.pop(at, None)
            return
        front = self.fronts.get(at)
        if front is None:
            raise SimulatorMessageError(f"{tag!r} for instance {at}, which is not running")
        self.tell(at, front, tag, pairs, now)

    def tell(self, at: str, front: Any, tag: str, pairs: dict[str, str], now: int) -> None:
        if tag == "members":
            how = LISTINGS.get(pairs["how"])
            if how:
                rows = [] if how == "failed" else self.banks[pairs["bank"]]
                self.call(at, front.listed, now, how, rows)
        elif tag == "submit":
            self.call(
                at,
                front.asked,
                now,
                limit=to_tenths(pairs["valid-until-ms"]),
                moved=flag(pairs.get("was-moved", "0")),
                again=flag(pairs.get("came-back", "0")),
                **play_of(pairs),
            )
        elif tag == "resumed":
            self.call(at, front.resumed, now, node=pairs["node"], **play_of(pairs))
        elif tag == "first_byte":
            self.call(
                at,
                front.first_frame,
                now,
                pairs["ticket"],
                int(pairs["trial"]),
                pairs["node"],
                to_tenths(pairs.get("lag-ms", 0)),
            )
        elif tag == "answer":
            self.call(
                at,
                front.ended,
                now,
                pairs["ticket"],
                int(pairs["trial"]),
                pairs["node"],
                ending_of(pairs["rc"]),
                flag(pairs.get("final", "0")),
                to_tenths(pairs.get("lag-ms", 0)),
                parse_load_report(pairs.get("report", ""), ","),
            )
        elif tag == "progress":
            kind = NOTE_KINDS.get(int(pairs["topic"]))
            if kind:
                self.call(
                    at,
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
                at,
                front.probed,
                now,
                pairs["node"],
                ending_of(pairs["rc"]),
                to_tenths(pairs.get("lag-ms", 0)),
                parse_load_report(pairs.get("report", ""), ","),
            )
        elif tag == "message":
            self.call(at, front.told, now, int(pairs["by"]), octets(pairs.get("octets", "-")))
        elif tag == "bell":
            self.call(at, front.wake, now, int(pairs["label"]))
        elif tag == "client_gone":
            self.call(at, front.left, now, pairs["ticket"])

    def call(self, at: str, what: Callable[..., Iterable[tuple]], *facts: Any, **named: Any) -> None:
        try:
            self.reply.extend(line for answer in what(*facts, **named) if (line := wire(at, answer)))
        except Exception as err:  # the module failed: say so for this instance, in one line
            self.reply.append(f"die i={at} body-text={type(err).__name__}: {' '.join(str(err).split())}")


def octets(text: str) -> bytes:
    return b"" if text == "-" else base64.b64decode(text, validate=True)


def wire(at: str, answer: tuple) -> str:
    """The line that carries out one answer."""
    verb, *rest = answer
    if verb == "allocate":
        return f"send i={at} ticket={rest[0]} node={rest[1]} allow-for-ms={millis(rest[2])}"
    if verb == "rung":
        return f"set_rung i={at} ticket={rest[0]} grade={rest[1]}"
    if verb == "decline":
        return f"deny i={at} ticket={rest[0]} stay-away-ms={millis(rest[1])}"
    if verb == "fail":
        return f"lose i={at} ticket={rest[0]}"
    if verb == "withdraw":
        return f"abandon i={at} ticket={rest[0]} trial={rest[1]}"
    if verb == "move":
        return f"reassign i={at} ticket={rest[0]}"
    if verb == "probe":
        return f"ping i={at} node={rest[0]}"
    if verb == "tell":
        dst = "*" if rest[0] is None else rest[0]
        return f"write_peer i={at} dst={dst} octets={base64.b64encode(rest[1]).decode() or '-'}"
    if verb == "wake":
        return f"timer i={at} span-ms={millis(rest[0])} label={rest[1]}"
    if verb == "log":
        return f"record i={at} body-text={' '.join(rest[0].split())}"
    raise ValueError(f"the module answered {verb!r}, which the interface does not know")
