"""Backoff from nodes that rejected an attempt."""

import pytest

from runloft.decisions.contract import (
    AttemptOutcome,
)
from tests.support.driver import MS, SECOND, Host, request_class, settings


@pytest.mark.parametrize("outcome", [AttemptOutcome.FULL, AttemptOutcome.CONNECT_FAILED])
def test_retry_waits_for_the_backoff_in_a_large_fleet(outcome):
    """Three attempts within 15 ms would use up a request's attempts and overload the node."""
    host = Host(
        settings(request_class(objective_ms=1000, deadline=6000), scheduler_count=40, max_attempts=3),
        at=SECOND,
    )
    request_id = host.receive_request()
    host.finish_attempt(request_id, outcome, latency=1)
    assert len(host.sends(request_id)) == 1 and not host.final_responses(request_id)
    host.wait(200)
    assert len(host.sends(request_id)) == 2
    host.finish_attempt(request_id, outcome, latency=1)
    gaps = [host.sends(request_id)[1][0] - host.sends(request_id)[0][0]]
    host.wait(200)
    gaps.append(host.sends(request_id)[2][0] - host.sends(request_id)[1][0])
    assert gaps[0] >= 5 * MS and len(host.sends(request_id)) == 3
    host.finish_attempt(request_id)
    assert host.scheduler.nodes[10].backoff.length_objectives == 0


def test_small_fleet_retries_at_once():
    """The retries of a small fleet don't overload a node."""
    host = Host(
        settings(request_class(objective_ms=1000, deadline=6000), scheduler_count=7, max_attempts=3),
        at=SECOND,
    )
    request_id = host.receive_request()
    host.finish_attempt(request_id, AttemptOutcome.FULL, latency=1)
    assert len(host.sends(request_id)) == 2
