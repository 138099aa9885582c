"""Errors of the discovery watch."""

import anyio
import h11

from runloft.errors import RunloftError
from runloft.net.addresses import SocketAddress


class MessageError(RunloftError, ValueError):
    """The bytes of a watch can't become a message."""


class WatchStatusError(RunloftError, OSError):
    """Discovery at ``peer`` answered a watch request with an HTTP status other than 200."""

    def __init__(self, status: int, peer: SocketAddress) -> None:
        super().__init__(f"discovery at {peer[0]}:{peer[1]} answered {status}")
        self.status = status
        self.peer = peer


# What discovery may do to a watch; whatever it is, the watch is opened again.
WATCH_ERRORS = (
    ArithmeticError,
    OSError,
    RecursionError,
    TypeError,
    ValueError,
    h11.ProtocolError,
    anyio.ClosedResourceError,
)
