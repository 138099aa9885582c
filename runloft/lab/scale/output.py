"""Print and draw the result of a scale run."""

import sys
from pathlib import Path

from runloft.config.tool.output import print_table
from runloft.lab.scale.records import Result

PLOT_COLUMNS = 4
PANEL_WIDTH_INCHES = 4.0
PANEL_HEIGHT_INCHES = 2.6
FONT_SIZE = 8


def print_tables(result: Result) -> None:
    """Print the points, slopes and events as tables."""
    points = [
        (point.vary, f"{point.sizes.along(point.vary):g}", str(point.repeat), name, f"{value:.6g}")
        for point in result.points
        for name, value in sorted(point.figures.items())
    ]
    slopes = [
        (
            slope.vary,
            slope.figure,
            f"{slope.slope:.4g}",
            f"{slope.intercept:.4g}",
            f"{slope.residual:.4g}",
            f"{slope.spread:.4g}",
        )
        for slope in result.slopes
    ]
    events = [
        (event.name, str(event.repeat), name, f"{value:.6g}")
        for event in result.events
        for name, value in event.figures.items()
    ]
    if points:
        print_table("Points", ("dimension", "size", "repeat", "figure", "value"), points)
    if slopes:
        print_table("Slopes", ("dimension", "figure", "slope", "intercept", "residual", "spread"), slopes)
    if events:
        print_table("Events", ("event", "repeat", "figure", "value"), events)


def draw_plot(result: Result, path: Path) -> None:
    """Plot each fitted figure by size, with its fitted line, in a panel of its own."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    slopes = result.slopes
    if not slopes:
        print("runloft: nothing to plot: no dimension has two sizes", file=sys.stderr)
        return
    rows = -(-len(slopes) // PLOT_COLUMNS)
    figure, panels = pyplot.subplots(
        rows,
        PLOT_COLUMNS,
        figsize=(PANEL_WIDTH_INCHES * PLOT_COLUMNS, PANEL_HEIGHT_INCHES * rows),
        squeeze=False,
    )
    for panel, slope in zip(panels.flat, slopes, strict=False):
        points = [
            point for point in result.points if point.vary == slope.vary and slope.figure in point.figures
        ]
        sizes = [point.sizes.along(slope.vary) for point in points]
        ends = (min(sizes), max(sizes))
        panel.plot(sizes, [point.figures[slope.figure] for point in points], "o")
        panel.plot(ends, [slope.intercept + slope.slope * size for size in ends], "-")
        panel.set_title(slope.figure, fontsize=FONT_SIZE)
        panel.set_xlabel(slope.vary, fontsize=FONT_SIZE)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
