"""Bad days on loopback: a fleet of stand-ins and real fronts, troubles by script or draw, a verdict at the
end.

A drill is a function `(seed, drawn, day) -> Script` in `DRILLS`; `run` plays it and judges it from the
records.
"""

from .badday import badday
from .disk import disk
from .drain import drain, drain_cold, drain_crowd, drain_frozen_target, drain_rack
from .inventory import inventory
from .kill import kill
from .links import links
from .play import Day, run
from .restart import leave, restart, steady
from .sites import SITES
from .start import STARTS

DRILLS = {
    "badday": badday,
    "drain": drain,
    "drain-frozen-target": drain_frozen_target,
    "drain-cold": drain_cold,
    "drain-rack": drain_rack,
    "drain-crowd": drain_crowd,
    "kill": kill,
    "disk": disk,
    "inventory": inventory,
    "restart": restart,
    "steady": steady,
    "leave": leave,
    "links": links,
    **STARTS,
    **SITES,
}

FRONTS = dict.fromkeys(SITES, 8)  # where fewer than that show nothing of what a drill is for

__all__ = ["DRILLS", "FRONTS", "Day", "run"]
