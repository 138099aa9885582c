"""The one sorted queue of everything that is due at some time; the reducer empties it in each step."""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from operator import attrgetter

from sortedcontainers import SortedList


@dataclass(slots=True, eq=False)
class TimerHandle:
    """An item of the queue; ``due_at`` is in nanoseconds on the queue's clock."""

    due_at: int
    serial: int
    item: object


class TimerQueue:
    """Items by the time at which they are due; items due at one time keep the order of their adding."""

    def __init__(self) -> None:
        self._handles: SortedList[TimerHandle] = SortedList(key=attrgetter("due_at", "serial"))
        self._serials = count()
        self.on_earliest_changed: Callable[[], None] = lambda: None  # called when an item precedes all others

    def __len__(self) -> int:
        return len(self._handles)

    def add(self, at_ns: int, item: object) -> TimerHandle:
        """Add an item and return the handle that removes it."""
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
        """Return the earliest time at which an item is due; None where the queue is empty."""
        return self._handles[0].due_at if self._handles else None

    def pop_due(self, now: int) -> list[object]:
        """Remove and return all items that are due, the earliest first."""
        due = []
        while self._handles and self._handles[0].due_at <= now:
            due.append(self._handles.pop(0).item)
        return due
