"""The congestion price of overloaded nodes in a large fleet."""

import pytest

from runloft.decisions.contract import (
    AttemptOutcome,
    NodeEntry,
)
from tests.support.driver import SECOND, Host, overloaded_host, request_class, settings


@pytest.mark.parametrize("outcome", [AttemptOutcome.OK, AttemptOutcome.TIMEOUT])
def test_many_schedulers_keep_low_priority_requests_from_an_overloaded_node(outcome):
    """213 schedulers with one request each kept all queues full for seconds, for disconnected clients."""
    for hosts, is_sent in ((200, False), (4, True)):
        host = overloaded_host(hosts, outcome)
        low_priority = host.receive_request(request_class=1)
        assert bool(host.sends(low_priority)) is is_sent
    host = overloaded_host(200, outcome)
    assert host.sends(host.receive_request(request_class=0))


def test_timely_responses_lower_the_congestion_price():
    host = overloaded_host(200)
    host.serve(40, latency=5)
    assert host.sends(host.receive_request(request_class=1))


def test_mean_price_applies_to_a_node_without_responses():
    host = overloaded_host(200)
    mean_price = host.scheduler.pricing.mean.value
    assert mean_price > 0
    node = host.scheduler.nodes[11]
    assert host.scheduler.pricing.current_for(node.congestion_price, host.now) > 0


def test_restarted_node_has_no_price_and_is_not_unresponsive():
    """The queue of the previous process was lost with it."""
    host = overloaded_host(200, AttemptOutcome.TIMEOUT)
    assert not host.sends(host.receive_request(request_class=1))
    host.update_nodes(NodeEntry(10, 0, started_ns=host.now))
    assert host.sends(host.receive_request(request_class=1))


def congestion_price(host: Host) -> float:
    node = host.scheduler.nodes[10]
    return host.scheduler.pricing.current_for(node.congestion_price, host.now)


def test_response_within_its_class_objective_raises_no_price():
    """Slow responses of a class with a long objective made every node look overloaded."""
    quick, slow = (
        request_class(objective_ms=100, deadline=3000),
        request_class(objective_ms=1000, deadline=3000, priority_weight=0.5),
    )
    host = Host(settings(quick, slow, scheduler_count=40))
    for _ in range(6):
        host.finish_attempt(host.receive_request(request_class=1), latency=300)
        host.wait(100)
    assert congestion_price(host) == 0
    host.finish_attempt(host.receive_request(request_class=0), latency=300)
    assert congestion_price(host) > 0


def test_price_falls_after_a_few_timely_responses():
    """Nodes with one response in two seconds must not keep a high price for long."""
    host = Host(settings(request_class(objective_ms=1000, deadline=6000), scheduler_count=40), at=SECOND)
    node = host.scheduler.nodes[10]
    for _ in range(2):
        host.finish_attempt(host.receive_request(), latency=1000)
    raised = host.scheduler.pricing.current_for(node.congestion_price, host.now)
    host.receive_request()
    for _ in range(3):
        host.finish_attempt(host.next_id - 1, latency=50)
        host.receive_request()
    assert raised > 0 and host.scheduler.pricing.current_for(node.congestion_price, host.now) < raised / 4
