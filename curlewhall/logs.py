"""Structured logs: JSON lines, or readable text on a terminal."""

import logging
import sys

import structlog

LOG_FORMATS = ("auto", "json", "text")


def make_logger(log_format: str = "auto", level: str = "info", stream=None):
    """Return a structlog logger that writes to `stream`, by default standard error.

    `log_format`: one of `LOG_FORMATS`; `auto` is text on a terminal and JSON lines elsewhere.
    """
    stream = stream or sys.stderr
    text = log_format == "text" or log_format == "auto" and stream.isatty()
    last = (
        [structlog.dev.ConsoleRenderer(colors=stream.isatty())]
        if text
        else [structlog.processors.dict_tracebacks, structlog.processors.JSONRenderer()]
    )
    return structlog.wrap_logger(
        # Writes a line and its end in one call, since the processes of a daemon share one file.
        structlog.WriteLogger(stream),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            *last,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        cache_logger_on_first_use=True,
    )
