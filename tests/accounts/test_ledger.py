"""The ledger as observer of the reducer: time by component, and the volumes that requests waited for."""

import pytest

from runloft.accounts.ledger import Ledger
from runloft.accounts.totals import OTHERS
from runloft.core.model import (
    AttemptFinished,
    ClientDisconnected,
    NodeListUpdate,
    NodeUpdate,
    QueueReason,
    RequestWritten,
    ResponseBuffered,
    StreamStarted,
)
from runloft.decisions.contract import (
    AttemptOutcome,
    FailRequest,
    ForgetNode,
    ListKind,
    NodeState,
    SendAttempt,
    ShedRequest,
)
from tests.support.core_harness import CoreHarness
from tests.support.driver import MS
from tests.support.driver import settings as driver_settings


def test_volumes_beyond_the_bound_share_one_entry():
    ledger = Ledger(driver_settings(), max_volumes=100)
    for number in range(100_000):
        ledger.request_received(number, number, number, 0, 0, 1.0)
        ledger.request_queued(number, number, 1, QueueReason.CAPACITY)
        ledger.request_completed(number, number + 5, True)
    assert len(ledger.totals) == 101
    assert sum(totals.requests for totals in ledger.totals.values()) == 100_000
    assert sum(totals.total_ns for totals in ledger.totals.values()) == 500_000
    assert ledger.totals[OTHERS].requests == 99_900
    assert not ledger.open and not ledger._waits and not ledger.nodes[1].intervals


EMPTY_UPDATE = NodeListUpdate(ListKind.DELTA)  # an event that makes the reducer call the scheduler


def observed_core(state=NodeState.READY, **overrides):
    """Return a harness whose core has one node in this state, and the ledger that observes it."""
    harness = CoreHarness(**overrides)
    harness.core.observer = Ledger(harness.core.settings)
    harness.step(NodeListUpdate(ListKind.FULL, (NodeUpdate("s-1", "127.0.0.1:1", 0, state),)))
    return harness, harness.core.observer


def components_ms(ledger, volume=1):
    return {component.value: amount // MS for component, amount in ledger.totals[volume].components.items()}


def test_latency_of_a_retried_request_includes_all_attempts():
    harness, ledger = observed_core()
    harness.receive()
    harness.step(EMPTY_UPDATE, after=30, actions=[SendAttempt(1, 1, 50 * MS)])
    harness.step(RequestWritten(1), after=5)
    harness.step(after=45)  # the attempt times out
    harness.step(EMPTY_UPDATE, after=10, actions=[SendAttempt(1, 1)])
    harness.step(RequestWritten(2), after=2)
    harness.step(AttemptFinished(2, AttemptOutcome.OK, b"v"), after=40)
    assert components_ms(ledger) == {"held_bound": 30, "connecting": 7, "out": 85, "between": 10}
    totals = ledger.totals[1]
    assert (totals.requests, totals.served, totals.late, totals.total_ns) == (1, 1, 1, 132 * MS)
    waited = totals.waited_for.total + totals.stalled_ns + totals.unattributed_ns
    assert waited == totals.total_ns and not ledger.open and not ledger._attempts


def test_requests_queued_behind_a_flood_wait_for_its_volume():
    harness, ledger = observed_core()
    harness.receive([SendAttempt(1, 1)], volume=7)
    harness.receive([SendAttempt(2, 1)], volume=7)
    harness.receive([SendAttempt(3, 1)], volume=1)
    for attempt in (1, 2, 3):
        harness.step(AttemptFinished(attempt, AttemptOutcome.OK, b"v"), after=20)
    assert ledger.totals[1].waited_for.amounts == {7: 40 * MS, 1: 20 * MS}
    assert ledger.totals[7].waited_for.amounts == {7: 60 * MS}


@pytest.mark.parametrize(
    ("state", "shard", "component"),
    [
        (NodeState.READY, 0, "held_bound"),
        (NodeState.DRAINING, 0, "held_drain"),
        (NodeState.READY, 5, "held_no_node"),
    ],
)
def test_request_that_is_never_sent_records_why_it_was_queued(state, shard, component):
    harness, ledger = observed_core(state)
    harness.receive(shard=shard)
    harness.step(EMPTY_UPDATE, after=80, actions=[ShedRequest(1, 5)])
    assert components_ms(ledger) == {component: 80}
    assert ledger.totals[1].unattributed_ns == (80 * MS if shard == 0 else 0)


def test_a_slow_client_is_not_attributed_to_the_node():
    harness, ledger = observed_core()
    harness.receive([SendAttempt(1, 1)])
    harness.step(RequestWritten(1))
    harness.step(StreamStarted(1, "head"), after=10)
    harness.step(ResponseBuffered(1))
    harness.step(AttemptFinished(1, AttemptOutcome.OK, "stream"), after=500)
    assert components_ms(ledger) == {"out": 10, "reader": 500}
    assert ledger.totals[1].waited_for.amounts == {1: 10 * MS}


def test_attempt_whose_client_disconnected_still_counts_as_work_of_the_node():
    harness, ledger = observed_core()
    sink, _ = harness.receive([SendAttempt(1, 1)], volume=7)
    harness.step(ClientDisconnected(sink), after=5)
    harness.receive([SendAttempt(2, 1)], volume=1)
    harness.step(AttemptFinished(1, AttemptOutcome.OK, b"v"), after=20)
    harness.step(AttemptFinished(2, AttemptOutcome.OK, b"v"), after=10)
    assert ledger.totals[1].waited_for.amounts == {7: 20 * MS, 1: 10 * MS}
    assert ledger.totals[7].total_ns == 5 * MS and not ledger._attempts


def test_a_client_that_disconnects_leaves_nothing_open():
    harness, ledger = observed_core()
    sink, _ = harness.receive([SendAttempt(1, 1)])
    harness.step(StreamStarted(1, "head"), after=10)
    harness.step(ClientDisconnected(sink), after=10)
    assert not ledger.open and not ledger._attempts and not ledger._waits
    assert ledger.nodes[1].outstanding == 0


def test_forgetting_a_node_ends_the_waits_for_it():
    harness, ledger = observed_core()
    harness.receive()
    harness.step(EMPTY_UPDATE, after=10, actions=[ForgetNode(1)])
    harness.step(EMPTY_UPDATE, after=10, actions=[FailRequest(1)])
    assert ledger.totals[1].unattributed_ns == 20 * MS and not ledger.nodes
