"""Invariants: each violation is counted if no permission prevents it."""

from dataclasses import replace

import pytest

from runloft.core import permissions
from runloft.core.invariants import Invariants, Violation
from runloft.core.records import Attempt
from runloft.decisions.contract import NodeState
from tests.support.core_harness import NODE, one_class_settings, pending_request
from tests.support.driver import MS, SECOND


def violations_at_first_byte(invariants, request, node=NODE, announced_wait_ns=100 * MS, now=0):
    invariants.check_first_byte(
        Attempt(1, request, 10, NODE, 0), node, one_class_settings(), announced_wait_ns, now
    )
    return set(invariants.counts)


VIOLATIONS = {
    Violation.SENT_AFTER_DISCONNECT: lambda invariants: violations_at_first_byte(
        invariants, pending_request(is_complete=True)
    ),
    Violation.WAIT_TOO_LONG: lambda invariants: violations_at_first_byte(
        invariants, pending_request(), announced_wait_ns=SECOND + permissions.VERIFY_AFTER_NS, now=200 * MS
    ),
    Violation.CONCURRENT_ATTEMPTS: lambda invariants: violations_at_first_byte(
        invariants, pending_request(in_flight={0: 1, 1: 2})
    ),
    Violation.SENT_TO_DRAINING_NODE: lambda invariants: violations_at_first_byte(
        invariants, pending_request(), replace(NODE, state=NodeState.DRAINING)
    ),
    Violation.DUPLICATE_RESPONSE: lambda invariants: (
        invariants.check_response(True) or set(invariants.counts)
    ),
    Violation.REQUEST_DROPPED: lambda invariants: (
        invariants.check_close(1, False, True) or set(invariants.counts)
    ),
    Violation.INPUT_DISCARDED: lambda invariants: (
        invariants.check_close(0, True, True) or set(invariants.counts)
    ),
}


@pytest.mark.parametrize("violation", Violation)
def test_each_violation_is_counted_without_permissions(violation):
    assert VIOLATIONS[violation](Invariants()) == {violation}


def test_permitted_steps_are_not_counted():
    invariants = Invariants()
    violations_at_first_byte(invariants, pending_request())
    invariants.check_response(False)
    invariants.check_close(2, True, False)  # closed by the client
    invariants.check_close(0, False, True)
    assert not invariants.counts
