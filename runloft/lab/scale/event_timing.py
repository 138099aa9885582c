"""The figures of how soon the schedulers of a fleet have what an event is about."""

from collections.abc import Sequence

from runloft.lab.scale.fitting import quantile
from runloft.lab.scale.records import Figures

# Until the last scheduler has it; absent where not all of them do.
ALL_COMMITTED = "all_in_force_s"


def arrival_figures(times: Sequence[float], started_at: float, expected: int) -> Figures:
    """Return the figures of when each scheduler had it; that of all only where all did."""
    elapsed = [at - started_at for at in times]
    figures: Figures = {"in_force_count": float(len(elapsed))}
    if elapsed:
        figures["p50_s"] = quantile(elapsed, 0.5)
        figures["p99_s"] = quantile(elapsed, 0.99)
        figures["last_s"] = max(elapsed)
    if elapsed and len(elapsed) >= expected:
        figures[ALL_COMMITTED] = max(elapsed)
    return figures
