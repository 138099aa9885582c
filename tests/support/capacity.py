"""Artificial documents for tests of the capacity page, and access to the cells of its tables."""

from dataclasses import replace
from pathlib import Path

from runloft.lab.scale.capacity_page.load_cases import DAY
from runloft.lab.scale.records import Event, Point, Result, Sizes, Slope

PAGE = Path(__file__).parents[2] / "docs" / "CAPACITY.md"
CPU = "scheduler.control.cpu"
BYTES = "scheduler.watch.in_bytes_per_s"


def make_line(vary, figure, slope, constant, sizes, spread=0.0):
    """Return artificial points along one dimension that lie on a line, and the line's slope."""
    points = [
        Point(vary, replace(Sizes(), **{vary: size}), repeat, 10.0, {figure: constant + slope * size})
        for size in sizes
        for repeat in (0, 1)
    ]
    return points, [Slope(vary, figure, slope, constant, 0.0, spread, len(points))]


def make_active_client_events(figure, slope):
    """Return events of one scheduler with active clients; the figure is the slope times the clients."""
    sizes = [replace(DAY, clients=clients, statements=clients / 12.8) for clients in (500, 8000)]
    return [Event("clients-ask-by-lot", size, 0, {figure: slope * size.clients}) for size in sizes]


def make_document(*lines, events=()):
    points = [point for line_points, _ in lines for point in line_points]
    return Result(
        "made up",
        1,
        {},
        tuple(points),
        tuple(slope for _, line_slopes in lines for slope in line_slopes),
        tuple(events),
    )


def make_event(name, duration_s, schedulers=450, **figures):
    return Event(name, Sizes(schedulers, 820), 0, {"all_in_force_s": duration_s} | figures)


# The constant is 0.002: 0.003 less 0.001 for 100 nodes, or 0.0025 less 0.0005 for 50 schedulers.
# The estimate for 450 schedulers and 820 nodes is 0.002 + 0.0045 + 0.0082 = 0.0147.
FULL = make_document(
    make_line("schedulers", CPU, 1e-5, 0.003, (50, 150, 450)),
    make_line("nodes", CPU, 1e-5, 0.0025, (100, 400)),
    events=(make_event("change", 3.0), make_event("change", 5.0), make_event("change-of-primary", 1.0, 150)),
)


def row_cells(tables, table, title):
    """Return the cells of the only row with this title."""
    found = [text for text in tables[table].splitlines() if text.startswith(f"| {title} |")]
    assert len(found) == 1
    return [cell.strip() for cell in found[0].strip("|").split("|")]
