"""`python -m curlewhall.relay`: one front on the platform, configured by RELAY_CONFIG."""

import signal
import sys

# Danger: a signal that comes while the program is loaded would end it. They wait until they can be heard.
signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT))

from curlewhall.relay.serve import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
