"""``python -m runloft``."""

import signal
import sys

if sys.argv[1:2] == ["serve"]:
    # Prevents a reload that comes while all this is loaded from ending the program: it stays pending.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))

from runloft.cli import main  # takes the most of the start

if __name__ == "__main__":
    sys.exit(main())
