"""Redis clients: their connection pools, and optimistic transactions that depend on what the store holds."""

from collections.abc import Awaitable, Callable
from typing import Any

import redis.asyncio
from redis.asyncio.retry import Retry
from redis.backoff import NoBackoff
from redis.exceptions import WatchError

from runloft.errors import RunloftError

MAX_TRANSACTION_ATTEMPTS = 8


class TransactionContentionError(RunloftError):
    """Other clients changed the watched keys during every attempt of a transaction."""


def new_client(url: str, max_connections: int, timeout_s: float) -> redis.asyncio.Redis:
    """Return a client with its own connection pool, which the caller closes.

    ``timeout_s`` limits each wait for a connection or a reply.  In a burst, operations wait for a free
    connection instead of failing as if the store were unavailable.
    """
    pool = redis.asyncio.BlockingConnectionPool.from_url(
        url,
        protocol=2,
        socket_timeout=timeout_s,
        socket_connect_timeout=timeout_s,
        max_connections=max_connections,
        driver_info=None,  # no CLIENT SETINFO on new connections, which costs a round trip
        timeout=timeout_s,
        retry=Retry(NoBackoff(), 0),  # the caller decides whether an operation is retried
    )
    return redis.asyncio.Redis.from_pool(pool)


async def run_transaction(client: Any, prepare: Callable[[Any], Awaitable[bool]], *watched: str) -> bool:
    """Execute a write that ``prepare`` checks and queues; return whether it was executed.

    ``prepare`` takes the pipeline of a transaction whose keys ``watched`` are watched.  It reads what the
    write depends on, then either queues the commands after ``multi()`` and returns True, or returns False.
    If a watched key changes before the execution, it is called again.  Raise TransactionContentionError if
    that happens too often, and the client's exceptions if the store fails.
    """
    for _ in range(MAX_TRANSACTION_ATTEMPTS):
        async with client.pipeline(transaction=True) as pipe:
            await pipe.watch(*watched)
            if not await prepare(pipe):
                return False
            try:
                await pipe.execute()
            except WatchError:
                continue
            return True
    raise TransactionContentionError(
        f"transaction failed {MAX_TRANSACTION_ATTEMPTS} times: other clients changed its keys each time"
    )
