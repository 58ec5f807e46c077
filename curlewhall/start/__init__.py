"""The start of a fleet: when hundreds of fronts that begin, or lose their list service or a node, at one
moment ask it, and what they go by until it answers.

`decide.py` holds what is decided, without I/O; the front's follower of the list asks it. The relay, whose
platform has a channel in place of the service, shares the draws and the waits.
"""

from .decide import Asks, Belief, Borrows, Churn, Draw, Had, Lends, Stamp, Turns, Waits, age, better, ready

__all__ = [
    "Asks",
    "Belief",
    "Borrows",
    "Churn",
    "Draw",
    "Had",
    "Lends",
    "Stamp",
    "Turns",
    "Waits",
    "age",
    "better",
    "ready",
]
