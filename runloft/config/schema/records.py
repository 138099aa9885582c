"""Typed records, which declare tables of settings.

A record is an attrs class.  Each field is one ``setting`` that declares key, kind (type, unit, bounds),
default and description; ``CONSTRAINTS`` relate the fields to each other.
``runloft.config.schema.reader`` reads records from a file's values.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, ClassVar, cast

import attrs

from runloft.config.documents import Document
from runloft.config.faults import Severity
from runloft.config.schema.kinds import Kind

REQUIRED = object()


@dataclass(frozen=True, slots=True)
class Constraint:
    """A constraint between fields of one record.

    ``holds`` is called with the values of ``fields``, in this order.  A violation is reported at the first
    of them.  ``reason`` and ``remedy`` are formatted with all fields of the record.
    """

    code: str
    fields: tuple[str, ...]
    holds: Callable[..., bool]
    reason: str
    remedy: str
    severity: Severity = Severity.FAULT

    @property
    def reported_field(self) -> str:
        """The field at which a violation is reported."""
        return self.fields[0]


class Record:
    """The base of all records."""

    CONSTRAINTS: ClassVar[tuple[Constraint, ...]] = ()


@dataclass(frozen=True)
class Table(Kind):
    """A table that is read as one record."""

    record: type[Record]

    @property
    def expected(self) -> str:
        """A description of the accepted values."""
        return "a table"


@dataclass(frozen=True)
class Rows(Kind):
    """A list of tables, each read as one record."""

    record: type[Record]
    min_length: int = 0

    @property
    def expected(self) -> str:
        """A description of the accepted values and the minimum length."""
        return "a list of tables" + (f", at least {self.min_length}" if self.min_length else "")


@dataclass(frozen=True)
class Named(Kind):
    """A table of named tables, each read as one record."""

    record: type[Record]
    names: Kind
    min_length: int = 0

    @property
    def expected(self) -> str:
        """A description of the accepted values and the minimum number of tables."""
        return "tables, each by its name" + (f", at least {self.min_length}" if self.min_length else "")


@dataclass(frozen=True)
class Setting:
    """The declaration of one field; a field that is not ``used`` is accepted and ignored."""

    key: str
    kind: Kind
    default: Any
    description: str
    used: bool


def setting(key: str, kind: Kind, default: Any = REQUIRED, description: str = "", used: bool = True) -> Any:
    """Return an attrs field for a setting; a setting without a default is required."""
    declared = Setting(key, kind, default, description, used)
    initial = None if default is REQUIRED else default
    if isinstance(initial, dict | list):
        return attrs.field(factory=lambda: type(initial)(initial), metadata={"setting": declared})
    return attrs.field(default=initial, metadata={"setting": declared})


def settings_of(record: type[Record]) -> dict[str, Setting]:
    """Return the settings of a record class by field name."""
    return {
        field.name: field.metadata["setting"]
        for field in attrs.fields(cast(Any, record))
        if "setting" in field.metadata
    }


def document_of(record: Record) -> Document:
    """Return a record as a document with the wire's keys and units; omit settings that are None."""
    document: Document = {}
    for field, declared in settings_of(type(record)).items():
        value = getattr(record, field)
        if value is not None:
            document[declared.key] = _plain(value)
    return document


def _plain(value: Any) -> Any:
    match value:
        case Record():
            return document_of(value)
        case list():
            return [document_of(item) if isinstance(item, Record) else item for item in value]
        case dict():
            return {
                name: document_of(item) if isinstance(item, Record) else item for name, item in value.items()
            }
    return value
