"""Generate all tables of the page and insert them between their markers."""

import re
from collections.abc import Mapping

from runloft.lab.scale.capacity_page import event_tables, reference_tables, row_tables
from runloft.lab.scale.capacity_page.all_rows import ROWS_BY_ROLE
from runloft.lab.scale.capacity_page.budgets import BUDGETS
from runloft.lab.scale.capacity_page.documents import CapacityError, Document, Documents
from runloft.lab.scale.capacity_page.estimates import figures_of
from runloft.lab.scale.capacity_page.event_figures import EventFigures
from runloft.lab.scale.capacity_page.event_kinds import EVENTS
from runloft.lab.scale.capacity_page.load_cases import AFTER_REGION_LOSS, AFTER_ZONE_LOSS, DAY
from runloft.lab.scale.capacity_page.measured_tables import MEASURED_TABLES
from runloft.lab.scale.capacity_page.over_budget import OverBudget, over_budget, over_budget_table
from runloft.lab.scale.capacity_page.protocol_comparison import protocol_comparison_table
from runloft.lab.scale.capacity_page.row_figures import RowFigures
from runloft.lab.scale.capacity_page.rows import Role

TABLE_PATTERN = re.compile(
    r"(?P<start><!-- table: (?P<name>[a-z0-9-]+) -->\n)(?P<content>.*?)(?P<end><!-- end -->)", re.DOTALL
)
TABLE_START_MARKER = "<!-- table:"


class Page:
    """The tables that follow from a set of documents."""

    def __init__(self, documents: Documents) -> None:
        self.documents = documents
        self.rows = RowFigures(
            {document: figures_of(documents.get(document)) for document in Document}, BUDGETS
        )
        self.events = EventFigures(documents, BUDGETS)

    def tables(self) -> dict[str, str]:
        """Return all tables by name."""
        path_rows = ROWS_BY_ROLE[Role.PATH]
        tables = {
            "documents": reference_tables.documents_table(self.documents),
            "sizes": reference_tables.sizes_table(),
            "state": reference_tables.state_table(),
        }
        for role, rows in ROWS_BY_ROLE.items():
            tables[f"day-{role}"] = row_tables.rows_table(rows, DAY, self.rows)
        for name in MEASURED_TABLES:
            tables[name] = event_tables.measured_table(name, self.documents)
        tables["zone-away"] = row_tables.rows_table(path_rows, AFTER_ZONE_LOSS, self.rows)
        tables["region-away"] = row_tables.rows_table(path_rows, AFTER_REGION_LOSS, self.rows)
        tables["before"] = protocol_comparison_table(self.rows, self.events)
        tables["events"] = event_tables.events_table(self.events)
        for name in EVENTS:
            tables[f"event-{name}"] = event_tables.event_table(name, self.events)
        tables["settings"] = reference_tables.settings_table()
        tables["machines"] = row_tables.machines_table(self.rows)
        tables["over-budget"] = over_budget_table(self.rows, self.events)
        tables["notes"] = reference_tables.notes_table(self.documents)
        tables["first"] = row_tables.largest_shares_table(self.rows)
        return tables

    def over_budget(self) -> list[OverBudget]:
        """Return all violations of budgets."""
        return over_budget(self.rows, self.events)


def fill_tables(text: str, tables: Mapping[str, str]) -> str:
    """Return a page's text with each table inserted between its markers.

    Raise CapacityError if the markers don't match the tables.
    """
    names = [match["name"] for match in TABLE_PATTERN.finditer(text)]
    marker_count = text.count(TABLE_START_MARKER)
    if len(names) != marker_count:
        raise CapacityError(
            f"{len(names)} of {marker_count} table markers are complete; "
            "each needs a valid name and an end marker"
        )
    for name in names:
        if name not in tables:
            raise CapacityError(f'unknown table "{name}"')
        if names.count(name) > 1:
            raise CapacityError(f'table "{name}" appears more than once')
    if missing := [name for name in tables if name not in names]:
        raise CapacityError(f"the page has no markers for tables: {', '.join(missing)}")
    return TABLE_PATTERN.sub(lambda match: f"{match['start']}\n{tables[match['name']]}\n{match['end']}", text)


def differing_tables(text: str, expected_text: str) -> list[str]:
    """Return the names of the tables whose content differs between two versions of the page."""
    pairs = zip(TABLE_PATTERN.finditer(text), TABLE_PATTERN.finditer(expected_text), strict=True)
    return [actual["name"] for actual, expected in pairs if actual["content"] != expected["content"]]
