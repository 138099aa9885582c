"""Outlier detection: a node that answers many attempts with errors is ejected for a while."""

from runloft.decisions.outcomes import ERRORS, AttemptOutcome
from runloft.decisions.units import NS_PER_SECOND

NEWEST_OUTCOME_WEIGHT = 0.3
EJECTION_ERROR_RATE = 0.25
EJECTION_NS = 5 * NS_PER_SECOND  # time after the last error


class OutlierDetector:
    """The smoothed error rate of one node.

    Quick errors make a node's queue look short, so new objects are placed on other nodes while it is ejected.
    """

    __slots__ = ("error_rate", "last_error_at")

    def __init__(self) -> None:
        self.error_rate = 0.0
        self.last_error_at = 0

    def record_outcome(self, outcome: AttemptOutcome, now: int) -> None:
        """Record an attempt's outcome; outcomes that are neither success nor error don't count."""
        is_error = outcome in ERRORS
        if is_error or outcome is AttemptOutcome.OK:
            self.error_rate += NEWEST_OUTCOME_WEIGHT * (is_error - self.error_rate)
        if is_error:
            self.last_error_at = now

    def is_ejected(self, now: int) -> bool:
        """Return whether the node is ejected as an outlier at ``now``."""
        return self.error_rate > EJECTION_ERROR_RATE and now < self.last_error_at + EJECTION_NS
