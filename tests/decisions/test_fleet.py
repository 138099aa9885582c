"""The large fleet: what one scheduler does that is safe alone and harmful, or useless, when forty do it."""

import pytest

from runloft.decisions.contract import AttemptOutcome, Idempotency, IdempotencyScope, NodeEntry, NodeState
from tests.support.driver import MS, NODE, SECOND, Host, request_class, settings
from tests.support.fleet import CONNECT, Fleet, fleet_settings


def congestion_price(host: Host) -> float:
    node = host.scheduler.nodes[10]
    return host.scheduler.pricing.price_of(node.congestion_price, host.now)


@pytest.mark.parametrize("load", [15.0, 27.0])
@pytest.mark.parametrize("hosts", [1, 4, 40])
def test_a_replaced_node_is_used_by_what_its_shard_was_used_and_not_pushed_over(hosts, load):
    """Day join+vast: replaced nodes got next to nothing for 18 s, since a new id has no past."""
    fleet = Fleet(hosts)
    fleet.run(10, load)  # of the 30 units a second that the node does when warm
    fleet.replace(0, 1)
    before = fleet.served
    fleet.run(12, load)
    assert fleet.nodes[1].worst <= 0.9
    assert fleet.served - before >= 25


def test_a_restarted_host_uses_a_cold_node_by_what_it_is_asked_for():
    """Day herd+vast: hosts that had forgotten everything left all replaced nodes idle."""
    host = Host(fleet_settings(40, 0), nodes=(NODE, NodeEntry(11, 1, started_ns=SECOND)), at=SECOND)
    host.serve(120, latency=20, shard=0)
    before = len(host.sends())
    for _ in range(40):
        host.ask(shard=1, left=800)
        host.wait(250)
        host.end_all()
    assert 2 <= len(host.sends()) - before <= 20


def test_thin_traffic_shows_a_rate_over_all_nodes_before_it_does_at_one():
    host = Host(fleet_settings(40, 0), nodes=[NodeEntry(n, n) for n in range(30)])
    for n in range(30):
        host.serve(1, latency=100, shard=n)
    scheduler = host.scheduler
    assert not any(node.rate.units_per_second for node in scheduler.nodes.values())
    assert 5 < scheduler.nodes[0].estimated_rate(host.now) < 20


@pytest.mark.parametrize("outcome", [AttemptOutcome.FULL, AttemptOutcome.CONNECT_FAILED])
def test_new_objects_leave_a_node_that_drained_or_went_before_the_list_tells(outcome):
    """Day herd+vast: lists came six seconds late, and new objects went on to nodes that turned all away."""
    host = Host(fleet_settings(40, 0, max_attempts=1), nodes=(NODE, NodeEntry(11, 1)))
    for shard in (0, 1):
        host.serve(2, latency=20, shard=shard)
    host.end(host.ask(shard=0), outcome, latency=1)
    host.wait(100)
    placed = []
    for _ in range(6):
        placed.append(host.nodes[id_ := host.ask(shard=None)])
        host.end(id_)
    assert set(placed) == {11}


def test_an_answer_in_its_classs_own_aim_raises_no_price():
    """A long class's answers, as slow as they may be, made every node look crowded to the tight classes."""
    quick, slow = (
        request_class(aim=100, deadline=3000),
        request_class(aim=1000, deadline=3000, priority_weight=0.5),
    )
    host = Host(settings(quick, slow, hosts=40))
    for _ in range(6):
        host.end(host.ask(request_class=1), latency=300)
        host.wait(100)
    assert congestion_price(host) == 0
    host.end(host.ask(request_class=0), latency=300)
    assert congestion_price(host) > 0


def test_a_crowd_that_is_over_is_forgotten_after_a_few_timely_answers():
    """Large fleet: nodes that answered in 30 to 60 ms stayed dear, with one answer in two seconds each."""
    host = Host(settings(request_class(aim=1000, deadline=6000), hosts=40), at=SECOND)
    node = host.scheduler.nodes[10]
    for _ in range(2):
        host.end(host.ask(), latency=1000)
    dear = host.scheduler.pricing.price_of(node.congestion_price, host.now)
    host.ask()
    for _ in range(3):
        host.end(host.next_id - 1, latency=50)
        host.ask()
    assert dear > 0 and host.scheduler.pricing.price_of(node.congestion_price, host.now) < dear / 4


@pytest.mark.parametrize("outcome", [AttemptOutcome.FULL, AttemptOutcome.CONNECT_FAILED])
def test_a_request_waits_a_while_where_a_node_turned_it_away_and_keeps_its_attempts(outcome):
    """Day herd+vast: three attempts within 15 ms, a thousand refused connects a second over the fleet."""
    host = Host(settings(request_class(aim=1000, deadline=6000), hosts=40, max_attempts=3), at=SECOND)
    id_ = host.ask()
    host.end(id_, outcome, latency=1)
    assert len(host.sends(id_)) == 1 and not host.answers(id_)
    host.wait(200)
    assert len(host.sends(id_)) == 2
    host.end(id_, outcome, latency=1)
    gaps = [host.sends(id_)[1][0] - host.sends(id_)[0][0]]
    host.wait(200)
    gaps.append(host.sends(id_)[2][0] - host.sends(id_)[1][0])
    assert gaps[0] >= 5 * MS and len(host.sends(id_)) == 3
    host.end(id_)
    assert host.scheduler.nodes[10].backoff.length_objectives == 0


def test_few_hosts_try_again_at_once_where_a_node_turned_one_away():
    """Simulated big-1: seven hosts are no storm, and resting cost them requests that the next try served."""
    host = Host(settings(request_class(aim=1000, deadline=6000), hosts=7, max_attempts=3), at=SECOND)
    id_ = host.ask()
    host.end(id_, AttemptOutcome.FULL, latency=1)
    assert len(host.sends(id_)) == 2


@pytest.mark.parametrize("load, most", [(15.0, 0.6), (27.0, 0.9)])
@pytest.mark.parametrize("hosts", [1, 40, 200])
def test_no_number_of_schedulers_pushes_a_cold_node_over(hosts, load, most):
    """Quick answers ease the guard only while they are quick: the sum at the node stays borne."""
    fleet = Fleet(hosts, seed=3)
    fleet.run(20, load)
    fleet.replace(0, 1)
    fleet.run(20, load)
    assert fleet.nodes[1].worst <= most


@pytest.mark.parametrize("together", [0, CONNECT])
@pytest.mark.parametrize("fresh", [False, True])
@pytest.mark.parametrize("load", [80.0, 200.0])
@pytest.mark.parametrize("hosts", [1, 5, 20, 30, 200])
def test_cold_nodes_get_from_all_hosts_together_what_they_bear(hosts, load, fresh, together):
    """In a crowd, after restarts, with connections that come up together: nothing is left to chance."""
    fleet = Fleet(hosts, nodes=3, capacity=100.0, seed=5)
    if not fresh:
        fleet.run(12, load)
    fleet.together = together
    fleet.replace(0, 10)
    fleet.run(9, load)
    if fresh:  # every other host begins anew, just when the second node has
        fleet.replace(1, 11)
        fleet.restart(range(0, hosts, 2))
    fleet.run(9, load)
    assert 0 < max(node.worst for node in fleet.nodes.values()) <= 0.9


def sends_to_a_cold_node(latency):
    """Count those of a host that asks for a unit a second, in the first 14 s of a node."""
    host = Host(fleet_settings(200, 0, slow_start_units=0.0), at=SECOND)

    def ask(times, answered):
        for _ in range(times):
            host.ask(left=900)
            host.wait(answered)
            host.end_all(latency=answered)
            host.wait(1000 - answered)
        return len(host.sends())

    before = ask(20, 50)
    host.tell(NodeEntry(10, 0, NodeState.GONE), NodeEntry(11, 0, started_ns=host.now))
    return ask(14, latency) - before


def test_a_cold_node_that_answers_at_once_is_asked_for_more():
    """Day join+mass: replaced nodes had one request in hand, and half of what came was refused."""
    assert sends_to_a_cold_node(50) > sends_to_a_cold_node(600) > 0


SIZES = [(40, 40, 30.0, 20.0), (200, 60, 30.0, 20.0), (230, 300, 12.0, 6.0)]


@pytest.mark.parametrize(
    "hosts, nodes, capacity, load, zones, request_class",
    [(*size, zones, {}) for size in SIZES for zones in (2, 3)]
    + [
        (*SIZES[0], 3, {"idempotency": Idempotency.NOT_IDEMPOTENT}),
        (*SIZES[0], 3, {"aim": 3000, "deadline": 12000}),
    ],
)
def test_after_a_cut_the_nodes_that_were_silent_soon_serve(
    hosts, nodes, capacity, load, zones, request_class
):
    """Day split+mass: time without an answer looked like a slow node, and forecasts refused what came."""
    fleet = Fleet(hosts, nodes, capacity, one_class=request_class)
    fleet.run(10, load)
    before = fleet.served / fleet.asked
    fleet.zones, fleet.cut_zone = zones, 0
    fleet.run(6, load)
    fleet.cut_zone = -1
    fleet.run(2, load)
    asked, served = fleet.asked, fleet.served
    fleet.run(6, load)
    assert (fleet.served - served) / (fleet.asked - asked) >= 0.88 * before


IDEMPOTENT_WITH_KEY = {
    "idempotency": Idempotency.IDEMPOTENT_WITH_KEY,
    "idempotency_scope": IdempotencyScope.ALL,
    "idempotency_window_ns": 20 * SECOND,
}


@pytest.mark.parametrize(
    "hosts, nodes, request_class", [(40, 30, {}), (40, 30, IDEMPOTENT_WITH_KEY), (200, 60, {})]
)
def test_after_a_flood_what_is_within_its_reserve_is_served_again(hosts, nodes, request_class):
    """Day split+mass, seed 2: late work of a burst kept all nodes late, and prices kept idle ones shut."""
    fleet = Fleet(hosts, nodes, one_class=request_class)
    fleet.run(6, 14.0, flood=6.0)
    before = fleet.served / fleet.asked
    fleet.run(6, 14.0, flood=80.0)
    fleet.run(8, 14.0, flood=6.0)
    asked, served = fleet.asked, fleet.served
    fleet.run(6, 14.0, flood=6.0)
    assert (fleet.served - served) / (fleet.asked - asked) >= 0.8 * before
