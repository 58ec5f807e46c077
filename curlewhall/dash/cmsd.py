"""CMSD (CTA-5006): data that a node sends to a player with a segment.

Only `mb` is used, the highest bit rate in kbit/s that the player should request. It carries a front's change
of rung to a running play.
"""


def dynamic_value(server: str, most_kbps: int) -> str:
    """The value of the CMSD-Dynamic field."""
    return f'"{server}";mb={most_kbps}'


def most_kbps(value: str) -> int | None:
    """`mb` of a CMSD-Dynamic value, None if it is absent or not a number."""
    for part in value.split(";"):
        name, _, figure = part.strip().partition("=")
        if name == "mb" and figure.isdigit():
            return int(figure)
    return None
