"""One node: bounds on attempts in flight, and silence."""

from runloft.decisions.contract import (
    AttemptOutcome,
    SendAttempt,
)
from tests.support.driver import MS, SECOND, Host, request_class, settings


def test_units_in_flight_are_bounded_by_rate_and_maximum():
    host = Host(settings(request_class(objective_ms=100)))
    for _ in range(60):  # about 1000 units per second, always busy
        ids = [host.receive_request(units=5) for _ in range(2)]
        host.wait(10)
        host.finish_all_attempts()
    before = len(host.sends())
    for _ in range(40):
        host.receive_request(units=5)
    assert 2 < len(host.sends()) - before <= 7
    assert ids


def test_silent_node_gets_one_probe_at_a_time_and_recovers():
    host = Host(settings(request_class(objective_ms=100, deadline=2000)))
    host.serve(30)
    for _ in range(6):
        host.receive_request()
    host.wait(1000)
    before = len(host.sends())
    for request_id in sorted(host.open):  # the node is silent
        host.finish_attempt(request_id, AttemptOutcome.TIMEOUT, latency=1000)
    assert len(host.open) <= 1
    for _ in range(5):
        host.receive_request()
    assert len(host.sends()) - before <= 2
    probe = host.log[-1][1] if isinstance(host.log[-1][1], SendAttempt) else host.sends()[-1][1]
    assert 0 < probe.timeout_ns < 2000 * MS
    host.finish_all_attempts()  # the node responds again
    assert len({action.id for _, action in host.sends()}) >= 36


def test_one_unanswered_attempt_does_not_make_a_node_unresponsive():
    """A node with a request every few seconds must not become unresponsive by time alone."""
    host = Host(settings(request_class(objective_ms=100, deadline=600)))
    host.serve(5)
    node = host.scheduler.nodes[10]
    host.receive_request()
    host.wait(400)
    assert not node.is_unresponsive(host.now)
    host.receive_request()
    assert node.is_unresponsive(host.now)


def test_timeout_at_a_short_client_deadline_is_not_counted_as_silence():
    host = Host(settings(request_class(objective_ms=100, deadline=600)))
    host.serve(5)
    for _ in range(3):
        request_id = host.receive_request(time_left_ms=60)
        host.wait(60)
        host.finish_attempt(request_id, AttemptOutcome.TIMEOUT, latency=60)
    host.wait(400)
    assert not host.scheduler.nodes[10].is_unresponsive(host.now)


def test_probes_of_many_schedulers_at_an_unresponsive_node_are_spaced():
    """One probe from each scheduler every 1.5 objectives is more than an overloaded node can serve."""

    def probes(hosts: int) -> int:
        host = Host(settings(request_class(objective_ms=100, deadline=2000), scheduler_count=hosts))
        host.serve(30)
        for _ in range(2):
            host.finish_attempt(host.receive_request(), AttemptOutcome.TIMEOUT, latency=1000)
        host.wait(1000)
        before = len(host.sends())
        for _ in range(40):
            host.receive_request()
            host.wait(50)
            host.finish_all_attempts(AttemptOutcome.RESET)
        return len(host.sends()) - before

    assert 1 <= probes(60) < probes(4) / 4


def test_minimum_in_flight_is_one_request_at_a_slow_node():
    """Two requests from each of many schedulers together took longer than the latency objective."""
    host = Host(settings(request_class(objective_ms=100)))
    host.serve(30, latency=70)
    host.wait(500)
    for _ in range(3):
        host.receive_request()
    assert len(host.open) == 1


def test_overtaken_attempt_is_released_and_delays_no_probe():
    """Attempts that are never answered must not use up the bound on attempts in flight."""
    host = Host(settings(request_class(objective_ms=100, deadline=4000)), at=SECOND)
    host.serve(30, latency=10)
    host.wait(200)
    lost = host.receive_request()
    host.wait(500)  # the node is silent, and its only attempt in flight is never answered
    probe = host.receive_request()
    assert host.sends(probe)
    host.finish_attempt(probe)  # overtakes the lost attempt, which is released
    ids = [host.receive_request() for _ in range(3)]
    assert sum(bool(host.sends(i)) for i in ids) == 2 and lost in host.open
