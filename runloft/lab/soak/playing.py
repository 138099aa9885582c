"""Run schedules, each in a temporary folder; keep the files of failed runs, and shrink failing schedules."""

import shutil
import tempfile
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import anyio

from runloft.lab.soak.held_attempts import sort_violations
from runloft.lab.soak.oracles import check
from runloft.lab.soak.records import AttemptRecord, RequestRecord, RunRecord
from runloft.lab.soak.run import SoakRun
from runloft.lab.soak.schedule import Schedule
from runloft.lab.soak.seed_result import SeedResult
from runloft.lab.soak.violations import Violation

MAX_SHOWN_VIOLATIONS = 10


@dataclass(frozen=True, slots=True)
class Player:
    """Runs schedules; ``keep_dir`` is the directory for the files of runs with violations.

    ``source`` is the folder of the version to run, by default this one.
    """

    keep_dir: Path | None = None
    source: Path | None = None

    def play(self, schedule: Schedule) -> SeedResult:
        """Run a schedule and check its records and logs."""
        with tempfile.TemporaryDirectory(prefix="runloft-soak-", ignore_cleanup_errors=True) as name:
            folder = Path(name)
            record = anyio.run(SoakRun(schedule, folder, self.source).play)
            logs = sorted(folder.glob("process-*.log"))
            sorted_violations = sort_violations(check(record, logs), logs)
            violations = sorted_violations.broken
            if violations and self.keep_dir:
                _save_failure(
                    folder, self.keep_dir / f"seed-{schedule.seed}", schedule, violations, record, logs
                )
        return SeedResult(
            schedule=schedule,
            requests=len(record.requests),
            attempts=len(record.attempts),
            outcomes=dict(Counter(str(request.outcome) for request in record.requests)),
            lag_s=record.max_delay_s,
            violations=violations,
            held=sorted_violations.held,
        )

    def shrink(self, result: SeedResult) -> SeedResult:
        """Drop each fault in turn; leave it out if one of the same rules is still broken without it."""
        rules = {violation.rule for violation in result.violations}
        for fault in result.schedule.faults:
            reduced = self.play(result.schedule.without(fault))
            if rules & {violation.rule for violation in reduced.violations}:
                result = reduced
        return result


def _save_failure(
    folder: Path,
    destination: Path,
    schedule: Schedule,
    violations: Sequence[Violation],
    record: RunRecord,
    logs: Sequence[Path],
) -> None:
    shutil.rmtree(destination, ignore_errors=True)
    shutil.copytree(folder, destination)
    (destination / "schedule.json").write_text(schedule.dump())
    lines = []
    for violation in violations[:MAX_SHOWN_VIOLATIONS]:
        lines += _trace_of(violation, record, logs)
    (destination / "paths.txt").write_text("\n".join(lines) + "\n")


def _trace_of(violation: Violation, record: RunRecord, logs: Sequence[Path]) -> list[str]:
    """Return the records and log lines of a violation's subject."""
    lines = [f"== {violation}"]
    lines += _records_of("request", violation.subject, record.requests)
    lines += _records_of("attempt", violation.subject, record.attempts)
    for log in logs:
        for line in log.read_text(errors="replace").splitlines():
            if violation.subject in line:
                lines.append(f"  {log.stem}: {line}")
    return lines


def _records_of(
    kind: str, subject: str, records: Sequence[RequestRecord] | Sequence[AttemptRecord]
) -> list[str]:
    return [f"  {kind}: {record}" for record in records if record.id == subject]
