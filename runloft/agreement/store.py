"""The client of the agreement's store (Redis): exchanges, views, and writes as transactions.

An exchange reads and writes a fixed number of small records, however many sidecars there are; the names,
leases and verdicts of all are read by a rollout alone.  Each write names what it expects to find, and is
carried out entirely or not at all.

A lease doesn't expire by the store's clock, which may step: a rollout watches its activity (``fencing``).
"""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import redis.asyncio
from redis.asyncio.retry import Retry
from redis.backoff import NoBackoff
from redis.exceptions import RedisError, WatchError

from runloft.agreement.codec import encode_lease, encode_verdict
from runloft.agreement.effects import (
    AddOwnEntries,
    Bootstrap,
    CloseEpoch,
    CommitGeneration,
    DropStage,
    Exchange,
    OpenEpoch,
    PutStage,
    RepairStore,
)
from runloft.agreement.errors import (
    RecordError,
    StoreContentError,
    StoreContentionError,
    StoreUnavailableError,
)
from runloft.agreement.records import EpochRecord, ExchangeCount, StoreView
from runloft.agreement.store_protocol import VERDICT_LEASES, StoreKeys
from runloft.agreement.store_reader import SMALL_RECORDS, StoreReader
from runloft.agreement.store_transactions import StoreTransactions

MAX_CONNECTIONS = 2
MAX_TRANSACTION_ATTEMPTS = 8
NS_PER_MS = 1_000_000
T = TypeVar("T")


class AgreementStore:
    """One client of the store.  Every operation raises StoreError if it can't be carried out."""

    def __init__(self, url: str, prefix: str, lease_ns: int, timeout_s: float) -> None:
        """Take the store's address, the keys' prefix, and the timeout of each exchange with it."""
        self.lease_ms = max(1, lease_ns // NS_PER_MS)
        pool = redis.asyncio.BlockingConnectionPool.from_url(
            url,
            protocol=2,
            socket_timeout=timeout_s,
            socket_connect_timeout=timeout_s,
            max_connections=MAX_CONNECTIONS,
            driver_info=None,  # no exchange about names before the one that matters
            timeout=timeout_s,
            # No retries of its own: the state machines know what is lost and when to retry.
            retry=Retry(NoBackoff(), 0),
        )
        self._redis: Any = redis.asyncio.Redis.from_pool(pool)
        self._keys = StoreKeys(prefix)
        self._reader = StoreReader(self._redis, self._keys)
        self._transactions = StoreTransactions(self._keys, self._reader, self.lease_ms)

    async def close(self) -> None:
        """Close the connections."""
        await self._redis.aclose()

    # Reading

    async def exchange(self, effect: Exchange) -> StoreView:
        """Write a lease and return what a sidecar needs, in one round trip."""
        return await self._guard(lambda: self._exchange(effect))

    async def _exchange(self, effect: Exchange) -> StoreView:
        lease = effect.lease
        verdict = effect.verdict
        pipe = self._redis.pipeline(transaction=False)
        # Written before anything is read: a sidecar that has seen a generation is known by then.
        pipe.set(self._keys.lease(lease.name), encode_lease(lease))
        pipe.sadd(self._keys.sidecars, lease.name)
        if verdict is not None:
            pipe.hset(self._keys.verdicts, verdict.name, encode_verdict(verdict))
            pipe.pexpire(self._keys.verdicts, VERDICT_LEASES * self.lease_ms)
        self._reader.queue_small_records(pipe)
        replies = await pipe.execute()
        return await self._reader.view(replies[-SMALL_RECORDS:])

    async def view(self) -> StoreView:
        """Return everything there is, as a rollout needs it."""
        return await self._guard(self._reader.full_view)

    # Writes of a sidecar

    async def open_epoch(self, effect: OpenEpoch) -> None:
        """Open an epoch in a store that has lost its data, unless another sidecar has."""
        await self._put_epoch(EpochRecord(effect.epoch), effect.expected)

    async def close_epoch(self, effect: CloseEpoch) -> None:
        """Record that the epoch before is closed, if the epoch is still this one."""
        await self._put_epoch(EpochRecord(effect.epoch, previous_closed=True), effect.epoch)

    async def _put_epoch(self, epoch: EpochRecord, expected: int) -> None:
        await self._transact(
            lambda pipe: self._transactions.put_epoch(pipe, epoch, expected), self._keys.epoch
        )

    async def repair(self, effect: RepairStore) -> None:
        """Put back what the store has lost, unless it holds a higher generation."""
        await self._transact(lambda pipe: self._transactions.repair(pipe, effect), self._keys.committed)

    async def bootstrap(self, effect: Bootstrap) -> None:
        """Put a first generation, if there is none."""
        committed = effect.committed
        await self._transact(lambda pipe: self._transactions.bootstrap(pipe, committed), self._keys.committed)

    async def add_own_entries(self, effect: AddOwnEntries) -> bool:
        """Add entries to the committed generation; return False if it isn't the expected one any more."""
        return await self._transact(
            lambda pipe: self._transactions.add_own_entries(pipe, effect), self._keys.committed
        )

    async def leave(self, sidecar: str, incarnation: str) -> None:
        """Remove a sidecar that shuts down, so that it doesn't count as silent."""
        await self._transact(
            lambda pipe: self._transactions.leave(pipe, sidecar, incarnation), self._keys.lease(sidecar)
        )

    # Writes of a rollout

    async def put_stage(self, effect: PutStage) -> bool:
        """Write or renew a stage; return False if another is there, or another generation committed."""
        return await self._transact(
            lambda pipe: self._transactions.put_stage(pipe, effect), self._keys.committed, self._keys.stage
        )

    async def commit(self, effect: CommitGeneration) -> bool:
        """Commit a generation; return False if anything has changed since the last view."""
        return await self._transact(
            lambda pipe: self._transactions.commit(pipe, effect),
            self._keys.committed,
            self._keys.stage,
            self._keys.sidecars,
            self._keys.epoch,
        )

    async def drop_stage(self, effect: DropStage) -> None:
        """Remove a stage, if it is still this one."""
        await self._transact(lambda pipe: self._transactions.drop_stage(pipe, effect), self._keys.stage)

    async def forget(self, sidecar: str, sent: ExchangeCount | None) -> bool:
        """Remove a sidecar that is gone; return False if it has sent an exchange since.

        ``sent`` None: it has no lease that can be read; one of another version stays.
        """
        return await self._transact(
            lambda pipe: self._transactions.forget(pipe, sidecar, sent), self._keys.lease(sidecar)
        )

    # Parts of these

    async def _transact(self, prepare: Callable[[Any], Awaitable[bool]], *watched: str) -> bool:
        """Carry out a write that ``prepare`` has checked and queued; return whether it was."""
        return await self._guard(lambda: self._attempt(prepare, watched))

    async def _attempt(self, prepare: Callable[[Any], Awaitable[bool]], watched: tuple[str, ...]) -> bool:
        for _ in range(MAX_TRANSACTION_ATTEMPTS):
            async with self._redis.pipeline(transaction=True) as pipe:
                await pipe.watch(*watched)
                if not await prepare(pipe):
                    return False
                try:
                    await pipe.execute()
                except WatchError:
                    continue  # another client was faster: check again
                return True
        raise StoreContentionError("others write all the time")

    async def _guard(self, operation: Callable[[], Awaitable[T]]) -> T:
        """Carry out an operation; raise whatever the store may cause as StoreError."""
        try:
            return await operation()
        except (RedisError, OSError, TimeoutError) as error:
            raise StoreUnavailableError(f"{type(error).__name__}: {error}") from error
        except (RecordError, TypeError, ValueError, IndexError, AttributeError) as error:
            raise StoreContentError(f"the store holds what is not ours: {error}") from error
