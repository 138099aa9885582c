"""What the scheduler is told and what it answers: settings, events in, actions out.

Times are integer nanoseconds on the host's own clock (names end in ``_ns``).  Nothing in
this file decides anything; every decision is in ``policy.py``.
"""

from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """What a repeat of a request may do."""

    IDEMPOTENT = "safe"
    IDEMPOTENT_WITH_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class IdempotencyScope(Enum):
    """Which nodes discard the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "shard"


class AttemptOutcome(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"


class NodeState(Enum):
    """What the node list says of a node."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a node list relates to the one before it."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """One class of request."""

    latency_objective_ns: int
    deadline_ns: int
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    idempotency: Idempotency = Idempotency.NOT_IDEMPOTENT
    idempotency_scope: IdempotencyScope = IdempotencyScope.SHARD
    idempotency_window_ns: int = 0
    in_order: bool = False
    streamed: bool = False
    writes: bool = False


@dataclass(frozen=True, slots=True)
class PlanSettings:
    """One plan; its figures hold for each volume, over all hosts and nodes."""

    rate: float = 0.0
    reserve: float = 0.0
    weight: float = 1.0
    price: float = 1.0
    limit: float = 0.0
    limit_burst: float = 0.0
    limit_slack: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """What a host is told when it starts.  A rule whose figures are zero is not in force."""

    classes: tuple[ClassSettings, ...]
    plans: tuple[PlanSettings, ...]
    hosts: int = 1
    host_number: int = 0
    tick_ns: int = 1_000_000
    mean_units: float = 1.0
    max_units: float = 1.0
    within_quota_factor: float = 1.0
    beyond_quota_factor: float = 1.0
    slow_start_units: float = 0.0
    slow_start_initial_fraction: float = 1.0
    slow_start_ns: int = 0
    overload_multiple: float = 1.0
    overload_window_ns: int = 0
    ambiguity_wait_ns: int = 0
    retry_budget_base: float = 0.0
    retry_budget_ratio: float = 0.0
    retry_budget_window_ns: int = 0
    max_attempts: int = 1
    connect_timeout_ns: int = 0
    max_retry_after_ns: int = 0
    may_cancel: bool = False
    may_health_check: bool = False
    may_hedge: bool = False
    list_is_polled: bool = False
    poll_interval_ns: int = 0
    load_report_interval_ns: int = 0
    reports_load_elsewhere: bool = False
    report_fields: tuple[str, ...] = ()


# Events: what happened at the host's clock time.


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request arrived; exactly one final answer is owed."""

    id: int
    request_class: int
    plan: int
    volume: int
    units: float
    time_left_ns: int
    shard: int | None  # None: a new object, which any node may take
    key: int = 0
    volume_hosts: float = 1.0
    is_write: bool = False
    is_client_retry: bool = False


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """An attempt ended.  ``complete``: the request has its final answer."""

    id: int
    attempt: int
    node: int
    outcome: AttemptOutcome
    complete: bool
    latency_ns: int = 0
    used_percent: int | None = None
    elsewhere_units: int = 0
    never_started: bool = False  # given up before its first byte left, so that it can't have run
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The answer of a streamed class began; no deadline runs any more."""

    id: int
    attempt: int
    node: int


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client left; nothing is owed to it any more."""

    id: int


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """One line of the node list.  ``started_ns`` is 0 where the start was long ago."""

    node: int
    shard: int
    state: NodeState = NodeState.READY
    started_ns: int = 0
    zone: int = 0
    rating: float = 1.0


@dataclass(frozen=True, slots=True)
class NodeList:
    """News of the nodes, late as it may be."""

    kind: ListKind
    entries: tuple[NodeEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """A probe ended."""

    node: int
    outcome: AttemptOutcome
    latency_ns: int = 0
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the scheduler set came due."""

    token: int


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The host is about to end: what is open gets its final answer now."""


@dataclass(frozen=True, slots=True)
class NewSettings:
    """The operator has changed the settings; classes and plans keep their numbers."""

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


# Actions: what the host is to do now, in this order.


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request's next attempt to a node; ``timeout_ns`` 0: until the client gives up."""

    id: int
    node: int
    timeout_ns: int = 0


@dataclass(frozen=True, slots=True)
class ShedRequest:
    """Final answer: the client may safely try again, after a while."""

    id: int
    retry_after_ns: int = 0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: failed, with no word on whether it ran."""

    id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Ask a node for its load, at a cost to it."""

    node: int


@dataclass(frozen=True, slots=True)
class Timer:
    """Send back ``token`` at the first chance from ``at_ns`` on."""

    at_ns: int
    token: int = field(default=0)


@dataclass(frozen=True, slots=True)
class WatchNodeList:
    """Ask to be told of changes to the node list from now on."""


@dataclass(frozen=True, slots=True)
class ForgetNode:
    """A node that is gone is needed no more: should it come back, it comes as a new one."""

    node: int


Action = (
    SendAttempt | ShedRequest | FailRequest | CancelAttempt | HealthCheck | Timer | WatchNodeList | ForgetNode
)
