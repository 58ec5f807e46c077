"""Structured logs: JSON lines, or readable text on a terminal."""

import logging
import sys

import structlog

FORMS = ("auto", "json", "text")


def make(form: str = "auto", level: str = "info", stream=None):
    """A logger. `auto` is text on a terminal and JSON lines elsewhere."""
    stream = stream or sys.stderr
    text = form == "text" or form == "auto" and stream.isatty()
    last = (
        [structlog.dev.ConsoleRenderer(colors=stream.isatty())]
        if text
        else [structlog.processors.dict_tracebacks, structlog.processors.JSONRenderer()]
    )
    return structlog.wrap_logger(
        # one write for a line and its end: the processes of a daemon share one file
        structlog.WriteLogger(stream),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            *last,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        cache_logger_on_first_use=True,
    )
