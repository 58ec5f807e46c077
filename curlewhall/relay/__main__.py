"""`python -m curlewhall.relay`: one front on the platform, configured by RELAY_CONFIG."""

import signal
import sys

# before anything that takes time to load: a configuration replaced meanwhile is the one that will be read
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from curlewhall.relay.serve import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
