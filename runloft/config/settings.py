"""The configuration of one scheduler, as the program uses it: ``Config`` and its parts.

``runloft.config.loading`` reads it from a file.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from runloft.config.documents import Document
from runloft.core.model import Bounds, SuspendedVolumes
from runloft.decisions import contract

OPERATIONS = ("get", "head", "put", "delete", "create", "part", "complete", "abort", "parts")
MAX_PORT = 65535

MEMORY_MB = 192  # where the file names no limit
PROGRAM_MB = 24  # what the program itself takes; the rest is for requests, bodies and buffers
MIN_SPARE_MB = 4
MAX_OPEN_REQUESTS = 2048
OPEN_REQUEST_BYTES = 4096  # that are reckoned for each open request

FENCE_LEASES = 1.5  # the fence in leases, unless it is set
FENCE_DRIFT_DIVISOR = 16  # two steady clocks may drift apart by this part of a fence in its time


class SocketAddress(NamedTuple):
    """A host and a port."""

    host: str
    port: int


def parse_address(text: str) -> SocketAddress:
    """Split host:port; raise ValueError if the text is not of this form."""
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
    """The object API, where an operator's file sets it up."""

    listen: SocketAddress
    store: str
    classes: dict[str, int]
    volumes: dict[str, VolumeSettings]
    unit_bytes: int = 65536
    max_body: int = 8 << 20
    server_port: int = 0  # of object servers whose entry in the list names no address for it


@dataclass(frozen=True, slots=True)
class AgreementSettings:
    """Where sidecars agree about the committed generation, where an operator's file sets it up."""

    store: str
    directory: str
    prefix: str = "runloft"
    lease_ns: int = 3_000_000_000
    fence_ns: int = 4_500_000_000  # nothing is reserved once the store has been silent for so long
    cut_off: str = "unreserved"  # what is done then; "hold": nothing is served


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one scheduler.

    ``document`` is an operator's file in the wire's units; None for the platform's JSON.
    """

    name: str
    listen: SocketAddress
    discovery: SocketAddress
    seed: int
    initial_node_list: Document  # by which requests are placed until discovery has sent one
    settings: contract.Settings
    class_names: tuple[str, ...]
    plan_names: tuple[str, ...]
    idle_timeout_ns: int  # of connections to nodes
    max_sockets: int
    zones: tuple[str, ...] = ()
    objects: ObjectSettings | None = None
    memory_mb: int = MEMORY_MB
    agreement: AgreementSettings | None = None
    admin: SocketAddress | None = None
    accounted_volumes: int = 0  # that have a latency account of their own; 0: none are kept
    suspended_volumes: SuspendedVolumes = SuspendedVolumes()
    document: Document | None = field(default=None, compare=False)

    @property
    def spare_bytes(self) -> int:
        """The memory that requests, bodies and buffers may take together."""
        return max(MIN_SPARE_MB, self.memory_mb - PROGRAM_MB) << 20

    @property
    def bounds(self) -> Bounds:
        """What the core may hold: a third of the spare memory for requests, a quarter for bodies."""
        requests = min(MAX_OPEN_REQUESTS, self.spare_bytes // 3 // OPEN_REQUEST_BYTES)
        return Bounds(requests, self.spare_bytes // 4)
