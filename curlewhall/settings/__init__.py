"""The operator's settings file in protobuf text format: schema, loading, validation and the start settings.

`load` rejects an invalid file with one `SettingsError` that lists every problem, each with line, column, the
value found and the value expected.
"""

from .load import Problem, SettingsError, load, parse
from .start_settings import start_settings

__all__ = ["Problem", "SettingsError", "load", "parse", "start_settings"]
