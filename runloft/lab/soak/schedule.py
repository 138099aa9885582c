"""Fault schedules: drawn from a seed before anything starts, so that a seed is a schedule."""

import json
from dataclasses import asdict, dataclass, replace
from enum import StrEnum
from pathlib import Path
from random import Random

VERSION = 1
MOST_PROCESSES = 40
LEAST_SECONDS, MOST_SECONDS = 2.0, 60.0
NODES = 6
CLUSTER_EVERY_S = 2.0  # one group of overlapping troubles begins in each such span
OVERLAP = (2, 3)  # troubles that overlap in one group
QUIET_START_S, QUIET_END_S = 0.5, 0.5
LONGEST_PAUSE_S = 0.15  # the longest single stop of a process
WALL_STEPS_S = (-3600.0, -5.0, 5.0, 3600.0)


class TroubleKind(StrEnum):
    """What can go wrong; the part before the hyphen names who is at fault."""

    PROCESS_TERMINATE = "process-terminate"
    PROCESS_KILL = "process-kill"
    PROCESS_RELOAD = "process-reload"
    PROCESS_PAUSE = "process-pause"
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


SYSTEM_KINDS = frozenset(kind for kind in TroubleKind if kind.startswith("system-"))
NODE_KINDS = frozenset(kind for kind in TroubleKind if kind.startswith("node-"))


class ScheduleError(ValueError):
    """A schedule that can't be played: says what is wrong and what there is."""


@dataclass(frozen=True, slots=True)
class Trouble:
    """One trouble: ``target`` is the index of a process or node; ``amount`` depends on the kind."""

    kind: TroubleKind
    at_s: float
    for_s: float
    target: int
    amount: float = 0.0

    def is_active(self, at_s: float) -> bool:
        """Say whether it goes on at this moment of the run."""
        return self.at_s <= at_s < self.at_s + self.for_s


@dataclass(frozen=True, slots=True)
class Schedule:
    """All troubles of one run."""

    seed: int
    processes: int
    seconds: float
    troubles: tuple[Trouble, ...]
    version: int = VERSION

    def without(self, trouble: Trouble) -> "Schedule":
        """Give the schedule less one trouble."""
        return replace(self, troubles=tuple(one for one in self.troubles if one is not trouble))

    def dump(self) -> str:
        """Write it as JSON."""
        return json.dumps(asdict(self), indent=1)


def checked_size(processes: int, seconds: float) -> None:
    """Raise ScheduleError for a size that can't be played."""
    if not 1 <= processes <= MOST_PROCESSES:
        raise ScheduleError(f"{processes} processes: 1 to {MOST_PROCESSES} can be played")
    if not LEAST_SECONDS <= seconds <= MOST_SECONDS:
        raise ScheduleError(f"{seconds:g} seconds: {LEAST_SECONDS:g} to {MOST_SECONDS:g} can be played")


def checked_kinds(names: str) -> tuple[TroubleKind, ...]:
    """Read names of troubles with commas between; none: all of them."""
    try:
        kinds = tuple(TroubleKind(name) for name in filter(None, names.split(",")))
    except ValueError as error:
        raise ScheduleError(f"{error}; there are {', '.join(TroubleKind)}") from None
    return kinds or tuple(TroubleKind)


def draw(
    seed: int, processes: int, seconds: float, kinds: tuple[TroubleKind, ...] = tuple(TroubleKind)
) -> Schedule:
    """Draw a schedule; the same arguments give the same one."""
    checked_size(processes, seconds)
    chance = Random(f"soak/{seed}")
    troubles: list[Trouble] = []
    start = QUIET_START_S
    while start < seconds - QUIET_END_S - 1.0:
        families = sorted({kind.partition("-")[0] for kind in kinds})
        count = min(chance.randint(*OVERLAP), len(families))
        target = chance.randrange(processes)  # what is wrong with processes is wrong with the same one
        for family in chance.sample(families, count):
            kind = chance.choice([kind for kind in kinds if kind.startswith(family)])
            troubles.append(_trouble(kind, chance, start, target))
        start += CLUSTER_EVERY_S
    return Schedule(seed, processes, seconds, tuple(sorted(troubles, key=lambda one: one.at_s)))


def _trouble(kind: TroubleKind, chance: Random, start: float, process: int) -> Trouble:
    target = chance.randrange(NODES) if kind in NODE_KINDS else process
    amount = chance.uniform(0.1, 1.0)
    if kind is TroubleKind.SYSTEM_WALL_CLOCK:
        amount = chance.choice(WALL_STEPS_S)
    at_s = round(start + chance.uniform(0.0, 0.6), 3)
    return Trouble(kind, at_s, round(chance.uniform(0.5, 1.8), 3), target, round(amount, 3))


def read(path: str) -> Schedule:
    """Read a schedule file; ScheduleError where it is none, or another version's."""
    try:
        raw = json.loads(Path(path).read_text())
        if raw["version"] != VERSION:
            raise ScheduleError(f"{path}: version {raw['version']}; this program plays version {VERSION}")
        troubles = tuple(Trouble(**{**one, "kind": TroubleKind(one["kind"])}) for one in raw["troubles"])
        schedule = Schedule(raw["seed"], raw["processes"], raw["seconds"], troubles)
    except (OSError, KeyError, TypeError, ValueError) as error:
        if isinstance(error, ScheduleError):
            raise
        raise ScheduleError(f"{path}: no schedule: {error!r}") from error
    checked_size(schedule.processes, schedule.seconds)
    return schedule
