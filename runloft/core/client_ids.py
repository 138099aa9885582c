"""Client-chosen request ids, which must be unique among the requests of one protocol.

An id stays reserved for a while after its request is released, because a node would deduplicate a second
request with the same id against the first.
"""

from collections import deque
from typing import NamedTuple

RETENTION_NS = 2_000_000_000  # how long the id of a released request stays reserved


class ClientRequestId(NamedTuple):
    """A client-chosen request id, unique among the requests of one protocol."""

    protocol: str
    id: bytes


class _ReleasedId(NamedTuple):
    """The id of a released request, with the time of its release."""

    released_at: int
    client_id: ClientRequestId


class ClientRequestIds:
    """The ids of pending and of recently released requests."""

    def __init__(self) -> None:
        self._known: set[ClientRequestId] = set()
        self._released: deque[_ReleasedId] = deque()

    def __len__(self) -> int:
        return len(self._known)

    def __contains__(self, client_id: ClientRequestId) -> bool:
        return client_id in self._known

    def add(self, client_id: ClientRequestId) -> None:
        """Record the id of an admitted request."""
        self._known.add(client_id)

    def release(self, client_id: ClientRequestId, now: int) -> None:
        """Record the release of a request; its id stays reserved for ``RETENTION_NS``."""
        self._released.append(_ReleasedId(now, client_id))

    def expire(self, now: int, max_released: int) -> None:
        """Remove released ids older than ``RETENTION_NS``, and the oldest beyond ``max_released``."""
        released = self._released
        while released and (released[0].released_at < now - RETENTION_NS or len(released) > max_released):
            self._known.discard(released.popleft().client_id)
