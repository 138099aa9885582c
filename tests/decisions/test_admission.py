"""Admission: forecasts, shedding and Retry-After."""

from runloft.decisions.contract import (
    ShedRequest,
)
from tests.support.driver import MS, SECOND, Host, request_class, settings


def test_forecast_wait_is_zero_and_request_is_sent_while_no_rate_is_known():
    host = Host(settings())
    assert host.sends(host.receive_request())


def test_request_forecast_past_its_deadline_is_shed_on_arrival_with_retry_after():
    host = Host(settings(request_class(objective_ms=100, deadline=600)))
    host.serve(40, latency=50)  # about 20 units per second
    ids = [host.receive_request() for _ in range(30)]
    shed = [action for i in ids for at, action in host.final_responses(i) if at == host.now]
    assert shed and all(isinstance(a, ShedRequest) for a in shed)
    assert 0 < shed[0].retry_after_ns < 200 * MS
    assert shed[0].retry_after_ns <= shed[-1].retry_after_ns <= SECOND
    assert len(ids) - len(shed) >= 5  # requests that can be sent in time are queued


def test_silence_of_a_node_raises_the_forecast_wait():
    host = Host(settings(request_class(objective_ms=100, deadline=600)))
    host.serve(30)
    host.receive_request()
    host.wait(500)
    ids = [host.receive_request() for _ in range(30)]
    assert any(host.final_responses(i) for i in ids)


def test_queued_request_is_shed_with_retry_after_once_it_cannot_finish_in_time():
    host = Host(settings(request_class(objective_ms=100, deadline=3000)), at=SECOND)
    host.serve(30, latency=50)  # about 20 units per second
    host.wait(500)
    in_flight = host.receive_request(units=20)  # takes one second to serve
    arrived_at, queued = host.now, host.receive_request(units=10, time_left_ms=2600)
    assert not host.sends(queued) and not host.final_responses(queued)  # forecast within its queue deadline
    host.wait(1150)  # ends before its queue deadline
    ((at, answer),) = host.final_responses(queued)
    assert at < arrived_at + 2600 * MS - 1400 * MS  # well before its deadline
    assert isinstance(answer, ShedRequest) and answer.retry_after_ns > 0 and in_flight in host.open
