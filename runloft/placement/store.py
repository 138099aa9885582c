"""The placement store, which maps objects and uploads to shards in a Redis shared by all sidecars.

Each placement is one key (``records``).  What depends on a placement that was read before is written by
``update``, so that it can't undo what another sidecar has written since.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from redis.exceptions import RedisError

from runloft.errors import RunloftError
from runloft.net.redis_client import TransactionContentionError, new_client, run_transaction
from runloft.placement.changes import PlacementChange
from runloft.placement.records import Placement, decode_placement, encode_placement

MAX_CONNECTIONS = 16
UPLOAD_TTL_S = 7 * 24 * 3600  # expires uploads that are neither completed nor aborted
DEFAULT_TIMEOUT_S = 1.0


class StoreUnavailableError(RunloftError):
    """The store is unreachable or returned an invalid placement, so the request can't be routed."""

    def __init__(self, message: str, key: str) -> None:
        super().__init__(message)
        self.key = key


class PlacementStore:
    """A client of the store with its own connection pool, which ``close`` closes."""

    def __init__(self, url: str, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        # The client does not retry: the S3 client receives 503 and retries.
        self._redis = new_client(url, MAX_CONNECTIONS, timeout_s)

    @staticmethod
    def object_key(volume: str, key: str) -> str:
        """Return an object's key in the store."""
        return f"runloft:object:{volume}:{key}"

    @staticmethod
    def upload_key(volume: str, key: str, upload: str) -> str:
        """Return an upload's key in the store; an upload belongs to one object."""
        return f"runloft:upload:{volume}:{upload}:{key}"

    async def get(self, name: str) -> Placement | None:
        """Return the placement of a key, None if it has none; raise StoreUnavailableError on failure."""
        with _unavailable_errors(name):
            value = await self._redis.get(name)
        return _decode(name, value)

    async def put(self, name: str, placement: Placement, upload: bool = False) -> None:
        """Store a placement, with an expiry for an upload; raise StoreUnavailableError on failure."""
        with _unavailable_errors(name):
            ttl_s = UPLOAD_TTL_S if upload else None
            await self._redis.set(name, encode_placement(placement), ex=ttl_s)

    async def update(self, name: str, change: PlacementChange) -> Placement | None:
        """Apply a change to a key's placement, in one transaction; return the placement that it has then.

        Any other write to the key between the reading and the writing prevents this one, and ``change`` is
        called again.  Raise StoreUnavailableError on failure.
        """
        result: Placement | None = None

        async def prepare(pipe: Any) -> bool:
            nonlocal result
            current = _decode(name, await pipe.get(name))
            result = change(current)
            if result == current:
                return False
            pipe.multi()
            if result is None:
                pipe.delete(name)
            else:
                pipe.set(name, encode_placement(result))
            return True

        with _unavailable_errors(name):
            await run_transaction(self._redis, prepare, name)
        return result

    async def delete(self, name: str) -> None:
        """Delete a placement; raise StoreUnavailableError on failure."""
        with _unavailable_errors(name):
            await self._redis.delete(name)

    async def close(self) -> None:
        """Close the connections."""
        await self._redis.aclose()


def _decode(name: str, value: bytes | str | None) -> Placement | None:
    """Return the placement of a stored value, None for a missing one.

    Raise StoreUnavailableError if the value is invalid.
    """
    if value is None:
        return None
    try:
        return decode_placement(value)
    except ValueError as error:
        raise StoreUnavailableError(f"invalid placement at key {name}, expected SHARD SIZE", name) from error


@contextmanager
def _unavailable_errors(key: str) -> Iterator[None]:
    """Raise Redis and network errors as StoreUnavailableError."""
    try:
        yield
    except (RedisError, TransactionContentionError, OSError, TimeoutError) as error:
        raise StoreUnavailableError(str(error), key) from error
