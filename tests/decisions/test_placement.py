"""Placement of new objects."""

from runloft.decisions.contract import (
    NodeEntry,
)
from tests.support.driver import Host, settings


def test_new_object_is_placed_on_the_node_with_the_least_forecast_wait():
    host = Host(settings(), nodes=(NodeEntry(10, 0), NodeEntry(11, 1)))
    host.serve(20, latency=40, shard=0)
    host.serve(20, latency=5, shard=1)
    assert host.nodes[host.receive_request(shard=None)] == 11
