"""Hollow schedulers: watch, agreement, event loop and decisions are the program's own.

What they lack is clients and connections to nodes.  A killed one's tasks are cancelled, with no farewell to
the store, and its sockets are closed, as the system does for a process that is gone.
"""

import time
from dataclasses import dataclass, field

import anyio
import anyio.abc

from runloft.agreement.client import Agreeing
from runloft.config.settings import Config
from runloft.core.model import NodeListUpdate
from runloft.core.reducer import Core
from runloft.core.timers import TimerQueue
from runloft.decisions.contract import NodeState
from runloft.discovery.watch import Watch
from runloft.lab.scale.messages import ConfigDocument
from runloft.lab.scale.scheduler_config import read_config
from runloft.service.reload import Reload
from runloft.service.runner import Clock, Runner


class HollowRunner(Runner):
    """The event loop, which also records when an awaited node stands in the table."""

    awaited_uid = ""
    node_seen_at = 0.0  # of the monotonic clock; 0: not yet

    def await_node(self, uid: str) -> None:
        """Record from now on when this node comes into the table."""
        self.awaited_uid = uid
        self.node_seen_at = 0.0

    def _turn(self) -> None:
        has_list_update = any(isinstance(event, NodeListUpdate) for event in self.events)
        super()._turn()
        if has_list_update and self.awaited_uid and not self.node_seen_at and self.has(self.awaited_uid):
            self.node_seen_at = time.monotonic()

    def has(self, uid: str) -> bool:
        """Return whether a node is in the table and may be sent to."""
        number = self.core.node_ids.get(uid)
        node = self.core.nodes.get(number) if number is not None else None
        return node is not None and node.state is NodeState.READY

    def ready_count(self) -> int:
        """Return the number of nodes that may be sent to."""
        return sum(node.state is NodeState.READY for node in self.core.nodes.values())


@dataclass(frozen=True, slots=True)
class GenerationChange:
    """A generation that a scheduler came to serve by, and when, of the monotonic clock."""

    generation: int
    at: float


@dataclass
class HollowScheduler:
    """One scheduler without clients."""

    document: ConfigDocument
    runner: HollowRunner | None = None
    agreement: Agreeing | None = None
    reload: Reload | None = None
    group: anyio.abc.TaskGroup | None = None
    changes: list[GenerationChange] = field(default_factory=list)

    @property
    def generation(self) -> int:
        """The generation that it serves by."""
        if self.agreement is None:
            return 0
        # One that started with its local snapshot reports no generation until something changes.
        served_generation, _ = self.agreement.member.served
        return self.agreement.standing.generation or served_generation

    @property
    def is_connected(self) -> bool:
        """Whether it hears the store and holds what it serves by, its reserves too."""
        if self.agreement is None:
            return False
        standing = self.agreement.standing
        return standing.connected and standing.reserves

    def record_generation(self) -> None:
        """Record a generation that is new to it, once it holds the reserves."""
        generation = self.generation
        if self.agreement and not self.agreement.standing.reserves:
            return
        if generation and (not self.changes or self.changes[-1].generation != generation):
            self.changes.append(GenerationChange(generation, time.monotonic()))

    def generation_time(self, above: int) -> float | None:
        """Return when it first served by a generation above this one; None where it does not yet."""
        return next((change.at for change in self.changes if change.generation > above), None)

    async def run(self, clock: Clock, agree: bool) -> None:
        """Serve until it is stopped."""
        config = read_config(self.document)
        if agree:
            config = self._start_agreement(config, clock)
        timers = TimerQueue()
        core = Core(config.settings, config.seed, clock(), timers, config.bounds)
        core.suspended = config.held
        self.runner = runner = HollowRunner(core, timers, clock)
        is_polled = config.settings.list_is_polled
        watch = Watch(config.discovery, 0, config.zones, runner.post, timers, clock, asked=is_polled)
        self.reload = Reload(None, config, watch, runner.post, [])
        try:
            async with anyio.create_task_group() as self.group:
                self.group.start_soon(runner.run)
                self.group.start_soon(watch.run)
                if self.agreement:
                    self.group.start_soon(self.agreement.run)
        finally:
            await self._close()

    def _start_agreement(self, config: Config, clock: Clock) -> Config:
        """Return what is served by with the local snapshot."""
        assert config.agreement
        self.agreement = Agreeing(config.agreement, config, clock)
        self.agreement.take = self._apply_config
        return self.agreement.start()

    def _apply_config(self, config: Config) -> None:
        self.record_generation()
        if self.reload:
            self.reload.take(config)

    def join_agreement(self, clock: Clock) -> None:
        """Join the agreement, where it served without."""
        assert self.reload and self.group
        self.reload.take(self._start_agreement(self.reload.config, clock))
        assert self.agreement
        self.group.start_soon(self.agreement.run)

    async def _close(self) -> None:
        with anyio.CancelScope(shield=True):
            if self.agreement:
                await self.agreement.store.close()
                self.agreement.writer.stop()

    async def stop(self, graceful: bool) -> None:
        """Stop it: in order, or as one that is killed."""
        if graceful and self.agreement:
            await self.agreement.stop()
        if self.group:
            self.group.cancel_scope.cancel()
