"""What both fronts do alike: accept connections, as many as there is room for."""

import socket
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

import anyio
import anyio.abc
import structlog

from runloft.core.deadlines import Deadlines
from runloft.core.model import Event
from runloft.net.timing import Clock, pause
from runloft.settings import Config

log = structlog.get_logger()
FULL_S = 0.02  # pause in accepting
CLIENT_PART = 0.5  # of all descriptors, for clients of all fronts


class Connected(Protocol):
    """A client's connection."""

    async def run(self) -> None:
        """Serve it until it is over."""


C = TypeVar("C", bound=Connected)


class AcceptingFront(Generic[C]):
    """A listening side; ``clients`` holds its open connections."""

    def __init__(
        self,
        group: anyio.abc.TaskGroup,
        post: Callable[[Event], None],
        deadlines: Deadlines,
        clock: Clock,
        config: Config,
    ) -> None:
        self.group, self.post, self.deadlines, self.clock = group, post, deadlines, clock
        self.clients: set[C] = set()
        self.stopping = False
        self.configure(config)

    def configure(self, config: Config) -> None:
        """Go by this configuration from now on."""
        part = CLIENT_PART / 2 if config.objects else CLIENT_PART
        self.most_clients = int(config.max_sockets * part)

    def new_client(self, sock: socket.socket) -> C:
        """Make a client of an accepted socket."""
        raise NotImplementedError

    def make_room(self) -> bool:
        """Close a client that can be spared; whether there was one."""
        return False

    async def accept(self, listener: socket.socket) -> None:
        """Accept until the listener closes."""
        while True:
            try:
                if not self.accept_waiting(listener):
                    # Full or out of descriptors: the rest waits in the kernel.
                    await pause(self.deadlines, self.clock, FULL_S)
                await anyio.wait_readable(listener)
            except (OSError, ValueError, anyio.ClosedResourceError):
                return

    def accept_waiting(self, listener: socket.socket) -> bool:
        """Accept what is there; whether there was room for all of it."""
        while True:
            if len(self.clients) >= self.most_clients and not self.make_room():
                return False
            try:
                sock, _ = listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return True
            except OSError as error:
                if listener.fileno() < 0:
                    raise
                # Guards the listener: no descriptor left is no reason to stop accepting for good.
                log.warning("accept", error=str(error))
                return False
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            client = self.new_client(sock)
            self.clients.add(client)
            self.group.start_soon(client.run)
