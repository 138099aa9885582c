"""Estimate the quantities of the page's rows and compare them with their budgets."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from runloft.lab.scale.capacity_page import formatting
from runloft.lab.scale.capacity_page.budgets import Budget, Budgets
from runloft.lab.scale.capacity_page.documents import Document
from runloft.lab.scale.capacity_page.estimates import DocumentFigures, Estimate
from runloft.lab.scale.capacity_page.load_cases import ASSUMED_DIMENSIONS, DAY
from runloft.lab.scale.capacity_page.rows import Row
from runloft.lab.scale.capacity_page.sources import CONVEX_SUFFIX, EXCEEDED, NO_BUDGET, TOO_LOW, Source
from runloft.lab.scale.records import Sizes

SUFFICIENT_FRACTION = 0.99  # of a minimum; a share of at least this counts as meeting it
NOTABLE_FRACTION = 0.1  # of a figure; a dimension whose term is at least this large is listed
ASSUMED_FRACTION = 0.01  # of a figure; if assumed sizes contribute more, the figure is marked as assumed
NEGLIGIBLE_CONSTANT = 1e-12
INTEGER_TOLERANCE = 1e-6  # rounding errors up to this don't lower a whole size by one


@dataclass(frozen=True, slots=True)
class Usage:
    """The share of a budget that is used."""

    share: float
    budget: Budget
    source: Source

    @property
    def is_violation(self) -> bool:
        """Whether the share exceeds the budget or falls short of the minimum."""
        return self.share < SUFFICIENT_FRACTION if self.budget.is_minimum else self.share > 1

    def __str__(self) -> str:
        verdict = ""
        if self.is_violation:
            verdict = f" {TOO_LOW if self.budget.is_minimum else EXCEEDED}"
        return f"{formatting.percentage(self.share)}{verdict} {self.source}"


class RowFigures:
    """Estimates of the rows' quantities at any size, from the figures of all documents."""

    def __init__(self, figures: Mapping[Document, DocumentFigures], budgets: Budgets) -> None:
        self.figures = figures
        self.budgets = budgets

    def estimate(self, row: Row, sizes: Sizes, document: Document | None = None) -> Estimate | None:
        """Return the estimate of a row's quantity at a size, or None if a part of it was not measured."""
        if row.without_clients:
            sizes = replace(sizes, clients=0, statements=0.0)
        figures = self.figures[document or row.document]
        required = set(row.required_dimensions)
        if any(not required <= figures.slopes.get(figure, {}).keys() for figure in row.figures):
            return None
        total: Estimate | None = None
        for figure in row.figures:
            estimate = figures.estimate_at(figure, sizes)
            if estimate is None:
                return None
            total = total + estimate if total else estimate
        return total.scaled(row.rate_per_s) if total else None

    def budget(self, row: Row, sizes: Sizes) -> Budget | None:
        """Return a row's budget at a size, or None if it has none."""
        if row.budget is None:
            return None
        budget = self.budgets[row.budget]
        if not budget.is_minimum:
            return budget
        # The minimum is proportional to the clients: after a loss, clients of the lost schedulers arrive.
        return replace(budget, amount=budget.amount * sizes.clients / DAY.clients)

    def usage(self, row: Row, estimate: Estimate, sizes: Sizes) -> Usage | None:
        """Return the worse of the estimated and the measured share of a row's budget, or None without one."""
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
        """Return the size at which growth of the largest term exceeds the budget, and what breaks then."""
        budget = self.budget(row, sizes)
        largest = max(estimate.terms, key=lambda term: term.amount, default=None)
        if budget is None or budget.is_minimum or largest is None or largest.amount <= 0:
            return row.breaks_beyond
        size = largest.size + (budget.amount - estimate.total) / largest.slope
        if size < largest.size:
            return f"already exceeded: {row.breaks_beyond}"
        size_text = formatting.size_text(largest.dimension, float(int(size + INTEGER_TOLERANCE)))
        return f"at {size_text} {source_of(row, estimate)}: {row.breaks_beyond}"


def source_of(row: Row, estimate: Estimate) -> Source:
    """Return ASSUMED if the row's rate or a notable part of the estimate is assumed, else COMPUTED."""
    assumed = sum(abs(term.amount) for term in estimate.terms if term.dimension in ASSUMED_DIMENSIONS)
    is_assumed = row.rate_is_assumed or assumed > ASSUMED_FRACTION * abs(estimate.total)
    return Source.ASSUMED if is_assumed else Source.COMPUTED


def unit_of(row: Row) -> str:
    """Return the unit of a row's quantity."""
    unit = formatting.unit(row.figures[0])
    return formatting.UNITS_OF_RATE.get(unit, unit) if row.rate_per_s != 1.0 else unit


def total_text(row: Row, estimate: Estimate) -> str:
    """Return an estimate's total with its unit and source."""
    return f"{formatting.number(estimate.total)}{unit_of(row)} {source_of(row, estimate)}"


def slopes_text(estimate: Estimate) -> str:
    """Return an estimate as a sum of products of slope and size, and its constant."""
    parts = [
        f"{formatting.number(term.slope)} x {formatting.size_text(term.dimension, term.size)}"
        for term in estimate.terms
    ]
    if abs(estimate.constant) > NEGLIGIBLE_CONSTANT or not parts:
        parts.append(formatting.number(estimate.constant))
    return " + ".join(parts).replace("+ -", "- ")


def growth_text(row: Row, estimate: Estimate) -> str:
    """Return the dimensions that a quantity grows with, and how far its points deviate from the lines."""
    threshold = NOTABLE_FRACTION * abs(estimate.total)
    growing = [term for term in estimate.terms if abs(term.amount) >= threshold]
    text = ", ".join(f"in {formatting.dimension_title(term.dimension)}" for term in growing) or "constant"
    if row.is_per_scheduler and any(term.dimension == "schedulers" for term in growing):
        text += " (quadratic for the whole fleet)"
    if estimate.is_convex:
        text += CONVEX_SUFFIX
    if estimate.residual > threshold:
        text += f", points deviate from the line by {formatting.number(estimate.residual)}"
    return text
