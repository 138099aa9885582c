"""The tables of rows: quantities at a size, the largest shares of budgets, and the reserved machines."""

from collections.abc import Sequence
from dataclasses import dataclass

from runloft.lab.scale.capacity_page.all_rows import ROWS_BY_ROLE
from runloft.lab.scale.capacity_page.documents import Document
from runloft.lab.scale.capacity_page.estimates import Estimate
from runloft.lab.scale.capacity_page.formatting import markdown_table, number, percentage, size_text
from runloft.lab.scale.capacity_page.load_cases import DAY
from runloft.lab.scale.capacity_page.row_figures import (
    RowFigures,
    growth_text,
    slopes_text,
    source_of,
    total_text,
    unit_of,
)
from runloft.lab.scale.capacity_page.rows import Role, Row
from runloft.lab.scale.capacity_page.sources import MISSING, Source
from runloft.lab.scale.records import Sizes

ROW_HEAD = (
    "what",
    "slope x size",
    "total",
    "measured at this size",
    "largest measured size",
    "grows",
    "budget",
    "used",
    "mechanism",
    "what fails first",
)
RESERVED_MACHINE_COUNT = 5
ROLES_ON_RESERVED_MACHINES = (Role.DISCOVERY, Role.STORE)


@dataclass(frozen=True, slots=True)
class BudgetShare:
    """A row, its estimate, and the share of its budget that it uses."""

    share: float
    row: Row
    estimate: Estimate


def rows_table(rows: Sequence[Row], sizes: Sizes, figures: RowFigures) -> str:
    """Return the table of the given rows at a size."""
    return markdown_table(ROW_HEAD, [_cells(row, sizes, figures) for row in rows])


def _cells(row: Row, sizes: Sizes, figures: RowFigures) -> tuple[str, ...]:
    estimate = figures.estimate(row, sizes)
    budget = figures.budget_text(row, sizes)
    if estimate is None:
        unknown = (MISSING, MISSING, MISSING, "", "", budget, "")
        return row.title, *unknown, row.mechanism, row.breaks_beyond
    usage = figures.usage(row, estimate, sizes)
    return (
        row.title,
        f"{slopes_text(estimate)} {source_of(row, estimate)}",
        total_text(row, estimate),
        _measured_text(row, estimate),
        _max_measured_text(estimate),
        growth_text(row, estimate),
        budget,
        str(usage) if usage else "",
        row.mechanism,
        figures.breaks_beyond(row, estimate, sizes),
    )


def _measured_text(row: Row, estimate: Estimate) -> str:
    measured = estimate.measured
    if measured is None:
        return "no"
    return f"{number(measured.mean)}{unit_of(row)} {Source.MEASURED} ({measured.points})"


def _max_measured_text(estimate: Estimate) -> str:
    sizes = ", ".join(size_text(dimension, size) for dimension, size in estimate.max_measured.items())
    return f"{sizes} {Source.MEASURED}" if sizes else ""


def largest_shares_table(figures: RowFigures) -> str:
    """Return the table of each role's quantity with the largest share of its budget on the ordinary day."""
    lines = []
    for role, rows in ROWS_BY_ROLE.items():
        largest = _largest_share(rows, figures)
        if largest is None:
            lines.append((role, MISSING, ""))
            continue
        row = largest.row
        share = f"{row.title}: {percentage(largest.share)} {source_of(row, largest.estimate)}"
        lines.append((role, share, figures.breaks_beyond(row, largest.estimate, DAY)))
    return markdown_table(("role", "the largest share of a budget", "first failure beyond the budget"), lines)


def _largest_share(rows: Sequence[Row], figures: RowFigures) -> BudgetShare | None:
    shares = []
    for row in rows:
        estimate = figures.estimate(row, DAY)
        budget = figures.budget(row, DAY)
        if estimate is not None and budget is not None and not budget.is_minimum:
            shares.append(BudgetShare(estimate.total / budget.amount, row, estimate))
    return max(shares, key=lambda usage: usage.share, default=None)


def machines_table(figures: RowFigures) -> str:
    """Return the table of the resources used by the roles on the reserved machines."""
    lines = []
    for role in ROLES_ON_RESERVED_MACHINES:
        quantities = (
            (f"{role}.cpu",),
            (f"{role}.resident_mb",),
            (f"{role}.in_bytes_per_s", f"{role}.out_bytes_per_s"),
        )
        lines.append((role, *(_quantity_text(role, names, figures) for names in quantities)))
    lines.append(("reserved machines", f"{RESERVED_MACHINE_COUNT} {Source.SPECIFIED}", "", ""))
    return markdown_table(("role", "processor", "memory", "bytes in and out"), lines)


def _quantity_text(role: Role, names: tuple[str, ...], figures: RowFigures) -> str:
    row = Row(
        role=role,
        title="",
        figures=names,
        document=Document.FULL,
        budget=None,
        mechanism="",
        breaks_beyond="",
    )
    estimate = figures.estimate(row, DAY)
    return total_text(row, estimate) if estimate else MISSING
