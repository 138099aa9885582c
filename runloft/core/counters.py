"""Counts of why requests and connections ended, with bounded labels, for the metrics and the log."""

from collections import Counter
from collections.abc import Mapping
from enum import StrEnum


class CounterName(StrEnum):
    """What is counted; each has a bounded set of reasons. The value is a label of metrics."""

    CLIENT_CONNECTIONS_CLOSED = "client connections closed"
    NODE_CONNECTIONS_CLOSED = "node connections closed"
    REQUESTS_NOT_STARTED = "requests not started"
    ATTEMPTS_NOT_SENT = "attempts not sent"
    REQUESTS_RETRIED = "requests retried"
    REQUESTS_SHED = "requests refused"
    REQUESTS_FAILED = "requests failed"
    REQUESTS_CANCELLED = "requests cancelled"


class NodeCloseReason(StrEnum):
    """Why a connection to a node is closed; the value is a label of metrics."""

    ATTEMPT_ABANDONED = "attempt abandoned"
    BROKEN = "broken"
    CONNECT_FAILED = "connect failed"
    CONNECT_TIMEOUT = "connect timeout"
    STALLED = "stalled"
    NOT_REUSABLE = "not reusable"
    UNEXPECTED_INPUT = "not quiet"
    IDLE = "idle"
    EVICTED = "make room"
    NODE_CHANGED = "node changed"
    SHUTDOWN = "shutdown"


Totals = Mapping[str, int | dict[str, int]]


class Counters:
    """Counts by name and reason."""

    def __init__(self) -> None:
        self.requests_started = 0
        self.by_name: dict[CounterName, Counter[str]] = {name: Counter() for name in CounterName}

    def add(self, name: CounterName, reason: str) -> None:
        """Count one event of this name and reason."""
        self.by_name[name][reason] += 1

    def totals(self) -> Totals:
        """Return all counts that aren't zero, by names that a log line can carry."""
        return {"requests_started": self.requests_started} | {
            str(name).replace(" ", "_"): {str(reason): count for reason, count in reasons.items()}
            for name, reasons in self.by_name.items()
            if reasons
        }


COUNTERS = Counters()  # of this process, as the metrics show it
