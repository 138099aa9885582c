"""Hollow schedulers: real watch, agreement, event loop and decisions, without clients and node connections.

Killing a hollow scheduler cancels its tasks without releasing its lease in the store and closes its sockets,
as the operating system does when a process is killed.
"""

import time
from dataclasses import dataclass, field

import anyio
import anyio.abc

from runloft.agreement.client import AgreementClient
from runloft.config.settings import Config
from runloft.core.model import NodeListUpdate
from runloft.core.reducer import Core
from runloft.core.timers import TimerQueue
from runloft.decisions.contract import NodeState
from runloft.discovery.watch import Watch
from runloft.lab.scale.messages import ConfigDocument
from runloft.lab.scale.scheduler_config import read_config
from runloft.service.clock import MonotonicClock
from runloft.service.reload import Reload
from runloft.service.runner import Runner


class HollowRunner(Runner):
    """The scheduler's event loop, which also records when an awaited node becomes ready in the node table."""

    awaited_uid = ""
    node_seen_at = 0.0  # monotonic time in seconds; 0: not seen yet

    def await_node(self, uid: str) -> None:
        """Record when this node becomes ready in the node table, from now on."""
        self.awaited_uid = uid
        self.node_seen_at = 0.0

    def _process_events(self) -> None:
        has_list_update = any(isinstance(event, NodeListUpdate) for event in self.events)
        super()._process_events()
        if (
            has_list_update
            and self.awaited_uid
            and not self.node_seen_at
            and self.is_node_ready(self.awaited_uid)
        ):
            self.node_seen_at = time.monotonic()

    def is_node_ready(self, uid: str) -> bool:
        """Return whether a node is in the node table and in state READY."""
        number = self.core.node_ids.get(uid)
        node = self.core.nodes.get(number) if number is not None else None
        return node is not None and node.state is NodeState.READY

    def ready_count(self) -> int:
        """Return the number of nodes in state READY."""
        return sum(node.state is NodeState.READY for node in self.core.nodes.values())


@dataclass(frozen=True, slots=True)
class GenerationChange:
    """A generation that a scheduler applied, and the monotonic time in seconds when it did."""

    generation: int
    at: float


@dataclass
class HollowScheduler:
    """One scheduler without clients and node connections."""

    document: ConfigDocument
    runner: HollowRunner | None = None
    agreement: AgreementClient | None = None
    reload: Reload | None = None
    group: anyio.abc.TaskGroup | None = None
    changes: list[GenerationChange] = field(default_factory=list)

    @property
    def generation(self) -> int:
        """The generation of the configuration in use; 0 if there is none."""
        if self.agreement is None:
            return 0
        # Use the replica's generation while the status has none.
        return self.agreement.status.generation or self.agreement.replica.version.generation

    @property
    def is_connected(self) -> bool:
        """Whether the scheduler is connected to the store and holds its reserves."""
        if self.agreement is None:
            return False
        status = self.agreement.status
        return status.connected and status.holds_reserves

    def record_generation(self) -> None:
        """Record the current generation if it has changed; do nothing while the reserves are missing."""
        generation = self.generation
        if self.agreement and not self.agreement.status.holds_reserves:
            return
        if generation and (not self.changes or self.changes[-1].generation != generation):
            self.changes.append(GenerationChange(generation, time.monotonic()))

    def generation_time(self, above: int) -> float | None:
        """Return when the scheduler first used a generation above this one; None if it has not yet."""
        return next((change.at for change in self.changes if change.generation > above), None)

    async def run(self, clock: MonotonicClock, agree: bool) -> None:
        """Run the scheduler until it is stopped."""
        config = read_config(self.document)
        if agree:
            config = self._start_agreement(config, clock)
        timers = TimerQueue()
        core = Core(config.settings, config.seed, clock(), timers, config.bounds)
        core.suspended = config.suspended_volumes
        self.runner = runner = HollowRunner(core, timers, clock)
        is_polled = config.settings.list_is_polled
        watch = Watch(config.discovery, 0, config.zones, runner.post, timers, clock, polled=is_polled)
        self.reload = Reload(None, config, watch, runner.post, [])
        try:
            async with anyio.create_task_group() as self.group:
                self.group.start_soon(runner.run)
                self.group.start_soon(watch.run)
                if self.agreement:
                    self.group.start_soon(self.agreement.run)
        finally:
            await self._close()

    def _start_agreement(self, config: Config, clock: MonotonicClock) -> Config:
        """Create the agreement client and return the configuration with the local snapshot applied."""
        assert config.agreement
        self.agreement = AgreementClient(config.agreement, config, clock)
        self.agreement.on_config = self._apply_config
        return self.agreement.start()

    def _apply_config(self, config: Config) -> None:
        self.record_generation()
        if self.reload:
            self.reload.apply(config)

    def join_agreement(self, clock: MonotonicClock) -> None:
        """Join the agreement of a scheduler that was started without it."""
        assert self.reload and self.group
        self.reload.apply(self._start_agreement(self.reload.config, clock))
        assert self.agreement
        self.group.start_soon(self.agreement.run)

    async def _close(self) -> None:
        with anyio.CancelScope(shield=True):
            if self.agreement:
                await self.agreement.store.close()
                self.agreement.writer.stop()

    async def stop(self, graceful: bool) -> None:
        """Stop the scheduler: gracefully, or as if the process were killed."""
        if graceful and self.agreement:
            await self.agreement.stop()
        if self.group:
            self.group.cancel_scope.cancel()
