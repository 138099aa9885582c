"""Request lifecycle: admission limits, exactly one response, and release of client-chosen ids."""

import pytest

from runloft.core.model import (
    AttemptFinished,
    Failed,
    InvalidRequest,
    NodeListUpdate,
    NodeUpdate,
    SendResponse,
    Shed,
)
from runloft.decisions.contract import (
    AttemptOutcome,
    FailRequest,
    ListKind,
    NodeState,
    SendAttempt,
    ShedRequest,
    Timer,
)
from tests.support.core_harness import CoreHarness, FakePayload
from tests.support.driver import SECOND


def test_requests_of_one_protocol_cannot_use_up_the_capacity_of_the_other():
    harness = CoreHarness()
    large = FakePayload("http", 8 << 20)
    effects = [harness.receive(payload=large)[1] for _ in range(4)]
    assert effects[:3] == [[], [], []] and effects[3][0].reply == Shed()
    assert harness.receive(protocol="resp")[1] == []


@pytest.mark.parametrize("after, is_admitted", [(0, False), (1000, False), (2100, True)])
def test_client_id_stays_in_use_for_a_while_after_its_request_is_complete(after, is_admitted):
    harness = CoreHarness()
    harness.receive([SendAttempt(1, 1)], id=b"same")
    rejected = InvalidRequest("this id is another request's")
    assert harness.receive(id=b"same")[1][0].reply == rejected
    harness.step(AttemptFinished(1, AttemptOutcome.OK, b"v"))
    harness.step(after=after)
    assert (harness.receive(id=b"same")[1] == []) is is_admitted


@pytest.mark.parametrize("finish", [ShedRequest(1, 7), FailRequest(1)])
def test_final_response_is_sent_once_and_the_attempt_still_has_a_result(finish):
    harness = CoreHarness()
    sink, effects = harness.receive(
        [SendAttempt(1, 1), finish, ShedRequest(1), FailRequest(1), SendAttempt(1, 1)]
    )
    reply = Shed(7) if isinstance(finish, ShedRequest) else Failed()
    assert effects[1:] == [SendResponse(sink, reply)]
    assert harness.step(AttemptFinished(1, AttemptOutcome.OK, b"v"), after=1) == []
    assert sorted(result[2].name for result in harness.scheduler.results()) == ["NOT_SENT", "OK"]


def test_every_request_has_one_response_by_its_deadline_with_the_real_scheduler():
    harness = CoreHarness(scripted=False)
    sinks = [harness.receive()[0] for _ in range(40)]
    responded = []
    harness.step(NodeListUpdate(ListKind.DELTA, (NodeUpdate("s-1", "", 0, NodeState.DRAINING),)))
    for _ in range(700):
        responded += [effect.sink for effect in harness.step(after=1) if isinstance(effect, SendResponse)]
    assert len(responded) == len(set(responded)) and set(responded) <= set(sinks)
    assert not harness.core.requests and not harness.core.attempts


def test_a_released_request_leaves_no_timers():
    """Guards against memory that grows with the rate of requests until their deadlines."""
    harness = CoreHarness()
    timers_before = len(harness.timers)
    harness.receive([Timer(harness.now + SECOND, 1), Timer(harness.now + SECOND, 1), ShedRequest(1, 0)])
    harness.receive([Timer(harness.now + SECOND, 2), SendAttempt(2, 1)])
    assert len(harness.timers) > timers_before
    harness.step(AttemptFinished(1, AttemptOutcome.OK, b"v"))
    assert len(harness.timers) == timers_before
