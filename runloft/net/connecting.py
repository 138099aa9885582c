"""Outgoing connections; the caller closes the sockets opened here."""

import os
import socket

import anyio
import anyio.lowlevel

from runloft.errors import RunloftError
from runloft.net.addresses import SocketAddress
from runloft.net.socket_state import set_no_delay


class ConnectError(RunloftError, OSError):
    """A connection to ``peer`` could not be established; ``errno`` gives the cause."""

    def __init__(self, number: int, peer: SocketAddress) -> None:
        super().__init__(number, os.strerror(number))
        self.peer = peer

    def __str__(self) -> str:
        return f"connecting to {self.peer[0]}:{self.peer[1]}: [Errno {self.errno}] {self.strerror}"


def new_client_socket() -> socket.socket:
    """Return a non-blocking socket for ``connect``."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    set_no_delay(sock)
    return sock


async def connect(sock: socket.socket, peer: SocketAddress) -> None:
    """Connect to ``peer`` and wait for the result; raise OSError if it fails."""
    # Prevents a lost wake-up if this socket reuses a closed one's descriptor: the task that waited on the
    # closed socket has to run first, since it removes the registration for that descriptor.
    await anyio.lowlevel.checkpoint()
    try:
        sock.connect(peer)
    except (BlockingIOError, InterruptedError):  # in progress, even if a signal interrupted the call
        await anyio.wait_writable(sock)
        error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_number:
            raise ConnectError(error_number, peer) from None
    except OSError as error:
        raise ConnectError(error.errno or 0, peer) from error
