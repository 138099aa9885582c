"""What does not depend on the protocol in a client's connection: noticing a disconnect, and closing."""

import socket
from abc import ABC, abstractmethod

from runloft.core import permissions
from runloft.core.counters import COUNTERS, CounterName
from runloft.core.invariants import INVARIANTS
from runloft.core.permissions import CloseReason
from runloft.net.socket_state import close, half_closed, nothing_to_read

DISCONNECT_POLL_S = 0.04  # between looks whether a client that is not read has disconnected
DISCONNECT_POLL_NS = int(DISCONNECT_POLL_S * 1e9)
FREE_ERRORS = 4  # errors in a row on one connection before it is slowed down
SLOWDOWN_S = 0.01  # first pause between requests of such a connection; it doubles with each further error
MAX_SLOWDOWN_S = 0.25
LINGER_BYTES = 256 << 10  # input that is still read, and dropped, after the last response


def slowdown_s(errors: int) -> float:
    """Return the seconds to wait before the next request of a connection with this many errors in a row."""
    excess = errors - FREE_ERRORS
    return min(MAX_SLOWDOWN_S, SLOWDOWN_S * 2.0**excess) if excess > 0 else 0.0


def has_half_closed(sock: socket.socket) -> bool:
    """Return whether the other side ended its sending, even if some input is still to be read."""
    return bool(half_closed((sock,)))


class ClientConnection(ABC):
    """An accepted connection. It owns its socket from the moment it is made, and closes it once."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.closed = False
        self.lingering = False  # the last response is out; further input is dropped

    @abstractmethod
    async def run(self) -> None:
        """Serve the connection until it is over, and close it."""

    @abstractmethod
    def may_close(self, reason: CloseReason) -> bool:
        """Return whether the connection may be closed for this reason now."""

    @abstractmethod
    def unanswered_count(self) -> int:
        """Return how many requests of this connection have no final response yet."""

    @abstractmethod
    def log_ids(self) -> dict[str, str | int]:
        """Return the fields that identify this connection in a log line."""

    @abstractmethod
    def release(self, reason: CloseReason, unanswered: int) -> None:
        """Leave the listener and release what else the connection holds; called once the socket is closed."""

    def has_unread_input(self) -> bool:
        """Return whether input waits in the socket that a close would lose."""
        return not nothing_to_read(self.sock)

    def close(self, reason: CloseReason = CloseReason.FAULT) -> None:
        """Close the connection, count it by its reason and report a close that loses a request or input."""
        if self.closed:
            return
        unanswered = self.unanswered_count()
        is_caused_here = reason not in permissions.CAUSED_BY_CLIENT
        loses_input = is_caused_here and not self.lingering and self.has_unread_input()
        INVARIANTS.check_close(unanswered, loses_input, is_caused_here, **self.log_ids(), reason=str(reason))
        COUNTERS.add(CounterName.CLIENT_CONNECTIONS_CLOSED, reason)
        self.closed = True
        close(self.sock)
        self.release(reason, unanswered)
