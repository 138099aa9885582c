"""Scenarios: typed records in TOML, as all of the program's settings."""

import os
from dataclasses import dataclass

import attrs

from runloft.config.faults import ConfigError, blocking_faults
from runloft.config.fleet.file import read_fleet
from runloft.config.fleet.model import Fleet
from runloft.config.schema import kinds
from runloft.config.schema.kinds import Boolean, ListOf, Number, Text, count
from runloft.config.schema.records import Record, Rows, setting
from runloft.config.schema.toml_file import read_toml
from runloft.lab.load import LoadClass, LoadVolume

SECONDS = Number("seconds", 0.0, 600.0)


@attrs.frozen
class DemandRecord(Record):
    """What one volume of the fleet asks for."""

    volume: str = setting("volume", kinds.name(), description="of the fleet, by name")
    klass: str = setting("class", kinds.name(), description="of its requests")
    rate: float = setting("units_per_s", Number("units a second", 0.0, 1e5), description="that it asks for")
    units: float = setting("units", Number("units", above=0.0, maximum=1e3), 2.0, "of one request")
    surge: float = setting("surge", Number(minimum=0.0, maximum=1e4), 1.0, "multiple of its rate in a surge")
    surge_at: float = setting("surge_at_s", SECONDS, 0.0, "when the surge begins")
    surge_for: float = setting("surge_for_s", SECONDS, 0.0, "how long it lasts")
    retries: int = setting("retries", count(0, 10), 1, "of its clients, when refused")


@attrs.frozen
class EditRecord(Record):
    """A change to the file beside one application: the mistyping that is looked into."""

    application: str = setting("application", kinds.name(), description="whose file")
    table: str = setting("plan", kinds.name(), description="the plan whose row it is")
    key: str = setting("key", kinds.name(), description="the key in the row")
    value: float = setting("value", Number(), None, "what stands there instead; absent: the key is gone")


@attrs.frozen
class EventRecord(Record):
    """Something that happens to a node."""

    at: float = setting("at_s", SECONDS, description="when")
    what: str = setting("what", Text(("drain", "die", "restart", "pause")), description="what")
    node: str = setting("node", kinds.name(), description="of the fleet, by uid")
    seconds: float = setting("for_s", SECONDS, 0.2, "how long a pause lasts")


@attrs.frozen
class ArmRecord(Record):
    """One of the versions or settings that are compared in one run."""

    name: str = setting("name", kinds.name(), description="in the report")
    edits: list[int] = setting("edits", ListOf(count(0)), [], "which edits are made, counted from 0")
    agreement: bool = setting("agreement", Boolean(), False, "the fleet is rolled out, and all go by it")


@attrs.frozen
class ScenarioRecord(Record):
    """A scenario."""

    name: str = setting("name", kinds.name(), description="of the scenario")
    fleet: str = setting("fleet", Text(allow_empty=False), description="the fleet file, beside this one")
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
    """Read a scenario and its fleet; ConfigError with every fault."""
    toml = read_toml(path)
    reader = toml.reader
    record = reader.record(ScenarioRecord, toml.document) if toml.document is not None else None
    if record is None or blocking_faults(reader.faults):
        raise ConfigError(reader.faults)
    checked_fleet = read_fleet(os.path.join(os.path.dirname(path), record.fleet))
    fleet = checked_fleet.fleet
    if fleet is None or blocking_faults(checked_fleet.faults):
        raise ConfigError(checked_fleet.faults)
    classes = {
        one.name: LoadClass(one.name, one.latency_objective / 1e9, one.deadline / 1e9, one.writes)
        for one in fleet.record.classes
    }
    known = {volume.name: volume for volume in fleet.volumes}
    volumes = []
    for index, demand in enumerate(record.demands):
        volume = known.get(demand.volume)
        for key, name, names in (("volume", demand.volume, known), ("class", demand.klass, classes)):
            if name not in names:
                reader.fault(("demands", str(index), key), f"unknown-{key}", f'there is no {key} "{name}"')
        if volume is not None:
            volumes.append(
                LoadVolume(
                    volume.name,
                    volume.id,
                    volume.plan.name,
                    volume.shards,
                    volume.sidecars,
                    demand.klass,
                    demand.rate,
                    demand.units,
                    demand.surge,
                    demand.surge_at,
                    demand.surge_for,
                    demand.retries,
                    volume.plan.reserve,
                )
            )
    for index, arm in enumerate(record.arms):
        for place, edit in enumerate(arm.edits):
            if edit >= len(record.edits):
                where = ("arms", str(index), "edits", str(place))
                reader.fault(where, "unknown-edit", f"there are {len(record.edits)} edits")
    uids = {node.uid for node in fleet.nodes}
    for index, event in enumerate(record.events):
        if event.node not in uids:
            reader.fault(("events", str(index), "node"), "unknown-node", f'there is no node "{event.node}"')
    if blocking_faults(reader.faults):
        raise ConfigError(reader.faults)
    return Scenario(record, fleet, classes, tuple(volumes))
