"""The congestion price: the least priority weight that is sent to a node which many schedulers use.

With many schedulers, one request from each fills a node's queue for seconds, so no bound on the requests in
flight prevents a standing queue.  Late or missing responses raise the price, timely ones lower it.
"""

import math

from runloft.decisions.units import NS_PER_SECOND

TIMELY_OBJECTIVES = 0.5  # latency, in tightest objectives, at which the price stays as it is
MIN_FACTOR = 0.6  # bounds of the factor that one response puts on the price
MAX_FACTOR = 4.0
MIN_PRICE = 0.05  # of the greatest priority weight: a price below it counts as none
MAX_PRICE = 1.5
MEAN_WEIGHT = 0.1  # weight of one response in the mean price of all nodes
FADE_OBJECTIVES = 15  # tightest objectives in which a price fades to the mean by 1/e, and the mean to none


class CongestionPrice:
    """The price of one node, or the mean over all nodes, as a part of the greatest priority weight."""

    __slots__ = ("fade_ns", "timely_latency_ns", "updated_at", "value")

    def __init__(self, objective_ns: int) -> None:
        self.value = 0.0
        self.updated_at = 0  # 0: never
        self.fade_ns = FADE_OBJECTIVES * objective_ns
        self.timely_latency_ns = TIMELY_OBJECTIVES * objective_ns

    def set_objective(self, objective_ns: int) -> None:
        """Use another tightest latency objective from now on."""
        self.fade_ns = FADE_OBJECTIVES * objective_ns
        self.timely_latency_ns = TIMELY_OBJECTIVES * objective_ns

    def current(self, now: int, mean: float = 0.0) -> float:
        """Return the price, faded towards the mean of the other nodes."""
        fresh = math.exp((self.updated_at - now) / self.fade_ns) if self.updated_at else 0.0
        return fresh * self.value + (1 - fresh) * mean

    def update(self, now: int, latency_ns: int, mean: float) -> None:
        """Change the price by the latency of a response, or by how long there was none."""
        factor = min(MAX_FACTOR, max(MIN_FACTOR, latency_ns / self.timely_latency_ns))
        value = max(self.current(now, mean), MIN_PRICE) * factor
        self.value = min(value, MAX_PRICE) if value > MIN_PRICE else 0.0
        self.updated_at = now

    def reset(self, now: int) -> None:
        """Set the price to none, as of now."""
        self.value = 0.0
        self.updated_at = now


class CongestionPricing:
    """The mean price over all nodes, and each node's price as seen beside it."""

    __slots__ = ("is_enabled", "mean")

    def __init__(self) -> None:
        self.is_enabled = False
        self.mean = CongestionPrice(NS_PER_SECOND)

    def price_of(self, price: CongestionPrice, now: int) -> float:
        """Return a node's price, 0 if there is none.

        A small fleet has no prices: its bounds on what is in flight keep a node's queue short.
        """
        value = price.current(now, self.mean.current(now)) if self.is_enabled else 0.0
        return value if value > MIN_PRICE else 0.0

    def record_latency(self, price: CongestionPrice, now: int, latency_ns: int) -> None:
        """Update a node's price and the mean by one response's latency."""
        mean = self.mean.current(now)
        price.update(now, latency_ns, mean)
        self.mean.value = mean + MEAN_WEIGHT * (price.value - mean)
        self.mean.updated_at = now
