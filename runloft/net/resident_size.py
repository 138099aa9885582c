"""The resident size of this process, as the kernel counts it for the platform's memory limit."""

import os
from pathlib import Path

# proc(5): sizes in pages; the second one is the resident size, the third its part that is shared with files.
STATM = Path("/proc/self/statm")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int | None:
    """Return the resident size in bytes, or None if the kernel doesn't tell it."""
    return _sizes()[0]


def anonymous_bytes() -> int | None:
    """Return the resident size without the pages of files, or None if the kernel doesn't tell it."""
    resident, shared = _sizes()
    return None if resident is None or shared is None else resident - shared


def _sizes() -> tuple[int | None, int | None]:
    """Return the resident size in bytes, and its part that is shared with files."""
    try:
        _, resident, shared = STATM.read_bytes().split()[:3]
        return int(resident) * PAGE_BYTES, int(shared) * PAGE_BYTES
    except (OSError, ValueError):
        return None, None
