"""The result of a scale run as one JSON document: points, slopes and events, with the command and versions.

A figure's name is ``role.part.quantity``.  Its last word ends in its unit (``_mb``, ``_s``, ``_per_s``,
``_bytes``, ``_count``) or is ``cpu``: processor time (never wall time) per elapsed time, 1.0 being one core.
Scheduler figures are per scheduler; stand-in figures are for the whole role.
"""

import json
from dataclasses import asdict, dataclass, field, fields
from typing import Any, TypeAlias

from runloft.lab.errors import LaboratoryError

Figures: TypeAlias = dict[str, float]  # by name
JsonObject: TypeAlias = dict[str, Any]

FORMAT = 1


class ResultError(LaboratoryError, ValueError):
    """A document is not a scale run result; the message says what is wrong with it."""


@dataclass(frozen=True, slots=True)
class Sizes:
    """The sizes of a fleet; a run varies one of them at a time."""

    schedulers: int = 50
    nodes: int = 100
    clients: int = 0  # connections to one real scheduler, idle between their statements
    statements: float = 0.0  # per second at one real scheduler
    volumes: int = 10  # in the configuration, whose size grows with them
    changes: float = 0.0  # configuration changes per hour

    def along(self, dimension: str) -> float:
        """Return the size of one dimension, which is a field name."""
        return float(getattr(self, dimension))


@dataclass(frozen=True, slots=True)
class Point:
    """One measurement; ``repeat`` numbers the measurements of one size from 0."""

    vary: str  # the dimension, a field name of Sizes
    sizes: Sizes
    repeat: int
    seconds: float  # duration of the measurement, which starts after the fleet has converged
    figures: Figures


@dataclass(frozen=True, slots=True)
class Slope:
    """The least-squares fit of a figure by size over all points of one dimension."""

    vary: str
    figure: str
    slope: float  # per unit of the size
    intercept: float
    residual: float  # root mean square, in the figure's unit
    spread: float  # widest range among the repeats of one size
    points: int


@dataclass(frozen=True, slots=True)
class Event:
    """An event and its figures; ``all_in_force_s`` is missing if the effect did not reach all schedulers."""

    name: str
    sizes: Sizes
    repeat: int
    figures: Figures


@dataclass(frozen=True, slots=True)
class Result:
    """The result of a run; ``missing`` names the measurements that a partial result lacks."""

    command: str
    seed: int
    versions: dict[str, str]
    points: tuple[Point, ...] = ()
    slopes: tuple[Slope, ...] = ()
    events: tuple[Event, ...] = ()
    missing: tuple[str, ...] = ()
    notes: tuple[str, ...] = field(default=())

    def dump(self) -> str:
        """Return the result as JSON text."""
        return json.dumps({"format": FORMAT, **asdict(self)}, indent=1, sort_keys=True) + "\n"


def result_from(text: str | bytes) -> Result:
    """Parse a result; raise ResultError if the text is not one."""
    try:
        document = json.loads(text)
        if not isinstance(document, dict) or document.get("format") != FORMAT:
            raise ResultError(f"expected a JSON object whose format is {FORMAT}")
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
        raise ResultError(f"not a scale run result: {error!r}") from error


def _with_sizes(document: JsonObject) -> JsonObject:
    return document | {"sizes": Sizes(**document["sizes"])}


def dimensions() -> tuple[str, ...]:
    """Return the names of the sizes that can be varied."""
    return tuple(dimension.name for dimension in fields(Sizes))


def with_prefix(figures: Figures, prefix: str) -> Figures:
    """Return the figures with ``prefix`` and a dot put before their names."""
    return {f"{prefix}.{name}": float(value) for name, value in figures.items()}
