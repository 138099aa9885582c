"""A request that the scheduler received, and its attempts."""

from runloft.decisions.events import Request
from runloft.decisions.settings import ClassSettings, Idempotency

# Fraction of the time left on arrival after which a request that reached no node is shed.
MAX_QUEUED_FRACTION = 0.45


class TrackedRequest:
    """A request, tracked from its arrival until it is finished and no attempt is in flight."""

    __slots__ = (
        "ambiguous_node",
        "ambiguous_since",
        "attempts",
        "congestion_price_jitter",
        "deadline",
        "has_reached_node",
        "id",
        "in_flight",
        "is_finished",
        "is_streaming",
        "last_sent_at",
        "objective_at",
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
        self.attempts = 0
        self.has_reached_node = False  # whether a node received an attempt
        self.in_flight: dict[int, int] = {}  # attempt -> node
        self.last_sent_at = now
        self.ambiguous_since: int | None = None  # when the first attempt that may have been executed was sent
        self.ambiguous_node: int | None = None  # the node of that attempt
        self.is_finished = False
        self.is_streaming = False
        self.congestion_price_jitter = 1.0  # factor on the node's congestion price

    @property
    def is_idempotent(self) -> bool:
        """Return whether it may be executed more than once without an idempotency key."""
        return self.request_class.idempotency is Idempotency.IDEMPOTENT

    @property
    def is_safe_to_shed(self) -> bool:
        """Return whether a client's retry is harmless even if an attempt was executed."""
        return self.request_class.is_safe_to_shed

    @property
    def is_preferred_probe(self) -> bool:
        """Return whether it is preferred as a probe attempt of an unresponsive node."""
        return self.request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
