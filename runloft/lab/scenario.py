"""Scenarios: typed records in TOML, as all of the program's settings."""

import os
from dataclasses import dataclass

import attrs

from runloft.config import kinds
from runloft.config.faults import ConfigError, serious
from runloft.config.fleet import Fleet, Volume, read_fleet
from runloft.config.kinds import Flag, Number, Several, Text, count
from runloft.config.operator import read_toml
from runloft.config.records import Reader, Record, Rows, setting
from runloft.lab.load import LoadClass, LoadVolume

SECONDS = Number("seconds", 0.0, 600.0)
NS_PER_S = 1e9


@attrs.frozen
class DemandRecord(Record):
    """What one volume of the fleet asks for."""

    volume: str = setting("volume", kinds.name(), account="of the fleet, by name")
    class_name: str = setting("class", kinds.name(), account="of its requests")
    rate: float = setting("units_per_s", Number("units a second", 0.0, 1e5), account="that it asks for")
    units: float = setting("units", Number("units", above=0.0, most=1e3), 2.0, "of one request")
    surge: float = setting("surge", Number(least=0.0, most=1e4), 1.0, "multiple of its rate in a surge")
    surge_at: float = setting("surge_at_s", SECONDS, 0.0, "when the surge begins")
    surge_for: float = setting("surge_for_s", SECONDS, 0.0, "how long it lasts")
    retries: int = setting("retries", count(0, 10), 1, "of its clients, when refused")


@attrs.frozen
class EditRecord(Record):
    """A change to the file beside one application: the mistyping that is looked into."""

    application: str = setting("application", kinds.name(), account="whose file")
    table: str = setting("plan", kinds.name(), account="the plan whose row it is")
    key: str = setting("key", kinds.name(), account="the key in the row")
    value: float = setting("value", Number(), None, "what stands there instead; absent: the key is gone")


@attrs.frozen
class EventRecord(Record):
    """Something that happens to a node."""

    at: float = setting("at_s", SECONDS, account="when")
    what: str = setting("what", Text(("drain", "die", "restart", "pause")), account="what")
    node: str = setting("node", kinds.name(), account="of the fleet, by uid")
    seconds: float = setting("for_s", SECONDS, 0.2, "how long a pause lasts")


@attrs.frozen
class ArmRecord(Record):
    """One of the versions or settings that are compared in one run."""

    name: str = setting("name", kinds.name(), account="in the report")
    edits: list[int] = setting("edits", Several(count(0)), [], "which edits are made, counted from 0")
    agreement: bool = setting("agreement", Flag(), False, "the fleet is rolled out, and all go by it")


@attrs.frozen
class ScenarioRecord(Record):
    """A scenario."""

    name: str = setting("name", kinds.name(), account="of the scenario")
    fleet: str = setting("fleet", Text(empty=False), account="the fleet file, beside this one")
    seconds: float = setting("seconds", Number("seconds", 0.5, 600.0), 10.0, "of load, for each arm")
    lease: float = setting("lease_ms", kinds.milliseconds(200.0, 60_000.0), 500.0, "of the agreement")
    demands: list[DemandRecord] = setting("demands", Rows(DemandRecord, 1))
    edits: list[EditRecord] = setting("edits", Rows(EditRecord), [])
    events: list[EventRecord] = setting("events", Rows(EventRecord), [])
    arms: list[ArmRecord] = setting("arms", Rows(ArmRecord, 1))


@dataclass(frozen=True, slots=True)
class Scenario:
    """A scenario that was read, with its fleet."""

    record: ScenarioRecord
    fleet: Fleet
    classes: dict[str, LoadClass]
    volumes: tuple[LoadVolume, ...]


def read_scenario(path: str) -> Scenario:
    """Read a scenario and its fleet; raise ConfigError with every fault."""
    reader, document = read_toml(path)
    record = reader.record(ScenarioRecord, document) if document is not None else None
    if record is None or serious(reader.faults):
        raise ConfigError(reader.faults)
    fleet, faults = read_fleet(os.path.join(os.path.dirname(path), record.fleet))
    if fleet is None or serious(faults):
        raise ConfigError(faults)
    classes = _load_classes(fleet)
    volumes = _load_volumes(reader, record, fleet, classes)
    _check_edits(reader, record)
    _check_events(reader, record, fleet)
    if serious(reader.faults):
        raise ConfigError(reader.faults)
    return Scenario(record, fleet, classes, volumes)


def _load_classes(fleet: Fleet) -> dict[str, LoadClass]:
    return {
        row.name: LoadClass(row.name, row.target / NS_PER_S, row.hard_limit / NS_PER_S, row.writes)
        for row in fleet.record.classes
    }


def _load_volumes(
    reader: Reader, record: ScenarioRecord, fleet: Fleet, classes: dict[str, LoadClass]
) -> tuple[LoadVolume, ...]:
    """Return the demands on the fleet's volumes; names that the fleet lacks are faults of the reader."""
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
        units_per_s=demand.rate,
        units=demand.units,
        surge=demand.surge,
        surge_at_s=demand.surge_at,
        surge_for_s=demand.surge_for,
        retries=demand.retries,
        reserve=volume.plan.reserve,
    )


def _check_edits(reader: Reader, record: ScenarioRecord) -> None:
    for arm_index, arm in enumerate(record.arms):
        for edit_index, edit in enumerate(arm.edits):
            if edit >= len(record.edits):
                key = ("arms", str(arm_index), "edits", str(edit_index))
                reader.fault(key, "unknown-edit", f"there are {len(record.edits)} edits")


def _check_events(reader: Reader, record: ScenarioRecord, fleet: Fleet) -> None:
    uids = {node.uid for node in fleet.nodes}
    for index, event in enumerate(record.events):
        if event.node not in uids:
            reader.fault(("events", str(index), "node"), "unknown-node", f'there is no node "{event.node}"')
