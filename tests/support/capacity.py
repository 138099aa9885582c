"""Made-up documents of the page about capacity, and the cells of its tables."""

from dataclasses import replace
from pathlib import Path

from runloft.lab.scale.capacity_page.load_cases import DAY
from runloft.lab.scale.records import Event, Point, Result, Sizes, Slope

PAGE = Path(__file__).parents[2] / "docs" / "CAPACITY.md"
CPU = "scheduler.control.cpu"
BYTES = "scheduler.watch.in_bytes_per_s"


def make_line(vary, figure, slope, constant, sizes, spread=0.0):
    """Make the points of one dimension that lie on a line, and its slope: made up, never on the page."""
    points = [
        Point(vary, replace(Sizes(), **{vary: size}), repeat, 10.0, {figure: constant + slope * size})
        for size in sizes
        for repeat in (0, 1)
    ]
    return points, [Slope(vary, figure, slope, constant, 0.0, spread, len(points))]


def at_work(figure, slope):
    """Make one scheduler's events with clients at work."""
    sizes = [replace(DAY, clients=clients, statements=clients / 12.8) for clients in (500, 8000)]
    return [Event("clients-ask-by-lot", one, 0, {figure: slope * one.clients}) for one in sizes]


def make_document(*lines, events=()):
    points = [point for some, _ in lines for point in some]
    return Result("made up", 1, {}, tuple(points), tuple(s for _, some in lines for s in some), tuple(events))


def make_event(name, took, schedulers=450, **figures):
    return Event(name, Sizes(schedulers, 820), 0, {"all_in_force_s": took} | figures)


# 0.002 + 0.00001 a scheduler, and of 100 nodes 0.001 of them: at 450 and 820, 0.002 + 0.0045 + 0.0072.
FULL = make_document(
    make_line("schedulers", CPU, 1e-5, 0.003, (50, 150, 450)),
    make_line("nodes", CPU, 1e-5, 0.0025, (100, 400)),
    events=(make_event("change", 3.0), make_event("change", 5.0), make_event("change-of-primary", 1.0, 150)),
)


def row_cells(tables, table, what):
    """Return one row's cells."""
    found = [text for text in tables[table].splitlines() if text.startswith(f"| {what} |")]
    assert len(found) == 1
    return [cell.strip() for cell in found[0].strip("|").split("|")]
