"""The effect of a configuration change on each volume: its plan, reserve, limit, and share on each node."""

from collections import defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from fractions import Fraction

from runloft.config.feasibility.assignment import (
    RATE_SCALE,
    assign_reserves,
    reserve_demands,
    shard_capacities,
)
from runloft.config.fleet.model import Fleet
from runloft.config.operator.records import OperatorRecord
from runloft.config.operator.settings_records import PlanRecord

COMPARED_FIGURES = ("plan", "reserve", "weight", "limit", "hosts")  # printed, and fields of VolumeFigures
MIN_SHARE_CHANGE = 0.01  # fraction of the larger share; smaller changes are not reported


@dataclass(frozen=True, slots=True)
class VolumeFigures:
    """One volume's figures in one configuration; rates are in units per second."""

    plan: str
    reserve: float
    weight: float
    limit: float
    hosts: float
    shares: Mapping[str, float]  # by node uid: the part, by weight, of the unreserved rate


@dataclass(frozen=True, slots=True)
class Change:
    """A change of one figure of one volume; the field names are part of the ``--json`` output."""

    volume: str
    figure: str
    old: str
    new: str
    where: str = ""


def figures_of_fleet(fleet: Fleet) -> dict[str, VolumeFigures]:
    """Return each volume's figures, with its share on each node of the fleet."""
    unreserved = _unreserved_by_shard(fleet)
    weights: dict[int, float] = defaultdict(float)
    for volume in fleet.volumes:
        for shard in volume.shards:
            weights[shard] += volume.plan.weight
    nodes_by_shard: dict[int, list[str]] = defaultdict(list)
    for node in fleet.node_rates():
        if node.rate:
            nodes_by_shard[node.node.shard].append(node.node.uid)
    figures = {}
    for volume in fleet.volumes:
        shares = {}
        for shard in volume.shards:
            for uid in nodes_by_shard[shard]:
                share = unreserved.get(shard, 0.0) * volume.plan.weight / weights[shard]
                shares[uid] = share / len(nodes_by_shard[shard])
        figures[volume.name] = _figures(volume.plan, float(len(volume.sidecars)), shares)
    return figures


def _unreserved_by_shard(fleet: Fleet) -> Mapping[int, float]:
    """Return the rate in units per second that the reserves leave free on each shard."""
    capacities = shard_capacities(fleet.node_rates(), Fraction(str(fleet.record.usable_fraction)))
    load = assign_reserves(reserve_demands(fleet.volumes), capacities).load
    return {
        shard: max(0, capacity - load.get(shard, 0)) / RATE_SCALE for shard, capacity in capacities.items()
    }


def figures_of_operator(record: OperatorRecord) -> dict[str, VolumeFigures]:
    """Return the figures of each volume and plan in one sidecar's file; without nodes, without shares."""
    plans = {plan.name: plan for plan in record.settings.plans}
    volumes = record.objects.volumes if record.objects else {}
    figures = {f"(every volume on {name})": _figures(plan, 0.0, {}) for name, plan in plans.items()}
    for name, volume in volumes.items():
        figures[name] = _figures(plans[volume.plan], volume.hosts, {})
    return figures


def _figures(plan: PlanRecord, hosts: float, shares: Mapping[str, float]) -> VolumeFigures:
    return VolumeFigures(plan.name, plan.reserve, plan.weight, plan.limit, hosts, shares)


def find_changes(old: Mapping[str, VolumeFigures], new: Mapping[str, VolumeFigures]) -> Iterator[Change]:
    """Yield the changes of figures and, above MIN_SHARE_CHANGE, of shares, ordered by volume name."""
    for name in sorted(old.keys() | new.keys()):
        before = old.get(name)
        after = new.get(name)
        if before is None or after is None:
            yield Change(name, "volume", _presence(before), _presence(after))
        else:
            yield from _changed_figures(name, before, after)
            yield from _changed_shares(name, before.shares, after.shares)


def _changed_figures(name: str, before: VolumeFigures, after: VolumeFigures) -> Iterator[Change]:
    for figure in COMPARED_FIGURES:
        old = getattr(before, figure)
        new = getattr(after, figure)
        if old != new:
            yield Change(name, figure, _format(old), _format(new))


def _changed_shares(name: str, before: Mapping[str, float], after: Mapping[str, float]) -> Iterator[Change]:
    for node in sorted(before.keys() | after.keys()):
        old = before.get(node, 0.0)
        new = after.get(node, 0.0)
        if abs(old - new) > MIN_SHARE_CHANGE * max(old, new):
            yield Change(name, "share", _format(round(old, 3)), _format(round(new, 3)), node)


def _presence(figures: VolumeFigures | None) -> str:
    return "none" if figures is None else "there"


def _format(value: object) -> str:
    return f"{value:g}" if isinstance(value, float) else str(value)
