"""Outcomes of attempts and health checks, and groups of outcomes that the decisions treat alike."""

from enum import Enum


class AttemptOutcome(Enum):
    """The outcome of an attempt or a health check."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"


NEVER_EXECUTED = (AttemptOutcome.FULL, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)
"""Outcomes after which the attempt can't have been executed."""

ERRORS = (AttemptOutcome.ERROR, AttemptOutcome.FULL, AttemptOutcome.CONNECT_FAILED)
"""Outcomes that count towards a node's error rate."""

AMBIGUOUS = (AttemptOutcome.TIMEOUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED)
"""Outcomes after which the attempt may still be executed."""
