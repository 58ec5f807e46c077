"""Converts the operator's file to the start settings: the flat map that a policy module receives at start.

Durations become whole ticks of a tenth of a millisecond. The keys are those that `curlewhall.policy` reads.
"""

from typing import Any

from . import front_pb2

IDEMPOTENCY = {front_pb2.PURE: "pure", front_pb2.SIDE_EFFECT: "side_effect"}
REPORT_MODES = {front_pb2.ON_PROBE: "on_probe", front_pb2.INLINE: "inline", front_pb2.OFF: "off"}


def start_settings(file: front_pb2.FrontFile) -> dict[str, Any]:
    """The start settings for `Front(now, seed, start_settings)`; `file` must have passed validation."""
    highest_rung = len(file.ladder.rung_kb) - 1
    permissions = file.permissions
    rules = file.rules
    fleet = file.fleet
    settings = {
        "products": [
            {
                "name": p.name,
                "importance": p.importance,
                "idempotency": IDEMPOTENCY[p.idempotency],
                "first_frame_target": 10 * p.first_frame_target_ms,
                "time_limit": 10 * p.time_limit_ms,
            }
            for p in file.product
        ],
        "customers": [{"name": c.name, "allowance_per_s": c.allowance_per_s} for c in file.customer],
        "fronts": file.identity.fronts,
        "own_index": file.identity.index,
        "zone": file.identity.zone,
        "kinds": [kind.name for kind in fleet.kind],
        "report.how": REPORT_MODES[file.reports.how],
        "specifics.rung_kb": list(file.ladder.rung_kb),
        "specifics.level_worth": list(file.ladder.worth),
        "specifics.class_scale": [p.scale if p.HasField("scale") else 1.0 for p in file.product],
        "specifics.floor_by_class": [p.floor for p in file.product],
        "specifics.highest_rung": [p.top if p.HasField("top") else highest_rung for p in file.product],
        "specifics.seats": [p.seats for p in file.product],
        "specifics.kind_streams": [kind.streams for kind in fleet.kind],
        "specifics.places": fleet.places,
        "specifics.shelves": fleet.racks,
        "specifics.uplink_kb": fleet.uplink_kb,
        "specifics.link_unit_kb": fleet.link_unit_kb,
        "specifics.told_late": 10 * file.reports.told_late_ms,
        "permissions.probes": permissions.probes,
        "permissions.retry_after": permissions.retry_after,
        "permissions.max_allocations": permissions.max_allocations,
        "permissions.max_retry_after": 10 * permissions.max_retry_after_ms,
        "rules.fall": 10 * rules.fall_ms,
        "rules.overload_factor": rules.overload_factor,
        "rules.start_capacity": rules.start_capacity,
        "rules.warm_within": 10 * rules.warm_within_ms,
    }
    if rules.HasField("look_back_ms"):
        settings |= {
            "rules.look_back": 10 * rules.look_back_ms,
            "rules.spare_allocations": rules.spare_allocations,
            "rules.extra_per_request": rules.extra_per_request,
        }
    return settings
