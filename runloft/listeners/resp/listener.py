"""The RESP2 listener: accepts connections, polls the paused ones and limits the memory of all."""

import socket
from collections.abc import Callable

import anyio.abc

from runloft.config.settings import OPEN_REQUEST_BYTES, Config
from runloft.core.model import Event
from runloft.core.permissions import CloseReason
from runloft.core.timers import TimerQueue
from runloft.listeners.accepting import EVICTION_BATCH, RECENT_ACTIVITY_NS, ListenerBase
from runloft.listeners.connection import DISCONNECT_POLL_INTERVAL_NS
from runloft.listeners.resp.commands import CommandTranslator
from runloft.listeners.resp.connection import RespClient
from runloft.listeners.resp.lifetime import ClientLifetime
from runloft.listeners.resp.limits import (
    INPUT_MEMORY_DIVISOR,
    MAX_UNWRITTEN_BYTES,
    MEMORY_CHECK_BYTES,
    OUTPUT_MEMORY_DIVISOR,
    OUTPUT_SHARE_DIVISOR,
    QUEUE_MEMORY_DIVISOR,
    READ_AHEAD_CONTINUE_NS,
    READ_AHEAD_ITERATION_BYTES,
    SLOW_COMMAND_NS,
)
from runloft.listeners.resp.memory import MemoryAccount
from runloft.net.loop_activity import LOOP_ACTIVITY, Work
from runloft.net.process_memory import MemoryOwner, ProcessMemory
from runloft.net.socket_state import half_closed
from runloft.net.timing import Clock
from runloft.net.turns import TurnQueue


def no_queued_bytes() -> int:
    """Return 0: the core processes each event at once."""
    return 0


def _fail_incomplete(client: ClientLifetime) -> None:
    """Fail a client's incomplete command, and close the connection at once if no response can be lost."""
    has_sent_command = client.has_sent_command or client.reader.has_complete_command()
    client.fail("no room for this command")
    if not has_sent_command:
        client.close(CloseReason.PROTOCOL_ERROR)


class RespListener(ListenerBase[RespClient]):
    """The listener of the platform's protocol.

    ``queued_request_bytes`` returns the memory of the posted requests that the core has not processed yet.
    """

    def __init__(
        self,
        task_group: anyio.abc.TaskGroup,
        post: Callable[[Event], None],
        timers: TimerQueue,
        clock: Clock,
        config: Config,
        queued_request_bytes: Callable[[], int] = no_queued_bytes,
        memory: ProcessMemory | None = None,
        turns: TurnQueue | None = None,
    ) -> None:
        self._queued_request_bytes = queued_request_bytes
        self.paused_clients: set[ClientLifetime] = set()  # clients whose input is not being read
        self.input_memory = MemoryAccount()
        self.output_memory = MemoryAccount()
        self._is_poll_scheduled = False
        self._checked_input_bytes = 0  # the least input since the process's memory was checked
        super().__init__(task_group, post, timers, clock, config, memory, turns)
        self.memory.add_owner(MemoryOwner.CLIENT_INPUT, lambda: self.input_memory.used_bytes)
        self.memory.add_owner(MemoryOwner.RESPONSES, lambda: self.output_memory.used_bytes)

    def configure(self, config: Config) -> None:
        """Apply the names and limits of this configuration."""
        super().configure(config)
        self.translator = CommandTranslator(config)
        self.input_memory.max_bytes = config.spare_bytes // INPUT_MEMORY_DIVISOR
        self.max_queued_bytes = config.spare_bytes // QUEUE_MEMORY_DIVISOR
        self.output_memory.max_bytes = config.spare_bytes // OUTPUT_MEMORY_DIVISOR

    def new_client(self, sock: socket.socket) -> RespClient:
        """Return the connection that serves an accepted socket."""
        return RespClient(self, sock)

    def may_post(self) -> bool:
        """Return whether another request may be posted before the core has processed the earlier ones.

        The core limits the requests that it holds, but only when it has seen them.
        """
        return self._queued_request_bytes() < self.max_queued_bytes

    def may_start(self, buffered_bytes: int) -> bool:
        """Return whether there is memory for a request with so many bytes to forward."""
        return self.memory.has_room(OPEN_REQUEST_BYTES + buffered_bytes)

    def max_unwritten_bytes(self) -> int:
        """Return how much a connection's responses may use before its next command is processed."""
        if not self.output_memory.is_half_used():
            return MAX_UNWRITTEN_BYTES
        even_share = self.output_memory.max_bytes // max(1, len(self.clients))
        return min(MAX_UNWRITTEN_BYTES, even_share // OUTPUT_SHARE_DIVISOR)

    def forget(self, client: ClientLifetime) -> None:
        """Remove a closed connection."""
        self.clients.discard(client)
        self.paused_clients.discard(client)

    def watch_paused(self, client: ClientLifetime) -> None:
        """Poll for a disconnect of a client whose input is not being read."""
        if client.closed:  # it was closed in this event-loop iteration
            return
        self.paused_clients.add(client)
        if not self._is_poll_scheduled:
            self._schedule_poll()

    def unwatch(self, client: ClientLifetime) -> None:
        """Stop polling for a disconnect of this client."""
        self.paused_clients.discard(client)

    def enforce_input_memory_limit(self) -> None:
        """Fail incomplete commands if input exceeds its limit, or has grown beyond the process's."""
        input_bytes = self.input_memory.used_bytes
        self._checked_input_bytes = min(self._checked_input_bytes, input_bytes)
        has_grown = input_bytes > self._checked_input_bytes + MEMORY_CHECK_BYTES
        if has_grown or self.input_memory.is_exceeded():
            self._checked_input_bytes = input_bytes
            self._fail_incomplete_commands()

    def _fail_incomplete_commands(self) -> None:
        """Fail incomplete commands, least recently active client first, until the limits are kept."""
        excess = max(self.input_memory.excess_bytes(), self.memory.excess_bytes())
        if excess <= 0:
            return
        # Closing connections release their input soon.
        excess -= sum(client.reader.memory_bytes() for client in self.clients if client.is_closing)
        candidates = [
            client
            for client in self.clients
            if client.reader.incomplete_since is not None and not client.is_closing
        ]
        for client in sorted(candidates, key=lambda client: client.last_activity_at):
            if excess <= 0:
                return
            excess -= client.reader.memory_bytes()
            _fail_incomplete(client)

    def relieve_memory(self) -> None:
        """Close idle connections and fail incomplete commands if the process uses too much memory."""
        super().relieve_memory()
        with LOOP_ACTIVITY.slice(Work.MEMORY_RELIEF):
            self._fail_incomplete_commands()

    def evict_slow(self) -> None:
        """Fail the commands that have been incomplete for longest, up to ``EVICTION_BATCH`` of them.

        A command whose next bytes are in the socket already is not slow: this process is.
        """
        slow_since = self.clock() - SLOW_COMMAND_NS
        slow = [
            client
            for client in self.clients
            if client.reader.has_been_incomplete_since(slow_since)
            and not (client.is_closing or client.has_unread_input())
        ]
        slow.sort(key=lambda client: client.reader.incomplete_since or 0)
        for client in slow[:EVICTION_BATCH]:
            _fail_incomplete(client)

    def enforce_output_memory_limit(self) -> None:
        """Close clients while unwritten responses exceed their memory limit, the largest first."""
        unwritten = {client: client.unwritten_bytes() for client in self.clients}
        excess = sum(unwritten.values()) - self.output_memory.max_bytes
        for client in sorted(unwritten, key=lambda client: -unwritten[client]):
            if excess <= 0:
                return
            excess -= unwritten[client]
            client.close(CloseReason.NOT_READING)

    def eviction_candidates(self) -> list[RespClient]:
        """Return the idle connections: lingering first, then those without commands or with errors."""
        # A request or the last response may still be in flight on a recently active connection; a reset would
        # discard it.
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

    def stop(self, final: bool = False) -> None:
        """Close idle clients now, and the others once their responses are written.

        ``final``: read no further commands, also of busy clients, and close after the pending responses.
        """
        self.stopping = True
        for client in list(self.clients):
            if final:
                client.close_after_responses()
            else:
                client.close_if_idle()

    def _schedule_poll(self, delay_ns: int = DISCONNECT_POLL_INTERVAL_NS) -> None:
        self._is_poll_scheduled = True
        self.timers.add(self.clock() + delay_ns, self._poll_paused)

    def _poll_paused(self) -> None:
        """Close the paused clients that have disconnected, and read ahead on the others."""
        disconnected = half_closed(client.sock.fileno() for client in self.paused_clients)
        remaining = READ_AHEAD_ITERATION_BYTES
        for client in list(self.paused_clients):
            if client.sock.fileno() in disconnected:
                client.close(CloseReason.CLIENT_DISCONNECTED)
            elif remaining > 0:
                remaining -= self._read_ahead(client, remaining)
        self._is_poll_scheduled = False
        if self.paused_clients:
            self._schedule_poll(DISCONNECT_POLL_INTERVAL_NS if remaining > 0 else READ_AHEAD_CONTINUE_NS)

    @staticmethod
    def _read_ahead(client: ClientLifetime, max_bytes: int) -> int:
        """Read ahead while the client has unanswered requests; return how many bytes were read.

        Only those could still be forwarded after a close that lies behind the input.
        """
        if client.is_closing or client.closed:
            return 0
        if not client.pipeline.unanswered():
            client.reader.record_unread_input()
            return 0
        with LOOP_ACTIVITY.slice(Work.READ_AHEAD, client.number) as work:
            count = client.reader.read_ahead(max_bytes)
            work.input_bytes = count or 0
        if count is None:
            client.close(CloseReason.CLIENT_DISCONNECTED)
        return count or 0
