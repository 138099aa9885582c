"""Output of the command-line tools: faults, tables and usage errors."""

import sys
from collections.abc import Iterable, Sequence

from runloft.config.faults import Fault

USAGE_ERROR = 2  # exit status


def usage_error(reason: str) -> int:
    """Print a usage error and return the exit status."""
    print(f"runloft: {reason}", file=sys.stderr)
    return USAGE_ERROR


def print_error(reason: object) -> None:
    """Print an error on standard error."""
    print(f"runloft: {reason}", file=sys.stderr)


def print_faults(faults: Iterable[Fault]) -> None:
    """Print faults on standard error, one per line."""
    for fault in faults:
        print_error(fault)


def print_table(title: str, columns: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    """Print rows as a table on a terminal, or else as columns separated by tabs."""
    if not sys.stdout.isatty():
        print("\t".join(columns))
        for row in rows:
            print("\t".join(row))
        return
    from rich.console import Console
    from rich.table import Table

    table = Table(*columns, title=title)
    for row in rows:
        table.add_row(*row)
    Console().print(table)
