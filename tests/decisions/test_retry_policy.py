"""The retry policy: idempotency, its window and scope, and the retry budget."""

from dataclasses import replace

import pytest

from runloft.decisions.contract import (
    AttemptOutcome,
    FailRequest,
    Idempotency,
    IdempotencyScope,
    NodeEntry,
    ShedRequest,
)
from tests.support.driver import MS, SECOND, Host, gone_entry, request_class, settings


def test_request_past_its_idempotency_window_fails_before_its_deadline():
    keyed_class = request_class(
        Idempotency.IDEMPOTENT_WITH_KEY, objective_ms=100, deadline=3000, idempotency_window_ns=200 * MS
    )
    host = Host(settings(keyed_class, request_class(objective_ms=100, deadline=3000, priority_weight=5.0)))
    host.serve(30, latency=50, request_class=1)
    arrived_at, keyed = host.now, host.receive_request()
    host.receive_request(request_class=1)  # of higher priority: sent instead when the first attempt ends
    host.finish_attempt(keyed, AttemptOutcome.RESET)
    host.wait(400)
    ((at, answer),) = host.final_responses(keyed)
    assert len(host.sends(keyed)) == 1 and isinstance(answer, FailRequest) and at <= arrived_at + 300 * MS


@pytest.mark.parametrize(
    "outcome", [AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED]
)
def test_not_idempotent_request_that_may_have_executed_fails_without_retry(outcome):
    host = Host(settings(request_class(Idempotency.NOT_IDEMPOTENT)))
    request_id = host.receive_request()
    host.finish_attempt(request_id, outcome)
    host.wait(1000)
    assert len(host.sends(request_id)) == 1
    assert [type(action) for _, action in host.final_responses(request_id)] == [FailRequest]


@pytest.mark.parametrize(
    "outcome", [AttemptOutcome.FULL, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT]
)
def test_not_idempotent_request_that_was_never_executed_is_retried(outcome):
    host = Host(settings(request_class(Idempotency.NOT_IDEMPOTENT)))
    request_id = host.receive_request()
    host.finish_attempt(request_id, outcome)
    host.wait(100)
    assert len(host.sends(request_id)) == 2


def test_retry_is_refused_after_the_idempotency_window():
    host = Host(
        settings(
            request_class(Idempotency.IDEMPOTENT_WITH_KEY, deadline=3000, idempotency_window_ns=200 * MS)
        )
    )
    request_id = host.receive_request()
    host.wait(50)
    host.finish_attempt(request_id, AttemptOutcome.ERROR)
    assert len(host.sends(request_id)) == 2
    host.wait(200)
    host.finish_attempt(request_id, AttemptOutcome.ERROR)
    host.wait(3000)
    assert len(host.sends(request_id)) == 2
    assert [type(action) for _, action in host.final_responses(request_id)] == [FailRequest]


@pytest.mark.parametrize(
    ("scope", "max_nodes"),
    [(IdempotencyScope.SHARD, 1), (IdempotencyScope.ZONE, 1), (IdempotencyScope.ALL, 2)],
)
def test_ambiguous_new_object_is_retried_only_within_its_idempotency_scope(scope, max_nodes):
    conf = settings(
        request_class(
            Idempotency.IDEMPOTENT_WITH_KEY,
            deadline=3000,
            idempotency_window_ns=SECOND,
            idempotency_scope=scope,
        )
    )
    host = Host(conf, nodes=(NodeEntry(10, 0, zone=0), NodeEntry(11, 1, zone=1)))
    request_id = host.receive_request(shard=None)
    first = host.nodes[request_id]
    host.update_nodes(replace(gone_entry(first, first - 10), zone=first - 10))
    host.finish_attempt(request_id, AttemptOutcome.RESET)
    host.wait(900)
    assert len(host.sends(request_id)) == 1 or scope is IdempotencyScope.ALL
    assert len({action.node for _, action in host.sends(request_id)}) <= max_nodes


def test_ambiguous_request_is_shed_only_if_all_nodes_recognise_its_key():
    for scope, response in ((IdempotencyScope.ALL, ShedRequest), (IdempotencyScope.SHARD, FailRequest)):
        host = Host(
            settings(
                request_class(
                    Idempotency.IDEMPOTENT_WITH_KEY, idempotency_window_ns=1, idempotency_scope=scope
                )
            )
        )
        request_id = host.receive_request()
        host.finish_attempt(request_id, AttemptOutcome.ERROR)
        assert [type(action) for _, action in host.final_responses(request_id)] == [response]


def test_retries_stay_within_base_and_ratio_of_the_retry_budget():
    conf = settings(retry_budget_base=2, retry_budget_ratio=0.1, retry_budget_window_ns=SECOND)
    host = Host(conf)
    for n in range(30):
        host.finish_attempt(host.receive_request(), AttemptOutcome.ERROR)
        while host.sends(n + 1) and not host.final_responses(n + 1):
            host.finish_attempt(n + 1, AttemptOutcome.ERROR)
        host.wait(1)
    retries = len(host.sends()) - len({action.id for _, action in host.sends()})
    assert 2 <= retries <= 2 + 0.1 * 30
    host.wait(2000)
    request_id = host.receive_request()
    host.finish_attempt(request_id, AttemptOutcome.ERROR)
    host.wait(20)
    assert len(host.sends(request_id)) == 2  # the window has passed


def test_retries_are_not_limited_without_a_retry_budget():
    host = Host(settings(max_attempts=50))
    request_id = host.receive_request()
    for _ in range(20):
        host.finish_attempt(request_id, AttemptOutcome.ERROR)
    assert len(host.sends(request_id)) == 21
