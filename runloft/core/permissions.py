"""Whether a request may start, an attempt may be sent or retried, and a client's connection may be closed.

Pure functions over the core's records that return why not, or None.  The scheduler decides what should
happen; these rules restrict what may happen, whatever was decided and however long ago.  They follow the
protocol pages' rules on sockets, draining, retries and time; ``docs/design/standing.md`` lists each rule's
paths.
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import StrEnum

from runloft.core.model import Bounds, NodeUpdate, ResponseSink
from runloft.core.records import Attempt, PendingRequest
from runloft.decisions.contract import Idempotency, NodeState, Settings

PROTOCOL_SHARE = (
    0.5  # of each bound, for the requests of one protocol: a flood on one leaves room for the other
)
VERIFY_AFTER_NS = 10_000_000  # a request received so recently is sent without a look at its client's socket


class StartRefusal(StrEnum):
    """Why a request may not start; the value is a label of metrics."""

    AT_CAPACITY = "no room"
    SUSPENDED = "suspended"
    ID_IN_USE = "id in use"


class SendRefusal(StrEnum):
    """Why an attempt may not be sent; the value is a label of metrics."""

    REQUEST_COMPLETE = "request over"
    CLIENT_DISCONNECTED = "client left"
    DEADLINE_EXCEEDED = "time is up"
    ATTEMPTS_EXHAUSTED = "no attempts left"
    WRONG_SHARD = "other shard"
    ANOTHER_IN_FLIGHT = "another attempt is out"
    MAY_HAVE_EXECUTED = "may have run"
    IDEMPOTENCY_WINDOW_CLOSED = "repeat window closed"
    NODE_UNKNOWN = "node unknown"
    NODE_DRAINING = "node drains"
    NODE_REMOVED = "node gone"
    NODE_ENDPOINT_CHANGED = "node moved"
    NODE_RESTARTED = "node restarted"


class CloseReason(StrEnum):
    """Why a client's connection is closed; the value is a label of metrics."""

    CLIENT_DISCONNECTED = "client left"
    CLIENT_QUIT = "client quit"
    PROTOCOL_ERROR = "protocol error"
    CONNECTION_BROKEN = "connection broken"
    NOT_READING = "client does not read"
    IDLE = "idle"
    EVICTED = "make room"
    SHUTDOWN = "shutdown"
    FAULT = "fault"


CAUSED_BY_CLIENT = frozenset(
    (
        CloseReason.CLIENT_DISCONNECTED,
        CloseReason.CLIENT_QUIT,
        CloseReason.PROTOCOL_ERROR,
        CloseReason.CONNECTION_BROKEN,
        CloseReason.NOT_READING,
    )
)


class CloseRefusal(StrEnum):
    """Why a client's connection may not be closed now."""

    REQUEST_UNANSWERED = "a request is unanswered"
    RESPONSE_UNWRITTEN = "an answer is unwritten"
    COMMAND_INCOMPLETE = "a command is half read"
    INPUT_UNREAD = "input is unread"


@dataclass(frozen=True, slots=True)
class SendPermit:
    """Whether an attempt's first byte may leave now; true where it may.

    ``wait_ns`` is how long the attempt may be waited for, 0 where it may not leave.  ``verify``: the sink
    whose client's socket is to be checked before the byte leaves; None where the request has just come.
    """

    wait_ns: int = 0
    refusal: SendRefusal | None = None
    verify: ResponseSink | None = None

    def __bool__(self) -> bool:
        return self.refusal is None


def permit_start(
    open_requests: int,
    buffered_bytes: int,
    request_bytes: int,
    bounds: Bounds,
    id_is_known: bool,
    suspended: bool,
) -> StartRefusal | None:
    """Return why a request may not start, or None.

    ``open_requests`` and ``buffered_bytes`` are what the pending requests of its protocol occupy.
    """
    full = open_requests >= PROTOCOL_SHARE * bounds.requests
    if full or buffered_bytes + request_bytes > PROTOCOL_SHARE * bounds.buffered_bytes:
        return StartRefusal.AT_CAPACITY
    if suspended:
        return StartRefusal.SUSPENDED
    return StartRefusal.ID_IN_USE if id_is_known else None


def permit_retry(request: PendingRequest, settings: Settings, now: int) -> SendRefusal | None:
    """Return why no further attempt may be sent for a request that may have executed, or None."""
    if request.ambiguous_since is None:
        return None
    request_class = settings.classes[request.spec.request_class]
    if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
        return SendRefusal.MAY_HAVE_EXECUTED
    closes_at = request.ambiguous_since + request_class.idempotency_window_ns
    if request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and now + settings.tick_ns >= closes_at:
        return SendRefusal.IDEMPOTENCY_WINDOW_CLOSED
    return None


def permit_send(
    request: PendingRequest, node: NodeUpdate, settings: Settings, now: int
) -> SendRefusal | None:
    """Return why the request's next attempt may not be dispatched to this node, or None."""
    if request.is_complete:
        return SendRefusal.REQUEST_COMPLETE
    if now >= request.deadline:
        return SendRefusal.DEADLINE_EXCEEDED
    if request.attempt_count >= settings.max_attempts:
        return SendRefusal.ATTEMPTS_EXHAUSTED
    if request.spec.shard not in (None, node.shard):
        return SendRefusal.WRONG_SHARD
    if request.in_flight and not settings.may_hedge:
        return SendRefusal.ANOTHER_IN_FLIGHT
    if node.state is NodeState.GONE:
        return SendRefusal.NODE_REMOVED
    return permit_retry(request, settings, now)


def permit_first_byte(
    attempt: Attempt | None, node: NodeUpdate | None, settings: Settings, now: int
) -> SendPermit:
    """Return whether an attempt's first byte may leave now, however long ago it was dispatched.

    Until its connection is up, its client may disconnect, its node may drain, be removed or restart, its
    idempotency window may close and its time may run out.
    """
    if attempt is None or attempt.request.is_complete or attempt.timeout is None:
        return SendPermit(refusal=SendRefusal.REQUEST_COMPLETE)
    refusal = _node_refusal(attempt.node, node) or permit_retry(attempt.request, settings, now)
    if refusal:
        return SendPermit(refusal=refusal)
    wait_ns = attempt.timeout.due_at - now
    if wait_ns <= 0:
        return SendPermit(refusal=SendRefusal.DEADLINE_EXCEEDED)
    request = attempt.request
    received_just_now = now - request.received_at <= VERIFY_AFTER_NS
    return SendPermit(wait_ns, verify=None if received_just_now else request.sink)


def _node_refusal(at_dispatch: NodeUpdate, current: NodeUpdate | None) -> SendRefusal | None:
    """Return why a node is no longer the one that an attempt was dispatched to, or None."""
    if current is None:
        return SendRefusal.NODE_UNKNOWN
    if current.state is NodeState.DRAINING:
        return SendRefusal.NODE_DRAINING
    if current.state is NodeState.GONE:
        return SendRefusal.NODE_REMOVED
    if current.endpoint != at_dispatch.endpoint:
        return SendRefusal.NODE_ENDPOINT_CHANGED
    return SendRefusal.NODE_RESTARTED if current.started_ns != at_dispatch.started_ns else None


def permit_close(
    reason: CloseReason,
    unanswered: Collection[object],
    unwritten_bytes: int,
    incomplete_bytes: int,
    has_unread_input: bool,
) -> CloseRefusal | None:
    """Return why a client's connection may not be closed, or None; what the client caused always suffices.

    ``incomplete_bytes``: read of a command that isn't complete; ``has_unread_input``: a close would lose it.
    """
    if reason in CAUSED_BY_CLIENT:
        return None
    if unanswered:
        return CloseRefusal.REQUEST_UNANSWERED
    if unwritten_bytes:
        return CloseRefusal.RESPONSE_UNWRITTEN
    if incomplete_bytes:
        return CloseRefusal.COMMAND_INCOMPLETE
    return CloseRefusal.INPUT_UNREAD if has_unread_input else None
