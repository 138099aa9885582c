"""Explanation of reserves that can't be assigned: smallest sets of volumes that can't be served together."""

from collections import defaultdict
from collections.abc import Callable, Collection, Iterator, Mapping, Sequence
from dataclasses import dataclass
from itertools import combinations
from typing import TypeVar

from runloft.config.feasibility.assignment import SCALE, Assignment, Demand
from runloft.config.schema.kinds import join_names

MAX_SHARDS_SEARCHED = 8  # of a volume, for which all their subsets are looked at
MAX_CONFLICTS = 20  # that are reported
MAX_NAMES_LISTED = 8  # volumes or shards in a reason
Item = TypeVar("Item")


@dataclass(frozen=True, slots=True)
class Conflict:
    """A smallest set of volumes that can't be served together: without any one of them it could.

    ``reserved`` and ``capacity`` are thousandths of a unit a second.
    """

    volumes: tuple[str, ...]
    shards: tuple[int, ...]
    reserved: int
    capacity: int

    def __str__(self) -> str:
        names = _listed(self.volumes)
        shards = _listed([str(shard) for shard in self.shards])
        verb = "reserves" if len(self.volumes) == 1 else "reserve"
        shard, bear = ("shard", "bears") if len(self.shards) == 1 else ("shards", "bear")
        return (
            f"{names} {verb} {self.reserved / SCALE:g} units/s on {shard} {shards}, "
            f"which {bear} {self.capacity / SCALE:g}"
        )


def _listed(names: Sequence[str]) -> str:
    if len(names) > MAX_NAMES_LISTED:
        return f"{', '.join(names[:MAX_NAMES_LISTED])} and {len(names) - MAX_NAMES_LISTED} more"
    return join_names(names)


def find_conflicts(
    demands: Sequence[Demand], capacities: Mapping[int, int], assignment: Assignment
) -> list[Conflict]:
    """Return smallest sets that can't be served together, from each part of the fleet that is short."""
    served_on: dict[int, list[int]] = defaultdict(list)
    for index, portions in enumerate(assignment.portions):
        for portion in portions:
            served_on[portion.shard].append(index)
    conflicts: list[Conflict] = []
    explained: set[int] = set()
    for index, demand in enumerate(demands):
        assigned = sum(portion.amount for portion in assignment.portions[index])
        if assigned >= demand.reserve or index in explained:
            continue
        connected = _connected(index, demands, served_on)
        explained |= connected
        conflicts += _smallest_conflicts([demands[other] for other in sorted(connected)], capacities)
        if len(conflicts) >= MAX_CONFLICTS:
            break
    return conflicts[:MAX_CONFLICTS]


def _connected(start: int, demands: Sequence[Demand], served_on: Mapping[int, Sequence[int]]) -> set[int]:
    """Return all demands that could make way for one, directly or by moving others.

    None of their shards has capacity left, or the assignment would have used it.
    """
    connected = {start}
    shards: set[int] = set()
    pending = [start]
    while pending:
        for shard in demands[pending.pop()].shards:
            if shard not in shards:
                shards.add(shard)
                fresh = [index for index in served_on.get(shard, ()) if index not in connected]
                connected.update(fresh)
                pending += fresh
    return connected


def _smallest_conflicts(demands: list[Demand], capacities: Mapping[int, int]) -> Iterator[Conflict]:
    """Yield conflicts among connected demands, on shards that are disjoint from each other.

    Most often a few volumes on one volume's shards are the whole cause, at several places: those are
    reported one by one.  Only where no volume's own shards are short are all demands looked at together.
    """
    all_shards = frozenset(shard for demand in demands for shard in demand.shards)
    reported: set[int] = set()
    for shards in _short_shard_sets(demands, capacities) or [all_shards]:
        if reported.isdisjoint(shards):
            reported |= shards
            inside = [demand for demand in demands if shards.issuperset(demand.shards)]
            yield _smallest_conflict(inside, capacities)


def _short_shard_sets(demands: Sequence[Demand], capacities: Mapping[int, int]) -> list[frozenset[int]]:
    """Return the shard sets of single volumes whose capacity is short of what lies on them alone."""
    reserves: dict[frozenset[int], int] = defaultdict(int)
    for demand in demands:
        reserves[frozenset(demand.shards)] += demand.reserve
    short = [
        shards
        for shards in reserves
        if len(shards) <= MAX_SHARDS_SEARCHED
        and sum(reserves.get(subset, 0) for subset in _subsets(shards)) > _capacity(shards, capacities)
    ]
    return sorted(short, key=lambda shards: (len(shards), sorted(shards)))


def _subsets(shards: frozenset[int]) -> Iterator[frozenset[int]]:
    for size in range(1, len(shards) + 1):
        yield from map(frozenset, combinations(shards, size))


def _capacity(shards: Collection[int], capacities: Mapping[int, int]) -> int:
    return sum(capacities.get(shard, 0) for shard in shards)


def _shards_of(demands: Sequence[Demand]) -> list[int]:
    return sorted({shard for demand in demands for shard in demand.shards})


def _smallest_conflict(demands: list[Demand], capacities: Mapping[int, int]) -> Conflict:
    """Leave out what can be left out: first shards with all that lies on them, then single volumes."""

    def short(some: Sequence[Demand]) -> bool:
        shards = {shard for demand in some for shard in demand.shards}
        return sum(demand.reserve for demand in some) > _capacity(shards, capacities)

    def without_shards(some: list[Demand], shards: set[int]) -> list[Demand]:
        return [demand for demand in some if shards.isdisjoint(demand.shards)]

    def without_volumes(some: list[Demand], names: set[str]) -> list[Demand]:
        return [demand for demand in some if demand.name not in names]

    remaining = sorted(demands, key=lambda demand: (-demand.reserve, demand.name))
    remaining = _reduce(remaining, _shards_of(remaining), without_shards, short)
    smallest_first = [demand.name for demand in reversed(remaining)]
    remaining = _reduce(remaining, smallest_first, without_volumes, short)
    shards = _shards_of(remaining)
    return Conflict(
        volumes=tuple(sorted(demand.name for demand in remaining)),
        shards=tuple(shards),
        reserved=sum(demand.reserve for demand in remaining),
        capacity=_capacity(shards, capacities),
    )


def _reduce(
    demands: list[Demand],
    items: Sequence[Item],
    without: Callable[[list[Demand], set[Item]], list[Demand]],
    short: Callable[[Sequence[Demand]], bool],
) -> list[Demand]:
    """Leave out as many items as possible while the demands stay short: by halves first, then one by one."""
    step = max(1, len(items) // 2)
    while items:
        start = 0
        while start < len(items):
            fewer = without(demands, set(items[start : start + step]))
            if fewer and len(fewer) < len(demands) and short(fewer):
                demands = fewer
                items = [*items[:start], *items[start + step :]]
            else:
                start += step
        if step == 1:
            break
        step //= 2
    return demands
