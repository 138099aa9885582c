"""When nodes started, on a clock that may be off: seconds or an hour, from the start or for a while."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from runloft.core.model import NodeListUpdate, NodeUpdate
from runloft.core.reducer import Core
from runloft.core.timers import TimerQueue
from runloft.decisions.contract import ListKind
from runloft.service.runner import Clock
from tests.support.driver import MS, SECOND, request_class, settings

HOUR = 3600 * SECOND
COLD = 18 * SECOND
NOW = 10 * HOUR  # the fleet's own time at the beginning of each story


class Fleet:
    """One scheduler's core whose clock is off by so much, told of nodes in the fleet's time."""

    def __init__(self, off=0):
        self.off, self.now = off, NOW
        conf = settings(
            request_class(),
            slow_start_ns=COLD,
            slow_start_initial_fraction=0.2,
            overload_window_ns=2 * SECOND,
            slow_start_units=12.0,
        )
        self.core = Core(conf, 1, self.now + off, TimerQueue())

    def tell(self, kind=ListKind.DELTA, **started):
        nodes = tuple(
            NodeUpdate(uid, "127.0.0.1:1", shard, started_ns=at)
            for shard, (uid, at) in enumerate(started.items())
        )
        self.core.step(self.now + self.off, [NodeListUpdate(kind, nodes)])

    def age(self, uid):
        """Give for how long the module takes a node to have been up; None: long since."""
        entry = self.core.scheduler.nodes[self.core.node_ids[uid]].entry
        return self.now + self.off - entry.started_ns if entry.started_ns else None

    def wait(self, seconds):
        self.now += int(seconds * SECOND)


@pytest.mark.parametrize("off", [0, 5 * SECOND, -5 * SECOND, HOUR, -HOUR])
def test_start_reported_as_a_change_is_known_whatever_the_wall_clock_says(off):
    """An hour ahead, a node that had just started counted as warm and was pushed over."""
    fleet = Fleet(off)
    fleet.core.endpoints.wall_clock_is_unreliable = bool(off)
    fleet.tell(ListKind.FULL, a=0, b=NOW - 5 * HOUR, c=0)
    fleet.wait(1)
    fleet.tell(c=0)
    fleet.wait(1)
    fleet.tell(a=fleet.now - SECOND // 2)
    assert 0 <= fleet.age("a") <= SECOND
    fleet.wait(30)
    assert fleet.age("a") >= 30 * SECOND  # and for no longer than any start


@pytest.mark.parametrize("kind", [ListKind.CACHED, ListKind.FULL])
def test_wall_clock_behind_leaves_no_node_in_slow_start_for_an_hour(kind):
    fleet = Fleet(-HOUR)
    fleet.tell(kind, a=NOW - 600 * SECOND, b=NOW - 5 * HOUR)
    fleet.wait(COLD / SECOND + 1)
    fleet.tell(kind, a=NOW - 600 * SECOND, b=NOW - 5 * HOUR)
    assert fleet.age("a") >= COLD and fleet.age("b") >= COLD


def test_wall_clock_ahead_is_corrected_for_all_nodes_by_one_start():
    """Nodes of the first list had just started too, and looked an hour old."""
    fleet = Fleet(HOUR)
    fleet.tell(ListKind.FULL, a=NOW - 2 * SECOND, b=NOW - 5 * HOUR, c=NOW - 2 * HOUR)
    fleet.wait(1)
    fleet.tell(c=fleet.now - SECOND // 2)
    assert fleet.age("c") <= 2 * SECOND and fleet.age("a") <= 4 * SECOND
    assert fleet.age("b") >= HOUR


def test_late_list_with_a_correct_clock_does_not_change_a_start():
    fleet = Fleet()
    fleet.tell(ListKind.FULL, a=0, b=0)
    fleet.wait(20)
    fleet.tell(b=0)
    fleet.wait(1)
    fleet.tell(a=fleet.now - 6 * SECOND)
    assert fleet.age("a") == 6 * SECOND


def test_implausible_start_of_one_node_changes_no_other():
    fleet = Fleet()
    fleet.tell(ListKind.FULL, a=NOW + 1000 * HOUR, b=NOW - 5 * SECOND)
    assert fleet.age("b") == 5 * SECOND and fleet.age("a") == 0
    fleet.wait(1)
    fleet.tell(a=NOW + 2000 * HOUR)
    assert fleet.age("b") == 6 * SECOND


@given(st.integers(-2 * HOUR, 2 * HOUR), st.lists(st.integers(0, 20 * SECOND), min_size=1, max_size=6))
def test_start_reported_as_a_change_is_not_older_than_the_previous_message(off, gaps):
    fleet = Fleet(off)
    fleet.core.endpoints.wall_clock_is_unreliable = True
    fleet.tell(ListKind.FULL, a=0, b=0)
    for gap in gaps:
        before = fleet.now
        fleet.wait(gap / SECOND + 0.01)
        fleet.tell(a=fleet.now - 5 * MS)
        assert 0 <= fleet.age("a") <= fleet.now - before


def test_clock_reports_a_step_of_the_wall_clock(monkeypatch):
    clock = Clock()
    assert abs(clock.error_ns()) < 100 * MS
    real = time.time_ns
    before = clock()
    monkeypatch.setattr(time, "time_ns", lambda: real() + HOUR)
    assert abs(clock.error_ns() - HOUR) < 100 * MS and clock() - before < SECOND
