"""Why requests and connections ended as they did: bounded counts of one process, for metrics and the log."""

from collections import Counter
from enum import StrEnum
from typing import Any


class Counted(StrEnum):
    """What is counted; each has its own bounded set of reasons."""

    CLIENT_CLOSED = "client connections closed"
    NODE_CLOSED = "node connections closed"
    NOT_STARTED = "requests not started"
    NOT_SENT = "attempts not sent"
    RETRIED = "requests retried"
    REFUSED = "requests refused"
    FAILED = "requests failed"
    CANCELLED = "requests cancelled"


class NodeCloseReason(StrEnum):
    """Why a connection to a node is closed."""

    ATTEMPT_ABANDONED = "attempt abandoned"
    BROKEN = "broken"
    CONNECT_FAILED = "connect failed"
    CONNECT_TIMEOUT = "connect timeout"
    STALLED = "stalled"
    NOT_REUSABLE = "not reusable"
    NOT_QUIET = "not quiet"
    IDLE = "idle"
    MAKE_ROOM = "make room"
    NODE_CHANGED = "node changed"
    SHUTDOWN = "shutdown"


class Counters:
    """Counts by what and why."""

    def __init__(self) -> None:
        self.requests_started = 0
        self.by: dict[Counted, Counter[str]] = {what: Counter() for what in Counted}

    def add(self, what: Counted, reason: str) -> None:
        """Count one."""
        self.by[what][reason] += 1

    def totals(self) -> dict[str, Any]:
        """Give what has been counted, by names that a log line can carry."""
        return {"requests_started": self.requests_started} | {
            str(what).replace(" ", "_"): {str(reason): count for reason, count in reasons.items()}
            for what, reasons in self.by.items()
            if reasons
        }


COUNTERS = Counters()  # one a process, as the metrics show it
