"""Events that the reducer takes and effects that it returns, independent of any wire protocol.

Times are nanoseconds on the scheduler's own clock: Unix time at its start plus monotonic progress.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from runloft.decisions.contract import AttemptOutcome, ListKind, NodeState, Settings


@dataclass(frozen=True, slots=True)
class Bounds:
    """What may be buffered at once, derived from the limits of the process."""

    requests: int = 2048
    buffered_bytes: int = 48 << 20  # of all bodies together


SUSPENDED_RETRY_AFTER_NS = 1_000_000_000  # for requests of suspended volumes


@dataclass(frozen=True, slots=True)
class SuspendedVolumes:
    """Plans (by number) and volumes (by id) not served while no configuration in effect covers them."""

    plans: frozenset[int] = frozenset()
    volumes: frozenset[int] = frozenset()

    def covers(self, plan: int, volume: int) -> bool:
        """Return whether requests of this plan and volume are shed."""
        return plan in self.plans or volume in self.volumes


class Payload(Protocol):
    """What a connection pool needs to write an attempt; the core passes it through."""

    @property
    def wire(self) -> str:
        """The name of the connection pool that can write it."""

    @property
    def buffered_bytes(self) -> int:
        """How much memory it occupies until its request is released."""


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """A request as its listener has read it."""

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
    id: bytes = b""  # its client's identifier, where the protocol has them; unique among pending requests


@dataclass(frozen=True, slots=True)
class NodeUpdate:
    """A storage node as discovery reports it; ``started_ns`` is Unix time, 0 where it was long ago."""

    uid: str
    endpoint: str
    shard: int
    state: NodeState = NodeState.READY
    started_ns: int = 0
    zone: int = 0
    rating: float = 1.0
    object_endpoint: str = ""


# Final answers.


@dataclass(frozen=True, slots=True)
class Served:
    """Served, with the value as a storage node has returned it."""

    value: object
    node: str = ""
    shard: int = -1


@dataclass(frozen=True, slots=True)
class Shed:
    """Not served, and safe to retry after ``retry_after_ns``; 0: no time is named.

    ``cause``: how the last attempt ended, or TIMEOUT where the request's time has run out.
    """

    retry_after_ns: int = 0
    cause: AttemptOutcome | None = None


@dataclass(frozen=True, slots=True)
class Failed:
    """Not served, and it may have executed; ``cause`` is how the last attempt ended, if there was one."""

    cause: AttemptOutcome | None = None


@dataclass(frozen=True, slots=True)
class InvalidRequest:
    """Not a valid request; nothing of it has executed."""

    reason: str


Reply = Served | Shed | Failed | InvalidRequest


class ResponseSink(Protocol):
    """Where a request came from and its response goes; the reducer uses it as a key."""

    def answer(self, reply: Reply) -> None:
        """Send the final answer, which comes exactly once."""

    def begin(self, value: object, node: str, shard: int) -> None:
        """Start a streamed response; its end comes as the final answer."""

    def has_disconnected(self) -> bool:
        """Return whether the client has disconnected, by a look at its socket."""


# Events.


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A request was read completely."""

    sink: ResponseSink
    spec: RequestSpec


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a request has disconnected."""

    sink: ResponseSink


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """An attempt's response has started and is forwarded as it arrives."""

    attempt: int
    value: object = None


@dataclass(frozen=True, slots=True)
class ResponseBuffered:
    """A streamed response waits for its client: from here on its duration says nothing about the node."""

    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt has ended, and its connection carries nothing of it any more."""

    attempt: int
    outcome: AttemptOutcome
    value: object = None
    used_percent: int | None = None
    elsewhere_units: int = 0


@dataclass(frozen=True, slots=True)
class AttemptWithdrawn:
    """An attempt's first byte was not permitted when its connection was ready; nothing of it was sent."""

    attempt: int


@dataclass(frozen=True, slots=True)
class RequestWritten:
    """An attempt's last byte has left; reported only where accounts are kept."""

    attempt: int


@dataclass(frozen=True, slots=True)
class NodeListUpdate:
    """A list of storage nodes; ``previous_contact_at``: when discovery was in contact before, 0: unknown."""

    kind: ListKind
    nodes: tuple[NodeUpdate, ...] = ()
    previous_contact_at: int = 0


@dataclass(frozen=True, slots=True)
class Reconfigured:
    """The configuration has changed; pending requests and what was learned about nodes stay."""

    settings: Settings
    bounds: Bounds
    suspended: SuspendedVolumes = SuspendedVolumes()


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The process is about to exit: pending requests get their final answer now."""


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
    """Who is notified of each step of a request, where accounts are kept; it changes nothing in the core.

    ``now`` is the time of the step in nanoseconds on the scheduler's own clock.
    """

    def settings_changed(self, settings: Settings) -> None:
        """Use these settings from now on; pending requests keep their class and plan numbers."""

    def request_received(
        self, request: int, now: int, volume: int, request_class: int, plan: int, units: float
    ) -> None:
        """Record that a request was admitted."""

    def request_queued(self, request: int, now: int, node: int | None, reason: QueueReason) -> None:
        """Record that a request is queued on this host, for this node where it is known for which."""

    def attempt_sent(self, request: int, attempt: int, now: int, node: int) -> None:
        """Record that a request's attempt was dispatched to a node."""

    def attempt_written(self, attempt: int, now: int) -> None:
        """Record that an attempt's last byte has left."""

    def response_buffered(self, attempt: int, now: int) -> None:
        """Record that a node has served an attempt, which waits for its own client from here on."""

    def attempt_finished(self, attempt: int, now: int, outcome: AttemptOutcome) -> None:
        """Record that an attempt has ended."""

    def request_completed(self, request: int, now: int, served: bool) -> None:
        """Record that a request has its final answer, or that its client is gone."""

    def node_forgotten(self, node: int) -> None:
        """Record that a node is gone for good."""


# Effects.


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Write an attempt to a node; ``wait_ns`` is how long it is waited for from now on.

    Where its first byte leaves later, ``Core.permit_first_byte`` returns whether it still may, and how long
    it may be waited for then.
    """

    attempt: int
    node: NodeUpdate
    payload: Payload
    wait_ns: int


@dataclass(frozen=True, slots=True)
class AbortAttempt:
    """Close the connection of an attempt, before anything that follows is written."""

    attempt: int


@dataclass(frozen=True, slots=True)
class SendResponse:
    """Send a request's final answer to its client."""

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
