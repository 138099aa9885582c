"""Runs one sidecar's replica against the shared store, concurrently with the data path."""

import uuid
from collections.abc import Callable
from dataclasses import replace

import anyio
import structlog

from runloft.agreement.content import Content, content_of_file
from runloft.agreement.effective import Difference, Effective, effective, refusals, without_reserves
from runloft.agreement.effects import (
    AddOwnEntries,
    ApplyConfig,
    Bootstrap,
    CloseEpoch,
    Exchange,
    LogEvent,
    OpenEpoch,
    PersistSnapshot,
    RepairStore,
    ReplicaEffect,
    ReplicaWrite,
)
from runloft.agreement.errors import SnapshotError, StoreError
from runloft.agreement.local_snapshot import LocalSnapshot, Snapshot
from runloft.agreement.replica import Replica
from runloft.agreement.snapshot_writer import SnapshotWriter
from runloft.agreement.status import AgreementStatus
from runloft.agreement.store import AgreementStore
from runloft.config.faults import ConfigError
from runloft.config.platform_config import config_from_json
from runloft.config.settings import AgreementSettings, Config
from runloft.core.model import SuspendedVolumes

log = structlog.get_logger()
NS_PER_S = 1e9
EXCHANGE_TIMEOUTS_PER_LEASE = 4
INCARNATION_DIGITS = 12
MAX_EVENTS = 20  # most recent events kept in the status


class AgreementClient:
    """One sidecar's client of the agreement.

    ``start`` returns the initial configuration; ``run`` keeps it up to date and calls ``on_config`` with
    each new one; ``stop`` removes the sidecar from the store.
    """

    def __init__(
        self,
        settings: AgreementSettings,
        file_config: Config,
        clock: Callable[[], int],
        store: AgreementStore | None = None,
    ) -> None:
        """Create the client.

        ``clock`` returns monotonic time in nanoseconds.  Tests pass ``store``; by default it is created from
        the settings.
        """
        self.settings = settings
        self.file_config = file_config
        self.clock = clock
        self.timeout_s = settings.lease_ns / NS_PER_S / EXCHANGE_TIMEOUTS_PER_LEASE
        self.store = store or AgreementStore(
            settings.store, settings.prefix, settings.lease_ns, self.timeout_s
        )
        self.snapshot = LocalSnapshot(settings.directory, file_config.name)
        self.writer = SnapshotWriter(self.snapshot)
        self.status = AgreementStatus()
        self.content: Content | None = None  # None: the sidecar's own file is served
        self.on_config: Callable[[Config], None] = lambda config: None
        self.replica = Replica(
            file_config.name,
            uuid.uuid4().hex[:INCARNATION_DIGITS],
            content_of_file(file_config.document or {}),
            settings.lease_ns,
            settings.fence_ns,
            self._refusals,
            clock(),
        )
        self._running = anyio.CancelScope()
        self._logged_differences: tuple[Difference, ...] = ()

    def _refusals(self, content: Content) -> list[str]:
        return refusals(self.file_config.document or {}, content)

    # Configuration

    def start(self) -> Config:
        """Return the initial configuration, from the local snapshot if there is one, without reserves."""
        snapshot = self._read_snapshot()
        if snapshot is not None:
            self._start_from(snapshot)
        return self.with_committed(self.file_config)

    def _read_snapshot(self) -> Snapshot | None:
        try:
            return self.snapshot.read_with_retries()
        except SnapshotError as error:
            log.warning("local snapshot ignored", error=str(error))
            return None

    def _start_from(self, snapshot: Snapshot) -> None:
        # Other effects are skipped: exchanges have not started, and the snapshot has just been read.
        for effect in self.replica.start_from_snapshot(snapshot.committed, snapshot.age_s, self.clock()):
            match effect:
                case ApplyConfig(content, generation):
                    self.content = content
                    self.status.generation = generation
                case LogEvent():
                    self._log_event(effect)
        self.status.snapshot_age_s = snapshot.age_s

    def with_committed(self, file_config: Config) -> Config:
        """Return the configuration of the sidecar's file with the committed values in place of its own."""
        if file_config.document is not self.file_config.document:
            self.file_config = file_config
            self.replica.set_file_content(content_of_file(file_config.document or {}))
        raw = file_config.document or {}
        result = effective(raw, self.content) if self.content else Effective(raw)
        if not self.status.holds_reserves:
            result = replace(result, raw=without_reserves(result.raw))
        config = file_config
        is_changed = result.differences or result.suspended_plans or result.suspended_volumes
        if is_changed or not self.status.holds_reserves:
            config = self._effective_config(file_config, result)
        self._set_divergence(result)
        return config

    def _effective_config(self, file_config: Config, result: Effective) -> Config:
        config = file_config
        plans = result.suspended_plans
        volumes = result.suspended_volumes
        try:
            config = replace(config_from_json(result.raw), document=file_config.document)
        except ConfigError as error:
            # Every plan is suspended: a volume must not be served with other values than the committed ones.
            log.error(
                "committed generation is invalid for this sidecar; all plans are suspended",
                faults=error.faults,
            )
            plans = frozenset(file_config.plan_names)
            volumes = frozenset()
        if not self.status.holds_reserves and self.settings.cut_off == "hold":
            plans = frozenset(config.plan_names)
        known_volumes = config.objects.volumes if config.objects else {}
        volume_ids = {volume.id for name, volume in known_volumes.items() if name in volumes}
        plan_indexes = {index for index, name in enumerate(config.plan_names) if name in plans}
        return replace(
            config, suspended_volumes=SuspendedVolumes(frozenset(plan_indexes), frozenset(volume_ids))
        )

    def _set_divergence(self, result: Effective) -> None:
        if result.differences != self._logged_differences:  # logged once, and again after a change
            self._logged_differences = result.differences
            for difference in result.differences:
                log.warning("file differs from the committed generation", difference=str(difference))
        suspended = tuple(sorted(result.suspended_volumes | result.suspended_plans))
        if suspended != self.status.suspended and suspended:
            log.warning("suspended: not in the committed generation", names=suspended)
        self.status.differences = result.differences
        self.status.suspended = suspended
        self.replica.set_divergence(len(result.differences), len(suspended))

    # Lifetime

    async def run(self) -> None:
        """Exchange with the store until ``stop`` is called."""
        with self._running:
            while True:
                await self._wait_until_due()
                await self._carry_out(self.replica.handle_timer(self.clock()))
                self.status.connected = self.replica.is_connected(self.clock())
                self.status.snapshot_failures = self.writer.failures

    async def _wait_until_due(self) -> None:
        wait_ns = self.replica.next_due_at() - self.clock()
        if wait_ns > 0:
            await anyio.sleep(wait_ns / NS_PER_S)

    async def stop(self) -> None:
        """Stop exchanging, then remove this sidecar from the store if the store answers in time.

        Exchanges end first because each one registers the sidecar in the store.
        """
        self._running.cancel()
        with anyio.move_on_after(self.timeout_s, shield=True):
            try:
                await self.store.leave(self.replica.name, self.replica.incarnation)
            except StoreError as error:
                log.info("sidecar not removed from the store at shutdown", error=str(error))
            await self.store.close()
        self.writer.stop()

    # Effects

    async def _carry_out(self, effects: list[ReplicaEffect]) -> None:
        for effect in effects:
            match effect:
                case Exchange():
                    await self._exchange(effect)
                case ApplyConfig():
                    self._apply(effect)
                case PersistSnapshot(committed):
                    self.writer.submit(committed)
                case LogEvent():
                    self._log_event(effect)
                case RepairStore() | Bootstrap() | AddOwnEntries() | OpenEpoch() | CloseEpoch():
                    await self._write(effect)

    def _apply(self, effect: ApplyConfig) -> None:
        self.content = effect.content
        self.status.generation = effect.generation
        self.status.holds_reserves = effect.holds_reserves
        self.on_config(self.with_committed(self.file_config))

    async def _exchange(self, effect: Exchange) -> None:
        self.status.exchanges += 1
        try:
            with anyio.fail_after(self.timeout_s):
                view = await self.store.exchange(effect)
        except (StoreError, TimeoutError) as error:
            self.status.failures += 1
            log.debug("exchange with the store failed", error=str(error))
            await self._carry_out(self.replica.handle_exchange_failure(self.clock()))
            return
        await self._carry_out(self.replica.handle_view(view, self.clock()))

    async def _write(self, effect: ReplicaWrite) -> None:
        try:
            with anyio.fail_after(self.timeout_s):
                match effect:
                    case RepairStore():
                        await self.store.repair(effect)
                    case Bootstrap():
                        await self.store.bootstrap(effect)
                    case AddOwnEntries():
                        await self.store.add_own_entries(effect)
                    case OpenEpoch():
                        await self.store.open_epoch(effect)
                    case CloseEpoch():
                        await self.store.close_epoch(effect)
        except (StoreError, TimeoutError) as error:
            log.debug("write to the store failed", what=type(effect).__name__, error=str(error))

    def _log_event(self, effect: LogEvent) -> None:
        # Some events repeat with each exchange until the store has changed; only the first is logged.
        text = f"{effect.event.value} {effect.generation}"
        if not self.status.events or self.status.events[-1] != text:
            log.info(f"agreement: {effect.event.value}", generation=effect.generation, detail=effect.detail)
        self.status.events = [*self.status.events, text][-MAX_EVENTS:]
