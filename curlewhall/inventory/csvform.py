"""Reads and writes the inventory as CSV (RFC 4180): a file of hosts and one of titles, each with a header."""

import csv
import io
from collections.abc import Iterator

from .form import (
    HOST_FIELDS,
    MAX_VALUES,
    REQUIRED_HOST_FIELDS,
    REQUIRED_TITLE_FIELDS,
    TITLE_FIELDS,
    Entry,
    Inventory,
    InventoryError,
    Problem,
    Validator,
    suggestion,
)


def parse_entries(
    text: str, fields: dict[str, type], required: tuple[str, ...], file: str = ""
) -> list[Entry]:
    """The rows below the header; `InventoryError` if the header or the CSV syntax is invalid.

    Empty lines and lines that start with `#` are skipped.
    """
    if text and not text.endswith(("\n", "\r")):
        last_line = text.count("\n") + 1
        raise InventoryError(
            [Problem(last_line, "the last line has no line break; the file may be truncated", file)]
        )
    reader = csv.reader(io.StringIO(text, newline=""), strict=True)
    problems: list[Problem] = []
    entries: list[Entry] = []
    header: list[str] | None = None
    record_start = 1
    try:
        for cells in reader:
            line, record_start = record_start, reader.line_num + 1
            if not cells or len(cells) == 1 and not cells[0].strip() or cells[0].lstrip().startswith("#"):
                continue
            if header is None:
                header = [cell.strip().lower() for cell in cells]
                problems += check_header(header, fields, required, line, file)
            elif len(cells) != len(header):
                problems.append(Problem(line, f"{len(cells)} fields, the header has {len(header)}", file))
            else:
                entries.append(
                    Entry(
                        line,
                        {
                            name: cell.strip()
                            for name, cell in zip(header, cells, strict=True)
                            if name in fields
                        },
                        file,
                    )
                )
            if len(entries) * len(header) > MAX_VALUES:
                raise InventoryError([Problem(line, f"more than {MAX_VALUES} values", file)])
    except csv.Error as err:
        problems.append(Problem(record_start, f"not comma-separated values: {err}", file))
    if header is None and not problems:
        problems.append(Problem(1, "the file is empty, expected a header line", file))
    if problems:
        raise InventoryError(problems)
    return entries


def check_header(
    header: list[str], fields: dict[str, type], required: tuple[str, ...], line: int, file: str
) -> Iterator[Problem]:
    """Reports missing, unknown and duplicate columns."""
    for name in required:
        if name not in header:
            yield Problem(line, f"column {name!r} is missing", file)
    for i, name in enumerate(header):
        if name not in fields:
            yield Problem(line, f"unknown column {name!r}{suggestion(name, fields)}", file)
        elif name in header[:i]:
            yield Problem(line, f"duplicate column {name!r}", file)


def read(
    hosts: str, titles: str | None = None, places: int = 0, names: tuple[str, str] = ("", "")
) -> Inventory:
    """Parses and validates the texts of the two files; `InventoryError` with every problem.

    `places` is the number of places in the fleet (0: unknown), `names` are the file names for error messages.
    """
    validator = Validator()
    for text, fields, required, name, add in (
        (hosts, HOST_FIELDS, REQUIRED_HOST_FIELDS, names[0], validator.add_host),
        (titles, TITLE_FIELDS, REQUIRED_TITLE_FIELDS, names[1], validator.add_title),
    ):
        if text is None:
            continue
        try:
            for entry in parse_entries(text, fields, required, name):
                add(entry)
        except InventoryError as err:
            validator.problems += err.problems
    return validator.finish(places)


def write(inventory: Inventory) -> tuple[str, str]:
    """The texts of the hosts file and of the titles file."""
    texts = []
    for header, rows in (
        (
            list(HOST_FIELDS),
            [
                (r.node, r.address, r.port, r.place, r.zone, r.kind, f"{r.weight:g}", r.state)
                for r in inventory.rows.values()
            ],
        ),
        (
            list(TITLE_FIELDS),
            [(t.title, t.first_place, t.places, f"{t.length_s:g}") for t in inventory.titles.values()],
        ),
    ):
        buffer = io.StringIO()
        writer = csv.writer(buffer, lineterminator="\n")
        writer.writerow(header)
        writer.writerows(rows)
        texts.append(buffer.getvalue())
    return texts[0], texts[1]
