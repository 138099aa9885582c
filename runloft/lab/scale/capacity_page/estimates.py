"""Estimates of figures at any size, from the slopes measured along each dimension."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from itertools import pairwise
from statistics import fmean

from runloft.lab.scale.fitting import slopes
from runloft.lab.scale.records import Event, Point, Result, Sizes, Slope, dimensions, with_prefix

# Names of events: one scheduler whose clients send statements, and one whose clients are idle.
ACTIVE_CLIENTS = "clients-ask-by-lot"
IDLE_CLIENTS = "clients-rest-uncrowded"
ROUNDING_FRACTION = 1e-9  # of a figure; a smaller change is a rounding error, not a slope
# A figure grows faster than its line if its last slope between two sizes exceeds this multiple of the first.
CONVEX_SLOPE_RATIO = 1.5


@dataclass(frozen=True, slots=True)
class FittedEvent:
    """An event measured at several sizes of ``dimension``; ``prefix`` is put before its figures' names."""

    name: str
    dimension: str
    prefix: str


FITTED_EVENTS = (
    FittedEvent(IDLE_CLIENTS, "clients", "rest"),
    FittedEvent(ACTIVE_CLIENTS, "clients", "work"),
)


@dataclass(frozen=True, slots=True)
class Term:
    """The product of one slope and one size."""

    dimension: str
    slope: float
    size: float

    @property
    def amount(self) -> float:
        """The amount that the term adds to the estimate."""
        return self.slope * self.size


@dataclass(frozen=True, slots=True)
class Measurement:
    """The mean of a figure's values measured at one size, and their number."""

    mean: float
    points: int


@dataclass(frozen=True, slots=True)
class Estimate:
    """An estimate of a figure at a size: a constant plus the terms of the significant slopes."""

    constant: float
    terms: tuple[Term, ...]
    max_measured: dict[str, float]  # the largest measured size of each significant dimension
    measured: Measurement | None  # None if nothing was measured at this size
    is_convex: bool  # grows faster than its line within the measured sizes
    residual: float  # the largest root mean square deviation of the points from a line

    @property
    def total(self) -> float:
        """The estimated value."""
        return self.constant + sum(term.amount for term in self.terms)

    def scaled(self, factor: float) -> "Estimate":
        """Return the estimate multiplied by a factor."""
        measured = None
        if self.measured:
            measured = replace(self.measured, mean=self.measured.mean * factor)
        return replace(
            self,
            constant=self.constant * factor,
            terms=tuple(replace(term, slope=term.slope * factor) for term in self.terms),
            measured=measured,
            residual=self.residual * factor,
        )

    def __add__(self, other: "Estimate") -> "Estimate":
        """Return the sum of two estimates at the same size."""
        return Estimate(
            constant=self.constant + other.constant,
            terms=_added_terms(self.terms, other.terms),
            max_measured=_min_by_dimension(self.max_measured, other.max_measured),
            measured=_added_measurements(self.measured, other.measured),
            is_convex=self.is_convex or other.is_convex,
            residual=self.residual + other.residual,
        )


def _added_terms(terms: Iterable[Term], others: Iterable[Term]) -> tuple[Term, ...]:
    by_dimension = {term.dimension: term for term in terms}
    for term in others:
        existing = by_dimension.get(term.dimension)
        by_dimension[term.dimension] = replace(term, slope=term.slope + existing.slope) if existing else term
    return tuple(by_dimension.values())


def _min_by_dimension(sizes: dict[str, float], others: dict[str, float]) -> dict[str, float]:
    return {
        dimension: min(group[dimension] for group in (sizes, others) if dimension in group)
        for dimension in {**sizes, **others}
    }


def _added_measurements(left: Measurement | None, right: Measurement | None) -> Measurement | None:
    if left is None or right is None:
        return None
    return Measurement(left.mean + right.mean, min(left.points, right.points))


@dataclass(slots=True)
class DocumentFigures:
    """The measured points and fitted slopes of one document; ``figures_of`` creates them from a result."""

    points: list[Point] = field(default_factory=list)
    active_client_events: list[Event] = field(default_factory=list)
    slopes: dict[str, dict[str, Slope]] = field(default_factory=dict)  # keyed by figure and dimension

    def estimate_at(self, figure: str, sizes: Sizes) -> Estimate | None:
        """Return the estimate of a figure at a size, or None if the document has no slope of it."""
        by_dimension = self.slopes.get(figure, {})
        lines = [by_dimension[name] for name in dimensions() if name in by_dimension]
        if not lines:
            return None
        points = {line.vary: self._points_along(figure, line.vary) for line in lines}
        significant = [line for line in lines if _is_above_spread(line, points[line.vary])]
        constant = max(_constant(line, significant, points[line.vary]) for line in significant or lines[:1])
        return Estimate(
            constant=constant,
            terms=tuple(Term(line.vary, line.slope, sizes.along(line.vary)) for line in significant),
            max_measured=_max_measured(significant, points),
            measured=self._measured_at(figure, sizes, significant),
            is_convex=any(_is_convex(line, points[line.vary]) for line in significant),
            residual=max((line.residual for line in significant), default=0.0),
        )

    def _points_along(self, figure: str, dimension: str) -> list[Point]:
        return [point for point in self.points if point.vary == dimension and figure in point.figures]

    def _measured_at(self, figure: str, sizes: Sizes, significant: Sequence[Slope]) -> Measurement | None:
        if not significant:
            return None
        # Prefer events with active clients: points may lack the clients or the statements.
        for measured in (self.active_client_events, self.points):
            values = [
                record.figures[figure]
                for record in measured
                if figure in record.figures
                and all(record.sizes.along(line.vary) == sizes.along(line.vary) for line in significant)
            ]
            if values:
                return Measurement(fmean(values), len(values))
        return None


def figures_of(result: Result | None) -> DocumentFigures:
    """Return the figures of a document, with the slopes of its points and of FITTED_EVENTS."""
    if result is None:
        return DocumentFigures()
    figures = DocumentFigures(points=list(result.points))
    lines = list(result.slopes) or list(slopes(result.points))
    for fitted in FITTED_EVENTS:
        events = [event for event in result.events if event.name == fitted.name]
        points = [
            Point(fitted.dimension, event.sizes, event.repeat, 0.0, with_prefix(event.figures, fitted.prefix))
            for event in events
        ]
        figures.points += points
        lines += slopes(points)
        if fitted.name == ACTIVE_CLIENTS:
            figures.active_client_events += events
    for line in lines:
        figures.slopes.setdefault(line.figure, {})[line.vary] = line
    return figures


def _is_above_spread(line: Slope, points: Sequence[Point]) -> bool:
    """Return whether a slope changes the figure by more than repeats of one size differ."""
    sizes = [point.sizes.along(line.vary) for point in points]
    if not sizes:
        return True
    max_value = max(abs(point.figures[line.figure]) for point in points)
    return abs(line.slope) * (max(sizes) - min(sizes)) > max(line.spread, ROUNDING_FRACTION * max_value)


def _constant(line: Slope, significant: Sequence[Slope], points: Sequence[Point]) -> float:
    """Return the constant with which the estimate equals this line at the sizes where it was measured.

    Lines along several dimensions seldom yield the same constant; the caller uses the largest.
    For a line that isn't significant, and so has no term, return its mean over the points.
    """
    if line not in significant:
        return line.intercept + line.slope * fmean(point.sizes.along(line.vary) for point in points)
    base = points[0].sizes if points else Sizes()
    others = (other for other in significant if other is not line)
    return line.intercept - sum(other.slope * base.along(other.vary) for other in others)


def _max_measured(significant: Sequence[Slope], points: dict[str, list[Point]]) -> dict[str, float]:
    return {
        line.vary: max(point.sizes.along(line.vary) for point in points[line.vary])
        for line in significant
        if points[line.vary]
    }


def _is_convex(line: Slope, points: Sequence[Point]) -> bool:
    """Return whether the last slope between two neighbouring sizes is notably steeper than the first."""
    values_by_size: dict[float, list[float]] = {}
    for point in points:
        values = values_by_size.setdefault(point.sizes.along(line.vary), [])
        values.append(point.figures[line.figure])
    means = [(size, fmean(values)) for size, values in sorted(values_by_size.items())]
    if len(means) < 3:
        return False
    slopes_between = [(above[1] - below[1]) / (above[0] - below[0]) for below, above in pairwise(means)]
    is_steeper = slopes_between[0] > 0 and slopes_between[-1] > CONVEX_SLOPE_RATIO * slopes_between[0]
    return is_steeper and abs(means[-1][1] - means[-2][1]) > line.spread
