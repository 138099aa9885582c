"""Permissions to start a request, to send or retry an attempt, and to close a client connection.

Pure functions over the core's records that return the reason for a refusal, or None if the action is
permitted.  The scheduler decides what to do; these rules restrict what may be done, whatever was decided and
however long ago.  They implement the protocol rules on sockets, draining, retries and deadlines;
``docs/design/standing.md`` lists the code paths of each rule.
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import StrEnum

from runloft.core.model import Bounds, NodeUpdate, ResponseSink
from runloft.core.records import Attempt, PendingRequest
from runloft.decisions.contract import Idempotency, NodeState, Settings

# Fraction of each bound that one protocol may use, so that a flood on one can't starve the other.
PROTOCOL_SHARE = 0.5
# A client socket is polled before sending only if its request is older than this.
VERIFY_AFTER_NS = 10_000_000


class StartRefusal(StrEnum):
    """Why a request may not start; the value is a metric label."""

    AT_CAPACITY = "no room"
    NO_MEMORY = "no memory"
    SUSPENDED = "suspended"
    ID_IN_USE = "id in use"


class SendRefusal(StrEnum):
    """Why an attempt may not be sent; the value is a metric label."""

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
    """Why a client connection was closed; the value is a metric label."""

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
    """Why a client connection may not be closed now."""

    REQUEST_UNANSWERED = "a request is unanswered"
    RESPONSE_UNWRITTEN = "an answer is unwritten"
    COMMAND_INCOMPLETE = "a command is half read"
    INPUT_UNREAD = "input is unread"


@dataclass(frozen=True, slots=True)
class SendPermit:
    """Permission to send the first byte of an attempt now; true if granted.

    ``wait_ns`` is how long to wait for the outcome, or 0 if refused.  ``sink_to_check`` is the sink whose
    client must be checked for a disconnect before the byte is sent, or None if the request was received
    just now.
    """

    wait_ns: int = 0
    refusal: SendRefusal | None = None
    sink_to_check: ResponseSink | None = None

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

    ``open_requests`` and ``buffered_bytes`` are the current usage by pending requests of the same protocol.
    """
    full = open_requests >= PROTOCOL_SHARE * bounds.requests
    if full or buffered_bytes + request_bytes > PROTOCOL_SHARE * bounds.buffered_bytes:
        return StartRefusal.AT_CAPACITY
    if suspended:
        return StartRefusal.SUSPENDED
    return StartRefusal.ID_IN_USE if id_is_known else None


def permit_retry(request: PendingRequest, settings: Settings, now: int) -> SendRefusal | None:
    """Return why a retry is refused because an earlier attempt may have executed, or None."""
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
    """Return why the next attempt of a request may not be dispatched to a node, or None."""
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
    """Return whether the first byte of an attempt may be sent now, however long ago it was dispatched.

    While the connection is being set up, the client may disconnect, the node may drain, be removed or
    restart, the idempotency window may close, and the deadline may expire.
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
    return SendPermit(wait_ns, sink_to_check=None if received_just_now else request.sink)


def _node_refusal(at_dispatch: NodeUpdate, current: NodeUpdate | None) -> SendRefusal | None:
    """Return why an attempt may not be sent given how its node changed since dispatch, or None."""
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
    """Return why a client connection may not be closed, or None.

    A close caused by the client is always permitted.  ``incomplete_bytes`` is the number of bytes read of an
    incomplete command; ``has_unread_input`` is true if a close would discard input in the socket.
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
