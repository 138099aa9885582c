"""Run the adapter: ``python -m runloft.simulator``."""

import sys

from runloft.simulator.adapter import main

sys.exit(main())
