"""The plan of a scale run: the points and events to measure."""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from runloft.lab.scale.fleet import Setup
from runloft.lab.scale.records import Sizes

DATA_PATH_DIMENSIONS = ("clients", "statements")  # measured on one real scheduler


@dataclass(frozen=True, slots=True)
class Variation:
    """The sizes that one dimension takes."""

    dimension: str
    sizes: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class PlannedPoint:
    """One measurement of one size of a dimension; ``repeat`` numbers the measurements of a size from 0."""

    dimension: str
    sizes: Sizes
    repeat: int

    @property
    def size_title(self) -> str:
        """The dimension and its size."""
        return f"{self.dimension}={self.sizes.along(self.dimension):g}"

    @property
    def title(self) -> str:
        """The point's title in progress messages and in the list of missing results."""
        return f"{self.size_title}, repeat {self.repeat}"


@dataclass(frozen=True, slots=True)
class RunPlan:
    """The points and events of a run; ``base`` holds the sizes of the dimensions that are not varied."""

    setup: Setup
    base: Sizes = field(default_factory=Sizes)
    variations: tuple[Variation, ...] = ()
    events: tuple[str, ...] = ()
    repeats: int = 1
    deadline_s: float = 1800.0
    command: str = "runloft lab scale"

    def points(self) -> Iterator[PlannedPoint]:
        """Yield each point, with the repeats of one size in succession."""
        for variation in self.variations:
            for size in variation.sizes:
                sizes = resized(self.base, variation.dimension, size)
                for repeat in range(self.repeats):
                    yield PlannedPoint(variation.dimension, sizes, repeat)


def resized(base: Sizes, dimension: str, size: float) -> Sizes:
    """Return the base sizes with one dimension replaced."""
    number_type = type(getattr(base, dimension))
    return replace(base, **{dimension: number_type(size)})


def event_title(name: str, repeat: int) -> str:
    """Return an event's title in progress messages and in the list of missing results."""
    return f"{name}, repeat {repeat}"
