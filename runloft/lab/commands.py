"""``runloft lab run SCENARIO``: plays a scenario on loopback and prints what each volume got."""

import argparse
import json
import sys
from pathlib import Path

import anyio

from runloft.config.faults import ConfigError
from runloft.config.tool.output import print_table
from runloft.lab.reporting import COLUMNS, plot, rows
from runloft.lab.running import ArmReport, play
from runloft.lab.scenario import read_scenario


def run(options: argparse.Namespace) -> int:
    """Run a scenario; 1 where a rule was broken or the run came to nothing."""
    try:
        scenario = read_scenario(options.scenario)
    except ConfigError as error:
        for fault in error.faults:
            print(f"runloft: {fault}", file=sys.stderr)
        return 1
    try:
        reports = anyio.run(play, scenario, options.seed)
    except (RuntimeError, TimeoutError, OSError, ExceptionGroup) as error:
        for one in _leaves(error):
            print(f"runloft: {type(one).__name__}: {one}", file=sys.stderr)
        return 1
    found = list(rows(reports, scenario.classes))
    if options.json:
        print(json.dumps([dict(zip(COLUMNS, row, strict=True)) for row in found], indent=1))
    else:
        print_table(
            f"{scenario.record.name}, {scenario.record.seconds:g} s, seed {options.seed}", COLUMNS, found
        )
    if options.plot:
        plot(reports, scenario.classes, Path(options.plot))
    return _broken(reports)


def _broken(reports: list[ArmReport]) -> int:
    for report in reports:
        for text in report.broken:
            print(f"runloft: {report.name}: {text}", file=sys.stderr)
    return 1 if any(report.broken for report in reports) else 0


def _leaves(error: Exception) -> list[Exception]:
    if not isinstance(error, ExceptionGroup):
        return [error]
    return [leaf for one in error.exceptions for leaf in _leaves(one)]
