"""Permissions to start, send and close, and a check that no code path bypasses them."""

import ast
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from runloft.core import permissions
from runloft.core.model import Bounds
from runloft.core.permissions import CloseReason, CloseRefusal, SendRefusal, StartRefusal
from runloft.core.records import Attempt
from runloft.core.timers import TimerHandle
from runloft.decisions.contract import Idempotency, NodeState
from tests.support.core_harness import NODE, one_class_settings, pending_request
from tests.support.driver import MS, SECOND

IDEMPOTENCIES = st.sampled_from(Idempotency)

TIMES = st.integers(0, 2 * SECOND)


@given(
    IDEMPOTENCIES,
    st.none() | TIMES,
    TIMES,
    st.integers(0, 5),
    st.booleans(),
    st.sampled_from(NodeState),
    st.booleans(),
)
def test_permitted_attempt_satisfies_every_rule(
    idempotency, ambiguous_since, now, attempt_count, is_complete, state, has_attempt_in_flight
):
    request = pending_request(
        ambiguous_since=ambiguous_since,
        attempt_count=attempt_count,
        is_complete=is_complete,
        in_flight={0: 1} if has_attempt_in_flight else {},
    )
    node, settings = replace(NODE, state=state), one_class_settings(idempotency)
    refusal = permissions.permit_send(request, node, settings, now)
    if refusal is None:
        assert (
            not is_complete
            and not has_attempt_in_flight
            and now < request.deadline
            and attempt_count < settings.max_attempts
        )
        assert state is not NodeState.GONE
        assert ambiguous_since is None or idempotency is not Idempotency.NOT_IDEMPOTENT
        assert (
            ambiguous_since is None
            or idempotency is Idempotency.IDEMPOTENT
            or now < ambiguous_since + 500 * MS
        )
    else:
        assert isinstance(refusal, SendRefusal)


@given(IDEMPOTENCIES, st.none() | TIMES, TIMES, st.integers(1, 2 * SECOND), st.sampled_from(NodeState), TIMES)
def test_first_byte_leaves_only_in_time_and_to_the_unchanged_node(
    idempotency, ambiguous_since, now, due_at, state, received_at
):
    request = pending_request(ambiguous_since=ambiguous_since, received_at=received_at)
    attempt = Attempt(1, request, 10, NODE, 0, timeout=TimerHandle(due_at, 0, None))
    permit = permissions.permit_first_byte(
        attempt, replace(NODE, state=state), one_class_settings(idempotency), now
    )
    assert bool(permit) is (permit.refusal is None) is (permit.wait_ns > 0)
    if permit:
        assert state is NodeState.READY and permit.wait_ns == due_at - now
        assert ambiguous_since is None or idempotency is not Idempotency.NOT_IDEMPOTENT
        assert permit.sink_to_check is (None if now - received_at <= permissions.VERIFY_AFTER_NS else "sink")


CHANGED_NODES = [
    (None, SendRefusal.NODE_UNKNOWN),
    (replace(NODE, state=NodeState.DRAINING), SendRefusal.NODE_DRAINING),
    (replace(NODE, state=NodeState.GONE), SendRefusal.NODE_REMOVED),
    (replace(NODE, endpoint="127.0.0.1:2"), SendRefusal.NODE_ENDPOINT_CHANGED),
    (replace(NODE, started_ns=5), SendRefusal.NODE_RESTARTED),
]


@pytest.mark.parametrize("node, refusal", CHANGED_NODES)
def test_each_change_of_a_node_has_its_refusal(node, refusal):
    attempt = Attempt(1, pending_request(), 10, NODE, 0, timeout=TimerHandle(SECOND, 0, None))
    assert permissions.permit_first_byte(attempt, node, one_class_settings(), 0).refusal is refusal


@given(st.integers(0, 200), st.integers(0, 200), st.integers(0, 200), st.booleans(), st.booleans())
def test_request_starts_within_its_bounds_or_has_a_refusal(
    open_requests, buffered_bytes, request_bytes, id_is_known, suspended
):
    bounds = Bounds(requests=100, buffered_bytes=200)
    refusal = permissions.permit_start(
        open_requests, buffered_bytes, request_bytes, bounds, id_is_known, suspended
    )
    within_bounds = open_requests < 50 and buffered_bytes + request_bytes <= 100
    expected = StartRefusal.AT_CAPACITY if not within_bounds else None
    expected = expected or (StartRefusal.SUSPENDED if suspended else None)
    assert refusal is (expected or (StartRefusal.ID_IN_USE if id_is_known else None))


@given(st.sampled_from(CloseReason), st.integers(0, 2), st.integers(0, 2), st.integers(0, 2), st.booleans())
def test_connection_with_pending_data_is_closed_only_for_causes_of_its_client(
    reason, unanswered, unwritten_bytes, incomplete_bytes, has_unread_input
):
    refusal = permissions.permit_close(
        reason, range(unanswered), unwritten_bytes, incomplete_bytes, has_unread_input
    )
    pending = unanswered or unwritten_bytes or incomplete_bytes or has_unread_input
    assert (refusal is None) is (reason in permissions.CAUSED_BY_CLIENT or not pending)
    if unanswered and refusal:
        assert refusal is CloseRefusal.REQUEST_UNANSWERED


def callers(name):
    """Return the functions of the program that call a function of this name, as file:function."""
    found = set()
    for path in Path("runloft").rglob("*.py"):
        if path.parts[1] in ("lab", "config"):
            continue
        for function in ast.walk(ast.parse(path.read_text())):
            if not isinstance(function, ast.FunctionDef | ast.AsyncFunctionDef):
                continue
            for node in ast.walk(function):
                is_named_call = isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute | ast.Name)
                if is_named_call and name == getattr(node.func, "attr", getattr(node.func, "id", "")):
                    found.add(f"{path.name}:{function.name}")
    return found


EXPECTED_CALLERS = {
    "Dispatch": {"attempts.py:_send_to_node"},
    "_send_to_node": {"attempts.py:send"},  # checks permissions.permit_send
    "permit_send": {"attempts.py:send"},
    "permit_start": {"requests.py:receive"},
    "permit_retry": {"permissions.py:permit_send", "permissions.py:permit_first_byte"},
    "permit_first_byte": {"reducer.py:permit_first_byte", "attempts.py:permit_first_byte"},
    "permitted_wait_ns": {"pool.py:dispatch", "connection.py:_start_attempt"},
    "encode_attempt": {"connection.py:_start_attempt", "resp_connection.py:encode_attempt"},
    "permit_close": {"lifetime.py:may_close", "connection.py:may_close"},
}


@pytest.mark.parametrize("name", EXPECTED_CALLERS)
def test_functions_are_called_only_from_permitted_places(name):
    assert callers(name) == EXPECTED_CALLERS[name]
