"""Latency accounts: parts that sum to the whole, and who waited for whom against a simulated truth."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from runloft.accounts.ledger import MOST_NAMED, OTHERS, Largest, Ledger, VolumeTotals
from runloft.accounts.node import NodeLog
from runloft.accounts.parts import Account, Part
from runloft.core.model import (
    AttemptFinished,
    ClientDisconnected,
    NodeListUpdate,
    NodeUpdate,
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

# A clock that may stand still or, wherever news crosses, be told late: never less than before.
STEPS = st.lists(st.tuples(st.integers(-5, 1000), st.sampled_from(list(Part))), max_size=30)


@given(STEPS)
def test_the_parts_of_an_account_sum_to_its_whole(steps):
    account, now = Account(1, 0, 0, 1.0, 100), 100
    for passed, part in steps:
        now += passed
        account.turn(now, part)
        assert sum(account.parts.values()) == account.whole
    account.end(now + 7)
    account.turn(now + 99, Part.READER)
    assert sum(account.parts.values()) == account.whole == account.ended - account.began


@st.composite
def queues(draw):
    """Requests of some volumes at a node that serves one after the other: when each arrives, its work."""
    at, out = 0, []
    for _ in range(draw(st.integers(1, 25))):
        at += draw(st.integers(0, 60))
        out.append((at, draw(st.integers(0, 3)), draw(st.integers(1, 40))))
    return out


@given(queues())
@settings(max_examples=200, deadline=None)
def test_who_waited_for_whom_is_what_the_node_did_meanwhile(queue):
    log, free, served = NodeLog(), 0, []
    for number, (at, volume, work) in enumerate(queue):
        start = max(free, at)
        free = start + work
        served.append((start, free, volume, number))
    events = sorted(
        [(at, 1, number) for number, (at, _, _) in enumerate(queue)]
        + [(end, 0, number) for _, end, _, number in served]
    )
    waits = {}
    for now, what, number in events:
        at, volume, work = queue[number]
        if what:
            waits[number] = log.begin()
            log.sent(now)
            continue
        log.returned(now, volume, 0.0, True)
        got = log.end(waits[number], at, now)
        truth = Counter()
        for start, end, whose, _ in served:
            if min(end, now) > max(start, at):
                truth[whose] += min(end, now) - max(start, at)
        assert got.by_volume == dict(truth) and got.still == 0 and not got.cut
        assert got.whole == now - at
    assert not log.credits and not log._waiting  # nobody waits: nothing is kept


def test_a_node_that_stood_still_is_nobodys_work():
    log, now = NodeLog(), 0
    for _ in range(20):
        log.sent(now)
        now += 10 * MS
        log.returned(now, 1, 1.0, True)
    number, began = log.begin(), now
    log.sent(now)
    now += 310 * MS  # it stood still for 300 ms
    log.returned(now, 1, 1.0, True)
    got = log.end(number, began, now)
    assert got.still == 300 * MS and got.by_volume == {1: 10 * MS} and got.whole == 310 * MS


def test_what_failed_without_work_is_credited_to_nobody():
    log = NodeLog()
    number = log.begin()
    log.sent(0)
    log.returned(250 * MS, 1, 1.0, False)
    got = log.end(number, 0, 250 * MS)
    assert got.by_volume == {} and got.idle == 250 * MS


@given(st.lists(st.tuples(st.integers(0, 60), st.integers(1, 1000)), max_size=200))
def test_the_largest_and_the_rest_sum_to_all(amounts):
    largest = Largest()
    for name, amount in amounts:
        largest.add(name, amount)
    assert largest.whole == sum(amount for _, amount in amounts)
    assert len(largest.amounts) <= MOST_NAMED + 1


def test_volumes_beyond_the_bound_are_one_account_and_totals_stay_right():
    ledger = Ledger(driver_settings(), most_volumes=100)
    for number in range(100_000):
        ledger.request_received(number, number, number, 0, 0, 1.0)
        ledger.request_queued(number, number, 1, "bound")
        ledger.request_completed(number, number + 5, True)
    assert len(ledger.totals) == 101
    assert sum(t.requests for t in ledger.totals.values()) == 100_000
    assert sum(t.whole_ns for t in ledger.totals.values()) == 500_000
    assert ledger.totals[OTHERS].requests == 99_900
    assert not ledger.open and not ledger._waits and not ledger.nodes[1].credits


def test_totals_of_periods_merge_to_those_of_the_whole():
    one, two, both = VolumeTotals(), VolumeTotals(), VolumeTotals()
    for number, totals in enumerate([one, two, one]):
        account = Account(1, 0, 0, 1.0, 0)
        account.turn(number + 3, Part.OUT)
        account.end(10)
        for some in (totals, both):
            some.add(account, True, False)
            some.waited_for.add(number, 4)
    one.merge(two)
    assert one.parts == both.parts and one.whole_ns == both.whole_ns and one.requests == 3
    assert one.waited_for.amounts == both.waited_for.amounts


def kept(state=NodeState.READY, **more):
    """A reducer that is watched by a ledger, with one node in this state."""
    harness = CoreHarness(**more)
    harness.core.observer = Ledger(harness.core.settings)
    harness.step(NodeListUpdate(ListKind.FULL, (NodeUpdate("s-1", "127.0.0.1:1", 0, state),)))
    return harness, harness.core.observer


NUDGE = NodeListUpdate(ListKind.DELTA)  # something has come: the module is asked


def parts(ledger, volume=1):
    return {part.name: amount // MS for part, amount in ledger.totals[volume].parts.items()}


def test_a_request_tried_again_counts_from_its_first_try():
    harness, ledger = kept()
    harness.receive()
    harness.step(NUDGE, after=30, actions=[SendAttempt(1, 1, 50 * MS)])
    harness.step(RequestWritten(1), after=5)
    harness.step(after=45)  # given up
    harness.step(NUDGE, after=10, actions=[SendAttempt(1, 1)])
    harness.step(RequestWritten(2), after=2)
    harness.step(AttemptFinished(2, AttemptOutcome.OK, b"v"), after=40)
    assert parts(ledger) == {"HELD_BOUND": 30, "CONNECTING": 7, "OUT": 85, "BETWEEN": 10}
    totals = ledger.totals[1]
    assert (totals.requests, totals.served, totals.late, totals.whole_ns) == (1, 1, 1, 132 * MS)
    waited = totals.waited_for.whole + totals.still_ns + totals.idle_ns
    assert waited == totals.whole_ns and not ledger.open and not ledger._attempts


def test_a_flood_is_named_by_those_who_wait_behind_it():
    harness, ledger = kept()
    harness.receive([SendAttempt(1, 1)], volume=7)
    harness.receive([SendAttempt(2, 1)], volume=7)
    harness.receive([SendAttempt(3, 1)], volume=1)
    for attempt in (1, 2, 3):
        harness.step(AttemptFinished(attempt, AttemptOutcome.OK, b"v"), after=20)
    assert ledger.totals[1].waited_for.amounts == {7: 40 * MS, 1: 20 * MS}
    assert ledger.totals[7].waited_for.amounts == {7: 60 * MS}


@pytest.mark.parametrize(
    ("state", "shard", "part"),
    [
        (NodeState.READY, 0, "HELD_BOUND"),
        (NodeState.DRAINING, 0, "HELD_DRAIN"),
        (NodeState.READY, 5, "HELD_NO_NODE"),
    ],
)
def test_what_is_never_sent_says_why_it_was_held(state, shard, part):
    harness, ledger = kept(state)
    harness.receive(shard=shard)
    harness.step(NUDGE, after=80, actions=[ShedRequest(1, 5)])
    assert parts(ledger) == {part: 80}
    assert ledger.totals[1].idle_ns == (80 * MS if shard == 0 else 0)


def test_a_slow_reader_is_its_own_account_and_not_the_nodes():
    harness, ledger = kept()
    harness.receive([SendAttempt(1, 1)])
    harness.step(RequestWritten(1))
    harness.step(StreamStarted(1, "head"), after=10)
    harness.step(ResponseBuffered(1))
    harness.step(AttemptFinished(1, AttemptOutcome.OK, "stream"), after=500)
    assert parts(ledger) == {"OUT": 10, "READER": 500}
    assert ledger.totals[1].waited_for.amounts == {1: 10 * MS}


def test_an_attempt_that_outlives_its_client_is_still_the_nodes_work():
    harness, ledger = kept()
    sink, _ = harness.receive([SendAttempt(1, 1)], volume=7)
    harness.step(ClientDisconnected(sink), after=5)
    harness.receive([SendAttempt(2, 1)], volume=1)
    harness.step(AttemptFinished(1, AttemptOutcome.OK, b"v"), after=20)
    harness.step(AttemptFinished(2, AttemptOutcome.OK, b"v"), after=10)
    assert ledger.totals[1].waited_for.amounts == {7: 20 * MS, 1: 10 * MS}
    assert ledger.totals[7].whole_ns == 5 * MS and not ledger._attempts


def test_a_client_that_leaves_its_stream_leaves_nothing_open():
    harness, ledger = kept()
    sink, _ = harness.receive([SendAttempt(1, 1)])
    harness.step(StreamStarted(1, "head"), after=10)
    harness.step(ClientDisconnected(sink), after=10)
    assert not ledger.open and not ledger._attempts and not ledger._waits
    assert ledger.nodes[1].out == 0


def test_a_node_that_is_forgotten_ends_what_waited_for_it():
    harness, ledger = kept()
    harness.receive()
    harness.step(NUDGE, after=10, actions=[ForgetNode(1)])
    harness.step(NUDGE, after=10, actions=[FailRequest(1)])
    assert ledger.totals[1].idle_ns == 20 * MS and not ledger.nodes
