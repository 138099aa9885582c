"""The client of the agreement's store (Redis): exchanges, views, and writes as transactions.

An exchange reads and writes a fixed number of small records, however many sidecars there are; only a
rollout reads the names, leases and verdicts of all sidecars.  Each write states what it expects the store
to hold, and takes effect entirely or not at all.

Leases don't expire by the store's clock, which may step: a rollout observes each sidecar's activity
(``fencing``).
"""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from redis.exceptions import RedisError

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
from runloft.agreement.store_protocol import VERDICT_LIFETIME_LEASES, StoreKeys
from runloft.agreement.store_reader import SMALL_RECORD_COUNT, StoreReader
from runloft.agreement.store_transactions import StoreTransactions
from runloft.net.redis_client import TransactionContentionError, new_client, run_transaction

MAX_CONNECTIONS = 2
NS_PER_MS = 1_000_000
T = TypeVar("T")


class AgreementStore:
    """A client of the store.  Every operation raises StoreError if it can't be carried out."""

    def __init__(self, url: str, prefix: str, lease_ns: int, timeout_s: float) -> None:
        """``prefix`` starts every key; ``timeout_s`` limits each wait for a connection or a reply."""
        self.lease_ms = max(1, lease_ns // NS_PER_MS)
        # The client doesn't retry: the state machines handle lost replies and schedule the retries.
        self._redis: Any = new_client(url, MAX_CONNECTIONS, timeout_s)
        self._keys = StoreKeys(prefix)
        self._reader = StoreReader(self._redis, self._keys)
        self._transactions = StoreTransactions(self._keys, self._reader, self.lease_ms)

    async def close(self) -> None:
        """Close the connections."""
        await self._redis.aclose()

    # Reading

    async def exchange(self, effect: Exchange) -> StoreView:
        """Write a lease and read a sidecar's view; one round trip, unless a large record has changed."""
        return await self._convert_errors(lambda: self._exchange(effect))

    async def _exchange(self, effect: Exchange) -> StoreView:
        lease = effect.lease
        verdict = effect.verdict
        pipe = self._redis.pipeline(transaction=False)
        # The lease is written before anything is read, so a sidecar that has seen a generation is known.
        pipe.set(self._keys.lease(lease.name), encode_lease(lease))
        pipe.sadd(self._keys.sidecars, lease.name)
        if verdict is not None:
            pipe.hset(self._keys.verdicts, verdict.name, encode_verdict(verdict))
            pipe.pexpire(self._keys.verdicts, VERDICT_LIFETIME_LEASES * self.lease_ms)
        self._reader.queue_small_records(pipe)
        replies = await pipe.execute()
        return await self._reader.view(replies[-SMALL_RECORD_COUNT:])

    async def view(self) -> StoreView:
        """Return a view with the records of all sidecars, as a rollout needs it."""
        return await self._convert_errors(self._reader.full_view)

    # Writes of a sidecar

    async def open_epoch(self, effect: OpenEpoch) -> None:
        """Open an epoch in a store that has lost its data, if its epoch is still the expected one."""
        await self._put_epoch(EpochRecord(effect.epoch), effect.expected)

    async def close_epoch(self, effect: CloseEpoch) -> None:
        """Record that the previous epoch is closed, if the store's epoch is still ``effect.epoch``."""
        await self._put_epoch(EpochRecord(effect.epoch, previous_closed=True), effect.epoch)

    async def _put_epoch(self, epoch: EpochRecord, expected: int) -> None:
        await self._transact(
            lambda pipe: self._transactions.put_epoch(pipe, epoch, expected), self._keys.epoch
        )

    async def repair(self, effect: RepairStore) -> None:
        """Restore a generation that the store has lost, unless it holds this one or a higher one."""
        await self._transact(lambda pipe: self._transactions.repair(pipe, effect), self._keys.committed)

    async def bootstrap(self, effect: Bootstrap) -> None:
        """Write the first generation, unless the store holds one."""
        committed = effect.committed
        await self._transact(lambda pipe: self._transactions.bootstrap(pipe, committed), self._keys.committed)

    async def add_own_entries(self, effect: AddOwnEntries) -> bool:
        """Add entries to the committed generation; return False if it is no longer the expected one."""
        return await self._transact(
            lambda pipe: self._transactions.add_own_entries(pipe, effect), self._keys.committed
        )

    async def leave(self, sidecar: str, incarnation: str) -> None:
        """Remove a sidecar that shuts down, so that it isn't considered silent."""
        await self._transact(
            lambda pipe: self._transactions.leave(pipe, sidecar, incarnation), self._keys.lease(sidecar)
        )

    # Writes of a rollout

    async def put_stage(self, effect: PutStage) -> bool:
        """Write or renew a stage; return False if there is another stage, or another committed generation."""
        return await self._transact(
            lambda pipe: self._transactions.put_stage(pipe, effect), self._keys.committed, self._keys.stage
        )

    async def commit(self, effect: CommitGeneration) -> bool:
        """Commit a generation; return False if the store has changed since the last view."""
        return await self._transact(
            lambda pipe: self._transactions.commit(pipe, effect),
            self._keys.committed,
            self._keys.stage,
            self._keys.sidecars,
            self._keys.epoch,
            *(self._keys.lease(sidecar) for sidecar in sorted(effect.fenced)),
        )

    async def drop_stage(self, effect: DropStage) -> None:
        """Remove the stage, if it still has the effect's token."""
        await self._transact(lambda pipe: self._transactions.drop_stage(pipe, effect), self._keys.stage)

    async def forget(self, sidecar: str, sent: ExchangeCount | None) -> bool:
        """Remove a sidecar that no longer runs; return False if it has sent an exchange since.

        ``sent`` is None if there is no lease; a sidecar whose lease can't be decoded isn't removed.
        """
        return await self._transact(
            lambda pipe: self._transactions.forget(pipe, sidecar, sent), self._keys.lease(sidecar)
        )

    # Transactions

    async def _transact(self, prepare: Callable[[Any], Awaitable[bool]], *watched: str) -> bool:
        """Execute a write that ``prepare`` checks and queues; return whether it was executed."""
        return await self._convert_errors(lambda: run_transaction(self._redis, prepare, *watched))

    async def _convert_errors(self, operation: Callable[[], Awaitable[T]]) -> T:
        """Run an operation; convert the exceptions that the store can cause to StoreError."""
        try:
            return await operation()
        except TransactionContentionError as error:
            raise StoreContentionError(str(error)) from error
        except (RedisError, OSError, TimeoutError) as error:
            raise StoreUnavailableError(f"{type(error).__name__}: {error}") from error
        except (RecordError, TypeError, ValueError, IndexError, AttributeError) as error:
            raise StoreContentError(f"unexpected data under the agreement's keys: {error}") from error
