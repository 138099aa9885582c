"""The result of one seed, and the verdict on its violations."""

from dataclasses import asdict, dataclass
from enum import StrEnum
from typing import Any, TypeAlias

from runloft.lab.soak.schedule import Schedule
from runloft.lab.soak.violations import TIMED_RULES, Violation

SeedDocument: TypeAlias = dict[str, Any]  # a line of --output

MAX_EVENT_LOOP_DELAY_S = 0.25


class Verdict(StrEnum):
    """The verdict on one seed."""

    PASSED = "passed"
    FAILED = "FAILED"
    INCONCLUSIVE = "INCONCLUSIVE, this program was held up itself"


@dataclass(frozen=True, slots=True)
class SeedResult:
    """The result of one seed; ``lag_s`` is the longest delay of this program's own event loop."""

    schedule: Schedule
    requests: int
    attempts: int
    outcomes: dict[str, int]  # number of requests by outcome
    lag_s: float
    violations: tuple[Violation, ...]
    held: tuple[Violation, ...] = ()  # attempts whose process was held up in the write's system call

    @property
    def verdict(self) -> Verdict:
        """The verdict; rules checked by time are inconclusive if this program itself was delayed too long."""
        if not self.violations:
            return Verdict.PASSED
        only_timed = all(violation.rule in TIMED_RULES for violation in self.violations)
        return Verdict.INCONCLUSIVE if only_timed and self.lag_s > MAX_EVENT_LOOP_DELAY_S else Verdict.FAILED

    def document(self) -> SeedDocument:
        """Return a line of --output; its top-level keys are independent of the field names."""
        return {
            "schedule": self.schedule.document(),
            "requests": self.requests,
            "attempts": self.attempts,
            "endings": self.outcomes,
            "lag_s": self.lag_s,
            "violations": [asdict(violation) for violation in self.violations],
            "held": [asdict(violation) for violation in self.held],
        }
