"""Typed records: how a table of settings is declared.

A record is an attrs class.  Each field is one ``setting``: key, kind (type, unit, bounds), default and
description stand in this one place; ``CONSTRAINTS`` beside the fields relate them to each other.
``runloft.config.reader`` reads records out of a file's values.
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

    ``holds`` is called with the named fields, in their order; the fault is reported at the first of them.
    ``reason`` and ``remedy`` are formatted with all fields of the record.
    """

    code: str
    fields: tuple[str, ...]
    holds: Callable[..., bool]
    reason: str
    remedy: str
    severity: Severity = Severity.FAULT

    @property
    def reported_field(self) -> str:
        """The field at which the fault is reported."""
        return self.fields[0]


class Record:
    """The base of all records."""

    CONSTRAINTS: ClassVar[tuple[Constraint, ...]] = ()


@dataclass(frozen=True)
class Table(Kind):
    """A table that is one record."""

    record: type[Record]

    @property
    def expected(self) -> str:
        """The form."""
        return "a table"


@dataclass(frozen=True)
class Rows(Kind):
    """A list of tables, each one record."""

    record: type[Record]
    min_length: int = 0

    @property
    def expected(self) -> str:
        """The form and the least length."""
        return "a list of tables" + (f", at least {self.min_length}" if self.min_length else "")


@dataclass(frozen=True)
class Named(Kind):
    """Tables by name, each one record."""

    record: type[Record]
    names: Kind
    min_length: int = 0

    @property
    def expected(self) -> str:
        """The form and the least number of tables."""
        return "tables, each by its name" + (f", at least {self.min_length}" if self.min_length else "")


@dataclass(frozen=True)
class Setting:
    """The declaration of one field; one that is not ``used`` is known and passed over."""

    key: str
    kind: Kind
    default: Any
    description: str
    used: bool


def setting(key: str, kind: Kind, default: Any = REQUIRED, description: str = "", used: bool = True) -> Any:
    """Return an attrs field for a setting; without a default it must be given."""
    declared = Setting(key, kind, default, description, used)
    initial = None if default is REQUIRED else default
    if isinstance(initial, dict | list):
        return attrs.field(factory=lambda: type(initial)(initial), metadata={"setting": declared})
    return attrs.field(default=initial, metadata={"setting": declared})


def settings_of(record: type[Record]) -> dict[str, Setting]:
    """Return a record's settings by field name."""
    return {
        field.name: field.metadata["setting"]
        for field in attrs.fields(cast(Any, record))
        if "setting" in field.metadata
    }


def document_of(record: Record) -> Document:
    """Return a record as the wire names and counts it; absent settings are left out."""
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
