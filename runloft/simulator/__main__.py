"""Entry point of ``python -m runloft.simulator``, which runs the adapter."""

import sys

from runloft.simulator.adapter import main

sys.exit(main())
