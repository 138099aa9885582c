"""The protocol-independent part of a client connection: detecting a disconnect, and closing."""

import socket
from abc import ABC, abstractmethod

from runloft.core import permissions
from runloft.core.counters import COUNTERS, CounterName
from runloft.core.invariants import INVARIANTS
from runloft.core.permissions import CloseReason
from runloft.net.socket_state import close, half_closed, nothing_to_read

DISCONNECT_POLL_INTERVAL_S = 0.04  # for clients whose input is not being read
DISCONNECT_POLL_INTERVAL_NS = int(DISCONNECT_POLL_INTERVAL_S * 1e9)
ERRORS_BEFORE_SLOWDOWN = 4  # in a row on one connection
SLOWDOWN_S = 0.01  # base of the pause, doubled for each error beyond those
MAX_SLOWDOWN_S = 0.25
MAX_READ_AHEAD_BYTES = 4 << 20  # of one connection; a close behind more input than this is not seen
LINGER_BYTES = 256 << 10  # input that is read and dropped after the last response


def slowdown_s(errors: int) -> float:
    """Return the seconds to wait before the next request of a connection with this many errors in a row."""
    excess = errors - ERRORS_BEFORE_SLOWDOWN
    return min(MAX_SLOWDOWN_S, SLOWDOWN_S * 2.0**excess) if excess > 0 else 0.0


def has_half_closed(sock: socket.socket) -> bool:
    """Return whether the peer has shut down its sending side, even if input is still unread."""
    return bool(half_closed((sock.fileno(),)))


class ClientConnection(ABC):
    """An accepted connection, which owns its socket and closes it once."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.closed = False
        self.lingering = False  # the last response is written; further input is dropped

    @abstractmethod
    async def run(self) -> None:
        """Serve the connection until it ends, and close it."""

    @abstractmethod
    def may_close(self, reason: CloseReason) -> bool:
        """Return whether the connection may be closed now for this reason."""

    @abstractmethod
    def unanswered_count(self) -> int:
        """Return how many requests of this connection have no final response yet."""

    @abstractmethod
    def log_ids(self) -> dict[str, str | int]:
        """Return the fields that identify this connection in a log line."""

    @abstractmethod
    def release(self, reason: CloseReason, unanswered: int) -> None:
        """Leave the listener and free the connection's resources; called after the socket is closed."""

    def has_unread_input(self) -> bool:
        """Return whether the socket holds unread input, which a close would lose."""
        return not nothing_to_read(self.sock)

    def close_if_permitted(self, reason: CloseReason) -> bool:
        """Close the connection unless a request or input would be lost; return whether it was closed.

        The socket is looked at once: input that arrives between that and the close crosses the close, and the
        client sends it again.
        """
        if self.closed or not self.may_close(reason):
            return False
        self._close(reason, loses_input=False)
        return True

    def close(self, reason: CloseReason = CloseReason.FAULT) -> None:
        """Close the connection, count the reason, and report a violation if a request or input is lost."""
        if self.closed:
            return
        is_caused_here = reason not in permissions.CAUSED_BY_CLIENT
        self._close(reason, is_caused_here and not self.lingering and self.has_unread_input())

    def _close(self, reason: CloseReason, loses_input: bool) -> None:
        unanswered = self.unanswered_count()
        is_caused_here = reason not in permissions.CAUSED_BY_CLIENT
        INVARIANTS.check_close(unanswered, loses_input, is_caused_here, **self.log_ids(), reason=str(reason))
        COUNTERS.add(CounterName.CLIENT_CONNECTIONS_CLOSED, reason)
        self.closed = True
        close(self.sock)
        self.release(reason, unanswered)
