"""Ports for a soak's processes: below the ephemeral range, and no other soak's on this machine."""

import fcntl
import socket
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from runloft.lab.soak.schedule import MOST_PROCESSES

FIRST, LAST = 12_000, 30_000
BLOCK = 2 * MOST_PROCESSES


@contextmanager
def reserved(count: int) -> Iterator[list[int]]:
    """Give ports that no other soak takes while the block lasts; OSError where there are none."""
    for first in range(FIRST, LAST, BLOCK):
        path = Path(tempfile.gettempdir()) / f"runloft-soak-{first}.lock"
        with path.open("w") as lock:
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                continue
            free = [port for port in range(first, first + BLOCK) if _is_free(port)]
            if len(free) >= count:
                yield free[:count]
                return
    raise OSError("no block of free ports is left for a soak")


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
