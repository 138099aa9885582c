"""Clients' sockets for sinks without a connection of their own."""

import socket

_CONNECTED, _PEER = socket.socketpair()  # stay open as long as the tests run


def open_descriptor():
    """Return the descriptor of a socket whose peer is connected."""
    return _CONNECTED.fileno()
