"""What the reducer is told (events) and what it asks for (effects), in terms of no wire.

Times are nanoseconds of the one clock: Unix time at the start plus monotonic progress.
"""

from dataclasses import dataclass
from typing import Protocol

from runloft.decisions.contract import AttemptOutcome, ListKind, NodeState, Settings


@dataclass(frozen=True, slots=True)
class Bounds:
    """What may be held at once; it follows the limits that the scheduler is given."""

    requests: int = 2048
    buffered_bytes: int = 48 << 20  # of bodies together


SUSPENDED_RETRY_AFTER_NS = 1_000_000_000  # when to come back to what is held


@dataclass(frozen=True, slots=True)
class SuspendedVolumes:
    """What is not served for now, because nothing in force says how: plans' numbers, volumes' ids."""

    plans: frozenset[int] = frozenset()
    volumes: frozenset[int] = frozenset()

    def covers(self, plan: int, volume: int) -> bool:
        """Say whether a request is refused for it."""
        return plan in self.plans or volume in self.volumes


class Payload(Protocol):
    """What a link needs to write an attempt; the reducer only carries it."""

    @property
    def wire(self) -> str:
        """The name of the link that can write it."""

    @property
    def buffered_bytes(self) -> int:
        """How much memory it holds while its request is open."""


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """A request as its front read it."""

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
    id: bytes = b""  # as its client names it, where the wire has ids: no two open requests share one


@dataclass(frozen=True, slots=True)
class NodeUpdate:
    """A storage node as discovery tells of it."""

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
    """The value as a storage node gave it."""

    value: object
    node: str = ""
    shard: int = -1


@dataclass(frozen=True, slots=True)
class Shed:
    """Not served, and trying again is harmless; 0: no time named.

    ``cause``: how the last attempt ended, TIMEOUT also where the request's time has run out.
    """

    retry_after_ns: int = 0
    cause: AttemptOutcome | None = None


@dataclass(frozen=True, slots=True)
class Failed:
    """Not served; ``cause`` is how the last attempt ended, if there was one."""

    cause: AttemptOutcome | None = None


@dataclass(frozen=True, slots=True)
class InvalidRequest:
    """Not a request that can be taken: it is an error and nothing of it has run."""

    reason: str


Reply = Served | Shed | Failed | InvalidRequest


class ResponseSink(Protocol):
    """Where a request came from; the reducer uses it as a key and hands answers to it."""

    def answer(self, reply: Reply) -> None:
        """Take the final answer, which comes once."""

    def begin(self, value: object, node: str, shard: int) -> None:
        """Take the start of a streamed answer; its end comes as the final answer."""

    def has_disconnected(self) -> bool:
        """Look whether its client has gone, without waiting for the loop to notice."""


# Events.


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A request was read whole."""

    sink: ResponseSink
    ask: RequestSpec


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a request went away."""

    sink: ResponseSink


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """An attempt's answer began and is passed on as it comes."""

    attempt: int
    value: object = None


@dataclass(frozen=True, slots=True)
class ResponseBuffered:
    """A streamed answer waits for its client: the node's work on it no longer shows in the time."""

    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt is over and its connection carries nothing of it any more."""

    attempt: int
    outcome: AttemptOutcome
    value: object = None
    used_percent: int | None = None
    elsewhere_units: int = 0


@dataclass(frozen=True, slots=True)
class AttemptWithdrawn:
    """An attempt's first byte was not let go when its connection was ready; nothing of it has left."""

    attempt: int


@dataclass(frozen=True, slots=True)
class RequestWritten:
    """An attempt's last byte has left; links tell it where accounts are kept."""

    attempt: int


@dataclass(frozen=True, slots=True)
class NodeListUpdate:
    """News of the storage nodes; ``heard_before``: when discovery was last heard before, 0: unknown."""

    kind: ListKind
    nodes: tuple[NodeUpdate, ...] = ()
    heard_before: int = 0


@dataclass(frozen=True, slots=True)
class Reconfigured:
    """The operator's file has changed; what is open and what has been learned stay."""

    settings: Settings
    bounds: Bounds
    held: SuspendedVolumes = SuspendedVolumes()


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The scheduler is about to exit: what is open gets its final answer now."""


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


class Observer(Protocol):
    """Who is told of each step of a request, where accounts are kept; it changes nothing here."""

    def configured(self, settings: Settings) -> None:
        """Go by these classes from now on; what is open keeps its numbers."""

    def taken(self, id_: int, now: int, volume: int, request_class: int, plan: int, units: float) -> None:
        """Note that a request was taken."""

    def held(self, id_: int, now: int, node: int | None, why: str) -> None:
        """Note that it waits here for this node; ``why``: bound, cold, drain or no node."""

    def sent(self, id_: int, attempt: int, now: int, node: int) -> None:
        """Note that an attempt of it leaves."""

    def written(self, attempt: int, now: int) -> None:
        """Note that the attempt's last byte has left."""

    def reading(self, attempt: int, now: int) -> None:
        """Note that the node has served it, and from here on it waits for its own client."""

    def returned(self, attempt: int, now: int, outcome: AttemptOutcome) -> None:
        """Note that the attempt is over."""

    def over(self, id_: int, now: int, served: bool) -> None:
        """Note that the request has its final answer, or that its client is gone."""

    def forget(self, node: int) -> None:
        """Note that a node is gone for good."""


# Effects.


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Write an attempt to a node; ``wait_ns`` is how long it will be waited for from now on.

    Where its first byte leaves later, ``Core.permit_first_byte`` says whether it still may, and for how long.
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
    """Give a request its final answer."""

    sink: ResponseSink
    reply: Reply


@dataclass(frozen=True, slots=True)
class StartResponse:
    """Give a request the start of its streamed answer."""

    sink: ResponseSink
    value: object
    node: str
    shard: int


Effect = Dispatch | AbortAttempt | SendResponse | StartResponse
