"""Latency accounts: parts that sum to the whole, and who waited for whom against a simulated truth."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from runloft.accounts.latency import LatencyComponent, RequestLatency
from runloft.accounts.ledger import Ledger
from runloft.accounts.service_log import ServiceLog
from runloft.accounts.totals import MAX_NAMED, OTHERS, TopAmounts, VolumeTotals
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
from tests.core.test_core import Turns
from tests.support.driver import MS
from tests.support.driver import settings as driver_settings

# A clock that may stand still or, wherever news crosses, be told late: never less than before.
STEPS = st.lists(st.tuples(st.integers(-5, 1000), st.sampled_from(list(LatencyComponent))), max_size=30)


@given(STEPS)
def test_the_parts_of_an_account_sum_to_its_whole(steps):
    account, now = RequestLatency(1, 0, 0, 1.0, 100), 100
    for passed, part in steps:
        now += passed
        account.switch(now, part)
        assert sum(account.components.values()) == account.total_ns
    account.finish(now + 7)
    account.switch(now + 99, LatencyComponent.CLIENT_READING)
    assert sum(account.components.values()) == account.total_ns == account.finished_ns - account.started_ns


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
    log, free, served = ServiceLog(), 0, []
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
            waits[number] = log.begin_wait()
            log.attempt_sent(now)
            continue
        log.attempt_returned(now, volume, 0.0, True)
        got = log.end_wait(waits[number], at, now)
        truth = Counter()
        for start, end, whose, _ in served:
            if min(end, now) > max(start, at):
                truth[whose] += min(end, now) - max(start, at)
        assert got.by_volume == dict(truth) and got.stalled == 0 and not got.truncated
        assert got.total == now - at
    assert not log.credits and not log._waits  # nobody waits: nothing is kept


def test_a_node_that_stood_still_is_nobodys_work():
    log, now = ServiceLog(), 0
    for _ in range(20):
        log.attempt_sent(now)
        now += 10 * MS
        log.attempt_returned(now, 1, 1.0, True)
    number, began = log.begin_wait(), now
    log.attempt_sent(now)
    now += 310 * MS  # it stood still for 300 ms
    log.attempt_returned(now, 1, 1.0, True)
    got = log.end_wait(number, began, now)
    assert got.stalled == 300 * MS and got.by_volume == {1: 10 * MS} and got.total == 310 * MS


def test_what_failed_without_work_is_credited_to_nobody():
    log = ServiceLog()
    number = log.begin_wait()
    log.attempt_sent(0)
    log.attempt_returned(250 * MS, 1, 1.0, False)
    got = log.end_wait(number, 0, 250 * MS)
    assert got.by_volume == {} and got.unattributed == 250 * MS


@given(st.lists(st.tuples(st.integers(0, 60), st.integers(1, 1000)), max_size=200))
def test_the_largest_and_the_rest_sum_to_all(amounts):
    largest = TopAmounts()
    for name, amount in amounts:
        largest.add(name, amount)
    assert largest.total == sum(amount for _, amount in amounts)
    assert len(largest.amounts) <= MAX_NAMED + 1


def test_volumes_beyond_the_bound_are_one_account_and_totals_stay_right():
    ledger = Ledger(driver_settings(), max_volumes=100)
    for number in range(100_000):
        ledger.taken(number, number, number, 0, 0, 1.0)
        ledger.held(number, number, 1, "bound")
        ledger.over(number, number + 5, True)
    assert len(ledger.totals) == 101
    assert sum(t.requests for t in ledger.totals.values()) == 100_000
    assert sum(t.total_ns for t in ledger.totals.values()) == 500_000
    assert ledger.totals[OTHERS].requests == 99_900
    assert not ledger.open and not ledger._waits and not ledger.nodes[1].credits


def test_totals_of_periods_merge_to_those_of_the_whole():
    one, two, both = VolumeTotals(), VolumeTotals(), VolumeTotals()
    for number, totals in enumerate([one, two, one]):
        account = RequestLatency(1, 0, 0, 1.0, 0)
        account.switch(number + 3, LatencyComponent.AT_NODE)
        account.finish(10)
        for some in (totals, both):
            some.add(account, True, False)
            some.waited_for.add(number, 4)
    one.merge(two)
    assert one.components == both.components and one.total_ns == both.total_ns and one.requests == 3
    assert one.waited_for.amounts == both.waited_for.amounts


def kept(state=NodeState.READY, **more):
    """A reducer that is watched by a ledger, with one node in this state."""
    turns = Turns(**more)
    turns.core.observer = Ledger(turns.core.settings)
    turns.step(NodeListUpdate(ListKind.FULL, (NodeUpdate("s-1", "127.0.0.1:1", 0, state),)))
    return turns, turns.core.observer


NUDGE = NodeListUpdate(ListKind.DELTA)  # something has come: the module is asked


def parts(ledger, volume=1):
    return {part.value: amount // MS for part, amount in ledger.totals[volume].components.items()}


def test_a_request_tried_again_counts_from_its_first_try():
    turns, ledger = kept()
    turns.take()
    turns.step(NUDGE, after=30, plan=[SendAttempt(1, 1, 50 * MS)])
    turns.step(RequestWritten(1), after=5)
    turns.step(after=45)  # given up
    turns.step(NUDGE, after=10, plan=[SendAttempt(1, 1)])
    turns.step(RequestWritten(2), after=2)
    turns.step(AttemptFinished(2, AttemptOutcome.OK, b"v"), after=40)
    assert parts(ledger) == {"held_bound": 30, "connecting": 7, "out": 85, "between": 10}
    totals = ledger.totals[1]
    assert (totals.requests, totals.served, totals.late, totals.total_ns) == (1, 1, 1, 132 * MS)
    waited = totals.waited_for.total + totals.stalled_ns + totals.unattributed_ns
    assert waited == totals.total_ns and not ledger.open and not ledger._attempts


def test_a_flood_is_named_by_those_who_wait_behind_it():
    turns, ledger = kept()
    turns.take([SendAttempt(1, 1)], volume=7)
    turns.take([SendAttempt(2, 1)], volume=7)
    turns.take([SendAttempt(3, 1)], volume=1)
    for attempt in (1, 2, 3):
        turns.step(AttemptFinished(attempt, AttemptOutcome.OK, b"v"), after=20)
    assert ledger.totals[1].waited_for.amounts == {7: 40 * MS, 1: 20 * MS}
    assert ledger.totals[7].waited_for.amounts == {7: 60 * MS}


@pytest.mark.parametrize(
    ("state", "shard", "part"),
    [
        (NodeState.READY, 0, "held_bound"),
        (NodeState.DRAINING, 0, "held_drain"),
        (NodeState.READY, 5, "held_no_node"),
    ],
)
def test_what_is_never_sent_says_why_it_was_held(state, shard, part):
    turns, ledger = kept(state)
    turns.take(shard=shard)
    turns.step(NUDGE, after=80, plan=[ShedRequest(1, 5)])
    assert parts(ledger) == {part: 80}
    assert ledger.totals[1].unattributed_ns == (80 * MS if shard == 0 else 0)


def test_a_slow_reader_is_its_own_account_and_not_the_nodes():
    turns, ledger = kept()
    turns.take([SendAttempt(1, 1)])
    turns.step(RequestWritten(1))
    turns.step(StreamStarted(1, "head"), after=10)
    turns.step(ResponseBuffered(1))
    turns.step(AttemptFinished(1, AttemptOutcome.OK, "stream"), after=500)
    assert parts(ledger) == {"out": 10, "reader": 500}
    assert ledger.totals[1].waited_for.amounts == {1: 10 * MS}


def test_an_attempt_that_outlives_its_client_is_still_the_nodes_work():
    turns, ledger = kept()
    sink, _ = turns.take([SendAttempt(1, 1)], volume=7)
    turns.step(ClientDisconnected(sink), after=5)
    turns.take([SendAttempt(2, 1)], volume=1)
    turns.step(AttemptFinished(1, AttemptOutcome.OK, b"v"), after=20)
    turns.step(AttemptFinished(2, AttemptOutcome.OK, b"v"), after=10)
    assert ledger.totals[1].waited_for.amounts == {7: 20 * MS, 1: 10 * MS}
    assert ledger.totals[7].total_ns == 5 * MS and not ledger._attempts


def test_a_client_that_leaves_its_stream_leaves_nothing_open():
    turns, ledger = kept()
    sink, _ = turns.take([SendAttempt(1, 1)])
    turns.step(StreamStarted(1, "head"), after=10)
    turns.step(ClientDisconnected(sink), after=10)
    assert not ledger.open and not ledger._attempts and not ledger._waits
    assert ledger.nodes[1].outstanding == 0


def test_a_node_that_is_forgotten_ends_what_waited_for_it():
    turns, ledger = kept()
    turns.take()
    turns.step(NUDGE, after=10, plan=[ForgetNode(1)])
    turns.step(NUDGE, after=10, plan=[FailRequest(1)])
    assert ledger.totals[1].unattributed_ns == 20 * MS and not ledger.nodes
