"""Errors of upstream connections."""

import errno

from runloft.errors import RunloftError

# Errors of connect(2) with a local cause: no packet reached the node, so they say nothing about its health.
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
    """A node sent bytes that violate its protocol."""

    def __init__(self, message: str, peer: str) -> None:
        super().__init__(message)
        self.peer = peer


class UnwritableRequestError(RunloftError, ValueError):
    """A request can't be encoded in this wire protocol."""

    def __init__(self, message: str, peer: str) -> None:
        super().__init__(message)
        self.peer = peer
