"""Dispatch order and time-outs."""

from runloft.decisions.contract import (
    AttemptOutcome,
)
from tests.support.driver import MS, Host, overloaded_host, request_class, settings


def test_late_request_waits_while_a_slow_node_is_busy():
    """Late requests that were served delayed timely requests of other schedulers."""
    host = Host(settings(request_class(objective_ms=100, deadline=3000)))
    host.serve(30, latency=70)
    host.wait(500)
    first, late = host.receive_request(), host.receive_request()
    host.wait(70)
    host.finish_attempt(first, latency=70)
    host.wait(150)
    assert not host.sends(late)
    host.wait(150)
    assert host.sends(late)


def test_attempt_in_a_large_fleet_times_out_with_its_objective_and_is_shed():
    """Requests whose clients have disconnected must not keep nodes busy."""
    host = overloaded_host(200)
    host.wait(400)
    request_id = host.receive_request()
    host.wait(300)
    ((_, send),) = host.sends(request_id)
    assert 0 < send.timeout_ns <= 2 * 100 * MS
    host.finish_attempt(request_id, AttemptOutcome.TIMEOUT, latency=100)
    assert [action.retry_after_ns > 0 for _, action in host.final_responses(request_id)] == [True]


def test_objective_of_a_client_retry_counts_from_its_first_try():
    host = Host(settings(request_class(objective_ms=100, deadline=2000, late_priority_weight=0.1)))
    host.serve(20, latency=20)
    in_flight = [host.receive_request() for _ in range(4)]
    client_retry, new_request = host.receive_request(time_left_ms=1500), host.receive_request()
    assert not host.sends(client_retry) and not host.sends(new_request)
    while not host.sends(new_request):
        host.finish_attempt(min(host.open))
    assert not host.sends(client_retry) and in_flight
    while not host.sends(client_retry):
        host.finish_attempt(min(host.open))
