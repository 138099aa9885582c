"""Everything that exceeds its budget, at any size of the page and in any event."""

from collections.abc import Iterator
from typing import NamedTuple

from runloft.lab.scale.capacity_page.all_rows import ROWS
from runloft.lab.scale.capacity_page.event_figures import EventFigures, Plays
from runloft.lab.scale.capacity_page.event_kinds import ALL_COMMITTED, EVENTS, EventKind
from runloft.lab.scale.capacity_page.formatting import markdown_table, number, percentage, sized
from runloft.lab.scale.capacity_page.load_cases import DAY, LOAD_CASES
from runloft.lab.scale.capacity_page.row_figures import RowFigures
from runloft.lab.scale.capacity_page.rows import Role, Row
from runloft.lab.scale.capacity_page.settings_needed import settings_needed
from runloft.lab.scale.capacity_page.sources import EXCEEDED
from runloft.lab.scale.records import Sizes


class OverBudget(NamedTuple):
    """One line of the table: when, what, how much of which budget."""

    when: str
    what: str
    used: str
    budget: str


class JudgedRow(NamedTuple):
    """A row at a size that its budget is judged at."""

    when: str
    row: Row
    sizes: Sizes


def judged_rows() -> list[JudgedRow]:
    """Return every row at the day's size, and those of the data path after each loss."""
    return [
        JudgedRow(when, row, sizes)
        for when, sizes in LOAD_CASES.items()
        for row in ROWS
        if sizes is DAY or row.table == Role.PATH
    ]


def over_budget(rows: RowFigures, events: EventFigures) -> list[OverBudget]:
    """Return everything that exceeds its budget, in the page's order."""
    return [*_rows_over_budget(rows), *_settings_over_budget(rows), *_events_over_budget(events)]


def _rows_over_budget(figures: RowFigures) -> Iterator[OverBudget]:
    for when, row, sizes in judged_rows():
        estimate = figures.estimate(row, sizes)
        if estimate is None:
            continue
        usage = figures.usage(row, estimate, sizes)
        if usage and usage.is_violation:
            yield OverBudget(when, f"{row.table}: {row.title}", str(usage), figures.budget_text(row, sizes))


def _settings_over_budget(figures: RowFigures) -> Iterator[OverBudget]:
    for when, sizes in LOAD_CASES.items():
        for need in settings_needed(sizes):
            if need.budget is None:
                continue
            budget = figures.budgets[need.budget]
            if need.value > budget.amount:
                used = f"{percentage(need.value / budget.amount)} {EXCEEDED} {need.source}"
                yield OverBudget(when, need.title, used, f"{number(budget.amount)} MB {budget.source}")


def _events_over_budget(figures: EventFigures) -> Iterator[OverBudget]:
    for name, event in EVENTS.items():
        for plays in figures.plays(name):
            yield from _plays_over_budget(event, plays, figures)


def _plays_over_budget(event: EventKind, plays: Plays, figures: EventFigures) -> Iterator[OverBudget]:
    when = f"{event.title}, {sized('schedulers', plays.sizes.schedulers)}"
    if plays.failed:
        goal = figures.goal_text(event, ALL_COMMITTED)
        yield OverBudget(when, ALL_COMMITTED, plays.failed_text, goal)
    for figure in event.budgets:
        values = plays.values(figure)
        share = figures.worst_share(event, figure, values)
        if share is not None and share > 1:
            used = figures.worst_text(event, figure, values)
            yield OverBudget(when, figure, used, figures.goal_text(event, figure))


def over_budget_table(rows: RowFigures, events: EventFigures) -> str:
    """Return the table, and how much could not be judged."""
    lines = over_budget(rows, events) or [OverBudget("nothing of what was measured", "", "", "")]
    text = markdown_table(("when", "what", "used", "budget"), lines)
    unmeasured = sum(rows.estimate(judged.row, judged.sizes) is None for judged in judged_rows())
    unmeasured += sum(not events.plays(name) for name in EVENTS)
    if unmeasured:
        text += f"\nNot measured, so not judged: {unmeasured} figures and events.\n"
    return text
