"""The role that runs the hollow schedulers of one worker process."""

import time
from collections import Counter
from pathlib import Path

import anyio
import anyio.abc

from runloft.lab.scale.hollow_scheduler import HollowScheduler
from runloft.lab.scale.messages import (
    Answer,
    AwaitNode,
    Command,
    CountNodes,
    Done,
    MakeSchedulers,
    Moment,
    NodeCount,
    ReadGenerationTimes,
    ReadNodeTimes,
    ReadStatus,
    StartAgreement,
    StartSchedulers,
    Status,
    StopSchedulers,
    Times,
)
from runloft.lab.scale.role import Role
from runloft.lab.scale.scheduler_config import config_document, volume_rows
from runloft.service.clock import MonotonicClock

POLL_INTERVAL_S = 0.1  # between polls of the schedulers' generations, which also report changes themselves
BATCH_SIZE = 25  # schedulers to start before yielding to those that already run


class HollowRole(Role):
    """The running and stopped schedulers of one worker process."""

    def __init__(self, group: anyio.abc.TaskGroup) -> None:
        super().__init__(group)
        self.clock = MonotonicClock()
        self.schedulers: dict[str, HollowScheduler] = {}
        self.stop_events: dict[str, anyio.Event] = {}  # by running scheduler; set when it has stopped
        group.start_soon(self._record_generations)

    @property
    def running(self) -> dict[str, HollowScheduler]:
        """The running schedulers by name."""
        return {name: self.schedulers[name] for name in self.stop_events}

    async def carry_out(self, command: Command) -> Answer:
        """Execute a command."""
        match command:
            case MakeSchedulers() | StartSchedulers() | StartAgreement() | StopSchedulers():
                return await self._change(command)
            case AwaitNode(uid=uid):
                return self._await_node(uid)
            case CountNodes() | ReadStatus() | ReadGenerationTimes() | ReadNodeTimes():
                return self._report(command)
        return await super().carry_out(command)

    async def _change(
        self, command: MakeSchedulers | StartSchedulers | StartAgreement | StopSchedulers
    ) -> Answer:
        match command:
            case MakeSchedulers():
                return await self._make(command)
            case StartSchedulers(names=names):
                return await self._start(names, agree=True)
            case StartAgreement():
                return await self._start_agreement()
            case StopSchedulers():
                return await self._stop(command)

    def _report(self, command: CountNodes | ReadStatus | ReadGenerationTimes | ReadNodeTimes) -> Answer:
        match command:
            case CountNodes():
                return self._count_nodes()
            case ReadStatus():
                return self._status()
            case ReadGenerationTimes(above=above):
                return self._generation_times(above)
            case ReadNodeTimes():
                return self._node_times()

    async def _record_generations(self) -> None:
        while True:
            await anyio.sleep(POLL_INTERVAL_S)
            for scheduler in self.running.values():
                scheduler.record_generation()

    async def _make(self, command: MakeSchedulers) -> Moment:
        """Create and start schedulers; they share the rows of their volumes, which are all equal."""
        rows = volume_rows(command.volumes)
        for name, region in zip(command.names, command.regions, strict=True):
            document = config_document(
                name,
                command.discoveries[region],
                command.stores[region],
                command.directory,
                command.lease_ms,
                rows,
            )
            self.schedulers[name] = HollowScheduler(document)
        return await self._start(command.names, command.agree)

    async def _start(self, names: list[str], agree: bool) -> Moment:
        for index, name in enumerate(names):
            self.schedulers[name] = HollowScheduler(self.schedulers[name].document)
            self.stop_events[name] = anyio.Event()
            self.group.start_soon(self._run, name, agree)
            await _yield_after_batch(index)
        return Moment(time.monotonic())

    async def _run(self, name: str, agree: bool) -> None:
        stop_event = self.stop_events[name]
        try:
            await self.schedulers[name].run(self.clock, agree)
        finally:
            if self.stop_events.get(name) is stop_event:  # else the scheduler has been restarted meanwhile
                del self.stop_events[name]
            stop_event.set()

    async def _start_agreement(self) -> Moment:
        for index, scheduler in enumerate(self.running.values()):
            scheduler.join_agreement(self.clock)
            await _yield_after_batch(index)
        return Moment(time.monotonic())

    async def _stop(self, command: StopSchedulers) -> Done:
        stop_events = {name: self.stop_events[name] for name in command.names if name in self.stop_events}
        async with anyio.create_task_group() as group:
            for name in stop_events:
                group.start_soon(self.schedulers[name].stop, command.graceful)
        for name, event in stop_events.items():
            await event.wait()
            scheduler = self.schedulers[name]
            scheduler.agreement = None
            if not command.keep_snapshots:
                directory = Path(scheduler.document["agreement"]["directory"])
                for path in directory.glob(f"{name}.*"):
                    path.unlink()
        return Done()

    def _count_nodes(self) -> NodeCount:
        runners = [scheduler.runner for scheduler in self.running.values()]
        counts = [runner.ready_count() if runner else 0 for runner in runners]
        return NodeCount(min(counts, default=0))

    def _status(self) -> Status:
        schedulers = self.running.values()
        return Status(
            alive=len(schedulers),
            connected=sum(scheduler.is_connected for scheduler in schedulers),
            generations=dict(Counter(str(scheduler.generation) for scheduler in schedulers)),
        )

    def _generation_times(self, above: int) -> Times:
        times = {name: scheduler.generation_time(above) for name, scheduler in self.running.items()}
        return Times({name: at for name, at in times.items() if at is not None})

    def _await_node(self, uid: str) -> Done:
        for scheduler in self.running.values():
            if scheduler.runner:
                scheduler.runner.await_node(uid)
        return Done()

    def _node_times(self) -> Times:
        runners = {name: scheduler.runner for name, scheduler in self.running.items()}
        return Times(
            {name: runner.node_seen_at for name, runner in runners.items() if runner and runner.node_seen_at}
        )


async def _yield_after_batch(index: int) -> None:
    if index % BATCH_SIZE == BATCH_SIZE - 1:
        await anyio.sleep(0)
