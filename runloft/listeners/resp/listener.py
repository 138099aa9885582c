"""The RESP2 listener: it accepts connections, watches the unread ones and bounds the memory of all."""

import socket
from collections.abc import Callable

import anyio.abc

from runloft.config.settings import Config
from runloft.core.model import Event
from runloft.core.permissions import CloseReason
from runloft.core.timers import TimerQueue
from runloft.listeners.accepting import RECENT_ACTIVITY_NS, ListenerBase
from runloft.listeners.connection import DISCONNECT_POLL_NS
from runloft.listeners.resp.commands import CommandTranslator
from runloft.listeners.resp.connection import RespClient
from runloft.listeners.resp.lifetime import ClientLifetime
from runloft.listeners.resp.limits import INPUT_MEMORY_DIVISOR, OUTPUT_MEMORY_DIVISOR
from runloft.listeners.resp.reading import InputMemory
from runloft.net.socket_state import half_closed
from runloft.net.timing import Clock


class RespListener(ListenerBase[RespClient]):
    """The listener of the platform's protocol."""

    def __init__(
        self,
        task_group: anyio.abc.TaskGroup,
        post: Callable[[Event], None],
        timers: TimerQueue,
        clock: Clock,
        config: Config,
    ) -> None:
        self.unread_clients: set[ClientLifetime] = set()  # clients that are not read for now
        self.input_memory = InputMemory()
        self._is_poll_due = False  # whether a look at the unread clients is scheduled
        super().__init__(task_group, post, timers, clock, config)

    def configure(self, config: Config) -> None:
        """Apply the names and limits of this configuration from now on."""
        super().configure(config)
        self.translator = CommandTranslator(config)
        self.input_memory.max_bytes = config.spare_bytes // INPUT_MEMORY_DIVISOR
        self.max_output_bytes = config.spare_bytes // OUTPUT_MEMORY_DIVISOR

    def new_client(self, sock: socket.socket) -> RespClient:
        """Return the connection that serves an accepted socket."""
        return RespClient(self, sock)

    def forget(self, client: ClientLifetime) -> None:
        """Remove a closed connection."""
        self.clients.discard(client)
        self.unread_clients.discard(client)

    def watch_unread(self, client: ClientLifetime) -> None:
        """Look from time to time whether a client that is not read has disconnected."""
        if client.closed:  # in the same event-loop iteration in which it would have been watched
            return
        self.unread_clients.add(client)
        if not self._is_poll_due:
            self._schedule_poll()

    def unwatch(self, client: ClientLifetime) -> None:
        """End the looks that ``watch_unread`` began."""
        self.unread_clients.discard(client)

    def relieve_input_memory(self) -> None:
        """Fail incomplete commands while they take too much memory, the longest inactive client first."""
        while self.input_memory.is_exceeded():
            candidates = [
                client
                for client in self.clients
                if client.reader.partial_since is not None and not client.is_closing
            ]
            if not candidates:
                return
            longest_inactive = min(candidates, key=lambda client: client.last_activity_at)
            longest_inactive.fail("no room for this command")
            if not longest_inactive.pipeline:
                longest_inactive.close(CloseReason.PROTOCOL_ERROR)

    def relieve_output_memory(self) -> None:
        """Close clients that do not read while responses take too much memory, the largest first."""
        unwritten = {
            client: client.writer.outbox.size + client.pipeline.pending_bytes for client in self.clients
        }
        while sum(unwritten.values()) > self.max_output_bytes:
            largest = max(unwritten, key=lambda client: unwritten[client])
            del unwritten[largest]
            largest.close(CloseReason.NOT_READING)

    def eviction_candidates(self) -> list[RespClient]:
        """Return the connections whose close loses no response, the least useful first."""
        # Prevents the loss of requests on their way, and of last responses: a reset would discard either.
        active_since = self.clock() - RECENT_ACTIVITY_NS
        idle = [
            client
            for client in self.clients
            if client.lingering
            or not (client.pipeline or client.writer.outbox.size or client.last_activity_at > active_since)
        ]
        return sorted(
            idle,
            key=lambda client: (
                not client.lingering,
                client.has_sent_command and not client.errors,
                client.last_activity_at,
            ),
        )

    def stop(self, last: bool = False) -> None:
        """Close clients between requests, now and as their responses go out.

        ``last``: read nothing more of the clients that are not idle either, and close after their responses.
        """
        self.stopping = True
        for client in list(self.clients):
            if last:
                client.close_after_responses()
            else:
                client.close_if_idle()

    def _schedule_poll(self) -> None:
        self._is_poll_due = True
        self.timers.add(self.clock() + DISCONNECT_POLL_NS, self._close_disconnected)

    def _close_disconnected(self) -> None:
        """Close the unread clients that have disconnected, and read ahead of the others."""
        disconnected = half_closed(client.sock for client in self.unread_clients)
        for client in list(self.unread_clients):
            if client.sock.fileno() in disconnected or not self._read_ahead(client):
                client.close(CloseReason.CLIENT_DISCONNECTED)
        self._is_poll_due = False
        if self.unread_clients:
            self._schedule_poll()

    @staticmethod
    def _read_ahead(client: ClientLifetime) -> bool:
        """Read without processing; return False if the client has left. Closing clients are not read."""
        return client.is_closing or client.closed or client.reader.read_ahead()
