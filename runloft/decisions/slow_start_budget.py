"""What one node was used for before and during its slow start."""

from runloft.decisions.settings import Settings
from runloft.decisions.sliding_sum import SlidingSum
from runloft.decisions.units import NS_PER_SECOND

QUICK_SUCCESS_CREDIT = 0.7  # part of a request's units that no longer counts once it was served at once
DOWN_NS = NS_PER_SECOND // 2  # connecting must have failed for so long, with nothing served, for a restart


class SlowStartBudget:
    """The use of one node that its slow start goes by, and the part of it that is left.

    A budget below one request is accrued up to one, so ``accrued_units`` is negative until then.
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
        self.demand = SlidingSum(settings.slow_start_ns)  # units that clients asked for
        self.sent = SlidingSum(settings.overload_window_ns)
        self.baseline_rate = 0.0  # units per second served before the start
        self.started_at = -1  # the start that the fields below belong to
        self.accrued_units = 0.0
        self.accrued_at = 0
        self.connect_failing_since = 0
        self.unreachable_at = 0  # when it was last found not reachable for ``DOWN_NS``

    def apply_settings(self, settings: Settings) -> None:
        """Use other settings from now on."""
        self.served.window_ns = settings.slow_start_ns
        self.demand.window_ns = settings.slow_start_ns
        self.sent.window_ns = settings.overload_window_ns

    def inherit(self, predecessor: "SlowStartBudget") -> None:
        """Take over the use of the node that this one replaces: it will be asked for the same."""
        self.served = predecessor.served
        self.demand = predecessor.demand

    def record_sent(self, now: int, units: float) -> None:
        """Count an attempt that is sent."""
        self.sent.add(now, units)
        self.accrued_units -= units

    def record_served(self, now: int, units: float, was_quick: bool) -> None:
        """Count a served attempt; one served with no queue counts less while the node warms up."""
        self.served.add(now, units)
        if was_quick and self.baseline_rate:
            self.accrued_units += QUICK_SUCCESS_CREDIT * units
            self.sent.add(now, -QUICK_SUCCESS_CREDIT * units)
        self.connect_failing_since = 0

    def record_connect_failure(self, now: int) -> None:
        """Count a failed connect; single ones happen, but a process that restarts was down for a while."""
        self.connect_failing_since = self.connect_failing_since or now
        if now >= self.connect_failing_since + DOWN_NS:
            self.unreachable_at = now

    def accrue(self, now: int, units_per_window: float, window_ns: int) -> None:
        """Add what the time since the last call brought."""
        accrued = units_per_window * (now - self.accrued_at) / window_ns
        self.accrued_units = min(0.0, self.accrued_units + accrued)
        self.accrued_at = now
