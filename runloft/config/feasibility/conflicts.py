"""Explanation of infeasible reserves: minimal sets of volumes that can't be served together."""

from collections import defaultdict
from collections.abc import Callable, Collection, Iterator, Mapping, Sequence
from dataclasses import dataclass
from itertools import combinations
from typing import TypeVar

from runloft.config.feasibility.assignment import RATE_SCALE, Assignment, Demand
from runloft.config.schema.kinds import join_names

MAX_SHARDS_SEARCHED = 8  # larger shard sets are skipped: each shard doubles the subsets to sum
MAX_CONFLICTS = 20  # largest number returned
MAX_NAMES_LISTED = 8  # volumes or shards named in one reason
Item = TypeVar("Item")


@dataclass(frozen=True, slots=True)
class Conflict:
    """A minimal set of volumes that can't be served together: without any one of them the rest could be.

    ``reserved`` and ``capacity`` are in thousandths of a unit per second.
    """

    volumes: tuple[str, ...]
    shards: tuple[int, ...]
    reserved: int
    capacity: int

    def __str__(self) -> str:
        names = _join_some(self.volumes)
        shards = _join_some([str(shard) for shard in self.shards])
        verb = "reserves" if len(self.volumes) == 1 else "reserve"
        shard, have = ("shard", "has") if len(self.shards) == 1 else ("shards", "have")
        return (
            f"{names} {verb} {self.reserved / RATE_SCALE:g} units/s on {shard} {shards}, "
            f"which {have} capacity for {self.capacity / RATE_SCALE:g}"
        )


def _join_some(names: Sequence[str]) -> str:
    if len(names) > MAX_NAMES_LISTED:
        return f"{', '.join(names[:MAX_NAMES_LISTED])} and {len(names) - MAX_NAMES_LISTED} more"
    return join_names(names)


def find_conflicts(
    demands: Sequence[Demand], capacities: Mapping[int, int], assignment: Assignment
) -> list[Conflict]:
    """Return minimal conflicting sets of volumes from each connected group of demands that lacks capacity."""
    demands_by_shard: dict[int, list[int]] = defaultdict(list)
    for index, portions in enumerate(assignment.portions):
        for portion in portions:
            demands_by_shard[portion.shard].append(index)
    conflicts: list[Conflict] = []
    explained: set[int] = set()
    for index, demand in enumerate(demands):
        assigned = sum(portion.amount for portion in assignment.portions[index])
        if assigned >= demand.reserve or index in explained:
            continue
        connected = _connected_demands(index, demands, demands_by_shard)
        explained |= connected
        conflicts += _minimal_conflicts([demands[other] for other in sorted(connected)], capacities)
        if len(conflicts) >= MAX_CONFLICTS:
            break
    return conflicts[:MAX_CONFLICTS]


def _connected_demands(
    start: int, demands: Sequence[Demand], demands_by_shard: Mapping[int, Sequence[int]]
) -> set[int]:
    """Return a demand and all demands that could free capacity for it, directly or by moving others.

    None of their shards has capacity left, or the assignment would have used it.
    """
    connected = {start}
    shards: set[int] = set()
    pending = [start]
    while pending:
        for shard in demands[pending.pop()].shards:
            if shard not in shards:
                shards.add(shard)
                added = [index for index in demands_by_shard.get(shard, ()) if index not in connected]
                connected.update(added)
                pending += added
    return connected


def _minimal_conflicts(demands: list[Demand], capacities: Mapping[int, int]) -> Iterator[Conflict]:
    """Yield conflicts among connected demands, on disjoint sets of shards.

    Usually each conflict lies within one volume's shards, and those conflicts are yielded one by one.  All
    demands are searched together only if no single volume's shards lack capacity.
    """
    all_shards = frozenset(shard for demand in demands for shard in demand.shards)
    reported: set[int] = set()
    for shards in _overcommitted_shard_sets(demands, capacities) or [all_shards]:
        if reported.isdisjoint(shards):
            reported |= shards
            inside = [demand for demand in demands if shards.issuperset(demand.shards)]
            yield _minimal_conflict(inside, capacities)


def _overcommitted_shard_sets(
    demands: Sequence[Demand], capacities: Mapping[int, int]
) -> list[frozenset[int]]:
    """Return the volumes' shard sets whose capacity is below the reserves that only they can serve."""
    reserves: dict[frozenset[int], int] = defaultdict(int)
    for demand in demands:
        reserves[frozenset(demand.shards)] += demand.reserve
    overcommitted = [
        shards
        for shards in reserves
        if len(shards) <= MAX_SHARDS_SEARCHED
        and sum(reserves.get(subset, 0) for subset in _subsets(shards)) > _capacity(shards, capacities)
    ]
    return sorted(overcommitted, key=lambda shards: (len(shards), sorted(shards)))


def _subsets(shards: frozenset[int]) -> Iterator[frozenset[int]]:
    for size in range(1, len(shards) + 1):
        yield from map(frozenset, combinations(shards, size))


def _capacity(shards: Collection[int], capacities: Mapping[int, int]) -> int:
    return sum(capacities.get(shard, 0) for shard in shards)


def _shards_of(demands: Sequence[Demand]) -> list[int]:
    return sorted({shard for demand in demands for shard in demand.shards})


def _minimal_conflict(demands: list[Demand], capacities: Mapping[int, int]) -> Conflict:
    """Return a minimal conflict: drop shards with all their volumes first, then single volumes."""

    def exceeds_capacity(subset: Sequence[Demand]) -> bool:
        shards = {shard for demand in subset for shard in demand.shards}
        return sum(demand.reserve for demand in subset) > _capacity(shards, capacities)

    def without_shards(subset: list[Demand], shards: set[int]) -> list[Demand]:
        return [demand for demand in subset if shards.isdisjoint(demand.shards)]

    def without_volumes(subset: list[Demand], names: set[str]) -> list[Demand]:
        return [demand for demand in subset if demand.name not in names]

    remaining = sorted(demands, key=lambda demand: (-demand.reserve, demand.name))
    remaining = _minimize(remaining, _shards_of(remaining), without_shards, exceeds_capacity)
    smallest_first = [demand.name for demand in reversed(remaining)]
    remaining = _minimize(remaining, smallest_first, without_volumes, exceeds_capacity)
    shards = _shards_of(remaining)
    return Conflict(
        volumes=tuple(sorted(demand.name for demand in remaining)),
        shards=tuple(shards),
        reserved=sum(demand.reserve for demand in remaining),
        capacity=_capacity(shards, capacities),
    )


def _minimize(
    demands: list[Demand],
    items: Sequence[Item],
    without: Callable[[list[Demand], set[Item]], list[Demand]],
    exceeds_capacity: Callable[[Sequence[Demand]], bool],
) -> list[Demand]:
    """Drop items as long as the demands exceed the capacity: half of them at once, then ever fewer."""
    step = max(1, len(items) // 2)
    while items:
        start = 0
        while start < len(items):
            fewer = without(demands, set(items[start : start + step]))
            if fewer and len(fewer) < len(demands) and exceeds_capacity(fewer):
                demands = fewer
                items = [*items[:start], *items[start + step :]]
            else:
                start += step
        if step == 1:
            break
        step //= 2
    return demands
