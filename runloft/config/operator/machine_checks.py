"""Checks that the limits for descriptors and memory suffice for clients, nodes and the store.

The listeners and the upstream connection pools have constants of their own;
``tests/config/test_machine_checks.py`` checks that they agree with those below.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from math import ceil

from runloft.config.documents import KeyPath
from runloft.config.faults import Severity
from runloft.config.operator.records import MachineLimitsRecord, OperatorRecord
from runloft.config.schema.violations import Violation
from runloft.config.settings import DEFAULT_MEMORY_MB, PROGRAM_MB

# Descriptors.
MAX_CLIENT_FRACTION = 1 / 2  # of all descriptors: most client connections
EVICTION_FRACTION = 1 / 3  # of all descriptors: client connections at which idle ones are evicted
RESERVED_SOCKETS = 32  # descriptors not available to clients or nodes
STORE_SOCKETS = 16  # most connections to the shared store
# Each node connection pool gets the unreserved descriptors divided by its divisor, by "object API is on".
NODE_SOCKET_DIVISORS = {False: (2,), True: (4, 8)}

# Timeouts of idle client connections.
IDLE_TIMEOUT_MS = 15_000.0
CROWDED_IDLE_TIMEOUT_MS = 2_000.0  # with more clients than half the number at which eviction begins

# Resident memory (docs/capacity/datapath.json).
BASE_MEMORY_MB = 36.0  # without clients
BASE_MEMORY_WITH_TOOLS_MB = 58.0  # without clients, with an agreement or an admin listener
CLIENT_MEMORY_KB = 10.0  # additional, per client connection
MIN_REQUEST_MEMORY_MB = 4

SOCKETS_PATH: KeyPath = ("limits", "sockets")
MEMORY_PATH: KeyPath = ("limits", "memory_mb")
IDLE_PATH: KeyPath = ("limits", "rest_ms")


@dataclass(frozen=True, slots=True)
class _ClientCapacity:
    """The numbers of client connections that limit one listener, derived from the descriptors."""

    listeners: int
    eviction_at: int
    maximum: int


def request_memory_mb(record: OperatorRecord) -> float:
    """Return the memory in MB that is left for requests, bodies and buffers."""
    limits = record.limits or MachineLimitsRecord()
    return (limits.memory_mb or DEFAULT_MEMORY_MB) - PROGRAM_MB


def check_memory(record: OperatorRecord) -> Iterator[Violation]:
    """Check that the memory limit leaves the minimum for requests."""
    remaining_mb = request_memory_mb(record)
    if remaining_mb < MIN_REQUEST_MEMORY_MB:
        reason = f"the program takes {PROGRAM_MB} MB, which leaves {max(0.0, remaining_mb):g} for requests"
        remedy = f"at least {PROGRAM_MB + MIN_REQUEST_MEMORY_MB}"
        yield Violation(MEMORY_PATH, "memory-too-small", reason, remedy)


def check_descriptors(record: OperatorRecord) -> Iterator[Violation]:
    """Check that the descriptors suffice for the program's own connections and listeners."""
    needed = RESERVED_SOCKETS
    if record.objects:
        needed += 2 * STORE_SOCKETS
    if record.agreement:
        needed += STORE_SOCKETS
    sockets = (record.limits or MachineLimitsRecord()).sockets
    if sockets is not None and sockets < needed:
        reason = (
            f"node connections, listeners and the store need {needed} descriptors before any client connects"
        )
        yield Violation(SOCKETS_PATH, "descriptors-too-few", reason, f"at least {needed}")


def check_node_connections(record: OperatorRecord, nodes: int) -> Iterator[Violation]:
    """Check that each upstream connection pool can hold a connection to every node."""
    sockets = (record.limits or MachineLimitsRecord()).sockets
    if sockets is None:
        return
    divisor = max(NODE_SOCKET_DIVISORS[record.objects is not None])
    per_pool = (sockets - RESERVED_SOCKETS) // divisor
    if per_pool < nodes:
        reason = (
            f"{max(0, per_pool)} of {sockets} descriptors are available to the nodes of one protocol, "
            f"but the number of nodes is {nodes}"
        )
        remedy = f"at least {nodes * divisor + RESERVED_SOCKETS}"
        yield Violation(SOCKETS_PATH, "sockets-below-nodes", reason, remedy, Severity.WARNING)


def check_clients(record: OperatorRecord) -> Iterator[Violation]:
    """Check that the expected clients can connect and are not closed when idle."""
    limits = record.limits or MachineLimitsRecord()
    if limits.sockets is None:
        return
    listeners = 2 if record.objects else 1
    capacity = _ClientCapacity(
        listeners,
        eviction_at=int(limits.sockets * EVICTION_FRACTION) // listeners,
        maximum=int(limits.sockets * MAX_CLIENT_FRACTION) // listeners,
    )
    yield from _check_client_sockets(limits, capacity)
    yield from _check_client_memory(record, limits)
    yield from _check_idle_clients(limits, capacity)


def _check_client_sockets(limits: MachineLimitsRecord, capacity: _ClientCapacity) -> Iterator[Violation]:
    clients = limits.clients or 0
    if clients > capacity.maximum:
        reason = (
            f"{capacity.maximum} of {limits.sockets} descriptors are available to one listener's clients, "
            f"but {clients} clients are expected"
        )
        remedy = f"at least {2 * capacity.listeners * clients}"
    elif clients >= capacity.eviction_at:
        reason = (
            f"from {capacity.eviction_at} client connections on idle ones are evicted, "
            f"and {clients} clients are expected"
        )
        remedy = f"at least {3 * capacity.listeners * (clients + 1)}"
    else:
        return
    yield Violation(SOCKETS_PATH, "sockets-below-clients", reason, remedy, Severity.WARNING)


def _check_client_memory(record: OperatorRecord, limits: MachineLimitsRecord) -> Iterator[Violation]:
    clients = limits.clients or 0
    base_mb = BASE_MEMORY_WITH_TOOLS_MB if record.agreement or record.admin else BASE_MEMORY_MB
    clients_mb = clients * CLIENT_MEMORY_KB / 1024
    if clients and limits.memory_mb is not None and base_mb + clients_mb > limits.memory_mb:
        reason = (
            f"the program takes {base_mb:g} MB, "
            f"and the connections of {clients} clients take {clients_mb:.0f} MB"
        )
        remedy = f"at least {ceil(base_mb + clients_mb)}, plus the memory for requests and buffers"
        yield Violation(MEMORY_PATH, "memory-below-clients", reason, remedy, Severity.WARNING)


def _check_idle_clients(limits: MachineLimitsRecord, capacity: _ClientCapacity) -> Iterator[Violation]:
    clients = limits.clients or 0
    idle_ms = limits.idle_ms or 0.0
    crowding_threshold = capacity.eviction_at // 2
    crowded = clients > crowding_threshold
    timeout_ms = CROWDED_IDLE_TIMEOUT_MS if crowded else IDLE_TIMEOUT_MS
    if idle_ms <= timeout_ms:
        return
    reason = f"clients are idle for {idle_ms:g} ms, but are closed after {timeout_ms:g} ms"
    remedy = f"at most {timeout_ms:g} ms between requests"
    if crowded and idle_ms <= IDLE_TIMEOUT_MS:
        reason += f", since more than {crowding_threshold} are expected"
        remedy += f", or limits.sockets of at least {6 * capacity.listeners * clients}"
    yield Violation(IDLE_PATH, "idle-closes-clients", reason, remedy, Severity.WARNING)
