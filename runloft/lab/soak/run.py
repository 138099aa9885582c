"""Run one schedule with stand-ins and clients as tasks and schedulers as processes."""

import time
from collections.abc import Sequence
from pathlib import Path

import anyio
import anyio.abc

from runloft.lab.discovery import Instances
from runloft.lab.soak.clients import ProcessAddress, SoakClient
from runloft.lab.soak.discovery import SoakDiscovery
from runloft.lab.soak.fault_player import FaultPlayer
from runloft.lab.soak.node_faults import NodeFaults
from runloft.lab.soak.nodes import SoakNode
from runloft.lab.soak.ports import reserved_ports
from runloft.lab.soak.processes import SoakProcess
from runloft.lab.soak.records import LoopDelay, RunRecord
from runloft.lab.soak.schedule import NODES, Schedule

CLIENTS_PER_PROCESS = 4
DELAY_CHECK_INTERVAL_S = 0.01
MIN_RECORDED_DELAY_S = 0.015
START_DELAY_S = 1.0  # before the run's start; START_DELAY_PER_PROCESS_S is added for each process
START_DELAY_PER_PROCESS_S = 0.25
UNSTARTED_OFFSET_S = 3600.0  # puts the run's start in the future until it is known
START_AND_EXIT_TIMEOUT_S = 60.0  # in addition to the schedule's seconds


class SoakRun:
    """A single run of a schedule; ``source`` is the folder of the version to run, by default this one."""

    def __init__(self, schedule: Schedule, folder: Path, source: Path | None = None) -> None:
        self.schedule = schedule
        self.folder = folder
        self.source = source
        self.record = RunRecord()
        self.epoch = time.monotonic() + UNSTARTED_OFFSET_S  # replaced once all stand-ins listen
        self.instances = Instances()
        self.agents = [
            SoakDiscovery(self.instances, index, self.record) for index in range(schedule.processes)
        ]
        self.nodes = [
            SoakNode(index, NodeFaults(schedule, index, self.now), self.record) for index in range(NODES)
        ]

    def now(self) -> float:
        """Return the seconds since the run's start."""
        return time.monotonic() - self.epoch

    async def play(self) -> RunRecord:
        """Run the schedule and return its records."""
        with anyio.fail_after(self.schedule.seconds + START_AND_EXIT_TIMEOUT_S):
            with reserved_ports(self.schedule.processes) as ports:
                async with anyio.create_task_group() as group:
                    await self._start_stand_ins(group)
                    processes = self._make_processes(ports)
                    try:
                        await self._play(group, processes)
                    finally:
                        for process in processes:
                            await process.close()
                        group.cancel_scope.cancel()
        return self.record

    async def _start_stand_ins(self, group: anyio.abc.TaskGroup) -> None:
        for agent in self.agents:
            await group.start(agent.run)
        for node in self.nodes:
            await group.start(node.run)
        for node in self.nodes:
            await group.start(node.proxy.run)
        for node in self.nodes:
            self.instances.put(node.uid, node.proxy.address, node.index)

    def _make_processes(self, ports: Sequence[int]) -> list[SoakProcess]:
        """Set the run's start and return the processes, which are not started yet."""
        self.epoch = time.monotonic() + START_DELAY_S + START_DELAY_PER_PROCESS_S * self.schedule.processes
        return [
            SoakProcess(
                index,
                port,
                self.schedule,
                self.folder,
                agent.address,
                self.record,
                self.epoch,
                self.source,
            )
            for index, (agent, port) in enumerate(zip(self.agents, ports, strict=True))
        ]

    async def _play(self, group: anyio.abc.TaskGroup, processes: Sequence[SoakProcess]) -> None:
        async with anyio.create_task_group() as starts:
            for process in processes:
                starts.start_soon(process.spawn, process.write_config(self.instances.list_document()))
        await anyio.sleep(max(0.0, self.epoch - time.monotonic()))
        group.start_soon(self._record_delays)
        await self._play_faults_and_clients(processes)
        async with anyio.create_task_group() as exits:
            for process in processes:
                exits.start_soon(process.terminate)

    async def _play_faults_and_clients(self, processes: Sequence[SoakProcess]) -> None:
        player = FaultPlayer(
            self.instances, self.agents, self.nodes, processes, self.now, self.schedule.seconds
        )
        async with anyio.create_task_group() as group:
            for fault in self.schedule.faults:
                group.start_soon(player.play, fault)
            for process in processes:
                address = ProcessAddress(process.index, process.port)
                for number in range(CLIENTS_PER_PROCESS):
                    client = SoakClient(address, number, self.schedule, self.record, self.now)
                    group.start_soon(client.run, self.schedule.seconds)

    async def _record_delays(self) -> None:
        """Record delays of this program's own event loop, which make its measured times unreliable."""
        while True:
            before = time.monotonic()
            await anyio.sleep(DELAY_CHECK_INTERVAL_S)
            delay_s = time.monotonic() - before - DELAY_CHECK_INTERVAL_S
            if delay_s > MIN_RECORDED_DELAY_S:
                self.record.delays.append(LoopDelay(time.monotonic(), delay_s))
            for agent in self.agents:
                agent.record_overdue()
