"""`python -m curlewhall` is the command `curlewhall`."""

from curlewhall.cli import main

if __name__ == "__main__":
    main()
