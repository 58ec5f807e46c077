"""Bad days on loopback: a fleet of stand-ins and real fronts, troubles by script or draw, a verdict at the
end.

A drill is a function `(seed, drawn, day) -> Script` in `DRILLS`; `run` plays it and judges it from the
records.
"""

from .badday import badday
from .play import Day, run

DRILLS = {"badday": badday}

__all__ = ["DRILLS", "Day", "run"]
