"""Updates of the node list."""

import pytest

from runloft.decisions.contract import (
    ListKind,
    NodeEntry,
    NodeState,
    WatchNodeList,
)
from tests.support.driver import SECOND, Host, gone_entry, settings


def test_request_for_an_unknown_shard_waits_for_the_node_list():
    host = Host(settings())
    request_id = host.receive_request(shard=40)
    assert not host.final_responses(request_id)
    host.update_nodes(NodeEntry(14, 40))
    assert [action.node for _, action in host.sends(request_id)] == [14]


@pytest.mark.parametrize("state", [NodeState.DRAINING, NodeState.GONE])
def test_draining_or_gone_node_gets_no_new_request(state):
    host = Host(settings())
    host.update_nodes(gone_entry(10, state=state))
    request_id = host.receive_request()
    host.wait(1000)
    assert not host.sends(request_id) and len(host.final_responses(request_id)) == 1


def test_node_missing_from_a_complete_list_is_gone_and_its_replacement_takes_over():
    host = Host(settings())
    host.update_nodes(NodeEntry(11, 1), kind=ListKind.FULL)
    request_id = host.receive_request()
    assert not host.sends(request_id)
    host.update_nodes(NodeEntry(12, 0))
    assert [action.node for _, action in host.sends(request_id)] == [12]


def test_failed_poll_keeps_the_list_and_is_retried():
    host = Host(settings(list_is_polled=True, poll_interval_ns=10 * SECOND))
    host.update_nodes(kind=ListKind.FAILED)
    assert host.sends(host.receive_request())
    assert WatchNodeList() in host.wait(5000)
