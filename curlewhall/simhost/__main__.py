"""Runs fronts under the simulator: events on standard input, answers on standard output."""

import sys

from curlewhall.policy import Front
from curlewhall.simhost.host import Host, SimulatorMessageError


def main() -> int:
    """Run until the input ends; returns the exit code."""
    try:
        Host(Front, sys.stdout).run(sys.stdin)
    except SimulatorMessageError as err:
        print(f"simhost: {err}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 130
    return 0


if __name__ == "__main__":
    sys.exit(main())
