"""The run-time check behind the guard: counts what must never happen, and logs it with ids.

It looks at what is about to be done, not at why it was permitted, so a fault in the guard or a way past it
shows.  Each check costs a few comparisons.
"""

from collections import Counter
from enum import StrEnum
from typing import Any

import structlog

from runloft.core.model import NodeUpdate
from runloft.core.records import Attempt
from runloft.decisions.contract import NodeState, Settings

log = structlog.get_logger()
TOLD_SLACK_NS = 150_000_000  # by which a node may be told more than its client has left


class Violation(StrEnum):
    """What must never happen."""

    SECOND_ANSWER = "second answer"
    SENT_AFTER_CLIENT_LEFT = "sent after client left"
    SENT_TO_DRAINING = "sent to draining"
    SECOND_COPY = "second copy"
    TOLD_TOO_MUCH = "told too much"
    DROPPED = "dropped"
    CLOSED_OVER_INPUT = "closed over input"


class Invariants:
    """Counts of violations in this process."""

    def __init__(self) -> None:
        self.counts: Counter[Violation] = Counter()

    def violated(self, kind: Violation, **ids: Any) -> None:
        """Count one, and say where."""
        self.counts[kind] += 1
        log.error("invariant violated", kind=str(kind), **ids)

    def totals(self) -> dict[str, int]:
        """Give what has been counted."""
        return {str(kind): count for kind, count in self.counts.items()}

    def first_byte(
        self, attempt: Attempt, node: NodeUpdate | None, settings: Settings, told_ns: int, now: int
    ) -> None:
        """Check an attempt whose first byte leaves now, and for which a node is told this wait."""
        request = attempt.request
        if request.over:
            self.violated(Violation.SENT_AFTER_CLIENT_LEFT, request=request.id, attempt=attempt.number)
        if told_ns > request.deadline - now + TOLD_SLACK_NS:
            self.violated(Violation.TOLD_TOO_MUCH, request=request.id, attempt=attempt.number)
        if len(request.out) > 1 and not settings.may_hedge:
            self.violated(Violation.SECOND_COPY, request=request.id, attempt=attempt.number)
        if node is None or node.state is not NodeState.READY:
            self.violated(Violation.SENT_TO_DRAINING, request=request.id, attempt=attempt.number)

    def answered(self, was_answered: bool, **ids: Any) -> None:
        """Check a final answer."""
        if was_answered:
            self.violated(Violation.SECOND_ANSWER, **ids)

    def closed(self, unanswered: int, unread: bool, own_reason: bool, **ids: Any) -> None:
        """Check the close of a client's connection for a reason that is not the client's own doing."""
        if own_reason and unanswered:
            self.violated(Violation.DROPPED, unanswered=unanswered, **ids)
        elif own_reason and unread:
            self.violated(Violation.CLOSED_OVER_INPUT, **ids)


INVARIANTS = Invariants()  # one a process, as the metrics show it
