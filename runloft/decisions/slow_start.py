"""Slow start: a recently started node gets no more work than it has capacity for while it warms up.

All schedulers together must not overload it, so each one uses only its share of the capacity.
"""

from runloft.decisions.node import Node
from runloft.decisions.slow_start_budget import SlowStartBudget
from runloft.decisions.state import SchedulerState
from runloft.decisions.units import NS_PER_SECOND

USED_CAPACITY_FRACTION = 0.8  # safety margin, since the node's true capacity isn't known
LARGE_FLEET_RATE_MULTIPLE = 4  # cap on a scheduler's demand, in equal shares of the node's rate
INFERRED_START_FRACTION = 0.5  # fraction of the slow start during which an inferred start applies
GOLDEN_RATIO_FRACTION = 0.6180339887  # spreads the schedulers' first requests evenly over time
MIN_USED_UNITS = 1e-9  # smaller sums are rounding errors


class SlowStartPolicy:
    """Decides how much is sent to nodes that are warming up."""

    __slots__ = ("_state",)

    def __init__(self, state: SchedulerState) -> None:
        self._state = state

    def started_at(self, node: Node, now: int) -> int | None:
        """Return when a node that is warming up started, or None if it isn't warming up.

        A start that the node list doesn't show yet is inferred from failed connects.
        """
        listed = node.entry.started_ns
        slow_start_ns = self._state.settings.slow_start_ns
        if listed and now < listed + slow_start_ns:
            return listed
        # Overloaded nodes refuse connects too: an inferred start expires early and yields to a listed one.
        inferred = node.slow_start.unreachable_at
        if inferred and now < inferred + INFERRED_START_FRACTION * slow_start_ns:
            return inferred
        return None

    def record_baseline_rate(self, node: Node, now: int) -> None:
        """Record the baseline rate of a node that started, before its past use leaves the window."""
        self.permits(node, 0.0, now)

    def permits(self, node: Node, units: float, now: int) -> bool:
        """Return whether ``units`` may be sent to a node now; always true if it isn't warming up."""
        window_ns = self._state.settings.overload_window_ns
        started_at = self.started_at(node, now)
        if started_at is None or not window_ns:
            return True
        scheduler_started_at = self._state.started_at
        if now <= scheduler_started_at + window_ns and started_at < scheduler_started_at:
            # A restarted scheduler doesn't know its past use, so its first window counts as used up.
            return False
        budget = node.slow_start
        if budget.started_at != started_at:
            self._start_budget(budget, started_at, units, now)
        units_per_window = self._units_per_window(node, started_at, now)
        budget.accrue(now, units_per_window, window_ns)
        used = max(0.0, budget.sent.total(now))
        has_accrued = used < MIN_USED_UNITS and budget.accrued_units >= 0.0
        return used + units <= units_per_window or has_accrued

    def _start_budget(self, budget: SlowStartBudget, started_at: int, units: float, now: int) -> None:
        """Start to accrue units, with an initial deficit that differs by scheduler.

        This spreads the schedulers' first requests over time, so that together they never exceed the sum of
        their shares.
        """
        settings = self._state.settings
        scheduler_started_at = self._state.started_at
        budget.started_at = started_at
        first_window_end = scheduler_started_at + settings.overload_window_ns
        budget.accrued_at = max(started_at, min(now, first_window_end))
        deficit_fraction = 1 - settings.scheduler_number * GOLDEN_RATIO_FRACTION % 1.0
        budget.accrued_units = -deficit_fraction * max(units, settings.mean_units)
        observed_ns = max(1, min(settings.slow_start_ns, now - scheduler_started_at))
        budget.baseline_rate = budget.served.total(now) * NS_PER_SECOND / observed_ns

    def _units_per_window(self, node: Node, started_at: int, now: int) -> float:
        """Return this scheduler's share of the node's capacity in an overload window."""
        settings = self._state.settings
        window_ns = settings.overload_window_ns
        initial = settings.slow_start_initial_fraction
        elapsed_ns = max(0, now - started_at - window_ns)
        warm_fraction = initial + (1 - initial) * elapsed_ns / max(1, settings.slow_start_ns)
        # The baseline rates of all schedulers add up to at most the node's warm rate.  A scheduler with a
        # lower baseline, or none, uses its clients' demand, limited by ``equal_rate``.
        observed_ns = max(window_ns, min(settings.slow_start_ns, now - self._state.started_at))
        demand = node.slow_start.demand.total(now) * NS_PER_SECOND / observed_ns
        schedulers = max(1, settings.scheduler_count)
        rate_multiple = LARGE_FLEET_RATE_MULTIPLE if self._state.is_large_fleet else 1
        equal_rate = node.estimated_rate(now) / schedulers * rate_multiple
        rate = max(node.slow_start.baseline_rate, min(demand, equal_rate))
        rate_share = (
            USED_CAPACITY_FRACTION
            * settings.overload_multiple
            * warm_fraction
            * rate
            * window_ns
            / NS_PER_SECOND
        )
        # Reduced by one mean request, since requests vary in size.
        configured_share = (settings.slow_start_units - settings.mean_units) / schedulers
        return max(configured_share, rate_share)
