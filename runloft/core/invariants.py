"""Runtime checks of invariants; each violation is counted and logged with the ids concerned.

The checks are independent of the permissions, so that they detect a bug in a permission or a code path that
bypasses it.  Each costs a few comparisons.
"""

from collections import Counter
from enum import StrEnum
from typing import Any

import structlog

from runloft.core.model import NodeUpdate
from runloft.core.records import Attempt
from runloft.decisions.contract import NodeState, Settings

log = structlog.get_logger()
WAIT_TOLERANCE_NS = 150_000_000  # by which the wait sent to a node may exceed the request's time left


class Violation(StrEnum):
    """An invariant violation; the value is a metric label."""

    DUPLICATE_RESPONSE = "second answer"
    SENT_AFTER_DISCONNECT = "sent after client left"
    SENT_TO_DRAINING_NODE = "sent to draining"
    CONCURRENT_ATTEMPTS = "second copy"
    WAIT_TOO_LONG = "told too much"
    REQUEST_DROPPED = "dropped"
    INPUT_DISCARDED = "closed over input"


class Invariants:
    """Counts of invariant violations."""

    def __init__(self) -> None:
        self.counts: Counter[Violation] = Counter()

    def record(self, violation: Violation, **ids: Any) -> None:
        """Count a violation and log it with the ids concerned."""
        self.counts[violation] += 1
        log.error("invariant violated", kind=str(violation), **ids)

    def totals(self) -> dict[str, int]:
        """Return the counts by metric label."""
        return {str(violation): count for violation, count in self.counts.items()}

    def check_first_byte(
        self,
        attempt: Attempt,
        node: NodeUpdate | None,
        settings: Settings,
        announced_wait_ns: int,
        now: int,
    ) -> None:
        """Check an attempt whose first byte is sent now.

        ``announced_wait_ns`` is the wait that is sent to its node.
        """
        request = attempt.request
        if request.is_complete:
            self.record(Violation.SENT_AFTER_DISCONNECT, request=request.id, attempt=attempt.number)
        if announced_wait_ns > request.deadline - now + WAIT_TOLERANCE_NS:
            self.record(Violation.WAIT_TOO_LONG, request=request.id, attempt=attempt.number)
        if len(request.in_flight) > 1 and not settings.may_hedge:
            self.record(Violation.CONCURRENT_ATTEMPTS, request=request.id, attempt=attempt.number)
        if node is None or node.state is not NodeState.READY:
            self.record(Violation.SENT_TO_DRAINING_NODE, request=request.id, attempt=attempt.number)

    def check_response(self, already_answered: bool, **ids: Any) -> None:
        """Check that a request gets its final response only once."""
        if already_answered:
            self.record(Violation.DUPLICATE_RESPONSE, **ids)

    def check_close(self, unanswered: int, has_unread_input: bool, closed_locally: bool, **ids: Any) -> None:
        """Check that closing a client connection loses neither a request nor unread input.

        ``closed_locally`` is false if the client caused the close.
        """
        if closed_locally and unanswered:
            self.record(Violation.REQUEST_DROPPED, unanswered=unanswered, **ids)
        elif closed_locally and has_unread_input:
            self.record(Violation.INPUT_DISCARDED, **ids)


INVARIANTS = Invariants()  # shared by the whole process; exported as metrics
