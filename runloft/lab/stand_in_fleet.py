"""The stand-ins of one arm: the fleet file's nodes, a discovery agent and a store."""

import time

import anyio
import anyio.abc

from runloft.config.fleet.model import Fleet, Node
from runloft.lab.discovery import LabDiscovery
from runloft.lab.node import LabNode, NodeKind, Pause
from runloft.lab.redis import RedisStandIn
from runloft.lab.scenario import EventRecord

DEFAULT_OVERLOAD_MULTIPLE = 2.0
MS_PER_S = 1000


class StandInFleet:
    """The nodes, the discovery agent and the store of one arm."""

    def __init__(self, fleet: Fleet) -> None:
        self.discovery = LabDiscovery()
        self.store = RedisStandIn()
        self.nodes = {
            node.uid: LabNode(node.uid, node.shard, _node_kind(fleet, node)) for node in fleet.nodes
        }

    async def start(self, group: anyio.abc.TaskGroup) -> None:
        """Start all servers and add the nodes to the endpoint list."""
        await group.start(self.discovery.run)
        await group.start(self.store.run)
        for uid, node in self.nodes.items():
            await group.start(node.run)
            self.discovery.put(uid, node.address, node.shard)

    async def apply_event(self, event: EventRecord) -> None:
        """Wait until an event is due, then apply it to its node."""
        await anyio.sleep(event.at_s)
        node = self.nodes[event.node]
        match event.kind:
            case "drain":
                self.discovery.drain(event.node)
            case "pause":
                now = time.monotonic()
                node.state.pauses.append(Pause(now, now + event.pause_s))
            case "die":
                node.failures.refusing = True
                await node.reset()
                self.discovery.remove(event.node)
            case "restart":
                node.failures.refusing = False
                node.restart()
                boot_ms = int(time.time() * MS_PER_S)
                self.discovery.put(event.node, node.address, node.shard, boot_ms=boot_ms)


def _node_kind(fleet: Fleet, node: Node) -> NodeKind:
    record = fleet.record
    machine = record.machines[node.kind]
    safety = record.settings.get("Safety", {})
    return NodeKind(
        cores=max(1, round(machine.cores)),
        speed=machine.speed[0],
        unit_ms=record.unit_work_ms,
        initial_capacity_fraction=machine.cold_fraction,
        slow_start_s=machine.warm_up_ms / MS_PER_S,
        overload_multiple=float(safety.get("FallMultiple", DEFAULT_OVERLOAD_MULTIPLE)),
    )
