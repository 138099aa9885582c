"""Socket operations of the soak's stand-ins and clients."""

import socket
import struct
import time

import anyio
import anyio.abc

from runloft.net.sockets import data_age_ns

NS_PER_S = 1e9
LINGER_NONE = struct.pack("ii", 1, 0)  # a close sends a reset; see socket(7)


def raw_socket_of(stream: anyio.abc.SocketStream) -> socket.socket:
    """Return the socket of a stream."""
    raw: socket.socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    return raw


def arrival_of(stream: anyio.abc.SocketStream) -> float:
    """Return when the newest data arrived, by the kernel: this program's own loop may read it late."""
    return time.monotonic() - data_age_ns(raw_socket_of(stream)) / NS_PER_S


def reset_on_close(stream: anyio.abc.SocketStream) -> None:
    """Let the stream end with a reset once it is closed."""
    raw_socket_of(stream).setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
