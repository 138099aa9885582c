"""What the tasks of the event loop do between two iterations of the runner, and how late those start.

A slice is the work that a task does without letting other tasks run.
"""

import time
from bisect import bisect_left
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import StrEnum

NS_PER_MS = 1_000_000
LAG_BUCKETS_MS = (1, 2, 5, 10, 15, 25, 50, 100, 250, 500, 1000, 2500)


class Work(StrEnum):
    """The kind of work of a slice; the value is a field of a log line."""

    CLIENT_COMMANDS = "client commands"
    REFUSED_COMMANDS = "refused commands"
    READ_AHEAD = "reading ahead"
    ACCEPT = "accepting connections"
    DISCOVERY = "discovery messages"
    MEMORY_RELIEF = "freeing memory"


@dataclass(slots=True)
class Slice:
    """One slice; ``connection`` is the number in the log, 0 for work that concerns no single one."""

    work: Work
    connection: int = 0
    commands: int = 0
    input_bytes: int = 0
    duration_ns: int = 0


class LoopActivity:
    """The longest slice since the last iteration of the runner, and the number of slices."""

    def __init__(self) -> None:
        self.longest: Slice | None = None
        self.slices = 0
        self._longest_ns = -1

    @contextmanager
    def slice(self, work: Work, connection: int = 0) -> Iterator[Slice]:
        """Record the body of a ``with`` statement, which must not wait; it may set the slice's counts."""
        current = Slice(work, connection)
        started_at = time.monotonic_ns()
        try:
            yield current
        finally:
            current.duration_ns = time.monotonic_ns() - started_at
            self.add(current)

    def add(self, finished: Slice) -> None:
        """Record a finished slice."""
        self.slices += 1
        if finished.duration_ns > self._longest_ns:
            self._longest_ns = finished.duration_ns
            self.longest = finished

    def clear(self) -> None:
        """Forget the slices, at the end of an iteration of the runner."""
        self.longest = None
        self.slices = 0
        self._longest_ns = -1

    def log_fields(self) -> dict[str, str | int]:
        """Return the fields of a log line about a late iteration."""
        longest = self.longest
        if longest is None:
            return {"slices": 0}
        return {
            "slices": self.slices,
            "longest": str(longest.work),
            "longest_ms": longest.duration_ns // NS_PER_MS,
            "connection": longest.connection,
            "commands": longest.commands,
            "input_bytes": longest.input_bytes,
        }


class LoopLag:
    """A histogram of how late iterations of the runner start after a timer is due."""

    def __init__(self) -> None:
        self.counts = [0] * (len(LAG_BUCKETS_MS) + 1)  # the last one: above all buckets
        self.total_ns = 0

    def observe(self, late_ns: int) -> None:
        """Count one iteration."""
        self.counts[bisect_left(LAG_BUCKETS_MS, late_ns / NS_PER_MS)] += 1
        self.total_ns += late_ns


LOOP_ACTIVITY = LoopActivity()  # shared by the whole process, like its event loop
LOOP_LAG = LoopLag()
