"""Requests of one key are sent in order."""

import pytest

from runloft.decisions.contract import (
    AttemptOutcome,
    ClientGone,
    Idempotency,
)
from tests.support.driver import MS, SECOND, Host, request_class, settings

IN_ORDER = request_class(
    Idempotency.IDEMPOTENT_WITH_KEY, deadline=3000, idempotency_window_ns=SECOND, in_order=True
)


def test_requests_of_one_key_are_sent_one_at_a_time_in_order():
    host = Host(settings(IN_ORDER))
    first = host.receive_request(key=7)
    second = host.receive_request(key=7)
    other = host.receive_request(key=8)
    assert host.sends(first) and host.sends(other) and not host.sends(second)
    host.finish_attempt(first)
    assert host.sends(second)


@pytest.mark.parametrize("outcome", [AttemptOutcome.TIMEOUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED])
def test_key_is_paused_after_an_ambiguous_attempt(outcome):
    host = Host(settings(IN_ORDER, ambiguity_wait_ns=100 * MS, may_cancel=True))
    first, second = host.receive_request(key=7), host.receive_request(key=7)
    host.feed(ClientGone(first))
    assert not host.sends(second)  # the first one's attempt has no outcome yet
    ended_at = host.now
    host.finish_attempt(first, outcome)
    host.wait(300)
    assert host.sends(second)[0][0] >= ended_at + 100 * MS


def test_first_request_of_a_key_is_retried_during_its_own_pause():
    host = Host(settings(IN_ORDER, ambiguity_wait_ns=500 * MS))
    first = host.receive_request(key=7)
    host.finish_attempt(first, AttemptOutcome.RESET)
    host.wait(30)
    assert len(host.sends(first)) == 2
