"""Slow start: a node that started lately gets no more than a warming-up node has capacity for.

All schedulers together must not overload it, so each one uses its own part of the capacity.
"""

from runloft.decisions.node import Node
from runloft.decisions.slow_start_budget import SlowStartBudget
from runloft.decisions.state import SchedulerState
from runloft.decisions.units import NS_PER_SECOND

USED_CAPACITY_FRACTION = 0.8  # the node's true capacity isn't known
LARGE_FLEET_EVEN_PARTS = 4  # even parts of a node's rate that a scheduler with no past takes for its own
GUESSED_START_FRACTION = 0.5  # part of the warm-up for which failed connects count as a start
GOLDEN_RATIO_FRACTION = 0.6180339887  # spreads the schedulers' first requests evenly over time
MIN_USED_UNITS = 1e-9  # less counts as none


class SlowStartPolicy:
    """Decides how much is sent to nodes that are warming up."""

    __slots__ = ("_state",)

    def __init__(self, state: SchedulerState) -> None:
        self._state = state

    def started_at(self, node: Node, now: int) -> int | None:
        """Return when a node that is warming up started, None if it isn't warming up.

        A start that the list doesn't tell yet is guessed from failed connects.
        """
        listed = node.entry.started_ns
        slow_start_ns = self._state.settings.slow_start_ns
        if listed and now < listed + slow_start_ns:
            return listed
        # Overloaded nodes refuse connects too: the guess ends early, and no start of the list begins anew.
        guessed = node.slow_start.unreachable_at
        if guessed and now < guessed + GUESSED_START_FRACTION * slow_start_ns:
            return guessed
        return None

    def observe(self, node: Node, now: int) -> None:
        """Record a node's baseline rate at its start, before its use in the past fades."""
        self.permits(node, 0.0, now)

    def permits(self, node: Node, units: float, now: int) -> bool:
        """Whether so many units may be sent to a node now; always if it isn't warming up."""
        window_ns = self._state.settings.overload_window_ns
        started_at = self.started_at(node, now)
        if started_at is None or not window_ns:
            return True
        scheduler_started_at = self._state.started_at
        if now <= scheduler_started_at + window_ns and started_at < scheduler_started_at:
            return False  # a fresh scheduler doesn't know what it sent before: its first window is used up
        budget = node.slow_start
        if budget.started_at != started_at:
            self._begin(budget, started_at, units, now)
        units_per_window = self._units_per_window(node, started_at, now)
        budget.accrue(now, units_per_window, window_ns)
        used = max(0.0, budget.sent.total(now))
        has_accrued = used < MIN_USED_UNITS and budget.accrued_units >= 0.0
        return used + units <= units_per_window or has_accrued

    def _begin(self, budget: SlowStartBudget, started_at: int, units: float, now: int) -> None:
        """Start to accrue, at a point that differs by scheduler: never more than all parts together."""
        settings = self._state.settings
        scheduler_started_at = self._state.started_at
        budget.started_at = started_at
        first_window_end = scheduler_started_at + settings.overload_window_ns
        budget.accrued_at = max(started_at, min(now, first_window_end))
        missing = 1 - settings.host_number * GOLDEN_RATIO_FRACTION % 1.0
        budget.accrued_units = -missing * max(units, settings.mean_units)
        known_ns = max(1, min(settings.slow_start_ns, now - scheduler_started_at))
        budget.baseline_rate = budget.served.total(now) * NS_PER_SECOND / known_ns

    def _units_per_window(self, node: Node, started_at: int, now: int) -> float:
        """Return this scheduler's part of what the node has capacity for in an overload window."""
        settings = self._state.settings
        window_ns = settings.overload_window_ns
        initial = settings.slow_start_initial_fraction
        elapsed_ns = max(0, now - started_at - window_ns)
        warm_fraction = initial + (1 - initial) * elapsed_ns / max(1, settings.slow_start_ns)
        # The baseline rates of all schedulers are at most what the node serves when warm; a scheduler with
        # no past goes by its clients' demand.
        known_ns = max(window_ns, min(settings.slow_start_ns, now - self._state.started_at))
        demand = node.slow_start.demand.total(now) * NS_PER_SECOND / known_ns
        schedulers = max(1, settings.hosts)
        even_parts = LARGE_FLEET_EVEN_PARTS if self._state.is_large_fleet else 1
        even_rate = node.estimated_rate(now) / schedulers * even_parts
        rate = max(node.slow_start.baseline_rate, min(demand, even_rate))
        capacity = (
            USED_CAPACITY_FRACTION
            * settings.overload_multiple
            * warm_fraction
            * rate
            * window_ns
            / NS_PER_SECOND
        )
        # Less one request, since requests are of uneven size.
        certain = (settings.slow_start_units - settings.mean_units) / schedulers
        return max(certain, capacity)
