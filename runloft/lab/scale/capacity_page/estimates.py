"""Figures at any size, from the slopes that were measured along each dimension."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from itertools import pairwise
from statistics import fmean

from runloft.lab.scale.fitting import slopes
from runloft.lab.scale.records import Event, Point, Result, Sizes, Slope, dimensions, with_prefix

# One scheduler with all its clients and their statements.
CLIENTS_AT_WORK = "clients-ask-by-lot"
IDLE_CLIENTS = "clients-rest-uncrowded"
ROUNDING = 1e-9  # of a figure: no slope is made of less
CONVEXITY = 1.5  # the last slope between two sizes by the first, from which on it is faster than its line


@dataclass(frozen=True, slots=True)
class FittedEvent:
    """An event that is measured at several sizes: the dimension, and the prefix of its figures' names."""

    name: str
    dimension: str
    prefix: str


FITTED_EVENTS = (
    FittedEvent(IDLE_CLIENTS, "clients", "rest"),
    FittedEvent(CLIENTS_AT_WORK, "clients", "work"),
)


@dataclass(frozen=True, slots=True)
class Term:
    """One slope by one size."""

    dimension: str
    slope: float
    size: float

    @property
    def amount(self) -> float:
        """What it adds to the figure."""
        return self.slope * self.size


@dataclass(frozen=True, slots=True)
class Measurement:
    """The mean of the points that were measured at a size."""

    mean: float
    points: int


@dataclass(frozen=True, slots=True)
class Estimate:
    """A figure at a size."""

    constant: float
    terms: tuple[Term, ...]
    max_measured: dict[str, float]  # the largest size measured, of each dimension that counts
    measured: Measurement | None  # where there are points at this size
    is_convex: bool  # grows faster than its line within what was measured
    residual: float  # how far points lie off the lines: the largest root of a mean square

    @property
    def total(self) -> float:
        """The figure."""
        return self.constant + sum(term.amount for term in self.terms)

    def times(self, factor: float) -> "Estimate":
        """Return a multiple of the figure."""
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
        """Return the sum of two figures at the same size."""
        return Estimate(
            constant=self.constant + other.constant,
            terms=_added_terms(self.terms, other.terms),
            max_measured=_smaller_of_both(self.max_measured, other.max_measured),
            measured=_added_measurements(self.measured, other.measured),
            is_convex=self.is_convex or other.is_convex,
            residual=self.residual + other.residual,
        )


def _added_terms(terms: Iterable[Term], others: Iterable[Term]) -> tuple[Term, ...]:
    by_dimension = {term.dimension: term for term in terms}
    for term in others:
        same = by_dimension.get(term.dimension)
        by_dimension[term.dimension] = replace(term, slope=term.slope + same.slope) if same else term
    return tuple(by_dimension.values())


def _smaller_of_both(sizes: dict[str, float], others: dict[str, float]) -> dict[str, float]:
    return {
        dimension: min(some[dimension] for some in (sizes, others) if dimension in some)
        for dimension in {**sizes, **others}
    }


def _added_measurements(one: Measurement | None, other: Measurement | None) -> Measurement | None:
    if one is None or other is None:
        return None
    return Measurement(one.mean + other.mean, min(one.points, other.points))


@dataclass(slots=True)
class DocumentFigures:
    """The figures of one document; ``figures_of`` reads them from a result."""

    points: list[Point] = field(default_factory=list)
    clients_at_work: list[Event] = field(default_factory=list)
    slopes: dict[str, dict[str, Slope]] = field(default_factory=dict)  # by figure and dimension

    def at(self, figure: str, sizes: Sizes) -> Estimate | None:
        """Return a figure at a size; None where no slope of it was measured."""
        by_dimension = self.slopes.get(figure, {})
        lines = [by_dimension[name] for name in dimensions() if name in by_dimension]
        if not lines:
            return None
        points = {line.vary: self._points_along(figure, line.vary) for line in lines}
        counted = [line for line in lines if _is_above_spread(line, points[line.vary])]
        constant = max(_constant(line, counted, points[line.vary]) for line in counted or lines[:1])
        return Estimate(
            constant=constant,
            terms=tuple(Term(line.vary, line.slope, sizes.along(line.vary)) for line in counted),
            max_measured=_max_measured(counted, points),
            measured=self._measured_at(figure, sizes, counted),
            is_convex=any(_is_convex(line, points[line.vary]) for line in counted),
            residual=max((line.residual for line in counted), default=0.0),
        )

    def _points_along(self, figure: str, dimension: str) -> list[Point]:
        return [point for point in self.points if point.vary == dimension and figure in point.figures]

    def _measured_at(self, figure: str, sizes: Sizes, counted: Sequence[Slope]) -> Measurement | None:
        if not counted:
            return None
        # One scheduler with its clients at work, rather than points where clients or statements are missing.
        for measured in (self.clients_at_work, self.points):
            values = [
                one.figures[figure]
                for one in measured
                if figure in one.figures
                and all(one.sizes.along(line.vary) == sizes.along(line.vary) for line in counted)
            ]
            if values:
                return Measurement(fmean(values), len(values))
        return None


def figures_of(result: Result | None) -> DocumentFigures:
    """Return a document's figures, with slopes of its points and of the events that have several sizes."""
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
        if fitted.name == CLIENTS_AT_WORK:
            figures.clients_at_work += events
    for line in lines:
        figures.slopes.setdefault(line.figure, {})[line.vary] = line
    return figures


def _is_above_spread(line: Slope, points: Sequence[Point]) -> bool:
    """Return whether a slope shows above what repeats of one size differ by."""
    sizes = [point.sizes.along(line.vary) for point in points]
    if not sizes:
        return True
    max_value = max(abs(point.figures[line.figure]) for point in points)
    return abs(line.slope) * (max(sizes) - min(sizes)) > max(line.spread, ROUNDING * max_value)


def _constant(line: Slope, counted: Sequence[Slope], points: Sequence[Point]) -> float:
    """Return what the terms are added to, so that the sum is this line where the line was measured.

    Lines along several dimensions seldom meet in one point; the caller takes the largest constant.
    """
    if line not in counted:
        return line.intercept + line.slope * fmean(point.sizes.along(line.vary) for point in points)
    base = points[0].sizes if points else Sizes()
    others = (other for other in counted if other is not line)
    return line.intercept - sum(other.slope * base.along(other.vary) for other in others)


def _max_measured(counted: Sequence[Slope], points: dict[str, list[Point]]) -> dict[str, float]:
    return {
        line.vary: max(point.sizes.along(line.vary) for point in points[line.vary])
        for line in counted
        if points[line.vary]
    }


def _is_convex(line: Slope, points: Sequence[Point]) -> bool:
    """Return whether the last step between two sizes is steeper than the first: it grows ever faster."""
    values_by_size: dict[float, list[float]] = {}
    for point in points:
        values = values_by_size.setdefault(point.sizes.along(line.vary), [])
        values.append(point.figures[line.figure])
    means = [(size, fmean(values)) for size, values in sorted(values_by_size.items())]
    if len(means) < 3:
        return False
    steps = [(above[1] - below[1]) / (above[0] - below[0]) for below, above in pairwise(means)]
    is_steeper = steps[0] > 0 and steps[-1] > CONVEXITY * steps[0]
    return is_steeper and abs(means[-1][1] - means[-2][1]) > line.spread
