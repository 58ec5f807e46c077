"""The web console of a front for operators, and its metrics for Prometheus.

`view` prepares what is shown (no I/O), `run` serves it on a listener of its own, `pages/` holds the
templates. See `docs/console/`.
"""
