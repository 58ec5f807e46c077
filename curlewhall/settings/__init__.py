"""The operator's file in protobuf text format: its schema, loading, checking, and the start settings.

`load` refuses a wrong file with line, column, what was found and what was expected, all complaints at once.
"""

from .load import Complaint, SettingsError, load, parse
from .start_settings import start_settings

__all__ = ["Complaint", "SettingsError", "load", "parse", "start_settings"]
