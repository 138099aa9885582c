"""Checks of a fleet that involve more than one row or table of its file."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from runloft.config.documents import KeyPath
from runloft.config.faults import closest_match
from runloft.config.fleet.model import Fleet, Node, Volume
from runloft.config.fleet.records import (
    RESTATABLE_PLAN_KEYS,
    ApplicationRecord,
    FleetRecord,
    FleetVolumeRecord,
    NodeRecord,
)
from runloft.config.operator.settings_records import ClassRecord, PlanRecord
from runloft.config.schema.layers import Layer, unify
from runloft.config.schema.records import document_of

MAX_SHARDS_LISTED = 8
SHARE_TOLERANCE = 1e-9  # rounding error allowed in the sum of shares


NamedRow = NodeRecord | ClassRecord | PlanRecord | FleetVolumeRecord | ApplicationRecord


def check_fleet(fleet: Fleet, listed_nodes: list[Node] | None) -> None:
    """Check a fleet and set its nodes and volumes; ``listed_nodes``, if given, replace its own nodes."""
    _check_names(fleet)
    _fill_nodes(fleet, listed_nodes)
    _check_shares(fleet)
    _fill_volumes(fleet)


def _check_names(fleet: Fleet) -> None:
    """Check that each name, and each node's uid, is unique in its table."""
    for table, table_rows in _named_rows(fleet.record).items():
        names = [row.uid if isinstance(row, NodeRecord) else row.name for row in table_rows]
        first_rows: dict[str, int] = {}
        for index, name in enumerate(names):
            if name is not None and name in first_rows:
                path = (table, str(index), _name_key(table))
                code = "node-twice" if table == "nodes" else "name-twice"
                fleet.reader.fault(
                    path, code, f'"{name}" is already used in row {first_rows[name]}', "a unique value"
                )
            first_rows.setdefault(name, index)


def _named_rows(record: FleetRecord) -> Mapping[str, Sequence[NamedRow]]:
    return {
        "nodes": record.nodes or (),
        "classes": record.classes or (),
        "plans": record.plans or (),
        "volumes": record.volumes or (),
        "applications": record.applications or (),
    }


def _name_key(table: str) -> str:
    if table == "nodes":
        return "uid"
    return "Name" if table in ("classes", "plans") else "name"


def _fill_nodes(fleet: Fleet, listed_nodes: list[Node] | None) -> None:
    nodes = [
        Node(node.uid, node.kind, node.shard, node.state, node.zone)
        for node in fleet.record.nodes or ()
        if node.shard is not None
    ]
    _check_machine_kinds(fleet, nodes)
    fleet.nodes = nodes if listed_nodes is None else listed_nodes
    if not fleet.nodes and not any(fault.code in ("unreadable", "missing") for fault in fleet.faults):
        fleet.reader.fault(
            ("nodes",), "too-few", "the fleet has no nodes", "at least one node here, or --nodes FILE"
        )


def _check_machine_kinds(fleet: Fleet, nodes: Sequence[Node]) -> None:
    machines = fleet.record.machines or {}
    for index, node in enumerate(nodes):
        if node.kind is not None and node.kind not in machines:
            reason = f'there is no machine kind "{node.kind}"'
            remedy = closest_match(node.kind, machines)
            fleet.reader.fault(("nodes", str(index), "kind"), "unknown-kind", reason, remedy)


def _check_shares(fleet: Fleet) -> None:
    """Check that the sum of the classes' shares of all requests is at most 1."""
    classes = fleet.record.classes
    if not classes:
        return
    total = sum(row.share for row in classes)
    if total > 1.0 + SHARE_TOLERANCE:
        reason = f"the classes' shares add up to {total:g}"
        fleet.reader.fault(("classes", "0", "share"), "shares-above-1", reason, "a sum of at most 1")


def _fill_volumes(fleet: Fleet) -> None:
    references = _References.of_fleet(fleet)
    owners: dict[int, str] = {}
    for index, volume in enumerate(fleet.record.volumes or ()):
        path: KeyPath = ("volumes", str(index))
        plan = references.plans.get(volume.plan)
        _check_references(fleet, volume, path, references)
        if volume.id is not None:
            number = int(volume.id, 16)
            if number in owners:
                reason = f'id {volume.id} is already used by volume "{owners[number]}"'
                fleet.reader.fault((*path, "id"), "id-twice", reason, "a unique id")
            owners.setdefault(number, volume.name)
        if plan is None:
            continue
        _check_restated_figures(fleet, volume, path, plan)
        if volume.shards and volume.sidecars and volume.id:
            shards = tuple(volume.shards)
            sidecars = tuple(volume.sidecars)
            fleet.volumes.append(Volume(volume.name, int(volume.id, 16), plan, shards, sidecars))


@dataclass(frozen=True, slots=True)
class _References:
    """The plans, sidecars and shards that a volume may refer to."""

    plans: Mapping[str, PlanRecord]
    sidecars: Sequence[str]
    shards: frozenset[int] | None  # None if the fleet has no nodes

    @staticmethod
    def of_fleet(fleet: Fleet) -> "_References":
        """Return the plans, sidecars and shards of a fleet."""
        shards = frozenset(node.shard for node in fleet.nodes if node.state != "terminated")
        return _References(
            plans={plan.name: plan for plan in fleet.record.plans or () if plan.name},
            sidecars=[
                application.name for application in fleet.record.applications or () if application.name
            ],
            shards=shards if fleet.nodes else None,
        )


def _check_references(
    fleet: Fleet, volume: FleetVolumeRecord, path: KeyPath, references: _References
) -> None:
    """Check that a volume's plan, sidecars and shards exist."""
    if volume.plan is not None and references.plans and volume.plan not in references.plans:
        reason = f'there is no plan "{volume.plan}"'
        remedy = closest_match(volume.plan, references.plans)
        fleet.reader.fault((*path, "plan"), "unknown-plan", reason, remedy)
    _check_sidecars(fleet, volume, path, references.sidecars)
    if references.shards is not None:
        _check_shards(fleet, volume, path, references.shards)


def _check_sidecars(
    fleet: Fleet, volume: FleetVolumeRecord, path: KeyPath, known_sidecars: Sequence[str]
) -> None:
    for index, sidecar in enumerate(volume.sidecars or ()):
        if sidecar not in known_sidecars:
            reason = f'there is no application "{sidecar}"'
            remedy = closest_match(sidecar, known_sidecars)
            fleet.reader.fault((*path, "sidecars", str(index)), "unknown-sidecar", reason, remedy)


def _check_shards(
    fleet: Fleet, volume: FleetVolumeRecord, path: KeyPath, known_shards: frozenset[int]
) -> None:
    for index, shard in enumerate(volume.shards or ()):
        if shard not in known_shards:
            reason = f"no node holds shard {shard}"
            listed = sorted(known_shards)[:MAX_SHARDS_LISTED]
            remedy = f"one of {', '.join(map(str, listed))}"
            fleet.reader.fault((*path, "shards", str(index)), "unknown-shard", reason, remedy)


def _check_restated_figures(fleet: Fleet, volume: FleetVolumeRecord, path: KeyPath, plan: PlanRecord) -> None:
    """Check that the figures that a volume restates equal those of its plan."""
    restated = {key: value for key, value in document_of(volume).items() if key in RESTATABLE_PLAN_KEYS}
    if not restated:
        return
    row = next(index for index, other in enumerate(fleet.record.plans) if other is plan)
    layers = (
        Layer(f'plan "{plan.name}"', document_of(plan), ("plans", str(row))),
        Layer(f'volume "{volume.name}"', restated, path),
    )
    unify(layers, fleet.reader)
