"""The results of a scale run, as one JSON document: points, slopes and events, with what made them.

Every figure has one name, ``role.part.quantity``, whose last word ends in its unit (``_mb``, ``_s``,
``_per_s``, ``_bytes``, ``_count``) or is ``cpu``: processor time used by elapsed time, 1.0 being one core
(never wall time).  Figures of a scheduler are for one scheduler; those of stand-ins for the whole role.
"""

import json
from dataclasses import asdict, dataclass, field, fields
from typing import Any, TypeAlias

from runloft.lab.errors import LaboratoryError

Figures: TypeAlias = dict[str, float]  # by name
JsonObject: TypeAlias = dict[str, Any]

FORMAT = 1


class ResultError(LaboratoryError, ValueError):
    """A document that is no scale run's result: says what is wrong with it."""


@dataclass(frozen=True, slots=True)
class Sizes:
    """The size of a point; one of them is varied at a time."""

    schedulers: int = 50
    nodes: int = 100
    clients: int = 0  # of one real scheduler, which have spoken once and rest
    statements: float = 0.0  # a second at one real scheduler
    volumes: int = 10  # in the configuration, which grows by them
    changes: float = 0.0  # of configuration, an hour

    def along(self, dimension: str) -> float:
        """Return the size along one dimension, a field's name."""
        return float(getattr(self, dimension))


@dataclass(frozen=True, slots=True)
class Point:
    """One measurement; ``repeat`` counts those of one size from 0."""

    vary: str  # a field of Sizes
    sizes: Sizes
    repeat: int
    seconds: float  # measured, after the fleet had converged
    figures: Figures


@dataclass(frozen=True, slots=True)
class Slope:
    """A figure by size, by least squares over every point of one dimension."""

    vary: str
    figure: str
    slope: float  # for each unit of the size
    intercept: float
    residual: float  # root of the mean square, in the figure's unit
    spread: float  # widest between repeats of one size
    points: int


@dataclass(frozen=True, slots=True)
class Event:
    """Something that happened, and what followed; ``all_in_force_s`` is among the figures."""

    name: str
    sizes: Sizes
    repeat: int
    figures: Figures


@dataclass(frozen=True, slots=True)
class Result:
    """A run; ``missing`` names what a partial one lacks, and is empty for a complete one."""

    command: str
    seed: int
    versions: dict[str, str]
    points: tuple[Point, ...] = ()
    slopes: tuple[Slope, ...] = ()
    events: tuple[Event, ...] = ()
    missing: tuple[str, ...] = ()
    notes: tuple[str, ...] = field(default=())

    def dump(self) -> str:
        """Return its text."""
        return json.dumps({"format": FORMAT, **asdict(self)}, indent=1, sort_keys=True) + "\n"


def result_from(text: str | bytes) -> Result:
    """Read a result back; raise ResultError where it is none."""
    try:
        document = json.loads(text)
        if not isinstance(document, dict) or document.get("format") != FORMAT:
            raise ResultError("no scale run's result of a known format")
        return Result(
            command=str(document["command"]),
            seed=int(document["seed"]),
            versions=dict(document["versions"]),
            points=tuple(Point(**_with_sizes(point)) for point in document["points"]),
            slopes=tuple(Slope(**slope) for slope in document["slopes"]),
            events=tuple(Event(**_with_sizes(event)) for event in document["events"]),
            missing=tuple(map(str, document["missing"])),
            notes=tuple(map(str, document["notes"])),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise ResultError(f"no scale run's result: {error!r}") from error


def _with_sizes(document: JsonObject) -> JsonObject:
    return document | {"sizes": Sizes(**document["sizes"])}


def dimensions() -> tuple[str, ...]:
    """Return the names of the sizes that may be varied."""
    return tuple(one.name for one in fields(Sizes))


def prefixed(figures: Figures, prefix: str) -> Figures:
    """Return figures with a common prefix before their names."""
    return {f"{prefix}.{name}": float(value) for name, value in figures.items()}
