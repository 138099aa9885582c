"""The log of a node's work, against a simulated truth."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from runloft.accounts.service_log import ServiceLog
from tests.support.driver import MS


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
def test_a_wait_is_attributed_to_the_work_done_meanwhile(queue):
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


def test_a_stall_is_attributed_to_no_volume():
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


def test_a_failed_attempt_is_attributed_to_no_volume():
    log = ServiceLog()
    number = log.begin_wait()
    log.attempt_sent(0)
    log.attempt_returned(250 * MS, 1, 1.0, False)
    got = log.end_wait(number, 0, 250 * MS)
    assert got.by_volume == {} and got.unattributed == 250 * MS
