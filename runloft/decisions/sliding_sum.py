"""A sum over a sliding time window."""

from array import array

MAX_EXACT_ENTRIES = 1024  # beyond them, amounts that arrive close together share an entry
SLOTS_PER_WINDOW = 512  # shared entries per window
MIN_COMPACTED_ENTRIES = 64


class SlidingSum:
    """The sum of the amounts added within the last ``window_ns``, including amounts exactly that old.

    The sum is exact for up to ``MAX_EXACT_ENTRIES`` amounts.  Of more, some leave the window later than they
    are due, by at most a slot, so that memory doesn't grow with the rate of amounts.
    """

    __slots__ = ("_amounts", "_first", "_last_started_at", "_times", "_total", "window_ns")

    def __init__(self, window_ns: int) -> None:
        self.window_ns = window_ns
        # The entries from ``_first`` on are in the window; those before it are removed now and then.
        self._times = array("q")
        self._amounts = array("d")
        self._first = 0
        self._last_started_at = 0  # when the first amount of the last entry was added
        self._total = 0.0

    def __len__(self) -> int:
        return len(self._times) - self._first

    def add(self, now: int, amount: float) -> None:
        """Add an amount; ``now`` must not be earlier than in the previous call."""
        if (
            len(self) >= MAX_EXACT_ENTRIES
            and now - self._last_started_at < self.window_ns // SLOTS_PER_WINDOW
        ):
            self._times[-1] = now
            self._amounts[-1] += amount
        else:
            self._times.append(now)
            self._amounts.append(amount)
            self._last_started_at = now
        self._total += amount
        self.total(now)

    def total(self, now: int, narrowed_by_ns: int = 0) -> float:
        """Return the sum over the window, shortened by ``narrowed_by_ns``; older amounts are removed."""
        oldest = now - self.window_ns + narrowed_by_ns
        times = self._times
        first = self._first
        count = len(times)
        while first < count and times[first] < oldest:
            self._total -= self._amounts[first]
            first += 1
        self._first = first
        if first >= MIN_COMPACTED_ENTRIES and 2 * first >= count:
            self._compact()
        return self._total if len(self) else 0.0

    def _compact(self) -> None:
        del self._times[: self._first]
        del self._amounts[: self._first]
        self._first = 0
