"""The agreement's records in Redis: each write names what it expects to find, each is whole or not at all.

Keys, all under the prefix: ``force``, ``names`` (a set), ``lease:NAME`` and ``era`` (no expiry), ``stage``
(runs out unless renewed), ``verdicts`` (a hash, runs out with its stage).  ``force:rank`` and
``stage:token`` are written with the two large ones, so that these are read when they have changed and not
with every exchange.  Other keys are left alone.  An exchange reads and writes a fixed number of small
records, however many sidecars there are; names, leases and verdicts are read by the tool alone.

A lease doesn't run out by the store's clock, which may step: who brings a generation into force watches
its mark (``config.agreement.fencing``).
"""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import replace
from typing import Any, TypeVar, cast

import anyio
import redis.asyncio
import structlog
from redis.asyncio.retry import Retry
from redis.backoff import NoBackoff
from redis.exceptions import RedisError, WatchError

from runloft.agreement.codec import (
    decode_committed,
    decode_lease,
    decode_stage,
    decode_verdict,
    encode_committed,
    encode_lease,
    encode_stage,
    encode_verdict,
)
from runloft.agreement.member import AddOwnEntries, Bootstrap, CloseEpoch, Exchange, OpenEpoch, RepairStore
from runloft.agreement.records import (
    CommittedGeneration,
    Lease,
    RecordError,
    StoreView,
    rank_of,
)
from runloft.agreement.rollout import CommitGeneration, DropStage, PutStage

log = structlog.get_logger()
STAGE_LEASES = 2  # a stage runs out after so many leases, unless it is renewed
MARK = ("era", "generation", "digest", "token", "at_ns", "digest of the one before")  # words of _mark
TRIES = 8  # of a transaction that others get in the way of
T = TypeVar("T")


class StoreError(Exception):
    """The store didn't answer, or with what is no record of ours."""


class AgreementStore:
    """One client of the store."""

    def __init__(self, url: str, prefix: str, lease_ns: int, timeout_s: float) -> None:
        self.prefix, self.lease_ms = prefix, max(1, lease_ns // 1_000_000)
        pool = redis.asyncio.BlockingConnectionPool.from_url(
            url,
            protocol=2,
            socket_timeout=timeout_s,
            socket_connect_timeout=timeout_s,
            max_connections=2,
            driver_info=None,  # no exchange about names before the one that matters
            timeout=timeout_s,
            # No attempts of its own: the machines that ask know what is lost and when to ask again.
            retry=Retry(NoBackoff(), 0),
        )
        self._redis: Any = redis.asyncio.Redis.from_pool(pool)
        self._known: dict[str, tuple[bytes, Any]] = {}

    def _key(self, name: str) -> str:
        return f"{self.prefix}:{name}"

    async def close(self) -> None:
        """Close its connections."""
        await self._redis.aclose()

    async def exchange(self, effect: Exchange) -> StoreView:
        """Write a lease and read what a sidecar needs, in one round trip."""
        lease, verdict = effect.lease, effect.verdict

        async def ask() -> StoreView:
            pipe = self._redis.pipeline(transaction=False)
            # Written before anything is read: who is told what is in force is known by then.
            pipe.set(self._key(f"lease:{lease.name}"), encode_lease(lease))
            pipe.sadd(self._key("names"), lease.name)
            if verdict is not None:
                pipe.hset(self._key("verdicts"), verdict.name, encode_verdict(verdict))
                pipe.pexpire(self._key("verdicts"), 2 * STAGE_LEASES * self.lease_ms)
            self._read(pipe)
            return await self._view((await pipe.execute())[-4:])

        return await self._guarded(ask)

    async def _held(self, name: str, mark: bytes | None, read: Callable[[bytes], T]) -> T | None:
        """Give a large record, read again where its mark has changed."""
        if mark is None:
            return None
        known = self._known.get(name)
        if known is None or known[0] != mark:
            text = await self._redis.get(self._key(name))
            if text is None:
                return None  # it ran out between the two
            # Guards the turn: the content of a large fleet takes some milliseconds to read.
            known = self._known[name] = mark, await anyio.to_thread.run_sync(read, text)
        return cast(T, known[1])

    def _read(self, pipe: Any) -> None:
        pipe.time()
        for name in ("era", "force:rank", "stage:token"):
            pipe.get(self._key(name))

    async def _view(self, read: list[Any]) -> StoreView:
        clock, epoch, rank, token = read
        if rank is not None:
            self._assemble(rank)
        committed = await self._held("force", rank, decode_committed)
        stage = await self._held("stage", token, decode_stage)
        number, settled = _epoch(epoch)
        return StoreView(_time(clock), committed, stage, epoch=number, settled=settled)

    def _assemble(self, mark: bytes) -> None:
        """Make what is in force of its stage and of what was in force before, where both were read.

        A change is read once by each sidecar that was asked, and not again with what was before it.
        """
        last, stage = self._known.get("force"), self._known.get("stage")
        words = mark.split(b" ")
        if last is None or last[0] == mark or stage is None or len(words) != len(MARK):
            return
        staged, old, at_ns = stage[1], last[1].content, words[4]
        committed = CommittedGeneration(
            staged.generation, staged.content, 0, old, staged.token, staged.by, staged.epoch
        )
        if at_ns.isdigit() and mark == _mark(committed := replace(committed, at_ns=int(at_ns))):
            self._known["force"] = mark, committed

    async def view(self) -> StoreView:
        """Read all there is, for the tool."""

        async def ask() -> StoreView:
            pipe = self._redis.pipeline(transaction=True)
            pipe.smembers(self._key("names"))
            pipe.hgetall(self._key("verdicts"))
            self._read(pipe)
            names, verdicts, *read = await pipe.execute()
            known = frozenset(map(_text, names))
            leases = await self._leases(self._redis, known)
            answers = _readable(verdicts.items(), decode_verdict)
            return replace(await self._view(read), names=known, leases=leases, verdicts=answers)

        return await self._guarded(ask)

    async def _leases(self, client: Any, names: Iterable[str]) -> dict[str, Lease]:
        some = sorted(names)
        texts = await client.mget([self._key(f"lease:{name}") for name in some]) if some else []
        return _readable(zip(some, texts, strict=True), decode_lease)

    async def begin(self, effect: OpenEpoch) -> None:
        """Begin an era of a store that has lost what it held, unless somebody has."""
        await self._put_epoch(effect.expects, f"{effect.epoch}")

    async def settle(self, effect: CloseEpoch) -> None:
        """Say that an era has lasted for longer than any lease, if it still is this one."""
        await self._put_epoch(effect.epoch, f"{effect.epoch} settled")

    async def _put_epoch(self, expects: int, text: str) -> None:
        async def change(pipe: Any) -> bool:
            if _epoch(await pipe.get(self._key("era")))[0] != expects:
                return False
            pipe.multi()
            pipe.set(self._key("era"), text)
            return True

        await self._changed(change, "era")

    async def restore(self, effect: RepairStore) -> None:
        """Put back what the store has lost, unless it holds a higher one."""

        async def change(pipe: Any) -> bool:
            if rank_of(await self._force(pipe)) >= effect.committed.rank:
                return False
            pipe.multi()
            self._put(pipe, effect.committed)
            return True

        await self._changed(change, "force")

    def _put(self, pipe: Any, committed: CommittedGeneration) -> None:
        pipe.set(self._key("force"), encode_committed(committed))
        pipe.set(self._key("force:rank"), _mark(committed))

    async def found(self, effect: Bootstrap) -> None:
        """Put a first generation, where there is none."""

        async def change(pipe: Any) -> bool:
            if await pipe.exists(self._key("force")):
                return False
            pipe.multi()
            self._put(pipe, effect.committed)
            return True

        await self._changed(change, "force")

    async def extend(self, effect: AddOwnEntries) -> bool:
        """Add to what is in force, if it is still what was added to."""

        async def change(pipe: Any) -> bool:
            if rank_of(await self._force(pipe)) != effect.expects:
                return False
            pipe.multi()
            self._put(pipe, effect.committed)
            return True

        return await self._changed(change, "force")

    async def put_stage(self, effect: PutStage) -> bool:
        """Stage, or renew; False where something else is in force or staged."""

        async def change(pipe: Any) -> bool:
            held = await pipe.get(self._key("stage"))
            other = held is not None and decode_stage(held).token != effect.stage.token
            if other or rank_of(await self._force(pipe)) != effect.expects:
                return False
            pipe.multi()
            until = STAGE_LEASES * self.lease_ms
            pipe.set(self._key("stage"), encode_stage(effect.stage), px=until)
            pipe.set(self._key("stage:token"), effect.stage.token, px=until)
            return True

        return await self._changed(change, "force", "stage")

    async def commit_generation(self, effect: CommitGeneration) -> bool:
        """Bring into force, if all is as it was when the last answer was read."""

        async def change(pipe: Any) -> bool:
            held = await pipe.get(self._key("stage"))
            staged = held is not None and decode_stage(held).token == effect.committed.token
            names = frozenset(map(_text, await pipe.smembers(self._key("names"))))
            out = await self._leases(pipe, effect.left_out.keys() | effect.fenced.keys())
            moved = any(name not in out or out[name].hearing != was for name, was in effect.left_out.items())
            moved |= any(name not in out or out[name].mark != was for name, was in effect.fenced.items())
            if not staged or names != effect.names or moved:
                return False
            if _epoch(await pipe.get(self._key("era")))[0] != effect.committed.epoch:
                return False
            if rank_of(await self._force(pipe)) != effect.expects:
                return False
            at_ns = _time(await pipe.time()) + effect.in_ns
            pipe.multi()
            self._put(pipe, replace(effect.committed, at_ns=at_ns))
            pipe.delete(self._key("stage"), self._key("stage:token"))
            for name in sorted(effect.fenced):
                self._drop(pipe, name)
            return True

        return await self._changed(change, "force", "stage", "names", "era")

    def _drop(self, pipe: Any, name: str) -> None:
        pipe.delete(self._key(f"lease:{name}"))
        pipe.srem(self._key("names"), name)

    async def drop_stage(self, effect: DropStage) -> None:
        """Take a stage back, if it is still this one."""

        async def change(pipe: Any) -> bool:
            held = await pipe.get(self._key("stage"))
            if held is None or decode_stage(held).token != effect.token:
                return False
            pipe.multi()
            pipe.delete(self._key("stage"), self._key("stage:token"))
            return True

        await self._changed(change, "stage")

    async def forget(self, name: str, mark: tuple[str, int] | None) -> bool:
        """Take a sidecar that is gone out of the known ones; False where its mark has moved on.

        ``mark`` None: it has no lease that can be read; one of a version before runs out by itself.
        """

        async def change(pipe: Any) -> bool:
            text = await pipe.get(self._key(f"lease:{name}"))
            lease = _readable([(name, text)], decode_lease).get(name)
            if (lease.mark if lease else None) != mark or (lease is None and text is not None):
                return False
            pipe.multi()
            self._drop(pipe, name)
            return True

        return await self._changed(change, f"lease:{name}")

    async def leave(self, name: str, incarnation: str) -> None:
        """Leave in order: a sidecar that has wound down is not silent, it is gone."""

        async def change(pipe: Any) -> bool:
            held = await pipe.get(self._key(f"lease:{name}"))
            if held is None or decode_lease(held).incarnation != incarnation:
                return False  # its successor is there already
            pipe.multi()
            self._drop(pipe, name)
            return True

        await self._changed(change, f"lease:{name}")

    async def _force(self, pipe: Any) -> CommittedGeneration | None:
        text = await pipe.get(self._key("force"))
        return decode_committed(text) if text is not None else None

    async def _changed(self, change: Callable[[Any], Awaitable[bool]], *watched: str) -> bool:
        async def ask() -> bool:
            for _ in range(TRIES):
                async with self._redis.pipeline(transaction=True) as pipe:
                    await pipe.watch(*(self._key(name) for name in watched))
                    if not await change(pipe):
                        return False
                    try:
                        await pipe.execute()
                    except WatchError:
                        continue  # somebody was faster: look again
                    return True
            raise StoreError("others write all the time")

        return await self._guarded(ask)

    async def _guarded(self, ask: Callable[[], Awaitable[T]]) -> T:
        """Turn whatever a store may do into one error."""
        try:
            return await ask()
        except (RedisError, OSError, TimeoutError) as error:
            raise StoreError(f"{type(error).__name__}: {error}") from error
        except (RecordError, TypeError, ValueError, IndexError, AttributeError) as error:
            raise StoreError(f"the store holds what is not ours: {error}") from error


def _mark(committed: CommittedGeneration) -> bytes:
    before = committed.before.digest if committed.before else ""
    return " ".join(map(str, (*committed.rank, committed.token, committed.at_ns, before))).encode()


def _text(value: bytes | str) -> str:
    return value.decode() if isinstance(value, bytes) else value


def _time(value: Any) -> int:
    seconds, micros = value
    return int(seconds) * 1_000_000_000 + int(micros) * 1000


def _epoch(value: bytes | None) -> tuple[int, bool]:
    """Read an era: its number, and whether it has settled; none where it is no record of ours."""
    words = value.split() if value is not None else []
    if not words or not words[0].isdigit() or words[1:] not in ([], [b"settled"]):
        return 0, False
    return int(words[0]), len(words) == 2


def _readable(texts: Iterable[tuple[Any, Any]], read: Callable[[bytes], T]) -> dict[str, T]:
    """Read records by name; what is no record of ours is told and passed over, never obeyed."""
    found = {}
    for name, text in texts:
        try:
            if text is not None:
                found[_text(name)] = read(text)
        except RecordError as error:
            log.warning("a record in the store is passed over", name=_text(name), error=str(error))
    return found
