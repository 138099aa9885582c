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

from runloft.lab.soak import commands
from runloft.lab.soak import schedule as schedules
from runloft.lab.soak.commands import TIMED_RULES, SeedResult, Verdict
from runloft.lab.soak.oracles import Violation, check
from runloft.lab.soak.records import AttemptRecord, Ending, NodeChange, RequestRecord, RunRecord
from runloft.lab.soak.running import SoakRun
from runloft.lab.soak.schedule import SYSTEM_KINDS, ScheduleError, TroubleKind, checked_kinds, draw, read
from runloft.lab.soak.shim import ERRORS, Fault, Faults
from tests.support.standins import until

ID = "00000000000000aa"


@given(st.integers(0, 10_000), st.integers(1, 40))
def test_a_seed_is_a_schedule(seed, processes):
    drawn = draw(seed, processes, 8.0)
    assert drawn == draw(seed, processes, 8.0)
    for trouble in drawn.troubles:
        assert 0 <= trouble.at_s < 8.0 and 0 <= trouble.target < max(processes, schedules.NODES)
    groups = [
        int((trouble.at_s - schedules.QUIET_START_S) / schedules.CLUSTER_EVERY_S)
        for trouble in drawn.troubles
    ]
    assert all(2 <= groups.count(group) <= 3 for group in set(groups))


def test_a_schedule_is_read_back_and_another_versions_is_refused(tmp_path):
    path, drawn = tmp_path / "schedule.json", draw(7, 10, 8.0)
    path.write_text(drawn.dump())
    assert read(str(path)) == drawn
    path.write_text(replace(drawn, version=2).dump())
    with pytest.raises(ScheduleError, match="version 2; this program plays version 1"):
        read(str(path))
    path.write_text(json.dumps({"version": 1}))
    with pytest.raises(ScheduleError, match="no schedule"):
        read(str(path))
    assert len(drawn.without(drawn.troubles[0]).troubles) == len(drawn.troubles) - 1


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
    with_errors = {kind for kind in SYSTEM_KINDS if kind is not TroubleKind.SYSTEM_WALL_CLOCK}
    assert {TroubleKind(kind) for kind in ERRORS} == with_errors
    assert checked_kinds("") == tuple(TroubleKind)
    always = Faults([Fault("system-accept", 0, 1 << 62, 1.0), Fault("system-wall-clock", 0, 1 << 62, 5.0)], 1)
    with pytest.raises(OSError):
        always.check("system-accept")
    always.check("system-connect")
    assert always.wall_step_ns() == 5 * 10**9


# Oracles: a record that is in order, and each way in which it may not be.


def request(**more):
    facts = {"process": 0, "class_name": "position-read", "wait_s": 1.0, "sent_at": 100.0, "fresh": True}
    facts |= {"alone": True, "ending": Ending.SERVED, "ended_at": 100.2, "value": ID.encode() + b" s-1"}
    return RequestRecord(**{"id": ID} | facts | more)


def attempt(at=100.1, **more):
    return AttemptRecord(**{"id": ID, "node": 1, "first_byte_at": at, "last_byte_at": at, "told_wait_s": 0.8,
                            "units": 2.0, "over_at": at + 0.05} | more)  # fmt: skip


def event(record, what, at, code=0):
    record.happened(0, what, code)
    record.events[-1].at = at


def broken(requests=(), attempts=(), changes=(), events=(), logs=()):
    record = RunRecord(list(requests), list(attempts), list(changes))
    for one in events:
        event(record, *one)
    return {violation.rule for violation in check(record, list(logs))}


def test_what_is_in_order_breaks_nothing():
    events = [("spawned", 90.0), ("ready", 91.0), ("terminated", 110.0), ("exited", 113.0, 0)]
    assert broken([request()], [attempt()], [NodeChange(1, 0, 101.0, "drain")], events) == set()


BREAKS = {
    "no final answer": {"requests": [request(ending=Ending.SILENT, ended_at=103.0)]},
    "closed unanswered": {"requests": [request(ending=Ending.CLOSED)]},
    "late answer": {"requests": [request(ended_at=101.6)]},
    "foreign value": {"requests": [request(value=b"00000000000000bb s-1")]},
    "half a command": {"requests": [request(id="half", class_name="half", ended_at=104.0)]},
    "sent after its client left": {"requests": [request(ending=Ending.LEFT, ended_at=100.0)],
                                   "attempts": [attempt(100.13)]},
    "told wait": {"requests": [request()], "attempts": [attempt(told_wait_s=1.1)]},
    "second copy": {"requests": [request()], "attempts": [attempt(), attempt(100.12)]},
    "unsafe repeat": {"requests": [request(class_name="ledger-write")],
                      "attempts": [attempt(), attempt(100.19)]},
    "repeat past its window": {"requests": [request(class_name="report-write", wait_s=3.0, ended_at=101.9)],
                               "attempts": [attempt(), attempt(101.3)]},
    "sent to a draining node": {"requests": [request(wait_s=3.0, ended_at=102.0)],
                                "attempts": [attempt(101.5)], "changes": [NodeChange(1, 0, 100.1, "drain")]},
    "slow start": {"attempts": [attempt(100.0 + n / 1000, id=f"{n}") for n in range(200)],
                   "changes": [NodeChange(1, 0, 99.0, "start")]},
    "late start": {"events": [("spawned", 90.0), ("ready", 101.0)]},
    "failed start": {"events": [("spawned", 90.0), ("not ready", 101.0, 1)]},
    "shutdown": {"events": [("spawned", 90.0), ("ready", 91.0), ("exited", 101.0, 1)]},
}  # fmt: skip


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
    killed = [("spawned", 90.0), ("ready", 91.0), ("killed", 100.1)]
    assert broken([request(ending=Ending.CLOSED)], events=killed) == set()


def test_times_that_were_taken_late_prove_nothing_and_all_else_does():
    late = SeedResult(draw(1, 1, 4.0), 1, 1, {}, 0.5, (Violation("told wait", ID, ""),))
    assert late.verdict is Verdict.INCONCLUSIVE and replace(late, lag_s=0.01).verdict is Verdict.FAILED
    other = replace(late, violations=(*late.violations, Violation("unsafe repeat", ID, "")))
    assert other.verdict is Verdict.FAILED and replace(late, violations=()).verdict is Verdict.PASSED


# A short real run.  Times depend on the machine that it runs on, and are asserted by longer runs alone.

KINDS = "process-terminate,process-kill,system-accept,system-option,system-open,client-pipeline,node-reset"


@pytest.mark.parametrize("seed", [3, 11])
def test_a_short_run_of_real_processes_breaks_nothing_that_time_does_not_tell(tmp_path, seed):
    drawn = draw(seed, 3, 4.0, checked_kinds(KINDS))
    record = anyio.run(SoakRun(drawn, tmp_path).play)
    found = [one for one in check(record, sorted(tmp_path.glob("*.log"))) if one.rule not in TIMED_RULES]
    assert found == [] and record.requests and record.attempts
    exits = [one for one in record.events if one.what == "exited"]
    assert len(exits) >= 3 and all(one.code == 0 for one in exits)


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
    culprit = drawn.troubles[5]

    def played(schedule, _):
        broken = (Violation("unsafe repeat", ID, ""),) if culprit in schedule.troubles else ()
        return SeedResult(schedule, 1, 1, {}, 0.0, broken)

    monkeypatch.setattr(commands, "_once", played)
    assert commands.shrunk(played(drawn, None), None).schedule.troubles == (culprit,)
