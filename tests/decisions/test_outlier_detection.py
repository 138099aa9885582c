"""Outlier detection: ejected nodes."""

import pytest

from runloft.decisions.contract import (
    AttemptOutcome,
    NodeEntry,
)
from tests.support.driver import NODE, SECOND, Host, request_class, settings
from tests.support.fleet import fleet_settings


def test_new_objects_avoid_an_ejected_node_until_its_ejection_ends():
    host = Host(settings(request_class(), max_attempts=1), nodes=(NODE, NodeEntry(11, 1)))
    for _ in range(20):  # one attempt in three succeeds on node 10, so it is never silent
        for outcome in (AttemptOutcome.ERROR, AttemptOutcome.ERROR, AttemptOutcome.OK):
            host.finish_attempt(host.receive_request(shard=0), outcome, latency=1)
            host.wait(5)
            host.finish_attempt(host.receive_request(shard=1), latency=20)
            host.wait(5)
    placed = []
    for _ in range(10):
        request_id = host.receive_request(shard=None)
        placed.append(host.nodes[request_id])
        host.finish_attempt(request_id)
        host.wait(5)
    assert set(placed) == {11}
    assert host.scheduler.nodes[10].outlier.is_ejected(host.now)
    assert not host.scheduler.nodes[10].outlier.is_ejected(host.now + 5 * SECOND)


@pytest.mark.parametrize("outcome", [AttemptOutcome.FULL, AttemptOutcome.CONNECT_FAILED])
def test_new_objects_avoid_a_node_that_rejects_before_the_list_is_updated(outcome):
    """Node lists may be seconds out of date."""
    host = Host(fleet_settings(40, 0, max_attempts=1), nodes=(NODE, NodeEntry(11, 1)))
    for shard in (0, 1):
        host.serve(2, latency=20, shard=shard)
    host.finish_attempt(host.receive_request(shard=0), outcome, latency=1)
    host.wait(100)
    placed = []
    for _ in range(6):
        placed.append(host.nodes[request_id := host.receive_request(shard=None)])
        host.finish_attempt(request_id)
    assert set(placed) == {11}
