"""The ordinary path of the design, and the failures found on the way."""

import re
from pathlib import Path

import pytest

from runloft.decisions.contract import (
    AttemptOutcome,
    AttemptResult,
    ClientGone,
    FailRequest,
    Idempotency,
    NodeEntry,
    NodeState,
    PlanSettings,
    SendAttempt,
    ShedRequest,
    TimerFired,
)
from runloft.decisions.volume_quota import MAX_VOLUMES
from tests.support.driver import MS, NODE, SECOND, Host, gone, request_class, settings

ROOT = Path(__file__).parents[2]


def test_the_readmes_example_runs():
    (example,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    exec(example, {})


# The ordinary path.


def test_nothing_learned_forecasts_zero_and_sends():
    host = Host(settings())
    assert host.sends(host.ask())


def test_a_forecast_past_the_deadline_is_refused_on_arrival_with_the_excess():
    host = Host(settings(request_class(aim=100, deadline=600)))
    host.serve(40, latency=50)  # about 20 units a second
    ids = [host.ask() for _ in range(30)]
    refused = [a for i in ids for t, a in host.answers(i) if t == host.now]
    assert refused and all(isinstance(a, ShedRequest) for a in refused)
    assert 0 < refused[0].retry_after_ns < 200 * MS
    assert refused[0].retry_after_ns <= refused[-1].retry_after_ns <= SECOND
    assert len(ids) - len(refused) >= 5  # what can leave in its time is taken


def test_units_out_stay_under_rate_times_part_of_the_aim_and_the_cap():
    host = Host(settings(request_class(aim=100)))
    for _ in range(60):  # about 1000 units a second, always busy
        ids = [host.ask(units=5) for _ in range(2)]
        host.wait(10)
        host.end_all()
    before = len(host.sends())
    for _ in range(40):
        host.ask(units=5)
    assert 2 < len(host.sends()) - before <= 7
    assert ids


def test_a_new_object_goes_to_the_node_with_the_least_forecast():
    host = Host(settings(), nodes=(NodeEntry(10, 0), NodeEntry(11, 1)))
    host.serve(20, latency=40, shard=0)
    host.serve(20, latency=5, shard=1)
    assert host.nodes[host.ask(shard=None)] == 11


# Order of held requests.


def test_a_surging_volume_crowds_out_only_itself():
    plan = PlanSettings(rate=2, reserve=3, weight=1)
    conf = settings(request_class(deadline=2000), plan=plan, within_quota_factor=0.3, beyond_quota_factor=0.1)
    host = Host(conf)
    host.serve(20, latency=20, volume=9)
    for _ in range(20):
        host.ask(volume=1)
    quiet = host.ask(volume=2)
    for _ in range(4):  # volume 1 uses up its reserve, then volume 2 is due
        host.end(min(host.open))
    assert host.sends(quiet)


# Silence is evidence.


def test_a_silent_node_gets_one_trial_at_a_time_and_recovers():
    host = Host(settings(request_class(aim=100, deadline=2000)))
    host.serve(30)
    for _ in range(6):
        host.ask()
    host.wait(1000)
    before = len(host.sends())
    for id_ in sorted(host.open):  # lost: the node hangs
        host.end(id_, AttemptOutcome.TIMEOUT, latency=1000)
    assert len(host.open) <= 1
    for _ in range(5):
        host.ask()
    assert len(host.sends()) - before <= 2
    trial = host.log[-1][1] if isinstance(host.log[-1][1], SendAttempt) else host.sends()[-1][1]
    assert 0 < trial.timeout_ns < 2000 * MS
    host.end_all()  # it answers again
    assert len({a.id for _, a in host.sends()}) >= 36


def test_silence_raises_the_forecast():
    host = Host(settings(request_class(aim=100, deadline=600)))
    host.serve(30)
    host.ask()
    host.wait(500)
    ids = [host.ask() for _ in range(30)]
    assert any(host.answers(i) for i in ids)


def test_one_attempt_without_answer_makes_no_suspect_of_a_seldom_used_node():
    """Full size: a request every few seconds; by time alone a single lost answer blamed the node."""
    host = Host(settings(request_class(aim=100, deadline=600)))
    host.serve(5)
    node = host.scheduler.nodes[10]
    host.ask()
    host.wait(400)
    assert not node.is_unresponsive(host.now)
    host.ask()
    assert node.is_unresponsive(host.now)


def test_a_time_out_of_a_client_with_little_time_is_no_silence():
    host = Host(settings(request_class(aim=100, deadline=600)))
    host.serve(5)
    for _ in range(3):
        id_ = host.ask(left=60)
        host.wait(60)
        host.end(id_, AttemptOutcome.TIMEOUT, latency=60)
    host.wait(400)
    assert not host.scheduler.nodes[10].is_unresponsive(host.now)


def test_trials_of_many_hosts_at_a_suspect_node_are_spaced_by_their_number():
    """Full size: a trial of each host every 1.5 aims was more than a crowded node can serve."""

    def trials(hosts: int) -> int:
        host = Host(settings(request_class(aim=100, deadline=2000), hosts=hosts))
        host.serve(30)
        for _ in range(2):
            host.end(host.ask(), AttemptOutcome.TIMEOUT, latency=1000)
        host.wait(1000)
        before = len(host.sends())
        for _ in range(40):
            host.ask()
            host.wait(50)
            host.end_all(AttemptOutcome.RESET)
        return len(host.sends()) - before

    assert 1 <= trials(60) < trials(4) / 4


def test_a_host_that_stood_still_takes_the_answer_before_the_timer():
    host = Host(settings(request_class(aim=100, deadline=600)))
    id_ = host.ask()
    host.now += 700 * MS
    host.see(TimerFired(id_), AttemptResult(id_, 0, 10, AttemptOutcome.OK, True, 20 * MS))
    assert not host.answers(id_)


def test_quick_errors_raise_no_rate():
    host = Host(settings(request_class(aim=100, deadline=600), max_attempts=1))
    host.serve(30, latency=20)
    before = host.scheduler.nodes[10].rate.units_per_second
    for _ in range(200):
        host.ask()
        host.wait(1)
        host.end_all(AttemptOutcome.ERROR)
    assert host.scheduler.nodes[10].rate.units_per_second <= before


def test_many_hosts_floors_give_way_where_answers_are_slow():
    """Incident i8680d3: many hosts' floors together outlasted the aim."""
    host = Host(settings(request_class(aim=100)))
    host.serve(30, latency=70)
    host.wait(500)
    for _ in range(3):
        host.ask()
    assert len(host.open) == 1


def test_late_work_leaves_a_busy_node_to_timely_work():
    """Incident i8680d3: half of what was served was late, and kept timely work of other hosts waiting."""
    host = Host(settings(request_class(aim=100, deadline=3000)))
    host.serve(30, latency=70)
    host.wait(500)
    first, late = host.ask(), host.ask()
    host.wait(70)
    host.end(first, latency=70)
    host.wait(150)
    assert not host.sends(late)
    host.wait(150)
    assert host.sends(late)


def test_a_swallowed_attempt_keeps_no_place_and_no_trial_waits_for_it():
    """Incident i86f02a: a fifth of the attempts was never answered, on every node."""
    host = Host(settings(request_class(aim=100, deadline=4000)), at=SECOND)
    host.serve(30, latency=10)
    host.wait(200)
    swallowed = host.ask()
    host.wait(500)  # silent for long: suspect, and the only attempt out has no end in sight
    trial = host.ask()
    assert host.sends(trial)
    host.end(trial)  # overtakes the first one, whose place is free again
    ids = [host.ask() for _ in range(3)]
    assert sum(bool(host.sends(i)) for i in ids) == 2 and swallowed in host.open


# Odd input.


def test_news_of_what_has_ended_or_was_never_known_is_passed_over():
    host = Host(settings(request_class(Idempotency.NOT_IDEMPOTENT)))
    id_ = host.ask()
    host.end(id_)
    host.end(id_)
    host.see(
        AttemptResult(999, 0, 10, AttemptOutcome.OK, True), ClientGone(999), TimerFired(999), ClientGone(id_)
    )
    host.wait(1000)
    assert not host.answers(id_) and len(host.sends(id_)) == 1


def test_a_request_for_an_unknown_shard_waits_for_the_list():
    host = Host(settings())
    id_ = host.ask(shard=40)
    assert not host.answers(id_)
    host.tell(NodeEntry(14, 40))
    assert [a.node for _, a in host.sends(id_)] == [14]


def test_an_ended_request_without_time_left_is_answered():
    host = Host(settings())
    id_ = host.ask(left=0, shard=40)
    host.wait(10)
    assert len(host.answers(id_)) == 1


def test_the_same_events_give_the_same_actions():
    logs = []
    for _ in range(2):
        host = Host(settings(), nodes=[NodeEntry(10 + n, n) for n in range(4)])
        for n in range(50):
            host.ask(shard=None, units=1 + n % 3)
            host.wait(3)
            if n % 4 == 0:
                host.end_all()
        logs.append(host.log)
    assert logs[0] == logs[1]


# A request given up on is answered at once, with a time to come back.


def test_a_held_request_that_can_end_in_time_no_more_is_refused_then_and_told_when_to_come_back():
    host = Host(settings(request_class(aim=100, deadline=3000)), at=SECOND)
    host.serve(30, latency=50)  # about 20 units a second
    host.wait(500)
    out = host.ask(units=20)  # a second of work
    asked, held = host.now, host.ask(units=10, left=2600)
    assert not host.sends(held) and not host.answers(held)  # in its forecast it can still be served
    host.wait(1150)  # before its hold time
    ((at, answer),) = host.answers(held)
    assert at < asked + 2600 * MS - 1400 * MS  # well before its deadline
    assert isinstance(answer, ShedRequest) and answer.retry_after_ns > 0 and out in host.open


def test_what_has_not_left_by_its_hold_time_is_given_up_then_and_what_a_node_has_seen_is_not():
    host = Host(settings(request_class(aim=100, deadline=1000)), nodes=())
    unsent = host.ask()
    host.wait(449)
    assert not host.answers(unsent)
    host.wait(1)
    ((_, answer),) = host.answers(unsent)
    assert isinstance(answer, ShedRequest) and answer.retry_after_ns > 0
    host.tell(NODE)
    seen = host.ask()
    host.tell(gone(10, state=NodeState.DRAINING))
    host.end(seen, AttemptOutcome.RESET)
    host.wait(900)
    assert not host.answers(seen)
    host.wait(98)
    assert len(host.answers(seen)) == 1


def test_a_refusal_after_a_failed_attempt_says_when_to_come_back():
    host = Host(settings(request_class(aim=100, deadline=600), max_attempts=1))
    host.serve(30, latency=20)
    id_ = host.ask()
    host.end(id_, AttemptOutcome.ERROR)
    ((at, answer),) = host.answers(id_)
    assert at == host.now and isinstance(answer, ShedRequest) and 0 < answer.retry_after_ns <= SECOND


def test_a_request_for_an_unknown_shard_is_told_when_to_come_back():
    host = Host(settings())
    id_ = host.ask(shard=40)
    host.wait(1000)
    assert [a.retry_after_ns > 0 for _, a in host.answers(id_)] == [True]


def test_a_keyed_request_past_its_window_fails_then_and_is_not_held_to_its_deadline():
    keyed_class = request_class(
        Idempotency.IDEMPOTENT_WITH_KEY, aim=100, deadline=3000, idempotency_window_ns=200 * MS
    )
    host = Host(settings(keyed_class, request_class(aim=100, deadline=3000, priority_weight=5.0)))
    host.serve(30, latency=50, request_class=1)
    asked, keyed = host.now, host.ask()
    host.ask(request_class=1)  # worth more: takes the only place when the first attempt ends
    host.end(keyed, AttemptOutcome.RESET)
    host.wait(400)
    ((at, answer),) = host.answers(keyed)
    assert len(host.sends(keyed)) == 1 and isinstance(answer, FailRequest) and at <= asked + 300 * MS


# Many hosts: a price where others crowd a node.


def crowded(hosts: int, outcome=AttemptOutcome.OK) -> Host:
    """A host that saw a node answer late, or not at all; it has a dear class and a cheap one."""
    dear, cheap = (
        request_class(aim=100, deadline=3000, priority_weight=w, late_priority_weight=0.5) for w in (4.0, 1.0)
    )
    host = Host(settings(dear, cheap, hosts=hosts), nodes=[NodeEntry(10, 0), NodeEntry(11, 1)])
    for _ in range(6 if outcome is AttemptOutcome.OK else 3):
        host.wait(400)
        id_, latency = host.ask(), 90 if outcome is AttemptOutcome.OK else 150
        host.wait(latency)
        host.end(id_, outcome, latency=latency)
    host.wait(400)
    return host


@pytest.mark.parametrize("outcome", [AttemptOutcome.OK, AttemptOutcome.TIMEOUT])
def test_many_hosts_keep_what_earns_least_from_a_crowded_node(outcome):
    """Issue 11: 213 hosts with one request each filled every node for seconds, for clients who had left."""
    for hosts, leaves in ((200, False), (4, True)):
        host = crowded(hosts, outcome)
        cheap = host.ask(request_class=1)
        assert bool(host.sends(cheap)) is leaves
    host = crowded(200, outcome)
    assert host.sends(host.ask(request_class=0))


def test_timely_answers_lower_the_price_again():
    host = crowded(200)
    host.serve(40, latency=5)
    assert host.sends(host.ask(request_class=1))


def test_what_other_nodes_show_holds_at_a_node_not_heard():
    host = crowded(200)
    before = host.scheduler.pricing.mean.value
    assert before > 0
    node = host.scheduler.nodes[11]
    assert host.scheduler.pricing.price_of(node.congestion_price, host.now) > 0


def test_a_node_that_started_anew_has_no_price_and_no_silence():
    """Its queue died with the process; what the dead one showed kept requests away for seconds."""
    host = crowded(200, AttemptOutcome.TIMEOUT)
    assert not host.sends(host.ask(request_class=1))
    host.tell(NodeEntry(10, 0, started_ns=host.now))
    assert host.sends(host.ask(request_class=1))


def test_an_attempt_at_a_crowded_node_ends_with_its_use_and_is_answered_then():
    """Issue 11: waiting work of clients who had left kept nodes full."""
    host = crowded(200)
    host.wait(400)
    id_ = host.ask()
    host.wait(300)
    ((_, send),) = host.sends(id_)
    assert 0 < send.timeout_ns <= 2 * 100 * MS
    host.end(id_, AttemptOutcome.TIMEOUT, latency=100)
    assert [a.retry_after_ns > 0 for _, a in host.answers(id_)] == [True]


def test_volumes_that_were_quiet_longest_are_forgotten():
    host = Host(settings(request_class()))
    for volume in range(MAX_VOLUMES + 5):
        host.ask(volume=volume)
        host.wait(1)
        host.end_all()
    assert len(host.scheduler.volumes) == MAX_VOLUMES and 0 not in host.scheduler.volumes


def test_a_later_try_counts_its_aim_from_the_first():
    host = Host(settings(request_class(aim=100, deadline=2000, late_priority_weight=0.1)))
    host.serve(20, latency=20)
    out = [host.ask() for _ in range(4)]
    later, first = host.ask(left=1500), host.ask()
    assert not host.sends(later) and not host.sends(first)
    while not host.sends(first):
        host.end(min(host.open))
    assert not host.sends(later) and out
    while not host.sends(later):
        host.end(min(host.open))


def test_new_objects_leave_a_node_that_fails_quickly_until_it_has_not_failed_for_a_while():
    host = Host(settings(request_class(), max_attempts=1), nodes=(NODE, NodeEntry(11, 1)))
    for _ in range(20):  # one in three is served there, so that it is never silent
        for outcome in (AttemptOutcome.ERROR, AttemptOutcome.ERROR, AttemptOutcome.OK):
            host.end(host.ask(shard=0), outcome, latency=1)
            host.wait(5)
            host.end(host.ask(shard=1), latency=20)
            host.wait(5)
    placed = []
    for _ in range(10):
        id_ = host.ask(shard=None)
        placed.append(host.nodes[id_])
        host.end(id_)
        host.wait(5)
    assert set(placed) == {11}
    assert host.scheduler.nodes[10].outlier.is_ejected(host.now)
    assert not host.scheduler.nodes[10].outlier.is_ejected(host.now + 5 * SECOND)
