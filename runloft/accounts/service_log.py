"""Whose work a node did while a request waited for it: a log of its responses, by volume.

A node answers one attempt after the other.  The time between two responses, as far as the node had
something of ours, is what the later one's work took: it is credited to that one's volume.  So the credits
of a stretch of time, clipped to it, sum to the time in which the node was busy for us, and what a request
waited for is the log between its beginning and its end.  The cost of a wait is the number of responses
within it; there is none for each pair of volumes.

A credit far beyond what the units should take means that the node stalled: the excess is nobody's.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

STALL_FACTOR = 4.0  # a response may take so many times what its units take on average
STALL_NS = 100_000_000  # and so much longer, before the node counts as stalled
SMOOTHING = 0.05  # weight of a new sample in the mean time of a unit
MAX_CREDITS = 65_536  # that are kept; a wait that reaches further back is marked as truncated


@dataclass(frozen=True, slots=True)
class Credit:
    """One response: whose it was, and the stretch of busy time that it ends."""

    volume: int
    units: float
    start: int
    end: int
    stalled: int  # of the stretch, nanoseconds at its beginning in which the node stalled


@dataclass(frozen=True, slots=True)
class WaitBreakdown:
    """What a stretch of waiting went into, in nanoseconds."""

    by_volume: dict[int, int]
    stalled: int
    unattributed: int  # the node had nothing of ours, or no response has come back yet
    truncated: bool = False

    @property
    def total(self) -> int:
        """The whole stretch."""
        return sum(self.by_volume.values()) + self.stalled + self.unattributed


class ServiceLog:
    """One node's responses, as far back as a request still waits."""

    def __init__(self) -> None:
        self.outstanding = 0  # attempts that the node has of ours
        self.busy_since = 0  # from where the next credit counts
        self.credits: deque[Credit] = deque()
        self.first_index = 0  # of the oldest credit that is kept
        self.mean_unit_ns = 0.0
        self._waits: dict[int, int] = {}  # index of the next credit when a wait began -> number of waits

    @property
    def next_index(self) -> int:
        """The index that the next credit will have."""
        return self.first_index + len(self.credits)

    def attempt_sent(self, now: int) -> None:
        """Record an attempt that is sent to the node."""
        if self.outstanding == 0:
            self.busy_since = max(now, self.busy_since)
        self.outstanding += 1

    def attempt_returned(self, now: int, volume: int, units: float, served: bool) -> None:
        """Record an attempt that is over; only what the node served is its work."""
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
        self.credits.append(Credit(volume, units, start, start + elapsed, stalled))
        self.busy_since = start + elapsed
        if len(self.credits) > MAX_CREDITS:
            self.credits.popleft()
            self.first_index += 1
        self._trim()

    def _add_sample(self, unit_ns: float) -> None:
        if self.mean_unit_ns:
            self.mean_unit_ns += SMOOTHING * (unit_ns - self.mean_unit_ns)
        else:
            self.mean_unit_ns = unit_ns

    def begin_wait(self) -> int:
        """Record that a request begins to wait; return the index that ``end_wait`` takes."""
        index = self.next_index
        self._waits[index] = self._waits.get(index, 0) + 1
        return index

    def end_wait(self, index: int, started_ns: int, now: int) -> WaitBreakdown:
        """Return what the time of a wait went into, and forget the wait."""
        truncated = index < self.first_index
        by_volume: dict[int, int] = {}
        stalled = 0
        for credit in self._credits_from(index):
            start = max(credit.start, started_ns)
            end = min(credit.end, now)
            if end <= start:
                continue
            stalled_here = max(0, min(credit.start + credit.stalled, end) - start)
            stalled += stalled_here
            if end - start > stalled_here:
                by_volume[credit.volume] = by_volume.get(credit.volume, 0) + end - start - stalled_here
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

    def _credits_from(self, index: int) -> Iterator[Credit]:
        # From the right end: what was waited for is the newest part of the log.
        count = len(self.credits) - max(0, index - self.first_index)
        for place in range(-count, 0):
            yield self.credits[place]

    def _trim(self) -> None:
        """Drop the credits that no wait reaches back to."""
        # Indices only grow, so the first that was put in is the smallest.
        needed = next(iter(self._waits), self.next_index)
        while self.credits and self.first_index < needed:
            self.credits.popleft()
            self.first_index += 1
