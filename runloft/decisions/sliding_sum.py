"""A sum over a sliding time window."""

from collections import deque


class SlidingSum:
    """The sum of the amounts added within the last ``window_ns``, including amounts exactly that old."""

    __slots__ = ("_items", "_total", "window_ns")

    def __init__(self, window_ns: int) -> None:
        self.window_ns = window_ns
        self._items: deque[tuple[int, float]] = deque()  # (when, amount)
        self._total = 0.0

    def add(self, now: int, amount: float) -> None:
        """Add an amount; ``now`` must not be earlier than in the previous call."""
        self._items.append((now, amount))
        self._total += amount
        self.total(now)

    def total(self, now: int, narrowed_by_ns: int = 0) -> float:
        """Return the sum over the window, shortened by ``narrowed_by_ns``; older amounts are removed."""
        while self._items and self._items[0][0] < now - self.window_ns + narrowed_by_ns:
            self._total -= self._items.popleft()[1]
        return self._total if self._items else 0.0
