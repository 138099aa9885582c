"""Arrival of requests: each one is tracked, gets its timers, and is queued or shed."""

from runloft.decisions.actions import Timer
from runloft.decisions.admission import Admission
from runloft.decisions.completion import Completion
from runloft.decisions.events import Request
from runloft.decisions.key_order import KeyOrder
from runloft.decisions.placement import Placement
from runloft.decisions.retry_policy import RetryPolicy
from runloft.decisions.state import SchedulerState
from runloft.decisions.tracked_request import TrackedRequest

MIN_RETRY_GAP_OBJECTIVES = 0.25  # smaller differences in time left don't indicate a client retry
CONGESTION_PRICE_JITTER = 0.5  # spreads requests of equal priority around the congestion price


class Arrivals:
    """Handles new requests."""

    __slots__ = (
        "_admission",
        "_completion",
        "_key_order",
        "_max_time_left_ns",
        "_placement",
        "_retry_policy",
        "_state",
    )

    def __init__(
        self,
        state: SchedulerState,
        *,
        admission: Admission,
        retry_policy: RetryPolicy,
        key_order: KeyOrder,
        placement: Placement,
        completion: Completion,
    ) -> None:
        self._state = state
        self._admission = admission
        self._retry_policy = retry_policy
        self._key_order = key_order
        self._placement = placement
        self._completion = completion
        self._max_time_left_ns: dict[int, int] = {}  # by class

    def apply_settings(self) -> None:
        """Reset the maximum times left: with shorter deadlines every request would look like a retry."""
        self._max_time_left_ns.clear()

    def receive(self, arrived: Request, now: int) -> None:
        """Queue a request, or shed it if its forecast wait is longer than it may be queued."""
        self._retry_policy.record_request(now)
        request_class = self._state.settings.classes[arrived.request_class]
        request = TrackedRequest(arrived, request_class, now)
        self._state.requests[arrived.id] = request
        self._backdate_objective(request)
        if self._state.is_large_fleet:
            request.congestion_price_jitter = self._state.random.uniform(
                1 - CONGESTION_PRICE_JITTER, 1 + CONGESTION_PRICE_JITTER
            )
        self._key_order.add(request)
        self._set_timers(request, now)
        self._placement.enqueue(request, now)
        node = self._state.nodes_by_shard.get(request.shard)
        if node:
            node.slow_start.demand.add(now, request.units)
        overrun_s = self._admission.queue_deadline_overrun_s(request, node, now)
        if overrun_s > 0:
            self._completion.shed_or_fail(request, now, overrun_s)

    def _backdate_objective(self, request: TrackedRequest) -> None:
        """Measure the latency objective of a client's retry from its first try.

        A request that has less time left than earlier ones of its class had is treated as a retry.
        """
        number = request.request.request_class
        time_left_ns = request.request.time_left_ns
        max_time_left_ns = max(self._max_time_left_ns.get(number, 0), time_left_ns)
        self._max_time_left_ns[number] = max_time_left_ns
        if time_left_ns < max_time_left_ns - MIN_RETRY_GAP_OBJECTIVES * self._state.objective_ns:
            request.objective_at -= request.request_class.deadline_ns - time_left_ns

    def _set_timers(self, request: TrackedRequest, now: int) -> None:
        """Set the timers that ensure a final response by the deadline and the queue deadline."""
        latest = max(now, request.deadline - self._state.settings.tick_ns)
        self._state.actions.append(Timer(latest, request.id))
        self._state.actions.append(Timer(request.queue_deadline, request.id))
