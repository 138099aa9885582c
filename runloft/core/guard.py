"""The one guard for sending, repeating, closing and starting: says yes, or why not.

Pure functions over the reducer's records.  The decision module decides what should happen; the guard says
what may happen, whatever was decided and however long ago.  Sources: the protocol page's rules on sockets
and on drains, repeats and time; see ``docs/design/standing.md`` for each rule's paths.
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import StrEnum

from runloft.core.model import Bounds, NodeUpdate, ResponseSink
from runloft.core.records import Attempt, PendingRequest
from runloft.decisions.contract import Idempotency, NodeState, Settings

WIRE_PART = 0.5  # of each bound, for what comes by one wire: a flood on one front leaves room for the other
VERIFY_AFTER_NS = 10_000_000  # a client seen so recently needs no second look before the first byte


class StartRefusal(StrEnum):
    """Why a request is not taken on."""

    NO_ROOM = "no room"
    SUSPENDED = "suspended"
    ID_IN_USE = "id in use"


class SendRefusal(StrEnum):
    """Why an attempt may not leave."""

    REQUEST_OVER = "request over"
    CLIENT_LEFT = "client left"
    TIME_IS_UP = "time is up"
    NO_ATTEMPTS_LEFT = "no attempts left"
    OTHER_SHARD = "other shard"
    ANOTHER_IS_OUT = "another attempt is out"
    MAY_HAVE_RUN = "may have run"
    REPEAT_WINDOW_CLOSED = "repeat window closed"
    NODE_UNKNOWN = "node unknown"
    NODE_DRAINS = "node drains"
    NODE_GONE = "node gone"
    NODE_MOVED = "node moved"
    NODE_RESTARTED = "node restarted"


class CloseReason(StrEnum):
    """Why a client's connection is closed."""

    CLIENT_LEFT = "client left"
    CLIENT_QUIT = "client quit"
    PROTOCOL_ERROR = "protocol error"
    CONNECTION_BROKEN = "connection broken"
    NOT_READING = "client does not read"
    IDLE = "idle"
    MAKE_ROOM = "make room"
    SHUTDOWN = "shutdown"
    FAULT = "fault"


OF_THE_CLIENT = frozenset(
    (
        CloseReason.CLIENT_LEFT,
        CloseReason.CLIENT_QUIT,
        CloseReason.PROTOCOL_ERROR,
        CloseReason.CONNECTION_BROKEN,
        CloseReason.NOT_READING,
    )
)


class CloseRefusal(StrEnum):
    """Why a client's connection may not be closed now."""

    UNANSWERED = "a request is unanswered"
    UNWRITTEN = "an answer is unwritten"
    HALF_READ = "a command is half read"
    UNREAD_INPUT = "input is unread"


@dataclass(frozen=True, slots=True)
class SendPermit:
    """The answer to an attempt whose first byte would leave now.

    ``wait_ns`` is how long it may be waited for, 0 where it may not leave.  ``verify``: whose client has to
    be looked at before the byte leaves; None where it was seen just now.
    """

    wait_ns: int = 0
    refusal: SendRefusal | None = None
    verify: ResponseSink | None = None

    def __bool__(self) -> bool:
        return self.refusal is None


def permit_start(
    open_requests: int, buffered_bytes: int, size: int, bounds: Bounds, id_known: bool, suspended: bool
) -> StartRefusal | None:
    """Say why a request that was read may not be taken on; ``size`` and ``buffered_bytes`` are bytes."""
    full = open_requests >= WIRE_PART * bounds.requests
    if full or buffered_bytes + size > WIRE_PART * bounds.buffered_bytes:
        return StartRefusal.NO_ROOM  # memory, whatever the clients do
    if suspended:
        return StartRefusal.SUSPENDED
    return StartRefusal.ID_IN_USE if id_known else None


def permit_repeat(request: PendingRequest, settings: Settings, now: int) -> SendRefusal | None:
    """Say why no further attempt may leave for a request of which one may have run."""
    if request.doubt_at is None:
        return None
    request_class = settings.classes[request.ask.request_class]
    if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
        return SendRefusal.MAY_HAVE_RUN
    closes_at = request.doubt_at + request_class.idempotency_window_ns
    if request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and now + settings.tick_ns >= closes_at:
        return SendRefusal.REPEAT_WINDOW_CLOSED
    return None


def permit_send(
    request: PendingRequest, node: NodeUpdate, settings: Settings, now: int
) -> SendRefusal | None:
    """Say why the request's next attempt may not be handed to a link for this node."""
    if request.over:
        return SendRefusal.REQUEST_OVER
    if now >= request.deadline:
        return SendRefusal.TIME_IS_UP
    if request.sends >= settings.max_attempts:
        return SendRefusal.NO_ATTEMPTS_LEFT
    if request.ask.shard not in (None, node.shard):
        return SendRefusal.OTHER_SHARD
    if request.out and not settings.may_hedge:
        return SendRefusal.ANOTHER_IS_OUT
    if node.state is NodeState.GONE:
        return SendRefusal.NODE_GONE
    return permit_repeat(request, settings, now)


def permit_first_byte(
    attempt: Attempt | None, node: NodeUpdate | None, settings: Settings, now: int
) -> SendPermit:
    """Say whether an attempt's first byte may leave now; asked however long ago it was handed over.

    Until a connection is up, its client may leave, its node may be told to drain, go or start anew, the
    window for its repeat may close, its time may run out.
    """
    if attempt is None or attempt.request.over or attempt.due is None:
        return SendPermit(refusal=SendRefusal.REQUEST_OVER)
    refusal = _node_refusal(attempt.news, node) or permit_repeat(attempt.request, settings, now)
    if refusal:
        return SendPermit(refusal=refusal)
    wait_ns = attempt.due[0] - now
    if wait_ns <= 0:
        return SendPermit(refusal=SendRefusal.TIME_IS_UP)
    request = attempt.request
    seen_now = now - request.received_at <= VERIFY_AFTER_NS
    return SendPermit(wait_ns, verify=None if seen_now else request.sink)


def _node_refusal(then: NodeUpdate, now: NodeUpdate | None) -> SendRefusal | None:
    """Say why a node is no longer the one that an attempt was meant for."""
    if now is None:
        return SendRefusal.NODE_UNKNOWN
    if now.state is NodeState.DRAINING:
        return SendRefusal.NODE_DRAINS
    if now.state is NodeState.GONE:
        return SendRefusal.NODE_GONE
    if now.endpoint != then.endpoint:
        return SendRefusal.NODE_MOVED
    return SendRefusal.NODE_RESTARTED if now.started_ns != then.started_ns else None


def permit_close(
    reason: CloseReason, unanswered: Collection[object], unwritten: int, half_read: int, unread: bool
) -> CloseRefusal | None:
    """Say why a client's connection may not be closed: what the client did itself is always reason enough.

    ``unwritten`` and ``half_read`` are bytes; ``unread``: input waits, and a close would lose it.
    """
    if reason in OF_THE_CLIENT:
        return None
    if unanswered:
        return CloseRefusal.UNANSWERED
    if unwritten:
        return CloseRefusal.UNWRITTEN
    if half_read:
        return CloseRefusal.HALF_READ
    return CloseRefusal.UNREAD_INPUT if unread else None
