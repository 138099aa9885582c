"""The configuration of one scheduler as the program uses it: ``Config`` and its components.

``runloft.config.loading`` loads it from a file.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from runloft.config.documents import Document
from runloft.core.model import Bounds, SuspendedVolumes
from runloft.decisions import contract

OPERATIONS = ("get", "head", "put", "delete", "create", "part", "complete", "abort", "parts")
MAX_PORT = 65535

DEFAULT_MEMORY_MB = 192  # default memory limit
PROGRAM_MB = 24  # used by the program itself, until it is measured at the start
RESERVED_BYTES = 1 << 20  # for memory that no account counts, such as that of one step of the event loop
MIN_SPARE_BYTES = 3 << 19
MAX_OPEN_REQUESTS = 2048
OPEN_REQUEST_BYTES = 4096  # memory budgeted per open request

DEFAULT_FENCE_LEASES = 1.5  # default of the fence, in leases
FENCE_DRIFT_DIVISOR = 16  # allowed clock drift during a fence: the fence divided by this


class SocketAddress(NamedTuple):
    """A host and a port."""

    host: str
    port: int


def parse_address(text: str) -> SocketAddress:
    """Parse host:port; raise ValueError if the text does not have this form."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"not an address of the form host:port: {text!r}")
    return SocketAddress(host, int(port))


@dataclass(frozen=True, slots=True)
class VolumeSettings:
    """A volume of the object API."""

    id: int
    plan: int
    hosts: float = 1.0


@dataclass(frozen=True, slots=True)
class ObjectSettings:
    """Settings of the object API, present if an operator's file configures it."""

    listen: SocketAddress
    store: str
    classes: dict[str, int]
    volumes: dict[str, VolumeSettings]
    unit_bytes: int = 65536
    max_body: int = 8 << 20
    server_port: int = 0  # port of object servers whose node list entry names no object endpoint


@dataclass(frozen=True, slots=True)
class AgreementSettings:
    """Settings of the agreement on the committed generation, present if an operator's file configures it."""

    store: str
    directory: str
    prefix: str = "runloft"
    lease_ns: int = 3_000_000_000
    fence_ns: int = 4_500_000_000  # after this long without an answer from the store, nothing is reserved
    cut_off: str = "unreserved"  # mode after the fence: serve without reserves, or "hold" to serve nothing


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one scheduler.

    ``document`` is the decoded operator's file in the wire's units, or None for the platform's JSON.
    """

    name: str
    listen: SocketAddress
    discovery: SocketAddress
    seed: int
    initial_node_list: Document  # used for placement until discovery has sent a node list
    settings: contract.Settings
    class_names: tuple[str, ...]
    plan_names: tuple[str, ...]
    idle_timeout_ns: int  # for connections to nodes
    max_sockets: int
    zones: tuple[str, ...] = ()
    objects: ObjectSettings | None = None
    memory_mb: int = DEFAULT_MEMORY_MB
    agreement: AgreementSettings | None = None
    admin: SocketAddress | None = None
    accounted_volumes: int = 0  # volumes with a latency account of their own; 0: no accounts
    suspended_volumes: SuspendedVolumes = SuspendedVolumes()
    program_bytes: int = field(default=PROGRAM_MB << 20, compare=False)  # resident size without any client
    document: Document | None = field(default=None, compare=False)

    @property
    def memory_bytes(self) -> int:
        """The limit of the resident size in bytes."""
        return self.memory_mb << 20

    @property
    def spare_bytes(self) -> int:
        """The memory available to connections, requests, bodies and buffers together, in bytes."""
        return max(MIN_SPARE_BYTES, self.memory_bytes - self.program_bytes - RESERVED_BYTES)

    @property
    def bounds(self) -> Bounds:
        """The core's bounds: a third of the spare memory for requests and a quarter for bodies."""
        requests = min(MAX_OPEN_REQUESTS, self.spare_bytes // 3 // OPEN_REQUEST_BYTES)
        return Bounds(requests, self.spare_bytes // 4)
