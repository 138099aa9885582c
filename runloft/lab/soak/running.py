"""Plays one schedule: stand-ins and clients as tasks, schedulers as processes, troubles at their times."""

import signal
import time
from pathlib import Path
from typing import Any

import anyio
import anyio.abc

from runloft.lab.discovery import Instances, LabDiscovery
from runloft.lab.serving import Counted
from runloft.lab.soak.clients import Place, SoakClient
from runloft.lab.soak.nodes import FaultProxy, SoakNode, Troubles
from runloft.lab.soak.ports import reserved
from runloft.lab.soak.processes import SoakProcess
from runloft.lab.soak.records import NodeChange, RunRecord
from runloft.lab.soak.schedule import NODES, Schedule, Trouble, TroubleKind

CLIENTS = 4  # of each process
TICK_S, LATE_S = 0.01, 0.015
TOLD_AT_THE_LATEST_S = 6.0
RUN_DEADLINE_S = 60.0  # beyond a schedule's own seconds, for starts and exits


class SoakDiscovery(LabDiscovery):
    """One process's agent: notes when each change has been written to it."""

    def __init__(self, instances: Instances, index: int, record: RunRecord) -> None:
        super().__init__(instances)
        self.index, self.record = index, record
        self.pending: list[tuple[int, str, float]] = []  # node, what, at the latest

    def changed(self, node: int, what: str) -> None:
        """Note a change that is to be told."""
        self.pending.append((node, what, time.monotonic() + TOLD_AT_THE_LATEST_S))

    def written(self) -> None:
        """Note that what was pending has been told."""
        for index, (node, what, at) in enumerate(self.pending):
            if what == "drain" and any(node == later for later, *_ in self.pending[index + 1 :]):
                continue  # over before it was told
            # What allows something counts from when it was to be had, what forbids it from when it was told.
            told_at = time.monotonic() if what == "drain" else at - TOLD_AT_THE_LATEST_S
            self.record.changes.append(NodeChange(node, self.index, told_at, what))
        self.pending.clear()

    def overdue(self) -> None:
        """Note what counts as told without having arrived."""
        now = time.monotonic()
        late = [one for one in self.pending if one[2] <= now]
        for node, what, at in late:
            self.record.changes.append(NodeChange(node, self.index, at, what))
        self.pending = [one for one in self.pending if one[2] > now]

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Answer one call; whatever is written holds all that was pending."""
        if isinstance(stream, Counted):
            inner_send = stream.send

            async def send(item: bytes) -> None:
                await inner_send(item)
                if b'"targets"' in item:
                    self.written()

            stream.send = send  # type: ignore[method-assign]
        await super().serve(stream)


class SoakRun:
    """One run of one schedule."""

    def __init__(self, schedule: Schedule, folder: Path) -> None:
        self.schedule, self.folder, self.record = schedule, folder, RunRecord()
        self.epoch = time.monotonic() + 3600.0  # set when all is ready
        self.instances = Instances()
        self.agents = [SoakDiscovery(self.instances, i, self.record) for i in range(schedule.processes)]
        self.nodes = [SoakNode(i, Troubles(schedule, i, self.now), self.record) for i in range(NODES)]
        self.proxies = [FaultProxy(node, node.troubles) for node in self.nodes]
        self.processes: list[SoakProcess] = []

    def now(self) -> float:
        """Seconds since the run's beginning."""
        return time.monotonic() - self.epoch

    async def play(self) -> RunRecord:
        """Play it; RunRecord holds what came of it."""
        with anyio.fail_after(self.schedule.seconds + RUN_DEADLINE_S):
            with reserved(self.schedule.processes) as ports:
                async with anyio.create_task_group() as group:
                    try:
                        await self._play(group, ports)
                    finally:
                        for process in self.processes:
                            await process.close()
                        group.cancel_scope.cancel()
        return self.record

    async def _play(self, group: anyio.abc.TaskGroup, ports: list[int]) -> None:
        for server in (*self.agents, *self.nodes, *self.proxies):
            await group.start(server.run)
        for node, proxy in zip(self.nodes, self.proxies, strict=True):
            self.instances.put(node.uid, proxy.address, node.index)
        start_s = 1.0 + 0.25 * self.schedule.processes
        self.epoch = time.monotonic() + start_s
        self.processes = [
            SoakProcess(i, port, self.schedule, self.folder, agent.address, self.record, self.epoch)
            for i, (agent, port) in enumerate(zip(self.agents, ports, strict=True))
        ]
        async with anyio.create_task_group() as starts:
            for process in self.processes:
                starts.start_soon(process.spawn, process.write_configuration(self.instances.listed()))
        await anyio.sleep(max(0.0, self.epoch - time.monotonic()))
        group.start_soon(self._watch_lag)
        async with anyio.create_task_group() as work:
            for trouble in self.schedule.troubles:
                work.start_soon(self._trouble, trouble)
            for process in self.processes:
                place = Place(process.index, process.port)
                for number in range(CLIENTS):
                    client = SoakClient(place, number, self.schedule, self.record, self.now)
                    work.start_soon(client.run, self.schedule.seconds)
        async with anyio.create_task_group() as exits:
            for process in self.processes:
                exits.start_soon(process.terminate)

    async def _watch_lag(self) -> None:
        """Note when this program itself was held up: its times are no evidence then."""
        while True:
            before = time.monotonic()
            await anyio.sleep(TICK_S)
            late = time.monotonic() - before - TICK_S
            if late > LATE_S:
                self.record.lags.append((time.monotonic(), late))
            for agent in self.agents:
                agent.overdue()

    async def _trouble(self, trouble: Trouble) -> None:
        await anyio.sleep(max(0.0, trouble.at_s - self.now()))
        kind = trouble.kind
        if kind.startswith("process-"):
            await self._process_trouble(trouble, self.processes[trouble.target])
        elif kind.startswith("discovery-"):
            await self._discovery_trouble(trouble, self.agents[trouble.target])
        elif kind in (TroubleKind.NODE_DRAIN, TroubleKind.NODE_RESTART):
            await self._list_trouble(trouble, self.nodes[trouble.target])

    async def _process_trouble(self, trouble: Trouble, process: SoakProcess) -> None:
        match trouble.kind:
            case TroubleKind.PROCESS_PAUSE:
                await process.pause(trouble)
            case TroubleKind.PROCESS_RELOAD:
                for _ in range(1 + int(trouble.amount * 3)):
                    process.write_configuration(self.instances.listed())
                    process.signal(signal.SIGHUP)
                    await anyio.sleep(trouble.for_s / 4)
            case TroubleKind.PROCESS_TERMINATE | TroubleKind.PROCESS_KILL:
                if process.restarting or process.process is None:
                    return  # another trouble has it
                process.restarting = True
                if trouble.kind is TroubleKind.PROCESS_KILL:
                    await process.kill()
                else:
                    await process.terminate()
                if self.now() < self.schedule.seconds:
                    await process.spawn(process.write_configuration(self.instances.listed()))
                process.restarting = False

    async def _discovery_trouble(self, trouble: Trouble, agent: SoakDiscovery) -> None:
        match trouble.kind:
            case TroubleKind.DISCOVERY_SILENCE:
                agent.failures.silent = True
                await anyio.sleep(trouble.for_s)
                agent.failures.silent = False
            case TroubleKind.DISCOVERY_RESET:
                await agent.reset()
            case TroubleKind.DISCOVERY_SLOW:
                agent.failures.delay_s = trouble.amount
                await agent.reset()
                await anyio.sleep(trouble.for_s)
                agent.failures.delay_s = 0.0

    async def _list_trouble(self, trouble: Trouble, node: SoakNode) -> None:
        if trouble.kind is TroubleKind.NODE_DRAIN:
            self._tell(node, "drain")
            self.instances.drain(node.uid)
            await anyio.sleep(trouble.for_s + 1.0)
        else:
            self.instances.remove(node.uid)
            await self.proxies[node.index].reset()
            await anyio.sleep(trouble.for_s / 2)
        node.uid = f"{node.uid}'" if trouble.kind is TroubleKind.NODE_RESTART else node.uid
        self._back(node, trouble.kind)

    def _back(self, node: SoakNode, kind: TroubleKind) -> None:
        more: dict[str, Any] = {}
        if kind is TroubleKind.NODE_RESTART:
            more["boot_ms"] = int(time.time() * 1000)
            node.started_at = time.monotonic()
            self._tell(node, "start")
        else:
            self._tell(node, "back")
        self.instances.put(node.uid, self.proxies[node.index].address, node.index, **more)

    def _tell(self, node: SoakNode, what: str) -> None:
        for agent in self.agents:
            agent.changed(node.index, what)
