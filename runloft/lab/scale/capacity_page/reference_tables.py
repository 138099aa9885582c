"""The tables that contain no measured figures: documents and their notes, sizes, state, settings."""

from runloft.lab.scale.capacity_page.documents import Document, Documents
from runloft.lab.scale.capacity_page.formatting import markdown_table, number, size_text
from runloft.lab.scale.capacity_page.load_cases import (
    AFTER_REGION_LOSS,
    AFTER_ZONE_LOSS,
    ASSUMED_DIMENSIONS,
    DAY,
    LOAD_CASES,
    SPECIFIED_AFTER_REGION_LOSS,
    SPECIFIED_AFTER_ZONE_LOSS,
    SPECIFIED_FOR_DAY,
)
from runloft.lab.scale.capacity_page.settings_needed import settings_needed
from runloft.lab.scale.capacity_page.sources import MISSING, Source
from runloft.lab.scale.capacity_page.state import STATE, StateItem
from runloft.lab.scale.records import Result, dimensions

LOAD_CASE_HEADS = ("ordinary day", "after the loss of a zone", "after the loss of a region")
SIZES_AND_SPECIFIED_DIMENSIONS = (
    (DAY, SPECIFIED_FOR_DAY),
    (AFTER_ZONE_LOSS, SPECIFIED_AFTER_ZONE_LOSS),
    (AFTER_REGION_LOSS, SPECIFIED_AFTER_REGION_LOSS),
)


def documents_table(documents: Documents) -> str:
    """Return the table of the documents: how they were made, and what they contain."""
    lines = [_document_cells(document, documents.get(document)) for document in Document]
    return markdown_table(("document", "made by", "seed", "versions", "holds", "lacks"), lines)


def _document_cells(document: Document, result: Result | None) -> tuple[str, ...]:
    file = f"capacity/{document}.json"
    if result is None:
        return file, MISSING, "", "", "", ""
    versions = ", ".join(f"{name} {version}" for name, version in sorted(result.versions.items()))
    slopes = f"{len(result.slopes)} slopes" if result.slopes else "slopes fitted for this page"
    content = f"{len(result.points)} points, {slopes}, {len(result.events)} events"
    missing = "; ".join(result.missing) or "nothing"
    return file, f"`{result.command}`", str(result.seed), versions, content, missing


def notes_table(documents: Documents) -> str:
    """Return the table of the documents' notes."""
    lines = [(f"capacity/{name}.json", note) for name, result in documents.items() for note in result.notes]
    return markdown_table(("document", "note"), lines or [("none", "")])


def sizes_table() -> str:
    """Return the table of the sizes on the ordinary day and after each loss."""
    lines = []
    for dimension in dimensions():
        cells = [
            f"{number(sizes.along(dimension))} {_size_source(dimension, specified)}"
            for sizes, specified in SIZES_AND_SPECIFIED_DIMENSIONS
        ]
        lines.append((dimension, *cells))
    return markdown_table(("size", *LOAD_CASE_HEADS), lines)


def _size_source(dimension: str, specified: tuple[str, ...]) -> Source:
    if dimension in ASSUMED_DIMENSIONS:
        return Source.ASSUMED
    return Source.SPECIFIED if dimension in specified else Source.COMPUTED


def state_table() -> str:
    """Return the table of the state that each role holds on the ordinary day."""
    head = ("role", "state held", "slope x size", "comes to", "grows", "carried by")
    return markdown_table(head, [_state_cells(item) for item in STATE])


def _state_cells(item: StateItem) -> tuple[str, ...]:
    if item.dimension:
        size = DAY.along(item.dimension)
        source = Source.COMPUTED
        slope = f"{number(item.count)} x {size_text(item.dimension, size)}"
    else:
        size = 1.0
        source = Source.LIMIT
        slope = number(item.count)
    total = f"{number(item.count * size)} {source}"
    return item.role, item.title, f"{slope} {source}", total, item.growth, item.mechanism


def settings_table() -> str:
    """Return the table of the settings required on the ordinary day and after each loss."""
    requirements_by_case = [settings_needed(sizes) for sizes in LOAD_CASES.values()]
    lines = []
    for requirements in zip(*requirements_by_case, strict=True):
        values = [f"{number(requirement.value)} {requirement.source}" for requirement in requirements]
        lines.append((requirements[0].title, *values, requirements[0].reason))
    return markdown_table(("what", *LOAD_CASE_HEADS, "why"), lines)
