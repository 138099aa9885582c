"""The scheduler's clock: Unix time that no step of the wall clock moves."""

import time


class MonotonicClock:
    """Unix time at the start plus monotonic progress; calling it returns the time in nanoseconds."""

    def __init__(self) -> None:
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        """Return the time in nanoseconds since 1970."""
        return self._offset_ns + time.monotonic_ns()

    def error_ns(self) -> int:
        """Return how far the wall clock is ahead of this one: what it was stepped by since the start."""
        return time.time_ns() - self()
