"""Waiting with a limit; the limits stand in the one structure of deadlines like all others."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio

from runloft.core.timers import TimerQueue

Clock = Callable[[], int]


@contextmanager
def within(deadlines: TimerQueue, clock: Clock, seconds: float) -> Iterator[None]:
    """Raise TimeoutError when what is inside takes longer."""
    with anyio.CancelScope() as scope:
        mark = deadlines.add(clock() + int(seconds * 1e9), scope.cancel)
        try:
            yield
        finally:
            deadlines.discard(mark)
    if scope.cancelled_caught:
        raise TimeoutError("it took too long")


async def pause(deadlines: TimerQueue, clock: Clock, seconds: float) -> None:
    """Wait so long."""
    over = anyio.Event()
    deadlines.add(clock() + int(seconds * 1e9), over.set)
    await over.wait()
