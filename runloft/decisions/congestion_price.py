"""The congestion price: the minimum priority of requests sent to a node that many schedulers share.

With many schedulers, one request from each fills a node's queue for seconds, so bounds on the requests in
flight can't prevent a standing queue.  Late or missing responses raise the price, timely ones lower it.
"""

import math

from runloft.decisions.units import NS_PER_SECOND

TIMELY_OBJECTIVES = 0.5  # latency, in tightest objectives, at which the price doesn't change
MIN_FACTOR = 0.6  # bounds of the factor by which one response changes the price
MAX_FACTOR = 4.0
MIN_CONGESTION_PRICE = 0.05  # as a fraction of the maximum priority; lower prices count as 0
MAX_CONGESTION_PRICE = 1.5
MEAN_WEIGHT = 0.1  # weight of one response in the mean price over all nodes
# Time constant, in tightest objectives, of the decay of a price to the mean, and of the mean to 0.
DECAY_OBJECTIVES = 15


class CongestionPrice:
    """The price of one node, or the mean over all nodes, as a fraction of the maximum priority."""

    __slots__ = ("decay_ns", "timely_latency_ns", "updated_at", "value")

    def __init__(self, objective_ns: int) -> None:
        self.value = 0.0
        self.updated_at = 0  # 0: never
        self.decay_ns = DECAY_OBJECTIVES * objective_ns
        self.timely_latency_ns = TIMELY_OBJECTIVES * objective_ns

    def set_objective(self, objective_ns: int) -> None:
        """Apply a new tightest latency objective."""
        self.decay_ns = DECAY_OBJECTIVES * objective_ns
        self.timely_latency_ns = TIMELY_OBJECTIVES * objective_ns

    def current(self, now: int, mean: float = 0.0) -> float:
        """Return the price, decayed towards the mean of all nodes."""
        own_weight = math.exp((self.updated_at - now) / self.decay_ns) if self.updated_at else 0.0
        return own_weight * self.value + (1 - own_weight) * mean

    def update(self, now: int, latency_ns: int, mean: float) -> None:
        """Update the price by the latency of a response, or by the time without one."""
        factor = min(MAX_FACTOR, max(MIN_FACTOR, latency_ns / self.timely_latency_ns))
        value = max(self.current(now, mean), MIN_CONGESTION_PRICE) * factor
        self.value = min(value, MAX_CONGESTION_PRICE) if value > MIN_CONGESTION_PRICE else 0.0
        self.updated_at = now

    def reset(self, now: int) -> None:
        """Set the price to 0 as of ``now``."""
        self.value = 0.0
        self.updated_at = now


class CongestionPricing:
    """The mean price over all nodes, towards which the price of each node decays."""

    __slots__ = ("is_enabled", "mean")

    def __init__(self) -> None:
        self.is_enabled = False
        self.mean = CongestionPrice(NS_PER_SECOND)

    def current_for(self, node_price: CongestionPrice, now: int) -> float:
        """Return a node's price, 0 if it is negligible or pricing is disabled.

        Pricing is disabled in a small fleet, whose bounds on units in flight keep a node's queue short.
        """
        value = node_price.current(now, self.mean.current(now)) if self.is_enabled else 0.0
        return value if value > MIN_CONGESTION_PRICE else 0.0

    def record_latency(self, node_price: CongestionPrice, now: int, latency_ns: int) -> None:
        """Update a node's price and the mean by the latency of one response."""
        mean = self.mean.current(now)
        node_price.update(now, latency_ns, mean)
        self.mean.value = mean + MEAN_WEIGHT * (node_price.value - mean)
        self.mean.updated_at = now
