"""The scheduler's clock: Unix time that is unaffected by steps of the wall clock."""

import time


class MonotonicClock:
    """Unix time at construction plus the monotonic time elapsed since; calling it returns nanoseconds."""

    def __init__(self) -> None:
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        """Return the time in nanoseconds since the Unix epoch."""
        return self._offset_ns + time.monotonic_ns()

    def error_ns(self) -> int:
        """Return how far the wall clock is ahead of this clock: the sum of its steps since construction."""
        return time.time_ns() - self()
