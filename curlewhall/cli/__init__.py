"""The command `curlewhall`. Sub-commands are thin: they parse, call and print."""

from .main import main

__all__ = ["main"]
