"""Time limits and pauses, which use the same timer queue as all other timers."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio

from runloft.core.timers import TimerQueue

Clock = Callable[[], int]
NANOSECONDS_PER_SECOND = 1e9


@contextmanager
def within(deadlines: TimerQueue, clock: Clock, seconds: float) -> Iterator[None]:
    """Raise TimeoutError if the body takes longer than ``seconds``."""
    with anyio.CancelScope() as scope:
        timer = deadlines.add(clock() + int(seconds * NANOSECONDS_PER_SECOND), scope.cancel)
        try:
            yield
        finally:
            deadlines.discard(timer)
    if scope.cancelled_caught:
        raise TimeoutError(f"not finished within {seconds:g} s")


async def pause(deadlines: TimerQueue, clock: Clock, seconds: float) -> None:
    """Wait for ``seconds`` by ``clock``."""
    elapsed = anyio.Event()
    deadlines.add(clock() + int(seconds * NANOSECONDS_PER_SECOND), elapsed.set)
    await elapsed.wait()
