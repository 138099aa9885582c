"""The reducer with the real scheduler: release of the state of removed nodes, and failed connects."""

from runloft.core.model import (
    AttemptFinished,
    NodeListUpdate,
    NodeUpdate,
)
from runloft.decisions.contract import (
    AttemptOutcome,
    ForgetNode,
    ListKind,
    NodeState,
    ShedRequest,
)
from tests.support.core_harness import CoreHarness
from tests.support.driver import Host, gone_entry, request_class, settings


def test_state_of_removed_nodes_and_their_requests_is_released():
    harness = CoreHarness(scripted=False)
    core = harness.core
    scheduler = core.scheduler

    def node_list(number, state=NodeState.READY):
        node = NodeUpdate(f"n-{number}", f"127.0.0.1:{number}", number % 9, state)
        return NodeListUpdate(ListKind.DELTA, (node,))

    sent = 0
    for number in range(3000):
        harness.step(node_list(number), after=20)
        for effect in harness.receive(shard=number % 9, id=b"%d" % number)[1]:
            harness.step(AttemptFinished(effect.attempt, AttemptOutcome.OK, b"v"), after=1)
            sent += 1
        harness.receive(shard=20_000 + number)  # a shard without a node
        harness.step(node_list(number, NodeState.GONE))
    assert sent == 3000 and len(core.nodes) < 3000  # removed nodes are forgotten after a minute
    harness.step(node_list(0, NodeState.GONE), after=70_000)  # a forgotten node is listed as gone again
    harness.step(node_list(0, NodeState.GONE), after=70_000)
    harness.step(after=5000)
    assert len(core.nodes) == len(core.node_ids) == len(scheduler.nodes) == 1  # the node of the harness
    assert not any((core.requests, core.attempts, core.by_sink, core.client_ids))
    assert not any((scheduler.requests, scheduler.state.queues, scheduler.key_order.waiting))
    assert not len(harness.timers)


def test_node_with_an_attempt_in_flight_is_not_forgotten():
    host = Host(settings(request_class(deadline=300_000)))
    host.receive_request()
    for _ in range(3):
        host.wait(61_000)
        assert ForgetNode(10) not in host.update_nodes(gone_entry(10))
    host.finish_attempt(1)
    host.wait(61_000)
    assert ForgetNode(10) in host.update_nodes(gone_entry(10))


def test_request_that_cannot_connect_in_half_its_time_is_shed_at_once():
    host = Host(settings(request_class(deadline=1000)))
    id_ = host.receive_request()
    host.wait(480)
    assert any(
        isinstance(action, ShedRequest) for action in host.finish_attempt(id_, AttemptOutcome.CONNECT_FAILED)
    )
