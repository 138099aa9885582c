"""Fitted lines."""

import pytest

from runloft.lab.scale.fitting import slopes
from runloft.lab.scale.records import Point, Sizes


def test_fitted_line_has_the_slope_residual_and_spread_of_its_points():
    points = [
        Point("schedulers", Sizes(size), repeat, 1.0, {"store.cpu": 2.0 + 0.5 * size + offset})
        for size in (10, 20, 40)
        for repeat, offset in enumerate((-0.25, 0.25))
    ]
    points.append(Point("nodes", Sizes(nodes=5), 0, 1.0, {"store.cpu": 1.0}))  # a single size gives no line
    (slope,) = slopes(points)
    assert (slope.vary, slope.figure, slope.points) == ("schedulers", "store.cpu", 6)
    assert (slope.slope, slope.intercept) == (pytest.approx(0.5), pytest.approx(2.0))
    assert (slope.residual, slope.spread) == (pytest.approx(0.25), pytest.approx(0.5))
