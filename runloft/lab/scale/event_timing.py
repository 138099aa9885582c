"""Figures of how long an event's effect takes to reach the schedulers of a fleet."""

from collections.abc import Sequence

from runloft.lab.scale.fitting import quantile
from runloft.lab.scale.records import Figures

# Seconds until the effect has reached the last scheduler; absent if it has not reached all of them.
ALL_COMMITTED = "all_in_force_s"


def arrival_figures(times: Sequence[float], started_at: float, expected: int) -> Figures:
    """Return the figures of the times at which the effect reached each scheduler."""
    elapsed = [at - started_at for at in times]
    figures: Figures = {"in_force_count": float(len(elapsed))}
    if elapsed:
        figures["p50_s"] = quantile(elapsed, 0.5)
        figures["p99_s"] = quantile(elapsed, 0.99)
        figures["last_s"] = max(elapsed)
    if elapsed and len(elapsed) >= expected:
        figures[ALL_COMMITTED] = max(elapsed)
    return figures
