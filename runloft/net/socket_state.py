"""Options, state and closing of open sockets."""

import select
import socket
import sys
from collections.abc import Iterable
from contextlib import suppress

import anyio

TCP_INFO_LAST_DATA_RECEIVED = slice(52, 56)  # tcpi_last_data_recv in struct tcp_info, in milliseconds
NANOSECONDS_PER_MS = 1_000_000


def set_no_delay(sock: socket.socket) -> None:
    """Set TCP_NODELAY, so that small writes are sent at once; ignore a failure to set it."""
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def close(sock: socket.socket) -> None:
    """Close the socket; tasks that wait on it get ClosedResourceError."""
    if sock.fileno() >= 0:
        anyio.notify_closing(sock)
        sock.close()


def is_idle_and_alive(sock: socket.socket) -> bool:
    """Return whether the socket has nothing to read: no byte, no end of the stream and no error."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        return False
    return False


def half_closed(descriptors: Iterable[int]) -> set[int]:
    """Return the descriptors of sockets that failed or whose peer stopped sending, even with unread data."""
    poll = select.poll()
    for descriptor in descriptors:
        poll.register(descriptor, select.POLLRDHUP)
    return {descriptor for descriptor, _ in poll.poll(0)}


def is_writable(sock: socket.socket) -> bool:
    """Return whether the socket takes bytes now; False once it is closed."""
    descriptor = sock.fileno()
    if descriptor < 0:
        return False
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return any(events & select.POLLOUT for _, events in poll.poll(0))


def data_age_ns(sock: socket.socket) -> int:
    """Return the time since the kernel received the last data (TCP_INFO in tcp(7)), or 0 if it is unknown."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_LAST_DATA_RECEIVED.stop)
    except OSError:
        return 0
    return int.from_bytes(info[TCP_INFO_LAST_DATA_RECEIVED], sys.byteorder) * NANOSECONDS_PER_MS


def nothing_to_read(sock: socket.socket) -> bool:
    """Return whether the socket has no unread byte, which a close would discard."""
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except OSError:
        return True
