"""The rules that each run is checked against; reports show their values."""

from dataclasses import dataclass
from enum import StrEnum


class Rule(StrEnum):
    """A rule that must hold in every run."""

    NO_FINAL_ANSWER = "no final answer"
    CLOSED_UNANSWERED = "closed unanswered"
    LATE_ANSWER = "late answer"
    FOREIGN_VALUE = "foreign value"
    HALF_COMMAND = "half a command"
    SENT_AFTER_DISCONNECT = "sent after its client left"
    DEADLINE = "told wait"
    HEDGED = "second copy"
    UNSAFE_RETRY = "unsafe repeat"
    RETRY_PAST_WINDOW = "repeat past its window"
    SENT_TO_DRAINING = "sent to a draining node"
    SLOW_START = "slow start"
    LATE_START = "late start"
    FAILED_START = "failed start"
    SHUTDOWN = "shutdown"
    LOG = "log"


# Rules that are checked with times measured by this program.
TIMED_RULES = frozenset(
    (
        Rule.LATE_ANSWER,
        Rule.HALF_COMMAND,
        Rule.SENT_AFTER_DISCONNECT,
        Rule.DEADLINE,
        Rule.HEDGED,
        Rule.SENT_TO_DRAINING,
        Rule.RETRY_PAST_WINDOW,
        Rule.LATE_START,
    )
)
MEASUREMENT_ERROR_S = 0.02  # allowed in addition to the measured event loop delays


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule."""

    rule: Rule
    subject: str  # the request's id, or the name of the process or node
    detail: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.subject}: {self.detail}"
