"""Run the front's decisions on the simulator's wire: standard input to standard output."""

import sys

from curlewhall.policy import Front
from curlewhall.simhost.host import Host, SimulatorMessageError


def main() -> int:
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
