"""The oracles accept a correct run and find each kind of violation."""

import pytest

from runloft.lab.soak.oracles import check
from runloft.lab.soak.records import (
    AttemptRecord,
    NodeChange,
    NodeChangeKind,
    ProcessEvent,
    ProcessEventKind,
    RequestOutcome,
    RequestRecord,
    RunRecord,
)

ID = "00000000000000aa"


def request(**overrides):
    fields = {"process": 0, "class_name": "position-read", "wait_s": 1.0, "sent_at": 100.0, "is_first": True}
    fields |= {
        "is_alone": True,
        "outcome": RequestOutcome.SERVED,
        "ended_at": 100.2,
        "value": ID.encode() + b" s-1",
    }
    return RequestRecord(**{"id": ID} | fields | overrides)


def attempt(at=100.1, **overrides):
    return AttemptRecord(
        **{
            "id": ID,
            "node": 1,
            "first_byte_at": at,
            "last_byte_at": at,
            "deadline_s": 0.8,
            "units": 2.0,
            "over_at": at + 0.05,
        }
        | overrides
    )


def add_event(record, kind, at, exit_code=0):
    record.events.append(ProcessEvent(0, kind, at, exit_code))


def broken_rules(requests=(), attempts=(), changes=(), events=(), logs=()):
    record = RunRecord(list(requests), list(attempts), list(changes))
    for event in events:
        add_event(record, *event)
    return {violation.rule for violation in check(record, list(logs))}


def test_correct_run_has_no_violation():
    events = [
        (ProcessEventKind.SPAWNED, 90.0),
        (ProcessEventKind.READY, 91.0),
        (ProcessEventKind.TERMINATED, 110.0),
        (ProcessEventKind.EXITED, 113.0, 0),
    ]
    assert (
        broken_rules([request()], [attempt()], [NodeChange(1, 0, 101.0, NodeChangeKind.DRAIN)], events)
        == set()
    )


VIOLATING_RUNS = {
    "no final answer": {"requests": [request(outcome=RequestOutcome.SILENT, ended_at=103.0)]},
    "closed unanswered": {"requests": [request(outcome=RequestOutcome.CLOSED)]},
    "late answer": {"requests": [request(ended_at=101.6)]},
    "foreign value": {"requests": [request(value=b"00000000000000bb s-1")]},
    "half a command": {"requests": [request(id="half", class_name="half", ended_at=104.0)]},
    "sent after its client left": {
        "requests": [request(outcome=RequestOutcome.DISCONNECTED, ended_at=100.0)],
        "attempts": [attempt(100.13)],
    },
    "told wait": {"requests": [request()], "attempts": [attempt(deadline_s=1.1)]},
    "second copy": {"requests": [request()], "attempts": [attempt(), attempt(100.12)]},
    "unsafe repeat": {
        "requests": [request(class_name="ledger-write")],
        "attempts": [attempt(), attempt(100.19)],
    },
    "repeat past its window": {
        "requests": [request(class_name="report-write", wait_s=3.0, ended_at=101.9)],
        "attempts": [attempt(), attempt(101.3)],
    },
    "sent to a draining node": {
        "requests": [request(wait_s=3.0, ended_at=102.0)],
        "attempts": [attempt(101.5)],
        "changes": [NodeChange(1, 0, 100.1, NodeChangeKind.DRAIN)],
    },
    "slow start": {
        "attempts": [attempt(100.0 + n / 1000, id=f"{n}") for n in range(200)],
        "changes": [NodeChange(1, 0, 99.0, NodeChangeKind.START)],
    },
    "late start": {"events": [(ProcessEventKind.SPAWNED, 90.0), (ProcessEventKind.READY, 101.0)]},
    "failed start": {"events": [(ProcessEventKind.SPAWNED, 90.0), (ProcessEventKind.NOT_READY, 101.0, 1)]},
    "shutdown": {
        "events": [
            (ProcessEventKind.SPAWNED, 90.0),
            (ProcessEventKind.READY, 91.0),
            (ProcessEventKind.EXITED, 101.0, 1),
        ]
    },
}


@pytest.mark.parametrize("rule", VIOLATING_RUNS)
def test_each_broken_rule_is_found(rule):
    assert broken_rules(**VIOLATING_RUNS[rule]) == {rule}


@pytest.mark.parametrize(
    "line", ["Traceback (most recent call last):", "[error    ] invariant violated", "[error    ] x"]
)
def test_error_in_a_log_is_found(tmp_path, line):
    path = tmp_path / "process-0.log"
    path.write_text(f"a\n{line}\n")
    assert broken_rules(logs=[path]) == {"log"}


def test_unanswered_request_of_a_killed_process_is_no_violation():
    killed = [
        (ProcessEventKind.SPAWNED, 90.0),
        (ProcessEventKind.READY, 91.0),
        (ProcessEventKind.KILLED, 100.1),
    ]
    assert broken_rules([request(outcome=RequestOutcome.CLOSED)], events=killed) == set()
