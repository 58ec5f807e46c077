"""`python -m curlewhall.relay`: one front on the platform, configured by RELAY_CONFIG."""

import signal
import sys

# A signal that arrives during the imports would end the process. Blocked, it stays pending until `serve` has
# installed its handlers.
signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT))

from curlewhall.relay.serve import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
