"""The table that compares the previous protocol with the present one."""

from collections.abc import Sequence

from runloft.lab.scale.capacity_page.all_rows import ROWS
from runloft.lab.scale.capacity_page.documents import Document
from runloft.lab.scale.capacity_page.estimates import Estimate
from runloft.lab.scale.capacity_page.event_figures import EventFigures
from runloft.lab.scale.capacity_page.event_kinds import EVENTS
from runloft.lab.scale.capacity_page.formatting import markdown_table, number
from runloft.lab.scale.capacity_page.load_cases import DAY
from runloft.lab.scale.capacity_page.row_figures import RowFigures, slopes_text, total_text
from runloft.lab.scale.capacity_page.rows import Row
from runloft.lab.scale.capacity_page.sources import CONVEX_SUFFIX, MISSING, Source

HEAD = ("what", "before", "now", "now / before")


def protocol_comparison_table(rows: RowFigures, events: EventFigures) -> str:
    """Return the table of the control plane's rows and events with the previous and the present protocol."""
    lines: list[Sequence[str]] = [_row_cells(row, rows) for row in ROWS if row.document == Document.FULL]
    lines += [
        (
            event.title,
            events.duration_text(name, Document.BEFORE),
            events.duration_text(name, Document.FULL),
            "",
        )
        for name, event in EVENTS.items()
        if events.plays(name, Document.BEFORE)
    ]
    return markdown_table(HEAD, lines)


def _row_cells(row: Row, figures: RowFigures) -> Sequence[str]:
    before = figures.estimate(row, DAY, Document.BEFORE)
    now = figures.estimate(row, DAY, Document.FULL)
    ratio = ""
    if before and now and before.total:
        ratio = f"{number(now.total / before.total)} {Source.COMPUTED}"
    return f"{row.role}: {row.title}", _estimate_text(row, before), _estimate_text(row, now), ratio


def _estimate_text(row: Row, estimate: Estimate | None) -> str:
    if estimate is None:
        return MISSING
    convexity = CONVEX_SUFFIX if estimate.is_convex else ""
    return f"{slopes_text(estimate)} = {total_text(row, estimate)}{convexity}"
