"""What a run came to: tables, and a plot of each volume's service over time."""

import math
from collections.abc import Iterator, Sequence
from pathlib import Path

from runloft.lab.load import LoadClass
from runloft.lab.running import ArmReport

COLUMNS = ("arm", "volume", "plan", "asked/s", "reserve", "in time/s", "kept", "p50 ms", "p99 ms", "refused")


def rows(reports: Sequence[ArmReport], classes: dict[str, LoadClass]) -> Iterator[tuple[str, ...]]:
    """Give a row for each arm and volume; ``kept``: part of its reserve, where asked for, served in time."""
    for report in reports:
        for tally in report.tallies:
            volume, aim_s = tally.volume, classes[tally.volume.klass].aim_s
            asked = sum(one.arrival.units for one in tally.results)
            in_time = tally.units("served", within_s=aim_s)
            kept = f"{tally.kept(aim_s):.3f}" if volume.reserve else "-"
            refused = sum(one.ending == "refused" for one in tally.results) / max(1, len(tally.results))
            yield (
                report.name,
                volume.name,
                volume.plan,
                f"{asked / tally.seconds:.1f}",
                f"{volume.reserve:g}",
                f"{in_time / tally.seconds:.1f}",
                kept,
                _ms(tally.quantile(0.5)),
                _ms(tally.quantile(0.99)),
                f"{refused:.2f}",
            )


def _ms(seconds: float) -> str:
    return "-" if math.isnan(seconds) else f"{seconds * 1000:.0f}"


def plot(reports: Sequence[ArmReport], classes: dict[str, LoadClass], path: Path) -> None:
    """Draw units a second served in time, a panel for each arm."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    size = (5 * len(reports), 3.6)
    figure, panels = pyplot.subplots(1, len(reports), figsize=size, sharey=True, squeeze=False)
    for panel, report in zip(panels[0], reports, strict=True):
        for tally in report.tallies:
            served = tally.by_second(classes[tally.volume.klass].aim_s, "served")
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
