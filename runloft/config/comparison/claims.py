"""The values that each file sets for keys on which all files must agree."""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from runloft.config.documents import KeyPath
from runloft.config.faults import Fault, Severity
from runloft.config.fleet.generator import Generator
from runloft.config.fleet.model import Fleet
from runloft.config.operator.file import CheckedFile
from runloft.config.operator.records import AgreementRecord, ObjectsRecord, OperatorRecord
from runloft.config.operator.settings_records import SHARED_KEYS, ClassRecord, PlanRecord, SettingsRecord
from runloft.config.schema.records import Record, settings_of

LOCAL_AGREEMENT_FIELDS = ("store", "directory", "cut_off")  # may differ between machines
FLEET_TABLES = {"Classes": "classes", "ServiceLevels": "plans"}  # operator's table -> fleet's table

Topic = tuple[str, ...]  # what a value is for: a kind, then names and a key


@dataclass(frozen=True, slots=True)
class Statement:
    """A file's value for a topic, and its key path."""

    topic: Topic
    path: KeyPath
    value: Any


@dataclass(frozen=True, slots=True)
class Claim:
    """A value at a key of one file; where claims differ, the fleet's is taken as correct."""

    source: CheckedFile | Fleet
    path: KeyPath
    value: Any

    @property
    def location(self) -> str:
        """File and line of the value, or the file alone if its text is not known."""
        reader = self.source.reader
        return reader.location(self.path) if reader.text else self.source.file

    def fault(self, code: str, reason: str, remedy: str, severity: Severity = Severity.FAULT) -> Fault:
        """Return a fault at this claim's file, line and key."""
        line = self.source.reader.line(self.path)
        return Fault(self.source.file, line, ".".join(self.path), code, reason, remedy, severity)


def statements_of_operator(record: OperatorRecord) -> Iterator[Statement]:
    """Yield the values in a sidecar's file that must be the same in every sidecar's file."""
    if record.agreement is not None:
        yield from _agreement_statements(record.agreement)
    if record.settings is None:
        return
    yield Statement(("group",), ("settings", "GroupSize"), record.settings.hosts)
    yield from _row_statements("class", "Classes", record.settings.classes or ())
    yield from _row_statements("plan", "ServiceLevels", record.settings.plans or ())
    yield from _figure_statements(record.settings)
    if record.objects is not None:
        yield from _volume_statements(record.objects)


def _agreement_statements(agreement: AgreementRecord) -> Iterator[Statement]:
    for field, setting in settings_of(AgreementRecord).items():
        if setting.used and field not in LOCAL_AGREEMENT_FIELDS:
            path = ("agreement", setting.key)
            yield Statement(path, path, getattr(agreement, field))


def _row_statements(kind: str, table: str, rows: Sequence[ClassRecord | PlanRecord]) -> Iterator[Statement]:
    for index, row in enumerate(rows):
        if row.name is None:
            continue
        for field, setting in settings_of(type(row)).items():
            if field != "name" and setting.used:
                path = ("settings", table, str(index), setting.key)
                yield Statement((kind, row.name, setting.key), path, getattr(row, field))


def _figure_statements(settings: SettingsRecord) -> Iterator[Statement]:
    for field, setting in settings_of(type(settings)).items():
        table: Record | None = getattr(settings, field) if setting.key in SHARED_KEYS else None
        if table is None:
            continue
        for name, inner in settings_of(type(table)).items():
            if inner.key in SHARED_KEYS[setting.key]:
                path = ("settings", setting.key, inner.key)
                yield Statement(("figure", setting.key, inner.key), path, getattr(table, name))


def _volume_statements(objects: ObjectsRecord) -> Iterator[Statement]:
    for name, volume in (objects.volumes or {}).items():
        path = ("objects", "volumes", name)
        if volume.id is not None:
            yield Statement(("volume", name, "id"), (*path, "id"), int(volume.id, 16))
        yield Statement(("volume", name, "plan"), (*path, "plan"), volume.plan)
        yield Statement(("volume", name, "hosts"), (*path, "hosts"), volume.hosts)


def statements_of_fleet(fleet: Fleet) -> Iterator[Statement]:
    """Yield the fleet's values, at the fleet's own keys."""
    record = Generator(fleet).record(0)
    if record is not None:
        for statement in statements_of_operator(record):
            if statement.topic[0] != "volume":
                path = _fleet_path(statement.path, FLEET_TABLES)
                yield Statement(statement.topic, path, statement.value)
    for index, volume in enumerate(fleet.volumes):
        path = ("volumes", str(index))
        yield Statement(("volume", volume.name, "id"), (*path, "id"), volume.id)
        yield Statement(("volume", volume.name, "plan"), (*path, "plan"), volume.plan.name)
        hosts = float(len(volume.sidecars))
        yield Statement(("volume", volume.name, "hosts"), (*path, "sidecars"), hosts)


def _fleet_path(path: KeyPath, tables: Mapping[str, str]) -> KeyPath:
    """Return the fleet's key for a key of an operator's file."""
    return (tables[path[1]], *path[2:]) if path[1] in tables else path
