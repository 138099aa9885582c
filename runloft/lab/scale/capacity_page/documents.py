"""The committed result documents that the tables are calculated from."""

from collections.abc import Mapping
from enum import StrEnum
from pathlib import Path
from typing import TypeAlias

from runloft.lab.errors import LaboratoryError
from runloft.lab.scale.records import Result, ResultError, result_from


class CapacityError(LaboratoryError, ValueError):
    """The page or a document is invalid; the message names it and the reason."""


class Document(StrEnum):
    """A document, named by its file name without the suffix."""

    BEFORE = "before"  # the control plane with the previous protocol
    FULL = "full"  # the control plane
    DATA_PATH = "datapath"  # one real scheduler with its clients


Documents: TypeAlias = Mapping[str, Result]  # keyed by the values of Document


def read_documents(directory: Path) -> dict[str, Result]:
    """Return the documents that exist in a directory; raise CapacityError if one can't be parsed."""
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
