"""Keeps a sidecar in the agreement: the store's exchanges beside the turn, never in a request's way."""

import uuid
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import anyio
import structlog

from runloft.agreement.content import (
    Content,
    Difference,
    Effective,
    content_of,
    effective,
    refusals,
    unreserved,
)
from runloft.agreement.local_snapshot import CopyError, CopyWriter, LocalCopy
from runloft.agreement.member import (
    Adopt,
    Begin,
    Effect,
    Exchange,
    Extend,
    Found,
    Keep,
    Member,
    Put,
    Restore,
    Say,
    Settle,
)
from runloft.agreement.store import AgreementStore, StoreError
from runloft.config.faults import ConfigError
from runloft.config.platform_config import config_from_json
from runloft.config.settings import AgreementSettings, Config
from runloft.core.model import SuspendedVolumes

log = structlog.get_logger()


@dataclass
class Standing:
    """What metrics and logs tell of the agreement."""

    generation: int = 0
    connected: bool = False
    reserves: bool = False  # of the generation are held: it is under a lease
    differences: tuple[tuple[str, str, str], ...] = ()  # what, name, key
    held: tuple[str, ...] = ()
    copy_age_s: float = -1.0
    failures: int = 0
    copy_failures: int = 0
    exchanges: int = 0
    sayings: list[str] = field(default_factory=list)


class Agreeing:
    """One sidecar's agreement."""

    def __init__(
        self,
        settings: AgreementSettings,
        own: Config,
        clock: Callable[[], int],
        store: AgreementStore | None = None,
    ) -> None:
        self.settings, self.own, self.clock = settings, own, clock
        self.timeout_s = timeout_s = settings.lease_ns / 1e9 / 4  # of one exchange or write
        self.store = store or AgreementStore(settings.store, settings.prefix, settings.lease_ns, timeout_s)
        self.copy = LocalCopy(settings.directory, own.name)
        self.writer = CopyWriter(self.copy)
        self.standing = Standing()
        self._running = anyio.CancelScope()
        self._told: tuple[Difference, ...] = ()
        self.content: Content | None = None
        self.take: Callable[[Config], None] = lambda config: None
        raw = own.document or {}
        self.member = Member(
            own.name, uuid.uuid4().hex[:12], content_of(raw), settings.lease_ns, settings.fence_ns,
            self._refuses, clock(),
        )  # fmt: skip

    def _refuses(self, content: Content) -> list[str]:
        return refusals(self.own.document or {}, content)

    def start(self) -> Config:
        """Begin with the copy that this machine has kept; give what is gone by: without reserves, as yet."""
        try:
            kept = self.copy.read_patiently()
        except CopyError as error:
            log.warning("the local copy is passed over", error=str(error))
            kept = None
        if kept is None:
            return self.agreed(self.own)
        # Nothing runs yet that could write: what there is to keep has just been read.
        for effect in self.member.remember(kept.force, kept.age_s, self.clock()):
            if isinstance(effect, Adopt):
                self.content, self.standing.generation = effect.content, effect.generation
            elif isinstance(effect, Say):
                self._say(effect)
        self.standing.copy_age_s = kept.age_s
        return self.agreed(self.own)

    def agreed(self, own: Config) -> Config:
        """Put what is in force in place of what this sidecar's file says."""
        if own.document is not self.own.document:
            self.own = own
            self.member.own_changed(content_of(own.document or {}))
        raw = own.document or {}
        got = effective(raw, self.content) if self.content else Effective(raw)
        config = own
        if not self.standing.reserves:
            got = replace(got, raw=unreserved(got.raw))
        if got.differences or got.held_plans or got.held_volumes or not self.standing.reserves:
            config = self._configured(own, got)
        self._settled(got)
        return config

    def _configured(self, own: Config, got: Effective) -> Config:
        try:
            config = replace(config_from_json(got.raw), document=own.document)
            plans, volumes = got.held_plans, got.held_volumes
        except ConfigError as error:
            # Guards the volumes: what this sidecar can't serve as agreed it doesn't serve otherwise.
            log.error("what is in force can't be served here: it is held", faults=error.faults)
            config, plans, volumes = own, frozenset(own.plan_names), frozenset[str]()
        if not self.standing.reserves and self.settings.cut_off == "hold":
            plans = frozenset(config.plan_names)
        known = config.objects.volumes if config.objects else {}
        ids = {volume.id for name, volume in known.items() if name in volumes}
        numbers = {index for index, name in enumerate(config.plan_names) if name in plans}
        return replace(config, suspended_volumes=SuspendedVolumes(frozenset(numbers), frozenset(ids)))

    def _settled(self, got: Effective) -> None:
        differences = tuple((d.what, d.name, d.key) for d in got.differences)
        if got.differences != self._told:  # each once, and again when a figure has changed
            self._told = got.differences
            for difference in got.differences:
                log.warning("this sidecar's file is not what is in force", difference=str(difference))
        held = tuple(sorted(got.held_volumes | got.held_plans))
        if held != self.standing.held and held:
            log.warning("held: nothing in force says how to serve it", names=held)
        self.standing.differences, self.standing.held = differences, held
        self.member.settled(len(differences), len(held))

    async def run(self) -> None:
        """Exchange with the store until it is stopped."""
        with self._running:
            await self._run()

    async def _run(self) -> None:
        while True:
            now = self.clock()
            wait = self.member.next_at() - now
            if wait > 0:
                await anyio.sleep(wait / 1e9)
            await self._carry_out(self.member.due(self.clock()))
            self.standing.connected = self.member.connected(self.clock())
            self.standing.copy_failures = self.writer.failures

    async def stop(self) -> None:
        """Leave in order, if the store answers soon; no exchange comes after that and takes it back."""
        self._running.cancel()
        with anyio.move_on_after(self.timeout_s, shield=True):
            try:
                await self.store.leave(self.member.name, self.member.incarnation)
            except StoreError as error:
                log.info("left without the store's knowing", error=str(error))
            await self.store.close()
        self.writer.stop()

    async def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Exchange():
                    await self._exchange(effect)
                case Adopt(content, generation, reserves):
                    self.content, self.standing.generation = content, generation
                    self.standing.reserves = reserves
                    self.take(self.agreed(self.own))
                case Keep(force):
                    self.writer.keep(force)
                case Say():
                    self._say(effect)
                case Restore() | Found() | Extend() | Begin() | Settle():
                    await self._put(effect)

    async def _exchange(self, effect: Exchange) -> None:
        self.standing.exchanges += 1
        try:
            with anyio.fail_after(self.timeout_s):
                view = await self.store.exchange(effect)
        except (StoreError, TimeoutError) as error:
            self.standing.failures += 1
            log.debug("exchange failed", error=str(error))
            await self._carry_out(self.member.lost(self.clock()))
            return
        await self._carry_out(self.member.seen(view, self.clock()))

    async def _put(self, effect: Put) -> None:
        try:
            with anyio.fail_after(self.timeout_s):
                match effect:
                    case Restore():
                        await self.store.restore(effect)
                    case Found():
                        await self.store.found(effect)
                    case Extend():
                        await self.store.extend(effect)
                    case Begin():
                        await self.store.begin(effect)
                    case Settle():
                        await self.store.settle(effect)
        except (StoreError, TimeoutError) as error:
            log.debug("not written", what=type(effect).__name__, error=str(error))

    def _say(self, said: Say) -> None:
        # "restored", "added to" may come again with each exchange until the store has it.
        text = f"{said.event} {said.generation}"
        if not self.standing.sayings or self.standing.sayings[-1] != text:
            log.info(f"agreement: {said.event}", generation=said.generation, detail=said.detail)
        self.standing.sayings = [*self.standing.sayings[-19:], text]
