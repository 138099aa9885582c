"""Socket operations for the soak's stand-ins and clients."""

import socket
import struct
import time

import anyio
import anyio.abc

from runloft.net.socket_state import data_age_ns

NS_PER_S = 1e9
LINGER_ZERO = struct.pack("ii", 1, 0)  # closing sends a reset, see socket(7)


def raw_socket_of(stream: anyio.abc.SocketStream) -> socket.socket:
    """Return the socket of a stream."""
    raw: socket.socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    return raw


def arrival_of(stream: anyio.abc.SocketStream) -> float:
    """Return when the latest data arrived according to the kernel, as the event loop may read it late."""
    return time.monotonic() - data_age_ns(raw_socket_of(stream)) / NS_PER_S


def reset_on_close(stream: anyio.abc.SocketStream) -> None:
    """Make closing the stream send a reset."""
    raw_socket_of(stream).setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
