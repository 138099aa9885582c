"""Errors of upstream connections."""

import errno

from runloft.errors import RunloftError

# What connect(2) reports of this machine: it says nothing of the node, which has not seen a packet.
LOCAL_CONNECT_ERRORS = frozenset(
    (
        errno.EACCES,
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EMFILE,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EPERM,
    )
)


class UpstreamProtocolError(RunloftError, ValueError):
    """A node sent bytes that its protocol does not allow."""

    def __init__(self, message: str, peer: str) -> None:
        super().__init__(message)
        self.peer = peer


class UnwritableRequestError(RunloftError, ValueError):
    """A request can't be expressed on this wire."""

    def __init__(self, message: str, peer: str) -> None:
        super().__init__(message)
        self.peer = peer
