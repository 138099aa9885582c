"""Assignment of volumes' reserves to shards.

Rates are integers in thousandths of a unit per second: reserves are rounded up, capacities down.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from fractions import Fraction
from math import ceil, floor

from runloft.config.feasibility.flow_solver import ShardGroup, max_flow
from runloft.config.fleet.model import NodeRate, Volume

RATE_SCALE = 1000  # thousandths of a unit per second, the unit of integer rates


@dataclass(frozen=True, slots=True)
class Demand:
    """A volume's reserve, in thousandths of a unit per second, and the shards that may serve it."""

    name: str
    reserve: int
    shards: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Portion:
    """The amount of a reserve that one shard serves, in thousandths of a unit per second."""

    shard: int
    amount: int


@dataclass(frozen=True, slots=True)
class Assignment:
    """Each demand's portions, the total reserve that could not be assigned, and each shard's load."""

    portions: tuple[tuple[Portion, ...], ...]
    unassigned: int
    load: Mapping[int, int]


def shard_capacities(nodes: Iterable[NodeRate], usable_fraction: Fraction) -> dict[int, int]:
    """Return each shard's capacity for reserves, in thousandths of a unit per second."""
    rates: dict[int, Fraction] = defaultdict(Fraction)
    for node in nodes:
        rates[node.node.shard] += node.rate
    return {shard: floor(rate * usable_fraction * RATE_SCALE) for shard, rate in rates.items()}


def reserve_demands(volumes: Iterable[Volume]) -> list[Demand]:
    """Return a demand for each volume that has a reserve."""
    return [
        Demand(
            volume.name, ceil(Fraction(str(volume.plan.reserve)) * RATE_SCALE), tuple(sorted(volume.shards))
        )
        for volume in volumes
        if volume.plan.reserve > 0
    ]


def assign_reserves(demands: Sequence[Demand], capacities: Mapping[int, int]) -> Assignment:
    """Assign as much of the reserves as the capacities allow, spread over the shards as evenly as possible.

    Volumes with the same shards form one group in the linear program, whose size therefore depends on the
    number of distinct shard sets.  The group's flow is divided among its demands in their order.
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
        portions = _allocate(demand, remaining[demand.shards])
        for portion in portions:
            load[portion.shard] += portion.amount
        unassigned += demand.reserve - sum(portion.amount for portion in portions)
        assigned.append(portions)
    return Assignment(tuple(assigned), unassigned, load)


def _allocate(demand: Demand, remaining: dict[int, int]) -> tuple[Portion, ...]:
    """Allocate a demand from its group's remaining flow, largest flow first, and deduct it there."""
    portions = []
    unassigned = demand.reserve
    for shard in sorted(demand.shards, key=lambda shard: (-remaining[shard], shard)):
        amount = min(unassigned, remaining[shard])
        if amount:
            portions.append(Portion(shard, amount))
            remaining[shard] -= amount
            unassigned -= amount
    return tuple(portions)
