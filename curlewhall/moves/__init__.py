"""Moving Without a Gap: plays leave a draining node, one after the other, and their viewers do not see it.

`decide.Mover` says when, in which order and how many at once; the module still says where a moved play goes.
`heap` keeps thousands of plays in order, `run` carries the answers out. See `docs/moves/design.md`.
"""

from .decide import Mover
from .heap import IndexedHeap

__all__ = ["IndexedHeap", "Mover"]
