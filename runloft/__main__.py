"""Entry point of ``python -m runloft``."""

import signal
import sys

if sys.argv[1:2] == ["serve"]:
    # Keeps a SIGHUP that arrives during the imports pending: its default action would end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))

from runloft.cli import main  # takes most of the start-up time

if __name__ == "__main__":
    sys.exit(main())
