"""Runs the command `curlewhall` as `python -m curlewhall`."""

from curlewhall.cli import main

if __name__ == "__main__":
    main()
