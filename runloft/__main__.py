"""``python -m runloft``."""

import sys

from runloft.cli import main

if __name__ == "__main__":
    sys.exit(main())
