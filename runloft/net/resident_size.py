"""The resident size of this process, as the kernel counts it for the platform's memory limit."""

import os
from pathlib import Path

STATM = Path("/proc/self/statm")  # proc(5): sizes in pages; the second one is the resident size
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int | None:
    """Return the resident size in bytes, or None if the kernel doesn't tell it."""
    try:
        return int(STATM.read_bytes().split()[1]) * PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return None
