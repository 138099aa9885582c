"""Rules of a qualification run: their bounds, the worst that was seen, and the margin between them."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum

MAX_LOST_MARGIN = 0.5  # part of the other version's margin that may be lost


class Limit(StrEnum):
    """What a rule limits; the value is shown in the table."""

    WAIT_MS = "longest wait of an ordinary client, ms"
    MISSING_ANSWERS = "ordinary requests without an answer"
    UNANSWERED = "requests read and not answered"
    RESIDENT_MB = "peak of the resident size, MB"
    EXIT_S = "exit after SIGTERM, s"
    EXIT_CODE = "exits other than 0"
    INVARIANTS = "runs with counted violations of invariants"
    LATE_ATTEMPTS = "attempts for departed clients"
    BROKEN_RULES = "rules broken in the soak"
    REVIEW_CASES = "broken cases of the reviews"


@dataclass(frozen=True, slots=True)
class Measurement:
    """The worst value of one rule in a play, and its bound, which is kept if the value isn't above it."""

    limit: Limit
    bound: float
    worst: float

    @property
    def is_kept(self) -> bool:
        """Whether the bound is kept."""
        return self.worst <= self.bound

    @property
    def margin(self) -> float:
        """The part of the bound that is left; 0 at the bound, and for a kept bound of 0."""
        return (self.bound - self.worst) / self.bound if self.bound else -self.worst


def smallest_margins(measurements: Iterable[Measurement]) -> list[Measurement]:
    """Return the measurement with the smallest margin of each limit."""
    smallest: dict[Limit, Measurement] = {}
    for measurement in measurements:
        known = smallest.get(measurement.limit)
        if known is None or measurement.margin < known.margin:
            smallest[measurement.limit] = measurement
    return list(smallest.values())


def lost_margins(current: Sequence[Measurement], other: Sequence[Measurement]) -> list[Limit]:
    """Return the limits whose smallest margin has fallen by more than half against another version's."""
    margins = {each.limit: each.margin for each in smallest_margins(current)}
    return [
        each.limit
        for each in smallest_margins(other)
        if each.limit in margins
        and each.margin > 0
        and margins[each.limit] < (1 - MAX_LOST_MARGIN) * each.margin
    ]
