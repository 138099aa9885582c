"""Slow start of nodes that are warming up."""

from dataclasses import replace

import pytest

from runloft.decisions.contract import (
    AttemptOutcome,
    NodeEntry,
    NodeState,
)
from tests.support.driver import NODE, SECOND, SLOW_START, Host, send_flood, settings
from tests.support.fleet import fleet_settings


def test_warming_up_node_gets_this_schedulers_share_of_its_capacity():
    conf = settings(slow_start_units=20, scheduler_count=4, max_attempts=1, **SLOW_START)
    host = Host(conf, at=100 * SECOND)
    host.update_nodes(NodeEntry(10, 0, started_ns=100 * SECOND))
    assert send_flood(host, 1500) <= 20 / 4
    host.wait(20_000)
    assert send_flood(host, 200) > 20 / 4


def test_many_schedulers_together_stay_within_the_capacity_of_a_warming_up_node():
    """A share below one request must accrue, or nothing is sent during the whole warm-up."""
    conf = settings(slow_start_units=20, max_attempts=1, **SLOW_START)
    sends: list[int] = []
    for number in range(150):
        host = Host(replace(conf, scheduler_count=150, scheduler_number=number), at=100 * SECOND)
        host.update_nodes(NodeEntry(10, 0, started_ns=100 * SECOND))
        for _ in range(24):
            host.receive_request(time_left_ms=240)
            host.wait(125)
            host.finish_all_attempts()
            host.wait(125)
        sends += [at for at, _ in host.sends()]
    windows = [sum(at <= other < at + 2 * SECOND for other in sends) for at in sends]
    assert len(sends) >= 10 and max(windows) <= 20


def fail_connects(host):
    """Let connects fail, with nothing served, for as long as a restart takes."""
    for _ in range(2):
        host.wait(600)
        host.finish_attempt(host.receive_request(), AttemptOutcome.CONNECT_FAILED)


def test_start_inferred_from_failed_connects_ends_early_and_gives_way_to_the_list():
    host = Host(settings(slow_start_units=8, scheduler_count=150, **SLOW_START), at=100 * SECOND)
    fail_connects(host)
    node = host.scheduler.nodes[10]
    assert host.scheduler.slow_start.started_at(node, host.now) == host.now
    assert host.scheduler.slow_start.started_at(node, host.now + 6 * SECOND) is None
    host.update_nodes(NodeEntry(10, 0, started_ns=98 * SECOND))
    assert host.scheduler.slow_start.started_at(node, host.now) == 98 * SECOND


def test_unusual_settings_do_not_raise():
    unusual = settings(
        scheduler_count=0, scheduler_number=9, max_attempts=1, slow_start_ns=10 * SECOND, overload_window_ns=0
    )
    for conf in (
        unusual,
        replace(unusual, overload_window_ns=SECOND),
        replace(unusual, scheduler_count=-1, tick_ns=0),
    ):
        host = Host(conf, at=100 * SECOND)
        host.update_nodes(NodeEntry(10, 0, started_ns=100 * SECOND))
        send_flood(host, 100)
        host.wait(20_000)
        assert send_flood(host, 100, AttemptOutcome.OK) > 0


def test_restarted_scheduler_treats_the_first_window_as_used_up():
    conf = settings(slow_start_units=20, scheduler_count=4, **SLOW_START)
    host = Host(conf, nodes=(NodeEntry(10, 0, started_ns=99 * SECOND),), at=100 * SECOND)
    assert send_flood(host, 1500) == 0
    host.wait(1000)
    assert send_flood(host, 100) > 0


def test_slow_start_budget_follows_the_rate_before_the_start():
    """An equal share of the configured units would leave warming-up nodes idle."""

    def sends_while_warming_up(served: int) -> int:
        host = Host(
            settings(slow_start_units=8, scheduler_count=150, max_attempts=1, **SLOW_START), at=100 * SECOND
        )
        host.serve(served, latency=40)
        host.wait(1000)
        host.update_nodes(NodeEntry(10, 0, started_ns=host.now))
        before = len(host.sends())
        for _ in range(40):
            host.receive_request(time_left_ms=90)
            host.wait(100)
            host.finish_all_attempts()
        return len(host.sends()) - before

    baseline_rate = 100 / (100 * 0.041 + 1)  # units per second served before the start
    assert sends_while_warming_up(0) <= 1 < sends_while_warming_up(100)
    # The warm fraction is at most 0.36 in these 4 s.
    assert sends_while_warming_up(100) <= 4 * baseline_rate * (2.0 * 0.5) * 0.36


def test_node_whose_connects_failed_is_warming_up():
    host = Host(
        settings(slow_start_units=8, scheduler_count=4, max_attempts=1, **SLOW_START), at=100 * SECOND
    )
    fail_connects(host)
    assert send_flood(host, 1500) <= 2


@pytest.mark.parametrize("outcome_between", [None, AttemptOutcome.OK])
def test_single_failed_connects_are_not_taken_for_a_start(outcome_between):
    host = Host(
        settings(slow_start_units=8, scheduler_count=4, max_attempts=1, **SLOW_START), at=100 * SECOND
    )
    for _ in range(5):
        host.finish_attempt(host.receive_request(), AttemptOutcome.CONNECT_FAILED)
        host.wait(300 if outcome_between else 90)
        if outcome_between:
            host.finish_attempt(host.receive_request(), outcome_between)
    assert host.scheduler.slow_start.started_at(host.scheduler.nodes[10], host.now) is None


def test_restarted_scheduler_limits_a_warming_up_node_by_its_demand():
    """Restarted schedulers have no history; replaced nodes must not stay idle."""
    host = Host(fleet_settings(40, 0), nodes=(NODE, NodeEntry(11, 1, started_ns=SECOND)), at=SECOND)
    host.serve(120, latency=20, shard=0)
    before = len(host.sends())
    for _ in range(40):
        host.receive_request(shard=1, time_left_ms=800)
        host.wait(250)
        host.finish_all_attempts()
    assert 2 <= len(host.sends()) - before <= 20


def sends_to_a_warming_up_node(latency):
    """Return how many attempts are sent in a node's first 14 s, of one request per second."""
    host = Host(fleet_settings(200, 0, slow_start_units=0.0), at=SECOND)

    def ask(times, response_ms):
        for _ in range(times):
            host.receive_request(time_left_ms=900)
            host.wait(response_ms)
            host.finish_all_attempts(latency=response_ms)
            host.wait(1000 - response_ms)
        return len(host.sends())

    sent_before = ask(20, 50)
    host.update_nodes(NodeEntry(10, 0, NodeState.GONE), NodeEntry(11, 0, started_ns=host.now))
    return ask(14, latency) - sent_before


def test_warming_up_node_that_responds_at_once_is_sent_more():
    """With one request at a time, half of the load of a replaced node would be shed."""
    assert sends_to_a_warming_up_node(50) > sends_to_a_warming_up_node(600) > 0
