"""Start times of nodes with a wall clock that is wrong by seconds or an hour."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from runloft.core.model import NodeListUpdate, NodeUpdate
from runloft.core.reducer import Core
from runloft.core.timers import TimerQueue
from runloft.decisions.contract import ListKind
from runloft.service.clock import MonotonicClock
from tests.support.driver import MS, SECOND, request_class, settings

HOUR = 3600 * SECOND
SLOW_START_NS = 18 * SECOND
NOW = 10 * HOUR  # the correct time at the beginning of each test


class Fleet:
    """A core whose clock is off by ``clock_offset_ns``; nodes report correct start times."""

    def __init__(self, clock_offset_ns=0):
        self.clock_offset_ns, self.now = clock_offset_ns, NOW
        conf = settings(
            request_class(),
            slow_start_ns=SLOW_START_NS,
            slow_start_initial_fraction=0.2,
            overload_window_ns=2 * SECOND,
            slow_start_units=12.0,
        )
        self.core = Core(conf, 1, self.now + clock_offset_ns, TimerQueue())

    def update_nodes(self, kind=ListKind.DELTA, **started):
        nodes = tuple(
            NodeUpdate(uid, "127.0.0.1:1", shard, started_ns=at)
            for shard, (uid, at) in enumerate(started.items())
        )
        self.core.step(self.now + self.clock_offset_ns, [NodeListUpdate(kind, nodes)])

    def uptime(self, uid):
        """Return a node's uptime as known to the scheduler, or None if the node started long ago."""
        entry = self.core.scheduler.nodes[self.core.node_ids[uid]].entry
        return self.now + self.clock_offset_ns - entry.started_ns if entry.started_ns else None

    def wait(self, seconds):
        self.now += int(seconds * SECOND)


@pytest.mark.parametrize("clock_offset_ns", [0, 5 * SECOND, -5 * SECOND, HOUR, -HOUR])
def test_start_reported_as_a_change_is_known_whatever_the_wall_clock_says(clock_offset_ns):
    """With a clock an hour ahead, a node that just started skipped slow start and was overloaded."""
    fleet = Fleet(clock_offset_ns)
    fleet.core.endpoints.wall_clock_is_unreliable = bool(clock_offset_ns)
    fleet.update_nodes(ListKind.FULL, a=0, b=NOW - 5 * HOUR, c=0)
    fleet.wait(1)
    fleet.update_nodes(c=0)
    fleet.wait(1)
    fleet.update_nodes(a=fleet.now - SECOND // 2)
    assert 0 <= fleet.uptime("a") <= SECOND
    fleet.wait(30)
    assert fleet.uptime("a") >= 30 * SECOND  # the uptime then grows as usual


@pytest.mark.parametrize("kind", [ListKind.CACHED, ListKind.FULL])
def test_wall_clock_behind_leaves_no_node_in_slow_start_for_an_hour(kind):
    fleet = Fleet(-HOUR)
    fleet.update_nodes(kind, a=NOW - 600 * SECOND, b=NOW - 5 * HOUR)
    fleet.wait(SLOW_START_NS / SECOND + 1)
    fleet.update_nodes(kind, a=NOW - 600 * SECOND, b=NOW - 5 * HOUR)
    assert fleet.uptime("a") >= SLOW_START_NS and fleet.uptime("b") >= SLOW_START_NS


def test_wall_clock_ahead_is_corrected_for_all_nodes_by_one_start():
    """Nodes of the first list had also just started, but appeared to be an hour old."""
    fleet = Fleet(HOUR)
    fleet.update_nodes(ListKind.FULL, a=NOW - 2 * SECOND, b=NOW - 5 * HOUR, c=NOW - 2 * HOUR)
    fleet.wait(1)
    fleet.update_nodes(c=fleet.now - SECOND // 2)
    assert fleet.uptime("c") <= 2 * SECOND and fleet.uptime("a") <= 4 * SECOND
    assert fleet.uptime("b") >= HOUR


def test_late_list_with_a_correct_clock_does_not_change_a_start():
    fleet = Fleet()
    fleet.update_nodes(ListKind.FULL, a=0, b=0)
    fleet.wait(20)
    fleet.update_nodes(b=0)
    fleet.wait(1)
    fleet.update_nodes(a=fleet.now - 6 * SECOND)
    assert fleet.uptime("a") == 6 * SECOND


def test_implausible_start_of_one_node_changes_no_other():
    fleet = Fleet()
    fleet.update_nodes(ListKind.FULL, a=NOW + 1000 * HOUR, b=NOW - 5 * SECOND)
    assert fleet.uptime("b") == 5 * SECOND and fleet.uptime("a") == 0
    fleet.wait(1)
    fleet.update_nodes(a=NOW + 2000 * HOUR)
    assert fleet.uptime("b") == 6 * SECOND


@given(st.integers(-2 * HOUR, 2 * HOUR), st.lists(st.integers(0, 20 * SECOND), min_size=1, max_size=6))
def test_start_reported_as_a_change_is_not_older_than_the_previous_message(clock_offset_ns, gaps):
    fleet = Fleet(clock_offset_ns)
    fleet.core.endpoints.wall_clock_is_unreliable = True
    fleet.update_nodes(ListKind.FULL, a=0, b=0)
    for gap in gaps:
        before = fleet.now
        fleet.wait(gap / SECOND + 0.01)
        fleet.update_nodes(a=fleet.now - 5 * MS)
        assert 0 <= fleet.uptime("a") <= fleet.now - before


def test_clock_reports_a_step_of_the_wall_clock(monkeypatch):
    clock = MonotonicClock()
    assert abs(clock.error_ns()) < 100 * MS
    real_time_ns = time.time_ns
    before = clock()
    monkeypatch.setattr(time, "time_ns", lambda: real_time_ns() + HOUR)
    assert abs(clock.error_ns() - HOUR) < 100 * MS and clock() - before < SECOND
