"""Checks of the files generated from a fleet; their faults are reported at the fleet's own keys."""

from collections.abc import Iterator, Mapping
from dataclasses import replace
from typing import Any

from runloft.config.documents import Document, KeyPath
from runloft.config.faults import Fault
from runloft.config.fleet.generator import Generator
from runloft.config.fleet.model import Fleet
from runloft.config.operator.checks import check_record
from runloft.config.operator.records import OperatorRecord
from runloft.config.schema.reader import Reader
from runloft.config.schema.violations import Violation


def check_generated_files(fleet: Fleet) -> None:
    """Generate every application's file and add its faults to the fleet's."""
    generator = Generator(fleet)
    seen: set[tuple[KeyPath, str]] = set()
    for index, application in enumerate(fleet.record.applications):
        layers = Reader(fleet.file, fleet.reader.text)
        document = generator.document(index, layers)
        # Where layers disagree the generated values are ambiguous, so only the disagreement is reported.
        fleet.reader.faults += [fault for fault in layers.faults if fault not in fleet.reader.faults]
        if layers.faults:
            continue
        for violation in _violations(fleet, document):
            path = _fleet_path(fleet, index, violation.path)
            if (path, violation.code) not in seen:
                seen.add((path, violation.code))
                reason = f"{violation.reason} (in the generated file of {application.name})"
                fleet.reader.add([replace(violation, path=path, reason=reason)])


def _violations(fleet: Fleet, document: Document) -> Iterator[Violation]:
    """Yield a file's violations; checks between its tables run only if reading it gave no fault."""
    reader = Reader(fleet.file)
    record = reader.record(OperatorRecord, document)
    if reader.faults:
        yield from map(_violation_of, reader.faults)
    elif record is not None:
        yield from check_record(record, fleet.live_nodes)


def _violation_of(fault: Fault) -> Violation:
    path = tuple(fault.key.split("."))
    return Violation(path, fault.code, fault.reason, fault.remedy, fault.severity)


def _fleet_path(fleet: Fleet, index: int, path: KeyPath) -> KeyPath:
    """Return the fleet's key that a key of an application's generated file comes from."""
    match path:
        case ("settings", "Classes", *tail):
            return ("classes", *tail)
        case ("settings", "ServiceLevels", *tail):
            return ("plans", *tail)
        case ("settings", "Extra", "ClassWrites", *_):
            return ("classes",)
        case ("settings" | "limits", *_):
            return _layer_path(fleet, index, path)
        case ("objects", "volumes", name, *tail):
            return _volume_path(fleet, index, name, tuple(tail))
        case ("objects", key, *tail) if key != "listen":
            return ("service", key, *tail)
        case ("agreement", *_):
            return path
        case ("objects", *_):
            return ("applications", str(index), "objects_listen")
        case ("admin", *_):
            return ("applications", str(index), "admin_listen")
    return ("applications", str(index), path[0])


def _layer_path(fleet: Fleet, index: int, path: KeyPath) -> KeyPath:
    """Return the application's key if its own layer sets it, else the fleet's."""
    value: Any = getattr(fleet.record.applications[index], path[0])
    for key in path[1:]:
        value = value.get(key) if isinstance(value, Mapping) else None
    return ("applications", str(index), *path) if value is not None else path


def _volume_path(fleet: Fleet, index: int, name: str, tail: KeyPath) -> KeyPath:
    names = [volume.name for volume in fleet.record.volumes]
    if name not in names:
        return ("applications", str(index))
    return ("volumes", str(names.index(name)), *tail)
