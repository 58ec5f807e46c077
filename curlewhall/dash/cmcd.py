"""CMCD (CTA-5004): what a player tells beside its requests. Only `bl`, the buffer's length, is used."""

from urllib.parse import quote


def query(buffer: float) -> str:
    """The query argument for a buffer of so many seconds; told in steps of 100 ms, as the standard wants."""
    return "CMCD=" + quote(f"bl={round(max(0.0, buffer) * 10) * 100}", safe="")


def buffer(value: str) -> float | None:
    """Seconds of buffer in a CMCD value, None where they are absent or no number."""
    for part in value.split(","):
        name, _, figure = part.strip().partition("=")
        if name == "bl" and figure.isascii() and figure.isdigit() and len(figure) < 9:
            return int(figure) / 1000
    return None
