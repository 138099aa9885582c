"""Work out the quantities of the page's rows, and compare them with their budgets."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from runloft.lab.scale.capacity_page import formatting
from runloft.lab.scale.capacity_page.budgets import Budget, Budgets
from runloft.lab.scale.capacity_page.documents import Document
from runloft.lab.scale.capacity_page.estimates import DocumentFigures, Estimate
from runloft.lab.scale.capacity_page.load_cases import ASSUMED_DIMENSIONS, DAY
from runloft.lab.scale.capacity_page.rows import Row
from runloft.lab.scale.capacity_page.sources import EXCEEDED, FASTER, NO_BUDGET, TOO_LOW, Source
from runloft.lab.scale.records import Sizes

SUFFICIENT_SHARE = 0.99  # of what there has to be: counts as all of it
NOTABLE_SHARE = 0.1  # of a figure, from which on it is said to grow with a dimension
ASSUMED_SHARE = 0.01  # of a figure, from which on a guessed size makes it a guess
NO_CONSTANT = 1e-12
INTEGER_ROUNDING = 1e-6


@dataclass(frozen=True, slots=True)
class Usage:
    """The share of a budget that is used, and whether that is too much, or too little of a minimum."""

    share: float
    budget: Budget
    source: Source

    @property
    def is_violation(self) -> bool:
        """Whether the budget is exceeded, or the minimum not reached."""
        return self.share < SUFFICIENT_SHARE if self.budget.is_minimum else self.share > 1

    def __str__(self) -> str:
        verdict = ""
        if self.is_violation:
            verdict = f" {TOO_LOW if self.budget.is_minimum else EXCEEDED}"
        return f"{formatting.percentage(self.share)}{verdict} {self.source}"


class RowFigures:
    """The rows' quantities at any size, from the figures of all documents."""

    def __init__(self, figures: Mapping[Document, DocumentFigures], budgets: Budgets) -> None:
        self.figures = figures
        self.budgets = budgets

    def estimate(self, row: Row, sizes: Sizes, document: Document | None = None) -> Estimate | None:
        """Return a row's quantity; None where a part of it was not measured."""
        if row.without_clients:
            sizes = replace(sizes, clients=0, statements=0.0)
        figures = self.figures[document or row.document]
        required = set(row.required_dimensions)
        if any(not required <= figures.slopes.get(figure, {}).keys() for figure in row.figures):
            return None
        total: Estimate | None = None
        for figure in row.figures:
            estimate = figures.at(figure, sizes)
            if estimate is None:
                return None
            total = total + estimate if total else estimate
        return total.times(row.rate_per_s) if total else None

    def budget(self, row: Row, sizes: Sizes) -> Budget | None:
        """Return a row's budget at a size."""
        if row.budget is None:
            return None
        budget = self.budgets[row.budget]
        if not budget.is_minimum:
            return budget
        # What there has to be follows the size: after a loss, the clients of others arrive.
        return replace(budget, amount=budget.amount * sizes.clients / DAY.clients)

    def usage(self, row: Row, estimate: Estimate, sizes: Sizes) -> Usage | None:
        """Return the share of the budget used, computed or measured, whichever is worse; None without one."""
        budget = self.budget(row, sizes)
        if budget is None:
            return None
        totals = [estimate.total]
        if estimate.measured:
            totals.append(estimate.measured.mean)
        worst = min(totals) if budget.is_minimum else max(totals)
        return Usage(worst / budget.amount, budget, source_of(row, estimate))

    def budget_text(self, row: Row, sizes: Sizes) -> str:
        """Return a row's budget as the page writes it."""
        budget = self.budget(row, sizes)
        if budget is None:
            return NO_BUDGET
        return f"{formatting.number(budget.amount)}{unit_of(row)} {budget.source}"

    def breaks_beyond(self, row: Row, estimate: Estimate, sizes: Sizes) -> str:
        """Return at which size of the largest dimension the budget is exceeded, and what breaks then."""
        budget = self.budget(row, sizes)
        largest = max(estimate.terms, key=lambda term: term.amount, default=None)
        if budget is None or budget.is_minimum or largest is None or largest.amount <= 0:
            return row.breaks_beyond
        size = largest.size + (budget.amount - estimate.total) / largest.slope
        if size < largest.size:
            return f"beyond it already: {row.breaks_beyond}"
        size_text = formatting.sized(largest.dimension, float(int(size + INTEGER_ROUNDING)))
        return f"at {size_text} {source_of(row, estimate)}: {row.breaks_beyond}"


def source_of(row: Row, estimate: Estimate) -> Source:
    """Return whether an estimate is a guess: where its rate is, or a notable part of it follows from one."""
    assumed = sum(abs(term.amount) for term in estimate.terms if term.dimension in ASSUMED_DIMENSIONS)
    is_assumed = row.rate_is_assumed or assumed > ASSUMED_SHARE * abs(estimate.total)
    return Source.ASSUMED if is_assumed else Source.COMPUTED


def unit_of(row: Row) -> str:
    """Return the unit of a row's quantity."""
    unit = formatting.unit(row.figures[0])
    return formatting.UNITS_OF_RATE.get(unit, unit) if row.rate_per_s != 1.0 else unit


def total_text(row: Row, estimate: Estimate) -> str:
    """Return a quantity with its unit and source."""
    return f"{formatting.number(estimate.total)}{unit_of(row)} {source_of(row, estimate)}"


def slopes_text(estimate: Estimate) -> str:
    """Return the sum of slopes by sizes that an estimate is."""
    parts = [
        f"{formatting.number(term.slope)} x {formatting.sized(term.dimension, term.size)}"
        for term in estimate.terms
    ]
    if abs(estimate.constant) > NO_CONSTANT or not parts:
        parts.append(formatting.number(estimate.constant))
    return " + ".join(parts).replace("+ -", "- ")


def growth_text(row: Row, estimate: Estimate) -> str:
    """Return which dimensions a quantity grows with, and how well its lines describe it."""
    threshold = NOTABLE_SHARE * abs(estimate.total)
    growing = [term for term in estimate.terms if abs(term.amount) >= threshold]
    text = ", ".join(f"in {formatting.dimension_title(term.dimension)}" for term in growing) or "constant"
    if row.is_of_scheduler and any(term.dimension == "schedulers" for term in growing):
        text += " (quadratic over all)"
    if estimate.is_convex:
        text += FASTER
    if estimate.residual > threshold:
        text += f", points lie {formatting.number(estimate.residual)} off the line"
    return text
