"""The front's own pages for the people on call, and its figures for Prometheus.

`view` is what is shown (no I/O), `run` serves it on a listener of its own, `pages/` are the templates. See
`docs/console/`.
"""
