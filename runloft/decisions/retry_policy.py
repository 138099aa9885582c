"""The retry policy: whether another attempt of a request may be sent, and to which node."""

from runloft.decisions.node import Node
from runloft.decisions.settings import Idempotency, IdempotencyScope
from runloft.decisions.sliding_sum import SlidingSum
from runloft.decisions.state import SchedulerState
from runloft.decisions.tracked_request import TrackedRequest


class RetryPolicy:
    """Limits on retries: attempts in flight and per request, retry budget, idempotency and its window."""

    __slots__ = ("_received", "_retries", "_state")

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self._received = SlidingSum(state.settings.retry_budget_window_ns)
        self._retries = SlidingSum(state.settings.retry_budget_window_ns)

    def record_request(self, now: int) -> None:
        """Record a received request, which adds to the retry budget."""
        self._received.add(now, 1)

    def record_retry(self, now: int) -> None:
        """Record a retry that is sent, which uses the retry budget."""
        self._retries.add(now, 1)

    def is_within_budget(self, now: int) -> bool:
        """Return whether one more retry fits the budget.

        Of the events that are exactly as old as the window, retries count and requests don't, so that the
        budget holds however the window's edges are counted.
        """
        settings = self._state.settings
        received = self._received.total(now, narrowed_by_ns=1)
        budget = settings.retry_budget_base + settings.retry_budget_ratio * received
        return not settings.retry_budget_window_ns or self._retries.total(now) + 1 <= budget

    def may_retry(self, request: TrackedRequest, node: Node | None, now: int) -> bool:
        """Return whether another attempt of a request may be sent to a node."""
        settings = self._state.settings
        if request.in_flight or request.attempts >= settings.max_attempts:
            return False
        if not self.is_within_budget(now):
            return False
        if request.ambiguous_since is None or request.is_idempotent:
            return True
        if request.request_class.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY or node is None:
            return False
        window_end = request.ambiguous_since + request.request_class.idempotency_window_ns
        return now + settings.tick_ns < window_end and self.recognises_key(request, node)

    def recognises_key(self, request: TrackedRequest, node: Node) -> bool:
        """Return whether a node recognises a request's key, or doesn't have to.

        It doesn't have to if no attempt may have been executed or if executing the request again is harmless.
        """
        if request.ambiguous_node is None or request.is_idempotent:
            return True
        first = self._state.nodes[request.ambiguous_node].entry
        match request.request_class.idempotency_scope:
            case IdempotencyScope.ALL:
                return True
            case IdempotencyScope.ZONE:
                return first.zone == node.entry.zone
            case IdempotencyScope.SHARD:
                return first.shard == node.entry.shard
