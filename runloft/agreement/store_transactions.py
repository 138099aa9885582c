"""The writes to the store: each checks what it expects to find, then queues its commands.

Every method takes the pipeline of a transaction whose keys are watched, and returns whether the write is to
be executed; its commands are queued then.  If a watched key changes before the execution, the caller
repeats the write from the check on.
"""

from dataclasses import replace
from typing import Any

from runloft.agreement.codec import (
    decode_committed,
    decode_lease,
    decode_stage,
    encode_committed,
    encode_stage,
)
from runloft.agreement.effects import (
    AddOwnEntries,
    CommitGeneration,
    DropStage,
    PutStage,
    RepairStore,
)
from runloft.agreement.records import CommittedGeneration, EpochRecord, ExchangeCount, Rank, rank_of
from runloft.agreement.store_protocol import (
    STAGE_LIFETIME_LEASES,
    NamedReply,
    StoreKeys,
    decode_epoch,
    decode_names,
    decode_readable,
    decode_time,
    encode_epoch,
    encode_tag,
)
from runloft.agreement.store_reader import StoreReader


class StoreTransactions:
    """The writes to the records under one prefix."""

    def __init__(self, keys: StoreKeys, reader: StoreReader, lease_ms: int) -> None:
        self._keys = keys
        self._reader = reader
        self._stage_ms = STAGE_LIFETIME_LEASES * lease_ms

    # Of a sidecar

    async def put_epoch(self, pipe: Any, epoch: EpochRecord, expected: int) -> bool:
        """Write an epoch, if the store's epoch is still the expected one."""
        if await self._epoch(pipe) != expected:
            return False
        pipe.multi()
        pipe.set(self._keys.epoch, encode_epoch(epoch))
        return True

    async def repair(self, pipe: Any, effect: RepairStore) -> bool:
        """Restore a generation that the store has lost, unless it holds this one or a higher one."""
        if await self._rank(pipe) >= effect.committed.rank:
            return False
        pipe.multi()
        self._put_committed(pipe, effect.committed)
        return True

    async def bootstrap(self, pipe: Any, committed: CommittedGeneration) -> bool:
        """Write the first generation, unless the store holds one."""
        if await pipe.exists(self._keys.committed):
            return False
        pipe.multi()
        self._put_committed(pipe, committed)
        return True

    async def add_own_entries(self, pipe: Any, effect: AddOwnEntries) -> bool:
        """Replace the committed generation with one of more entries, if it is still the expected one."""
        if await self._rank(pipe) != effect.expected:
            return False
        pipe.multi()
        self._put_committed(pipe, effect.committed)
        return True

    async def leave(self, pipe: Any, sidecar: str, incarnation: str) -> bool:
        """Remove a sidecar that shuts down, unless a new incarnation of it has written its lease already."""
        text = await pipe.get(self._keys.lease(sidecar))
        if text is None or decode_lease(text).incarnation != incarnation:
            return False
        pipe.multi()
        self._remove_sidecar(pipe, sidecar)
        return True

    # Of a rollout

    async def put_stage(self, pipe: Any, effect: PutStage) -> bool:
        """Write or renew a stage, unless there is another stage, or another committed generation."""
        token = await self._stage_token(pipe)
        is_other = token is not None and token != effect.stage.token
        if is_other or await self._rank(pipe) != effect.expected:
            return False
        pipe.multi()
        pipe.set(self._keys.stage, encode_stage(effect.stage), px=self._stage_ms)
        pipe.set(self._keys.stage_tag, effect.stage.token, px=self._stage_ms)
        return True

    async def drop_stage(self, pipe: Any, effect: DropStage) -> bool:
        """Remove the stage, if it still has the effect's token."""
        if await self._stage_token(pipe) != effect.token:
            return False
        pipe.multi()
        self._remove_stage(pipe)
        return True

    async def commit(self, pipe: Any, effect: CommitGeneration) -> bool:
        """Commit a generation, if the store still holds what the effect expects."""
        if not await self._is_as_expected(pipe, effect):
            return False
        effective_at_ns = decode_time(await pipe.time()) + effect.delay_ns
        pipe.multi()
        self._put_committed(pipe, replace(effect.committed, effective_at_ns=effective_at_ns))
        self._remove_stage(pipe)
        for sidecar in sorted(effect.fenced):
            self._remove_sidecar(pipe, sidecar)
        return True

    async def _is_as_expected(self, pipe: Any, effect: CommitGeneration) -> bool:
        is_staged = await self._stage_token(pipe) == effect.committed.token
        sidecars = decode_names(await pipe.smembers(self._keys.sidecars))
        has_activity = await self._has_activity(pipe, effect)
        if not is_staged or sidecars != effect.sidecars or has_activity:
            return False
        if await self._epoch(pipe) != effect.committed.epoch:
            return False
        return await self._rank(pipe) == effect.expected

    async def _has_activity(self, pipe: Any, effect: CommitGeneration) -> bool:
        """Return whether an excluded sidecar has received an answer, or a fenced one has sent an exchange."""
        leases = await self._reader.leases(pipe, effect.excluded.keys() | effect.fenced.keys())
        if any(
            name not in leases or leases[name].answered != answered
            for name, answered in effect.excluded.items()
        ):
            return True
        return any(name not in leases or leases[name].sent != sent for name, sent in effect.fenced.items())

    async def forget(self, pipe: Any, sidecar: str, sent: ExchangeCount | None) -> bool:
        """Remove a sidecar, if it has sent no exchange since; ``sent`` is None if there is no lease."""
        text = await pipe.get(self._keys.lease(sidecar))
        lease = decode_readable([NamedReply(sidecar, text)], decode_lease).get(sidecar)
        if lease is None and text is not None:
            return False  # a lease of another version or a corrupt one: the sidecar may be running
        if (lease.sent if lease else None) != sent:
            return False
        pipe.multi()
        self._remove_sidecar(pipe, sidecar)
        return True

    # Helpers

    async def _rank(self, pipe: Any) -> Rank:
        text = await pipe.get(self._keys.committed)
        return rank_of(decode_committed(text) if text is not None else None)

    async def _stage_token(self, pipe: Any) -> str | None:
        text = await pipe.get(self._keys.stage)
        return decode_stage(text).token if text is not None else None

    async def _epoch(self, pipe: Any) -> int:
        return decode_epoch(await pipe.get(self._keys.epoch)).number

    def _put_committed(self, pipe: Any, committed: CommittedGeneration) -> None:
        pipe.set(self._keys.committed, encode_committed(committed))
        pipe.set(self._keys.committed_tag, encode_tag(committed))

    def _remove_stage(self, pipe: Any) -> None:
        pipe.delete(self._keys.stage, self._keys.stage_tag)

    def _remove_sidecar(self, pipe: Any, sidecar: str) -> None:
        pipe.delete(self._keys.lease(sidecar))
        pipe.srem(self._keys.sidecars, sidecar)
