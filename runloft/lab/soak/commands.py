"""``runloft lab soak``: run schedules of overlapping faults against real processes, and report violations."""

import argparse
import json
import sys
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

from runloft.config.tool.output import usage_error
from runloft.lab.soak.departures import draw_departures
from runloft.lab.soak.playing import MAX_SHOWN_VIOLATIONS, Player
from runloft.lab.soak.records import RequestOutcome
from runloft.lab.soak.schedule import Schedule, ScheduleError, draw, parse_kinds, parse_seeds, read_schedule
from runloft.lab.soak.seed_result import SeedResult, Verdict

MS_PER_S = 1000


def run(options: argparse.Namespace) -> int:
    """Run the schedules; return 0 if all ran and passed, 2 for invalid options, else 1."""
    try:
        schedules = schedules_from(options)
    except ScheduleError as error:
        return usage_error(str(error))
    player = Player(
        Path(options.keep) if options.keep else None,
        Path(options.source).resolve() if options.source else None,
    )
    results = _play_all(schedules, player, shrink=options.shrink)
    verdicts = Counter(result.verdict for result in results)
    requests = sum(result.requests for result in results)
    print(
        f"{len(results)} of {len(schedules)} seeds run, {requests} requests, "
        f"{verdicts[Verdict.FAILED]} failed, {verdicts[Verdict.INCONCLUSIVE]} inconclusive"
    )
    if options.output:
        with open(options.output, "a") as output:
            output.writelines(json.dumps(result.document()) + "\n" for result in results)
    return 0 if verdicts[Verdict.PASSED] == len(schedules) else 1


def _play_all(schedules: Sequence[Schedule], player: Player, shrink: bool) -> list[SeedResult]:
    """Run and report each schedule; after an interrupt, return the results so far."""
    results = []
    try:
        for schedule in schedules:
            result = player.play(schedule)
            if result.violations and shrink:
                result = player.shrink(result)
            results.append(result)
            _report(result)
    except KeyboardInterrupt:
        print("runloft: interrupted; all started processes were stopped", file=sys.stderr)
    return results


def schedules_from(options: argparse.Namespace) -> list[Schedule]:
    """Return the schedules to run; raise ScheduleError for invalid options."""
    if options.schedule:
        return [read_schedule(options.schedule)]
    seeds = parse_seeds(options.seeds)
    if options.departures:
        return [
            draw_departures(seed, options.processes, options.seconds, stop_ms / MS_PER_S)
            for stop_ms in _parse_stops(options.departures)
            for seed in seeds
        ]
    kinds = parse_kinds(options.troubles)
    return [draw(seed, options.processes, options.seconds, kinds) for seed in seeds]


def _parse_stops(text: str) -> list[int]:
    """Parse lengths of stops in milliseconds, separated by commas."""
    parts = text.split(",")
    if not all(part.isdigit() for part in parts):
        raise ScheduleError(f"--departures {text}: expected milliseconds such as 0,150")
    return [int(part) for part in parts]


def _report(result: SeedResult) -> None:
    schedule = result.schedule
    served = result.outcomes.get(str(RequestOutcome.SERVED), 0)
    print(
        f"seed {schedule.seed}: {result.verdict}; {len(schedule.faults)} faults, "
        f"{result.requests} requests, {served} served, {result.attempts} attempts, "
        f"event loop delay {result.lag_s * MS_PER_S:.0f} ms",
        flush=True,
    )
    for violation in result.held:
        print(f"  held up in the write's system call, not counted: {violation}")
    for violation in result.violations[:MAX_SHOWN_VIOLATIONS]:
        print(f"  {violation}")
    if not result.violations:
        return
    for fault in schedule.faults:
        when = f"{fault.at_s:6.2f} s +{fault.for_s:.2f}"
        print(f"  {when}  {fault.kind} {fault.target} ({fault.amount:g})")
    print(
        f"  reproduce: python -m runloft lab soak --seeds {schedule.seed} --processes {schedule.processes}"
        f" --seconds {schedule.seconds:g}",
        flush=True,
    )
