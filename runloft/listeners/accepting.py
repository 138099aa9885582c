"""What both fronts do alike: accept connections, and part with the least useful ones in a crowd."""

import errno
import socket
from collections.abc import Callable, Sequence
from typing import Generic, Protocol, TypeVar

import anyio
import anyio.abc
import structlog

from runloft.config.settings import Config
from runloft.core.model import Event
from runloft.core.permissions import CloseReason
from runloft.core.timers import TimerQueue
from runloft.net.sockets import no_delay
from runloft.net.timing import Clock, pause

log = structlog.get_logger()
FULL_S = 0.02  # pause in accepting
BURST = 16  # connections accepted in a row; then the clients that are there have their turn
CROWD_PART = 1 / 3  # of all descriptors, for clients: beyond it those go that can be spared
CLIENT_PART = 1 / 2  # at most, while each of them is owed an answer
FRESH_NS = 100_000_000  # after connecting, or an answer: so long a client is not parted with to make room
PART_WITH = 8  # connections closed at a time: finding them costs a look at all
MOST_FAILED = 64  # connections in a row that accept may report as failed before there is a pause
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


class Connected(Protocol):
    """A client's connection."""

    sock: socket.socket

    async def run(self) -> None:
        """Serve it until it is over."""

    def may_close(self, reason: CloseReason) -> bool:
        """Whether the guard permits to close it for this reason."""

    def end(self, reason: CloseReason = CloseReason.FAULT) -> None:
        """Close it."""


C = TypeVar("C", bound=Connected)


class AcceptingFront(Generic[C]):
    """A listening side; ``clients`` holds its open connections."""

    def __init__(
        self,
        group: anyio.abc.TaskGroup,
        post: Callable[[Event], None],
        deadlines: TimerQueue,
        clock: Clock,
        config: Config,
    ) -> None:
        self.group, self.post, self.deadlines, self.clock = group, post, deadlines, clock
        self.clients: set[C] = set()
        self.stopping = False
        self.was_full = False  # connections have waited in the kernel's queue, so far as is known
        self.configure(config)

    def configure(self, config: Config) -> None:
        """Go by this configuration from now on."""
        fronts = 2 if config.objects else 1
        self.crowd = int(config.max_sockets * CROWD_PART) // fronts
        self.most_clients = int(config.max_sockets * CLIENT_PART) // fronts

    def new_client(self, sock: socket.socket) -> C:
        """Make a client of an accepted socket."""
        raise NotImplementedError

    def spared(self) -> Sequence[C]:
        """Those whose close costs nobody an answer, the least useful first."""
        return ()

    def is_crowded(self) -> bool:
        """Whether connections are so many that an idle one is one too many."""
        return len(self.clients) > self.crowd // 2

    def make_room(self) -> None:
        """Close some of the least useful connections, but none that has just asked for something."""
        closed = 0
        for client in self.spared():
            if closed >= PART_WITH:
                return
            if client.may_close(CloseReason.EVICTED):
                client.end(CloseReason.EVICTED)
                closed += 1

    async def accept(self, listener: socket.socket) -> None:
        """Accept until the listener closes; whatever else fails is logged and tried again."""
        while listener.fileno() >= 0:
            try:
                if not self.accept_waiting(listener, BURST):
                    # Full or out of descriptors: the rest waits in the kernel.
                    await pause(self.deadlines, self.clock, FULL_S)
                await anyio.sleep(0)
                await anyio.wait_readable(listener)
            except (OSError, ValueError, anyio.ClosedResourceError) as error:
                if listener.fileno() < 0:
                    return
                log.warning("accepting failed and goes on", error=str(error))
                await pause(self.deadlines, self.clock, FULL_S)

    def accept_waiting(self, listener: socket.socket, most: int | None = None) -> bool:
        """Accept what is there, or so many; False while more may wait than could be accepted.

        True without ``most`` means that the queue was seen empty: only then may a listener close.
        """
        count = failed = 0
        while most is None or count < most:
            count += 1
            if len(self.clients) >= self.crowd:
                self.make_room()
            if len(self.clients) >= self.most_clients:
                self.was_full = True
                return False
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                self.was_full = False
                return True
            except OSError as error:
                if listener.fileno() < 0:
                    raise
                self.was_full = True
                failed += 1
                if error.errno in CONNECTION_ERRORS and failed < MOST_FAILED:
                    continue  # it says something of this connection alone: others wait behind it
                # Guards the listener: no descriptor left is no reason to stop accepting for good.
                log.warning("accept", error=str(error))
                return False
            self._admit(sock)
        return True

    def _admit(self, sock: socket.socket) -> None:
        """Serve an accepted connection; a fault in this one says nothing of the others."""
        try:
            sock.setblocking(False)
            no_delay(sock)
            client = self.new_client(sock)
        except OSError as error:
            log.warning("an accepted connection can't be served", error=str(error))
            sock.close()
            return
        self.clients.add(client)
        self.group.start_soon(self._serve, client)

    async def _serve(self, client: C) -> None:
        """Guard the program: a fault that one client's bytes bring to light ends that client alone."""
        try:
            await client.run()
        except Exception:
            log.exception("client")
            client.end(CloseReason.FAULT)
