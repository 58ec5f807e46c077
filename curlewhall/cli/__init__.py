"""The command `curlewhall`. Sub-commands only parse arguments, call the packages and print."""

from .main import main

__all__ = ["main"]
