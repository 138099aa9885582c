"""The use of one node before and during its slow start."""

from runloft.decisions.settings import Settings
from runloft.decisions.sliding_sum import SlidingSum
from runloft.decisions.units import NS_PER_SECOND

# Fraction of a request's units that is credited back if it was served without queueing.
QUICK_SUCCESS_CREDIT_FRACTION = 0.7
# Connects that fail for this long, with nothing served, indicate a restart.
MIN_DOWNTIME_NS = NS_PER_SECOND // 2


class SlowStartBudget:
    """The use of one node that its slow start is based on, and the units accrued for it.

    A share of less than one request accrues until it covers one; until then ``accrued_units`` is negative.
    """

    __slots__ = (
        "accrued_at",
        "accrued_units",
        "baseline_rate",
        "connect_failing_since",
        "demand",
        "sent",
        "served",
        "started_at",
        "unreachable_at",
    )

    def __init__(self, settings: Settings) -> None:
        self.served = SlidingSum(settings.slow_start_ns)
        self.demand = SlidingSum(settings.slow_start_ns)  # units requested by clients
        self.sent = SlidingSum(settings.overload_window_ns)
        self.baseline_rate = 0.0  # units per second served before the start
        self.started_at = -1  # start of the node that the budget belongs to; -1: none
        self.accrued_units = 0.0
        self.accrued_at = 0
        self.connect_failing_since = 0
        self.unreachable_at = 0  # when connects had last been failing for ``MIN_DOWNTIME_NS``

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self.served.window_ns = settings.slow_start_ns
        self.demand.window_ns = settings.slow_start_ns
        self.sent.window_ns = settings.overload_window_ns

    def inherit(self, predecessor: "SlowStartBudget") -> None:
        """Use the history of the node that this one replaces, since it will get the same demand."""
        self.served = predecessor.served
        self.demand = predecessor.demand

    def record_sent(self, now: int, units: float) -> None:
        """Record an attempt that is sent."""
        self.sent.add(now, units)
        self.accrued_units -= units

    def record_served(self, now: int, units: float, was_quick: bool) -> None:
        """Record a served attempt; one served without queueing counts less while the node warms up."""
        self.served.add(now, units)
        if was_quick and self.baseline_rate:
            self.accrued_units += QUICK_SUCCESS_CREDIT_FRACTION * units
            self.sent.add(now, -QUICK_SUCCESS_CREDIT_FRACTION * units)
        self.connect_failing_since = 0

    def record_connect_failure(self, now: int) -> None:
        """Record a failed connect; only failures over a longer time indicate a restart."""
        self.connect_failing_since = self.connect_failing_since or now
        if now >= self.connect_failing_since + MIN_DOWNTIME_NS:
            self.unreachable_at = now

    def accrue(self, now: int, units_per_window: float, window_ns: int) -> None:
        """Add the units accrued since the last call."""
        accrued = units_per_window * (now - self.accrued_at) / window_ns
        self.accrued_units = min(0.0, self.accrued_units + accrued)
        self.accrued_at = now
