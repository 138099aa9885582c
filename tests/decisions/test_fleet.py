"""Many schedulers that share simulated nodes: limits that are safe for one may together overload a node."""

import pytest

from runloft.decisions.contract import (
    Idempotency,
    IdempotencyScope,
)
from tests.support.driver import SECOND
from tests.support.fleet import CONNECT_TIMEOUT_NS, Fleet


@pytest.mark.parametrize("load", [15.0, 27.0])
@pytest.mark.parametrize("hosts", [1, 4, 40])
def test_replaced_node_takes_over_the_demand_of_its_shard_without_overload(hosts, load):
    """A new node number has no history of its own."""
    fleet = Fleet(hosts)
    fleet.run(10, load)  # the node serves 30 units per second when warm
    fleet.replace(0, 1)
    served_before = fleet.served
    fleet.run(12, load)
    assert fleet.nodes[1].max_load <= 0.9
    assert fleet.served - served_before >= 25


@pytest.mark.parametrize("load, max_load", [(15.0, 0.6), (27.0, 0.9)])
@pytest.mark.parametrize("hosts", [1, 40, 200])
def test_no_number_of_schedulers_overloads_a_warming_up_node(hosts, load, max_load):
    """Credit for quick responses must not add up to an overload."""
    fleet = Fleet(hosts, seed=3)
    fleet.run(20, load)
    fleet.replace(0, 1)
    fleet.run(20, load)
    assert fleet.nodes[1].max_load <= max_load


@pytest.mark.parametrize("together", [0, CONNECT_TIMEOUT_NS])
@pytest.mark.parametrize("has_restarts", [False, True])
@pytest.mark.parametrize("load", [80.0, 200.0])
@pytest.mark.parametrize("hosts", [1, 5, 20, 30, 200])
def test_all_schedulers_together_stay_within_the_capacity_of_warming_up_nodes(
    hosts, load, has_restarts, together
):
    """This includes overload, restarted schedulers, and connections established at the same time."""
    fleet = Fleet(hosts, nodes=3, capacity=100.0, seed=5)
    if not has_restarts:
        fleet.run(12, load)
    fleet.connect_batch_ns = together
    fleet.replace(0, 10)
    fleet.run(9, load)
    if has_restarts:  # every other host restarts just after the second node
        fleet.replace(1, 11)
        fleet.restart(range(0, hosts, 2))
    fleet.run(9, load)
    assert 0 < max(node.max_load for node in fleet.nodes.values()) <= 0.9


SIZES = [(40, 40, 30.0, 20.0), (200, 60, 30.0, 20.0), (230, 300, 12.0, 6.0)]


@pytest.mark.parametrize(
    "hosts, nodes, capacity, load, zones, request_class",
    [(*size, zones, {}) for size in SIZES for zones in (2, 3)]
    + [
        (*SIZES[0], 3, {"idempotency": Idempotency.NOT_IDEMPOTENT}),
        (*SIZES[0], 3, {"objective_ms": 3000, "deadline": 12000}),
    ],
)
def test_nodes_serve_again_soon_after_a_network_partition(hosts, nodes, capacity, load, zones, request_class):
    """Time without a response must not be counted as service time."""
    fleet = Fleet(hosts, nodes, capacity, one_class=request_class)
    fleet.run(10, load)
    share_before = fleet.served / fleet.asked
    fleet.zones, fleet.cut_zone = zones, 0
    fleet.run(6, load)
    fleet.cut_zone = -1
    fleet.run(2, load)
    asked, served = fleet.asked, fleet.served
    fleet.run(6, load)
    assert (fleet.served - served) / (fleet.asked - asked) >= 0.88 * share_before


IDEMPOTENT_WITH_KEY = {
    "idempotency": Idempotency.IDEMPOTENT_WITH_KEY,
    "idempotency_scope": IdempotencyScope.ALL,
    "idempotency_window_ns": 20 * SECOND,
}


@pytest.mark.parametrize(
    "hosts, nodes, request_class", [(40, 30, {}), (40, 30, IDEMPOTENT_WITH_KEY), (200, 60, {})]
)
def test_requests_within_their_reserve_are_served_again_after_a_flood(hosts, nodes, request_class):
    """Late requests of a burst must not keep all nodes late."""
    fleet = Fleet(hosts, nodes, one_class=request_class)
    fleet.run(6, 14.0, flood=6.0)
    share_before = fleet.served / fleet.asked
    fleet.run(6, 14.0, flood=80.0)
    fleet.run(8, 14.0, flood=6.0)
    asked, served = fleet.asked, fleet.served
    fleet.run(6, 14.0, flood=6.0)
    assert (fleet.served - served) / (fleet.asked - asked) >= 0.8 * share_before
