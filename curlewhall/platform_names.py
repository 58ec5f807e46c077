"""Translates the platform's names and units into this project's, for the simulator's adapter and the relay.

Imports no other module of the project.
"""

import math
from typing import Any

# Kinds of notes by the platform's numbers.
NOTE_KINDS = {1: "delivered", 2: "rung", 3: "link_asked", 4: "uplink_asked"}
# Fields of load reports by the platform's names.
REPORT_FIELDS = {
    "cpu": "link_share",
    "x0": "link_asked",
    "x1": "uplink_asked",
    "active": "streams",
    "waiting": "queue",
    "avg_ms": "setup_time",
    "rps": "setup_rate",
    "err_rps": "error_rate",
}
# Settings that the platform names differently.
SETTING_NAMES = {
    "lanes": "products",
    "worth": "importance",
    "target": "first_frame_target",
    "give_up": "time_limit",
    "n_instances": "fronts",
    "self_index": "own_index",
    "max_attempts": "max_allocations",
    "spare_attempts": "spare_allocations",
    "invariants": "rules",
}


def milliseconds_to_ticks(text: str | float) -> int:
    """Milliseconds as whole tenths of a millisecond, rounded down so that no time limit grows."""
    return math.floor(float(text) * 10 + 1e-6)


def translate_settings(value: Any) -> Any:
    """A settings value with the project's names as keys and times in whole tenths of a millisecond."""
    if isinstance(value, dict):
        translated = {}
        for key, inner in value.items():
            name = key.replace("-", "_")
            if name.endswith("_ms") and isinstance(inner, int | float):
                name, inner = name[:-3], milliseconds_to_ticks(inner)
            translated[SETTING_NAMES.get(name, name)] = translate_settings(inner)
        return translated
    return [translate_settings(inner) for inner in value] if isinstance(value, list) else value


def flatten(value: dict, prefix: str = "") -> dict[str, Any]:
    """Nested maps as one map of dotted names, each with `prefix` before it."""
    flattened = {}
    for key, inner in value.items():
        flattened.update(
            flatten(inner, f"{prefix}{key}.") if isinstance(inner, dict) else {prefix + key: inner}
        )
    return flattened


def start_settings_of(settings: dict) -> dict[str, Any]:
    """The start settings (`interface.StartSettings`) made of the platform's settings."""
    return flatten(translate_settings(settings))


def parse_load_report(text: str, separator: str) -> dict[str, float]:
    """Parse a load report of name:value pairs into the project's names.

    Unknown names and values that are not finite are left out. Raises `ValueError` for a value that is not a
    number.
    """
    report = {}
    for part in text.split(separator):
        name, colon, value = part.partition(":")
        if colon and name in REPORT_FIELDS:
            number = float(value)
            if math.isfinite(number):
                report[REPORT_FIELDS[name]] = number
    return report
