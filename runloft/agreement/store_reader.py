"""Reading the store's view: the small records with each exchange, the large ones when they have changed."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any, Generic, TypeVar

import anyio

from runloft.agreement.codec import decode_committed, decode_lease, decode_stage, decode_verdict
from runloft.agreement.records import CommittedGeneration, Lease, Stage, StoreView
from runloft.agreement.store_protocol import (
    NamedReply,
    StoreKeys,
    decode_epoch,
    decode_mark,
    decode_names,
    decode_readable,
    decode_time,
    encode_mark,
)

SMALL_RECORDS = 4  # that every view needs: the time, the epoch and the two marks
T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Cached(Generic[T]):
    """A large record with the mark under which it was read."""

    mark: bytes
    record: T


class StoreReader:
    """Reads views, and caches the two large records between them."""

    def __init__(self, redis: Any, keys: StoreKeys) -> None:
        self._redis = redis
        self._keys = keys
        self._committed: Cached[CommittedGeneration] | None = None
        self._stage: Cached[Stage] | None = None

    def queue_small_records(self, pipe: Any) -> None:
        """Queue the commands that read the ``SMALL_RECORDS``."""
        pipe.time()
        pipe.get(self._keys.epoch)
        pipe.get(self._keys.committed_mark)
        pipe.get(self._keys.stage_mark)

    async def view(self, replies: list[Any]) -> StoreView:
        """Return a sidecar's view from the replies to the commands of ``queue_small_records``."""
        time_reply, epoch_text, committed_mark, stage_mark = replies
        if committed_mark is not None:
            self._assemble_committed(committed_mark)
        self._committed = await self._read(
            self._keys.committed, committed_mark, self._committed, decode_committed
        )
        self._stage = await self._read(self._keys.stage, stage_mark, self._stage, decode_stage)
        epoch = decode_epoch(epoch_text)
        return StoreView(
            decode_time(time_reply),
            self._current(self._committed, committed_mark),
            self._current(self._stage, stage_mark),
            epoch=epoch.number,
            previous_epoch_closed=epoch.previous_closed,
        )

    async def full_view(self) -> StoreView:
        """Return a view with everything a rollout needs, the leases and verdicts included."""
        pipe = self._redis.pipeline(transaction=True)
        pipe.smembers(self._keys.sidecars)
        pipe.hgetall(self._keys.verdicts)
        self.queue_small_records(pipe)
        names, verdicts, *small_records = await pipe.execute()
        sidecars = decode_names(names)
        leases = await self.leases(self._redis, sidecars)
        replies = (NamedReply(name, text) for name, text in verdicts.items())
        answers = decode_readable(replies, decode_verdict)
        view = await self.view(small_records)
        return replace(view, sidecars=sidecars, leases=leases, verdicts=answers)

    async def leases(self, client: Any, sidecars: Iterable[str]) -> dict[str, Lease]:
        """Return the leases that can be read of the named sidecars."""
        names = sorted(sidecars)
        texts = await client.mget([self._keys.lease(name) for name in names]) if names else []
        replies = (NamedReply(name, text) for name, text in zip(names, texts, strict=True))
        return decode_readable(replies, decode_lease)

    async def _read(
        self, key: str, mark: bytes | None, cached: Cached[T] | None, decode: Callable[[bytes], T]
    ) -> Cached[T] | None:
        """Return a large record, read again if its mark has changed; else what was cached."""
        if mark is None or (cached is not None and cached.mark == mark):
            return cached
        text = await self._redis.get(key)
        if text is None:
            return cached  # it expired between the two reads
        # In a thread: the content of a large fleet takes some milliseconds to decode.
        return Cached(mark, await anyio.to_thread.run_sync(decode, text))

    @staticmethod
    def _current(cached: Cached[T] | None, mark: bytes | None) -> T | None:
        return cached.record if cached is not None and cached.mark == mark else None

    def _assemble_committed(self, mark: bytes) -> None:
        """Build the committed generation from its stage and the one before, if both were read.

        A change is then read once by each sidecar that was asked about it, and not again when committed.
        """
        last = self._committed
        stage = self._stage
        parsed = decode_mark(mark)
        if last is None or last.mark == mark or stage is None or parsed is None:
            return
        assembled = CommittedGeneration(
            stage.record.generation,
            stage.record.content,
            parsed.effective_at_ns,
            last.record.content,
            stage.record.token,
            stage.record.staged_by,
            stage.record.epoch,
        )
        if mark == encode_mark(assembled):
            self._committed = Cached(mark, assembled)
