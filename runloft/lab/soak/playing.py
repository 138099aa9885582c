"""Play a schedule in a folder of its own, keep what a failed one left, and shrink it."""

import shutil
import tempfile
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import anyio

from runloft.lab.soak.oracles import check
from runloft.lab.soak.records import AttemptRecord, RequestRecord, RunRecord
from runloft.lab.soak.run import SoakRun
from runloft.lab.soak.schedule import Schedule
from runloft.lab.soak.seed_result import SeedResult
from runloft.lab.soak.violations import Violation

MAX_SHOWN_VIOLATIONS = 10


@dataclass(frozen=True, slots=True)
class Player:
    """Plays schedules; ``keep`` is where failed ones leave their logs and schedules."""

    keep: Path | None = None

    def play(self, schedule: Schedule) -> SeedResult:
        """Play a schedule and check what it left."""
        with tempfile.TemporaryDirectory(prefix="runloft-soak-", ignore_cleanup_errors=True) as name:
            folder = Path(name)
            record = anyio.run(SoakRun(schedule, folder).play)
            logs = sorted(folder.glob("process-*.log"))
            violations = check(record, logs)
            if violations and self.keep:
                _keep(folder, self.keep / f"seed-{schedule.seed}", schedule, violations, record, logs)
        return SeedResult(
            schedule=schedule,
            requests=len(record.requests),
            attempts=len(record.attempts),
            outcomes=dict(Counter(str(request.outcome) for request in record.requests)),
            lag_s=record.max_delay_s,
            violations=tuple(violations),
        )

    def shrink(self, result: SeedResult) -> SeedResult:
        """Drop faults one by one while the same rule is still broken."""
        rules = {violation.rule for violation in result.violations}
        for fault in result.schedule.faults:
            smaller = self.play(result.schedule.without(fault))
            if rules & {violation.rule for violation in smaller.violations}:
                result = smaller
        return result


def _keep(
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
        lines += _path_of(violation, record, logs)
    (destination / "paths.txt").write_text("\n".join(lines) + "\n")


def _path_of(violation: Violation, record: RunRecord, logs: Sequence[Path]) -> list[str]:
    """Return a broken request's path through clients, nodes and logs."""
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
