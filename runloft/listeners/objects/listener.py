"""The object API's listener: accepts connections and holds what they share."""

import contextlib
import socket
from collections.abc import Callable

import anyio.abc

from runloft.config.settings import Config, ObjectSettings
from runloft.core.model import Event
from runloft.core.timers import TimerQueue
from runloft.listeners.accepting import RECENT_ACTIVITY_NS, ListenerBase
from runloft.listeners.connection import MAX_READ_AHEAD_BYTES, ClientConnection
from runloft.listeners.objects.connection import ObjectClient
from runloft.listeners.objects.limits import BODY_MEMORY_DIVISOR, READ_AHEAD_MEMORY_DIVISOR
from runloft.listeners.objects.placement import PlacementDirectory
from runloft.listeners.objects.translation import RequestTranslator
from runloft.net.memory_budget import MemoryBudget
from runloft.net.process_memory import MemoryOwner, ProcessMemory
from runloft.net.timing import Clock, within
from runloft.net.turns import TurnQueue
from runloft.placement.store import PlacementStore


class ObjectListener(ListenerBase[ObjectClient]):
    """The listener of the object API; the caller owns the shared store."""

    connection_bytes = 32 << 10

    def __init__(
        self,
        task_group: anyio.abc.TaskGroup,
        post: Callable[[Event], None],
        timers: TimerQueue,
        clock: Clock,
        config: Config,
        settings: ObjectSettings,
        store: PlacementStore,
        memory: ProcessMemory | None = None,
        turns: TurnQueue | None = None,
    ) -> None:
        self.body_budget = MemoryBudget(0)
        self.placements = PlacementDirectory(store)
        self.translator = RequestTranslator(config, settings)
        self.max_body_bytes = settings.max_body
        super().__init__(task_group, post, timers, clock, config, memory, turns)
        self.memory.add_owner(MemoryOwner.BODIES, self.body_budget.used_bytes)

    def configure(self, config: Config) -> None:
        """Apply the volumes, classes and limits of this configuration."""
        super().configure(config)
        self._read_ahead_budget = config.spare_bytes // READ_AHEAD_MEMORY_DIVISOR
        if config.objects:
            self.translator = RequestTranslator(config, config.objects)
            self.max_body_bytes = config.objects.max_body
            self.body_budget.resize(max(config.spare_bytes // BODY_MEMORY_DIVISOR, config.objects.max_body))

    def new_client(self, sock: socket.socket) -> ObjectClient:
        """Return the connection that serves an accepted socket."""
        return ObjectClient(self, sock)

    def max_read_ahead_bytes(self) -> int:
        """Return how much of a connection's input may be read while one of its requests is being served."""
        return min(MAX_READ_AHEAD_BYTES, self._read_ahead_budget // max(1, len(self.clients)))

    def forget(self, client: ClientConnection) -> None:
        """Remove a closed connection."""
        self.clients.discard(client)

    def eviction_candidates(self) -> list[ObjectClient]:
        """Return the idle connections: lingering first, then those that never sent a request."""
        # A request or the last response may still be in flight on a recently active connection; a reset would
        # discard it.
        active_since = self.clock() - RECENT_ACTIVITY_NS
        idle = [
            client
            for client in self.clients
            if client.lingering or not (client.is_serving or client.last_activity_at > active_since)
        ]
        return sorted(
            idle,
            key=lambda client: (not client.lingering, client.has_sent_request, client.last_activity_at),
        )

    def within(self, seconds: float) -> contextlib.AbstractContextManager[None]:
        """Raise TimeoutError if the body of the ``with`` statement takes longer."""
        return within(self.timers, self.clock, seconds)

    def stop(self, final: bool = False) -> None:
        """Close idle clients now, and the others after their response."""
        self.stopping = True
        for client in list(self.clients):
            client.close_if_idle()
