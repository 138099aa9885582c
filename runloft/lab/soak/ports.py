"""Ports for a soak's processes: below the ephemeral range, and locked against other soaks."""

import fcntl
import socket
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from runloft.lab.errors import LaboratoryError
from runloft.lab.soak.schedule import MAX_PROCESSES

FIRST_PORT = 12_000
END_PORT = 30_000
BLOCK_SIZE = 2 * MAX_PROCESSES


class NoFreePortsError(LaboratoryError, OSError):
    """No block of ports is free for a soak."""


@contextmanager
def reserved_ports(count: int) -> Iterator[list[int]]:
    """Yield free ports that are locked against other soaks; raise NoFreePortsError if there are too few."""
    for first in range(FIRST_PORT, END_PORT, BLOCK_SIZE):
        path = Path(tempfile.gettempdir()) / f"runloft-soak-{first}.lock"
        with path.open("w") as lock:
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                continue
            free = [port for port in range(first, first + BLOCK_SIZE) if _is_free(port)]
            if len(free) >= count:
                yield free[:count]
                return
    raise NoFreePortsError("no block of free ports is available for a soak")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
