"""The start of a fleet: when hundreds of fronts that begin, or lose their list service, at one moment ask it.

`decide.py` holds what is decided, without I/O; the front's follower of the list asks it. The relay, whose
platform has a channel in place of the service, shares the draws and the waits.
"""

from .decide import Asks, Draw, Waits

__all__ = ["Asks", "Draw", "Waits"]
