"""Options of open sockets, what the kernel knows of them, and closing."""

import select
import socket
import sys
from collections.abc import Iterable
from contextlib import suppress

import anyio

TCP_INFO_LAST_DATA_RECEIVED = slice(52, 56)  # of struct tcp_info: tcpi_last_data_recv, milliseconds
NANOSECONDS_PER_MS = 1_000_000


def set_no_delay(sock: socket.socket) -> None:
    """Send small writes at once; where that can't be set, the connection is used all the same."""
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def close(sock: socket.socket) -> None:
    """Close now; tasks that wait on the socket get ClosedResourceError."""
    if sock.fileno() >= 0:
        anyio.notify_closing(sock)
        sock.close()


def is_idle_and_alive(sock: socket.socket) -> bool:
    """Return whether nothing is there to be read: no byte, no end of the stream, no error."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        return False
    return False


def half_closed(socks: Iterable[socket.socket]) -> set[int]:
    """Return the descriptors of those whose peer ended its sending, whatever is still to be read."""
    poll = select.poll()
    for sock in socks:
        poll.register(sock, select.POLLRDHUP)
    return {number for number, _ in poll.poll(0)}


def data_age_ns(sock: socket.socket) -> int:
    """Return how long ago the last data arrived, by the kernel (tcp(7), TCP_INFO); 0: unknown."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_LAST_DATA_RECEIVED.stop)
    except OSError:
        return 0
    return int.from_bytes(info[TCP_INFO_LAST_DATA_RECEIVED], sys.byteorder) * NANOSECONDS_PER_MS


def nothing_to_read(sock: socket.socket) -> bool:
    """Return whether the socket holds no byte that a close would lose."""
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except OSError:
        return True
