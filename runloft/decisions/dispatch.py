"""Dispatch: which queued requests are sent to a node now, and in which order."""

from runloft.decisions.actions import SendAttempt
from runloft.decisions.admission import Admission
from runloft.decisions.completion import Completion
from runloft.decisions.key_order import KeyOrder
from runloft.decisions.node import UNRESPONSIVE_OBJECTIVES, Node
from runloft.decisions.retry_policy import RetryPolicy
from runloft.decisions.slow_start import SlowStartPolicy
from runloft.decisions.state import SchedulerState
from runloft.decisions.tracked_request import TrackedRequest
from runloft.decisions.volume_quota import VolumeQuotas

# A slow node gets a late request no sooner than this after its last send, in tightest latency objectives.
MIN_LATE_GAP_OBJECTIVES = 3


class Dispatcher:
    """Sends queued requests in order of priority."""

    __slots__ = (
        "_admission",
        "_completion",
        "_key_order",
        "_quotas",
        "_retry_policy",
        "_slow_start",
        "_state",
    )

    def __init__(
        self,
        state: SchedulerState,
        *,
        quotas: VolumeQuotas,
        admission: Admission,
        retry_policy: RetryPolicy,
        key_order: KeyOrder,
        slow_start: SlowStartPolicy,
        completion: Completion,
    ) -> None:
        self._state = state
        self._quotas = quotas
        self._admission = admission
        self._retry_policy = retry_policy
        self._key_order = key_order
        self._slow_start = slow_start
        self._completion = completion

    def dispatch(self, queue: list[TrackedRequest], node: Node, now: int) -> None:
        """Send queued requests to a node while it has capacity."""
        rate = node.estimated_rate(now)
        is_probe = node.is_unresponsive(now)
        self._drop_expired(queue, node, rate, now)
        while queue and node.has_capacity(rate, now):
            request = self._highest_priority(queue, node, rate, is_probe, now)
            if request is None:
                return
            queue.remove(request)
            self._send(request, node, is_probe, now)

    def _drop_expired(self, queue: list[TrackedRequest], node: Node, rate: float, now: int) -> None:
        """Shed or fail requests that can't be served in time or retried, so that their clients know early."""
        for request in list(queue):
            is_retry_denied = request.attempts and not self._retry_policy.may_retry(request, node, now)
            if is_retry_denied or self._admission.deadline_overrun_s(request, node, rate, now) > 0:
                self._completion.shed_or_fail(request, now)

    def _highest_priority(
        self, queue: list[TrackedRequest], node: Node, rate: float, is_probe: bool, now: int
    ) -> TrackedRequest | None:
        """Return the request to send next, or None if none may be sent.

        Requests are ranked by preference as a probe, then by priority, then by latency objective.
        """
        best: TrackedRequest | None = None
        best_rank = (False, 0.0, 0)
        for request in queue:
            is_preferred = not is_probe or request.is_preferred_probe
            priority = self._admission.priority(request, node, rate, now)
            rank = (is_preferred, priority, -request.objective_at)
            if (best is None or rank > best_rank) and self._may_send(request, node, rate, now):
                best = request
                best_rank = rank
        return best

    def _may_send(self, request: TrackedRequest, node: Node, rate: float, now: int) -> bool:
        if self._admission.seconds_until_permitted(request, node, now) > 0:
            return False
        is_late = node.expected_finish(request.units, rate, now) > request.objective_at and node.is_slow()
        if is_late and now < node.last_sent_at + MIN_LATE_GAP_OBJECTIVES * self._state.objective_ns:
            return False  # so that the node serves timely requests of other schedulers first
        if request.attempts and not self._retry_policy.may_retry(request, node, now):
            return False
        return self._key_order.is_first_of_key(request, now) and self._slow_start.permits(
            node, request.units, now
        )

    def _send(self, request: TrackedRequest, node: Node, is_probe: bool, now: int) -> None:
        if request.attempts:
            self._retry_policy.record_retry(now)
        else:
            self._quotas.quota_of(request, now).consume(request.units)
        attempt = request.attempts
        node.record_sent(now, request.id, attempt, request.units)
        request.in_flight[attempt] = node.entry.node
        request.attempts = attempt + 1
        request.last_sent_at = now
        timeout_ns = self._timeout_ns(request, is_probe, now)
        self._state.actions.append(SendAttempt(request.id, node.entry.node, timeout_ns))

    def _timeout_ns(self, request: TrackedRequest, is_probe: bool, now: int) -> int:
        """Return the timeout of an attempt; 0 means that the client's deadline applies."""
        objective_ns = self._state.objective_ns
        if request.is_safe_to_shed and self._state.is_large_fleet:
            # Late requests sent before an overload was detected would make all requests behind them late.
            return max(request.objective_at - now, objective_ns)
        if is_probe and request.is_preferred_probe:
            return int(UNRESPONSIVE_OBJECTIVES * objective_ns)
        return 0
