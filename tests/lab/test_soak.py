"""The fault soak: schedules, what its oracles find, its command line, and a short real run."""

import json
import signal
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from runloft.lab.soak import schedule as schedules
from runloft.lab.soak.oracles import check
from runloft.lab.soak.playing import Player
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
from runloft.lab.soak.run import SoakRun
from runloft.lab.soak.schedule import SYSTEM_KINDS, FaultKind, ScheduleError, draw, read_kinds, read_schedule
from runloft.lab.soak.seed_result import SeedResult, Verdict
from runloft.lab.soak.shim import ERRORS_BY_KIND, FaultInjector, FaultWindow
from runloft.lab.soak.violations import TIMED_RULES, Rule, Violation
from tests.support.standins import until

ID = "00000000000000aa"


@given(st.integers(0, 10_000), st.integers(1, 40))
def test_a_seed_is_a_schedule(seed, processes):
    drawn = draw(seed, processes, 8.0)
    assert drawn == draw(seed, processes, 8.0)
    for fault in drawn.faults:
        assert 0 <= fault.at_s < 8.0 and 0 <= fault.target < max(processes, schedules.NODES)
    groups = [
        int((fault.at_s - schedules.QUIET_START_S) / schedules.CLUSTER_INTERVAL_S) for fault in drawn.faults
    ]
    assert all(2 <= groups.count(group) <= 3 for group in set(groups))


def test_a_schedule_is_read_back_and_another_versions_is_refused(tmp_path):
    path, drawn = tmp_path / "schedule.json", draw(7, 10, 8.0)
    path.write_text(drawn.dump())
    assert read_schedule(str(path)) == drawn
    path.write_text(replace(drawn, version=2).dump())
    with pytest.raises(ScheduleError, match="version 2; this program plays version 1"):
        read_schedule(str(path))
    path.write_text(json.dumps({"version": 1}))
    with pytest.raises(ScheduleError, match="no schedule"):
        read_schedule(str(path))
    assert len(drawn.without(drawn.faults[0]).faults) == len(drawn.faults) - 1


MISUSES = {
    "unknown trouble": (
        ["--troubles", "node-delay,none"],
        "'none' is not a valid TroubleKind; there are process",
    ),
    "no range": (["--seeds", "a-b"], "a number or a range such as 1-200 is wanted"),
    "empty range": (["--seeds", "9-3"], "the range is empty"),
    "too many": (["--processes", "41"], "41 processes: 1 to 40 can be played"),
    "too long": (["--seconds", "61"], "61 seconds: 2 to 60 can be played"),
    "no file": (["--schedule", "none.json"], "no schedule"),
}


@pytest.mark.parametrize("name", MISUSES)
def test_a_wrong_use_is_named_with_what_there_is(name):
    arguments, words = MISUSES[name]
    command = [sys.executable, "-m", "runloft", "lab", "soak", *arguments]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert done.returncode == 2 and words in done.stderr


def test_every_kind_of_system_trouble_has_its_errors():
    with_errors = {kind for kind in SYSTEM_KINDS if kind is not FaultKind.SYSTEM_WALL_CLOCK}
    assert {FaultKind(kind) for kind in ERRORS_BY_KIND} == with_errors
    assert read_kinds("") == tuple(FaultKind)
    always = FaultInjector(
        [FaultWindow("system-accept", 0, 1 << 62, 1.0), FaultWindow("system-wall-clock", 0, 1 << 62, 5.0)], 1
    )
    with pytest.raises(OSError):
        always.check("system-accept")
    always.check("system-connect")
    assert always.wall_step_ns() == 5 * 10**9


# Oracles: a record that is in order, and each way in which it may not be.


def request(**more):
    facts = {"process": 0, "class_name": "position-read", "wait_s": 1.0, "sent_at": 100.0, "is_first": True}
    facts |= {
        "is_alone": True,
        "outcome": RequestOutcome.SERVED,
        "ended_at": 100.2,
        "value": ID.encode() + b" s-1",
    }
    return RequestRecord(**{"id": ID} | facts | more)


def attempt(at=100.1, **more):
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
        | more
    )


def event(record, kind, at, code=0):
    record.events.append(ProcessEvent(0, kind, at, code))


def broken(requests=(), attempts=(), changes=(), events=(), logs=()):
    record = RunRecord(list(requests), list(attempts), list(changes))
    for one in events:
        event(record, *one)
    return {violation.rule for violation in check(record, list(logs))}


def test_what_is_in_order_breaks_nothing():
    events = [
        (ProcessEventKind.SPAWNED, 90.0),
        (ProcessEventKind.READY, 91.0),
        (ProcessEventKind.TERMINATED, 110.0),
        (ProcessEventKind.EXITED, 113.0, 0),
    ]
    assert broken([request()], [attempt()], [NodeChange(1, 0, 101.0, NodeChangeKind.DRAIN)], events) == set()


BREAKS = {
    "no final answer": {"requests": [request(outcome=RequestOutcome.SILENT, ended_at=103.0)]},
    "closed unanswered": {"requests": [request(outcome=RequestOutcome.CLOSED)]},
    "late answer": {"requests": [request(ended_at=101.6)]},
    "foreign value": {"requests": [request(value=b"00000000000000bb s-1")]},
    "half a command": {"requests": [request(id="half", class_name="half", ended_at=104.0)]},
    "sent after its client left": {
        "requests": [request(outcome=RequestOutcome.LEFT, ended_at=100.0)],
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


@pytest.mark.parametrize("rule", BREAKS)
def test_each_oracle_names_what_it_is_for(rule):
    assert broken(**BREAKS[rule]) == {rule}


@pytest.mark.parametrize(
    "line", ["Traceback (most recent call last):", "[error    ] invariant violated", "[error    ] x"]
)
def test_a_fault_in_a_log_is_found(tmp_path, line):
    path = tmp_path / "process-0.log"
    path.write_text(f"a\n{line}\n")
    assert broken(logs=[path]) == {"log"}


def test_a_process_that_was_killed_owes_nothing():
    killed = [
        (ProcessEventKind.SPAWNED, 90.0),
        (ProcessEventKind.READY, 91.0),
        (ProcessEventKind.KILLED, 100.1),
    ]
    assert broken([request(outcome=RequestOutcome.CLOSED)], events=killed) == set()


def test_times_that_were_taken_late_prove_nothing_and_all_else_does():
    late = SeedResult(draw(1, 1, 4.0), 1, 1, {}, 0.5, (Violation(Rule.DEADLINE, ID, ""),))
    assert late.verdict is Verdict.INCONCLUSIVE and replace(late, lag_s=0.01).verdict is Verdict.FAILED
    other = replace(late, violations=(*late.violations, Violation(Rule.UNSAFE_RETRY, ID, "")))
    assert other.verdict is Verdict.FAILED and replace(late, violations=()).verdict is Verdict.PASSED


# A short real run.  Times depend on the machine that it runs on, and are asserted by longer runs alone.

KINDS = "process-terminate,process-kill,system-accept,system-option,system-open,client-pipeline,node-reset"


@pytest.mark.parametrize("seed", [3, 11])
def test_a_short_run_of_real_processes_breaks_nothing_that_time_does_not_tell(tmp_path, seed):
    drawn = draw(seed, 3, 4.0, read_kinds(KINDS))
    record = anyio.run(SoakRun(drawn, tmp_path).play)
    found = [one for one in check(record, sorted(tmp_path.glob("*.log"))) if one.rule not in TIMED_RULES]
    assert found == [] and record.requests and record.attempts
    exits = [one for one in record.events if one.kind is ProcessEventKind.EXITED]
    assert len(exits) >= 3 and all(one.exit_code == 0 for one in exits)


def children(pid):
    """Give the processes that a process has started."""
    return [int(one) for one in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


@pytest.mark.parametrize("end", [signal.SIGINT, signal.SIGKILL])
def test_a_soak_that_is_ended_leaves_nothing_running(end):
    command = [sys.executable, "-m", "runloft", "lab", "soak", "--processes", "2", "--seconds", "30"]
    soak = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        started = until(lambda: len(children(soak.pid)) == 2 and children(soak.pid))
        until(lambda: all(b"serve" in Path(f"/proc/{pid}/cmdline").read_bytes() for pid in started))
        soak.send_signal(end)
        soak.wait(15)
        until(lambda: not any(Path(f"/proc/{pid}/exe").exists() for pid in started))
    finally:
        soak.kill()
        soak.wait()


def test_a_failing_schedule_is_shrunk_to_what_still_fails(monkeypatch):
    drawn = draw(3, 10, 30.0)
    culprit = drawn.faults[5]

    def played(_, schedule):
        broken = (Violation(Rule.UNSAFE_RETRY, ID, ""),) if culprit in schedule.faults else ()
        return SeedResult(schedule, 1, 1, {}, 0.0, broken)

    monkeypatch.setattr(Player, "play", played)
    assert Player().shrink(played(None, drawn)).schedule.faults == (culprit,)
