"""Fit each figure as a straight line over the size that was varied."""

from collections import defaultdict
from collections.abc import Iterator, Sequence

import numpy as np

from runloft.lab.scale.records import Point, Slope


def slopes(points: Sequence[Point]) -> tuple[Slope, ...]:
    """Fit by least squares each figure that all points of a dimension have; a fit needs two sizes."""
    dimensions = dict.fromkeys(point.vary for point in points)
    return tuple(
        slope
        for dimension in dimensions
        for slope in _slopes_along(dimension, [point for point in points if point.vary == dimension])
    )


def _slopes_along(dimension: str, points: Sequence[Point]) -> Iterator[Slope]:
    sizes = [point.sizes.along(dimension) for point in points]
    if len(set(sizes)) < 2:
        return
    common_figures = set.intersection(*(set(point.figures) for point in points))
    for figure in sorted(common_figures):
        yield _fit(dimension, figure, sizes, [point.figures[figure] for point in points])


def _fit(dimension: str, figure: str, sizes: Sequence[float], values: Sequence[float]) -> Slope:
    x = np.array(sizes)
    y = np.array(values)
    slope, intercept = np.polyfit(x, y, 1)
    return Slope(
        vary=dimension,
        figure=figure,
        slope=float(slope),
        intercept=float(intercept),
        residual=float(np.sqrt(np.mean((y - slope * x - intercept) ** 2))),
        spread=_spread(sizes, values),
        points=len(values),
    )


def _spread(sizes: Sequence[float], values: Sequence[float]) -> float:
    """Return the widest range of values among the repeats of one size."""
    by_size: dict[float, list[float]] = defaultdict(list)
    for size, value in zip(sizes, values, strict=True):
        by_size[size].append(float(value))
    return max(max(repeats) - min(repeats) for repeats in by_size.values())


def quantile(values: Sequence[float], probability: float) -> float:
    """Return a quantile that is one of the values; a quantile between two values gives the higher one."""
    return float(np.quantile(np.array(values), probability, method="higher"))
