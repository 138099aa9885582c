"""What one seed came to, and whether its violations prove anything."""

from dataclasses import asdict, dataclass
from enum import StrEnum
from typing import Any, TypeAlias

from runloft.lab.soak.schedule import Schedule
from runloft.lab.soak.violations import TIMED_RULES, Violation

SeedDocument: TypeAlias = dict[str, Any]  # a line of --output

MAX_OWN_DELAY_S = 0.25


class Verdict(StrEnum):
    """What became of one seed."""

    PASSED = "passed"
    FAILED = "FAILED"
    INCONCLUSIVE = "INCONCLUSIVE, this program was held up itself"


@dataclass(frozen=True, slots=True)
class SeedResult:
    """What one seed came to; ``lag_s`` is the longest delay of this program's own event loop."""

    schedule: Schedule
    requests: int
    attempts: int
    outcomes: dict[str, int]  # requests by outcome
    lag_s: float
    violations: tuple[Violation, ...]

    @property
    def verdict(self) -> Verdict:
        """The verdict; times that this program took while it was delayed itself prove nothing."""
        if not self.violations:
            return Verdict.PASSED
        only_timed = all(violation.rule in TIMED_RULES for violation in self.violations)
        return Verdict.INCONCLUSIVE if only_timed and self.lag_s > MAX_OWN_DELAY_S else Verdict.FAILED

    def document(self) -> SeedDocument:
        """Return what a line of --output holds; its keys don't change with the names here."""
        return {
            "schedule": self.schedule.document(),
            "requests": self.requests,
            "attempts": self.attempts,
            "endings": self.outcomes,
            "lag_s": self.lag_s,
            "violations": [asdict(violation) for violation in self.violations],
        }
