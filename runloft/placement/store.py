"""The placement store, which maps objects and uploads to shards in a Redis shared by all sidecars.

Each placement is one key.  Its value is the shard, a space and the size in bytes, or -1 if it is unknown.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from redis.exceptions import RedisError

from runloft.errors import RunloftError
from runloft.net.redis_client import TransactionContentionError, new_client, run_transaction

MAX_CONNECTIONS = 16
UPLOAD_TTL_S = 7 * 24 * 3600  # expires uploads that are neither completed nor aborted
DEFAULT_TIMEOUT_S = 1.0
UNKNOWN_SIZE = -1


class StoreUnavailableError(RunloftError):
    """The store is unreachable or returned an invalid placement, so the request can't be routed."""

    def __init__(self, message: str, key: str) -> None:
        super().__init__(message)
        self.key = key


@dataclass(frozen=True, slots=True)
class Placement:
    """The shard of an object or an upload, and an object's size in bytes if it is known."""

    shard: int
    size: int = UNKNOWN_SIZE


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
            await self._redis.set(name, _encode(placement), ex=ttl_s)

    async def compare_and_set(self, name: str, expected: Placement, placement: Placement) -> bool:
        """Store an object's placement if the key still has ``expected``; return whether it was stored.

        A change between the comparison and the write prevents the write, even a change back to ``expected``.
        Raise StoreUnavailableError on failure.
        """
        return await self._write_if_equal(name, expected, lambda pipe: pipe.set(name, _encode(placement)))

    async def compare_and_delete(self, name: str, expected: Placement) -> bool:
        """Delete a placement like ``compare_and_set`` stores one; return whether it was deleted."""
        return await self._write_if_equal(name, expected, lambda pipe: pipe.delete(name))

    async def _write_if_equal(
        self, name: str, expected: Placement, queue_write: Callable[[Any], object]
    ) -> bool:
        async def prepare(pipe: Any) -> bool:
            if _decode(name, await pipe.get(name)) != expected:
                return False
            pipe.multi()
            queue_write(pipe)
            return True

        with _unavailable_errors(name):
            return await run_transaction(self._redis, prepare, name)

    async def delete(self, name: str) -> None:
        """Delete a placement; raise StoreUnavailableError on failure."""
        with _unavailable_errors(name):
            await self._redis.delete(name)

    async def close(self) -> None:
        """Close the connections."""
        await self._redis.aclose()


def _encode(placement: Placement) -> str:
    return f"{placement.shard} {placement.size}"


def _decode(name: str, value: bytes | str | None) -> Placement | None:
    """Return the placement of a stored value, None for a missing one.

    Raise StoreUnavailableError if the value is invalid.
    """
    if value is None:
        return None
    try:
        text = value.decode() if isinstance(value, bytes) else value
        shard, _, size = text.partition(" ")
        return Placement(int(shard), int(size or UNKNOWN_SIZE))
    except ValueError as error:
        raise StoreUnavailableError(f"invalid placement at key {name}, expected SHARD SIZE", name) from error


@contextmanager
def _unavailable_errors(key: str) -> Iterator[None]:
    """Raise Redis and network errors as StoreUnavailableError."""
    try:
        yield
    except (RedisError, TransactionContentionError, OSError, TimeoutError) as error:
        raise StoreUnavailableError(str(error), key) from error
