"""Locates the fields of a protobuf text message, so that a validation error can name line and column.

The protobuf parser reports positions of syntax errors only and keeps none for the values it has parsed.
"""

import re

TOKEN = re.compile(
    r"""(?P<space>[ \t\r\n]+|\#[^\n]*)|(?P<text>"(?:\\.|[^"\\\n])*"|'(?:\\.|[^'\\\n])*')
                       |(?P<word>[A-Za-z_][\w.]*)|(?P<number>[-+]?\.?\d[\w.+-]*)|(?P<sign>.)""",
    re.X | re.S,
)

Position = tuple[int, int]  # line and column, both counted from 1


def positions(text: str) -> dict[str, Position]:
    """Maps field paths such as `product[1].floor` to their positions.

    `text` must be valid protobuf text format: the scanner checks no syntax.
    """
    found: dict[str, Position] = {}
    # one entry per open message: the path prefix of its fields, and how often each field has occurred in it
    stack: list[tuple[str, dict[str, int]]] = [("", {})]
    line = 1
    line_start = 0
    name = None
    value_expected = False
    for match in TOKEN.finditer(text):
        kind = match.lastgroup
        token = match.group()
        position = (line, match.start() - line_start + 1)
        if kind == "space":
            breaks = token.count("\n")
            if breaks:
                line += breaks
                line_start = match.start() + token.rindex("\n") + 1
            continue
        prefix, counts = stack[-1]
        if token in "{<" and kind == "sign" and name:
            stack.append((record_field(prefix, name, counts, found, position) + ".", {}))
            name = None
            value_expected = False
        elif token in "}>" and kind == "sign":
            if len(stack) > 1:
                stack.pop()
            name = None
            value_expected = False
        elif token == ":":
            value_expected = True
        elif token in "[,":
            value_expected = name is not None
        elif token in ";]":
            name = None
            value_expected = False
        elif value_expected:
            record_field(prefix, name, counts, found, position)
            value_expected = False  # further pieces of a concatenated string are no values of their own
        elif kind == "word":
            name = token
    return found


def record_field(
    prefix: str, name: str, counts: dict[str, int], found: dict[str, Position], position: Position
) -> str:
    """Stores the position of one occurrence of a field in `found`; returns its path with the index."""
    index = counts.get(name, 0)
    counts[name] = index + 1
    path = f"{prefix}{name}[{index}]"
    # The scanner doesn't know which fields are repeated: a first occurrence is stored under its path without
    # the index too, and so are the fields below it.
    for alias in (path, f"{prefix.replace('[0]', '')}{name}[{index}]"):
        found.setdefault(alias, position)
        if index == 0:
            found.setdefault(alias[:-3], position)
    return path
