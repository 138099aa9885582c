"""Interfaces of listeners and upstream connection pools to the event loop, reload and graceful shutdown."""

import socket
from collections.abc import Collection
from dataclasses import dataclass
from typing import Protocol

from runloft.config.settings import Config
from runloft.core.model import Dispatch, NodeUpdate


class Configurable(Protocol):
    """A component whose limits or settings can change while it runs."""

    def configure(self, config: Config) -> None:
        """Apply this configuration from now on."""


class Upstream(Configurable, Protocol):
    """The connections of one protocol to the storage nodes."""

    def dispatch(self, order: Dispatch) -> None:
        """Write an attempt to its node."""

    def abandon(self, attempt: int) -> None:
        """Close an attempt's connection, if it belongs to this upstream."""

    def relieve_memory(self) -> None:
        """Close idle connections if the process uses more memory than it may."""

    def open_count(self) -> int:
        """Return the number of open connections."""

    def update_nodes(self, nodes: tuple[NodeUpdate, ...]) -> None:
        """Apply changes of the node list."""

    def close(self) -> None:
        """Close all connections."""


class Listener(Configurable, Protocol):
    """The client side of one protocol."""

    @property
    def max_clients(self) -> int:
        """The number of connections that are accepted at most."""

    @property
    def clients_limited_by(self) -> str:
        """What ``max_clients`` follows from, as a metric label."""

    @property
    def clients(self) -> Collection[object]:
        """The open client connections."""

    async def accept(self, listening_socket: socket.socket) -> None:
        """Accept connections until the listening socket is closed."""

    def accept_waiting(self, listening_socket: socket.socket) -> bool:
        """Accept the connections queued by the kernel; return False if some may still be queued."""

    def relieve_memory(self) -> None:
        """Free memory if the process uses more than it may."""

    def stop(self, final: bool = False) -> None:
        """Close connections as they become idle; with `final`, those of clients that keep sending too."""


@dataclass(frozen=True, slots=True)
class ClientConnectionLimit:
    """How many connections a listener accepts, and whether memory or descriptors limit them."""

    listener: str
    limited_by: str
    max_clients: int


@dataclass(frozen=True, slots=True)
class ListeningEndpoint:
    """A listener and the socket from which it accepts connections."""

    listener: Listener
    socket: socket.socket
