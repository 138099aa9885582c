"""What a scale run is to measure."""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from runloft.lab.scale.fleet import Setup
from runloft.lab.scale.records import Sizes

DATA_PATH_DIMENSIONS = ("clients", "statements")  # measured at one real scheduler


@dataclass(frozen=True, slots=True)
class Variation:
    """The sizes that one dimension takes."""

    dimension: str
    sizes: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class PlannedPoint:
    """One size of one dimension, measured as its ``repeat`` th time from 0."""

    dimension: str
    sizes: Sizes
    repeat: int

    @property
    def size_title(self) -> str:
        """The dimension with its size."""
        return f"{self.dimension}={self.sizes.along(self.dimension):g}"

    @property
    def title(self) -> str:
        """What progress and missing results call it."""
        return f"{self.size_title}, repeat {self.repeat}"


@dataclass(frozen=True, slots=True)
class RunPlan:
    """The points and events of a run, at a base that all other dimensions keep."""

    setup: Setup
    base: Sizes = field(default_factory=Sizes)
    variations: tuple[Variation, ...] = ()
    events: tuple[str, ...] = ()
    repeats: int = 1
    deadline_s: float = 1800.0
    command: str = "runloft lab scale"

    def points(self) -> Iterator[PlannedPoint]:
        """Yield each point, repeats of one size together."""
        for variation in self.variations:
            for size in variation.sizes:
                sizes = resized(self.base, variation.dimension, size)
                for repeat in range(self.repeats):
                    yield PlannedPoint(variation.dimension, sizes, repeat)


def resized(base: Sizes, dimension: str, size: float) -> Sizes:
    """Return the sizes with one dimension changed."""
    number_type = type(getattr(base, dimension))
    return replace(base, **{dimension: number_type(size)})


def event_title(name: str, repeat: int) -> str:
    """Return what progress and missing results call an event."""
    return f"{name}, repeat {repeat}"
