"""The platform's words and units turned into the project's; the simulator's wire and the relay share them.

Only names and units change here. Nothing else of the program is needed to load this.
"""

import math
from typing import Any

NOTE_KINDS = {1: "delivered", 2: "rung", 3: "link_asked", 4: "uplink_asked"}
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


def to_tenths(text: str | float) -> int:
    """Milliseconds to whole tenths, rounded down, so that no time limit grows."""
    return math.floor(float(text) * 10 + 1e-6)


def translate_settings(value: Any) -> Any:
    """A settings value with its keys in the project's words, its times in tenths."""
    if isinstance(value, dict):
        fresh = {}
        for key, inner in value.items():
            name = key.replace("-", "_")
            if name.endswith("_ms") and isinstance(inner, int | float):
                name, inner = name[:-3], to_tenths(inner)
            fresh[SETTING_NAMES.get(name, name)] = translate_settings(inner)
        return fresh
    return [translate_settings(inner) for inner in value] if isinstance(value, list) else value


def flatten(value: dict, head: str = "") -> dict[str, Any]:
    """Nested maps as one map of dotted names."""
    flattened = {}
    for key, inner in value.items():
        flattened.update(flatten(inner, f"{head}{key}.") if isinstance(inner, dict) else {head + key: inner})
    return flattened


def start_settings_of(settings: dict) -> dict[str, Any]:
    """The start settings of the platform's settings."""
    return flatten(translate_settings(settings))


def parse_load_report(text: str, separator: str) -> dict[str, float]:
    """A load report of name:value pairs in our words. Unknown names and figures without end are left out;
    `ValueError` for what is no figure.
    """
    report = {}
    for part in text.split(separator):
        name, colon, value = part.partition(":")
        if colon and name in REPORT_FIELDS:
            figure = float(value)
            if math.isfinite(figure):
                report[REPORT_FIELDS[name]] = figure
    return report
