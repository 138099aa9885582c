"""Results of attempts: each updates its node; its request is finished, retried, shed or failed."""

from runloft.decisions.completion import Completion
from runloft.decisions.congestion_price import CongestionPricing
from runloft.decisions.events import AttemptResult
from runloft.decisions.key_order import KeyOrder
from runloft.decisions.node import Node
from runloft.decisions.outcomes import AMBIGUOUS, NEVER_EXECUTED, AttemptOutcome
from runloft.decisions.placement import Placement
from runloft.decisions.retry_policy import RetryPolicy
from runloft.decisions.state import SchedulerState
from runloft.decisions.tracked_request import TrackedRequest

MIN_BACKOFF_JITTER = 0.5
MAX_BACKOFF_JITTER = 1.5
NOT_REACHED = (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)


class AttemptResults:
    """Processes the results of attempts."""

    __slots__ = ("_completion", "_key_order", "_placement", "_pricing", "_retry_policy", "_state")

    def __init__(
        self,
        state: SchedulerState,
        *,
        pricing: CongestionPricing,
        retry_policy: RetryPolicy,
        key_order: KeyOrder,
        placement: Placement,
        completion: Completion,
    ) -> None:
        self._state = state
        self._pricing = pricing
        self._retry_policy = retry_policy
        self._key_order = key_order
        self._placement = placement
        self._completion = completion

    def process(self, result: AttemptResult, now: int) -> None:
        """Update the node, then finish the request, queue it for a retry, or shed or fail it."""
        request = self._state.requests.get(result.id)
        if request is None:
            return
        node_number = request.in_flight.pop(result.attempt, None)
        if node_number is None:
            return  # late or duplicate result of an attempt that already ended
        node = self._state.nodes[node_number]
        self._state.changed_shards[node.entry.shard] = True
        self._update_node(node, request, result, now)
        self._update_request(request, node_number, result, now)
        if request.is_finished or result.complete:
            self._completion.finish(request, now)
            return
        self._placement.enqueue(request, now)
        if self._needs_final_response(request, result, now):
            self._completion.shed_or_fail(request, now)

    def _update_node(self, node: Node, request: TrackedRequest, result: AttemptResult, now: int) -> None:
        is_large_fleet = self._state.is_large_fleet
        jitter = 0.0  # a small fleet's retries don't overload a node
        if is_large_fleet:
            jitter = self._state.random.uniform(MIN_BACKOFF_JITTER, MAX_BACKOFF_JITTER)
        node.record_result(now, result, request.units, jitter)
        objective_ns = self._state.objective_ns
        is_late = result.latency_ns >= objective_ns
        if is_large_fleet and (result.outcome is AttemptOutcome.OK or is_late):
            class_objective_ns = request.request_class.latency_objective_ns
            scaled_latency_ns = result.latency_ns * objective_ns // class_objective_ns
            self._pricing.record_latency(node.congestion_price, now, scaled_latency_ns)

    def _update_request(
        self, request: TrackedRequest, node_number: int, result: AttemptResult, now: int
    ) -> None:
        outcome = result.outcome
        if outcome not in NOT_REACHED:
            request.has_reached_node = True
        may_have_executed = outcome not in NEVER_EXECUTED and not result.never_started
        if may_have_executed and request.ambiguous_since is None:
            request.ambiguous_since = request.last_sent_at
            request.ambiguous_node = node_number
        if may_have_executed and outcome in AMBIGUOUS:
            self._key_order.record_ambiguous_attempt(request, now)
        self._key_order.update(request, now)

    def _needs_final_response(self, request: TrackedRequest, result: AttemptResult, now: int) -> bool:
        """Return whether a request whose attempt failed gets its final response now."""
        if now + self._state.settings.tick_ns >= request.deadline:
            return True
        is_large_fleet = self._state.is_large_fleet
        if result.outcome is AttemptOutcome.TIMEOUT and is_large_fleet and request.is_safe_to_shed:
            return True
        if not request.has_reached_node and now >= request.queue_deadline:
            return True  # the timer of its queue deadline fired while it was connecting
        node = self._state.nodes_by_shard.get(request.shard)
        return not self._retry_policy.may_retry(request, node, now)
