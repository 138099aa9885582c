"""Attempts whose process was held up between its last look at the clock and the write, from its log."""

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

from runloft.lab.soak.violations import Rule, Violation

MIN_HELD_MS = 10
DISPATCHED = re.compile(r"\] attempt +attempt=(\d+) id=b'([0-9a-f]+)'")
STARTED = re.compile(r"\] attempt started +attempt=(\d+) .*held_ms=(\d+)")


@dataclass(frozen=True, slots=True)
class SortedViolations:
    """The violations of a run; no program can prevent those ``held`` in the write's system call."""

    broken: tuple[Violation, ...]
    held: tuple[Violation, ...]


def sort_violations(violations: Iterable[Violation], logs: Sequence[Path]) -> SortedViolations:
    """Return apart the attempts for departed clients that a trace shows to have been held in their write."""
    violations = tuple(violations)
    held_ids = {request_id for log in logs for request_id in _held_request_ids(log)}
    held = tuple(
        violation
        for violation in violations
        if violation.rule is Rule.SENT_AFTER_DISCONNECT and violation.subject in held_ids
    )
    return SortedViolations(tuple(each for each in violations if each not in held), held)


def _held_request_ids(log: Path) -> Iterable[str]:
    """Yield the clients' ids of requests with an attempt that was held in its write."""
    ids_by_attempt: dict[str, str] = {}  # of the process that logged last: numbers start anew with each
    for line in log.read_text(errors="replace").splitlines():
        if dispatched := DISPATCHED.search(line):
            ids_by_attempt[dispatched[1]] = dispatched[2]
        elif (started := STARTED.search(line)) and int(started[2]) >= MIN_HELD_MS:
            yield ids_by_attempt.get(started[1], "")
