"""The tables of events: an overview, all figures of one event, and measurements of one real scheduler."""

from runloft.lab.scale.capacity_page.documents import Document, Documents
from runloft.lab.scale.capacity_page.event_figures import EventFigures, Plays
from runloft.lab.scale.capacity_page.event_kinds import ALL_COMMITTED_FIGURE, EVENTS
from runloft.lab.scale.capacity_page.formatting import (
    markdown_table,
    median_and_range,
    number,
    size_text,
    unit,
)
from runloft.lab.scale.capacity_page.measured_tables import MEASURED_TABLES, MeasuredTable
from runloft.lab.scale.capacity_page.sources import MISSING, NOT_REACHED, Source
from runloft.lab.scale.records import Sizes

EVENTS_HEAD = (
    "event",
    "frequency",
    "all schedulers converged after",
    "goal",
    "used, worst case",
    "mechanism",
    "what fails first",
)
EVENT_HEAD = ("figure", "median (least to most)", "plays", "at", "budget", "used, worst case")


def events_table(figures: EventFigures) -> str:
    """Return the table of all events."""
    lines = []
    for name, event in EVENTS.items():
        plays = figures.nearest_to_day(name)
        durations = plays.values(ALL_COMMITTED_FIGURE) if plays else []
        lines.append(
            (
                event.title,
                event.frequency,
                figures.duration_text(name),
                figures.budget_text(event, ALL_COMMITTED_FIGURE),
                figures.worst_share_text(event, ALL_COMMITTED_FIGURE, durations),
                event.mechanism,
                event.breaks_beyond,
            )
        )
    return markdown_table(EVENTS_HEAD, lines)


def event_table(name: str, figures: EventFigures) -> str:
    """Return the table of one event with all its figures."""
    event = EVENTS[name]
    all_plays = figures.plays(name)
    measured = {figure for plays in all_plays for play in plays.figures for figure in play}
    lines = []
    for figure in sorted(measured | event.budgets.keys() | {ALL_COMMITTED_FIGURE}):
        budget = figures.budget_text(event, figure)
        if not all_plays:
            lines.append((figure, MISSING, "", "", budget, ""))
        for plays in all_plays:
            values = plays.values(figure)
            lines.append(
                (
                    figure,
                    _values_text(figure, values),
                    f"{len(values)} of {len(plays.figures)}",
                    _sizes_text(plays),
                    budget,
                    figures.worst_share_text(event, figure, values),
                )
            )
    return markdown_table(EVENT_HEAD, lines)


def _values_text(figure: str, values: list[float]) -> str:
    if values:
        return f"{median_and_range(values)}{unit(figure)} {Source.MEASURED}"
    return NOT_REACHED if figure == ALL_COMMITTED_FIGURE else MISSING


def _sizes_text(plays: Plays) -> str:
    return f"{size_text('schedulers', plays.sizes.schedulers)}, {size_text('nodes', plays.sizes.nodes)}"


def measured_table(name: str, documents: Documents) -> str:
    """Return a table of the measurements of one real scheduler, with a row for each event and size."""
    table = MEASURED_TABLES[name]
    result = documents.get(Document.DATA_PATH)
    plays_by_event: dict[tuple[str, Sizes], Plays] = {}
    for event in result.events if result else ():
        if event.name.partition(":")[0] in table.event_titles:
            plays = plays_by_event.setdefault((event.name, event.sizes), Plays(event.sizes, []))
            plays.figures.append(event.figures)
    lines = [_measured_cells(table, event, plays) for (event, _), plays in plays_by_event.items()]
    if not lines:
        lines = [(MISSING, *[""] * (len(table.dimensions) + len(table.figures) + 1))]
    return markdown_table(("what", *table.dimensions, *table.figures, "plays"), lines)


def _measured_cells(table: MeasuredTable, event: str, plays: Plays) -> tuple[str, ...]:
    kind, _, variant = event.partition(":")
    sizes = [number(plays.sizes.along(dimension)) for dimension in table.dimensions]
    cells = []
    for figure in table.figures.values():
        values = plays.values(figure)
        cells.append(f"{median_and_range(values)}{unit(figure)} {Source.MEASURED}" if values else "")
    return f"{table.event_titles[kind]}{variant}", *sizes, *cells, str(len(plays.figures))
