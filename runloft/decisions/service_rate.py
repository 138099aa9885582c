"""The smoothed rate at which a node serves this scheduler's work."""

from runloft.decisions.units import NS_PER_SECOND

NEWEST_SAMPLE_WEIGHT = 0.1  # a sample covers one tightest latency objective of busy time


class ServiceRate:
    """Units served per second of the time during which this scheduler had attempts in flight.

    ``pool`` is the rate over all nodes; with little traffic it is known long before the rate of each node.
    """

    __slots__ = ("_busy_ns", "_counted_until", "_units", "pool", "units_per_second", "window_ns")

    def __init__(self, window_ns: int, pool: "ServiceRate | None" = None) -> None:
        self.window_ns = window_ns
        self.units_per_second = 0.0  # 0: not known yet
        self.pool = pool
        self._units = 0.0
        self._busy_ns = 0
        self._counted_until = 0

    def record_served(self, units: float, sent_at: int, now: int) -> None:
        """Record served units and the time since they were sent, without counting any time twice.

        Time spent on attempts that are never answered is not counted as service time.
        """
        self._add_sample(units, now - max(sent_at, self._counted_until))
        self._counted_until = now

    def _add_sample(self, units: float, busy_ns: int) -> None:
        """Extend the sample; once it covers a window, apply exponential smoothing weighted by its length."""
        self._units += units
        self._busy_ns += busy_ns
        if self.pool is not None:
            self.pool._add_sample(units, busy_ns)
        if self._busy_ns < self.window_ns:
            return
        sample = self._units * NS_PER_SECOND / self._busy_ns
        if self.units_per_second:
            previous_weight = (1 - NEWEST_SAMPLE_WEIGHT) ** (self._busy_ns / self.window_ns)
            sample = (1 - previous_weight) * sample + previous_weight * self.units_per_second
        self.units_per_second = sample
        self._units = 0.0
        self._busy_ns = 0
