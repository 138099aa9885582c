"""Whether a size can be measured at all: the scheduler's limits and this machine's, checked beforehand."""

import math
import re
import resource
from dataclasses import dataclass
from pathlib import Path

from runloft.lab.errors import LaboratoryError
from runloft.lab.scale.records import Sizes
from runloft.listeners.accepting import CLIENT_FRACTION
from runloft.upstream.pool import RESERVED_DESCRIPTORS

MAX_BUSY_CONNECTIONS = 64  # connections that carry statements where no idle clients are wanted
STAND_INS = 3  # processes beside the scheduler, each about as large as one without clients
# Estimates on the high side: a size is refused rather than left to the kernel's out-of-memory killer.
SCHEDULER_MB = 48
CLIENT_KB = 12
SOCKET_KB = 16
NODE_KB = 80
KB_PER_MB = 1024


class SizeError(LaboratoryError, ValueError):
    """A size that this machine or the scheduler's limits can't bear: names the limit and the size."""


@dataclass(frozen=True, slots=True)
class Limits:
    """What the scheduler under test may use of its machine."""

    memory_mb: int = 256
    sockets: int = 18_000


DEFAULT_LIMITS = Limits()


def connection_count(sizes: Sizes) -> int:
    """Return how many client connections carry the statements."""
    return sizes.clients or min(MAX_BUSY_CONNECTIONS, math.ceil(sizes.statements))


def check_size(sizes: Sizes, limits: Limits) -> None:
    """Raise SizeError for a size that can't be measured; nothing has been started by then."""
    if sizes.nodes < 1 or sizes.clients < 0 or sizes.statements < 0:
        raise SizeError(f"{sizes}: at least one node, and no figure below 0, is wanted")
    _check_client_sockets(sizes, limits)
    _check_descriptors(sizes, limits)
    _check_memory(sizes, limits)


def _check_client_sockets(sizes: Sizes, limits: Limits) -> None:
    clients = connection_count(sizes)
    capacity = int(limits.sockets * CLIENT_FRACTION)
    if clients > capacity:
        raise SizeError(f"{clients} clients: limits.sockets of {limits.sockets} has room for {capacity}")


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
            raise SizeError(f"{size}: {process} wants {required} descriptors, RLIMIT_NOFILE is {allowed}")


def _check_memory(sizes: Sizes, limits: Limits) -> None:
    clients = connection_count(sizes)
    scheduler_mb = SCHEDULER_MB + clients * CLIENT_KB // KB_PER_MB
    if scheduler_mb > limits.memory_mb:
        raise SizeError(f"{clients} clients: some {scheduler_mb} MB, limits.memory_mb is {limits.memory_mb}")
    sockets_and_nodes_kb = clients * 3 * SOCKET_KB + sizes.nodes * NODE_KB
    required_mb = STAND_INS * SCHEDULER_MB + scheduler_mb + sockets_and_nodes_kb // KB_PER_MB
    available_mb = _available_memory_mb()
    if required_mb > available_mb:
        size = f"{clients} clients and {sizes.nodes} nodes"
        raise SizeError(f"{size}: {required_mb} MB, {available_mb} MB available")


def _available_memory_mb() -> int:
    match = re.search(r"MemAvailable:\s+(\d+) kB", Path("/proc/meminfo").read_text())
    return int(match[1]) // KB_PER_MB if match else 0
