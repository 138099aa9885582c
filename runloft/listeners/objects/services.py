"""What a connection of the object API uses of its listener."""

import contextlib
from collections.abc import Callable
from typing import Protocol

from runloft.core.model import Event
from runloft.core.timers import TimerQueue
from runloft.listeners.connection import ClientConnection
from runloft.listeners.objects.placement import PlaceDirectory
from runloft.listeners.objects.translation import RequestTranslator
from runloft.net.memory_budget import MemoryBudget
from runloft.net.timing import Clock


class ListenerServices(Protocol):
    """The listener, as its connections see it."""

    post: Callable[[Event], None]
    timers: TimerQueue
    clock: Clock
    stopping: bool
    bodies: MemoryBudget
    max_body_bytes: int
    translator: RequestTranslator
    places: PlaceDirectory

    def within(self, seconds: float) -> contextlib.AbstractContextManager[None]:
        """Raise TimeoutError when what is inside takes longer."""

    def forget(self, client: ClientConnection) -> None:
        """Remove a closed connection."""
