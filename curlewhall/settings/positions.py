"""Where each field of a text-format message stands, so that a complaint about a value can name its place."""

import re

TOKEN = re.compile(
    r"""(?P<space>[ \t\r\n]+|\#[^\n]*)|(?P<text>"(?:\\.|[^"\\\n])*"|'(?:\\.|[^'\\\n])*')
                       |(?P<word>[A-Za-z_][\w.]*)|(?P<number>[-+]?\.?\d[\w.+-]*)|(?P<sign>.)""",
    re.X | re.S,
)


def positions(text: str) -> dict[str, tuple[int, int]]:
    """Paths such as `product[1].floor` to (line, column), both from 1. `text` must have parsed already."""
    found: dict[str, tuple[int, int]] = {}
    stack: list[tuple[str, dict[str, int]]] = [("", {})]
    line, start, name, value = 1, 0, None, False
    for match in TOKEN.finditer(text):
        kind, token, at = match.lastgroup, match.group(), (line, match.start() - start + 1)
        if kind == "space":
            breaks = token.count("\n")
            if breaks:
                line, start = line + breaks, match.start() + token.rindex("\n") + 1
            continue
        head, counts = stack[-1]
        if token in "{<" and kind == "sign" and name:
            stack.append((path_of(head, name, counts, found, at) + ".", {}))
            name, value = None, False
        elif token in "}>" and kind == "sign":
            if len(stack) > 1:
                stack.pop()
            name, value = None, False
        elif token == ":":
            value = True
        elif token in "[,":
            value = name is not None
        elif token in ";]":
            name, value = None, False
        elif value:
            path_of(head, name, counts, found, at)
            value = False  # a string in pieces goes on without a name of its own
        elif kind == "word":
            name = token
    return found


def path_of(head, name, counts, found, at) -> str:
    index = counts.get(name, 0)
    counts[name] = index + 1
    path = f"{head}{name}[{index}]"
    # a field that is no list is named without its number, at every depth
    for alias in (path, f"{head.replace('[0]', '')}{name}[{index}]"):
        found.setdefault(alias, at)
        if index == 0:
            found.setdefault(alias[:-3], at)
    return path
