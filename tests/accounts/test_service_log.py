"""The service log of a node, compared with a simulated queue."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from runloft.accounts.service_log import ServiceLog
from tests.support.driver import MS


@st.composite
def queues(draw):
    """Draw requests for a node that serves one at a time, as (arrival time, volume, service time)."""
    arrival, queue = 0, []
    for _ in range(draw(st.integers(1, 25))):
        arrival += draw(st.integers(0, 60))
        queue.append((arrival, draw(st.integers(0, 3)), draw(st.integers(1, 40))))
    return queue


@given(queues())
@settings(max_examples=200, deadline=None)
def test_a_wait_is_attributed_to_the_work_done_meanwhile(queue):
    log, free_at, served = ServiceLog(), 0, []
    for number, (arrival, volume, work) in enumerate(queue):
        start = max(free_at, arrival)
        free_at = start + work
        served.append((start, free_at, volume, number))
    events = sorted(
        [(arrival, 1, number) for number, (arrival, _, _) in enumerate(queue)]
        + [(end, 0, number) for _, end, _, number in served]
    )
    waits = {}
    for now, is_arrival, number in events:
        arrival, volume, work = queue[number]
        if is_arrival:
            waits[number] = log.begin_wait()
            log.attempt_sent(now)
            continue
        log.attempt_returned(now, volume, 0.0, True)
        breakdown = log.end_wait(waits[number], arrival, now)
        expected = Counter()
        for start, end, served_volume, _ in served:
            if min(end, now) > max(start, arrival):
                expected[served_volume] += min(end, now) - max(start, arrival)
        assert breakdown.by_volume == dict(expected) and breakdown.stalled == 0 and not breakdown.truncated
        assert breakdown.total == now - arrival
    assert not log.intervals and not log._waits  # nothing is kept once no wait is open


def test_a_stall_is_attributed_to_no_volume():
    log, now = ServiceLog(), 0
    for _ in range(20):
        log.attempt_sent(now)
        now += 10 * MS
        log.attempt_returned(now, 1, 1.0, True)
    index, started_ns = log.begin_wait(), now
    log.attempt_sent(now)
    now += 310 * MS  # 10 ms of work and a stall of 300 ms
    log.attempt_returned(now, 1, 1.0, True)
    breakdown = log.end_wait(index, started_ns, now)
    assert (
        breakdown.stalled == 300 * MS and breakdown.by_volume == {1: 10 * MS} and breakdown.total == 310 * MS
    )


def test_a_failed_attempt_is_attributed_to_no_volume():
    log = ServiceLog()
    index = log.begin_wait()
    log.attempt_sent(0)
    log.attempt_returned(250 * MS, 1, 1.0, False)
    breakdown = log.end_wait(index, 0, 250 * MS)
    assert breakdown.by_volume == {} and breakdown.unattributed == 250 * MS
