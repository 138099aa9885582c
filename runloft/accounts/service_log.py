"""A per-node log of responses, which attributes the time that a request waits to the volumes served.

A node is modelled as serving one attempt after the other.  The time between two responses during which the
node had attempts of this host is attributed to the volume of the later one.  The resulting intervals, clipped
to a wait, sum to the time in which the node was busy for this host during the wait.  The cost of a wait is
proportional to the number of responses within it; no state is kept for each pair of volumes.

An interval much longer than expected for its units means that the node stalled; the excess is attributed to
no volume.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

# A node has stalled if a response exceeds its expected time by both this factor and this duration.
STALL_FACTOR = 4.0
STALL_NS = 100_000_000
SMOOTHING = 0.05  # weight of a new sample in the mean time per unit
MAX_INTERVALS = 65_536  # a wait that began before the oldest interval is marked as truncated


@dataclass(frozen=True, slots=True)
class ServiceInterval:
    """The interval of service time that ends with a response, and the volume of that response."""

    volume: int
    units: float
    start: int
    end: int
    stalled: int  # nanoseconds at the beginning of the interval in which the node stalled


@dataclass(frozen=True, slots=True)
class WaitBreakdown:
    """The time of a wait in nanoseconds, by what it was spent on."""

    by_volume: dict[int, int]
    stalled: int
    unattributed: int  # no attempt of this host at the node, or no response yet
    truncated: bool = False

    @property
    def total(self) -> int:
        """The total time of the wait."""
        return sum(self.by_volume.values()) + self.stalled + self.unattributed


class ServiceLog:
    """The response log of one node, back to the start of the oldest open wait."""

    def __init__(self) -> None:
        self.outstanding = 0  # attempts of this host at the node
        self.busy_since = 0  # start of the next interval
        self.intervals: deque[ServiceInterval] = deque()
        self.first_index = 0  # of the oldest interval kept
        self.mean_unit_ns = 0.0
        self._waits: dict[int, int] = {}  # next_index when a wait began -> number of waits

    @property
    def next_index(self) -> int:
        """The index of the next interval."""
        return self.first_index + len(self.intervals)

    def attempt_sent(self, now: int) -> None:
        """Record that an attempt was sent to the node."""
        if self.outstanding == 0:
            self.busy_since = max(now, self.busy_since)
        self.outstanding += 1

    def attempt_returned(self, now: int, volume: int, units: float, served: bool) -> None:
        """Record that an attempt has ended; it is logged only if the node served it."""
        self.outstanding = max(0, self.outstanding - 1)
        if not served:
            return
        start = self.busy_since
        elapsed = max(0, now - start)
        expected = self.mean_unit_ns * units
        stalled = 0
        if expected and elapsed > STALL_FACTOR * expected and elapsed - expected > STALL_NS:
            stalled = int(elapsed - expected)
        elif units > 0:
            self._add_sample(elapsed / units)
        self.intervals.append(ServiceInterval(volume, units, start, start + elapsed, stalled))
        self.busy_since = start + elapsed
        if len(self.intervals) > MAX_INTERVALS:
            self.intervals.popleft()
            self.first_index += 1
        self._trim()

    def _add_sample(self, unit_ns: float) -> None:
        if self.mean_unit_ns:
            self.mean_unit_ns += SMOOTHING * (unit_ns - self.mean_unit_ns)
        else:
            self.mean_unit_ns = unit_ns

    def begin_wait(self) -> int:
        """Record the start of a wait; return the index to pass to ``end_wait``."""
        index = self.next_index
        self._waits[index] = self._waits.get(index, 0) + 1
        return index

    def end_wait(self, index: int, started_ns: int, now: int) -> WaitBreakdown:
        """End a wait and return the breakdown of its time."""
        truncated = index < self.first_index
        by_volume: dict[int, int] = {}
        stalled = 0
        for interval in self._intervals_from(index):
            start = max(interval.start, started_ns)
            end = min(interval.end, now)
            if end <= start:
                continue
            stalled_here = max(0, min(interval.start + interval.stalled, end) - start)
            stalled += stalled_here
            if end - start > stalled_here:
                by_volume[interval.volume] = by_volume.get(interval.volume, 0) + end - start - stalled_here
        unattributed = max(0, now - started_ns) - stalled - sum(by_volume.values())
        self._forget_wait(index)
        return WaitBreakdown(by_volume, stalled, unattributed, truncated)

    def _forget_wait(self, index: int) -> None:
        remaining = self._waits.get(index, 0) - 1
        if remaining > 0:
            self._waits[index] = remaining
        else:
            self._waits.pop(index, None)
        self._trim()

    def _intervals_from(self, index: int) -> Iterator[ServiceInterval]:
        # Negative indices: a wait covers the newest part of the log, and a deque is fast near its ends.
        count = len(self.intervals) - max(0, index - self.first_index)
        for position in range(-count, 0):
            yield self.intervals[position]

    def _trim(self) -> None:
        """Drop the intervals older than every open wait."""
        # Indices only grow, so the first key is the smallest.
        oldest_needed = next(iter(self._waits), self.next_index)
        while self.intervals and self.first_index < oldest_needed:
            self.intervals.popleft()
            self.first_index += 1
