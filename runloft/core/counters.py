"""Counters of why requests and connections ended, with bounded label sets, for metrics and logs."""

from collections import Counter
from collections.abc import Mapping
from enum import StrEnum


class CounterName(StrEnum):
    """A counter, which has a bounded set of reasons; the value is a metric label."""

    CLIENT_CONNECTIONS_CLOSED = "client connections closed"
    NODE_CONNECTIONS_CLOSED = "node connections closed"
    REQUESTS_NOT_STARTED = "requests not started"
    ATTEMPTS_NOT_SENT = "attempts not sent"
    REQUESTS_RETRIED = "requests retried"
    REQUESTS_SHED = "requests refused"
    REQUESTS_FAILED = "requests failed"
    REQUESTS_CANCELLED = "requests cancelled"


class NodeCloseReason(StrEnum):
    """Why a connection to a node was closed; the value is a metric label."""

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
    """Event counts by counter name and reason."""

    def __init__(self) -> None:
        self.requests_started = 0
        self.by_name: dict[CounterName, Counter[str]] = {name: Counter() for name in CounterName}

    def add(self, name: CounterName, reason: str) -> None:
        """Count one event of this name and reason."""
        self.by_name[name][reason] += 1

    def totals(self) -> Totals:
        """Return the nonzero counts, keyed by names that are valid as log fields."""
        return {"requests_started": self.requests_started} | {
            str(name).replace(" ", "_"): {str(reason): count for reason, count in reasons.items()}
            for name, reasons in self.by_name.items()
            if reasons
        }


COUNTERS = Counters()  # shared by the whole process; exported as metrics
