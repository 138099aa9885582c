"""One section for each of the seven rules; each test fails when its guard is taken out."""

from dataclasses import replace

import pytest

from runloft.decisions.contract import (
    AttemptOutcome,
    CancelAttempt,
    ClientGone,
    FailRequest,
    Idempotency,
    IdempotencyScope,
    ListKind,
    NodeEntry,
    NodeState,
    PlanSettings,
    ShedRequest,
    StreamStarted,
    WatchNodeList,
)
from tests.support.driver import MS, SECOND, Host, gone, request_class, settings

# 1. No request is lost.


def test_a_held_request_is_answered_before_its_deadline():
    host = Host(settings(), nodes=())
    id_ = host.ask()
    host.wait(2000)
    ((at, answer),) = host.answers(id_)
    assert isinstance(answer, ShedRequest) and at <= 600 * MS


def test_a_timeout_at_the_deadline_still_owes_an_answer_and_gets_one():
    host = Host(settings(request_class(Idempotency.NOT_IDEMPOTENT)))
    id_ = host.ask()
    host.now = 600 * MS
    host.end(id_, AttemptOutcome.TIMEOUT)
    host.wait(1000)
    assert [type(a) for _, a in host.answers(id_)] == [FailRequest]


def test_an_answer_by_timer_comes_even_if_no_outcome_does():
    host = Host(settings(request_class(Idempotency.NOT_IDEMPOTENT)))
    id_ = host.ask()
    host.wait(1000)
    assert [t <= 600 * MS for t, _ in host.answers(id_)] == [True]
    host.end(id_, AttemptOutcome.TIMEOUT)
    host.wait(1000)
    assert len(host.answers(id_)) == 1 and len(host.sends(id_)) == 1


def test_a_gone_client_is_sent_nothing_and_answered_nothing():
    host = Host(settings(may_cancel=True))
    out, held = host.ask(), host.ask(shard=5)
    actions = host.see(ClientGone(out), ClientGone(held))
    assert CancelAttempt(out, 0) in actions
    host.end(out, AttemptOutcome.CANCELLED)
    host.tell(NodeEntry(11, 5))
    host.wait(1000)
    assert not host.answers(out) and not host.answers(held) and not host.sends(held)


def test_a_stream_that_began_has_no_deadline():
    host = Host(settings(request_class(streamed=True)))
    id_ = host.ask()
    host.see(StreamStarted(id_, 0, 10))
    host.wait(2000)
    assert not host.answers(id_)


# 2. No effect happens twice.


@pytest.mark.parametrize(
    "outcome", [AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED]
)
def test_an_unsafe_request_that_may_have_run_fails_and_is_not_repeated(outcome):
    host = Host(settings(request_class(Idempotency.NOT_IDEMPOTENT)))
    id_ = host.ask()
    host.end(id_, outcome)
    host.wait(1000)
    assert len(host.sends(id_)) == 1
    assert [type(a) for _, a in host.answers(id_)] == [FailRequest]


@pytest.mark.parametrize(
    "outcome", [AttemptOutcome.FULL, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT]
)
def test_an_unsafe_request_that_surely_never_ran_is_tried_again(outcome):
    host = Host(settings(request_class(Idempotency.NOT_IDEMPOTENT)))
    id_ = host.ask()
    host.end(id_, outcome)
    host.wait(100)
    assert len(host.sends(id_)) == 2


def test_a_keyed_request_is_repeated_within_its_window_only():
    host = Host(
        settings(
            request_class(Idempotency.IDEMPOTENT_WITH_KEY, deadline=3000, idempotency_window_ns=200 * MS)
        )
    )
    id_ = host.ask()
    host.wait(50)
    host.end(id_, AttemptOutcome.ERROR)
    assert len(host.sends(id_)) == 2
    host.wait(200)
    host.end(id_, AttemptOutcome.ERROR)
    host.wait(3000)
    assert len(host.sends(id_)) == 2
    assert [type(a) for _, a in host.answers(id_)] == [FailRequest]


@pytest.mark.parametrize(
    ("group", "count"), [(IdempotencyScope.SHARD, 1), (IdempotencyScope.ZONE, 1), (IdempotencyScope.ALL, 2)]
)
def test_a_keyed_new_object_that_may_have_run_stays_in_its_group(group, count):
    conf = settings(
        request_class(
            Idempotency.IDEMPOTENT_WITH_KEY,
            deadline=3000,
            idempotency_window_ns=SECOND,
            idempotency_scope=group,
        )
    )
    host = Host(conf, nodes=(NodeEntry(10, 0, zone=0), NodeEntry(11, 1, zone=1)))
    id_ = host.ask(shard=None)
    first = host.nodes[id_]
    host.tell(replace(gone(first, first - 10), zone=first - 10))
    host.end(id_, AttemptOutcome.RESET)
    host.wait(900)
    assert len(host.sends(id_)) == 1 or group is IdempotencyScope.ALL
    assert len({a.node for _, a in host.sends(id_)}) <= count


def test_only_a_group_of_all_lets_a_keyed_request_be_refused_after_doubt():
    for group, kind in ((IdempotencyScope.ALL, ShedRequest), (IdempotencyScope.SHARD, FailRequest)):
        host = Host(
            settings(
                request_class(
                    Idempotency.IDEMPOTENT_WITH_KEY, idempotency_window_ns=1, idempotency_scope=group
                )
            )
        )
        id_ = host.ask()
        host.end(id_, AttemptOutcome.ERROR)
        assert [type(a) for _, a in host.answers(id_)] == [kind]


# 3. Drains are kept.


@pytest.mark.parametrize("state", [NodeState.DRAINING, NodeState.GONE])
def test_nothing_new_goes_to_a_node_that_leaves(state):
    host = Host(settings())
    host.tell(gone(10, state=state))
    id_ = host.ask()
    host.wait(1000)
    assert not host.sends(id_) and len(host.answers(id_)) == 1


def test_a_node_missing_from_a_full_list_is_gone_and_its_replacement_takes_over():
    host = Host(settings())
    host.tell(NodeEntry(11, 1), kind=ListKind.FULL)
    id_ = host.ask()
    assert not host.sends(id_)
    host.tell(NodeEntry(12, 0))
    assert [a.node for _, a in host.sends(id_)] == [12]


def test_a_failed_call_keeps_the_list_and_is_made_again():
    host = Host(settings(list_is_polled=True, poll_interval_ns=10 * SECOND))
    host.tell(kind=ListKind.FAILED)
    assert host.sends(host.ask())
    assert WatchNodeList() in host.wait(5000)


# 4. A cold node is not pushed over.


def flood(host: Host, milliseconds: int, outcome=AttemptOutcome.ERROR, **more) -> int:
    """Offer a request every 5 ms, let each attempt end at once; give how many were sent."""
    before = len(host.sends())
    for _ in range(milliseconds // 5):
        host.ask(**more)
        host.end_all(outcome)
        host.wait(5)
        host.end_all(outcome)
    return len(host.sends()) - before


COLD = {
    "slow_start_ns": 10 * SECOND,
    "overload_window_ns": 2 * SECOND,
    "overload_multiple": 2.0,
    "slow_start_initial_fraction": 0.2,
}


def test_a_cold_node_gets_this_hosts_part_of_what_it_bears():
    conf = settings(slow_start_units=20, hosts=4, max_attempts=1, **COLD)
    host = Host(conf, at=100 * SECOND)
    host.tell(NodeEntry(10, 0, started_ns=100 * SECOND))
    assert flood(host, 1500) <= 20 / 4
    host.wait(20_000)
    assert flood(host, 200) > 20 / 4


def test_many_hosts_take_turns_at_a_cold_node_within_what_it_bears():
    """Full size: a part of the budget is under one request, so for a whole warm-up nothing came at all."""
    conf = settings(slow_start_units=20, max_attempts=1, **COLD)
    sends: list[int] = []
    for number in range(150):
        host = Host(replace(conf, hosts=150, host_number=number), at=100 * SECOND)
        host.tell(NodeEntry(10, 0, started_ns=100 * SECOND))
        for _ in range(24):
            host.ask(left=240)
            host.wait(125)
            host.end_all()
            host.wait(125)
        sends += [at for at, _ in host.sends()]
    windows = [sum(at <= other < at + 2 * SECOND for other in sends) for at in sends]
    assert len(sends) >= 10 and max(windows) <= 20


def refuse_for_a_while(host):
    """Let connecting fail, with nothing served, for as long as a process is down."""
    for _ in range(2):
        host.wait(600)
        host.end(host.ask(), AttemptOutcome.CONNECT_FAILED)


def test_a_refused_connection_is_a_guess_that_ends_early_and_restarts_no_dated_start():
    host = Host(settings(slow_start_units=8, hosts=150, **COLD), at=100 * SECOND)
    refuse_for_a_while(host)
    node = host.scheduler.nodes[10]
    assert host.scheduler.slow_start.started_at(node, host.now) == host.now
    assert host.scheduler.slow_start.started_at(node, host.now + 6 * SECOND) is None
    host.tell(NodeEntry(10, 0, started_ns=98 * SECOND))
    assert host.scheduler.slow_start.started_at(node, host.now) == 98 * SECOND


def test_odd_figures_do_not_raise():
    odd = settings(hosts=0, host_number=9, max_attempts=1, slow_start_ns=10 * SECOND, overload_window_ns=0)
    for conf in (odd, replace(odd, overload_window_ns=SECOND), replace(odd, hosts=-1, tick_ns=0)):
        host = Host(conf, at=100 * SECOND)
        host.tell(NodeEntry(10, 0, started_ns=100 * SECOND))
        flood(host, 100)
        host.wait(20_000)
        assert flood(host, 100, AttemptOutcome.OK) > 0


def test_a_restarted_host_takes_a_cold_nodes_window_as_spent():
    conf = settings(slow_start_units=20, hosts=4, **COLD)
    host = Host(conf, nodes=(NodeEntry(10, 0, started_ns=99 * SECOND),), at=100 * SECOND)
    assert flood(host, 1500) == 0
    host.wait(1000)
    assert flood(host, 100) > 0


def test_a_hosts_part_of_a_cold_node_follows_what_the_node_did_for_it_before():
    """A rack back at once: an even part of the always borne units left cold nodes idle for the warm-up."""

    def sends_while_cold(served: int) -> int:
        host = Host(settings(slow_start_units=8, hosts=150, max_attempts=1, **COLD), at=100 * SECOND)
        host.serve(served, latency=40)
        host.wait(1000)
        host.tell(NodeEntry(10, 0, started_ns=host.now))
        before = len(host.sends())
        for _ in range(40):
            host.ask(left=90)
            host.wait(100)
            host.end_all()
        return len(host.sends()) - before

    usual = 100 / (100 * 0.041 + 1)  # units a second that it served when warm, over the time seen
    assert sends_while_cold(0) <= 1 < sends_while_cold(100)
    assert sends_while_cold(100) <= 4 * usual * (2.0 * 0.5) * 0.36  # as warm as it is after 4 s, at most


def test_a_node_that_refused_connections_is_taken_as_cold():
    host = Host(settings(slow_start_units=8, hosts=4, max_attempts=1, **COLD), at=100 * SECOND)
    refuse_for_a_while(host)
    assert flood(host, 1500) <= 2


@pytest.mark.parametrize("between", [None, AttemptOutcome.OK])
def test_a_connection_that_breaks_here_and_there_is_no_start(between):
    host = Host(settings(slow_start_units=8, hosts=4, max_attempts=1, **COLD), at=100 * SECOND)
    for _ in range(5):
        host.end(host.ask(), AttemptOutcome.CONNECT_FAILED)
        host.wait(300 if between else 90)
        if between:
            host.end(host.ask(), between)
    assert host.scheduler.slow_start.started_at(host.scheduler.nodes[10], host.now) is None


# 5. Order is kept where a class asks for it.

ORDERED = request_class(
    Idempotency.IDEMPOTENT_WITH_KEY, deadline=3000, idempotency_window_ns=SECOND, in_order=True
)


def test_requests_of_one_key_run_one_at_a_time_in_order():
    host = Host(settings(ORDERED))
    first, second, other = host.ask(key=7), host.ask(key=7), host.ask(key=8)
    assert host.sends(first) and host.sends(other) and not host.sends(second)
    host.end(first)
    assert host.sends(second)


@pytest.mark.parametrize("outcome", [AttemptOutcome.TIMEOUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED])
def test_a_key_rests_after_an_open_end(outcome):
    host = Host(settings(ORDERED, ambiguity_wait_ns=100 * MS, may_cancel=True))
    first, second = host.ask(key=7), host.ask(key=7)
    host.see(ClientGone(first))
    assert not host.sends(second)  # its attempt has no outcome yet
    ended = host.now
    host.end(first, outcome)
    host.wait(300)
    assert host.sends(second)[0][0] >= ended + 100 * MS


def test_the_request_that_has_the_turn_is_tried_again_at_once():
    host = Host(settings(ORDERED, ambiguity_wait_ns=500 * MS))
    first = host.ask(key=7)
    host.end(first, AttemptOutcome.RESET)
    host.wait(30)
    assert len(host.sends(first)) == 2


# 6. Further attempts stay within a budget.


def test_further_attempts_stay_within_floor_and_share_of_the_window():
    conf = settings(retry_budget_base=2, retry_budget_ratio=0.1, retry_budget_window_ns=SECOND)
    host = Host(conf)
    for n in range(30):
        host.end(host.ask(), AttemptOutcome.ERROR)
        while host.sends(n + 1) and not host.answers(n + 1):
            host.end(n + 1, AttemptOutcome.ERROR)
        host.wait(1)
    extra = len(host.sends()) - len({a.id for _, a in host.sends()})
    assert 2 <= extra <= 2 + 0.1 * 30
    host.wait(2000)
    id_ = host.ask()
    host.end(id_, AttemptOutcome.ERROR)
    host.wait(20)
    assert len(host.sends(id_)) == 2  # the window has passed


def test_without_a_stated_budget_nothing_is_asked():
    host = Host(settings(max_attempts=50))
    id_ = host.ask()
    for _ in range(20):
        host.end(id_, AttemptOutcome.ERROR)
    assert len(host.sends(id_)) == 21


# 7. Limits are kept.

LIMITED = PlanSettings(rate=10, reserve=5, limit=40, limit_burst=24)


def test_a_host_sends_its_part_of_a_limit_and_starts_with_nothing():
    host = Host(settings(request_class(deadline=50), plan=LIMITED))
    assert flood(host, 1000, AttemptOutcome.OK, volume_hosts=2.0) <= 40 / 2
    host.wait(60)
    host.end_all(AttemptOutcome.OK)
    host.wait(10_000)
    assert 12 <= flood(host, 1000, AttemptOutcome.OK, volume_hosts=2.0) <= 12 + 40 / 2


def test_a_further_attempt_draws_nothing_from_the_limit():
    host = Host(settings(plan=LIMITED))
    host.wait(1000)
    first = host.ask(units=24)
    host.end(first, AttemptOutcome.ERROR)
    host.wait(30)
    assert len(host.sends(first)) == 2
