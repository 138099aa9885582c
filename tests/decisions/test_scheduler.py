"""The scheduler as a whole: order of events, events of finished requests, determinism."""

import re
from pathlib import Path

from runloft.decisions.contract import (
    AttemptOutcome,
    AttemptResult,
    ClientGone,
    Idempotency,
    NodeEntry,
    TimerFired,
)
from tests.support.driver import MS, Host, request_class, settings

ROOT = Path(__file__).parents[2]


def test_example_of_the_readme_runs():
    (example,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    exec(example, {})


def test_result_is_processed_before_a_timer_of_the_same_instant():
    host = Host(settings(request_class(objective_ms=100, deadline=600)))
    request_id = host.receive_request()
    host.now += 700 * MS
    host.feed(TimerFired(request_id), AttemptResult(request_id, 0, 10, AttemptOutcome.OK, True, 20 * MS))
    assert not host.final_responses(request_id)


def test_events_of_finished_or_unknown_requests_are_ignored():
    host = Host(settings(request_class(Idempotency.NOT_IDEMPOTENT)))
    request_id = host.receive_request()
    host.finish_attempt(request_id)
    host.finish_attempt(request_id)
    host.feed(
        AttemptResult(999, 0, 10, AttemptOutcome.OK, True),
        ClientGone(999),
        TimerFired(999),
        ClientGone(request_id),
    )
    host.wait(1000)
    assert not host.final_responses(request_id) and len(host.sends(request_id)) == 1


def test_same_events_give_the_same_actions():
    logs = []
    for _ in range(2):
        host = Host(settings(), nodes=[NodeEntry(10 + n, n) for n in range(4)])
        for n in range(50):
            host.receive_request(shard=None, units=1 + n % 3)
            host.wait(3)
            if n % 4 == 0:
                host.finish_all_attempts()
        logs.append(host.log)
    assert logs[0] == logs[1]
