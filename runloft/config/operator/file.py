"""Reading of an operator's file, with all checks."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from runloft.config.documents import Document
from runloft.config.faults import Fault
from runloft.config.operator.checks import check_record
from runloft.config.operator.records import OperatorRecord
from runloft.config.schema.reader import Reader
from runloft.config.schema.records import document_of
from runloft.config.schema.toml_file import TomlFile, parse_toml, read_toml


@dataclass(frozen=True, slots=True)
class CheckedFile:
    """An operator's file that was read: its record, its values in the wire's units, and its faults.

    If the file can't be parsed, ``record`` is None and ``document`` is empty.
    """

    file: str
    record: OperatorRecord | None
    document: Document
    faults: tuple[Fault, ...]
    reader: Reader


def check_file(path: str) -> CheckedFile:
    """Read an operator's file and report every fault in it."""
    return _check(path, read_toml(path))


def check_text(path: str, data: bytes) -> CheckedFile:
    """Report every fault in the bytes of an operator's file; ``path`` names the file in faults."""
    return _check(path, parse_toml(path, data))


def read_operator(reader: Reader, document: Mapping[str, Any]) -> OperatorRecord | None:
    """Read and check the record of an operator's file; return None if ``document`` is not a table."""
    record = reader.record(OperatorRecord, document)
    if record is not None:
        reader.add(check_record(record))
    return record


def _check(path: str, toml: TomlFile) -> CheckedFile:
    reader = toml.reader
    record = read_operator(reader, toml.document) if toml.document is not None else None
    document = document_of(record) if record is not None else {}
    reader.faults.sort(key=lambda fault: (fault.line, fault.key, fault.code))
    return CheckedFile(path, record, document, tuple(reader.faults), reader)
