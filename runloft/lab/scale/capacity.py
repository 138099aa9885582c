"""``runloft lab capacity PAGE``: write or check the tables of docs/CAPACITY.md.

Each cell states its source: m is measured, w is calculated, g is a guess, ``given`` is specified by the
operators, ``limit`` is a limit of the program or its platform.  A figure without a slope is shown as
``not measured``.
"""

import argparse
import sys
from pathlib import Path

from runloft.lab.scale.capacity_page.documents import CapacityError, read_documents
from runloft.lab.scale.capacity_page.page import Page, differing_tables, fill_tables

DOCUMENTS_DIRECTORY = "capacity"  # beside the page


def run(options: argparse.Namespace) -> int:
    """Write or check the tables; return 1 if they differ or can't be generated."""
    path = Path(options.page)
    try:
        text = path.read_text()
        tables = Page(read_documents(path.parent / DOCUMENTS_DIRECTORY)).tables()
        expected = fill_tables(text, tables)
    except (OSError, CapacityError) as error:
        print(f"runloft: {path}: {error}", file=sys.stderr)
        return 1
    if not options.check:
        path.write_text(expected)
        return 0
    differing = differing_tables(text, expected)
    for name in differing:
        print(
            f"runloft: {path}: table {name} differs from the documents; run without --check to update it",
            file=sys.stderr,
        )
    return 1 if differing else 0
