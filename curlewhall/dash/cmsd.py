"""CMSD (CTA-5006): what a node tells a player beside a segment. Only `mb` is used: the most kilobits a second
that the player should ask for, which is how a front's change of rung reaches a play under way."""


def dynamic(server: str, most_kbps: int) -> str:
    """The value of CMSD-Dynamic."""
    return f'"{server}";mb={most_kbps}'


def most_kbps(value: str) -> int | None:
    """`mb` of a CMSD-Dynamic value, None where it is absent or no number."""
    for part in value.split(";"):
        name, _, figure = part.strip().partition("=")
        if name == "mb" and figure.isdigit():
            return int(figure)
    return None
