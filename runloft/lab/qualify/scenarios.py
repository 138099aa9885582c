"""The scenarios of a qualification run: each plays one of the laboratory's real-process plays by a seed."""

import subprocess
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum
from pathlib import Path
from random import Random

from runloft.lab.crowd.commands import report_line as crowd_line
from runloft.lab.crowd.commands import shutdown_line
from runloft.lab.crowd.forms import CrowdForm
from runloft.lab.crowd.run import CrowdPlay
from runloft.lab.crowd.run import run_play as run_crowd
from runloft.lab.crowd.shutdown import draw_shutdown, run_shutdown
from runloft.lab.flood.commands import CLASS_TARGET_MS, target_ms
from runloft.lab.flood.commands import report_line as flood_line
from runloft.lab.flood.run import FloodPlay, FloodResult
from runloft.lab.flood.run import run_play as run_flood
from runloft.lab.flooder.forms import FloodForm, Protocol
from runloft.lab.qualify.margins import Limit, Measurement
from runloft.lab.soak.departures import draw_departures
from runloft.lab.soak.playing import Player
from runloft.lab.soak.schedule import Fault, FaultKind, Schedule, draw
from runloft.lab.soak.violations import Rule

LEAST_MEMORY_MB = 32
CROWD_CLIENTS = 600
CROWD_DESCRIPTORS = 1024
CROWD_SECONDS = 3.0
RESTART_S = 1.0
FLOOD_SECONDS = 2.5
FLOOD_FORMS = 3  # in one play
FLOOD_CONNECTIONS = (1, 6)
SOAK_PROCESSES = 3
SOAK_SECONDS = 5.0
LONGEST_STOP_S = 0.4  # of each play
OTHER_STOPS_S = (0.0, 0.05, 0.15)  # of which each seed plays the next one
MAX_ALLOWED_HOLD_S = 0.15  # a process that is held up for longer may tell nodes too long a wait
REVIEW_CASES = (2, 8)  # with slow and silent stores; the others are listed in KNOWN-RED.txt
REVIEW_BROKEN = 1  # exit status of a case whose rule was broken
REVIEW_HELD = 0
REPOSITORY = Path(__file__).resolve().parents[3]


class Scenario(StrEnum):
    """A scenario; the value is its name on the command line."""

    CROWD = "crowd"
    CROWD_AT_RESTART = "crowd-at-restart"
    RESP_FLOOD = "resp-flood"
    HTTP_FLOOD = "http-flood"
    DEPARTURES = "departures"
    FLOOD_AND_DEPARTURES = "flood-and-departures"
    SHUTDOWN = "shutdown"
    NODES = "nodes"
    DISCOVERY = "discovery"
    SYSTEM_CALLS = "system-calls"
    RESTARTS = "restarts"
    FLOOD_AT_RESTARTS = "flood-at-restarts"
    STORE = "store"


@dataclass(frozen=True, slots=True)
class PlayResult:
    """What one play measured; ``is_played`` is False if it could not be set up."""

    measurements: tuple[Measurement, ...]
    report: str
    is_played: bool = True

    @property
    def has_passed(self) -> bool:
        """Whether all bounds were kept."""
        return self.is_played and all(measurement.is_kept for measurement in self.measurements)


@dataclass(frozen=True, slots=True)
class PlayContext:
    """A seed, the folder of the version that is played (None: this one), and a folder for its logs.

    ``is_shared``: the machine has other load, so that no scheduler has a whole core for itself.
    """

    seed: int
    source: Path | None
    folder: Path
    is_shared: bool = False

    def random(self) -> Random:
        """Return the random numbers of the seed."""
        return Random(f"qualify/{self.seed}")


def _crowd(context: PlayContext, **settings: float) -> PlayResult:
    # Each seed takes the next form, so that a few seeds cover different ones.
    forms = list(CrowdForm)
    play = CrowdPlay(
        form=forms[context.seed % len(forms)],
        clients=CROWD_CLIENTS,
        memory_mb=LEAST_MEMORY_MB,
        descriptors=CROWD_DESCRIPTORS,
        seconds=CROWD_SECONDS,
        restart_s=settings.get("restart_s", 0.0),
        source=context.source,
    )
    result = run_crowd(play, context.folder)
    measurements = (
        Measurement(Limit.RESIDENT_MB, LEAST_MEMORY_MB, result.peak_mb),
        Measurement(Limit.UNANSWERED, 0, result.crowd.silent + result.ordinary.silent),
        Measurement(Limit.EXIT_CODE, 0, result.exit_code != 0),
        Measurement(Limit.INVARIANTS, 0, result.violations != "{}"),
    )
    return PlayResult(measurements, crowd_line(result))


def _crowd_at_restart(context: PlayContext) -> PlayResult:
    return _crowd(context, restart_s=RESTART_S)


def _flood(context: PlayContext, protocol: Protocol) -> PlayResult:
    """Play floods of several forms, of which each seed takes the next ones."""
    forms = [form for form in FloodForm if form.protocol is protocol and not form.is_sound]
    measurements: list[Measurement] = []
    reports = []
    for number in range(FLOOD_FORMS):
        play = FloodPlay(
            form=forms[(context.seed + number * len(forms) // FLOOD_FORMS) % len(forms)],
            connections=context.random().choice(FLOOD_CONNECTIONS),
            seconds=FLOOD_SECONDS,
            source=context.source,
        )
        result = run_flood(play, context.folder)
        target = CLASS_TARGET_MS if context.is_shared else target_ms(play)
        measurements += flood_measurements(result, target)
        reports.append(flood_line(result))
    return PlayResult(tuple(measurements), "\n  ".join(reports))


def flood_measurements(result: FloodResult, wait_target_ms: float) -> tuple[Measurement, ...]:
    """Return what one flood measured; an ordinary client may wait for ``wait_target_ms``."""
    return (
        Measurement(Limit.WAIT_MS, wait_target_ms, result.longest_wait_ms),
        Measurement(Limit.MISSING_ANSWERS, 0, result.missing_answers),
        Measurement(Limit.RESIDENT_MB, result.play.memory_mb, result.peak_mb),
        Measurement(Limit.EXIT_CODE, 0, result.exit_code != 0),
        Measurement(Limit.INVARIANTS, 0, result.violations != "{}"),
    )


def _resp_flood(context: PlayContext) -> PlayResult:
    return _flood(context, Protocol.RESP)


def _http_flood(context: PlayContext) -> PlayResult:
    return _flood(context, Protocol.HTTP)


def _shutdown(context: PlayContext) -> PlayResult:
    play = replace(draw_shutdown(context.seed), source=context.source)
    result = run_shutdown(play, context.folder)
    exit_s = float("inf") if result.exit_s is None else result.exit_s
    measurements = (
        Measurement(Limit.EXIT_S, play.kill_s, exit_s),
        Measurement(Limit.EXIT_CODE, 0, result.exit_code != 0),
        Measurement(Limit.UNANSWERED, 0, result.answers.silent),
        Measurement(Limit.INVARIANTS, 0, result.violations != "{}"),
    )
    return PlayResult(measurements, shutdown_line(result))


def _soak(context: PlayContext, schedule: Schedule, ignored: Sequence[Rule] = ()) -> PlayResult:
    result = Player(context.folder, context.source).play(schedule)
    broken = [violation for violation in result.violations if violation.rule not in ignored]
    late = [violation for violation in broken if violation.rule is Rule.SENT_AFTER_DISCONNECT]
    measurements = (
        Measurement(Limit.LATE_ATTEMPTS, 0, len(late)),
        Measurement(Limit.BROKEN_RULES, 0, len(broken) - len(late)),
    )
    shown = "; ".join(str(violation) for violation in broken[:3])
    report = f"{result.requests} requests, {result.attempts} attempts, {len(broken)} violations {shown}"
    return PlayResult(measurements, report)


def _departures(context: PlayContext, flooded: bool = False) -> PlayResult:
    """Play clients that leave, in processes that are held up for long, and for less long."""
    other_s = OTHER_STOPS_S[context.seed % len(OTHER_STOPS_S)]
    results = [_departures_with_stops(context, stop_s, flooded) for stop_s in (LONGEST_STOP_S, other_s)]
    measurements = [measurement for result in results for measurement in result.measurements]
    return PlayResult(tuple(measurements), "\n  ".join(result.report for result in results))


def _departures_with_stops(context: PlayContext, stop_s: float, flooded: bool) -> PlayResult:
    schedule = draw_departures(context.seed, SOAK_PROCESSES, SOAK_SECONDS, stop_s)
    if flooded:
        random = context.random()
        floods = [
            Fault(FaultKind.CLIENT_FLOOD, 0.0, SOAK_SECONDS, process, random.random())
            for process in range(SOAK_PROCESSES)
        ]
        schedule = replace(schedule, faults=(*schedule.faults, *floods))
    return _soak(context, schedule, (Rule.DEADLINE,) if stop_s > MAX_ALLOWED_HOLD_S else ())


def _flood_and_departures(context: PlayContext) -> PlayResult:
    return _departures(context, flooded=True)


def _random_faults(*kinds: FaultKind) -> Callable[[PlayContext], PlayResult]:
    """Return the scenario of a soak with these faults."""

    def play(context: PlayContext) -> PlayResult:
        return _soak(context, draw(context.seed, SOAK_PROCESSES, SOAK_SECONDS, kinds))

    return play


def _store(context: PlayContext) -> PlayResult:
    """Play a case of the reviews, which needs the program's own environment (.venv) in its folder."""
    case = REVIEW_CASES[context.seed % len(REVIEW_CASES)]
    folder = context.source or REPOSITORY
    command = ["sh", f"review/{case}/run.sh"]
    status = subprocess.run(command, cwd=folder, capture_output=True, check=False).returncode
    measurement = Measurement(Limit.REVIEW_CASES, 0, status == REVIEW_BROKEN)
    is_played = status in (REVIEW_HELD, REVIEW_BROKEN)
    return PlayResult((measurement,), f"review/{case}/run.sh: exit status {status}", is_played)


PLAYS: dict[Scenario, Callable[[PlayContext], PlayResult]] = {
    Scenario.CROWD: _crowd,
    Scenario.CROWD_AT_RESTART: _crowd_at_restart,
    Scenario.RESP_FLOOD: _resp_flood,
    Scenario.HTTP_FLOOD: _http_flood,
    Scenario.DEPARTURES: _departures,
    Scenario.FLOOD_AND_DEPARTURES: _flood_and_departures,
    Scenario.SHUTDOWN: _shutdown,
    Scenario.NODES: _random_faults(
        FaultKind.NODE_SPLIT,
        FaultKind.NODE_DELAY,
        FaultKind.NODE_RESET,
        FaultKind.NODE_SILENCE,
        FaultKind.NODE_HALF_CLOSE,
        FaultKind.CLIENT_PIPELINE,
        FaultKind.PROCESS_PAUSE,
    ),
    Scenario.DISCOVERY: _random_faults(
        FaultKind.DISCOVERY_SILENCE,
        FaultKind.DISCOVERY_RESET,
        FaultKind.DISCOVERY_SLOW,
        FaultKind.NODE_DRAIN,
        FaultKind.NODE_RESTART,
        FaultKind.PROCESS_PAUSE,
    ),
    Scenario.SYSTEM_CALLS: _random_faults(
        FaultKind.SYSTEM_ACCEPT,
        FaultKind.SYSTEM_CONNECT,
        FaultKind.SYSTEM_SOCKET,
        FaultKind.SYSTEM_OPTION,
        FaultKind.SYSTEM_OPEN,
        FaultKind.SYSTEM_WALL_CLOCK,
        FaultKind.CLIENT_RECONNECT,
        FaultKind.NODE_REFUSE,
    ),
    Scenario.RESTARTS: _random_faults(
        FaultKind.PROCESS_TERMINATE,
        FaultKind.PROCESS_KILL,
        FaultKind.PROCESS_RELOAD,
        FaultKind.CLIENT_PIPELINE,
        FaultKind.CLIENT_SLOW_READER,
        FaultKind.NODE_DELAY,
    ),
    Scenario.FLOOD_AT_RESTARTS: _random_faults(
        FaultKind.CLIENT_FLOOD,
        FaultKind.PROCESS_TERMINATE,
        FaultKind.PROCESS_KILL,
        FaultKind.PROCESS_PAUSE,
        FaultKind.NODE_DELAY,
    ),
    Scenario.STORE: _store,
}
