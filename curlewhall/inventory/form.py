"""The data model of an inventory, and the validation that CSV and YAML share. No I/O.

Each value is passed with its line number. A file with a single problem is rejected as a whole.
"""

import difflib
from collections.abc import Iterable
from typing import Any, NamedTuple

from curlewhall.errors import CurlewhallError
from curlewhall.wire.forms import ROW_BOUNDS, TITLE_BOUNDS, Row, Title, is_address

MAX_FILE_BYTES = 32 << 20  # a hundred times the 300 kB of 2,000 nodes and titles
MAX_VALUES = 200_000  # hosts, titles and values with YAML aliases expanded; an alias bomb has millions
MAX_REPORTED_PROBLEMS = 50  # listed in one error; the rest are only counted

HOST_FIELDS = {
    "host": str,
    "address": str,
    "port": int,
    "place": int,
    "zone": str,
    "kind": str,
    "weight": float,
    "state": str,
}
REQUIRED_HOST_FIELDS = ("host", "address", "port", "place", "zone", "kind")
TITLE_FIELDS = {"title": str, "first_place": int, "places": int, "length_s": float}
REQUIRED_TITLE_FIELDS = ("title", "first_place", "places", "length_s")
STATES = ("serving", "draining")


class Problem(NamedTuple):
    """One error in an inventory file, with its position."""

    line: int
    message: str
    file: str = ""

    def __str__(self) -> str:
        return f"{self.file + ', ' if self.file else ''}line {self.line}: {self.message}"


class InventoryError(CurlewhallError):
    """The inventory is invalid. `problems` lists everything that is wrong with it, by file and line."""

    remedy = (
        "Correct the lines named above and replace the file; "
        "until then the last valid inventory stays in use."
    )

    def __init__(self, problems: Iterable[Problem]) -> None:
        self.problems = sorted(problems, key=lambda problem: (problem.file, problem.line))
        reported = [str(problem) for problem in self.problems[:MAX_REPORTED_PROBLEMS]]
        if len(self.problems) > MAX_REPORTED_PROBLEMS:
            reported.append(f"... and {len(self.problems) - MAX_REPORTED_PROBLEMS} more")
        super().__init__("\n".join(reported))


class Entry(NamedTuple):
    """An unvalidated host or title: its line, and its values as text or as YAML scalars."""

    line: int
    values: dict[str, Any]
    file: str = ""


class Inventory(NamedTuple):
    """A valid inventory: nodes by name and titles by name."""

    rows: dict[str, Row]
    titles: dict[str, Title]


def suggestion(word: str, known: Iterable[str]) -> str:
    """A hint that names the known word closest to a misspelt one; "" if none is close."""
    close = difflib.get_close_matches(word, list(known), 1)
    return f"; did you mean {close[0]!r}?" if close else ""


def normalized_host(host: str) -> str:
    """The name as resolvers compare it: no trailing dot, lower case (RFC 1034 section 3.1, RFC 4343)."""
    return host.rstrip(".").lower()


class Validator:
    """Validates the hosts and titles of an inventory one by one and collects every problem.

    The readers call `add_host` and `add_title` for each entry, then `finish`.
    """

    def __init__(self) -> None:
        self.problems: list[Problem] = []
        self.rows: dict[str, Row] = {}
        self.titles: dict[str, Title] = {}
        # first occurrences, for the detection of duplicates
        self.hosts: dict[str, tuple[int, str]] = {}  # normalized name -> line, name as written
        self.addresses: dict[tuple[str, int], tuple[int, str]] = {}  # address, port -> line, host
        self.title_lines: dict[str, tuple[int, str]] = {}  # title -> line, file

    def report(self, entry: Entry, message: str) -> None:
        """Records a problem at the entry's line."""
        self.problems.append(Problem(entry.line, message, entry.file))

    def convert(
        self, entry: Entry, fields: dict[str, type], required: tuple[str, ...]
    ) -> dict[str, Any] | None:
        """The entry's values in the types of `fields`; None if one is missing or invalid."""
        found = {}
        valid = True
        for name, value in entry.values.items():
            if name not in fields:
                self.report(entry, f"unknown field {name!r}{suggestion(str(name), fields)}")
                valid = False
            elif value is None or value == "":
                continue  # an empty value counts as absent
            else:
                try:
                    found[name] = convert_value(fields[name], value)
                except ValueError:
                    expected = {int: "a whole number", float: "a number", str: "text"}[fields[name]]
                    self.report(entry, f"{name}: found {str(value)[:40]!r}, expected {expected}")
                    valid = False
        for name in required:
            if name not in found and (name not in entry.values or entry.values[name] in (None, "")):
                self.report(entry, f"{name} is missing")
                valid = False
        return found if valid else None

    def add_host(self, entry: Entry) -> None:
        """Validates a host; a valid one becomes a row."""
        found = self.convert(entry, HOST_FIELDS, REQUIRED_HOST_FIELDS)
        name = found and found["host"] or entry.values.get("host")
        if isinstance(name, str) and name:
            # A machine listed under two spellings of its name would get twice its share of plays.
            first = self.hosts.setdefault(normalized_host(name), (entry.line, name))
            if first[0] != entry.line:
                spelling = "" if first[1] == name else f" (as {first[1]!r})"
                self.report(entry, f"host {name!r} is already defined on line {first[0]}{spelling}")
        if found is None:
            return
        problems_before = len(self.problems)
        host = found["host"]
        if not 1 <= len(host) <= 128 or any(c.isspace() or not c.isprintable() for c in host):
            self.report(entry, f"host: found {host[:40]!r}, expected 1 to 128 characters without spaces")
        if not is_address(found["address"]):
            self.report(entry, f"address: found {found['address'][:40]!r}, expected an IPv4 or IPv6 address")
        for name, (low, high) in ROW_BOUNDS.items():
            self.check_range(entry, found, name, low, high)
        state = found.get("state", "serving")
        if state not in STATES:
            self.report(entry, f"state: found {state[:40]!r}, expected {' or '.join(STATES)}")
        endpoint = found["address"], found["port"]
        first = self.addresses.setdefault(endpoint, (entry.line, found["host"]))
        if first[0] != entry.line:
            self.report(
                entry,
                f"address {endpoint[0]} port {endpoint[1]} is already used by {first[1]!r} "
                f"on line {first[0]}",
            )
        if len(self.problems) == problems_before:
            self.rows[found["host"]] = Row(
                found["host"],
                found["address"],
                found["port"],
                found["place"],
                found["zone"],
                found["kind"],
                state,
                found.get("weight", 1.0),
            )

    def add_title(self, entry: Entry) -> None:
        """Validates a title."""
        found = self.convert(entry, TITLE_FIELDS, REQUIRED_TITLE_FIELDS)
        if found is None:
            return
        first = self.title_lines.setdefault(found["title"], (entry.line, entry.file))
        if first != (entry.line, entry.file):
            self.report(entry, f"title {found['title']!r} is already defined on line {first[0]}")
        for name, (low, high) in TITLE_BOUNDS.items():
            self.check_range(entry, found, name, low, high)
        self.titles[found["title"]] = Title(
            found["title"], found["first_place"], found["places"], found["length_s"]
        )

    def check_range(self, entry: Entry, found: dict[str, Any], name: str, low: float, high: float) -> None:
        """Reports a value outside `low` to `high`, both inclusive; an absent value is fine."""
        if name in found and not low <= found[name] <= high:
            self.report(entry, f"{name}: found {found[name]:g}, expected {low:g} to {high:g}")

    def finish(self, places: int = 0) -> Inventory:
        """The validated inventory, or `InventoryError` with every problem.

        `places` is the number of places in the fleet; a title without a host at any of its places is
        rejected. With 0 (unknown) this is not checked.
        """
        if not self.problems and not self.rows:
            self.problems.append(Problem(1, "no host found, expected at least one"))
        if not self.problems and places:
            occupied = {row.place % places for row in self.rows.values()}
            for title in self.titles.values():
                title_places = {(title.first_place + i) % places for i in range(min(title.places, places))}
                if not title_places & occupied:
                    line, file = self.title_lines[title.title]
                    self.problems.append(
                        Problem(
                            line,
                            f"title {title.title!r} has no holder: no host is at place "
                            f"{', '.join(map(str, sorted(title_places)[:8]))}",
                            file,
                        )
                    )
        if self.problems:
            raise InventoryError(self.problems)
        return Inventory(self.rows, self.titles)


def convert_value(kind: type, value: Any) -> Any:
    """The value as `kind`; `ValueError` if it is none. Integers may not be written as 7.0 or 1e3."""
    if isinstance(value, bool | list | dict):
        raise ValueError
    if kind is int:
        if isinstance(value, float):
            raise ValueError
        text = str(value).strip()
        if not text.isascii() or not text.removeprefix("-").isdigit() or len(text) > 18:
            raise ValueError
        return int(text)
    if kind is float:
        found = float(value)
        if found != found or abs(found) == float("inf"):
            raise ValueError
        return found
    return str(value).strip()


def decode_text(raw: bytes, file: str = "") -> str:
    """The file decoded as UTF-8, without byte order mark.

    `InventoryError` if it is too large, not UTF-8, or contains a NUL byte.
    """
    if len(raw) > MAX_FILE_BYTES:
        raise InventoryError([Problem(1, f"{len(raw)} bytes, expected at most {MAX_FILE_BYTES}", file)])
    try:
        text = raw.decode("utf-8-sig")
    except UnicodeDecodeError as err:
        line = raw.count(b"\n", 0, err.start) + 1
        raise InventoryError(
            [
                Problem(
                    line,
                    f"byte 0x{raw[err.start]:02x} is not UTF-8; is part of the file in another encoding?",
                    file,
                )
            ]
        ) from None
    if "\0" in text:
        raise InventoryError(
            [Problem(text.count("\n", 0, text.index("\0")) + 1, "found a NUL byte; is it UTF-16?", file)]
        )
    return text
