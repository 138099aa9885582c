"""The object API's listener: it accepts connections and holds what they share."""

import contextlib
import socket
from collections.abc import Callable

import anyio.abc

from runloft.config.settings import Config, ObjectSettings
from runloft.core.model import Event
from runloft.core.timers import TimerQueue
from runloft.listeners.accepting import RECENT_ACTIVITY_NS, ListenerBase
from runloft.listeners.connection import ClientConnection
from runloft.listeners.objects.connection import ObjectClient
from runloft.listeners.objects.limits import BODY_MEMORY_DIVISOR
from runloft.listeners.objects.placement import PlaceDirectory
from runloft.listeners.objects.translation import RequestTranslator
from runloft.net.memory_budget import MemoryBudget
from runloft.net.timing import Clock, within
from runloft.placement.store import PlacementStore


class ObjectListener(ListenerBase[ObjectClient]):
    """The listener of the object API; the shared store belongs to the caller."""

    def __init__(
        self,
        task_group: anyio.abc.TaskGroup,
        post: Callable[[Event], None],
        timers: TimerQueue,
        clock: Clock,
        config: Config,
        settings: ObjectSettings,
        store: PlacementStore,
    ) -> None:
        self.bodies = MemoryBudget(0)
        self.places = PlaceDirectory(store)
        self.translator = RequestTranslator(config, settings)
        self.max_body_bytes = settings.max_body
        super().__init__(task_group, post, timers, clock, config)

    def configure(self, config: Config) -> None:
        """Apply the volumes, classes and limits of this configuration from now on."""
        super().configure(config)
        if config.objects:
            self.translator = RequestTranslator(config, config.objects)
            self.max_body_bytes = config.objects.max_body
            self.bodies.resize(max(config.spare_bytes // BODY_MEMORY_DIVISOR, config.objects.max_body))

    def new_client(self, sock: socket.socket) -> ObjectClient:
        """Return the connection that serves an accepted socket."""
        return ObjectClient(self, sock)

    def forget(self, client: ClientConnection) -> None:
        """Remove a closed connection."""
        self.clients.discard(client)

    def eviction_candidates(self) -> list[ObjectClient]:
        """Return the connections between requests, those that never sent one first."""
        # Prevents the loss of requests on their way, and of last responses: a reset would discard either.
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
        """Raise TimeoutError when what is inside takes longer."""
        return within(self.timers, self.clock, seconds)

    def stop(self, last: bool = False) -> None:
        """Close clients between requests; one with a request closes after its response."""
        self.stopping = True
        for client in list(self.clients):
            client.close_if_idle()
