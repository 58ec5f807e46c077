"""CMCD (CTA-5004): data that a player sends with its requests. Only `bl`, the buffer length, is used."""

from urllib.parse import quote


def query_argument(buffer_s: float) -> str:
    """The query argument for a buffer length in seconds, rounded to 100 ms as the standard requires."""
    return "CMCD=" + quote(f"bl={round(max(0.0, buffer_s) * 10) * 100}", safe="")


def buffer_s(value: str) -> float | None:
    """The buffer length of a CMCD value in seconds, None if it is absent or not a number."""
    for part in value.split(","):
        name, _, figure = part.strip().partition("=")
        if name == "bl" and figure.isascii() and figure.isdigit() and len(figure) < 9:
            return int(figure) / 1000
    return None
