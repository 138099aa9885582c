"""Reading of a fleet file, with every check.

Its layers are defaults, the fleet (``settings``), the plan and the application.  They are unified, and no
layer overrides another: a volume may restate a figure of its plan, and an application a setting of the
fleet, but only with the same value.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import attrs

from runloft.config.documents import Document
from runloft.config.faults import Fault, Severity
from runloft.config.fleet.checks import check_fleet
from runloft.config.fleet.generated_checks import check_generated_files
from runloft.config.fleet.model import Fleet
from runloft.config.fleet.node_list import read_node_list
from runloft.config.fleet.records import FleetRecord, ServiceRecord
from runloft.config.schema.toml_file import TomlFile, parse_toml, read_toml

LAYER_KEYS = ("settings", "limits")  # tables that are layers of each application's file


@dataclass(frozen=True, slots=True)
class CheckedFleet:
    """A fleet that was read, or None if the file holds none, with every fault of its files."""

    fleet: Fleet | None
    faults: list[Fault]


@dataclass(frozen=True, slots=True)
class _ApplicationLayers:
    """One application's tables, unified with the fleet's tables of the same names."""

    settings: Any
    limits: Any


@dataclass(slots=True)
class _Layers:
    """The tables of a fleet file without a record; they are checked in each application's generated file."""

    settings: Any
    limits: Any
    operations: Any = None
    applications: Sequence[_ApplicationLayers] = field(default_factory=tuple)


def read_fleet(path: str, nodes: str | None = None) -> CheckedFleet:
    """Read a fleet file; ``nodes`` is the path of a node list that replaces the fleet's own nodes."""
    return _check(path, read_toml(path), nodes)


def parse_fleet(path: str, data: bytes) -> CheckedFleet:
    """Parse a fleet file's bytes; ``path`` names the file in faults."""
    return _check(path, parse_toml(path, data), None)


def _check(path: str, toml: TomlFile, nodes: str | None) -> CheckedFleet:
    reader = toml.reader
    if toml.document is None:
        return CheckedFleet(None, reader.faults)
    layers = _layers_of(toml.document)
    record = reader.record(FleetRecord, _without_layers(toml.document))
    if record is None:
        return CheckedFleet(None, reader.faults)
    record = _with_layers(record, layers)
    fleet = Fleet(path, record, reader)
    listed_nodes = None
    if nodes is not None:
        node_list = read_node_list(nodes, record.machines)
        listed_nodes = node_list.nodes
        reader.faults += node_list.faults
    check_fleet(fleet, listed_nodes)
    if not any(fault.severity is Severity.FAULT for fault in fleet.faults):
        check_generated_files(fleet)
    reader.faults.sort(key=lambda fault: (fault.file, fault.line, fault.key, fault.code))
    return CheckedFleet(fleet, reader.faults)


def _layers_of(document: Document) -> _Layers:
    layers = _Layers(document.get("settings"), document.get("limits"))
    service = document.get("service")
    if isinstance(service, dict):
        layers.operations = service.get("classes")
    applications = document.get("applications")
    if isinstance(applications, list):
        tables = [row if isinstance(row, dict) else {} for row in applications]
        layers.applications = [
            _ApplicationLayers(table.get("settings"), table.get("limits")) for table in tables
        ]
    return layers


def _without_layers(document: Document) -> Document:
    """Return a copy of a fleet file's document without its layers."""
    remaining = _without(document, LAYER_KEYS)
    service = document.get("service")
    if isinstance(service, dict):
        remaining["service"] = _without(service, ("classes",))
    applications = document.get("applications")
    if isinstance(applications, list):
        # Not keys of an application, but they have always been ignored and not reported as unknown.
        ignored = ("applications", "classes") if isinstance(service, dict) else ("applications",)
        remaining["applications"] = [
            _without(row, (*LAYER_KEYS, *ignored)) if isinstance(row, dict) else row for row in applications
        ]
    return remaining


def _without(table: Document, keys: Sequence[str]) -> Document:
    return {key: value for key, value in table.items() if key not in keys}


def _with_layers(record: FleetRecord, layers: _Layers) -> FleetRecord:
    applications = [
        attrs.evolve(application, settings=tables.settings, limits=tables.limits)
        for application, tables in zip(record.applications or (), layers.applications, strict=False)
    ]
    service = attrs.evolve(record.service or ServiceRecord(), operations=layers.operations)
    return attrs.evolve(
        record,
        applications=applications,
        service=service,
        settings=layers.settings or {},
        limits=layers.limits or {},
    )
