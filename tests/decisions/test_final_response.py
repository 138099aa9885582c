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
from tests.support.driver import MS, NODE, SECOND, Host, gone, request_class, settings


def test_request_without_time_left_gets_a_response():
    host = Host(settings())
    request_id = host.ask(left=0, shard=40)
    host.wait(10)
    assert len(host.answers(request_id)) == 1


def test_only_a_request_that_reached_no_node_is_shed_at_its_queue_deadline():
    host = Host(settings(request_class(aim=100, deadline=1000)), nodes=())
    unsent = host.ask()
    host.wait(449)
    assert not host.answers(unsent)
    host.wait(1)
    ((_, answer),) = host.answers(unsent)
    assert isinstance(answer, ShedRequest) and answer.retry_after_ns > 0
    host.tell(NODE)
    reached = host.ask()
    host.tell(gone(10, state=NodeState.DRAINING))
    host.end(reached, AttemptOutcome.RESET)
    host.wait(900)
    assert not host.answers(reached)
    host.wait(98)
    assert len(host.answers(reached)) == 1


def test_request_shed_after_a_failed_attempt_has_a_retry_after():
    host = Host(settings(request_class(aim=100, deadline=600), max_attempts=1))
    host.serve(30, latency=20)
    request_id = host.ask()
    host.end(request_id, AttemptOutcome.ERROR)
    ((at, answer),) = host.answers(request_id)
    assert at == host.now and isinstance(answer, ShedRequest) and 0 < answer.retry_after_ns <= SECOND


def test_request_shed_for_an_unknown_shard_has_a_retry_after():
    host = Host(settings())
    request_id = host.ask(shard=40)
    host.wait(1000)
    assert [action.retry_after_ns > 0 for _, action in host.answers(request_id)] == [True]


def test_queued_request_gets_a_response_before_its_deadline():
    host = Host(settings(), nodes=())
    request_id = host.ask()
    host.wait(2000)
    ((at, answer),) = host.answers(request_id)
    assert isinstance(answer, ShedRequest) and at <= 600 * MS


def test_timeout_at_the_deadline_gives_a_response():
    host = Host(settings(request_class(Idempotency.NOT_IDEMPOTENT)))
    request_id = host.ask()
    host.now = 600 * MS
    host.end(request_id, AttemptOutcome.TIMEOUT)
    host.wait(1000)
    assert [type(action) for _, action in host.answers(request_id)] == [FailRequest]


def test_timer_gives_a_response_if_no_result_arrives():
    host = Host(settings(request_class(Idempotency.NOT_IDEMPOTENT)))
    request_id = host.ask()
    host.wait(1000)
    assert [at <= 600 * MS for at, _ in host.answers(request_id)] == [True]
    host.end(request_id, AttemptOutcome.TIMEOUT)
    host.wait(1000)
    assert len(host.answers(request_id)) == 1 and len(host.sends(request_id)) == 1


def test_disconnected_client_gets_no_attempt_and_no_response():
    host = Host(settings(may_cancel=True))
    in_flight, queued = host.ask(), host.ask(shard=5)
    actions = host.feed(ClientGone(in_flight), ClientGone(queued))
    assert CancelAttempt(in_flight, 0) in actions
    host.end(in_flight, AttemptOutcome.CANCELLED)
    host.tell(NodeEntry(11, 5))
    host.wait(1000)
    assert not host.answers(in_flight) and not host.answers(queued) and not host.sends(queued)


def test_started_stream_has_no_deadline():
    host = Host(settings(request_class(streamed=True)))
    request_id = host.ask()
    host.feed(StreamStarted(request_id, 0, 10))
    host.wait(2000)
    assert not host.answers(request_id)
