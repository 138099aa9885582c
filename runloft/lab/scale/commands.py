"""``runloft lab scale``: measure figures by fleet size and events at one size; print slopes, draw a plot."""

import argparse
import sys
from pathlib import Path

import anyio

from runloft.config.tool.output import usage_error
from runloft.lab.scale.command_line import UsageError, plan_from_options
from runloft.lab.scale.engine import Run, merge_results
from runloft.lab.scale.output import draw_plot, print_tables
from runloft.lab.scale.records import Result, ResultError, result_from


def run(options: argparse.Namespace) -> int:
    """Run; return 0 if everything was measured, 1 if results are missing, 2 for a usage error."""
    try:
        plan = plan_from_options(options)
        earlier = _earlier_result(options)
    except UsageError as error:
        return usage_error(str(error))
    result = anyio.run(Run(plan).run)
    if earlier:
        result = merge_results(earlier, result)
    if options.output:
        Path(options.output).write_text(result.dump())
    print_tables(result)
    if options.plot:
        draw_plot(result, Path(options.plot))
    for note in result.notes:
        print(f"runloft: note: {note}", file=sys.stderr)
    for title in result.missing:
        print(f"runloft: missing: {title}", file=sys.stderr)
    return 1 if result.missing else 0


def _earlier_result(options: argparse.Namespace) -> Result | None:
    """Return the existing result that this run is appended to, if any."""
    if not options.append or not options.output or not Path(options.output).exists():
        return None
    try:
        return result_from(Path(options.output).read_text())
    except ResultError as error:
        raise UsageError(f"--append: {options.output}: {error}") from error
