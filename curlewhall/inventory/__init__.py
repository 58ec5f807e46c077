"""The operators' inventory: playout nodes and titles in CSV or YAML, as configuration tools write them.

`form` holds the data model and the validation shared by both formats, `csvform` and `yamlform` read and write
the formats, `decide` compares two inventories and detects implausible changes (all without I/O), `run` reads
the files and watches them for changes. See `docs/inventory/`.
"""

from .form import Inventory, InventoryError

__all__ = ["Inventory", "InventoryError"]
