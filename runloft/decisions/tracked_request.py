"""A request that the scheduler received, with its attempts."""

from runloft.decisions.events import Request
from runloft.decisions.settings import ClassSettings, Idempotency, IdempotencyScope

MAX_QUEUED_FRACTION = 0.45  # of its client's time: a request that was not sent by then is shed


class TrackedRequest:
    """A request from its arrival until it has its response and no attempt is in flight."""

    __slots__ = (
        "ambiguous_node",
        "ambiguous_since",
        "attempts",
        "deadline",
        "has_reached_node",
        "id",
        "in_flight",
        "is_finished",
        "is_safe_to_shed",
        "is_streaming",
        "last_sent_at",
        "objective_at",
        "price_jitter",
        "queue_deadline",
        "received_at",
        "request",
        "request_class",
        "shard",
        "units",
    )

    def __init__(self, request: Request, request_class: ClassSettings, now: int) -> None:
        self.request = request
        self.request_class = request_class
        self.id = request.id
        self.units = request.units
        self.shard = request.shard
        self.objective_at = now + min(request_class.latency_objective_ns, request.time_left_ns)
        self.deadline = now + request.time_left_ns
        self.queue_deadline = now + int(MAX_QUEUED_FRACTION * request.time_left_ns)
        self.received_at = now
        # A retry by the client is harmless even if an attempt was executed, so the request may be shed then.
        self.is_safe_to_shed = request_class.idempotency is Idempotency.IDEMPOTENT or (
            request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
            and request_class.idempotency_scope is IdempotencyScope.ALL
        )
        self.attempts = 0
        self.has_reached_node = False  # whether a node received an attempt
        self.in_flight: dict[int, int] = {}  # attempt -> node
        self.last_sent_at = now
        self.ambiguous_since: int | None = None  # when the first attempt was sent that may have executed
        self.ambiguous_node: int | None = None  # the node that this attempt was sent to
        self.is_finished = False
        self.is_streaming = False
        self.price_jitter = 1.0  # factor on the congestion price that it meets

    @property
    def is_idempotent(self) -> bool:
        """Whether it may be executed more than once, with no key."""
        return self.request_class.idempotency is Idempotency.IDEMPOTENT

    @property
    def may_be_trial(self) -> bool:
        """Whether it may be sent to a node that is unresponsive."""
        return self.request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
