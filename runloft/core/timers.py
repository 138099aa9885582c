"""The timer queue; the reducer removes the due items in each step."""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from operator import attrgetter

from sortedcontainers import SortedList


@dataclass(slots=True, eq=False)
class TimerHandle:
    """A queued item; ``due_at`` is in nanoseconds on the scheduler's own clock."""

    due_at: int
    serial: int
    item: object


class TimerQueue:
    """Items sorted by due time; items due at the same time keep the order in which they were added."""

    def __init__(self) -> None:
        self._handles: SortedList[TimerHandle] = SortedList(key=attrgetter("due_at", "serial"))
        self._serials = count()
        # Called when an added item becomes the earliest.
        self.on_earliest_changed: Callable[[], None] = lambda: None

    def __len__(self) -> int:
        return len(self._handles)

    def add(self, at_ns: int, item: object) -> TimerHandle:
        """Add an item and return a handle for removing it."""
        handle = TimerHandle(at_ns, next(self._serials), item)
        self._handles.add(handle)
        if self._handles[0] is handle:
            self.on_earliest_changed()
        return handle

    def discard(self, handle: TimerHandle | None) -> None:
        """Remove an item if it is still in the queue."""
        if handle is not None:
            self._handles.discard(handle)

    def next_at(self) -> int | None:
        """Return the earliest due time, or None if the queue is empty."""
        return self._handles[0].due_at if self._handles else None

    def pop_due(self, now: int) -> list[object]:
        """Remove and return the due items in order of their due times."""
        due = []
        while self._handles and self._handles[0].due_at <= now:
            due.append(self._handles.pop(0).item)
        return due
