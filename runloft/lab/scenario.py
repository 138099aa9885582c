"""Scenario files: TOML, declared as typed records like the program's settings."""

import os
from dataclasses import dataclass

import attrs

from runloft.config.faults import ConfigError, blocking_faults
from runloft.config.fleet.file import read_fleet
from runloft.config.fleet.model import Fleet, Volume
from runloft.config.schema import kinds
from runloft.config.schema.kinds import Boolean, ListOf, Number, Text, count
from runloft.config.schema.reader import Reader
from runloft.config.schema.records import Record, Rows, setting
from runloft.config.schema.toml_file import read_toml
from runloft.lab.load import LoadClass, LoadVolume

SECONDS = Number("seconds", 0.0, 600.0)
NS_PER_S = 1e9


@attrs.frozen
class DemandRecord(Record):
    """The load on one volume of the fleet."""

    volume: str = setting("volume", kinds.name(), description="name of a volume of the fleet")
    class_name: str = setting("class", kinds.name(), description="class of the requests")
    units_per_s: float = setting(
        "units_per_s", Number("units a second", 0.0, 1e5), description="units requested per second"
    )
    units_per_request: float = setting(
        "units", Number("units", above=0.0, maximum=1e3), 2.0, "units of one request"
    )
    surge_factor: float = setting(
        "surge", Number(minimum=0.0, maximum=1e4), 1.0, "multiple of the rate during the surge"
    )
    surge_at_s: float = setting("surge_at_s", SECONDS, 0.0, "start of the surge")
    surge_for_s: float = setting("surge_for_s", SECONDS, 0.0, "duration of the surge")
    retries: int = setting("retries", count(0, 10), 1, "retries of a request that isn't served")


@attrs.frozen
class EditRecord(Record):
    """A change to one application's configuration file, such as a mistyped value."""

    application: str = setting("application", kinds.name(), description="application whose file is changed")
    plan: str = setting("plan", kinds.name(), description="plan whose row is changed")
    key: str = setting("key", kinds.name(), description="key in the row")
    value: float = setting("value", Number(), None, "new value; if absent, the key is removed")


@attrs.frozen
class EventRecord(Record):
    """An event that affects a node during the run."""

    at_s: float = setting("at_s", SECONDS, description="time of the event")
    kind: str = setting("what", Text(("drain", "die", "restart", "pause")), description="kind of event")
    node: str = setting("node", kinds.name(), description="uid of a node of the fleet")
    pause_s: float = setting("for_s", SECONDS, 0.2, "duration of a pause")


@attrs.frozen
class ArmRecord(Record):
    """A variant of the configuration that a run compares with the other arms."""

    name: str = setting("name", kinds.name(), description="name in the report")
    edits: list[int] = setting("edits", ListOf(count(0)), [], "indices of the edits to apply, counted from 0")
    agreement: bool = setting(
        "agreement", Boolean(), False, "roll out the fleet, so that all sidecars serve the same generation"
    )


@attrs.frozen
class ScenarioRecord(Record):
    """The contents of a scenario file."""

    name: str = setting("name", kinds.name(), description="name of the scenario")
    fleet: str = setting(
        "fleet", Text(allow_empty=False), description="path of the fleet file, relative to the scenario file"
    )
    seconds: float = setting(
        "seconds", Number("seconds", 0.5, 600.0), 10.0, "duration of the load in each arm"
    )
    lease_ms: float = setting(
        "lease_ms", kinds.milliseconds(200.0, 60_000.0), 500.0, "lease duration of the agreement"
    )
    demands: list[DemandRecord] = setting("demands", Rows(DemandRecord, 1))
    edits: list[EditRecord] = setting("edits", Rows(EditRecord), [])
    events: list[EventRecord] = setting("events", Rows(EventRecord), [])
    arms: list[ArmRecord] = setting("arms", Rows(ArmRecord, 1))


@dataclass(frozen=True, slots=True)
class Scenario:
    """A validated scenario with its fleet, and the load derived from both."""

    record: ScenarioRecord
    fleet: Fleet
    classes: dict[str, LoadClass]
    volumes: tuple[LoadVolume, ...]


def read_scenario(path: str) -> Scenario:
    """Read a scenario and its fleet; raise ConfigError with the faults that were found."""
    toml = read_toml(path)
    reader = toml.reader
    record = reader.record(ScenarioRecord, toml.document) if toml.document is not None else None
    if record is None or blocking_faults(reader.faults):
        raise ConfigError(reader.faults)
    checked_fleet = read_fleet(os.path.join(os.path.dirname(path), record.fleet))
    fleet = checked_fleet.fleet
    if fleet is None or blocking_faults(checked_fleet.faults):
        raise ConfigError(checked_fleet.faults)
    classes = _load_classes(fleet)
    volumes = _load_volumes(reader, record, fleet, classes)
    _check_edits(reader, record)
    _check_events(reader, record, fleet)
    if blocking_faults(reader.faults):
        raise ConfigError(reader.faults)
    return Scenario(record, fleet, classes, volumes)


def _load_classes(fleet: Fleet) -> dict[str, LoadClass]:
    return {
        row.name: LoadClass(row.name, row.latency_objective / NS_PER_S, row.deadline / NS_PER_S, row.writes)
        for row in fleet.record.classes
    }


def _load_volumes(
    reader: Reader, record: ScenarioRecord, fleet: Fleet, classes: dict[str, LoadClass]
) -> tuple[LoadVolume, ...]:
    """Return the load on each volume; report names that the fleet lacks as faults to the reader."""
    fleet_volumes = {volume.name: volume for volume in fleet.volumes}
    volumes = []
    for index, demand in enumerate(record.demands):
        row = ("demands", str(index))
        volume = fleet_volumes.get(demand.volume)
        if volume is None:
            reader.fault((*row, "volume"), "unknown-volume", f'there is no volume "{demand.volume}"')
        if demand.class_name not in classes:
            reader.fault((*row, "class"), "unknown-class", f'there is no class "{demand.class_name}"')
        if volume is not None:
            volumes.append(_load_volume(demand, volume))
    return tuple(volumes)


def _load_volume(demand: DemandRecord, volume: Volume) -> LoadVolume:
    return LoadVolume(
        name=volume.name,
        id=volume.id,
        plan=volume.plan.name,
        shards=volume.shards,
        sidecars=volume.sidecars,
        class_name=demand.class_name,
        units_per_s=demand.units_per_s,
        units_per_request=demand.units_per_request,
        surge_factor=demand.surge_factor,
        surge_at_s=demand.surge_at_s,
        surge_for_s=demand.surge_for_s,
        retries=demand.retries,
        reserve=volume.plan.reserve,
    )


def _check_edits(reader: Reader, record: ScenarioRecord) -> None:
    for arm_index, arm in enumerate(record.arms):
        for edit_index, edit in enumerate(arm.edits):
            if edit >= len(record.edits):
                key = ("arms", str(arm_index), "edits", str(edit_index))
                reason = f"there is no edit {edit}: the scenario has {len(record.edits)}, counted from 0"
                reader.fault(key, "unknown-edit", reason)


def _check_events(reader: Reader, record: ScenarioRecord, fleet: Fleet) -> None:
    uids = {node.uid for node in fleet.nodes}
    for index, event in enumerate(record.events):
        if event.node not in uids:
            reader.fault(("events", str(index), "node"), "unknown-node", f'there is no node "{event.node}"')
