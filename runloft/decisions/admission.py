"""Admission: the forecast wait of a request, its priority, and when a client may retry a shed one.

Forecast wait = units ahead / smoothed service rate.  A new request that would wait past its queue deadline is
shed, and so is a queued one that would miss its deadline.
"""

import math

from runloft.decisions.congestion_price import CongestionPricing
from runloft.decisions.node import Node
from runloft.decisions.state import SchedulerState
from runloft.decisions.tracked_request import TrackedRequest
from runloft.decisions.units import NS_PER_SECOND
from runloft.decisions.volume_quota import VolumeQuotas

# A volume is within its quota while its use beyond the reserve is below this fraction of the node's rate.
QUOTA_RATE_FRACTION = 0.5
MIN_RETRY_AFTER_OBJECTIVES = 0.1
MIN_PRIORITY = 1e-9


class Admission:
    """Forecasts and priorities of requests from node state, volume quotas and congestion prices."""

    __slots__ = ("_pricing", "_quotas", "_state")

    def __init__(self, state: SchedulerState, quotas: VolumeQuotas, pricing: CongestionPricing) -> None:
        self._state = state
        self._quotas = quotas
        self._pricing = pricing

    def priority(self, request: TrackedRequest, node: Node, rate: float, now: int) -> float:
        """Return the priority of one unit of a request if it were sent now.

        It depends on the class, the plan, the volume's quota, and whether the latency objective would be met.
        """
        quota = self._quotas.quota_of(request, now)
        settings = self._state.settings
        quota_factor = 1.0
        if quota.reserve_tokens < request.units:
            max_use = QUOTA_RATE_FRACTION * rate / max(quota.plan.weight, 1.0)
            if quota.use_beyond_reserve < max_use:
                quota_factor = settings.within_quota_factor
            else:
                quota_factor = settings.beyond_quota_factor
        request_class = request.request_class
        late_factor = 1.0
        if node.expected_finish(request.units, rate, now) > request.objective_at:
            late_factor = request_class.late_priority_weight
        return request_class.priority_weight * quota.plan.price * quota_factor * late_factor

    def forecast_wait_s(self, request: TrackedRequest, now: int) -> float:
        """Return the seconds until the units ahead of a request, in flight or queued, are served."""
        node = self._state.nodes_by_shard.get(request.shard)
        rate = node.estimated_rate(now) if node else 0.0
        if node is None or not rate:
            return 0.0
        request_priority = self.priority(request, node, rate, now)
        queue = self._state.queues.get(request.shard, ())
        ahead = sum(
            other.units
            for other in queue
            if other is not request and self.priority(other, node, rate, now) >= request_priority
        )
        return (node.in_flight_units + ahead) / rate

    def seconds_until_permitted(self, request: TrackedRequest, node: Node | None, now: int) -> float:
        """Return the seconds until the volume's limit and the node's decaying price permit a request."""
        if not (self._state.has_volume_limits or self._state.is_large_fleet):
            return 0.0
        limited_s = 0.0
        if not request.attempts:
            limited_s = self._quotas.quota_of(request, now).seconds_until_permitted(request.units)
        if node is None:
            return limited_s
        congestion_price = (
            self._pricing.current_for(node.congestion_price, now) * request.congestion_price_jitter
        )
        congestion_price *= self._state.max_priority
        if not congestion_price:
            return limited_s
        priority = max(self.priority(request, node, node.estimated_rate(now), now), MIN_PRIORITY)
        return max(
            limited_s, math.log(congestion_price / priority) * node.congestion_price.decay_ns / NS_PER_SECOND
        )

    def queue_deadline_overrun_s(self, request: TrackedRequest, node: Node | None, now: int) -> float:
        """Return the seconds by which a new request's forecast wait exceeds its queue deadline."""
        wait_s = max(self.forecast_wait_s(request, now), self.seconds_until_permitted(request, node, now))
        return wait_s - (request.queue_deadline - now) / NS_PER_SECOND

    def deadline_overrun_s(self, request: TrackedRequest, node: Node, rate: float, now: int) -> float:
        """Return the seconds by which a queued request, sent once permitted, would miss its deadline."""
        service_ns = node.expected_finish(request.units, rate, now) - now
        if not node.in_flight:  # the rate of an idle node may be out of date
            service_ns = min(service_ns, self._state.objective_ns)
        needed_s = max(service_ns / NS_PER_SECOND, self.seconds_until_permitted(request, node, now))
        return needed_s - (request.deadline - now) / NS_PER_SECOND

    def retry_after_s(self, request: TrackedRequest, now: int) -> float:
        """Return the seconds after which a retry by the client is expected to be served."""
        objective_ns = self._state.objective_ns
        node = self._state.nodes_by_shard.get(request.shard)
        if node is None or not node.is_ready():
            return objective_ns / NS_PER_SECOND
        rate = node.estimated_rate(now)
        wait_s = (node.expected_finish(request.units, rate, now) - now) / NS_PER_SECOND
        if not request.has_reached_node:
            # A retry also waits behind the queued requests, probably for as long as this request did.
            queued_s = (now - request.received_at) / NS_PER_SECOND
            wait_s = max(wait_s, self.forecast_wait_s(request, now), queued_s)
        min_s = MIN_RETRY_AFTER_OBJECTIVES * objective_ns / NS_PER_SECOND
        return max(wait_s, min_s, self.seconds_until_permitted(request, node, now))
