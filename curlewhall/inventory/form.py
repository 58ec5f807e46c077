"""What an inventory holds, and the checks that both forms share. No I/O.

Each value comes with the line on which it stands; a file with one complaint against it is refused whole.
"""

import difflib
from collections.abc import Iterable
from typing import Any, NamedTuple

from curlewhall.errors import CurlewhallError
from curlewhall.wire.forms import ROW_BOUNDS, TITLE_BOUNDS, Row, Title, is_address

LARGEST = 32 << 20  # bytes of a file: a hundred times the 300 kB of 2,000 nodes and titles
MOST = 200_000  # hosts, titles and values together, aliases followed; a bomb has millions
TOLD = 50  # complaints told of one file; the rest are counted

HOST = {
    "host": str,
    "address": str,
    "port": int,
    "place": int,
    "zone": str,
    "kind": str,
    "weight": float,
    "state": str,
}
HOST_NEEDED = ("host", "address", "port", "place", "zone", "kind")
TITLE = {"title": str, "first_place": int, "places": int, "length_s": float}
TITLE_NEEDED = ("title", "first_place", "places", "length_s")
STATES = ("serving", "draining")


class Complaint(NamedTuple):
    """What is wrong, and where."""

    line: int
    text: str
    file: str = ""

    def __str__(self) -> str:
        return f"{self.file + ', ' if self.file else ''}line {self.line}: {self.text}"


class InventoryError(CurlewhallError):
    """An inventory that is refused, with everything that is wrong with it."""

    remedy = (
        "Correct the lines named above and write the file whole; until then the last good " "one is gone by."
    )

    def __init__(self, complaints: Iterable[Complaint]) -> None:
        self.complaints = sorted(complaints, key=lambda c: (c.file, c.line))
        told = [str(complaint) for complaint in self.complaints[:TOLD]]
        if len(self.complaints) > TOLD:
            told.append(f"... and {len(self.complaints) - TOLD} more")
        super().__init__("\n".join(told))


class Entry(NamedTuple):
    """A host or title as it was read: its line, and its values as text or as YAML's plain values."""

    line: int
    values: dict[str, Any]
    file: str = ""


class Inventory(NamedTuple):
    """A sound inventory."""

    rows: dict[str, Row]
    titles: dict[str, Title]


def nearest(word: str, known: Iterable[str]) -> str:
    close = difflib.get_close_matches(word, list(known), 1)
    return f"; did you mean {close[0]!r}?" if close else ""


def folded(host: str) -> str:
    """One name for what resolvers take for one host (RFC 1034 section 3.1, RFC 4343)."""
    return host.rstrip(".").lower()


class Checker:
    """Takes entries, keeps complaints."""

    def __init__(self) -> None:
        self.complaints: list[Complaint] = []
        self.rows: dict[str, Row] = {}
        self.titles: dict[str, Title] = {}
        self.hosts: dict[str, tuple[int, str]] = {}  # folded name -> line, name as given
        self.addresses: dict[tuple[str, int], tuple[int, str]] = {}
        self.title_lines: dict[str, tuple[int, str]] = {}

    def wrong(self, entry: Entry, text: str) -> None:
        self.complaints.append(Complaint(entry.line, text, entry.file))

    def values(self, entry: Entry, fields: dict, needed: tuple[str, ...]) -> dict[str, Any] | None:
        """The entry's values in their types; None where one is missing or wrong."""
        found, sound = {}, True
        for name, value in entry.values.items():
            if name not in fields:
                self.wrong(entry, f"unknown field {name!r}{nearest(str(name), fields)}")
                sound = False
            elif value is None or value == "":
                continue  # left out
            else:
                try:
                    found[name] = typed(fields[name], value)
                except ValueError:
                    kind = {int: "a whole number", float: "a number", str: "text"}[fields[name]]
                    self.wrong(entry, f"{name}: found {str(value)[:40]!r}, expected {kind}")
                    sound = False
        for name in needed:
            if name not in found and (name not in entry.values or entry.values[name] in (None, "")):
                self.wrong(entry, f"{name} is missing")
                sound = False
        return found if sound else None

    def host(self, entry: Entry) -> None:
        found = self.values(entry, HOST, HOST_NEEDED)
        name = found and found["host"] or entry.values.get("host")
        if isinstance(name, str) and name:
            # Danger: one machine under two names gets twice its share of plays.
            first = self.hosts.setdefault(folded(name), (entry.line, name))
            if first[0] != entry.line:
                spelt = "" if first[1] == name else f" (spelt {first[1]!r} there)"
                self.wrong(entry, f"host {name!r} stands on line {first[0]} already{spelt}")
        if found is None:
            return
        before = len(self.complaints)
        host = found["host"]
        if not 1 <= len(host) <= 128 or any(c.isspace() or not c.isprintable() for c in host):
            self.wrong(entry, f"host: found {host[:40]!r}, expected 1 to 128 characters without spaces")
        if not is_address(found["address"]):
            self.wrong(entry, f"address: found {found['address'][:40]!r}, expected an IPv4 or IPv6 address")
        for name, (low, high) in ROW_BOUNDS.items():
            self.bound(entry, found, name, low, high)
        state = found.get("state", "serving")
        if state not in STATES:
            self.wrong(entry, f"state: found {state[:40]!r}, expected {' or '.join(STATES)}")
        where = found["address"], found["port"]
        first = self.addresses.setdefault(where, (entry.line, found["host"]))
        if first[0] != entry.line:
            self.wrong(
                entry, f"address {where[0]} port {where[1]} is that of {first[1]!r} on line " f"{first[0]}"
            )
        if len(self.complaints) == before:
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

    def title(self, entry: Entry) -> None:
        found = self.values(entry, TITLE, TITLE_NEEDED)
        if found is None:
            return
        first = self.title_lines.setdefault(found["title"], (entry.line, entry.file))
        if first != (entry.line, entry.file):
            self.wrong(entry, f"title {found['title']!r} stands on line {first[0]} already")
        for name, (low, high) in TITLE_BOUNDS.items():
            self.bound(entry, found, name, low, high)
        self.titles[found["title"]] = Title(
            found["title"], found["first_place"], found["places"], found["length_s"]
        )

    def bound(self, entry: Entry, found: dict, name: str, low: float, high: float) -> None:
        if name in found and not low <= found[name] <= high:
            self.wrong(entry, f"{name}: found {found[name]:g}, expected {low:g} to {high:g}")

    def done(self, places: int = 0) -> Inventory:
        """`places`: how many there are; a title that lies on none of any host is refused. 0: not known."""
        if not self.complaints and not self.rows:
            self.complaints.append(Complaint(1, "no host stands in it"))
        if not self.complaints and places:
            held = {row.place % places for row in self.rows.values()}
            for title in self.titles.values():
                cells = {(title.first_place + i) % places for i in range(min(title.places, places))}
                if not cells & held:
                    line, file = self.title_lines[title.title]
                    self.complaints.append(
                        Complaint(
                            line,
                            f"title {title.title!r} has no holder: no host lies at place "
                            f"{', '.join(map(str, sorted(cells)[:8]))}",
                            file,
                        )
                    )
        if self.complaints:
            raise InventoryError(self.complaints)
        return Inventory(self.rows, self.titles)


def typed(kind: type, value: Any) -> Any:
    """A value as `kind`; `ValueError` where it is none. Whole numbers may not be written as 7.0 or 1e3."""
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


def text_of(raw: bytes, file: str = "") -> str:
    """The file's text; `InventoryError` where it is too long or not UTF-8. A byte-order mark is passed
    over.
    """
    if len(raw) > LARGEST:
        raise InventoryError([Complaint(1, f"{len(raw)} bytes, expected {LARGEST} at most", file)])
    try:
        text = raw.decode("utf-8-sig")
    except UnicodeDecodeError as err:
        line = raw.count(b"\n", 0, err.start) + 1
        raise InventoryError(
            [
                Complaint(
                    line,
                    f"byte 0x{raw[err.start]:02x} is not UTF-8; is a part of the file in "
                    "another encoding?",
                    file,
                )
            ]
        ) from None
    if "\0" in text:
        raise InventoryError(
            [Complaint(text.count("\n", 0, text.index("\0")) + 1, "a NUL byte; is it UTF-16?", file)]
        )
    return text
