"""Check before a measurement that its size is within the scheduler's limits and this machine's."""

import math
import re
import resource
from dataclasses import dataclass
from pathlib import Path

from runloft.lab.errors import LaboratoryError
from runloft.lab.scale.records import Sizes
from runloft.listeners.accepting import CLIENT_FRACTION
from runloft.upstream.pool import RESERVED_DESCRIPTORS

MAX_BUSY_CONNECTIONS = 64  # carry the statements of a size whose number of clients is 0
STAND_IN_PROCESSES = 3  # each takes about as much memory as a scheduler without clients
# Estimates, high rather than low: too large a size is refused before the kernel's out-of-memory killer acts.
SCHEDULER_MB = 48
CLIENT_KB = 12
SOCKET_KB = 16
NODE_KB = 80
KB_PER_MB = 1024


class SizeError(LaboratoryError, ValueError):
    """A size exceeds a limit of this machine or of the scheduler; the message has the size and the limit."""


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits that the scheduler under test is configured with."""

    memory_mb: int = 256
    sockets: int = 18_000


DEFAULT_LIMITS = Limits()


def connection_count(sizes: Sizes) -> int:
    """Return the number of client connections that carry the statements."""
    return sizes.clients or min(MAX_BUSY_CONNECTIONS, math.ceil(sizes.statements))


def check_size(sizes: Sizes, limits: Limits) -> None:
    """Raise SizeError for a size that can't be measured; call it before any process is started."""
    if sizes.nodes < 1 or sizes.clients < 0 or sizes.statements < 0:
        raise SizeError(
            f"{sizes}: expected at least one node and no negative number of clients or statements"
        )
    _check_client_sockets(sizes, limits)
    _check_descriptors(sizes, limits)
    _check_memory(sizes, limits)


def _check_client_sockets(sizes: Sizes, limits: Limits) -> None:
    clients = connection_count(sizes)
    capacity = int(limits.sockets * CLIENT_FRACTION)
    if clients > capacity:
        raise SizeError(f"{clients} clients: limits.sockets of {limits.sockets} allows at most {capacity}")


def _check_descriptors(sizes: Sizes, limits: Limits) -> None:
    clients = connection_count(sizes)
    node_connections = min(sizes.nodes + math.ceil(sizes.statements), limits.sockets // 2)
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    required_by_process = {
        "the scheduler": clients + node_connections + RESERVED_DESCRIPTORS,
        "the clients' stand-in": clients + RESERVED_DESCRIPTORS,
        "the nodes' stand-in": sizes.nodes + node_connections + RESERVED_DESCRIPTORS,
    }
    for process, required in required_by_process.items():
        if required > allowed:
            size = f"{clients} clients and {sizes.nodes} nodes"
            raise SizeError(f"{size}: {process} needs {required} descriptors, RLIMIT_NOFILE is {allowed}")


def _check_memory(sizes: Sizes, limits: Limits) -> None:
    clients = connection_count(sizes)
    scheduler_mb = SCHEDULER_MB + clients * CLIENT_KB // KB_PER_MB
    if scheduler_mb > limits.memory_mb:
        raise SizeError(
            f"{clients} clients: about {scheduler_mb} MB needed, limits.memory_mb is {limits.memory_mb}"
        )
    sockets_and_nodes_kb = clients * 3 * SOCKET_KB + sizes.nodes * NODE_KB
    required_mb = STAND_IN_PROCESSES * SCHEDULER_MB + scheduler_mb + sockets_and_nodes_kb // KB_PER_MB
    available_mb = _available_memory_mb()
    if required_mb > available_mb:
        size = f"{clients} clients and {sizes.nodes} nodes"
        raise SizeError(f"{size}: about {required_mb} MB needed, {available_mb} MB available")


def _available_memory_mb() -> int:
    match = re.search(r"MemAvailable:\s+(\d+) kB", Path("/proc/meminfo").read_text())
    return int(match[1]) // KB_PER_MB if match else 0
