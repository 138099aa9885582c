"""A host-side I/O scheduler for a shared pool of storage nodes."""

import sys

__version__ = "0.2.0"

# Prevents structlog from loading rich, wherever that is installed: 7 MB and a slower start of ``serve``,
# while nothing here logs by it.  The tool's tables import it themselves.
if "structlog" not in sys.modules and "rich" not in sys.modules:
    sys.modules["rich"] = None  # type: ignore[assignment]
    import structlog as structlog

    del sys.modules["rich"]
