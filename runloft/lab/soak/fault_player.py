"""Injects a schedule's faults of processes, discovery and the endpoint list at their times.

The other faults are injected elsewhere: those of node connections by the proxies, errors of nodes by the
nodes, those of clients by the clients, and those of system calls by the shim.
"""

import signal
import time
from collections.abc import Awaitable, Callable, Sequence

import anyio

from runloft.lab.discovery import Instances
from runloft.lab.flooder.forms import UNSOUND_RESP_FORMS
from runloft.lab.flooder.process import command
from runloft.lab.soak.discovery import SoakDiscovery
from runloft.lab.soak.nodes import SoakNode
from runloft.lab.soak.processes import SoakProcess
from runloft.lab.soak.records import NodeChangeKind
from runloft.lab.soak.schedule import Fault, FaultKind

FLOODS = 3  # flooding connections
MAX_EXTRA_RELOADS = 3
DRAIN_EXTRA_S = 1.0
MS_PER_S = 1000


class FaultPlayer:
    """Injects faults; ``now`` returns the seconds since the run's start, ``seconds`` is its duration."""

    def __init__(
        self,
        instances: Instances,
        agents: Sequence[SoakDiscovery],
        nodes: Sequence[SoakNode],
        processes: Sequence[SoakProcess],
        now: Callable[[], float],
        seconds: float,
    ) -> None:
        self.instances = instances
        self.agents = agents
        self.nodes = nodes
        self.processes = processes
        self.now = now
        self.seconds = seconds

    async def play(self, fault: Fault) -> None:
        """Wait until a fault's start time, then inject it."""
        await anyio.sleep(max(0.0, fault.at_s - self.now()))
        match fault.kind.family:
            case "process":
                await self._play_process_fault(fault, self.processes[fault.target])
            case "discovery":
                await self._play_discovery_fault(fault, self.agents[fault.target])
            case "client" if fault.kind is FaultKind.CLIENT_FLOOD:
                await self._flood(fault, self.processes[fault.target])
            case "node":
                await self._play_node_list_fault(fault, self.nodes[fault.target])

    async def _play_process_fault(self, fault: Fault, process: SoakProcess) -> None:
        match fault.kind:
            case FaultKind.PROCESS_PAUSE:
                await process.pause(fault.for_s)
            case FaultKind.PROCESS_STOP:
                await process.pause(fault.for_s, fault.amount, fault.amount)
            case FaultKind.PROCESS_RELOAD:
                await self._reload(fault, process)
            case FaultKind.PROCESS_TERMINATE:
                await self._restart(process, process.terminate)
            case FaultKind.PROCESS_KILL:
                await self._restart(process, process.kill)

    async def _flood(self, fault: Fault, process: SoakProcess) -> None:
        """Flood a process from one of its own, also while it is stopped and started again."""
        forms = UNSOUND_RESP_FORMS
        form = forms[min(len(forms) - 1, int(fault.amount * len(forms)))]
        await anyio.run_process(command(process.port, form, seconds=fault.for_s, connections=FLOODS))

    async def _reload(self, fault: Fault, process: SoakProcess) -> None:
        for _ in range(1 + int(fault.amount * MAX_EXTRA_RELOADS)):
            process.write_config(self.instances.list_document())
            process.signal(signal.SIGHUP)
            await anyio.sleep(fault.for_s / (MAX_EXTRA_RELOADS + 1))

    async def _restart(self, process: SoakProcess, stop: Callable[[], Awaitable[None]]) -> None:
        if process.is_restarting or process.process is None:
            return  # not running, or being restarted by another fault
        process.is_restarting = True
        await stop()
        if self.now() < self.seconds:
            await process.spawn(process.write_config(self.instances.list_document()))
        process.is_restarting = False

    async def _play_discovery_fault(self, fault: Fault, agent: SoakDiscovery) -> None:
        match fault.kind:
            case FaultKind.DISCOVERY_SILENCE:
                agent.failures.silent = True
                await anyio.sleep(fault.for_s)
                agent.failures.silent = False
            case FaultKind.DISCOVERY_RESET:
                await agent.reset()
            case FaultKind.DISCOVERY_SLOW:
                agent.failures.delay_s = fault.amount
                await agent.reset()
                await anyio.sleep(fault.for_s)
                agent.failures.delay_s = 0.0

    async def _play_node_list_fault(self, fault: Fault, node: SoakNode) -> None:
        match fault.kind:
            case FaultKind.NODE_DRAIN:
                await self._drain(fault, node)
            case FaultKind.NODE_RESTART:
                await self._restart_node(fault, node)

    async def _drain(self, fault: Fault, node: SoakNode) -> None:
        self._announce(node, NodeChangeKind.DRAIN)
        self.instances.drain(node.uid)
        await anyio.sleep(fault.for_s + DRAIN_EXTRA_S)
        self._announce(node, NodeChangeKind.BACK)
        self.instances.put(node.uid, node.proxy.address, node.index)

    async def _restart_node(self, fault: Fault, node: SoakNode) -> None:
        """Remove a node, then list a new incarnation of it."""
        self.instances.remove(node.uid)
        await node.proxy.reset()
        await anyio.sleep(fault.for_s / 2)
        node.uid = f"{node.uid}'"
        boot_ms = int(time.time() * MS_PER_S)
        self._announce(node, NodeChangeKind.START)
        self.instances.put(node.uid, node.proxy.address, node.index, boot_ms=boot_ms)

    def _announce(self, node: SoakNode, kind: NodeChangeKind) -> None:
        for agent in self.agents:
            agent.add_pending(node.index, kind)
