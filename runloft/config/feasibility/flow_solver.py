"""The linear program that spreads reserves over shards: a maximum flow with an even load.

All coefficients are integers.  The matrix is that of a network flow, hence totally unimodular, so with
integer bounds the vertices of the program are integers too and the result is exact.
"""

import ctypes
import os
import sys
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

import highspy
import numpy

LOAD_STEPS = 16  # steps of each shard's capacity, of increasing cost so that the load is spread evenly
STDOUT_DESCRIPTOR = 1


class SolverError(ArithmeticError):
    """The solver found no optimal solution."""

    def __init__(self, status: object) -> None:
        super().__init__(f"the linear program was not solved to optimality: solver status {status}")
        self.status = status


@dataclass(frozen=True, slots=True)
class ShardGroup:
    """The total reserve of all volumes with the same shards."""

    shards: tuple[int, ...]
    reserve: int


@dataclass(frozen=True, slots=True)
class _Route:
    """A column of the program: the flow of one group to one of its shards."""

    group: int
    shard: int


@dataclass(frozen=True, slots=True)
class _LoadStep:
    """A column of the program: the load in one step of a shard's capacity."""

    shard: int
    cost: int
    size: int


def max_flow(
    groups: Sequence[ShardGroup], shards: Sequence[int], capacities: Mapping[int, int]
) -> list[dict[int, int]]:
    """Return each group's flow by shard: as much of the reserves as the shards' capacities allow.

    Raise SolverError if the solver finds no optimal solution.
    """
    flows = [dict.fromkeys(group.shards, 0) for group in groups]
    if not groups:
        return flows
    routes = [_Route(index, shard) for index, group in enumerate(groups) for shard in group.shards]
    solver = _create_solver()
    solver.passModel(_model(groups, shards, routes, _load_steps(shards, capacities)))
    solver.run()
    if solver.getModelStatus() != highspy.HighsModelStatus.kOptimal:
        raise SolverError(solver.getModelStatus())
    values = solver.getSolution().col_value[: len(routes)]
    for route, value in zip(routes, values, strict=True):
        flows[route.group][route.shard] = round(value)
    return flows


def _load_steps(shards: Sequence[int], capacities: Mapping[int, int]) -> list[_LoadStep]:
    steps = []
    for shard in shards:
        capacity = capacities.get(shard, 0)
        edges = [capacity * step // LOAD_STEPS for step in range(LOAD_STEPS + 1)]
        steps += [_LoadStep(shard, step, edges[step + 1] - edges[step]) for step in range(LOAD_STEPS)]
    return steps


def _model(
    groups: Sequence[ShardGroup],
    shards: Sequence[int],
    routes: Sequence[_Route],
    steps: Sequence[_LoadStep],
) -> Any:
    """Return the program, with a row for each group and each shard and a column for each route and step."""
    columns = len(routes) + len(steps)
    route_cost = -2.0 * LOAD_STEPS
    costs = [route_cost] * len(routes) + [float(step.cost) for step in steps]
    bounds = [float(groups[route.group].reserve) for route in routes] + [float(step.size) for step in steps]
    model = highspy.HighsLp()
    model.num_col_ = columns
    model.num_row_ = len(groups) + len(shards)
    model.col_cost_ = numpy.array(costs)
    model.col_lower_ = numpy.zeros(columns)
    model.col_upper_ = numpy.array(bounds)
    model.row_lower_ = numpy.array([-highspy.kHighsInf] * len(groups) + [0.0] * len(shards))
    model.row_upper_ = numpy.array([float(group.reserve) for group in groups] + [0.0] * len(shards))
    row_of_shard = {shard: len(groups) + index for index, shard in enumerate(shards)}
    _fill_matrix(model.a_matrix_, row_of_shard, routes, steps)
    return model


def _fill_matrix(
    matrix: Any, row_of_shard: Mapping[int, int], routes: Sequence[_Route], steps: Sequence[_LoadStep]
) -> None:
    """Fill the matrix by columns: a route has entries for its group and its shard, a step for its shard."""
    rows = [row for route in routes for row in (route.group, row_of_shard[route.shard])]
    rows += [row_of_shard[step.shard] for step in steps]
    route_entries = 2 * len(routes)
    matrix.format_ = highspy.MatrixFormat.kColwise
    matrix.start_ = numpy.array([*range(0, route_entries, 2), *range(route_entries, len(rows) + 1)])
    matrix.index_ = numpy.array(rows)
    matrix.value_ = numpy.array([1.0] * route_entries + [-1.0] * len(steps))


@contextmanager
def _stdout_discarded() -> Iterator[None]:
    """Discard all standard output: the library prints a banner that no option suppresses."""
    sys.stdout.flush()
    stdout = os.dup(STDOUT_DESCRIPTOR)
    null = os.open(os.devnull, os.O_WRONLY)
    os.dup2(null, STDOUT_DESCRIPTOR)
    try:
        yield
    finally:
        ctypes.CDLL(None).fflush(None)  # the banner is still in C's stdio buffer
        os.dup2(stdout, STDOUT_DESCRIPTOR)
        os.close(stdout)
        os.close(null)


def _create_solver() -> Any:
    with _stdout_discarded():
        solver: Any = highspy.Highs()  # type: ignore[no-untyped-call]
    solver.silent()
    solver.setOptionValue("solver", "simplex")  # returns an integral vertex, never an interior point
    solver.setOptionValue("threads", 1)
    solver.setOptionValue("random_seed", 1)
    return solver
