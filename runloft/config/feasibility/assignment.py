"""Assignment of volumes' reserves to shards.

Figures are whole thousandths of a unit a second: reserves are rounded up, capacities are rounded down.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from fractions import Fraction
from math import ceil, floor

from runloft.config.feasibility.flow_solver import ShardGroup, max_flow
from runloft.config.fleet.model import NodeRate, Volume

SCALE = 1000  # figures are thousandths of a unit a second


@dataclass(frozen=True, slots=True)
class Demand:
    """A volume's reserve, in thousandths of a unit a second, and the shards that may serve it."""

    name: str
    reserve: int
    shards: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Portion:
    """The part of a reserve that one shard serves, in thousandths of a unit a second."""

    shard: int
    amount: int


@dataclass(frozen=True, slots=True)
class Assignment:
    """The portions of each demand, the reserve that no shard has capacity for, and each shard's load."""

    portions: tuple[tuple[Portion, ...], ...]
    unassigned: int
    load: Mapping[int, int]


def shard_capacities(nodes: Iterable[NodeRate], usable_fraction: Fraction) -> dict[int, int]:
    """Return each shard's capacity for reserves, in thousandths of a unit a second."""
    rates: dict[int, Fraction] = defaultdict(Fraction)
    for node in nodes:
        rates[node.node.shard] += node.rate
    return {shard: floor(rate * usable_fraction * SCALE) for shard, rate in rates.items()}


def reserve_demands(volumes: Iterable[Volume]) -> list[Demand]:
    """Return the demands of the volumes that have a reserve."""
    return [
        Demand(volume.name, ceil(Fraction(str(volume.plan.reserve)) * SCALE), tuple(sorted(volume.shards)))
        for volume in volumes
        if volume.plan.reserve > 0
    ]


def assign_reserves(demands: Sequence[Demand], capacities: Mapping[int, int]) -> Assignment:
    """Assign as much of the reserves as the capacities allow, spread over the shards as evenly as possible.

    Volumes with the same shards are one group: their reserves add up, and the group's flow is dealt out
    in order.  That keeps the program as small as the fleet's variety.
    """
    reserves: dict[tuple[int, ...], int] = defaultdict(int)
    for demand in demands:
        reserves[demand.shards] += demand.reserve
    shards = sorted({shard for group in reserves for shard in group})
    groups = [ShardGroup(group, reserve) for group, reserve in reserves.items()]
    flows = max_flow(groups, shards, capacities)
    remaining = {group.shards: flow for group, flow in zip(groups, flows, strict=True)}
    load = dict.fromkeys(shards, 0)
    assigned = []
    unassigned = 0
    for demand in demands:
        portions = _take(demand, remaining[demand.shards])
        for portion in portions:
            load[portion.shard] += portion.amount
        unassigned += demand.reserve - sum(portion.amount for portion in portions)
        assigned.append(portions)
    return Assignment(tuple(assigned), unassigned, load)


def _take(demand: Demand, remaining: dict[int, int]) -> tuple[Portion, ...]:
    """Take a demand out of what is left of its group's flow, from the largest flow first."""
    portions = []
    missing = demand.reserve
    for shard in sorted(demand.shards, key=lambda shard: (-remaining[shard], shard)):
        amount = min(missing, remaining[shard])
        if amount:
            portions.append(Portion(shard, amount))
            remaining[shard] -= amount
            missing -= amount
    return tuple(portions)
