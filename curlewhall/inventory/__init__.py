"""The operators' inventory: playout nodes and titles in CSV or YAML, as configuration tools keep them.

`form` is what is in one and what may be wrong with it, `csvform` and `yamlform` read and write the two forms,
`decide` compares two and says what is implausible (all without I/O), `run` watches the files. See
`docs/inventory/`.
"""

from .form import Inventory, InventoryError

__all__ = ["Inventory", "InventoryError"]
