"""The capacity page: its tables match those generated from the committed documents."""

import re

from runloft.lab.scale.capacity_page.documents import read_documents
from runloft.lab.scale.capacity_page.event_kinds import EVENTS
from runloft.lab.scale.capacity_page.load_cases import DAY
from runloft.lab.scale.capacity_page.page import TABLE_PATTERN, Page, fill_tables
from tests.support.capacity import FULL, PAGE


def test_committed_page_matches_its_documents():
    text = PAGE.read_text()
    assert fill_tables(text, Page(read_documents(PAGE.parent / "capacity")).tables()) == text


def test_each_figure_is_marked_with_its_source():
    """A cell with a figure ends in its source: m, w, g, given or limit."""
    for name, text in Page({"full": FULL}).tables().items():
        if name == "documents":
            continue
        for row in text.splitlines()[2:]:
            for cell in row.strip("|").split("|")[1:]:
                if re.match(r" [0-9][0-9.,]*(%| (?!given|limit|[mwg] )[A-Za-z/]+)? $", cell):
                    assert name.startswith(("event-", "path-")), (name, cell)  # counts of plays, and sizes


def test_page_is_made_for_the_operators_sizes_and_events():
    assert (DAY.schedulers, DAY.nodes, DAY.clients, DAY.statements) == (450, 820, 8222, 644.0)
    assert len(EVENTS) == 12 and TABLE_PATTERN.search("<!-- table: x -->\n<!-- end -->")
