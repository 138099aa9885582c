"""Run-time checks behind the permissions: violations of invariants are counted, and logged with their ids.

A check looks at what is about to be done, not at why it was permitted, so that a fault in the permissions, or
a path that evades them, is found.  Each costs a few comparisons.
"""

from collections import Counter
from enum import StrEnum
from typing import Any

import structlog

from runloft.core.model import NodeUpdate
from runloft.core.records import Attempt
from runloft.decisions.contract import NodeState, Settings

log = structlog.get_logger()
WAIT_TOLERANCE_NS = 150_000_000  # by which a node may be told a longer wait than its client's


class Violation(StrEnum):
    """An invariant that was violated; the value is a label of metrics."""

    DUPLICATE_RESPONSE = "second answer"
    SENT_AFTER_DISCONNECT = "sent after client left"
    SENT_TO_DRAINING_NODE = "sent to draining"
    CONCURRENT_ATTEMPTS = "second copy"
    WAIT_TOO_LONG = "told too much"
    REQUEST_DROPPED = "dropped"
    INPUT_DISCARDED = "closed over input"


class Invariants:
    """Counts of violations, by invariant."""

    def __init__(self) -> None:
        self.counts: Counter[Violation] = Counter()

    def record(self, violation: Violation, **ids: Any) -> None:
        """Count a violation, and log it with its ids."""
        self.counts[violation] += 1
        log.error("invariant violated", kind=str(violation), **ids)

    def totals(self) -> dict[str, int]:
        """Return the counts by the violation's label."""
        return {str(violation): count for violation, count in self.counts.items()}

    def check_first_byte(
        self,
        attempt: Attempt,
        node: NodeUpdate | None,
        settings: Settings,
        announced_wait_ns: int,
        now: int,
    ) -> None:
        """Check an attempt whose first byte leaves now, and for which its node is told this wait."""
        request = attempt.request
        if request.is_complete:
            self.record(Violation.SENT_AFTER_DISCONNECT, request=request.id, attempt=attempt.number)
        if announced_wait_ns > request.deadline - now + WAIT_TOLERANCE_NS:
            self.record(Violation.WAIT_TOO_LONG, request=request.id, attempt=attempt.number)
        if len(request.in_flight) > 1 and not settings.may_hedge:
            self.record(Violation.CONCURRENT_ATTEMPTS, request=request.id, attempt=attempt.number)
        if node is None or node.state is not NodeState.READY:
            self.record(Violation.SENT_TO_DRAINING_NODE, request=request.id, attempt=attempt.number)

    def check_response(self, was_answered: bool, **ids: Any) -> None:
        """Check a final answer."""
        if was_answered:
            self.record(Violation.DUPLICATE_RESPONSE, **ids)

    def check_close(self, unanswered: int, has_unread_input: bool, caused_here: bool, **ids: Any) -> None:
        """Check the close of a client's connection; ``caused_here``: the client itself didn't cause it."""
        if caused_here and unanswered:
            self.record(Violation.REQUEST_DROPPED, unanswered=unanswered, **ids)
        elif caused_here and has_unread_input:
            self.record(Violation.INPUT_DISCARDED, **ids)


INVARIANTS = Invariants()  # of this process, as the metrics show it
