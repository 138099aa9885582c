"""The events that a scheduler processes.

Times are integer nanoseconds on the host's own clock; their names end in ``_ns``.
"""

from dataclasses import dataclass
from enum import Enum

from runloft.decisions.outcomes import AttemptOutcome
from runloft.decisions.settings import Settings


class NodeState(Enum):
    """The state of a node in the node list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """The kind of a node list update: a change, a complete list, a cached list, or a failed poll."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request arrived; it gets exactly one final response."""

    id: int
    request_class: int
    plan: int
    volume: int
    units: float
    time_left_ns: int
    shard: int | None  # None: a new object, which may be placed on any node
    key: int = 0
    volume_hosts: float = 1.0
    is_write: bool = False
    is_client_retry: bool = False


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """An attempt ended; ``complete`` is true if the request has its final response."""

    id: int
    attempt: int
    node: int
    outcome: AttemptOutcome
    complete: bool
    latency_ns: int = 0
    used_percent: int | None = None
    other_sidecars_units: int = 0
    never_started: bool = False  # no byte was sent, so the attempt can't have been executed
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The response to a streamed request started; its deadline no longer applies."""

    id: int
    attempt: int
    node: int


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client disconnected; its request gets no response."""

    id: int


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """One entry of the node list; ``started_ns`` is 0 if the node started long ago."""

    node: int
    shard: int
    state: NodeState = NodeState.READY
    started_ns: int = 0
    zone: int = 0
    rating: float = 1.0


@dataclass(frozen=True, slots=True)
class NodeList:
    """An update of the node list, which may be out of date."""

    kind: ListKind
    entries: tuple[NodeEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """A health check ended."""

    node: int
    outcome: AttemptOutcome
    latency_ns: int = 0
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the scheduler set is due."""

    token: int


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The host is shutting down: each open request that isn't streaming gets its final response now."""


@dataclass(frozen=True, slots=True)
class NewSettings:
    """The operator changed the settings; classes and plans keep their numbers."""

    settings: Settings


Event = (
    Request
    | AttemptResult
    | StreamStarted
    | ClientGone
    | NodeList
    | HealthCheckResult
    | TimerFired
    | NewSettings
    | ShutdownStarted
)
