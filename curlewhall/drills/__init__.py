"""Drills: a fleet of stand-ins and real fronts on loopback, with faults by script or at random, judged at the
end.

A drill is a function `(rng, plan, options) -> DrillScript` in `DRILLS`; `run_drill` runs it and judges it
from the records.
"""

from .badday import badday
from .disk import disk
from .drain import drain, drain_cold, drain_crowd, drain_frozen_target, drain_rack
from .inventory import inventory
from .kill import kill
from .links import links
from .play import DrillOptions, run_drill
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

# Default number of fronts, for drills in which the usual number would not show the effect.
DEFAULT_FRONTS = dict.fromkeys(SITES, 8)

__all__ = ["DEFAULT_FRONTS", "DRILLS", "DrillOptions", "run_drill"]
