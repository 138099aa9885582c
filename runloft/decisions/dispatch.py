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

LATE_GAP_OBJECTIVES = 3  # a slow node gets late work no sooner than this after the last send


class Dispatcher:
    """Sends queued requests, those of the highest priority first."""

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
        """Send requests of a node's queue until its capacity is reached."""
        rate = node.estimated_rate(now)
        is_trial = node.is_unresponsive(now)
        self._give_up_hopeless(queue, node, rate, now)
        while queue and node.has_capacity(rate, now):
            request = self._highest_priority(queue, node, rate, is_trial, now)
            if request is None:
                return
            queue.remove(request)
            self._send(request, node, is_trial, now)

    def _give_up_hopeless(self, queue: list[TrackedRequest], node: Node, rate: float, now: int) -> None:
        """Give up what can't be served in time any more, so that its client can use its time better."""
        for request in list(queue):
            is_spent = request.attempts and not self._retry_policy.may_retry(request, node, now)
            if is_spent or self._admission.overload_s(request, node, rate, now) > 0:
                self._completion.give_up(request, now)

    def _highest_priority(
        self, queue: list[TrackedRequest], node: Node, rate: float, is_trial: bool, now: int
    ) -> TrackedRequest | None:
        """Return the request to send next: fit for a trial, by priority, by its latency objective."""
        best: TrackedRequest | None = None
        best_rank = (False, 0.0, 0)
        for request in queue:
            is_fit = not is_trial or request.may_be_trial
            priority = self._admission.priority(request, node, rate, now)
            rank = (is_fit, priority, -request.objective_at)
            if (best is None or rank > best_rank) and self._may_send(request, node, rate, now):
                best = request
                best_rank = rank
        return best

    def _may_send(self, request: TrackedRequest, node: Node, rate: float, now: int) -> bool:
        if self._admission.blocked_s(request, node, now) > 0:
            return False
        is_late = node.expected_finish(request.units, rate, now) > request.objective_at and node.is_slow()
        if is_late and now < node.last_sent_at + LATE_GAP_OBJECTIVES * self._state.objective_ns:
            return False  # late work waits, so that work of other schedulers that may be in time is served
        if request.attempts and not self._retry_policy.may_retry(request, node, now):
            return False
        return self._key_order.has_turn(request, now) and self._slow_start.permits(node, request.units, now)

    def _send(self, request: TrackedRequest, node: Node, is_trial: bool, now: int) -> None:
        if request.attempts:
            self._retry_policy.record_retry(now)
        else:
            self._quotas.quota_of(request, now).spend(request.units)
        attempt = request.attempts
        node.record_sent(now, request.id, attempt, request.units)
        request.in_flight[attempt] = node.entry.node
        request.attempts = attempt + 1
        request.last_sent_at = now
        timeout_ns = self._timeout_ns(request, is_trial, now)
        self._state.actions.append(SendAttempt(request.id, node.entry.node, timeout_ns))

    def _timeout_ns(self, request: TrackedRequest, is_trial: bool, now: int) -> int:
        """Return the time-out of an attempt; 0 means until its client's deadline."""
        objective_ns = self._state.objective_ns
        if request.is_safe_to_shed and self._state.is_large_fleet:
            # Late work that was sent before an overload was known would make all work behind it late.
            return max(request.objective_at - now, objective_ns)
        if is_trial and request.may_be_trial:
            return int(UNRESPONSIVE_OBJECTIVES * objective_ns)
        return 0
