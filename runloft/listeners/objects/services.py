"""The listener's interface for the connections of the object API."""

import contextlib
from collections.abc import Callable
from typing import Protocol

from runloft.core.model import Event
from runloft.core.timers import TimerQueue
from runloft.listeners.connection import ClientConnection
from runloft.listeners.objects.placement import PlacementDirectory
from runloft.listeners.objects.translation import RequestTranslator
from runloft.net.memory_budget import MemoryBudget
from runloft.net.timing import Clock
from runloft.net.turns import TurnQueue


class ListenerServices(Protocol):
    """The listener's attributes and methods that its connections use."""

    post: Callable[[Event], None]
    timers: TimerQueue
    clock: Clock
    stopping: bool
    body_budget: MemoryBudget
    max_body_bytes: int
    translator: RequestTranslator
    placements: PlacementDirectory
    turns: TurnQueue

    def within(self, seconds: float) -> contextlib.AbstractContextManager[None]:
        """Raise TimeoutError if the body of the ``with`` statement takes longer."""

    def max_read_ahead_bytes(self) -> int:
        """Return how much of a connection's input may be read while one of its requests is being served."""

    def forget(self, client: ClientConnection) -> None:
        """Remove a closed connection."""
