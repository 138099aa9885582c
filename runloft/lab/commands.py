"""``runloft lab run SCENARIO``: run a scenario on loopback and print the results of each volume."""

import argparse
import json
import sys
from collections.abc import Sequence
from pathlib import Path

import anyio

from runloft.config.faults import ConfigError
from runloft.config.tool.output import print_table
from runloft.lab.errors import builtin_type_name
from runloft.lab.playing import ArmReport, run_scenario
from runloft.lab.reporting import COLUMNS, plot, rows
from runloft.lab.scenario import Scenario, read_scenario


def run(options: argparse.Namespace) -> int:
    """Run a scenario; return 1 if its file is invalid, the run fails or a rule is violated."""
    try:
        scenario = read_scenario(options.scenario)
    except ConfigError as error:
        for fault in error.faults:
            print(f"runloft: {fault}", file=sys.stderr)
        return 1
    try:
        reports = anyio.run(run_scenario, scenario, options.seed)
    except (RuntimeError, TimeoutError, OSError, ExceptionGroup) as error:
        for leaf in _leaf_errors(error):
            print(f"runloft: {builtin_type_name(leaf)}: {leaf}", file=sys.stderr)
        return 1
    _print_rows(scenario, reports, options)
    if options.plot:
        plot(reports, scenario.classes, Path(options.plot))
    return _print_violations(reports)


def _print_rows(scenario: Scenario, reports: Sequence[ArmReport], options: argparse.Namespace) -> None:
    lines = list(rows(reports, scenario.classes))
    if options.json:
        print(json.dumps([dict(zip(COLUMNS, line, strict=True)) for line in lines], indent=1))
    else:
        title = f"{scenario.record.name}, {scenario.record.seconds:g} s, seed {options.seed}"
        print_table(title, COLUMNS, lines)


def _print_violations(reports: Sequence[ArmReport]) -> int:
    """Print the violations of all arms; return the exit code."""
    for report in reports:
        for violation in report.violations:
            print(f"runloft: {report.name}: {violation}", file=sys.stderr)
    return 1 if any(report.violations for report in reports) else 0


def _leaf_errors(error: Exception) -> list[Exception]:
    """Return the errors of a group, including nested groups, or the error itself."""
    if not isinstance(error, ExceptionGroup):
        return [error]
    return [leaf for nested in error.exceptions for leaf in _leaf_errors(nested)]
