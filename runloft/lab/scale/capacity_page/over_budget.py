"""Violations of budgets by rows, settings and events, at all sizes of the page."""

from collections.abc import Iterator
from typing import NamedTuple

from runloft.lab.scale.capacity_page.all_rows import ROWS
from runloft.lab.scale.capacity_page.event_figures import EventFigures, Plays
from runloft.lab.scale.capacity_page.event_kinds import ALL_COMMITTED_FIGURE, EVENTS, EventKind
from runloft.lab.scale.capacity_page.formatting import markdown_table, number, percentage, size_text
from runloft.lab.scale.capacity_page.load_cases import DAY, LOAD_CASES
from runloft.lab.scale.capacity_page.row_figures import RowFigures
from runloft.lab.scale.capacity_page.rows import Role, Row
from runloft.lab.scale.capacity_page.settings_needed import settings_needed
from runloft.lab.scale.capacity_page.sources import EXCEEDED
from runloft.lab.scale.records import Sizes


class OverBudget(NamedTuple):
    """One line of the table; ``when`` is a load case or an event, ``used`` the share of the budget."""

    when: str
    what: str
    used: str
    budget: str


class CheckedRow(NamedTuple):
    """A row, and a size at which it is compared with its budget."""

    when: str
    row: Row
    sizes: Sizes


def checked_rows() -> list[CheckedRow]:
    """Return all rows at the size of the ordinary day, and those of the data path after each loss."""
    return [
        CheckedRow(when, row, sizes)
        for when, sizes in LOAD_CASES.items()
        for row in ROWS
        if sizes is DAY or row.role == Role.PATH
    ]


def over_budget(rows: RowFigures, events: EventFigures) -> list[OverBudget]:
    """Return all violations of budgets, in the page's order."""
    return [*_rows_over_budget(rows), *_settings_over_budget(rows), *_events_over_budget(events)]


def _rows_over_budget(figures: RowFigures) -> Iterator[OverBudget]:
    for when, row, sizes in checked_rows():
        estimate = figures.estimate(row, sizes)
        if estimate is None:
            continue
        usage = figures.usage(row, estimate, sizes)
        if usage and usage.is_violation:
            yield OverBudget(when, f"{row.role}: {row.title}", str(usage), figures.budget_text(row, sizes))


def _settings_over_budget(figures: RowFigures) -> Iterator[OverBudget]:
    for when, sizes in LOAD_CASES.items():
        for requirement in settings_needed(sizes):
            if requirement.budget is None:
                continue
            budget = figures.budgets[requirement.budget]
            if requirement.value > budget.amount:
                used = f"{percentage(requirement.value / budget.amount)} {EXCEEDED} {requirement.source}"
                yield OverBudget(when, requirement.title, used, f"{number(budget.amount)} MB {budget.source}")


def _events_over_budget(figures: EventFigures) -> Iterator[OverBudget]:
    for name, event in EVENTS.items():
        for plays in figures.plays(name):
            yield from _plays_over_budget(event, plays, figures)


def _plays_over_budget(event: EventKind, plays: Plays, figures: EventFigures) -> Iterator[OverBudget]:
    when = f"{event.title}, {size_text('schedulers', plays.sizes.schedulers)}"
    if plays.failed:
        budget = figures.budget_text(event, ALL_COMMITTED_FIGURE)
        yield OverBudget(when, ALL_COMMITTED_FIGURE, plays.failed_text, budget)
    for figure in event.budgets:
        values = plays.values(figure)
        share = figures.worst_share(event, figure, values)
        if share is not None and share > 1:
            used = figures.worst_share_text(event, figure, values)
            yield OverBudget(when, figure, used, figures.budget_text(event, figure))


def over_budget_table(rows: RowFigures, events: EventFigures) -> str:
    """Return the table of violations, followed by the number of rows and events without a measurement."""
    lines = over_budget(rows, events) or [OverBudget("none of the measured quantities", "", "", "")]
    text = markdown_table(("when", "what", "used", "budget"), lines)
    unmeasured = sum(rows.estimate(checked.row, checked.sizes) is None for checked in checked_rows())
    unmeasured += sum(not events.plays(name) for name in EVENTS)
    if unmeasured:
        text += f"\nNot measured and therefore not checked: {unmeasured} rows and events.\n"
    return text
