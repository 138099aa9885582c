"""Read a process's processor time, memory and descriptors from Linux's /proc."""

import os
from pathlib import Path

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
BYTES_PER_MB = 1 << 20
# Indexes into the fields of /proc/PID/stat after the command name; see proc(5).
USER_TIME_FIELD = 11
SYSTEM_TIME_FIELD = 12


def cpu_s(pid: int) -> float:
    """Return a process's user and system time in seconds, with a resolution of one clock tick (10 ms)."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[USER_TIME_FIELD]) + int(fields[SYSTEM_TIME_FIELD])) / CLOCK_TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return a process's resident memory in MiB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / BYTES_PER_MB


def descriptor_count(pid: int) -> int:
    """Return the number of a process's open file descriptors."""
    return len(os.listdir(f"/proc/{pid}/fd"))
