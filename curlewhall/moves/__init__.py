"""Moves plays off draining nodes without a gap that their viewers would notice.

`decide.Mover` decides when, in which order and how many plays move at once; the placement module still
decides where a moved play goes. `heap` is the priority queue behind it, and `run` executes its actions.
See `docs/moves/design.md`.
"""

from .decide import Mover
from .heap import IndexedHeap

__all__ = ["IndexedHeap", "Mover"]
