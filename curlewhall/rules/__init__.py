"""Judges the six rules from the records of a drill. `docs/records.md` says how each rule is read."""

from .judge import RuleLimits, Violation, judge, rule_limits

__all__ = ["RuleLimits", "Violation", "judge", "rule_limits"]
