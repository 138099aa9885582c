"""Oracles for processes: they start and exit in time, exit with code 0, and log no errors."""

import re
from collections.abc import Iterator, Sequence
from pathlib import Path

from runloft.lab.soak.processes import EXIT_TIMEOUT_S, START_TIMEOUT_S
from runloft.lab.soak.records import ProcessEventKind, RunRecord
from runloft.lab.soak.violations import Rule, Violation

LOGGED_ERROR = re.compile(r"Traceback|invariant violated|\[error +\]")
# Logged if the configuration file can't be read.
EXPECTED_ERROR = re.compile(r"reload failed, the old configuration stays in use")
MAX_LINE_LENGTH = 160


def check_processes(record: RunRecord) -> Iterator[Violation]:
    """Check the start and the exit of each process."""
    spawned_at: dict[int, float] = {}
    for event in record.events:
        name = f"process {event.process}"
        match event.kind:
            case ProcessEventKind.SPAWNED:
                spawned_at[event.process] = event.at
            case ProcessEventKind.READY:
                elapsed_s = event.at - spawned_at[event.process]
                if elapsed_s > START_TIMEOUT_S:
                    yield Violation(Rule.LATE_START, name, f"serving after {elapsed_s:.1f} s")
            case ProcessEventKind.NOT_READY:
                yield Violation(Rule.FAILED_START, name, f"exit code {event.exit_code}")
            case ProcessEventKind.EXITED if event.exit_code is None:
                yield Violation(Rule.SHUTDOWN, name, f"no exit within {EXIT_TIMEOUT_S} s")
            case ProcessEventKind.EXITED if event.exit_code != 0:
                yield Violation(Rule.SHUTDOWN, name, f"exit code {event.exit_code}")


def check_logs(logs: Sequence[Path]) -> Iterator[Violation]:
    """Check that no process logged a traceback or an error."""
    for path in logs:
        for line in path.read_text(errors="replace").splitlines():
            if LOGGED_ERROR.search(line) and not EXPECTED_ERROR.search(line):
                yield Violation(Rule.LOG, path.stem, line.strip()[:MAX_LINE_LENGTH])
