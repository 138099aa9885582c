"""Checks that the machine's limits, descriptors and memory, suffice for clients, nodes and the store.

The listeners and the upstream connections go by figures of their own, which
``tests/config/test_machine_checks.py`` holds against those here.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from math import ceil

from runloft.config.documents import KeyPath
from runloft.config.faults import Severity
from runloft.config.operator.records import MachineLimitsRecord, OperatorRecord
from runloft.config.schema.violations import Violation
from runloft.config.settings import MEMORY_MB, PROGRAM_MB

# Descriptors.
MAX_CLIENT_FRACTION = 1 / 2  # of all descriptors, for clients
EVICTION_FRACTION = 1 / 3  # of all descriptors: beyond it idle clients are closed to make room
RESERVED_SOCKETS = 32  # descriptors that no client or node has
STORE_SOCKETS = 16  # most connections to the shared store
NODE_SOCKET_DIVISORS = {False: (2,), True: (4, 8)}  # object API off and on: each pool's part of the rest

# How long a client may be idle.
IDLE_TIMEOUT_MS = 15_000.0
CROWDED_IDLE_TIMEOUT_MS = 2_000.0  # beyond half of the clients at which eviction begins

# Memory, as measured (docs/capacity/datapath.json).
BASE_MEMORY_MB = 36.0  # the program's own
BASE_MEMORY_WITH_TOOLS_MB = 58.0  # with an agreement or an admin listener
CLIENT_MEMORY_KB = 10.0  # beside it, of a client's connection
MIN_REQUEST_MEMORY_MB = 4

SOCKETS_PATH: KeyPath = ("limits", "sockets")
MEMORY_PATH: KeyPath = ("limits", "memory_mb")
IDLE_PATH: KeyPath = ("limits", "rest_ms")


@dataclass(frozen=True, slots=True)
class _ClientCapacity:
    """How many clients one listener takes, by the program's descriptors."""

    listeners: int
    eviction_at: int
    maximum: int


def request_memory_mb(record: OperatorRecord) -> float:
    """Return the memory that is left for requests, bodies and buffers."""
    limits = record.limits or MachineLimitsRecord()
    return (limits.memory_mb or MEMORY_MB) - PROGRAM_MB


def check_memory(record: OperatorRecord) -> Iterator[Violation]:
    """Check that the memory limit leaves anything for requests."""
    remaining_mb = request_memory_mb(record)
    if remaining_mb < MIN_REQUEST_MEMORY_MB:
        reason = f"the program takes {PROGRAM_MB} MB, which leaves {max(0.0, remaining_mb):g} for requests"
        remedy = f"at least {PROGRAM_MB + MIN_REQUEST_MEMORY_MB}"
        yield Violation(MEMORY_PATH, "memory-too-small", reason, remedy)


def check_descriptors(record: OperatorRecord) -> Iterator[Violation]:
    """Check that there are descriptors for the program's own connections."""
    needed = RESERVED_SOCKETS
    if record.objects:
        needed += 2 * STORE_SOCKETS
    if record.agreement:
        needed += STORE_SOCKETS
    sockets = (record.limits or MachineLimitsRecord()).sockets
    if sockets is not None and sockets < needed:
        reason = f"links, listeners and the store need {needed} descriptors before any client"
        yield Violation(SOCKETS_PATH, "descriptors-too-few", reason, f"at least {needed}")


def check_node_connections(record: OperatorRecord, nodes: int) -> Iterator[Violation]:
    """Check that each upstream pool may hold a connection to each node."""
    sockets = (record.limits or MachineLimitsRecord()).sockets
    if sockets is None:
        return
    divisor = max(NODE_SOCKET_DIVISORS[record.objects is not None])
    for_nodes = (sockets - RESERVED_SOCKETS) // divisor
    if for_nodes < nodes:
        reason = (
            f"{max(0, for_nodes)} of {sockets} descriptors are for nodes of one wire, and there are {nodes}"
        )
        remedy = f"at least {nodes * divisor + RESERVED_SOCKETS}"
        yield Violation(SOCKETS_PATH, "sockets-below-nodes", reason, remedy, Severity.WARNING)


def check_clients(record: OperatorRecord) -> Iterator[Violation]:
    """Check that the expected clients are accepted, and not closed while they are idle."""
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
            f"{capacity.maximum} of {limits.sockets} descriptors are for one front's clients, "
            f"and {clients} are expected"
        )
        remedy = f"at least {2 * capacity.listeners * clients}"
    elif clients >= capacity.eviction_at:
        reason = (
            f"from {capacity.eviction_at} clients on some are closed to make room, and {clients} are expected"
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
        reason = f"the program takes {base_mb:g} MB, and {clients} clients' connections {clients_mb:.0f}"
        remedy = f"at least {ceil(base_mb + clients_mb)}, and what requests and buffers take"
        yield Violation(MEMORY_PATH, "memory-below-clients", reason, remedy, Severity.WARNING)


def _check_idle_clients(limits: MachineLimitsRecord, capacity: _ClientCapacity) -> Iterator[Violation]:
    clients = limits.clients or 0
    idle_ms = limits.idle_ms or 0.0
    crowded_from = capacity.eviction_at // 2
    crowded = clients > crowded_from
    timeout_ms = CROWDED_IDLE_TIMEOUT_MS if crowded else IDLE_TIMEOUT_MS
    if idle_ms <= timeout_ms:
        return
    reason = f"clients rest {idle_ms:g} ms, and are closed after {timeout_ms:g}"
    remedy = f"at most {timeout_ms:g} between requests"
    if crowded and idle_ms <= IDLE_TIMEOUT_MS:
        reason += f", being more than {crowded_from}"
        remedy += f", or limits.sockets of at least {6 * capacity.listeners * clients}"
    yield Violation(IDLE_PATH, "idle-closes-clients", reason, remedy, Severity.WARNING)
