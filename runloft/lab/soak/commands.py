"""``runloft lab soak``: plays seeds of overlapping troubles against real processes, and names what broke."""

import argparse
import json
import shutil
import sys
import tempfile
from collections import Counter
from dataclasses import asdict, dataclass
from enum import StrEnum
from pathlib import Path

import anyio

from runloft.config.tool.output import usage_error
from runloft.lab.soak.oracles import Violation, check
from runloft.lab.soak.records import Ending
from runloft.lab.soak.running import SoakRun
from runloft.lab.soak.schedule import Schedule, ScheduleError, checked_kinds, draw, read

MOST_SHOWN = 10
MOST_LAG_S = 0.25
TIMED_RULES = frozenset(
    (
        "late answer",
        "half a command",
        "sent after its client left",
        "told wait",
        "second copy",
        "sent to a draining node",
        "repeat past its window",
        "late start",
    )
)


class Verdict(StrEnum):
    """What became of one seed."""

    PASSED = "passed"
    FAILED = "FAILED"
    INCONCLUSIVE = "INCONCLUSIVE, this program was held up itself"


@dataclass(frozen=True, slots=True)
class SeedResult:
    """What one seed came to."""

    schedule: Schedule
    requests: int
    attempts: int
    endings: dict[str, int]
    lag_s: float
    violations: tuple[Violation, ...]

    @property
    def verdict(self) -> Verdict:
        """What its violations are worth: times that this program took while it was held up prove nothing."""
        if not self.violations:
            return Verdict.PASSED
        timed = all(one.rule in TIMED_RULES for one in self.violations)
        return Verdict.INCONCLUSIVE if timed and self.lag_s > MOST_LAG_S else Verdict.FAILED


def run(options: argparse.Namespace) -> int:
    """Play; 0 where nothing was broken, 1 where something was, 2 for a wrong use."""
    try:
        schedules = schedules_of(options)
    except ScheduleError as error:
        return usage_error(str(error))
    results = []
    try:
        for schedule in schedules:
            results.append(_played(schedule, options))
            _report(results[-1], options)
    except KeyboardInterrupt:
        print("runloft: interrupted, nothing is left running", file=sys.stderr)
    verdicts = Counter(one.verdict for one in results)
    requests = sum(one.requests for one in results)
    print(
        f"{len(results)} of {len(schedules)} seeds played, {requests} requests, "
        f"{verdicts[Verdict.FAILED]} failed, {verdicts[Verdict.INCONCLUSIVE]} inconclusive"
    )
    if options.output:
        with open(options.output, "a") as out:
            for one in results:
                out.write(json.dumps(asdict(one) | {"schedule": asdict(one.schedule)}) + "\n")
    return 0 if verdicts[Verdict.PASSED] == len(schedules) else 1


def schedules_of(options: argparse.Namespace) -> list[Schedule]:
    """Read what is to be played; ScheduleError for what can't be."""
    if options.schedule:
        return [read(options.schedule)]
    first, mark, last = options.seeds.partition("-")
    if not first.isdigit() or (mark and not last.isdigit()):
        raise ScheduleError(f"--seeds {options.seeds}: a number or a range such as 1-200 is wanted")
    seeds = range(int(first), int(last or first) + 1)
    if not seeds:
        raise ScheduleError(f"--seeds {options.seeds}: the range is empty")
    kinds = checked_kinds(options.troubles)
    return [draw(seed, options.processes, options.seconds, kinds) for seed in seeds]


def _played(schedule: Schedule, options: argparse.Namespace) -> SeedResult:
    result = _once(schedule, options)
    if result.violations and options.shrink:
        result = shrunk(result, options)
    return result


def _once(schedule: Schedule, options: argparse.Namespace) -> SeedResult:
    folder = Path(tempfile.mkdtemp(prefix="runloft-soak-"))
    try:
        run = SoakRun(schedule, folder)
        record = anyio.run(run.play)
        logs = sorted(folder.glob("process-*.log"))
        violations = check(record, logs)
        if violations and options.keep:
            kept = Path(options.keep) / f"seed-{schedule.seed}"
            shutil.rmtree(kept, ignore_errors=True)
            shutil.copytree(folder, kept)
            (kept / "schedule.json").write_text(schedule.dump())
            _write_paths(kept / "paths.txt", violations, record, logs)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    endings = Counter(str(one.ending) for one in record.requests)
    lag = max((lag for _, lag in record.lags), default=0.0)
    return SeedResult(
        schedule, len(record.requests), len(record.attempts), dict(endings), lag, tuple(violations)
    )


def _write_paths(path: Path, violations: list[Violation], record: object, logs: list[Path]) -> None:
    """Write each broken request's path through clients, nodes and logs."""
    out = []
    for violation in violations[:MOST_SHOWN]:
        out.append(f"== {violation}")
        for name in ("requests", "attempts"):
            own = [one for one in getattr(record, name) if one.id == violation.subject]
            out += [f"  {name[:-1]}: {one}" for one in own]
        for log in logs:
            lines = log.read_text(errors="replace").splitlines()
            out += [f"  {log.stem}: {line}" for line in lines if violation.subject in line]
    path.write_text("\n".join(out) + "\n")


def shrunk(result: SeedResult, options: argparse.Namespace) -> SeedResult:
    """Drop troubles one by one while the same rule still breaks."""
    rules = {one.rule for one in result.violations}
    for trouble in result.schedule.troubles:
        smaller = _once(result.schedule.without(trouble), options)
        if rules & {one.rule for one in smaller.violations}:
            result = smaller
    return result


def _report(result: SeedResult, options: argparse.Namespace) -> None:
    schedule = result.schedule
    served = result.endings.get(str(Ending.SERVED), 0)
    print(
        f"seed {schedule.seed}: {result.verdict}; {len(schedule.troubles)} troubles, "
        f"{result.requests} requests, {served} served, {result.attempts} attempts, "
        f"own lag {result.lag_s * 1000:.0f} ms",
        flush=True,
    )
    for violation in result.violations[:MOST_SHOWN]:
        print(f"  {violation}")
    if not result.violations:
        return
    for trouble in schedule.troubles:
        when = f"{trouble.at_s:6.2f} s +{trouble.for_s:.2f}"
        print(f"  {when}  {trouble.kind} {trouble.target} ({trouble.amount:g})")
    print(
        f"  again: python -m runloft lab soak --seeds {schedule.seed} --processes {schedule.processes}"
        f" --seconds {schedule.seconds:g}",
        flush=True,
    )
