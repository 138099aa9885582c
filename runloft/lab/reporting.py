"""What a run came to: table rows, and a plot of each volume's service over time."""

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

    ``kept`` is the share of its reserve, where requested, that was served in time.
    """
    for report in reports:
        for tally in report.tallies:
            target_s = classes[tally.volume.class_name].target_s
            yield (report.name, *_cells(tally, target_s))


def _cells(tally: Tally, target_s: float) -> tuple[str, ...]:
    volume = tally.volume
    requested = sum(result.arrival.units for result in tally.results)
    refused = sum(result.outcome is RequestOutcome.REFUSED for result in tally.results)
    return (
        volume.name,
        volume.plan,
        f"{requested / tally.seconds:.1f}",
        f"{volume.reserve:g}",
        f"{tally.served_units(target_s) / tally.seconds:.1f}",
        f"{tally.reserve_share(target_s):.3f}" if volume.reserve else "-",
        _milliseconds(tally.latency_quantile_s(0.5)),
        _milliseconds(tally.latency_quantile_s(0.99)),
        f"{refused / max(1, len(tally.results)):.2f}",
    )


def _milliseconds(seconds: float) -> str:
    return "-" if math.isnan(seconds) else f"{seconds * MS_PER_S:.0f}"


def plot(reports: Sequence[ArmReport], classes: dict[str, LoadClass], path: Path) -> None:
    """Draw units a second served in time, a panel for each arm."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    size = (PANEL_WIDTH_INCHES * len(reports), PANEL_HEIGHT_INCHES)
    figure, panels = pyplot.subplots(1, len(reports), figsize=size, sharey=True, squeeze=False)
    for panel, report in zip(panels[0], reports, strict=True):
        for tally in report.tallies:
            target_s = classes[tally.volume.class_name].target_s
            served = tally.served_units_by_second(target_s)
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
