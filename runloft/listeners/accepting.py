"""The part of a listener that does not depend on its protocol: accepting, and evicting idle connections."""

import errno
import socket
from collections.abc import Callable, Sequence
from typing import Generic, TypeVar

import anyio
import anyio.abc
import structlog

from runloft.config.settings import Config
from runloft.core.model import Event
from runloft.core.permissions import CloseReason
from runloft.core.timers import TimerQueue
from runloft.listeners.connection import ClientConnection
from runloft.net.socket_state import set_no_delay
from runloft.net.timing import Clock, pause

log = structlog.get_logger()
ACCEPT_RETRY_S = 0.02  # pause after accepting was not possible
ACCEPT_BURST = 16  # connections accepted in a row before the event loop serves the others
PRESSURE_FRACTION = 1 / 3  # of all descriptors, for clients: above it idle connections are evicted
CLIENT_FRACTION = 1 / 2  # of all descriptors: the most that clients may take
RECENT_ACTIVITY_NS = 100_000_000  # a client is not evicted this soon after it connected or got a response
EVICTION_BATCH = 8  # connections closed at a time: finding them costs a look at all
MAX_FAILED_ACCEPTS = 64  # connections in a row that may fail in accept(2) before there is a pause
# What accept(2) reports of the connection at the head of the queue, not of the listener or the machine.
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

ClientT = TypeVar("ClientT", bound=ClientConnection)


class ListenerBase(Generic[ClientT]):
    """A listener of one protocol; ``clients`` holds its open connections.

    It closes the sockets that it accepts but can't serve; all others belong to their connection.
    """

    def __init__(
        self,
        task_group: anyio.abc.TaskGroup,
        post: Callable[[Event], None],
        timers: TimerQueue,
        clock: Clock,
        config: Config,
    ) -> None:
        self.task_group = task_group
        self.post = post
        self.timers = timers
        self.clock = clock
        self.clients: set[ClientT] = set()
        self.stopping = False
        self.backlog_waits = False  # whether connections have waited in the kernel's queue, as far as known
        self.configure(config)

    def configure(self, config: Config) -> None:
        """Apply the limits of this configuration from now on."""
        listener_count = 2 if config.objects else 1
        self.pressure_threshold = int(config.max_sockets * PRESSURE_FRACTION) // listener_count
        self.max_clients = int(config.max_sockets * CLIENT_FRACTION) // listener_count

    def new_client(self, sock: socket.socket) -> ClientT:
        """Return the connection that serves an accepted socket."""
        raise NotImplementedError

    def eviction_candidates(self) -> Sequence[ClientT]:
        """Return the connections whose close loses no response, the least useful first."""
        return ()

    def is_under_connection_pressure(self) -> bool:
        """Return whether there are so many connections that idle ones are closed sooner."""
        return len(self.clients) > self.pressure_threshold // 2

    def evict_idle(self) -> None:
        """Close some of the least useful connections, but none with a request on its way."""
        evicted = 0
        for client in self.eviction_candidates():
            if evicted >= EVICTION_BATCH:
                return
            if client.may_close(CloseReason.EVICTED):
                client.close(CloseReason.EVICTED)
                evicted += 1

    async def accept(self, listening_socket: socket.socket) -> None:
        """Accept until the listening socket is closed; any other failure is logged and tried again."""
        while listening_socket.fileno() >= 0:
            try:
                if not self.accept_waiting(listening_socket, ACCEPT_BURST):
                    # Full or out of descriptors: the rest waits in the kernel.
                    await pause(self.timers, self.clock, ACCEPT_RETRY_S)
                await anyio.sleep(0)
                await anyio.wait_readable(listening_socket)
            except (OSError, ValueError, anyio.ClosedResourceError) as error:
                if listening_socket.fileno() < 0:
                    return
                log.warning("accepting failed and goes on", error=str(error))
                await pause(self.timers, self.clock, ACCEPT_RETRY_S)

    def accept_waiting(self, listening_socket: socket.socket, max_count: int | None = None) -> bool:
        """Accept all connections that wait, or ``max_count``; return False if more may wait than fit.

        True without ``max_count`` means that the queue was seen empty: only then may a listener be closed.
        Raise OSError if the listening socket is closed.
        """
        count = 0
        failed = 0
        while max_count is None or count < max_count:
            count += 1
            if len(self.clients) >= self.pressure_threshold:
                self.evict_idle()
            if len(self.clients) >= self.max_clients:
                self.backlog_waits = True
                return False
            try:
                sock, _ = listening_socket.accept()
            except BlockingIOError:
                self.backlog_waits = False
                return True
            except OSError as error:
                if listening_socket.fileno() < 0:
                    raise
                self.backlog_waits = True
                failed += 1
                if error.errno in CONNECTION_ERRORS and failed < MAX_FAILED_ACCEPTS:
                    continue  # it concerns this connection alone: others wait behind it
                # Prevents the listener's end: running out of descriptors is no reason to stop for good.
                log.warning("accept", error=str(error))
                return False
            self._admit(sock)
        return True

    def _admit(self, sock: socket.socket) -> None:
        """Begin to serve an accepted connection; a failure of this one does not concern the others."""
        try:
            sock.setblocking(False)
            set_no_delay(sock)
            client = self.new_client(sock)
        except OSError as error:
            log.warning("an accepted connection can't be served", error=str(error))
            sock.close()
            return
        self.clients.add(client)
        self.task_group.start_soon(self._serve, client)

    async def _serve(self, client: ClientT) -> None:
        """Run a connection; an unexpected exception in it closes this connection alone."""
        try:
            await client.run()
        except Exception:
            log.exception("client")
            client.close(CloseReason.FAULT)
