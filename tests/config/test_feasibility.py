"""Feasibility of reserves: against all subsets of shards, and at exact capacity."""

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


def fits(wanted, bears):
    """Say by Hall's condition, over all sets of shards, whether it fits."""
    for size in range(len(SHARDS) + 1):
        for some in combinations(SHARDS, size):
            inside = sum(d.reserve for d in wanted if set(d.shards) <= set(some))
            if inside > sum(bears[shard] for shard in some):
                return False
    return True


@st.composite
def worlds(draw):
    bears = {shard: draw(st.integers(0, 30)) for shard in SHARDS}
    some = st.lists(st.sampled_from(SHARDS), min_size=1, max_size=3, unique=True)
    wanted = [
        Demand(f"v{n}", draw(st.integers(1, 25)), tuple(sorted(draw(some))))
        for n in range(draw(st.integers(1, 6)))
    ]
    return wanted, bears


@given(worlds())
@settings(max_examples=150, deadline=None)
def test_assignment_finds_what_fits_and_conflicts_are_minimal(world):
    wanted, bears = world
    found = assign_reserves(wanted, bears)
    assert (found.unassigned == 0) == fits(wanted, bears)
    for demand, portions in zip(wanted, found.portions, strict=True):
        assert sum(portion.amount for portion in portions) <= demand.reserve
        assert {portion.shard for portion in portions} <= set(demand.shards)
    assert all(found.load[shard] <= bears[shard] for shard in found.load)
    if found.unassigned:
        told = find_conflicts(wanted, bears, found)
        assert told
        for conflict in told:
            inside = [demand for demand in wanted if demand.name in conflict.volumes]
            assert not fits(inside, bears) and conflict.reserved > conflict.capacity
            for one in inside:  # smallest: without any one of them it fits
                assert fits([d for d in inside if d is not one], bears)


def test_reserves_at_exact_capacity_are_decided_consistently():
    wanted = [Demand(f"v{n}", 333_333, (0, 1, 2)) for n in range(3)]
    for extra in (-2, -1, 0, 1):
        bears = {0: 333_333, 1: 333_333, 2: 333_333 + extra}
        got = {
            assign_reserves(order, bears).unassigned
            for order in (wanted, wanted[::-1], wanted[1:] + wanted[:1])
        }
        assert got == {max(0, -extra)}


FLEET = (Path(__file__).parent / "files" / "fleet.toml").read_text()


def test_a_reserve_that_needs_two_shards_is_feasible_with_a_warning():
    text = FLEET.replace("BaseRate = 20.0", "BaseRate = 60").replace("Guaranteed = 10.0", "Guaranteed = 52.0")
    text = text.replace("shards = [1, 3]", "shards = [2]").replace('plan = "standard"', 'plan = "basic"', 2)
    text = text.replace('plan = "basic"\nshards = [1, 2]', 'plan = "standard"\nshards = [1, 2]')
    checked = parse_fleet("f.toml", text.encode())
    assert not checked.faults
    told = {fault.code: fault.reason for fault in check_feasibility(checked.fleet)}
    assert "52 units/s on shard 1 is 7 more" in told["reserve-on-one-shard"]
    assert re.match(r"with s-[12] lost, 7 units/s", told["reserve-node-lost"])
    assert "reserve-node-cold" not in told  # a quarter of its power bears the rest


def test_a_conflict_names_volumes_shards_and_figures():
    text = FLEET.replace("shards = [1, 2]", "shards = [3]").replace("shards = [1, 3]", "shards = [3]")
    fleet = parse_fleet("f.toml", text.encode()).fleet
    (fault,) = check_feasibility(fleet)
    assert (fault.code, fault.key) == ("reserve-not-borne", "volumes.0")
    assert fault.reason == "ships and tracks reserve 20 units/s on shard 3, which bears 18"
    assert fault.remedy.startswith("2 units/s less")


@pytest.mark.parametrize(("old", "new"), [("Guaranteed = 10.0", "Guaranteed = 6.0"), ("[1, 3]", "[1, 2]")])
def test_the_larger_reserve_of_two_generations_has_to_fit(old, new):
    before = parse_fleet("a.toml", FLEET.encode()).fleet
    after = parse_fleet("b.toml", FLEET.replace(old, new).encode()).fleet
    both = merge_generations(after.volumes, before.volumes)
    assert {v.name: v.plan.reserve for v in both if v.plan.reserve} == {"tracks": 10.0, "ships": 10.0}
    # A volume that moves is served by some on its old shards and by others on its new ones.
    assert next(v for v in both if v.name == "ships").shards == ((1,) if "3" in old else (1, 3))


def test_the_rate_of_a_node_is_that_of_its_least_speed():
    fleet = parse_fleet("f.toml", FLEET.encode()).fleet
    assert [fleet.min_rate(node) for node in fleet.nodes] == [50, 50, 20]
    assert [fleet.max_rate(node) for node in fleet.nodes] == [75, 75, Fraction(25)]
