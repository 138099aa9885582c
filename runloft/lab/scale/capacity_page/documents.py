"""The committed documents that the page is worked out from."""

from collections.abc import Mapping
from enum import StrEnum
from pathlib import Path
from typing import TypeAlias

from runloft.lab.errors import LaboratoryError
from runloft.lab.scale.records import Result, ResultError, result_from


class CapacityError(LaboratoryError, ValueError):
    """A page or a document that no table can be made for; says which and why."""


class Document(StrEnum):
    """A document, by its file's name without the suffix."""

    BEFORE = "before"  # the control plane with the protocol before the present one
    FULL = "full"  # the control plane
    DATA_PATH = "datapath"  # one real scheduler with its clients


Documents: TypeAlias = Mapping[str, Result]  # by the values of Document


def read_documents(directory: Path) -> dict[str, Result]:
    """Return the documents that are there; raise CapacityError for one that is no result."""
    results: dict[str, Result] = {}
    for document in Document:
        path = directory / f"{document}.json"
        if not path.exists():
            continue
        try:
            results[document] = result_from(path.read_text())
        except ResultError as error:
            raise CapacityError(f"{path}: {error}") from error
    return results
