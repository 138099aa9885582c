"""Input events and output effects of the reducer, independent of any wire protocol.

Times are nanoseconds on the scheduler's own clock: the Unix time at process start plus the monotonic time
elapsed since.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from runloft.decisions.contract import AttemptOutcome, ListKind, NodeState, Settings


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits on what may be buffered at once, derived from the limits of the process."""

    requests: int = 2048
    buffered_bytes: int = 48 << 20  # total size of all request bodies


SUSPENDED_RETRY_AFTER_NS = 1_000_000_000  # for requests shed because their plan or volume is suspended


@dataclass(frozen=True, slots=True)
class SuspendedVolumes:
    """Plans (by number) and volumes (by id) that are suspended: no configuration in effect covers them."""

    plans: frozenset[int] = frozenset()
    volumes: frozenset[int] = frozenset()

    def covers(self, plan: int, volume: int) -> bool:
        """Return whether requests of this plan or volume are shed."""
        return plan in self.plans or volume in self.volumes


class Payload(Protocol):
    """The data that a connection pool needs to write an attempt; opaque to the core."""

    @property
    def protocol(self) -> str:
        """The name of the protocol, and of the connection pool that can write the payload."""

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes that the payload occupies until its request is released."""


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """A request as parsed by its listener."""

    request_class: int
    plan: int
    volume: int
    units: float
    time_left_ns: int
    shard: int | None
    payload: Payload
    key: int = 0
    volume_hosts: float = 1.0
    is_write: bool = False
    is_client_retry: bool = False
    id: bytes = b""  # client-chosen id, empty if none; unique per protocol among pending requests


@dataclass(frozen=True, slots=True)
class NodeUpdate:
    """A storage node as reported by discovery.

    ``started_ns`` is the start time in Unix time, or 0 if the node started long ago.
    """

    uid: str
    endpoint: str
    shard: int
    state: NodeState = NodeState.READY
    started_ns: int = 0
    zone: int = 0
    rating: float = 1.0
    object_endpoint: str = ""


# Final responses.


@dataclass(frozen=True, slots=True)
class Served:
    """The request was served; ``value`` is the value that the storage node returned."""

    value: object
    node: str = ""
    shard: int = -1


@dataclass(frozen=True, slots=True)
class Shed:
    """The request was not served and can be retried safely.

    ``retry_after_ns`` is the delay before a retry, or 0 if none is given.  ``cause`` is the outcome of the
    last attempt, TIMEOUT if an attempt was requested and the deadline is near or past, or None.
    """

    retry_after_ns: int = 0
    cause: AttemptOutcome | None = None


@dataclass(frozen=True, slots=True)
class Failed:
    """The request was not served but may have executed.

    ``cause`` is the outcome of the last attempt, TIMEOUT if the deadline is near or past, or None.
    """

    cause: AttemptOutcome | None = None


@dataclass(frozen=True, slots=True)
class InvalidRequest:
    """The request is invalid and has not executed."""

    reason: str


Reply = Served | Shed | Failed | InvalidRequest


class ResponseSink(Protocol):
    """The client's side of a request, which receives the response; the reducer uses it as a key."""

    def answer(self, reply: Reply) -> None:
        """Send the final response; called exactly once."""

    def begin(self, value: object, node: str, shard: int) -> None:
        """Start a streamed response; the final response ends it."""

    def has_disconnected(self) -> bool:
        """Poll the socket and return whether the client has disconnected."""

    def client_descriptor(self) -> int:
        """Return the descriptor of the client's socket, -1 once it is closed."""


# Events.


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A complete request was received."""

    sink: ResponseSink
    spec: RequestSpec


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a request has disconnected."""

    sink: ResponseSink


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The response to an attempt has started and is streamed to the client."""

    attempt: int
    value: object = None


@dataclass(frozen=True, slots=True)
class ResponseBuffered:
    """A streamed response waits for its client to read; time from here on is not latency of the node."""

    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt has ended, and its connection no longer carries any of its data."""

    attempt: int
    outcome: AttemptOutcome
    value: object = None
    used_percent: int | None = None
    other_sidecars_units: int = 0


@dataclass(frozen=True, slots=True)
class AttemptWithdrawn:
    """An attempt was not sent because its first byte was not permitted once a connection was ready."""

    attempt: int


@dataclass(frozen=True, slots=True)
class RequestWritten:
    """The last byte of an attempt was sent; reported only if latency accounts are enabled."""

    attempt: int


@dataclass(frozen=True, slots=True)
class NodeListUpdate:
    """A list of storage nodes from discovery.

    ``previous_contact_at`` is when discovery was last in contact before this list, or 0 if unknown.
    """

    kind: ListKind
    nodes: tuple[NodeUpdate, ...] = ()
    previous_contact_at: int = 0


@dataclass(frozen=True, slots=True)
class Reconfigured:
    """The configuration has changed; pending requests and statistics of nodes are kept."""

    settings: Settings
    bounds: Bounds
    suspended: SuspendedVolumes = SuspendedVolumes()


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The process is about to exit; pending requests get their final response now."""


Event = (
    RequestReceived
    | ClientDisconnected
    | StreamStarted
    | ResponseBuffered
    | AttemptFinished
    | AttemptWithdrawn
    | RequestWritten
    | NodeListUpdate
    | Reconfigured
    | ShutdownStarted
)


class QueueReason(StrEnum):
    """Why a request is queued on this host."""

    CAPACITY = "bound"
    SLOW_START = "cold"
    DRAINING = "drain"
    NO_NODE = "no node"


class Observer(Protocol):
    """Receives a notification of each step of a request; it must not change the core.

    ``now`` is the time of the step in nanoseconds on the scheduler's own clock.
    """

    def settings_changed(self, settings: Settings) -> None:
        """Use these settings from now on; pending requests keep their class and plan numbers."""

    def request_received(
        self, request: int, now: int, volume: int, request_class: int, plan: int, units: float
    ) -> None:
        """Record that a request was admitted."""

    def request_queued(self, request: int, now: int, node: int | None, reason: QueueReason) -> None:
        """Record that a request is queued on this host for a node, or for an unknown node if None."""

    def attempt_sent(self, request: int, attempt: int, now: int, node: int) -> None:
        """Record that an attempt of a request was dispatched to a node."""

    def attempt_written(self, attempt: int, now: int) -> None:
        """Record that the last byte of an attempt was sent."""

    def response_buffered(self, attempt: int, now: int) -> None:
        """Record that a node has served an attempt and the response waits for its client to read."""

    def attempt_finished(self, attempt: int, now: int, outcome: AttemptOutcome) -> None:
        """Record that an attempt has ended."""

    def request_completed(self, request: int, now: int, served: bool) -> None:
        """Record that a request has its final response or that its client has disconnected."""

    def node_forgotten(self, node: int) -> None:
        """Record that a node was permanently removed."""


# Effects.


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Write an attempt to a node and wait for its outcome for at most ``wait_ns``, counted from this step.

    If the first byte is sent later, ``Core.permit_first_byte`` returns whether it may still be sent and the
    remaining wait.
    """

    attempt: int
    node: NodeUpdate
    payload: Payload
    wait_ns: int


@dataclass(frozen=True, slots=True)
class AbortAttempt:
    """Close the connection of an attempt before any later effect is carried out."""

    attempt: int


@dataclass(frozen=True, slots=True)
class SendResponse:
    """Send the final response to a request to its client."""

    sink: ResponseSink
    reply: Reply


@dataclass(frozen=True, slots=True)
class StartResponse:
    """Start the streamed response to a request."""

    sink: ResponseSink
    value: object
    node: str
    shard: int


Effect = Dispatch | AbortAttempt | SendResponse | StartResponse
