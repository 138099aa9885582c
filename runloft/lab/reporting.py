"""Reports of a run: table rows, and a plot of the units served to each volume over time."""

import math
from collections.abc import Iterator, Sequence
from pathlib import Path

from runloft.lab.load import LoadClass, RequestOutcome, Tally
from runloft.lab.playing import ArmReport

COLUMNS = ("arm", "volume", "plan", "asked/s", "reserve", "in time/s", "kept", "p50 ms", "p99 ms", "refused")
MS_PER_S = 1000
PANEL_WIDTH_INCHES = 5
PANEL_HEIGHT_INCHES = 3.6


def rows(reports: Sequence[ArmReport], classes: dict[str, LoadClass]) -> Iterator[tuple[str, ...]]:
    """Yield a row for each arm and volume.

    "in time" is within the latency objective.  "kept" is the fraction of the reserve that was served in
    time; in each second only the demand counts, up to the reserve.
    """
    for report in reports:
        for tally in report.tallies:
            latency_objective_s = classes[tally.volume.class_name].latency_objective_s
            yield (report.name, *_cells(tally, latency_objective_s))


def _cells(tally: Tally, latency_objective_s: float) -> tuple[str, ...]:
    volume = tally.volume
    requested = sum(result.arrival.units for result in tally.results)
    refused = sum(result.outcome is RequestOutcome.REFUSED for result in tally.results)
    return (
        volume.name,
        volume.plan,
        f"{requested / tally.seconds:.1f}",
        f"{volume.reserve:g}",
        f"{tally.served_units(latency_objective_s) / tally.seconds:.1f}",
        f"{tally.reserve_share(latency_objective_s):.3f}" if volume.reserve else "-",
        _format_ms(tally.latency_quantile_s(0.5)),
        _format_ms(tally.latency_quantile_s(0.99)),
        f"{refused / max(1, len(tally.results)):.2f}",
    )


def _format_ms(seconds: float) -> str:
    return "-" if math.isnan(seconds) else f"{seconds * MS_PER_S:.0f}"


def plot(reports: Sequence[ArmReport], classes: dict[str, LoadClass], path: Path) -> None:
    """Plot the units that were served in time in each second, with a panel for each arm."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    size = (PANEL_WIDTH_INCHES * len(reports), PANEL_HEIGHT_INCHES)
    figure, panels = pyplot.subplots(1, len(reports), figsize=size, sharey=True, squeeze=False)
    for panel, report in zip(panels[0], reports, strict=True):
        for tally in report.tallies:
            latency_objective_s = classes[tally.volume.class_name].latency_objective_s
            served = tally.served_units_by_second(latency_objective_s)
            (line,) = panel.plot(range(len(served)), served, label=tally.volume.name)
            if tally.volume.reserve:
                panel.axhline(tally.volume.reserve, color=line.get_color(), linestyle=":")
        panel.set_title(report.name)
        panel.set_xlabel("seconds")
    panels[0][0].set_ylabel("units/s served in time (dotted: reserve)")
    panels[0][0].legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
