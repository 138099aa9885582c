"""The stand-ins of one arm: nodes as the fleet file has them, a discovery, a store."""

import time

import anyio
import anyio.abc

from runloft.config.fleet import Fleet, Node
from runloft.lab.discovery import LabDiscovery
from runloft.lab.node import LabNode, NodeKind, Pause
from runloft.lab.redis import RedisStandIn
from runloft.lab.scenario import EventRecord

DEFAULT_OVERLOAD_MULTIPLE = 2.0
MS_PER_S = 1000


class StandInFleet:
    """The stand-ins of one arm."""

    def __init__(self, fleet: Fleet) -> None:
        self.discovery = LabDiscovery()
        self.store = RedisStandIn()
        self.nodes = {
            node.uid: LabNode(node.uid, node.shard, _node_kind(fleet, node)) for node in fleet.nodes
        }

    async def start(self, group: anyio.abc.TaskGroup) -> None:
        """Listen, and list the nodes."""
        await group.start(self.discovery.run)
        await group.start(self.store.run)
        for uid, node in self.nodes.items():
            await group.start(node.run)
            self.discovery.put(uid, node.address, node.shard)

    async def play_event(self, event: EventRecord) -> None:
        """Wait for an event's time and let it happen to its node."""
        await anyio.sleep(event.at)
        node = self.nodes[event.node]
        match event.what:
            case "drain":
                self.discovery.drain(event.node)
            case "pause":
                now = time.monotonic()
                node.state.pauses.append(Pause(now, now + event.seconds))
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
        unit_ms=record.unit_ms,
        slow_start_from=machine.cold,
        slow_start_s=machine.warm_ms / MS_PER_S,
        overload_multiple=float(safety.get("FallMultiple", DEFAULT_OVERLOAD_MULTIPLE)),
    )
