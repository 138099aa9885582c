"""Each request gets exactly one final response, in time."""

from runloft.decisions.contract import (
    AttemptOutcome,
    CancelAttempt,
    ClientGone,
    FailRequest,
    Idempotency,
    NodeEntry,
    NodeState,
    ShedRequest,
    StreamStarted,
)
from tests.support.driver import MS, NODE, SECOND, Host, gone_entry, request_class, settings


def test_request_without_time_left_gets_a_response():
    host = Host(settings())
    request_id = host.receive_request(time_left_ms=0, shard=40)
    host.wait(10)
    assert len(host.final_responses(request_id)) == 1


def test_only_a_request_that_reached_no_node_is_shed_at_its_queue_deadline():
    host = Host(settings(request_class(objective_ms=100, deadline=1000)), nodes=())
    unsent = host.receive_request()
    host.wait(449)
    assert not host.final_responses(unsent)
    host.wait(1)
    ((_, answer),) = host.final_responses(unsent)
    assert isinstance(answer, ShedRequest) and answer.retry_after_ns > 0
    host.update_nodes(NODE)
    reached = host.receive_request()
    host.update_nodes(gone_entry(10, state=NodeState.DRAINING))
    host.finish_attempt(reached, AttemptOutcome.RESET)
    host.wait(900)
    assert not host.final_responses(reached)
    host.wait(98)
    assert len(host.final_responses(reached)) == 1


def test_request_shed_after_a_failed_attempt_has_a_retry_after():
    host = Host(settings(request_class(objective_ms=100, deadline=600), max_attempts=1))
    host.serve(30, latency=20)
    request_id = host.receive_request()
    host.finish_attempt(request_id, AttemptOutcome.ERROR)
    ((at, answer),) = host.final_responses(request_id)
    assert at == host.now and isinstance(answer, ShedRequest) and 0 < answer.retry_after_ns <= SECOND


def test_request_shed_for_an_unknown_shard_has_a_retry_after():
    host = Host(settings())
    request_id = host.receive_request(shard=40)
    host.wait(1000)
    assert [action.retry_after_ns > 0 for _, action in host.final_responses(request_id)] == [True]


def test_queued_request_gets_a_response_before_its_deadline():
    host = Host(settings(), nodes=())
    request_id = host.receive_request()
    host.wait(2000)
    ((at, answer),) = host.final_responses(request_id)
    assert isinstance(answer, ShedRequest) and at <= 600 * MS


def test_timeout_at_the_deadline_gives_a_response():
    host = Host(settings(request_class(Idempotency.NOT_IDEMPOTENT)))
    request_id = host.receive_request()
    host.now = 600 * MS
    host.finish_attempt(request_id, AttemptOutcome.TIMEOUT)
    host.wait(1000)
    assert [type(action) for _, action in host.final_responses(request_id)] == [FailRequest]


def test_timer_gives_a_response_if_no_result_arrives():
    host = Host(settings(request_class(Idempotency.NOT_IDEMPOTENT)))
    request_id = host.receive_request()
    host.wait(1000)
    assert [at <= 600 * MS for at, _ in host.final_responses(request_id)] == [True]
    host.finish_attempt(request_id, AttemptOutcome.TIMEOUT)
    host.wait(1000)
    assert len(host.final_responses(request_id)) == 1 and len(host.sends(request_id)) == 1


def test_disconnected_client_gets_no_attempt_and_no_response():
    host = Host(settings(may_cancel=True))
    in_flight, queued = host.receive_request(), host.receive_request(shard=5)
    actions = host.feed(ClientGone(in_flight), ClientGone(queued))
    assert CancelAttempt(in_flight, 0) in actions
    host.finish_attempt(in_flight, AttemptOutcome.CANCELLED)
    host.update_nodes(NodeEntry(11, 5))
    host.wait(1000)
    assert not host.final_responses(in_flight) and not host.final_responses(queued) and not host.sends(queued)


def test_started_stream_has_no_deadline():
    host = Host(settings(request_class(streamed=True)))
    request_id = host.receive_request()
    host.feed(StreamStarted(request_id, 0, 10))
    host.wait(2000)
    assert not host.final_responses(request_id)
