"""Explanations of keys: type, unit, bounds and default, as declared in the records."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from runloft.config.fleet.records import FleetRecord
from runloft.config.operator.records import OperatorRecord
from runloft.config.schema.records import (
    REQUIRED,
    Constraint,
    Named,
    Record,
    Rows,
    Setting,
    Table,
    settings_of,
)

FLEET_PREFIX = "fleet."


@dataclass(frozen=True, slots=True)
class Key:
    """A dotted key, with ``*`` for row numbers and names, and the record that declares it."""

    path: str
    setting: Setting
    record: type[Record]


@dataclass(frozen=True, slots=True)
class ExplanationLine:
    """One line of an explanation: a label and a text."""

    label: str
    text: str


def keys_of(record: type[Record], prefix: str = "") -> Iterator[Key]:
    """Yield every key of a record and of its nested records."""
    for setting in settings_of(record).values():
        path = f"{prefix}{setting.key}"
        yield Key(path, setting, record)
        kind = setting.kind
        if isinstance(kind, Table | Rows | Named) and kind.record is not Record:
            wildcard = "" if isinstance(kind, Table) else "*."
            yield from keys_of(kind.record, f"{path}.{wildcard}")


def known_keys() -> dict[str, Key]:
    """Return the keys of the operator's and the fleet's file by path; the fleet's start with ``fleet.``."""
    keys = [*keys_of(OperatorRecord), *keys_of(FleetRecord, FLEET_PREFIX)]
    return {key.path: key for key in keys}


def find_keys(query: str) -> list[Key]:
    """Return the keys with the given path, or else those whose path ends with the given segments.

    A ``*`` in a path matches any segment, such as a row number or a name.
    """
    suffix = query.split(".")
    matching = [key for key in known_keys().values() if _ends_with(key.path.split("."), suffix)]
    exact = [key for key in matching if key.path == query]
    return exact or matching


def _ends_with(segments: Sequence[str], suffix: Sequence[str]) -> bool:
    tail = segments[-len(suffix) :]
    if len(tail) != len(suffix):
        return False
    return all(segment in (wanted, "*") for segment, wanted in zip(tail, suffix, strict=True))


def explain(key: Key) -> list[ExplanationLine]:
    """Return the lines of a key's explanation."""
    setting = key.setting
    lines = [ExplanationLine("key", key.path), ExplanationLine("takes", setting.kind.expected)]
    if setting.description:
        lines.append(ExplanationLine("is", setting.description))
    if not isinstance(setting.default, Record):
        lines.append(ExplanationLine("default", _default_text(setting)))
    if not setting.used:
        lines.append(ExplanationLine("note", "accepted and ignored: the program doesn't use it"))
    for constraint in _constraints_on(key):
        remedy = _replace_placeholders(constraint.remedy, key.record)
        lines.append(ExplanationLine("constraint", f"{constraint.code}: requires {remedy}"))
    return lines


def _default_text(setting: Setting) -> str:
    if setting.default is REQUIRED:
        return "none: the key is required"
    return "absent" if setting.default is None else str(setting.default)


def _constraints_on(key: Key) -> list[Constraint]:
    """Return the constraints that involve a key."""
    field = next(name for name, other in settings_of(key.record).items() if other is key.setting)
    return [constraint for constraint in key.record.CONSTRAINTS if field in constraint.fields]


def _replace_placeholders(text: str, record: type[Record]) -> str:
    """Replace each field placeholder in a text by the field's key."""
    for field, setting in settings_of(record).items():
        text = text.replace("{" + field + "}", setting.key).replace("{" + field + ":g}", setting.key)
    return text
