"""The operator's file in protobuf text format: its schema, loading, checking, and the rate card made of it.

`load` refuses a wrong file with line, column, what was found and what was expected, all complaints at once.
"""

from .card import rate_card
from .load import Complaint, SettingsError, load, parse

__all__ = ["Complaint", "SettingsError", "load", "parse", "rate_card"]
