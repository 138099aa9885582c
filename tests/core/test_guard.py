"""The guard: what it permits and refuses, that nothing goes past it, and the check behind it."""

import ast
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from runloft.core import guard
from runloft.core.guard import CloseReason, CloseRefusal, SendRefusal, StartRefusal
from runloft.core.invariants import Invariants, Violation
from runloft.core.model import Bounds, NodeUpdate, RequestSpec
from runloft.core.records import Attempt, PendingRequest
from runloft.decisions.contract import Idempotency, NodeState
from tests.support.driver import MS, SECOND, request_class, settings

NODE = NodeUpdate("s-1", "127.0.0.1:1", 0)
EFFECTS = st.sampled_from(Idempotency)
TIMES = st.integers(0, 2 * SECOND)


def pending(**more):
    ask = RequestSpec(0, 0, 1, 1.0, SECOND, 0, None)
    return PendingRequest(1, "asker", ask, SECOND, **more)


def conf(idempotency=Idempotency.IDEMPOTENT, **more):
    return settings(request_class(idempotency, deadline=1000, idempotency_window_ns=500 * MS), **more)


@given(
    EFFECTS,
    st.none() | TIMES,
    TIMES,
    st.integers(0, 5),
    st.booleans(),
    st.sampled_from(NodeState),
    st.booleans(),
)
def test_whatever_is_permitted_keeps_each_rule(effect, doubt_at, now, sends, over, state, out):
    request = pending(doubt_at=doubt_at, sends=sends, over=over, out={0: 1} if out else {})
    node, rules = replace(NODE, state=state), conf(effect)
    refusal = guard.permit_send(request, node, rules, now)
    if refusal is None:
        assert not over and not out and now < request.deadline and sends < rules.max_attempts
        assert state is not NodeState.GONE
        assert doubt_at is None or effect is not Idempotency.NOT_IDEMPOTENT
        assert doubt_at is None or effect is Idempotency.IDEMPOTENT or now < doubt_at + 500 * MS
    else:
        assert isinstance(refusal, SendRefusal)


@given(EFFECTS, st.none() | TIMES, TIMES, st.integers(1, 2 * SECOND), st.sampled_from(NodeState), TIMES)
def test_a_first_byte_leaves_only_in_time_and_to_the_node_that_was_meant(
    effect, doubt_at, now, due, state, seen
):
    request = pending(doubt_at=doubt_at, received_at=seen)
    attempt = Attempt(1, request, 10, NODE, 0, due=(due, 0, None))
    permit = guard.permit_first_byte(attempt, replace(NODE, state=state), conf(effect), now)
    assert bool(permit) is (permit.refusal is None) is (permit.wait_ns > 0)
    if permit:
        assert state is NodeState.READY and permit.wait_ns == due - now
        assert doubt_at is None or effect is not Idempotency.NOT_IDEMPOTENT
        assert permit.verify is (None if now - seen <= guard.VERIFY_AFTER_NS else "asker")


OTHER_NODES = [
    (None, SendRefusal.NODE_UNKNOWN),
    (replace(NODE, state=NodeState.DRAINING), SendRefusal.NODE_DRAINS),
    (replace(NODE, state=NodeState.GONE), SendRefusal.NODE_GONE),
    (replace(NODE, endpoint="127.0.0.1:2"), SendRefusal.NODE_MOVED),
    (replace(NODE, started_ns=5), SendRefusal.NODE_RESTARTED),
]


@pytest.mark.parametrize("node, refusal", OTHER_NODES)
def test_each_change_of_a_node_has_its_reason(node, refusal):
    attempt = Attempt(1, pending(), 10, NODE, 0, due=(SECOND, 0, None))
    assert guard.permit_first_byte(attempt, node, conf(), 0).refusal is refusal


@given(st.integers(0, 200), st.integers(0, 200), st.integers(0, 200), st.booleans(), st.booleans())
def test_a_request_is_started_within_its_bounds_or_told_why_not(open_, held, size, known, suspended):
    bounds = Bounds(requests=100, buffered_bytes=200)
    refusal = guard.permit_start(open_, held, size, bounds, known, suspended)
    room = open_ < 50 and held + size <= 100
    wanted = StartRefusal.NO_ROOM if not room else None
    wanted = wanted or (StartRefusal.SUSPENDED if suspended else None)
    assert refusal is (wanted or (StartRefusal.ID_IN_USE if known else None))


@given(st.sampled_from(CloseReason), st.integers(0, 2), st.integers(0, 2), st.integers(0, 2), st.booleans())
def test_only_the_client_itself_costs_a_request_or_an_answer(reason, unanswered, unwritten, half, unread):
    refusal = guard.permit_close(reason, range(unanswered), unwritten, half, unread)
    owed = unanswered or unwritten or half or unread
    assert (refusal is None) is (reason in guard.OF_THE_CLIENT or not owed)
    if unanswered and refusal:
        assert refusal is CloseRefusal.UNANSWERED


# The check behind it: each kind is provoked with the guard taken out.


def begun(invariants, request, node=NODE, told=100 * MS, now=0):
    invariants.first_byte(Attempt(1, request, 10, NODE, 0), node, conf(), told, now)
    return set(invariants.counts)


VIOLATIONS = {
    Violation.SENT_AFTER_CLIENT_LEFT: lambda i: begun(i, pending(over=True)),
    Violation.TOLD_TOO_MUCH: lambda i: begun(i, pending(), told=SECOND + guard.VERIFY_AFTER_NS, now=200 * MS),
    Violation.SECOND_COPY: lambda i: begun(i, pending(out={0: 1, 1: 2})),
    Violation.SENT_TO_DRAINING: lambda i: begun(i, pending(), replace(NODE, state=NodeState.DRAINING)),
    Violation.SECOND_ANSWER: lambda i: i.answered(True) or set(i.counts),
    Violation.DROPPED: lambda i: i.closed(1, False, True) or set(i.counts),
    Violation.CLOSED_OVER_INPUT: lambda i: i.closed(0, True, True) or set(i.counts),
}


@pytest.mark.parametrize("kind", Violation)
def test_each_violation_is_counted_when_nothing_guards(kind):
    assert VIOLATIONS[kind](Invariants()) == {kind}


def test_what_is_in_order_is_not_counted():
    invariants = Invariants()
    begun(invariants, pending())
    invariants.answered(False)
    invariants.closed(2, True, False)  # the client's own doing
    invariants.closed(0, False, True)
    assert not invariants.counts


# Nothing goes past it.


def calls(name):
    """Give the places in the program that call a method of this name, as file:function."""
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


ONE_WAY = {
    "Dispatch": {"reducer.py:_send"},  # behind guard.permit_send
    "permit_send": {"reducer.py:_send"},
    "permit_start": {"reducer.py:_take"},
    "permit_repeat": {"guard.py:permit_send", "guard.py:permit_first_byte"},
    "permit_first_byte": {"reducer.py:permit_first_byte"},
    "permitted_ns": {"links.py:dispatch", "links.py:_begin"},
    "parts": {"links.py:_begin", "links.py:parts"},  # of an attempt: behind permitted_ns
    "permit_close": {"resp.py:may_close", "objects.py:may_close"},
}


@pytest.mark.parametrize("name", ONE_WAY)
def test_the_guard_is_the_one_way(name):
    assert calls(name) == ONE_WAY[name]
