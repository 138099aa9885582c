"""``runloft lab qualify``: play the scenarios, and print a line for each, a table and a JSON line."""

import argparse
import json
import shutil
import tempfile
import time
from collections.abc import Iterator, Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path

from runloft.config.tool.output import usage_error
from runloft.lab.qualify.margins import Limit, Measurement, lost_margins, smallest_margins
from runloft.lab.qualify.scenarios import PLAYS, PlayContext, PlayResult, Scenario
from runloft.lab.qualify.versions import UnknownCommitError, source_of
from runloft.lab.soak.schedule import ScheduleError, parse_seeds

S_PER_MINUTE = 60


@dataclass(frozen=True, slots=True)
class Version:
    """A version that is played; ``source`` is None for the working tree."""

    name: str
    source: Path | None


@dataclass(slots=True)
class Report:
    """The measurements of one version, and its failed plays."""

    version: Version
    measurements: dict[Scenario, list[Measurement]] = field(default_factory=dict)
    failed: list[str] = field(default_factory=list)
    plays: int = 0

    def add(self, scenario: Scenario, seed: int, result: PlayResult) -> None:
        """Add the result of one play."""
        self.plays += 1
        self.measurements.setdefault(scenario, []).extend(result.measurements)
        if not result.has_passed:
            self.failed.append(f"{scenario}/{seed}")

    def rows(self) -> Iterator[tuple[Scenario, Measurement]]:
        """Yield the smallest margin of each scenario and limit."""
        for scenario, measurements in self.measurements.items():
            for measurement in smallest_margins(measurements):
                yield scenario, measurement


def run(options: argparse.Namespace) -> int:
    """Play the scenarios; return 0 if all bounds and margins were kept, 2 for invalid options, else 1."""
    try:
        seeds = parse_seeds(options.seeds)
        scenarios = [Scenario(name) for name in options.scenarios.split(",") if name] or list(Scenario)
        with ExitStack() as stack:
            versions = list(_versions(options, stack))
            reports = _play_all(versions, scenarios, seeds, options)
    except (ScheduleError, UnknownCommitError, ValueError) as error:
        return usage_error(str(error))
    for report in reports:
        _print_table(report)
    lost = _lost(reports)
    for line in lost:
        print(f"margin fallen by more than half against {options.against}: {line}")
    expected_plays = len(scenarios) * len(seeds)
    print(json.dumps(_document(reports, lost, expected_plays)), flush=True)
    current = reports[0]
    is_complete = current.plays == expected_plays
    return 0 if is_complete and not current.failed and not lost else 1


def _versions(options: argparse.Namespace, stack: ExitStack) -> Iterator[Version]:
    """Yield the version that is qualified, and the one that it is compared with."""
    if options.commit:
        yield Version(options.commit, stack.enter_context(source_of(options.commit)))
    else:
        yield Version("working tree", None)
    if options.against:
        yield Version(options.against, stack.enter_context(source_of(options.against)))


def _play_all(
    versions: Sequence[Version], scenarios: Sequence[Scenario], seeds: range, options: argparse.Namespace
) -> list[Report]:
    reports = [Report(version) for version in versions]
    ends_at = time.monotonic() + options.minutes * S_PER_MINUTE
    for seed in seeds:
        for scenario in scenarios:
            if time.monotonic() >= ends_at:
                print("the time is over; the remaining plays were not played")
                return reports
            for report in reports:
                report.add(scenario, seed, _play(scenario, seed, report.version, options))
    return reports


def _play(scenario: Scenario, seed: int, version: Version, options: argparse.Namespace) -> PlayResult:
    with tempfile.TemporaryDirectory(prefix="runloft-qualify-", ignore_cleanup_errors=True) as name:
        folder = Path(name)
        result = PLAYS[scenario](PlayContext(seed, version.source, folder, options.shared_machine))
        verdict = "ok  " if result.has_passed else "FAIL" if result.is_played else "NOT PLAYED"
        print(f"{verdict} {version.name} {scenario} seed {seed}: {result.report}", flush=True)
        if not result.has_passed:
            commit = f" --commit {version.name}" if version.source else ""
            print(f"  again: python -m runloft lab qualify --scenarios {scenario} --seeds {seed}{commit}")
            if options.keep:
                kept = Path(options.keep) / f"{scenario}-{seed}-{version.name.replace(' ', '-')}"
                shutil.copytree(folder, kept, dirs_exist_ok=True)
                print(f"  logs: {kept}")
    return result


def _print_table(report: Report) -> None:
    print(f"\n{report.version.name}: {report.plays} plays, {len(report.failed)} failed")
    print(f"{'scenario':22}{'rule':45}{'bound':>8}{'worst':>10}{'margin':>9}")
    for scenario, row in report.rows():
        margin = f"{row.margin:9.0%}" if row.bound else "        -"
        print(f"{scenario:22}{row.limit:45}{row.bound:8g}{row.worst:10.4g}{margin}")


def _lost(reports: Sequence[Report]) -> list[str]:
    """Return the scenarios and limits whose margin has fallen by more than half."""
    if len(reports) < 2:
        return []
    current, other = reports
    return [
        f"{scenario}: {limit}"
        for scenario, measurements in current.measurements.items()
        for limit in lost_margins(measurements, other.measurements.get(scenario, []))
    ]


def _document(reports: Sequence[Report], lost: Sequence[str], expected_plays: int) -> dict[str, object]:
    """Return the results as one JSON object."""
    return {
        "expected_plays": expected_plays,
        "lost_margins": list(lost),
        "versions": [
            {
                "version": report.version.name,
                "plays": report.plays,
                "failed": report.failed,
                "margins": [_row_document(scenario, row.limit, row) for scenario, row in report.rows()],
            }
            for report in reports
        ],
    }


def _row_document(scenario: Scenario, limit: Limit, row: Measurement) -> dict[str, object]:
    worst = row.worst if row.worst != float("inf") else None
    return {"scenario": scenario, "rule": limit, "bound": row.bound, "worst": worst}
