"""A host-side I/O scheduler for a shared pool of storage nodes."""

import sys

__version__ = "0.2.0"

# Prevents structlog from importing rich where it is installed: that costs 7 MB and delays the start of
# ``serve``, and no log uses it.  The tools import rich themselves to print tables.
if "structlog" not in sys.modules and "rich" not in sys.modules:
    sys.modules["rich"] = None  # type: ignore[assignment]
    import structlog as structlog

    del sys.modules["rich"]
