"""What is held of a crowd: of a viewer while it has a turn, of a storm while it lasts, of the calm for
good.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

MOST = 100_000  # turns held; the oldest are let go: their viewers come as if they had none


@dataclass(slots=True)
class Waiting:
    """A viewer with a turn. Times are tenths of a millisecond on this front's clock."""

    due: int
    since: int  # when it was first told to wait; another front's viewers bring how long they have waited
    product: str


@dataclass(slots=True)
class Queue:
    """The turns of one product: when the next one may be given, and its part of the rate."""

    next: float = 0.0
    weight: float = 1.0


@dataclass(slots=True)
class Calm:
    """What is usual: requests a second taken and placed, smoothed, while no crowd comes back."""

    asked: float = 0.0
    placed: float = 0.0
    seen: int = 0  # seconds that went in


@dataclass(slots=True)
class Counts:
    """Of the present second."""

    asked: int = 0
    again: int = 0
    placed: int = 0
    let: int = 0  # to the module, by turns or as newcomers
    turned: int = 0  # of these, turned away by the module for want of room
    lost: int = 0  # plays that broke off


@dataclass(slots=True)
class Crowd:
    """A storm: the rate at which its viewers are let in, and what is left of this moment's."""

    rate: float = 0.0  # a second
    least: float = 0.0
    tokens: float = 0.0  # for who had a turn
    fresh: float = 0.0  # for newcomers
    filled: int = 0  # when both were filled last
    began: int = 0
    calm_since: int = 0  # since when nobody waited
    queues: dict[str, Queue] = field(default_factory=dict)


def turns() -> "OrderedDict[str, Waiting]":
    return OrderedDict()
