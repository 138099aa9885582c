"""The feasibility check of a fleet: its nodes must be able to serve its volumes' reserves.

A volume's reserve may be served on any of its shards.  A shard's capacity is the usable fraction of the
total rate of the shard's in-service nodes, 0.9 unless the fleet sets another.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace
from fractions import Fraction

from runloft.config.faults import Fault, Severity
from runloft.config.feasibility.assignment import (
    RATE_SCALE,
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
    """Return a fault for each conflict between reserves or, without conflicts, the warnings.

    ``other_volumes`` belong to another generation that is served at the same time.
    """
    check = _FeasibilityCheck(fleet, merge_generations(fleet.volumes, other_volumes))
    return check.run()


def merge_generations(volumes: Iterable[Volume], others: Iterable[Volume]) -> list[Volume]:
    """Return each volume with the larger of two generations' reserves, on the shards common to both.

    While one generation replaces the other, sidecars may be on either.  A volume without a common shard
    may need its reserve on the shards of either generation, so it counts on both.
    """
    merged = {volume.id: [volume] for volume in volumes}
    for other in others:
        if other.id in merged:
            merged[other.id] = _merge_volume(merged[other.id][0], other)
        else:
            merged[other.id] = [other]
    return [volume for versions in merged.values() for volume in versions]


def _merge_volume(one: Volume, other: Volume) -> list[Volume]:
    plan = max(one.plan, other.plan, key=lambda plan: plan.reserve)
    common = tuple(shard for shard in one.shards if shard in other.shards)
    if common:
        return [replace(one, plan=plan, shards=common)]
    return [replace(one, plan=plan), replace(other, plan=plan)]


class _FeasibilityCheck:
    """One check of a fleet; its faults, at keys of the fleet's volumes, are separate from the fleet's own."""

    def __init__(self, fleet: Fleet, volumes: Sequence[Volume]) -> None:
        self._fleet = fleet
        self._reader = Reader(fleet.file, fleet.reader.text)
        self._usable_fraction = Fraction(str(fleet.record.usable_fraction))
        self._nodes = list(fleet.node_rates())
        self._capacities = shard_capacities(self._nodes, self._usable_fraction)
        self._demands = reserve_demands(volumes)
        self._rows = {volume.name: index for index, volume in enumerate(fleet.record.volumes)}

    def run(self) -> list[Fault]:
        """Return the conflicts or, if there are none, the warnings."""
        assignment = assign_reserves(self._demands, self._capacities)
        if assignment.unassigned:
            self._report_conflicts(assignment)
        else:
            self._warn_about_single_shards()
            self._warn_about_node_loss(assignment)
        return self._reader.faults

    def _report(self, row: int, code: str, reason: str, remedy: str, severity: Severity) -> None:
        self._reader.fault(("volumes", str(row)), code, reason, remedy, severity)

    def _report_conflicts(self, assignment: Assignment) -> None:
        for conflict in find_conflicts(self._demands, self._capacities, assignment):
            row = min(self._rows.get(name, 0) for name in conflict.volumes)
            shortfall = (conflict.reserved - conflict.capacity) / RATE_SCALE
            remedy = f"{shortfall:g} units/s less, or more nodes for those shards"
            self._report(row, "reserve-not-borne", str(conflict), remedy, Severity.FAULT)

    def _warn_about_single_shards(self) -> None:
        """Warn about volumes whose whole reserve exceeds what one of their shards has left."""
        single_shard_reserves = _single_shard_reserves(self._demands)
        for demand in self._demands:
            if len(demand.shards) == 1:
                continue
            shortfall = {
                shard: demand.reserve + single_shard_reserves.get(shard, 0) - self._capacities.get(shard, 0)
                for shard in demand.shards
            }
            shard = min(shortfall, key=lambda shard: (-shortfall[shard], shard))
            if shortfall[shard] > 0:
                reserve = demand.reserve / RATE_SCALE
                reason = (
                    f"{demand.name}'s whole reserve of {reserve:g} units/s on shard {shard} is "
                    f"{shortfall[shard] / RATE_SCALE:g} more than it has left "
                    "after volumes with no other shard"
                )
                remedy = "a smaller reserve, or requests spread evenly over its shards"
                row = self._rows.get(demand.name, 0)
                self._report(row, "reserve-on-one-shard", reason, remedy, Severity.WARNING)

    def _warn_about_node_loss(self, assignment: Assignment) -> None:
        """Warn if reserves can't be served with a most loaded node lost, or cold as at its start."""
        index = self._most_loaded_node(assignment)
        if index is None:
            return
        node = self._nodes[index].node
        cold_fraction = Fraction(str(self._fleet.record.machines[node.kind].cold_fraction))
        self._warn_about_slower_node(index, Fraction(0), "reserve-node-lost", "lost")
        self._warn_about_slower_node(index, cold_fraction, "reserve-node-cold", "cold")

    def _warn_about_slower_node(self, index: int, fraction: Fraction, code: str, condition: str) -> None:
        slower = self._nodes[index]
        nodes = list(self._nodes)
        nodes[index] = NodeRate(slower.node, slower.rate * fraction)
        shortfall = assign_reserves(self._demands, shard_capacities(nodes, self._usable_fraction)).unassigned
        if shortfall:
            reason = (
                f"with {slower.node.uid} {condition}, {shortfall / RATE_SCALE:g} units/s of reserves "
                "can't be served"
            )
            remedy = f"more capacity for the volumes on shard {slower.node.shard}"
            self._report(0, code, reason, remedy, Severity.WARNING)

    def _most_loaded_node(self, assignment: Assignment) -> int | None:
        """Return the index of a node on the shard with the highest load per node; None if there is none."""
        indices_by_shard: dict[int, list[int]] = defaultdict(list)
        for index, node in enumerate(self._nodes):
            if node.rate:
                indices_by_shard[node.node.shard].append(index)
        if not indices_by_shard or not assignment.load:
            return None

        def load_per_node(shard: int) -> Fraction:
            return Fraction(assignment.load.get(shard, 0), len(indices_by_shard[shard]))

        shard = min(indices_by_shard, key=lambda shard: (-load_per_node(shard), shard))
        return indices_by_shard[shard][0]


def _single_shard_reserves(demands: Iterable[Demand]) -> Mapping[int, int]:
    """Return, by shard, the total reserve of the volumes that have no other shard."""
    reserves: dict[int, int] = defaultdict(int)
    for demand in demands:
        if len(demand.shards) == 1:
            reserves[demand.shards[0]] += demand.reserve
    return reserves
