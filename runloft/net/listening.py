"""Listening sockets; the caller closes the sockets opened here."""

import errno
import socket
from collections.abc import Awaitable, Callable

import anyio
import structlog

from runloft.net.addresses import SocketAddress

log = structlog.get_logger()
BACKLOG = 1024
MAX_LISTEN_ATTEMPTS = 60
LISTEN_RETRY_INTERVAL_S = 0.05
PERMANENT_LISTEN_ERRORS = frozenset((errno.EACCES, errno.EPERM, errno.EAFNOSUPPORT))


def open_listener(address: SocketAddress, backlog: int = BACKLOG) -> socket.socket:
    """Return a non-blocking socket that listens on ``address``."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(backlog)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


async def open_listener_with_retry(
    address: SocketAddress, pause: Callable[[float], Awaitable[object]] = anyio.sleep
) -> socket.socket:
    """Return a listening socket; retry for up to 3 s after errors that may be temporary.

    A previous process listens on the same address for half a second after its shutdown begins.
    """
    for _ in range(MAX_LISTEN_ATTEMPTS):
        try:
            return open_listener(address)
        except OSError as error:
            if error.errno in PERMANENT_LISTEN_ERRORS:
                raise
            log.warning("opening a listening socket failed, will retry", error=str(error))
            await pause(LISTEN_RETRY_INTERVAL_S)
    return open_listener(address)
