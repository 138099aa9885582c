"""Errors of the discovery watch."""

import anyio
import h11

from runloft.errors import RunloftError
from runloft.net.addresses import SocketAddress


class MessageError(RunloftError, ValueError):
    """A message of the watch is malformed, cut off or too long."""


class WatchStatusError(RunloftError, OSError):
    """Discovery at ``peer`` answered a watch request with an HTTP status other than 200."""

    def __init__(self, status: int, peer: SocketAddress) -> None:
        super().__init__(f"discovery at {peer[0]}:{peer[1]} returned HTTP status {status}, expected 200")
        self.status = status
        self.peer = peer


class WatchSilentError(RunloftError, OSError):
    """Discovery at ``peer`` sent nothing for ``silent_s`` seconds, and the call was closed."""

    def __init__(self, silent_s: float, peer: SocketAddress) -> None:
        super().__init__(f"discovery at {peer[0]}:{peer[1]} was silent for {silent_s:.1f} s")
        self.silent_s = silent_s
        self.peer = peer


# Errors caused by the connection to discovery or by the data received from it; the watch is reopened then.
WATCH_ERRORS = (
    ArithmeticError,
    OSError,
    RecursionError,
    TypeError,
    ValueError,
    h11.ProtocolError,
    anyio.ClosedResourceError,
)
