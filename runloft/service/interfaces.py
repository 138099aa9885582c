"""What the event loop, reload and graceful shutdown expect of listeners and upstream connection pools."""

import socket
from collections.abc import Collection
from dataclasses import dataclass
from typing import Protocol

from runloft.config.settings import Config
from runloft.core.model import Dispatch, NodeUpdate


class Configurable(Protocol):
    """A component whose limits or settings may change while it runs."""

    def configure(self, config: Config) -> None:
        """Apply this configuration from now on."""


class Upstream(Configurable, Protocol):
    """The connections to storage nodes that speak one protocol."""

    def dispatch(self, order: Dispatch) -> None:
        """Write an attempt to its node."""

    def abandon(self, attempt: int) -> None:
        """Close an attempt's connection, if this upstream has it."""

    def update_nodes(self, nodes: tuple[NodeUpdate, ...]) -> None:
        """Handle changes of the node list."""

    def close(self) -> None:
        """Close all connections."""


class Listener(Configurable, Protocol):
    """The clients' side of one protocol."""

    @property
    def clients(self) -> Collection[object]:
        """Return the open client connections."""

    async def accept(self, listener: socket.socket) -> None:
        """Accept connections until the listening socket is closed."""

    def accept_waiting(self, listener: socket.socket) -> bool:
        """Accept what the kernel has queued; return False while more may wait than could be accepted."""

    def stop(self, last: bool = False) -> None:
        """Close connections between two requests; with `last`, those of clients that go on sending too."""


@dataclass(frozen=True, slots=True)
class ListeningEndpoint:
    """A listener and the listening socket that it accepts from."""

    listener: Listener
    socket: socket.socket
