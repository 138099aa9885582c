"""Permissions: what may start, be sent and be closed, and that no path evades them."""

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
def test_permitted_attempt_keeps_every_rule(idempotency, ambiguous_since, now, sends, over, state, out):
    request = pending_request(
        ambiguous_since=ambiguous_since,
        attempt_count=sends,
        is_complete=over,
        in_flight={0: 1} if out else {},
    )
    node, rules = replace(NODE, state=state), one_class_settings(idempotency)
    refusal = permissions.permit_send(request, node, rules, now)
    if refusal is None:
        assert not over and not out and now < request.deadline and sends < rules.max_attempts
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
    idempotency, ambiguous_since, now, due, state, seen
):
    request = pending_request(ambiguous_since=ambiguous_since, received_at=seen)
    attempt = Attempt(1, request, 10, NODE, 0, timeout=TimerHandle(due, 0, None))
    permit = permissions.permit_first_byte(
        attempt, replace(NODE, state=state), one_class_settings(idempotency), now
    )
    assert bool(permit) is (permit.refusal is None) is (permit.wait_ns > 0)
    if permit:
        assert state is NodeState.READY and permit.wait_ns == due - now
        assert ambiguous_since is None or idempotency is not Idempotency.NOT_IDEMPOTENT
        assert permit.verify is (None if now - seen <= permissions.VERIFY_AFTER_NS else "sink")


OTHER_NODES = [
    (None, SendRefusal.NODE_UNKNOWN),
    (replace(NODE, state=NodeState.DRAINING), SendRefusal.NODE_DRAINING),
    (replace(NODE, state=NodeState.GONE), SendRefusal.NODE_REMOVED),
    (replace(NODE, endpoint="127.0.0.1:2"), SendRefusal.NODE_ENDPOINT_CHANGED),
    (replace(NODE, started_ns=5), SendRefusal.NODE_RESTARTED),
]


@pytest.mark.parametrize("node, refusal", OTHER_NODES)
def test_each_change_of_a_node_has_its_refusal(node, refusal):
    attempt = Attempt(1, pending_request(), 10, NODE, 0, timeout=TimerHandle(SECOND, 0, None))
    assert permissions.permit_first_byte(attempt, node, one_class_settings(), 0).refusal is refusal


@given(st.integers(0, 200), st.integers(0, 200), st.integers(0, 200), st.booleans(), st.booleans())
def test_request_starts_within_its_bounds_or_has_a_refusal(open_, held, size, known, suspended):
    bounds = Bounds(requests=100, buffered_bytes=200)
    refusal = permissions.permit_start(open_, held, size, bounds, known, suspended)
    room = open_ < 50 and held + size <= 100
    wanted = StartRefusal.AT_CAPACITY if not room else None
    wanted = wanted or (StartRefusal.SUSPENDED if suspended else None)
    assert refusal is (wanted or (StartRefusal.ID_IN_USE if known else None))


@given(st.sampled_from(CloseReason), st.integers(0, 2), st.integers(0, 2), st.integers(0, 2), st.booleans())
def test_connection_with_open_work_is_closed_only_for_causes_of_its_client(
    reason, unanswered, unwritten, half, unread
):
    refusal = permissions.permit_close(reason, range(unanswered), unwritten, half, unread)
    owed = unanswered or unwritten or half or unread
    assert (refusal is None) is (reason in permissions.CAUSED_BY_CLIENT or not owed)
    if unanswered and refusal:
        assert refusal is CloseRefusal.REQUEST_UNANSWERED


def calls(name):
    """Return the places in the program that call a function of this name, as file:function."""
    found = set()
    for path in Path("runloft").rglob("*.py"):
        if path.parts[1] in ("lab", "config", "sharing"):
            continue
        for function in ast.walk(ast.parse(path.read_text())):
            if not isinstance(function, ast.FunctionDef | ast.AsyncFunctionDef):
                continue
            for node in ast.walk(function):
                named = isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute | ast.Name)
                if named and name == getattr(node.func, "attr", getattr(node.func, "id", "")):
                    found.add(f"{path.name}:{function.name}")
    return found


ONLY_CALLERS = {
    "Dispatch": {"attempts.py:_send_to_node"},
    "_send_to_node": {"attempts.py:send"},  # behind permissions.permit_send
    "permit_send": {"attempts.py:send"},
    "permit_start": {"requests.py:receive"},
    "permit_retry": {"permissions.py:permit_send", "permissions.py:permit_first_byte"},
    "permit_first_byte": {"reducer.py:permit_first_byte", "attempts.py:permit_first_byte"},
    "permitted_ns": {"links.py:dispatch", "links.py:_begin"},
    "parts": {"links.py:_begin", "links.py:parts"},  # of an attempt: behind permitted_ns
    "permit_close": {"resp.py:may_close", "objects.py:may_close"},
}


@pytest.mark.parametrize("name", ONLY_CALLERS)
def test_permission_is_asked_on_the_only_path(name):
    assert calls(name) == ONLY_CALLERS[name]
