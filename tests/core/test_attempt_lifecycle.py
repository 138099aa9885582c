"""Attempt lifecycle: exactly one result each, timeouts, cancellation and streamed responses."""

import pytest

from runloft.core.model import (
    AbortAttempt,
    AttemptFinished,
    ClientDisconnected,
    Dispatch,
    Failed,
    NodeListUpdate,
    NodeUpdate,
    ResponseBuffered,
    SendResponse,
    Served,
    StartResponse,
    StreamStarted,
)
from runloft.decisions.contract import (
    AttemptOutcome,
    AttemptResult,
    CancelAttempt,
    ListKind,
    SendAttempt,
    ShedRequest,
)
from tests.support.core_harness import CoreHarness
from tests.support.driver import MS


def test_first_success_is_the_response_and_later_events_are_ignored():
    harness = CoreHarness()
    sink, (sent,) = harness.receive([SendAttempt(1, 1)])
    assert isinstance(sent, Dispatch) and sent.wait_ns == 600 * MS
    assert harness.step(AttemptFinished(1, AttemptOutcome.OK, b"v"), after=5) == [
        SendResponse(sink, Served(b"v", "s-1", 0))
    ]
    late_events = [AttemptFinished(1, AttemptOutcome.RESET), ClientDisconnected(sink)]
    assert harness.step(*late_events, actions=[ShedRequest(1)]) == []
    assert harness.scheduler.results() == [(1, 0, AttemptOutcome.OK, True)]
    assert not harness.core.requests and not harness.core.attempts


def test_timed_out_attempt_is_aborted_before_the_retry_and_has_one_result():
    harness = CoreHarness()
    harness.receive([SendAttempt(1, 1, 100 * MS)])
    effects = harness.step(after=100, actions=[SendAttempt(1, 1)])
    assert [type(effect) for effect in effects] == [AbortAttempt, Dispatch] and effects[0].attempt == 1
    harness.step(AttemptFinished(1, AttemptOutcome.OK, b"late"))
    assert harness.scheduler.results() == [(1, 0, AttemptOutcome.TIMEOUT, False)]


@pytest.mark.parametrize("second", [SendAttempt(1, 1), SendAttempt(1, 9), SendAttempt(1, 2)])
def test_attempt_that_is_not_permitted_is_not_sent_and_its_result_comes_in_the_next_step(second):
    harness = CoreHarness()
    harness.step(NodeListUpdate(ListKind.DELTA, (NodeUpdate("s-2", "127.0.0.1:2", 1),)))
    _, effects = harness.receive([SendAttempt(1, 1), second])  # duplicate attempt, unknown node, wrong shard
    assert len(effects) == 1
    assert harness.core.next_at(harness.now) == harness.now
    harness.step()
    assert [result[2] for result in harness.scheduler.results()] == [AttemptOutcome.NOT_SENT]


def test_cancelled_attempt_is_aborted_and_reported_once():
    harness = CoreHarness()
    sink, _ = harness.receive([SendAttempt(1, 1)])
    assert harness.step(ClientDisconnected(sink), actions=[CancelAttempt(1, 0)]) == [AbortAttempt(1)]
    harness.step(AttemptFinished(1, AttemptOutcome.RESET))
    assert harness.scheduler.results() == [(1, 0, AttemptOutcome.CANCELLED, True)]


def test_streamed_response_has_no_timeout_and_fails_when_its_connection_breaks():
    harness = CoreHarness()
    sink, _ = harness.receive([SendAttempt(1, 1)])
    assert harness.step(StreamStarted(1, "head"), after=10) == [StartResponse(sink, "head", "s-1", 0)]
    assert harness.step(after=5000) == []
    assert harness.step(AttemptFinished(1, AttemptOutcome.RESET)) == [
        SendResponse(sink, Failed(AttemptOutcome.RESET))
    ]


def test_slow_reading_client_does_not_add_to_the_latency_of_its_node():
    harness = CoreHarness()
    sink, _ = harness.receive([SendAttempt(1, 1)])
    harness.step(StreamStarted(1, "head"), ResponseBuffered(1), after=10)
    harness.step(ResponseBuffered(1), after=3000)
    assert harness.step(AttemptFinished(1, AttemptOutcome.OK), after=1) == [
        SendResponse(sink, Served(None, "s-1", 0))
    ]
    (result,) = [event for event in harness.scheduler.events if isinstance(event, AttemptResult)]
    assert result.outcome is AttemptOutcome.OK and result.complete and result.latency_ns == 10 * MS


def test_disconnect_during_a_stream_aborts_the_attempt():
    harness = CoreHarness()
    sink, _ = harness.receive([SendAttempt(1, 1)])
    harness.step(StreamStarted(1, "head"))
    assert harness.step(ClientDisconnected(sink)) == [AbortAttempt(1)]
    harness.step()
    assert (
        harness.scheduler.results() == [(1, 0, AttemptOutcome.CANCELLED, True)] and not harness.core.requests
    )
