"""Hedged watch calls: several are in flight until the first one is answered."""

import anyio
import structlog

from runloft.core.timers import TimerQueue
from runloft.discovery.errors import WATCH_ERRORS
from runloft.discovery.watch_call import WatchCall
from runloft.net.timing import NANOSECONDS_PER_SECOND, Clock

log = structlog.get_logger()


class CallRace:
    """Concurrent watch calls; ``answered`` is the first one that received a response.

    The race closes all other calls; the caller closes the answered one.
    """

    def __init__(self, deadlines: TimerQueue, clock: Clock) -> None:
        self.deadlines = deadlines
        self.clock = clock
        self.answered: WatchCall | None = None
        self.failed_calls = 0
        self._changed = anyio.Event()

    async def run(self, call: WatchCall, timeout_ns: int) -> None:
        """Open a call; close it unless it is the first one that is answered."""
        try:
            await call.open(timeout_ns)
            self.answered = self.answered or call
        except WATCH_ERRORS as error:
            log.info("watch request to discovery failed", error=repr(error))
        finally:
            if self.answered is not call:
                call.close()
                self.failed_calls += 1
            self._changed.set()

    async def wait(self, seconds: float, failed_calls: int | None = None) -> None:
        """Wait until a call is answered, ``seconds`` have passed or ``failed_calls`` calls have failed."""
        ends_at = self.clock() + int(seconds * NANOSECONDS_PER_SECOND)
        while not self._is_decided(failed_calls) and self.clock() < ends_at:
            changed = self._changed = anyio.Event()
            timer = self.deadlines.add(ends_at, changed.set)
            try:
                await changed.wait()
            finally:
                self.deadlines.discard(timer)

    def _is_decided(self, failed_calls: int | None) -> bool:
        return self.answered is not None or (failed_calls is not None and self.failed_calls >= failed_calls)
