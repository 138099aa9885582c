"""The smoothed service rate."""

from runloft.decisions.contract import (
    AttemptOutcome,
    NodeEntry,
)
from tests.support.driver import Host, request_class, settings
from tests.support.fleet import fleet_settings


def test_quick_errors_do_not_raise_the_service_rate():
    host = Host(settings(request_class(objective_ms=100, deadline=600), max_attempts=1))
    host.serve(30, latency=20)
    rate_before = host.scheduler.nodes[10].rate.units_per_second
    for _ in range(200):
        host.receive_request()
        host.wait(1)
        host.finish_all_attempts(AttemptOutcome.ERROR)
    assert host.scheduler.nodes[10].rate.units_per_second <= rate_before


def test_rate_over_all_nodes_is_known_before_that_of_one():
    host = Host(fleet_settings(40, 0), nodes=[NodeEntry(n, n) for n in range(30)])
    for n in range(30):
        host.serve(1, latency=100, shard=n)
    scheduler = host.scheduler
    assert not any(node.rate.units_per_second for node in scheduler.nodes.values())
    assert 5 < scheduler.nodes[0].estimated_rate(host.now) < 20
