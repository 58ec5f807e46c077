"""The inventory as comma-separated values (RFC 4180): one file of hosts, one of titles, a header in each."""

import csv
import io

from .form import (
    HOST,
    HOST_NEEDED,
    MOST,
    TITLE,
    TITLE_NEEDED,
    Checker,
    Complaint,
    Entry,
    Inventory,
    InventoryError,
    nearest,
)


def entries(text: str, fields: dict, needed: tuple[str, ...], file: str = "") -> list[Entry]:
    """The rows below the header; `InventoryError` where the header or the form itself is wrong."""
    if text and not text.endswith(("\n", "\r")):
        last = text.count("\n") + 1
        raise InventoryError(
            [Complaint(last, "the last line has no end; the file may be half written", file)]
        )
    reader = csv.reader(io.StringIO(text, newline=""), strict=True)
    wrong: list[Complaint] = []
    found: list[Entry] = []
    header: list[str] | None = None
    begun = 1
    try:
        for cells in reader:
            line, begun = begun, reader.line_num + 1
            if not cells or len(cells) == 1 and not cells[0].strip() or cells[0].lstrip().startswith("#"):
                continue
            if header is None:
                header = [cell.strip().lower() for cell in cells]
                wrong += check_header(header, fields, needed, line, file)
            elif len(cells) != len(header):
                wrong.append(Complaint(line, f"{len(cells)} fields, the header has {len(header)}", file))
            else:
                found.append(
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
            if len(found) * len(header) > MOST:
                raise InventoryError([Complaint(line, f"more than {MOST} values", file)])
    except csv.Error as err:
        wrong.append(Complaint(begun, f"not comma-separated values: {err}", file))
    if header is None and not wrong:
        wrong.append(Complaint(1, "empty: not even a header", file))
    if wrong:
        raise InventoryError(wrong)
    return found


def check_header(header: list[str], fields: dict, needed: tuple[str, ...], line: int, file: str):
    for name in needed:
        if name not in header:
            yield Complaint(line, f"column {name!r} is missing", file)
    for i, name in enumerate(header):
        if name not in fields:
            yield Complaint(line, f"unknown column {name!r}{nearest(name, fields)}", file)
        elif name in header[:i]:
            yield Complaint(line, f"column {name!r} stands twice", file)


def read(
    hosts: str, titles: str | None = None, places: int = 0, names: tuple[str, str] = ("", "")
) -> Inventory:
    """A sound inventory, or `InventoryError` with all that is wrong with it. `names`: the files', for
    complaints.
    """
    checker = Checker()
    for text, fields, needed, name, take in (
        (hosts, HOST, HOST_NEEDED, names[0], checker.host),
        (titles, TITLE, TITLE_NEEDED, names[1], checker.title),
    ):
        if text is None:
            continue
        try:
            for entry in entries(text, fields, needed, name):
                take(entry)
        except InventoryError as err:
            checker.complaints += err.complaints
    return checker.done(places)


def write(inventory: Inventory) -> tuple[str, str]:
    """The texts of the two files."""
    out = []
    for header, rows in (
        (
            list(HOST),
            [
                (r.node, r.address, r.port, r.place, r.zone, r.kind, f"{r.weight:g}", r.state)
                for r in inventory.rows.values()
            ],
        ),
        (
            list(TITLE),
            [(t.title, t.first_place, t.places, f"{t.length_s:g}") for t in inventory.titles.values()],
        ),
    ):
        text = io.StringIO()
        writer = csv.writer(text, lineterminator="\n")
        writer.writerow(header)
        writer.writerows(rows)
        out.append(text.getvalue())
    return out[0], out[1]
