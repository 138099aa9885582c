"""Feasibility of reserves: compared with all subsets of shards, at exact capacity, and its faults."""

import re
from fractions import Fraction
from itertools import combinations
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from runloft.config.feasibility.assignment import Demand, assign_reserves
from runloft.config.feasibility.check import check_feasibility, merge_generations
from runloft.config.feasibility.conflicts import find_conflicts
from runloft.config.fleet.file import parse_fleet

SHARDS = range(4)


def fits(demands, capacities):
    """Return whether the demands fit, by Hall's condition over all sets of shards."""
    for size in range(len(SHARDS) + 1):
        for subset in combinations(SHARDS, size):
            inside = sum(d.reserve for d in demands if set(d.shards) <= set(subset))
            if inside > sum(capacities[shard] for shard in subset):
                return False
    return True


@st.composite
def demands_and_capacities(draw):
    capacities = {shard: draw(st.integers(0, 30)) for shard in SHARDS}
    shard_sets = st.lists(st.sampled_from(SHARDS), min_size=1, max_size=3, unique=True)
    demands = [
        Demand(f"v{n}", draw(st.integers(1, 25)), tuple(sorted(draw(shard_sets))))
        for n in range(draw(st.integers(1, 6)))
    ]
    return demands, capacities


@given(demands_and_capacities())
@settings(max_examples=150, deadline=None)
def test_assignment_finds_what_fits_and_conflicts_are_minimal(example):
    demands, capacities = example
    assignment = assign_reserves(demands, capacities)
    assert (assignment.unassigned == 0) == fits(demands, capacities)
    for demand, portions in zip(demands, assignment.portions, strict=True):
        assert sum(portion.amount for portion in portions) <= demand.reserve
        assert {portion.shard for portion in portions} <= set(demand.shards)
    assert all(assignment.load[shard] <= capacities[shard] for shard in assignment.load)
    if assignment.unassigned:
        conflicts = find_conflicts(demands, capacities, assignment)
        assert conflicts
        for conflict in conflicts:
            inside = [demand for demand in demands if demand.name in conflict.volumes]
            assert not fits(inside, capacities) and conflict.reserved > conflict.capacity
            for dropped in inside:  # minimal: without any one of them the rest fits
                assert fits([d for d in inside if d is not dropped], capacities)


def test_reserves_at_exact_capacity_are_decided_consistently():
    demands = [Demand(f"v{n}", 333_333, (0, 1, 2)) for n in range(3)]
    for extra in (-2, -1, 0, 1):
        capacities = {0: 333_333, 1: 333_333, 2: 333_333 + extra}
        unassigned = {
            assign_reserves(order, capacities).unassigned
            for order in (demands, demands[::-1], demands[1:] + demands[:1])
        }
        assert unassigned == {max(0, -extra)}


FLEET = (Path(__file__).parent / "files" / "fleet.toml").read_text()


def test_a_reserve_that_needs_two_shards_is_feasible_with_a_warning():
    text = FLEET.replace("BaseRate = 20.0", "BaseRate = 60").replace("Guaranteed = 10.0", "Guaranteed = 52.0")
    text = text.replace("shards = [1, 3]", "shards = [2]").replace('plan = "standard"', 'plan = "basic"', 2)
    text = text.replace('plan = "basic"\nshards = [1, 2]', 'plan = "standard"\nshards = [1, 2]')
    checked = parse_fleet("f.toml", text.encode())
    assert not checked.faults
    reasons = {fault.code: fault.reason for fault in check_feasibility(checked.fleet)}
    assert "52 units/s on shard 1 is 7 more" in reasons["reserve-on-one-shard"]
    assert re.match(r"with s-[12] lost, 7 units/s", reasons["reserve-node-lost"])
    assert "reserve-node-cold" not in reasons  # a quarter of its rate is enough for the rest


def test_a_conflict_names_volumes_shards_and_figures():
    text = FLEET.replace("shards = [1, 2]", "shards = [3]").replace("shards = [1, 3]", "shards = [3]")
    fleet = parse_fleet("f.toml", text.encode()).fleet
    (fault,) = check_feasibility(fleet)
    assert (fault.code, fault.key) == ("reserve-not-borne", "volumes.0")
    assert fault.reason == "ships and tracks reserve 20 units/s on shard 3, which has capacity for 18"
    assert fault.remedy.startswith("2 units/s less")


@pytest.mark.parametrize(("old", "new"), [("Guaranteed = 10.0", "Guaranteed = 6.0"), ("[1, 3]", "[1, 2]")])
def test_the_larger_reserve_of_two_generations_has_to_fit(old, new):
    before = parse_fleet("a.toml", FLEET.encode()).fleet
    after = parse_fleet("b.toml", FLEET.replace(old, new).encode()).fleet
    both = merge_generations(after.volumes, before.volumes)
    assert {v.name: v.plan.reserve for v in both if v.plan.reserve} == {"tracks": 10.0, "ships": 10.0}
    # During a move some sidecars serve a volume on its old shards and others on its new ones.
    assert next(v for v in both if v.name == "ships").shards == ((1,) if "3" in old else (1, 3))


def test_the_rates_of_a_node_are_those_of_its_lowest_and_highest_speed():
    fleet = parse_fleet("f.toml", FLEET.encode()).fleet
    assert [fleet.min_rate(node) for node in fleet.nodes] == [50, 50, 20]
    assert [fleet.max_rate(node) for node in fleet.nodes] == [75, 75, Fraction(25)]
