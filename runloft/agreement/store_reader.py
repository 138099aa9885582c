"""Reading views of the store: small records with each exchange, large ones only if they have changed."""

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
    decode_names,
    decode_readable,
    decode_time,
    effective_at_ns_of,
    encode_tag,
)

SMALL_RECORD_COUNT = 4  # read for every view: the time, the epoch and the two tags
T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Cached(Generic[T]):
    """A large record, and the tag that it had when it was read."""

    tag: bytes
    record: T


class StoreReader:
    """Reads views, and caches the two large records between reads."""

    def __init__(self, redis: Any, keys: StoreKeys) -> None:
        self._redis = redis
        self._keys = keys
        self._committed: Cached[CommittedGeneration] | None = None
        self._stage: Cached[Stage] | None = None

    def queue_small_records(self, pipe: Any) -> None:
        """Queue the commands that read the small records, ``SMALL_RECORD_COUNT`` in number."""
        pipe.time()
        pipe.get(self._keys.epoch)
        pipe.get(self._keys.committed_tag)
        pipe.get(self._keys.stage_tag)

    async def view(self, replies: list[Any]) -> StoreView:
        """Return a sidecar's view from the replies to the commands of ``queue_small_records``."""
        time_reply, epoch_text, committed_tag, stage_tag = replies
        if committed_tag is not None:
            self._assemble_committed(committed_tag)
        self._committed = await self._read(
            self._keys.committed, committed_tag, self._committed, decode_committed
        )
        self._stage = await self._read(self._keys.stage, stage_tag, self._stage, decode_stage)
        epoch = decode_epoch(epoch_text)
        return StoreView(
            decode_time(time_reply),
            self._current(self._committed, committed_tag),
            self._current(self._stage, stage_tag),
            epoch=epoch.number,
            previous_epoch_closed=epoch.previous_closed,
        )

    async def full_view(self) -> StoreView:
        """Return a view as a rollout needs it, with all sidecars, leases and verdicts."""
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
        """Return those leases of the named sidecars that can be decoded."""
        names = sorted(sidecars)
        texts = await client.mget([self._keys.lease(name) for name in names]) if names else []
        replies = (NamedReply(name, text) for name, text in zip(names, texts, strict=True))
        return decode_readable(replies, decode_lease)

    async def _read(
        self, key: str, tag: bytes | None, cached: Cached[T] | None, decode: Callable[[bytes], T]
    ) -> Cached[T] | None:
        """Return a large record: the cached one, or a new one if the tag has changed."""
        if tag is None or (cached is not None and cached.tag == tag):
            return cached
        text = await self._redis.get(key)
        if text is None:
            return cached  # the record has expired since its tag was read
        # In a thread: the content of a large fleet takes some milliseconds to decode.
        return Cached(tag, await anyio.to_thread.run_sync(decode, text))

    @staticmethod
    def _current(cached: Cached[T] | None, tag: bytes | None) -> T | None:
        return cached.record if cached is not None and cached.tag == tag else None

    def _assemble_committed(self, tag: bytes) -> None:
        """Build the committed generation from its stage and the previous generation, if both are cached.

        A sidecar that has read the stage thus doesn't read the same content again once it is committed.
        """
        last = self._committed
        stage = self._stage
        effective_at_ns = effective_at_ns_of(tag)
        if last is None or last.tag == tag or stage is None or effective_at_ns is None:
            return
        assembled = CommittedGeneration(
            stage.record.generation,
            stage.record.content,
            effective_at_ns,
            last.record.content,
            stage.record.token,
            stage.record.staged_by,
            stage.record.epoch,
        )
        if tag == encode_tag(assembled):
            self._committed = Cached(tag, assembled)
