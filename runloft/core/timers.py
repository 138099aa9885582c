"""The one sorted structure of all that is due at some time, swept once a turn."""

from collections.abc import Callable
from itertools import count

from sortedcontainers import SortedList

TimerHandle = tuple[int, int, object]


class TimerQueue:
    """Items by the time at which they are due; equal times keep the order of their adding."""

    def __init__(self) -> None:
        self._marks: SortedList[TimerHandle] = SortedList(key=lambda mark: mark[:2])
        self._serial = count()
        self.on_first: Callable[[], None] = lambda: None  # called when something is due sooner than all else

    def __len__(self) -> int:
        return len(self._marks)

    def add(self, at_ns: int, item: object) -> TimerHandle:
        """Add an item; the mark that comes back takes it out again."""
        mark = (at_ns, next(self._serial), item)
        self._marks.add(mark)
        if self._marks[0] is mark:
            self.on_first()
        return mark

    def discard(self, mark: TimerHandle | None) -> None:
        """Take an item out, if it is still there."""
        if mark is not None:
            self._marks.discard(mark)

    def next_at(self) -> int | None:
        """Give the earliest time, or None."""
        return self._marks[0][0] if self._marks else None

    def sweep(self, now: int) -> list[object]:
        """Take out all that is due, the earliest first."""
        due = []
        while self._marks and self._marks[0][0] <= now:
            due.append(self._marks.pop(0)[2])
        return due
