"""Fault schedules, generated from a seed before the run starts, so that a seed determines its schedule."""

import json
from dataclasses import asdict, dataclass, replace
from enum import StrEnum
from pathlib import Path
from random import Random
from typing import Any, TypeAlias

from runloft.lab.errors import LaboratoryError

ScheduleDocument: TypeAlias = dict[str, Any]  # a schedule file's JSON

VERSION = 1
MAX_PROCESSES = 40
MIN_SECONDS = 2.0
MAX_SECONDS = 60.0
NODES = 6
CLUSTER_INTERVAL_S = 2.0  # each interval starts one cluster of overlapping faults
MIN_OVERLAPPING = 2  # faults in one cluster
MAX_OVERLAPPING = 3
QUIET_START_S = 0.5  # without faults
QUIET_END_S = 0.5
MIN_LAST_CLUSTER_S = 1.0
MAX_START_DELAY_S = 0.6
MIN_DURATION_S = 0.5
MAX_DURATION_S = 1.8
MAX_PAUSE_S = 0.15  # longest single pause of a process
WALL_CLOCK_STEPS_S = (-3600.0, -5.0, 5.0, 3600.0)


class FaultKind(StrEnum):
    """The kind of a fault; the part before the hyphen is the component that it affects."""

    PROCESS_TERMINATE = "process-terminate"
    PROCESS_KILL = "process-kill"
    PROCESS_RELOAD = "process-reload"
    PROCESS_PAUSE = "process-pause"
    PROCESS_STOP = "process-stop"  # not drawn: the amount is the length of each stop in seconds
    SYSTEM_ACCEPT = "system-accept"
    SYSTEM_CONNECT = "system-connect"
    SYSTEM_SOCKET = "system-socket"
    SYSTEM_OPTION = "system-option"
    SYSTEM_WALL_CLOCK = "system-wall-clock"
    SYSTEM_OPEN = "system-open"
    NODE_DELAY = "node-delay"
    NODE_RESET = "node-reset"
    NODE_HALF_CLOSE = "node-half-close"
    NODE_SPLIT = "node-split"
    NODE_SILENCE = "node-silence"
    NODE_REFUSE = "node-refuse"
    NODE_ERROR = "node-error"
    NODE_DRAIN = "node-drain"
    NODE_RESTART = "node-restart"
    DISCOVERY_SILENCE = "discovery-silence"
    DISCOVERY_RESET = "discovery-reset"
    DISCOVERY_SLOW = "discovery-slow"
    CLIENT_LEAVE = "client-leave"
    CLIENT_PIPELINE = "client-pipeline"
    CLIENT_HALF_COMMAND = "client-half-command"
    CLIENT_SLOW_READER = "client-slow-reader"
    CLIENT_RECONNECT = "client-reconnect"
    CLIENT_FLOOD = "client-flood"  # not drawn unless it is named: the amount selects the form

    @property
    def family(self) -> str:
        """The affected component: process, system, node, discovery or client."""
        return self.partition("-")[0]


UNDRAWN_KINDS = frozenset((FaultKind.PROCESS_STOP, FaultKind.CLIENT_FLOOD))
ALL_KINDS = tuple(kind for kind in FaultKind if kind not in UNDRAWN_KINDS)
SYSTEM_KINDS = frozenset(kind for kind in FaultKind if kind.family == "system")
NODE_KINDS = frozenset(kind for kind in FaultKind if kind.family == "node")


class ScheduleError(LaboratoryError, ValueError):
    """A schedule, or the arguments to generate one, are invalid."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: ``target`` is the index of a process or node; ``amount`` depends on the kind."""

    kind: FaultKind
    at_s: float
    for_s: float
    target: int
    amount: float = 0.0

    def is_active(self, at_s: float) -> bool:
        """Return whether the fault is active at a time of the run."""
        return self.at_s <= at_s < self.at_s + self.for_s


@dataclass(frozen=True, slots=True)
class Schedule:
    """The size of a run and its faults."""

    seed: int
    processes: int
    seconds: float
    faults: tuple[Fault, ...]
    version: int = VERSION

    def without(self, fault: Fault) -> "Schedule":
        """Return a copy of the schedule without one fault."""
        return replace(self, faults=tuple(other for other in self.faults if other is not fault))

    def faults_of(self, family: str, target: int) -> list[Fault]:
        """Return the faults of one family that affect one process or node."""
        return [fault for fault in self.faults if fault.kind.family == family and fault.target == target]

    def document(self) -> ScheduleDocument:
        """Return the content of a schedule file; its top-level keys are independent of the field names."""
        return {
            "seed": self.seed,
            "processes": self.processes,
            "seconds": self.seconds,
            "troubles": [asdict(fault) for fault in self.faults],
            "version": self.version,
        }

    def dump(self) -> str:
        """Return the text of a schedule file."""
        return json.dumps(self.document(), indent=1)


def check_size(processes: int, seconds: float) -> None:
    """Raise ScheduleError if the number of processes or seconds is out of range."""
    if not 1 <= processes <= MAX_PROCESSES:
        raise ScheduleError(f"{processes} processes requested, expected 1 to {MAX_PROCESSES}")
    if not MIN_SECONDS <= seconds <= MAX_SECONDS:
        raise ScheduleError(f"{seconds:g} seconds requested, expected {MIN_SECONDS:g} to {MAX_SECONDS:g}")


def parse_seeds(text: str) -> range:
    """Parse a seed or a range such as ``1-200``."""
    first, separator, last = text.partition("-")
    if not first.isdigit() or (separator and not last.isdigit()):
        raise ScheduleError(f"--seeds {text}: expected a number or a range such as 1-200")
    seeds = range(int(first), int(last or first) + 1)
    if not seeds:
        raise ScheduleError(f"--seeds {text}: the range is empty")
    return seeds


def parse_kinds(names: str) -> tuple[FaultKind, ...]:
    """Parse comma-separated fault kinds; an empty text means all kinds."""
    kinds = tuple(_parse_kind(name) for name in names.split(",") if name)
    return kinds or ALL_KINDS


def _parse_kind(name: str) -> FaultKind:
    try:
        return FaultKind(name)
    except ValueError as error:
        raise ScheduleError(
            f"unknown fault kind {name!r}; expected one of: {', '.join(FaultKind)}"
        ) from error


def draw(seed: int, processes: int, seconds: float, kinds: tuple[FaultKind, ...] = ALL_KINDS) -> Schedule:
    """Generate a schedule; equal arguments give equal schedules."""
    check_size(processes, seconds)
    random = Random(f"soak/{seed}")
    faults: list[Fault] = []
    start_s = QUIET_START_S
    while start_s < seconds - QUIET_END_S - MIN_LAST_CLUSTER_S:
        faults += _draw_cluster(random, start_s, processes, kinds)
        start_s += CLUSTER_INTERVAL_S
    return Schedule(seed, processes, seconds, tuple(sorted(faults, key=lambda fault: fault.at_s)))


def _draw_cluster(
    random: Random, start_s: float, processes: int, kinds: tuple[FaultKind, ...]
) -> list[Fault]:
    """Generate overlapping faults of different families; all except node faults affect the same process."""
    families = sorted({kind.family for kind in kinds})
    count = min(random.randint(MIN_OVERLAPPING, MAX_OVERLAPPING), len(families))
    process = random.randrange(processes)
    faults = []
    for family in random.sample(families, count):
        kind = random.choice([kind for kind in kinds if kind.family == family])
        faults.append(_draw_fault(kind, random, start_s, process))
    return faults


def _draw_fault(kind: FaultKind, random: Random, start_s: float, process: int) -> Fault:
    target = random.randrange(NODES) if kind in NODE_KINDS else process
    amount = random.uniform(0.1, 1.0)
    if kind is FaultKind.SYSTEM_WALL_CLOCK:
        amount = random.choice(WALL_CLOCK_STEPS_S)
    at_s = round(start_s + random.uniform(0.0, MAX_START_DELAY_S), 3)
    for_s = round(random.uniform(MIN_DURATION_S, MAX_DURATION_S), 3)
    return Fault(kind, at_s, for_s, target, round(amount, 3))


def read_schedule(path: str) -> Schedule:
    """Read a schedule file; raise ScheduleError if it is invalid or of another version."""
    try:
        document = json.loads(Path(path).read_text())
        if document["version"] != VERSION:
            raise ScheduleError(
                f"{path}: unsupported schedule version {document['version']}, expected {VERSION}"
            )
        faults = tuple(Fault(**{**entry, "kind": FaultKind(entry["kind"])}) for entry in document["troubles"])
        schedule = Schedule(document["seed"], document["processes"], document["seconds"], faults)
    except ScheduleError:
        raise
    except (OSError, KeyError, TypeError, ValueError) as error:
        raise ScheduleError(f"{path}: not a valid schedule file: {error!r}") from error
    check_size(schedule.processes, schedule.seconds)
    return schedule
