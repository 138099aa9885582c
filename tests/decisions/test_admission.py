"""Admission: forecasts, shedding and Retry-After."""

from runloft.decisions.contract import (
    ShedRequest,
)
from tests.support.driver import MS, SECOND, Host, request_class, settings


def test_forecast_is_zero_and_request_is_sent_while_no_rate_is_known():
    host = Host(settings())
    assert host.sends(host.ask())


def test_request_forecast_past_its_deadline_is_shed_on_arrival_with_retry_after():
    host = Host(settings(request_class(aim=100, deadline=600)))
    host.serve(40, latency=50)  # about 20 units a second
    ids = [host.ask() for _ in range(30)]
    refused = [action for i in ids for at, action in host.answers(i) if at == host.now]
    assert refused and all(isinstance(a, ShedRequest) for a in refused)
    assert 0 < refused[0].retry_after_ns < 200 * MS
    assert refused[0].retry_after_ns <= refused[-1].retry_after_ns <= SECOND
    assert len(ids) - len(refused) >= 5  # what can leave in its time is taken


def test_silence_of_a_node_raises_the_forecast():
    host = Host(settings(request_class(aim=100, deadline=600)))
    host.serve(30)
    host.ask()
    host.wait(500)
    ids = [host.ask() for _ in range(30)]
    assert any(host.answers(i) for i in ids)


def test_queued_request_is_shed_with_retry_after_once_it_cannot_finish_in_time():
    host = Host(settings(request_class(aim=100, deadline=3000)), at=SECOND)
    host.serve(30, latency=50)  # about 20 units a second
    host.wait(500)
    out = host.ask(units=20)  # a second of work
    asked, held = host.now, host.ask(units=10, left=2600)
    assert not host.sends(held) and not host.answers(held)  # in its forecast it can still be served
    host.wait(1150)  # before its hold time
    ((at, answer),) = host.answers(held)
    assert at < asked + 2600 * MS - 1400 * MS  # well before its deadline
    assert isinstance(answer, ShedRequest) and answer.retry_after_ns > 0 and out in host.open
