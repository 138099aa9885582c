"""The feasibility check: whether a fleet's nodes can serve its volumes' reserves.

A volume's reserve may be served on any of its shards.  A shard's capacity is a part of the rate of the
nodes in service that hold it, nine tenths unless the fleet says otherwise.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace
from fractions import Fraction

from runloft.config.faults import Fault, Severity
from runloft.config.feasibility.assignment import (
    SCALE,
    Assignment,
    Demand,
    assign_reserves,
    reserve_demands,
    shard_capacities,
)
from runloft.config.feasibility.conflicts import find_conflicts
from runloft.config.fleet.model import Fleet, NodeRate, Volume
from runloft.config.schema.reader import Reader


def check_feasibility(fleet: Fleet, other_volumes: Iterable[Volume] = ()) -> list[Fault]:
    """Return faults where the fleet's reserves can't be served, and warnings where they nearly can't.

    ``other_volumes`` are those of another generation that is served at the same time.
    """
    check = _FeasibilityCheck(fleet, merge_generations(fleet.volumes, other_volumes))
    return check.run()


def merge_generations(volumes: Iterable[Volume], others: Iterable[Volume]) -> list[Volume]:
    """Return each volume with the larger of two generations' reserves, on the shards that both have.

    While one generation replaces the other, some sidecars go by the one and some by the other.  Where a
    volume has no shard in both, its reserve may fall due on either's: it counts on both.
    """
    merged = {volume.id: [volume] for volume in volumes}
    for other in others:
        if other.id in merged:
            merged[other.id] = _merge_volume(merged[other.id][0], other)
        else:
            merged[other.id] = [other]
    return [volume for entries in merged.values() for volume in entries]


def _merge_volume(one: Volume, other: Volume) -> list[Volume]:
    plan = max(one.plan, other.plan, key=lambda plan: plan.reserve)
    common = tuple(shard for shard in one.shards if shard in other.shards)
    if common:
        return [replace(one, plan=plan, shards=common)]
    return [replace(one, plan=plan), replace(other, plan=plan)]


class _FeasibilityCheck:
    """One check; its faults are reported at the fleet's volumes, beside the fleet's own."""

    def __init__(self, fleet: Fleet, volumes: Sequence[Volume]) -> None:
        self._fleet = fleet
        self._reader = Reader(fleet.file, fleet.reader.text)
        self._usable = Fraction(str(fleet.record.usable_fraction))
        self._nodes = list(fleet.node_rates())
        self._capacities = shard_capacities(self._nodes, self._usable)
        self._demands = reserve_demands(volumes)
        self._rows = {volume.name: index for index, volume in enumerate(fleet.record.volumes)}

    def run(self) -> list[Fault]:
        """Return the conflicts if there are any, else the warnings."""
        assignment = assign_reserves(self._demands, self._capacities)
        if assignment.unassigned:
            self._report_conflicts(assignment)
        else:
            self._warn_of_single_shards()
            self._warn_of_node_loss(assignment)
        return self._reader.faults

    def _report(self, row: int, code: str, reason: str, remedy: str, severity: Severity) -> None:
        self._reader.fault(("volumes", str(row)), code, reason, remedy, severity)

    def _report_conflicts(self, assignment: Assignment) -> None:
        for conflict in find_conflicts(self._demands, self._capacities, assignment):
            row = min(self._rows.get(name, 0) for name in conflict.volumes)
            missing = (conflict.reserved - conflict.capacity) / SCALE
            remedy = f"{missing:g} units/s less, or more nodes for those shards"
            self._report(row, "reserve-not-borne", str(conflict), remedy, Severity.FAULT)

    def _warn_of_single_shards(self) -> None:
        """Warn of volumes whose whole reserve can't be served on one of their shards."""
        only_here = _reserves_by_only_shard(self._demands)
        for demand in self._demands:
            if len(demand.shards) == 1:
                continue
            missing = {
                shard: demand.reserve + only_here.get(shard, 0) - self._capacities.get(shard, 0)
                for shard in demand.shards
            }
            shard = min(missing, key=lambda shard: (-missing[shard], shard))
            if missing[shard] > 0:
                reserve = demand.reserve / SCALE
                reason = (
                    f"{demand.name}'s whole reserve of {reserve:g} units/s on shard {shard} is "
                    f"{missing[shard] / SCALE:g} more than it bears beside the volumes that lie on it alone"
                )
                remedy = "a smaller reserve, or more even use"
                row = self._rows.get(demand.name, 0)
                self._report(row, "reserve-on-one-shard", reason, remedy, Severity.WARNING)

    def _warn_of_node_loss(self, assignment: Assignment) -> None:
        """Warn of reserves that can't be served with the most loaded node lost, or in slow start."""
        index = self._most_loaded_node(assignment)
        if index is None:
            return
        node = self._nodes[index].node
        cold_fraction = Fraction(str(self._fleet.record.machines[node.kind].cold_fraction))
        self._warn_of_slower_node(index, Fraction(0), "reserve-node-lost", "lost")
        self._warn_of_slower_node(index, cold_fraction, "reserve-node-cold", "cold")

    def _warn_of_slower_node(self, index: int, fraction: Fraction, code: str, condition: str) -> None:
        slower = self._nodes[index]
        nodes = list(self._nodes)
        nodes[index] = NodeRate(slower.node, slower.rate * fraction)
        missing = assign_reserves(self._demands, shard_capacities(nodes, self._usable)).unassigned
        if missing:
            reason = (
                f"with {slower.node.uid} {condition}, {missing / SCALE:g} units/s of reserves are not borne"
            )
            remedy = f"more room beside shard {slower.node.shard}"
            self._report(0, code, reason, remedy, Severity.WARNING)

    def _most_loaded_node(self, assignment: Assignment) -> int | None:
        """Return the index of a node on the shard with the most load for each node; None without any."""
        holders: dict[int, list[int]] = defaultdict(list)
        for index, node in enumerate(self._nodes):
            if node.rate:
                holders[node.node.shard].append(index)
        if not holders or not assignment.load:
            return None

        def load_per_node(shard: int) -> Fraction:
            return Fraction(assignment.load.get(shard, 0), len(holders[shard]))

        shard = min(holders, key=lambda shard: (-load_per_node(shard), shard))
        return holders[shard][0]


def _reserves_by_only_shard(demands: Iterable[Demand]) -> Mapping[int, int]:
    """Return, by shard, the reserves of volumes that lie on no other shard."""
    reserves: dict[int, int] = defaultdict(int)
    for demand in demands:
        if len(demand.shards) == 1:
            reserves[demand.shards[0]] += demand.reserve
    return reserves
