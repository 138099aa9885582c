"""The protocol-independent part of a listener: accepting connections and evicting idle ones."""

import errno
import socket
from collections.abc import Callable, Sequence
from enum import StrEnum
from typing import Generic, TypeVar

import anyio
import anyio.abc
import structlog

from runloft.config.settings import Config
from runloft.core.model import Event
from runloft.core.permissions import CloseReason
from runloft.core.timers import TimerQueue
from runloft.listeners.connection import ClientConnection
from runloft.net.loop_activity import LOOP_ACTIVITY, Work
from runloft.net.process_memory import MemoryOwner, ProcessMemory
from runloft.net.socket_state import set_no_delay
from runloft.net.timing import Clock, pause
from runloft.net.turns import TurnQueue

log = structlog.get_logger()
ACCEPT_RETRY_S = 0.02  # pause after connections could not be accepted
ACCEPT_BURST = 4  # connections accepted in a row before other tasks run
PRESSURE_FRACTION = 1 / 3  # share of max_sockets above which idle connections are evicted
CLIENT_FRACTION = 1 / 2  # share of max_sockets that clients may use
CLIENT_MEMORY_FRACTION = 2 / 3  # share of the spare memory that clients' connections may use
MIN_CLIENTS = 8  # connections that memory doesn't prevent
RECENT_ACTIVITY_NS = 100_000_000  # no eviction within this time of connecting or of a response
EVICTION_BATCH = 8  # connections evicted at a time, since finding candidates scans all clients
MAX_FAILED_ACCEPTS = 64  # failures of accept(2) in one ``accept_waiting`` before a pause
# Errors of accept(2) that concern the connection at the head of the queue, not the listener or the machine.
CONNECTION_ERRORS = frozenset(
    (
        errno.ECONNABORTED,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.EINTR,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.EPROTO,
        errno.ETIMEDOUT,
    )
)


class ClientLimit(StrEnum):
    """What limits the number of a listener's connections; the value is a metric label."""

    MEMORY = "memory"
    DESCRIPTORS = "descriptors"


ClientT = TypeVar("ClientT", bound=ClientConnection)


class ListenerBase(Generic[ClientT]):
    """A listener of one protocol; ``clients`` holds its open connections.

    It closes accepted sockets that can't be set up; every other one is owned by its connection.
    """

    connection_bytes = 12 << 10  # memory of a connection besides its buffers and requests

    def __init__(
        self,
        task_group: anyio.abc.TaskGroup,
        post: Callable[[Event], None],
        timers: TimerQueue,
        clock: Clock,
        config: Config,
        memory: ProcessMemory | None = None,
        turns: TurnQueue | None = None,
    ) -> None:
        self.task_group = task_group
        self.turns = turns or TurnQueue(task_group)
        self.post = post
        self.timers = timers
        self.clock = clock
        self.clients: set[ClientT] = set()
        self.stopping = False
        self.has_backlog = False  # whether connections may be waiting in the kernel's accept queue
        self.memory = memory or ProcessMemory()
        self.memory.add_owner(
            MemoryOwner.CLIENT_CONNECTIONS, lambda: len(self.clients) * self.connection_bytes
        )
        self.configure(config)

    def configure(self, config: Config) -> None:
        """Apply the limits of this configuration."""
        listener_count = 2 if config.objects else 1
        by_sockets = int(config.max_sockets * CLIENT_FRACTION) // listener_count
        client_memory = int(config.spare_bytes * CLIENT_MEMORY_FRACTION) // listener_count
        by_memory = max(MIN_CLIENTS, client_memory // self.connection_bytes)
        self.clients_limited_by = ClientLimit.MEMORY if by_memory < by_sockets else ClientLimit.DESCRIPTORS
        self.max_clients = min(by_sockets, by_memory)
        self.pressure_threshold = int(self.max_clients * PRESSURE_FRACTION / CLIENT_FRACTION)

    def new_client(self, sock: socket.socket) -> ClientT:
        """Return the connection that serves an accepted socket."""
        raise NotImplementedError

    def eviction_candidates(self) -> Sequence[ClientT]:
        """Return the connections that can be closed without losing a response, in order of eviction."""
        return ()

    def is_under_connection_pressure(self) -> bool:
        """Return whether there are so many clients that idle connections time out sooner."""
        return len(self.clients) > self.pressure_threshold // 2

    def has_room(self) -> bool:
        """Return whether there is memory for another connection."""
        return len(self.clients) < MIN_CLIENTS or self.memory.has_room(self.connection_bytes)

    def relieve_memory(self) -> None:
        """Close idle connections if the process uses more memory than it may."""
        if self.memory.is_exceeded():
            with LOOP_ACTIVITY.slice(Work.MEMORY_RELIEF):
                self.evict_idle()

    def evict_slow(self) -> None:
        """Fail connections whose command has been incomplete for long, to make room for others."""

    def evict_idle(self) -> None:
        """Close up to ``EVICTION_BATCH`` idle connections; one with an unanswered request is never closed."""
        evicted = 0
        for client in self.eviction_candidates():
            if evicted >= EVICTION_BATCH:
                return
            evicted += client.close_if_permitted(CloseReason.EVICTED)

    async def accept(self, listening_socket: socket.socket) -> None:
        """Accept connections until the listening socket is closed; log any other failure and retry."""
        while listening_socket.fileno() >= 0:
            try:
                with LOOP_ACTIVITY.slice(Work.ACCEPT):
                    has_accepted_all = self.accept_waiting(listening_socket, ACCEPT_BURST)
                if not has_accepted_all:
                    # At the client limit or out of descriptors: further connections wait in the kernel.
                    await pause(self.timers, self.clock, ACCEPT_RETRY_S)
                await anyio.sleep(0)
                await anyio.wait_readable(listening_socket)
            except (OSError, ValueError, anyio.ClosedResourceError) as error:
                if listening_socket.fileno() < 0:
                    return
                log.warning("accept loop failed, retrying", error=str(error))
                await pause(self.timers, self.clock, ACCEPT_RETRY_S)

    def accept_waiting(self, listening_socket: socket.socket, max_count: int | None = None) -> bool:
        """Accept queued connections, at most ``max_count``; return False if others may have to wait.

        True without ``max_count`` means that the accept queue is empty. A listening socket may be closed only
        then: closing it resets the connections that are still queued.
        Raise OSError if the listening socket is closed.
        """
        count = 0
        failed = 0
        while max_count is None or count < max_count:
            count += 1
            if not self._make_room():
                self.has_backlog = True
                return False
            try:
                sock, _ = listening_socket.accept()
            except BlockingIOError:
                self.has_backlog = False
                return True
            except OSError as error:
                if listening_socket.fileno() < 0:
                    raise
                self.has_backlog = True
                failed += 1
                if error.errno in CONNECTION_ERRORS and failed < MAX_FAILED_ACCEPTS:
                    continue  # only this connection failed; others may be queued behind it
                # Running out of descriptors is temporary and must not end the listener.
                log.warning("accepting a connection failed", error=str(error))
                return False
            self._admit(sock)
        return True

    def _make_room(self) -> bool:
        """Return whether another connection may be accepted, after closing others if there are many."""
        if len(self.clients) < self.pressure_threshold and not self._is_full():
            return True
        self.evict_idle()
        if not self._is_full():
            return True
        self.evict_slow()
        return not self._is_full()

    def _is_full(self) -> bool:
        return len(self.clients) >= self.max_clients or not self.has_room()

    def _admit(self, sock: socket.socket) -> None:
        """Start serving an accepted connection; if its set-up fails, close it and go on."""
        try:
            sock.setblocking(False)
            set_no_delay(sock)
            client = self.new_client(sock)
        except OSError as error:
            log.warning("setting up an accepted connection failed", error=str(error))
            sock.close()
            return
        self.clients.add(client)
        self.task_group.start_soon(self._serve, client)

    async def _serve(self, client: ClientT) -> None:
        """Run a connection; an unexpected exception closes only this connection."""
        try:
            await client.run()
        except Exception:
            log.exception("unexpected exception in a client connection")
            client.close(CloseReason.FAULT)
