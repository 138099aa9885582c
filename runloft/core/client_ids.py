"""Client-chosen request ids, which must be unique among the requests of one protocol.

An id stays reserved for a while after its request is released, because a node would deduplicate a second
request with the same id against the first, or execute it beside the first.
"""

import heapq
from typing import NamedTuple

RETENTION_NS = 2_000_000_000  # how long an id stays reserved after its request can't be executed any more


class ClientRequestId(NamedTuple):
    """A client-chosen request id, unique among the requests of one protocol."""

    protocol: str
    id: bytes


class _Reservation(NamedTuple):
    """The id of a released request, with the time until which it is reserved."""

    expires_at: int
    client_id: ClientRequestId


class ClientRequestIds:
    """The ids of pending and of recently released requests.

    Requests that were served and requests that a node may still execute are limited separately, so that a
    flood of served requests doesn't end the reservations of the others.
    """

    def __init__(self) -> None:
        self._known: set[ClientRequestId] = set()
        # Heaps, the reservation that expires first at the front.
        self._served: list[_Reservation] = []
        self._may_be_executed: list[_Reservation] = []

    def __len__(self) -> int:
        return len(self._known)

    def __contains__(self, client_id: ClientRequestId) -> bool:
        return client_id in self._known

    def add(self, client_id: ClientRequestId) -> None:
        """Record the id of an admitted request."""
        self._known.add(client_id)

    def release(self, client_id: ClientRequestId, now: int, may_be_executed_until: int | None) -> None:
        """Record the release of a request; its id stays reserved for ``RETENTION_NS``.

        If a node may still execute the request, the time counts from ``may_be_executed_until``.
        """
        if may_be_executed_until is None:
            heapq.heappush(self._served, _Reservation(now + RETENTION_NS, client_id))
        else:
            expires_at = max(now, may_be_executed_until) + RETENTION_NS
            heapq.heappush(self._may_be_executed, _Reservation(expires_at, client_id))

    def expire(self, now: int, max_released: int) -> None:
        """Remove the reservations that have expired, and the first to expire beyond ``max_released`` each."""
        for reservations in (self._served, self._may_be_executed):
            while reservations and (reservations[0].expires_at < now or len(reservations) > max_released):
                self._known.discard(heapq.heappop(reservations).client_id)
