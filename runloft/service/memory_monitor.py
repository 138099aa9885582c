"""Sampling of the process's resident size, with a log line when it comes near the memory limit."""

from collections.abc import Callable, Mapping

import structlog

from runloft.core.timers import TimerQueue
from runloft.net.process_memory import ProcessMemory
from runloft.net.timing import Clock

log = structlog.get_logger()
SAMPLE_INTERVAL_NS = 50_000_000
HIGH_FRACTION = 0.95  # of the limit; a sample above it is logged
LOW_FRACTION = 0.9  # a sample below it ends the state that was logged
MB = 1 << 20


class MemoryMonitor:
    """Samples the resident size by a timer, and has memory freed if more is used than may be.

    ``state_sizes`` returns the sizes of the state that grows with peers, for the log line.
    """

    def __init__(
        self,
        memory: ProcessMemory,
        timers: TimerQueue,
        clock: Clock,
        state_sizes: Callable[[], Mapping[str, int]],
        relieve: Callable[[], None],
    ) -> None:
        self.largest_bytes = 0
        self._memory = memory
        self._timers = timers
        self._clock = clock
        self._state_sizes = state_sizes
        self._relieve = relieve
        self._is_high = False

    def start(self) -> None:
        """Sample now and at each interval from now on, and log the first sample."""
        self._sample_by_timer()
        memory = self._memory
        log.info(
            "memory",
            resident_mb=_in_mb(memory.resident_bytes),
            spare_mb=_in_mb(memory.spare_bytes),
            limit_mb=memory.limit_bytes // MB,
        )

    def sample(self) -> None:
        """Measure the resident size, and log if it has come near the limit or has left it."""
        memory = self._memory
        resident = memory.sample()
        if resident is None:
            return
        self.largest_bytes = max(self.largest_bytes, resident)
        is_high = resident > (LOW_FRACTION if self._is_high else HIGH_FRACTION) * memory.limit_bytes
        if is_high != self._is_high:
            self._is_high = is_high
            event = "memory is near the limit" if is_high else "memory is no longer near the limit"
            self._log_state(event, resident)

    def totals(self) -> dict[str, float]:
        """Return the fields for the log line at the exit."""
        return {"largest_resident_mb": _in_mb(self.largest_bytes)}

    def _log_state(self, event: str, resident: int) -> None:
        memory = self._memory
        used_by_owner = {str(owner): used for owner, used in memory.used_by_owner().items() if used}
        log.warning(
            event,
            resident_mb=_in_mb(resident),
            limit_mb=memory.limit_bytes // MB,
            capacity_mb=_in_mb(memory.capacity_bytes),
            used_bytes=used_by_owner,
            **self._state_sizes(),
        )

    def _sample_by_timer(self) -> None:
        self.sample()
        self._relieve()
        self._timers.add(self._clock() + SAMPLE_INTERVAL_NS, self._sample_by_timer)


def _in_mb(size: int) -> float:
    return round(size / MB, 1)
