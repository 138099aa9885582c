"""Figures of how long an event takes to reach the schedulers."""

from runloft.lab.scale.event_timing import arrival_figures
from runloft.lab.scale.fitting import quantile


def test_quantiles_are_measured_times_and_all_in_force_s_needs_all_schedulers():
    assert [quantile([1.0, 2.0, 3.0, 4.0], probability) for probability in (0.5, 0.99)] == [3.0, 4.0]
    assert arrival_figures([11.0, 12.0], 10.0, 2)["all_in_force_s"] == 2.0
    assert "all_in_force_s" not in arrival_figures([11.0, 12.0], 10.0, 3)
    assert arrival_figures([], 10.0, 3) == {"in_force_count": 0.0}
