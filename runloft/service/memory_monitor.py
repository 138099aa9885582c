"""Sampling of the process's resident size, with a log line when it comes near the memory limit."""

from collections.abc import Callable, Mapping

import structlog

from runloft.core.timers import TimerQueue
from runloft.net.resident_size import resident_bytes
from runloft.net.timing import Clock

log = structlog.get_logger()
SAMPLE_INTERVAL_NS = 50_000_000
HIGH_FRACTION = 0.95  # of the limit; a sample above it is logged
LOW_FRACTION = 0.9  # a sample below it ends the state that was logged
MB = 1 << 20


class MemoryMonitor:
    """Samples the resident size by a timer; ``owners`` returns what uses memory, for the log line."""

    def __init__(
        self,
        limit_mb: int,
        timers: TimerQueue,
        clock: Clock,
        owners: Callable[[], Mapping[str, int]],
        measure: Callable[[], int | None] = resident_bytes,
    ) -> None:
        self.limit_bytes = limit_mb * MB
        self.largest_bytes = 0
        self._timers = timers
        self._clock = clock
        self._owners = owners
        self._measure = measure
        self._is_high = False

    def start(self) -> None:
        """Sample now and at each interval from now on, and log the first sample."""
        self._sample_by_timer()
        log.info("memory", resident_mb=_in_mb(self.largest_bytes), limit_mb=self.limit_bytes // MB)

    def sample(self) -> int | None:
        """Return the resident size in bytes, and log if it has come near the limit or has left it."""
        resident = self._measure()
        if resident is None:
            return None
        self.largest_bytes = max(self.largest_bytes, resident)
        is_high = resident > (LOW_FRACTION if self._is_high else HIGH_FRACTION) * self.limit_bytes
        if is_high != self._is_high:
            self._is_high = is_high
            event = "memory is near the limit" if is_high else "memory is no longer near the limit"
            log.warning(
                event, resident_mb=_in_mb(resident), limit_mb=self.limit_bytes // MB, **self._owners()
            )
        return resident

    def totals(self) -> dict[str, float]:
        """Return the fields for the log line at the exit."""
        return {"largest_resident_mb": _in_mb(self.largest_bytes)}

    def _sample_by_timer(self) -> None:
        self.sample()
        self._timers.add(self._clock() + SAMPLE_INTERVAL_NS, self._sample_by_timer)


def _in_mb(size: int) -> float:
    return round(size / MB, 1)
