"""Straight lines through points: each figure by the size that was varied."""

from collections import defaultdict
from collections.abc import Sequence

import numpy as np

from runloft.lab.scale.records import Point, Slope


def slopes(points: Sequence[Point]) -> tuple[Slope, ...]:
    """Fit by least squares each figure that every point of a dimension has, from two sizes on."""
    out = []
    for vary in dict.fromkeys(point.vary for point in points):
        own = [point for point in points if point.vary == vary]
        sizes = np.array([float(getattr(point.sizes, vary)) for point in own])
        if len(set(sizes)) < 2:
            continue
        common = set.intersection(*(set(point.figures) for point in own))
        for figure in sorted(common):
            values = np.array([point.figures[figure] for point in own])
            slope, intercept = np.polyfit(sizes, values, 1)
            residual = float(np.sqrt(np.mean((values - slope * sizes - intercept) ** 2)))
            by_size = defaultdict(list)
            for size, value in zip(sizes, values, strict=True):
                by_size[size].append(float(value))
            spread = max(max(some) - min(some) for some in by_size.values())
            out.append(Slope(vary, figure, float(slope), float(intercept), residual, spread, len(own)))
    return tuple(out)


def quantile(values: Sequence[float], part: float) -> float:
    """Give a value that so large a part of all does not exceed."""
    return float(np.quantile(np.array(values), part, method="higher"))
