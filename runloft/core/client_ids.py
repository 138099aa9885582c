"""Identifiers that clients give their requests: no two requests of a protocol may share one.

An identifier stays known for a while after its request is complete: a node would take a second request
that bears it for a copy of the first.
"""

from collections import deque
from typing import NamedTuple

RETENTION_NS = 2_000_000_000  # how long the identifier of a completed request stays known


class ClientRequestId(NamedTuple):
    """A request's identifier, which is unique among the requests of one protocol."""

    wire: str
    id: bytes


class _ReleasedId(NamedTuple):
    """The identifier of a request that was released at this time."""

    released_at: int
    client_id: ClientRequestId


class ClientRequestIds:
    """The identifiers of pending requests, and of those that were released a short while ago."""

    def __init__(self) -> None:
        self._known: set[ClientRequestId] = set()
        self._released: deque[_ReleasedId] = deque()

    def __len__(self) -> int:
        return len(self._known)

    def __contains__(self, client_id: ClientRequestId) -> bool:
        return client_id in self._known

    def add(self, client_id: ClientRequestId) -> None:
        """Record the identifier of a request that has been admitted."""
        self._known.add(client_id)

    def release(self, client_id: ClientRequestId, now: int) -> None:
        """Record that the identifier's request is released; it stays known for ``RETENTION_NS``."""
        self._released.append(_ReleasedId(now, client_id))

    def expire(self, now: int, max_released: int) -> None:
        """Remove the identifiers that were released too long ago, and the oldest beyond ``max_released``."""
        released = self._released
        while released and (released[0].released_at < now - RETENTION_NS or len(released) > max_released):
            self._known.discard(released.popleft().client_id)
